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
from thrift.transport.TTransport import TMemoryBuffer

from hornbeamshore.wire.clocks import Timing
from hornbeamshore.wire.gen.hornbeamshore import ttypes
from hornbeamshore.wire.messages import BODY_FIELDS, Message

MAX_MESSAGES_PER_BATCH = 4096

# Thrift field names that differ from the data class: ``service`` is a Thrift keyword.
_THRIFT_FIELD_NAMES = {"service": "service_name"}
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


class CodecError(ValueError):
    """The payload of a frame is not a valid batch of messages."""


def encode_batch(messages, timing=None):
    """Return a sequence of `Message` encoded as one Thrift ``Batch``.

    Parameters
    ----------
    messages : sequence of Message
        Messages.
    timing : Timing or None
        Clocks at the sending of the batch.
    """
    batch = ttypes.Batch([_message_to_struct(message) for message in messages])
    if timing is not None:
        batch.sender_ms, batch.receiver_ms = timing.sender_ms, timing.receiver_ms
    transport = TMemoryBuffer()
    batch.write(_PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode_batch(data):
    """Return the list of `Message` encoded in the payload of one frame.

    Raises the errors of `decode_timed_batch`.
    """
    return decode_timed_batch(data)[0]


def decode_timed_batch(data):
    """Return the messages and the `Timing` encoded in the payload of one frame.

    Raises
    ------
    CodecError
        If the payload is not a ``Batch``, holds more than
        `MAX_MESSAGES_PER_BATCH` messages, or lacks a required struct.
    """
    batch = ttypes.Batch()
    try:
        batch.read(_PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data)))
    except Exception as exc:
        # The accelerated decoder raises errors of many types for malformed input,
        # RecursionError for deep nesting and MemoryError for a false length among them.
        raise CodecError(f"frame is not a valid batch: {exc!r}") from exc
    if batch.messages is None or len(batch.messages) > MAX_MESSAGES_PER_BATCH:
        raise CodecError("batch has no message list or exceeds the message limit")
    messages = [_message_from_struct(struct) for struct in batch.messages]
    return messages, Timing(batch.sender_ms or 0, batch.receiver_ms or 0)


def _message_to_struct(message):
    body_type = type(message.body)
    struct = ttypes.Message(id=message.id, reply_to=message.reply_to)
    setattr(
        struct,
        BODY_FIELDS[body_type],
        _converter_for(body_type).to_struct(message.body),
    )
    return struct


def _message_from_struct(struct):
    for body_type, field in BODY_FIELDS.items():
        value = getattr(struct, field)
        if value is not None:
            body = _converter_for(body_type).from_struct(value)
            return Message(struct.id or 0, struct.reply_to or 0, body)
    # A peer with a newer protocol may send a body type unknown to this version.
    return Message(struct.id or 0, struct.reply_to or 0, None)


class _ScalarConverter:
    """Converter of scalar values, which Thrift encodes without conversion."""

    def __init__(self, default):
        self._default = default

    def to_struct(self, value):
        return value

    def from_struct(self, value):
        return self._default if value is None else value


class _TupleConverter:
    """Converter between a tuple with items of one type and a Thrift list."""

    def __init__(self, item_converter):
        self._item_converter = item_converter

    def to_struct(self, value):
        return [self._item_converter.to_struct(item) for item in value]

    def from_struct(self, value):
        return tuple(self._item_converter.from_struct(item) for item in value or ())


class _OptionalConverter:
    """Converter of a value that may be None."""

    def __init__(self, value_converter):
        self._value_converter = value_converter

    def to_struct(self, value):
        return None if value is None else self._value_converter.to_struct(value)

    def from_struct(self, value):
        return None if value is None else self._value_converter.from_struct(value)


class _StructConverter:
    """Converter between a data class and its Thrift struct."""

    def __init__(self, data_class):
        self._data_class = data_class
        self._struct_type = getattr(ttypes, data_class.__name__)
        hints = typing.get_type_hints(data_class)
        self._fields = [
            (
                field.name,
                _THRIFT_FIELD_NAMES.get(field.name, field.name),
                _converter_for(hints[field.name]),
            )
            for field in dataclasses.fields(data_class)
        ]

    def to_struct(self, value):
        struct = self._struct_type()
        for name, struct_name, converter in self._fields:
            setattr(struct, struct_name, converter.to_struct(getattr(value, name)))
        return struct

    def from_struct(self, struct):
        if struct is None:
            raise CodecError(f"{self._data_class.__name__}: required struct is missing")
        return self._data_class(
            *[
                converter.from_struct(getattr(struct, struct_name))
                for _, struct_name, converter in self._fields
            ]
        )


_SCALAR_DEFAULTS = {str: "", bytes: b"", int: 0, bool: False}


@functools.cache
def _converter_for(python_type):
    if python_type in _SCALAR_DEFAULTS:
        return _ScalarConverter(_SCALAR_DEFAULTS[python_type])
    if typing.get_origin(python_type) is tuple:
        return _TupleConverter(_converter_for(typing.get_args(python_type)[0]))
    if isinstance(python_type, types.UnionType):
        return _OptionalConverter(_converter_for(typing.get_args(python_type)[0]))
    return _StructConverter(python_type)
