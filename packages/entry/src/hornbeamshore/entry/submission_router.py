"""Routing of submissions from the front ends to the owners of their partitions."""

from dataclasses import replace

import trio

from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import JobAnswer, partition_of
from hornbeamshore.entry.service import SubmissionService
from hornbeamshore.serving.shutdown import AnswersDue, Shutdown
from hornbeamshore.wire.connection import CallTimeout, ConnectionLost, NotSent
from hornbeamshore.wire.messages import JobCancel, JobQuery, Submit

# The owner answers by the deadline; the extra time is for its answer to arrive.
ANSWER_GRACE_S = 0.75
RETRY_AFTER_S = 1.0
# Time after a refusal because of load during which submissions of the same service,
# team and kind are sent without their tasks first.
TASKLESS_SUBMIT_S = 1.0

_LOAD_REFUSALS = (
    ResultCode.OVERLOADED,
    ResultCode.QUOTA_EXCEEDED,
    ResultCode.DEADLINE_UNREACHABLE,
)

log = PartLogger("entry")


class SubmissionRouter(SubmissionService):
    """Router of submissions to the owners of their partitions.

    A submission is sent again after a lost connection or a change of owner. Owners
    deduplicate by key, so that it does not run twice.

    Parameters
    ----------
    entry : EntryState
        Shared state of the process.
    shutdown : Shutdown or None
        Planned stop of the process, which demands all answers before its end; None if
        it is never stopped.
    """

    def __init__(self, entry, shutdown=None):
        self._entry = entry
        self._shutdown = shutdown or Shutdown()
        self._load_refused_until = {}

    def deployment(self):
        """Return the configuration in force, or None."""
        return self._entry.deployment()

    def status(self):
        """Return the status of this process for operators."""
        return self._entry.status()

    async def submit(self, request, timeout_s):
        """Return the answer to a submission, with the results of all its tasks."""
        arrived_at = trio.current_time()
        deadline = arrived_at + timeout_s
        flow = (request.key.service, request.key.team, request.kind)

        def make_body(tasks):
            now = trio.current_time()
            forwarded = replace(
                request,
                tasks=tasks,
                task_count=len(request.tasks),
                timeout_ms=max(1, round((deadline - now) * 1000)),
                age_ms=round((now - arrived_at) * 1000),
            )
            return Submit(forwarded, self._entry.table.version)

        with self._entry.submission_in_flight():
            answer = None
            if self._was_recently_refused(flow):
                answer = await self._call_owner(
                    request.key,
                    lambda: make_body(()),
                    deadline + ANSWER_GRACE_S,
                    may_have_run=False,
                )
            if answer is None or answer.code == ResultCode.SEND_TASKS:
                answer = await self._call_owner(
                    request.key,
                    lambda: make_body(request.tasks),
                    deadline + ANSWER_GRACE_S,
                    may_have_run=False,
                )
        self._record_load_refusal(flow, answer)
        return answer

    def _was_recently_refused(self, flow):
        """Return whether a submission of a flow was recently refused because of load.

        A flow is the submissions of one service, team and kind. After such a refusal,
        they are first sent without their tasks, so that an overloaded owner does not
        decode tasks that it refuses.
        """
        return trio.current_time() < self._load_refused_until.get(flow, 0.0)

    def _record_load_refusal(self, flow, answer):
        if answer.code in _LOAD_REFUSALS:
            self._load_refused_until[flow] = trio.current_time() + TASKLESS_SUBMIT_S

    async def query(self, key, timeout_s):
        """Return the answer of an earlier submission, `RUNNING` or `JOB_NOT_FOUND`."""
        deadline = trio.current_time() + timeout_s
        return await self._call_owner(key, lambda: JobQuery(key), deadline)

    async def cancel(self, key):
        """Cancel a job and return its final answer."""
        deadline = trio.current_time() + RETRY_AFTER_S
        return await self._call_owner(key, lambda: JobCancel(key), deadline)

    async def _call_owner(self, key, make_body, deadline, *, may_have_run=True):
        """Return the answer of the owner of a key, or a refusal without one.

        Parameters
        ----------
        key : JobKey
            Key of the job.
        make_body : callable
            Returns the message to send; called for each copy.
        deadline : float
            Trio time by which an answer is needed.
        may_have_run : bool
            Whether the job may have run even if no copy of the message is sent.
        """
        service = self._entry.deployment().services.get(key.service)
        if service is None:
            return JobAnswer.refused(key, refuse(ResultCode.UNKNOWN_SERVICE))
        partition = partition_of(key, service.partitions)
        has_unanswered_copy = False
        while trio.current_time() < deadline and not self._shutdown.are_answers_due:
            owner = self._entry.owner_of(partition)
            if owner is not None:
                log.debug("Sending job %s to owner %s.", key.job_id, owner.entry_id)
                try:
                    with self._shutdown.bounded():
                        answer = await self._call_entry(
                            owner.entry_id, partition, make_body(), deadline
                        )
                except AnswersDue:
                    has_unanswered_copy = True
                    break
                except (ConnectionLost, CallTimeout) as exc:
                    log.info(
                        "Owner %s of %s failed: %s", owner.entry_id, partition, exc
                    )
                    answer = None
                    has_unanswered_copy |= not isinstance(exc, NotSent)
                if answer is not None:
                    log.debug("Owner answered job %s: %d.", key.job_id, answer.code)
                    return _downgrade_not_run(answer, has_unanswered_copy)
            await self._wait_for_other_owner(partition, owner, deadline)
        return self._refuse_unanswered(key, may_have_run or has_unanswered_copy)

    def _refuse_unanswered(self, key, may_have_run):
        if self._shutdown.are_answers_due and not may_have_run:
            code, retry_after_s = ResultCode.DRAINING, self._shutdown.retry_after_s
        else:
            code, retry_after_s = ResultCode.OWNER_UNREACHABLE, RETRY_AFTER_S
        return JobAnswer.refused(key, refuse(code, retry_after_s=retry_after_s))

    async def _call_entry(self, entry_id, partition, body, deadline):
        """Return an entry's answer, or None if it is unreachable or not the owner."""
        timeout_s = deadline - trio.current_time()
        if entry_id == self._entry.entry_id:
            answer = await self._call_local_owner(partition, body, timeout_s)
        else:
            conn = self._entry.peers.get(entry_id)
            if conn is None:
                return None
            answer = (await conn.call(body, timeout_s)).answer
        return None if answer.code == ResultCode.NOT_OWNER else answer

    async def _call_local_owner(self, partition, body, timeout_s):
        send, receive = trio.open_memory_channel(1)
        self._entry.serve_owner_call(partition, body, send.send_nowait)
        with trio.move_on_after(timeout_s):
            return await receive.receive()
        raise CallTimeout(f"{partition}: no answer within {timeout_s} s")

    async def _wait_for_other_owner(self, partition, owner, deadline):
        """Wait for another owner to become known, for 0.1 s at most."""
        remaining_s = min(deadline - trio.current_time(), self._shutdown.time_left_s)
        await self._entry.owners_changed.wait_until(
            lambda: self._entry.owner_of(partition) not in (None, owner),
            min(max(0.0, remaining_s), 0.1),
        )


def _downgrade_not_run(answer, has_unanswered_copy):
    """Return the answer; ``not run`` becomes ``unknown`` if a copy is unanswered.

    An owner that was paused may not yet have read a copy whose connection was lost,
    and would run it after it had refused a copy that was sent later.
    """
    if has_unanswered_copy and answer.run_state == RunState.NOT_RUN:
        return replace(answer, run_state=int(RunState.UNKNOWN))
    return answer
