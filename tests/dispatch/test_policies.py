"""Tests of placement on agents, scheduling order of jobs, and routing."""

import itertools
from dataclasses import replace

import pytest
import trio

from hornbeamshore.dispatch.jobs import Job
from hornbeamshore.dispatch.model import Queue, Routing
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.dispatch.waiting import FairShareOrder
from hornbeamshore.wire.messages import Resources, RunTasks

from .conftest import CAPACITY, NEEDS, QUEUE, FakeAgent, Submission, make_job

NO_FREE_CPU = Resources(0, 4096, 0)


@pytest.mark.parametrize(
    ("ratios", "free", "is_kept_waiting"),
    [
        ((2.2, 1.0, 1.0), (True, False, False), False),
        ((2.2, 2.2, 1.0), (True, True, False), False),
        ((20.0, 1.0, 1.0), (True, False, False), True),
    ],
    ids=["slower than median", "same as median", "degraded"],
)
async def test_only_degraded_agents_are_avoided(
    autojump_clock, nursery, coordinator, ratios, free, is_kept_waiting
):
    """Guards against jobs that wait for the fastest agent or run on a degraded one.

    Waiting for an agent that is merely faster wastes the slack of the job.
    """
    agents = [FakeAgent(coordinator, f"agent-{number}") for number in range(3)]
    for _ in range(40):
        for agent, ratio in zip(agents, ratios, strict=True):
            coordinator.assigner.run_times.observe(
                "check", agent.peer.process_id, ratio
            )
    for agent, is_free in zip(agents, free, strict=True):
        agent.report(free=CAPACITY if is_free else NO_FREE_CPU, held=())
    submission = Submission(nursery, coordinator, make_job(1, estimate_s=0.4))
    await trio.sleep(0.05)
    assert (sum(len(agent.orders) for agent in agents) == 0) is is_kept_waiting
    # A job past its objective is placed on a degraded agent instead of rejected.
    await trio.sleep(8.0)
    assert submission.outcome is None
    assert sum(len(agent.orders) for agent in agents) == 1


@pytest.mark.parametrize(
    ("priorities", "expected_shares"),
    [((0, 0), (10, 10)), ((0, 2), (10, 10))],
)
def test_queues_get_equal_shares_under_overload(priorities, expected_shares):
    """Guards against an overloaded queue that starves another."""
    waiting = FairShareOrder(DispatchSettings())
    jobs = [
        Job(make_job(100, job_id=name), Queue(name, "h", "/", "s", priority), 0.0)
        for name, priority in zip(("a", "b"), priorities, strict=True)
    ]
    for job in jobs:
        for task in job.release_tasks():
            waiting.add(task)
    placed_counts = {"a": 0, "b": 0}
    for _ in range(20):
        name = waiting.queue_order(0.0)[0]
        waiting.remove_task(waiting.next_task(name, 0.0), 1.0, 0.0)
        placed_counts[name] += 1
    assert tuple(placed_counts.values()) == expected_shares


@pytest.mark.parametrize(
    ("now", "include_late", "in_progress", "expected"),
    [
        (0.2, False, (), ["old", "new"]),
        (0.5, False, (), ["new", "old"]),
        (0.5, False, ("old",), ["old", "new"]),
        (0.5, True, (), ["old", "new"]),
        (0.5, True, ("new",), ["new", "old"]),
    ],
    ids=[
        "within patience",
        "patience exceeded",
        "patience exceeded, job in progress",
        "late pass",
        "late pass, job in progress",
    ],
)
def test_order_of_jobs_within_a_queue(now, include_late, in_progress, expected):
    """Guards against overload in which first in, first out makes every job late.

    Each job would start only when its slack is used up.
    """
    waiting = FairShareOrder(DispatchSettings())
    for name, received_at in (("old", 0.0), ("new", 0.1)):
        job = Job(make_job(2, job_id=name), QUEUE, received_at)
        job.due_at = received_at + 1.0
        job.has_placed_task = name in in_progress
        for task in job.release_tasks():
            waiting.add(task)
    order = []
    while waiting.queue_order(now):
        task = waiting.next_task("check", now, include_late=include_late)
        waiting.remove_task(task, 1.0, now)
        order.append(task.job.spec.job_id)
    assert order == [name for name in expected for _ in range(2)]


async def test_jobs_in_time_are_placed_before_late_jobs(
    autojump_clock, nursery, coordinator, agent
):
    """Guards against late jobs that are placed before jobs that can end in time."""
    agent.report(free=NO_FREE_CPU, held=())
    Submission(nursery, coordinator, make_job(1, "late", estimate_s=2.0))
    await trio.sleep(1.3)
    Submission(nursery, coordinator, make_job(1, "fresh", estimate_s=2.0))
    await trio.sleep(0.1)
    agent.report(free=NEEDS)
    await trio.sleep(0.01)
    ordered = [body.job_id for body in agent.sent if isinstance(body, RunTasks)]
    assert ordered == ["fresh"]


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/1", "short"),
        ("h", "/a/b/1", "long"),
        ("other", "/a/1", None),
        ("h", "/c/1", None),
    ],
)
def test_longest_prefix_selects_queue(host, path, name):
    """Guards against jobs that are routed to the service of another queue."""
    queues = (Queue("short", "h", "/a/", "s"), Queue("long", "h", "/a/b/", "s"))
    for order in itertools.permutations(queues):
        found = Routing(1, order).match(host, path)
        assert (found and found.name) == name


def test_critical_path_of_single_step():
    """Guards against an objective that does not cover the whole critical path."""
    assert Job(make_job(3, estimate_s=0.4), QUEUE, 0.0).critical_path_s == 0.4


@pytest.mark.parametrize(
    ("waited_s", "is_slower"), [(0.1, False), (0.5, True)], ids=["expected", "overdue"]
)
async def test_overdue_run_raises_slowness_of_target(
    autojump_clock, nursery, coordinator, agent, waited_s, is_slower
):
    """Guards against tasks placed on a target that has become slow.

    Its speed must be updated before its first slow run ends.
    """
    Submission(nursery, coordinator, make_job(2, estimate_s=0.1))
    await trio.sleep(waited_s)
    assert (coordinator.assigner.run_times.slowness("agent-1") > 1.2) is is_slower


@pytest.mark.parametrize(
    ("priorities", "size", "free", "is_placed"),
    [
        ((0, 1), 1, 1, False),
        ((0, 1), 1, 2, True),
        ((0, 1), 4, 1, False),
        ((0, 1), 4, 2, True),
        ((1, 1), 4, 1, True),
        ((1, 0), 4, 1, True),
    ],
    ids=[
        "capacity for urgent job only",
        "capacity for both jobs",
        "urgent job above maximum headroom",
        "urgent job above maximum headroom, capacity beside it",
        "equal priority",
        "second job more urgent",
    ],
)
async def test_headroom_is_reserved_for_urgent_job(
    autojump_clock, nursery, coordinator, agent, priorities, size, free, is_placed
):
    """Guards against an urgent job whose tasks start one at a time under overload.

    This happens when less urgent jobs occupy the capacity that it needs on arrival.
    """
    urgent, other = (
        replace(QUEUE, name=name, priority=priority)
        for name, priority in zip(("urgent", "other"), priorities, strict=True)
    )
    submission = Submission(nursery, coordinator, make_job(size, "first"), urgent)
    await trio.sleep(0.05)
    agent.end_runs()
    await trio.sleep(0.05)
    assert submission.outcome is not None
    agent.report(free=Resources(NEEDS.cpu_millis * free, 4096, 0))
    Submission(nursery, coordinator, make_job(1, "second"), other)
    await trio.sleep(0.05)
    assert bool(agent.orders) is is_placed
