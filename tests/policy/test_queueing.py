"""Tests of the queue: urgency, entitlements, fair shares and starvation."""

import pytest

from hornbeamshore.base.types import JobKey
from hornbeamshore.config.model import Deployment, Kind, Service, Team, Urgency
from hornbeamshore.policy.queueing import FairQueue
from hornbeamshore.policy.runtimes import LearnedRunTimes
from hornbeamshore.policy.settings import QueueSettings, RunTimeSettings
from hornbeamshore.policy.types import QueuedTask

KINDS = {
    "u": Kind(urgency=Urgency.URGENT),
    "n": Kind(urgency=Urgency.NORMAL),
    "b": Kind(urgency=Urgency.BACKGROUND),
    "b3": Kind(urgency=Urgency.BACKGROUND, weight=3.0),
}
CAPACITY = 10.0


def _queue():
    run_times = LearnedRunTimes(RunTimeSettings(noise=0.0))
    for kind in KINDS:
        run_times.declare(kind, 0.1)
    queue = FairQueue(QueueSettings(), run_times)
    teams = {"t": Team("", 99), "other": Team("", 99)}
    queue.configure(Deployment("d", {"s": Service(KINDS)}, teams), "s")
    queue.update_entitlements(0.0, CAPACITY)
    return queue


def _add(queue, kind, count, now=0.0, job="j", attempt=1, deadline=60.0):
    key = JobKey("t", "s", job + kind)
    queue.add(
        [QueuedTask(key, i, attempt, "t", kind, deadline) for i in range(count)], now
    )
    return key


def _serve(queue, count, now=0.0):
    served = []
    for _ in range(count):
        flow = queue.pick(now)
        if flow is None:
            break
        served.append(queue.pop_task(flow, now))
    return served


def _kinds(tasks):
    return "".join(task.kind for task in tasks)


@pytest.mark.parametrize(
    ("arrivals", "expected"),
    [
        ([("b", 2), ("n", 2), ("u", 2)], "uunnbb"),
        ([("u", 1), ("b", 1), ("u", 1)], "uub"),
    ],
)
def test_urgent_first(arrivals, expected):
    """Guards against urgent tasks that wait for less urgent ones."""
    queue = _queue()
    for index, (kind, count) in enumerate(arrivals):
        _add(queue, kind, count, job=str(index))
    assert _kinds(_serve(queue, 9)) == expected


def test_small_job_overtakes_large_one():
    """Guards against a job of one task that waits for a job of 40 tasks."""
    queue = _queue()
    _add(queue, "n", 40, now=0.0, job="large")
    small = _add(queue, "n", 1, now=0.1, job="small")
    assert _serve(queue, 1, now=0.1)[0].key == small


def test_retry_is_served_first():
    """Guards against a retry that misses its deadline in the queue."""
    queue = _queue()
    _add(queue, "n", 3, job="first")
    retry = _add(queue, "n", 1, now=0.01, job="retry", attempt=2)
    assert _serve(queue, 1, now=0.01)[0].key == retry


@pytest.mark.parametrize("kind", ["u", "b"])
def test_flood_does_not_delay_other_flows(kind):
    """Guards against a flood that delays flows within their entitlements."""
    queue = _queue()
    others = [other for other in ("u", "n", "b") if other != kind]
    _add(queue, kind, 3000, job="flood")
    _serve(queue, 400)
    for index, other in enumerate(others):
        _add(queue, other, 20, job=f"other{index}")
    served = _kinds(_serve(queue, 60))
    assert all(served.count(other) == 20 for other in others)
    assert _kinds(_serve(queue, 50)) == kind * 50


def test_no_class_starves():
    """Guards against starvation of background tasks by urgent ones."""
    queue = _queue()
    queue.flow("t", "u")
    _add(queue, "b", 30)
    for _ in range(10):
        _add(queue, "u", 40, job="u")
    assert _kinds(_serve(queue, 200)).count("b") >= 5


def test_excess_is_shared_by_weight():
    """Guards against unfair shares of flooding flows with different weights."""
    queue = _queue()
    _add(queue, "b", 2000)
    _add(queue, "b3", 2000)
    _serve(queue, 500)
    served = _kinds(_serve(queue, 400)).count("b3")
    assert 280 <= served <= 320


def test_flood_does_not_raise_arrival_rate():
    """Guards against a flood that raises the entitlement of its flow."""
    queue = _queue()
    now = 0.0
    for step in range(400):
        now += 0.25
        flood = step >= 320
        _add(queue, "u", 200 if flood else 2, now=now, job=str(step))
        if flood:
            queue.record_overload(now)
        _serve(queue, 20, now)
        queue.update_entitlements(now, CAPACITY)
        if step == 319:
            before = queue.flow("t", "u").arrival_rate
    assert before == pytest.approx(8.0, rel=0.2)
    assert queue.flow("t", "u").arrival_rate < 1.2 * before


@pytest.mark.parametrize("removal", ["cancel", "expire"])
def test_removed_tasks_are_not_served(removal):
    """Guards against starting tasks of a cancelled or expired job."""
    queue = _queue()
    key = _add(queue, "n", 5, job="gone", deadline=1.0)
    kept = _add(queue, "n", 2, job="kept")
    served = _serve(queue, 1)
    removed = queue.cancel(key) if removal == "cancel" else queue.expire(1.0)
    assert len(removed) == 5 - (served[0].key == key)
    assert {task.key for task in _serve(queue, 9, now=1.0)} == {kept}
    assert queue.next_deadline() is None


def test_blocked_flow_is_restored():
    """Guards against a flow that stays excluded after its team was at its quota."""
    queue = _queue()
    _add(queue, "n", 2)
    queue.block(queue.pick(0.0))
    _add(queue, "n", 1, job="more")
    assert queue.pick(0.0) is None
    queue.unblock("t")
    assert len(_serve(queue, 9)) == 3


def test_unused_flows_are_removed():
    """Guards against memory growth with each new team and kind."""
    queue = _queue()
    _add(queue, "n", 1)
    queue.update_entitlements(1000.0, CAPACITY)
    assert len(queue.flows()) == 1
    _serve(queue, 1)
    queue.update_entitlements(1000.0, CAPACITY)
    assert not queue.flows()
