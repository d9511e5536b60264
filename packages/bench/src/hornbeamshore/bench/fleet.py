"""Runs a deployment as processes on loopback: store, entries, agents and targets.

Used by the demonstration, the measurements and the failure tests. All processes
listen on ports that the kernel assigns, and are killed when the context exits.
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
)
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError, Identity
from hornbeamshore.wire.messages import ProcessKind, StatusQuery

STOP_TIMEOUT_S = 20.0
STATUS_TIMEOUT_S = 2.0
# Target address of agents that run no tasks; nothing listens on port 9.
UNUSED_ADDRESS = "127.0.0.1:9"
SECRET = "secret of a deployment on loopback"


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """Settings of a target and of its agent.

    Attributes
    ----------
    speed : float
        Speed of the target relative to the nominal speed.
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
    """Settings of an entry process."""

    entry_id: str
    data_centre: str
    rack: str = ""


@dataclass(frozen=True, slots=True)
class Proc:
    """Child process and the first line of its standard output."""

    name: str
    popen: subprocess.Popen
    first_line: str

    def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self):
        """Suspend the process with SIGSTOP, which simulates a frozen host."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    async def terminate(self, timeout_s=STOP_TIMEOUT_S):
        """Send SIGTERM and return the exit code.

        Raises
        ------
        trio.TooSlowError
            If the process does not exit within the timeout.
        """
        self.popen.terminate()
        return await self.wait(timeout_s)

    async def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the process to exit and return the exit code.

        Raises
        ------
        trio.TooSlowError
            If the process does not exit within the timeout.
        """
        wait = functools.partial(self.popen.wait, timeout_s)
        try:
            return await trio.to_thread.run_sync(wait)
        except subprocess.TimeoutExpired:
            raise trio.TooSlowError(f"{self.name} did not exit in time") from None


class Fleet:
    """Processes of one deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    directory : pathlib.Path
        Directory for settings and logs.
    wire : dict
        Settings of peer connections, such as ``{"suspect_after": "1.5s"}``.
    relay_nursery : trio.Nursery or None
        Nursery that runs a `Relay` in front of the peer address of each entry; None
        to start no relays. A relay accepts connections even when its entry is dead.
    log_level : str
        Log level of entries and agents.
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
        self._processes = []

    @property
    def secret_file(self):
        """Path of the file that holds the deployment's secret."""
        return str(self._secret)

    @property
    def secret(self):
        """Deployment's secret, as bytes."""
        return self._secret.read_bytes()

    def http_address(self, entry_id):
        """Return the ``host:port`` of an entry's HTTP interface."""
        return json.loads(self.entries[entry_id].first_line)["http"]

    def peer_address(self, entry_id):
        """Return the ``host:port`` at which an entry accepts peer connections."""
        return json.loads(self.entries[entry_id].first_line)["peer"]

    def error_log(self, name):
        """Return the standard error output of a process."""
        return (self.directory / f"{name}.err").read_text()

    def operator_settings(self, token):
        """Write the settings file of the operator commands and return its path."""
        token_file = self.directory / "token"
        token_file.write_text(token)
        cfg = {
            "deployment": self.deployment,
            "entries": [self.peer_address(name) for name in self.entries],
            "secret_file": self.secret_file,
            "store": {"endpoints": [self.store.first_line]},
            "http": [self.http_address(name) for name in self.entries],
            "token_file": str(token_file),
        }
        return self._write_settings("operator", cfg)

    def target_log(self, agent_id):
        """Return the events in the log of a target, oldest first.

        Raises
        ------
        FileNotFoundError
            If the log does not exist. A missing log is not treated as empty, since
            an audit would then pass without any data.
        """
        lines = (self.directory / f"{agent_id}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def start_store(self):
        """Start the stand-in for the platform's store and return its process."""
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
            "store": {"endpoints": [self.store.first_line]},
            "seeds": [self.peer_address(name) for name in self.entries],
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
            [_executable_path("hornbeamshore"), "entry", "--settings", path],
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
        """Start the agent of a running target and return its process."""
        path = self.write_agent_settings(plan, self.targets[plan.agent_id].first_line)
        arguments = [_executable_path("hornbeamshore-agent"), "run", "--settings", path]
        proc = await self.spawn(plan.agent_id, arguments, wait_for_line=False)
        self.agents[plan.agent_id] = proc
        return proc

    async def start_agent_group(self, plan, count):
        """Start one process that runs many agents without targets, and return it."""
        path = self.write_agent_settings(plan, UNUSED_ADDRESS)
        module = "hornbeamshore.bench.agent_group"
        arguments = ["-m", module, "--settings", path, "--count", str(count)]
        return await self.spawn(plan.agent_id, arguments, wait_for_line=False)

    def write_agent_settings(self, plan, target, entries=None):
        """Write the settings file of an agent and return its path.

        Parameters
        ----------
        plan : TargetPlan
            Settings of the agent and its target.
        target : str
            ``host:port`` of the target.
        entries : sequence of str, optional
            Peer addresses of entries; by default those of all running entries.
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
            "entries": entries or [self.peer_address(name) for name in self.entries],
            "secret_file": self.secret_file,
            "wire": self.wire,
            "log_level": self.log_level,
        }
        return self._write_settings(plan.agent_id, cfg)

    async def start_agent_without_target(self, plan, entry_address=None):
        """Start an agent without a target and return its process.

        Parameters
        ----------
        plan : TargetPlan
            Settings of the agent.
        entry_address : str, optional
            Peer address to connect to, such as that of a simulated entry; by default
            the agent connects to all running entries.
        """
        entries = [entry_address] if entry_address else None
        path = self.write_agent_settings(plan, UNUSED_ADDRESS, entries)
        arguments = [_executable_path("hornbeamshore-agent"), "run", "--settings", path]
        return await self.spawn(plan.agent_id, arguments, wait_for_line=False)

    async def start(self, entries, targets):
        """Start the store, then the entries, then the targets with their agents."""
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
        """Set the faults that the store injects; see `standin_store.Faults`."""
        await self.call_store("/standin/faults", faults)

    async def set_target_faults(self, agent_id, **faults):
        """Set the faults that a target injects; see `standin_target.Faults`."""
        await _post_json(f"http://{self.targets[agent_id].first_line}/faults", faults)

    async def call_store(self, path, body):
        """Send a request to the store or its control endpoint.

        Returns
        -------
        object
            Decoded JSON of the response.

        Raises
        ------
        RuntimeError
            If the status of the response is not 200.
        """
        return await _post_json(self.store.first_line + path, body)

    async def status(self, entry_id):
        """Return the status report of an entry, or None if it does not reply."""
        identity = Identity(self.deployment, ProcessKind.OPERATOR, "bench", 0, "")
        address = self.peer_address(entry_id)
        with contextlib.suppress(ConnectionLost, HandshakeError):
            async with open_connection(
                address, identity, SECRET.encode(), WireSettings()
            ) as conn:
                return await _request_status(conn)
        return None

    async def find_owner(self, partition):
        """Return the id of the entry that reports to own a partition, or None."""
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
        """Kill an entry or an agent and remove it from the running processes.

        Callers of a running `CallerLoad` no longer submit through a removed entry.
        """
        self._remove_process(name).kill()

    async def stop(self, name):
        """Shut down an entry or an agent gracefully and return its exit code."""
        return await self._remove_process(name).terminate()

    def _remove_process(self, name):
        processes = self.entries if name in self.entries else self.agents
        return processes.pop(name)

    def kill_all(self):
        """Kill all processes that still run."""
        for proc in self._processes:
            if proc.poll() is None:
                proc.kill()
        for proc in self._processes:
            proc.wait()

    def _write_settings(self, name, cfg):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg))
        return str(path)

    async def spawn(self, name, arguments, *, wait_for_line=True):
        """Start a Python process whose standard error goes to a file.

        Parameters
        ----------
        name : str
            Name of the process and stem of the file.
        arguments : list of str
            Arguments of the interpreter.
        wait_for_line : bool
            Whether to wait for the first line of standard output.

        Returns
        -------
        Proc
            The process.

        Raises
        ------
        RuntimeError
            If the process closes its standard output before it prints a line.
        """
        errors = open(self.directory / f"{name}.err", "ab")  # noqa: ASYNC230, SIM115
        popen = subprocess.Popen(  # noqa: ASYNC220
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=errors,
        )
        errors.close()
        self._processes.append(popen)
        line = b""
        if wait_for_line:
            line = await trio.to_thread.run_sync(popen.stdout.readline)
            if not line:
                detail = (self.directory / f"{name}.err").read_text()[-2000:]
                raise RuntimeError(f"{name} exited before it was ready: {detail}")
        return Proc(name, popen, line.decode().strip())


class _IgnoringHandler(MessageHandler):
    def handle(self, conn, message):
        pass


async def _request_status(conn):
    content = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.run, _IgnoringHandler())
        with contextlib.suppress(ConnectionLost, CallTimeout):
            reply = await conn.call(StatusQuery("status"), STATUS_TIMEOUT_S)
            content = json.loads(reply.content)
        nursery.cancel_scope.cancel()
    return content


async def _post_json(url, body):
    content = json.dumps(body).encode()
    headers = [("Content-Type", "application/json")]
    headers.append(("Content-Length", str(len(content))))
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", url, headers=headers, content=content)
    if response.status != HTTPStatus.OK:
        raise RuntimeError(
            f"{url} returned status {response.status}: {response.content!r}"
        )
    return json.loads(response.content)


def _executable_path(name):
    return str(Path(sys.executable).parent / name)


@contextlib.asynccontextmanager
async def running_fleet(
    deployment,
    entries,
    targets,
    wire=None,
    *,
    with_relays=False,
    log_level="info",
    start_limiter=None,
    directory=None,
):
    """Start a deployment, yield its `Fleet`, and kill all its processes on exit.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    entries : sequence of EntryPlan
        Entries to start.
    targets : sequence of TargetPlan
        Targets to start, each with an agent.
    wire : dict or None
        Settings of peer connections.
    with_relays : bool
        Whether to run a `Relay` in front of the peer address of each entry.
    log_level : str
        Log level of entries and agents.
    start_limiter : trio.CapacityLimiter or None
        Limits how many fleets start at the same time.
    directory : pathlib.Path or None
        Parent of the fleet's temporary directory; None for the system default.
    """
    with tempfile.TemporaryDirectory(prefix="hornbeamshore-", dir=directory) as name:
        async with trio.open_nursery() as nursery:
            relay_nursery = nursery if with_relays else None
            fleet = Fleet(deployment, Path(name), wire, relay_nursery, log_level)
            try:
                async with start_limiter or contextlib.nullcontext():
                    await fleet.start(entries, targets)
                yield fleet
            finally:
                fleet.kill_all()
            nursery.cancel_scope.cancel()
