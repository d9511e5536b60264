"""Guards against a second run or a different reply when a job is resubmitted."""

from functools import partial

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.scenario import Row

JOBS = 8
RUN_MS = 600
# Guards only against a hang.
REPLY_TIMEOUT_S = 15.0


def resubmit(*, delay_s, same_entry=False, owner_dies=False):
    """Return a coroutine function that submits jobs and a copy of each.

    Parameters
    ----------
    delay_s : float or None
        Time in seconds after which the copy is sent; None to send it after the reply
        to the first.
    same_entry : bool
        Whether the copy is sent to the same entry.
    owner_dies : bool
        Whether the owner is killed after half of `delay_s`.
    """

    async def inject(scenario):
        owner = await scenario.wait_for_owner()
        first = await scenario.choose_non_owner()
        others = sorted(set(scenario.fleet.entries) - {first, owner})
        second = first if same_entry else others[0]

        async def submit_twice(submission):
            submit = partial(
                scenario.load.submit, submission, timeout_s=REPLY_TIMEOUT_S
            )
            if delay_s is None:
                await submit(first)
                await submit(second)
            else:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit, first)
                    await trio.sleep(delay_s)
                    nursery.start_soon(submit, second)
            replies = [copy.reply for copy in submission.copies]
            assert len(replies) == 2
            assert replies[0] is not None
            assert replies[0] == replies[1]
            assert replies[0].code == ResultCode.OK

        async with trio.open_nursery() as nursery:
            for _ in range(JOBS):
                submission = scenario.make_submission(tasks=3, run_ms=RUN_MS)
                nursery.start_soon(submit_twice, submission)
            if owner_dies:
                await trio.sleep(delay_s / 2)
                scenario.fleet.kill(owner)

    return inject


ROWS = (
    Row("copy-while-running", "a second run", resubmit(delay_s=0.3), 61, "copies"),
    Row(
        "copy-by-same-entry",
        "a second run",
        resubmit(delay_s=0.3, same_entry=True),
        62,
        "copies",
    ),
    Row("copy-after-end", "a different reply", resubmit(delay_s=None), 63, "copies"),
    Row("copies-at-once", "two runs", resubmit(delay_s=0), 64, "copies"),
    Row(
        "copy-after-owner-died",
        "a new owner that runs the copy",
        resubmit(delay_s=0.4, owner_dies=True),
        65,
        "copies",
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_resubmission(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
