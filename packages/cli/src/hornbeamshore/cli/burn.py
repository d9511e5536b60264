"""The ``burn`` command: burn rates of service-level objectives over all entries."""

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
    """Show the service-level objectives of all kinds, merged over all entries.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    html : str
        File to write an HTML page with plots to; empty for none.
    """

    def __init__(self, settings, html=""):
        self._cfg = load_operator(settings)
        self._html = html

    async def run(self):
        """Return the merged report.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if a kind has an alert or an entry sent no report.

        Raises
        ------
        CommandFailed
            If no entry sent a report, or the HTML page cannot be written.
        """
        gathered = await gather(self._cfg, BURN)
        reports = [
            msgspec.convert(item.topics[BURN], ObjectivesReport)
            for item in gathered.reports
            if item.topics[BURN]
        ]
        # An entry without a configuration sends an empty report and counts as missing.
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
    """Return ``NOT_SO`` on an alert or a missing report, otherwise ``OK``."""
    alerts = any(kind.alert != Alert.NONE for kind in report.kinds)
    return ExitCode.NOT_SO if alerts or report.unreached else ExitCode.OK


def burn_lines(report):
    """Return the lines of a table of a report, preceded by any gaps in its data."""
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
        lines.append(f"gap: {report.unreached} entries sent no report")
    if report.dropped_series:
        lines.append(f"gap: {report.dropped_series} kinds are not counted")
    return (*lines, *table_lines(head, rows))


def _rate(window):
    rate = "-" if window.burn_rate is None else f"{window.burn_rate:.2f}"
    return f"{rate} (gap {window.gap_s // 60} min)" if window.gap_s else rate
