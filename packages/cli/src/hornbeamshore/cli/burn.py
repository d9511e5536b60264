"""The ``burn`` command: burn rates of service-level objectives over all entries."""

from pathlib import Path

import msgspec

from hornbeamshore.cli.burn_page import render_page
from hornbeamshore.cli.command import (
    Command,
    ExitCode,
    Outcome,
    format_table,
    input_error,
)
from hornbeamshore.cli.operator import (
    BURN_TOPIC,
    collect_reports,
    load_operator_settings,
)
from hornbeamshore.entry.objectives import Alert, ObjectivesReport, merge_reports

LABEL_BY_WINDOW_S = {300: "5 min", 3600: "1 h", 21600: "6 h"}


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
        self._cfg = load_operator_settings(settings)
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
        collected = await collect_reports(self._cfg, BURN_TOPIC)
        reports = [
            msgspec.convert(item.topics[BURN_TOPIC], ObjectivesReport)
            for item in collected.reports
            if item.topics[BURN_TOPIC]
        ]
        # An entry without a configuration sends an empty report and counts as missing.
        missing = len(collected.unreached) + len(collected.reports) - len(reports)
        merged = merge_reports(reports, missing)
        lines = format_objectives(merged)
        if self._html:
            lines = (*lines, self._write_page(merged))
        return Outcome(objectives_exit_code(merged), msgspec.to_builtins(merged), lines)

    def _write_page(self, merged):
        page = render_page(self._cfg.deployment, merged)
        try:
            size = Path(self._html).write_text(page, encoding="utf-8")
        except OSError as exc:
            raise input_error(f"--html {self._html}: cannot be written: {exc}") from exc
        return f"wrote {size} characters to {self._html}"


def objectives_exit_code(report):
    """Return ``NOT_SO`` on an alert or a missing report, otherwise ``OK``."""
    alerts = any(kind.alert != Alert.NONE for kind in report.kinds)
    return ExitCode.NOT_SO if alerts or report.unreached else ExitCode.OK


def format_objectives(report):
    """Return a report as the lines of a table, after lines about gaps in its data."""
    rows = []
    for kind in report.kinds:
        windows = {window.window_s: window for window in kind.windows}
        longest = windows[max(LABEL_BY_WINDOW_S)]
        rows.append(
            (
                kind.service,
                kind.kind,
                f"{kind.target:g} in {kind.good_within_s:g} s",
                longest.good,
                longest.bad,
                *(_format_rate(windows[window_s]) for window_s in LABEL_BY_WINDOW_S),
                "-" if kind.budget_left is None else f"{kind.budget_left:.0%}",
                kind.alert,
            )
        )
    rates = (f"BURN {name}" for name in LABEL_BY_WINDOW_S.values())
    header = ("SERVICE", "KIND", "OBJECTIVE", "GOOD", "BAD", *rates, "BUDGET", "ALERT")
    lines = [f"revision {report.revision}, {report.sources} entries"]
    if report.unreached:
        lines.append(f"gap: {report.unreached} entries sent no report")
    if report.dropped_series:
        lines.append(f"gap: {report.dropped_series} kinds are not counted")
    return (*lines, *format_table(header, rows))


def _format_rate(window):
    rate = "-" if window.burn_rate is None else f"{window.burn_rate:.2f}"
    return f"{rate} (gap {window.gap_s // 60} min)" if window.gap_s else rate
