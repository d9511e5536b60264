"""The two benchmarked systems: hornbeamshore and the baseline dispatcher."""

import abc
import contextlib
import tempfile
from dataclasses import dataclass
from pathlib import Path

import trio

from hornbeamshore.bench.caller import Caller, apply_config, wait_ready
from hornbeamshore.bench.fleet import SECRET, Fleet
from hornbeamshore.bench.profiles import (
    SLOTS_PER_TARGET,
    entry_plans,
    misdeclared_deployment,
    target_plans,
)
from hornbeamshore.bench.system_status import process_cpu_s, query_status
from hornbeamshore.wire.connection import CallTimeout, ConnectionLost

PAUSE_DURATION_S = 8.0
READY_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Counters:
    """Message counters of a system since its start.

    Attributes
    ----------
    starts : int
        Tasks started.
    refusals, retries, late_answers : int
        Wasted messages, which had no effect on an answer, by reason.
    agent_messages, agent_bytes : int
        Traffic between entries and agents in both directions.
    """

    starts: int = 0
    refusals: int = 0
    retries: int = 0
    late_answers: int = 0
    agent_messages: int = 0
    agent_bytes: int = 0

    def __add__(self, other):
        return self._combine(other, 1)

    def __sub__(self, other):
        return self._combine(other, -1)

    @property
    def wasted(self):
        """Return the number of wasted messages."""
        return self.refusals + self.retries + self.late_answers

    def _combine(self, other, sign):
        return Counters(
            *(
                getattr(self, name) + sign * getattr(other, name)
                for name in self.__slots__
            )
        )


class System(abc.ABC):
    """Dispatcher and its targets, run as processes on loopback.

    Parameters
    ----------
    profile : Profile
        Deployment and its load.
    seed : int
        Seed of the target speeds and the declared run times.
    directory : pathlib.Path
        Directory of settings and logs.
    """

    name = ""

    def __init__(self, profile, seed, directory):
        self.profile = profile
        self.targets = target_plans(profile, seed)
        self.fleet = Fleet(profile.name, directory)
        self._seed = seed

    @abc.abstractmethod
    async def start(self):
        """Start all processes and wait until jobs are answered."""

    @abc.abstractmethod
    def addresses(self):
        """Return the HTTP addresses that callers submit to."""

    @abc.abstractmethod
    async def counters(self):
        """Return the `Counters` since the start."""

    @abc.abstractmethod
    async def faults(self):
        """Return the faults to inject.

        Returns
        -------
        tuple of (float, coroutine function)
            Seconds from the start of a pass, and the function that causes the fault.
        """

    async def prepare_pass(self):
        """Prepare the system for the next pass."""
        return

    def groups(self):
        """Return the processes of each group for which CPU time is summed."""
        return {"targets": self.fleet.targets.values()}

    def cpu_s(self):
        """Return the CPU seconds of each process group so far."""
        return {
            name: sum(process_cpu_s(proc.popen.pid) for proc in group)
            for name, group in self.groups().items()
        }

    def target_events(self):
        """Return the log events of all targets, each with its agent id as ``agent``."""
        return [
            {**event, "agent": plan.agent_id}
            for plan in self.targets
            for event in self.fleet.target_log(plan.agent_id)
        ]

    async def _start_targets(self):
        async with trio.open_nursery() as nursery:
            for plan in self.targets:
                nursery.start_soon(self.fleet.start_target, plan)


class HornbeamshoreSystem(System):
    """Hornbeamshore: store, entries and agents in separate processes."""

    name = "hornbeamshore"

    def __init__(self, profile, seed, directory):
        super().__init__(profile, seed, directory)
        self._ended_counters = Counters()

    async def start(self):
        """Start all processes and wait until jobs are answered."""
        fleet, profile = self.fleet, self.profile
        path = fleet.directory / "deployment.yaml"
        path.write_text(misdeclared_deployment(profile, self._seed))
        await fleet.start(entry_plans(profile), self.targets)
        await apply_config(fleet.store.first_line, path)
        demand = profile.demands[0]
        token = profile.tokens[demand.team]
        for address in self.addresses():
            await wait_ready(address, token, profile.service, demand.kind)
        with trio.fail_after(READY_TIMEOUT_S):
            # The status report is the only sign that all agents are in use.
            while await self._slot_count() < len(self.targets) * SLOTS_PER_TARGET:  # noqa: ASYNC110
                await trio.sleep(0.2)

    def addresses(self):
        """Return the HTTP addresses of the running entries."""
        return tuple(self.fleet.http_address(name) for name in self.fleet.entries)

    async def counters(self):
        """Return the `Counters` of the running entries and of killed owners."""
        total = self._ended_counters
        for report in await self._reports():
            total += _counters_from_report(report)
        return total

    async def faults(self):
        """Return overlapping faults of the store, two agents and the owner."""
        killed, paused = (self.targets[i].agent_id for i in (0, 4))
        agents = self.fleet.agents
        return (
            (2.0, self._as_async(self.fleet.store.kill)),
            (4.0, self._as_async(agents[killed].kill)),
            (6.0, self._as_async(agents[paused].pause)),
            (9.0, self._kill_owner),
            (6.0 + PAUSE_DURATION_S, self._as_async(agents[paused].resume)),
        )

    def groups(self):
        """Return the processes of each group for which CPU time is summed."""
        return {
            **super().groups(),
            **{name: (proc,) for name, proc in self.fleet.entries.items()},
            "agents": self.fleet.agents.values(),
        }

    async def _reports(self):
        reports = []
        for name, proc in self.fleet.entries.items():
            if proc.popen.poll() is None:
                address = self.fleet.peer_address(name)
                with contextlib.suppress(ConnectionLost, CallTimeout):
                    reports.append(
                        await query_status(self.profile.name, address, SECRET.encode())
                    )
        return reports

    async def _slot_count(self):
        return sum(
            partition["scheduler"]["slots"]
            for report in await self._reports()
            for partition in report["partitions"]
        )

    async def _kill_owner(self):
        for report in await self._reports():
            if report["partitions"]:
                self._ended_counters += _counters_from_report(report)
                self.fleet.entries[report["entry_id"]].kill()

    def _as_async(self, function):
        async def inject():
            function()

        return inject


class BaselineSystem(System):
    """Baseline dispatcher in a single process, with its own targets."""

    name = "baseline"

    def __init__(self, profile, seed, directory):
        super().__init__(profile, seed, directory)
        self._proc = None
        self._ended_counters = Counters()

    async def start(self):
        """Start the targets; `prepare_pass` starts the dispatcher."""
        await self._start_targets()

    async def prepare_pass(self):
        """Restart the dispatcher, which drops what its unbounded queue still holds."""
        if self._proc is not None:
            self._ended_counters = await self.counters()
            self._proc.kill()
        await self._spawn(0)

    def addresses(self):
        """Return the address of the dispatcher."""
        return (self._proc.first_line,)

    async def counters(self):
        """Return the `Counters` of the dispatcher, its earlier processes included."""
        async with Caller(self._proc.first_line, "none") as caller:
            counts = (await caller.request("GET", "/counters")).content
        counted = Counters(
            starts=counts["starts"],
            refusals=counts["failed"],
            late_answers=counts["late"],
        )
        return self._ended_counters + counted

    async def faults(self):
        """Return faults of two targets and the dispatcher; there is no store."""
        killed, paused = (self.fleet.targets[self.targets[i].agent_id] for i in (0, 4))

        async def pause():
            paused.pause()

        async def resume():
            paused.resume()

        async def kill():
            killed.kill()

        return (
            (4.0, kill),
            (6.0, pause),
            (9.0, self._restart),
            (6.0 + PAUSE_DURATION_S, resume),
        )

    def groups(self):
        """Return the processes of each group for which CPU time is summed."""
        return {**super().groups(), "dispatcher": (self._proc,)}

    async def _restart(self):
        self._ended_counters = await self.counters()
        port = self._proc.first_line.rpartition(":")[2]
        self._proc.kill()
        await self._spawn(port)

    async def _spawn(self, port):
        addresses = ",".join(
            proc.first_line
            for proc in self.fleet.targets.values()
            if proc.popen.poll() is None
        )
        arguments = ["--targets", addresses, "--slots", str(SLOTS_PER_TARGET)]
        arguments += ["--seed", str(self._seed), "--port", str(port)]
        self._proc = await self.fleet.spawn(
            "baseline", ["-m", "hornbeamshore.bench.baseline", *arguments]
        )


SYSTEMS = (HornbeamshoreSystem, BaselineSystem)


@contextlib.asynccontextmanager
async def running_system(system_class, profile, seed):
    """Start a system, yield it, and end all its processes on exit."""
    with tempfile.TemporaryDirectory(prefix="hornbeamshore-") as directory:
        system = system_class(profile, seed, Path(directory))
        try:
            await system.start()
            yield system
        finally:
            system.fleet.kill_all()


def _counters_from_report(report):
    dispatch = report["dispatch"]
    return Counters(
        dispatch["starts"],
        dispatch["wasted"].get("refusal", 0),
        dispatch["retries"],
        dispatch["wasted"].get("late answer", 0),
        sum(agent["messages"] for agent in report["agents"]),
        sum(agent["bytes"] for agent in report["agents"]),
    )
