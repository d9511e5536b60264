"""Tests of run time estimates: convergence, sharing between kinds, outliers."""

import random

import pytest

from hornbeamshore.policy.runtimes import LearnedRunTimes
from hornbeamshore.policy.settings import RunTimeSettings

SLOWNESS = {"fast": 0.5, "mean": 1.0, "slow": 2.0}


def _observe(run_times, kinds, tasks, rng):
    for _ in range(tasks):
        for kind, run_time_s in kinds.items():
            agent_id = rng.choice(list(SLOWNESS))
            spread = rng.lognormvariate(0, 0.3)
            run_times.observe(kind, agent_id, run_time_s * SLOWNESS[agent_id] * spread)


@pytest.mark.parametrize(
    ("declared", "kinds", "tasks", "agent_id", "bounds"),
    [
        (0.2, {}, 0, "slow", (0.19, 0.24)),
        (2.0, {"quote": 0.2}, 20, "mean", (0.14, 0.28)),
        (0.02, {"quote": 0.2}, 20, "mean", (0.14, 0.28)),
        (0.02, {"quote": 0.2}, 30, "slow", (0.28, 0.56)),
        (0.2, {"plan": 1.0}, 60, "slow", (0.28, 0.56)),
        (0.2, {"plan": 1.0}, 60, "fast", (0.07, 0.14)),
    ],
    ids=[
        "declared without observations",
        "declared too high by a factor of 10",
        "declared too low by a factor of 10",
        "observed kind on a slow target",
        "unobserved kind on a slow target",
        "unobserved kind on a fast target",
    ],
)
def test_estimates(declared, kinds, tasks, agent_id, bounds):
    """Guards against trust in wrong declarations, and slow estimates of new kinds."""
    run_times = LearnedRunTimes(RunTimeSettings())
    run_times.declare("quote", declared)
    _observe(run_times, kinds, tasks, random.Random(3))
    low, high = bounds
    if "plan" in kinds:
        # Observations determine only the ratios between the speeds of targets.
        mean = run_times.slowness("mean")
        low, high = low * mean, high * mean
    assert low <= run_times.estimate("quote", agent_id) <= high
    assert run_times.is_learned("quote") == ("quote" in kinds)


def test_outlier_is_clipped():
    """Guards against one unusually long task that distorts the estimate."""
    run_times = LearnedRunTimes(RunTimeSettings())
    _observe(run_times, {"quote": 0.1}, 50, random.Random(4))
    before = run_times.estimate("quote", "mean")
    run_times.observe("quote", "mean", 10.0)
    assert run_times.estimate("quote", "mean") < 1.3 * before


def test_declaration_keeps_observations():
    """Guards against a configuration update that resets the estimates."""
    run_times = LearnedRunTimes(RunTimeSettings())
    _observe(run_times, {"quote": 0.1}, 50, random.Random(5))
    before = run_times.mean_run_time("quote")
    run_times.declare("quote", 5.0)
    assert run_times.mean_run_time("quote") == before


def test_forget_target():
    """Guards against memory growth with each replaced host."""
    run_times = LearnedRunTimes(RunTimeSettings())
    _observe(run_times, {"quote": 0.1}, 50, random.Random(6))
    run_times.forget_target("slow")
    assert run_times.slowness("slow") == 1.0
    assert "slow" not in run_times.pair_factors("quote")
