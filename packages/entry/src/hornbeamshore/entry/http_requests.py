"""Parsing and validation of HTTP requests into submissions."""

import re
from dataclasses import dataclass, replace
from urllib.parse import parse_qs, unquote

import msgspec

from hornbeamshore.base.clock import random_id, unix_ms
from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.types import (
    MAX_TASKS_PER_JOB,
    Header,
    JobKey,
    JobRequest,
    TaskSpec,
    fingerprint_of,
)
from hornbeamshore.entry import http_headers
from hornbeamshore.entry.http_errors import RequestRefused

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_DEADLINE_MS = 60_000
MAX_ID_CHARS = 200
MAX_PATH_CHARS = 4096
# Clocks of callers may be ahead by the margin that owners allow after a takeover. With
# a larger skew, an owner would treat an old identifier as new.
MAX_CLOCK_SKEW_MS = 2_000
# Size limits of the JSON around the bodies of a job and of one task.
JOB_ENVELOPE_BYTES = 64 * 1024
TASK_ENVELOPE_BYTES = MAX_PATH_CHARS + 256

_ID_PATTERN = re.compile(r"[\x21-\x7e]+")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_PATH_PATTERN = re.compile(r"/[\x21\x22\x24-\x7e]*")
_DOT_SEGMENT_PATTERN = re.compile(r"(?i)/(?:\.|%2e){1,2}(?:/|$)")
_JSON_HEADERS = (Header("content-type", "application/json"),)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of an HTTP request.

    Attributes
    ----------
    path : str
        Path as sent, percent-encoded, without the query.
    headers : dict of str to str
        Values by lower-case name; values of repeated headers are joined with commas.
    raw_headers : tuple of Header
        Headers in the order sent.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    raw_headers: tuple[Header, ...]

    @classmethod
    def from_scope(cls, scope):
        """Return the request head of an ASGI scope."""
        raw = tuple(
            Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in scope["headers"]
        )
        headers = {}
        for header in raw:
            known = headers.get(header.name)
            headers[header.name] = (
                header.value if known is None else f"{known}, {header.value}"
            )
        return cls(
            scope["method"],
            scope["raw_path"].decode("latin-1"),
            scope["query_string"].decode("latin-1"),
            headers,
            raw,
        )

    def header_int(self, name):
        """Return the integer value of a header, None where it is absent.

        Raises
        ------
        RequestRefused
            If the value is not a whole number of at most 15 digits.
        """
        text = self.headers.get(name)
        if text is None:
            return None
        if not re.fullmatch(r"[0-9]{1,15}", text):
            raise malformed_request(
                f"header {name}: expected a whole number, got {text!r}"
            )
        return int(text)

    def query_value(self, name):
        """Return the value of a query parameter, None where it is absent.

        Raises
        ------
        RequestRefused
            If the parameter is given more than once.
        """
        values = parse_qs(self.query, keep_blank_values=True).get(name, [])
        if len(values) > 1:
            raise malformed_request(
                f"query parameter {name}: given {len(values)} times"
            )
        return values[0] if values else None

    def prefers_async(self):
        """Return whether the ``Prefer`` header has ``respond-async`` (RFC 7240)."""
        preferences = self.headers.get("prefer", "").split(",")
        return any(
            part.partition(";")[0].strip().lower() == "respond-async"
            for part in preferences
        )


@dataclass(frozen=True, slots=True)
class _JobBody:
    service: str
    kind: str
    tasks: list[msgspec.Raw]
    id: str | None = None
    deadline_ms: int | None = None
    submitted_at: int | None = None


@dataclass(frozen=True, slots=True)
class _TaskBody:
    body: msgspec.Raw
    path: str = ""
    method: str = "POST"


def malformed_request(detail):
    """Return the exception for a malformed request."""
    return RequestRefused(ResultCode.MALFORMED_REQUEST, detail)


def find_kind(deployment, caller, service, kind):
    """Return the `Kind` that a request names.

    Raises
    ------
    RequestRefused
        If the service or kind is not configured, or the team may not use the service.
    """
    check_service(deployment, caller, service)
    found = deployment.services[service].kinds.get(kind)
    if found is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_KIND, f"service {service!r} has no kind {kind!r}"
        )
    return found


def check_service(deployment, caller, service):
    """Check that a service exists and that the caller's team may use it.

    Raises
    ------
    RequestRefused
        If the service is unknown or the team may not use it.
    """
    if service not in deployment.services:
        raise RequestRefused(
            ResultCode.UNKNOWN_SERVICE, f"there is no service {service!r}"
        )
    if not caller.may_use(service):
        raise RequestRefused(
            ResultCode.NOT_ALLOWED,
            f"team {caller.name!r} may not use the service {service!r}",
        )


def job_body_limit(deployment, caller):
    """Return the size limit in bytes of a job of any kind that the caller may use."""
    body_limits = [
        kind.max_body
        for name, service in deployment.services.items()
        if caller.may_use(name)
        for kind in service.kinds.values()
    ]
    task_bytes = max(body_limits, default=0) + TASK_ENVELOPE_BYTES
    return min(MAX_BODY_BYTES, JOB_ENVELOPE_BYTES + MAX_TASKS_PER_JOB * task_bytes)


def parse_job(head, body, deployment, caller):
    """Return the `JobRequest` in the body of ``POST /v1/jobs``.

    Raises
    ------
    RequestRefused
        If a field is missing, unknown, of a wrong type or out of range.
    """
    job = _decode(body, _JobBody, "$")
    kind = find_kind(deployment, caller, job.service, job.kind)
    if not 1 <= len(job.tasks) <= MAX_TASKS_PER_JOB:
        raise RequestRefused(
            ResultCode.TASK_COUNT_OUT_OF_RANGE,
            f"$.tasks: 1 to {MAX_TASKS_PER_JOB} tasks are allowed, got "
            f"{len(job.tasks)}",
        )
    job_id = _job_id(head.headers.get(http_headers.IDEMPOTENCY_KEY_HEADER), job.id)
    if job_id is None:
        raise malformed_request("$.id: required without the header Idempotency-Key")
    tasks = tuple(
        _task_spec(raw, f"$.tasks[{index}]", job.kind, kind)
        for index, raw in enumerate(job.tasks)
    )
    return JobRequest(
        JobKey(caller.name, job.service, job_id),
        job.kind,
        tasks,
        _deadline_ms(job.deadline_ms, kind, "$.deadline_ms"),
        _submitted_at_ms(job.submitted_at, "$.submitted_at"),
        False,
        fingerprint_of(job.kind, tasks),
    )


def parse_single_request(head, route, kind, caller):
    """Return the `JobRequest` of a forwarded request, with an empty body.

    Parameters
    ----------
    route : tuple of str
        Names of the service and the kind, and the path after the kind.

    Raises
    ------
    RequestRefused
        If a header or the path is invalid.
    """
    service, kind_name, subpath = route
    job_id = _job_id(head.headers.get(http_headers.IDEMPOTENCY_KEY_HEADER), None)
    if job_id is None:
        if not kind.repeatable:
            raise malformed_request(
                f"header Idempotency-Key: required, the kind {kind_name!r} is not "
                "repeatable"
            )
        job_id = random_id(16)
    query = f"?{head.query}" if head.query else ""
    path = _target_path(kind_name, subpath + query, "path")
    headers = http_headers.target_headers(head.raw_headers, job_id)
    deadline_ms = head.header_int(http_headers.DEADLINE_HEADER)
    submitted_at = head.header_int(http_headers.SUBMITTED_AT_HEADER)
    return JobRequest(
        JobKey(caller.name, service, job_id),
        kind_name,
        (TaskSpec(head.method, path, headers, b""),),
        _deadline_ms(deadline_ms, kind, f"header {http_headers.DEADLINE_HEADER}"),
        _submitted_at_ms(submitted_at, f"header {http_headers.SUBMITTED_AT_HEADER}"),
        True,
        b"",
    )


def with_body(request, body):
    """Return a forwarded request with its body and fingerprint set."""
    tasks = (replace(request.tasks[0], body=body),)
    return replace(
        request, tasks=tasks, fingerprint=fingerprint_of(request.kind, tasks)
    )


def parse_job_id(text):
    """Return the job identifier in a percent-encoded path segment.

    Raises
    ------
    RequestRefused
        If the identifier is invalid.
    """
    return _checked_id(unquote(text), "path")


def _decode(raw, body_type, location):
    # msgspec ignores unknown keys of data classes, which would hide misspelt keys.
    try:
        keys = decode_json(raw, dict[str, msgspec.Raw])
        unknown = keys.keys() - body_type.__dataclass_fields__.keys()
        if unknown:
            known = ", ".join(sorted(body_type.__dataclass_fields__))
            raise malformed_request(
                f"{location}: unknown key {min(unknown)!r}; known: {known}"
            )
        return decode_json(raw, body_type)
    except msgspec.ValidationError as exc:
        raise malformed_request(_locate_error(str(exc), location)) from exc
    except msgspec.DecodeError as exc:
        raise malformed_request(f"{location}: invalid JSON: {exc}") from exc


def _locate_error(message, location):
    rule, separator, path = message.partition(" - at `$")
    return (
        f"{location}{path.rstrip('`')}: {rule}"
        if separator
        else f"{location}: {message}"
    )


def _task_spec(raw, location, kind_name, kind):
    task = _decode(raw, _TaskBody, location)
    if not _METHOD_PATTERN.fullmatch(task.method):
        raise malformed_request(f"{location}.method: expected 1 to 20 capital letters")
    body = bytes(task.body)
    if task.method in ("GET", "HEAD") and body == b"null":
        body = b""
    if len(body) > kind.max_body:
        raise RequestRefused(
            ResultCode.BODY_TOO_LARGE,
            f"{location}.body: {len(body)} bytes, the kind {kind_name!r} allows "
            f"{int(kind.max_body)}",
        )
    path = _target_path(kind_name, task.path, f"{location}.path")
    return TaskSpec(task.method, path, _JSON_HEADERS if body else (), body)


def _target_path(kind_name, subpath, location):
    # The path at a target starts with the kind, so that a request cannot reach the
    # tasks of another kind, which may have other limits and another urgency.
    if subpath and subpath[0] not in "/?":
        raise malformed_request(f"{location}: must start with /")
    path = f"/{kind_name}{subpath}"
    if len(path) > MAX_PATH_CHARS:
        raise malformed_request(f"{location}: longer than {MAX_PATH_CHARS} characters")
    if not _PATH_PATTERN.fullmatch(path):
        raise malformed_request(
            f"{location}: expected visible ASCII characters other than #"
        )
    if _DOT_SEGMENT_PATTERN.search(path.partition("?")[0]):
        raise malformed_request(f"{location}: the segments . and .. are not allowed")
    return path


def _job_id(header, field):
    if header is not None and len(header) > 1 and header[0] == header[-1] == '"':
        header = header[1:-1]
    if header is not None and field is not None and header != field:
        raise malformed_request(
            f"$.id: {field!r} differs from the header Idempotency-Key, {header!r}"
        )
    if field is not None:
        return _checked_id(field, "$.id")
    if header is not None:
        return _checked_id(header, "header Idempotency-Key")
    return None


def _checked_id(text, location):
    if len(text) > MAX_ID_CHARS or not _ID_PATTERN.fullmatch(text):
        raise malformed_request(
            f"{location}: an identifier has 1 to {MAX_ID_CHARS} visible ASCII "
            "characters"
        )
    return text


def _deadline_ms(value, kind, location):
    if value is None:
        return min(MAX_DEADLINE_MS, round(kind.deadline * 1000))
    if not 1 <= value <= MAX_DEADLINE_MS:
        raise RequestRefused(
            ResultCode.DEADLINE_OUT_OF_RANGE,
            f"{location}: 1 to {MAX_DEADLINE_MS} ms are allowed, got {value}",
        )
    return value


def _submitted_at_ms(value, location):
    if value is None:
        return 0
    if value < 1:
        raise malformed_request(f"{location}: expected Unix milliseconds, got {value}")
    if value > unix_ms() + MAX_CLOCK_SKEW_MS:
        raise malformed_request(
            f"{location}: more than {MAX_CLOCK_SKEW_MS} ms in the future by the clock "
            "of the entry"
        )
    return value
