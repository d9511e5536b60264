"""Listeners, metrics servers and signal handling of the daemons."""

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import SettingsError
from hornbeamshore.serving.early_signals import RELOAD_SIGNAL, STOP_SIGNALS
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


async def handle_signals(stop, reload, early_signals=None):
    """Call `stop` on SIGTERM and SIGINT, and `reload` on SIGHUP.

    Parameters
    ----------
    stop : callable
        Begins the planned stop. Called with the boot time, in seconds, of a signal that
        was received before; without an argument for one that is received now.
    reload : callable
        Reloads the settings; may raise `SettingsError`.
    early_signals : EarlySignals or None
        Signals received during the start, which are handled first.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS, RELOAD_SIGNAL) as signals:
        if early_signals is not None:
            _handle_early(stop, reload, early_signals)
        async for signum in signals:
            if signum == RELOAD_SIGNAL:
                _reload(reload)
            else:
                log.info("stopping signal=%d", signum)
                stop()


def _handle_early(stop, reload, early_signals):
    if early_signals.is_reload_requested:
        _reload(reload)
    if early_signals.stopped_at is not None:
        log.info("stopping signal received during the start")
        stop(early_signals.stopped_at)


def _reload(reload):
    try:
        reload()
    except SettingsError as exc:
        log.error("settings not reloaded: %s", exc)
    else:
        log.info("settings reloaded")
