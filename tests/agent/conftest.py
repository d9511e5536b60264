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
from hornbeamshore.wire.connection import MessageHandler, WireSettings
from hornbeamshore.wire.establish import serve_connections
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
        self.announced, self.done, self.leave_messages = [], [], []
        self.answers_leave = True
        self._changed = trio.Event()

    def opened(self, conn):
        self.conn = self.conns[conn.peer.process_id] = conn
        self.notify()

    def handle(self, conn, message):
        received = {
            Announce: self.announced,
            TaskDone: self.done,
            Leave: self.leave_messages,
        }
        if type(message.body) in received:
            received[type(message.body)].append(message.body)
            self.notify()
        if isinstance(message.body, Leave) and self.answers_leave:
            conn.send(LeaveReply(0), reply_to=message.id)

    def notify(self):
        self._changed.set()
        self._changed = trio.Event()

    async def wait_until(self, condition):
        while not condition():
            await self._changed.wait()

    async def results(self, count):
        await self.wait_until(lambda: len(self.done) >= count)
        return [done.result for done in self.done]

    async def fence(self, epoch, **options):
        await self.wait_until(lambda: self.conn is not None and self.conn.is_open)
        return await self.conn.call(Fence(PARTITION, epoch, **options), 30)


def make_start(job, *, attempt=1, epoch=1, expires=2**62, timeout=30, **run):
    key = JobKey("team", "desk", job)
    spec = TaskSpec(run.pop("method", "POST"), "/quote", (), json.dumps(run).encode())
    limits = expires, int(timeout * 1000)
    return Start(PARTITION, epoch, key, 0, attempt, "quote", spec, *limits)


def task_ref(start):
    return TaskRef(start.key, start.index, start.attempt)


def settings(entries, target, **changes):
    wire = WireSettings(heartbeat_every=Duration(0.1), redial_after=Duration(0.01))
    fields = dict.fromkeys(("deployment", "data_centre", "rack", "secret_file"), "x")
    fields |= {"agent_id": "agent-1", "service": "desk", "target": target}
    return AgentSettings(**fields | {"entries": entries, "wire": wire} | changes)


@pytest.fixture
def helpers():
    return SimpleNamespace(start=make_start, ref=task_ref, partition=PARTITION)


class TargetLog(list):
    """Log of the stand-in target, as a list of parsed lines."""

    def __init__(self, entry):
        self._entry = entry

    def write(self, line):
        self.append(json.loads(line))

    def flush(self):
        self._entry.notify()


@pytest.fixture
def agent_env():
    """Return a context manager that runs an agent with a fake entry and target."""

    @contextlib.asynccontextmanager
    async def run_environment(**changes):
        entry, target_scope = FakeEntry(), trio.CancelScope()
        log = TargetLog(entry)
        target = StandinTarget(log=log)
        env = SimpleNamespace(entry=entry, target=target, log=log, exit_code=None)

        async def run_target(listener):
            with target_scope:
                await target.serve(listener)

        async def run_agent():
            env.exit_code = await env.agent.run()
            entry.notify()

        # Fails a test that hangs; no test depends on this time.
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                listeners = [await trio.open_tcp_listeners(0, host=HOST) for _ in "ab"]
                entry_address, target_address = (
                    f"{HOST}:{listener[0].socket.getsockname()[1]}"
                    for listener in listeners
                )
                cfg = settings((entry_address,), target_address, **changes)
                identity = Identity("x", "entry", "entry-1", 1, "x")
                nursery.start_soon(
                    serve_connections, listeners[0], identity, SECRET, cfg.wire, entry
                )
                nursery.start_soon(run_target, listeners[1])
                env.agent = Agent(
                    cfg, SECRET, HttpTarget(cfg), seed=1, clock=trio.current_time
                )
                # Skips the wait after a start for leases based on an earlier grant.
                env.agent.fencing = Fencing(cfg.service, cfg.wire.suspect_after)
                env.stop_target = target_scope.cancel
                nursery.start_soon(run_agent)
                yield env
                nursery.cancel_scope.cancel()

    return run_environment
