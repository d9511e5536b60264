"""Tests of the ``burn`` command: table, page, alerts, gaps and exit codes."""

import pytest

from hornbeamshore.cli.burn import burn_lines, exit_code_of
from hornbeamshore.cli.burn_page import render_page, spans
from hornbeamshore.config.check import check_deployment
from hornbeamshore.entry.objectives import BurnWindows, merge_reports

NOW = 1_700_000_000
SERVED_S = 7 * 3600
DEPLOYMENT = """\
deployment: x
services: {desk: {kinds: {quote: {objective: {good_within: 1s, target: 0.9}}}}}
"""
# Bad events out of 100 a minute on the first and on the second entry, age of the
# second entry in s, entries without a report; exit code, alert, text in the table.
CASES = {
    "no bad events": (0, 0, SERVED_S, 0, 0, "none", "0.00"),
    "half of the events of one entry bad": (0, 50, SERVED_S, 0, 0, "none", "2.50"),
    "ticket alert": (70, 70, SERVED_S, 0, 1, "ticket", "7.00"),
    "second entry started later": (0, 0, 1800, 0, 0, "none", "(gap 330 min)"),
    "no report": (0, 0, SERVED_S, 1, 1, "none", "gap: 1 entries sent no report"),
}


def windows_of(bad, served_s):
    windows = BurnWindows()
    for minute in range(NOW - served_s + 60, NOW + 1, 60):
        for number in range(100):
            windows.record("desk", "quote", number >= bad, minute)
    return windows


@pytest.mark.parametrize(
    ("bad_1", "bad_2", "served_s", "unreached", "code", "alert", "said"),
    CASES.values(),
    ids=CASES,
)
def test_burn_of_two_entries(bad_1, bad_2, served_s, unreached, code, alert, said):
    """Guards against periods or entries without data that count as good events."""
    deployment = check_deployment(DEPLOYMENT).unwrap().deployment
    reports = [
        windows_of(bad, length).report(deployment, 1, NOW)
        for bad, length in ((bad_1, SERVED_S), (bad_2, served_s))
    ]
    merged = merge_reports(reports, unreached)
    lines = "\n".join(burn_lines(merged))
    page = render_page("x", merged)
    assert exit_code_of(merged) == code
    assert merged.kinds[0].alert == alert
    assert said in lines
    assert ('class="gap"' in page) == (served_s < SERVED_S)
    steps = spans(merged.kinds[0])
    assert [step[:2] for step in steps] == [
        (21600, 3600),
        (3600, 1800),
        (1800, 300),
        (300, 0),
    ]
    longest = merged.kinds[0].windows[-1]
    assert sum(step[2] for step in steps) == longest.good
    assert sum(step[4] for step in steps) == longest.gap_s
