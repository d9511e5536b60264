"""Choice of agents and order of queues."""

import itertools

import pytest
import trio

from hornbeamshore.dispatch.jobs import Job
from hornbeamshore.dispatch.model import Queue, Routing
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.dispatch.waiting import EqualShares
from hornbeamshore.wire.messages import Resources

from .conftest import QUEUE, FakeAgent, Submission, job_of

FULL = Resources(0, 4096, 0)


async def test_long_tasks_wait_for_a_fast_agent(autojump_clock, nursery, coordinator):
    """Guards against a slow target that makes a job late while a fast one is near."""
    agents = [FakeAgent(coordinator, f"agent-{number}") for number in (1, 2)]
    for agent in agents:
        agent.report(held=())
    for _ in range(40):
        coordinator.run_times.observe("check", "agent-1", 5.0)
        coordinator.run_times.observe("check", "agent-2", 1.0)
    slow, fast = agents
    fast.report(free=FULL)
    Submission(nursery, coordinator, job_of(1, estimate_s=0.4))
    await trio.sleep(0.05)
    assert slow.orders == {}
    fast.report()
    assert len(fast.orders) == 1


async def test_a_late_job_takes_any_agent(autojump_clock, nursery, coordinator):
    """Guards against a refusal while a slow target is free."""
    agents = [FakeAgent(coordinator, f"agent-{number}") for number in (1, 2)]
    for agent in agents:
        agent.report(held=())
    for _ in range(40):
        coordinator.run_times.observe("check", "agent-1", 5.0)
        coordinator.run_times.observe("check", "agent-2", 1.0)
    slow, fast = agents
    fast.report(free=FULL)
    submission = Submission(nursery, coordinator, job_of(1, estimate_s=0.4))
    await trio.sleep(2.0)
    assert len(slow.orders) == 1
    assert submission.outcome is None


@pytest.mark.parametrize(
    ("priorities", "expected_shares"),
    [((0, 0), (10, 10)), ((0, 2), (10, 10))],
)
def test_queues_share_alike_in_a_flood(priorities, expected_shares):
    """Guards against a flood of one kind of job that starves another."""
    waiting = EqualShares(DispatchSettings())
    jobs = [
        Job(job_of(100, job_id=name), Queue(name, "h", "/", "s", priority), 0.0)
        for name, priority in zip(("a", "b"), priorities, strict=True)
    ]
    for job in jobs:
        for task in job.release_tasks():
            waiting.add(task)
    taken = {"a": 0, "b": 0}
    for _ in range(20):
        name = waiting.queues(0.0)[0]
        waiting.take(waiting.tasks(name)[0], 1.0, 0.0)
        taken[name] += 1
    assert tuple(taken.values()) == expected_shares


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/1", "short"),
        ("h", "/a/b/1", "long"),
        ("other", "/a/1", None),
        ("h", "/c/1", None),
    ],
)
def test_the_longest_prefix_selects_the_queue(host, path, name):
    """Guards against jobs that run on the service of another queue."""
    queues = (Queue("short", "h", "/a/", "s"), Queue("long", "h", "/a/b/", "s"))
    for order in itertools.permutations(queues):
        found = Routing(1, order).match(host, path)
        assert (found and found.name) == name


def test_jobs_know_their_longest_chain():
    """Guards against objectives that forget the steps before the last."""
    assert Job(job_of(3, estimate_s=0.4), QUEUE, 0.0).longest_estimate_s == 0.4
