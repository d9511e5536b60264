"""A machine stands still for 3.2 s while it starts the tasks of a job."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

import lab as stand_ins  # noqa: E402

SIDES = ["side-1", "side-2", "side-3"]
TASKS, CPU = 32, 1800
FREEZE_S = 3.2
ROUNDS_END_S = 98


class Freezing:
    """Stops the agent of the minion that is the first to begin a task of a job."""

    def __init__(self, lab):
        self._lab, self._began = lab, lab.run_began
        self.is_armed, self.frozen = False, None
        lab.run_began = self.run_began

    def run_began(self, minion, task, number):
        if self.is_armed:
            self.is_armed, self.frozen = False, minion.name
            self._lab.processes[minion.name].send_signal(signal.SIGSTOP)
            self._lab.say(f"machine {minion.name} stands still")
        self._began(minion, task, number)


async def play(lab):
    await lab.open(["front-1"], SIDES)
    await asyncio.sleep(stand_ins.CONTACT_S + 1)
    freezing = Freezing(lab)
    number = broken = 0
    while not broken and lab.now() < ROUNDS_END_S:
        number += 1
        job_id = f"{number:016x}"
        job = lab.job([3.0], count=TASKS)
        job["steps"][0]["cpu"] = CPU
        freezing.is_armed = lab.trouble
        answer = lab.submit("front-1", job_id, job)
        await lab.wait_running(job_id)
        await asyncio.sleep(FREEZE_S)
        if lab.trouble:
            lab.processes[freezing.frozen].send_signal(signal.SIGCONT)
            lab.say(f"machine {freezing.frozen} goes on")
        await asyncio.sleep(0.6)
        await lab.cancel("front-1", job_id)
        await asyncio.wait([answer], timeout=10)
        await asyncio.sleep(0.3)
        broken = lab.judge_twice(job_id)
        await asyncio.sleep(1.2)
    return broken


stand_ins.main(FOLDER, play)
