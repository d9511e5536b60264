"""Tests of runs on one target: capacity, leases, lost answers, replaced targets."""

import contextlib
from unittest.mock import Mock

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.progress import Progress
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.runner.target import RunOutcome, StartResult, TargetReplaced
from hornbeamshore.wire.messages import Resources

from .conftest import (
    TARGET,
    FakeChannel,
    FakeConnection,
    FakeTarget,
    announcement,
    attached,
    order_tasks,
)


async def test_runs_beyond_the_capacity_are_refused_as_not_run(
    autojump_clock, runner, target
):
    """Guards against runs beyond the capacity, or that wait while others are free."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1, 2), runner.clock())
        runner.order_runs(session, 2, order_tasks(3, 4), runner.clock())
        await trio.sleep(0.1)
        assert len(target.running_runs) == 2
        assert {run_id: end.code for run_id, end in conn.ends.items()} == {
            3: ResultCode.NO_FREE_SLOT,
            4: ResultCode.NO_FREE_SLOT,
        }
        assert all(end.run_state == RunState.NOT_RUN for end in conn.ends.values())
        target.end_run("j1.0.0.1")
        await trio.sleep(0.1)
        runner.order_runs(session, 3, order_tasks(5), runner.clock())
        await trio.sleep(0.1)
        assert ("j1.0.0.5", 1) in target.started


async def test_runs_are_refused_while_the_target_does_not_answer(
    autojump_clock, runner, target
):
    """Guards against runs that wait for a target while others could run them."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.drops_poll_answers = True
        await trio.sleep(0.3)
        runner.order_runs(session, 2, order_tasks(2), runner.clock())
        assert conn.ends[2].code == ResultCode.TARGET_UNREACHABLE
        assert conn.ends[2].run_state == RunState.NOT_RUN
        target.drops_poll_answers = False
        await trio.sleep(0.3)
        runner.order_runs(session, 3, order_tasks(3), runner.clock())
        await trio.sleep(0.1)
        assert ("j1.0.0.3", 1) in target.started


async def test_runs_fit_in_a_capacity_that_shrinks_and_grows(
    autojump_clock, runner, target
):
    """Guards against starts beyond a shrunk capacity, or refused for good after it.

    A target that shrinks below what it runs starts nothing until enough has ended.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1, 2), runner.clock())
        await trio.sleep(0.1)
        for sequence, cpu_millis, run_id, code in (
            (2, 2000, 3, ResultCode.NO_FREE_SLOT),
            (3, 9000, 4, None),
            (4, 6000, 5, ResultCode.NO_FREE_SLOT),
        ):
            capacity = Resources(cpu_millis, 1024, 0)
            runner.supervisor.handle_announcement(
                announcement(sequence=sequence, capacity=capacity)
            )
            runner.order_runs(session, sequence, order_tasks(run_id), runner.clock())
            await trio.sleep(0.1)
            assert conn.reports[-1].free.cpu_millis <= cpu_millis - 6000
            assert (conn.ends[run_id].code if run_id in conn.ends else None) == code
        assert len(target.running_runs) == 3


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (RunOutcome.DONE, ResultCode.OK),
        (RunOutcome.FAILED, ResultCode.TASK_FAILED),
        (RunOutcome.EXPIRED, ResultCode.OUTCOME_UNKNOWN),
    ],
)
async def test_ends_are_reported_until_acknowledged(
    autojump_clock, runner, target, kind, code
):
    """Guards against losing a result with the connection that carried it."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.end_run("j1.0.0.1", kind)
        await trio.sleep(0.1)
        assert conn.ends[1].code == code
    second_conn = FakeConnection()
    with attached(runner, second_conn) as session:
        assert second_conn.ends[1].code == code
        runner.acknowledge_ends(session, [1])
    third_conn = FakeConnection()
    with attached(runner, third_conn):
        assert third_conn.ends == {}


@pytest.mark.parametrize("silence", ["disconnected", "silent"])
async def test_runs_are_stopped_when_the_lease_of_their_entry_expires(
    autojump_clock, runner, target, silence
):
    """Guards against concurrent runs of a job resubmitted after its entry was lost."""
    conn = FakeConnection()
    session = runner.attach(conn)
    runner.order_runs(session, 1, order_tasks(1), runner.clock())
    await trio.sleep(0.1)
    if silence == "disconnected":
        session.detach(conn)
    conn.is_receiving = False
    await trio.sleep(0.5)
    assert target.running_runs
    # The platform submits the job again 1.3 s after its answer was lost.
    await trio.sleep(0.7)
    assert not target.running_runs


async def test_runs_of_the_previous_incarnation_of_an_entry_are_stopped(
    autojump_clock, runner, target
):
    """Guards against running tasks for an entry that lost its jobs in a restart."""
    session = runner.attach(FakeConnection(incarnation=1))
    runner.order_runs(session, 1, order_tasks(1), runner.clock())
    await trio.sleep(0.1)
    runner.attach(FakeConnection(incarnation=2))
    await trio.sleep(0.1)
    assert not target.running_runs


async def test_an_entry_that_reconnects_keeps_its_runs(autojump_clock, runner, target):
    """Guards against stopping runs because a single connection was closed."""
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
    await trio.sleep(0.3)
    conn = FakeConnection()
    with attached(runner, conn):
        await trio.sleep(2.0)
        assert target.running_runs
        assert conn.reports[0].complete
        assert conn.reports[0].held == (1,)


@pytest.mark.parametrize(("began_s", "is_running"), [(0.0, False), (0.8, True)])
async def test_the_lease_of_an_entry_that_reconnects_counts_from_the_handshake(
    autojump_clock, runner, target, began_s, is_running
):
    """Guards against a lease renewed by a handshake that was read late.

    The agent may be suspended, while the last message of the handshake is in its
    socket.
    """
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        ordered_at = trio.current_time()
        await trio.sleep(0.1)
    conn = FakeConnection()
    conn.is_receiving = False
    conn.sent_at = ordered_at + began_s
    await trio.sleep(0.75)
    with attached(runner, conn):
        await trio.sleep(0.4)
        assert bool(target.running_runs) is is_running


@pytest.mark.parametrize("silence_s", [0.0, 0.5, 30.0])
async def test_starts_and_polls_renew_the_lease_of_the_target(
    autojump_clock, runner, target, silence_s
):
    """Guards against runs that lapse because their lease is not renewed in time."""
    await trio.sleep(silence_s)
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        for _ in range(30):
            await trio.sleep(0.1)
            assert 0.85 <= target.lease_end - trio.current_time() <= 1.0
    assert target.running_runs


@pytest.mark.parametrize(
    ("event", "code"),
    [
        ("cancelled", ResultCode.CANCELLED),
        ("lease expired", ResultCode.CANCELLED),
        ("entry restarted", ResultCode.CANCELLED),
        ("target lost", ResultCode.TARGET_UNREACHABLE),
    ],
)
async def test_a_start_whose_permission_has_ended_is_withheld(
    autojump_clock, runner, target, clock, event, code
):
    """Guards against a start that is sent although its run was given up meanwhile."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        # The worker is about to send the start.
        await trio.sleep(0.0005)
        if event == "cancelled":
            runner.stop_runs(session, [1])
        elif event == "lease expired":
            clock.suspended_s += 0.95
        elif event == "entry restarted":
            runner.attach(FakeConnection(incarnation=2))
        else:
            runner.supervisor.handle_departure(TARGET.incarnation_id)
        await trio.sleep(0.1)
        assert target.started == []
        assert runner.call_workers.starts_sent == 0
        assert runner.call_workers.starts_withheld == 1
        assert conn.ends[1].code == code
        assert conn.ends[1].run_state == RunState.NOT_RUN


async def test_a_delayed_start_is_refused_by_the_target(autojump_clock, runner, target):
    """Guards against two runs of a task after a start that was not answered."""
    target.starts_to_leave_unanswered = 1
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(1.0)
        assert conn.ends[1].code == ResultCode.OUTCOME_UNKNOWN
        assert conn.ends[1].run_state == RunState.NOT_RUN
        assert target.execute_unanswered_starts() == [StartResult.STALE_RUN]


async def test_a_run_stopped_before_its_unanswered_start_ends(
    autojump_clock, runner, target
):
    """Guards against leaking the capacity of a run that is stopped while starting."""
    target.starts_to_leave_unanswered = 1
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.0005)
        runner.stop_runs(session, [1])
        await trio.sleep(1.0)
        assert 1 in conn.ends
        assert conn.reports[-1].free == TARGET.capacity


async def test_a_resubmitted_task_gets_a_higher_run_number(
    autojump_clock, runner, target
):
    """Guards against a start refused as stale after a job is submitted again."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        for run_id in (1, 2):
            runner.order_runs(
                session, run_id, order_tasks(run_id, index=0), runner.clock()
            )
            await trio.sleep(0.1)
            target.end_run("j1.0.0.0")
            await trio.sleep(0.1)
    assert [run for _, run in target.started] == [1, 2]


async def test_a_run_refused_as_stale_is_renumbered(autojump_clock, runner, target):
    """Guards against a task that cannot be started after the agent has restarted.

    The new agent process does not know the run numbers that the target has seen.
    """
    target.refused_runs.add(("j1.0.0.1", 5))
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.2)
        assert len(target.running_runs) == 1


async def test_runs_end_when_the_target_is_replaced(autojump_clock, runner, target):
    """Guards against waiting for results of runs that ended with their target."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.running_runs.clear()
        target.incarnation_id = "t-2"
        runner.supervisor.handle_announcement(
            announcement(incarnation_id="t-2", started_ms=2000)
        )
        await trio.sleep(0.2)
        assert conn.ends[1].code == ResultCode.OUTCOME_UNKNOWN
        assert conn.reports[-1].accepting


async def test_runs_of_a_crashed_target_end_without_waiting_for_its_lease(
    autojump_clock, runner, target
):
    """Guards against runs held back, and further ones ordered, after a crash."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.crash()
        await trio.sleep(0.1)
        assert conn.ends[1].run_state == RunState.UNKNOWN
        assert not conn.reports[-1].accepting


async def test_a_single_refused_connection_ends_no_run(autojump_clock, runner, target):
    """Guards against ending the runs of a target whose listener was busy once."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.refusals = 1
        await trio.sleep(0.5)
        assert conn.ends == {}
        assert target.running_runs


async def test_runs_of_a_silent_target_end_after_its_lease_expires(
    autojump_clock, runner, target
):
    """Guards against reporting a run as ended while it may still be running."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.is_silent = True
        await trio.sleep(0.9)
        assert conn.ends == {}
        await trio.sleep(1.0)
        assert conn.ends[1].code == ResultCode.OUTCOME_UNKNOWN


async def test_a_slow_start_does_not_cause_many_polls(autojump_clock, runner, target):
    """Guards against polling the target in a tight loop.

    There is one poll for each wait of 0.4 s, one for the end and one to acknowledge it.
    """
    target.start_delay_s = 0.1
    polls = target.polls
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.3)
        target.end_run("j1.0.0.1")
        await trio.sleep(0.1)
    assert target.polls - polls <= 0.4 / runner.cfg.poll_wait + 2


async def test_runs_are_not_ended_while_unanswered_polls_may_renew_the_lease(
    autojump_clock, runner, target
):
    """Guards against a second run while unanswered polls renew the first lease."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.drops_poll_answers = True
        for _ in range(500):
            await trio.sleep(0.01)
            if 1 in conn.ends:
                break
        target.expire_lease()
        assert target.running_runs == {}


async def test_an_answer_from_an_earlier_takeover_is_ignored(
    autojump_clock, runner, target
):
    """Guards against ending runs of a new target on a late answer to an old call."""
    with attached(runner, FakeConnection()) as session:
        old = runner.supervisor.takeover
        target.incarnation_id = "t-2"
        runner.supervisor.handle_announcement(
            announcement(incarnation_id="t-2", started_ms=2000)
        )
        await trio.sleep(0.2)
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        runner.supervisor.handle_replacement(old, TargetReplaced("status 421"))
        assert runner.supervisor.takeover is not None
        assert list(session.runs) == [1]


@pytest.mark.parametrize("first_event", ["none", "message", "connection"])
async def test_the_lease_of_an_entry_expires_during_suspension(
    autojump_clock, runner, target, first_event
):
    """Guards against runs that resume after their entry has placed them elsewhere.

    The lease must count the time for which the host was suspended. A message that was
    sent before, or a new connection, must not renew a lease that has expired.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.15)
        conn.is_receiving = False
        runner.clock = lambda: trio.current_time() + 5.0
        if first_event == "message":
            runner.renew_lease(session, runner.clock())
        elif first_event == "connection":
            runner.attach(FakeConnection())
        await trio.sleep(0.2)
        assert target.running_runs == {}


async def test_a_delayed_announcement_is_ignored(autojump_clock, runner):
    """Guards against calls to a target that ended before the current one started."""
    runner.supervisor.handle_announcement(
        announcement(incarnation_id="t-0", started_ms=500)
    )
    assert runner.supervisor.target.incarnation_id == "t-1"


async def test_a_leaving_target_receives_no_runs(autojump_clock, runner, target):
    """Guards against starting runs on a target that is about to stop."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.supervisor.handle_announcement(announcement(sequence=2, leaving=True))
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        assert conn.ends[1].code == ResultCode.AGENT_LEAVING
        assert not conn.reports[-1].accepting
        assert target.started == []


async def test_a_new_agent_stops_leftover_runs_before_it_accepts_runs(
    autojump_clock, nursery, target
):
    """Guards against a free capacity that ignores the runs of an earlier agent."""
    target.running_runs["old.0.0.0", 1] = True
    target.lease_end = 100.0
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    runner.supervisor.handle_announcement(announcement())
    assert not runner.state().accepting
    await trio.sleep(0.3)
    assert target.running_runs == {}
    assert runner.state().accepting
    # A delayed start of the earlier agent has a lower fencing token.
    assert target.start("old.0.0.1", 1, 1) is StartResult.FENCED


async def test_a_new_agent_lists_its_runs_after_leftover_runs_ended(
    autojump_clock, nursery, target
):
    """Guards against placing a task elsewhere while its old run continues."""
    target.running_runs["old.0.0.0", 1] = 0.0
    target.lease_end = 100.0
    target.is_silent = True
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    conn = FakeConnection()
    with attached(runner, conn):
        runner.supervisor.handle_announcement(announcement())
        await trio.sleep(0.3)
        assert not any(report.complete for report in conn.reports)
        target.is_silent = False
        await trio.sleep(0.6)
        assert target.running_runs == {}
        assert any(report.complete for report in conn.reports)


@pytest.mark.parametrize("failure", ["failed", "unhealthy"])
async def test_a_target_that_fails_different_jobs_is_ejected(
    autojump_clock, runner, target, failure
):
    """Guards against a target that attracts jobs because it fails them quickly."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        if failure == "unhealthy":
            target.start_answer = StartResult.UNHEALTHY
        for number in (1, 2):
            runner.order_runs(
                session,
                number,
                order_tasks(number, job_id=f"j{number}"),
                runner.clock(),
            )
            await trio.sleep(0.05)
            if failure == "failed":
                target.end_run(f"j{number}.0.0.{number}", RunOutcome.FAILED)
                await trio.sleep(0.05)
        assert not conn.reports[-1].accepting
        await trio.sleep(1.0)
        # After the ejection, the target accepts one run as a probe.
        assert conn.reports[-1].accepting


async def test_repeated_failures_of_one_job_do_not_eject_the_target(
    autojump_clock, runner, target
):
    """Guards against a job that always fails ejecting every target."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        for number in (1, 2, 3):
            runner.order_runs(session, number, order_tasks(number), runner.clock())
            await trio.sleep(0.05)
            target.end_run(f"j1.0.0.{number}", RunOutcome.FAILED)
            await trio.sleep(0.05)
        assert conn.reports[-1].accepting


@pytest.mark.parametrize(
    ("stalled", "attempt", "ends"),
    [(True, 1, True), (False, 1, False), (True, 3, False)],
    ids=["stalled", "progressing", "stalled in earlier attempts"],
)
async def test_a_stalled_run_is_stopped(
    autojump_clock, runner, target, stalled, attempt, ends
):
    """Guards against a job that waits for a stalled run until its deadline."""
    conn = FakeConnection()
    target.stalled_tasks = {"j1.0.0.1"} if stalled else set()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1, attempt=attempt), runner.clock())
        await trio.sleep(2.0)
        assert (1 in conn.ends) is ends
        assert bool(target.running_runs) is not ends
        assert conn.reports[-1].accepting or ends


@pytest.mark.parametrize(
    ("readings", "clock_ms", "stalled"),
    [
        ([(0, 0), (10, 100)], 500, False),
        ([(0, 0), (10, 100)], 700, True),
        ([(0, 0), (1, 200), (2, 400)], 1300, False),
        ([(0, 0), (1, 200), (2, 400)], 1500, True),
        ([(5, 0), (3, 100)], 400, False),
    ],
    ids=["short pause", "stalled", "long task", "long task stalled", "out of order"],
)
def test_stall_detection_from_progress(readings, clock_ms, stalled):
    """Guards against stopping long tasks, whose percentage rarely changes."""
    progress = Progress(*readings[0])
    for reading in readings[1:]:
        progress.update(*reading)
    assert progress.is_stalled(clock_ms, 500) is stalled


MAX_REPORTS_PER_RUN = 6


@pytest.mark.parametrize("entry_count", [1, 16])
async def test_reports_of_a_run_do_not_grow_with_the_entries(
    autojump_clock, runner, target, entry_count
):
    """Guards against a message to each entry for each run of any of them."""
    conns = [FakeConnection(f"entry-{number}") for number in range(entry_count)]
    async with contextlib.AsyncExitStack() as stack:
        sessions = [stack.enter_context(attached(runner, conn)) for conn in conns]
        before = sum(len(conn.reports) for conn in conns)
        for number in range(10):
            runner.order_runs(
                sessions[0], number + 1, order_tasks(number + 1), runner.clock()
            )
            await trio.sleep(0.05)
            target.end_run(f"j1.0.0.{number + 1}")
            await trio.sleep(0.05)
        reports = sum(len(conn.reports) for conn in conns) - before
    assert len(conns[0].ends) == 10
    assert reports <= 10 * MAX_REPORTS_PER_RUN


async def test_all_entries_learn_when_the_target_stops_accepting_runs(
    autojump_clock, runner, target
):
    """Guards against orders to a target that is about to leave."""
    conns = [FakeConnection(f"entry-{number}") for number in range(3)]
    async with contextlib.AsyncExitStack() as stack:
        for conn in conns:
            stack.enter_context(attached(runner, conn))
        runner.supervisor.handle_announcement(announcement(sequence=2, leaving=True))
        await trio.sleep(0.01)
        assert [conn.reports[-1].accepting for conn in conns] == [False] * 3


@pytest.mark.parametrize("incarnation_id", ["t-1", "t-2"], ids=["same id", "other id"])
async def test_a_replaced_target_is_described_again(
    autojump_clock, runner, target, incarnation_id
):
    """Guards against placing tasks by what a target was before it was replaced."""
    conn = FakeConnection()
    with attached(runner, conn):
        target.incarnation_id = incarnation_id
        target.restart(2000)
        larger = Resources(16000, 2048, 0)
        runner.supervisor.handle_announcement(
            announcement(
                incarnation_id=incarnation_id,
                started_ms=2000,
                capacity=larger,
                service="die-orders",
                labels=("gpu",),
            )
        )
        await trio.sleep(0.3)
        descriptions = [
            report.description for report in conn.reports if report.description
        ]
        assert [item.target for item in descriptions] == ["t-1", incarnation_id]
        assert descriptions[-1].capacity == conn.reports[-1].free == larger
        assert descriptions[-1].service == "die-orders"
        assert descriptions[-1].labels == ("gpu",)


async def test_a_connection_is_active_while_runs_or_results_depend_on_it(
    autojump_clock, runner, target
):
    """Guards against detecting the loss of an entry late while it has runs here."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        assert not conn.is_active
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        assert conn.is_active
        await trio.sleep(0.1)
        target.end_run("j1.0.0.1")
        await trio.sleep(0.1)
        assert conn.is_active
        runner.acknowledge_ends(session, [1])
        assert not conn.is_active


@pytest.mark.parametrize("event", ["departed", "replaced"])
async def test_a_target_may_change_while_its_channels_are_closed(
    autojump_clock, nursery, event
):
    """Guards against an agent that ends because its target left at a bad moment."""

    class SlowlyClosingChannel(FakeChannel):
        async def aclose(self):
            await trio.sleep(0.1)

    class SlowlyClosingTarget(FakeTarget):
        def open_channel(self, incarnation, fencing_token):
            return SlowlyClosingChannel(self, incarnation, fencing_token)

    target = SlowlyClosingTarget()
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    for number in (1, 2):
        target.incarnation_id = f"t-{number}"
        runner.supervisor.handle_announcement(
            announcement(incarnation_id=f"t-{number}", started_ms=number * 1000)
        )
        await trio.sleep(0.3)
        with attached(runner, FakeConnection(incarnation=number)) as session:
            runner.order_runs(session, 1, order_tasks(1), runner.clock())
            await trio.sleep(0.02)
    if event == "departed":
        runner.supervisor.handle_departure("t-2")
    else:
        runner.supervisor.handle_announcement(
            announcement(incarnation_id="t-3", started_ms=9000)
        )
        target.incarnation_id = "t-3"
    await trio.sleep(0.5)
    assert (runner.supervisor.takeover is None) == (event == "departed")


@pytest.mark.parametrize(
    ("changes", "is_used"),
    [
        ({"sequence": 2}, False),
        ({"started_ms": 2000, "sequence": 1}, True),
        ({"sequence": 2, "clock_ms": 10_000}, True),
    ],
    ids=["delayed announcement", "started again under its id", "goes on"],
)
async def test_a_departed_target_is_not_used_again(
    autojump_clock, runner, target, changes, is_used
):
    """Guards against a delayed announcement that brings back a target that left.

    A target that goes on has not left: the departure was that of another process.
    """
    runner.supervisor.handle_departure("t-1")
    runner.supervisor.handle_announcement(announcement(**changes))
    await trio.sleep(0.3)
    assert (runner.supervisor.target is not None) == is_used
    assert (runner.supervisor.takeover is not None) == is_used


async def test_a_restarted_agent_does_not_use_a_leaving_target(
    autojump_clock, nursery, target
):
    """Guards against new runs on a target that left before its agent restarted."""
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), trio.current_time)
    nursery.start_soon(runner.run)
    runner.supervisor.handle_announcement(announcement(leaving=True))
    await trio.sleep(0.3)
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        assert not conn.reports[0].accepting
        assert conn.ends[1].run_state == RunState.NOT_RUN
    assert target.started == []


async def test_stopped_runs_name_their_jobs(
    autojump_clock, runner, target, monkeypatch
):
    """Guards against jobs that died with their entry and have no line in any log."""
    log = Mock()
    # Processes that other tests run in place replace the handlers that caplog needs.
    monkeypatch.setattr("hornbeamshore.runner.runner.log", log)
    runner.order_runs(
        runner.attach(FakeConnection(incarnation=1)),
        1,
        order_tasks(1, job_id="job-7"),
        runner.clock(),
    )
    await trio.sleep(0.1)
    runner.attach(FakeConnection(incarnation=2))
    message, *args = log.warning.call_args.args
    assert message % tuple(args) == (
        "runs stopped entry=entry-1 reason='entry restarted' runs=1 jobs=job-7"
    )


@pytest.mark.parametrize(
    ("lost_answers", "max_delay_s"), [("starts", 0.3), ("polls", 0.35)]
)
async def test_lost_answers_of_a_target_delay_a_run_briefly(
    autojump_clock, runner, target, lost_answers, max_delay_s
):
    """Guards against a target that stands idle while its agent waits for an answer.

    The objectives of short tasks leave 130 to 300 ms for all delays.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.2)
        if lost_answers == "starts":
            target.starts_to_leave_unanswered = 1
            runner.order_runs(session, 2, order_tasks(2), runner.clock())
        else:
            target.drops_poll_answers = True
            target.end_run("j1.0.0.1")
            await trio.sleep(0.05)
            target.drops_poll_answers = False
        ended_at = trio.current_time() + max_delay_s
        while set(conn.ends) != {2 if lost_answers == "starts" else 1}:
            assert trio.current_time() < ended_at
            await trio.sleep(0.01)


@pytest.mark.parametrize(
    ("age_s", "is_started"), [(0.0, True), (0.8, True), (1.0, False), (3.0, False)]
)
@pytest.mark.parametrize("reconnects", [False, True])
async def test_an_order_from_before_a_suspension_is_refused(
    autojump_clock, runner, target, age_s, is_started, reconnects
):
    """Guards against a run whose entry has given it up while the order was not read.

    A woken agent may read the order before or after it connects to the entry again.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        sent_at = runner.clock()
        conn.is_receiving = False
        await trio.sleep(age_s)
        if reconnects:
            session = runner.attach(conn)
        runner.renew_lease(session, sent_at)
        runner.order_runs(session, 1, order_tasks(1), sent_at)
        await trio.sleep(0.05)
        assert bool(target.running_runs) is is_started
        if not is_started:
            assert conn.ends[1].code == ResultCode.START_EXPIRED
            assert conn.ends[1].run_state == RunState.NOT_RUN


async def test_a_lease_counts_from_the_sending_of_a_message(
    autojump_clock, runner, target
):
    """Guards against runs that outlive their entry in an agent that reads late.

    The caller of a lost entry submits its job again after 1.3 s.
    """
    conn = FakeConnection()
    with attached(runner, conn) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        conn.is_receiving = False
        ended_at = runner.clock()
        for _ in range(12):
            await trio.sleep(0.1)
            runner.renew_lease(session, ended_at)
        assert not target.running_runs
