"""Burn rates of service-level objectives, merged from all entries."""

from pathlib import Path

import msgspec

from hornbeamshore.cli.burn_page import render_page
from hornbeamshore.cli.command import (
    Command,
    ExitCode,
    Outcome,
    table_lines,
    wrong_input,
)
from hornbeamshore.cli.operator import BURN, gather, load_operator
from hornbeamshore.entry.objectives import Alert, ObjectivesReport, merge_reports

SHOWN_WINDOWS_S = {300: "5 min", 3600: "1 h", 21600: "6 h"}


class ShowBurn(Command):
    """Objectives of all kinds, as all entries saw them.

    Parameters
    ----------
    settings : str
        Settings of the operator.
    html : str
        File to write a page with plots to; empty for none.
    """

    def __init__(self, settings, html=""):
        self._cfg = load_operator(settings)
        self._html = html

    async def run(self):
        """Return the merged report; not so on an alert or missing reports."""
        gathered = await gather(self._cfg, BURN)
        reports = [
            msgspec.convert(item.topics[BURN], ObjectivesReport)
            for item in gathered.reports
            if item.topics[BURN]
        ]
        # An entry without a configuration has counted nothing yet.
        missing = len(gathered.unreached) + len(gathered.reports) - len(reports)
        merged = merge_reports(reports, missing)
        lines = burn_lines(merged)
        if self._html:
            lines = (*lines, self._write_page(merged))
        return Outcome(exit_code_of(merged), msgspec.to_builtins(merged), lines)

    def _write_page(self, merged):
        page = render_page(self._cfg.deployment, merged)
        try:
            size = Path(self._html).write_text(page, encoding="utf-8")
        except OSError as exc:
            raise wrong_input(f"--html {self._html}: cannot be written: {exc}") from exc
        return f"wrote {size} characters to {self._html}"


def exit_code_of(report):
    """Return whether all objectives hold, as far as all entries told."""
    alerts = any(kind.alert != Alert.NONE for kind in report.kinds)
    return ExitCode.NOT_SO if alerts or report.unreached else ExitCode.OK


def burn_lines(report):
    """Return a report as a table, with gaps and missing entries named."""
    rows = []
    for kind in report.kinds:
        windows = {window.window_s: window for window in kind.windows}
        longest = windows[max(SHOWN_WINDOWS_S)]
        rows.append(
            (
                kind.service,
                kind.kind,
                f"{kind.target:g} in {kind.good_within_s:g} s",
                longest.good,
                longest.bad,
                *(_rate(windows[window_s]) for window_s in SHOWN_WINDOWS_S),
                "-" if kind.budget_left is None else f"{kind.budget_left:.0%}",
                kind.alert,
            )
        )
    names = (f"BURN {name}" for name in SHOWN_WINDOWS_S.values())
    head = ("SERVICE", "KIND", "OBJECTIVE", "GOOD", "BAD", *names, "BUDGET", "ALERT")
    lines = [f"revision {report.revision}, {report.sources} entries"]
    if report.unreached:
        lines.append(f"gap: {report.unreached} entries gave no report")
    if report.dropped_series:
        lines.append(f"gap: {report.dropped_series} kinds are not counted")
    return (*lines, *table_lines(head, rows))


def _rate(window):
    rate = "-" if window.burn_rate is None else f"{window.burn_rate:.2f}"
    return f"{rate} (gap {window.gap_s // 60} min)" if window.gap_s else rate
