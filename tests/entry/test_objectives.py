"""Burn windows: good and bad events, burn rates, alerts, gaps, merged reports."""

import pytest

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.settings import Duration
from hornbeamshore.config.model import Deployment, Kind, Objective, Service
from hornbeamshore.entry import objectives
from hornbeamshore.entry.objectives import Alert, BurnWindows, classify, merge_reports

START = 1_800_000_000 // 21_600 * 21_600
OBJECTIVE = Objective(Duration(0.5), 0.99)
DEPLOYMENT = Deployment("d", {"s": Service({"k": Kind(objective=OBJECTIVE)})})


@pytest.mark.parametrize(
    ("code", "elapsed_s", "good"),
    [
        (ResultCode.OK, 0.5, True),
        (ResultCode.OK, 0.51, False),
        (ResultCode.OVERLOADED, 0.0, False),
        (ResultCode.TASK_FAILED, 0.1, False),
        (ResultCode.OUTCOME_UNKNOWN, 0.1, False),
        (ResultCode.MALFORMED_REQUEST, 0.1, None),
        (ResultCode.NOT_ALLOWED, 0.1, None),
        (ResultCode.CANCELLED, 0.1, None),
        (ResultCode.RUNNING, 0.1, None),
    ],
)
def test_classify_answers(code, elapsed_s, good):
    """Guards against caller errors counted as bad, or late answers as good."""
    assert classify(code, elapsed_s, OBJECTIVE) is good


def windows_of(minutes, start=START):
    """Return windows with (good, bad) counts of each minute; None for a gap."""
    windows = BurnWindows()
    for number, counts in enumerate(minutes):
        now = start + number * 60
        if counts is None:
            continue
        windows.observe(now)
        for good, count in zip((True, False), counts, strict=True):
            for _ in range(count):
                windows.record("s", "k", good, now)
    return windows


def report_of(minutes, revision=1, at=None):
    now = START + (len(minutes) - 1 if at is None else at) * 60
    return windows_of(minutes).report(DEPLOYMENT, revision, now)


# name: minutes, alert, burn rate of 5 min, gap of 5 min, gap of 6 h in minutes
CASES = {
    "no events": ([(0, 0)] * 360, Alert.NONE, None, 0, 0),
    "all good": ([(1, 0)] * 360, Alert.NONE, 0.0, 0, 0),
    "at target": ([(99, 1)] * 360, Alert.NONE, 1.0, 0, 0),
    "fast burn": ([(4, 1)] * 60, Alert.PAGE, 20.0, 0, 300),
    "slow burn": ([(9, 1)] * 360, Alert.TICKET, 10.0, 0, 0),
    "burn ended 5 min ago": ([(0, 9)] * 55 + [(9, 0)] * 5, Alert.TICKET, 0.0, 0, 300),
    "burn ended 30 min ago": ([(0, 9)] * 30 + [(9, 0)] * 30, Alert.NONE, 0.0, 0, 300),
    "short burst": ([(90, 0)] * 359 + [(0, 90)], Alert.NONE, 20.0, 0, 0),
    "gap of 4 min": ([(4, 0)] * 355 + [None] * 4 + [(4, 0)], Alert.NONE, 0.0, 4, 4),
    "just started": ([(3, 0)], Alert.NONE, 0.0, 4, 359),
    "gap over 6 h": ([(0, 5)] + [None] * 400 + [(0, 0)], Alert.NONE, None, 4, 359),
}


@pytest.mark.parametrize("name", CASES)
def test_burn_alert_and_gaps(name):
    """Guards against missed or stuck alerts and against gaps that count as good."""
    minutes, alert, burn_rate, short_gap, long_gap = CASES[name]
    (kind,) = report_of(minutes).kinds
    assert kind.alert == alert
    assert kind.windows[0].burn_rate == pytest.approx(burn_rate)
    assert kind.windows[0].gap_s == short_gap * 60
    assert kind.windows[-1].gap_s == long_gap * 60
    if kind.windows[-1].burn_rate is not None:
        assert kind.budget_left == pytest.approx(1 - kind.windows[-1].burn_rate)


def test_clock_set_back_keeps_events():
    """Guards against events lost or counted again when the wall clock is set back."""
    windows = windows_of([(1, 0)] * 10)
    windows.record("s", "k", False, START)
    (kind,) = windows.report(DEPLOYMENT, 1, START).kinds
    assert (kind.windows[-1].good, kind.windows[-1].bad) == (10, 1)


def test_merged_report_sums_events_and_keeps_gaps():
    """Guards against an entry without data that hides the gap of a merged report."""
    recent, old = report_of([(0, 20)], revision=2), report_of([(1, 0)] * 360)
    merged = merge_reports([old, recent], unreached=1)
    (kind,) = merged.kinds
    assert (merged.revision, merged.sources, merged.unreached) == (2, 2, 1)
    assert (kind.windows[-1].good, kind.windows[-1].bad) == (360, 20)
    assert kind.windows[-1].gap_s == 359 * 60
    assert kind.windows[0].burn_rate == pytest.approx(80.0)
    assert kind.alert == Alert.PAGE
    assert merge_reports([]).kinds == ()


def test_series_count_is_limited(monkeypatch):
    """Guards against memory that grows with each kind that was ever configured."""
    monkeypatch.setattr(objectives, "MAX_SERIES", 2)
    windows = BurnWindows()
    for name in "kabc":
        windows.record("s", name, True, START)
    report = windows.report(DEPLOYMENT, 1, START)
    assert (len(windows._series), report.dropped_series) == (2, 2)
    windows.drop_removed(DEPLOYMENT)
    assert list(windows._series) == [("s", "k")]
