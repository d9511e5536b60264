"""Conversion between message data classes and Thrift's compact protocol.

Converters are derived from the field types of a data class on first use. A new message
therefore needs only its Thrift struct, its data class and its row in ``BODY_FIELDS``,
and a process builds no converters for messages that it never exchanges.
"""

import dataclasses
import functools
import types
import typing

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from hornbeamshore.wire.gen.hornbeamshore import ttypes
from hornbeamshore.wire.messages import BODY_FIELDS, Message

MAX_MESSAGES_PER_BATCH = 4096

# Thrift field names that differ from the data class: ``service`` is a Thrift keyword.
_RENAMED = {"service": "service_name"}
_FACTORY = TCompactProtocolAcceleratedFactory()
# Exceptions that the accelerated decoder raises for malformed input.
_DECODE_ERRORS = (TException, EOFError, TypeError, ValueError, OverflowError)


class CodecError(ValueError):
    """The payload of a frame is not a valid batch of messages."""


def encode_batch(messages):
    """Return a sequence of `Message` encoded as one Thrift ``Batch``."""
    structs = [_message_to_struct(message) for message in messages]
    transport = TMemoryBuffer()
    ttypes.Batch(messages=structs).write(_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode_batch(data):
    """Return the list of `Message` encoded in the payload of one frame.

    Raises
    ------
    CodecError
        If the payload is not a ``Batch``, holds more than
        `MAX_MESSAGES_PER_BATCH` messages, or lacks a required struct.
    """
    batch = ttypes.Batch()
    try:
        batch.read(_FACTORY.getProtocol(TMemoryBuffer(data)))
    except _DECODE_ERRORS as exc:
        raise CodecError(f"frame is not a valid batch: {exc}") from exc
    if batch.messages is None or len(batch.messages) > MAX_MESSAGES_PER_BATCH:
        raise CodecError("batch has no message list or exceeds the message limit")
    return [_message_from_struct(struct) for struct in batch.messages]


def _message_to_struct(message):
    kind = type(message.body)
    struct = ttypes.Message(id=message.id, reply_to=message.reply_to)
    setattr(struct, BODY_FIELDS[kind], _converter(kind).to_struct(message.body))
    return struct


def _message_from_struct(struct):
    for kind, field in BODY_FIELDS.items():
        value = getattr(struct, field)
        if value is not None:
            body = _converter(kind).from_struct(value)
            return Message(struct.id or 0, struct.reply_to or 0, body)
    # A peer with a newer protocol may send a body type unknown to this version.
    return Message(struct.id or 0, struct.reply_to or 0, None)


class _Plain:
    """Converter of scalar values, which Thrift encodes without conversion."""

    def __init__(self, default):
        self._default = default

    def to_struct(self, value):
        return value

    def from_struct(self, value):
        return self._default if value is None else value


class _Sequence:
    """Converter between a tuple with items of one type and a Thrift list."""

    def __init__(self, item):
        self._item = item

    def to_struct(self, value):
        return [self._item.to_struct(item) for item in value]

    def from_struct(self, value):
        return tuple(self._item.from_struct(item) for item in value or ())


class _Optional:
    """Converter of a value that may be None."""

    def __init__(self, item):
        self._item = item

    def to_struct(self, value):
        return None if value is None else self._item.to_struct(value)

    def from_struct(self, value):
        return None if value is None else self._item.from_struct(value)


class _Record:
    """Converter between a data class and its Thrift struct."""

    def __init__(self, kind):
        self._kind = kind
        self._struct = getattr(ttypes, kind.__name__)
        hints = typing.get_type_hints(kind)
        self._fields = [
            (
                field.name,
                _RENAMED.get(field.name, field.name),
                _converter(hints[field.name]),
            )
            for field in dataclasses.fields(kind)
        ]

    def to_struct(self, value):
        struct = self._struct()
        for name, struct_name, converter in self._fields:
            setattr(struct, struct_name, converter.to_struct(getattr(value, name)))
        return struct

    def from_struct(self, struct):
        if struct is None:
            raise CodecError(f"{self._kind.__name__}: required struct is missing")
        return self._kind(
            *[
                converter.from_struct(getattr(struct, struct_name))
                for _, struct_name, converter in self._fields
            ]
        )


_PLAIN_DEFAULTS = {str: "", bytes: b"", int: 0, bool: False}


@functools.cache
def _converter(kind):
    if kind in _PLAIN_DEFAULTS:
        return _Plain(_PLAIN_DEFAULTS[kind])
    if typing.get_origin(kind) is tuple:
        return _Sequence(_converter(typing.get_args(kind)[0]))
    if isinstance(kind, types.UnionType):
        return _Optional(_converter(typing.get_args(kind)[0]))
    return _Record(kind)
