"""Message codec: round trips of all messages, and rejection of malformed input."""

import dataclasses
import typing

import pytest

from hornbeamshore.wire import codec, messages


def _sample_value(python_type):
    if python_type is str:
        return "text"
    if python_type is bytes:
        return b"\x00bytes"
    if python_type is bool:
        return True
    if python_type is int:
        return 41
    if typing.get_origin(python_type) is tuple:
        return (_sample_value(typing.get_args(python_type)[0]),) * 2
    if not dataclasses.is_dataclass(python_type):
        return _sample_value(typing.get_args(python_type)[0])
    hints = typing.get_type_hints(python_type)
    return python_type(
        **{
            f.name: _sample_value(hints[f.name])
            for f in dataclasses.fields(python_type)
        }
    )


@pytest.mark.parametrize(
    "body_type", messages.BODY_FIELDS, ids=lambda body_type: body_type.__name__
)
def test_message_round_trip(body_type):
    """Guards against a field that is missing in the struct or lost in conversion."""
    sent = messages.Message(7, 3, _sample_value(body_type))
    assert codec.decode_batch(codec.encode_batch([sent])) == [sent]


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff" * 40, b"\x19\xfc\xff\xff\xff\xff\x0f", b"\x15\x02"],
    ids=["empty", "invalid bytes", "huge list", "wrong type"],
)
def test_malformed_input_is_rejected(data):
    """Guards against a crash or a large allocation caused by arbitrary input."""
    with pytest.raises(codec.CodecError):
        codec.decode_batch(data)
