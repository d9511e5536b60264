"""Message codec: round trips of all messages, and rejection of malformed input."""

import dataclasses
import typing

import pytest

from hornbeamshore.wire import codec, messages


def _sample(kind):
    if kind is str:
        return "text"
    if kind is bytes:
        return b"\x00bytes"
    if kind is bool:
        return True
    if kind is int:
        return 41
    if typing.get_origin(kind) is tuple:
        return (_sample(typing.get_args(kind)[0]),) * 2
    if not dataclasses.is_dataclass(kind):
        return _sample(typing.get_args(kind)[0])
    hints = typing.get_type_hints(kind)
    return kind(**{f.name: _sample(hints[f.name]) for f in dataclasses.fields(kind)})


@pytest.mark.parametrize("kind", messages.BODY_FIELDS, ids=lambda kind: kind.__name__)
def test_each_message_survives_a_round_trip(kind):
    """Guards against a field that is missing in the struct or lost in conversion."""
    sent = messages.Message(7, 3, _sample(kind))
    assert codec.decode_batch(codec.encode_batch([sent])) == [sent]


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff" * 40, b"\x19\xfc\xff\xff\xff\xff\x0f", b"\x15\x02"],
    ids=["empty", "noise", "huge list", "wrong type"],
)
def test_broken_bytes_are_refused(data):
    """Guards against a crash or a large allocation caused by arbitrary input."""
    with pytest.raises(codec.CodecError):
        codec.decode_batch(data)
