"""HTTP client for the target on the host of an agent."""

import pytest
import trio

from hornbeamshore.base.settings import Duration
from hornbeamshore.platform.target import HttpTargetDriver
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.runner.target import (
    ActiveRun,
    EndedRun,
    RunOutcome,
    StartResult,
    StartWithheld,
    TargetFenced,
    TargetGone,
    TargetIncarnation,
    TargetReplaced,
    TargetState,
    TargetUnreachable,
    TargetUnresponsive,
)
from hornbeamshore.wire.messages import Resources

from .scripted_http import ScriptedApp, serving

TARGET = TargetIncarnation("i-1", 5, 1, "s", (), Resources(1, 1, 0), False, 5000)
CFG = RunnerSettings(call_timeout=Duration(0.2))


EXPIRY_MS = 6100


def grant():
    """Return the expiry of the lease for a call."""
    return EXPIRY_MS


def open_channel(address):
    driver = HttpTargetDriver(address, CFG)
    driver.follow_clock(TARGET, TARGET.clock_ms)
    return driver.open_channel(TARGET, 77)


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        ((200, {"clockMs": 5001}), StartResult.STARTED),
        ((409, {"clockMs": 5001, "reason": "fence"}), StartResult.FENCED),
        ((409, {"clockMs": 5001, "reason": "old"}), StartResult.STALE_RUN),
        ((409, {"clockMs": 5001, "reason": "late"}), StartResult.EXPIRED),
        ((409, {"clockMs": 5001, "reason": "room"}), StartResult.NO_CAPACITY),
        ((400, {"clockMs": 5001}), StartResult.MALFORMED),
        ((429, {}), StartResult.UNHEALTHY),
        ((503, {}), StartResult.UNHEALTHY),
        ((421, {}), TargetReplaced),
        ((None, None), TargetUnresponsive),
        ((409, [1]), TargetUnresponsive),
    ],
)
async def test_start_responses(response, expected):
    """Guards against treating a start as refused when it may have been executed."""
    app = ScriptedApp(response)
    async with serving(app) as address:
        channel = open_channel(address)
        if isinstance(expected, type):
            with pytest.raises(expected):
                await channel.start("t", 2, "spec", grant)
        else:
            assert await channel.start("t", 2, "spec", grant) is expected
    method, path, headers, body = app.requests[0]
    assert (method, path) == ("POST", "/hornbeamshore/run-start")
    assert headers[b"hornbeamshore-expect-instance"] == b"i-1"
    assert body == {
        "task": "t",
        "runId": 2,
        "taskSpec": "spec",
        "expiresAtMs": EXPIRY_MS,
        "fencingToken": 77,
    }


async def test_refused_connection_raises_target_gone():
    """Guards against waiting for a run whose start request was never sent."""
    channel = open_channel("127.0.0.1:1")
    with pytest.raises(TargetGone):
        await channel.start("t", 2, "spec", grant)


async def test_silent_host_raises_target_unreachable(monkeypatch):
    """Guards against taking a host that is cut off for one whose target has ended."""

    async def open_tcp_stream(host, port):
        raise OSError("all attempts to connect failed") from TimeoutError("timed out")

    monkeypatch.setattr(trio, "open_tcp_stream", open_tcp_stream)
    with pytest.raises(TargetUnreachable) as caught:
        await open_channel("127.0.0.1:1").start("t", 2, "spec", grant)
    assert not isinstance(caught.value, TargetGone)


@pytest.mark.parametrize(
    ("outcome", "kind"),
    [
        ("done", RunOutcome.DONE),
        ("failed", RunOutcome.FAILED),
        ("stopped", RunOutcome.STOPPED),
        ("lapsed", RunOutcome.EXPIRED),
        ("broken", RunOutcome.ABANDONED),
        ("alone", RunOutcome.ABANDONED),
    ],
)
async def test_poll_returns_runs_and_completions(outcome, kind):
    """Guards against confusing the outcomes of ended runs."""
    body = {
        "clockMs": 5002,
        "running": [["t", 1, "", 40, 0.5]],
        "completions": [[8, "u", 2, outcome, ""]],
    }
    app = ScriptedApp((200, body))
    async with serving(app) as address:
        state = await open_channel(address).poll(0.05, 7)
    assert state == TargetState(
        (ActiveRun("t", 1, 40),), (EndedRun(8, "u", 2, kind),), 5002
    )
    assert app.requests[0][3]["lastSeen"] == 7
    assert app.requests[0][3]["waitMs"] == 50


@pytest.mark.parametrize(
    "fields",
    [
        {"running": [["t", 1, "", "much"]]},
        {"running": [["t", 1, "", None]]},
        {"running": [["t"]]},
        {"completions": [[1, "t", 1, "vanished", ""]]},
        {"running": [[["t"], 1, "", 40]]},
        {"running": [["t", {}, "", 40]]},
        {"running": [["t", 2**64, "", 40]]},
        {"running": [["t", 1, "", 1e300]]},
        {"completions": [["8", "t", 1, "done", ""]]},
        {"completions": [[1, "t", 1, ["done"], ""]]},
        {"completions": [[1.5, "t", 1, "done", ""]]},
        {"clockMs": 1e300},
        {"clockMs": -5},
        {"born": "soon"},
    ],
    ids=str,
)
async def test_invalid_poll_response_raises_target_unresponsive(fields):
    """Guards against an invalid row in a response ending the process."""
    body = {"clockMs": 1, "running": [], "completions": [], **fields}
    async with serving(ScriptedApp((200, body))) as address:
        with pytest.raises(TargetUnresponsive):
            await open_channel(address).poll(0.0, 0)


@pytest.mark.parametrize(
    ("poll_grant", "expected"),
    [(grant, EXPIRY_MS), (None, None), (lambda: None, None)],
    ids=["granted", "no grant", "not granted"],
)
async def test_poll_renews_the_lease_only_if_granted(poll_grant, expected):
    """Guards against extending the lease of runs that an earlier agent started."""
    app = ScriptedApp((200, {"clockMs": 1, "running": [], "completions": []}))
    async with serving(app) as address:
        await open_channel(address).poll(0.0, 0, poll_grant)
    assert app.requests[0][3].get("expiresAtMs") == expected


async def test_a_start_that_is_withheld_is_not_sent():
    """Guards against a start whose permission has ended before it could be sent."""

    def withhold():
        raise StartWithheld("stopped")

    app = ScriptedApp((200, {"clockMs": 5001}))
    async with serving(app) as address:
        channel = open_channel(address)
        with pytest.raises(StartWithheld):
            await channel.start("t", 2, "spec", withhold)
        assert app.requests == []
        assert await channel.start("t", 2, "spec", grant) is StartResult.STARTED
    assert len(app.requests) == 1


@pytest.mark.parametrize(
    ("status", "body"),
    [(400, {}), (409, {"clockMs": 5001, "reason": "fence"}), (429, {}), (503, {})],
)
async def test_a_stop_that_the_target_refused_is_not_answered(status, body):
    """Guards against taking a run for stopped while the target continues it."""
    async with serving(ScriptedApp((status, body))) as address:
        with pytest.raises(TargetUnresponsive):
            await open_channel(address).stop("t", 2)


@pytest.mark.parametrize(
    ("born", "expected"),
    [(TARGET.started_ms, None), (0, None), (6, TargetReplaced), (4, TargetReplaced)],
    ids=["expected", "not said", "later", "earlier"],
)
async def test_a_poll_notices_another_incarnation_with_the_same_id(born, expected):
    """Guards against runs of one life of a target that are taken for those of another.

    The id to which calls are addressed is the same in both lives.
    """
    body = {"clockMs": 1, "born": born, "running": [], "completions": []}
    async with serving(ScriptedApp((200, body))) as address:
        channel = open_channel(address)
        if expected is None:
            assert await channel.poll(0.0, 0) == TargetState((), (), 1)
        else:
            with pytest.raises(expected):
                await channel.poll(0.0, 0)


async def test_a_poll_with_a_low_token_returns_the_clock():
    """Guards against an agent that cannot tell a refused token from a silent target."""
    app = ScriptedApp((409, {"clockMs": 5001, "reason": "fence"}))
    async with serving(app) as address:
        with pytest.raises(TargetFenced) as caught:
            await open_channel(address).poll(0.0, 0)
    assert caught.value.clock_ms == 5001
