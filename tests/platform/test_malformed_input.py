"""Seeded fuzzing of what the platform sends: jobs, announcements and configurations."""

import json
import re

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamshore.dispatch.model import JobSpec, Routing
from hornbeamshore.platform import announcements, http_connection
from hornbeamshore.platform.ingress import UnsupportedJob, decode_job
from hornbeamshore.platform.routing import decode_routing
from hornbeamshore.platform.target import _PollResponse
from hornbeamshore.runner.target import TargetIncarnation
from hornbeamshore.wire import codec
from hornbeamshore.wire.messages import (
    AgentReport,
    Message,
    RunOrder,
    RunTasks,
    TargetDescription,
)

JOB = {
    "taskSpec": "text",
    "bestEffort": True,
    "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 120, "after": []}],
}
ANNOUNCEMENT = {
    "service": "s",
    "state": "ready",
    "seq": 4,
    "capacity": {"cpu": 16000, "memMb": 32768},
    "clockMs": 482113,
    "labels": ["a", "r1-3"],
    "born": 1,
}
ROUTING = {
    "version": 3,
    "routes": [
        {"name": "q", "host": "h", "prefix": "/p/", "service": "s", "priority": 1}
    ],
}


class NestedJson:
    """Value that JSON encodes as lists in lists, deeper than any decoder follows."""

    def __init__(self, depth):
        self.depth = depth

    def __repr__(self):
        return f"NestedJson({self.depth})"


def encode_json(content):
    """Return content as JSON, with `NestedJson` values written out."""
    text = json.dumps(content, default=lambda value: f"NESTED{value.depth}")

    def write_out(match):
        return "[" * int(match[1]) + "]" * int(match[1])

    return re.sub(r'"NESTED(\d+)"', write_out, text).encode()


def assert_encodable(value):
    """Check that the inner protocol can carry what was decoded."""
    if isinstance(value, TargetIncarnation):
        description = TargetDescription(
            value.incarnation_id, value.service, value.labels, value.capacity
        )
        body = AgentReport(True, value.capacity, 1, description=description)
    elif isinstance(value, JobSpec):
        orders = tuple(
            RunOrder(1, index, step.count - 1, 1, step.needs)
            for index, step in enumerate(value.steps)
        )
        body = RunTasks(value.job_id, value.content, orders, "q")
    else:
        return
    (message,) = codec.decode_batch(codec.encode_batch([Message(1, 0, body)]))
    assert message.body == body


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**20), 10**20),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
    st.just([]),
    st.just({}),
    st.integers(1, 5000).map(lambda depth: NestedJson(depth)),
)


def replace_value(content, path, value):
    """Return a copy of JSON content with the value at a random path replaced."""
    copy = json.loads(json.dumps(content))
    node = copy
    while True:
        keys = sorted(node) if isinstance(node, dict) else range(len(node))
        if not keys:
            return copy
        key = list(keys)[path[0] % len(keys)]
        path = path[1:]
        is_inner = isinstance(node[key], (dict, list)) and node[key]
        if not path or not is_inner:
            node[key] = value
            return copy
        node = node[key]


DECODERS = (
    (JOB, lambda data: decode_job("j", data), JobSpec),
    (
        ANNOUNCEMENT,
        lambda data: announcements._decode_announcement("i-1", data),
        TargetIncarnation,
    ),
    (ROUTING, decode_routing, Routing),
)
DAMAGE = st.lists(st.integers(0, 50), min_size=1, max_size=4), SCALARS


@pytest.mark.parametrize(
    ("content", "decode", "expected"), DECODERS, ids=["job", "announcement", "routing"]
)
def test_damaged_content_is_rejected_or_decoded(content, decode, expected):
    """Guards against one malformed message that takes a process down."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(*DAMAGE)
    def check(path, value):
        data = encode_json(replace_value(content, path, value))
        try:
            decoded = decode(data)
        except (ValueError, UnsupportedJob):
            return
        assert isinstance(decoded, expected)
        hash(decoded)
        assert_encodable(decoded)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=100))
    def check_bytes(data):
        with pytest.raises(ValueError):  # noqa: PT011
            decode(b"x" + data)

    check()
    check_bytes()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_responses_are_rejected(data):
    """Guards against a response that ends the process of its client."""
    response = http_connection.Response(200, data)
    try:
        value = response.decode(_PollResponse)
    except http_connection.RequestFailed:
        return
    assert isinstance(value, msgspec.Struct)
