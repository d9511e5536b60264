"""Settings files: YAML decoded into frozen data classes, each field checked."""

from pathlib import Path

import msgspec

from hornbeamshore.base.faults import find_faults
from hornbeamshore.base.units import ByteSize, Duration, decode_unit

__all__ = [
    "ByteSize",
    "Duration",
    "SettingsError",
    "convert",
    "load_settings",
    "load_yaml",
]


class SettingsError(ValueError):
    """Settings cannot be used; the message names the field, its value and the rule."""


def convert(raw, kind):
    """Return `raw` as an instance of a frozen data class.

    Raises
    ------
    SettingsError
        If a field is missing, unknown, of a wrong type or out of bounds; the
        message has a line for each fault.
    """
    faults = find_faults(raw, kind)
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults))
    try:
        return msgspec.convert(raw, kind, dec_hook=decode_unit)
    except (msgspec.ValidationError, ValueError) as exc:
        raise SettingsError(str(exc)) from exc


def load_yaml(text, name):
    """Return the mapping in a YAML text.

    Raises
    ------
    SettingsError
        If the text is not YAML, gives a key twice or holds something else than a
        mapping.
    """
    return _document(text, name).raw


def load_settings(path, kind):
    """Return the settings in a YAML file as an instance of `kind`.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field breaks its rule.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    document = _document(text, path)
    _raise_faults(document, find_faults(document.raw, kind), path)
    try:
        return convert(document.raw, kind)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _document(text, name):
    # The agent's daemon gets its settings decoded, and has no memory to spare for YAML.
    from hornbeamshore.base.yamltext import NotYaml, parse_yaml

    try:
        document = parse_yaml(text)
    except NotYaml as exc:
        raise SettingsError(f"{name}:{exc.line}: {exc}") from exc
    _raise_faults(document, document.faults, name)
    return document


def _raise_faults(document, faults, name):
    if faults:
        lines = (f"{name}:{document.line_of(fault.path)}: {fault}" for fault in faults)
        raise SettingsError("\n".join(lines))
