"""Choice of agents and order of queues."""

import itertools

import pytest
import trio

from hornbeamshore.dispatch.jobs import Job
from hornbeamshore.dispatch.model import Queue, Routing
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.dispatch.waiting import EqualShares
from hornbeamshore.wire.messages import Resources

from .conftest import CAPACITY, QUEUE, FakeAgent, Submission, job_of

FULL = Resources(0, 4096, 0)


@pytest.mark.parametrize(
    ("ratios", "free", "waits"),
    [
        ((2.2, 1.0, 1.0), (True, False, False), False),
        ((2.2, 2.2, 1.0), (True, True, False), False),
        ((20.0, 1.0, 1.0), (True, False, False), True),
    ],
    ids=["slower", "most are slower", "degraded"],
)
async def test_only_degraded_agents_are_left_alone(
    autojump_clock, nursery, coordinator, ratios, free, waits
):
    """Guards against slack spent on waiting for the fastest, and on lost targets."""
    agents = [FakeAgent(coordinator, f"agent-{number}") for number in range(3)]
    for _ in range(40):
        for agent, ratio in zip(agents, ratios, strict=True):
            coordinator.run_times.observe("check", agent.peer.process_id, ratio)
    for agent, is_free in zip(agents, free, strict=True):
        agent.report(free=CAPACITY if is_free else FULL, held=())
    submission = Submission(nursery, coordinator, job_of(1, estimate_s=0.4))
    await trio.sleep(0.05)
    assert (sum(len(agent.orders) for agent in agents) == 0) is waits
    # A late job takes any room rather than be refused.
    await trio.sleep(8.0)
    assert submission.outcome is None
    assert sum(len(agent.orders) for agent in agents) == 1


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
