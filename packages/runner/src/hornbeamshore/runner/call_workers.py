"""Workers that start and stop runs over one connection each."""

from functools import partial

import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.channels import TARGET_RETRY_PAUSE_S, ChannelCache
from hornbeamshore.runner.runs import MAX_REMEMBERED_TASKS, RunPhase
from hornbeamshore.runner.target import (
    StartResult,
    StartWithheld,
    TargetReplaced,
    TargetUnreachable,
    TargetUnresponsive,
)

_REFUSAL_CODES = {
    StartResult.NO_CAPACITY: ResultCode.NO_FREE_SLOT,
    StartResult.STALE_RUN: ResultCode.DUPLICATE_START,
    StartResult.EXPIRED: ResultCode.START_EXPIRED,
    StartResult.FENCED: ResultCode.STALE_EPOCH,
    StartResult.UNHEALTHY: ResultCode.TARGET_UNREACHABLE,
    StartResult.MALFORMED: ResultCode.MALFORMED_REQUEST,
}

log = PartLogger("agent")


class CallWorkers:
    """Queue of start and stop calls to the target, and the workers that send them.

    Parameters
    ----------
    runner : Runner
        Owner of the runs.
    driver : TargetDriver
        Opens channels to the target.
    supervisor : Supervisor
        Provides the current takeover of the target.

    Attributes
    ----------
    starts_sent, starts_withheld : int
        Number of start calls that were sent, and of those that were not sent because
        the run had been stopped or its permission had ended.
    """

    def __init__(self, runner, driver, supervisor):
        self.starts_sent = self.starts_withheld = 0
        self._runner = runner
        self._driver = driver
        self._supervisor = supervisor
        self._call_sender, self._call_receiver = trio.open_memory_channel(float("inf"))

    async def run(self, count):
        """Run `count` workers until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._send_calls)

    def enqueue_start(self, run):
        """Queue the start of a run that was admitted."""
        self._call_sender.send_nowait((self._send_start, run))

    def enqueue_stop(self, run, reason):
        """Queue the stop of a run whose start was answered or timed out."""
        run.stop_reason = run.stop_reason or reason
        run.phase = RunPhase.STOPPING
        self._call_sender.send_nowait((self._send_stop, run))

    async def _send_calls(self):
        channels = ChannelCache(self._driver)
        async for call, run in self._call_receiver:
            takeover = self._supervisor.takeover
            if takeover is not None and self._runner.is_active(run):
                await call(run, await channels.open(takeover), takeover)

    async def _send_start(self, run, channel, takeover):
        grant = partial(self._grant_start, run, takeover)
        try:
            self._check_permission(run, takeover)
            answer = await channel.start(run.task, run.number, run.spec, grant)
        except StartWithheld as exc:
            self._end_withheld(run, exc)
        except TargetReplaced as exc:
            self._supervisor.handle_replacement(takeover, exc)
        except TargetUnreachable as exc:
            if self._runner.is_active(run):
                self._runner.record_target_failure(run)
                code = ResultCode.TARGET_UNREACHABLE
                self._runner.end_run(run, code, RunState.NOT_RUN, str(exc))
        except TargetUnresponsive as exc:
            self._supervisor.record_renewal()
            if self._runner.is_active(run):
                log.warning(
                    "start unanswered task=%s run=%d: %s", run.task, run.number, exc
                )
                self._runner.record_target_failure(run)
                self.enqueue_stop(run, ResultCode.OUTCOME_UNKNOWN)
        else:
            self._supervisor.record_renewal()
            self._supervisor.record_answer()
            # A poll may report the end of a run before its start is answered.
            if self._runner.is_active(run):
                self._handle_start_answer(run, answer)

    def _grant_start(self, run, takeover):
        """Return the lease expiry for a start that is about to be sent.

        The entry may have given the run up since it was admitted, while the agent was
        suspended. So the permission is checked last, after the expiry was computed: if
        the agent is suspended after the check, the target refuses the start.

        Raises
        ------
        StartWithheld
            If the run must not be started any more.
        """
        expiry_ms = self._supervisor.lease_expiry_ms()
        self._check_permission(run, takeover)
        run.started_at = self._runner.clock()
        self.starts_sent += 1
        return expiry_ms

    def _check_permission(self, run, takeover):
        if takeover != self._supervisor.takeover:
            raise StartWithheld("target lost")
        reason = self._runner.stop_reason(run)
        if reason is not None:
            raise StartWithheld(reason.name)

    def _end_withheld(self, run, exc):
        """End a run whose start was not sent, unless the loss of the target did."""
        self.starts_withheld += 1
        self._log_unstarted("withheld", run, exc)
        if self._runner.is_active(run):
            code = run.stop_reason or ResultCode.TARGET_UNREACHABLE
            self._runner.end_run(run, code, RunState.NOT_RUN, "start not sent")

    def _log_unstarted(self, event, run, reason):
        now = self._runner.clock()
        log.info(
            "start %s task=%s run=%d entry=%s order_age_ms=%.0f lease_age_ms=%.0f: %s",
            event,
            run.task,
            run.number,
            run.session.entry_id,
            (now - run.ordered_at) * 1000,
            (now - run.session.last_heard) * 1000,
            reason,
        )

    def _handle_start_answer(self, run, answer):
        if answer is StartResult.STARTED:
            run.phase = RunPhase.RUNNING
            run.is_confirmed = True
            if run.stop_reason is not None:
                self.enqueue_stop(run, run.stop_reason)
            return
        self._log_unstarted("refused", run, answer.value)
        if answer is StartResult.STALE_RUN and run.number < MAX_REMEMBERED_TASKS:
            self._runner.renumber(run)
            self.enqueue_start(run)
            return
        if answer is StartResult.EXPIRED and not run.was_late:
            # The clock of the target was underestimated; its answer has corrected that.
            run.was_late = True
            run.started_at = 0.0
            self.enqueue_start(run)
            return
        if answer is StartResult.UNHEALTHY:
            self._runner.record_target_failure(run)
        code = _REFUSAL_CODES[answer]
        self._runner.end_run(run, code, RunState.NOT_RUN, answer.value)

    async def _send_stop(self, run, channel, takeover):
        try:
            await channel.stop(run.task, run.number)
        except TargetReplaced as exc:
            self._supervisor.handle_replacement(takeover, exc)
        except TargetUnresponsive as exc:
            log.warning("stop unanswered task=%s run=%d: %s", run.task, run.number, exc)
            await trio.sleep(TARGET_RETRY_PAUSE_S)
            self._call_sender.send_nowait((self._send_stop, run))
        else:
            run.stop_answered = True
            self._supervisor.request_poll()
