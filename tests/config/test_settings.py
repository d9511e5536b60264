"""Tests of settings files: each error has a message with path, value and rule."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import pytest

from hornbeamshore.base import settings
from hornbeamshore.base.units import Bounds, ByteSize, Duration


@dataclass(frozen=True, slots=True)
class Peer:
    address: str
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    pause: Annotated[Duration, Bounds("1ms", "1min")] = Duration(1)
    size: ByteSize = ByteSize(1)
    slots: Annotated[int, msgspec.Meta(ge=1)] = 8
    backup: Peer | None = None
    peers: Annotated[tuple[Peer, ...], msgspec.Meta(max_length=2)] = ()
    groups: dict[str, Peer] = field(default_factory=dict)


INVALID_SETTINGS = {
    "missing field": ("pause: 1s", "1: $.name: (absent): required field is missing"),
    "wrong type": ("name: [a]", "1: $.name: ['a']: expected `str`, got a list"),
    "unknown key": ("name: a\nslot: 3", "2: $.slot: 3: unknown key; known: name"),
    "missing unit": ("name: a\npause: 5", "2: $.pause: 5: expected a number with ms"),
    "unknown unit of size": (
        "name: a\nsize: 5KB",
        "2: $.size: '5KB': expected a number with",
    ),
    "duration out of bounds": (
        "name: a\npause: 2h",
        "2: $.pause: '2h': expected 1ms to 1min",
    ),
    "number out of bounds": ("name: a\nslots: 0", "2: $.slots: 0: expected `int` >= 1"),
    "boolean as number": ("name: a\nslots: yes", "2: $.slots: True: expected `int`"),
    "NaN": (
        "name: a\nbackup:\n  {address: b, weight: .nan}",
        "3: $.backup.weight: nan: expected `float` > 0.0",
    ),
    "unknown key in an optional field": (
        "name: a\nbackup:\n  address: b\n  adress: b",
        "4: $.backup.adress: 'b': unknown key",
    ),
    "unknown key in a list": (
        "name: a\npeers:\n- address: b\n- {address: b, w: 1}",
        "4: $.peers[1].w: 1: unknown key",
    ),
    "unknown key in a mapping": (
        "name: a\ngroups:\n  x:\n    address: b\n    w: 1",
        "5: $.groups.x.w: 1: unknown key",
    ),
    "list too long": (
        "name: a\npeers: [1, 2, 3]",
        "2: $.peers: [1, 2, 3]: expected a list of length <= 2",
    ),
    "number as key": ("name: a\ngroups: {1: {address: b}}", "2: $.groups[1]: 1: exp"),
    "duplicate key": ("name: a\nname: b", "2: $.name: 'name': duplicate key"),
    "not YAML": ("name: a\n: : [", "not YAML: "),
    "not a mapping": ("- a", "1: expected a mapping at the top level"),
    "empty": ("", "1: expected a mapping at the top level"),
    "exponential expansion of aliases": (
        "a: &a [x,x,x,x,x,x,x,x,x]\n"
        + "".join(
            f"{new}: &{new} [{','.join([f'*{old}'] * 9)}]\n"
            for old, new in zip("abcdefg", "bcdefgh", strict=True)
        ),
        "more than 500000 values",
    ),
}


@pytest.mark.parametrize(
    ("text", "message"), INVALID_SETTINGS.values(), ids=INVALID_SETTINGS
)
def test_error_has_path_value_and_rule(tmp_path, text, message):
    """Guards against an error that is ignored or that its message does not locate."""
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    with pytest.raises(settings.SettingsError) as caught:
        settings.load_settings(path, Sample)
    assert str(caught.value).startswith(f"{path}:")
    assert message in str(caught.value)


def test_all_errors_are_reported_at_once():
    """Guards against an operator having to fix and restart once for each error."""
    raw = {"pause": 1, "peers": [{}], "groups": {"x": {"address": 1}}}
    with pytest.raises(settings.SettingsError) as caught:
        settings.convert(raw, Sample)
    paths = [line.partition(":")[0] for line in str(caught.value).splitlines()]
    assert paths == [
        "$.name",
        "$.pause",
        "$.peers[0].address",
        "$.groups.x.address",
    ]


@pytest.mark.parametrize(
    "value",
    [Duration(0.000001), Duration(0.05), Duration(300), Duration(86400)]
    + [ByteSize(0), ByteSize(1), ByteSize(1536), ByteSize(8 * 1024 * 1024)],
    ids=lambda value: value.to_text(),
)
def test_quantities_survive_a_round_trip(value):
    """Guards against a stored configuration that differs from the file."""
    assert type(value).parse(value.to_text()) == value
