"""Tests of what callers get while some tasks crash each target that starts them."""

import random
import statistics
from collections import Counter, defaultdict

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.wire.messages import Resources

from .conftest import Callers, Fleet, make_kind

ENTRY_COUNT = 3
AGENT_COUNT = 11
ENTRY_WEIGHTS = [3, 2, 2]
CAPACITY = Resources(64000, 131072, 0)
# The load of the deployment, which uses about 70% of the capacity. Jobs of the first
# kind have deadly tasks.
KINDS = (
    make_kind("preview", 8, 0.12, 0.245, 0, 6200),
    make_kind("lookup", 2, 0.4, 0.711, 1, 6200),
    make_kind("layout", 4, 1.8, 0.044, 2, 6200),
)
JOBS_PER_S = 70
# Crashes of targets under one task after which it may be given up.
CRASH_LIMIT = 2
# Share of the worth that the users want on days with trouble.
MIN_IN_TIME = 0.85
# One play has 28 jobs of the rarest kind, of which a single crash can delay several.
PLAYS = 5


async def play_deadly_jobs(nursery, deadly_share, crash_delay_s=0.0):
    fleet = Fleet(
        nursery, ENTRY_COUNT, AGENT_COUNT, 3, capacity=CAPACITY, speeds=(1.1, 1.0, 0.9)
    )
    for target in fleet.targets:
        target.crash_delay_s = crash_delay_s
    await trio.sleep(0.5)
    usual = Callers(fleet, JOBS_PER_S, ENTRY_WEIGHTS, KINDS)
    await usual.run(2.0)
    callers = Callers(fleet, JOBS_PER_S, ENTRY_WEIGHTS, KINDS, deadly_share)
    await callers.run(8.0)
    return fleet, callers


@pytest.mark.parametrize(
    ("crash_delay_s", "is_failed"),
    [(0.0, False), (0.005, True)],
    ids=["before the answer", "after the answer"],
)
async def test_a_deadly_task_crashes_few_targets(
    autojump_clock, nursery, crash_delay_s, is_failed
):
    """Guards against a task that crashes target after target."""
    fleet, callers = await play_deadly_jobs(nursery, 0.1, crash_delay_s)
    crashes = Counter(tasks[-1] for target in fleet.targets for tasks in target.crashes)
    assert max(crashes.values()) <= CRASH_LIMIT
    assert ResultCode.DEADLINE_EXCEEDED not in callers.deadly_outcomes
    assert (ResultCode.TARGET_CRASHED in callers.deadly_outcomes) is is_failed


async def test_other_kinds_are_served_while_tasks_of_one_kind_are_deadly(
    autojump_clock, monkeypatch
):
    """Guards against the loss of the whole service to deadly tasks of one kind."""
    shares = defaultdict(list)
    for seed in range(1, PLAYS + 1):
        monkeypatch.setattr(trio._core._run, "_r", random.Random(seed))
        async with trio.open_nursery() as nursery:
            _, callers = await play_deadly_jobs(nursery, 0.1)
            nursery.cancel_scope.cancel()
        for name in ("lookup", "layout"):
            shares[name].append(callers.results.share(callers.results.in_time, name))
    for name, values in shares.items():
        assert statistics.fmean(values) >= MIN_IN_TIME, (name, values)


async def test_jobs_without_deadly_tasks_are_served_or_refused(autojump_clock, nursery):
    """Guards against innocent jobs that are given up with the targets they ran on."""
    _, callers = await play_deadly_jobs(nursery, 0.1)
    assert callers.results.lost == {}
