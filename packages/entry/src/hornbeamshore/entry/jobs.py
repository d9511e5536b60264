"""Jobs of a partition and the states of their tasks, as its owner records them."""

import enum
from dataclasses import dataclass, replace

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.types import JobAnswer
from hornbeamshore.wire.messages import (
    RESULT_DISCARDED_DETAIL,
    JobRecord,
    RecordState,
    StartRecord,
)


class TaskPhase(enum.Enum):
    """Phase of a task between submission and result."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class TaskState:
    """State of one task of a job.

    Attributes
    ----------
    phase : TaskPhase
        Phase of the latest attempt.
    attempt : int
        Number of the latest attempt, 0 before the first.
    agent_id : str
        Agent that was sent the latest attempt; empty before the first.
    started_at_ms : int
        Unix time of its start in milliseconds, 0 before the first.
    result : TaskResult or None
        Outcome, once the task has ended.
    may_have_run : bool
        Whether any attempt may have reached the target.
    ran_before : bool
        Whether any attempt before the latest may have reached the target.
    """

    phase: TaskPhase
    attempt: int = 0
    agent_id: str = ""
    started_at_ms: int = 0
    result: object = None
    may_have_run: bool = False
    ran_before: bool = False

    def started(self, attempt, agent_id, now_ms):
        """Return the state after a new attempt was sent to an agent."""
        return TaskState(
            TaskPhase.RUNNING,
            attempt,
            agent_id,
            now_ms,
            may_have_run=True,
            ran_before=self.may_have_run,
        )

    def ended(self, result):
        """Return the state after the latest attempt ended with a result."""
        ran = result.run_state != RunState.NOT_RUN or self.ran_before
        return replace(self, phase=TaskPhase.ENDED, result=result, may_have_run=ran)

    def queued(self):
        """Return the state of the task while it waits for another attempt."""
        return replace(self, phase=TaskPhase.QUEUED, result=None)


class Job:
    """One submission with its tasks, its answer and the callers that wait for it.

    Parameters
    ----------
    key : JobKey
        Key of the submission.
    request : JobRequest or None
        The submission; None while only start records of agents are known.
    accepted_at_ms : int
        Unix time of the first record in milliseconds.
    deadline : float
        Time in seconds of trio's clock by which the answer is due.
    """

    def __init__(self, key, request, accepted_at_ms, deadline):
        self.key = key
        self.request = request
        self.accepted_at_ms = accepted_at_ms
        self.deadline = deadline
        self.queued_at = 0.0
        self.tasks = {}
        self.answer = None
        self.ended_at_ms = 0
        self.waiters = []
        self.unacknowledged = []
        self.succeeded = set()
        self.requeue_count = 0
        self._has_no_running_task = False

    @property
    def is_open(self):
        """Return whether the job has no answer yet."""
        return self.answer is None

    def is_complete(self):
        """Return whether each task of the request has ended successfully."""
        if self.request is None:
            return False
        return len(self.succeeded) == len(self.request.tasks)

    def running_tasks(self):
        """Return index and state of each running task."""
        if self._has_no_running_task:
            return []
        running = [
            (index, state)
            for index, state in self.tasks.items()
            if state.phase is TaskPhase.RUNNING
        ]
        # No task of an ended job starts again. A takeover queries every retained job
        # once per agent; without this shortcut that took longer than a lease lasts.
        self._has_no_running_task = not running and not self.is_open
        return running

    def run_state(self):
        """Return the run state of the whole job.

        Returns
        -------
        RunState
            ``NOT_RUN`` if no attempt of any task can have reached a target, ``RAN``
            if the end of all attempts that may have is known, else ``UNKNOWN``.
        """
        if not any(state.may_have_run for state in self.tasks.values()):
            return RunState.NOT_RUN
        for state in self.tasks.values():
            result = state.result
            if state.phase is TaskPhase.RUNNING:
                return RunState.UNKNOWN
            if result is not None and result.run_state == RunState.UNKNOWN:
                return RunState.UNKNOWN
        return RunState.RAN

    def end(self, answer, now_ms):
        """Set the answer, send it to all waiters and return their number."""
        self.answer = answer
        self.ended_at_ms = now_ms
        waiters, self.waiters = self.waiters, []
        for reply in waiters:
            reply(answer)
        return len(waiters)

    def complete_answer(self):
        """Return the answer of a complete job, with the results ordered by index.

        Its code is `RESULT_EXPIRED` if the body of a result was dropped.
        """
        results = [self.tasks[index].result for index in range(len(self.request.tasks))]
        if any(result.detail == RESULT_DISCARDED_DETAIL for result in results):
            return JobAnswer(
                self.key,
                int(ResultCode.RESULT_EXPIRED),
                int(RunState.RAN),
                RESULT_DISCARDED_DETAIL,
            )
        return JobAnswer.complete(self.key, results)


class JobRegistry:
    """Jobs of one partition, by key.

    Parameters
    ----------
    retention_s : float
        Seconds for which an ended job is kept.
    max_result_bytes : int
        Limit of the total size of result bodies of ended jobs. Beyond it, bodies of
        the jobs that ended first are dropped.
    """

    def __init__(self, retention_s, max_result_bytes):
        self.retention_s = retention_s
        self._max_result_bytes = max_result_bytes
        self._jobs = {}
        self._body_sizes = {}
        self._result_bytes = 0

    def __len__(self):
        return len(self._jobs)

    def __iter__(self):
        return iter(self._jobs.values())

    def get(self, key):
        """Return the job of a key, or None."""
        return self._jobs.get(key)

    def add(self, job):
        """Add a job, or replace the job of the same key."""
        self._jobs[job.key] = job

    def open_jobs(self):
        """Return the jobs that have no answer yet."""
        return [job for job in self._jobs.values() if job.is_open]

    def record_ended(self, job):
        """Count the result bodies of an ended job; drop the oldest beyond the limit."""
        size = _body_bytes(job.answer)
        self._body_sizes[job.key] = size
        self._result_bytes += size
        for key, old_size in list(self._body_sizes.items()):
            if self._result_bytes <= self._max_result_bytes:
                break
            if old_size and key != job.key:
                self._drop_bodies(key)

    def remove_open(self):
        """Remove the open jobs and return them, as another owner may change them.

        Ended jobs are kept, as their answers are final.
        """
        dropped = self.open_jobs()
        for job in dropped:
            del self._jobs[job.key]
        return dropped

    def expire(self, now_ms):
        """Remove ended jobs, and jobs without a request, older than the retention."""
        limit = now_ms - self.retention_s * 1000
        for job in list(self._jobs.values()):
            if (
                not job.is_open
                and job.ended_at_ms < limit
                or job.request is None
                and job.accepted_at_ms < limit
            ):
                self._remove(job.key)

    def _remove(self, key):
        self._result_bytes -= self._body_sizes.pop(key, 0)
        self._jobs.pop(key, None)

    def _drop_bodies(self, key):
        job = self._jobs[key]
        self._result_bytes -= self._body_sizes[key]
        self._body_sizes[key] = 0
        job.answer = JobAnswer(
            key,
            int(ResultCode.RESULT_EXPIRED),
            int(RunState.RAN),
            RESULT_DISCARDED_DETAIL,
        )


def _body_bytes(answer):
    return sum(len(result.body) for result in answer.results)


def to_record(job):
    """Return the job as a record for the handover to the next owner."""
    return JobRecord(
        job.key, job.request, job.accepted_at_ms, job.answer, tuple(start_records(job))
    )


def start_records(job, agent_id=None):
    """Return the start records of a job, of one agent or of all agents if None."""
    return [
        StartRecord(
            job.key,
            index,
            state.attempt,
            int(_RECORD_STATES[state.phase]),
            state.started_at_ms,
            state.result,
            state.agent_id,
        )
        for index, state in job.tasks.items()
        if state.attempt and agent_id in (None, state.agent_id)
    ]


_RECORD_STATES = {
    TaskPhase.QUEUED: RecordState.QUEUED,
    TaskPhase.RUNNING: RecordState.RUNNING,
    TaskPhase.ENDED: RecordState.ENDED,
}
