"""Decoding and checking of data that other programs have written."""

import re
from collections import Counter
from typing import Annotated

import msgspec

from hornbeamshore.base.logs import PartLogger

# Integers of the inner protocol have 32 bits.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
# Larger integers lose digits in programs that read JSON numbers as floating point.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Unix time of a start, in milliseconds; 0 stands for an unknown one and is invalid.
StartTime = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
# Milliseconds of a clock.
ClockReading = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
Name = Annotated[str, msgspec.Meta(max_length=1000)]

_HOST = re.compile(r"[A-Za-z0-9:._-]{1,253}")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535

log = PartLogger("input")


def decode_json(data, json_type, **options):
    """Return JSON bytes decoded as an instance of a type.

    Parameters
    ----------
    data : bytes
        JSON text.
    json_type : type
        Type that msgspec decodes.
    options : dict
        Further options of ``msgspec.json.decode``.

    Raises
    ------
    msgspec.DecodeError
        If the bytes cannot be decoded, for whatever reason; it is a ValueError.
    """
    try:
        return msgspec.json.decode(data, type=json_type, **options)
    except msgspec.DecodeError:
        raise
    except Exception as exc:
        # Deep nesting raises RecursionError, and invalid UTF-8 UnicodeDecodeError.
        raise msgspec.DecodeError(str(exc) or type(exc).__name__) from exc


def split_address(text):
    """Return host and port of an address ``host:port``.

    Raises
    ------
    ValueError
        If the text is not such an address, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        raise ValueError(f"{text[:100]!r} is not an address with a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port of {text[:100]!r} is out of range")
    return host, int(port)


class Rejections:
    """Counts and logs the items that a reader passes over because they are invalid.

    Attributes
    ----------
    counts : collections.Counter
        Number of items by source.
    """

    def __init__(self):
        self.counts = Counter()

    def record(self, source, name, exc):
        """Record an invalid item.

        Parameters
        ----------
        source : str
            Kind of the item, such as ``directory``.
        name : str
            Key, id or address that identifies the item.
        exc : Exception
            Error that says what is invalid.
        """
        self.counts[source] += 1
        log.warning("rejected source=%s name=%.100s: %.300s", source, name, exc)


# Of this process, as its logs are.
REJECTIONS = Rejections()
