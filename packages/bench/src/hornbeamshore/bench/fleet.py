"""A deployment as processes on loopback: store, entries, agents and targets.

Used by the demonstration, the measurements and the failure tests. All processes
listen on ports that the kernel chooses and end with the context.
"""

import contextlib
import functools
import json
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import trio
import yaml

STOP_TIMEOUT_S = 20.0
SECRET = "secret of a deployment on loopback"


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """Target and its agent.

    Attributes
    ----------
    speed : float
        Share of the nominal speed at which the target works.
    """

    agent_id: str
    data_centre: str
    rack: str
    service: str
    speed: float = 1.0
    slots: int = 8
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EntryPlan:
    """Entry process."""

    entry_id: str
    data_centre: str
    rack: str = ""


@dataclass(frozen=True, slots=True)
class Proc:
    """Running process and the first line that it printed."""

    name: str
    popen: subprocess.Popen
    line: str

    def kill(self):
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def pause(self):
        """Stop the process from running, as a frozen host does."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process run again."""
        self.popen.send_signal(signal.SIGCONT)

    async def terminate(self, timeout_s=STOP_TIMEOUT_S):
        """Ask for a graceful shutdown and return the exit code."""
        self.popen.terminate()
        return await self.wait(timeout_s)

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Return the exit code; raise `trio.TooSlowError` if there is none in time."""
        wait = functools.partial(self.popen.wait, timeout_s)
        try:
            return await trio.to_thread.run_sync(wait)
        except subprocess.TimeoutExpired:
            raise trio.TooSlowError(f"{self.name} did not end") from None


class Fleet:
    """Processes of one deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    directory : pathlib.Path
        For settings and logs.
    wire : dict
        Settings of connections, such as ``{"suspect_after": "1.5s"}``.
    """

    def __init__(self, deployment, directory, wire=None):
        self.deployment = deployment
        self.directory = directory
        self.wire = wire or {}
        self.store = None
        self.entries = {}
        self.targets = {}
        self.agents = {}
        self._secret = directory / "secret"
        self._secret.write_text(SECRET)
        self._running = []

    @property
    def secret_file(self):
        """Return the path of the deployment's secret."""
        return str(self._secret)

    def http_of(self, entry_id):
        """Return the ``host:port`` at which an entry serves callers."""
        return json.loads(self.entries[entry_id].line)["http"]

    def peer_of(self, entry_id):
        """Return the ``host:port`` at which an entry serves its peers."""
        return json.loads(self.entries[entry_id].line)["peer"]

    def target_log(self, agent_id):
        """Return the events that a target wrote, oldest first."""
        path = self.directory / f"{agent_id}.log"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    async def start_store(self):
        """Start the stand-in of the platform's store."""
        self.store = await self._spawn(
            "store", ["-m", "hornbeamshore.bench.standin_store"]
        )
        return self.store

    async def start_entry(self, plan):
        """Start an entry and return its process."""
        cfg = {
            "deployment": self.deployment,
            "entry_id": plan.entry_id,
            "data_centre": plan.data_centre,
            "rack": plan.rack or f"rack-{plan.entry_id}",
            "http_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "secret_file": self.secret_file,
            "store": {"endpoints": [self.store.line]},
            "seeds": [self.peer_of(name) for name in self.entries],
            "wire": self.wire,
            "log_level": "info",
        }
        path = self._write_settings(plan.entry_id, cfg)
        proc = await self._spawn(
            plan.entry_id,
            [_binary("hornbeamshore"), "entry", "--settings", path],
        )
        self.entries[plan.entry_id] = proc
        return proc

    async def start_target(self, plan):
        """Start a target and return its process."""
        log = str(self.directory / f"{plan.agent_id}.log")
        arguments = ["--speed", str(plan.speed), "--log", log]
        self.targets[plan.agent_id] = await self._spawn(
            f"target-{plan.agent_id}",
            ["-m", "hornbeamshore.bench.standin_target", *arguments],
        )
        return self.targets[plan.agent_id]

    async def start_agent(self, plan):
        """Start an agent beside a running target and return its process."""
        cfg = {
            "deployment": self.deployment,
            "agent_id": plan.agent_id,
            "data_centre": plan.data_centre,
            "rack": plan.rack,
            "service": plan.service,
            "labels": list(plan.labels),
            "target": self.targets[plan.agent_id].line,
            "slots": plan.slots,
            "entries": [self.peer_of(name) for name in self.entries],
            "secret_file": self.secret_file,
            "wire": self.wire,
        }
        path = self._write_settings(plan.agent_id, cfg)
        arguments = [_binary("hornbeamshore-agent"), "run", "--settings", path]
        proc = await self._spawn(plan.agent_id, arguments, wait_for_line=False)
        self.agents[plan.agent_id] = proc
        return proc

    async def start(self, entries, targets):
        """Start a store, then entries, then targets with their agents."""
        await self.start_store()
        for plan in entries:
            await self.start_entry(plan)
        async with trio.open_nursery() as nursery:
            for plan in targets:
                nursery.start_soon(self._start_pair, plan)

    async def _start_pair(self, plan):
        await self.start_target(plan)
        await self.start_agent(plan)

    def end_all(self):
        """End all processes at once."""
        for proc in self._running:
            if proc.poll() is None:
                proc.kill()
        for proc in self._running:
            proc.wait()

    def _write_settings(self, name, cfg):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg))
        return str(path)

    async def _spawn(self, name, arguments, *, wait_for_line=True):
        errors = open(self.directory / f"{name}.err", "ab")  # noqa: ASYNC230, SIM115
        popen = subprocess.Popen(  # noqa: ASYNC220
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=errors,
        )
        errors.close()
        self._running.append(popen)
        line = b""
        if wait_for_line:
            line = await trio.to_thread.run_sync(popen.stdout.readline)
            if not line:
                detail = (self.directory / f"{name}.err").read_text()[-2000:]
                raise RuntimeError(f"{name} did not start: {detail}")
        return Proc(name, popen, line.decode().strip())


def _binary(name):
    return str(Path(sys.executable).parent / name)


@contextlib.asynccontextmanager
async def running_fleet(deployment, entries, targets, wire=None):
    """Start a deployment, yield its `Fleet`, and end all its processes.

    Parameters
    ----------
    entries : sequence of EntryPlan
        Entries to start.
    targets : sequence of TargetPlan
        Targets to start, each with an agent.
    """
    with tempfile.TemporaryDirectory(prefix="hornbeamshore-") as name:
        fleet = Fleet(deployment, Path(name), wire)
        try:
            await fleet.start(entries, targets)
            yield fleet
        finally:
            fleet.end_all()
