"""Offline replay: the objectives are met in simulated time."""

import pytest

from hornbeamshore.bench.replay import (
    LEAST_URGENT_FLOOD,
    MOST_URGENT_FLOOD,
    compare_with_ideal,
    other_work_in_time,
)
from hornbeamshore.bench.workload import Scenario


@pytest.mark.parametrize("seed", [1])
def test_urgent_response_times(seed):
    """Guards against placement or queue order that delays urgent jobs at 0.8 load."""
    row = compare_with_ideal(Scenario(seed=seed, seconds=30.0), "scheduler")
    assert row["p50"] <= 1.1
    assert row["p99"] <= 2.0
    assert row["unanswered"] == 0


@pytest.mark.parametrize("flood", [LEAST_URGENT_FLOOD, MOST_URGENT_FLOOD])
def test_other_jobs_during_flood(flood):
    """Guards against a flood of 10 times the capacity that delays other jobs."""
    case = Scenario(flood=flood, seconds=35.0, flood_from=20.0, flood_to=30.0)
    assert other_work_in_time(case, "scheduler")["in_time"] >= 0.95
