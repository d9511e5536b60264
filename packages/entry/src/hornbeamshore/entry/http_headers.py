"""Filtering of HTTP headers forwarded between callers and targets."""

import re

from hornbeamshore.base.types import Header

OWN_PREFIX = "hornbeamshore-"
CODE_HEADER = "Hornbeamshore-Code"
RUN_STATE_HEADER = "Hornbeamshore-Run-State"
RETRY_AFTER_MS_HEADER = "Hornbeamshore-Retry-After-Ms"
SUBMITTED_AT_HEADER = "hornbeamshore-submitted-at"
DEADLINE_HEADER = "hornbeamshore-deadline-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"

# Hop-by-hop headers (RFC 9110, section 7.6.1), with obsolete names that clients still
# send.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "http2-settings",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Targets must not see the token of a team; the agent sets length and host itself.
_DROPPED_FOR_TARGET = HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "expect",
    "host",
    IDEMPOTENCY_KEY_HEADER,
}
# These describe the target's server; the entry sends its own name, date and length.
_DROPPED_FOR_CALLER = HOP_BY_HOP_HEADERS | {
    "alt-svc",
    "content-length",
    "date",
    "server",
}

_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
_VALUE_PATTERN = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def target_headers(headers, job_id):
    """Return the tuple of headers to forward to a target, with the job id as key."""
    forwarded = _forwarded_headers(headers, _DROPPED_FOR_TARGET)
    return (*forwarded, Header(IDEMPOTENCY_KEY_HEADER, job_id))


def caller_headers(headers):
    """Return the tuple of a target's response headers to forward to the caller."""
    return _forwarded_headers(headers, _DROPPED_FOR_CALLER)


def content_type(headers):
    """Return the media type in lower case without parameters; empty if absent."""
    for header in headers:
        if header.name.lower() == "content-type":
            return header.value.partition(";")[0].strip().lower()
    return ""


def _forwarded_headers(headers, dropped):
    lower = [Header(header.name.lower(), header.value) for header in headers]
    dropped = dropped | _connection_options(lower)
    return tuple(
        header
        for header in lower
        if header.name not in dropped
        and not header.name.startswith(OWN_PREFIX)
        and _NAME_PATTERN.fullmatch(header.name)
        and _VALUE_PATTERN.fullmatch(header.value)
    )


def _connection_options(headers):
    return {
        token.strip().lower()
        for header in headers
        if header.name == "connection"
        for token in header.value.split(",")
    }
