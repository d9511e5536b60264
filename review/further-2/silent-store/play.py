"""A job is cancelled at another entry after connections to the store went silent."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lab-2"))

import lab as stand_ins  # noqa: E402

JOB = "5c0e7a21d94b36f8"
import time  # noqa: E402

EARLIER_JOB = "1d94b36f85c0e7a2"


async def play(lab):
    await lab.open(["front-1", "front-2"], ["side-1", "side-2"])
    await asyncio.sleep(stand_ins.CONTACT_S + 1)
    lab.submit("front-2", EARLIER_JOB, lab.job([5.0]))
    await lab.wait_running(EARLIER_JOB)
    status, _ = await lab.cancel("front-1", EARLIER_JOB)
    if status != 200:
        raise stand_ins.CannotRun("the earlier job was not cancelled")
    await asyncio.sleep(6.0)
    answer = lab.submit("front-2", JOB, lab.job([7.0, 4.0], count=2))
    await lab.wait_running(JOB)
    calm_from = 0.0
    if lab.trouble:
        # Just after a renewal by front-1, so that no call notices the silence at once.
        while time.monotonic() - lab.store.last_keep.get("front-1", 0.0) > 1.0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        count = lab.store.silence_connections()
        lab.say(f"{count} open connections to the store go silent; new ones work")
        calm_from = lab.now() + stand_ins.CONTACT_S
        await asyncio.sleep(1.0)
    status, acked_at = await lab.cancel("front-1", JOB)
    if status not in (200, 410):
        return 0
    await asyncio.wait([answer], timeout=16)
    return lab.judge_unasked(JOB, acked_at, calm_from, lab.now())


stand_ins.main(FOLDER, play)
