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
from hornbeamshore.bench.probe import Probe, agents_in_use, owned
from hornbeamshore.bench.usage import reset_peak, usage_of
from hornbeamshore.config import content
from hornbeamshore.config.apply import apply_deployment
from hornbeamshore.config.model import Deployment, Kind, Service, Team, Urgency
from hornbeamshore.store.etcd import EtcdSettings, EtcdStore
from hornbeamshore.wire.connection import (
    MessageHandler,
    WireSettings,
    serve_connections,
)
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
SPAN_S = 5.0
# Time for connection set-up and notices to complete after the fleet has changed.
SETTLE_S = 1.5
MS = 1e3
US = 1e6
KIB = 1024
MIB = 1024 * 1024
_WORDS = ("stock", "quote", "layout", "slot", "order", "preview", "steel", "net")
TARGET_TEAMS = 110
TARGET_KINDS_PER_TEAM = 60
TARGET_PARTITION_AGENTS = 58
CROWD_PARTITIONS = 8


@dataclass(frozen=True, slots=True)
class Points:
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


class Table:
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

    def lines(self):
        """Return the `Points` of each series."""
        return [Points(self._x, y, tuple(got)) for y, got in self._points.items()]


class SlopeRun(abc.ABC):
    """Measurement on a deployment of its own."""

    title = ""

    @abc.abstractmethod
    async def run(self):
        """Run the measurement and return a list of `Points`."""


class RealAgents(SlopeRun):
    """Number of agents, each in its own process, with one entry."""

    title = "agents on one entry, real processes, idle"
    counts = (4, 8, 16, 32)

    async def run(self):
        """Return the series of the entry and of the mean agent."""
        table = Table("agents")
        async with _fleet(1) as (fleet, probe):
            await apply(fleet, make_deployment({"desk": 1}))
            agents = {}
            for count in self.counts:
                for number in range(len(agents), count):
                    plan = _plan(f"agent-{number}")
                    agents[plan.agent_id] = await fleet.start_lone_agent(plan)
                await probe.wait_for(lambda got, n=count: agents_in_use(got) == n)
                await trio.sleep(SETTLE_S)
                span = await probe.span(fleet.entries | agents, SPAN_S)
                mean = sum(span.processor[name] for name in agents) / count
                resident = sum(span.usage[name].resident for name in agents) / count
                table.add(
                    count,
                    **_entry_values(span, "agent"),
                    each_agent_ms_per_s=mean * MS,
                    each_agent_resident_MiB=resident / MIB,
                )
        return table.lines()


class CrowdOfAgents(SlopeRun):
    """Number of agents, many in one process, with one entry.

    Each partition has at most the number of agents that the system is designed for.
    """

    title = "agents on one entry, many in a process, 8 partitions, idle"
    counts = tuple(TARGET_PARTITION_AGENTS * factor for factor in (1, 2, 4, 8))

    async def run(self):
        """Return the series of the entry and of all agents."""
        table = Table("agents")
        async with _fleet(1) as (fleet, probe):
            await apply(fleet, make_deployment({"desk": CROWD_PARTITIONS}))
            running, crowds = 0, {}
            for count in self.counts:
                plan = _plan(f"crowd-{count}")
                crowds[plan.agent_id] = await fleet.start_crowd(plan, count - running)
                running = count
                await probe.wait_for(lambda got, n=count: agents_in_use(got) == n)
                await trio.sleep(SETTLE_S)
                span = await probe.span(fleet.entries | crowds, SPAN_S)
                table.add(
                    count,
                    **_entry_values(span, "agent"),
                    all_agents_ms_per_s=MS * sum(span.processor[i] for i in crowds),
                )
        return table.lines()


class Entries(SlopeRun):
    """Number of entries in one region, without agents."""

    title = "entries of one region, idle"
    counts = (2, 4, 8, 12)

    async def run(self):
        """Return the series of one entry and of the store."""
        table = Table("entries")
        async with _fleet(0) as (fleet, probe):
            for count in self.counts:
                for number in range(len(fleet.entries), count):
                    await fleet.start_entry(EntryPlan(f"entry-{number}", DATA_CENTRE))
                await probe.wait_for(
                    lambda got, n=count: all(
                        len(report["peers"]) == n - 1 for report in got.values()
                    )
                )
                await trio.sleep(SETTLE_S)
                span = await probe.span(fleet.entries, 2 * SPAN_S)
                values = _entry_values(span, "entry")
                table.add(count, **values, store_calls_per_s=span.store_calls)
        return table.lines()


class Services(SlopeRun):
    """Number of services in the configuration, each with 1 partition and 60 kinds."""

    title = "services of 60 kinds and 1 partition, one entry, no agents"
    counts = (10, 20, 40, 80)
    revisions = 4

    async def run(self):
        """Return the series of one entry, the store and the configuration."""
        table = Table("services")
        for count in self.counts:
            async with _fleet(1) as (fleet, probe):
                make = functools.partial(
                    make_deployment,
                    {f"desk-{number}": 1 for number in range(count)},
                    kinds=TARGET_KINDS_PER_TEAM,
                    teams=count,
                )
                calls = await probe.store_calls()
                await apply(fleet, make())
                await probe.wait_for(lambda got, n=count: len(owned(got)) == n)
                calls = await probe.store_calls() - calls
                await trio.sleep(SETTLE_S)
                idle = await probe.span(fleet.entries, SPAN_S)

                async def change(fleet=fleet, make=make):
                    await _change(fleet, make, self.revisions)

                busy = await probe.span(fleet.entries, SPAN_S, change)
                (entry_id,) = fleet.entries
                extra = busy.processor[entry_id] - idle.processor[entry_id]
                table.add(
                    count,
                    content_KiB=len(content.encode(make(), "x" * 22)) / KIB,
                    idle_entry_ms_per_s=idle.processor[entry_id] * MS,
                    entry_resident_MiB=idle.usage[entry_id].resident / MIB,
                    entry_ms_per_revision=extra * busy.seconds * MS / self.revisions,
                    store_calls_until_all_are_owned=calls,
                )
        return table.lines()


class Tasks(SlopeRun):
    """Rate of tasks submitted to an entry that does not own the partition.

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
        table = Table("tasks/s")
        plans = [_plan(f"agent-{number}") for number in range(self.agents)]
        entries = [EntryPlan(f"entry-{number}", DATA_CENTRE) for number in (1, 2)]
        async with running_fleet(DEPLOYMENT, entries, plans) as fleet:
            probe = Probe(fleet)
            await apply(fleet, make_deployment({"desk": 1}))
            reports = await probe.wait_for(
                lambda got: agents_in_use(got) == self.agents
            )
            (owner,) = owned(reports).values()
            (front,) = set(fleet.entries) - {owner}
            address = fleet.http_of(front)
            await wait_ready(address, TOKEN, "desk", "kind-0")
            for rate in (0, *self._rates):
                await trio.sleep(SETTLE_S)
                self._answered = self._failed = 0
                load = functools.partial(self._load, address, rate)
                span = await probe.span(fleet.entries | fleet.agents, SPAN_S, load)
                if self._failed:
                    raise RuntimeError(f"{self._failed} jobs failed at {rate} tasks/s")
                agents = sum(span.processor[name] for name in fleet.agents)
                both = span.traffic[owner]
                resident = max(span.usage[name].resident for name in fleet.agents)
                table.add(
                    self._answered * self._job_size / span.seconds,
                    front_ms_per_s=span.processor[front] * MS,
                    owner_ms_per_s=span.processor[owner] * MS,
                    agents_ms_per_s=agents * MS,
                    owner_agents_B_per_s=both["agent bytes"],
                    owner_agents_messages_per_s=both["agent messages"],
                    owner_front_B_per_s=both["entry bytes"],
                    largest_agent_resident_MiB=resident / MIB,
                    owner_resident_MiB=span.usage[owner].resident / MIB,
                )
        return table.lines()

    async def _load(self, address, rate):
        if not rate:
            return
        send, receive = trio.open_memory_channel(1000)
        every = self._job_size / rate
        async with trio.open_nursery() as nursery, receive:
            for _ in range(self.connections):
                nursery.start_soon(self._call, address, receive.clone())
            begin = trio.current_time()
            async with send:
                for number in range(round((SPAN_S - 0.5) / every)):
                    await trio.sleep_until(begin + number * every)
                    send.send_nowait(f"job-{next(self._ids)}-{time.time_ns()}")

    async def _call(self, address, job_ids):
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
        table = Table("records")
        with tempfile.TemporaryDirectory(prefix="hornbeamshore-") as name:
            fleet = Fleet(DEPLOYMENT, Path(name))
            try:
                async with trio.open_nursery() as nursery:
                    await self._measure(fleet, table, nursery)
                    nursery.cancel_scope.cancel()
            finally:
                fleet.end_all()
        return table.lines()

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
        proc = await fleet.start_lone_agent(_plan("agent-1"), address)
        conn, pid, held, epoch = await owner.connection(), proc.popen.pid, 0, 1
        # An agent that has just started does not grant a fence.
        await trio.sleep(conn.cfg.suspect_after)
        await owner.fence(conn, self.partition, epoch)
        for count in self.counts:
            for start in range(held, count, self.per_message):
                body = CopyRecords(
                    self.partition,
                    epoch,
                    "agent-2",
                    tuple(_record(start + i) for i in range(self.per_message)),
                )
                await conn.call(body, 10.0)
            held, epoch = count, epoch + 1
            # Time for the memory that the copied records used to be released.
            await trio.sleep(SETTLE_S)
            reset_peak(pid)
            before = usage_of(pid)
            received = conn.bytes_received
            records = await owner.fence(conn, self.partition, epoch)
            after = usage_of(pid)
            if records != count:
                raise RuntimeError(f"received {records} of {count} start records")
            table.add(
                count,
                agent_resident_MiB=before.resident / MIB,
                agent_peak_MiB=after.peak / MIB,
                fence_ms=(after.processor_s - before.processor_s) * MS,
                fence_reply_KiB=(conn.bytes_received - received) / KIB,
            )


class _StandinOwner(MessageHandler):
    """Partition owner that fences an agent and counts the records it receives."""

    def __init__(self):
        self._opened, self._conn = trio.Event(), None
        self._ahead = 0

    def opened(self, conn):
        self._conn = conn
        self._opened.set()

    def handle(self, conn, message):
        """Count the records sent before the reply; ignore other messages."""
        if isinstance(message.body, FenceRecords):
            self._ahead += len(message.body.records)

    async def connection(self):
        await self._opened.wait()
        return self._conn

    async def fence(self, conn, partition, epoch):
        self._ahead = 0
        body = Fence(partition, epoch, takes_ahead=True)
        reply = await conn.call(body, 10.0)
        if reply.code:
            raise RuntimeError(f"agent refused the fence with code {reply.code}")
        return self._ahead + len(reply.records)


class Changes(SlopeRun):
    """Number of changes of a full-size configuration, with three entries."""

    title = "configuration changes of target size, 3 entries, no agents"
    counts = (0, 2, 4, 8)

    async def run(self):
        """Return the series of the mean entry and of the configuration."""
        table = Table("changes")
        async with _fleet(3) as (fleet, probe):
            make = functools.partial(
                make_deployment,
                {"desk": 1},
                kinds=TARGET_KINDS_PER_TEAM * TARGET_TEAMS,
                teams=TARGET_TEAMS,
            )
            await apply(fleet, make())
            await probe.wait_for(lambda got: len(owned(got)) == 1)
            await trio.sleep(SETTLE_S)
            for count in self.counts:
                change = functools.partial(_change, fleet, make, count)
                span = await probe.span(fleet.entries, SPAN_S, change)
                mean = sum(span.processor.values()) / len(fleet.entries)
                peers = sum(span.traffic[i]["entry bytes"] for i in fleet.entries)
                resident = max(item.resident for item in span.usage.values())
                table.add(
                    count,
                    each_entry_ms=mean * span.seconds * MS,
                    each_entry_peer_KiB=peers * span.seconds / 3 / KIB,
                    largest_entry_resident_MiB=resident / MIB,
                    content_KiB_read=count * len(content.encode(make(), "")) / KIB,
                )
        return table.lines()


RUNS = (
    RealAgents(),
    CrowdOfAgents(),
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
    numbered = {_name(rng): _kind(rng) for _ in range(1, kinds)}
    first = Kind(Urgency.NORMAL, weight=1 + change / 1000)
    names = (TEAM, *(f"team-{number}" for number in range(1, teams)))
    return Deployment(
        DEPLOYMENT,
        {
            name: Service({"kind-0": first} | numbered, partitions=partitions)
            for name, partitions in services.items()
        },
        {name: Team(_digest(name), 1_000_000) for name in names},
    )


def _name(rng):
    return "-".join(rng.choices(_WORDS, k=2)) + f"-{rng.randrange(1000)}"


def _kind(rng):
    return Kind(
        urgency=rng.choice(tuple(Urgency)),
        repeatable=rng.random() < 0.5,
        deadline=Duration(rng.randint(1, 60)),
        expected_run=Duration(rng.randint(50, 1000) / 1000),
        max_body=ByteSize(rng.randint(1, 64) * KIB),
        weight=rng.randint(1, 10),
    )


def _digest(team):
    token = TOKEN if team == TEAM else team
    return hashlib.sha256(token.encode()).hexdigest()


async def apply(fleet, deployment):
    """Write a deployment to the store of a fleet."""
    async with EtcdStore(EtcdSettings((fleet.store.line,))) as store:
        (await apply_deployment(store, deployment)).unwrap()


async def _change(fleet, make, revisions):
    for _ in range(revisions):
        await apply(fleet, make(change=next(_CHANGES)))
        await trio.sleep(0.1)


_CHANGES = itertools.count(1)


@contextlib.asynccontextmanager
async def _fleet(entries):
    plans = [EntryPlan(f"entry-{number}", DATA_CENTRE) for number in range(entries)]
    async with running_fleet(DEPLOYMENT, plans, ()) as fleet:
        yield fleet, Probe(fleet)


def _plan(agent_id):
    return TargetPlan(agent_id, DATA_CENTRE, f"rack-{agent_id}", "desk")


def _entry_values(span, peer):
    (entry_id, *_) = span.traffic
    traffic = span.traffic[entry_id]
    return {
        "entry_ms_per_s": span.processor[entry_id] * MS,
        "entry_resident_MiB": span.usage[entry_id].resident / MIB,
        f"{peer}_messages_per_s": traffic[f"{peer} messages"],
        f"{peer}_B_per_s": traffic[f"{peer} bytes"],
    }


def _record(number):
    key = JobKey(TEAM, "desk", f"job-{number // 10:016d}")
    result = TaskResult(number % 10, 1, 0, 1, 200, run_time_us=123_456)
    return StartRecord(key, number % 10, 1, RecordState.ENDED, 1_800_000_000, result)
