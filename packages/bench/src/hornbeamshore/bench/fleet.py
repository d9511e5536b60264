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
from http import HTTPStatus
from pathlib import Path

import httpcore
import trio
import yaml

from hornbeamshore.bench.relay import Relay
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    MessageHandler,
    WireSettings,
    open_connection,
)
from hornbeamshore.wire.handshake import HandshakeError, Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

STOP_TIMEOUT_S = 20.0
STATUS_TIMEOUT_S = 2.0
# For agents that are given no task; port 9 is never bound here.
UNUSED_ADDRESS = "127.0.0.1:9"
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
    relay_nursery : trio.Nursery or None
        Where a `Relay` in front of each entry's peer address runs; None for none.
        A relay still accepts connections when its entry is dead.
    log_level : str
        Of entries and agents.
    """

    def __init__(
        self, deployment, directory, wire=None, relay_nursery=None, log_level="info"
    ):
        self.deployment = deployment
        self.directory = directory
        self.wire = wire or {}
        self.relays = {}
        self._relay_nursery = relay_nursery
        self.log_level = log_level
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

    @property
    def secret(self):
        """Return the deployment's secret."""
        return self._secret.read_bytes()

    def http_of(self, entry_id):
        """Return the ``host:port`` at which an entry serves callers."""
        return json.loads(self.entries[entry_id].line)["http"]

    def peer_of(self, entry_id):
        """Return the ``host:port`` at which an entry serves its peers."""
        return json.loads(self.entries[entry_id].line)["peer"]

    def error_log(self, name):
        """Return what a process wrote to its standard error."""
        return (self.directory / f"{name}.err").read_text()

    def operator_settings(self, token):
        """Write the settings of an operator and return their path."""
        token_file = self.directory / "token"
        token_file.write_text(token)
        cfg = {
            "deployment": self.deployment,
            "entries": [self.peer_of(name) for name in self.entries],
            "secret_file": self.secret_file,
            "store": {"endpoints": [self.store.line]},
            "http": [self.http_of(name) for name in self.entries],
            "token_file": str(token_file),
        }
        return self._write_settings("operator", cfg)

    def target_log(self, agent_id):
        """Return the events that a target wrote, oldest first.

        Raises
        ------
        FileNotFoundError
            If the log is gone, which must not pass for a target without work.
        """
        lines = (self.directory / f"{agent_id}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def start_store(self):
        """Start the stand-in of the platform's store."""
        self.store = await self.spawn(
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
            "log_level": self.log_level,
        }
        if self._relay_nursery is not None:
            relay = await self._relay_nursery.start(Relay().serve)
            cfg |= {"peer_listen": relay.upstream, "peer_address": relay.address}
            self.relays[plan.entry_id] = relay
        path = self._write_settings(plan.entry_id, cfg)
        proc = await self.spawn(
            plan.entry_id,
            [_binary("hornbeamshore"), "entry", "--settings", path],
        )
        self.entries[plan.entry_id] = proc
        return proc

    async def start_target(self, plan):
        """Start a target and return its process."""
        log = str(self.directory / f"{plan.agent_id}.log")
        arguments = ["--speed", str(plan.speed), "--log", log]
        self.targets[plan.agent_id] = await self.spawn(
            f"target-{plan.agent_id}",
            ["-m", "hornbeamshore.bench.standin_target", *arguments],
        )
        return self.targets[plan.agent_id]

    async def start_agent(self, plan):
        """Start an agent beside a running target and return its process."""
        path = self.write_agent_settings(plan, self.targets[plan.agent_id].line)
        arguments = [_binary("hornbeamshore-agent"), "run", "--settings", path]
        proc = await self.spawn(plan.agent_id, arguments, wait_for_line=False)
        self.agents[plan.agent_id] = proc
        return proc

    async def start_crowd(self, plan, count):
        """Start one process of many agents without targets and return it."""
        path = self.write_agent_settings(plan, UNUSED_ADDRESS)
        module = "hornbeamshore.bench.crowd"
        arguments = ["-m", module, "--settings", path, "--count", str(count)]
        return await self.spawn(plan.agent_id, arguments, wait_for_line=False)

    def write_agent_settings(self, plan, target, entries=None):
        """Write the settings of an agent and return their path.

        Parameters
        ----------
        target : str
            ``host:port`` of its target.
        entries : sequence of str, optional
            Peer addresses; by default those of all entries that were started.
        """
        cfg = {
            "deployment": self.deployment,
            "agent_id": plan.agent_id,
            "data_centre": plan.data_centre,
            "rack": plan.rack,
            "service": plan.service,
            "labels": list(plan.labels),
            "target": target,
            "slots": plan.slots,
            "entries": entries or [self.peer_of(name) for name in self.entries],
            "secret_file": self.secret_file,
            "wire": self.wire,
            "log_level": self.log_level,
        }
        return self._write_settings(plan.agent_id, cfg)

    async def start_lone_agent(self, plan, entry_address=None):
        """Start an agent without a target, of an entry that may be a stand-in."""
        entries = [entry_address] if entry_address else None
        path = self.write_agent_settings(plan, UNUSED_ADDRESS, entries)
        arguments = [_binary("hornbeamshore-agent"), "run", "--settings", path]
        return await self.spawn(plan.agent_id, arguments, wait_for_line=False)

    async def start(self, entries, targets):
        """Start a store, then entries, then targets with their agents."""
        await self.start_store()
        await self.start_entry(entries[0])
        async with trio.open_nursery() as nursery:
            for plan in entries[1:]:
                nursery.start_soon(self.start_entry, plan)
            for plan in targets:
                nursery.start_soon(self.start_target, plan)
        for plan in targets:
            await self.start_agent(plan)

    async def set_store_faults(self, **faults):
        """Switch faults of the store on or off; see `standin_store.Faults`."""
        await self.call_store("/standin/faults", faults)

    async def set_target_faults(self, agent_id, **faults):
        """Switch faults of a target on or off; see `standin_target.Faults`."""
        await _post(f"http://{self.targets[agent_id].line}/faults", faults)

    async def call_store(self, path, body):
        """Call the store or its control endpoint and return the decoded answer."""
        return await _post(self.store.line + path, body)

    async def status(self, entry_id):
        """Return the report of an entry for operators, None if it gives none."""
        identity = Identity(self.deployment, ProcessKind.OPERATOR, "bench", 0, "")
        address = self.peer_of(entry_id)
        with contextlib.suppress(ConnectionLost, HandshakeError):
            async with open_connection(
                address, identity, SECRET.encode(), WireSettings()
            ) as conn:
                return await _ask_status(conn)
        return None

    async def owner_of(self, partition):
        """Return the id of the entry that says it owns a partition, or None."""
        for entry_id in list(self.entries):
            report = await self.status(entry_id)
            owned = report["partitions"] if report is not None else ()
            if any(item["partition"] == partition for item in owned):
                return entry_id
        return None

    def process(self, name):
        """Return the process of an entry or an agent."""
        return self.entries.get(name) or self.agents[name]

    def kill(self, name):
        """End an entry or an agent at once; callers no longer get its address."""
        self._forget(name).kill()

    async def stop(self, name):
        """Stop an entry or an agent as planned and return its exit code."""
        return await self._forget(name).terminate()

    def _forget(self, name):
        group = self.entries if name in self.entries else self.agents
        return group.pop(name)

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

    async def spawn(self, name, arguments, *, wait_for_line=True):
        """Start a Python process, with its errors in a file, and return its `Proc`."""
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


class _NoMessages(MessageHandler):
    def handle(self, conn, message):
        pass


async def _ask_status(conn):
    content = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.run, _NoMessages())
        with contextlib.suppress(ConnectionLost, CallTimeout):
            reply = await conn.call(StatusQuery("status"), STATUS_TIMEOUT_S)
            content = json.loads(reply.content)
        nursery.cancel_scope.cancel()
    return content


async def _post(url, body):
    content = json.dumps(body).encode()
    headers = [("Content-Type", "application/json")]
    headers.append(("Content-Length", str(len(content))))
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", url, headers=headers, content=content)
    if response.status != HTTPStatus.OK:
        raise RuntimeError(f"{url}: status {response.status}: {response.content!r}")
    return json.loads(response.content)


def _binary(name):
    return str(Path(sys.executable).parent / name)


@contextlib.asynccontextmanager
async def running_fleet(
    deployment,
    entries,
    targets,
    wire=None,
    *,
    relayed=False,
    log_level="info",
    starting=None,
    directory=None,
):
    """Start a deployment, yield its `Fleet`, and end all its processes.

    Parameters
    ----------
    entries : sequence of EntryPlan
        Entries to start.
    targets : sequence of TargetPlan
        Targets to start, each with an agent.
    relayed : bool
        Whether a `Relay` stands in front of the peer address of each entry.
    starting : trio.CapacityLimiter or None
        Bounds how many fleets start at a time.
    directory : pathlib.Path or None
        Where the directory of the fleet is made; None for the system's.
    """
    with tempfile.TemporaryDirectory(prefix="hornbeamshore-", dir=directory) as name:
        async with trio.open_nursery() as nursery:
            relay_nursery = nursery if relayed else None
            fleet = Fleet(deployment, Path(name), wire, relay_nursery, log_level)
            try:
                async with starting or contextlib.nullcontext():
                    await fleet.start(entries, targets)
                yield fleet
            finally:
                fleet.end_all()
            nursery.cancel_scope.cancel()
