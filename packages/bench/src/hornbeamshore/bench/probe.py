"""Observation of a running deployment: usage, traffic, calls of the store, status."""

import json
import re
import time
from dataclasses import dataclass

import httpcore
import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.bench.usage import Usage, usage_of
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    MessageHandler,
    WireSettings,
    open_connection,
)
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

POLL_S = 0.25
_TRAFFIC = re.compile(
    r'^hornbeamshore_peer_(messages|bytes)_total\{[^}]*peer="(\w+)"[^}]*\} (\S+)$',
    re.MULTILINE,
)


class _Operator(MessageHandler):
    def handle(self, conn, message):
        """Ignore what an entry tells each new peer."""


@dataclass(frozen=True, slots=True)
class Span:
    """What processes did during a time.

    Attributes
    ----------
    seconds : float
        Length of the time.
    processor : dict of str to float
        Seconds of processor time a second, by process.
    usage : dict of str to Usage
        At the end, by process.
    traffic : dict of str to dict
        By entry: messages and bytes a second for each kind of peer, both ways.
    store_calls : float
        Calls of the store a second; an open watch is not counted again.
    """

    seconds: float
    processor: dict[str, float]
    usage: dict[str, Usage]
    traffic: dict[str, dict]
    store_calls: float


class Probe:
    """Observer of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Whose processes are observed.
    """

    def __init__(self, fleet):
        self.fleet = fleet

    async def span(self, procs, seconds, action=None):
        """Return the `Span` of a number of seconds, in which `action` may run.

        Parameters
        ----------
        procs : dict of str to Proc
            Processes whose usage is wanted.
        action : coroutine function, optional
            Runs within the time and should end in it.
        """
        traffic = await self._traffic()
        calls = await self.store_calls()
        begin = time.monotonic()
        before = {name: usage_of(proc.popen.pid) for name, proc in procs.items()}
        if action is not None:
            await action()
        await trio.sleep(max(0.0, begin + seconds - time.monotonic()))
        after = {name: usage_of(proc.popen.pid) for name, proc in procs.items()}
        took = time.monotonic() - begin
        more_calls = await self.store_calls() - calls
        later = await self._traffic()
        return Span(
            took,
            {
                name: (after[name].processor_s - before[name].processor_s) / took
                for name in procs
            },
            after,
            {
                name: {
                    field: (later[name][field] - traffic[name].get(field, 0)) / took
                    for field in later[name]
                }
                for name in later
            },
            more_calls / took,
        )

    async def store_calls(self):
        """Return the number of calls that the store has had."""
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"{self.fleet.store.line}/standin/calls"
            response = await pool.request("POST", url, content=b"{}")
        return sum(json.loads(response.content).values())

    async def _traffic(self):
        """Return by entry the totals of messages and bytes for each kind of peer."""
        totals = {}
        async with httpcore.AsyncConnectionPool() as pool:
            for entry_id in self.fleet.entries:
                url = f"http://{self.fleet.http_of(entry_id)}/metrics"
                page = (await pool.request("GET", url)).content.decode()
                totals[entry_id] = found = {}
                for what, peer, value in _TRAFFIC.findall(page):
                    field = f"{peer} {what}"
                    found[field] = found.get(field, 0.0) + float(value)
        return totals

    async def status(self, entry_id):
        """Return the status report of an entry."""
        fleet, cfg = self.fleet, WireSettings()
        me = Identity(
            fleet.deployment,
            str(ProcessKind.OPERATOR),
            f"probe-{time.time_ns()}",
            new_incarnation(),
            "probe",
        )
        secret = fleet.secret
        async with (
            open_connection(fleet.peer_of(entry_id), me, secret, cfg) as conn,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(conn.run, _Operator())
            reply = await conn.call(StatusQuery("status"), 10.0)
            nursery.cancel_scope.cancel()
        return json.loads(reply.content)

    async def wait_for(self, condition, timeout_s=90.0):
        """Return the reports of all entries once they meet a condition."""
        with trio.fail_after(timeout_s):
            while True:
                reports = {}
                try:
                    for name in self.fleet.entries:
                        reports[name] = await self.status(name)
                except* (ConnectionLost, CallTimeout):
                    # An entry of a loaded machine may not answer at once.
                    reports = None
                if reports is not None and condition(reports):
                    return reports
                await trio.sleep(POLL_S)


def agents_in_use(reports):
    """Return the number of agents that the owners place work on."""
    return sum(
        len(partition["scheduler"]["targets"])
        for report in reports.values()
        for partition in report["partitions"]
    )


def owned(reports):
    """Return the entry that owns each partition."""
    return {
        partition["partition"]: name
        for name, report in reports.items()
        for partition in report["partitions"]
    }
