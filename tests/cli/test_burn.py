"""Tests of the ``burn`` command: table, page, alerts, gaps and exit codes."""

import pytest

from hornbeamshore.cli.burn import format_objectives, objectives_exit_code
from hornbeamshore.cli.burn_page import render_page, window_intervals
from hornbeamshore.config.check import check_deployment
from hornbeamshore.entry.objectives import BurnWindows, merge_reports

NOW = 1_700_000_000
UPTIME_S = 7 * 3600
DEPLOYMENT = """\
deployment: x
services: {desk: {kinds: {quote: {objective: {good_within: 1s, target: 0.9}}}}}
"""
# Bad events out of 100 a minute on the first and on the second entry, age of the
# second entry in s, entries without a report; exit code, alert, text in the table.
CASES = {
    "no bad events": (0, 0, UPTIME_S, 0, 0, "none", "0.00"),
    "half of the events of one entry bad": (0, 50, UPTIME_S, 0, 0, "none", "2.50"),
    "ticket alert": (70, 70, UPTIME_S, 0, 1, "ticket", "7.00"),
    "second entry started later": (0, 0, 1800, 0, 0, "none", "(gap 330 min)"),
    "no report": (0, 0, UPTIME_S, 1, 1, "none", "gap: 1 entries sent no report"),
}


def make_windows(bad, uptime_s):
    windows = BurnWindows()
    for minute in range(NOW - uptime_s + 60, NOW + 1, 60):
        for number in range(100):
            windows.record("desk", "quote", number >= bad, minute)
    return windows


@pytest.mark.parametrize(
    ("bad_1", "bad_2", "uptime_s", "unreached", "code", "alert", "expected_text"),
    CASES.values(),
    ids=CASES,
)
def test_merged_burn_report(
    bad_1, bad_2, uptime_s, unreached, code, alert, expected_text
):
    """Guards against periods or entries without data that count as good events."""
    deployment = check_deployment(DEPLOYMENT).unwrap().deployment
    reports = [
        make_windows(bad, uptime).report(deployment, 1, NOW)
        for bad, uptime in ((bad_1, UPTIME_S), (bad_2, uptime_s))
    ]
    merged = merge_reports(reports, unreached)
    lines = "\n".join(format_objectives(merged))
    page = render_page("x", merged)
    assert objectives_exit_code(merged) == code
    assert merged.kinds[0].alert == alert
    assert expected_text in lines
    assert ('class="gap"' in page) == (uptime_s < UPTIME_S)
    intervals = window_intervals(merged.kinds[0])
    assert [interval[:2] for interval in intervals] == [
        (21600, 3600),
        (3600, 1800),
        (1800, 300),
        (300, 0),
    ]
    longest = merged.kinds[0].windows[-1]
    assert sum(interval[2] for interval in intervals) == longest.good
    assert sum(interval[4] for interval in intervals) == longest.gap_s
