"""Guards against planned stops that interrupt requests or tasks under load."""

import time

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.scenario import ENTRIES, SLOTS, TARGETS, Row

# P6: time after which a leaving target gets no new tasks.
LEAVING_MS = 2_000
# Guards only against a hang.
PATIENCE_S = 15.0


async def stop_owner(scenario):
    assert await scenario.fleet.stop(await scenario.owner()) == 0


async def stop_agent(scenario):
    agent_id = await scenario.busy_agent()
    # Keeps the target busy for longer than `LEAVING_MS`.
    long_job = scenario.make(tasks=SLOTS // 2, run_ms=4_000)
    async with trio.open_nursery() as nursery:
        front = await scenario.front()
        nursery.start_soon(scenario.load.submit, long_job, front, PATIENCE_S)
        await trio.sleep(0.5)
        stopped_at = time.time_ns() // 1_000_000
        assert await scenario.fleet.stop(agent_id) == 0
    starts = [
        start
        for job in scenario.load.starts().values()
        for start in job
        if start.agent_id == agent_id
    ]
    late = [start for start in starts if start.unix_ms > stopped_at + LEAVING_MS]
    assert not late
    assert long_job.last.code == ResultCode.OK


async def replace_all(scenario):
    for plan in ENTRIES:
        assert await scenario.fleet.stop(plan.entry_id) == 0
        await scenario.restart_entry(plan.entry_id)
        await scenario.wait_answered(plan.entry_id)
    for plan in TARGETS:
        assert await scenario.fleet.stop(plan.agent_id) == 0
        await scenario.restart_agent(plan.agent_id)
        await scenario.wait_used(plan.agent_id)


ROWS = (
    Row(
        "agent-stopped",
        "interrupted tasks, or new tasks on a leaving target",
        stop_agent,
        42,
        "planned",
        cuts_nothing=True,
    ),
    Row(
        "owner-stopped",
        "jobs lost in the handover between an owner and its successor",
        stop_owner,
        41,
        "planned",
        cuts_nothing=True,
    ),
    Row(
        "rolling-replacement",
        "requests interrupted by the daily replacement of hosts",
        replace_all,
        43,
        "rolling",
        cuts_nothing=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_planned_stop(row, verdicts):
    assert not verdicts[row.name], row.guards + "\n" + verdicts[row.name]
