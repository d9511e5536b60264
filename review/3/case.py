"""TWICE: runs of a minion that has started again under its id are taken for lost."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    TROUBLE, Deployment, Relay, describe_overlap, job, new_job_id, overlapping_runs,
    run_case,
)

CUT_S, CRASH_AFTER_S, DOWN_S = 5.5, 1.0, 2.5
# The held-up heartbeat arrives first, the next one of the new life after it.
OLD_BEAT_AFTER_S, NEW_BEAT_AFTER_S = 0.1, 1.3
JOBS, JOBS_PER_S, WORK_MS = 240, 20, 1200


async def case(record):
    system = Deployment(record, entries=1, agents=6)
    minion = system.minions[0]
    relay = Relay(minion.address, system.behind[0])
    minion.address = system.behind[0]
    await relay.start()
    async with system:
        clients = []
        trouble = asyncio.create_task(cut_and_restart(record, minion, relay))
        for _ in range(JOBS):
            clients.append(
                system.start_client(new_job_id(), job(WORK_MS), system.fronts))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(trouble, *clients)
        relay.close()
        return [describe_overlap(*pair) for pair in overlapping_runs(system.history)]


async def cut_and_restart(record, minion, relay):
    if not TROUBLE:
        return
    await asyncio.sleep(1.0)
    record(f"minion {minion.name} is cut off")
    relay.cut()
    minion.is_cut_off = True
    held_up = minion.beat()
    await asyncio.sleep(CRASH_AFTER_S)
    minion.crash()
    await asyncio.sleep(DOWN_S)
    await minion.start()
    await asyncio.sleep(CUT_S - CRASH_AFTER_S - DOWN_S)
    relay.heal()
    record(f"the path to minion {minion.name} is back")
    await asyncio.sleep(OLD_BEAT_AFTER_S)
    record(f"heartbeat of the earlier life arrives: {await minion.send_beat(held_up)}")
    await asyncio.sleep(NEW_BEAT_AFTER_S - OLD_BEAT_AFTER_S)
    minion.is_cut_off = False
    record(f"heartbeat of the new life arrives: {await minion.send_beat(minion.beat())}")


run_case(case, HERE)
