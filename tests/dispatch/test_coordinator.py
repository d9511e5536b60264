"""Jobs of an entry: outcomes, retries, lost agents, duplicates and rejections."""

import pytest
import trio
import trio.lowlevel

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.dispatch.model import JobSpec, Step
from hornbeamshore.wire.messages import Resources

from .conftest import CAPACITY, NEEDS, FakeAgent, Submission, job_of


async def test_a_job_is_answered_when_all_tasks_are_done(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against an answer before all tasks of the job are done."""
    submission = Submission(nursery, coordinator, job_of(2))
    await trio.sleep(0.05)
    first, second = agent.orders.values()
    assert {first.index, second.index} == {0, 1}
    agent.end()
    await trio.lowlevel.checkpoint()
    await trio.sleep(0.01)
    assert submission.outcome.code is ResultCode.OK
    assert coordinator.jobs == {}


async def test_a_step_waits_for_the_steps_before_it(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against tasks that start before the steps that they depend on."""
    steps = (Step(1, NEEDS, 0.1), Step(2, NEEDS, 0.1, after=(0,)))
    submission = Submission(nursery, coordinator, JobSpec("j1", "content", steps))
    await trio.sleep(0.05)
    assert [order.step for order in agent.orders.values()] == [0]
    agent.end()
    assert [order.step for order in agent.orders.values()] == [1, 1]
    agent.end()
    await trio.sleep(0.05)
    assert submission.outcome.code is ResultCode.OK


@pytest.mark.parametrize(
    ("code", "run_state", "outcomes"),
    [
        (ResultCode.TASK_FAILED, RunState.RAN, [None, ResultCode.TASK_FAILED]),
        (ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, [None, None, None]),
        (ResultCode.NO_FREE_SLOT, RunState.NOT_RUN, [None, None, None]),
    ],
    ids=["failed", "lost", "refused"],
)
async def test_runs_that_did_not_succeed(
    autojump_clock, nursery, coordinator, agent, code, run_state, outcomes
):
    """Guards against tasks that are not retried after a run without success.

    Only runs that the target reports as failed count towards the failure of a job.
    """
    submission = Submission(nursery, coordinator, job_of(1, estimate_s=2.0))
    for expected in outcomes:
        await trio.sleep(0.2)
        assert len(agent.orders) == 1
        agent.end(code, run_state)
        await trio.sleep(0.01)
        assert (submission.outcome and submission.outcome.code) == expected


@pytest.mark.parametrize(
    ("code", "run_state", "expected"),
    [
        (ResultCode.NO_FREE_SLOT, RunState.NOT_RUN, RunState.NOT_RUN),
        (ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, RunState.UNKNOWN),
    ],
)
async def test_a_late_job_is_refused_as_not_run_only_if_that_is_true(
    autojump_clock, nursery, coordinator, agent, code, run_state, expected
):
    """Guards against NOT_RUN for a job of which a task may have run."""
    submission = Submission(nursery, coordinator, job_of(1), deadline_s=0.5)
    await trio.sleep(0.02)
    agent.is_accepting = False
    agent.end(code, run_state)
    await trio.sleep(1.0)
    assert submission.outcome.run_state is expected


@pytest.mark.parametrize(
    ("free", "expected"),
    [(CAPACITY, RunState.UNKNOWN), (Resources(), RunState.NOT_RUN)],
    ids=["running", "waiting"],
)
async def test_a_job_ends_at_its_deadline(
    autojump_clock, nursery, coordinator, agent, free, expected
):
    """Guards against CANCELLED instead of DEADLINE_EXCEEDED at the deadline."""
    agent.report(free=free)
    spec = job_of(1, estimate_s=5.0)
    submission = Submission(nursery, coordinator, spec, deadline_s=0.5)
    await trio.sleep(1.0)
    assert submission.outcome.code is ResultCode.DEADLINE_EXCEEDED
    assert submission.outcome.run_state is expected
    assert agent.stopped == list(agent.orders)


async def test_the_log_names_runs_that_had_not_ended(
    autojump_clock, nursery, coordinator, agent, caplog
):
    """Guards against a log of a late job without the runs that it waited for."""
    with caplog.at_level("INFO", "absl"):
        Submission(nursery, coordinator, job_of(1, estimate_s=5.0), deadline_s=0.5)
        await trio.sleep(1.0)
    (line,) = [text for text in caplog.messages if "job answered" in text]
    assert line.endswith("runs=0.0@agent-1:open:500")


async def test_a_copy_ends_at_its_own_deadline(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a duplicate that waits until the deadline of the first job."""
    spec = job_of(1, estimate_s=5.0)
    Submission(nursery, coordinator, spec)
    await trio.sleep(0.05)
    copy = Submission(nursery, coordinator, spec, deadline_s=0.5)
    await trio.sleep(1.0)
    assert copy.outcome.code is ResultCode.DEADLINE_EXCEEDED
    assert copy.outcome.run_state is RunState.UNKNOWN
    assert agent.stopped == []


async def test_a_copy_outlives_the_deadline_of_the_first(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a duplicate that ends at the deadline of the first job."""
    Submission(nursery, coordinator, job_of(1, estimate_s=5.0), deadline_s=0.5)
    await trio.sleep(0.05)
    copy = Submission(nursery, coordinator, job_of(1, estimate_s=5.0))
    await trio.sleep(0.6)
    assert copy.outcome is None
    agent.end(ResultCode.CANCELLED)
    await trio.sleep(0.2)
    assert len(agent.orders) == 1
    agent.end()
    await trio.sleep(0.05)
    assert copy.outcome.code is ResultCode.OK


async def test_a_job_without_room_is_refused_when_it_can_only_be_late(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against jobs that wait until their deadline though they must be late."""
    agent.report(free=Resources())
    submission = Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.05)
    assert submission.outcome is None
    await trio.sleep(0.3)
    assert submission.outcome.code is ResultCode.OVERLOADED
    assert submission.outcome.run_state is RunState.NOT_RUN
    assert submission.outcome.retry_after_s > 0


async def test_nothing_of_a_refused_job_starts(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against runs that are ordered after their job was rejected."""
    agent.report(free=Resources())
    Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.02)
    coordinator.end_all()
    agent.report()
    assert agent.orders == {}


async def test_an_agent_is_used_once_it_has_listed_its_runs(
    autojump_clock, nursery, coordinator
):
    """Guards against orders to an agent before its runs are reconciled.

    Until then it may hold runs of an earlier connection that no job waits for.
    """
    agent = FakeAgent(coordinator, "agent-1")
    agent.report()
    Submission(nursery, coordinator, job_of(1, estimate_s=1.0))
    await trio.sleep(0.05)
    assert agent.orders == {}
    agent.report(held=())
    assert len(agent.orders) == 1
    # A later complete report may have been sent before the order was received.
    agent.is_accepting = False
    agent._received = 0
    agent.report(held=())
    assert len(agent.orders) == 1
    assert len(coordinator.jobs["j1"].runs) == 1


async def test_the_runs_of_a_caller_that_left_are_stopped(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against runs that continue after their caller has disconnected."""
    submission = Submission(nursery, coordinator, job_of(2))
    await trio.sleep(0.02)
    submission.scope.cancel()
    await trio.sleep(0.02)
    assert sorted(agent.stopped) == sorted(agent.orders)


async def test_a_copy_waits_until_the_runs_of_a_left_job_have_ended(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against concurrent runs of a task after its first caller disconnected."""
    left = Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.02)
    left.scope.cancel()
    copy = Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.05)
    assert len(agent.orders) == 1
    agent.end(ResultCode.CANCELLED)
    await trio.sleep(0.05)
    assert len(agent.orders) == 1
    agent.end()
    await trio.sleep(0.05)
    assert copy.outcome.code is ResultCode.OK


async def test_a_copy_of_a_job_in_progress_gets_its_answer(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a second run of a job that its caller submits again."""
    submissions = [Submission(nursery, coordinator, job_of(1)) for _ in range(2)]
    await trio.sleep(0.02)
    assert len(agent.orders) == 1
    agent.end()
    await trio.sleep(0.02)
    assert [item.outcome.code for item in submissions] == [ResultCode.OK] * 2


async def test_a_cancelled_job_does_not_run_again(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a delayed duplicate that runs after the cancellation."""
    submission = Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.02)
    assert coordinator.cancel("j1")
    await trio.sleep(0.02)
    assert submission.outcome.code is ResultCode.CANCELLED
    assert agent.stopped == [1]
    copy = Submission(nursery, coordinator, job_of(1))
    await trio.sleep(0.02)
    assert copy.outcome.code is ResultCode.CANCELLED


@pytest.mark.parametrize(
    ("incarnation", "held", "again_within_s"),
    [(1, (1,), None), (1, (), 0.5), (2, (), 0.5)],
    ids=["kept", "never received", "agent restarted"],
)
async def test_an_agent_that_reconnects(
    autojump_clock, nursery, coordinator, agent, incarnation, held, again_within_s
):
    """Guards against tasks that are lost or run twice after a connection is lost."""
    Submission(nursery, coordinator, job_of(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    await trio.sleep(0.2)
    again = FakeAgent(coordinator, "agent-1", incarnation)
    again.report(held=held)
    await trio.sleep(again_within_s or 4.0)
    assert len(again.orders) == (again_within_s is not None)


@pytest.mark.parametrize(
    ("incarnation", "expected"),
    [(1, RunState.NOT_RUN), (2, RunState.UNKNOWN)],
    ids=["never received", "agent restarted"],
)
async def test_a_refusal_after_a_lost_order_is_true(
    autojump_clock, nursery, coordinator, agent, incarnation, expected
):
    """Guards against NOT_RUN for a task that an agent started before it restarted."""
    submission = Submission(nursery, coordinator, job_of(1), deadline_s=1.0)
    await trio.sleep(0.02)
    agent.disconnect()
    again = FakeAgent(coordinator, "agent-1", incarnation)
    again.is_accepting = False
    again.report(held=())
    await trio.sleep(2.0)
    assert submission.outcome.run_state is expected


async def test_an_agent_that_never_lists_its_runs_is_given_up(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against tasks that wait forever for an agent that is not reconciled.

    A restarted agent that cannot reach its target never sends a complete report.
    """
    Submission(nursery, coordinator, job_of(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    FakeAgent(coordinator, "agent-1", 2)
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    await trio.sleep(coordinator.cfg.lease.agent_silence_s + 0.3)
    assert len(other.orders) == 1


async def test_tasks_of_a_lost_agent_run_elsewhere_once_they_have_stopped(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against a second run while the first may still execute."""
    Submission(nursery, coordinator, job_of(1, estimate_s=5.0))
    await trio.sleep(0.02)
    agent.disconnect()
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    await trio.sleep(coordinator.cfg.lease.agent_silence_s - 0.1)
    assert other.orders == {}
    await trio.sleep(0.3)
    assert len(other.orders) == 1


async def test_a_suspended_entry_reads_disconnects_before_it_starts_tasks(
    autojump_clock, nursery, agent, coordinator
):
    """Guards against runs for a caller that disconnected during a suspension."""
    suspended = 0.0
    coordinator._clock = lambda: trio.current_time() + suspended
    await trio.sleep(0.1)
    suspended = 5.0
    await trio.sleep(0.03)
    Submission(nursery, coordinator, job_of(1, estimate_s=5.0))
    await trio.sleep(0.02)
    assert agent.orders == {}
    await trio.sleep(0.2)
    assert len(agent.orders) == 1


@pytest.mark.parametrize(
    ("changes", "labels", "runs"),
    [
        ({"required_label": "gpu"}, ("a",), 0),
        ({"required_label": "gpu"}, ("gpu",), 3),
        ({"max_per_target": 2}, ("a",), 2),
    ],
)
async def test_tasks_keep_to_the_constraints_of_their_step(
    autojump_clock, nursery, coordinator, agent, changes, labels, runs
):
    """Guards against tasks on targets that violate the constraints of their step."""
    agent.labels = labels
    agent.report()
    Submission(nursery, coordinator, job_of(3, estimate_s=5.0, **changes))
    await trio.sleep(0.05)
    assert len(agent.orders) == runs


async def test_no_more_is_ordered_than_fits(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against orders that exceed the free capacity of the agent."""
    Submission(nursery, coordinator, job_of(10, estimate_s=5.0))
    await trio.sleep(0.05)
    assert len(agent.orders) == 4
