"""Validation of a parsed value against the type that it is to be converted to.

msgspec ignores unknown keys of data classes, which would hide a misspelt key, and
stops at the first error; operators need the errors of a file all at once.
"""

import dataclasses
import enum
import functools
import types
import typing
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.units import Bounds, ByteSize, Duration, decode_unit

MAX_VALUE_CHARS = 60
ABSENT = "(absent)"


@dataclass(frozen=True, slots=True)
class Fault:
    """Value that violates a rule of its type.

    Attributes
    ----------
    path : tuple of str or int
        Keys and list indexes from the root of the document.
    value : str
        Value in Python notation, truncated.
    rule : str
        Rule that the value violates.
    """

    path: tuple
    value: str
    rule: str

    @property
    def place(self):
        """Return the path as JSONPath, such as ``$.teams.sales.services[0]``."""
        steps = (f"[{s}]" if isinstance(s, int) else f".{s}" for s in self.path)
        return "$" + "".join(steps)

    def __str__(self):
        return f"{self.place}: {self.value}: {self.rule}"


def shown(value):
    """Return the ``repr`` of a value, truncated to `MAX_VALUE_CHARS` characters."""
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[:MAX_VALUE_CHARS] + "..."


def find_faults(raw, kind, path=()):
    """Return all violations in a parsed value.

    Parameters
    ----------
    raw : object
        Value from a YAML or JSON parser.
    kind : type
        Frozen data class, scalar, ``dict[str, X]``, ``tuple[X, ...]``, ``X | None``,
        or one of them annotated with ``msgspec.Meta`` or `Bounds`.

    path : tuple of str or int
        Path of the value, the start of the path of each violation.

    Returns
    -------
    list of Fault
        Unknown keys of a data class, then the other violations in the order of its
        fields.
    """
    kind, limits = _without_annotations(kind)
    if isinstance(kind, types.UnionType):
        if raw is None:
            return []
        (kind,) = (item for item in typing.get_args(kind) if item is not types.NoneType)
        return find_faults(raw, kind, path)
    if dataclasses.is_dataclass(kind):
        return _shape_fault(raw, dict, limits, path) or _in_fields(raw, kind, path)
    if typing.get_origin(kind) is dict:
        return _shape_fault(raw, dict, limits, path) or _in_dict(raw, kind, path)
    if typing.get_origin(kind) is tuple:
        item = typing.get_args(kind)[0]
        return _shape_fault(raw, list, limits, path) or [
            fault
            for index, value in enumerate(raw)
            for fault in find_faults(value, item, (*path, index))
        ]
    return _in_scalar(raw, kind, limits, path)


@functools.cache
def fields_of(kind):
    """Return a dict from field names to pairs of `dataclasses.Field` and type hint."""
    hints = typing.get_type_hints(kind, include_extras=True)
    return {f.name: (f, hints[f.name]) for f in dataclasses.fields(kind)}


def _without_annotations(kind):
    if typing.get_origin(kind) is typing.Annotated:
        return kind.__origin__, kind.__metadata__
    return kind, ()


def _annotated(kind, limits):
    for limit in limits:
        if isinstance(limit, msgspec.Meta):
            kind = typing.Annotated[kind, limit]
    return kind


def _shape_fault(raw, shape, limits, path):
    return _in_scalar(raw, shape, limits, path)


def _in_fields(raw, kind, path):
    fields = fields_of(kind)
    faults = [
        Fault((*path, key), shown(value), f"unknown key; known: {', '.join(fields)}")
        for key, value in raw.items()
        if key not in fields
    ]
    for name, (field, hint) in fields.items():
        if name in raw:
            faults += find_faults(raw[name], hint, (*path, name))
        elif _is_required(field):
            faults.append(Fault((*path, name), ABSENT, "required field is missing"))
    return faults


def _is_required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _in_dict(raw, kind, path):
    key_kind, value_kind = typing.get_args(kind)
    faults = []
    for key, value in raw.items():
        step = (*path, key)
        faults += find_faults(key, key_kind, step)
        faults += find_faults(value, value_kind, step)
    return faults


def _in_scalar(raw, kind, limits, path):
    try:
        value = msgspec.convert(raw, _annotated(kind, limits), dec_hook=decode_unit)
    except (msgspec.ValidationError, ValueError) as exc:
        return [Fault(path, shown(raw), _rule(kind, exc))]
    for limit in limits:
        if isinstance(limit, Bounds) and not limit.allow(value):
            rule = f"expected {limit.minimum} to {limit.maximum}"
            return [Fault(path, shown(raw), rule)]
    return []


def _rule(kind, exc):
    if issubclass(kind, enum.Enum):
        return f"expected one of {', '.join(kind)}"
    if issubclass(kind, Duration | ByteSize):
        return str(exc).rpartition(": ")[2]
    text = str(exc).replace("`object`", "a mapping").replace("`array`", "a list")
    return text[0].lower() + text[1:]
