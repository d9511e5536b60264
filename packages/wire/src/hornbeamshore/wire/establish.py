"""Opening and accepting connections: TCP, then the handshake.

One task serves each connection, from its acceptance to its end.
"""

import contextlib

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.decoding import split_address
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.wire import codec, framing, handshake
from hornbeamshore.wire.connection import (
    Connection,
    ConnectionLost,
    ConnectionRefused,
)
from hornbeamshore.wire.messages import Message

MAX_ACCEPTED_CONNECTIONS = 4096

log = PartLogger("wire")


@contextlib.asynccontextmanager
async def open_connection(address, identity, secret, cfg):
    """Connect to a process, perform the handshake and yield the `Connection`.

    The stream is closed on exit from the context. The connection processes no messages
    until its `Connection.run` is called.

    Parameters
    ----------
    address : str
        ``host:port``.
    identity : Identity
        Identity of this process.
    secret : bytes
        Shared secret of the deployment.
    cfg : WireSettings
        Heartbeat interval and timeouts.

    Raises
    ------
    ConnectionLost
        If no connection is established within the timeout; the subclass
        `ConnectionRefused` if the host refused it.
    HandshakeError
        If either process rejects the other.
    """
    begun_at = boot_time_s()
    async with contextlib.AsyncExitStack() as stack:
        try:
            host, port = split_address(address)
            with trio.fail_after(cfg.dial_timeout):
                stream = await trio.open_tcp_stream(host, port)
                await stack.enter_async_context(stream)
                reader = _handshake_reader(stream)
                send, receive = _handshake_channel(stream, reader)
                peer = await handshake.initiate(send, receive, identity, secret)
        except OSError as exc:
            error_type = ConnectionRefused if _is_refused(exc) else ConnectionLost
            raise error_type(f"{address}: {exc}") from exc
        except (trio.TooSlowError, trio.BrokenResourceError, ValueError) as exc:
            raise ConnectionLost(f"{address}: {exc}") from exc
        yield Connection(stream, peer, cfg, reader, begun_at=begun_at)


def _is_refused(exc):
    if isinstance(exc, ConnectionRefusedError):
        return True
    # For a name with several addresses, trio groups their errors in the cause.
    causes = getattr(exc.__cause__, "exceptions", (exc.__cause__,))
    return all(isinstance(cause, ConnectionRefusedError) for cause in causes)


async def serve_connections(listeners, identity, secret, cfg, handler):
    """Accept connections until cancelled, with one task for each connection.

    Parameters
    ----------
    listeners : list of trio.SocketListener
        Listeners that accept the connections.
    identity : Identity
        Identity of this process.
    secret : bytes
        Shared secret of the deployment.
    cfg : WireSettings
        Heartbeat interval and timeouts.
    handler : MessageHandler
        Receives the events of all connections.
    """
    limiter = trio.CapacityLimiter(MAX_ACCEPTED_CONNECTIONS)

    async def serve_stream(stream):
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(stream)
            await stack.enter_async_context(limiter)
            conn = await _accept_connection(stream, identity, secret, cfg)
            if conn is not None:
                await conn.run(handler)

    await trio.serve_listeners(serve_stream, listeners)


async def _accept_connection(stream, identity, secret, cfg):
    begun_at = boot_time_s()
    reader = _handshake_reader(stream)
    send, receive = _handshake_channel(stream, reader)
    try:
        with trio.fail_after(cfg.dial_timeout):
            peer = await handshake.accept(send, receive, identity, secret)
    except (
        handshake.HandshakeError,
        trio.TooSlowError,
        trio.BrokenResourceError,
    ) as exc:
        log.warning("handshake failed: %s", exc or type(exc).__name__)
        return None
    return Connection(stream, peer, cfg, reader, begun_at=begun_at)


def _handshake_reader(stream):
    return framing.FrameReader(stream, handshake.MAX_HANDSHAKE_FRAME_BYTES)


def _handshake_channel(stream, reader):
    async def send(body):
        payload = codec.encode_batch([Message(0, 0, body)])
        await stream.send_all(framing.encode_frame(payload))

    async def receive():
        try:
            payload = await reader.read()
            messages = codec.decode_batch(payload or b"")
        except (framing.FramingError, codec.CodecError) as exc:
            raise handshake.HandshakeError(str(exc)) from exc
        if len(messages) != 1:
            raise handshake.HandshakeError("expected a frame with one message")
        return messages[0].body

    return send, receive
