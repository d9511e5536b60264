"""Connections of the HTTP server, which run hypercorn's protocols on trio streams."""

import contextlib
import select

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from hornbeamshore.base.logs import PartLogger

# Callers keep connections open while they have work; hypercorn's default of 1,000
# requests would close a busy connection every few seconds.
MAX_REQUESTS_PER_CONNECTION = 2**31
# h11 and h2 refuse larger headers while parsing; headers above the setting
# max_header_bytes but below this limit get an answer with a result code.
MAX_PARSED_HEADER_BYTES = 64 * 1024
MAX_CONCURRENT_STREAMS = 1_000
# When a connection is closed, the last frame of an HTTP/2 answer may not be sent yet.
# A stream that was reset keeps its buffer, so the wait for empty buffers is bounded.
FLUSH_TIMEOUT_S = 1.0
FLUSH_POLL_INTERVAL_S = 0.005
# Time within which the first request of a new connection arrives: the caller sends it
# when it has the answer to its handshake.
FIRST_REQUEST_S = 0.2
# Turns of the event loop within which the task of a connection reads what has arrived.
READ_TURNS = 10

# Keys of the connection's socket and server in the state of an ASGI scope.
SOCKET_STATE = "socket"
_SERVER_STATE = "server"

_log = PartLogger("entry")
# Lines about requests, of which there may be many, must not crowd out those of a stop.
_process_log = PartLogger("process")


def _is_readable(sock):
    """Return whether data, a connection or an end can be read from a socket."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Connections:
    """Connections that are being served.

    Parameters
    ----------
    app, cfg, shutdown
        Parameters of `serve_http`.

    Attributes
    ----------
    closing : trio.Event
        Set when connections without an open request are to be closed.
    is_reading : bool
        Whether further requests are to be read.
    """

    def __init__(self, app, cfg, shutdown):
        self.closing = trio.Event()
        self.is_reading = True
        self._app = ASGIWrapper(_StoppingApp(app, shutdown))
        self._config = _hypercorn_config(cfg)
        self._context = WorkerContext(None)
        self._servers = set()
        self._changed = trio.Event()

    def __str__(self):
        busy = sum(server.is_busy for server in self._servers)
        return f"connections={len(self._servers)} open_requests={busy}"

    async def serve(self, stream):
        """Serve one connection until it is closed."""
        state = ConnectionState({SOCKET_STATE: stream.socket})
        server = _ConnectionServer(
            self._app, self._config, self._context, state, stream, self
        )
        state[_SERVER_STATE] = server
        self._servers.add(server)
        try:
            await server.run()
        finally:
            self._servers.discard(server)
            self.notify_changed()

    def notify_changed(self):
        """Wake the waits for a change of the connections."""
        self._changed.set()

    async def wait_idle(self):
        """Wait until no request is open."""
        await self._wait_while(lambda: any(item.is_busy for item in self._servers))

    async def wait_closed(self):
        """Wait until all connections are closed."""
        await self._wait_while(lambda: self._servers)

    async def _wait_while(self, condition):
        while condition():
            self._changed = trio.Event()
            await self._changed.wait()

    def close_idle(self, nursery):
        """Close the connections that have no open request, now or later."""
        self.closing.set()
        for server in self._servers:
            if server.lacks_idle_task:
                nursery.start_soon(server.close)

    def stop_reading(self):
        """Read no further requests; close each connection once it has none open."""
        self.is_reading = False
        for server in self._servers:
            server.stop_reading()

    async def cut(self):
        """Close all connections.

        Writes to callers that do not read are shielded from cancellation, and end
        with the stream.
        """
        if self._servers:
            _process_log.warning("connections cut %s", self)
        for server in list(self._servers):
            await trio.aclose_forcefully(server.stream)


class _StoppingApp:
    """ASGI middleware that ends connections during a stop and logs cut requests.

    During a stop, it adds ``Connection: close`` to answers over HTTP/1.1, so that the
    caller opens a new connection for its next request. Requests that the caller has
    sent without waiting for an answer are answered first.
    """

    def __init__(self, app, shutdown):
        self._app = app
        self._shutdown = shutdown

    async def __call__(self, scope, receive, send):
        is_body_read = False

        async def receive_noting_end():
            nonlocal is_body_read
            message = await receive()
            is_body_read |= not message.get("more_body", False)
            return message

        async def send_with_close(message):
            server = scope["state"][_SERVER_STATE]
            close_connection = (
                self._shutdown.begun.is_set()
                and scope["http_version"][0] == "1"
                and not server.has_pipelined_data
            )
            if message["type"] == "http.response.start" and close_connection:
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
                # h11 would take further data for an error and close the connection
                # before the answer is sent.
                server.stop_reading()
            if is_body_read or message.get("more_body", False):
                await send(message)
            else:
                await _send_and_discard(message, receive, send)

        opened_at = trio.current_time()
        try:
            await self._app(scope, receive_noting_end, send_with_close)
        except BaseException as exc:
            # Cancelled, or a group with it from a nursery of the application.
            if not isinstance(exc, Exception):
                _log.warning(
                    "request cut path=%s open_ms=%.0f",
                    scope.get("path"),
                    (trio.current_time() - opened_at) * 1000,
                )
            raise


async def _send_and_discard(message, receive, send):
    """Send a message while the unread rest of the request is discarded.

    Hypercorn 0.18 queues ten parts of a body for an application, and ends an answer by
    a further message to it: both would wait for ever.
    """

    async def discard():
        while (await receive())["type"] != "http.disconnect":
            pass

    async with trio.open_nursery() as nursery:
        nursery.start_soon(discard)
        await send(message)
        nursery.cancel_scope.cancel()


class _ConnectionServer(TCPServer):
    """Server of one connection that confines exceptions to this connection.

    Hypercorn 0.18 raises KeyError for data of an HTTP/2 stream that was answered
    before its end; uncaught, the exception would end the whole process.
    """

    def __init__(self, app, config, context, state, stream, connections):
        super().__init__(app, config, context, state, stream)
        self.protocol = None
        self._has_request = False
        self._first_request = trio.Event()
        self._opened_at = trio.current_time()
        self._connections = connections
        self._is_reading = True
        self._receive_scope = trio.CancelScope()
        self._answered = trio.Event()

    async def run(self):
        """Serve the connection until it is closed."""
        try:
            await super().run()
        except* Exception as exc_group:
            _log.debug("connection closed error=%r", exc_group.exceptions[0])

    @property
    def is_busy(self):
        """Whether the head of a request has been read that is not answered yet."""
        if self.protocol is None:
            return False
        # Hypercorn 0.18 takes the preface of HTTP/2 for a request.
        streams = getattr(self.protocol.protocol, "streams", None)
        return self._has_request if streams is None else bool(streams)

    @property
    def lacks_idle_task(self):
        """Whether hypercorn does not end the connection though no request is open.

        Its task begins after a request; the preface of HTTP/2 ends the first one.
        """
        return self.protocol is not None and not self.is_busy and self._has_request

    @property
    def has_pipelined_data(self):
        """Whether data behind the current request over HTTP/1.1 has been read."""
        return bool(self.protocol.protocol.connection.trailing_data[0])

    async def close(self):
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)

    def stop_reading(self):
        """Read no further data; end the connection once no request is open."""
        self._is_reading = False
        self._receive_scope.cancel()

    async def protocol_send(self, event):
        """Send or apply an event of the protocol; notes when requests are open."""
        if isinstance(event, Updated | Closed):
            self._has_request = isinstance(event, Updated) and not event.idle
            if self._has_request:
                self._first_request.set()
            self._answered.set()
            self._connections.notify_changed()
        await super().protocol_send(event)

    async def _read_data(self):
        while data := await self._receive():
            await self.protocol.handle(RawData(bytes(data)))
        if not self._is_reading:
            await self._wait_answered()
        await self.protocol.handle(Closed())

    async def _receive(self):
        """Return received data; empty at its end or if no more is to be read."""
        data = b""
        with trio.CancelScope() as self._receive_scope:
            if not self._is_reading or not self._connections.is_reading:
                self.stop_reading()
            with contextlib.suppress(
                trio.ClosedResourceError, trio.BrokenResourceError
            ):
                data = await self.stream.receive_some(MAX_RECV)
        return data if self._is_reading else b""

    async def _wait_answered(self):
        while self.is_busy:
            self._answered = trio.Event()
            await self._answered.wait()

    async def _idle_timeout(self):
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self._connections.closing.wait()
        # Cancelled when the connection gets busy; a close that has begun is completed.
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    async def _initiate_server_close(self):
        if await self._has_read_request():
            # The answer ends the connection, or begins a new idle time.
            return
        buffers = getattr(self.protocol.protocol, "stream_buffers", None)
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            # Polls, since hypercorn has no event for the removal of a buffer.
            while buffers:  # noqa: ASYNC110
                await trio.sleep(FLUSH_POLL_INTERVAL_S)
        await super()._initiate_server_close()

    async def _has_read_request(self):
        """Return whether a request is open, after what has arrived has been read."""
        with trio.move_on_at(self._opened_at + FIRST_REQUEST_S):
            await self._first_request.wait()
        for _ in range(READ_TURNS):
            if self.is_busy or not _is_readable(self.stream.socket):
                break
            await trio.lowlevel.checkpoint()
        return self.is_busy


def _hypercorn_config(cfg):
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = cfg.idle_timeout
    config.h11_max_incomplete_size = MAX_PARSED_HEADER_BYTES
    config.h2_max_header_list_size = MAX_PARSED_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_CONCURRENT_STREAMS
    return config
