"""Copies of a submission at any time and through any entry."""

from functools import partial

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.scenario import Row

JOBS = 8
RUN_MS = 600
# Guards against hanging only.
PATIENCE_S = 15.0


def resubmit(*, delay_s, same_entry=False, owner_dies=False):
    """Return what submits jobs, and a copy of each after a time.

    Parameters
    ----------
    delay_s : float or None
        Time after which the copy is sent; None to wait for the first answer.
    """

    async def provoke(scenario):
        owner = await scenario.owner()
        first = await scenario.front()
        others = sorted(set(scenario.fleet.entries) - {first, owner})
        second = first if same_entry else others[0]

        async def run_one(trace):
            submit = partial(scenario.load.submit, trace, patience_s=PATIENCE_S)
            if delay_s is None:
                await submit(first)
                await submit(second)
            else:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit, first)
                    await trio.sleep(delay_s)
                    nursery.start_soon(submit, second)
            replies = [copy.reply for copy in trace.copies]
            assert len(replies) == 2
            assert replies[0] is not None
            assert replies[0] == replies[1]
            assert replies[0].code == ResultCode.OK

        async with trio.open_nursery() as nursery:
            for _ in range(JOBS):
                trace = scenario.make(tasks=3, run_ms=RUN_MS)
                nursery.start_soon(run_one, trace)
            if owner_dies:
                await trio.sleep(delay_s / 2)
                scenario.fleet.kill(owner)

    return provoke


ROWS = (
    Row("copy-while-running", "a second run", resubmit(delay_s=0.3), 61, "copies"),
    Row(
        "copy-by-same-entry",
        "a second run",
        resubmit(delay_s=0.3, same_entry=True),
        62,
        "copies",
    ),
    Row("copy-after-end", "another answer", resubmit(delay_s=None), 63, "copies"),
    Row("copies-at-once", "two first submissions", resubmit(delay_s=0), 64, "copies"),
    Row(
        "copy-after-owner-died",
        "a successor that runs the copy",
        resubmit(delay_s=0.4, owner_dies=True),
        65,
        "copies",
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_resubmission(row, verdicts):
    assert not verdicts[row.name], row.guards + "\n" + verdicts[row.name]
