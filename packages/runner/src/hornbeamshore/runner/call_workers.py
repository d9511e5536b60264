"""Workers that start and stop runs over one connection each."""

import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.channels import TARGET_RETRY_PAUSE_S, ChannelCache
from hornbeamshore.runner.runs import MAX_REMEMBERED_TASKS, RunPhase
from hornbeamshore.runner.target import (
    StartResult,
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
    starts_sent : int
        Number of start calls sent.
    """

    def __init__(self, runner, driver, supervisor):
        self.starts_sent = 0
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
        if run.stop_reason is not None:
            self._runner.end_run(run, run.stop_reason, RunState.NOT_RUN)
            return
        run.started_at = self._runner.clock()
        self.starts_sent += 1
        try:
            answer = await channel.start(run.task, run.number, run.spec)
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

    def _handle_start_answer(self, run, answer):
        if answer is StartResult.STARTED:
            run.phase = RunPhase.RUNNING
            run.is_confirmed = True
            if run.stop_reason is not None:
                self.enqueue_stop(run, run.stop_reason)
            return
        log.info("start refused task=%s run=%d: %s", run.task, run.number, answer.value)
        if answer is StartResult.STALE_RUN and run.number < MAX_REMEMBERED_TASKS:
            self._runner.renumber(run)
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
