"""Invalid requests: result code, HTTP status and message of each refusal."""

import pytest

from hornbeamshore.base.codes import ResultCode

JOB = {"id": "a-1", "service": "stock", "kind": "check", "tasks": [{"body": {}}]}
TASK = {"body": 1}
JOBS, HOLD = "/v1/jobs", "/v1/services/stock/hold"
BAD, LARGE = ResultCode.MALFORMED_REQUEST, ResultCode.BODY_TOO_LARGE
COUNT, DEADLINE = (ResultCode.TASK_COUNT_OUT_OF_RANGE, ResultCode.DEADLINE_OUT_OF_RANGE)
SERVICE, KIND = ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_KIND
AUTH, ALLOWED = ResultCode.NOT_AUTHENTICATED, ResultCode.NOT_ALLOWED
MISSING = ResultCode.JOB_NOT_FOUND


def job(**fields):
    return {key: val for key, val in {**JOB, **fields}.items() if val is not ...}


def task(**fields):
    return job(tasks=[TASK, {**TASK, **fields}])


# name: method, path, body, headers, code, HTTP status
ROWS = {
    "truncated JSON": ("POST", JOBS, b'{"id": ', {}, BAD, 400),
    "JSON is a list": ("POST", JOBS, [], {}, BAD, 400),
    "not UTF-8": ("POST", JOBS, b'{"id": "\xff"}', {}, BAD, 400),
    "deep nesting": ("POST", JOBS, b'{"id":' + b"[" * 100_000, {}, BAD, 400),
    "task body too large": ("POST", JOBS, task(body="x" * 1024), {}, LARGE, 413),
    "body over 16 MiB": ("POST", JOBS, b" " * (16 << 20 | 1), {}, LARGE, 413),
    "single body too large": ("POST", HOLD, b"x" * 1025, {"id": "h"}, LARGE, 413),
    "0 tasks": ("POST", JOBS, job(tasks=[]), {}, COUNT, 422),
    "321 tasks": ("POST", JOBS, job(tasks=[TASK] * 321), {}, COUNT, 422),
    "unknown service": ("POST", JOBS, job(service="nope"), {}, SERVICE, 404),
    "unknown kind": ("POST", JOBS, job(kind="nope"), {}, KIND, 404),
    "service not allowed": ("POST", JOBS, job(service="private"), {}, ALLOWED, 403),
    "single: unknown service": ("GET", "/v1/services/nope/x", b"", {}, SERVICE, 404),
    "single: unknown kind": ("GET", "/v1/services/stock/nope", b"", {}, KIND, 404),
    "single: path without kind": ("GET", "/v1/services/stock", b"", {}, BAD, 404),
    "wrong token": ("POST", JOBS, JOB, {"token": "other"}, AUTH, 401),
    "missing token": ("POST", JOBS, JOB, {"token": ""}, AUTH, 401),
    "id: type": ("POST", JOBS, job(id=1), {}, BAD, 400),
    "id: missing": ("POST", JOBS, job(id=...), {}, BAD, 400),
    "id: empty": ("POST", JOBS, job(id=""), {}, BAD, 400),
    "id: space": ("POST", JOBS, job(id="a b"), {}, BAD, 400),
    "id: 201 characters": ("POST", JOBS, job(id="a" * 201), {}, BAD, 400),
    "service: type": ("POST", JOBS, job(service=[]), {}, BAD, 400),
    "service: missing": ("POST", JOBS, job(service=...), {}, BAD, 400),
    "kind: type": ("POST", JOBS, job(kind=None), {}, BAD, 400),
    "deadline_ms: type": ("POST", JOBS, job(deadline_ms="9"), {}, BAD, 400),
    "deadline_ms: 0": ("POST", JOBS, job(deadline_ms=0), {}, DEADLINE, 422),
    "deadline_ms: 60001": ("POST", JOBS, job(deadline_ms=60001), {}, DEADLINE, 422),
    "deadline header: 60001": (
        "POST",
        HOLD,
        b"",
        {"id": "h", "ms": "60001"},
        DEADLINE,
        422,
    ),
    "deadline header: not a number": (
        "POST",
        HOLD,
        b"",
        {"id": "h", "ms": "1s"},
        BAD,
        400,
    ),
    "submitted_at: type": ("POST", JOBS, job(submitted_at=True), {}, BAD, 400),
    "submitted_at: negative": ("POST", JOBS, job(submitted_at=-1), {}, BAD, 400),
    "submitted_at: future": ("POST", JOBS, job(submitted_at=1 << 48), {}, BAD, 400),
    "tasks: type": ("POST", JOBS, job(tasks={}), {}, BAD, 400),
    "task: type": ("POST", JOBS, job(tasks=[3]), {}, BAD, 400),
    "task: no body": ("POST", JOBS, job(tasks=[{}]), {}, BAD, 400),
    "path: type": ("POST", JOBS, task(path=3), {}, BAD, 400),
    "path: no slash": ("POST", JOBS, task(path="x"), {}, BAD, 400),
    "path: other kind": ("POST", JOBS, task(path="/%2E./hold"), {}, BAD, 400),
    "path: line break": ("POST", JOBS, task(path="/a\r\nb"), {}, BAD, 400),
    "path: too long": ("POST", JOBS, task(path="/" * 4096), {}, BAD, 400),
    "method: type": ("POST", JOBS, task(method=3), {}, BAD, 400),
    "method: lower case": ("POST", JOBS, task(method="get"), {}, BAD, 400),
    "unknown key": ("POST", JOBS, job(deadline=5), {}, BAD, 400),
    "unknown key of a task": ("POST", JOBS, task(headers={}), {}, BAD, 400),
    "identifiers differ": ("POST", JOBS, JOB, {"id": "other"}, BAD, 400),
    "missing identifier": ("POST", HOLD, b"", {}, BAD, 400),
    "unknown path": ("GET", "/v2", b"", {}, BAD, 404),
    "wrong method": ("PUT", JOBS, JOB, {}, BAD, 405),
    "headers too large": ("POST", JOBS, JOB, {"padding": "x" * 20_000}, BAD, 431),
    "job not found": ("GET", JOBS + "/none", b"", {}, MISSING, 404),
    "query: unknown service": ("GET", JOBS + "/a?service=nope", b"", {}, SERVICE, 404),
    "query: repeated parameter": (
        "GET",
        JOBS + "/a?service=a&service=b",
        b"",
        {},
        BAD,
        400,
    ),
}
HEADER_NAMES = {"id": "idempotency_key", "ms": "hornbeamshore_deadline_ms"}


@pytest.mark.parametrize("name", ROWS)
async def test_invalid_request_is_refused(name, send_request, service, snapshot):
    """Guards against invalid input accepted, or refused with a misleading reason."""
    method, path, body, extra, code, status = ROWS[name]
    headers = {HEADER_NAMES.get(key, key): value for key, value in extra.items()}
    response_status, response_headers, answer = await send_request(
        method, path, body, **headers
    )
    run_state = "unknown" if code == MISSING else "not run"
    assert (response_status, answer["code"], answer["name"]) == (
        status,
        code,
        code.name,
    )
    assert (
        answer["run_state"] == response_headers["hornbeamshore-run-state"] == run_state
    )
    assert response_headers["hornbeamshore-code"] == str(int(code))
    assert answer["detail"] == snapshot
    assert service.requests == []
