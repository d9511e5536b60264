"""Decoding of JSON and addresses that other programs have written."""

import contextlib
from typing import Any

import msgspec
import pytest

from hornbeamshore.base.decoding import Amount, Name, decode_json, split_address


class Item(msgspec.Struct):
    """Item with the types that bound what is read."""

    amount: Amount
    name: Name = ""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"{",
        b"null",
        b'{"amount": -1}',
        b'{"amount": 2147483648}',
        b'{"amount": 1e400}',
        b'{"amount": %s}' % (b"9" * 5000),
        b'{"amount": 1, "name": "%s"}' % (b"x" * 1001),
        b'{"amount": 1, "name": "\\ud800x"}',
        b'{"amount": 1, "further": %s}' % (b"[" * 100_000),
        b'{"amount": 1, "further": %s%s}' % (b"[" * 100_000, b"]" * 100_000),
        b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    ],
    ids=lambda data: f"{len(data)} bytes {data[:24]!r}",
)
def test_whatever_cannot_be_decoded_raises_one_error(data):
    """Guards against an error that no reader expects, which ends the process."""
    with pytest.raises(msgspec.DecodeError):
        decode_json(data, Item)
    with contextlib.suppress(msgspec.DecodeError):
        decode_json(data, Any)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("10.1.0.13:7720", ("10.1.0.13", 7720)),
        ("entry-1.example:1", ("entry-1.example", 1)),
        ("::1:65535", ("::1", 65535)),
        ("10.1.0.13", None),
        ("10.1.0.13:", None),
        (":7720", None),
        ("10.1.0.13:0", None),
        ("10.1.0.13:65536", None),
        ("10.1.0.13:99999999999999999999", None),
        ("10.1.0.13:-1", None),
        ("10.1.0.13:+7", None),
        ("10.1.0.13: 7", None),
        ("10.1.0.13:\u0667", None),
        ("a b:7", None),
        ("a\0b:7", None),
        ("x" * 300 + ":7", None),
        ("", None),
    ],
)
def test_only_addresses_with_a_port_are_split(text, expected):
    """Guards against an address that raises where it is used, far from its writer."""
    if expected is None:
        with pytest.raises(ValueError, match="address|range"):
            split_address(text)
    else:
        assert split_address(text) == expected
