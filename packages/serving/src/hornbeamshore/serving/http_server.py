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
MAX_REQUESTS_PER_CONNECTION = 2**31
# h11 and h2 refuse larger headers while parsing; headers above the setting
# max_header_bytes but below this limit get an answer with a result code.
MAX_PARSED_HEADER_BYTES = 64 * 1024
MAX_CONCURRENT_STREAMS = 1_000
# When a connection is closed, the last frame of an HTTP/2 answer may not be sent yet.
# A stream that was reset keeps its buffer, so the wait for empty buffers is bounded.
FLUSH_TIMEOUT_S = 1.0
FLUSH_POLL_INTERVAL_S = 0.005

# Key of the connection's socket in the state of an ASGI scope.
SOCKET_STATE = "socket"

_log = PartLogger("entry")
# Lines about requests, of which there may be many, must not crowd out those of a stop.
_process_log = PartLogger("process")


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
        ASGI application. The state of its scopes holds the socket of the connection
        under `SOCKET_STATE`.
    listeners : list of trio.SocketListener
        Listeners; they are closed ``cfg.linger`` after `stopping` is set.
    cfg : HttpSettings
        Timeouts and limits.
    stopping : trio.Event
        Begins the shutdown: after ``cfg.linger``, no connection is accepted, and
        requests in flight are completed within ``cfg.graceful_timeout``. Idle
        connections are closed once no request is open.
    """
    worker_context = WorkerContext(None)
    request_counter = _RequestCounter(app, stopping)
    config = _hypercorn_config(cfg)
    _set_send_timeout(listeners, cfg.send_timeout)

    async def serve_connection(stream):
        await _ConnectionServer(
            ASGIWrapper(request_counter),
            config,
            worker_context,
            ConnectionState({SOCKET_STATE: stream.socket}),
            stream,
        ).run()

    async with trio.open_nursery() as connection_nursery:
        async with trio.open_nursery() as accept_nursery:
            accept_nursery.start_soon(
                partial(
                    trio.serve_listeners,
                    serve_connection,
                    listeners,
                    handler_nursery=connection_nursery,
                )
            )
            task_status.started()
            await stopping.wait()
            await trio.sleep(cfg.linger)
            accept_nursery.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()
        _process_log.info(
            "listeners closed connections=%d open_requests=%d",
            len(connection_nursery.child_tasks),
            request_counter.open_requests,
        )
        connection_nursery.cancel_scope.deadline = (
            trio.current_time() + cfg.graceful_timeout
        )
        # Hypercorn 0.18 closes an HTTP/2 connection before the last frame of an answer
        # if its context is terminated while the request is in flight.
        await request_counter.wait_idle()
        _process_log.info(
            "idle connections closed connections=%d",
            len(connection_nursery.child_tasks),
        )
        await worker_context.terminated.set()
    if request_counter.cut_requests:
        _process_log.warning("requests cut requests=%d", request_counter.cut_requests)


class _RequestCounter:
    """ASGI middleware that counts the open requests.

    During a shutdown, it adds ``Connection: close`` to answers over HTTP/1.1, so that
    the caller opens a new connection for its next request.

    Attributes
    ----------
    open_requests : int
        Number of requests that have not been answered.
    cut_requests : int
        Number of requests that were cancelled before they were answered.
    """

    def __init__(self, app, stopping):
        self._app = app
        self._stopping = stopping
        self.open_requests = self.cut_requests = 0
        self._changed = trio.Event()

    async def __call__(self, scope, receive, send):
        async def send_with_close(message):
            close_connection = (
                self._stopping.is_set() and scope["http_version"][0] == "1"
            )
            if message["type"] == "http.response.start" and close_connection:
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        self.open_requests += 1
        opened_at = trio.current_time()
        try:
            await self._app(scope, receive, send_with_close)
        except BaseException as exc:
            # Cancelled, or a group with it from a nursery of the application.
            if not isinstance(exc, Exception):
                self.cut_requests += 1
                _log.warning(
                    "request cut path=%s open_ms=%.0f",
                    scope.get("path"),
                    (trio.current_time() - opened_at) * 1000,
                )
            raise
        finally:
            self.open_requests -= 1
            self._changed.set()

    async def wait_idle(self):
        """Wait until no request is open."""
        while self.open_requests:
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
        except* Exception as exc_group:
            _log.debug("connection closed error=%r", exc_group.exceptions[0])

    async def _initiate_server_close(self):
        if getattr(self.protocol.protocol, "stream", None) is not None:
            _log.warning("connection closed with an open request")
        buffers = getattr(self.protocol.protocol, "stream_buffers", None)
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            # Polls, since hypercorn has no event for the removal of a buffer.
            while buffers:  # noqa: ASYNC110
                await trio.sleep(FLUSH_POLL_INTERVAL_S)
        await super()._initiate_server_close()


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


def _set_send_timeout(listeners, send_timeout):
    # Hypercorn shields its writes from cancellation, so that only a socket option can
    # end a write to a caller that does not read. Accepted sockets inherit the option.
    for listener in listeners:
        listener.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(send_timeout * 1000)
        )
