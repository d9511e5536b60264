"""Fixtures for the HTTP front end: a fake submission service and an HTTP server."""

import hashlib
import json

import httpcore
import pytest
import trio

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.settings import ByteSize
from hornbeamshore.base.types import Header, JobAnswer, TaskResult
from hornbeamshore.config.model import Deployment, Kind, Service, Team
from hornbeamshore.entry.http_api import AnswerObserver, HttpApi
from hornbeamshore.entry.service import SubmissionService
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown

TOKEN = "order-desk"
SETTINGS = HttpSettings(discard_timeout=0.05)
DEPLOYMENT = Deployment(
    "test",
    {
        "stock": Service(
            {
                "check": Kind(repeatable=True, max_body=ByteSize(1024)),
                "hold": Kind(max_body=ByteSize(1024)),
            }
        ),
        "quotes": Service({"cut": Kind()}),
        "private": Service({"cut": Kind()}),
    },
    {
        "sales": Team(
            hashlib.sha256(TOKEN.encode()).hexdigest(), 8, 1.0, ("stock", "quotes")
        )
    },
)


class EchoService(SubmissionService):
    """Submission service that returns the body of each task as its result."""

    def __init__(self):
        self.answers = {}
        self.requests = []
        self.released = trio.Event()
        self.media_type = "application/json"
        self.draining = False
        self.shutdown = Shutdown()
        self.failure = None

    async def submit(self, request, timeout_s):
        self.requests.append(request)
        if isinstance(self.failure, Exception):
            raise self.failure
        if self.failure is not None:
            return JobAnswer.refused(request.key, self.failure)
        self.answers[request.key] = JobAnswer(request.key, ResultCode.RUNNING, 3)
        await self.released.wait()
        headers = (
            Header("content-type", self.media_type),
            Header("x-trace", "7"),
            Header("connection", "x-hop"),
            Header("x-hop", "1"),
            Header("hornbeamshore-code", "999"),
        )
        results = [
            TaskResult(index, 1, 0, 1, 200, headers, task.body)
            for index, task in enumerate(request.tasks)
        ]
        self.answers[request.key] = JobAnswer.complete(request.key, results)
        return self.answers[request.key]

    async def query(self, key, timeout_s):
        missing = JobAnswer.refused(key, refuse(ResultCode.JOB_NOT_FOUND))
        return self.answers.get(key, missing)

    async def cancel(self, key):
        return JobAnswer.refused(key, refuse(ResultCode.CANCELLED))

    def deployment(self):
        return DEPLOYMENT

    def status(self):
        return {"draining": self.draining}


class RecordingObserver(AnswerObserver):
    def __init__(self):
        self.events = []

    def record_answer(self, event):
        self.events.append(event)

    def metrics_page(self):
        return b"page 1\n"


@pytest.fixture
def service():
    service = EchoService()
    service.released.set()
    return service


@pytest.fixture
def observer():
    return RecordingObserver()


@pytest.fixture
def app(service, observer, nursery):
    return HttpApi(service, nursery, observer, SETTINGS)


@pytest.fixture
async def port(app, service, nursery):
    listeners = await open_http_listeners("127.0.0.1", 0)
    await nursery.start(serve_http, app, listeners, SETTINGS, service.shutdown)
    return listeners[0].socket.getsockname()[1]


@pytest.fixture
def send_request(port):
    """Return a function that sends a request and returns status, headers and body."""

    async def send(method, path, body=b"", *, http2=False, token=TOKEN, **headers):
        if token:
            headers["authorization"] = f"Bearer {token}"
        all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with httpcore.AsyncConnectionPool(http1=not http2, http2=http2) as pool:
            url = f"http://127.0.0.1:{port}{path}"
            response = await pool.request(
                method, url, headers=all_headers, content=content
            )
        response_headers = {
            name.decode(): value.decode() for name, value in response.headers
        }
        if (
            response_headers.get("content-type") == "application/json"
            and response.content
        ):
            return response.status, response_headers, json.loads(response.content)
        return response.status, response_headers, response.content

    return send
