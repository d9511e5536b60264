"""Execution of jobs at an entry, from submission to answer."""

import contextlib
import itertools
import math
from collections import OrderedDict, defaultdict

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.dispatch.assigner import Assigner
from hornbeamshore.dispatch.evidence import RecentStarts, Suspicion
from hornbeamshore.dispatch.fleet import Fleet
from hornbeamshore.dispatch.jobs import Job, Run, TaskPhase
from hornbeamshore.dispatch.model import JobOutcome
from hornbeamshore.dispatch.presence import AssumedPresence
from hornbeamshore.serving.shutdown import AnswersDue, Shutdown
from hornbeamshore.wire.connection import MessageHandler
from hornbeamshore.wire.messages import (
    AckRuns,
    AgentReport,
    Resources,
    RunEnd,
    RunOrder,
    RunTasks,
    StopRuns,
)

# Ids of cancelled jobs are kept so that a delayed duplicate submission does not run.
MAX_CANCELLED_JOBS = 4096

# Results of jobs with a task that must not be started again.
_BARRED_CODES = {
    Suspicion.PROVEN: ResultCode.TARGET_CRASHED,
    Suspicion.EXHAUSTED: ResultCode.OUTCOME_UNKNOWN,
}

log = PartLogger("entry")


class Coordinator(MessageHandler):
    """Runs submitted jobs by dispatching their tasks directly to agents.

    Each job is served by the Trio task of its request. The state changes on messages
    from agents and on clock ticks; waiting tasks are placed after each change.

    Parameters
    ----------
    cfg : DispatchSettings
        Settings.
    metrics : DispatchMetrics
        Metrics of jobs and runs.
    clock : callable
        Returns the time in seconds by which leases are measured; it includes the time
        for which the host is suspended.
    presence : CallerPresence or None
        Detects callers that have closed their connections; None if callers always
        cancel their calls.
    shutdown : Shutdown or None
        Planned stop of the process; None if it is never stopped.

    Attributes
    ----------
    fleet : Fleet
        Agents that are connected, or were until recently.
    jobs : dict of str to Job
        Jobs in progress, by job id.
    evidence : LossEvidence
        Evidence about tasks that crash targets.
    assigner : Assigner
        Assigns waiting tasks to agents.
    """

    def __init__(self, cfg, metrics, clock=boot_time_s, presence=None, shutdown=None):
        self.cfg = cfg
        self.metrics = metrics
        self._clock = clock
        self._presence = presence or AssumedPresence()
        self._shutdown = shutdown or Shutdown(clock=clock)
        self.fleet = Fleet(cfg.data_centre)
        self.jobs = {}
        self.evidence = RecentStarts(cfg.containment)
        self.assigner = Assigner(cfg, self.fleet, self.evidence)
        self._cancelled = OrderedDict()
        self._run_ids = itertools.count(1)
        self._last_tick = clock()
        self._pending_orders = defaultdict(list)

    async def run(self):
        """Check waiting jobs and lost agents at each tick until cancelled."""
        agents_due_at = 0.0
        while True:
            is_waiting = self.assigner.has_waiting_tasks
            await trio.sleep(self.cfg.tick if is_waiting else self.cfg.idle_tick)
            now = self._clock()
            if now - self._last_tick > self.cfg.suspension_threshold:
                log.warning("suspended gap=%.3f", now - self._last_tick)
            self._last_tick = now
            if now >= agents_due_at:
                agents_due_at = now + self.cfg.idle_tick
                self._expire_lost_agents(now)
                self._record_overdue_runs()
                self._abandon_departed(self.jobs.values())
            self.place_tasks()
            self._reject_late_jobs()
            self._answer_untried_suspects()

    async def submit(self, spec, queue, deadline_s, caller=None):
        """Run a job until it ends or its deadline passes.

        A duplicate of a job in progress shares the outcome of that job. At the
        deadline, when a planned stop demands the answer, or if the call is cancelled,
        the runs of the job are stopped.

        Parameters
        ----------
        spec : JobSpec
            Job to run.
        queue : Queue
            Queue of the job.
        deadline_s : float
            Seconds for which the caller waits for the answer.
        caller : object or None
            Connection of the caller, as `CallerPresence` takes it; None for a caller
            in this process.

        Returns
        -------
        JobOutcome
            Outcome to report to the caller.
        """
        job = Job(spec, queue, trio.current_time(), caller)
        with self._until_answer_is_due(deadline_s):
            shared_outcome = await self._await_duplicate(spec.job_id)
            if shared_outcome is not None:
                return shared_outcome
            self._register_job(job)
        if not job.is_registered:
            # Waited for a duplicate, whose tasks may have run.
            job.may_have_run = True
            self._end_unanswered(job)
            return job.outcome
        try:
            waited_s = trio.current_time() - job.received_at
            remaining_s = max(0.0, deadline_s - waited_s)
            with self._until_answer_is_due(remaining_s):
                await job.finished.wait()
            self._end_unanswered(job)
        finally:
            self._abandon(job, ResultCode.CANCELLED)
            self._close_job(job)
        return job.outcome

    @contextlib.contextmanager
    def _until_answer_is_due(self, deadline_s):
        """End the block at a deadline, or when a planned stop demands all answers."""
        with (
            contextlib.suppress(AnswersDue),
            self._shutdown.bounded(),
            trio.move_on_after(deadline_s),
        ):
            yield

    def _end_unanswered(self, job):
        """Finish a job whose answer is due.

        At its deadline, duplicates with a later one run the job again.
        """
        if self._shutdown.are_answers_due:
            self._finish(job, ResultCode.DRAINING)
        else:
            self._abandon(job, ResultCode.DEADLINE_EXCEEDED)

    async def _await_duplicate(self, job_id):
        """Wait for a job in progress with the same id, if there is one.

        Returns
        -------
        JobOutcome or None
            Outcome of that job; None if the job still has to run.
        """
        if job_id in self._cancelled:
            return JobOutcome.of(ResultCode.CANCELLED)
        while (duplicate := self.jobs.get(job_id)) is not None:
            await duplicate.finished.wait()
            if not duplicate.is_abandoned:
                return duplicate.outcome
            # The caller of that job disconnected or had an earlier deadline. Its runs
            # may take a moment to stop, and runs of the duplicate must not overlap.
            await duplicate.drained.wait()
        return None

    def cancel(self, job_id):
        """Cancel a job; return whether it was in progress.

        A submission that arrives later is cancelled as well: it may be a duplicate, or
        have been overtaken by the cancellation.
        """
        self._cancelled[job_id] = None
        if len(self._cancelled) > MAX_CANCELLED_JOBS:
            self._cancelled.popitem(last=False)
        job = self.jobs.get(job_id)
        if job is None or job.finished.is_set():
            return False
        self._finish(job, ResultCode.CANCELLED)
        return True

    def count_unstarted_jobs(self, queue):
        """Return the number of jobs of a queue that have not started."""
        return sum(
            job.queue.name == queue.name and not job.may_have_started
            for job in self.jobs.values()
        )

    @property
    def is_connected(self):
        """Whether runs can be ordered from any agent."""
        return not self.fleet.index.is_empty

    # Jobs.

    def _register_job(self, job):
        self.jobs[job.spec.job_id] = job
        job.is_registered = True
        if self.evidence.knows(job.spec.job_id):
            # Another entry has run an earlier copy of the job.
            job.may_have_run = True
            tasks = [task for step_tasks in job.tasks for task in step_tasks]
            if any(self._end_if_barred(task) for task in tasks):
                return
        self.assigner.add_job(job)
        if self._shutdown.begun.is_set():
            self._reject_if_stopping(job, self.assigner.fastest_run_time_s(job))
        self.place_tasks()
        self._reject_if_late(job)

    def _finish(self, job, code):
        """Set the outcome of a job and remove its waiting tasks."""
        self.assigner.remove_job(job)
        retry_after_s = self.assigner.retry_after_s(job)
        if code is ResultCode.DRAINING:
            # Other entries may have an agent for the job at once.
            retry_after_s = self._shutdown.retry_after_s
        job.finish(code, retry_after_s)

    def _end_if_barred(self, task):
        """Finish the job of a task that must not be started again; return whether."""
        job = task.job
        suspicion = self.evidence.suspicion(task)
        code = _BARRED_CODES.get(suspicion)
        if code is None:
            return False
        log.warning(
            "job given up id=%s queue=%s task=%d.%d suspicion=%s %s",
            job.spec.job_id,
            job.queue.name,
            task.step_index,
            task.index,
            suspicion.value,
            self.evidence.describe(task),
        )
        self._finish(job, code)
        return True

    def _end_barred_suspects(self):
        """Finish the jobs of waiting tasks that must not be started again by now."""
        for task in self.assigner.suspects:
            if not task.job.finished.is_set():
                self._end_if_barred(task)

    def _answer_untried_suspects(self):
        """Answer jobs whose suspected tasks would wait too long for an agent."""
        for task in self.assigner.untried_suspects():
            if not task.job.finished.is_set():
                log.warning(
                    "suspect not tried job=%s task=%d.%d",
                    task.job.spec.job_id,
                    task.step_index,
                    task.index,
                )
                self._finish(task.job, ResultCode.OUTCOME_UNKNOWN)

    def _abandon(self, job, code):
        """Finish an unfinished job whose own caller no longer waits for it.

        Duplicates do not share this outcome; they run the job again.
        """
        if not job.finished.is_set():
            job.is_abandoned = True
            self._finish(job, code)

    def _abandon_departed(self, jobs):
        """Abandon the unfinished jobs whose callers have closed their connections.

        A caller's disconnect is usually read first, and cancels the submission. It is
        not read while a further request on the connection waits for this job.
        """
        jobs = [job for job in jobs if not job.finished.is_set()]
        if not jobs:
            return
        departed = self._presence.departed([job.caller for job in jobs])
        for job in jobs:
            if job.caller in departed:
                log.info(
                    "caller left id=%s queue=%s placed=%s",
                    job.spec.job_id,
                    job.queue.name,
                    job.has_placed_task,
                )
                self._abandon(job, ResultCode.CANCELLED)

    def _close_job(self, job):
        """Stop the remaining runs of a finished job; count and log its outcome."""
        run_ids_by_agent = defaultdict(list)
        for run in job.runs.values():
            run_ids_by_agent[run.agent_id].append(run.run_id)
        for agent_id, run_ids in run_ids_by_agent.items():
            self._send(self.fleet.agents.get(agent_id), StopRuns(tuple(run_ids)))
        self._forget_drained(job)
        now = trio.current_time()
        self.metrics.job_answered(
            job.queue.name,
            job.outcome.code,
            now - job.received_at,
            in_time=now <= job.due_at + self.cfg.overhead,
        )
        log.info(
            "job answered id=%s queue=%s code=%d state=%r ms=%.0f aim_ms=%.0f"
            " estimate_ms=%.0f runs=%s",
            job.spec.job_id,
            job.queue.name,
            job.outcome.code,
            job.outcome.run_state.label,
            (now - job.received_at) * 1000,
            (job.due_at - job.received_at) * 1000,
            job.critical_path_s * 1000,
            ",".join((*job.ended_runs, *self._unfinished_runs(job, now))) or "-",
        )

    def _forget_drained(self, job):
        """Remove a finished job once none of its runs is left."""
        if not job.runs and self.jobs.get(job.spec.job_id) is job:
            del self.jobs[job.spec.job_id]

    def _unfinished_runs(self, job, now):
        """Yield the unfinished runs of a job in the format of `Job.ended_runs`."""
        for run in job.runs.values():
            prefix = f"{run.task.step_index}.{run.task.index}@{run.agent_id}"
            yield f"{prefix}:open:{(now - run.ordered_at) * 1000:.0f}"

    def _reject_late_jobs(self):
        """Reject unstarted jobs that cannot be placed and can no longer end in time."""
        if not self.assigner.has_waiting_tasks:
            return
        for job in list(self.jobs.values()):
            self._reject_if_late(job)
            if self._shutdown.begun.is_set():
                self._reject_if_stopping(job, self.assigner.fastest_run_time_s(job))

    def _reject_if_stopping(self, job, run_time_s):
        """Reject an unstarted job that is not expected to end in a planned stop.

        Parameters
        ----------
        job : Job
            Job.
        run_time_s : float
            Expected run time of the job, if it is started now.
        """
        time_left_s = self._shutdown.time_left_s
        needed_s = run_time_s + self.cfg.overhead
        if needed_s <= time_left_s or job.may_have_started or job.finished.is_set():
            return
        left_ms, needed_ms = time_left_s * 1000, needed_s * 1000
        reason = f"stopping left_ms={left_ms:.0f} needed_ms={needed_ms:.0f}"
        self._reject(job, ResultCode.DRAINING, reason)

    def _reject_if_late(self, job):
        if job.may_have_started or job.finished.is_set():
            return
        reason = self.assigner.rejection_reason(job)
        if reason is not None:
            self._reject(job, ResultCode.OVERLOADED, reason)

    def _reject(self, job, code, reason):
        """Finish a job that has not been started; `reason` has the inputs."""
        self._finish(job, code)
        log.info(
            "job refused id=%s queue=%s waited_ms=%.0f %s",
            job.spec.job_id,
            job.queue.name,
            (trio.current_time() - job.received_at) * 1000,
            reason,
        )

    # Placement.

    def place_tasks(self):
        """Place waiting tasks on agents with free capacity and order their runs.

        No run is ordered for a caller that has left: it may have submitted the job to
        another entry, which runs it now. The age of the orders counts from before the
        first caller is looked at, so that agents refuse them if this entry is suspended
        between that and their sending.
        """
        decided_at = self._clock()
        checked_jobs = set()
        for task, view, expected_run_time_s in self.assigner.assign():
            if task.job not in checked_jobs:
                checked_jobs.add(task.job)
                self._abandon_departed([task.job])
                slowness = expected_run_time_s / task.step_spec.estimate_s
                self._reject_if_stopping(task.job, task.job.critical_path_s * slowness)
            if not task.job.finished.is_set():
                self._order_run(task, view, expected_run_time_s)
        self._flush_orders(decided_at)

    def _order_run(self, task, view, expected_run_time_s):
        now = trio.current_time()
        task.phase = TaskPhase.PLACED
        task.job.has_placed_task = True
        task.attempts += 1
        overdue_at = now + expected_run_time_s * self.cfg.overdue_factor
        run = Run(next(self._run_ids), task, view.agent_id, now, overdue_at)
        task.job.runs[run.run_id] = run
        view.add_run(run)
        order = RunOrder(
            run.run_id,
            task.step_index,
            task.index,
            task.attempts,
            task.step_spec.needs,
            task.isolated,
        )
        self._pending_orders[view.agent_id, task.job.spec.job_id].append(order)

    def _flush_orders(self, decided_at):
        pending_orders, self._pending_orders = self._pending_orders, defaultdict(list)
        for (agent_id, job_id), orders in pending_orders.items():
            view = self.fleet.agents[agent_id]
            job = self.jobs[job_id]
            body = RunTasks(job_id, job.spec.content, tuple(orders), job.queue.name)
            total = sum((order.needs for order in orders), Resources())
            message_id = self._send(view, body, decided_at)
            if message_id:
                run_ids = {order.run_id for order in orders}
                view.record_order(message_id, total, run_ids)

    def _send(self, view, body, decided_at=None):
        if view is None or view.conn is None or not view.conn.is_open:
            return 0
        return view.conn.send(body, decided_at=decided_at)

    # Agents.

    def opened(self, conn):
        """Register a connected agent.

        No run is ordered from it until its first complete report has been reconciled
        with the runs ordered earlier.
        """
        view, replaced = self.fleet.connect(conn, self._clock())
        if replaced is not None:
            view.inherit_runs(replaced, self._clock())
            self.assigner.remove_agent(view.agent_id)
        log.info("agent connected id=%s runs=%d", view.agent_id, len(view.runs))

    def closed(self, conn):
        """Mark an agent as disconnected.

        Its runs are kept until its lease has expired, since they may still execute.
        """
        view = self.fleet.agents.get(conn.peer.process_id)
        if view is not None and view.conn is conn:
            view.detach_connection(self._clock())
            log.warning("agent lost id=%s runs=%d", view.agent_id, len(view.runs))

    def handle(self, conn, message):
        """Process a report from an agent; other messages are ignored."""
        view = self.fleet.agents.get(conn.peer.process_id)
        if isinstance(message.body, AgentReport) and view.conn is conn:
            self._apply_report(view, message.body)

    def before_write(self, conn):
        """Acknowledge the results received since the last write to an agent."""
        view = self.fleet.agents.get(conn.peer.process_id)
        if view is None or view.conn is not conn or not view.unacknowledged_run_ids:
            return
        run_ids, view.unacknowledged_run_ids = view.unacknowledged_run_ids, []
        self._send(view, AckRuns(tuple(run_ids)))
        view.update_activity()

    def _apply_report(self, view, report):
        view.apply_report(report)
        for loss in report.losses:
            self.assigner.record_loss(view, loss)
        if report.losses:
            self._end_barred_suspects()
        for end in report.ends:
            self._handle_run_end(view, end)
        view.unacknowledged_run_ids += [end.run_id for end in report.ends]
        view.update_activity()
        if report.complete:
            self._reconcile(view, set(report.held))
        self.place_tasks()

    def _reconcile(self, view, held):
        """Reconcile the runs ordered from an agent with those that it holds.

        Parameters
        ----------
        view : AgentView
            Agent that sent a complete report.
        held : set of int
            Ids of all runs that the agent has received and not ended.
        """
        unwanted = held - view.runs.keys()
        for run_id in list(view.runs):
            run = view.runs[run_id]
            if run_id not in held and not view.is_order_unconfirmed(run_id):
                # A restarted agent does not know which runs it had started.
                state = RunState.NOT_RUN
                if run_id in view.inherited_run_ids:
                    state = RunState.UNKNOWN
                end = RunEnd(run_id, ResultCode.OUTCOME_UNKNOWN, state)
                self._end_run(view, run, end)
            elif run.task.job.finished.is_set():
                unwanted.add(run_id)
        if unwanted:
            self._send(view, StopRuns(tuple(unwanted)))

    def _expire_lost_agents(self, now):
        """End the runs of lost agents, and remove those that are still disconnected.

        An agent is lost if it sends no complete report before its lease expires.
        """
        silence_limit_s = self.cfg.lease.agent_stop_bound_s
        for view in list(self.fleet.agents.values()):
            if view.is_reconciled or now - view.disconnected_at <= silence_limit_s:
                continue
            if view.runs:
                log.warning(
                    "agent given up id=%s runs=%d", view.agent_id, len(view.runs)
                )
            for run in list(view.runs.values()):
                lost_end = RunEnd(
                    run.run_id, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN
                )
                self._end_run(view, run, lost_end)
            if view.conn is None:
                del self.fleet.agents[view.agent_id]
                self.assigner.remove_agent(view.agent_id)

    def _record_overdue_runs(self):
        """Update the estimates for slow targets before their overdue runs end."""
        now = trio.current_time()
        for view in self.fleet.agents.values():
            for run in view.runs.values():
                if now > run.overdue_at and view.is_reconciled:
                    run.overdue_at = math.inf
                    self.assigner.record_run_time(run, now - run.ordered_at)

    # Ends of runs.

    def _handle_run_end(self, view, end):
        run = view.runs.get(end.run_id)
        if run is None:
            return
        if end.code == ResultCode.OK and end.run_time_us:
            self.assigner.record_run_time(run, end.run_time_us / 1e6)
        self._end_run(view, run, end)

    def _end_run(self, view, run, end):
        task, job = run.task, run.task.job
        code = ResultCode(end.code)
        self.metrics.run_ended(code)
        job.may_have_run |= end.run_state != RunState.NOT_RUN
        del view.runs[run.run_id]
        del job.runs[run.run_id]
        run_ms = end.run_time_us // 1000
        job.ended_runs.append(
            f"{task.step_index}.{task.index}@{view.agent_id}:{int(code)}:{run_ms}"
        )
        if job.finished.is_set():
            job.update_drained()
            self._forget_drained(job)
        elif code is ResultCode.OK:
            self._complete_task(task)
        else:
            self._handle_unsuccessful_run(task, view, code, end.detail)

    def _complete_task(self, task):
        job = task.job
        self.evidence.record_success(task)
        if not job.complete_task(task):
            return
        if job.is_complete:
            self._finish(job, ResultCode.OK)
            return
        self.assigner.release_tasks(job)

    def _handle_unsuccessful_run(self, task, view, code, detail):
        """Fail the job if its task has failed too often; otherwise requeue the task."""
        now = trio.current_time()
        if code is ResultCode.TASK_FAILED:
            task.failures += 1
            if task.failures >= task.job.queue.max_failed_runs:
                self._finish(task.job, ResultCode.TASK_FAILED)
                return
        if self._end_if_barred(task):
            return
        needs = task.step_spec.needs
        if code is ResultCode.NO_FREE_SLOT and not needs.fits_in(view.free):
            # The view was out of date; the report that ended the run has corrected it.
            self._requeue(task)
            return
        log.info(
            "task placed again job=%s task=%d.%d agent=%s code=%d detail=%r",
            task.job.spec.job_id,
            task.step_index,
            task.index,
            view.agent_id,
            code,
            detail,
        )
        task.excluded_until[view.agent_id] = now + self.cfg.avoid_time
        self._requeue(task)

    def _requeue(self, task):
        task.phase = TaskPhase.WAITING
        self.assigner.requeue(task)
