"""Self-contained HTML page with plots of burn rates, without scripts."""

import math
from html import escape

from hornbeamshore.entry.objectives import (
    PAGE_BURN_RATE,
    TICKET_BURN_RATE,
    Alert,
)

PLOT_WIDTH_PX, PLOT_HEIGHT_PX, LEFT_MARGIN_PX = 480, 150, 40
# Limits of the logarithmic axis; burn rates outside them are clamped.
MIN_BURN_RATE, MAX_BURN_RATE = 0.1, 100.0
ALERT_COLOURS = {Alert.NONE: "#2e7d32", Alert.TICKET: "#e69500", Alert.PAGE: "#c62828"}

_STYLE = """
body { font: 14px sans-serif; margin: 2em; color: #222 }
h2 { font-size: 1.1em; margin: 1.5em 0 0.3em }
text { font: 11px sans-serif; fill: #444 }
.gap { fill: url(#gap) }
"""
_GAP_PATTERN = (
    '<svg width="0" height="0"><defs><pattern id="gap" width="6" height="6"'
    ' patternUnits="userSpaceOnUse" patternTransform="rotate(45)">'
    '<rect width="6" height="6" fill="#eee"/><path d="M0 0V6" stroke="#999"/>'
    "</pattern></defs></svg>"
)


def render_page(deployment, report):
    """Return the HTML page that shows an `ObjectivesReport`."""
    notes = [f"Revision {report.revision}; reports of {report.sources} entries."]
    if report.unreached:
        notes.append(f"Gap: {report.unreached} entries sent no report.")
    if report.dropped_series:
        notes.append(f"Gap: {report.dropped_series} kinds are not counted.")
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        f"<title>Burn rates of {escape(deployment)}</title>",
        f"<style>{_STYLE}</style></head><body>{_GAP_PATTERN}",
        f"<h1>Burn rates of {escape(deployment)}</h1>",
        f"<p>{escape(' '.join(notes))} Hatched periods have no data.</p>",
        *(_kind_section(kind) for kind in report.kinds),
        "</body></html>\n",
    ]
    return "\n".join(parts)


def _kind_section(kind):
    budget_text = "no events" if kind.budget_left is None else f"{kind.budget_left:.0%}"
    return (
        f"<h2>{escape(kind.service)} / {escape(kind.kind)}</h2>"
        f"<p>Objective {kind.target:g} within {kind.good_within_s:g} s;"
        f" budget left over 6 h: {budget_text};"
        f' alert: <b style="color:{ALERT_COLOURS[kind.alert]}">{kind.alert}</b></p>'
        f"{_plot(kind)}"
    )


def window_intervals(kind):
    """Split the nested windows of a kind into disjoint intervals, oldest first.

    Returns
    -------
    tuple of tuple
        Start and end in seconds before now, number of good and of bad events, and
        seconds without data.
    """
    intervals, inner = [], (0, 0, 0, 0)
    for window in sorted(kind.windows, key=lambda item: item.window_s):
        outer = (window.window_s, window.good, window.bad, window.gap_s)
        differences = (
            outer_value - inner_value
            for outer_value, inner_value in zip(outer[1:], inner[1:], strict=True)
        )
        intervals.append((outer[0], inner[0], *differences))
        inner = outer
    return tuple(reversed(intervals))


def _plot(kind):
    intervals = window_intervals(kind)
    width = (PLOT_WIDTH_PX - LEFT_MARGIN_PX) / len(intervals)
    parts = [
        f'<svg width="{PLOT_WIDTH_PX}" height="{PLOT_HEIGHT_PX + 20}" role="img">',
        *_threshold_line(PAGE_BURN_RATE, ALERT_COLOURS[Alert.PAGE]),
        *_threshold_line(TICKET_BURN_RATE, ALERT_COLOURS[Alert.TICKET]),
        *_threshold_line(1.0, "#888"),
    ]
    for index, (start, end, good, bad, gap_s) in enumerate(intervals):
        left = LEFT_MARGIN_PX + index * width
        gap_width = width * min(1.0, max(0, gap_s) / (start - end))
        label = f"{_format_age(start)} to {_format_age(end)}"
        if gap_width:
            parts.append(
                f'<rect class="gap" x="{left:.1f}" y="0" width="{gap_width:.1f}"'
                f' height="{PLOT_HEIGHT_PX}"><title>no data for {gap_s // 60} min'
                "</title></rect>"
            )
        if good + bad:
            rate = bad / (good + bad) / (1 - kind.target)
            top = _y_position(rate)
            parts.append(
                f'<rect x="{left + 2:.1f}" y="{top:.1f}" width="{width - 4:.1f}"'
                f' height="{PLOT_HEIGHT_PX - top:.1f}"'
                ' fill="#4a78b5" fill-opacity="0.75">'
                f"<title>{label}: burn rate {rate:.2f}, {good} good,"
                f" {bad} bad</title></rect>"
            )
        parts.append(
            f'<text x="{left + 4:.1f}" y="{PLOT_HEIGHT_PX + 14}">{label}</text>'
        )
    return "".join((*parts, "</svg>"))


def _threshold_line(burn_rate, colour):
    y = _y_position(burn_rate)
    yield (
        f'<path d="M{LEFT_MARGIN_PX} {y:.1f}H{PLOT_WIDTH_PX}" stroke="{colour}"'
        ' stroke-dasharray="4 3"/>'
    )
    yield f'<text x="2" y="{y + 4:.1f}">{burn_rate:g}</text>'


def _y_position(burn_rate):
    low, high = math.log(MIN_BURN_RATE), math.log(MAX_BURN_RATE)
    value = math.log(min(max(burn_rate, MIN_BURN_RATE), MAX_BURN_RATE))
    # A bar is at least two pixels high, to distinguish a low rate from no events.
    return (PLOT_HEIGHT_PX - 2) * (1 - (value - low) / (high - low))


def _format_age(seconds):
    if not seconds:
        return "now"
    return f"{seconds // 3600} h" if seconds >= 3600 else f"{seconds // 60} min"
