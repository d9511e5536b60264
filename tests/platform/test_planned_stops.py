"""Requests that reach an entry process around its planned stop."""

import contextlib
import json
import signal

import httpcore
import pytest
import trio

from .fake_platform import FakeStore, FakeTarget
from .scripted_http import serving
from .test_processes import (
    CONFIG,
    HEADERS,
    JOB,
    TIMEOUT_S,
    deployment,
    free_port,
    put_value,
    running,
    write_settings,
)

# Moments after the signal at which requests are sent. The process closes idle
# connections once no request is open, so some are open all the time; answers are due
# after 5.0 s.
EARLY_S = [0.25 * number for number in range(20)]
LATE_FROM_S, LATE_UNTIL_S = 4.7, 5.5


class SlowTarget(FakeTarget):
    """Target whose tasks are cut if they start in the last moments of a stop."""

    RUN_DURATION_S = 0.4


def job_id(number):
    return f"{number:016x}"


async def open_used_connection(url):
    """Return a connection to a server, on which a first request was answered."""
    conn = httpcore.AsyncHTTPConnection(httpcore.URL(url).origin, keepalive_expiry=60)
    response = await conn.request("GET", f"{url}/q/", headers=HEADERS)
    assert response.status == 200
    return conn


@pytest.mark.parametrize("late_requests", [40, 160])
async def test_no_request_is_started_and_left_without_an_answer(
    tmp_path, late_requests
):
    """Guards against requests that are taken and cut off by the end of the process."""
    target, answered = SlowTarget(), set()

    async def submit(conn, url, number, delay_s):
        await trio.sleep(delay_s)
        body = {**JOB, "steps": [{"count": 1, "cpu": 10, "estimateMs": 400}]}
        content = json.dumps(body).encode()
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            await conn.request(
                "POST", f"{url}/q/{job_id(number)}", headers=HEADERS, content=content
            )
            answered.add(job_id(number))

    async with deployment(tmp_path, target=target) as (_, _, url, entry, _):
        with trio.fail_after(TIMEOUT_S):
            interval_s = (LATE_UNTIL_S - LATE_FROM_S) / late_requests
            moments = EARLY_S + [
                LATE_FROM_S + interval_s * number for number in range(late_requests)
            ]
            conns = [await open_used_connection(url) for _ in moments]
            entry.send_signal(signal.SIGTERM)
            async with trio.open_nursery() as nursery:
                for number, delay_s in enumerate(moments):
                    nursery.start_soon(submit, conns[number], url, number, delay_s)
            await entry.wait()
    started = {task.partition(".")[0] for task, _ in target.starts}
    assert started - answered == set()
    assert entry.returncode == 0


async def connect_when_bound(address):
    """Return a stream as soon as the address of a starting process is bound."""
    while True:
        with contextlib.suppress(OSError):
            return await trio.open_tcp_stream(*address)
        await trio.sleep(0.001)


@pytest.mark.parametrize(
    "signums",
    [(signal.SIGTERM,), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGTERM)],
    ids=["stop", "reload", "reload and stop"],
)
async def test_a_signal_during_the_start_resets_no_connection(tmp_path, signums):
    """Guards against connections that end with a process that is still starting."""
    store = FakeStore()
    put_value(store, "op/config", json.dumps(CONFIG).encode())
    settings, front = tmp_path / "entry.conf", free_port()
    with trio.fail_after(TIMEOUT_S):
        async with serving(store) as store_address:
            write_settings(
                settings,
                store_address,
                free_port(),
                **{
                    "listen.front": f"127.0.0.1:{front}",
                    "listen.ready": f"127.0.0.1:{free_port()}",
                },
            )
            async with running("entry", settings) as process:
                stream = await connect_when_bound(("127.0.0.1", front))
                for signum in signums:
                    process.send_signal(signum)
                await stream.send_all(b"GET /q/ HTTP/1.1\r\nHost: desk.example\r\n\r\n")
                answer = await stream.receive_some()
                if signal.SIGTERM in signums:
                    await process.wait()
                    assert process.returncode == 0
    assert answer.startswith(b"HTTP/1.1 200 ")
