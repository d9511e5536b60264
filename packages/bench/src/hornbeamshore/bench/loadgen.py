"""Load generator process: sends planned submissions and reports their answers.

``python -m hornbeamshore.bench.loadgen PLAN ANSWERS`` reads a `Plan` and writes a
`CallerReport`, both as JSON.
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
from hornbeamshore.bench.evaluation import NO_CODE, Answer
from hornbeamshore.bench.load import LoadJob
from hornbeamshore.bench.profiles import MS_PER_S

RESUBMIT_DELAY_S = 0.2
# Minimum deadline of a resubmission. It leaves time to learn the outcome when the
# original deadline has almost passed.
MIN_RESUBMIT_DEADLINE_MS = 1000
# Callers resubmit for this long after the deadline. A submission without a final
# answer by then counts as unanswered.
RESUBMIT_WINDOW_S = 12.0
# Entries answer by the deadline. This covers the transfer of the answer.
ANSWER_TRANSFER_S = 3.0

# Result codes after which clients of the HTTP interface are to resubmit.
_RESUBMIT_CODES = frozenset(
    {
        NO_CODE,
        ResultCode.DRAINING,
        ResultCode.KEY_UNACCOUNTED,
        ResultCode.OWNER_UNREACHABLE,
    }
)
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Plan:
    """Submissions of one caller process.

    Attributes
    ----------
    addresses : tuple of str
        HTTP addresses of the entries, used round robin.
    tokens : dict of str to str
        Bearer token of each team.
    start_at : float
        Start of the pass on the `time.monotonic` clock, in seconds.
    jobs : tuple of LoadJob
        Submissions ordered by arrival.
    resubmit : bool
        Whether to resubmit after the deadline until there is a final answer.
    """

    addresses: tuple[str, ...]
    tokens: dict[str, str]
    start_at: float
    jobs: tuple[LoadJob, ...]
    resubmit: bool = True


@dataclass(frozen=True, slots=True)
class CallerReport:
    """Answers and CPU seconds of a caller process."""

    answers: tuple[Answer, ...]
    cpu_s: float


class LoadGenerator:
    """Sends the submissions of a plan, each from its own Trio task."""

    def __init__(self, plan):
        self._plan = plan
        self._rng = random.Random(len(plan.jobs))
        self._idle_callers = {}
        self._answers = []

    async def run(self):
        """Send all submissions and return their answers."""
        async with trio.open_nursery() as nursery:
            for number, job in enumerate(self._plan.jobs):
                await trio.sleep(max(0.0, job.at_s - self._elapsed_s()))
                nursery.start_soon(self._submit_until_answered, job, number)
        return tuple(self._answers)

    def _elapsed_s(self):
        return time.monotonic() - self._plan.start_at

    async def _submit_until_answered(self, job, number):
        late_s = self._elapsed_s() - job.at_s
        submitted_at = time.time_ns() // 1_000_000
        end_s = job.at_s + job.deadline_ms / MS_PER_S
        resubmit_until_s = end_s + RESUBMIT_WINDOW_S * self._plan.resubmit
        reply, tries = None, 0
        while reply is None or reply.code in _RESUBMIT_CODES:
            if tries:
                await trio.sleep(RESUBMIT_DELAY_S * self._rng.uniform(0.5, 1.5))
            if tries and self._elapsed_s() >= resubmit_until_s:
                break
            address = self._address(number + tries)
            tries += 1
            remaining_ms = round((end_s - self._elapsed_s()) * MS_PER_S)
            deadline_ms = max(
                MIN_RESUBMIT_DEADLINE_MS, min(job.deadline_ms, remaining_ms)
            )
            submission = replace(job, deadline_ms=deadline_ms)
            reply = await self._submit(address, submission, submitted_at) or reply
        self._answers.append(_make_answer(job, reply, late_s, self._elapsed_s(), tries))

    def _address(self, number):
        return self._plan.addresses[number % len(self._plan.addresses)]

    async def _submit(self, address, job, submitted_at):
        """Return the `Reply`, or None if the connection failed or timed out."""
        idle_callers = self._idle_callers.setdefault((address, job.team), [])
        token = self._plan.tokens[job.team]
        caller = idle_callers.pop() if idle_callers else Caller(address, token)
        try:
            with trio.fail_after(job.deadline_ms / MS_PER_S + ANSWER_TRANSFER_S):
                reply = await caller.request(*_request(job, submitted_at))
        except _CONNECTION_ERRORS:
            return None
        idle_callers.append(caller)
        return reply


def _request(job, submitted_at):
    """Return the method, path, body and headers of a submission."""
    bodies = [
        {"run_ms": run_ms, "echo": f"{job.id}/{index}"}
        for index, run_ms in enumerate(job.run_times_ms)
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


def _make_answer(job, reply, late_s, now_s, tries):
    if reply is None:
        return Answer(
            job.id, now_s - job.at_s, late_s, NO_CODE, "", False, False, tries
        )
    echoed = _echoed_values(job, reply.content)
    expected = [f"{job.id}/{index}" for index in range(len(job.run_times_ms))]
    return Answer(
        job.id,
        now_s - job.at_s,
        late_s,
        reply.code,
        reply.run_state,
        echoed == expected,
        bool(echoed) and echoed != expected,
        tries,
    )


def _echoed_values(job, content):
    """Return the echoed values of the results in an answer."""
    if not isinstance(content, dict):
        return []
    if job.single:
        return [content["echo"]] if "echo" in content else []
    return [
        (result.get("body") or {}).get("echo") for result in content.get("results", ())
    ]


def main(plan, answers):
    """Run a plan and write the report.

    Parameters
    ----------
    plan : str
        Path of the JSON file of the `Plan`.
    answers : str
        Path of the JSON file that the `CallerReport` is written to.
    """
    plan = msgspec.json.decode(Path(plan).read_bytes(), type=Plan)
    received = trio.run(LoadGenerator(plan).run)
    report = CallerReport(received, time.process_time())
    Path(answers).write_bytes(msgspec.json.encode(report))


if __name__ == "__main__":
    fire.Fire(main)
