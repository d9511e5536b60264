"""Burn rates of service-level objectives over sliding windows.

Each entry keeps its own counts in memory.
"""

import enum
from array import array
from collections.abc import Callable
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode

BUCKET_S = 60
LONGEST_WINDOW_S = 6 * 3600
WINDOWS_S = (300, 1800, 3600, LONGEST_WINDOW_S)
# Multi-window burn-rate alerts for an error budget of 30 days: a rate of 14.4 spends
# 2 % of it in an hour, a rate of 6 spends 5 % in six hours. The short window resets an
# alert soon after its cause has ended.
PAGE_BURN_RATE, PAGE_WINDOWS_S = 14.4, (3600, 300)
TICKET_BURN_RATE, TICKET_WINDOWS_S = 6.0, (LONGEST_WINDOW_S, 1800)
# A series takes 2.9 KB; the largest supported deployment has about 6,600 kinds.
MAX_SERIES = 8_192
# An objective of 1.0 has no error budget; avoids a division by zero.
MIN_BUDGET = 1e-6

_BUCKET_COUNT = LONGEST_WINDOW_S // BUCKET_S


class Alert(enum.StrEnum):
    """Alert severity of a kind."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class WindowReport:
    """Events of a kind in one window.

    Attributes
    ----------
    gap_s : int
        Seconds of the window for which there is no data.
    burn_rate : float or None
        Ratio of the share of bad events to the share that the objective allows; None
        without events.
    """

    window_s: int
    good: int
    bad: int
    gap_s: int
    burn_rate: float | None


@dataclass(frozen=True, slots=True)
class KindReport:
    """State of the objective of one kind.

    Attributes
    ----------
    budget_left : float or None
        Remaining share of the error budget of the longest window, negative when it is
        overspent; None without events.
    """

    service: str
    kind: str
    target: float
    good_within_s: float
    windows: tuple[WindowReport, ...]
    budget_left: float | None
    alert: Alert


@dataclass(frozen=True, slots=True)
class ObjectivesReport:
    """State of all objectives, from the counts of one or several entries.

    Attributes
    ----------
    revision : int
        Configuration revision that defines the objectives.
    sources : int
        Number of entries whose counts are included.
    unreached : int
        Number of entries without a report; their events are missing.
    dropped_series : int
        Number of kinds not counted because of the limit `MAX_SERIES`.
    """

    revision: int
    kinds: tuple[KindReport, ...]
    sources: int = 1
    unreached: int = 0
    dropped_series: int = 0


def classify(code, elapsed_s, objective):
    """Return whether an answer is a good event; None where it does not count.

    Caller errors (codes 1xx), cancelled jobs, and the 202 of a job that still runs do
    not count. Any other answer is bad, unless its code is `OK` and it was in time.
    """
    if 100 <= code < 200 or code in (ResultCode.RUNNING, ResultCode.CANCELLED):
        return None
    return code == ResultCode.OK and elapsed_s <= objective.good_within


class BurnWindows:
    """Counts of good and bad events of each kind in a ring of time buckets.

    The ring covers the longest window. Times are Unix seconds, so that the buckets of
    all entries cover the same times. `observe` must be called at least once in each
    bucket; a bucket without a call counts as a gap.
    """

    def __init__(self):
        self._series = {}
        self._observed = bytearray(_BUCKET_COUNT)
        self._bucket = None
        self._dropped = set()

    def observe(self, now_s):
        """Advance to the bucket of `now_s` and mark it as observed."""
        bucket = int(now_s // BUCKET_S)
        if self._bucket is None:
            self._bucket = bucket
        # After the wall clock is set back, events count in the newest bucket.
        for entered in range(
            max(self._bucket + 1, bucket - _BUCKET_COUNT + 1), bucket + 1
        ):
            self._clear(entered % _BUCKET_COUNT)
        self._bucket = max(self._bucket, bucket)
        self._observed[self._bucket % _BUCKET_COUNT] = 1

    def record(self, service, kind, good, now_s):
        """Count a good or bad event of a kind."""
        self.observe(now_s)
        series = self._series.get((service, kind))
        if series is None:
            if len(self._series) >= MAX_SERIES:
                if len(self._dropped) < MAX_SERIES:
                    self._dropped.add((service, kind))
                return
            series = self._series[service, kind] = _Series()
        series.add(self._bucket % _BUCKET_COUNT, good)

    def report(self, deployment, revision, now_s):
        """Return the `ObjectivesReport` for the objectives of a deployment."""
        self.observe(now_s)
        kinds = tuple(
            self._kind_report(service, kind, kind_cfg.objective)
            for service, service_cfg in sorted(deployment.services.items())
            for kind, kind_cfg in sorted(service_cfg.kinds.items())
            if kind_cfg.objective is not None
        )
        return ObjectivesReport(revision, kinds, dropped_series=len(self._dropped))

    def drop_removed(self, deployment):
        """Drop the series of kinds that a deployment does not have."""
        kept = {
            (service, kind)
            for service, service_cfg in deployment.services.items()
            for kind in service_cfg.kinds
        }
        self._series = {key: val for key, val in self._series.items() if key in kept}
        self._dropped &= kept

    def _clear(self, index):
        self._observed[index] = 0
        for series in self._series.values():
            series.clear(index)

    def _kind_report(self, service, kind, objective):
        series = self._series.get((service, kind), _EMPTY_SERIES)
        windows = tuple(
            self._window(series, window_s, objective.target) for window_s in WINDOWS_S
        )
        return _kind_report(
            service, kind, objective.target, float(objective.good_within), windows
        )

    def _window(self, series, window_s, target):
        newest = self._bucket
        oldest = newest - window_s // BUCKET_S + 1
        indexes = [bucket % _BUCKET_COUNT for bucket in range(oldest, newest + 1)]
        gap_s = sum(not self._observed[index] for index in indexes) * BUCKET_S
        good = sum(series.good[index] for index in indexes)
        bad = sum(series.bad[index] for index in indexes)
        return _window_report(window_s, good, bad, gap_s, target)


class _Series:
    __slots__ = ("good", "bad")

    def __init__(self):
        self.good = array("I", bytes(_BUCKET_COUNT * array("I").itemsize))
        self.bad = array("I", bytes(_BUCKET_COUNT * array("I").itemsize))

    def add(self, index, good):
        counts = self.good if good else self.bad
        counts[index] += 1

    def clear(self, index):
        self.good[index] = self.bad[index] = 0


_EMPTY_SERIES = _Series()


def merge_reports(reports, unreached=0):
    """Return the `ObjectivesReport` that merges the reports of several entries.

    Events are summed. The gap of a window is the largest of any entry, since that
    entry's events are missing for that time. Objectives are those of the newest
    revision.

    Parameters
    ----------
    reports : iterable of ObjectivesReport
        One report of each entry.
    unreached : int
        Number of further entries, which sent no report.
    """
    newest_first = sorted(reports, key=lambda report: report.revision, reverse=True)
    merged = {}
    for report in newest_first:
        for kind in report.kinds:
            known = merged.get((kind.service, kind.kind))
            merged[kind.service, kind.kind] = (
                kind if known is None else _merge_kinds(known, kind)
            )
    return ObjectivesReport(
        newest_first[0].revision if newest_first else 0,
        tuple(merged[key] for key in sorted(merged)),
        sum(report.sources for report in newest_first),
        unreached + sum(report.unreached for report in newest_first),
        max((report.dropped_series for report in newest_first), default=0),
    )


def _merge_kinds(newer, older):
    by_length = {window.window_s: window for window in older.windows}
    windows = []
    for window in newer.windows:
        other = by_length.get(window.window_s)
        if other is not None:
            window = _window_report(
                window.window_s,
                window.good + other.good,
                window.bad + other.bad,
                max(window.gap_s, other.gap_s),
                newer.target,
            )
        windows.append(window)
    return _kind_report(
        newer.service, newer.kind, newer.target, newer.good_within_s, tuple(windows)
    )


def _window_report(window_s, good, bad, gap_s, target):
    events = good + bad
    burn_rate = bad / events / max(MIN_BUDGET, 1 - target) if events else None
    return WindowReport(window_s, good, bad, gap_s, burn_rate)


def _kind_report(service, kind, target, good_within_s, windows):
    burn_rates = {window.window_s: window.burn_rate for window in windows}
    longest_burn_rate = burn_rates.get(LONGEST_WINDOW_S)
    budget_left = None if longest_burn_rate is None else 1 - longest_burn_rate
    alert = _alert(lambda window_s: burn_rates.get(window_s) or 0.0)
    return KindReport(service, kind, target, good_within_s, windows, budget_left, alert)


def _alert(burn_rate_of: Callable[[int], float]):
    if all(burn_rate_of(window_s) >= PAGE_BURN_RATE for window_s in PAGE_WINDOWS_S):
        return Alert.PAGE
    if all(burn_rate_of(window_s) >= TICKET_BURN_RATE for window_s in TICKET_WINDOWS_S):
        return Alert.TICKET
    return Alert.NONE
