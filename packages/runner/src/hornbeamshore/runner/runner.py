"""Admission and supervision of the runs on one target.

Only the agent on the same host calls a target. It counts each run against the
target's capacity and renews the target's lease. It stops the runs of an entry whose
lease has expired, and reports each result until the entry acknowledges it.
"""

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.call_workers import CallWorkers
from hornbeamshore.runner.health import ConsecutiveFailures
from hornbeamshore.runner.losses import LossLog
from hornbeamshore.runner.progress import Progress
from hornbeamshore.runner.reports import Reporter, RunnerState
from hornbeamshore.runner.runs import Run, RunPhase, RunTable
from hornbeamshore.runner.sessions import Session
from hornbeamshore.runner.supervisor import Supervisor
from hornbeamshore.runner.takeover import LossReason, TargetEvents
from hornbeamshore.runner.target import RunOutcome
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.wire.messages import Resources, TargetDescription

# Interval of the lease checks while runs are left or the target is unavailable.
SESSION_CHECK_INTERVAL_S = 0.1
# Duration of that interval above which the log says that the process was suspended or
# did not get the processor.
SUSPENSION_THRESHOLD_S = 0.3

_END_CODES = {
    RunOutcome.DONE: ResultCode.OK,
    RunOutcome.FAILED: ResultCode.TASK_FAILED,
    RunOutcome.STOPPED: ResultCode.CANCELLED,
    RunOutcome.EXPIRED: ResultCode.OUTCOME_UNKNOWN,
    RunOutcome.ABANDONED: ResultCode.OUTCOME_UNKNOWN,
}

log = PartLogger("agent")


class Runner(TargetEvents):
    """Runs the tasks that entries order on one target.

    Parameters
    ----------
    cfg : RunnerSettings
        Settings.
    driver : TargetDriver
        Opens channels to the target.
    metrics : RunnerMetrics
        Metrics of ended runs.
    clock : callable
        Returns the time in seconds by which leases are measured; it includes the time
        for which the host is suspended.
    shutdown : Shutdown or None
        Planned stop of the process, in which runs are refused; None if it is never
        stopped.

    Attributes
    ----------
    supervisor : Supervisor
        Takes over the target and polls it.
    call_workers : CallWorkers
        Sends starts and stops to the target.
    sessions : dict of str to Session
        Sessions of entries, by entry id.
    runs_refused : int
        Number of runs that were refused or cancelled before they were started.
    """

    def __init__(self, cfg, driver, metrics, clock=boot_time_s, shutdown=None):
        self.cfg = cfg
        self.metrics = metrics
        self.clock = clock
        self.supervisor = Supervisor(cfg, driver, self, clock)
        self.call_workers = CallWorkers(self, driver, self.supervisor)
        self.sessions = {}
        self.runs_refused = 0
        self._shutdown = shutdown or Shutdown(clock=clock)
        self._table = RunTable()
        self._health = ConsecutiveFailures(cfg.health)
        self._probe_needs = Resources()
        self._losses = LossLog(cfg)
        self._reporter = Reporter(self.sessions, self.state, self._losses, clock)
        self._state_changed = trio.Event()
        self._checks_requested = trio.Event()

    async def run(self):
        """Run the background tasks of the runner until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.supervisor.run)
            nursery.start_soon(self.call_workers.run, self.cfg.call_connections)
            nursery.start_soon(self._check_sessions)

    # Sessions with entries.

    def attach(self, conn):
        """Attach a connection to the session of its entry and return the session."""
        peer = conn.peer
        session = self.sessions.get(peer.process_id)
        if session is None or session.incarnation != peer.incarnation:
            if session is not None:
                self._stop_entry_runs(session, "entry restarted")
            session = Session(peer.process_id, peer.incarnation, conn.sent_at)
            self.sessions[peer.process_id] = session
        self.renew_lease(session, conn.sent_at)
        session.attach(conn)
        log.info(
            "entry attached id=%s runs=%d ends=%d",
            session.entry_id,
            len(session.runs),
            len(session.ends),
        )
        self._send_run_list(session)
        return session

    def _send_run_list(self, session):
        """Send an entry its runs, once no run of an earlier agent process is left."""
        if self.supervisor.has_adopted:
            self._reporter.send_run_list(session)

    def renew_lease(self, session, sent_at):
        """Renew the lease of an entry by a message or connection from it.

        A lease that has expired meanwhile is not extended: after a suspension, messages
        that were sent long before may be received ahead of the next lease check.

        Parameters
        ----------
        session : Session
            Session of the entry.
        sent_at : float
            Time on the clock at or after which the entry has sent the message.
        """
        self._expire_lease(session)
        session.last_heard = max(session.last_heard, sent_at)

    def entry_ended(self, session):
        """Stop the runs of an entry whose process has ended.

        If this agent is lost before the lease of the entry has expired, its target
        would go on with them until its own lease expires.
        """
        if session.conn is None and session.runs:
            self._stop_entry_runs(session, "entry ended")

    def send_pending_report(self, session):
        """Send an entry the results and changes that it was not sent yet."""
        self._reporter.send_pending(session)

    def heartbeat(self, session):
        """Return the report to send to an entry as a heartbeat, or None."""
        return self._reporter.heartbeat(session)

    def order_runs(self, session, message_id, body, sent_at):
        """Start or refuse the runs that an entry orders.

        No run waits here for capacity: the entry can place a refused one elsewhere. An
        order that is older than the lease of its entry is refused, since the entry may
        have given it up.

        Parameters
        ----------
        session : Session
            Session of the entry.
        message_id : int
            Id of the message.
        body : RunTasks
            Order.
        sent_at : float
            Time on the clock at or after which the entry has sent the order.
        """
        age_s = self.clock() - sent_at
        is_expired = age_s > self.cfg.lease.entry_lease
        if is_expired:
            log.warning(
                "order expired entry=%s job=%s runs=%d age_ms=%.0f",
                session.entry_id,
                body.job_id,
                len(body.orders),
                age_s * 1000,
            )
        session.last_order_id = message_id
        self._checks_requested.set()
        for order in body.orders:
            if order.run_id in session.runs or order.run_id in session.ends:
                continue
            run = Run(session, body, order, sent_at)
            session.add_run(run)
            refusal = (
                ResultCode.START_EXPIRED if is_expired else self._refusal_code(run)
            )
            if refusal is None:
                self._admit(run)
            else:
                self._refuse(run, refusal)
        self._notify_changed()

    def stop_runs(self, session, run_ids):
        """Stop runs that an entry has cancelled."""
        for run_id in run_ids:
            run = session.runs.get(run_id)
            if run is not None:
                self._stop(run, ResultCode.CANCELLED)

    def acknowledge_ends(self, session, run_ids):
        """Discard the results that an entry has acknowledged."""
        session.acknowledge(run_ids)
        self._notify_changed()

    def announce_stop(self):
        """Tell entries that the planned stop has begun, which refuses new runs."""
        self._checks_requested.set()
        self._notify_changed()

    async def wait_idle(self):
        """Wait until no run is left and all results are acknowledged.

        Results for an entry that is not connected are kept for its lease, in which it
        may connect again.
        """
        while any(self._is_busy(session) for session in self.sessions.values()):
            self._state_changed = trio.Event()
            await self._state_changed.wait()

    def _is_busy(self, session):
        is_awaited = session.conn is not None or not self._is_lease_expired(session)
        return bool(session.runs) or (is_awaited and bool(session.ends))

    def stop_all_runs(self):
        """Stop the runs of all entries."""
        for session in self.sessions.values():
            self.stop_runs(session, list(session.runs))

    def state(self):
        """Return the `RunnerState`, or None while no target is announced."""
        target = self.supervisor.target
        if target is None:
            return None
        free = self._table.free_capacity
        if self._health.is_probing(self.clock()):
            free = Resources() if self._table.is_busy else self._probe_needs
        description = TargetDescription(
            target.incarnation_id, target.service, target.labels, self._table.capacity
        )
        return RunnerState(description, self._unavailable_code() is None, free)

    # Admission.

    def _unavailable_code(self):
        """Return the code with which all runs are refused, or None if some may run."""
        target = self.supervisor.target
        if self._shutdown.begun.is_set() or target is None or target.leaving:
            return ResultCode.AGENT_LEAVING
        if self.supervisor.takeover is None or self._health.is_ejected(self.clock()):
            return ResultCode.TARGET_UNREACHABLE
        return None

    def _refusal_code(self, run):
        """Return the code with which to refuse a run, or None to admit it."""
        reason = self._unavailable_code()
        if reason is not None:
            return reason
        if self._health.is_probing(self.clock()) and self._table.is_busy:
            return ResultCode.NO_FREE_SLOT
        if self.supervisor.is_suspect:
            # The start would have to wait until the target answers again.
            return ResultCode.TARGET_UNREACHABLE
        is_free = run.needs.fits_in(self._table.free_capacity)
        return None if is_free and not self._is_trying() else ResultCode.NO_FREE_SLOT

    def _is_trying(self):
        """Return whether an isolated run was started a moment ago, or will be."""
        earliest = self.clock() - self.cfg.trial_time
        return any(
            run.isolated and (not run.started_at or run.started_at > earliest)
            for run in self._table.active.values()
        )

    def _admit(self, run):
        self._table.admit(run)
        self._probe_needs = run.needs
        self.call_workers.enqueue_start(run)
        self.supervisor.request_poll()

    def _refuse(self, run, code):
        self.runs_refused += 1
        run.session.record_end(run.run_id, code, RunState.NOT_RUN)

    # Runs.

    def is_active(self, run):
        """Return whether the target may be running this run."""
        return self._table.active.get(run.key) is run

    def stop_reason(self, run):
        """Return the code with which a run is to be stopped now, or None.

        The lease of its entry is looked at first.
        """
        self._expire_lease(run.session)
        return run.stop_reason

    def renumber(self, run):
        """Assign a higher number to a run that the target refused as stale."""
        self._table.renumber(run)

    def record_target_failure(self, run):
        """Record a run that failed, or a start that failed or was not answered."""
        self._health.record_failure(run.job_id, self.clock())

    def end_run(self, run, code, run_state, detail=""):
        """Release a run that is certain to have ended and record its result."""
        self._table.release(run)
        run_time_s = self.clock() - run.started_at if run.started_at else 0.0
        run.session.record_end(run.run_id, code, run_state, run_time_s, detail)
        self.metrics.run_ended(code, run_time_s)
        self._notify_changed()

    def _stop(self, run, reason):
        if run.stop_reason is not None:
            return
        if run.phase is RunPhase.RUNNING:
            self.call_workers.enqueue_stop(run, reason)
        else:
            # The worker that sends the start stops the run after the answer.
            run.stop_reason = reason

    # Callbacks of the supervisor.

    def has_runs(self):
        """Return whether the target may be running anything."""
        return bool(self._table.active)

    def expected_runs(self):
        """Return the runs that a poll sent now must report, running or ended."""
        return [
            run
            for run in self._table.active.values()
            if run.phase is RunPhase.RUNNING or run.stop_answered
        ]

    def may_extend_lease(self):
        """Return whether the entries of all runs at the target hold their leases.

        The runs of an entry that does not are stopped; until that is answered, their
        end depends on the lease of the target.
        """
        sessions = {
            run.session
            for run in self._table.active.values()
            if run.started_at and not run.stop_answered
        }
        for session in sessions:
            self._expire_lease(session)
        return not any(self._is_lease_expired(session) for session in sessions)

    def target_polled(self, ended, state, expected):
        """Process the ended, running and missing runs of a poll."""
        for item in ended:
            run = self._table.active.get((item.task, item.run))
            if run is not None:
                self._handle_end(run, item.kind)
        reported = {(item.task, item.run): item.percent for item in state.running}
        for run in expected:
            if run.key not in reported and self.is_active(run):
                self._handle_missing_run(run)
        for key, percent in reported.items():
            run = self._table.active.get(key)
            if run is None:
                continue
            run.is_listed = run.is_confirmed = True
            if run.phase is RunPhase.RUNNING:
                self._update_progress(run, percent, state.clock_ms)

    def target_changed(self):
        """Update the state after the target was announced, taken over or is leaving."""
        # An incarnation that has ended was reported as lost before.
        self._losses.dismiss_crash()
        self._table.capacity = self.supervisor.target.capacity
        for session in self.sessions.values():
            self._send_run_list(session)
        self._notify_changed()

    def target_lost(self, reason):
        """End the runs that are certain not to be running at the target any more."""
        runs = list(self._table.active.values())
        if reason is LossReason.RESTARTED:
            runs = [run for run in runs if run.is_listed or not run.started_at]
        started_runs = [run for run in runs if run.started_at]
        if started_runs:
            self._record_loss(started_runs, reason)
        if reason.is_replacement:
            self._losses.confirm_crash(self.clock())
        for run in runs:
            if run.started_at:
                code, run_state = ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN
            else:
                code, run_state = ResultCode.TARGET_UNREACHABLE, RunState.NOT_RUN
            self.end_run(run, code, run_state, reason.value)
        if reason is not LossReason.EXPIRED:
            # The failures were those of a process that has ended.
            self._health = ConsecutiveFailures(self.cfg.health)
        self._notify_changed()

    def target_cleared(self):
        """End the runs that are left after a loss; the target runs nothing any more."""
        for run in list(self._table.active.values()):
            detail = LossReason.RESTARTED.value
            self.end_run(run, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)

    def _record_loss(self, runs, reason):
        self.metrics.target_lost(reason.value)
        is_crash = self._is_crash_during_runs(reason)
        has_left = reason is LossReason.DEPARTED or self.supervisor.target.leaving
        self._losses.record(
            runs,
            crashed=is_crash,
            is_silent=not is_crash and not has_left,
            answered_at=self.supervisor.answered_at,
            now=self.clock(),
        )
        self._log_lost_runs(runs, reason)

    def _is_crash_during_runs(self, reason):
        """Return whether the target has certainly crashed before its lease expired."""
        silence_s = self.clock() - self.supervisor.answered_at
        return (
            reason.is_crash
            and not self.supervisor.target.leaving
            and silence_s <= self.cfg.certain_lease_s
        )

    def _log_lost_runs(self, runs, reason):
        """Log the runs lost with the target, those that were started last first."""
        answered_at = self.supervisor.answered_at
        log.warning(
            "runs lost number=%d reason=%r silence_ms=%.0f runs=%s",
            self._losses.last_number,
            reason.value,
            (self.clock() - answered_at) * 1000,
            ",".join(
                f"{run.task}:{(answered_at - run.started_at) * 1000:.0f}:{run.label}"
                for run in sorted(runs, key=_started_at, reverse=True)
            ),
        )

    def _handle_end(self, run, kind):
        if kind is RunOutcome.DONE:
            self._health.record_success()
        elif kind is RunOutcome.FAILED:
            self.record_target_failure(run)
        code = _END_CODES[kind]
        if kind is RunOutcome.STOPPED and run.stop_reason is not None:
            code = run.stop_reason
        self.end_run(run, code, RunState.RAN, kind.value)

    def _update_progress(self, run, percent, clock_ms):
        """Record progress; stop a stalled run so that its entry can place it again."""
        if run.progress is None:
            run.progress = Progress(percent, clock_ms)
            return
        run.progress.update(percent, clock_ms)
        cfg = self.cfg.health
        is_stalled = run.progress.is_stalled(clock_ms, cfg.stall_after * 1000)
        if is_stalled and run.attempt <= cfg.max_stalled_attempts:
            log.warning(
                "run stalled task=%s run=%d percent=%d", run.task, run.number, percent
            )
            self._health.record_stall(self.clock())
            self._stop(run, ResultCode.OUTCOME_UNKNOWN)

    def _handle_missing_run(self, run):
        if run.stop_reason is None:
            log.warning("run missing task=%s run=%d", run.task, run.number)
            self.end_run(
                run, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, "run missing"
            )
        else:
            # The stop was answered and the run is not present: its start was not
            # executed before the stop, and will be refused if it arrives later.
            self.end_run(run, run.stop_reason, RunState.NOT_RUN, "stopped before start")

    # Leases of entries.

    async def _check_sessions(self):
        while True:
            self._checks_requested = trio.Event()
            is_available = self._unavailable_code() is None
            if is_available and not self._table.is_busy:
                with trio.move_on_after(self.cfg.end_retention):
                    await self._checks_requested.wait()
            slept_from = self.clock()
            await trio.sleep(SESSION_CHECK_INTERVAL_S)
            now = self.clock()
            if now - slept_from > SUSPENSION_THRESHOLD_S:
                log.warning("suspended gap=%.3f", now - slept_from)
            self.supervisor.end_lapsed_runs()
            for session in list(self.sessions.values()):
                self._check_session(session, now)
            # No other event follows the end of an ejection or of a lease.
            self._notify_changed()

    def _check_session(self, session, now):
        self._expire_lease(session)
        is_expired = now - session.last_heard > self.cfg.end_retention
        if session.conn is None and is_expired and not session.runs:
            del self.sessions[session.entry_id]

    def _is_lease_expired(self, session):
        return self.clock() - session.last_heard > self.cfg.lease.entry_lease

    def _expire_lease(self, session):
        """Stop the runs of an entry whose lease has expired."""
        if session.runs and self._is_lease_expired(session):
            self._stop_entry_runs(session, "entry lease expired")

    def _stop_entry_runs(self, session, reason):
        unstopped = [run for run in session.runs.values() if run.stop_reason is None]
        if unstopped:
            log.warning(
                "runs stopped entry=%s reason=%r runs=%d jobs=%s",
                session.entry_id,
                reason,
                len(unstopped),
                # The entry may have ended without a line about these jobs.
                ",".join(sorted({run.job_id for run in unstopped})),
            )
        for run in unstopped:
            self._stop(run, ResultCode.CANCELLED)

    def _notify_changed(self):
        self._reporter.announce_changes()
        self._state_changed.set()


def _started_at(run):
    return run.started_at
