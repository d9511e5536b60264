"""Caller process: sends planned submissions and writes what it got.

``python -m hornbeamshore.bench.loadgen PLAN ANSWERS`` reads a `Plan` and writes a
`Report`, both as JSON.
"""

import random
import time
from dataclasses import dataclass, replace
from pathlib import Path

import fire
import httpcore
import msgspec
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.caller import Caller
from hornbeamshore.bench.judge import NO_CODE, Answer
from hornbeamshore.bench.load import LoadJob
from hornbeamshore.bench.profiles import MS_PER_S

RETRY_PAUSE_S = 0.2
# A submission that is sent again has what is left of its deadline, and this at
# least, so that it can still learn the outcome.
LEAST_DEADLINE_MS = 1000
# Callers ask again for this long after the deadline before they count as unanswered.
GIVE_UP_AFTER_S = 12.0
# Entries answer by the deadline; this is for the way of the answer.
ANSWER_GRACE_S = 3.0

# Answers after which a client submits the same again, as the HTTP page tells it.
_RESUBMITTED = frozenset(
    {
        NO_CODE,
        ResultCode.DRAINING,
        ResultCode.KEY_UNACCOUNTED,
        ResultCode.OWNER_UNREACHABLE,
    }
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Plan:
    """Work of one caller process.

    Attributes
    ----------
    addresses : tuple of str
        Entries; submissions go to them in turn.
    start_at : float
        Reading of `time.monotonic` at which the pass starts.
    patient : bool
        Whether submissions are sent again until they are answered.
    """

    addresses: tuple[str, ...]
    tokens: dict[str, str]
    start_at: float
    jobs: tuple[LoadJob, ...]
    patient: bool = True


@dataclass(frozen=True, slots=True)
class Report:
    """Answers, and the processor time that the caller process took."""

    answers: tuple[Answer, ...]
    cpu_s: float


class LoadGenerator:
    """Sends the submissions of a plan, each in a task of its own."""

    def __init__(self, plan):
        self._plan = plan
        self._rng = random.Random(len(plan.jobs))
        self._idle = {}
        self._answers = []

    async def run(self):
        """Send all, and return the answers."""
        async with trio.open_nursery() as nursery:
            for number, job in enumerate(self._plan.jobs):
                await trio.sleep(max(0.0, job.at_s - self._now()))
                nursery.start_soon(self._answer, job, number)
        return tuple(self._answers)

    def _now(self):
        return time.monotonic() - self._plan.start_at

    async def _answer(self, job, number):
        late_s = self._now() - job.at_s
        submitted_at = time.time_ns() // 1_000_000
        end_s = job.at_s + job.deadline_ms / MS_PER_S
        give_up_s = end_s + GIVE_UP_AFTER_S * self._plan.patient
        reply, tries = None, 0
        while reply is None or reply.code in _RESUBMITTED:
            if tries:
                await trio.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
            if tries and self._now() >= give_up_s:
                break
            address = self._address(number + tries)
            tries += 1
            left_ms = round((end_s - self._now()) * MS_PER_S)
            deadline_ms = max(LEAST_DEADLINE_MS, min(job.deadline_ms, left_ms))
            asked = replace(job, deadline_ms=deadline_ms)
            reply = await self._submit(address, asked, submitted_at) or reply
        self._answers.append(_judged(job, reply, late_s, self._now(), tries))

    def _address(self, number):
        return self._plan.addresses[number % len(self._plan.addresses)]

    async def _submit(self, address, job, submitted_at):
        """Return the `Reply`, or None if there was no whole one."""
        idle = self._idle.setdefault((address, job.team), [])
        token = self._plan.tokens[job.team]
        caller = idle.pop() if idle else Caller(address, token)
        try:
            with trio.fail_after(job.deadline_ms / MS_PER_S + ANSWER_GRACE_S):
                reply = await caller.request(*_request(job, submitted_at))
        except _BROKEN:
            return None
        idle.append(caller)
        return reply


def _request(job, submitted_at):
    """Return method, path, body and headers of a submission."""
    bodies = [
        {"run_ms": run_ms, "echo": f"{job.id}/{index}"}
        for index, run_ms in enumerate(job.runs_ms)
    ]
    if job.single:
        headers = (
            ("Idempotency-Key", job.id),
            ("Hornbeamshore-Submitted-At", str(submitted_at)),
            ("Hornbeamshore-Deadline-Ms", str(job.deadline_ms)),
        )
        return "POST", f"/v1/services/{job.service}/{job.kind}", bodies[0], headers
    content = {
        "id": job.id,
        "service": job.service,
        "kind": job.kind,
        "deadline_ms": job.deadline_ms,
        "submitted_at": submitted_at,
        "tasks": [{"body": body} for body in bodies],
    }
    return "POST", "/v1/jobs", content, ()


def _judged(job, reply, late_s, now_s, tries):
    if reply is None:
        return Answer(
            job.id, now_s - job.at_s, late_s, NO_CODE, "", False, False, tries
        )
    echoes = _echoes(job, reply.content)
    expected = [f"{job.id}/{index}" for index in range(len(job.runs_ms))]
    return Answer(
        job.id,
        now_s - job.at_s,
        late_s,
        reply.code,
        reply.run_state,
        echoes == expected,
        bool(echoes) and echoes != expected,
        tries,
    )


def _echoes(job, content):
    """Return what the results of an answer echo."""
    if not isinstance(content, dict):
        return []
    if job.single:
        return [content["echo"]] if "echo" in content else []
    return [
        (result.get("body") or {}).get("echo") for result in content.get("results", ())
    ]


def main(plan, answers):
    """Run a plan from a file and write the report to another."""
    plan = msgspec.json.decode(Path(plan).read_bytes(), type=Plan)
    done = trio.run(LoadGenerator(plan).run)
    report = Report(done, time.process_time())
    Path(answers).write_bytes(msgspec.json.encode(report))


if __name__ == "__main__":
    fire.Fire(main)
