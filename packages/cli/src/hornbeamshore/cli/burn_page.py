"""Self-contained HTML page with plots of burn rates, without scripts."""

import math
from html import escape

from hornbeamshore.entry.objectives import (
    PAGE_BURN,
    TICKET_BURN,
    Alert,
)

PLOT_WIDTH, PLOT_HEIGHT, MARGIN = 480, 150, 40
# Limits of the logarithmic axis; burn rates outside them are clamped.
LOWEST_BURN, HIGHEST_BURN = 0.1, 100.0
COLOURS = {Alert.NONE: "#2e7d32", Alert.TICKET: "#e69500", Alert.PAGE: "#c62828"}

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
        *(_section(kind) for kind in report.kinds),
        "</body></html>\n",
    ]
    return "\n".join(parts)


def _section(kind):
    left = "no events" if kind.budget_left is None else f"{kind.budget_left:.0%}"
    return (
        f"<h2>{escape(kind.service)} / {escape(kind.kind)}</h2>"
        f"<p>Objective {kind.target:g} within {kind.good_within_s:g} s;"
        f" budget left over 6 h: {left};"
        f' alert: <b style="color:{COLOURS[kind.alert]}">{kind.alert}</b></p>'
        f"{_plot(kind)}"
    )


def spans(kind):
    """Split the nested windows of a kind into disjoint intervals, oldest first.

    Returns
    -------
    tuple of tuple
        Start and end in seconds before now, number of good and of bad events, and
        seconds without data.
    """
    found, inner = [], (0, 0, 0, 0)
    for window in sorted(kind.windows, key=lambda item: item.window_s):
        outer = (window.window_s, window.good, window.bad, window.gap_s)
        between = (out - inn for out, inn in zip(outer[1:], inner[1:], strict=True))
        found.append((outer[0], inner[0], *between))
        inner = outer
    return tuple(reversed(found))


def _plot(kind):
    steps = spans(kind)
    width = (PLOT_WIDTH - MARGIN) / len(steps)
    parts = [
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT + 20}" role="img">',
        *_threshold(PAGE_BURN, COLOURS[Alert.PAGE]),
        *_threshold(TICKET_BURN, COLOURS[Alert.TICKET]),
        *_threshold(1.0, "#888"),
    ]
    for number, (start, end, good, bad, gap_s) in enumerate(steps):
        left = MARGIN + number * width
        gap_width = width * min(1.0, max(0, gap_s) / (start - end))
        label = f"{_ago(start)} to {_ago(end)}"
        if gap_width:
            parts.append(
                f'<rect class="gap" x="{left:.1f}" y="0" width="{gap_width:.1f}"'
                f' height="{PLOT_HEIGHT}"><title>no data for {gap_s // 60} min'
                "</title></rect>"
            )
        if good + bad:
            rate = bad / (good + bad) / (1 - kind.target)
            top = _height(rate)
            parts.append(
                f'<rect x="{left + 2:.1f}" y="{top:.1f}" width="{width - 4:.1f}"'
                f' height="{PLOT_HEIGHT - top:.1f}" fill="#4a78b5" fill-opacity="0.75">'
                f"<title>{label}: burn rate {rate:.2f}, {good} good,"
                f" {bad} bad</title></rect>"
            )
        parts.append(f'<text x="{left + 4:.1f}" y="{PLOT_HEIGHT + 14}">{label}</text>')
    return "".join((*parts, "</svg>"))


def _threshold(burn, colour):
    y = _height(burn)
    yield (
        f'<path d="M{MARGIN} {y:.1f}H{PLOT_WIDTH}" stroke="{colour}"'
        ' stroke-dasharray="4 3"/>'
    )
    yield f'<text x="2" y="{y + 4:.1f}">{burn:g}</text>'


def _height(burn):
    low, high = math.log(LOWEST_BURN), math.log(HIGHEST_BURN)
    value = math.log(min(max(burn, LOWEST_BURN), HIGHEST_BURN))
    # A bar is at least two pixels high, to tell a low rate from no events.
    return (PLOT_HEIGHT - 2) * (1 - (value - low) / (high - low))


def _ago(seconds):
    if not seconds:
        return "now"
    return f"{seconds // 3600} h" if seconds >= 3600 else f"{seconds // 60} min"
