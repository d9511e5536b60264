"""Seeded fuzzing of the inner protocol: frames that are not valid messages."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamshore.wire import codec
from hornbeamshore.wire.messages import (
    BODY_FIELDS,
    AgentReport,
    LostRun,
    Message,
    Resources,
    RunEnd,
    RunOrder,
    RunTasks,
    TargetDescription,
    TargetLoss,
)

VALID_BODIES = (
    AgentReport(
        True,
        Resources(1000, 64, 0),
        7,
        (RunEnd(1, 0, 1, 1000, "done"),),
        True,
        (1, 2),
        TargetDescription("t-1", "order-desk", ("a",), Resources(8000, 1024, 0)),
    ),
    AgentReport(
        False,
        Resources(),
        7,
        losses=(TargetLoss(3, True, 20, (LostRun("job", 0, 1, "check", -2, True),)),),
    ),
    RunTasks("job", "content", (RunOrder(1, 0, 0, 1, Resources(1, 1, 0)),), "check"),
)


def decode_or_reject(data):
    """Decode a payload; return None if it is rejected as invalid."""
    try:
        return codec.decode_batch(data)
    except codec.CodecError:
        return None


@settings(max_examples=500, derandomize=True, deadline=None)
@given(st.binary(max_size=400))
def test_random_payloads_are_rejected_or_decoded(data):
    """Guards against a payload that ends the process instead of its connection."""
    messages = decode_or_reject(data)
    assert messages is None or all(isinstance(item, Message) for item in messages)


@settings(max_examples=500, derandomize=True, deadline=None)
@given(
    st.sampled_from(VALID_BODIES),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4),
    st.integers(0, 200),
)
def test_damaged_payloads_are_rejected_or_decoded(body, changes, cut):
    """Guards against a damaged message that ends the process or its fields' types."""
    data = bytearray(codec.encode_batch([Message(1, 0, body)]))
    for position, value in changes:
        data[position % len(data)] = value
    messages = decode_or_reject(bytes(data[: len(data) - cut % 20]))
    for message in messages or ():
        assert message.body is None or type(message.body) in BODY_FIELDS


@pytest.mark.parametrize(
    "data",
    [
        # Unknown field 15: structs in structs, whose fields all have the same type.
        b"\xfc" * 200_000,
        b"\xfc" * 200_000 + b"\x00" * 200_001,
        # Unknown field 15: a list of lists.
        b"\xf9" + b"\x19" * 200_000,
        # List of messages with a length of 2**31 - 1, and with a negative one.
        b"\x19\xfc\xff\xff\xff\xff\x07",
        b"\x19\xfc\xff\xff\xff\xff\x0f",
    ],
    ids=["structs", "closed structs", "lists", "long list", "negative length"],
)
def test_nested_and_long_payloads_are_rejected(data):
    """Guards against an error that ends the process that accepts connections."""
    assert decode_or_reject(data) in (None, [])


@pytest.mark.parametrize("body", VALID_BODIES, ids=lambda body: type(body).__name__)
def test_messages_survive_the_codec(body):
    """Guards against fields that are lost or exchanged on the way."""
    (message,) = codec.decode_batch(codec.encode_batch([Message(9, 3, body)]))
    assert message == Message(9, 3, body)
    assert dataclasses.asdict(message.body) == dataclasses.asdict(body)
