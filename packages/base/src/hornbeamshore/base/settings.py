"""Settings files: YAML decoded into frozen data classes, each field checked."""

import re
from pathlib import Path

import msgspec

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_SIZE = re.compile(r"(\d+)(B|KiB|MiB)")
_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}


class SettingsError(ValueError):
    """Settings cannot be used; the message names the field, its value and the rule."""


class Duration(float):
    """Seconds, written in settings with a unit: ``250ms``, ``1.5s``, ``5min``."""

    @classmethod
    def parse(cls, text):
        """Return the duration that a text with a unit gives.

        Raises
        ------
        ValueError
            If the text has no number or no known unit.
        """
        match = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f"{text!r}: expected a number with ms, s, min or h")
        return cls(float(match[1]) * _SECONDS[match[2]])


class ByteSize(int):
    """Bytes, written in settings with a unit: ``64KiB``, ``1MiB``."""

    @classmethod
    def parse(cls, text):
        """Return the size that a text with a unit gives.

        Raises
        ------
        ValueError
            If the text has no number or no known unit.
        """
        match = _SIZE.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f"{text!r}: expected a number with B, KiB or MiB")
        return cls(int(match[1]) * _BYTES[match[2]])


def _decode_special(kind, value):
    if issubclass(kind, Duration | ByteSize):
        return kind.parse(value)
    raise NotImplementedError(kind)


def convert(raw, kind):
    """Return `raw` as an instance of a frozen data class.

    Raises
    ------
    SettingsError
        If a field is missing, unknown, of a wrong type or out of bounds.
    """
    _refuse_unknown_keys(raw, kind, "$")
    try:
        return msgspec.convert(raw, kind, dec_hook=_decode_special)
    except (msgspec.ValidationError, ValueError) as exc:
        raise SettingsError(_with_value(str(exc), raw)) from exc


def load_yaml(text, name):
    """Return the mapping in a YAML text.

    Raises
    ------
    SettingsError
        If the text is not YAML or holds something else than a mapping.
    """
    # The agent's daemon gets its settings decoded, and has no memory to spare.
    import yaml

    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise SettingsError(f"{name}: not YAML: {exc}") from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"{name}: expected a mapping at the top")
    return raw


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
    try:
        return convert(load_yaml(text, path), kind)
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _refuse_unknown_keys(raw, kind, path):
    # msgspec ignores unknown keys of data classes, which would hide a typing error.
    fields = getattr(kind, "__dataclass_fields__", None)
    if fields is None or not isinstance(raw, dict):
        return
    for key, value in raw.items():
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise SettingsError(f"{path}.{key}: unknown key; known: {known}")
        _refuse_unknown_keys(value, fields[key].type, f"{path}.{key}")


def _with_value(message, raw):
    match = re.search(r"`(\$[^`]*)`", message)
    if match is None:
        return message
    value = raw
    for step in re.findall(r"\.(\w+)|\[(\d+)\]", match[1]):
        name, index = step
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return message
    return f"{message} (value {value!r})"
