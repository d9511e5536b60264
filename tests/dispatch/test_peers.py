"""Tests of the cancellation of jobs that other entries run."""

import contextlib

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.settings import Duration
from hornbeamshore.dispatch import peers
from hornbeamshore.dispatch.coordinator import Coordinator
from hornbeamshore.dispatch.daemon import EntryProcessSettings
from hornbeamshore.dispatch.metrics import DispatchMetrics
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.store.base import KeyValue, Snapshot, StoreUnavailable
from hornbeamshore.wire.connection import WireSettings
from hornbeamshore.wire.establish import serve_connections
from hornbeamshore.wire.handshake import Identity

from .conftest import FakeAgent, Submission, make_job

PREFIX = "d/entries/"
SECRET = b"secret"
CFG = WireSettings()


class FakeStore:
    """Store with the registrations of entries."""

    def __init__(self):
        self.values = {"odd": b"nowhere"}
        self.is_available = True
        self.answers = trio.Event()
        self.answers.set()

    async def get_prefix(self, prefix):
        await self.answers.wait()
        if not self.is_available:
            raise StoreUnavailable("no response")
        items = [KeyValue(prefix + k, v, 1, 0) for k, v in self.values.items()]
        return Snapshot(1, tuple(items))


class Entry:
    """Entry that other entries can ask once it serves its listener."""

    def __init__(self, name, store, listeners):
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.identity = Identity("test", "entry", name, 1, "perth")
        self.coordinator = Coordinator(DispatchSettings("perth"), DispatchMetrics())
        cfg = EntryProcessSettings(
            deployment="test",
            entry_id=name,
            secret=SECRET,
            caller_address="",
            ready_address="",
            inner_address=self.address,
            metrics_address="",
            dispatch=DispatchSettings("perth"),
            wire=CFG,
            stop_grace=Duration(6.0),
        )
        self.peers = peers.EntryPeers(
            cfg, self.coordinator, store, PREFIX, self.identity
        )
        self.listeners = listeners
        store.values[name] = f"{self.address} perth".encode()

    async def serve(self):
        handler = peers.AcceptedPeers(self.coordinator)
        await serve_connections(self.listeners, self.identity, SECRET, CFG, handler)


@contextlib.asynccontextmanager
async def entries(monkeypatch, count=3):
    """Yield entries, of which the last does not serve its listener, and their store."""
    # No reply is late, however slow the machine is.
    monkeypatch.setattr(peers, "REPLY_TIMEOUT_S", 600.0)
    store = FakeStore()
    async with contextlib.AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        found = []
        for number in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            found.append(Entry(f"entry-{number}", store, listeners))
            nursery.start_soon(found[-1].coordinator.run)
            nursery.start_soon(found[-1].peers.run)
            if number < count - 1:
                nursery.start_soon(found[-1].serve)
        await trio.lowlevel.checkpoint()
        yield found, store, nursery
        nursery.cancel_scope.cancel()


async def submit(nursery, entry):
    agent = FakeAgent(entry.coordinator, "agent-1")
    agent.report(held=())
    submission = Submission(nursery, entry.coordinator, make_job(2, estimate_s=600.0))
    while not agent.orders:  # noqa: ASYNC110
        await trio.sleep(0.005)
    return agent, submission


@pytest.mark.parametrize("at", [0, 1], ids=["own entry", "another entry"])
async def test_a_job_is_cancelled_wherever_it_runs(monkeypatch, at):
    """Guards against a cancelled job that goes on because its caller has moved.

    One further entry does not answer.
    """
    async with entries(monkeypatch) as (found, store, nursery):
        found[2].listeners[0].socket.close()
        agent, submission = await submit(nursery, found[at])
        assert await found[0].peers.cancel("j1")
        while submission.outcome is None:  # noqa: ASYNC110
            await trio.sleep(0.005)
        assert submission.outcome.code is ResultCode.CANCELLED
        assert sorted(agent.stopped_run_ids) == sorted(agent.orders)
        assert not await found[0].peers.cancel("unknown")


async def test_an_entry_that_does_not_reply_is_asked_again(monkeypatch):
    """Guards against a job that goes on when its entry wakes from a suspension."""
    async with entries(monkeypatch) as (found, store, nursery):
        _, submission = await submit(nursery, found[2])
        with trio.move_on_after(0.1):
            await found[0].peers.cancel("j1")
        assert submission.outcome is None
        nursery.start_soon(found[2].serve)
        while submission.outcome is None:  # noqa: ASYNC110
            await trio.sleep(0.005)
        assert submission.outcome.code is ResultCode.CANCELLED


async def test_known_entries_are_asked_while_the_store_is_down(monkeypatch):
    """Guards against cancellations that depend on the store."""
    async with entries(monkeypatch, count=3) as (found, store, nursery):
        found[2].listeners[0].socket.close()
        assert not await found[0].peers.cancel("unknown")
        store.is_available = False
        await submit(nursery, found[1])
        assert await found[0].peers.cancel("j1")


async def store_unavailable(found, store):
    store.is_available = False
    yield
    store.is_available = True


async def store_silent(found, store):
    store.answers = trio.Event()
    yield
    store.answers.set()


async def entry_joins(found, store):
    registration = store.values.pop("entry-1")
    assert not await found[0].peers.cancel("earlier")
    store.values["entry-1"] = registration
    yield


@pytest.mark.parametrize("disturb", [store_unavailable, store_silent, entry_joins])
async def test_an_entry_that_was_not_known_is_told_of_a_cancellation(
    monkeypatch, disturb
):
    """Guards against a cancelled job that goes on at an entry that was never asked."""
    async with entries(monkeypatch) as (found, store, nursery):
        found[2].listeners[0].socket.close()
        async with contextlib.aclosing(disturb(found, store)) as disturbance:
            await anext(disturbance)
            _, submission = await submit(nursery, found[1])
            # The caller does not wait for an answer of the store.
            monkeypatch.setattr(peers, "REPLY_TIMEOUT_S", 0.05)
            monkeypatch.setattr(peers, "RETRY_S", 600.0)
            await found[0].peers.cancel("j1")
            await anext(disturbance, None)
            while submission.outcome is None:  # noqa: ASYNC110
                await trio.sleep(0.005)
        assert submission.outcome.code is ResultCode.CANCELLED


async def test_an_entry_that_is_starting_is_told_of_a_cancellation(monkeypatch):
    """Guards against a job that a starting entry reads after its cancellation."""
    monkeypatch.setattr(peers, "RETRY_S", 600.0)
    async with entries(monkeypatch) as (found, store, nursery):
        starting = found[2]
        port = starting.listeners[0].socket.getsockname()[1]
        starting.listeners[0].socket.close()
        assert await found[0].peers.cancel("j1") is False
        told = trio.Event()
        cancel = starting.coordinator.cancel
        starting.coordinator.cancel = lambda job_id: told.set() or cancel(job_id)
        starting.listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        nursery.start_soon(starting.serve)
        await told.wait()
        submission = Submission(nursery, starting.coordinator, make_job(1))
        while submission.outcome is None:  # noqa: ASYNC110
            await trio.sleep(0.005)
        assert submission.outcome.code is ResultCode.CANCELLED


async def test_a_cancellation_is_not_answered_before_the_entries_are_known(
    monkeypatch,
):
    """Guards against `no such job` for a job at an entry that was not asked."""
    async with entries(monkeypatch) as (found, store, nursery):
        found[2].listeners[0].socket.close()
        monkeypatch.setattr(peers, "REPLY_TIMEOUT_S", 0.1)
        store.is_available = False
        assert await found[0].peers.cancel("j1") is None
        store.is_available = True
        monkeypatch.setattr(peers, "REPLY_TIMEOUT_S", 600.0)
        assert await found[0].peers.cancel("j1") is False


async def test_a_submission_that_a_cancellation_has_overtaken_does_not_run(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a cancelled job that starts because it was read later."""
    assert not coordinator.cancel("j1")
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    assert submission.outcome.code is ResultCode.CANCELLED
    assert agent.orders == {}
