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
MAX_STARTING = 3
KEEP_LOGS = Path("build/failures").absolute()


@pytest.fixture(scope="session")
def verdicts(request):
    """Run all selected rows; return tracebacks by row name, empty for a pass."""
    rows = [
        item.callspec.params["row"]
        for item in request.session.items
        if "verdicts" in item.fixturenames
    ]
    # The sort is stable, so rows of the same fleet keep the order of the tables.
    rows.sort(key=lambda row: row.fleet)
    found = {}

    def ended(row, load, exc):
        found[row.name] = "".join(traceback.format_exception(exc)) if exc else ""
        print(f"{row.name}: {'failed' if exc else 'passed'}, {dict(load.codes())}")

    async def run_fleet(group, fleets, starting):
        async with fleets:
            await run_rows(group, KEEP_LOGS, ended, starting)

    async def run_all():
        fleets = trio.CapacityLimiter(MAX_FLEETS)
        starting = trio.CapacityLimiter(MAX_STARTING)
        async with trio.open_nursery() as nursery:
            for _, group in itertools.groupby(rows, key=lambda row: row.fleet):
                nursery.start_soon(run_fleet, list(group), fleets, starting)

    trio.run(run_all)
    return found
