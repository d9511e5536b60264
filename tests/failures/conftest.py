"""Runs the rows of the failure table concurrently and keeps their verdicts."""

import traceback
from pathlib import Path

import pytest
import trio

from hornbeamshore.bench.scenario import run_row

# A fleet has 12 processes; about 100 may run at a time.
MAX_FLEETS = 7
ROW_TIMEOUT_S = 120.0
KEEP_LOGS = Path("build/failures")


@pytest.fixture(scope="session")
def verdicts(request):
    """Return, by name of the row, the text of what went wrong, empty for nothing."""
    rows = [
        item.callspec.params["row"]
        for item in request.session.items
        if "verdicts" in item.fixturenames
    ]
    found = {}

    async def run_one(row, fleets):
        async with fleets:
            started = trio.current_time()
            try:
                with trio.fail_after(ROW_TIMEOUT_S):
                    codes = await run_row(row, KEEP_LOGS)
                found[row.name] = ""
                elapsed_s = trio.current_time() - started
                print(f"{row.name}: {elapsed_s:.0f} s, {dict(codes)}")
            except Exception as exc:
                found[row.name] = "".join(traceback.format_exception(exc))

    async def run_all():
        fleets = trio.CapacityLimiter(MAX_FLEETS)
        async with trio.open_nursery() as nursery:
            for row in rows:
                nursery.start_soon(run_one, row, fleets)

    trio.run(run_all)
    return found
