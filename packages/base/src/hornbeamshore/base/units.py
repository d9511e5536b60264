"""Durations and sizes, written with a unit in settings and deployment files."""

import functools
import re
from dataclasses import dataclass

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE = re.compile(r"(\d+)(B|KiB|MiB)")
_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}


class Duration(float):
    """Seconds, written in settings with a unit: ``250ms``, ``1.5s``, ``5min``."""

    @classmethod
    def parse(cls, text):
        """Parse a number with a unit of time, such as ``250ms``.

        Raises
        ------
        ValueError
            If the text has no number or no known unit.
        """
        match = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f"{text!r}: expected a number with ms, s, min or h")
        return cls(float(match[1]) * _SECONDS[match[2]])

    def to_text(self):
        """Format the duration in seconds, exact to a microsecond, for `parse`."""
        return f"{self:.6f}".rstrip("0").rstrip(".") + "s"


class ByteSize(int):
    """Bytes, written in settings with a unit: ``64KiB``, ``1MiB``."""

    @classmethod
    def parse(cls, text):
        """Parse an integer with a unit of size, such as ``64KiB``.

        Raises
        ------
        ValueError
            If the text has no number or no known unit.
        """
        match = _SIZE.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f"{text!r}: expected a number with B, KiB or MiB")
        return cls(int(match[1]) * _BYTES[match[2]])

    def to_text(self):
        """Format the size in the largest unit that gives an integer, for `parse`."""
        for unit in ("MiB", "KiB"):
            if self and self % _BYTES[unit] == 0:
                return f"{self // _BYTES[unit]}{unit}"
        return f"{int(self)}B"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Inclusive bounds of a `Duration` or `ByteSize`, used as a type annotation.

    ``msgspec.Meta`` supports bounds for plain numbers only.

    Attributes
    ----------
    minimum, maximum : str
        Bounds with a unit, such as ``1ms``.
    """

    minimum: str
    maximum: str

    def contains(self, value):
        """Return whether a value lies within the bounds."""
        quantity_type = type(value)
        return (
            quantity_type.parse(self.minimum)
            <= value
            <= quantity_type.parse(self.maximum)
        )


def decode_unit(quantity_type, value):
    """Decode a `Duration` or `ByteSize`; the ``dec_hook`` of msgspec.

    Raises
    ------
    NotImplementedError
        If the type is another one.
    ValueError
        If the value is not a number with a known unit.
    """
    if not issubclass(quantity_type, Duration | ByteSize):
        raise NotImplementedError(quantity_type)
    return (
        _parse_cached(quantity_type, value)
        if isinstance(value, str)
        else quantity_type.parse(value)
    )


# Cached, since the thousands of kinds of a deployment have few distinct quantities.
@functools.lru_cache(maxsize=4096)
def _parse_cached(quantity_type, text):
    return quantity_type.parse(text)


def encode_unit(value):
    """Encode a `Duration` or `ByteSize` as text; the ``enc_hook`` of msgspec.

    Raises
    ------
    NotImplementedError
        If the value has another type.
    """
    if isinstance(value, Duration | ByteSize):
        return value.to_text()
    raise NotImplementedError(type(value))
