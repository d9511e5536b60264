"""Text table of the benchmark figures and their targets."""

# Path of a figure, its target, and whether higher values are better. The targets are
# the objectives of the design.
_ROWS = (
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
_DETAILS = (
    "ratio_of_quantiles.p50",
    "ratio_of_quantiles.p99",
    "response_over_fastest_alone.p50",
    "response_over_fastest_alone.p99",
    "agent_bytes_per_s.idle",
    "agent_bytes_per_s.load",
    "agent_messages_per_task",
)


def is_met(value, target, more_is_better):
    """Return whether a figure meets its target."""
    return value >= target if more_is_better else value <= target


def render(output, details, seed):
    """Return the table as text.

    Parameters
    ----------
    output : dict
        Figures by deployment and system.
    details : dict
        Details by deployment and system.
    seed : int
        Seed of the run, shown in the headings.
    """
    lines = []
    for deployment, systems in output.items():
        lines += [f"{deployment}, seed {seed}", _line("", "target", systems)]
        for path, target, more in _ROWS:
            values = [_get(found, path) for found in systems.values()]
            bound = f"{'>=' if more else '<='} {target}"
            cells = [
                f"{_text(value)} {'met' if is_met(value, target, more) else 'missed'}"
                for value in values
            ]
            lines.append(_line(path, bound, cells))
        for path in _DETAILS:
            values = [_text(_get(details[deployment][name], path)) for name in systems]
            lines.append(_line(path, "", values))
        for name in systems:
            passes = details[deployment][name]["passes"]
            lines += [_pass_line(name, *item) for item in passes.items()]
    return "\n".join(lines)


def _pass_line(system, name, found):
    cpu = ", ".join(f"{key} {value:.1f}" for key, value in found["cpu_s"].items())
    return (
        f"  {system}, {name}: offered {found['offered_over_capacity']:.2f} of capacity,"
        f" callers late by {found['caller_late_p99_s'] * 1000:.1f} ms (p99) with"
        f" {found['caller_cores']:.2f} of a core at most, machine busy"
        f" {found['machine_busy']:.2f}, {found['seconds']:.0f} s\n"
        f"    targets ran longer than planned by"
        f" {found['target_overrun_s']['p50'] * 1000:.1f} ms (p50),"
        f" {found['target_overrun_s']['p99'] * 1000:.1f} ms (p99)\n"
        f"    codes {found['codes']}\n"
        f"    starts {found['counters']['starts']}, refused by agents"
        f" {found['counters']['refusals']}, retries {found['counters']['retries']},"
        f" late answers {found['counters']['late_answers']};"
        f" double starts {found['double_starts']}, partial {found['partial_answers']},"
        f" false not run {found['false_not_run']}, unanswered {found['unanswered']}\n"
        f"    processor seconds: {cpu}"
    )


def _line(name, bound, cells):
    return f"{name:36} {bound:>8}  " + "".join(f"{cell:>18}" for cell in cells)


def _get(found, path):
    for name in path.split("."):
        found = found[name]
    return found


def _text(value):
    return f"{value:.3f}" if isinstance(value, float) else str(value)
