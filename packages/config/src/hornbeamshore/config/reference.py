"""Generates the reference table of the deployment file from the model.

``python -m hornbeamshore.config.reference`` prints the rows for
``docs/configuration.md``.
"""

import dataclasses
import enum
import re
import types
import typing

import msgspec

from hornbeamshore.base.faults import fields_of
from hornbeamshore.base.units import Bounds, ByteSize, Duration
from hornbeamshore.config.model import Deployment

HEADER = "| field | type | unit | default | bounds | meaning |"
_UNITS = {Duration: "ms, s, min, h", ByteSize: "B, KiB, MiB"}
_TYPES = {str: "text", bool: "true or false", int: "integer", float: "number"}
_TYPES |= {Duration: "duration", ByteSize: "size"}
_PLACES = {"services": "service", "teams": "team", "kinds": "kind"}


def reference_rows():
    """Return the rows of the table, without its header, in the order of the model."""
    return list(_rows(Deployment, ""))


def _rows(kind, prefix):
    meanings = _meanings(kind)
    for name, (field, hint) in fields_of(kind).items():
        place = f"{prefix}{name}"
        base, limits = _split(hint)
        cells = (
            f"`{place}`",
            _type_text(base),
            _UNITS.get(base, ""),
            _default_text(field),
            _bounds_text(base, limits),
            meanings[name],
        )
        yield f"| {' | '.join(cells)} |"
        nested, step = _nested(base)
        if nested:
            mark = f".<{_PLACES[name]}>" if step else ""
            yield from _rows(nested, f"{place}{mark}.")


def _split(hint):
    if typing.get_origin(hint) is typing.Annotated:
        return hint.__origin__, hint.__metadata__
    return hint, ()


def _nested(base):
    if typing.get_origin(base) is dict:
        return typing.get_args(base)[1], True
    if isinstance(base, types.UnionType):
        base = typing.get_args(base)[0]
    return (base if dataclasses.is_dataclass(base) else None), False


def _type_text(base):
    origin, args = typing.get_origin(base), typing.get_args(base)
    if origin is tuple:
        return f"list of {_TYPES[_split(args[0])[0]]}"
    if origin is dict:
        return "mapping by name"
    if isinstance(base, type) and issubclass(base, enum.Enum):
        return "one of " + ", ".join(base)
    return _TYPES.get(base, "mapping")


def _default_text(field):
    if field.default_factory is not dataclasses.MISSING:
        return "empty"
    if field.default is dataclasses.MISSING:
        return "required"
    if isinstance(field.default, Duration | ByteSize):
        return field.default.to_text()
    if dataclasses.is_dataclass(field.default):
        return "see its fields"
    if field.default in ("", ()):
        return "empty"
    if field.default is None:
        return "none"
    return str(field.default).lower()


def _bounds_text(base, limits):
    parts = [_limit_text(limit) for limit in limits]
    if typing.get_origin(base) is tuple:
        parts += [f"each {_limit_text(m)}" for m in _split(typing.get_args(base)[0])[1]]
    if typing.get_origin(base) is dict:
        parts += [
            f"names {_limit_text(m)}" for m in _split(typing.get_args(base)[0])[1]
        ]
    return "; ".join(parts)


def _limit_text(limit):
    if isinstance(limit, Bounds):
        return f"{limit.minimum} to {limit.maximum}"
    words = {"ge": "at least", "le": "at most", "gt": "above", "lt": "below"}
    words |= {"min_length": "length at least", "max_length": "length at most"}
    parts = [
        f"{word} {getattr(limit, name)}"
        for name, word in words.items()
        if getattr(limit, name) is not None
    ]
    if isinstance(limit, msgspec.Meta) and limit.pattern:
        parts.append(f"match `{limit.pattern}`")
    return ", ".join(parts)


def _meanings(kind):
    """Return the description of each attribute from the docstring of a class."""
    section = kind.__doc__.partition("----------\n")[2]
    found = re.findall(r"^    (\w+) : .*\n((?:^        .*\n)+)", section, re.MULTILINE)
    return {name: " ".join(text.split()) for name, text in found}


if __name__ == "__main__":
    print("\n".join([HEADER, "| --- " * 6 + "|", *reference_rows()]))
