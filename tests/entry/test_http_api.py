"""HTTP interface: jobs, single requests, queries, limits and failures."""

import json
from dataclasses import replace

import h2.config
import h2.connection
import httpcore
import pytest
import trio

from hornbeamshore.base.clock import unix_ms
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.types import Header, JobAnswer, JobKey
from hornbeamshore.entry.http_body import BodyBudget
from hornbeamshore.entry.http_errors import RequestRefused

TOKEN = "order-desk"
BODIES = [{"n": 1.10}, "text", None, [1, 2]]
JOB = {
    "id": "a/1",
    "service": "stock",
    "kind": "check",
    "deadline_ms": 1500,
    "tasks": [{"body": body} for body in BODIES],
}
ASYNC_HEADERS = {"prefer": "wait=5, respond-async"}


@pytest.mark.parametrize("http2", [False, True])
@pytest.mark.parametrize(
    ("media_type", "field"),
    [
        ("application/json", "body"),
        ("application/problem+json; charset=utf-8", "body"),
        ("text/plain", "body_base64"),
    ],
)
async def test_job_returns_results_in_order(
    send_request, service, http2, media_type, field
):
    """Guards against lost or reordered results on either protocol version."""
    service.media_type = media_type
    submitted_at = unix_ms() - 250
    job = {**JOB, "submitted_at": submitted_at}
    status, headers, answer = await send_request("POST", "/v1/jobs", job, http2=http2)
    assert (status, headers["hornbeamshore-code"]) == (200, "0")
    assert answer["run_state"] == headers["hornbeamshore-run-state"] == "ran"
    assert [result["index"] for result in answer["results"]] == [0, 1, 2, 3]
    if field == "body":
        assert [result["body"] for result in answer["results"]] == BODIES
    else:
        assert answer["results"][1]["body_base64"] == "InRleHQi"
    (request,) = service.requests
    assert request.key == JobKey("sales", "stock", "a/1")
    assert (request.timeout_ms, request.submitted_at_ms) == (1500, submitted_at)
    assert {task.path for task in request.tasks} == {"/check"}


@pytest.mark.parametrize("http2", [False, True])
async def test_single_request_is_forwarded(send_request, service, http2):
    """Guards against forwarding hop-by-hop headers or the token of a team."""
    service.media_type = "text/plain"
    status, headers, body = await send_request(
        "PUT",
        "/v1/services/stock/check/shelf%2F4?q=1",
        b"\x00raw",
        http2=http2,
        idempotency_key='"k1"',
        x_shop="9",
        te="trailers",
        hornbeamshore_deadline_ms="700",
    )
    (task,) = service.requests[0].tasks
    assert (task.method, task.path, task.body) == (
        "PUT",
        "/check/shelf%2F4?q=1",
        b"\x00raw",
    )
    assert Header("x-shop", "9") in task.headers
    assert Header("idempotency-key", "k1") in task.headers
    dropped = {"te", "authorization", "host", "hornbeamshore-deadline-ms"}
    assert not dropped & {header.name for header in task.headers}
    assert (status, headers["x-trace"], body) == (200, "7", b"\x00raw")
    assert "x-hop" not in headers
    assert headers["hornbeamshore-code"] == "0"
    assert service.requests[0].timeout_ms == 700


async def test_async_job_returns_202_then_results(send_request, service, observer):
    """Guards against an asynchronous job that is lost or answered before its end."""
    service.released = trio.Event()
    status, headers, answer = await send_request(
        "POST", "/v1/jobs", JOB, **ASYNC_HEADERS
    )
    assert (status, answer["code"], answer["run_state"]) == (202, 1, "unknown")
    path = headers["location"]
    assert path == "/v1/jobs/a%2F1?service=stock"
    assert (await send_request("GET", path))[0] == 202
    service.released.set()
    await trio.testing.wait_all_tasks_blocked()
    for query_path in (path, "/v1/jobs/a%2F1"):
        status, _, answer = await send_request("GET", query_path)
        assert (status, len(answer["results"])) == (200, 4)
    status, _, answer = await send_request("DELETE", "/v1/jobs/a%2F1")
    assert (status, answer["name"]) == (200, "CANCELLED")
    assert [event.code for event in observer.events] == [ResultCode.RUNNING]


@pytest.mark.parametrize("headers", [{}, ASYNC_HEADERS])
async def test_refusal_carries_retry_after(send_request, service, headers):
    """Guards against a refused job that is reported as accepted."""
    service.failure = refuse(ResultCode.OVERLOADED, retry_after_s=1.25)
    status, found, answer = await send_request("POST", "/v1/jobs", JOB, **headers)
    assert (status, answer["code"], answer["run_state"]) == (503, 200, "not run")
    assert found["retry-after"] == "2"
    assert found["hornbeamshore-retry-after-ms"] == "1250"


@pytest.mark.parametrize("method", ["GET", "DELETE"])
@pytest.mark.parametrize(
    ("known", "configured", "status", "code"),
    [
        (("stock", "quotes", "private"), True, 400, 100),
        ((), True, 404, 107),
        (("stock",), False, 404, 107),
    ],
)
async def test_query_without_service(
    send_request, service, method, known, configured, status, code
):
    """Guards against a query or cancellation of the same id in another service."""
    for name in known:
        key = JobKey("sales", name, "a")
        service.answers[key] = JobAnswer.complete(key, [])
    if not configured:
        empty = replace(service.deployment(), services={})
        service.deployment = lambda: empty
    found, _, answer = await send_request(method, "/v1/jobs/a")
    assert (found, answer["code"], answer["run_state"]) == (status, code, "unknown")
    assert code != 100 or "quotes, stock" in answer["detail"]


@pytest.mark.parametrize(
    ("path", "draining", "status"),
    [("/healthz", False, 200), ("/healthz", True, 503), ("/metrics", True, 200)],
)
async def test_health_and_metrics_pages(send_request, service, path, draining, status):
    """Guards against a load balancer that keeps sending to a draining entry."""
    service.draining = draining
    found_status, headers, _ = await send_request("GET", path, token="")
    assert (found_status, "hornbeamshore-code" in headers) == (status, True)


async def test_service_exception_returns_unknown(send_request, service):
    """Guards against a request left unanswered or falsely reported ``not run``."""
    service.failure = RuntimeError("broken")
    _, _, answer = await send_request("POST", "/v1/jobs", JOB)
    assert (answer["code"], answer["run_state"]) == (400, "unknown")


async def test_body_after_early_http2_response(send_request, port):
    """Guards against body data after an early refusal that crashes the process."""
    conn = h2.connection.H2Connection(h2.config.H2Configuration())
    conn.initiate_connection()
    head = {":method": "POST", ":path": "/v1/jobs", ":scheme": "http"}
    conn.send_headers(1, [*head.items(), (":authority", "x")])
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(conn.data_to_send())
        events = []
        while not any(type(event).__name__ == "StreamEnded" for event in events):
            events += conn.receive_data(await stream.receive_some())
        conn.send_data(1, b"x" * 1000)
        await stream.send_all(conn.data_to_send())
        while await stream.receive_some():
            pass
    assert (await send_request("GET", "/healthz"))[0] == 200


async def repeat(send, *args):
    while True:
        await send(*args)
        await trio.sleep(0.05)


@pytest.mark.parametrize("http2", [False, True])
async def test_shutdown_completes_open_requests(send_request, service, http2):
    """Guards against a shutdown that drops open requests or accepts new ones."""
    service.released, statuses = trio.Event(), []

    async def submit():
        statuses.append((await send_request("POST", "/v1/jobs", JOB, http2=http2))[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit)
        while not service.requests:
            await trio.testing.wait_all_tasks_blocked()
        service.shutdown.begin()
        # The server accepts new connections until `accept_until`.
        with pytest.raises(httpcore.ConnectError):
            await repeat(send_request, "GET", "/healthz")
        service.released.set()
    assert statuses == [200]


def asgi_scope(body):
    headers = [
        (b"authorization", f"Bearer {TOKEN}".encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    return {
        "type": "http",
        "method": "POST",
        "raw_path": b"/v1/jobs",
        "query_string": b"",
        "headers": headers,
    }


def asgi_receive(*messages):
    """Return an ASGI receive function that delivers messages and then blocks."""
    pending = list(messages)

    async def receive():
        if pending:
            return pending.pop(0)
        return await trio.sleep_forever()

    return receive


async def collect_messages(app, body, *messages):
    """Return the ASGI messages that the application sends for a request."""
    sent = []

    async def send(message):
        sent.append(message)

    await app(asgi_scope(body), asgi_receive(*messages), send)
    return sent


def complete_body(body):
    return {"type": "http.request", "body": body, "more_body": False}


@pytest.mark.parametrize(
    ("messages", "status"),
    [
        ([], 408),
        ([{"type": "http.request", "body": b"{", "more_body": True}], 408),
        ([{"type": "http.disconnect"}], 400),
    ],
)
async def test_incomplete_body_is_refused(
    app, service, autojump_clock, messages, status
):
    """Guards against a stalled upload that occupies a task and memory."""
    sent = await collect_messages(app, b"{" * 9, *messages)
    assert sent[0]["status"] == status
    assert service.requests == []


async def test_job_continues_after_disconnect(app, service):
    """Guards against a job that is cancelled when its caller disconnects."""
    service.released = trio.Event()
    body = json.dumps(JOB).encode()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            app, asgi_scope(body), asgi_receive(complete_body(body)), None
        )
        while not service.requests:
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    service.released.set()
    await trio.testing.wait_all_tasks_blocked()
    answer = service.answers[JobKey("sales", "stock", "a/1")]
    assert answer.run_state == RunState.RAN


async def test_lifespan_protocol(app):
    """Guards against a server that blocks on the ASGI lifespan protocol."""
    kinds = ["lifespan.startup", "lifespan.shutdown"]
    receive = asgi_receive(*({"type": kind} for kind in kinds))
    sent = []

    async def send(message):
        sent.append(message["type"])

    await app({"type": "lifespan"}, receive, send)
    assert sent == [f"{kind}.complete" for kind in kinds]


def test_budget_limits_total_body_bytes():
    """Guards against unbounded memory for bodies that are each within the limit."""
    budget = BodyBudget(100)
    budget.reserve(60)
    with pytest.raises(RequestRefused) as caught:
        budget.reserve(41)
    assert caught.value.refusal.code == ResultCode.OVERLOADED
    budget.reserve(40)
    assert budget.reserved_bytes == 100


async def test_budget_is_released(send_request, app):
    """Guards against bytes that stay reserved after their request was answered."""
    for body in (JOB, {**JOB, "tasks": []}, b"x" * 1000):
        await send_request("POST", "/v1/jobs", body)
    assert app._budget.reserved_bytes == 0


async def test_deadline_limits_the_wait(app, service, autojump_clock):
    """Guards against a request that stays unanswered when the service hangs."""
    service.released = trio.Event()
    body = json.dumps(JOB).encode()
    sent = await collect_messages(app, body, complete_body(body))
    assert json.loads(sent[1]["body"])["run_state"] == "unknown"
