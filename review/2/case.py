"""TWICE: an entry that was frozen places jobs whose clients have left."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    TROUBLE, Deployment, describe_overlap, job, new_job_id, overlapping_runs, run_case,
)

ROUNDS, ROUND_S = 9, 9.0
FREEZE_S = 4.0
# Two thirds of the traffic on the site's sheet (70 jobs a second), which goes to this node
# until the platform has missed two readiness checks.
JOBS_PER_S, ROTATION_S = 47, 2.0
DEADLINE_S, WORK_MS, TASKS, CPU = 1.5, 1200, 2, 1000


async def case(record):
    async with Deployment(record, entries=2, agents=11) as system:
        first, second = system.fronts
        clients = []
        for _ in range(ROUNDS):
            if TROUBLE:
                system.entries[0].send(signal.SIGSTOP)
                asyncio.get_running_loop().call_later(
                    FREEZE_S, system.entries[0].send, signal.SIGCONT)
            for _ in range(round(JOBS_PER_S * ROTATION_S)):
                clients.append(asyncio.create_task(client(system, first, second)))
                await asyncio.sleep(1 / JOBS_PER_S)
            await asyncio.sleep(ROUND_S - ROTATION_S)
        await asyncio.gather(*clients)
        return [describe_overlap(*pair) for pair in overlapping_runs(system.history)]


async def client(system, first, second):
    """Wait for an answer of one node; without one, send the job to another node."""
    job_id, body = new_job_id(), job(WORK_MS, count=TASKS, cpu=CPU)
    answer = await system.start_client(job_id, body, [first], DEADLINE_S)
    if answer is None:
        await system.start_client(job_id, body, [second], DEADLINE_S)


run_case(case, HERE)
