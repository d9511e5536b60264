"""Connections over TCP: handshake, calls, timeouts and size limits."""

import contextlib
import dataclasses

import pytest
import trio
import trio.lowlevel

from hornbeamshore.base.settings import Duration
from hornbeamshore.wire import connection, establish, framing
from hornbeamshore.wire.handshake import HandshakeError, Identity
from hornbeamshore.wire.messages import StatusQuery, StatusReply

SECRET = b"secret of the deployment"
ENTRY = Identity("tayside", "entry", "entry-1", 1, "glasgow")
AGENT = Identity("tayside", "agent", "agent-1", 1, "glasgow")
CFG = connection.WireSettings(
    heartbeat_every=Duration(0.05), suspect_after=Duration(0.4)
)


class StatusHandler(connection.MessageHandler):
    """Replies to each status query with its topic and records opened connections."""

    def __init__(self):
        self.connections = []

    def opened(self, conn):
        self.connections.append(conn)

    def handle(self, conn, message):
        if isinstance(message.body, StatusQuery):
            conn.send(StatusReply(message.body.topic), reply_to=message.id)


@contextlib.asynccontextmanager
async def serving(handler, identity=ENTRY, secret=SECRET):
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(
            establish.serve_connections, listeners, identity, secret, CFG, handler
        )
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def test_replies_match_their_calls():
    """Guards against replies delivered to another call on the same connection."""
    async with (
        serving(StatusHandler()) as address,
        establish.open_connection(address, AGENT, SECRET, CFG) as conn,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(conn.run, StatusHandler())
        replies = {}

        async def query_status(topic):
            replies[topic] = await conn.call(StatusQuery(topic), 5)

        async with trio.open_nursery() as call_nursery:
            for number in range(20):
                call_nursery.start_soon(query_status, f"topic {number}")
        assert all(reply.content == topic for topic, reply in replies.items())
        assert len(replies) == 20
        conn.close()


@pytest.mark.parametrize(
    ("identity", "secret"),
    [
        (dataclasses.replace(AGENT, deployment="knipling"), SECRET),
        (AGENT, b"another secret"),
    ],
    ids=["other deployment", "other secret"],
)
async def test_unauthenticated_peers_are_rejected(identity, secret):
    """Guards against accepting a process of another deployment."""
    handler = StatusHandler()
    async with serving(handler) as address:
        with pytest.raises(HandshakeError):
            async with establish.open_connection(address, identity, secret, CFG):
                pass
    assert handler.connections == []


async def test_messages_are_no_older_than_the_handshake(monkeypatch):
    """Guards against a handshake that was read late and counts as just sent."""
    initiate = establish.handshake.initiate

    async def initiate_late(*args):
        peer = await initiate(*args)
        # The process is suspended before the handshake has returned.
        now_s[0] += 3.2
        return peer

    now_s = [100.0]
    monkeypatch.setattr(establish, "boot_time_s", lambda: now_s[0])
    monkeypatch.setattr(establish.handshake, "initiate", initiate_late)
    async with (
        serving(StatusHandler()) as address,
        establish.open_connection(address, AGENT, SECRET, CFG) as conn,
    ):
        assert conn.sent_at == 100.0


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", framing.encode_frame(b"x" * 64)],
    ids=["http request", "oversized frame", "invalid payload"],
)
async def test_server_survives_invalid_input(data):
    """Guards against arbitrary input that stops the server or exhausts its memory."""
    handler = StatusHandler()
    async with serving(handler) as address:
        host, _, port = address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(data)
            with trio.fail_after(30):
                while await stream.receive_some(4096):
                    pass
        async with establish.open_connection(address, AGENT, SECRET, CFG) as conn:
            assert conn.peer.process_id == "entry-1"
    assert len(handler.connections) <= 1


@pytest.mark.parametrize("direction", ["sent", "received"])
async def test_unresponsive_connection_is_closed(direction):
    """Guards against a call that never ends because the peer became unreachable."""
    async with (
        serving(StatusHandler()) as address,
        establish.open_connection(address, AGENT, SECRET, CFG) as conn,
    ):
        lossy_stream = LossyStream(conn._stream, direction)
        unresponsive = connection.Connection(lossy_stream, conn.peer, CFG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(unresponsive.run, StatusHandler())
            await trio.lowlevel.checkpoint()
            with pytest.raises(connection.ConnectionLost):
                await unresponsive.call(StatusQuery("status"), 60)
    assert unresponsive.closed_by_peer == (direction == "sent")


class LossyStream:
    """Drops all data in one direction without closing, like a faulty middlebox."""

    def __init__(self, stream, direction):
        self._stream = stream
        self._direction = direction

    async def send_all(self, data):
        if self._direction != "sent":
            await self._stream.send_all(data)

    async def receive_some(self, max_bytes):
        if self._direction == "received":
            await trio.sleep_forever()
        return await self._stream.receive_some(max_bytes)


IDLE_CFG = connection.WireSettings(
    heartbeat_every=Duration(0.2),
    suspect_after=Duration(0.6),
    idle_heartbeat_every=Duration(1.0),
    idle_suspect_after=Duration(2.5),
)


class SilentStream:
    """Stream of a peer that sends nothing and accepts all data."""

    def __init__(self):
        self.frames = 0

    async def send_all(self, data):
        self.frames += 1

    async def receive_some(self, max_bytes):
        await trio.sleep_forever()


async def run_with_silent_peer(nursery, is_active):
    stream = SilentStream()
    conn = connection.Connection(stream, AGENT, IDLE_CFG)
    conn.set_active(is_active)
    nursery.start_soon(conn.run, StatusHandler())
    return stream, conn


@pytest.mark.parametrize(
    ("is_active", "frames", "silence_s"), [(True, 2, 0.6), (False, 2, 2.5)]
)
async def test_idle_connections_beat_and_time_out_later(
    autojump_clock, nursery, is_active, frames, silence_s
):
    """Guards against heartbeats that cost a large fleet more than its work."""
    stream, conn = await run_with_silent_peer(nursery, is_active)
    await trio.sleep(silence_s - 0.05)
    assert conn.is_open
    assert stream.frames == frames
    await trio.sleep(0.1)
    assert not conn.is_open


async def test_silence_counts_from_the_change_to_active(autojump_clock, nursery):
    """Guards against closing a connection for the silence that was allowed before."""
    stream, conn = await run_with_silent_peer(nursery, is_active=False)
    await trio.sleep(0.9)
    conn.set_active(True)
    await trio.sleep(0.55)
    assert conn.is_open
    # Heartbeats begin at once, without waiting for the interval of an idle connection.
    assert stream.frames >= 2
    await trio.sleep(0.1)
    assert not conn.is_open


async def test_deferred_messages_are_sent_with_one_write(autojump_clock, nursery):
    """Guards against one message for each change within a turn of the event loop."""

    class CountingHandler(StatusHandler):
        writes = 0

        def before_write(self, conn):
            if self.changes:
                self.writes += 1
                conn.send(StatusQuery(str(self.changes)))
                self.changes = 0

        changes = 0

    handler = CountingHandler()
    stream = SilentStream()
    conn = connection.Connection(stream, AGENT, IDLE_CFG)
    nursery.start_soon(conn.run, handler)
    await trio.sleep(0.01)
    for _ in range(5):
        handler.changes += 1
        conn.request_write()
    await trio.sleep(0.01)
    assert (handler.writes, stream.frames) == (1, 1)


async def test_blocked_write_does_not_hide_a_silent_peer(autojump_clock, nursery):
    """Guards against waiting for the write timeout while the peer is lost."""

    class BlockedStream(SilentStream):
        async def send_all(self, data):
            await trio.sleep_forever()

    conn = connection.Connection(BlockedStream(), AGENT, IDLE_CFG)
    nursery.start_soon(conn.run, StatusHandler())
    conn.send(StatusQuery("status"))
    await trio.sleep(0.65)
    assert not conn.is_open


class FailingHandler(StatusHandler):
    """Fails with an unexpected error in one of its callbacks."""

    def __init__(self, callback):
        super().__init__()
        self._callback = callback

    def _fail_in(self, callback):
        if callback == self._callback:
            raise KeyError("unexpected")

    def opened(self, conn):
        self._fail_in("opened")
        super().opened(conn)

    def handle(self, conn, message):
        self._fail_in("handle")

    def before_write(self, conn):
        self._fail_in("before_write")

    def heartbeat(self):
        self._fail_in("heartbeat")
        return super().heartbeat()


@pytest.mark.parametrize("callback", ["opened", "handle", "before_write", "heartbeat"])
async def test_an_error_of_a_handler_ends_only_its_connection(callback):
    """Guards against one message or unexpected error that ends the process."""
    async with serving(FailingHandler(callback)) as address:
        for _ in range(2):
            async with establish.open_connection(address, AGENT, SECRET, CFG) as conn:
                conn.try_send(StatusQuery("status"))
                await conn.run(StatusHandler())
                assert conn.closed_by_peer


async def read_to_the_end(stream):
    """Return how a stream ends."""
    try:
        while await stream.receive_some(4096):
            pass
    except trio.BrokenResourceError:
        return "reset"
    return "closed"


@pytest.mark.parametrize(
    ("suspect_after", "expected"),
    [(0.1, "reset"), (60, "closed")],
    ids=["silent peer", "closed by this process"],
)
async def test_a_lost_connection_discards_undelivered_messages(suspect_after, expected):
    """Guards against an order that arrives after its run has been given up."""
    cfg = connection.WireSettings(
        heartbeat_every=Duration(0.05), suspect_after=Duration(suspect_after)
    )
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = listeners[0].socket.getsockname()
    async with (
        listeners[0],
        await trio.open_tcp_stream(*address) as stream,
        await listeners[0].accept() as peer_stream,
    ):
        conn = connection.Connection(stream, AGENT, cfg)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.run, StatusHandler())
            await trio.lowlevel.checkpoint()
            if expected == "closed":
                conn.close()
        await stream.aclose()
        with trio.fail_after(30):
            assert await read_to_the_end(peer_stream) == expected
