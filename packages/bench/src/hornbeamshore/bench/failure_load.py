"""Seeded load of callers that resubmit, and the audit of what they were told.

The audit compares the answers with the starts in the logs of the targets. It knows
nothing of the dispatcher's own records.
"""

import collections
import random
import time
from dataclasses import dataclass

import httpcore
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.caller import Caller, make_job

DEADLINE_MS = 8_000
# A caller that got no answer for this long submits the same identifier elsewhere.
COPY_PATIENCE_S = 3.0
# Longest time for which a caller tries again; above the deadline of its jobs.
JOB_PATIENCE_S = 12.0
MAX_PAUSE_S = 0.3
MAX_ATTEMPTS = 3
NOT_RUN = "not run"

_LOST = (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError, OSError)


@dataclass(frozen=True, slots=True)
class Start:
    """Start of a task in the log of a target."""

    index: int
    attempt: int
    unix_ms: int
    agent_id: str


class Copy:
    """One sending of a submission; `reply` is None where no whole answer came."""

    def __init__(self, entry_id, sent_ms):
        self.entry_id = entry_id
        self.sent_ms = sent_ms
        self.ended_ms = float("inf")
        self.reply = None

    @property
    def is_not_run(self):
        """Return whether the answer says that nothing ran."""
        return self.reply is not None and self.reply.run_state == NOT_RUN


class Trace:
    """Submission with all its copies."""

    def __init__(self, job, single, repeatable):
        self.job = job
        self.single = single
        self.repeatable = repeatable
        self.copies = []

    @property
    def job_id(self):
        """Return the identifier of the submission."""
        return self.job["id"]

    @property
    def last(self):
        """Return the reply that was sent last, or None."""
        replies = [copy.reply for copy in self.copies if copy.reply is not None]
        return replies[-1] if replies else None


class Load:
    """Callers of one team that submit jobs through random entries.

    Parameters
    ----------
    fleet : Fleet
        Entries and logs of the targets.
    token, service : str
        Of the team and the service.
    kinds : dict of str to bool
        Kinds of work, and whether each is repeatable.
    prefix : str
        Of all identifiers; separates the loads of one fleet.
    seed : int
        Of all that is random.

    Attributes
    ----------
    traces : list of Trace
        All submissions so far.
    single_share : float
        Share of single requests.
    """

    def __init__(self, fleet, token, service, kinds, prefix, seed):
        self.fleet = fleet
        self.traces = []
        self.single_share = 0.4
        self.max_run_ms = 150
        self._token, self._service, self._kinds = token, service, kinds
        self._prefix, self._seed = prefix, seed
        self._stopping = False

    def stop(self):
        """Let each caller end after its present job."""
        self._stopping = True

    async def run(self, callers=8):
        """Submit jobs until `stop`, and return once all are answered."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(self._run_caller, number)

    async def _run_caller(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stopping:
            trace = self.make(f"{number}.{count}", rng)
            await self.submit_until_answered(trace, rng)
            await trio.sleep(rng.uniform(0.02, 0.08))
            count += 1

    def make(self, name, rng, tasks=None):
        """Return the trace of a new submission, which is not sent yet."""
        single = tasks is None and rng.random() < self.single_share
        size = 1 if single else tasks or rng.randint(1, 6)
        kind = rng.choice(sorted(self._kinds))
        job_id = f"{self._prefix}.{name}"
        bodies = [
            {"run_ms": rng.randint(20, self.max_run_ms), "echo": f"{job_id}/{index}"}
            for index in range(size)
        ]
        job = make_job(job_id, self._service, kind, bodies, DEADLINE_MS)
        trace = Trace(job, single, self._kinds[kind])
        self.traces.append(trace)
        return trace

    async def submit_until_answered(self, trace, rng):
        """Submit a job, and again while a new try makes sense."""
        with trio.move_on_after(JOB_PATIENCE_S):
            while True:
                entry_id = rng.choice(sorted(self.fleet.entries))
                reply = await self.submit(trace, entry_id)
                if reply is not None and not _is_worth_another_try(reply.code):
                    return
                await trio.sleep(rng.uniform(0.1, MAX_PAUSE_S))

    async def submit(self, trace, entry_id, patience_s=COPY_PATIENCE_S):
        """Send one copy through an entry and return its reply, or None."""
        copy = Copy(entry_id, _unix_ms())
        trace.copies.append(copy)
        try:
            with trio.fail_after(patience_s):
                async with Caller(self.fleet.http_of(entry_id), self._token) as caller:
                    copy.reply = await self._send(caller, trace)
        except httpcore.ConnectError:
            # The entry had ended, and was sent nothing.
            trace.copies.remove(copy)
        except _LOST:
            pass
        finally:
            copy.ended_ms = _unix_ms()
        return copy.reply

    async def cancel(self, trace, entry_id):
        """Cancel a job through an entry; the answer to the submission tells more."""
        try:
            with trio.fail_after(COPY_PATIENCE_S):
                async with Caller(self.fleet.http_of(entry_id), self._token) as caller:
                    path = f"/v1/jobs/{trace.job_id}?service={self._service}"
                    return await caller.request("DELETE", path)
        except _LOST:
            return None

    async def _send(self, caller, trace):
        job = trace.job
        if not trace.single:
            return await caller.submit(job)
        headers = [
            ("Idempotency-Key", job["id"]),
            ("Hornbeamshore-Submitted-At", str(job["submitted_at"])),
            ("Hornbeamshore-Deadline-Ms", str(job["deadline_ms"])),
        ]
        path = f"/v1/services/{self._service}/{job['kind']}"
        return await caller.request("POST", path, job["tasks"][0]["body"], headers)

    def starts(self):
        """Return the starts in the logs of all targets, by identifier."""
        found = collections.defaultdict(list)
        for agent_id in self.fleet.targets:
            for event in self.fleet.target_log(agent_id):
                if event["event"] == "start":
                    start = Start(
                        event["index"], event["attempt"], event["unix_ms"], agent_id
                    )
                    found[event["job"]].append(start)
        return found

    def codes(self):
        """Return how often each code was the last answer."""
        return collections.Counter(
            trace.last.code if trace.last is not None else None for trace in self.traces
        )

    def violations(self):
        """Return a line for each promise that an answer or a start breaks."""
        starts = self.starts()
        lines = []
        for trace in self.traces:
            for problem in _problems(trace, starts[trace.job_id]):
                lines.append(
                    f"{trace.job_id}: {problem}: {trace} {starts[trace.job_id]}"
                )
        return lines

    def cut_off(self):
        """Return a line for each copy that a planned stop cut off.

        An entry that leaves, or has only started, may refuse what it is sent, truly
        and with its code; the caller submits elsewhere.
        """
        refusals = (ResultCode.DRAINING, ResultCode.NOT_CONFIGURED)
        allowed = (ResultCode.OK, *refusals)
        lines = [
            f"{trace.job_id}: {copy}"
            for trace in self.traces
            for copy in trace.copies
            if copy.reply is None or copy.reply.code not in allowed
        ]
        return lines + [
            f"{trace.job_id}: ended with {trace.last}"
            for trace in self.traces
            if trace.last is None or trace.last.code != ResultCode.OK
        ]


def _unix_ms():
    return time.time_ns() // 1_000_000


def _is_worth_another_try(code):
    unknown = (ResultCode.KEY_UNACCOUNTED, ResultCode.OWNER_UNREACHABLE)
    return 200 <= code < 300 or code in unknown


def _problems(trace, starts):
    if trace.last is None:
        yield "unanswered"
    attempts = collections.defaultdict(list)
    for start in starts:
        attempts[start.index].append(start.attempt)
    may_retry = trace.single and trace.repeatable
    for index, numbers in attempts.items():
        limit = MAX_ATTEMPTS if may_retry else 1
        if len(numbers) > limit or len(set(numbers)) < len(numbers):
            yield f"task {index} started {len(numbers)} times"
    for copy in trace.copies:
        if copy.reply is not None:
            yield from _problems_of_reply(trace, copy.reply)
        if copy.is_not_run and not all(
            _is_explained(start, trace, copy) for start in starts
        ):
            yield "'not run', but it ran"
    is_ok = trace.last is not None and trace.last.code == ResultCode.OK
    if is_ok and len(attempts) < len(trace.job["tasks"]):
        yield "answered without having run"


def _is_explained(start, trace, refused):
    """Return whether another copy than a refused one can have led to a start."""
    return any(
        other.sent_ms <= start.unix_ms
        and other.ended_ms > refused.sent_ms
        and not other.is_not_run
        for other in trace.copies
    )


def _problems_of_reply(trace, reply):
    expected = [task["body"]["echo"] for task in trace.job["tasks"]]
    if reply.code == ResultCode.OK:
        if trace.single:
            found = [reply.content.get("echo")]
        else:
            results = reply.content.get("results", ())
            found = [result.get("body", {}).get("echo") for result in results]
            indexes = [result["index"] for result in results]
            if indexes != list(range(len(expected))):
                yield f"results {indexes}"
        if found != expected:
            yield f"wrong or partial results {found}"
    elif isinstance(reply.content, dict) and "results" in reply.content:
        yield "a failed job with results"
    if reply.run_state not in ("ran", NOT_RUN, "unknown"):
        yield f"run state {reply.run_state!r}"
