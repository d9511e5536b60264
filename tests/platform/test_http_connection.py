"""Tests of the HTTP client against responses written byte by byte."""

import contextlib

import pytest
import trio

from hornbeamshore.platform.http_connection import (
    HttpConnection,
    RequestFailed,
    Response,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@contextlib.asynccontextmanager
async def serving(*connections):
    """Serve scripted connections and yield an `HttpConnection` and the requests.

    Each connection is a list with the parts of the response to each of its requests;
    part None closes the connection.
    """
    scripts = list(connections)
    requests = []

    async def serve(stream):
        for parts in scripts.pop(0):
            requests.append(await stream.receive_some(65536))
            for part in parts:
                if part is None:
                    return
                await stream.send_all(part)
                await trio.sleep(0.001)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        async with contextlib.aclosing(
            HttpConnection(f"127.0.0.1:{port}", 0.5)
        ) as conn:
            yield conn, requests
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        ([OK], Response(200, b"{}")),
        ([bytes([byte]) for byte in OK], Response(200, b"{}")),
        (
            [
                b"HTTP/1.1 409 x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n[\r\n",
                b"1\r\n]\r\n0\r\n\r\n",
            ],
            Response(409, b"[]"),
        ),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", OK], Response(200, b"{}")),
        ([b"HTTP/1.1 204 x\r\n\r\n"], Response(204, b"")),
        ([OK[:-1], None], "connection closed"),
        ([None], "connection closed"),
        ([b"SMTP ready\r\n\r\n"], "invalid response"),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"], "invalid response"),
        ([b"HTTP/1.1 101 x\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nzz"], "invalid"),
        ([OK[:-1]], "no response within"),
    ],
    ids=[
        "one piece",
        "byte by byte",
        "chunked",
        "interim response",
        "no body",
        "closed in the body",
        "closed at once",
        "another protocol",
        "invalid length",
        "upgrade",
        "incomplete",
    ],
)
async def test_responses(parts, expected):
    """Guards against a malformed response that passes or ends the process."""
    async with serving([parts]) as (conn, requests):
        if isinstance(expected, Response):
            response = await conn.request(
                "POST", "/p?q=1", 1.0, {"a": 1}, ((b"X", b"y"),)
            )
            assert response == expected
            head, _, body = requests[0].partition(b"\r\n\r\n")
            assert head.startswith(b"POST /p?q=1 HTTP/1.1\r\nHost: 127.0.0.1:")
            assert b"\r\nX: y" in head
            assert body == b'{"a":1}'
        else:
            with pytest.raises(RequestFailed, match=expected) as exc_info:
                await conn.request("GET", "/", 0.3)
            assert exc_info.value.maybe_sent


@pytest.mark.parametrize(
    "first_parts",
    [
        [OK, None],
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"],
        [OK[:-1]],
        [OK + OK],
    ],
    ids=[
        "closed after the response",
        "close announced",
        "timed out",
        "second response",
    ],
)
async def test_a_used_connection_is_replaced(first_parts):
    """Guards against a lost request, or the response to an earlier one."""
    async with serving([first_parts], [[OK[:-2] + b"[]"]]) as (conn, requests):
        with contextlib.suppress(RequestFailed):
            await conn.request("GET", "/first", 0.2)
        await trio.sleep(0.05)
        response = await conn.request("GET", "/second", 1.0)
        assert response == Response(200, b"[]")
        assert requests[1].startswith(b"GET /second ")


async def test_a_connection_serves_many_requests():
    """Guards against the cost of a connection for each request."""
    async with serving([[OK], [OK], [OK]]) as (conn, requests):
        for _ in range(3):
            assert (await conn.request("GET", "/", 1.0)).status == 200
    assert len(requests) == 3


async def test_a_cancelled_request_closes_its_connection():
    """Guards against taking a late response for that to the next request."""
    async with serving([[b"HTTP"]], [[OK]]) as (conn, _):
        with trio.move_on_after(0.05):
            await conn.request("GET", "/first", 1.0)
        assert (await conn.request("GET", "/second", 1.0)).status == 200


@pytest.mark.parametrize("is_reconnected", [False, True])
async def test_a_body_is_made_once_the_connection_is_open(monkeypatch, is_reconnected):
    """Guards against a body that states what held before the connection was opened.

    Opening a connection may take long, or reach another process than the one before.
    """
    events = []
    open_tcp_stream = trio.open_tcp_stream

    async def open_and_record(host, port):
        stream = await open_tcp_stream(host, port)
        events.append("opened")
        return stream

    def make_body():
        events.append("made")
        return {"n": len(events)}

    monkeypatch.setattr(trio, "open_tcp_stream", open_and_record)
    async with serving([[OK, None]], [[OK]]) as (conn, requests):
        if is_reconnected:
            await conn.request("GET", "/", 0.5)
            await trio.sleep(0.05)
            events.clear()
        await conn.request("POST", "/", 0.5, make_body)
    assert events == ["opened", "made"]
    assert requests[-1].endswith(b'{"n":2}')
