"""Tests of the scheduler: limits, slot accounting, admission and wakeups."""

import random

import pytest

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.types import JobKey
from hornbeamshore.config.model import Deployment, Kind, Service, Team
from hornbeamshore.policy.scheduler import Scheduler
from hornbeamshore.policy.settings import PolicySettings
from hornbeamshore.policy.types import JobLoad, Outcome, QueuedTask, TargetInfo

KINDS = {"k": Kind(), "gpu": Kind(requires=("gpu",))}


def _scheduler(targets=2, quota=99, partitions=1):
    scheduler = Scheduler(PolicySettings(), random.Random(1))
    service = Service(KINDS, partitions=partitions)
    deployment = Deployment("d", {"s": service}, {"t": Team("", quota)})
    scheduler.configure(deployment, "s")
    for index in range(targets):
        scheduler.add_target(TargetInfo(f"a{index}", "", "r", 8))
    return scheduler


def _enqueue(scheduler, count, kind="k", job="1", now=0.0, deadline=30.0):
    key = JobKey("t", "s", job)
    tasks = [QueuedTask(key, index, 1, "t", kind, deadline) for index in range(count)]
    scheduler.enqueue(tasks, now)
    return key


@pytest.mark.parametrize(
    ("quota", "partitions", "started"), [(99, 1, 16), (5, 1, 5), (5, 2, 3), (0, 1, 0)]
)
def test_slot_and_quota_limits(quota, partitions, started):
    """Guards against starting more tasks than the slots or the quota allow."""
    scheduler = _scheduler(quota=quota, partitions=partitions)
    _enqueue(scheduler, 30)
    first = scheduler.assign(0.0)
    assert len(first) == started
    for assignment in first[:2]:
        scheduler.record_outcome(
            assignment.agent_id, assignment.task, Outcome.OK, 0.1, 0.1
        )
    assert len(scheduler.assign(0.1)) == min(2, started)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_slot_is_released_once(outcome):
    """Guards against slots leaked or released twice by duplicate reports."""
    scheduler = _scheduler(targets=1)
    _enqueue(scheduler, 1)
    (assignment,) = scheduler.assign(0.0)
    for _ in range(2):
        scheduler.record_outcome(
            assignment.agent_id, assignment.task, outcome, 0.5, 0.5
        )
    status = scheduler.snapshot(0.5)
    assert (status.busy, status.flows[0].running) == (0, 0)
    changed = status.targets[0].slowness != 1.0
    assert changed == (outcome is Outcome.OK)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.LOST])
def test_debt_of_long_tasks_is_limited(outcome):
    """Guards against a flow served last for long after tasks on a stalled target."""
    scheduler = _scheduler()
    _enqueue(scheduler, 16)
    started = scheduler.assign(0.0)
    for assignment in started:
        scheduler.record_outcome(
            assignment.agent_id, assignment.task, outcome, 15.0, 15.0
        )
    _enqueue(scheduler, 400, job="flood", now=15.0)
    _enqueue(scheduler, 4, job="later", now=15.0)
    scheduler.assign(15.0)
    (flow,) = scheduler._queue.flows()
    assert flow.tokens >= -2 * flow.entitlement


@pytest.mark.parametrize("removal", ["drain", "remove"])
def test_leaving_target(removal):
    """Guards against new tasks on a leaving target, and wrong slot counts after it."""
    scheduler = _scheduler(targets=1)
    _enqueue(scheduler, 9)
    first = scheduler.assign(0.0)
    if removal == "drain":
        scheduler.set_draining("a0")
    else:
        tasks = scheduler.remove_target("a0")
        assert set(tasks) == {assignment.task for assignment in first}
    for assignment in first:
        scheduler.record_outcome("a0", assignment.task, Outcome.OK, 0.1, 0.1)
    assert scheduler.assign(0.1) == ()
    assert scheduler.snapshot(0.1).busy == 0
    scheduler.add_target(TargetInfo("a0", "", "r", 8))
    assert len(scheduler.assign(0.2)) == 1


def test_adopted_tasks_occupy_slots():
    """Guards against more tasks than slots on a target after a takeover."""
    scheduler = _scheduler(targets=1)
    key = JobKey("t", "s", "old")
    for index in [*range(6), 0, 1]:
        scheduler.record_running("a0", QueuedTask(key, index, 1, "t", "k", 30.0), 0.0)
    _enqueue(scheduler, 9)
    assert len(scheduler.assign(0.0)) == 2


@pytest.mark.parametrize(
    ("targets", "kind", "team", "count", "timeout_s", "code"),
    [
        (2, "k", "t", 4, 10.0, None),
        (0, "k", "t", 4, 10.0, ResultCode.NO_TARGETS),
        (2, "gpu", "t", 4, 10.0, ResultCode.NEVER_RUNNABLE),
        (2, "k", "stranger", 4, 10.0, ResultCode.QUOTA_EXCEEDED),
        (2, "k", "t", 320, 1.0, ResultCode.DEADLINE_UNREACHABLE),
        (2, "k", "t", 4, 0.01, ResultCode.DEADLINE_UNREACHABLE),
    ],
)
def test_admission(targets, kind, team, count, timeout_s, code):
    """Guards against accepting tasks that cannot run, and refusing those that can."""
    scheduler = _scheduler(targets)
    _enqueue(scheduler, 4, job="learn")
    for assignment in scheduler.assign(0.0):
        scheduler.record_outcome(
            assignment.agent_id, assignment.task, Outcome.OK, 0.2, 0.2
        )
    load = JobLoad(JobKey(team, "s", "2"), team, kind, count, timeout_s)
    refusal = scheduler.admit(load, 0.3)
    assert (refusal and refusal.code) == code


def test_wakeup_with_queued_tasks():
    """Guards against queued tasks that are never checked again without an event."""
    scheduler = _scheduler(targets=1)
    assert scheduler.next_wakeup(0.0) is None
    _enqueue(scheduler, 9, deadline=5.0)
    scheduler.assign(0.0)
    assert 0.0 < scheduler.next_wakeup(0.0) <= 5.0
    assert len(scheduler.expire(5.0)) == 1


def test_counters_match_running_tasks():
    """Guards against counters that diverge from the number of running tasks."""
    rng = random.Random(7)
    scheduler = _scheduler(targets=4, quota=20)
    running = []
    for step in range(3000):
        now = step * 0.01
        if rng.random() < 0.4:
            _enqueue(scheduler, rng.randint(1, 6), job=str(step), now=now)
        if rng.random() < 0.05:
            scheduler.cancel(JobKey("t", "s", str(rng.randrange(step + 1))))
        scheduler.expire(now)
        running += scheduler.assign(now)
        assert len(running) <= 20
        rng.shuffle(running)
        for assignment in [running.pop() for _ in range(min(len(running), 2))]:
            outcome = rng.choice([Outcome.OK] * 9 + list(Outcome))
            scheduler.record_outcome(
                assignment.agent_id, assignment.task, outcome, 0.1, now
            )
        assert scheduler.snapshot(now).busy == len(running)
