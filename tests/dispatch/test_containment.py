"""Tests of tasks that crash targets: evidence, isolation, confinement, giving up."""

from dataclasses import replace

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.dispatch.containment import Containment
from hornbeamshore.dispatch.evidence import RecentStarts, Suspicion
from hornbeamshore.dispatch.fleet import Fleet
from hornbeamshore.dispatch.jobs import Job
from hornbeamshore.dispatch.settings import ContainmentSettings
from hornbeamshore.wire.messages import LostRun, TargetLoss

from .conftest import CAPACITY, NEEDS, QUEUE, FakeAgent, Submission, make_job

CFG = ContainmentSettings()
# A task may be started twice more after three targets have crashed under it.
MAX_STARTS = 5
OTHER_QUEUE = replace(QUEUE, name="hold", prefix="/h/")


def crash(*runs):
    """Return the loss of a crashed target with runs of job, queue, age and trial."""
    return True, runs


def silence(*runs):
    """Return the loss of a target that was silent."""
    return False, runs


def record(evidence, losses, confined=(), times=None):
    for number, (crashed, runs) in enumerate(losses, 1):
        lost_runs = tuple(LostRun(job, 0, 0, *rest) for job, *rest in runs)
        loss = TargetLoss(number, crashed, 0, lost_runs)
        now = times[number - 1] if times else float(number)
        evidence.record_loss("agent-1", 1, loss, set(confined), now)


def first_task(job_id, queue=QUEUE):
    return Job(make_job(1, job_id), queue, 0.0).tasks[0][0]


YOUNG = ("j1", "check", 5, False)
OLD = ("j1", "check", 500, False)
UNCONFIRMED = ("j1", "check", -1, False)
UNCONFIRMED_OLD = ("j1", "check", -500, False)
TRIED = ("j2", "check", 5, True)


@pytest.mark.parametrize(
    ("losses", "confined", "expected"),
    [
        ([], (), Suspicion.NONE),
        ([crash(YOUNG)], (), Suspicion.SUSPECTED),
        ([crash(YOUNG), crash(YOUNG)], (), Suspicion.PROVEN),
        ([crash(UNCONFIRMED)], (), Suspicion.SUSPECTED),
        ([crash(UNCONFIRMED)] * 2, (), Suspicion.EXHAUSTED),
        ([crash(YOUNG), crash(UNCONFIRMED)], (), Suspicion.SUSPECTED),
        ([crash(UNCONFIRMED), crash(YOUNG), crash(YOUNG)], (), Suspicion.PROVEN),
        ([crash(UNCONFIRMED)] * 2 + [crash(YOUNG)], (), Suspicion.EXHAUSTED),
        ([crash(UNCONFIRMED), crash(OLD), crash(OLD)], (), Suspicion.SUSPECTED),
        ([crash(UNCONFIRMED_OLD)], (), Suspicion.NONE),
        ([crash(UNCONFIRMED_OLD)] * 4, (), Suspicion.SUSPECTED),
        ([crash(OLD)], (), Suspicion.NONE),
        ([crash(OLD), crash(OLD)], (), Suspicion.SUSPECTED),
        ([crash(OLD), crash(OLD), crash(OLD)], (), Suspicion.PROVEN),
        ([crash(YOUNG, YOUNG)], (), Suspicion.SUSPECTED),
        ([crash(OLD, OLD, OLD)], (), Suspicion.NONE),
        ([crash(UNCONFIRMED, YOUNG), crash(YOUNG)], (), Suspicion.PROVEN),
        ([silence(YOUNG)], (), Suspicion.NONE),
        ([silence(YOUNG, YOUNG)], (), Suspicion.NONE),
        ([silence(YOUNG)] * 2, (), Suspicion.SUSPECTED),
        ([silence(YOUNG)] * 4, (), Suspicion.SUSPECTED),
        ([silence(YOUNG)] * MAX_STARTS, (), Suspicion.EXHAUSTED),
        ([silence(YOUNG)] * 9, (), Suspicion.EXHAUSTED),
        ([crash(YOUNG, TRIED)] * 3, (), Suspicion.NONE),
        ([crash(YOUNG, ("j2", "hold", 9, False))], ("hold",), Suspicion.NONE),
        ([crash(YOUNG, ("j2", "hold", 9, False))], ("check",), Suspicion.SUSPECTED),
    ],
    ids=[
        "no loss",
        "started just before a crash",
        "twice started just before a crash",
        "start not confirmed",
        "two starts not confirmed",
        "one of two starts not confirmed",
        "one of three starts not confirmed",
        "two of three starts not confirmed",
        "one start not confirmed and two crashes long after the start",
        "stopped before a crash",
        "stopped before four crashes",
        "started long before a crash",
        "twice started long before a crash",
        "three crashes",
        "two runs in one crash",
        "three runs in one crash",
        "two runs, one of them confirmed",
        "silent target",
        "two runs at a silent target",
        "two silent targets",
        "four silent targets",
        "five silent targets",
        "many silent targets",
        "another task was on trial",
        "another queue is confined",
        "its own queue is confined",
    ],
)
def test_suspicion_of_a_task(losses, confined, expected):
    """Guards against innocent tasks that are given up, and deadly ones that are not."""
    evidence = RecentStarts(CFG)
    record(evidence, losses, confined)
    assert evidence.suspicion(first_task("j1")) is expected


def test_a_loss_that_is_reported_again_counts_once():
    """Guards against a double count after a connection of an agent is replaced."""
    evidence = RecentStarts(CFG)
    for _ in range(2):
        record(evidence, [crash(YOUNG)])
    assert evidence.suspicion(first_task("j1")) is Suspicion.SUSPECTED


def confirm(loss):
    """Return the report that a silent target has crashed, perhaps after the runs."""
    runs = tuple(replace(run, age_ms=-1 - run.age_ms) for run in loss.runs)
    return replace(loss, crashed=True, runs=runs)


@pytest.mark.parametrize(
    ("runs", "loss_count", "expected"),
    [
        ([YOUNG], 1, (Suspicion.SUSPECTED, Suspicion.NONE)),
        ([YOUNG], 2, (Suspicion.EXHAUSTED, Suspicion.NONE)),
        ([OLD], 1, (Suspicion.NONE, Suspicion.NONE)),
        ([OLD], 2, (Suspicion.SUSPECTED, Suspicion.NONE)),
        ([OLD], 3, (Suspicion.SUSPECTED, Suspicion.NONE)),
        ([YOUNG, TRIED], 1, (Suspicion.NONE, Suspicion.SUSPECTED)),
        ([YOUNG, TRIED], 3, (Suspicion.NONE, Suspicion.EXHAUSTED)),
    ],
    ids=[
        "started just before",
        "twice started just before",
        "started long before",
        "twice started long before",
        "three times started long before",
        "another task was on trial",
        "another task was on trial three times",
    ],
)
@pytest.mark.parametrize("is_known_at_once", [True, False])
def test_a_silent_target_that_has_crashed_counts_once(
    runs, loss_count, expected, is_known_at_once
):
    """Guards against a crash without a sign that counts never, or twice.

    An entry comes to the same result whenever it learns of the crash.
    """
    evidence = RecentStarts(CFG)
    lost_runs = tuple(LostRun(job, 0, 0, *rest) for job, *rest in runs)
    for number in range(1, loss_count + 1):
        loss = TargetLoss(number, False, 0, lost_runs)
        reports = [confirm(loss)] * 2
        if not is_known_at_once:
            reports = [loss, *reports, loss]
        for report in reports:
            evidence.record_loss("agent-1", 1, report, set(), float(number))
    suspicions = [evidence.suspicion(first_task(job_id)) for job_id in ("j1", "j2")]
    assert tuple(suspicions) == expected


def test_a_task_that_has_succeeded_is_not_suspected_for_an_earlier_silence():
    """Guards against blame for a crash that becomes known after a success."""
    evidence = RecentStarts(CFG)
    loss = TargetLoss(1, False, 0, (LostRun("j1", 0, 0, "check", 5, False),))
    evidence.record_loss("agent-1", 1, loss, set(), 1.0)
    evidence.record_success(first_task("j1"))
    evidence.record_loss("agent-1", 1, confirm(loss), set(), 3.0)
    assert evidence.suspicion(first_task("j1")) is Suspicion.NONE


def test_targets_that_fall_silent_together_confine_no_queue():
    """Guards against the loss of a rack that is noticed over tenths of a second."""
    evidence = RecentStarts(CFG)
    for number in range(6):
        run = LostRun(f"j{number}", 0, 0, "check", 5, False)
        loss = TargetLoss(number, False, 0, (run,))
        for report in (loss, confirm(loss)):
            evidence.record_loss("agent-1", 1, report, set(), number / 10)
    assert evidence.crashes_under("check") == []


def test_a_task_that_succeeds_is_cleared():
    """Guards against tasks that stay suspected although a run has succeeded."""
    evidence = RecentStarts(CFG)
    record(evidence, [crash(YOUNG)])
    evidence.record_success(first_task("j1"))
    assert evidence.suspicion(first_task("j1")) is Suspicion.NONE


@pytest.mark.parametrize(
    ("age_ms", "other_age_ms"),
    [(5, 20), (0, 1), (-1, 0), (5, -9), (-6, 8)],
    ids=["younger", "just started", "open start", "older stopped", "younger stopped"],
)
def test_the_youngest_suspect_is_the_likeliest(age_ms, other_age_ms):
    """Guards against trials that begin with the task that crashes targets."""
    evidence = RecentStarts(CFG)
    runs = [("j1", "check", age_ms, False), ("j2", "check", other_age_ms, False)]
    record(evidence, [crash(*runs)])
    likelihood, other_likelihood = map(
        evidence.likelihood, (first_task("j1"), first_task("j2"))
    )
    assert likelihood > other_likelihood


def crashes_of_jobs(*job_ids, queue="check", trial=False):
    return [crash((job_id, queue, 5, trial)) for job_id in job_ids]


@pytest.mark.parametrize(
    ("losses", "times", "agent_count", "confined_at"),
    [
        (crashes_of_jobs("a", "b", "c"), [1, 2, 3], 11, {3: True, 8: True, 10: False}),
        (crashes_of_jobs("a", "b", "c"), [1, 2, 9], 11, {9: False}),
        (crashes_of_jobs("a", "b", "c"), [1, 2, 3], 100, {3: False}),
        (crashes_of_jobs("a", "a", "a"), [1, 2, 3], 11, {3: False}),
        (
            [*crashes_of_jobs("a", "b"), *crashes_of_jobs("b", trial=True)],
            [1, 2, 3],
            11,
            {3: True},
        ),
        (crashes_of_jobs("a", "b", "c"), [1, 1.01, 1.02], 11, {2: False}),
        (crashes_of_jobs("a", "b", "c", "d"), [1, 2, 3, 8.5], 11, {14: True}),
        (
            [crash(("a", "check", 5, False), ("b", "hold", 5, False))] * 3,
            [1, 2, 3],
            11,
            {3: False},
        ),
    ],
    ids=[
        "three jobs",
        "three jobs over a long time",
        "few crashes in a large fleet",
        "one job",
        "two jobs and a trial",
        "one cause",
        "a further crash",
        "suspects of two queues",
    ],
)
def test_confinement_of_a_queue(losses, times, agent_count, confined_at):
    """Guards against queues that take down the fleet, or are confined for no reason."""
    fleet = Fleet("perth")
    for number in range(agent_count):
        fleet.agents[f"agent-{number}"] = StaticAgent(f"agent-{number}")
    evidence = RecentStarts(CFG)
    containment = Containment(CFG, fleet, evidence)
    record(evidence, losses, times=times)
    containment.update("check", QUEUE.service, float(times[-1]))
    assert {
        at: containment.is_confined(QUEUE, float(at)) for at in confined_at
    } == confined_at


class StaticAgent:
    """Agent with a description, as far as pools look at it."""

    def __init__(self, agent_id):
        self.agent_id = agent_id
        self.description = QUEUE
        self.runs = {}


@pytest.mark.parametrize(
    ("is_confined", "max_share"), [(True, 0.2), (False, 0.5)], ids=["confined", "not"]
)
@pytest.mark.parametrize("agent_count", [1, 2, 3, 11, 160])
def test_pools_leave_most_agents_to_other_queues(agent_count, is_confined, max_share):
    """Guards against suspects that can use no agent, or most of the fleet."""
    fleet = Fleet("perth")
    for number in range(agent_count):
        fleet.agents[f"agent-{number}"] = StaticAgent(f"agent-{number}")
    evidence = RecentStarts(CFG)
    containment = Containment(CFG, fleet, evidence)
    if is_confined:
        job_ids = [f"d{number}" for number in range(10)]
        times = [number / 10 for number in range(10)]
        record(evidence, crashes_of_jobs(*job_ids), times=times)
        containment.update(QUEUE.name, QUEUE.service, 1.0)
    task = first_task("j1")
    task.isolated = True
    admitting = [
        view for view in fleet.agents.values() if containment.admits(task, view, 1.0)
    ]
    least = 1 if is_confined else 2
    assert 1 <= len(admitting) <= max(least, agent_count * max_share)


@pytest.fixture
def agents(coordinator):
    connected = [FakeAgent(coordinator, f"agent-{number}") for number in range(5)]
    for agent in connected:
        agent.report(held=())
    return connected


def isolated_orders(agents):
    """Return the isolated orders of each agent that has any."""
    orders = [
        [order for order in agent.orders.values() if order.isolated] for agent in agents
    ]
    return [group for group in orders if group]


def agent_with_order(agents):
    return next((agent for agent in agents if agent.orders), None)


@pytest.mark.parametrize(
    ("ages_ms", "code", "run_state"),
    [
        ((1, 1), ResultCode.TARGET_CRASHED, RunState.RAN),
        ((-1, 1, 1), ResultCode.TARGET_CRASHED, RunState.RAN),
        ((1, -1, 1), ResultCode.TARGET_CRASHED, RunState.RAN),
        ((-1, 1, -1), ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
        ((-1, -1), ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    ],
    ids=[
        "two crashes",
        "first start not confirmed",
        "second start not confirmed",
        "one start confirmed",
        "no start confirmed",
    ],
)
async def test_a_task_that_crashes_its_targets_fails_its_job(
    autojump_clock, nursery, coordinator, agents, ages_ms, code, run_state
):
    """Guards against a task that is started again on target after target.

    A job is failed only for two targets that have certainly crashed under one task.
    """
    submission = Submission(nursery, coordinator, make_job(1))
    is_isolated = False
    for age_ms in ages_ms:
        await trio.sleep(0.2)
        assert submission.outcome is None
        agent = agent_with_order(agents)
        assert [order.isolated for order in agent.orders.values()] == [is_isolated]
        agent.lose_target(age_ms)
        is_isolated = True
    await trio.sleep(0.2)
    assert submission.outcome.code is code
    assert submission.outcome.run_state is run_state
    assert agent_with_order(agents) is None


async def test_a_task_that_crashes_silent_targets_is_not_started_again(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against a suspect that is started after its crashes are known.

    It may be innocent, so its job is not said to have failed.
    """
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=5.0))
    losses = []
    for _ in range(2):
        await trio.sleep(0.2)
        agent = agent_with_order(agents)
        losses.append((agent, agent.lose_target(crashed=False)))
    await trio.sleep(0.2)
    on_trial = agent_with_order(agents)
    for agent in agents:
        agent.is_accepting = False
        agent.report()
    on_trial.lose_target(crashed=False)
    for agent, loss in losses:
        assert submission.outcome is None
        agent.report(losses=(confirm(loss),))
    await trio.sleep(0.01)
    assert submission.outcome.code is ResultCode.OUTCOME_UNKNOWN
    assert submission.outcome.run_state is RunState.UNKNOWN


async def test_starts_on_silent_targets_are_bounded(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against a task that takes down target after target, none of which returns.

    Silence proves no crash, so the job is not said to have failed, nor is a copy of it.
    """
    for _ in range(2):
        submission = Submission(nursery, coordinator, make_job(1, estimate_s=0.5))
        await trio.sleep(0.05)
        while (agent := agent_with_order(agents)) is not None:
            agent.lose_target(crashed=False)
            await trio.sleep(0.2)
        await trio.sleep(5.0)
        assert submission.outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert submission.outcome.run_state is RunState.UNKNOWN
    assert sum(agent.loss_count for agent in agents) == MAX_STARTS


async def test_suspects_run_one_at_a_time_on_a_target(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against a crash in a trial that could be due to either of two tasks."""
    for agent in agents[1:]:
        agent.is_accepting = False
        agent.report()
    submissions = [
        Submission(nursery, coordinator, make_job(1, f"j{number}", estimate_s=5.0))
        for number in range(12)
    ]
    await trio.sleep(0.05)
    assert len(agents[0].orders) == CAPACITY.cpu_millis // NEEDS.cpu_millis
    agents[0].lose_target()
    for agent in agents[1:]:
        agent.is_accepting = True
        agent.report()
    await trio.sleep(0.05)
    suspects = isolated_orders(agents)
    assert suspects
    assert max(map(len, suspects)) == 1
    await trio.sleep(2 * CFG.trial_time)
    assert max(map(len, isolated_orders(agents))) > 1
    assert {submission.outcome for submission in submissions} == {None}


async def test_other_jobs_do_not_wait_for_a_suspect(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against a suspect that holds up its queue until an agent is free."""
    Submission(nursery, coordinator, make_job(1, "suspect", estimate_s=5.0))
    await trio.sleep(0.05)
    agent_with_order(agents).lose_target()
    await trio.sleep(0.2)
    tried = []
    while (on_trial := agent_with_order(agents)) is not None:
        tried.append(on_trial)
        on_trial.lose_target(crashed=False)
        on_trial.is_accepting = False
        on_trial.report()
        await trio.sleep(0.2)
    assert len(tried) < len(agents)
    Submission(nursery, coordinator, make_job(1, "other"))
    await trio.sleep(0.05)
    assert agent_with_order(agents) not in (None, *tried)


@pytest.mark.parametrize("labelled", range(5))
async def test_a_suspect_is_tried_on_an_agent_with_its_label(
    autojump_clock, nursery, coordinator, agents, labelled
):
    """Guards against suspects for which no agent set apart has the required label."""
    for number, agent in enumerate(agents):
        agent.labels = ("ssd",) if number == labelled else ("a",)
        agent.report(held=())
    job = make_job(1, required_label="ssd", estimate_s=1.0)
    Submission(nursery, coordinator, job)
    await trio.sleep(0.05)
    agents[labelled].lose_target()
    await trio.sleep(0.2)
    assert [order.isolated for order in agents[labelled].orders.values()] == [True]


async def test_a_suspect_that_is_not_tried_in_time_is_answered_as_unknown(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against a job held until its deadline, or said not to have run."""
    submission = Submission(nursery, coordinator, make_job(1))
    await trio.sleep(0.05)
    for agent in agents:
        agent.is_accepting = False
        if not agent.orders:
            agent.report()
    agent_with_order(agents).lose_target()
    await trio.sleep(1.0)
    assert submission.outcome.code is ResultCode.OUTCOME_UNKNOWN
    assert submission.outcome.run_state is RunState.UNKNOWN


@pytest.mark.parametrize(
    ("crash_count", "age_ms", "code", "run_state"),
    [
        (1, 1, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
        (2, 1, ResultCode.TARGET_CRASHED, RunState.RAN),
        (2, -1, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    ],
)
async def test_a_copy_of_a_job_at_another_entry(
    autojump_clock, nursery, coordinator, agents, crash_count, age_ms, code, run_state
):
    """Guards against evidence that is lost with the entry that ran the job.

    The agents tell each entry about the losses of runs that other entries ordered.
    """
    run = LostRun("j1", 0, 0, QUEUE.name, age_ms)
    for agent in agents[:crash_count]:
        agent.report(held=(), losses=(TargetLoss(1, True, 0, (run,)),))
    for agent in agents:
        agent.is_accepting = False
        agent.report()
    submission = Submission(nursery, coordinator, make_job(1, "j1"))
    await trio.sleep(1.0)
    assert submission.outcome.code is code
    assert submission.outcome.run_state is run_state


async def test_callers_of_a_confined_queue_are_asked_to_wait_for_its_targets(
    autojump_clock, nursery, coordinator, agents
):
    """Guards against callers that come back before a crashed target can."""
    for number, agent in enumerate(agents[:3]):
        await trio.sleep(0.1)
        run = LostRun(f"d{number}", 0, 0, QUEUE.name, 1)
        agent.report(held=(), losses=(TargetLoss(1, True, 0, (run,)),))
    for agent in agents:
        agent.is_accepting = False
        agent.report()
    refused = Submission(nursery, coordinator, make_job(1, "j1"))
    other = Submission(nursery, coordinator, make_job(1, "j2"), OTHER_QUEUE)
    await trio.sleep(1.0)
    assert refused.outcome.retry_after_s == CFG.confinement_retry_after
    assert other.outcome.retry_after_s == coordinator.cfg.retry_after
