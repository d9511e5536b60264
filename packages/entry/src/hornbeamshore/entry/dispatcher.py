"""Dispatcher of one partition: job records, the queue and the starts on agents.

Only the partition's active owner dispatches its work, one entry at a time.
Connection tasks call the methods, which do not block. After each event, `run` sends
the starts that the scheduler decides on, cancellations and acknowledgements.
"""

import heapq
import itertools
from dataclasses import dataclass, replace

import trio

from hornbeamshore.base.clock import unix_ms
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import JobAnswer, TaskResult
from hornbeamshore.entry.jobs import (
    Job,
    JobRegistry,
    TaskPhase,
    TaskState,
    start_records,
)
from hornbeamshore.entry.refusals import RefusedKeys
from hornbeamshore.policy.scheduler import Scheduler
from hornbeamshore.policy.types import JobLoad, Outcome, QueuedTask, TargetInfo
from hornbeamshore.wire.messages import (
    Acknowledge,
    CancelTasks,
    RecordState,
    Start,
    TaskRef,
)

MAX_RESULT_BYTES = 64 * 1024 * 1024
# An agent handles a start at once and refuses one that was delayed for longer. The
# period allows for clock differences between entry and agent.
START_VALID_MS = 5000
# Agents rarely refuse starts; after this many refusals no target can run the task.
MAX_REQUEUES_PER_TASK = 8
EXPIRE_INTERVAL_S = 5.0
# Acknowledgements are delayed for up to this time, so that they share a frame with a
# start to the same agent. They only let the agent drop result bodies.
ACKNOWLEDGE_INTERVAL_S = 0.2
# How long after a deadline the owner waits for the agent to report the timeout.
DEADLINE_GRACE_S = 0.25

log = PartLogger("owner")


@dataclass(frozen=True, slots=True)
class OwnershipTerm:
    """Period in which an entry is the active owner of a partition.

    Attributes
    ----------
    epoch : int
        Packed epoch.
    since_ms : int
        Unix time of the takeover.
    complete : bool
        Whether the start records of all earlier owners are known.
    """

    epoch: int
    since_ms: int
    complete: bool


class Dispatcher:
    """Places the work of one partition on its agents.

    Parameters
    ----------
    partition : Partition
        The partition, a share of the keys and agents of a service.
    cfg : EntrySettings
        Settings of this process.
    deployment : Deployment
        Configuration in force.
    metrics : EntryMetrics
        Metrics of this process.
    holds_quorum : callable
        Returns whether this entry holds a lease quorum, so that no other entry can be
        active.
    """

    def __init__(self, partition, cfg, deployment, metrics, holds_quorum):
        self.partition = partition
        self.cfg = cfg
        self.metrics = metrics
        self._holds_quorum = holds_quorum
        policy = replace(cfg.policy, data_centre=cfg.data_centre)
        self.scheduler = Scheduler(policy)
        self.jobs = JobRegistry(deployment.retention, MAX_RESULT_BYTES)
        self.term = None
        self._refused_keys = RefusedKeys()
        self._links = {}
        self._retries = []
        self._sequence = itertools.count()
        self._deadlines = []
        self._cancels = {}
        self._acknowledgements = {}
        self._acknowledged_at = 0.0
        self._wake = trio.Event()
        self.configure(deployment)

    @property
    def is_active(self):
        """Return whether this entry may accept submissions and start tasks."""
        return self.term is not None

    def configure(self, deployment):
        """Apply the configuration in force."""
        self.deployment = deployment
        self.jobs.retention_s = deployment.retention
        self.scheduler.configure(deployment, self.partition.service)
        self.wake()

    def activate(self, term):
        """Accept submissions and start tasks under a new or updated term."""
        self.term = term
        self.wake()

    def import_jobs(self, records):
        """Import the job records that the previous owner handed over."""
        for record in records:
            job = self.jobs.get(record.key)
            if job is None:
                job = Job(record.key, None, record.accepted_at_ms, float("inf"))
                self.jobs.add(job)
            if job.request is None and record.request is not None:
                job.request = record.request
                job.deadline = _deadline_of_record(record)
            for task in record.tasks:
                self._import_task(job, task)
            if record.answer is not None and job.is_open:
                self._end_job(job, record.answer)

    def _import_task(self, job, task):
        if task.state == RecordState.QUEUED:
            state = TaskState(TaskPhase.QUEUED, task.attempt, task.agent_id)
            job.tasks.setdefault(task.index, state)
        else:
            self._merge_record(job, task.agent_id, task)

    def queue_unstarted(self):
        """Queue the unstarted tasks of the jobs that the previous owner handed over."""
        for job in self.jobs.open_jobs():
            if job.request is None:
                continue
            waiting = [
                index
                for index in range(len(job.request.tasks))
                if index not in job.tasks or job.tasks[index].phase is TaskPhase.QUEUED
            ]
            self._enqueue_tasks(job, waiting)
            self._end_if_complete(job)

    def deactivate(self):
        """Stop accepting and starting work, and discard the open jobs.

        Their waiting submissions are answered with `NOT_OWNER`, after which the
        front ends submit them to the new owner.
        """
        self.term = None
        for agent_id in list(self._links):
            self.remove_agent(agent_id)
        for job in self.jobs.remove_open():
            self.scheduler.cancel(job.key)
            for reply in job.waiters:
                reply(JobAnswer.refused(job.key, refuse(ResultCode.NOT_OWNER)))

    def suspend(self):
        """Stop accepting and starting work; return the term that ends."""
        term, self.term = self.term, None
        return term

    def uses_agent(self, agent_id):
        """Return whether tasks may be placed on an agent."""
        return agent_id in self._links

    def wake(self):
        """Wake `run` to process pending events."""
        self._wake.set()

    # Agents

    def add_agent(self, link):
        """Add an agent that granted the epoch and is in the committed roster."""
        self._links[link.agent_id] = link
        self.scheduler.add_target(
            TargetInfo(
                agent_id=link.agent_id,
                data_centre=link.data_centre,
                rack=link.rack,
                slots=link.slots,
                labels=link.labels,
            )
        )
        for job in self.jobs:
            for index, state in job.running_tasks():
                if state.agent_id == link.agent_id:
                    self._adopt_task(job, index, state)
        self.wake()

    def drain_agent(self, agent_id):
        """Place no further tasks on an agent; those that run continue."""
        if agent_id in self._links:
            self.scheduler.set_draining(agent_id)

    def remove_agent(self, agent_id):
        """Remove an agent whose connection ended; its tasks still count as running."""
        if self._links.pop(agent_id, None) is not None:
            self.scheduler.remove_target(agent_id)

    def mark_agent_lost(self, agent_id):
        """Remove a lost agent and end its running tasks with an unknown outcome."""
        self.remove_agent(agent_id)
        for job in list(self.jobs):
            for index, state in job.running_tasks():
                if state.agent_id == agent_id:
                    self._end_lost_task(job, index, state)

    def retire_agent(self, agent_id, records):
        """Remove an agent that sent all its start records and shuts down.

        The agent refuses each start that it has no record of, so a start that was
        still in transit did not run and its task is placed again.
        """
        self.remove_agent(agent_id)
        started = {
            TaskRef(record.key, record.index, record.attempt)
            for record in records
            if record.state != RecordState.REFUSED
        }
        for ref in self.running_tasks_on(agent_id):
            if ref not in started:
                self.requeue_undelivered(agent_id, ref)
        self.mark_agent_lost(agent_id)

    def start_records_of(self, agent_id):
        """Return the start records that an agent is known to hold."""
        return tuple(
            record for job in self.jobs for record in start_records(job, agent_id)
        )

    def running_tasks_on(self, agent_id):
        """Return references to the tasks whose latest attempt is open on an agent."""
        return tuple(
            TaskRef(job.key, index, state.attempt)
            for job in self.jobs
            for index, state in job.running_tasks()
            if state.agent_id == agent_id
        )

    def merge_records(self, agent_id, records):
        """Merge start records of an agent into the job records.

        A record of an unknown key creates a job without a request, which the
        caller adds by submitting the job again.
        """
        for record in records:
            job = self.jobs.get(record.key)
            if job is None:
                job = Job(record.key, None, record.started_at_ms, float("inf"))
                self.jobs.add(job)
            self._merge_record(job, record.agent_id or agent_id, record)

    def _merge_record(self, job, agent_id, record):
        known = job.tasks.get(record.index)
        if record.state == RecordState.REFUSED or not job.is_open:
            return
        if known is not None and known.attempt > record.attempt:
            return
        is_newer = known is None or known.attempt < record.attempt
        if not is_newer and known.phase is TaskPhase.ENDED:
            return
        state = TaskState(
            TaskPhase.RUNNING,
            record.attempt,
            agent_id,
            record.started_at_ms,
            may_have_run=True,
        )
        if is_newer:
            job.tasks[record.index] = state
        if record.state == RecordState.ENDED and record.result is not None:
            self._apply_result(job, record.index, state, record.result)

    def _adopt_task(self, job, index, state):
        task = self._queued_task(job, index, state.attempt)
        self.scheduler.record_running(state.agent_id, task, trio.current_time())

    def requeue_undelivered(self, agent_id, ref):
        """Place a task again whose start certainly did not reach its agent."""
        job = self.jobs.get(ref.key)
        state = job.tasks.get(ref.index) if job is not None else None
        if state is None or state.phase is not TaskPhase.RUNNING:
            return
        if (state.agent_id, state.attempt) == (agent_id, ref.attempt):
            self._apply_result(job, ref.index, state, _undelivered_result(ref))

    # Submissions

    def submit(self, req, reply):
        """Accept a submission, join it to its job, or refuse it.

        `reply` is called once with the complete answer.
        """
        if not self.is_active:
            reply(JobAnswer.refused(req.key, refuse(ResultCode.NOT_OWNER)))
            return
        log.debug("Job %s arrived with %d tasks.", req.key.job_id, req.task_count)
        job = self.jobs.get(req.key)
        if job is not None:
            self._join_job(job, req, reply)
            return
        now = trio.current_time()
        refusal = self._refused_keys.refusal_of(req.key, now - req.age_ms / 1000)
        refusal = refusal or self._check_new_key(req) or self._admit(req)
        if refusal is not None:
            if refusal.run_state == RunState.NOT_RUN:
                self._refused_keys.add(req.key, refusal, now)
            self.metrics.count_job(self.partition.service, req.kind, refusal.code)
            reply(JobAnswer.refused(req.key, refusal))
            return
        if req.is_offer:
            reply(JobAnswer.refused(req.key, refuse(ResultCode.SEND_TASKS)))
            return
        self._refused_keys.forget(req.key)
        job = Job(req.key, req, unix_ms(), self._deadline_of(req))
        job.waiters.append(reply)
        self.jobs.add(job)
        self._enqueue_tasks(job, range(len(req.tasks)))

    def query(self, key, reply, *, wait):
        """Reply with a job's answer, or the reason why there is none.

        The reply waits for the end of an open job if `wait`; otherwise its code is
        `RUNNING`.
        """
        job = self.jobs.get(key)
        if job is None or not self.is_active:
            code = ResultCode.JOB_NOT_FOUND if self.is_active else ResultCode.NOT_OWNER
            reply(JobAnswer.refused(key, refuse(code)))
        elif job.answer is not None:
            reply(job.answer)
        elif wait and job.request is not None:
            job.waiters.append(reply)
        elif job.request is None:
            detail = "The owner changed; submit the job again for its answer."
            refusal = refuse(ResultCode.OUTCOME_UNKNOWN, detail)
            reply(JobAnswer.refused(key, refusal))
        else:
            reply(JobAnswer.refused(key, refuse(ResultCode.RUNNING)))

    def cancel(self, key, reply):
        """Cancel a job if it is open, and reply with its final answer."""
        job = self.jobs.get(key)
        if job is not None and job.is_open and job.request is not None:
            self._fail_job(job, ResultCode.CANCELLED, "The caller cancelled the job.")
        self.query(key, reply, wait=True)

    def _join_job(self, job, req, reply):
        if job.request is None and req.is_offer:
            reply(JobAnswer.refused(req.key, refuse(ResultCode.SEND_TASKS)))
            return
        if job.request is None:
            self._resume_job(job, req)
        if job.request.fingerprint != req.fingerprint:
            detail = f"{req.key.job_id}: submitted before with other content"
            refusal = refuse(ResultCode.KEY_REUSED, detail)
            reply(JobAnswer.refused(req.key, refusal))
        elif job.answer is not None:
            reply(job.answer)
        else:
            job.waiters.append(reply)

    def _resume_job(self, job, req):
        """Add the request to a job known only from records, and resume the job."""
        job.request = req
        job.deadline = self._deadline_of(req)
        failed = self._first_failure(job)
        missing = [index for index in range(len(req.tasks)) if index not in job.tasks]
        if failed is not None:
            self._fail_job(job, ResultCode(failed.code), failed.detail)
        elif missing and not self.term.complete:
            detail = "Tasks of the job may be running on an unreachable agent."
            self._fail_job(job, ResultCode.OUTCOME_UNKNOWN, detail)
        else:
            self._enqueue_tasks(job, missing)
            self._end_if_complete(job)

    def _first_failure(self, job):
        for state in job.tasks.values():
            if state.result is not None and not state.result.ok:
                return state.result
        return None

    def _check_new_key(self, req):
        """Return the refusal of a key without a record that may not be new, or None."""
        now_ms = unix_ms()
        submitted = req.submitted_at_ms
        margin_ms = self.cfg.ownership.clock_margin * 1000
        if submitted and submitted > now_ms + margin_ms:
            detail = "submitted_at is in the future"
            return refuse(ResultCode.MALFORMED_REQUEST, detail)
        if submitted and now_ms - submitted > self.jobs.retention_s * 1000 - margin_ms:
            return refuse(ResultCode.KEY_EXPIRED)
        if self.term.complete or submitted >= self.term.since_ms + margin_ms:
            return None
        return refuse(ResultCode.KEY_UNACCOUNTED, retry_after_s=1.0)

    def _admit(self, req):
        load = JobLoad(
            key=req.key,
            team=req.key.team,
            kind=req.kind,
            task_count=req.task_count,
            timeout_s=req.timeout_ms / 1000,
        )
        return self.scheduler.admit(load, trio.current_time())

    def _deadline_of(self, req):
        return trio.current_time() + req.timeout_ms / 1000

    def _enqueue_tasks(self, job, indexes):
        for index in indexes:
            state = job.tasks.get(index, TaskState(TaskPhase.QUEUED))
            job.tasks[index] = state.queued()
        tasks = [
            self._queued_task(job, index, job.tasks[index].attempt + 1)
            for index in indexes
        ]
        job.queued_at = trio.current_time()
        self.scheduler.enqueue(tasks, job.queued_at)
        heapq.heappush(self._deadlines, (job.deadline, next(self._sequence), job.key))
        self.wake()

    def _queued_task(self, job, index, attempt):
        kind = job.request.kind if job.request is not None else ""
        return QueuedTask(
            key=job.key,
            index=index,
            attempt=attempt,
            team=job.key.team,
            kind=kind,
            deadline=job.deadline,
        )

    # Results

    def task_done(self, agent_id, body):
        """Process the outcome that an agent reports for one attempt of a task."""
        job = self.jobs.get(body.key)
        result = body.result
        state = job.tasks.get(result.index) if job is not None else None
        if state is None or (state.agent_id, state.attempt) != (
            agent_id,
            result.attempt,
        ):
            self.metrics.count_wasted_message("late answer")
            self._acknowledge(agent_id, TaskRef(body.key, result.index, result.attempt))
        elif state.phase is TaskPhase.RUNNING:
            self._apply_result(job, result.index, state, result)
        self.wake()

    def _apply_result(self, job, index, state, result):
        self._report_to_scheduler(job, index, state, result)
        if result.code == ResultCode.DUPLICATE_START:
            result = _with_unknown_outcome(result)
        job.tasks[index] = state.ended(result)
        if result.ok:
            job.succeeded.add(index)
        if result.run_state == RunState.NOT_RUN:
            self.metrics.count_wasted_message("refusal")
            if job.is_open and result.code != ResultCode.CANCELLED:
                self._requeue_refused(job, index, result)
            return
        job.unacknowledged.append(
            (state.agent_id, TaskRef(job.key, index, state.attempt))
        )
        if job.request is None:
            # Wait for the caller to submit the job again: records of other agents may
            # hold a later attempt.
            return
        if not job.is_open:
            self._acknowledge_job(job)
        elif result.ok:
            self._end_if_complete(job)
        elif not self._schedule_retry(job, index, result):
            detail = f"task {index}: {result.detail or ResultCode(result.code).name}"
            self._fail_job(job, ResultCode(result.code), detail)

    def _report_to_scheduler(self, job, index, state, result):
        task = self._queued_task(job, index, state.attempt)
        outcome = _OUTCOMES.get(result.code, Outcome.FAILED)
        run_time_s = result.run_time_us / 1e6
        now = trio.current_time()
        self.scheduler.record_outcome(state.agent_id, task, outcome, run_time_s, now)

    def _requeue_refused(self, job, index, result):
        job.requeue_count += 1
        if job.request is None:
            return
        if job.requeue_count > MAX_REQUEUES_PER_TASK * len(job.request.tasks):
            self._fail_job(job, ResultCode(result.code), result.detail)
        else:
            self._enqueue_tasks(job, [index])

    def _schedule_retry(self, job, index, result):
        """Schedule a retry if it is allowed; return whether one was scheduled."""
        if job.request is None or not job.request.single:
            return False
        service = self.deployment.services.get(self.partition.service)
        kind = service.kinds.get(job.request.kind) if service is not None else None
        state = job.tasks[index]
        if kind is None or not kind.repeatable:
            return False
        if state.attempt >= service.retry.max_attempts:
            return False
        now = trio.current_time()
        if not self.scheduler.try_acquire_retry(now):
            return False
        due = now + self.scheduler.retry_delay(state.attempt)
        if due >= job.deadline:
            return False
        job.tasks[index] = state.queued()
        heapq.heappush(self._retries, (due, next(self._sequence), job.key, index))
        self.metrics.count_retry(self.partition.service, job.request.kind)
        return True

    def _end_lost_task(self, job, index, state):
        result = TaskResult(
            index,
            state.attempt,
            int(ResultCode.OUTCOME_UNKNOWN),
            int(RunState.UNKNOWN),
            detail=f"agent {state.agent_id} was lost",
        )
        self._apply_result(job, index, state, result)
        self.wake()

    def _end_if_complete(self, job):
        if job.is_open and job.is_complete():
            self._end_job(job, job.complete_answer())

    def _fail_job(self, job, code, detail):
        """End an open job as failed, and cancel its queued and running tasks."""
        if not job.is_open:
            return
        for task in self.scheduler.cancel(job.key):
            state = job.tasks[task.index]
            job.tasks[task.index] = replace(state, phase=TaskPhase.ENDED)
        is_uncertain = code == ResultCode.OUTCOME_UNKNOWN
        run_state = RunState.UNKNOWN if is_uncertain else job.run_state()
        for index, state in job.running_tasks():
            ref = TaskRef(job.key, index, state.attempt)
            self._cancels.setdefault(state.agent_id, []).append(ref)
        refusal = refuse(code, detail, run_state=run_state)
        self._end_job(job, JobAnswer.refused(job.key, refusal))

    def _end_job(self, job, answer):
        if answer.run_state == RunState.NOT_RUN and not self._holds_quorum():
            # Another entry may own the partition and run a later copy of the job.
            answer = replace(answer, run_state=int(RunState.UNKNOWN))
        job.end(answer, unix_ms())
        self.jobs.record_ended(job)
        self._acknowledge_job(job)
        if job.request is not None:
            self.metrics.count_job(
                self.partition.service, job.request.kind, ResultCode(answer.code)
            )
        self.wake()

    def _acknowledge_job(self, job):
        for agent_id, ref in job.unacknowledged:
            self._acknowledge(agent_id, ref)
        job.unacknowledged.clear()

    def _acknowledge(self, agent_id, ref):
        self._acknowledgements.setdefault(agent_id, []).append(ref)

    # Main task

    async def run(self):
        """Place and start tasks, and process due events, until cancelled."""
        expire_at = trio.current_time() + EXPIRE_INTERVAL_S
        while True:
            now = trio.current_time()
            if self.is_active:
                self._process_events(now)
            if now >= expire_at:
                self.jobs.expire(unix_ms())
                expire_at = now + EXPIRE_INTERVAL_S
            # Retries and deadlines that fall due while inactive wait for a term.
            wakeup = self._next_wakeup(now) if self.is_active else expire_at
            with trio.move_on_at(min(wakeup, expire_at)):
                await self._wake.wait()
            self._wake = trio.Event()

    def _process_events(self, now):
        self._enqueue_due_retries(now)
        self._end_expired(now)
        assignments = self.scheduler.assign(now)
        for assignment in assignments:
            self._send_start(assignment)
        self._send_cancels()
        if now - self._acknowledged_at >= ACKNOWLEDGE_INTERVAL_S:
            self._acknowledged_at = now
            self._send_acknowledgements(list(self._acknowledgements))
        else:
            self._send_acknowledgements({item.agent_id for item in assignments})

    def _next_wakeup(self, now):
        times = [now + EXPIRE_INTERVAL_S]
        if self._retries:
            times.append(self._retries[0][0])
        if self._deadlines:
            times.append(self._deadlines[0][0] + DEADLINE_GRACE_S)
        if self._acknowledgements:
            times.append(self._acknowledged_at + ACKNOWLEDGE_INTERVAL_S)
        scheduled = self.scheduler.next_wakeup(now)
        if scheduled is not None:
            times.append(scheduled)
        return min(times)

    def _enqueue_due_retries(self, now):
        while self._retries and self._retries[0][0] <= now:
            _, _, key, index = heapq.heappop(self._retries)
            job = self.jobs.get(key)
            if job is not None and job.is_open:
                self._enqueue_tasks(job, [index])

    def _end_expired(self, now):
        self.scheduler.expire(now)
        while self._deadlines and self._deadlines[0][0] + DEADLINE_GRACE_S <= now:
            _, _, key = heapq.heappop(self._deadlines)
            job = self.jobs.get(key)
            if job is not None and job.is_open and job.deadline <= now:
                detail = "The job did not end before its deadline."
                self._fail_job(job, ResultCode.DEADLINE_EXCEEDED, detail)

    def _send_start(self, assignment):
        task, agent_id = assignment.task, assignment.agent_id
        job = self.jobs.get(task.key)
        now_ms = unix_ms()
        state = job.tasks[task.index].started(task.attempt, agent_id, now_ms)
        job.tasks[task.index] = state
        remaining_ms = max(1, round((job.deadline - trio.current_time()) * 1000))
        start = Start(
            partition=str(self.partition),
            epoch=self.term.epoch,
            key=job.key,
            index=task.index,
            attempt=task.attempt,
            kind=job.request.kind,
            spec=job.request.tasks[task.index],
            expires_at_ms=now_ms + min(remaining_ms, START_VALID_MS),
            timeout_ms=remaining_ms,
        )
        log.debug(
            "Job %s: starting task %d on %s.", job.key.job_id, task.index, agent_id
        )
        self.metrics.count_start(self.partition.service, job.request.kind)
        waited_s = trio.current_time() - job.queued_at
        self.metrics.observe_queue_time(
            self.partition.service, job.request.kind, waited_s
        )
        if not self._links[agent_id].conn.try_send(start):
            self._apply_result(job, task.index, state, _undelivered_result(task))

    def _send_cancels(self):
        cancels, self._cancels = self._cancels, {}
        for agent_id, refs in cancels.items():
            self._send(
                agent_id,
                CancelTasks(str(self.partition), self.term.epoch, tuple(refs)),
            )

    def _send_acknowledgements(self, agent_ids):
        for agent_id in agent_ids:
            refs = self._acknowledgements.pop(agent_id, None)
            if refs:
                self._send(agent_id, Acknowledge(str(self.partition), tuple(refs)))

    def _send(self, agent_id, body):
        link = self._links.get(agent_id)
        if link is not None:
            link.conn.try_send(body)


def _deadline_of_record(record):
    remaining_ms = record.accepted_at_ms + record.request.timeout_ms - unix_ms()
    return trio.current_time() + remaining_ms / 1000


def _with_unknown_outcome(result):
    # The agent refused this start, but has a record of another start of the task.
    return replace(
        result,
        code=int(ResultCode.OUTCOME_UNKNOWN),
        run_state=int(RunState.UNKNOWN),
        detail="The agent has a record of another start of this task.",
    )


def _undelivered_result(task):
    """Return the `NOT_RUN` result of an attempt whose start reached no agent."""
    return TaskResult(
        task.index,
        task.attempt,
        int(ResultCode.NO_FREE_SLOT),
        int(RunState.NOT_RUN),
        detail="The start did not reach the agent.",
    )


_OUTCOMES = {
    ResultCode.OK: Outcome.OK,
    ResultCode.CANCELLED: Outcome.CANCELLED,
    ResultCode.OUTCOME_UNKNOWN: Outcome.LOST,
    ResultCode.STALE_EPOCH: Outcome.REFUSED,
    ResultCode.AGENT_LEAVING: Outcome.REFUSED,
    ResultCode.NO_FREE_SLOT: Outcome.REFUSED,
    ResultCode.DUPLICATE_START: Outcome.REFUSED,
    ResultCode.START_EXPIRED: Outcome.REFUSED,
}
