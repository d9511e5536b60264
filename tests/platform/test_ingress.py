"""HTTP interface for callers, and decoding of jobs and routing."""

import contextlib
import json

import httpcore
import msgspec
import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.dispatch.model import JobOutcome, Queue, Routing
from hornbeamshore.dispatch.routing import RoutingReplica
from hornbeamshore.platform.ingress import (
    DEFAULT_DEADLINE_S,
    MAX_TASKS,
    IngressApi,
    ReadinessApi,
    UnsupportedJob,
    decode_job,
)
from hornbeamshore.platform.routing import decode_routing
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.wire.messages import Resources

from .scripted_http import serving

JOB = {
    "taskSpec": "text",
    "bestEffort": True,
    "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 120}],
}


class FakeCoordinator:
    def __init__(self):
        self.outcome = JobOutcome.of(ResultCode.OK)
        self.jobs = {"known": None}
        self.hangs = False
        self.submitted = []
        self.cancelled = trio.Event()

    async def submit(self, spec, queue, deadline_s, caller):
        self.submitted.append((spec, queue.name, deadline_s))
        if self.outcome is None:
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled.set()
        return self.outcome

    async def cancel(self, job_id):
        if self.hangs:
            await trio.sleep_forever()
        return None if job_id == "unreachable" else job_id == "known"

    def count_unstarted_jobs(self, queue):
        return 3


@contextlib.asynccontextmanager
async def ingress(coordinator, *, is_configured=True, shutdown=None):
    replica = RoutingReplica()
    if is_configured:
        replica.update(Routing(1, (Queue("q", "desk.example", "/p/", "s"),)))
    async with (
        serving(
            IngressApi(coordinator, replica, coordinator, shutdown or Shutdown())
        ) as address,
        httpcore.AsyncConnectionPool() as pool,
    ):

        async def call(method, path, body=None, host="desk.example", deadline="2500"):
            headers = {"Host": host, "Hornbeamshore-Deadline-Ms": deadline}
            content = b"" if body is None else json.dumps(body).encode()
            url = f"http://{address}{path}"
            return await pool.request(method, url, headers=headers, content=content)

        yield call


@pytest.mark.parametrize(
    ("delay_s", "status"),
    [(0.05, 200), (1.0, 503)],
    ids=["before the timeout", "after the timeout"],
)
async def test_request_waits_for_initial_routing(delay_s, status):
    """Guards against refusing requests while an entry is starting."""
    replica, statuses = RoutingReplica(), []
    async with (
        serving(IngressApi(FakeCoordinator(), replica, None, Shutdown())) as address,
        httpcore.AsyncConnectionPool() as pool,
        trio.open_nursery() as nursery,
    ):

        async def submit():
            content = json.dumps(JOB).encode()
            headers = {"Host": "desk.example"}
            url = f"http://{address}/p/j1"
            response = await pool.request("POST", url, headers=headers, content=content)
            statuses.append(response.status)

        nursery.start_soon(submit)
        await trio.sleep(delay_s)
        replica.update(Routing(1, (Queue("q", "desk.example", "/p/", "s"),)))
    assert statuses == [status]


@pytest.mark.parametrize(
    ("outcome", "status", "body"),
    [
        (JobOutcome.of(ResultCode.OK), 200, {"state": "completed"}),
        (JobOutcome.of(ResultCode.TASK_FAILED), 200, {"state": "failed"}),
        (
            JobOutcome(ResultCode.OVERLOADED, RunState.NOT_RUN, 1.0),
            503,
            {"error": "overloaded"},
        ),
        (
            JobOutcome(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN),
            504,
            {"error": "deadline_exceeded"},
        ),
    ],
)
async def test_submission_responses(outcome, status, body):
    """Guards against reporting a job as not run when a task may have run."""
    coordinator = FakeCoordinator()
    coordinator.outcome = outcome
    async with ingress(coordinator) as call:
        response = await call("POST", "/p/5c0e7a21d94b36f8", JOB)
    assert response.status == status
    assert json.loads(response.content) == body
    spec, queue, deadline_s = coordinator.submitted[0]
    assert (spec.job_id, spec.content, queue) == ("5c0e7a21d94b36f8", "text", "q")
    assert spec.steps[0].needs == Resources(500, 64, 0)
    assert deadline_s == 2.5
    assert (b"retry-after", b"1") in response.headers or status != 503


@pytest.mark.parametrize(
    ("method", "path", "host", "status", "body"),
    [
        ("GET", "/p/", "desk.example", 200, {"pending": 3}),
        ("GET", "/p/known", "desk.example", 200, {"state": "running"}),
        ("GET", "/p/other", "desk.example", 410, {}),
        ("DELETE", "/p/known", "desk.example", 200, {}),
        ("DELETE", "/p/other", "desk.example", 410, {}),
        ("GET", "/p/", "desk.example:8161", 200, {"pending": 3}),
        ("GET", "/other/", "desk.example", 404, {"error": "no such queue"}),
        ("GET", "/p/", "other.example", 404, {"error": "no such queue"}),
    ],
)
async def test_query_and_cancel_responses(method, path, host, status, body):
    """Guards against success responses for an unknown queue or job."""
    async with ingress(FakeCoordinator()) as call:
        response = await call(method, path, host=host)
    assert (response.status, json.loads(response.content)) == (status, body)


async def test_unconfigured_entry_responds_503():
    """Guards against a 404 for queues whose configuration is not loaded yet."""
    async with ingress(FakeCoordinator(), is_configured=False) as call:
        response = await call("POST", "/p/1", JOB)
    assert response.status == 503


async def test_disconnect_cancels_the_job():
    """Guards against running jobs whose callers have disconnected."""
    coordinator = FakeCoordinator()
    coordinator.outcome = None
    async with ingress(coordinator) as call:
        with trio.move_on_after(0.3):
            await call("POST", "/p/1", JOB)
        with trio.fail_after(5):
            await coordinator.cancelled.wait()


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"bestEffort": False}, UnsupportedJob),
        ({"repetitions": 2}, UnsupportedJob),
        ({"steps": [{"count": 2, "allOrNothing": True}]}, UnsupportedJob),
        ({"steps": [{"count": 2, "longRunning": True}]}, UnsupportedJob),
        ({"steps": []}, ValueError),
        ({"steps": [{"count": 0}]}, ValueError),
        ({"steps": [{"count": MAX_TASKS + 1}]}, ValueError),
        ({"steps": [{"count": MAX_TASKS}, {"count": 1}]}, ValueError),
        ({"steps": [{"count": 2, "cpu": -1}]}, ValueError),
        ({"steps": [{"count": 2, "memMb": -1}]}, ValueError),
        ({"steps": [{"count": 2, "gpu": -1}]}, ValueError),
        ({"steps": [{"count": 2, "antiAffinity": -1}]}, ValueError),
        ({"steps": [{"count": 2, "estimateMs": 1e300}]}, ValueError),
        ({"steps": [{"count": 1, "after": [0]}]}, ValueError),
        ({"taskSpec": 4}, ValueError),
    ],
)
def test_invalid_or_unsupported_jobs_are_rejected(change, error):
    """Guards against accepting jobs that are invalid or use unsupported features."""
    with pytest.raises(error):
        decode_job("1", json.dumps({**JOB, **change}).encode())


@pytest.mark.parametrize("is_ready", [True, False])
async def test_readiness_status(is_ready):
    """Guards against routing callers to an entry that is not ready."""
    async with (
        serving(ReadinessApi(lambda: is_ready)) as address,
        httpcore.AsyncConnectionPool() as pool,
    ):
        response = await pool.request("GET", f"http://{address}/hornbeamshore/ready")
    assert response.status == (200 if is_ready else 503)


def test_configuration_is_decoded():
    """Guards against fields of the configuration being mixed up."""
    data = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "h",
                "prefix": "/p/",
                "kind": "non_idempotent",
                "timeoutMs": 1500,
                "sloMs": 60,
                "priority": 2,
                "service": "s",
                "maxAttempts": 3,
                "stretch": 1.6,
            }
        ],
        "services": [],
    }
    routing = decode_routing(json.dumps(data).encode())
    assert routing == Routing(7, (Queue("r-1", "h", "/p/", "s", 2, 3, 1.6, 0.06),))


@pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'{"version":"x","routes":[]}'])
def test_invalid_configuration_is_rejected(data):
    """Guards against an invalid configuration being used or ending the process."""
    with pytest.raises(msgspec.DecodeError):
        decode_routing(data)


def test_older_routing_is_ignored():
    """Guards against an older configuration replacing a newer one."""
    replica = RoutingReplica()
    assert replica.update(Routing(5))
    assert not replica.update(Routing(4))
    assert replica.current.version == 5


@pytest.mark.parametrize("deadline", ["nan", "inf", "-5", "0", "1e300", "soon", ""])
async def test_invalid_deadlines_are_replaced_by_the_default(deadline):
    """Guards against jobs that never end or end at once for an invalid header."""
    coordinator = FakeCoordinator()
    coordinator.outcome = JobOutcome.of(ResultCode.OK)
    async with ingress(coordinator) as call:
        response = await call("POST", "/p/5c0e7a21d94b36f8", JOB, deadline=deadline)
    assert response.status == 200
    assert coordinator.submitted[0][2] == DEFAULT_DEADLINE_S


async def test_a_submission_without_an_id_is_malformed():
    """Guards against different jobs that share the empty id, and so one outcome."""
    coordinator = FakeCoordinator()
    async with ingress(coordinator) as call:
        response = await call("POST", "/p/", JOB)
    assert response.status == 400
    assert coordinator.submitted == []


DRAINING = {"error": "draining"}


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/p/5c0e7a21d94b36f8", JOB),
        ("GET", "/p/", None),
        ("GET", "/p/known", None),
        ("DELETE", "/p/known", None),
        ("GET", "/other/", None),
    ],
)
@pytest.mark.parametrize("is_configured", [True, False])
async def test_requests_after_the_end_of_a_stop_are_refused_at_once(
    is_configured, method, path, body
):
    """Guards against requests that are taken when all others have been ended."""
    coordinator, shutdown = FakeCoordinator(), Shutdown()
    shutdown.begin(signalled_at=-1e9)
    call_settings = {"is_configured": is_configured, "shutdown": shutdown}
    async with ingress(coordinator, **call_settings) as call:
        response = await call(method, path, body)
    assert (response.status, json.loads(response.content)) == (503, DRAINING)
    assert (b"retry-after", b"0") in response.headers
    assert coordinator.submitted == []


class UnfinishedRequest:
    """Request whose body does not end, and the answer to it."""

    def __init__(self, method, path):
        self.answer = []
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(b"host", b"desk.example")],
        }

    async def receive(self):
        await trio.sleep_forever()

    async def send(self, message):
        self.answer.append(message)


@pytest.mark.parametrize(
    ("method", "is_configured"),
    [("POST", True), ("DELETE", True), ("POST", False)],
    ids=["body", "replies of other entries", "routing"],
)
async def test_a_request_that_waits_is_refused_when_answers_are_due(
    autojump_clock, nursery, method, is_configured
):
    """Guards against connections that end with a request that was taken."""
    coordinator, replica = FakeCoordinator(), RoutingReplica()
    coordinator.hangs = True
    if is_configured:
        replica.update(Routing(1, (Queue("q", "desk.example", "/p/", "s"),)))
    shutdown = Shutdown(clock=trio.current_time)
    nursery.start_soon(shutdown.run)
    request = UnfinishedRequest(method, "/p/5c0e7a21d94b36f8")
    app = IngressApi(coordinator, replica, coordinator, shutdown)
    shutdown.begin(signalled_at=trio.current_time() - shutdown.cfg.answer_until + 0.1)
    started_at = trio.current_time()
    await app(request.scope, request.receive, request.send)
    assert trio.current_time() - started_at == pytest.approx(0.1)
    assert request.answer[0]["status"] == 503
    assert json.loads(request.answer[1]["body"]) == DRAINING
    assert coordinator.submitted == []


@pytest.mark.parametrize(
    ("is_stopping", "status"), [(False, 410), (True, 503)], ids=["serving", "stopping"]
)
async def test_a_cancellation_without_all_replies(is_stopping, status):
    """Guards against a confirmed cancellation that ends with a stopping process."""
    shutdown = Shutdown()
    if is_stopping:
        shutdown.begin()
    async with ingress(FakeCoordinator(), shutdown=shutdown) as call:
        response = await call("DELETE", "/p/unreachable")
    assert response.status == status
