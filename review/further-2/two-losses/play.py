"""An entry stands still, and 0.6 s later an agent is killed; see lost-entry-and-agent.md."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lab-2"))

import lab as stand_ins  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DEADLINE_S = 4.0
RESEND_S = 1.3


async def play(lab):
    await lab.open(["front-1", "front-2"], ["side-1", "side-2"])
    await asyncio.sleep(stand_ins.CONTACT_S + 1)
    job = lab.job([9.0], count=2)
    posted_at = lab.now()
    lab.submit("front-1", JOB, job, deadline_ms=round(DEADLINE_S * 1000))
    await lab.wait_running(JOB)
    if lab.trouble:
        await asyncio.sleep(posted_at + DEADLINE_S - 0.03 - lab.now())
        lab.kill("front-1", signal.SIGSTOP)
        await asyncio.sleep(0.6)
        lab.kill("side-1")
    else:
        await asyncio.sleep(posted_at + DEADLINE_S + 0.75 - lab.now())
    await asyncio.sleep(posted_at + DEADLINE_S + RESEND_S - lab.now())
    lab.submit("front-2", JOB, job, deadline_ms=3000)
    await asyncio.sleep(1.7)
    if lab.trouble:
        lab.kill("front-1", signal.SIGCONT)
    return lab.judge_twice(JOB)


stand_ins.main(FOLDER, play)
