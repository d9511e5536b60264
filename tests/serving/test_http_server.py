"""Tests of connections and requests around the planned stop of an HTTP server."""

import contextlib
import os
import resource
import select
import socket

import pytest
import trio

from hornbeamshore.base.settings import Duration
from hornbeamshore.serving import http_connections
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown, ShutdownSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 \r\n"
TIMEOUT_S = 30.0
# Idle connections are closed as soon as the stop begins.
CLOSE_AT_ONCE = ShutdownSettings(accept_until=Duration(0.0))
# Nothing is idle in this time, however slow the machine is.
END_SOON = ShutdownSettings(
    accept_until=Duration(0.0),
    answer_until=Duration(0.2),
    read_until=Duration(0.2),
    exit_until=Duration(60.0),
)
CUT_SOON = ShutdownSettings(
    accept_until=Duration(0.0),
    answer_until=Duration(0.2),
    read_until=Duration(0.2),
    exit_until=Duration(0.4),
)


class GatedApp:
    """ASGI application that answers requests once its gate is open.

    Attributes
    ----------
    taken_first : trio.Event
        Set when the first request has been taken.
    """

    def __init__(self, body=b"done"):
        self.gate = trio.Event()
        self.taken_first = trio.Event()
        self._body = body

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        self.taken_first.set()
        await self.gate.wait()
        headers = [(b"content-length", b"%d" % len(self._body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self._body})


class Server:
    """Server in the background, and its callers, whose calls do not block the loop."""

    def __init__(self, app, shutdown, listeners):
        self.app, self.shutdown = app, shutdown
        self.address = listeners[0].socket.getsockname()
        self.ended = trio.Event()

    def connect(self):
        sock = socket.create_connection(self.address)
        sock.settimeout(TIMEOUT_S)
        return sock


@contextlib.asynccontextmanager
async def serving(app, shutdown_cfg):
    """Serve an application; yield the `Server`."""
    async with trio.open_nursery() as nursery:
        listeners = await open_http_listeners("127.0.0.1", 0)
        shutdown = Shutdown(shutdown_cfg)
        server = Server(app, shutdown, listeners)

        async def serve():
            await serve_http(app, listeners, HttpSettings(), shutdown)
            server.ended.set()

        nursery.start_soon(shutdown.run)
        nursery.start_soon(serve)
        yield server
        nursery.cancel_scope.cancel()


def is_readable(sock):
    """Return whether data or the end of a connection can be read."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


async def read_all(sock):
    """Return what a caller receives until the end of its connection."""

    def read():
        parts = []
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                parts.append(data)
        return b"".join(parts)

    return await trio.to_thread.run_sync(read)


async def exchange(sock):
    """Send a request on a connection that stays open, and read the answer."""
    await trio.to_thread.run_sync(sock.sendall, REQUEST)
    answer = b""
    while not answer.endswith(b"done"):
        answer += await trio.to_thread.run_sync(sock.recv, 65536)


@contextlib.contextmanager
def without_free_descriptors(stack, server):
    """Leave a connection in the queue of a listener, and no descriptor to accept it.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Closes the connection of the caller.
    server : Server
        Server of the listener.
    """
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    stack.enter_context(server.connect())
    highest = max(map(int, os.listdir("/proc/self/fd")))
    with contextlib.ExitStack() as copies:
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest, limits[1]))
        copies.callback(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        with contextlib.suppress(OSError):
            while True:
                copies.callback(os.close, os.dup(0))
        yield


class LateRequests(trio.abc.Instrument):
    """Sends requests on open connections in one turn of the event loop.

    Attributes
    ----------
    sent_on : list of socket.socket
        Connections that the server had not closed by then.
    """

    def __init__(self, conns, turn):
        self.sent_on = []
        self._conns, self._turns_left = conns, turn

    def before_io_wait(self, timeout):
        if self._turns_left == 0:
            self.sent_on = [conn for conn in self._conns if not is_readable(conn)]
            for conn in self.sent_on:
                conn.sendall(REQUEST)
        self._turns_left -= 1


@pytest.mark.parametrize("turn", range(12))
async def test_requests_that_arrive_when_idle_connections_are_closed_are_answered(turn):
    """Guards against requests on idle connections that a stop closes unanswered."""
    app = GatedApp()
    app.gate.set()
    with contextlib.ExitStack() as stack, trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            conns = [stack.enter_context(server.connect()) for _ in range(10)]
            for conn in conns:
                await exchange(conn)
            late_requests = LateRequests(conns, turn)
            trio.lowlevel.add_instrument(late_requests)
            server.shutdown.begin()
            await server.ended.wait()
            trio.lowlevel.remove_instrument(late_requests)
            answers = [await read_all(conn) for conn in late_requests.sent_on]
    assert [answer[:15] for answer in answers if answer[:15] != OK] == []
    assert all(b"connection: close" in answer for answer in answers)


@pytest.mark.parametrize("connections", [1, 100])
async def test_connections_that_wait_when_the_listener_is_closed_are_served(
    connections,
):
    """Guards against the reset of requests that a busy process has not accepted."""
    app = GatedApp()
    app.gate.set()
    with contextlib.ExitStack() as stack, trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            await trio.testing.wait_all_tasks_blocked()
            server.shutdown.begin()
            conns = [stack.enter_context(server.connect()) for _ in range(connections)]
            for conn in conns:
                conn.sendall(REQUEST)
            answers = [await read_all(conn) for conn in conns]
            await server.ended.wait()
    assert [answer[:15] for answer in answers] == [OK] * connections


async def test_a_new_connection_waits_for_its_first_request_in_a_stop(monkeypatch):
    """Guards against the close of connections whose request is on its way."""
    monkeypatch.setattr(http_connections, "FIRST_REQUEST_S", TIMEOUT_S)
    app = GatedApp()
    app.gate.set()
    with trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            await trio.testing.wait_all_tasks_blocked()
            server.shutdown.begin()
            with server.connect() as conn:
                # The listener is closed and idle connections are by then.
                await trio.testing.wait_all_tasks_blocked()
                conn.sendall(REQUEST)
                answer = await read_all(conn)
            await server.ended.wait()
    assert answer.startswith(OK)


@pytest.mark.parametrize("requests", [1, 3], ids=["one", "pipelined"])
async def test_what_was_read_is_answered_after_the_end_of_reading(requests):
    """Guards against requests that are cut because their answers come last."""
    app = GatedApp()
    with trio.fail_after(TIMEOUT_S):
        async with serving(app, END_SOON) as server:
            with server.connect() as conn:
                conn.sendall(REQUEST * requests)
                await app.taken_first.wait()
                server.shutdown.begin()
                await server.shutdown.sleep_until(END_SOON.read_until)
                await trio.testing.wait_all_tasks_blocked()
                app.gate.set()
                answer = await read_all(conn)
                await server.ended.wait()
    assert answer.count(b"HTTP/1.1 200") == requests


async def test_a_caller_that_does_not_read_does_not_hold_up_the_end():
    """Guards against a process that outlasts its grace period in a blocked write."""
    app = GatedApp(b"x" * 50_000_000)
    app.gate.set()
    with trio.fail_after(TIMEOUT_S):
        async with serving(app, CUT_SOON) as server:
            with server.connect() as conn:
                conn.sendall(REQUEST)
                await app.taken_first.wait()
                server.shutdown.begin()
                await server.ended.wait()


async def test_a_process_without_free_descriptors_answers_what_is_open():
    """Guards against a stop that ends the process while requests are open."""
    app = GatedApp()
    with contextlib.ExitStack() as stack, trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            conn = stack.enter_context(server.connect())
            conn.sendall(REQUEST)
            await app.taken_first.wait()
            with without_free_descriptors(stack, server):
                server.shutdown.begin()
                await trio.sleep(0.3)
            app.gate.set()
            answer = await read_all(conn)
            await server.ended.wait()
    assert answer.startswith(OK)


class ConnectEachTurn(trio.abc.Instrument):
    """Opens a connection in each turn of the event loop.

    Attributes
    ----------
    conns : list of socket.socket
        Connections.
    """

    MAX_CONNS = 500

    def __init__(self, server):
        self.conns = []
        self._server = server

    def before_io_wait(self, timeout):
        with contextlib.suppress(ConnectionRefusedError):
            if len(self.conns) < self.MAX_CONNS:
                self.conns.append(self._server.connect())


async def test_callers_that_keep_connecting_do_not_hold_up_the_end():
    """Guards against a stop that accepts for as long as connections arrive."""
    app = GatedApp()
    app.gate.set()
    with contextlib.ExitStack() as stack, trio.fail_after(TIMEOUT_S):
        async with serving(app, CUT_SOON) as server:
            connects = ConnectEachTurn(server)
            trio.lowlevel.add_instrument(connects)
            stack.callback(trio.lowlevel.remove_instrument, connects)
            server.shutdown.begin()
            await server.ended.wait()
        for conn in connects.conns:
            stack.enter_context(conn)
    assert len(connects.conns) < connects.MAX_CONNS


class InterruptedApp(GatedApp):
    """ASGI application whose caller sends a further request before it is answered.

    Parameters
    ----------
    turns : int
        Turns of the event loop between the further request and the answer.
    """

    def __init__(self, turns):
        super().__init__()
        self.conn = None
        self._turns = turns

    async def __call__(self, scope, receive, send):
        if scope["type"] == "http" and not self.taken_first.is_set():
            self.taken_first.set()
            await self.gate.wait()
            self.conn.sendall(REQUEST)
            for _ in range(self._turns):
                await trio.lowlevel.checkpoint()
        await super().__call__(scope, receive, send)


@pytest.mark.parametrize("turns", range(6))
async def test_an_answer_is_not_cut_by_a_further_request(turns):
    """Guards against a stop that drops an answer when its caller sends more."""
    app = InterruptedApp(turns)
    with trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            with server.connect() as app.conn:
                app.conn.sendall(REQUEST)
                await app.taken_first.wait()
                server.shutdown.begin()
                await trio.testing.wait_all_tasks_blocked()
                app.gate.set()
                answer = await read_all(app.conn)
                await server.ended.wait()
    assert answer.startswith(OK)
    assert answer.count(b"done") >= 1


async def test_an_idle_http2_connection_does_not_hold_up_the_end():
    """Guards against connections that count as busy before their first request."""
    preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
    with trio.fail_after(TIMEOUT_S):
        async with serving(GatedApp(), CLOSE_AT_ONCE) as server:
            with server.connect() as conn:
                conn.sendall(preface)
                # The settings of the server show that it has read the preface.
                await trio.to_thread.run_sync(conn.recv, 65536)
                server.shutdown.begin()
                await server.ended.wait()


@pytest.mark.parametrize("chunks", [5, 50])
async def test_an_unread_body_does_not_hold_up_the_end(chunks):
    """Guards against connections that are left when a body was not read."""
    app = GatedApp()
    request = REQUEST[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
    with trio.fail_after(TIMEOUT_S):
        async with serving(app, CLOSE_AT_ONCE) as server:
            with server.connect() as conn:
                conn.sendall(request + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
                await app.taken_first.wait()
                await trio.testing.wait_all_tasks_blocked()
                app.gate.set()
                server.shutdown.begin()
                answer = await read_all(conn)
                await server.ended.wait()
    assert answer.startswith(OK)
