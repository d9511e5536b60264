"""An entry, a target and an agent in one process, for the tests of the agent."""

import contextlib
import io
import json
import math
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
from hornbeamshore.wire.messages import Announce, Fence, Start, TaskDone, TaskRef

SECRET = b"secret of the deployment"
PARTITION = "desk/0"


class FakeEntry(MessageHandler):
    """Entry that keeps what an agent tells it."""

    def __init__(self):
        self.conn = None
        self.opened_total = 0
        self.announced, self.done = [], []
        self._news = trio.Event()

    def opened(self, conn):
        self.conn = conn
        self.opened_total += 1
        self._wake()

    def handle(self, conn, message):
        kept = {Announce: self.announced, TaskDone: self.done}.get(type(message.body))
        if kept is not None:
            kept.append(message.body)
            self._wake()

    def _wake(self):
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


def make_start(
    job, *, index=0, attempt=1, epoch=1, expires=math.inf, timeout=30, **run
):
    return Start(
        PARTITION,
        epoch,
        JobKey("team", "desk", job),
        index,
        attempt,
        "quote",
        TaskSpec("POST", "/quote", (), json.dumps(run).encode()),
        int(min(expires, 2**62)),
        int(timeout * 1000),
    )


def ref_of(start):
    return TaskRef(start.key, start.index, start.attempt)


def settings(entries, target, **changes):
    wire = WireSettings(heartbeat_every=Duration(0.1), redial_after=Duration(0.01))
    names = dict.fromkeys(("deployment", "data_centre", "rack", "secret_file"), "x")
    names |= {"agent_id": "agent-1", "service": "desk", "target": target}
    return AgentSettings(**names | {"entries": entries, "wire": wire} | changes)


@pytest.fixture
def helpers():
    return SimpleNamespace(
        start=make_start, ref=ref_of, settings=settings, partition=PARTITION
    )


@pytest.fixture
def world():
    """Return a context manager: an agent between an entry and a stand-in target."""

    @contextlib.asynccontextmanager
    async def running(**changes):
        entry, log = FakeEntry(), io.StringIO()
        target = StandinTarget(log=log)
        async with trio.open_nursery() as nursery:
            doors = [await trio.open_tcp_listeners(0, host="127.0.0.1") for _ in "ab"]
            entry_at, target_at = (
                f"127.0.0.1:{door[0].socket.getsockname()[1]}" for door in doors
            )
            cfg = settings((entry_at,), target_at, **changes)
            identity = Identity("x", "entry", "entry-1", 1, "x")
            nursery.start_soon(
                serve_connections, doors[0], identity, SECRET, cfg.wire, entry
            )
            nursery.start_soon(target.serve, doors[1])
            agent = Agent(cfg, SECRET, HttpTarget(cfg), seed=1)
            # The agent of a test does not wait for the leases of a predecessor.
            agent.fencing = Fencing(cfg.service, cfg.wire.suspect_after)
            world = SimpleNamespace(
                entry=entry, target=target, agent=agent, doors=doors, exit_code=None
            )
            world.log = lambda: [
                json.loads(line) for line in log.getvalue().split("\n") if line
            ]

            async def run_agent():
                world.exit_code = await agent.run()
                entry._wake()

            nursery.start_soon(run_agent)
            yield world
            nursery.cancel_scope.cancel()

    return running
