"""Tests of the loss of a target: what entries are told, and isolated runs."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.runner.takeover import LossReason
from hornbeamshore.wire.messages import Resources, RunOrder, RunTasks

from .conftest import FakeConnection, announcement, attached, order_tasks


def losses_of(conn):
    return [loss for report in conn.reports for loss in report.losses]


def order_isolated(run_id, job_id="s1"):
    needs = Resources(1000, 64, 0)
    order = RunOrder(run_id, 0, run_id, 1, needs, isolated=True)
    return RunTasks(job_id, "content", (order,), "check")


async def test_each_entry_is_told_once_of_the_runs_of_all_entries(
    autojump_clock, runner, target
):
    """Guards against evidence that only the entry of the lost runs has."""
    first, second = FakeConnection("entry-1"), FakeConnection("entry-2")
    with attached(runner, first) as session, attached(runner, second):
        runner.order_runs(session, 1, order_tasks(1, job_id="j1"), runner.clock())
        await trio.sleep(0.1)
        runner.order_runs(session, 2, order_tasks(2, job_id="j2"), runner.clock())
        await trio.sleep(0.01)
        target.crash()
        await trio.sleep(0.5)
    for conn in (first, second):
        (loss,) = losses_of(conn)
        assert loss.crashed
        assert {run.job_id for run in loss.runs} == {"j1", "j2"}
        ages_ms = {run.job_id: run.age_ms for run in loss.runs}
        assert ages_ms["j2"] < 50 < ages_ms["j1"]


async def test_an_entry_that_connects_is_told_of_earlier_losses(
    autojump_clock, runner, target
):
    """Guards against a restarted entry that starts deadly tasks again."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.crash()
        await trio.sleep(3.0)
    late = FakeConnection("entry-2")
    with attached(runner, late):
        await trio.sleep(0.1)
        (loss,) = losses_of(late)
        assert 2500 < loss.elapsed_ms < 3500


@pytest.mark.parametrize(
    ("event", "crashed"),
    [("silence", False), ("departure", False), ("restart", True), ("refusal", True)],
)
async def test_only_a_target_that_has_ended_counts_as_crashed(
    autojump_clock, runner, target, event, crashed
):
    """Guards against a silent target that is taken for a crashed one."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        if event == "silence":
            target.is_silent = True
        elif event == "departure":
            runner.supervisor.handle_departure(target.incarnation_id)
        elif event == "restart":
            target.running_runs.clear()
            target.incarnation_id = "t-2"
            runner.supervisor.handle_announcement(
                announcement(incarnation_id="t-2", started_ms=2000)
            )
        else:
            target.crash()
        await trio.sleep(2.0)
        if event == "departure":
            runner.supervisor.handle_announcement(
                announcement(incarnation_id="t-2", started_ms=2000)
            )
            await trio.sleep(0.1)
        assert [loss.crashed for loss in losses_of(conn)] == [crashed]


@pytest.mark.parametrize(
    ("returns", "silence_s", "crashed"),
    [
        ("new id", 1.0, [False, True]),
        ("new id", 3.0, [False, True]),
        ("same id", 3.0, [False, True]),
        ("new id", 20.0, [False]),
        ("went on", 3.0, [False]),
        ("announced itself, then new id", 3.0, [False]),
        ("departed, then new id", 3.0, [False]),
    ],
)
async def test_a_silent_target_has_crashed_if_another_incarnation_answers_soon(
    autojump_clock, runner, target, returns, silence_s, crashed
):
    """Guards against crashes without a sign, and silences that are taken for crashes.

    The lease of the runs may have expired before the crash, so they count as uncertain.
    An entry that connects later is told the same, in the same order.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.is_silent = True
        await trio.sleep(silence_s)
        announce = runner.supervisor.handle_announcement
        if returns.startswith("announced"):
            announce(announcement(sequence=2, clock_ms=5000))
        elif returns.startswith("departed"):
            runner.supervisor.handle_departure(target.incarnation_id)
        if returns.endswith("new id"):
            target.incarnation_id = "t-2"
        if returns != "went on":
            target.restart(started_ms=2000)
        target.is_silent = False
        announce(
            announcement(
                incarnation_id=target.incarnation_id,
                started_ms=target.started_ms or 1000,
                sequence=3,
                clock_ms=6000,
            )
        )
        await trio.sleep(2.0)
        losses = losses_of(conn)
        assert [loss.crashed for loss in losses] == crashed
        assert {loss.number for loss in losses} == {1}
        assert {run.job_id for loss in losses for run in loss.runs} == {"j1"}
        assert [not loss.runs[0].was_running for loss in losses] == crashed
    late = FakeConnection("entry-2")
    with attached(runner, late):
        await trio.sleep(0.1)
        assert [loss.crashed for loss in losses_of(late)] == crashed


@pytest.mark.parametrize(
    ("events", "is_counted"),
    [
        (("answer",), True),
        (("listed",), True),
        ((), False),
        (("answer", "stop"), False),
        (("stop",), False),
    ],
    ids=[
        "start answered",
        "listed before the answer",
        "start sent",
        "stop sent",
        "stop waiting for the answer",
    ],
)
async def test_a_crash_counts_under_a_run_only_if_it_was_certainly_running(
    autojump_clock, runner, target, events, is_counted
):
    """Guards against a job that is given up for crashes under which it did not run."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        # A run whose polls are answered while the start of the other one is open.
        runner.order_runs(session, 1, order_tasks(1, job_id="j1"), runner.clock())
        await trio.sleep(0.05)
        if "answer" not in events:
            target.start_delay_s = 1.0
        runner.order_runs(session, 2, order_tasks(2, job_id="j2"), runner.clock())
        await trio.sleep(0.01)
        if "listed" in events:
            target.start("j2.0.0.2", 1, target.fencing_token)
        await trio.sleep(0.15)
        if "stop" in events:
            runner.stop_runs(session, [2])
        target.crash()
        await trio.sleep(0.15)
    (loss,) = losses_of(conn)
    ages_ms = {run.job_id: run.age_ms for run in loss.runs}
    assert ages_ms["j1"] > 0
    assert (ages_ms["j2"] >= 0) is is_counted
    assert 100 < abs(ages_ms["j2"]) < 250


@pytest.mark.parametrize(
    ("silence_s", "crashed"), [(0.0, True), (0.5, True), (0.9, False)]
)
async def test_a_target_that_was_silent_for_a_lease_may_have_ended_its_runs(
    autojump_clock, runner, target, silence_s, crashed
):
    """Guards against blame for a crash after the lease of the runs had expired."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.is_silent = True
        await trio.sleep(silence_s)
        target.crash()
        await trio.sleep(0.3)
    assert [loss.crashed for loss in losses_of(conn)] == [crashed]


async def test_a_run_that_was_not_started_is_not_run(autojump_clock, runner, target):
    """Guards against blame, and an unknown outcome, for a task that never started."""
    conn = FakeConnection()
    target.start_delay_s = 0.2
    with attached(runner, conn) as session:
        orders = order_tasks(1, 2, 3, 4, 5, cpu_millis=1000)
        runner.order_runs(session, 1, orders, runner.clock())
        await trio.sleep(0.01)
        runner.target_lost(LossReason.REFUSED)
        started = len(losses_of(conn)[0].runs)
        assert started == runner.cfg.call_connections
        states = [end.run_state for end in conn.ends.values()]
        assert states.count(RunState.UNKNOWN) == started
        assert states.count(RunState.NOT_RUN) == 5 - started


async def test_no_run_is_started_beside_a_trial(autojump_clock, runner, target):
    """Guards against innocent runs that are lost in the trial of a suspect."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_isolated(1), runner.clock())
        runner.order_runs(session, 2, order_isolated(2, "s2"), runner.clock())
        runner.order_runs(session, 3, order_tasks(3, cpu_millis=1000), runner.clock())
        await trio.sleep(0.05)
        assert {run_id: end.code for run_id, end in conn.ends.items()} == {
            2: ResultCode.NO_FREE_SLOT,
            3: ResultCode.NO_FREE_SLOT,
        }
        await trio.sleep(runner.cfg.trial_time)
        runner.order_runs(session, 4, order_isolated(4, "s4"), runner.clock())
        await trio.sleep(0.05)
        assert len(target.running_runs) == 2


async def test_a_restarted_target_is_not_ejected_for_its_predecessor(
    autojump_clock, runner, target
):
    """Guards against an ejection that outlasts the crash by which its starts failed."""
    conn = FakeConnection()
    target.start_delay_s = 0.05
    with attached(runner, conn) as session:
        for number in range(3):
            order = order_tasks(number, job_id=f"j{number}", cpu_millis=1000)
            runner.order_runs(session, number, order, runner.clock())
        await trio.sleep(0.02)
        target.starts_to_leave_unanswered = 3
        target.crash()
        await trio.sleep(0.2)
        assert not conn.reports[-1].accepting
        target.refusals = 0
        target.incarnation_id = "t-2"
        runner.supervisor.handle_announcement(
            announcement(incarnation_id="t-2", started_ms=2000)
        )
        await trio.sleep(0.05)
        assert conn.reports[-1].accepting
        runner.order_runs(
            session, 9, order_tasks(9, 10, cpu_millis=1000), runner.clock()
        )
        await trio.sleep(0.2)
        assert len(target.running_runs) == 2
