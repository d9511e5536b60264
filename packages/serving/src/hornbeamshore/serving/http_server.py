"""HTTP server that accepts connections until its planned stop."""

import socket
from functools import partial

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.serving.http_connections import Connections
from hornbeamshore.serving.sockets import BACKLOG

_log = PartLogger("process")


async def open_http_listeners(host, port):
    """Return TCP listeners on an address; port 0 lets the system choose a port."""
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)


async def serve_http(
    app, listeners, cfg, shutdown, task_status=trio.TASK_STATUS_IGNORED
):
    """Serve an ASGI application until its planned stop has ended.

    Parameters
    ----------
    app : callable
        ASGI application. The state of its scopes holds the socket of the connection
        under `http_connections.SOCKET_STATE`.
    listeners : list of trio.SocketListener
        Listeners; they are closed when the stop ends the accepting of connections.
    cfg : HttpSettings
        Timeouts and limits.
    shutdown : Shutdown
        Planned stop. Each request that has been read is answered before its connection
        is closed, unless its caller does not take the answer. The application ends
        each request by the time at which the stop demands it.
    """
    _set_send_timeout(listeners, cfg.send_timeout)
    connections = Connections(app, cfg, shutdown)
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as accept_nursery:
            accept_nursery.start_soon(
                partial(
                    trio.serve_listeners,
                    connections.serve,
                    [_KeptOpen(listener) for listener in listeners],
                    handler_nursery=nursery,
                )
            )
            task_status.started()
            await shutdown.sleep_until(shutdown.cfg.accept_until)
            accept_nursery.cancel_scope.cancel()
        for listener in listeners:
            _accept_queued(listener, connections, nursery)
        _log.info("listeners closed %s", connections)
        await shutdown.run_until(shutdown.cfg.read_until, connections.wait_idle)
        _log.info("idle connections closed %s", connections)
        connections.close_idle(nursery)
        await shutdown.run_until(shutdown.cfg.read_until, connections.wait_closed)
        connections.stop_reading()
        await shutdown.run_until(shutdown.cfg.exit_until, connections.wait_closed)
        await connections.cut()
        nursery.cancel_scope.cancel()


class _KeptOpen(trio.abc.Listener):
    """Listener that stays open when the task that accepts connections is cancelled."""

    def __init__(self, listener):
        self._listener = listener

    async def accept(self):
        return await self._listener.accept()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


def _accept_queued(listener, connections, nursery):
    """Close a listener, but accept the connections in its queue before.

    They wait there if the process does not get the processor. No event is handled in
    between, so that callers that keep connecting do not hold up the close.
    """
    with socket.socket(fileno=listener.socket.detach()) as sock:
        sock.setblocking(False)
        for _ in range(BACKLOG):
            try:
                conn, _ = sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                _log.warning("connections not accepted: %s", exc)
                return
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(conn))
            nursery.start_soon(connections.serve, stream)


def _set_send_timeout(listeners, send_timeout):
    # Hypercorn shields its writes from cancellation, so that only a socket option can
    # end a write to a caller that does not read. Accepted sockets inherit the option.
    for listener in listeners:
        listener.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(send_timeout * 1000)
        )
