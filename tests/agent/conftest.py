"""Fixtures that run an agent with a fake entry and a stand-in target in one process."""

import contextlib
import json
from types import SimpleNamespace

import pytest
import trio

from hornbeamshore.agent.daemon import Agent
from hornbeamshore.agent.fencing import Fencing
from hornbeamshore.agent.settings import AgentSettings
from hornbeamshore.agent.target import HttpTarget
from hornbeamshore.base.settings import Duration
from hornbeamshore.base.types import JobKey, TaskSpec
from hornbeamshore.bench.standin_target import StandinTarget
from hornbeamshore.wire.connection import (
    MessageHandler,
    WireSettings,
    serve_connections,
)
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    Announce,
    Fence,
    Leave,
    LeaveReply,
    Start,
    TaskDone,
    TaskRef,
)

SECRET = b"secret of the deployment"
PARTITION = "desk/0"
HOST = "127.0.0.1"


class FakeEntry(MessageHandler):
    """Entry that records the messages of an agent."""

    def __init__(self):
        self.conn, self.conns = None, {}
        self.announced, self.done, self.left = [], [], []
        self._news = trio.Event()

    def opened(self, conn):
        self.conn = self.conns[conn.peer.process_id] = conn
        self.wake()

    def handle(self, conn, message):
        kept = {Announce: self.announced, TaskDone: self.done, Leave: self.left}
        if type(message.body) in kept:
            kept[type(message.body)].append(message.body)
            self.wake()
        if isinstance(message.body, Leave):
            conn.send(LeaveReply(0), reply_to=message.id)

    def wake(self):
        self._news.set()
        self._news = trio.Event()

    async def until(self, condition):
        while not condition():
            await self._news.wait()

    async def results(self, count):
        await self.until(lambda: len(self.done) >= count)
        return [done.result for done in self.done]

    async def fence(self, epoch, **options):
        await self.until(lambda: self.conn is not None and self.conn.is_open)
        return await self.conn.call(Fence(PARTITION, epoch, **options), 30)


def make_start(job, *, attempt=1, epoch=1, expires=2**62, timeout=30, **run):
    key = JobKey("team", "desk", job)
    spec = TaskSpec(run.pop("method", "POST"), "/quote", (), json.dumps(run).encode())
    limits = expires, int(timeout * 1000)
    return Start(PARTITION, epoch, key, 0, attempt, "quote", spec, *limits)


def ref_of(start):
    return TaskRef(start.key, start.index, start.attempt)


def settings(entries, target, **changes):
    wire = WireSettings(heartbeat_every=Duration(0.1), redial_after=Duration(0.01))
    names = dict.fromkeys(("deployment", "data_centre", "rack", "secret_file"), "x")
    names |= {"agent_id": "agent-1", "service": "desk", "target": target}
    return AgentSettings(**names | {"entries": entries, "wire": wire} | changes)


@pytest.fixture
def helpers():
    return SimpleNamespace(start=make_start, ref=ref_of, partition=PARTITION)


class TargetLog(list):
    """Log of the stand-in target, as a list of parsed lines."""

    def __init__(self, entry):
        self._entry = entry

    def write(self, line):
        self.append(json.loads(line))

    def flush(self):
        self._entry.wake()


@pytest.fixture
def world():
    """Return a context manager that runs an agent with a fake entry and target."""

    @contextlib.asynccontextmanager
    async def running(**changes):
        entry, target_scope = FakeEntry(), trio.CancelScope()
        log = TargetLog(entry)
        target = StandinTarget(log=log)
        this = SimpleNamespace(entry=entry, target=target, log=log, exit_code=None)

        async def run_target(door):
            with target_scope:
                await target.serve(door)

        async def run_agent():
            this.exit_code = await this.agent.run()
            entry.wake()

        # Fails a test that hangs; no test depends on this time.
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                doors = [await trio.open_tcp_listeners(0, host=HOST) for _ in "ab"]
                entry_at, target_at = (
                    f"{HOST}:{door[0].socket.getsockname()[1]}" for door in doors
                )
                cfg = settings((entry_at,), target_at, **changes)
                identity = Identity("x", "entry", "entry-1", 1, "x")
                nursery.start_soon(
                    serve_connections, doors[0], identity, SECRET, cfg.wire, entry
                )
                nursery.start_soon(run_target, doors[1])
                this.agent = Agent(cfg, SECRET, HttpTarget(cfg), seed=1)
                # Skips the wait after a start for leases based on an earlier grant.
                this.agent.fencing = Fencing(cfg.service, cfg.wire.suspect_after)
                this.stop_target = target_scope.cancel
                nursery.start_soon(run_agent)
                yield this
                nursery.cancel_scope.cancel()

    return running
