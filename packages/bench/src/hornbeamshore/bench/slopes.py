"""Growth of CPU time, memory and traffic with the size of a deployment.

``python -m hornbeamshore.bench.slopes [--only WORD]`` measures small deployments on
loopback and prints a least squares line for each quantity. CPU time is taken from
the kernel's counters of each process, so other load on the machine affects it little.
"""

import sys

import fire
import trio

from hornbeamshore.bench.fit import least_squares
from hornbeamshore.bench.slope_runs import RUNS

# Two runs at a time complete the table within five minutes without using all cores.
MAX_CONCURRENT_RUNS = 2
HEADER = f"{'measured':34} {'slope':>12} {'intercept':>10} {'R2':>5}  points"


async def run_all(only=""):
    """Run and print each measurement whose title contains a word."""
    limit = trio.CapacityLimiter(MAX_CONCURRENT_RUNS)
    async with trio.open_nursery() as nursery:
        for item in RUNS:
            if only in item.title:
                nursery.start_soon(_run_one, item, limit)


async def _run_one(item, limit):
    async with limit:
        all_series = await item.run()
    rows = [f"\n{item.title}", HEADER, *map(format_row, all_series)]
    print("\n".join(rows), flush=True)


def format_row(series):
    """Return the table row of one series of points."""
    line = least_squares(series.points)
    points = " ".join(f"{x:.4g}:{y:.4g}" for x, y in series.points)
    return (
        f"{series.y:34} {line.slope:12.4g} {line.intercept:10.4g}"
        f" {line.r_squared:5.2f}  {series.x} {points}"
    )


def main(only=""):
    """Print the table.

    Parameters
    ----------
    only : str
        Runs only the measurements whose title contains it.
    """
    trio.run(run_all, only)


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
