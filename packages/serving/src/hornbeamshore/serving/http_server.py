"""HTTP server that runs hypercorn's protocols on trio listeners."""

import socket
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.serving.sockets import BACKLOG

# Callers keep connections open while they have work; hypercorn's default of 1,000
# requests would close a busy connection every few seconds.
KEEP_ALIVE_MAX_REQUESTS = 2**31
# h11 and h2 refuse larger headers while parsing; headers above the setting
# max_header_bytes but below this limit get an answer with a result code.
HARD_HEADER_BYTES = 64 * 1024
MAX_STREAMS = 1_000
# When a connection is closed, the last frame of an HTTP/2 answer may not be sent yet.
# A stream that was reset keeps its buffer, so the wait for empty buffers is bounded.
FLUSH_S = 1.0
FLUSH_POLL_S = 0.005

_log = PartLogger("entry")


async def open_http_listeners(host, port):
    """Return TCP listeners on an address; port 0 lets the system choose a port."""
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)


async def serve_http(
    app, listeners, cfg, stopping, task_status=trio.TASK_STATUS_IGNORED
):
    """Serve an ASGI application until its graceful shutdown has ended.

    Parameters
    ----------
    app : callable
        ASGI application.
    listeners : list of trio.SocketListener
        Listeners; they are closed ``cfg.linger`` after `stopping` is set.
    cfg : HttpSettings
        Timeouts and limits.
    stopping : trio.Event
        Begins the shutdown: after ``cfg.linger``, no connection is accepted, and
        requests in flight are completed within ``cfg.graceful_timeout``. Idle
        connections are closed once no request is open.
    """
    context = WorkerContext(None)
    counted = _CountedApp(app, stopping)
    config = _hypercorn_config(cfg)
    _bound_send_time(listeners, cfg.send_timeout)

    async def handle(stream):
        await _ConnectionServer(
            ASGIWrapper(counted), config, context, ConnectionState({}), stream
        ).run()

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    handle,
                    listeners,
                    handler_nursery=connections,
                )
            )
            task_status.started()
            await stopping.wait()
            await trio.sleep(cfg.linger)
            accepting.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()
        connections.cancel_scope.deadline = trio.current_time() + cfg.graceful_timeout
        # Hypercorn 0.18 closes an HTTP/2 connection before the last frame of an answer
        # if its context is terminated while the request is in flight.
        await counted.wait_none_open()
        await context.terminated.set()


class _CountedApp:
    """ASGI middleware that counts the open requests.

    During a shutdown, it adds ``Connection: close`` to answers over HTTP/1.1, so that
    the caller opens a new connection for its next request.
    """

    def __init__(self, app, stopping):
        self._app = app
        self._stopping = stopping
        self._open = 0
        self._changed = trio.Event()

    async def __call__(self, scope, receive, send):
        async def send_on(message):
            closes = self._stopping.is_set() and scope["http_version"][0] == "1"
            if message["type"] == "http.response.start" and closes:
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        self._open += 1
        try:
            await self._app(scope, receive, send_on)
        finally:
            self._open -= 1
            self._changed.set()

    async def wait_none_open(self):
        """Wait until no request is open."""
        while self._open:
            self._changed = trio.Event()
            await self._changed.wait()


class _ConnectionServer(TCPServer):
    """Server of one connection that confines exceptions to this connection.

    Hypercorn 0.18 raises KeyError for data of an HTTP/2 stream that was answered
    before its end; uncaught, the exception would end the whole process.
    """

    async def run(self):
        try:
            await super().run()
        except* Exception as group:
            _log.debug("connection closed error=%r", group.exceptions[0])

    async def _initiate_server_close(self):
        buffers = getattr(self.protocol.protocol, "stream_buffers", None)
        with trio.move_on_after(FLUSH_S):
            # Polls, since hypercorn has no event for the removal of a buffer.
            while buffers:  # noqa: ASYNC110
                await trio.sleep(FLUSH_POLL_S)
        await super()._initiate_server_close()


def _hypercorn_config(cfg):
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.keep_alive_timeout = cfg.idle_timeout
    config.h11_max_incomplete_size = HARD_HEADER_BYTES
    config.h2_max_header_list_size = HARD_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_STREAMS
    return config


def _bound_send_time(listeners, send_timeout):
    # Hypercorn shields its writes from cancellation, so that only a socket option can
    # end a write to a caller that does not read. Accepted sockets inherit the option.
    for listener in listeners:
        listener.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(send_timeout * 1000)
        )
