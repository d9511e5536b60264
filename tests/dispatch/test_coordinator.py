"""Tests of jobs: outcomes, retries, lost agents, duplicates and rejections."""

from dataclasses import replace

import pytest
import trio
import trio.lowlevel

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.dispatch.model import JobSpec, Step
from hornbeamshore.wire.messages import Resources, RunEnd

from .conftest import CAPACITY, NEEDS, QUEUE, FakeAgent, Submission, make_job


async def test_job_is_answered_when_all_tasks_are_done(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against an answer before all tasks of the job are done."""
    submission = Submission(nursery, coordinator, make_job(2))
    await trio.sleep(0.05)
    first, second = agent.orders.values()
    assert {first.index, second.index} == {0, 1}
    agent.end_runs()
    await trio.lowlevel.checkpoint()
    await trio.sleep(0.01)
    assert submission.outcome.code is ResultCode.OK
    assert coordinator.jobs == {}


async def test_step_waits_for_its_dependencies(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against tasks that start before the steps that they depend on."""
    steps = (Step(1, NEEDS, 0.1), Step(2, NEEDS, 0.1, depends_on=(0,)))
    submission = Submission(nursery, coordinator, JobSpec("j1", "content", steps))
    await trio.sleep(0.05)
    assert [order.step for order in agent.orders.values()] == [0]
    agent.end_runs()
    assert [order.step for order in agent.orders.values()] == [1, 1]
    agent.end_runs()
    await trio.sleep(0.05)
    assert submission.outcome.code is ResultCode.OK


@pytest.mark.parametrize(
    ("code", "run_state", "outcomes"),
    [
        (ResultCode.TASK_FAILED, RunState.RAN, [None, ResultCode.TASK_FAILED]),
        (ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, [None, None, None]),
        (ResultCode.NO_FREE_SLOT, RunState.NOT_RUN, [None, None, None]),
    ],
    ids=["failed", "outcome unknown", "not started"],
)
async def test_task_is_retried_after_unsuccessful_run(
    autojump_clock, nursery, coordinator, agent, code, run_state, outcomes
):
    """Guards against tasks that are not retried after a run without success.

    Only runs that the target reports as failed count towards the failure of a job.
    """
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=2.0))
    for expected in outcomes:
        await trio.sleep(0.2)
        assert len(agent.orders) == 1
        agent.end_runs(code, run_state)
        await trio.sleep(0.01)
        assert (submission.outcome and submission.outcome.code) == expected


@pytest.mark.parametrize(
    ("code", "run_state", "expected"),
    [
        (ResultCode.NO_FREE_SLOT, RunState.NOT_RUN, RunState.NOT_RUN),
        (ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, RunState.UNKNOWN),
    ],
)
async def test_run_state_of_rejected_late_job(
    autojump_clock, nursery, coordinator, agent, code, run_state, expected
):
    """Guards against NOT_RUN for a job of which a task may have run."""
    submission = Submission(nursery, coordinator, make_job(1), deadline_s=0.5)
    await trio.sleep(0.02)
    agent.is_accepting = False
    agent.end_runs(code, run_state)
    await trio.sleep(1.0)
    assert submission.outcome.run_state is expected


@pytest.mark.parametrize(
    ("free", "expected"),
    [(CAPACITY, RunState.UNKNOWN), (Resources(), RunState.NOT_RUN)],
    ids=["running", "waiting"],
)
async def test_job_ends_at_its_deadline(
    autojump_clock, nursery, coordinator, agent, free, expected
):
    """Guards against CANCELLED instead of DEADLINE_EXCEEDED at the deadline."""
    agent.report(free=free)
    spec = make_job(1, estimate_s=5.0)
    submission = Submission(nursery, coordinator, spec, deadline_s=0.5)
    await trio.sleep(1.0)
    assert submission.outcome.code is ResultCode.DEADLINE_EXCEEDED
    assert submission.outcome.run_state is expected
    assert agent.stopped_run_ids == list(agent.orders)


async def test_log_lists_unfinished_runs(
    autojump_clock, nursery, coordinator, agent, caplog
):
    """Guards against a log of a late job without the runs that it waited for."""
    with caplog.at_level("INFO", "absl"):
        Submission(nursery, coordinator, make_job(1, estimate_s=5.0), deadline_s=0.5)
        await trio.sleep(1.0)
    (line,) = [text for text in caplog.messages if "job answered" in text]
    assert line.endswith("runs=0.0@agent-1:open:500")


async def test_duplicate_ends_at_its_own_deadline(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a duplicate that waits until the deadline of the first job."""
    spec = make_job(1, estimate_s=5.0)
    Submission(nursery, coordinator, spec)
    await trio.sleep(0.05)
    duplicate = Submission(nursery, coordinator, spec, deadline_s=0.5)
    await trio.sleep(1.0)
    assert duplicate.outcome.code is ResultCode.DEADLINE_EXCEEDED
    assert duplicate.outcome.run_state is RunState.UNKNOWN
    assert agent.stopped_run_ids == []


async def test_duplicate_continues_after_deadline_of_first_job(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a duplicate that ends at the deadline of the first job."""
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0), deadline_s=0.5)
    await trio.sleep(0.05)
    duplicate = Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.6)
    assert duplicate.outcome is None
    agent.end_runs(ResultCode.CANCELLED)
    await trio.sleep(0.2)
    assert len(agent.orders) == 1
    agent.end_runs()
    await trio.sleep(0.05)
    assert duplicate.outcome.code is ResultCode.OK


async def test_job_that_must_be_late_is_rejected_without_free_capacity(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against jobs that wait until their deadline though they must be late."""
    agent.report(free=Resources())
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.05)
    assert submission.outcome is None
    await trio.sleep(0.3)
    assert submission.outcome.code is ResultCode.OVERLOADED
    assert submission.outcome.run_state is RunState.NOT_RUN
    assert submission.outcome.retry_after_s > 0


async def test_no_task_of_rejected_job_is_ordered(
    autojump_clock, nursery, coordinator, agent, shutdown
):
    """Guards against runs that are ordered after their job was rejected."""
    agent.report(free=Resources())
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    shutdown.begin(signalled_at=trio.current_time() - shutdown.cfg.answer_until)
    await trio.sleep(0.02)
    assert submission.outcome.code is ResultCode.DRAINING
    agent.report()
    assert agent.orders == {}


async def test_agent_is_used_after_its_first_complete_report(
    autojump_clock, nursery, coordinator
):
    """Guards against orders to an agent before its runs are reconciled.

    Until then it may hold runs of an earlier connection that no job waits for.
    """
    agent = FakeAgent(coordinator, "agent-1")
    agent.report()
    Submission(nursery, coordinator, make_job(1, estimate_s=1.0))
    await trio.sleep(0.05)
    assert agent.orders == {}
    agent.report(held=())
    assert len(agent.orders) == 1
    # A later complete report may have been sent before the order was received.
    agent.is_accepting = False
    agent._last_message_id = 0
    agent.report(held=())
    assert len(agent.orders) == 1
    assert len(coordinator.jobs["j1"].runs) == 1


async def test_runs_are_stopped_when_caller_disconnects(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against runs that continue after their caller has disconnected."""
    submission = Submission(nursery, coordinator, make_job(2))
    await trio.sleep(0.02)
    submission.scope.cancel()
    await trio.sleep(0.02)
    assert sorted(agent.stopped_run_ids) == sorted(agent.orders)


async def test_duplicate_waits_until_runs_of_abandoned_job_have_ended(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against concurrent runs of a task after its first caller disconnected."""
    abandoned = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    abandoned.scope.cancel()
    duplicate = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.05)
    assert len(agent.orders) == 1
    agent.end_runs(ResultCode.CANCELLED)
    await trio.sleep(0.05)
    assert len(agent.orders) == 1
    agent.end_runs()
    await trio.sleep(0.05)
    assert duplicate.outcome.code is ResultCode.OK


async def test_duplicate_of_job_in_progress_shares_its_outcome(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a second run of a job that its caller submits again."""
    submissions = [Submission(nursery, coordinator, make_job(1)) for _ in range(2)]
    await trio.sleep(0.02)
    assert len(agent.orders) == 1
    agent.end_runs()
    await trio.sleep(0.02)
    assert [item.outcome.code for item in submissions] == [ResultCode.OK] * 2


async def test_duplicate_of_cancelled_job_does_not_run(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a delayed duplicate that runs after the cancellation."""
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    assert coordinator.cancel("j1")
    await trio.sleep(0.02)
    assert submission.outcome.code is ResultCode.CANCELLED
    assert agent.stopped_run_ids == [1]
    duplicate = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    assert duplicate.outcome.code is ResultCode.CANCELLED


@pytest.mark.parametrize(
    ("incarnation", "held", "reordered_within_s"),
    [(1, (1,), None), (1, (), 0.5), (2, (), 0.5)],
    ids=["run still held", "order never received", "agent restarted"],
)
async def test_runs_are_reconciled_when_agent_reconnects(
    autojump_clock, nursery, coordinator, agent, incarnation, held, reordered_within_s
):
    """Guards against tasks that are lost or run twice after a connection is lost."""
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    await trio.sleep(0.2)
    reconnected = FakeAgent(coordinator, "agent-1", incarnation)
    reconnected.report(held=held)
    await trio.sleep(reordered_within_s or 4.0)
    assert len(reconnected.orders) == (reordered_within_s is not None)


@pytest.mark.parametrize(
    ("incarnation", "expected"),
    [(1, RunState.NOT_RUN), (2, RunState.UNKNOWN)],
    ids=["order never received", "agent restarted"],
)
async def test_run_state_after_lost_order(
    autojump_clock, nursery, coordinator, agent, incarnation, expected
):
    """Guards against NOT_RUN for a task that an agent started before it restarted."""
    submission = Submission(nursery, coordinator, make_job(1), deadline_s=1.0)
    await trio.sleep(0.02)
    agent.disconnect()
    reconnected = FakeAgent(coordinator, "agent-1", incarnation)
    reconnected.is_accepting = False
    reconnected.report(held=())
    await trio.sleep(2.0)
    assert submission.outcome.run_state is expected


async def test_agent_without_complete_report_is_expired(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against tasks that wait forever for an agent that is not reconciled.

    A restarted agent that cannot reach its target never sends a complete report.
    """
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    FakeAgent(coordinator, "agent-1", 2)
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    await trio.sleep(coordinator.cfg.lease.agent_stop_bound_s + 0.3)
    assert len(other.orders) == 1


async def test_tasks_of_lost_agent_are_placed_again_after_its_lease(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a second run while the first may still execute."""
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    await trio.sleep(coordinator.cfg.lease.agent_stop_bound_s - 0.1)
    assert other.orders == {}
    await trio.sleep(0.3)
    assert len(other.orders) == 1


@pytest.mark.parametrize(
    ("changes", "labels", "runs"),
    [
        ({"required_label": "gpu"}, ("a",), 0),
        ({"required_label": "gpu"}, ("gpu",), 3),
        ({"max_per_target": 2}, ("a",), 2),
    ],
)
async def test_placement_respects_constraints_of_step(
    autojump_clock, nursery, coordinator, agent, changes, labels, runs
):
    """Guards against tasks on targets that violate the constraints of their step."""
    agent.labels = labels
    agent.report(held=())
    Submission(nursery, coordinator, make_job(3, estimate_s=5.0, **changes))
    await trio.sleep(0.05)
    assert len(agent.orders) == runs


async def test_orders_do_not_exceed_free_capacity(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against orders that exceed the free capacity of the agent."""
    Submission(nursery, coordinator, make_job(10, estimate_s=5.0))
    await trio.sleep(0.05)
    assert len(agent.orders) == 4


async def test_a_job_whose_tasks_fail_in_one_report_is_answered(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against an error for a job that drains before its caller is answered."""
    queue = replace(QUEUE, max_failed_runs=1)
    submission = Submission(nursery, coordinator, make_job(2), queue)
    await trio.sleep(0.02)
    agent.end_runs(ResultCode.TASK_FAILED)
    await trio.sleep(0.02)
    assert submission.outcome.code is ResultCode.TASK_FAILED
    assert coordinator.jobs == {}


async def test_an_invalid_report_does_not_change_the_runs(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a half-processed report with values that do not exist."""
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.02)
    with pytest.raises(ValueError, match="99999"):
        agent.end_runs(code=99999)
    agent.disconnect()
    await trio.sleep(coordinator.cfg.lease.agent_stop_bound_s + 0.3)
    assert submission.outcome is None
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    await trio.sleep(0.1)
    other.end_runs()
    await trio.sleep(0.1)
    assert submission.outcome.code is ResultCode.OK


async def test_a_target_that_grows_again_is_used_again(
    autojump_clock, nursery, coordinator
):
    """Guards against a task that excludes a target for good while it has shrunk.

    The order crosses the report of the shrunk capacity.
    """
    agent = FakeAgent(coordinator, "agent-1")
    agent.report(held=())
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=2.0))
    await trio.sleep(0.05)
    run_id = next(iter(agent.orders))
    agent.sent.clear()
    small = Resources(1000, 4096, 0)
    end = RunEnd(run_id, int(ResultCode.NEVER_RUNNABLE), int(RunState.NOT_RUN))
    agent.report(end, free=small)
    await trio.sleep(0.5)
    assert not agent.orders
    agent.report(free=CAPACITY)
    await trio.sleep(0.05)
    assert len(agent.orders) == 1
    assert submission.outcome is None


@pytest.mark.parametrize(
    ("free", "is_avoided"),
    [(Resources(0, 4096, 0), False), (CAPACITY, True)],
    ids=["outdated view", "refused with free capacity"],
)
async def test_an_agent_that_refused_for_capacity_is_used_once_it_has_some(
    autojump_clock, nursery, coordinator, agent, free, is_avoided
):
    """Guards against avoiding a free agent, and against orders in a tight loop."""
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.02)
    (run_id,) = agent.orders
    agent.sent.clear()
    agent.report(
        RunEnd(run_id, int(ResultCode.NO_FREE_SLOT), int(RunState.NOT_RUN)), free=free
    )
    await trio.sleep(0.02)
    assert agent.orders == {}
    agent.report(free=CAPACITY)
    assert (agent.orders == {}) == is_avoided
    await trio.sleep(0.2)
    assert len(agent.orders) == 1


async def test_an_agent_that_reconnects_unnoticed_keeps_its_runs(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a second run of what an agent reports a moment later.

    The agent has found its connection silent before the entry has.
    """
    await trio.sleep(10.0)
    Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    await trio.sleep(0.02)
    (run_id,) = agent.orders
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    again = FakeAgent(coordinator, "agent-1")
    await trio.sleep(0.3)
    assert other.orders == {}
    again.report(held=(run_id,))
    await trio.sleep(3.0)
    assert other.orders == {}


async def test_a_deadline_that_passes_while_runs_are_ordered_is_answered(
    autojump_clock, nursery, coordinator, agent, monkeypatch
):
    """Guards against jobs that end in an error once their runs are ordered."""
    send = agent.send

    def send_slowly(body, **options):
        autojump_clock.jump(0.2)
        return send(body, **options)

    monkeypatch.setattr(agent, "send", send_slowly)
    outcome = await coordinator.submit(make_job(1), QUEUE, 0.1)
    assert outcome.code is ResultCode.DEADLINE_EXCEEDED
    assert outcome.run_state is RunState.UNKNOWN
