"""HTTP responses to callers: status, headers and body."""

import base64
import math
import typing
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.codes import CODE_TABLE, ResultCode, RunState, refuse
from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.types import JobAnswer, JobKey
from hornbeamshore.entry import http_headers

DEFAULT_RETRY_AFTER_MS = 1_000
_BODILESS_STATUSES = (204, 205, 304)
_EMPTY_KEY = JobKey("", "", "")


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response, with the result code that it reports.

    Attributes
    ----------
    code : int
        Value of a `ResultCode`, for metrics.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    code: int = 0


def json_response(job_answer, *, status=None, headers=(), fields=None):
    """Return the response whose JSON body has code, run state and results."""
    code, run_state = _known_code(job_answer.code), RunState(job_answer.run_state)
    body = {
        "code": int(job_answer.code),
        "name": _code_name(job_answer.code),
        "run_state": run_state.label,
        "detail": job_answer.detail or CODE_TABLE[code].meaning,
        **(fields or {}),
    }
    if job_answer.results:
        ordered = sorted(job_answer.results, key=lambda result: result.index)
        body["results"] = [_result_fields(result) for result in ordered]
    status = CODE_TABLE[code].http_status if status is None else status
    return HttpResponse(
        status,
        (
            *_code_headers(job_answer.code, run_state),
            ("content-type", "application/json"),
            *_retry_headers(code, status, job_answer.retry_after_ms),
            *headers,
        ),
        msgspec.json.encode(body),
        int(job_answer.code),
    )


def refusal_response(refusal, *, status=None, headers=()):
    """Return the JSON response for a `Refusal`."""
    job_answer = JobAnswer.refused(_EMPTY_KEY, refusal)
    return json_response(job_answer, status=status, headers=headers)


def code_response(code, detail="", *, status=None, headers=()):
    """Return the JSON response for a result code with its default run state."""
    return refusal_response(refuse(code, detail), status=status, headers=headers)


def target_response(job_answer):
    """Return the response to a single request: that of the target, if it is valid.

    Without a valid one, the response is JSON with the code and detail.
    """
    fields = {"id": job_answer.key.job_id}
    if not job_answer.results or not 200 <= job_answer.results[0].status <= 599:
        return json_response(job_answer, fields=fields)
    result = job_answer.results[0]
    forwarded = tuple(
        (header.name, header.value)
        for header in http_headers.caller_headers(result.headers)
    )
    run_state = RunState(job_answer.run_state)
    return HttpResponse(
        result.status,
        (*_code_headers(job_answer.code, run_state), *forwarded),
        b"" if result.status in _BODILESS_STATUSES else result.body,
        int(job_answer.code),
    )


async def send_response(send, response, method):
    """Send a response through the ASGI send function of its request."""
    headers = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    if method != "HEAD" and response.status not in _BODILESS_STATUSES:
        headers.append((b"content-length", b"%d" % len(response.body)))
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": response.body})


def _known_code(value):
    # An owner of a newer version may send codes that this process does not know.
    try:
        return ResultCode(value)
    except ValueError:
        return ResultCode.OUTCOME_UNKNOWN


def _code_name(value):
    code = _known_code(value)
    return code.name if code == value else f"CODE_{int(value)}"


def _code_headers(code, run_state):
    return (
        (http_headers.CODE_HEADER, str(int(code))),
        (http_headers.RUN_STATE_HEADER, run_state.label),
    )


def _retry_headers(code, status, retry_after_ms):
    is_temporary = 200 <= code < 300 or status in (202, 429, 503)
    if not is_temporary and not retry_after_ms:
        return ()
    wait_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return (
        ("retry-after", str(math.ceil(wait_ms / 1000))),
        (http_headers.RETRY_AFTER_MS_HEADER, str(wait_ms)),
    )


def _result_fields(result):
    fields = {"index": result.index, "status": result.status}
    media_type = http_headers.content_type(result.headers)
    if media_type == "application/json" or media_type.endswith("+json"):
        try:
            # The JSON is validated but copied unchanged, so numbers keep their digits.
            decode_json(result.body, typing.Any)
            return {**fields, "body": msgspec.Raw(result.body)}
        except msgspec.DecodeError:
            pass
    encoded = base64.b64encode(result.body).decode("ascii")
    return {**fields, "body_base64": encoded}
