"""Execution of tasks on the slots of a target.

Each slot is a Trio task with a connection of its own to the target.
"""

import trio

from hornbeamshore.agent.target import TargetError
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import TaskResult
from hornbeamshore.wire.messages import TaskRef

log = PartLogger("agent")

MAX_TIMEOUT_S = 60.0
# A target that does not respond to the close must not block its slot.
CLOSE_TIMEOUT_S = 1.0


class _Run:
    """Running task and the scope that cancels it."""

    __slots__ = ("start", "cancel_scope", "cancelled", "started_at")

    def __init__(self, start, cancel_scope):
        self.start = start
        self.cancel_scope = cancel_scope
        self.cancelled = False
        self.started_at = trio.current_time()


class Executor:
    """Runs tasks on the slots of a target.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent tasks.
    target : Target
        Back end that executes the tasks.
    on_done : callable
        Called with the `Start` and the `TaskResult` of each task that ends.
    """

    def __init__(self, slots, target, on_done):
        self._slots = slots
        self._target = target
        self._on_done = on_done
        self._runs = {}
        self._run_ended = trio.Event()
        self._run_sender, self._run_receiver = trio.open_memory_channel(slots)

    @property
    def in_use(self):
        """Number of slots that are running a task."""
        return len(self._runs)

    @property
    def has_free_slot(self):
        """Whether `submit` may be called."""
        return self.in_use < self._slots

    def submit(self, start):
        """Start a task on a free slot.

        Requires that `has_free_slot` is true. The time limit of the task is at most
        `MAX_TIMEOUT_S`.
        """
        timeout = min(start.timeout_ms / 1000, MAX_TIMEOUT_S)
        run = _Run(start, trio.CancelScope(deadline=trio.current_time() + timeout))
        self._runs[_task_ref(start)] = run
        self._run_sender.send_nowait(run)

    def cancel(self, ref):
        """Cancel a running task and close its connection to the target.

        A reference to a task that is not running is ignored.
        """
        run = self._runs.get(ref)
        if run is not None:
            run.cancelled = True
            run.cancel_scope.cancel()

    async def run(self):
        """Run the slots until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._slots):
                nursery.start_soon(self._run_slot)

    async def wait_until_idle(self):
        """Wait until no task is running."""
        while self._runs:
            self._run_ended = trio.Event()
            await self._run_ended.wait()

    def cancel_all(self):
        """Cancel all running tasks."""
        for ref in list(self._runs):
            self.cancel(ref)

    async def _run_slot(self):
        slot_conn = self._target.new_slot_connection()
        try:
            async for run in self._run_receiver:
                result = await self._execute(run, slot_conn)
                del self._runs[_task_ref(run.start)]
                self._run_ended.set()
                self._on_done(run.start, result)
        finally:
            await _close_connection(slot_conn)

    async def _execute(self, run, slot_conn):
        slot_conn.request_sent = False
        fields = None
        with run.cancel_scope:
            fields = await self._send_request(run.start, slot_conn)
        if fields is None:
            # The cancelled exchange has closed its connection, which tells the
            # target that the response is no longer needed.
            fields = _interrupted_fields(run, slot_conn)
        elapsed_us = round((trio.current_time() - run.started_at) * 1_000_000)
        return TaskResult(
            run.start.index, run.start.attempt, run_time_us=elapsed_us, **fields
        )

    async def _send_request(self, start, slot_conn):
        try:
            response = await slot_conn.exchange(start.spec, _task_headers(start))
        except TargetError as exc:
            return _result_fields(exc.code, exc.run_state, exc.status, detail=str(exc))
        except Exception as exc:
            # An unexpected error in one exchange must not terminate the agent, which
            # would lose all start records.
            log.error("Unexpected error in a request to the target: %r", exc)
            await _close_connection(slot_conn)
            state = RunState.UNKNOWN if slot_conn.request_sent else RunState.NOT_RUN
            return _result_fields(ResultCode.OUTCOME_UNKNOWN, state, detail=repr(exc))
        code = ResultCode.OK if response.status < 500 else ResultCode.TASK_FAILED
        return _result_fields(
            code,
            RunState.RAN,
            response.status,
            headers=response.headers,
            body=response.body,
        )


async def _close_connection(slot_conn):
    with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
        scope.shield = True
        await slot_conn.aclose()


def _task_ref(start):
    return TaskRef(start.key, start.index, start.attempt)


def _task_headers(start):
    return [
        (b"Hornbeamshore-Job", start.key.job_id.encode()),
        (b"Hornbeamshore-Task", b"%d" % start.index),
        (b"Hornbeamshore-Attempt", b"%d" % start.attempt),
    ]


def _result_fields(code, run_state, status=0, **fields):
    return {"code": int(code), "run_state": int(run_state), "status": status, **fields}


def _interrupted_fields(run, slot_conn):
    state = RunState.UNKNOWN if slot_conn.request_sent else RunState.NOT_RUN
    if run.cancelled:
        return _result_fields(
            ResultCode.CANCELLED, state, detail="cancelled by the owner"
        )
    return _result_fields(
        ResultCode.DEADLINE_EXCEEDED, state, detail="task deadline exceeded"
    )
