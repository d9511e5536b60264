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

from hornbeamshore.base.units import Bounds, ByteSize, Duration
from hornbeamshore.base.validation import typed_fields
from hornbeamshore.config.model import Deployment

HEADER = "| field | type | unit | default | bounds | meaning |"
_UNITS = {Duration: "ms, s, min, h", ByteSize: "B, KiB, MiB"}
_TYPES = {str: "text", bool: "true or false", int: "integer", float: "number"}
_TYPES |= {Duration: "duration", ByteSize: "size"}
_PLACEHOLDERS = {"services": "service", "teams": "team", "kinds": "kind"}


def reference_rows():
    """Return the rows of the table, without its header, in the order of the model."""
    return list(_rows(Deployment, ""))


def _rows(model_class, prefix):
    descriptions = _descriptions(model_class)
    for name, (field, hint) in typed_fields(model_class).items():
        path = f"{prefix}{name}"
        plain_type, constraints = _split_annotation(hint)
        cells = (
            f"`{path}`",
            _type_text(plain_type),
            _UNITS.get(plain_type, ""),
            _default_text(field),
            _constraints_text(plain_type, constraints),
            descriptions[name],
        )
        yield f"| {' | '.join(cells)} |"
        nested, is_mapping = _nested_model(plain_type)
        if nested:
            placeholder = f".<{_PLACEHOLDERS[name]}>" if is_mapping else ""
            yield from _rows(nested, f"{path}{placeholder}.")


def _split_annotation(hint):
    if typing.get_origin(hint) is typing.Annotated:
        return hint.__origin__, hint.__metadata__
    return hint, ()


def _nested_model(plain_type):
    if typing.get_origin(plain_type) is dict:
        return typing.get_args(plain_type)[1], True
    if isinstance(plain_type, types.UnionType):
        plain_type = typing.get_args(plain_type)[0]
    return (plain_type if dataclasses.is_dataclass(plain_type) else None), False


def _type_text(plain_type):
    origin, args = typing.get_origin(plain_type), typing.get_args(plain_type)
    if origin is tuple:
        return f"list of {_TYPES[_split_annotation(args[0])[0]]}"
    if origin is dict:
        return "mapping by name"
    if isinstance(plain_type, type) and issubclass(plain_type, enum.Enum):
        return "one of " + ", ".join(plain_type)
    return _TYPES.get(plain_type, "mapping")


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


def _constraints_text(plain_type, constraints):
    parts = [_constraint_text(constraint) for constraint in constraints]
    if typing.get_origin(plain_type) is tuple:
        parts += [
            f"each {_constraint_text(metadata)}"
            for metadata in _split_annotation(typing.get_args(plain_type)[0])[1]
        ]
    if typing.get_origin(plain_type) is dict:
        parts += [
            f"names {_constraint_text(metadata)}"
            for metadata in _split_annotation(typing.get_args(plain_type)[0])[1]
        ]
    return "; ".join(parts)


def _constraint_text(constraint):
    if isinstance(constraint, Bounds):
        return f"{constraint.minimum} to {constraint.maximum}"
    phrases = {"ge": "at least", "le": "at most", "gt": "above", "lt": "below"}
    phrases |= {"min_length": "length at least", "max_length": "length at most"}
    parts = [
        f"{phrase} {getattr(constraint, name)}"
        for name, phrase in phrases.items()
        if getattr(constraint, name) is not None
    ]
    if isinstance(constraint, msgspec.Meta) and constraint.pattern:
        parts.append(f"match `{constraint.pattern}`")
    return ", ".join(parts)


def _descriptions(model_class):
    """Return the description of each attribute from the docstring of a class."""
    section = model_class.__doc__.partition("----------\n")[2]
    matches = re.findall(
        r"^    (\w+) : .*\n((?:^        .*\n)+)", section, re.MULTILINE
    )
    return {name: " ".join(text.split()) for name, text in matches}


if __name__ == "__main__":
    print("\n".join([HEADER, "| --- " * 6 + "|", *reference_rows()]))
