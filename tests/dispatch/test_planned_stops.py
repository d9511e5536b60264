"""Tests of jobs around the planned stop of their entry."""

from dataclasses import replace

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.wire.messages import Resources

from .conftest import QUEUE, SHUTDOWN, FakeAgent, Submission, make_job

DUE_S = SHUTDOWN.answer_until
NO_CAPACITY = Resources()


@pytest.mark.parametrize(
    ("submitted_at", "estimate_s", "retry_after_s"),
    [
        (0.1, 5.0, 2.2),
        (3.0, 2.0, 0.0),
        (4.7, 0.3, 0.0),
        (DUE_S - 0.01, 0.01, 0.0),
        (DUE_S + 0.2, 0.1, 0.0),
        (DUE_S + 5.0, 0.001, 0.0),
    ],
)
async def test_a_job_that_cannot_end_before_the_stop_is_refused_at_once(
    autojump_clock,
    nursery,
    coordinator,
    agent,
    shutdown,
    submitted_at,
    estimate_s,
    retry_after_s,
):
    """Guards against jobs that are taken after SIGTERM, started and given up."""
    shutdown.begin()
    await trio.sleep(submitted_at)
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=estimate_s))
    await trio.sleep(0.001)
    assert submission.outcome.code is ResultCode.DRAINING
    assert submission.outcome.run_state is RunState.NOT_RUN
    assert submission.outcome.retry_after_s == pytest.approx(retry_after_s, abs=0.01)
    assert agent.orders == {}
    assert coordinator.jobs == {}


@pytest.mark.parametrize(("submitted_at", "estimate_s"), [(0.1, 3.0), (4.4, 0.3)])
async def test_a_job_that_can_end_before_the_stop_is_served(
    autojump_clock, nursery, coordinator, agent, shutdown, submitted_at, estimate_s
):
    """Guards against a stopping entry that refuses what it can serve."""
    shutdown.begin()
    await trio.sleep(submitted_at)
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=estimate_s))
    await trio.sleep(estimate_s)
    agent.end_runs()
    await trio.sleep(0.001)
    assert submission.outcome.code is ResultCode.OK


async def test_a_waiting_job_is_refused_once_it_cannot_end_before_the_stop(
    autojump_clock, nursery, coordinator, agent, shutdown
):
    """Guards against callers that are held until the end of the process, untried."""
    shutdown.begin()
    agent.report(free=NO_CAPACITY)
    await trio.sleep(2.0)
    queue = replace(QUEUE, objective_s=60.0)
    spec = make_job(1, estimate_s=1.0)
    submission = Submission(nursery, coordinator, spec, queue, deadline_s=60.0)
    await trio.sleep(1.0)
    assert submission.outcome is None
    await trio.sleep(1.0)
    assert submission.outcome.code is ResultCode.DRAINING
    assert submission.outcome.run_state is RunState.NOT_RUN


async def test_a_job_is_not_started_on_an_agent_that_is_too_slow_for_the_stop(
    autojump_clock, nursery, coordinator, agent, shutdown
):
    """Guards against jobs that the fastest agent could end, but not the free one."""
    fast = FakeAgent(coordinator, "agent-2")
    fast.report(held=())
    for number in range(40):
        Submission(nursery, coordinator, make_job(1, f"learn-{number}", 1.0))
        await trio.sleep(0.01)
        agent.end_runs(run_time_s=2.0)
        fast.end_runs(run_time_s=0.5)
        await trio.sleep(0.01)
    fast.report(free=NO_CAPACITY)
    shutdown.begin()
    await trio.sleep(DUE_S - 1.1)
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=1.0))
    await trio.sleep(0.001)
    assert submission.outcome.code is ResultCode.DRAINING
    assert submission.outcome.run_state is RunState.NOT_RUN
    assert agent.orders == {}


@pytest.mark.parametrize(
    "is_duplicate", [False, True], ids=["running", "duplicate of a running job"]
)
async def test_open_jobs_are_answered_when_answers_are_due(
    autojump_clock, nursery, coordinator, agent, shutdown, is_duplicate
):
    """Guards against callers whose connections end without an answer."""
    submissions = [Submission(nursery, coordinator, make_job(1, estimate_s=1.0))]
    shutdown.begin()
    await trio.sleep(0.1)
    if is_duplicate:
        submissions.append(
            Submission(nursery, coordinator, make_job(1, estimate_s=1.0))
        )
    await trio.sleep(DUE_S - 0.2)
    assert [submission.outcome for submission in submissions] == [None] * len(
        submissions
    )
    await trio.sleep(0.3)
    for submission in submissions:
        assert submission.outcome.code is ResultCode.DRAINING
        assert submission.outcome.run_state is RunState.UNKNOWN
    assert agent.stopped_run_ids == list(agent.orders)


async def test_a_duplicate_of_a_job_whose_runs_do_not_stop_is_answered(
    autojump_clock, nursery, coordinator, agent, shutdown
):
    """Guards against copies that wait for the runs of a departed caller for ever."""
    first = Submission(nursery, coordinator, make_job(1, estimate_s=1.0))
    await trio.sleep(0.1)
    first.scope.cancel()
    await trio.sleep(0.1)
    duplicate = Submission(nursery, coordinator, make_job(1, estimate_s=1.0))
    shutdown.begin()
    await trio.sleep(DUE_S + 0.2)
    assert duplicate.outcome.code is ResultCode.DRAINING
    assert duplicate.outcome.run_state is RunState.UNKNOWN


@pytest.mark.parametrize("submitted_at", [0.1, 4.0])
async def test_a_job_that_an_agent_refused_is_not_started_late_in_a_stop(
    autojump_clock, nursery, coordinator, agent, shutdown, submitted_at
):
    """Guards against jobs that are started although they cannot end in time."""
    shutdown.begin()
    await trio.sleep(submitted_at)
    queue = replace(QUEUE, objective_s=60.0)
    spec = make_job(1, estimate_s=0.5)
    submission = Submission(nursery, coordinator, spec, queue, deadline_s=60.0)
    await trio.sleep(0.001)
    agent.report(free=NO_CAPACITY)
    agent.end_runs(ResultCode.NO_FREE_SLOT, RunState.NOT_RUN)
    agent.report(free=NO_CAPACITY)
    await trio.sleep(DUE_S - 0.1 - trio.current_time())
    agent.sent.clear()
    agent.report()
    await trio.sleep(0.001)
    assert agent.orders == {}
    assert submission.outcome is not None
    assert submission.outcome.code is ResultCode.DRAINING
    assert submission.outcome.run_state is RunState.NOT_RUN
