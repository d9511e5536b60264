"""Tests of outlier ejection: conditions, limits, probing and stalls."""

import pytest

from hornbeamshore.policy.outliers import FailureOutlierDetector, Health
from hornbeamshore.policy.settings import OutlierSettings
from hornbeamshore.policy.types import Outcome

OUTCOMES = {
    ".": Outcome.OK,
    "x": Outcome.FAILED,
    "r": Outcome.REFUSED,
    "l": Outcome.LOST,
    "c": Outcome.CANCELLED,
}


def _outliers(count):
    outliers = FailureOutlierDetector(OutlierSettings())
    for index in range(count):
        outliers.add(f"a{index}")
    return outliers


def _report(outliers, agent_id, outcomes, now=0.0, kind="k"):
    for symbol in outcomes:
        outliers.record_outcome(agent_id, kind, OUTCOMES[symbol], now)


@pytest.mark.parametrize(
    ("outcomes", "health"),
    [
        ("xx", Health.OK),
        ("xxxx", Health.EJECTED),
        ("rrrr", Health.EJECTED),
        ("llll", Health.EJECTED),
        ("cccccccc", Health.OK),
        ("xx.xx.xx.", Health.OK),
        ("xx." * 20, Health.EJECTED),
        ("x...." * 20, Health.OK),
    ],
)
def test_ejection(outcomes, health):
    """Guards against a failing target that appears idle and attracts all work."""
    outliers = _outliers(11)
    _report(outliers, "a0", outcomes)
    assert outliers.health("a0") is health


@pytest.mark.parametrize(
    ("targets", "expected"), [(1, 0), (2, 0), (3, 1), (6, 2), (11, 3), (58, 19)]
)
def test_max_ejected_share(targets, expected):
    """Guards against ejecting most of the fleet when all targets fail."""
    outliers = _outliers(targets)
    for index in range(targets):
        _report(outliers, f"a{index}", "xxxxxxxx", kind=f"k{index}")
    ejected = [outliers.health(f"a{i}") is Health.EJECTED for i in range(targets)]
    assert sum(ejected) == expected


def test_failing_kind_does_not_eject_targets():
    """Guards against ejecting targets because one kind fails everywhere."""
    outliers = _outliers(11)
    for _ in range(40):
        for index in range(11):
            _report(outliers, f"a{index}", ".", kind="good")
            _report(outliers, f"a{index}", "x", kind="bad")
    assert outliers.health("a5") is Health.OK


@pytest.mark.parametrize(
    ("failed_probes", "pause"), [(0, 1.0), (1, 2.0), (3, 8.0), (10, 60.0)]
)
def test_probe_delay(failed_probes, pause):
    """Guards against frequent probes that lose tasks, and permanent ejection."""
    outliers = _outliers(11)
    _report(outliers, "a0", "xxxx")
    now = 0.0
    for _ in range(failed_probes):
        now += 100.0
        outliers.start_probes(now)
        _report(outliers, "a0", "x", now)
    outliers.start_probes(now + pause - 0.01)
    assert outliers.health("a0") is Health.EJECTED
    outliers.start_probes(now + pause)
    assert outliers.health("a0") is Health.PROBING
    _report(outliers, "a0", "...", now + pause)
    assert outliers.health("a0") is Health.OK


def test_stalled_target_is_ejected():
    """Guards against a stalled target, on which tasks neither complete nor fail."""
    outliers = _outliers(11)
    outliers.record_stall("a0", 0.0)
    assert outliers.health("a0") is Health.EJECTED
