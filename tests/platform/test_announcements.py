"""Announcements of targets, and conversion of the platform's settings."""

import json

import httpcore
import pytest

from hornbeamshore.base.settings import SettingsError
from hornbeamshore.platform.agent import runner_settings
from hornbeamshore.platform.announcements import AnnouncementApi
from hornbeamshore.platform.boot import parse_fields
from hornbeamshore.platform.settings import parse_settings
from hornbeamshore.wire.messages import Resources

from .scripted_http import serving

ANNOUNCEMENT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seq": 4,
    "born": 1234,
}

# Value of a field that is left out.
MISSING = object()


class FakeSupervisor:
    def __init__(self):
        self.calls = []

    def handle_announcement(self, target):
        self.calls.append(target)

    def handle_departure(self, incarnation_id):
        self.calls.append(incarnation_id)


async def put_announcement(body, incarnation_id="i-1"):
    supervisor = FakeSupervisor()
    async with (
        serving(AnnouncementApi(supervisor)) as address,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f"http://{address}/hornbeamshore/instances/{incarnation_id}"
        response = await pool.request("PUT", url, content=body)
    return response.status, supervisor.calls


async def test_valid_announcement_reaches_the_supervisor():
    """Guards against fields of an announcement being mixed up."""
    status, (target,) = await put_announcement(json.dumps(ANNOUNCEMENT).encode())
    assert status == 200
    assert target.identity == ("i-1", 1234)
    assert target.capacity == Resources(16000, 32768, 0)
    assert (target.sequence, target.clock_ms, target.leaving) == (4, 482113, False)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "new"},
        {"seq": "4"},
        {"capacity": None},
        {"capacity": {"cpu": "many", "memMb": 1}},
        {"service": 7},
        {"capacity": {"cpu": 2**31, "memMb": 1}},
        {"capacity": {"cpu": 1, "memMb": 10**30}},
        {"capacity": {"cpu": -1, "memMb": 1}},
        {"seq": 2**63},
        {"seq": -1},
        {"clockMs": 1e300},
        {"clockMs": -1},
        {"born": MISSING},
        {"born": None},
        {"born": 0},
        {"born": 10**25},
        {"born": 1.5},
        {"labels": ["x" * 2000]},
        {"labels": ["x"] * 2000},
        {"service": "x" * 2000},
    ],
    ids=lambda change: "no born" if MISSING in change.values() else str(change),
)
async def test_invalid_announcement_is_rejected(change):
    """Guards against an invalid announcement being used or ending the process."""
    body = {**ANNOUNCEMENT, **change}
    present = {name: value for name, value in body.items() if value is not MISSING}
    status, calls = await put_announcement(json.dumps(present).encode())
    assert (status, calls) == (400, [])


@pytest.mark.parametrize(
    "incarnation_id", ["", "i-1%0d%0aHost:x", "i%00", "%C3%A9", "a/b", "x" * 300]
)
async def test_an_id_that_is_no_name_is_rejected(incarnation_id):
    """Guards against an id that changes the header of each call to the target."""
    body = json.dumps(ANNOUNCEMENT).encode()
    assert await put_announcement(body, incarnation_id) == (400, [])


@pytest.mark.parametrize(
    "body",
    [b"\xff\x00", b"[" * 100_000, b'{"labels":' + b"[" * 50_000 + b"]" * 50_000 + b"}"],
    ids=["not JSON", "unclosed", "deep nesting"],
)
async def test_body_that_is_not_json_is_rejected(body):
    """Guards against a body that is not JSON ending the process."""
    assert await put_announcement(body) == (400, [])


async def test_delete_reports_the_departure():
    """Guards against work being sent to a target that announced its end."""
    supervisor = FakeSupervisor()
    async with (
        serving(AnnouncementApi(supervisor)) as address,
        httpcore.AsyncConnectionPool() as pool,
    ):
        url = f"http://{address}/hornbeamshore/instances/i-1"
        response = await pool.request("DELETE", url)
    assert (response.status, supervisor.calls) == (200, ["i-1"])


SETTINGS = """\
node=front-1
ip=10.1.0.13
zone=perth-a
portRange=7720,7735
platform.address=10.200.1.7:8169
listen.front=10.1.0.13:8161
seeds=10.1.0.13:8166,10.2.0.30:8166
bounds.graceS=6
bounds.maxHoldMs=800
unknown.field=1
"""


def test_settings_are_parsed():
    """Guards against fields of the settings being mixed up or read in wrong units."""
    cfg = parse_settings(parse_fields(SETTINGS))
    assert cfg.inner_address == "10.1.0.13:7720"
    assert cfg.seed_hosts == ("10.1.0.13", "10.2.0.30")
    assert cfg.data_centre == "perth-a"
    assert cfg.lease.target_lease == 0.8
    assert runner_settings(cfg).leave_timeout == 4.5


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("node=front-1\n", "", "node"),
        ("portRange=7720,7735", "portRange=x", "number"),
        ("bounds.graceS=6", "bounds.graceS=long", "number"),
    ],
)
def test_invalid_settings_are_rejected(old, new, expected):
    """Guards against a process starting with invalid settings."""
    with pytest.raises(SettingsError, match=expected):
        parse_settings(parse_fields(SETTINGS.replace(old, new)))
