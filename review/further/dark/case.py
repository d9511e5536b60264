"""BUDGET: a task under which minions go dark is started again and again."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from standins import (  # noqa: E402
    TROUBLE, Deployment, Relay, job, new_job_id, run_case,
)

DOWN_S = 3.0
JOBS, JOBS_PER_S, WORK_MS = 100, 10, 400
CRASHES, MORE_STARTS = 3, 3


class Deployed:
    """Relays that stand in front of the minions and go silent when one crashes."""

    def __init__(self, record, system):
        self.record, self.relays, self.lives = record, {}, {}
        self.minions = system.minions
        for minion, behind in zip(system.minions, system.behind):
            self.relays[minion] = Relay(minion.address, behind)
            minion.address = behind
            self.lives[minion] = 1

    async def watch(self, history, deadly_id):
        """Crash each minion that has started a task of the deadly job."""
        seen = 0
        while True:
            await asyncio.sleep(0.002)
            for run in history[seen:]:
                if run.task.startswith(deadly_id):
                    minion = next(m for m in self.minions if m.name == run.minion)
                    asyncio.create_task(self._crash(minion))
            seen = len(history)

    async def _crash(self, minion):
        if not minion.up:
            return
        self.relays[minion].cut()
        minion.crash()
        await asyncio.sleep(DOWN_S)
        self.lives[minion] += 1
        minion.id = f"i-{minion.name}-{self.lives[minion]}"
        self.relays[minion].heal()
        await minion.start()


async def case(record):
    system = Deployment(record, entries=1, agents=11)
    deployed = Deployed(record, system)
    for relay in deployed.relays.values():
        await relay.start()
    deadly_id = new_job_id()
    async with system:
        clients = []
        if TROUBLE:
            watch = asyncio.create_task(deployed.watch(system.history, deadly_id))
        for number in range(JOBS):
            job_id = deadly_id if number == 20 else new_job_id()
            clients.append(
                system.start_client(job_id, job(WORK_MS), system.fronts))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*clients)
        if TROUBLE:
            watch.cancel()
        for relay in deployed.relays.values():
            relay.close()
        starts = [run for run in system.history if run.task.startswith(deadly_id)]
        crashed_at = sorted(run.ended_at for run in starts if run.how == "crash")
        record(f"{len(starts)} starts of the deadly task, {len(crashed_at)} crashes")
        if len(crashed_at) < CRASHES:
            return []
        more = [run for run in starts if run.started_at > crashed_at[CRASHES - 1]]
        if len(more) < MORE_STARTS:
            return []
        return [f"{starts[0].task}: started {len(more)} times after {CRASHES} minions had "
                f"crashed under it, {len(starts)} times in all"]


run_case(case, HERE)
