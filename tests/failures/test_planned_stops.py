"""Guards against planned stops that interrupt requests or tasks under load."""

import time

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.scenario import ENTRIES, SLOTS, TARGETS, Row

# P6: time after which a leaving target gets no new tasks.
LEAVING_MS = 2_000
# Guards only against a hang.
REPLY_TIMEOUT_S = 15.0


async def stop_owner(scenario):
    assert await scenario.fleet.stop(await scenario.wait_for_owner()) == 0


async def stop_agent(scenario):
    agent_id = await scenario.busiest_agent()
    # Keeps the target busy for longer than `LEAVING_MS`.
    long_job = scenario.make_submission(tasks=SLOTS // 2, run_ms=4_000)
    async with trio.open_nursery() as nursery:
        non_owner = await scenario.choose_non_owner()
        nursery.start_soon(scenario.load.submit, long_job, non_owner, REPLY_TIMEOUT_S)
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
    assert long_job.last_reply.code == ResultCode.OK


async def replace_all_processes(scenario):
    for plan in ENTRIES:
        assert await scenario.fleet.stop(plan.entry_id) == 0
        await scenario.restart_entry(plan.entry_id)
        await scenario.wait_until_serving(plan.entry_id)
    for plan in TARGETS:
        assert await scenario.fleet.stop(plan.agent_id) == 0
        await scenario.restart_agent(plan.agent_id)
        await scenario.wait_until_used(plan.agent_id)


ROWS = (
    Row(
        "agent-stopped",
        "interrupted tasks, or new tasks on a leaving target",
        stop_agent,
        42,
        "planned",
        forbids_interruption=True,
    ),
    Row(
        "owner-stopped",
        "jobs lost in the handover between an owner and its successor",
        stop_owner,
        41,
        "planned",
        forbids_interruption=True,
    ),
    Row(
        "rolling-replacement",
        "requests interrupted by the daily replacement of hosts",
        replace_all_processes,
        43,
        "rolling",
        forbids_interruption=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_planned_stop(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
