"""Text table of the benchmark figures and their bounds."""

# Path of a figure, its bound, and whether the bound is a minimum. The bounds are the
# objectives of the design.
_BOUNDS = (
    ("response_over_ideal.p50", 1.1, False),
    ("response_over_ideal.p99", 2.0, False),
    ("wasted_messages_per_task", 0.05, False),
    ("flood_least_urgent.other_work_kept", 0.95, True),
    ("flood_most_urgent.other_work_kept", 0.95, True),
    ("double_starts", 0, False),
    ("partial_answers", 0, False),
    ("false_not_run", 0, False),
    ("unanswered", 0, False),
)
_DETAIL_PATHS = (
    "ratio_of_quantiles.p50",
    "ratio_of_quantiles.p99",
    "response_over_fastest_alone.p50",
    "response_over_fastest_alone.p99",
    "agent_bytes_per_s.idle",
    "agent_bytes_per_s.load",
    "agent_messages_per_task",
)


def is_met(value, bound, more_is_better):
    """Return whether a figure meets its bound."""
    return value >= bound if more_is_better else value <= bound


def format_table(reports, details, seed):
    """Return the table as text.

    Parameters
    ----------
    reports : dict
        Figures by deployment and system.
    details : dict
        Details by deployment and system.
    seed : int
        Seed of the run, shown in the headings.
    """
    lines = []
    for deployment, systems in reports.items():
        lines += [f"{deployment}, seed {seed}", _format_row("", "bound", systems)]
        for path, bound, is_min in _BOUNDS:
            values = [_look_up(report, path) for report in systems.values()]
            bound_text = f"{'>=' if is_min else '<='} {bound}"
            cells = [
                f"{_fmt(value)} {'met' if is_met(value, bound, is_min) else 'missed'}"
                for value in values
            ]
            lines.append(_format_row(path, bound_text, cells))
        for path in _DETAIL_PATHS:
            values = [
                _fmt(_look_up(details[deployment][name], path)) for name in systems
            ]
            lines.append(_format_row(path, "", values))
        for name in systems:
            passes = details[deployment][name]["passes"]
            lines += [_format_pass(name, *item) for item in passes.items()]
    return "\n".join(lines)


def _format_pass(system, name, stats):
    cpu = ", ".join(f"{key} {value:.1f}" for key, value in stats["cpu_s"].items())
    return (
        f"  {system}, {name}: offered {stats['offered_over_capacity']:.2f} of capacity,"
        f" callers late by {stats['caller_late_p99_s'] * 1000:.1f} ms (p99) with"
        f" {stats['caller_cores']:.2f} of a core at most, machine busy"
        f" {stats['machine_busy']:.2f}, {stats['seconds']:.0f} s\n"
        f"    targets ran longer than planned by"
        f" {stats['target_overrun_s']['p50'] * 1000:.1f} ms (p50),"
        f" {stats['target_overrun_s']['p99'] * 1000:.1f} ms (p99)\n"
        f"    codes {stats['codes']}\n"
        f"    starts {stats['counters']['starts']}, refused by agents"
        f" {stats['counters']['refusals']}, retries {stats['counters']['retries']},"
        f" late answers {stats['counters']['late_answers']};"
        f" double starts {stats['double_starts']}, partial {stats['partial_answers']},"
        f" false not run {stats['false_not_run']}, unanswered {stats['unanswered']}\n"
        f"    CPU seconds: {cpu}"
    )


def _format_row(name, bound, cells):
    return f"{name:36} {bound:>8}  " + "".join(f"{cell:>18}" for cell in cells)


def _look_up(value, path):
    for name in path.split("."):
        value = value[name]
    return value


def _fmt(value):
    return f"{value:.3f}" if isinstance(value, float) else str(value)
