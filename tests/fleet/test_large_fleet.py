"""Tests of what callers get from a large fleet with entries of uneven load."""

import pytest
import trio

from .conftest import KINDS, Callers, Fleet

ENTRY_COUNT = 35
AGENT_COUNT = 160
DATA_CENTRE_COUNT = 5
# Most entries serve a few of the 50 callers of the deployment, and some none.
ENTRY_WEIGHTS = [(0, 1, 1, 2, 3)[number * 3 % 5] for number in range(ENTRY_COUNT)]


@pytest.mark.parametrize(
    ("jobs_per_s", "min_in_time", "max_refused"),
    [(350, 0.99, 0.0), (630, 0.97, 0.002)],
    ids=["quiet", "usual"],
)
async def test_jobs_are_served_in_time_while_targets_are_free(
    autojump_clock, nursery, jobs_per_s, min_in_time, max_refused
):
    """Guards against jobs that wait or are refused because of an outdated view.

    The load is that of the large deployment: jobs of 8 short, 2 medium and 4 long
    tasks, which use about 40% and 75% of the capacity.
    """
    fleet = Fleet(nursery, ENTRY_COUNT, AGENT_COUNT, DATA_CENTRE_COUNT)
    await trio.sleep(0.5)
    callers = Callers(fleet, jobs_per_s, ENTRY_WEIGHTS)
    await callers.run(2.0)
    results = callers.results
    assert results.share(results.in_time) >= min_in_time
    assert results.share(results.refused) <= max_refused
    assert results.lost == {}
    assert max(target.most_used_millis for target in fleet.targets) <= 32000


async def test_urgent_jobs_are_in_time_in_a_burst_of_long_ones(autojump_clock, nursery):
    """Guards against urgent tasks that wait at a busy target while others are free.

    One data centre of the large deployment; for two seconds, jobs of 4 long tasks come
    at four times their usual rate, which needs more than the capacity. The target of
    the deployment, 0.85 of the worth on days with trouble, needs at least as many of
    the urgent jobs in time.
    """
    fleet = Fleet(nursery, 7, 32, 1)
    await trio.sleep(0.5)
    weights = [1, 0, 2, 1, 3, 1, 1]
    usual = Callers(fleet, 126, weights)
    burst = Callers(fleet, 17, weights, KINDS[2:])
    async with trio.open_nursery() as callers_nursery:
        callers_nursery.start_soon(usual.run, 4.0)
        await trio.sleep(1.0)
        callers_nursery.start_soon(burst.run, 2.0)
    results = usual.results
    assert results.share(results.in_time, "stock-check") >= 0.85
    assert results.lost == burst.results.lost == {}
    assert max(target.most_used_millis for target in fleet.targets) <= 32000
