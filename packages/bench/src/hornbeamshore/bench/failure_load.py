"""Seeded load of callers that resubmit jobs, and an audit of the replies to them.

The audit compares the replies with the task starts in the logs of the targets. It
does not use the dispatcher's own records.
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
# Timeout after which a caller resubmits the same identifier through another entry.
REPLY_TIMEOUT_S = 3.0
# Total time for which a caller retries a job; longer than the job's deadline.
JOB_RETRY_TIMEOUT_S = 12.0
MAX_RETRY_DELAY_S = 0.3
MAX_ATTEMPTS = 3
NOT_RUN = "not run"

_REQUEST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    trio.TooSlowError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Start:
    """Task start in the log of a target."""

    index: int
    attempt: int
    unix_ms: int
    agent_id: str


class SubmissionCopy:
    """Copy of a submission that was sent to one entry.

    Attributes
    ----------
    entry_id : str
        Entry that the copy was sent to.
    sent_ms, ended_ms : float
        Unix times in milliseconds when it was sent, and when the request ended.
    reply : Reply or None
        Reply of the entry; None if no complete response was received.
    """

    def __init__(self, entry_id, sent_ms):
        self.entry_id = entry_id
        self.sent_ms = sent_ms
        self.ended_ms = float("inf")
        self.reply = None

    @property
    def reports_not_run(self):
        """Whether the reply states that no task ran."""
        return self.reply is not None and self.reply.run_state == NOT_RUN


class Submission:
    """Job or single request, with every copy of it that was sent.

    Attributes
    ----------
    job : dict
        JSON object of the job.
    single : bool
        Whether it is sent as a single request instead of a job.
    repeatable : bool
        Whether the kind of its tasks is repeatable.
    copies : list of SubmissionCopy
        Copies in the order in which they were sent.
    """

    def __init__(self, job, single, repeatable):
        self.job = job
        self.single = single
        self.repeatable = repeatable
        self.copies = []

    @property
    def job_id(self):
        """Identifier of the submission."""
        return self.job["id"]

    @property
    def last_reply(self):
        """Reply to the most recent copy that has one, or None."""
        replies = [copy.reply for copy in self.copies if copy.reply is not None]
        return replies[-1] if replies else None


class CallerLoad:
    """Callers of one team that submit jobs through random entries.

    Parameters
    ----------
    fleet : Fleet
        Deployment with the entries and the logs of the targets.
    token : str
        Bearer token of the team.
    service : str
        Name of the service.
    kinds : dict of str to bool
        Kinds of task, and whether each is repeatable.
    prefix : str
        Prefix of all job identifiers, unique among the loads of one fleet.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    submissions : list of Submission
        All submissions so far.
    single_share : float
        Share of submissions that are single requests.
    max_run_ms : int
        Longest run time of a task in milliseconds.
    """

    def __init__(self, fleet, token, service, kinds, prefix, seed):
        self.fleet = fleet
        self.submissions = []
        self.single_share = 0.4
        self.max_run_ms = 150
        self._token, self._service, self._kinds = token, service, kinds
        self._prefix, self._seed = prefix, seed
        self._stopping = False

    def stop(self):
        """Make each caller stop after its current job."""
        self._stopping = True

    async def run(self, callers=8):
        """Submit jobs until `stop` is called, and wait for the replies to all."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(self._run_caller, number)

    async def _run_caller(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stopping:
            submission = self.make_submission(f"{number}.{count}", rng)
            await self.submit_until_answered(submission, rng)
            await trio.sleep(rng.uniform(0.02, 0.08))
            count += 1

    def make_submission(self, name, rng, tasks=None):
        """Create a submission without sending it.

        Parameters
        ----------
        name : str
            Part of the job identifier after the prefix.
        rng : random.Random
            Generator for the kind, size and run times.
        tasks : int, optional
            Number of tasks of a job; by default random, or a single request.

        Returns
        -------
        Submission
            The submission.
        """
        single = tasks is None and rng.random() < self.single_share
        size = 1 if single else tasks or rng.randint(1, 6)
        kind = rng.choice(sorted(self._kinds))
        job_id = f"{self._prefix}.{name}"
        bodies = [
            {"run_ms": rng.randint(20, self.max_run_ms), "echo": f"{job_id}/{index}"}
            for index in range(size)
        ]
        job = make_job(job_id, self._service, kind, bodies, DEADLINE_MS)
        submission = Submission(job, single, self._kinds[kind])
        self.submissions.append(submission)
        return submission

    async def submit_until_answered(self, submission, rng):
        """Submit a job through random entries until it has a final reply.

        Resubmits it if there is no reply or if the code of the reply is retryable.
        Gives up after `JOB_RETRY_TIMEOUT_S`.
        """
        with trio.move_on_after(JOB_RETRY_TIMEOUT_S):
            while True:
                entry_id = rng.choice(sorted(self.fleet.entries))
                reply = await self.submit(submission, entry_id)
                if reply is not None and not _is_retryable(reply.code):
                    return
                await trio.sleep(rng.uniform(0.1, MAX_RETRY_DELAY_S))

    async def submit(self, submission, entry_id, timeout_s=REPLY_TIMEOUT_S):
        """Send a copy to an entry and return its reply, or None if it got none."""
        copy = SubmissionCopy(entry_id, _unix_ms())
        submission.copies.append(copy)
        try:
            with trio.fail_after(timeout_s):
                async with Caller(
                    self.fleet.http_address(entry_id), self._token
                ) as caller:
                    copy.reply = await self._send(caller, submission)
        except httpcore.ConnectError:
            # The entry is not running, so nothing was sent.
            submission.copies.remove(copy)
        except _REQUEST_ERRORS:
            pass
        finally:
            copy.ended_ms = _unix_ms()
        return copy.reply

    async def cancel(self, submission, entry_id):
        """Request the cancellation of a job through an entry.

        Returns
        -------
        Reply or None
            Reply to the cancellation; the outcome of the job itself is in the reply
            to its submission.
        """
        try:
            with trio.fail_after(REPLY_TIMEOUT_S):
                async with Caller(
                    self.fleet.http_address(entry_id), self._token
                ) as caller:
                    path = f"/v1/jobs/{submission.job_id}?service={self._service}"
                    return await caller.request("DELETE", path)
        except _REQUEST_ERRORS:
            return None

    async def _send(self, caller, submission):
        job = submission.job
        if not submission.single:
            return await caller.submit(job)
        headers = [
            ("Idempotency-Key", job["id"]),
            ("Hornbeamshore-Submitted-At", str(job["submitted_at"])),
            ("Hornbeamshore-Deadline-Ms", str(job["deadline_ms"])),
        ]
        path = f"/v1/services/{self._service}/{job['kind']}"
        return await caller.request("POST", path, job["tasks"][0]["body"], headers)

    def starts(self):
        """Return the task starts in the logs of all targets, by job identifier."""
        found = collections.defaultdict(list)
        for agent_id in self.fleet.targets:
            for event in self.fleet.target_log(agent_id):
                if event["event"] == "start":
                    start = Start(
                        event["index"], event["attempt"], event["unix_ms"], agent_id
                    )
                    found[event["job"]].append(start)
        return found

    def count_codes(self):
        """Count submissions by the code of their last reply; None if there is none."""
        return collections.Counter(
            submission.last_reply.code if submission.last_reply is not None else None
            for submission in self.submissions
        )

    def violations(self):
        """Return a line for each guarantee that a reply or a task start violates."""
        starts = self.starts()
        lines = []
        for submission in self.submissions:
            for violation in _submission_violations(
                submission, starts[submission.job_id]
            ):
                lines.append(
                    f"{submission.job_id}: {violation}: "
                    f"{submission} {starts[submission.job_id]}"
                )
        return lines

    def interruptions(self):
        """Return a line for each copy that a planned stop interrupted.

        An entry that is shutting down or has just started may refuse a submission
        with the code `DRAINING` or `NOT_CONFIGURED`; the caller then submits through
        another entry.
        """
        refusals = (ResultCode.DRAINING, ResultCode.NOT_CONFIGURED)
        allowed = (ResultCode.OK, *refusals)
        lines = [
            f"{submission.job_id}: {copy}"
            for submission in self.submissions
            for copy in submission.copies
            if copy.reply is None or copy.reply.code not in allowed
        ]
        return lines + [
            f"{submission.job_id}: last reply {submission.last_reply}"
            for submission in self.submissions
            if submission.last_reply is None
            or submission.last_reply.code != ResultCode.OK
        ]


def _unix_ms():
    return time.time_ns() // 1_000_000


def _is_retryable(code):
    # Codes 200 to 299 refuse a job for a temporary reason, such as overload.
    unknown_outcome = (ResultCode.KEY_UNACCOUNTED, ResultCode.OWNER_UNREACHABLE)
    return 200 <= code < 300 or code in unknown_outcome


def _submission_violations(submission, starts):
    if submission.last_reply is None:
        yield "no reply"
    attempt_numbers = collections.defaultdict(list)
    for start in starts:
        attempt_numbers[start.index].append(start.attempt)
    may_retry = submission.single and submission.repeatable
    for index, numbers in attempt_numbers.items():
        limit = MAX_ATTEMPTS if may_retry else 1
        if len(numbers) > limit or len(set(numbers)) < len(numbers):
            yield f"task {index} started {len(numbers)} times"
    for copy in submission.copies:
        if copy.reply is not None:
            yield from _reply_violations(submission, copy.reply)
        if copy.reports_not_run and not all(
            _has_other_cause(start, submission, copy) for start in starts
        ):
            yield "run state is 'not run', but a task was started"
    is_ok = (
        submission.last_reply is not None
        and submission.last_reply.code == ResultCode.OK
    )
    if is_ok and len(attempt_numbers) < len(submission.job["tasks"]):
        yield "code 0, but not all tasks were started"


def _has_other_cause(start, submission, refused):
    """Return whether a copy other than a refused one can have caused a start."""
    return any(
        other.sent_ms <= start.unix_ms
        and other.ended_ms > refused.sent_ms
        and not other.reports_not_run
        for other in submission.copies
    )


def _reply_violations(submission, reply):
    expected = [task["body"]["echo"] for task in submission.job["tasks"]]
    if reply.code == ResultCode.OK:
        if submission.single:
            found = [reply.content.get("echo")]
        else:
            results = reply.content.get("results", ())
            found = [result.get("body", {}).get("echo") for result in results]
            indexes = [result["index"] for result in results]
            if indexes != list(range(len(expected))):
                yield f"result indexes {indexes}"
        if found != expected:
            yield f"wrong or incomplete results {found}"
    elif isinstance(reply.content, dict) and "results" in reply.content:
        yield "results in the reply of a failed job"
    if reply.run_state not in ("ran", NOT_RUN, "unknown"):
        yield f"unknown run state {reply.run_state!r}"
