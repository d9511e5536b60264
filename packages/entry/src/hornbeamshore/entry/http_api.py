"""ASGI application that serves the HTTP interface for callers."""

import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass
from urllib.parse import quote, unquote

import trio

from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import JobAnswer, JobKey
from hornbeamshore.entry import http_requests
from hornbeamshore.entry.http_auth import authenticate
from hornbeamshore.entry.http_body import BodyBudget, RequestBody
from hornbeamshore.entry.http_errors import RequestRefused
from hornbeamshore.entry.http_requests import RequestHead
from hornbeamshore.entry.http_responses import (
    HttpResponse,
    code_response,
    json_response,
    refusal_response,
    send_response,
    target_response,
)
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import AnswersDue, Shutdown

JOBS_PATH = "/v1/jobs"
SERVICES_PREFIX = "/v1/services/"
QUERY_TIMEOUT_S = 5.0
# The service answers by the deadline; the extra time is for its answer to arrive.
ANSWER_GRACE_S = 1.0
# An asynchronous submission gets its final answer instead of 202 if that comes within
# this time. Most refusals do, and a refused job has no record to query later.
ASYNC_WAIT_S = 0.05

# Codes of a service that has no record of the job.
_NO_RECORD_CODES = (ResultCode.JOB_NOT_FOUND, ResultCode.UNKNOWN_SERVICE)
_UNCERTAIN_CODES = (
    ResultCode.OWNER_UNREACHABLE,
    ResultCode.KEY_UNACCOUNTED,
    ResultCode.OUTCOME_UNKNOWN,
)

_log = PartLogger("entry")


@dataclass(frozen=True, slots=True)
class AnsweredSubmission:
    """Outcome of one submission, for metrics and objectives.

    Attributes
    ----------
    service, kind : str
        Names from the configuration; empty where the request named no known ones.
    code : int
        Value of a `ResultCode`.
    elapsed_s : float
        Seconds from the head of the request to its answer.
    """

    service: str
    kind: str
    code: int
    elapsed_s: float


class AnswerObserver(ABC):
    """Observer of the answers that the front end sends."""

    @abstractmethod
    def record_answer(self, event: AnsweredSubmission) -> None:
        """Record an answered submission."""

    @abstractmethod
    def metrics_page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""


class HttpApi:
    """ASGI application that turns HTTP requests into submissions.

    Parameters
    ----------
    service : SubmissionService
        Routes the submissions.
    nursery : trio.Nursery
        Runs the submissions. They outlive the connections, so that a caller that
        disconnects does not cancel its job.
    observer : AnswerObserver
        Notified of the code and response time of each answered submission.
    cfg : HttpSettings
        Size and time limits; the defaults if None.
    shutdown : Shutdown or None
        Planned stop of the process, which ends the reading of bodies; None if it is
        never stopped. The service answers in time by itself.
    """

    def __init__(self, service, nursery, observer, cfg=None, shutdown=None):
        self._service = service
        self._nursery = nursery
        self._observer = observer
        self._cfg = cfg or HttpSettings()
        self._shutdown = shutdown or Shutdown()
        self._budget = BodyBudget(self._cfg.body_budget)

    async def __call__(self, scope, receive, send):
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)
        else:
            await send({"type": "websocket.close"})

    async def _serve_request(self, scope, receive, send):
        exchange = _Exchange(RequestHead.from_scope(scope), trio.current_time())
        body = None
        try:
            length = exchange.head.header_int("content-length")
            body = RequestBody(receive, length, self._budget, self._cfg)
            response = await self._route(exchange, body)
        except AnswersDue:
            refusal = refuse(
                ResultCode.DRAINING, retry_after_s=self._shutdown.retry_after_s
            )
            response = refusal_response(refusal)
        except RequestRefused as exc:
            response = refusal_response(
                exc.refusal, status=exc.status, headers=exc.headers
            )
        except Exception as exc:
            _log.error("Request failed with an internal error: %r", exc)
            response = code_response(
                ResultCode.OUTCOME_UNKNOWN, "internal error of the entry", status=500
            )
        body = body or RequestBody(receive, None, self._budget, self._cfg)
        self._report_answer(exchange, response)
        await self._send_response(response, exchange.head.method, body, send)

    async def _send_response(self, response, method, body, send):
        body.release()
        with contextlib.suppress(AnswersDue), self._shutdown.bounded():
            await body.discard()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(body.discard_until_disconnect)
            await send_response(send, response, method)
            nursery.cancel_scope.cancel()

    def _report_answer(self, exchange, response):
        if not exchange.is_submission:
            return
        elapsed_s = trio.current_time() - exchange.started_at
        self._observer.record_answer(
            AnsweredSubmission(
                exchange.service, exchange.kind, response.code, elapsed_s
            )
        )

    async def _route(self, exchange, body):
        head = exchange.head
        self._check_header_size(head)
        if head.path == "/healthz":
            return self._health(head)
        if head.path == "/metrics":
            return self._metrics(head)
        if head.path == JOBS_PATH:
            _check_method(head, "POST")
            return await self._submit_job(exchange, body)
        if head.path.startswith(f"{JOBS_PATH}/"):
            _check_method(head, "GET", "DELETE")
            return await self._query_or_cancel(head)
        if head.path.startswith(SERVICES_PREFIX):
            return await self._forward_single(exchange, body)
        raise _unknown_path(head)

    def _check_header_size(self, head):
        size = sum(len(item.name) + len(item.value) for item in head.raw_headers)
        if size > self._cfg.max_header_bytes:
            raise RequestRefused(
                ResultCode.MALFORMED_REQUEST,
                f"headers: {size} bytes, {int(self._cfg.max_header_bytes)} are allowed",
                status=431,
            )

    def _health(self, head):
        _check_method(head, "GET", "HEAD")
        if self._service.status().get("draining"):
            return code_response(ResultCode.DRAINING)
        if self._service.deployment() is None:
            # Keeps load balancers from sending requests that would be refused.
            return code_response(ResultCode.NOT_CONFIGURED)
        return code_response(ResultCode.OK, "The entry serves requests.")

    def _metrics(self, head):
        _check_method(head, "GET", "HEAD")
        page = self._observer.metrics_page()
        template = code_response(ResultCode.OK)
        headers = (
            *(item for item in template.headers if item[0] != "content-type"),
            ("content-type", "text/plain; version=0.0.4; charset=utf-8"),
        )
        return HttpResponse(200, headers, page)

    async def _submit_job(self, exchange, body):
        exchange.is_submission = True
        deployment, caller = self._authenticate(exchange.head)
        limit = http_requests.job_body_limit(deployment, caller)
        with self._shutdown.bounded():
            content = await body.read(limit)
        request = http_requests.parse_job(exchange.head, content, deployment, caller)
        exchange.set_labels(request.key.service, request.kind)
        if exchange.head.prefers_async():
            return await self._submit_async(exchange, request)
        return _job_response(await self._submit(exchange, request))

    async def _submit_async(self, exchange, request):
        pending = self._start_submission(exchange, request)
        with trio.move_on_after(ASYNC_WAIT_S):
            return _job_response(await pending.wait())
        running = JobAnswer(request.key, ResultCode.RUNNING, RunState.UNKNOWN)
        return _job_response(running)

    async def _forward_single(self, exchange, body):
        exchange.is_submission = True
        head = exchange.head
        deployment, caller = self._authenticate(head)
        service, kind_name, subpath = _parse_service_path(head)
        kind = http_requests.find_kind(deployment, caller, service, kind_name)
        exchange.set_labels(service, kind_name)
        request = http_requests.parse_single_request(
            head, (service, kind_name, subpath), kind, caller
        )
        limit = min(http_requests.MAX_BODY_BYTES, kind.max_body)
        with self._shutdown.bounded():
            content = await body.read(limit)
        request = http_requests.with_body(request, content)
        return target_response(await self._submit(exchange, request))

    async def _submit(self, exchange, request):
        pending = self._start_submission(exchange, request)
        with trio.move_on_after(request.timeout_ms / 1000 + ANSWER_GRACE_S):
            return await pending.wait()
        return JobAnswer.refused(
            request.key,
            refuse(ResultCode.OUTCOME_UNKNOWN, "no answer arrived by the deadline"),
        )

    def _start_submission(self, exchange, request):
        # The deadline counts from the head of the request, so reading the body has used
        # up a part of it.
        timeout_s = request.timeout_ms / 1000
        timeout_s -= trio.current_time() - exchange.started_at
        if timeout_s <= 0:
            raise RequestRefused(
                ResultCode.DEADLINE_UNREACHABLE,
                "the deadline passed while the body was being read",
            )
        pending = _PendingAnswer(request.key)
        self._nursery.start_soon(pending.run, self._service, request, timeout_s)
        return pending

    async def _query_or_cancel(self, head):
        deployment, caller = self._authenticate(head)
        job_id = http_requests.parse_job_id(head.path[len(JOBS_PATH) + 1 :])
        keys = _candidate_keys(head, deployment, caller, job_id)
        if head.method == "DELETE":
            return await self._cancel_job(keys, job_id)
        answer = await self._query_all(keys, job_id)
        return _job_response(answer)

    async def _cancel_job(self, keys, job_id):
        if len(keys) == 1:
            key = keys[0]
        else:
            found = await self._query_all(keys, job_id)
            if found.code in (*_NO_RECORD_CODES, *_UNCERTAIN_CODES):
                return _job_response(found)
            key = found.key
        answer = unknown_outcome(key, "the cancellation was not confirmed in time")
        with trio.move_on_after(QUERY_TIMEOUT_S):
            answer = await self._service.cancel(key)
        status = 200 if answer.code == ResultCode.CANCELLED else None
        return _job_response(answer, status=status)

    async def _query_all(self, keys, job_id):
        answers = []
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(self._query, key, answers)
        return _choose_answer(answers, job_id)

    async def _query(self, key, answers):
        answer = unknown_outcome(key, "the owner of the record did not answer in time")
        with trio.move_on_after(QUERY_TIMEOUT_S + ANSWER_GRACE_S):
            answer = await self._service.query(key, QUERY_TIMEOUT_S)
        answers.append(answer)

    def _authenticate(self, head):
        deployment = self._service.deployment()
        if deployment is None:
            raise RequestRefused(ResultCode.NOT_CONFIGURED)
        caller = authenticate(deployment, head.headers.get("authorization"))
        return deployment, caller


class _Exchange:
    """Request that is being served, with the labels of its metrics."""

    def __init__(self, head, started_at):
        self.head = head
        self.started_at = started_at
        self.is_submission = False
        self.service = ""
        self.kind = ""

    def set_labels(self, service, kind):
        self.service = service
        self.kind = kind


class _PendingAnswer:
    """Future answer of a submission that runs in a task of its own."""

    def __init__(self, key):
        self._key = key
        self._done = trio.Event()
        self._answer = None

    async def run(self, service, request, timeout_s):
        """Submit and store the answer; ``unknown`` after an exception."""
        try:
            self._answer = await service.submit(request, timeout_s)
        except Exception as exc:
            _log.error("Submission failed with an internal error: %r", exc)
            self._answer = unknown_outcome(self._key, "internal error of the entry")
        finally:
            self._done.set()

    async def wait(self):
        """Wait for the answer and return it."""
        await self._done.wait()
        return self._answer or unknown_outcome(self._key, "the entry is shutting down")


def unknown_outcome(key, detail):
    """Return the answer for a job whose outcome this process cannot determine."""
    return JobAnswer.refused(key, refuse(ResultCode.OUTCOME_UNKNOWN, detail))


async def _serve_lifespan(receive, send):
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


def _check_method(head, *allowed):
    if head.method not in allowed:
        allowed_list = ", ".join(allowed)
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            f"method {head.method}: {head.path} allows {allowed_list}",
            status=405,
            headers=(("allow", allowed_list),),
        )


def _unknown_path(head):
    return RequestRefused(
        ResultCode.MALFORMED_REQUEST, f"path {head.path}: no such path", status=404
    )


def _parse_service_path(head):
    parts = head.path[len(SERVICES_PREFIX) :].split("/", 2)
    if len(parts) < 2 or not parts[0] or not parts[1]:
        raise _unknown_path(head)
    subpath = f"/{parts[2]}" if len(parts) > 2 else ""
    return unquote(parts[0]), unquote(parts[1]), subpath


def _candidate_keys(head, deployment, caller, job_id):
    service = head.query_value("service")
    if service is not None:
        http_requests.check_service(deployment, caller, service)
        return [JobKey(caller.name, service, job_id)]
    return [
        JobKey(caller.name, name, job_id)
        for name in sorted(deployment.services)
        if caller.may_use(name)
    ]


def _choose_answer(answers, job_id):
    found = [
        item
        for item in answers
        if item.code not in (*_NO_RECORD_CODES, *_UNCERTAIN_CODES)
    ]
    if len(found) > 1:
        names = ", ".join(sorted(item.key.service for item in found))
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            f"the identifier {job_id!r} is in use in several services ({names}): "
            "add ?service=",
            run_state=RunState.UNKNOWN,
        )
    uncertain = [item for item in answers if item.code in _UNCERTAIN_CODES]
    for candidates in (found, uncertain, answers):
        if candidates:
            return candidates[0]
    raise RequestRefused(ResultCode.JOB_NOT_FOUND, run_state=RunState.UNKNOWN)


def _job_response(answer, *, status=None):
    headers = ()
    if answer.code == ResultCode.RUNNING:
        path = f"{JOBS_PATH}/{quote(answer.key.job_id, safe='')}"
        headers = (("location", f"{path}?service={quote(answer.key.service)}"),)
    fields = {"id": answer.key.job_id, "service": answer.key.service}
    return json_response(answer, status=status, headers=headers, fields=fields)
