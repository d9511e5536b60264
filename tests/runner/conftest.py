"""Fake target, fake entry connection and fixtures for the tests of the runner."""

import contextlib
from dataclasses import replace
from functools import partial

import pytest
import trio

from hornbeamshore.runner.daemon import shutdown_settings
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.runner.target import (
    ActiveRun,
    EndedRun,
    RunOutcome,
    StartResult,
    TargetChannel,
    TargetDriver,
    TargetFenced,
    TargetGone,
    TargetIncarnation,
    TargetReplaced,
    TargetRestarted,
    TargetState,
    TargetUnresponsive,
)
from hornbeamshore.serving.shutdown import Shutdown
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    AgentReport,
    Resources,
    RunOrder,
    RunTasks,
)
from tests.clocks import SuspendableClock

TARGET = TargetIncarnation(
    incarnation_id="t-1",
    started_ms=1000,
    sequence=1,
    service="order-desk",
    labels=("a", "r1-1"),
    capacity=Resources(8000, 1024, 0),
    leaving=False,
    clock_ms=500,
)
TASK_CPU_MILLIS = 3000


class FakeTarget(TargetDriver):
    """Target whose runs end on request of the test, or when their lease expires.

    Attributes
    ----------
    running_runs : dict
        Start times of the current runs, by task and run number.
    starts_to_leave_unanswered : int
        Number of starts that are not answered, and are executed only when
        `execute_unanswered_starts` is called.
    is_silent : bool
        Whether no call is answered or executed.
    refusals : int or float
        Number of calls whose connections are refused from now on.
    polls : int
        Number of polls that were executed.
    start_delay_s : float
        Time until a start is executed.
    stalled_tasks : set of str
        Tasks that make no progress.
    drops_poll_answers : bool
        Whether polls are executed but not answered.
    started_ms : int
        Unix time of the start of the incarnation; 0 if answers to polls do not say it.
    restarted_at : float
        Trio time at which the clock of the incarnation started.
    followed_identity : tuple or None
        Identity of the incarnation in whose clock leases are expressed.
    """

    def __init__(self):
        self.incarnation_id = TARGET.incarnation_id
        self.started_ms = 0
        self.restarted_at = 0.0
        self.followed_identity = None
        self.running_runs = {}
        self.refused_runs = set()
        self.ends = []
        self.started = []
        self.unanswered_starts = []
        self.fencing_token = 0
        self.lease_end = 0.0
        self.starts_to_leave_unanswered = 0
        self.start_answer = None
        self.is_silent = False
        self.refusals = 0
        self.drops_poll_answers = False
        self.stalled_tasks = set()
        self.polls = 0
        self.start_delay_s = 0.0
        self._changed = trio.Event()

    def follow_clock(self, incarnation, clock_ms):
        self.followed_identity = incarnation.identity

    @property
    def clock_ms(self):
        return TARGET.clock_ms + (trio.current_time() - self.restarted_at) * 1000

    @property
    def earliest_clock_ms(self):
        return self.clock_ms

    def open_channel(self, incarnation, fencing_token):
        return FakeChannel(self, incarnation, fencing_token)

    def restart(self, started_ms):
        """Start again under the same id, knowing nothing of the time before."""
        self.running_runs.clear()
        self.refused_runs.clear()
        self.ends.clear()
        self.fencing_token = 0
        self.started_ms = started_ms
        self.restarted_at = trio.current_time()

    def start(self, task, run, fencing_token):
        if fencing_token < self.fencing_token:
            return StartResult.FENCED
        if any(task == known and run <= number for known, number in self.refused_runs):
            return StartResult.STALE_RUN
        self.running_runs[task, run] = trio.current_time()
        self.started.append((task, run))
        return StartResult.STARTED

    def percent(self, key):
        """Return the percentage done of a run, which takes 10 s unless it stalls."""
        if key[0] in self.stalled_tasks:
            return 3
        return int((trio.current_time() - self.running_runs[key]) * 10)

    def end_run(self, task, kind=RunOutcome.DONE):
        """End the current run of a task."""
        key = next(key for key in self.running_runs if key[0] == task)
        del self.running_runs[key]
        self.refused_runs.add(key)
        self.ends.append(EndedRun(len(self.ends) + 1, *key, kind))
        self._changed.set()
        self._changed = trio.Event()

    def crash(self):
        """Lose all runs, close open connections and refuse new ones."""
        self.running_runs.clear()
        self.refusals = float("inf")
        self._changed.set()
        self._changed = trio.Event()

    def execute_unanswered_starts(self):
        """Execute the starts that were left unanswered; return their answers."""
        unanswered_starts, self.unanswered_starts = self.unanswered_starts, []
        return [self.start(*args) for args in unanswered_starts]

    async def wait_changed(self, wait_s):
        with trio.move_on_after(wait_s):
            await self._changed.wait()

    def take_lease(self, expiry_ms):
        """Extend the lease to a reading of the clock, or to 1 s from now if earlier."""
        granted_s = (expiry_ms - self.clock_ms) / 1000
        lease_end = trio.current_time() + min(granted_s, 1.0)
        self.lease_end = max(self.lease_end, lease_end)

    def expire_lease(self):
        if trio.current_time() > self.lease_end:
            for task, _run in list(self.running_runs):
                self.end_run(task, RunOutcome.EXPIRED)


class FakeChannel(TargetChannel):
    def __init__(self, target, incarnation, fencing_token):
        self._target = target
        self._incarnation_id = incarnation.incarnation_id
        self._started_ms = incarnation.started_ms
        self._fencing_token = fencing_token

    async def _begin_call(self):
        await trio.sleep(0.001)
        if self._target.refusals:
            self._target.refusals -= 1
            raise TargetGone("connection refused")
        if self._target.is_silent:
            await trio.sleep(0.15)
            raise TargetUnresponsive("no answer")
        if self._target.incarnation_id != self._incarnation_id:
            raise TargetReplaced("status 421")
        self._target.expire_lease()

    async def start(self, task, run, spec, grant):
        await self._begin_call()
        target = self._target
        expiry_ms = grant()
        await trio.sleep(target.start_delay_s)
        if target.starts_to_leave_unanswered:
            target.starts_to_leave_unanswered -= 1
            target.unanswered_starts.append((task, run, self._fencing_token))
            raise TargetUnresponsive("answer lost")
        if expiry_ms <= target.clock_ms:
            return StartResult.EXPIRED
        target.take_lease(expiry_ms)
        return target.start_answer or target.start(task, run, self._fencing_token)

    async def stop(self, task, run):
        await self._begin_call()
        self._target.refused_runs.add((task, run))
        if (task, run) in self._target.running_runs:
            self._target.end_run(task, RunOutcome.STOPPED)

    async def poll(self, wait_s, acknowledged, grant=None):
        await self._begin_call()
        target = self._target
        if self._fencing_token < target.fencing_token:
            raise TargetFenced("token is too low", target.clock_ms)
        target.fencing_token = max(target.fencing_token, self._fencing_token)
        target.polls += 1
        expiry_ms = grant() if grant is not None else None
        if expiry_ms is not None:
            target.take_lease(expiry_ms)
        if target.drops_poll_answers:
            await trio.sleep(0.15)
            raise TargetUnresponsive("answer lost")
        if wait_s and not any(end.number > acknowledged for end in target.ends):
            await target.wait_changed(wait_s)
        if target.refusals == float("inf"):
            raise TargetUnresponsive("connection closed")
        if target.started_ms not in (0, self._started_ms):
            raise TargetRestarted("the target has started again")
        return TargetState(
            tuple(ActiveRun(*key, target.percent(key)) for key in target.running_runs),
            tuple(end for end in target.ends if end.number > acknowledged),
            target.clock_ms,
        )

    async def aclose(self):
        pass


class FakeConnection:
    """Connection to an entry that records the reports sent to it.

    Attributes
    ----------
    sent_at : float
        Time at which the handshake began.
    is_receiving : bool
        Whether heartbeats of the entry arrive.
    on_write : callable or None
        Called for a requested write, in place of `MessageHandler.before_write`.
    """

    def __init__(self, entry_id="entry-1", incarnation=1):
        self.peer = Identity("test", "entry", entry_id, incarnation, "glasgow")
        self.sent_at = trio.current_time()
        self.reports = []
        self.closed_by_peer = False
        self.is_receiving = self.is_active = True
        self.on_write = None

    def set_active(self, is_active):
        self.is_active = is_active

    def request_write(self):
        if self.on_write is not None:
            self.on_write()

    def try_send(self, body):
        assert isinstance(body, AgentReport)
        self.reports.append(body)
        return True

    @property
    def ends(self):
        return {end.run_id: end for report in self.reports for end in report.ends}


def order_tasks(
    *run_ids, job_id="j1", index=None, cpu_millis=TASK_CPU_MILLIS, attempt=1
):
    """Return an order of runs, whose task index is their run id if none is given."""
    needs = Resources(cpu_millis, 64, 0)
    orders = [
        RunOrder(run_id, 0, run_id if index is None else index, attempt, needs)
        for run_id in run_ids
    ]
    return RunTasks(job_id, "content", tuple(orders))


@pytest.fixture
def target():
    return FakeTarget()


async def receive_heartbeats(runner):
    """Renew the leases of the connected entries as their heartbeats do."""
    while True:
        await trio.sleep(0.1)
        for session in runner.sessions.values():
            if session.conn is not None and session.conn.is_receiving:
                runner.renew_lease(session, runner.clock())


@pytest.fixture
async def clock(autojump_clock):
    return SuspendableClock()


@pytest.fixture
async def shutdown(clock):
    return Shutdown(shutdown_settings(RunnerSettings()), clock)


@pytest.fixture
async def runner(autojump_clock, nursery, target, clock, shutdown):
    runner = Runner(RunnerSettings(), target, RunnerMetrics(), clock, shutdown)
    nursery.start_soon(runner.run)
    nursery.start_soon(receive_heartbeats, runner)
    runner.supervisor.handle_announcement(TARGET)
    await trio.sleep(0.2)
    assert runner.supervisor.takeover is not None
    return runner


@contextlib.contextmanager
def attached(runner, conn):
    session = runner.attach(conn)
    conn.on_write = partial(runner.send_pending_report, session)
    yield session
    session.detach(conn)


def announcement(**changes):
    return replace(TARGET, **changes)
