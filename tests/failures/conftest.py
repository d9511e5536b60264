"""Runs the rows of the failure table concurrently and collects their results."""

import itertools
import traceback
from pathlib import Path

import pytest
import trio

from hornbeamshore.bench.scenario import run_rows

# A fleet has 12 processes; this limits the tests to about 100.
MAX_FLEETS = 8
# Each process needs about one second of processor time to start.
MAX_STARTING_FLEETS = 3
LOG_DIRECTORY = Path("build/failures").absolute()


@pytest.fixture(scope="session")
def tracebacks(request):
    """Run all selected rows; return tracebacks by row name, empty for a pass."""
    rows = [
        item.callspec.params["row"]
        for item in request.session.items
        if "tracebacks" in item.fixturenames
    ]
    # The sort is stable, so rows of the same fleet keep the order of the tables.
    rows.sort(key=lambda row: row.fleet_name)
    by_row = {}

    def on_row_end(row, load, exc):
        by_row[row.name] = "".join(traceback.format_exception(exc)) if exc else ""
        print(
            f"{row.name}: {'failed' if exc else 'passed'}, {dict(load.count_codes())}"
        )

    async def run_fleet(group, fleet_limiter, start_limiter):
        async with fleet_limiter:
            await run_rows(group, LOG_DIRECTORY, on_row_end, start_limiter)

    async def run_all():
        fleet_limiter = trio.CapacityLimiter(MAX_FLEETS)
        start_limiter = trio.CapacityLimiter(MAX_STARTING_FLEETS)
        async with trio.open_nursery() as nursery:
            for _, group in itertools.groupby(rows, key=lambda row: row.fleet_name):
                nursery.start_soon(run_fleet, list(group), fleet_limiter, start_limiter)

    trio.run(run_all)
    return by_row
