"""A minion crashes while it runs nothing, and comes back under its id as another kind."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lab-2"))

import lab as stand_ins  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DOWN_S = 3.0
# From the moment when the new incarnation listens to its first heartbeat; then it sends
# one about every 1.5 s.
FIRST_HEARTBEAT_S = 0.3


async def restart(lab, minion, kind):
    """Let a minion crash and start again under its id."""
    lab.say(f"{minion.name}: the minion crashes; it runs {len(minion.running)} tasks")
    minion.announcing.cancel()
    await minion.close()
    await asyncio.sleep(DOWN_S)
    again = stand_ins.Minion(lab, minion.name, minion.host, kind)
    lab.minions[minion.name] = again
    await again.listen(again.host, lab.ports["app"])
    lab.spawn(again.work())
    lab.say(f"{again.name}: the minion is back as {again.instance}, kind {kind}")
    return again


async def play(lab):
    await lab.open(["front-1"], ["side-1", "side-2"], {"side-2": "b"})
    await asyncio.sleep(stand_ins.CONTACT_S + 1)
    if lab.trouble:
        again = await restart(lab, lab.minions["side-1"], "b")
        back_at = time.monotonic()
        await asyncio.sleep(0.1)
    job = lab.job([1.0], count=4)
    job["steps"][0]["requiredLabel"] = "a"
    answer = lab.submit("front-1", JOB, job, deadline_ms=5000)
    if lab.trouble:
        await asyncio.sleep(back_at + FIRST_HEARTBEAT_S - time.monotonic())
        again.announcing = lab.spawn(again.announce())
    await asyncio.wait([answer], timeout=10)
    return lab.judge_route(JOB, "a")


stand_ins.main(FOLDER, play)
