"""Listeners, metrics servers and signal handling of the daemons."""

import signal

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import SettingsError
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.serving.sockets import PreboundSockets

log = PartLogger("process")


async def listen(stack, address, prebound_sockets):
    """Return listeners on ``host:port``.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
        Closes the listeners.
    address : str
        Address as ``host:port``.
    prebound_sockets : PreboundSockets
        Sockets that are bound already; the one of the address is removed and used.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    sock = prebound_sockets.pop(address)
    if sock is not None:
        listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(sock))]
    else:
        host, _, port = address.rpartition(":")
        listeners = await open_http_listeners(host, int(port))
    for listener in listeners:
        await stack.enter_async_context(listener)
    return listeners


async def open_metrics_listeners(stack, address):
    """Return listeners for the metrics, or an empty list if they cannot be opened."""
    try:
        return await listen(stack, address, PreboundSockets())
    except OSError as exc:
        # The process continues without metrics.
        log.error("metrics not served address=%s: %s", address, exc)
        return []


async def serve_until_cancelled(app, listeners):
    """Serve an ASGI application until cancelled; return if there are no listeners."""
    if listeners:
        await serve_http(app, listeners, HttpSettings(), Shutdown())


async def call_periodically(function, interval_s):
    """Call a function every `interval_s` seconds until cancelled."""
    while True:
        await trio.sleep(interval_s)
        function()


async def handle_signals(stop, reload):
    """Call `stop` on SIGTERM and SIGINT, and `reload` on SIGHUP.

    Parameters
    ----------
    stop : callable
        Begins the planned stop.
    reload : callable
        Reloads the settings; may raise `SettingsError`.
    """
    signums = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signums) as signals:
        async for signum in signals:
            if signum != signal.SIGHUP:
                log.info("stopping signal=%d", signum)
                stop()
                continue
            try:
                reload()
            except SettingsError as exc:
                log.error("settings not reloaded: %s", exc)
            else:
                log.info("settings reloaded")
