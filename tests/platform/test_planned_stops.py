"""Requests that reach an entry process around its planned stop."""

import contextlib
import json
import signal

import httpcore
import pytest
import trio

from .fake_platform import FakeTarget
from .test_processes import HEADERS, JOB, TIMEOUT_S, deployment

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
