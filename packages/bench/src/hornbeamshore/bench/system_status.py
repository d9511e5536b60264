"""Status reports of entries, and CPU times of processes and of the machine."""

import json
import os
from pathlib import Path

import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.wire.connection import MessageHandler, WireSettings
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

STATUS_TIMEOUT_S = 5.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class _MessageSink(MessageHandler):
    def handle(self, conn, message):
        """Ignore the messages that an entry sends to each new peer."""


async def query_status(deployment, address, secret):
    """Return the status report of the entry at a peer address.

    Raises
    ------
    ConnectionLost, CallTimeout
        If the entry does not answer.
    """
    identity = Identity(
        deployment, ProcessKind.OPERATOR, "measure", new_incarnation(), ""
    )
    async with (
        open_connection(address, identity, secret, WireSettings()) as conn,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(conn.run, _MessageSink())
        reply = await conn.call(StatusQuery("status"), STATUS_TIMEOUT_S)
        nursery.cancel_scope.cancel()
    return json.loads(reply.content)


def process_cpu_s(pid):
    """Return the CPU seconds that a process has used; 0 if it no longer exists."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def machine_cpu_s():
    """Return busy and total CPU seconds of the machine, all programs included."""
    fields = Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    values = [int(field) / _TICKS_PER_S for field in fields]
    idle = values[3] + values[4]
    return sum(values) - idle, sum(values)
