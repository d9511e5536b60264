"""Tests of retries: budget, exponential backoff and jitter."""

import random

import pytest

from hornbeamshore.config.model import RetryRules
from hornbeamshore.policy.retries import BudgetedRetries
from hornbeamshore.policy.settings import RetrySettings


def _retries(**rules):
    retries = BudgetedRetries(RetrySettings(), random.Random(1))
    retries.configure(RetryRules(**rules))
    return retries


@pytest.mark.parametrize(
    ("budget", "requests", "allowed"),
    [
        (0.1, 0, 0),
        (0.1, 9, 0),
        (0.1, 10, 1),
        (0.1, 100, 10),
        (0.1, 9000, 20),
        (0, 50, 0),
    ],
)
def test_budget(budget, requests, allowed):
    """Guards against retries that multiply the load during an outage."""
    retries = _retries(budget=budget)
    for _ in range(requests):
        retries.count_request()
    assert sum(retries.try_acquire_retry(0.0) for _ in range(50)) == allowed
    assert (retries.used, retries.denied) == (allowed, 50 - allowed)


@pytest.mark.parametrize(
    ("attempt", "low", "high"), [(1, 0.025, 0.075), (2, 0.05, 0.15), (20, 1.0, 3.0)]
)
def test_delay(attempt, low, high):
    """Guards against synchronized retries and unlimited delays."""
    delays = [_retries().delay(attempt) for _ in range(3)]
    retries = _retries()
    delays += [retries.delay(attempt) for _ in range(200)]
    assert low <= min(delays) < max(delays) <= high
    assert len(set(delays)) > 100
