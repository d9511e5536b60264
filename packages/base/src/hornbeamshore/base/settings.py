"""Settings files: YAML that is validated and converted to frozen data classes."""

from pathlib import Path

import msgspec

from hornbeamshore.base.units import ByteSize, Duration, decode_unit
from hornbeamshore.base.validation import find_violations

__all__ = [
    "ByteSize",
    "Duration",
    "SettingsError",
    "convert",
    "load_settings",
    "load_yaml",
    "read_secret",
]


MIN_SECRET_BYTES = 16


class SettingsError(ValueError):
    """Settings are invalid; the message has the path, the value and the rule."""


def convert(raw, settings_class):
    """Convert a parsed value to an instance of a frozen data class.

    Raises
    ------
    SettingsError
        If a field is missing, unknown, of a wrong type or out of bounds; the
        message has a line for each of them.
    """
    violations = find_violations(raw, settings_class)
    if violations:
        raise SettingsError("\n".join(str(violation) for violation in violations))
    try:
        return msgspec.convert(raw, settings_class, dec_hook=decode_unit)
    except (msgspec.ValidationError, ValueError) as exc:
        raise SettingsError(str(exc)) from exc


def load_yaml(text, name):
    """Parse a YAML text whose top level is a mapping.

    Parameters
    ----------
    text : str
        YAML text.
    name : str
        Name of its source, for error messages.

    Raises
    ------
    SettingsError
        If the text is not YAML, has duplicate keys or has another type at its top
        level.
    """
    return _parse_document(text, name).raw


def load_settings(path, settings_class):
    """Load a YAML file of settings as an instance of a frozen data class.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    document = _parse_document(text, path)
    _raise_violations(document, find_violations(document.raw, settings_class), path)
    try:
        return convert(document.raw, settings_class)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def read_secret(path):
    """Read the secret that the processes of a deployment share.

    Raises
    ------
    SettingsError
        If the file cannot be read or its secret is too short.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as exc:
        raise SettingsError(f"$.secret_file {path!r}: cannot be read: {exc}") from exc
    if len(secret) < MIN_SECRET_BYTES:
        raise SettingsError(
            f"$.secret_file {path!r}: expected at least {MIN_SECRET_BYTES} bytes"
        )
    return secret


def _parse_document(text, name):
    # Imported here to save memory in agents, which receive their settings decoded.
    from hornbeamshore.base.yamltext import YamlParseError, parse_yaml

    try:
        document = parse_yaml(text)
    except YamlParseError as exc:
        raise SettingsError(f"{name}:{exc.line}: {exc}") from exc
    _raise_violations(document, document.duplicate_keys, name)
    return document


def _raise_violations(document, violations, name):
    if violations:
        lines = (
            f"{name}:{document.line_of(violation.path)}: {violation}"
            for violation in violations
        )
        raise SettingsError("\n".join(lines))
