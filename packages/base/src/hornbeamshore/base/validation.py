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
class Violation:
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
    def json_path(self):
        """Return the path as JSONPath, such as ``$.teams.sales.services[0]``."""
        steps = (
            f"[{step}]" if isinstance(step, int) else f".{step}" for step in self.path
        )
        return "$" + "".join(steps)

    def __str__(self):
        return f"{self.json_path}: {self.value}: {self.rule}"


def short_repr(value):
    """Return the ``repr`` of a value, truncated to `MAX_VALUE_CHARS` characters."""
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[:MAX_VALUE_CHARS] + "..."


def find_violations(raw, expected_type, path=()):
    """Return all violations in a parsed value.

    Parameters
    ----------
    raw : object
        Value from a YAML or JSON parser.
    expected_type : type
        Frozen data class, scalar, ``dict[str, X]``, ``tuple[X, ...]``, ``X | None``,
        or one of them annotated with ``msgspec.Meta`` or `Bounds`.
    path : tuple of str or int
        Path of the value, the start of the path of each violation.

    Returns
    -------
    list of Violation
        Unknown keys of a data class, then the other violations in the order of its
        fields.
    """
    expected_type, constraints = _split_annotation(expected_type)
    if isinstance(expected_type, types.UnionType):
        if raw is None:
            return []
        (expected_type,) = (
            item_type
            for item_type in typing.get_args(expected_type)
            if item_type is not types.NoneType
        )
        return find_violations(raw, expected_type, path)
    if dataclasses.is_dataclass(expected_type):
        return _container_violations(raw, dict, constraints, path) or _field_violations(
            raw, expected_type, path
        )
    if typing.get_origin(expected_type) is dict:
        return _container_violations(
            raw, dict, constraints, path
        ) or _mapping_violations(raw, expected_type, path)
    if typing.get_origin(expected_type) is tuple:
        item_type = typing.get_args(expected_type)[0]
        return _container_violations(raw, list, constraints, path) or [
            violation
            for index, value in enumerate(raw)
            for violation in find_violations(value, item_type, (*path, index))
        ]
    return _scalar_violations(raw, expected_type, constraints, path)


@functools.cache
def typed_fields(model_class):
    """Return a dict from field names to pairs of `dataclasses.Field` and type hint."""
    hints = typing.get_type_hints(model_class, include_extras=True)
    return {f.name: (f, hints[f.name]) for f in dataclasses.fields(model_class)}


def _split_annotation(expected_type):
    if typing.get_origin(expected_type) is typing.Annotated:
        return expected_type.__origin__, expected_type.__metadata__
    return expected_type, ()


def _with_constraints(expected_type, constraints):
    for constraint in constraints:
        if isinstance(constraint, msgspec.Meta):
            expected_type = typing.Annotated[expected_type, constraint]
    return expected_type


def _container_violations(raw, container_type, constraints, path):
    return _scalar_violations(raw, container_type, constraints, path)


def _field_violations(raw, model_class, path):
    fields = typed_fields(model_class)
    violations = [
        Violation(
            (*path, key), short_repr(value), f"unknown key; known: {', '.join(fields)}"
        )
        for key, value in raw.items()
        if key not in fields
    ]
    for name, (field, hint) in fields.items():
        if name in raw:
            violations += find_violations(raw[name], hint, (*path, name))
        elif _is_required(field):
            violations.append(
                Violation((*path, name), ABSENT, "required field is missing")
            )
    return violations


def _is_required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _mapping_violations(raw, expected_type, path):
    key_type, value_type = typing.get_args(expected_type)
    violations = []
    for key, value in raw.items():
        item_path = (*path, key)
        violations += find_violations(key, key_type, item_path)
        violations += find_violations(value, value_type, item_path)
    return violations


def _scalar_violations(raw, expected_type, constraints, path):
    try:
        value = msgspec.convert(
            raw, _with_constraints(expected_type, constraints), dec_hook=decode_unit
        )
    except (msgspec.ValidationError, ValueError) as exc:
        return [Violation(path, short_repr(raw), _rule_text(expected_type, exc))]
    for constraint in constraints:
        if isinstance(constraint, Bounds) and not constraint.contains(value):
            rule = f"expected {constraint.minimum} to {constraint.maximum}"
            return [Violation(path, short_repr(raw), rule)]
    return []


def _rule_text(expected_type, exc):
    if issubclass(expected_type, enum.Enum):
        return f"expected one of {', '.join(expected_type)}"
    if issubclass(expected_type, Duration | ByteSize):
        return str(exc).rpartition(": ")[2]
    text = str(exc).replace("`object`", "a mapping").replace("`array`", "a list")
    return text[0].lower() + text[1:]
