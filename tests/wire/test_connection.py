"""Connections over TCP: handshake, calls, timeouts and size limits."""

import contextlib
import dataclasses

import pytest
import trio
import trio.lowlevel

from hornbeamshore.base.settings import Duration
from hornbeamshore.wire import connection, framing
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
            connection.serve_connections, listeners, identity, secret, CFG, handler
        )
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def test_replies_match_their_calls():
    """Guards against replies delivered to another call on the same connection."""
    async with (
        serving(StatusHandler()) as address,
        connection.open_connection(address, AGENT, SECRET, CFG) as conn,
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
            async with connection.open_connection(address, identity, secret, CFG):
                pass
    assert handler.connections == []


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
        async with connection.open_connection(address, AGENT, SECRET, CFG) as conn:
            assert conn.peer.process_id == "entry-1"
    assert len(handler.connections) <= 1


@pytest.mark.parametrize("direction", ["sent", "received"])
async def test_unresponsive_connection_is_closed(direction):
    """Guards against a call that never ends because the peer became unreachable."""
    async with (
        serving(StatusHandler()) as address,
        connection.open_connection(address, AGENT, SECRET, CFG) as conn,
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
