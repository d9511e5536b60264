"""Slopes of processor time, memory and traffic by the size of a deployment.

``python -m hornbeamshore.bench.slopes [--only WORD]`` measures small deployments on
loopback and prints a line by least squares for each quantity. Processor time is
what the kernel counts for a process, so it depends little on other load.
"""

import sys

import fire
import trio

from hornbeamshore.bench.fit import least_squares
from hornbeamshore.bench.slope_runs import RUNS

# The whole table within five minutes, on a machine that is never full.
RUNS_AT_A_TIME = 2
HEADER = f"{'measured':34} {'a slope of':>12} {'from':>10} {'fit':>5}  points"


async def run(only=""):
    """Measure and print each run whose title holds a word."""
    limit = trio.CapacityLimiter(RUNS_AT_A_TIME)
    async with trio.open_nursery() as nursery:
        for item in RUNS:
            if only in item.title:
                nursery.start_soon(_run_one, item, limit)


async def _run_one(item, limit):
    async with limit:
        lines = await item.run()
    rows = [f"\n{item.title}", HEADER, *map(format_line, lines)]
    print("\n".join(rows), flush=True)


def format_line(line):
    """Return the row of the table for the points of one line."""
    found = least_squares(line.points)
    points = " ".join(f"{x:.4g}:{y:.4g}" for x, y in line.points)
    return (
        f"{line.y:34} {found.slope:12.4g} {found.intercept:10.4g}"
        f" {found.fit:5.2f}  {line.x} {points}"
    )


def main(only=""):
    """Print the table; with a word, only the runs whose title holds it."""
    trio.run(run, only)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
