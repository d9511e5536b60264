"""Monitoring of a running fleet: resource usage, traffic, store calls and status."""

import json
import re
import time
from dataclasses import dataclass

import httpcore
import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.bench.usage import Usage, read_usage
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    MessageHandler,
    WireSettings,
)
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

POLL_S = 0.25
_TRAFFIC = re.compile(
    r'^hornbeamshore_peer_(messages|bytes)_total\{[^}]*peer="(\w+)"[^}]*\} (\S+)$',
    re.MULTILINE,
)


class _MessageSink(MessageHandler):
    def handle(self, conn, message):
        """Ignore the messages that an entry sends to each new peer."""


@dataclass(frozen=True, slots=True)
class IntervalStats:
    """Resource usage and traffic during an interval.

    Attributes
    ----------
    seconds : float
        Length of the interval.
    cpu_cores : dict of str to float
        CPU utilization in cores by process name.
    usage : dict of str to Usage
        Usage at the end of the interval by process name.
    traffic : dict of str to dict
        By entry id: messages and bytes per second with each kind of peer, in both
        directions together.
    store_calls : float
        Calls of the store per second. A watch counts once, when it is opened.
    """

    seconds: float
    cpu_cores: dict[str, float]
    usage: dict[str, Usage]
    traffic: dict[str, dict]
    store_calls: float


class FleetMonitor:
    """Monitor of the processes of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Fleet to monitor.
    """

    def __init__(self, fleet):
        self.fleet = fleet

    async def measure_interval(self, procs, seconds, action=None):
        """Measure an interval and return its `IntervalStats`.

        Parameters
        ----------
        procs : dict of str to Proc
            Processes whose usage is measured.
        seconds : float
            Minimum length of the interval.
        action : coroutine function, optional
            Called at the start of the interval, which is extended if it takes longer.
        """
        traffic_before = await self._traffic()
        calls_before = await self.store_calls()
        started = time.monotonic()
        usage_before = {
            name: read_usage(proc.popen.pid) for name, proc in procs.items()
        }
        if action is not None:
            await action()
        await trio.sleep(max(0.0, started + seconds - time.monotonic()))
        usage_after = {name: read_usage(proc.popen.pid) for name, proc in procs.items()}
        elapsed_s = time.monotonic() - started
        call_count = await self.store_calls() - calls_before
        traffic_after = await self._traffic()
        return IntervalStats(
            elapsed_s,
            {
                name: (usage_after[name].cpu_s - usage_before[name].cpu_s) / elapsed_s
                for name in procs
            },
            usage_after,
            {
                name: {
                    field: (
                        traffic_after[name][field] - traffic_before[name].get(field, 0)
                    )
                    / elapsed_s
                    for field in traffic_after[name]
                }
                for name in traffic_after
            },
            call_count / elapsed_s,
        )

    async def store_calls(self):
        """Return the number of calls that the store has received."""
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"{self.fleet.store.first_line}/standin/calls"
            response = await pool.request("POST", url, content=b"{}")
        return sum(json.loads(response.content).values())

    async def _traffic(self):
        """Return message and byte totals for each kind of peer, by entry id."""
        totals = {}
        async with httpcore.AsyncConnectionPool() as pool:
            for entry_id in self.fleet.entries:
                url = f"http://{self.fleet.http_address(entry_id)}/metrics"
                metrics_text = (await pool.request("GET", url)).content.decode()
                totals[entry_id] = entry_totals = {}
                for unit, peer, value in _TRAFFIC.findall(metrics_text):
                    field = f"{peer} {unit}"
                    entry_totals[field] = entry_totals.get(field, 0.0) + float(value)
        return totals

    async def status(self, entry_id):
        """Return the status report of an entry."""
        fleet, cfg = self.fleet, WireSettings()
        identity = Identity(
            fleet.deployment,
            str(ProcessKind.OPERATOR),
            f"probe-{time.time_ns()}",
            new_incarnation(),
            "probe",
        )
        secret = fleet.secret
        async with (
            open_connection(
                fleet.peer_address(entry_id), identity, secret, cfg
            ) as conn,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(conn.run, _MessageSink())
            reply = await conn.call(StatusQuery("status"), 10.0)
            nursery.cancel_scope.cancel()
        return json.loads(reply.content)

    async def wait_for(self, condition, timeout_s=90.0):
        """Poll the entries until their status reports meet a condition.

        Parameters
        ----------
        condition : callable
            Takes the reports by entry id and returns whether they meet it.

        Returns
        -------
        dict of str to dict
            The reports by entry id.

        Raises
        ------
        trio.TooSlowError
            If the condition is not met within the timeout.
        """
        with trio.fail_after(timeout_s):
            while True:
                reports = {}
                try:
                    for name in self.fleet.entries:
                        reports[name] = await self.status(name)
                except* (ConnectionLost, CallTimeout):
                    # An entry on a loaded machine may miss the timeout of one call.
                    reports = None
                if reports is not None and condition(reports):
                    return reports
                await trio.sleep(POLL_S)


def count_agents_in_use(reports):
    """Return the number of agents that partition owners assign tasks to."""
    return sum(
        len(partition["scheduler"]["targets"])
        for report in reports.values()
        for partition in report["partitions"]
    )


def partition_owners(reports):
    """Return the id of the entry that owns each partition."""
    return {
        partition["partition"]: name
        for name, report in reports.items()
        for partition in report["partitions"]
    }
