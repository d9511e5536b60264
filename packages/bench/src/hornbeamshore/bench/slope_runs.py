"""Measurements for `hornbeamshore.bench.slopes`: each returns series of points."""

import abc
import contextlib
import functools
import hashlib
import itertools
import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.base.types import JobKey, TaskResult
from hornbeamshore.base.units import ByteSize, Duration
from hornbeamshore.bench.caller import Caller, make_job, wait_ready
from hornbeamshore.bench.fleet import (
    EntryPlan,
    Fleet,
    TargetPlan,
    running_fleet,
)
from hornbeamshore.bench.fleet_monitor import (
    FleetMonitor,
    count_agents_in_use,
    partition_owners,
)
from hornbeamshore.bench.usage import read_usage, reset_peak
from hornbeamshore.config import content
from hornbeamshore.config.apply import apply_deployment
from hornbeamshore.config.model import Deployment, Kind, Service, Team, Urgency
from hornbeamshore.store.etcd import EtcdSettings, EtcdStore
from hornbeamshore.wire.connection import MessageHandler, WireSettings
from hornbeamshore.wire.establish import serve_connections
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    CopyRecords,
    Fence,
    FenceRecords,
    ProcessKind,
    RecordState,
    StartRecord,
)

TOKEN = "slopes-token"  # noqa: S105
TEAM = "slopes"
DEPLOYMENT = "slopes"
DATA_CENTRE = "dc-1"
INTERVAL_S = 5.0
# Lets processes finish connecting and exchanging notices after the fleet has changed.
SETTLE_S = 1.5
MS_PER_S = 1e3
US_PER_S = 1e6
KIB = 1024
MIB = 1024 * 1024
_WORDS = ("stock", "quote", "layout", "slot", "order", "preview", "steel", "net")
# Sizes that the system is designed for.
DESIGN_TEAMS = 110
DESIGN_KINDS_PER_TEAM = 60
DESIGN_AGENTS_PER_PARTITION = 58
MANY_AGENTS_PARTITIONS = 8


@dataclass(frozen=True, slots=True)
class Series:
    """Series of measured points.

    Attributes
    ----------
    x, y : str
        Names of the varied and of the measured quantity, with units.
    points : tuple of (float, float)
        Pairs of their values.
    """

    x: str
    y: str
    points: tuple[tuple[float, float], ...]


class SeriesTable:
    """Collects series of points that share one varied quantity.

    Parameters
    ----------
    x : str
        Name of the varied quantity.
    """

    def __init__(self, x):
        self._x = x
        self._points = {}

    def add(self, x, **measured):
        """Add a point to the series of each measured quantity.

        Underscores in names become spaces.
        """
        for name, value in measured.items():
            self._points.setdefault(name.replace("_", " "), []).append((x, value))

    def series(self):
        """Return the collected `Series`."""
        return [Series(self._x, y, tuple(points)) for y, points in self._points.items()]


class SlopeRun(abc.ABC):
    """Measurement on a deployment of its own."""

    title = ""

    @abc.abstractmethod
    async def run(self):
        """Run the measurement and return a list of `Series`."""


class AgentProcesses(SlopeRun):
    """Number of agents, each in its own process, with one entry."""

    title = "agents on one entry, real processes, idle"
    counts = (4, 8, 16, 32)

    async def run(self):
        """Return the series of the entry and of the mean agent."""
        table = SeriesTable("agents")
        async with _fleet_with_monitor(1) as (fleet, monitor):
            await write_deployment(fleet, make_deployment({"desk": 1}))
            agents = {}
            for count in self.counts:
                for number in range(len(agents), count):
                    plan = _target_plan(f"agent-{number}")
                    agents[plan.agent_id] = await fleet.start_agent_without_target(plan)
                await monitor.wait_for(
                    lambda reports, n=count: count_agents_in_use(reports) == n
                )
                await trio.sleep(SETTLE_S)
                interval = await monitor.measure_interval(
                    fleet.entries | agents, INTERVAL_S
                )
                mean_cores = sum(interval.cpu_cores[name] for name in agents) / count
                resident = (
                    sum(interval.usage[name].resident_bytes for name in agents) / count
                )
                table.add(
                    count,
                    **_entry_values(interval, "agent"),
                    each_agent_ms_per_s=mean_cores * MS_PER_S,
                    each_agent_resident_MiB=resident / MIB,
                )
        return table.series()


class ManyAgents(SlopeRun):
    """Number of agents, many in one process, with one entry.

    Each partition has at most the number of agents that the system is designed for.
    """

    title = "agents on one entry, many in a process, 8 partitions, idle"
    counts = tuple(DESIGN_AGENTS_PER_PARTITION * factor for factor in (1, 2, 4, 8))

    async def run(self):
        """Return the series of the entry and of all agents."""
        table = SeriesTable("agents")
        async with _fleet_with_monitor(1) as (fleet, monitor):
            await write_deployment(
                fleet, make_deployment({"desk": MANY_AGENTS_PARTITIONS})
            )
            running, agent_groups = 0, {}
            for count in self.counts:
                plan = _target_plan(f"crowd-{count}")
                agent_groups[plan.agent_id] = await fleet.start_agent_group(
                    plan, count - running
                )
                running = count
                await monitor.wait_for(
                    lambda reports, n=count: count_agents_in_use(reports) == n
                )
                await trio.sleep(SETTLE_S)
                interval = await monitor.measure_interval(
                    fleet.entries | agent_groups, INTERVAL_S
                )
                table.add(
                    count,
                    **_entry_values(interval, "agent"),
                    all_agents_ms_per_s=MS_PER_S
                    * sum(interval.cpu_cores[i] for i in agent_groups),
                )
        return table.series()


class Entries(SlopeRun):
    """Number of entries in one region, without agents."""

    title = "entries of one region, idle"
    counts = (2, 4, 8, 12)

    async def run(self):
        """Return the series of one entry and of the store."""
        table = SeriesTable("entries")
        async with _fleet_with_monitor(0) as (fleet, monitor):
            for count in self.counts:
                for number in range(len(fleet.entries), count):
                    await fleet.start_entry(EntryPlan(f"entry-{number}", DATA_CENTRE))
                await monitor.wait_for(
                    lambda reports, n=count: all(
                        len(report["peers"]) == n - 1 for report in reports.values()
                    )
                )
                await trio.sleep(SETTLE_S)
                interval = await monitor.measure_interval(fleet.entries, 2 * INTERVAL_S)
                values = _entry_values(interval, "entry")
                table.add(count, **values, store_calls_per_s=interval.store_calls)
        return table.series()


class Services(SlopeRun):
    """Number of services in the configuration, each with 1 partition and 60 kinds."""

    title = "services of 60 kinds and 1 partition, one entry, no agents"
    counts = (10, 20, 40, 80)
    revisions = 4

    async def run(self):
        """Return the series of one entry, the store and the configuration."""
        table = SeriesTable("services")
        for count in self.counts:
            async with _fleet_with_monitor(1) as (fleet, monitor):
                make_revision = functools.partial(
                    make_deployment,
                    {f"desk-{number}": 1 for number in range(count)},
                    kinds=DESIGN_KINDS_PER_TEAM,
                    teams=count,
                )
                calls = await monitor.store_calls()
                await write_deployment(fleet, make_revision())
                await monitor.wait_for(
                    lambda reports, n=count: len(partition_owners(reports)) == n
                )
                calls = await monitor.store_calls() - calls
                await trio.sleep(SETTLE_S)
                idle = await monitor.measure_interval(fleet.entries, INTERVAL_S)

                async def change(fleet=fleet, make_revision=make_revision):
                    await _apply_changes(fleet, make_revision, self.revisions)

                changing = await monitor.measure_interval(
                    fleet.entries, INTERVAL_S, change
                )
                (entry_id,) = fleet.entries
                extra_cores = changing.cpu_cores[entry_id] - idle.cpu_cores[entry_id]
                table.add(
                    count,
                    content_KiB=len(content.encode(make_revision(), "x" * 22)) / KIB,
                    idle_entry_ms_per_s=idle.cpu_cores[entry_id] * MS_PER_S,
                    entry_resident_MiB=idle.usage[entry_id].resident_bytes / MIB,
                    entry_ms_per_revision=extra_cores
                    * changing.seconds
                    * MS_PER_S
                    / self.revisions,
                    store_calls_until_all_are_owned=calls,
                )
        return table.series()


class Tasks(SlopeRun):
    """Rate of tasks submitted to an entry that does not own the partition.

    This front entry forwards the jobs to the owner, which sends the tasks to agents.

    Parameters
    ----------
    job_size : int
        Number of tasks of each job.
    rates : tuple of int
        Tasks per second.
    """

    agents = 4
    connections = 24

    def __init__(self, job_size, rates):
        self.title = (
            f"tasks a second in jobs of {job_size}; front, owner, {self.agents} agents"
        )
        self._job_size = job_size
        self._rates = rates
        self._ids = itertools.count()
        self._answered = self._failed = 0

    async def run(self):
        """Return the series of the front entry, the owner and all agents."""
        table = SeriesTable("tasks/s")
        plans = [_target_plan(f"agent-{number}") for number in range(self.agents)]
        entries = [EntryPlan(f"entry-{number}", DATA_CENTRE) for number in (1, 2)]
        async with running_fleet(DEPLOYMENT, entries, plans) as fleet:
            monitor = FleetMonitor(fleet)
            await write_deployment(fleet, make_deployment({"desk": 1}))
            reports = await monitor.wait_for(
                lambda reports: count_agents_in_use(reports) == self.agents
            )
            (owner,) = partition_owners(reports).values()
            (front,) = set(fleet.entries) - {owner}
            address = fleet.http_address(front)
            await wait_ready(address, TOKEN, "desk", "kind-0")
            for rate in (0, *self._rates):
                await trio.sleep(SETTLE_S)
                self._answered = self._failed = 0
                load = functools.partial(self._generate_load, address, rate)
                interval = await monitor.measure_interval(
                    fleet.entries | fleet.agents, INTERVAL_S, load
                )
                if self._failed:
                    raise RuntimeError(f"{self._failed} jobs failed at {rate} tasks/s")
                agent_cores = sum(interval.cpu_cores[name] for name in fleet.agents)
                owner_traffic = interval.traffic[owner]
                resident = max(
                    interval.usage[name].resident_bytes for name in fleet.agents
                )
                table.add(
                    self._answered * self._job_size / interval.seconds,
                    front_ms_per_s=interval.cpu_cores[front] * MS_PER_S,
                    owner_ms_per_s=interval.cpu_cores[owner] * MS_PER_S,
                    agents_ms_per_s=agent_cores * MS_PER_S,
                    owner_agents_B_per_s=owner_traffic["agent bytes"],
                    owner_agents_messages_per_s=owner_traffic["agent messages"],
                    owner_front_B_per_s=owner_traffic["entry bytes"],
                    largest_agent_resident_MiB=resident / MIB,
                    owner_resident_MiB=interval.usage[owner].resident_bytes / MIB,
                )
        return table.series()

    async def _generate_load(self, address, rate):
        if not rate:
            return
        send, receive = trio.open_memory_channel(1000)
        job_interval_s = self._job_size / rate
        async with trio.open_nursery() as nursery, receive:
            for _ in range(self.connections):
                nursery.start_soon(self._submit_jobs, address, receive.clone())
            started = trio.current_time()
            async with send:
                for number in range(round((INTERVAL_S - 0.5) / job_interval_s)):
                    await trio.sleep_until(started + number * job_interval_s)
                    send.send_nowait(f"job-{next(self._ids)}-{time.time_ns()}")

    async def _submit_jobs(self, address, job_ids):
        async with job_ids, Caller(address, TOKEN) as caller:
            async for job_id in job_ids:
                bodies = [{"echo": "x" * 50}] * self._job_size
                job = make_job(job_id, "desk", "kind-0", bodies)
                reply = await caller.submit(job)
                self._answered += reply.code == 0
                self._failed += reply.code != 0


class Records(SlopeRun):
    """Number of start records that an agent holds when a new owner fences it."""

    title = "start records at an agent, and its FenceReply"
    counts = (0, 2500, 5000, 10_000, 20_000)
    per_message = 500
    partition = "desk/0"

    async def run(self):
        """Return the series of the agent process and of the fence reply."""
        table = SeriesTable("records")
        with tempfile.TemporaryDirectory(prefix="hornbeamshore-") as name:
            fleet = Fleet(DEPLOYMENT, Path(name))
            try:
                async with trio.open_nursery() as nursery:
                    await self._measure(fleet, table, nursery)
                    nursery.cancel_scope.cancel()
            finally:
                fleet.kill_all()
        return table.series()

    async def _measure(self, fleet, table, nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        owner = _StandinOwner()
        identity = Identity(
            DEPLOYMENT,
            str(ProcessKind.ENTRY),
            "entry-1",
            new_incarnation(),
            DATA_CENTRE,
        )
        nursery.start_soon(
            serve_connections,
            listeners,
            identity,
            fleet.secret,
            WireSettings(),
            owner,
        )
        proc = await fleet.start_agent_without_target(_target_plan("agent-1"), address)
        conn, pid, record_count, epoch = await owner.connection(), proc.popen.pid, 0, 1
        # An agent that has just started does not grant a fence.
        await trio.sleep(conn.cfg.suspect_after)
        await owner.fence(conn, self.partition, epoch)
        for count in self.counts:
            for start in range(record_count, count, self.per_message):
                body = CopyRecords(
                    self.partition,
                    epoch,
                    "agent-2",
                    tuple(_start_record(start + i) for i in range(self.per_message)),
                )
                await conn.call(body, 10.0)
            record_count, epoch = count, epoch + 1
            # Lets the agent release the memory that copying the records took.
            await trio.sleep(SETTLE_S)
            reset_peak(pid)
            before = read_usage(pid)
            received = conn.bytes_received
            records = await owner.fence(conn, self.partition, epoch)
            after = read_usage(pid)
            if records != count:
                raise RuntimeError(f"{records} of {count} start records received")
            table.add(
                count,
                agent_resident_MiB=before.resident_bytes / MIB,
                agent_peak_MiB=after.peak_bytes / MIB,
                fence_ms=(after.cpu_s - before.cpu_s) * MS_PER_S,
                fence_reply_KiB=(conn.bytes_received - received) / KIB,
            )


class _StandinOwner(MessageHandler):
    """Partition owner that fences an agent and counts the records it receives."""

    def __init__(self):
        self._opened, self._conn = trio.Event(), None
        self._records_before_reply = 0

    def opened(self, conn):
        self._conn = conn
        self._opened.set()

    def handle(self, conn, message):
        """Count the records sent before the reply; ignore other messages."""
        if isinstance(message.body, FenceRecords):
            self._records_before_reply += len(message.body.records)

    async def connection(self):
        await self._opened.wait()
        return self._conn

    async def fence(self, conn, partition, epoch):
        self._records_before_reply = 0
        body = Fence(partition, epoch, takes_ahead=True)
        reply = await conn.call(body, 10.0)
        if reply.code:
            raise RuntimeError(f"agent refused the fence with code {reply.code}")
        return self._records_before_reply + len(reply.records)


class Changes(SlopeRun):
    """Number of changes of a full-size configuration, with three entries."""

    title = "configuration changes of target size, 3 entries, no agents"
    counts = (0, 2, 4, 8)

    async def run(self):
        """Return the series of the mean entry and of the configuration."""
        table = SeriesTable("changes")
        async with _fleet_with_monitor(3) as (fleet, monitor):
            make_revision = functools.partial(
                make_deployment,
                {"desk": 1},
                kinds=DESIGN_KINDS_PER_TEAM * DESIGN_TEAMS,
                teams=DESIGN_TEAMS,
            )
            await write_deployment(fleet, make_revision())
            await monitor.wait_for(lambda reports: len(partition_owners(reports)) == 1)
            await trio.sleep(SETTLE_S)
            for count in self.counts:
                change = functools.partial(_apply_changes, fleet, make_revision, count)
                interval = await monitor.measure_interval(
                    fleet.entries, INTERVAL_S, change
                )
                mean_cores = sum(interval.cpu_cores.values()) / len(fleet.entries)
                peer_bytes_per_s = sum(
                    interval.traffic[i]["entry bytes"] for i in fleet.entries
                )
                resident = max(item.resident_bytes for item in interval.usage.values())
                table.add(
                    count,
                    each_entry_ms=mean_cores * interval.seconds * MS_PER_S,
                    each_entry_peer_KiB=peer_bytes_per_s * interval.seconds / 3 / KIB,
                    largest_entry_resident_MiB=resident / MIB,
                    content_KiB_read=count
                    * len(content.encode(make_revision(), ""))
                    / KIB,
                )
        return table.series()


RUNS = (
    AgentProcesses(),
    ManyAgents(),
    Entries(),
    Services(),
    Tasks(10, (50, 100, 200, 400)),
    Tasks(1, (25, 50, 100, 150)),
    Records(),
    Changes(),
)


def make_deployment(services, kinds=1, teams=1, change=0):
    """Return a deployment with numbered kinds and teams.

    Parameters
    ----------
    services : dict of str to int
        Number of partitions by service name.
    kinds : int
        Number of kinds of each service.
    teams : int
        Number of teams. The first one authenticates with `TOKEN`.
    change : int
        Number of the change, which sets the weight of one kind.
    """
    rng = random.Random(1)
    # Random names and numbers, since repeated ones compress to almost nothing.
    numbered = {_random_name(rng): _random_kind(rng) for _ in range(1, kinds)}
    first = Kind(Urgency.NORMAL, weight=1 + change / 1000)
    names = (TEAM, *(f"team-{number}" for number in range(1, teams)))
    return Deployment(
        DEPLOYMENT,
        {
            name: Service({"kind-0": first} | numbered, partitions=partitions)
            for name, partitions in services.items()
        },
        {name: Team(_token_digest(name), 1_000_000) for name in names},
    )


def _random_name(rng):
    return "-".join(rng.choices(_WORDS, k=2)) + f"-{rng.randrange(1000)}"


def _random_kind(rng):
    return Kind(
        urgency=rng.choice(tuple(Urgency)),
        repeatable=rng.random() < 0.5,
        deadline=Duration(rng.randint(1, 60)),
        expected_run=Duration(rng.randint(50, 1000) / 1000),
        max_body=ByteSize(rng.randint(1, 64) * KIB),
        weight=rng.randint(1, 10),
    )


def _token_digest(team):
    token = TOKEN if team == TEAM else team
    return hashlib.sha256(token.encode()).hexdigest()


async def write_deployment(fleet, deployment):
    """Write a deployment to the store of a fleet."""
    async with EtcdStore(EtcdSettings((fleet.store.first_line,))) as store:
        (await apply_deployment(store, deployment)).unwrap()


async def _apply_changes(fleet, make_revision, revisions):
    for _ in range(revisions):
        await write_deployment(fleet, make_revision(change=next(_CHANGE_NUMBERS)))
        await trio.sleep(0.1)


_CHANGE_NUMBERS = itertools.count(1)


@contextlib.asynccontextmanager
async def _fleet_with_monitor(entries):
    plans = [EntryPlan(f"entry-{number}", DATA_CENTRE) for number in range(entries)]
    async with running_fleet(DEPLOYMENT, plans, ()) as fleet:
        yield fleet, FleetMonitor(fleet)


def _target_plan(agent_id):
    return TargetPlan(agent_id, DATA_CENTRE, f"rack-{agent_id}", "desk")


def _entry_values(interval, peer):
    (entry_id, *_) = interval.traffic
    traffic = interval.traffic[entry_id]
    return {
        "entry_ms_per_s": interval.cpu_cores[entry_id] * MS_PER_S,
        "entry_resident_MiB": interval.usage[entry_id].resident_bytes / MIB,
        f"{peer}_messages_per_s": traffic[f"{peer} messages"],
        f"{peer}_B_per_s": traffic[f"{peer} bytes"],
    }


def _start_record(number):
    key = JobKey(TEAM, "desk", f"job-{number // 10:016d}")
    result = TaskResult(number % 10, 1, 0, 1, 200, run_time_us=123_456)
    return StartRecord(key, number % 10, 1, RecordState.ENDED, 1_800_000_000, result)
