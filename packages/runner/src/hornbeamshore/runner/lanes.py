"""Workers that start and stop runs over one connection each."""

import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.runner.runs import MAX_REMEMBERED_TASKS, RunPhase
from hornbeamshore.runner.supervisor import LOOK_AGAIN_S, ChannelKeeper
from hornbeamshore.runner.target import (
    StartAnswer,
    TargetReplaced,
    TargetSilent,
    TargetUnreached,
)

_REFUSAL_CODES = {
    StartAnswer.NO_ROOM: ResultCode.NO_FREE_SLOT,
    StartAnswer.STALE_RUN: ResultCode.DUPLICATE_START,
    StartAnswer.EXPIRED: ResultCode.START_EXPIRED,
    StartAnswer.FENCED: ResultCode.STALE_EPOCH,
    StartAnswer.UNHEALTHY: ResultCode.TARGET_UNREACHABLE,
    StartAnswer.MALFORMED: ResultCode.MALFORMED_REQUEST,
}

log = PartLogger("agent")


class CallLanes:
    """Queue of start and stop calls to the target, and the workers that send them.

    Parameters
    ----------
    runner : Runner
        Owner of the runs.
    driver : TargetDriver
        Opens channels to the target.
    supervisor : Supervisor
        Holds the takeover of the target.

    Attributes
    ----------
    starts : int
        Number of start calls sent.
    """

    def __init__(self, runner, driver, supervisor):
        self.starts = 0
        self._runner = runner
        self._driver = driver
        self._supervisor = supervisor
        self._calls, self._next_call = trio.open_memory_channel(float("inf"))

    async def run(self, count):
        """Run `count` workers until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self._serve_lane)

    def start(self, run):
        """Queue the start of a run that was admitted."""
        self._calls.send_nowait((self._start, run))

    def stop(self, run, reason):
        """Queue the stop of a run whose start was answered or timed out."""
        run.stop_reason = run.stop_reason or reason
        run.phase = RunPhase.STOPPING
        self._calls.send_nowait((self._stop, run))

    async def _serve_lane(self):
        channels = ChannelKeeper(self._driver, self._supervisor)
        async for call, run in self._next_call:
            takeover = self._supervisor.takeover
            if takeover is not None and self._runner.is_active(run):
                await call(run, await channels.open(takeover), takeover)

    async def _start(self, run, channel, takeover):
        if run.stop_reason is not None:
            self._runner.end(run, run.stop_reason, RunState.NOT_RUN)
            return
        run.started_at = self._runner.clock()
        self.starts += 1
        try:
            answer = await channel.start(run.task, run.number, run.spec)
        except TargetReplaced:
            self._supervisor.replaced(takeover)
        except TargetUnreached as exc:
            if self._runner.is_active(run):
                self._runner.target_failed(run)
                code = ResultCode.TARGET_UNREACHABLE
                self._runner.end(run, code, RunState.NOT_RUN, str(exc))
        except TargetSilent as exc:
            self._supervisor.renewed()
            if self._runner.is_active(run):
                log.warning(
                    "start unanswered task=%s run=%d: %s", run.task, run.number, exc
                )
                self._runner.target_failed(run)
                self.stop(run, ResultCode.OUTCOME_UNKNOWN)
        else:
            self._supervisor.renewed()
            # A poll may report the end of a run before its start is answered.
            if self._runner.is_active(run):
                self._start_answered(run, answer)

    def _start_answered(self, run, answer):
        if answer is StartAnswer.STARTED:
            run.phase = RunPhase.RUNNING
            if run.stop_reason is not None:
                self.stop(run, run.stop_reason)
            return
        log.info("start refused task=%s run=%d: %s", run.task, run.number, answer.value)
        if answer is StartAnswer.STALE_RUN and run.number < MAX_REMEMBERED_TASKS:
            self._runner.renumber(run)
            self.start(run)
            return
        if answer is StartAnswer.UNHEALTHY:
            self._runner.target_failed(run)
        code = _REFUSAL_CODES[answer]
        self._runner.end(run, code, RunState.NOT_RUN, answer.value)

    async def _stop(self, run, channel, takeover):
        try:
            await channel.stop(run.task, run.number)
        except TargetReplaced:
            self._supervisor.replaced(takeover)
        except TargetSilent as exc:
            log.warning("stop unanswered task=%s run=%d: %s", run.task, run.number, exc)
            await trio.sleep(LOOK_AGAIN_S)
            self._calls.send_nowait((self._stop, run))
        else:
            run.stop_answered = True
            self._supervisor.poll_soon()
