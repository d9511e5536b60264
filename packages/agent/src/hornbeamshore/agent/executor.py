"""Slots: one task for each, which runs what it is given on its own connection."""

import trio

from hornbeamshore.agent.target import TargetFailure
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import TaskResult
from hornbeamshore.wire.messages import TaskRef

log = PartLogger("agent")

MAX_TIMEOUT_S = 60.0
# A target that does not read its close must not hold a slot.
CLOSE_TIMEOUT_S = 1.0


class _Run:
    __slots__ = ("start", "scope", "cancelled", "began_at")

    def __init__(self, start, scope):
        self.start = start
        self.scope = scope
        self.cancelled = False
        self.began_at = trio.current_time()


class Executor:
    """Runs tasks on the slots of a target.

    Parameters
    ----------
    slots : int
        Tasks that run at a time.
    target : Target
        What they run on.
    on_done : callable
        Called with each `Start` and its `TaskResult`.
    """

    def __init__(self, slots, target, on_done):
        self._slots = slots
        self._target = target
        self._on_done = on_done
        self._runs = {}
        self._ended = trio.Event()
        self._queue_in, self._queue_out = trio.open_memory_channel(slots)

    @property
    def in_use(self):
        """Return the number of slots that run a task."""
        return len(self._runs)

    @property
    def has_free_slot(self):
        """Return whether `submit` may be called."""
        return self.in_use < self._slots

    def submit(self, start):
        """Give a task to a free slot."""
        timeout = min(start.timeout_ms / 1000, MAX_TIMEOUT_S)
        run = _Run(start, trio.CancelScope(deadline=trio.current_time() + timeout))
        self._runs[_ref(start)] = run
        self._queue_in.send_nowait(run)

    def cancel(self, ref):
        """End a running task by closing its connection; ignore any other."""
        run = self._runs.get(ref)
        if run is not None:
            run.cancelled = True
            run.scope.cancel()

    async def run(self):
        """Run the slots for good."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._slots):
                nursery.start_soon(self._run_slot)

    async def idle(self):
        """Return once no task runs."""
        while self._runs:
            self._ended = trio.Event()
            await self._ended.wait()

    def cancel_all(self):
        """End all running tasks."""
        for ref in list(self._runs):
            self.cancel(ref)

    async def _run_slot(self):
        slot = self._target.open_slot()
        try:
            async for run in self._queue_out:
                result = await self._execute(run, slot)
                del self._runs[_ref(run.start)]
                self._ended.set()
                self._on_done(run.start, result)
        finally:
            await _close(slot)

    async def _execute(self, run, slot):
        slot.request_sent = False
        outcome = None
        with run.scope:
            outcome = await self._exchange(run.start, slot)
        if outcome is None:
            # The interrupted exchange has closed its connection, so the target sees
            # that nobody waits for a response any longer.
            outcome = _interrupted(run, slot)
        elapsed_us = round((trio.current_time() - run.began_at) * 1_000_000)
        return TaskResult(
            run.start.index, run.start.attempt, run_time_us=elapsed_us, **outcome
        )

    async def _exchange(self, start, slot):
        try:
            response = await slot.exchange(start.spec, _task_headers(start))
        except TargetFailure as exc:
            return _outcome(exc.code, exc.run_state, exc.status, detail=str(exc))
        except Exception as exc:
            # A fault in one exchange must not end the agent with all its records.
            log.error("Request to the target failed: %r", exc)
            await _close(slot)
            state = RunState.UNKNOWN if slot.request_sent else RunState.NOT_RUN
            return _outcome(ResultCode.OUTCOME_UNKNOWN, state, detail=repr(exc))
        code = ResultCode.OK if response.status < 500 else ResultCode.TASK_FAILED
        return _outcome(
            code,
            RunState.RAN,
            response.status,
            headers=response.headers,
            body=response.body,
        )


async def _close(slot):
    with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
        scope.shield = True
        await slot.aclose()


def _ref(start):
    return TaskRef(start.key, start.index, start.attempt)


def _task_headers(start):
    return [
        (b"Hornbeamshore-Job", start.key.job_id.encode()),
        (b"Hornbeamshore-Task", b"%d" % start.index),
        (b"Hornbeamshore-Attempt", b"%d" % start.attempt),
    ]


def _outcome(code, run_state, status=0, **fields):
    return {"code": int(code), "run_state": int(run_state), "status": status, **fields}


def _interrupted(run, slot):
    state = RunState.UNKNOWN if slot.request_sent else RunState.NOT_RUN
    if run.cancelled:
        return _outcome(ResultCode.CANCELLED, state, detail="cancelled by the owner")
    return _outcome(ResultCode.DEADLINE_EXCEEDED, state, detail="deadline passed")
