"""Admission, start, supervision and end of the runs on one target.

The agent beside a target is the only one that calls it. It counts each run against
the target's capacity, keeps the target's lease while the ordering entry is heard,
and reports each end until the entry has taken it.
"""

import contextlib
from dataclasses import dataclass
from functools import partial

import trio

from hornbeamshore.base.clock import boot_time_s
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.health import FailuresInARow
from hornbeamshore.runner.runs import Run, RunPhase, RunTable
from hornbeamshore.runner.sessions import Session
from hornbeamshore.runner.target import (
    EndKind,
    StartAnswer,
    TargetReplaced,
    TargetSilent,
    TargetUnreached,
)
from hornbeamshore.wire.messages import Resources

SUPERVISE_EVERY_S = 0.05

_END_CODES = {
    EndKind.DONE: ResultCode.OK,
    EndKind.FAILED: ResultCode.TASK_FAILED,
    EndKind.STOPPED: ResultCode.CANCELLED,
    EndKind.EXPIRED: ResultCode.OUTCOME_UNKNOWN,
    EndKind.ABANDONED: ResultCode.OUTCOME_UNKNOWN,
}
_REFUSAL_CODES = {
    StartAnswer.NO_ROOM: ResultCode.NO_FREE_SLOT,
    StartAnswer.STALE_RUN: ResultCode.DUPLICATE_START,
    StartAnswer.EXPIRED: ResultCode.START_EXPIRED,
    StartAnswer.FENCED: ResultCode.STALE_EPOCH,
    StartAnswer.UNHEALTHY: ResultCode.TARGET_UNREACHABLE,
    StartAnswer.MALFORMED: ResultCode.MALFORMED_REQUEST,
}

log = PartLogger("agent")


@dataclass(frozen=True, slots=True)
class RunnerState:
    """State of the agent and its target, as all entries are told."""

    target: str
    service: str
    labels: tuple[str, ...]
    accepting: bool
    capacity: Resources
    free: Resources


class Runner:
    """Runs the tasks that entries order on one target.

    Parameters
    ----------
    cfg : RunnerSettings
        Settings.
    driver : TargetDriver
        Opens channels to the target.
    metrics : RunnerMetrics
        Counts runs.
    clock : callable
        Returns the seconds in which leases are measured.

    Attributes
    ----------
    target : TargetIncarnation or None
        Incarnation that was announced last.
    is_adopted : bool
        Whether the target is fenced for this agent and runs nothing of before.
    sessions : dict of str to Session
        By entry id.
    """

    def __init__(self, cfg, driver, metrics, clock=boot_time_s):
        self.cfg = cfg
        self.metrics = metrics
        self._clock = clock
        self.driver = driver
        self.target = None
        self.is_adopted = False
        self.leaving = False
        self.sessions = {}
        self.runs_started = self.runs_refused = 0
        self._table = RunTable()
        self._health = FailuresInARow(cfg.health)
        self._fence = 0
        self._acknowledged = 0
        self._has_untaken_ends = False
        self._last_renewal = 0.0
        self._probe_needs = Resources()
        self._commands, self._next_command = trio.open_memory_channel(float("inf"))
        self._wake_poll = trio.Event()
        self._wake_report = trio.Event()
        self._wake_adopt = trio.Event()
        self._idle = trio.Event()

    async def run(self):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._adopt_targets)
            nursery.start_soon(self._poll_target)
            nursery.start_soon(self._report_changes)
            nursery.start_soon(self._supervise)
            for _ in range(self.cfg.call_lanes):
                nursery.start_soon(self._serve_lane)

    # Announcements of the target.

    def announced(self, target):
        """Take what the target says of itself; a delayed announcement is ignored."""
        known = self.target
        if known is not None and target.life == known.life:
            if target.sequence > known.sequence:
                self.driver.observe_clock(target.clock_ms)
                self._refresh(target)
            return
        if known is not None and not target.replaces(known):
            log.info("announcement ignored target=%s", target.incarnation_id)
            return
        log.info(
            "target announced id=%s leaving=%s", target.incarnation_id, target.leaving
        )
        self._lose_target("replaced")
        self.driver.observe_clock(target.clock_ms)
        self.target = target
        self._fence = 0
        self._acknowledged = 0
        self._wake_adopt.set()

    def departed(self, incarnation_id):
        """Take that the target has ended."""
        if self.target is not None and self.target.incarnation_id == incarnation_id:
            log.info("target departed id=%s", incarnation_id)
            self._lose_target("departed")
            self.target = None

    def _refresh(self, target):
        if target.leaving and not self.target.leaving:
            log.info("target leaving id=%s", target.incarnation_id)
        self.target = target
        self._table.capacity = target.capacity
        if not self.is_adopted:
            self._wake_adopt.set()
        if target.leaving:
            self._refuse_queue(ResultCode.AGENT_LEAVING)
        self._changed()

    # Sessions with entries.

    def attach(self, conn):
        """Take a connection of an entry; return its session."""
        peer = conn.peer
        session = self.sessions.get(peer.process_id)
        if session is None or session.incarnation != peer.incarnation:
            if session is not None:
                self._abandon(session, "entry restarted")
            session = Session(peer.process_id, peer.incarnation, self._clock)
            self.sessions[peer.process_id] = session
        session.attach(conn)
        log.info(
            "entry attached id=%s runs=%d ends=%d",
            session.entry_id,
            len(session.runs),
            len(session.ends),
        )
        if self.target is not None:
            session.report(self.state(), complete=True)
        return session

    def order(self, session, message_id, body):
        """Take runs that an entry orders."""
        session.received = message_id
        for order in body.orders:
            if order.run_id in session.runs or order.run_id in session.ends:
                continue
            run = Run(session, body.job_id, body.spec, order)
            session.runs[order.run_id] = run
            refusal = self._refusal(run)
            if refusal is None:
                self._table.enqueue(run)
                self._admit()
            else:
                self._refuse(run, refusal)
        self._changed()

    def stop(self, session, run_ids):
        """Stop runs that an entry no longer wants."""
        for run_id in run_ids:
            run = session.runs.get(run_id)
            if run is not None:
                self._stop(run, ResultCode.CANCELLED)

    def leave(self):
        """Take no further runs."""
        self.leaving = True
        self._refuse_queue(ResultCode.AGENT_LEAVING)
        self._changed()

    async def wait_idle(self):
        """Return when no run is present."""
        while any(session.runs for session in self.sessions.values()):
            self._idle = trio.Event()
            await self._idle.wait()

    def stop_all(self):
        """Stop each run."""
        for session in self.sessions.values():
            self.stop(session, list(session.runs))

    def state(self):
        """Return the `RunnerState`."""
        target = self.target
        now = self._clock()
        accepting = (
            self.is_adopted
            and not self.leaving
            and not target.leaving
            and not self._health.is_ejected(now)
        )
        free = self._table.room - self._table.queued
        if self._health.is_probing(now):
            busy = self._table.active or self._table.queue
            free = Resources() if busy else self._probe_needs
        return RunnerState(
            target.incarnation_id,
            target.service,
            target.labels,
            accepting,
            self._table.capacity,
            free,
        )

    # Admission.

    def _refusal(self, run):
        if self.leaving or self.target is None or self.target.leaving:
            return ResultCode.AGENT_LEAVING
        now = self._clock()
        if not self.is_adopted or self._health.is_ejected(now):
            return ResultCode.TARGET_UNREACHABLE
        if self._health.is_probing(now) and (self._table.active or self._table.queue):
            return ResultCode.NO_FREE_SLOT
        if not run.needs.fits(self._table.capacity):
            return ResultCode.NEVER_RUNNABLE
        waiting = self._table.queued.cpu_millis + run.needs.cpu_millis
        limit = self.cfg.max_queued_share * self._table.capacity.cpu_millis
        if not run.needs.fits(self._table.room) and waiting > limit:
            return ResultCode.NO_FREE_SLOT
        return None

    def _admit(self):
        while self.is_adopted:
            run = self._table.admit_next()
            if run is None:
                return
            self._probe_needs = run.needs
            self._commands.send_nowait(partial(self._start_run, run))
            self._wake_poll.set()

    def _refuse(self, run, code, detail=""):
        self.runs_refused += 1
        run.session.end(run.run_id, code, RunState.NOT_RUN, 0.0, detail)

    def _refuse_queue(self, code):
        for run in list(self._table.queue):
            self._table.withdraw(run)
            self._refuse(run, code)

    # Calls to the target.

    async def _serve_lane(self):
        channel = fence = None
        async for command in self._next_command:
            if not self.is_adopted:
                continue
            if fence != (self.target.incarnation_id, self._fence):
                if channel is not None:
                    await channel.aclose()
                channel = self.driver.open_channel(self.target, self._fence)
                fence = (self.target.incarnation_id, self._fence)
            await command(channel)
            self._changed()

    async def _start_run(self, run, channel):
        if self._table.active.get(run.key) is not run:
            return
        if run.stop_reason is not None:
            self._end(run, run.stop_reason, RunState.NOT_RUN)
            return
        run.started_at = self._clock()
        self.runs_started += 1
        try:
            answer = await channel.start(run.task, run.number, run.spec)
        except TargetUnreached as exc:
            self._start_failed(run, str(exc))
        except TargetSilent as exc:
            log.warning(
                "start unanswered task=%s run=%d: %s", run.task, run.number, exc
            )
            if self._is_active(run):
                self._health.failed(run.job_id, self._clock())
                self._send_stop(run, ResultCode.OUTCOME_UNKNOWN)
        except TargetReplaced:
            self._lose_target("another incarnation answered")
        else:
            self._last_renewal = max(self._last_renewal, run.started_at)
            if self._is_active(run):
                self._start_answered(run, answer)

    def _start_answered(self, run, answer):
        if answer is StartAnswer.STARTED:
            run.phase = RunPhase.RUNNING
            run.percent_at = self._clock()
            if run.stop_reason is not None:
                self._send_stop(run, run.stop_reason)
            return
        log.info("start refused task=%s run=%d: %s", run.task, run.number, answer.value)
        if answer is StartAnswer.STALE_RUN and run.number < 4096:
            self._table.renumber(run)
            self._commands.send_nowait(partial(self._start_run, run))
            return
        if answer is StartAnswer.UNHEALTHY:
            self._health.failed(run.job_id, self._clock())
        self._end(run, _REFUSAL_CODES[answer], RunState.NOT_RUN, answer.value)

    def _start_failed(self, run, detail):
        if self._is_active(run):
            self._health.failed(run.job_id, self._clock())
            self._end(run, ResultCode.TARGET_UNREACHABLE, RunState.NOT_RUN, detail)

    def _stop(self, run, reason):
        if run.stop_reason is not None:
            return
        if run.phase is RunPhase.QUEUED:
            self._table.withdraw(run)
            self._refuse(run, reason)
            self._changed()
        elif run.phase is RunPhase.RUNNING:
            self._send_stop(run, reason)
        else:
            # Its start is on the way; the lane stops it after the answer.
            run.stop_reason = reason

    def _send_stop(self, run, reason):
        run.stop_reason = run.stop_reason or reason
        run.phase = RunPhase.STOPPING
        self._commands.send_nowait(partial(self._stop_run, run))

    async def _stop_run(self, run, channel):
        if not self._is_active(run):
            return
        try:
            await channel.stop(run.task, run.number)
        except TargetSilent as exc:
            log.warning("stop unanswered task=%s run=%d: %s", run.task, run.number, exc)
            await trio.sleep(SUPERVISE_EVERY_S)
            self._commands.send_nowait(partial(self._stop_run, run))
        except TargetReplaced:
            self._lose_target("another incarnation answered")
        else:
            run.stop_answered = True
            self._wake_poll.set()

    def _is_active(self, run):
        return self._table.active.get(run.key) is run

    # Supervision of the target.

    async def _poll_target(self):
        channel = fence = None
        while True:
            if not self.is_adopted or not (
                self._table.active or self._has_untaken_ends
            ):
                self._wake_poll = trio.Event()
                await self._wake_poll.wait()
                continue
            if fence != (self.target.incarnation_id, self._fence):
                if channel is not None:
                    await channel.aclose()
                channel = self.driver.open_channel(self.target, self._fence)
                fence = (self.target.incarnation_id, self._fence)
            await self._poll_once(channel)

    async def _poll_once(self, channel):
        issued = self._clock()
        expected = [
            run
            for run in self._table.active.values()
            if run.phase is RunPhase.RUNNING or run.stop_answered
        ]
        wait_s = self.cfg.poll_wait if self._table.active else 0.0
        fence = self._fence
        try:
            state = await channel.poll(wait_s, self._acknowledged)
        except TargetReplaced:
            self._lose_target("another incarnation answered")
        except TargetSilent as exc:
            log.warning(
                "poll unanswered silence=%.2f: %s", issued - self._last_renewal, exc
            )
            silence = self._clock() - self._last_renewal
            if silence > self.cfg.lease.target_silence_s:
                self._lose_target("silent")
            else:
                await trio.sleep(SUPERVISE_EVERY_S)
        else:
            if fence == self._fence and self.is_adopted:
                self._last_renewal = max(self._last_renewal, issued)
                self._take_state(state, expected)

    def _take_state(self, state, expected):
        self._has_untaken_ends = bool(state.ended)
        for ended in state.ended:
            if ended.number > self._acknowledged:
                self._acknowledged = ended.number
                self._take_end(ended)
        present = {(item.task, item.run): item for item in state.running}
        for run in expected:
            if run.key not in present and self._is_active(run):
                self._vanished(run)
        now = self._clock()
        for key, item in present.items():
            run = self._table.active.get(key)
            if run is not None and item.percent != run.percent:
                run.percent, run.percent_at = item.percent, now
        self._admit()
        self._changed()

    def _take_end(self, ended):
        run = self._table.active.get((ended.task, ended.run))
        if run is None:
            return
        if ended.kind is EndKind.DONE:
            self._health.succeeded()
        elif ended.kind is EndKind.FAILED:
            self._health.failed(run.job_id, self._clock())
        code = _END_CODES[ended.kind]
        if ended.kind is EndKind.STOPPED and run.stop_reason is not None:
            code = run.stop_reason
        self._end(run, code, RunState.RAN, ended.kind.value)

    def _vanished(self, run):
        if run.stop_reason is None:
            log.warning("run vanished task=%s run=%d", run.task, run.number)
            self._end(run, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, "vanished")
        else:
            # The stop was answered and nothing is there: the start never arrived.
            self._end(run, run.stop_reason, RunState.NOT_RUN, "stopped before start")

    def _end(self, run, code, run_state, detail=""):
        self._table.release(run)
        run_time_s = self._clock() - run.started_at if run.started_at else 0.0
        run.session.end(run.run_id, code, run_state, run_time_s, detail)
        self.metrics.run_ended(code, run_time_s)
        self._changed()

    def _lose_target(self, reason):
        """End all runs: the target works on none of them any more."""
        if self.is_adopted:
            log.warning(
                "target lost reason=%r runs=%d", reason, len(self._table.active)
            )
        self.is_adopted = False
        for run in list(self._table.active.values()):
            self._end(run, ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, reason)
        self._refuse_queue(ResultCode.TARGET_UNREACHABLE)
        self._has_untaken_ends = False
        self._changed()

    # Taking over a target.

    async def _adopt_targets(self):
        while True:
            await self._wake_adopt.wait()
            self._wake_adopt = trio.Event()
            while self.target is not None and not self.is_adopted:
                target = self.target
                # The target's own clock orders the fences of successive agents,
                # whatever the time of day does.
                self._fence = max(self._fence + 1, target.clock_ms)
                async with contextlib.aclosing(
                    self.driver.open_channel(target, self._fence)
                ) as channel:
                    if await self._clear_target(channel):
                        self._adopt(target)
                        break
                await trio.sleep(self.cfg.adopt_retry)

    async def _clear_target(self, channel):
        """Stop what earlier agents left; return whether nothing runs any more."""
        try:
            while True:
                state = await channel.poll(0.0, self._acknowledged, renew=False)
                numbers = [ended.number for ended in state.ended]
                self._acknowledged = max([self._acknowledged, *numbers])
                if not state.running and not state.ended:
                    return True
                for item in state.running:
                    await channel.stop(item.task, item.run)
                await trio.sleep(SUPERVISE_EVERY_S)
        except TargetSilent as exc:
            log.warning("target not adopted: %s", exc)
        except TargetReplaced:
            log.info("target not adopted: another incarnation answered")
        return False

    def _adopt(self, target):
        if self.target is None or target.replaces(self.target):
            return
        if self.target.incarnation_id != target.incarnation_id:
            return
        log.info("target adopted id=%s fence=%d", target.incarnation_id, self._fence)
        self._table.capacity = self.target.capacity
        self._last_renewal = self._clock()
        self.is_adopted = True
        for session in self.sessions.values():
            if session.conn is not None:
                session.report(self.state(), complete=True)
        self._changed()

    # Leases of entries, and reports.

    async def _supervise(self):
        accepting = None
        while True:
            await trio.sleep(SUPERVISE_EVERY_S)
            now = self._clock()
            for session in list(self.sessions.values()):
                self._check_session(session, now)
            if self.target is not None and self.state().accepting != accepting:
                accepting = not accepting
                self._changed()

    def _check_session(self, session, now):
        if session.conn is not None:
            heard = now - (trio.current_time() - session.conn.last_heard)
            session.last_heard = max(session.last_heard, heard)
        silence = now - session.last_heard
        if session.runs and silence > self.cfg.lease.entry_lease:
            self._abandon(session, "entry silent")
        is_gone = session.conn is None and silence > self.cfg.end_retention
        if is_gone and not session.runs:
            del self.sessions[session.entry_id]

    def _abandon(self, session, reason):
        wanted = [run for run in session.runs.values() if run.stop_reason is None]
        if wanted:
            log.warning(
                "runs stopped entry=%s reason=%r runs=%d",
                session.entry_id,
                reason,
                len(wanted),
            )
        for run in wanted:
            self._stop(run, ResultCode.CANCELLED)

    def _changed(self):
        self._wake_report.set()
        if not any(session.runs for session in self.sessions.values()):
            self._idle.set()

    async def _report_changes(self):
        """Report ends at once, and free capacity after a pause that gathers."""
        told = None
        due = trio.current_time()
        while True:
            await self._wake_report.wait()
            self._wake_report = trio.Event()
            if self.target is None:
                continue
            state = self.state()
            is_due = state != told and trio.current_time() >= due
            for session in self.sessions.values():
                if session.conn is not None and (session.has_news or is_due):
                    session.report(state)
            if is_due:
                told, due = state, trio.current_time() + self.cfg.report_pause
            elif state != told:
                with trio.move_on_at(due):
                    await self._wake_report.wait()
                self._wake_report.set()
