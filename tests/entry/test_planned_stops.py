"""Tests of requests that are open when the planned stop of their entry ends."""

import contextlib
import json
import signal
from functools import partial
from types import SimpleNamespace

import pytest
import trio

from hornbeamshore.base.settings import Duration
from hornbeamshore.base.types import JobKey, partition_of
from hornbeamshore.entry import daemon as daemons
from hornbeamshore.entry.daemon import EntryDaemon, run_until_signal
from hornbeamshore.entry.settings import EntrySettings
from hornbeamshore.entry.state import Epoch
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.store.etcd import EtcdSettings
from hornbeamshore.wire.connection import ConnectionLost
from hornbeamshore.wire.messages import OwnerNotice
from tests.clocks import SuspendableClock

from .conftest import DEPLOYMENT, TOKEN

# Long enough that a slow machine sends its answers in the last part of it.
DRAIN_TIMEOUT = Duration(600.0)
ANSWERS_DUE_S = DRAIN_TIMEOUT * (1 - daemons.SEND_SHARE)
JOB = {
    "id": "a",
    "service": "stock",
    "kind": "check",
    "deadline_ms": 60_000,
    "tasks": [{"body": 1}],
}
BODY = json.dumps(JOB).encode()


async def answer_never(body, timeout_s):
    await trio.sleep_forever()


async def lose_connection(body, timeout_s):
    raise ConnectionLost("the owner was lost")


def http_request(method, path, body=b""):
    """Return a request whose declared length is that of `BODY`, if it has a body."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
    if body:
        head += f"Content-Length: {len(BODY)}\r\n"
    return head.encode() + b"\r\n" + body


SUBMISSION = http_request("POST", "/v1/jobs", BODY)
UNREAD_SUBMISSION = http_request("POST", "/v1/jobs", BODY[:-1])
QUERY = http_request("GET", "/v1/jobs/a?service=stock")


@pytest.fixture
async def daemon(tmp_path, monkeypatch):
    """Return a running entry whose store does not answer."""
    secret_file = tmp_path / "secret"
    secret_file.write_text("0123456789abcdef")
    cfg = EntrySettings(
        deployment="test",
        entry_id="entry-1",
        data_centre="x",
        http_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        secret_file=str(secret_file),
        store=EtcdSettings(endpoints=("http://127.0.0.1:1",)),
        drain_timeout=DRAIN_TIMEOUT,
    )
    async with contextlib.AsyncExitStack() as stack:
        clock = SuspendableClock()
        monkeypatch.setattr(daemons, "Shutdown", partial(Shutdown, clock=clock))
        daemon = EntryDaemon(cfg)
        daemon.clock = clock
        await daemon.listen(stack)
        nursery = await stack.enter_async_context(trio.open_nursery())
        await nursery.start(daemon.run)
        daemon.replica.current = DEPLOYMENT
        yield daemon
        nursery.cancel_scope.cancel()


def announce_owner(daemon, call):
    """Announce another entry as the owner of the job; `call` serves its calls."""
    partition = partition_of(
        JobKey("sales", "stock", "a"), DEPLOYMENT.services["stock"].partitions
    )
    epoch = Epoch(1, 0, 0).pack()
    daemon.entry.record_owner_notice(OwnerNotice(str(partition), epoch, "entry-2"))
    daemon.entry.peers.get = lambda _: SimpleNamespace(call=call)


async def exchange(daemon, request, *, stop_after_s=0.1):
    """Send a request, stop the entry, let its answers be due and return what it sends.

    The clock of the stop goes forward at once; that of trio does not.
    """
    host, port = daemon.http_address.split(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(request)
        await trio.sleep(stop_after_s)
        daemon.stop()
        daemon.clock.suspended_s += ANSWERS_DUE_S
        return b"".join([data async for data in stream])


@pytest.mark.parametrize(
    ("request_bytes", "call_owner", "code", "run_state"),
    [
        (UNREAD_SUBMISSION, answer_never, 203, "not run"),
        (SUBMISSION, None, 203, "not run"),
        (SUBMISSION, lose_connection, 403, "unknown"),
        (SUBMISSION, answer_never, 403, "unknown"),
        (QUERY, None, 403, "unknown"),
        (QUERY, answer_never, 403, "unknown"),
    ],
    ids=[
        "body",
        "no owner",
        "lost owner",
        "silent owner",
        "query without owner",
        "query of a silent owner",
    ],
)
async def test_an_open_request_is_answered_before_the_drain_ends(
    daemon, request_bytes, call_owner, code, run_state
):
    """Guards against requests in flight that are cut off at the drain timeout."""
    if call_owner is not None:
        announce_owner(daemon, call_owner)
    answer = await exchange(daemon, request_bytes)
    assert answer, "the connection was closed without an answer"
    body = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert (body["code"], body["run_state"]) == (code, run_state)


@pytest.mark.parametrize("suspended_s", [0.0, DRAIN_TIMEOUT])
async def test_a_drain_ends_by_the_clock_of_its_grace_period(
    autojump_clock, daemon, suspended_s
):
    """Guards against an entry that is killed before it has left the owner table."""
    daemon.entry.in_flight += 1
    left = trio.Event()
    daemon.entry.membership.leave = partial(set_event, left)
    started_at = trio.current_time()
    daemon.stop()
    await trio.sleep(0.1)
    daemon.clock.suspended_s += suspended_s
    await left.wait()
    assert (trio.current_time() - started_at < DRAIN_TIMEOUT) == bool(suspended_s)


async def set_event(event):
    event.set()


class InterruptedDaemon:
    """Daemon that receives SIGTERM while it opens its listeners."""

    def __init__(self):
        self.stopping = trio.Event()

    async def listen(self, stack):
        signal.raise_signal(signal.SIGTERM)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        await self.stopping.wait()

    def stop(self):
        self.stopping.set()


async def test_a_signal_during_the_start_begins_a_planned_stop():
    """Guards against a signal that ends a process which callers can reach already."""
    unhandled = []
    previous = signal.signal(signal.SIGTERM, lambda *args: unhandled.append(args))
    try:
        with trio.move_on_after(5.0):
            await run_until_signal(InterruptedDaemon(), lambda _: None)
    finally:
        signal.signal(signal.SIGTERM, previous)
    assert unhandled == []
