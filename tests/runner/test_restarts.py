"""Tests of a target that starts again under its id, and of announcements of others."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings

from .conftest import TARGET, FakeConnection, announcement, attached, order_tasks

# Longer than a target without lease renewals goes on, including the next check.
LEASE_END_S = RunnerSettings().lease.target_stop_bound_s + 0.2


async def watch_for_false_ends(conn, target):
    """Check until cancelled that no run is reported as ended that is running."""
    while True:
        running = {int(task.rpartition(".")[2]) for task, _ in target.running_runs}
        assert not running & conn.ends.keys()
        await trio.sleep(0.001)


@pytest.mark.parametrize("announced_after_s", [0.05, 0.5, None])
async def test_a_run_that_a_restarted_target_holds_ends_before_it_is_reported(
    autojump_clock, nursery, runner, target, announced_after_s
):
    """Guards against a second run while the new incarnation executes the first.

    The first run is lost with the earlier incarnation; the second is started by the new
    one, before that has announced itself.
    """
    target.started_ms = TARGET.started_ms
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.25)
        nursery.start_soon(watch_for_false_ends, conn, target)
        runner.order_runs(session, 2, order_tasks(2), runner.clock())
        target.restart(2000)
        await trio.sleep(0.005)
        assert [task for task, _ in target.running_runs] == ["j1.0.0.2"]
        if announced_after_s is not None:
            await trio.sleep(announced_after_s)
            runner.supervisor.handle_announcement(announcement(started_ms=2000))
        await trio.sleep(0.15)
        assert conn.ends[1].code == ResultCode.OUTCOME_UNKNOWN
        for _ in range(round(LEASE_END_S * 100)):
            await trio.sleep(0.01)
            target.expire_lease()
        assert conn.ends[2].code == ResultCode.OUTCOME_UNKNOWN
        assert conn.reports[-1].accepting is (announced_after_s is not None)


async def test_a_late_answer_does_not_end_the_runs_of_the_next_incarnation(
    autojump_clock, runner, target
):
    """Guards against a clock, an end or a token of the life before in the next one."""
    conn = FakeConnection()
    target.started_ms = TARGET.started_ms
    with attached(runner, conn) as session:
        for started_ms in (2000, 3000):
            runner.order_runs(session, 1, order_tasks(started_ms), runner.clock())
            await trio.sleep(0.2)
            target.end_run(f"j1.0.0.{started_ms}")
            await trio.sleep(0.2)
            assert conn.ends[started_ms].code == ResultCode.OK
            target.restart(started_ms)
            runner.supervisor.handle_announcement(announcement(started_ms=started_ms))
            await trio.sleep(0.2)
            assert conn.reports[-1].accepting
            assert target.followed_identity == (TARGET.incarnation_id, started_ms)


@pytest.mark.parametrize(
    "changes",
    [
        {"incarnation_id": "t-9"},
        {"incarnation_id": "t-9", "started_ms": 2**50},
        {"started_ms": 2**50},
        {"started_ms": 1},
        {"incarnation_id": "t-9", "clock_ms": 2**50},
    ],
    ids=["other id", "other id, late start", "late start", "early start", "clock"],
)
@pytest.mark.parametrize("is_first", [True, False], ids=["first", "later"])
async def test_only_an_incarnation_that_answers_is_used(
    autojump_clock, nursery, target, changes, is_first
):
    """Guards against a target without work after an announcement of another process."""
    target.started_ms = TARGET.started_ms
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    other = announcement(**changes)
    for target_announced in (other, TARGET) if is_first else (TARGET, other):
        runner.supervisor.handle_announcement(target_announced)
        await trio.sleep(0.3)
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.2)
        assert ("j1.0.0.1", 1) in target.started
        assert conn.ends == {}
        leaving = announcement(sequence=2, leaving=True)
        runner.supervisor.handle_announcement(leaving)
        await trio.sleep(0.1)
        assert not conn.reports[-1].accepting


async def test_a_higher_token_of_a_predecessor_is_outbid(
    autojump_clock, nursery, target
):
    """Guards against an agent that waits until a clock reaches its predecessor's token.

    A predecessor may have taken its token from the clock of an earlier incarnation.
    """
    target.fencing_token = 10**9
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    runner.supervisor.handle_announcement(announcement())
    await trio.sleep(5.0)
    assert runner.state().accepting


@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": 2**50},
        {"sequence": 2**50, "clock_ms": 2**50},
        {"clock_ms": 2**50},
        {"clock_ms": 60_000},
    ],
    ids=["sequence", "sequence and clock", "clock", "clock a minute ahead"],
)
@pytest.mark.parametrize("is_adopted", [True, False], ids=["adopted", "new"])
async def test_an_odd_number_does_not_hide_later_announcements(
    autojump_clock, nursery, target, changes, is_adopted
):
    """Guards against new runs on a target that says that it is leaving."""
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    if is_adopted:
        runner.supervisor.handle_announcement(TARGET)
        await trio.sleep(0.3)
    runner.supervisor.handle_announcement(announcement(**{"sequence": 2, **changes}))
    await trio.sleep(0.3)
    conn = FakeConnection()
    with attached(runner, conn) as session:
        clock_ms = round(target.clock_ms)
        runner.supervisor.handle_announcement(
            announcement(sequence=3, clock_ms=clock_ms, leaving=True)
        )
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        assert conn.ends[1].code == ResultCode.AGENT_LEAVING
    assert target.started == []


async def test_an_incarnation_that_does_not_answer_is_not_tried_all_the_time(
    autojump_clock, runner, target
):
    """Guards against calls in a loop for an announcement that cannot be confirmed."""
    polls = target.polls
    target.drops_poll_answers = True
    runner.supervisor.handle_announcement(
        announcement(incarnation_id="t-1", started_ms=1)
    )
    await trio.sleep(10.0)
    assert target.polls == polls + 1
    assert runner.supervisor.takeover is not None
