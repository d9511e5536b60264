"""Tests of the planned stop of an agent."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.runner.daemon import finish_runs
from hornbeamshore.runner.settings import RunnerSettings

from .conftest import FakeConnection, attached, order_tasks

CFG = RunnerSettings()
STOP_AT_S = CFG.leave_timeout


class Stop:
    """Planned stop of an agent.

    Attributes
    ----------
    ended : trio.Event
        Set when the process would end.
    """

    def __init__(self, runner, shutdown):
        self.ended = trio.Event()
        self._runner, self._shutdown = runner, shutdown

    def begin(self):
        self._shutdown.begin()

    async def run(self):
        await finish_runs(self._runner, self._shutdown)
        self.ended.set()


@pytest.fixture
async def stop(runner, shutdown, nursery):
    stop = Stop(runner, shutdown)
    nursery.start_soon(stop.run)
    return stop


async def acknowledge_results(runner, session, conn):
    """Acknowledge results as an entry does."""
    while True:
        await trio.sleep(0.01)
        runner.acknowledge_ends(session, list(conn.ends))


@pytest.mark.parametrize("suspensions_s", [(), (0.6,), (0.6, 0.7, 0.8)])
async def test_suspensions_do_not_delay_the_stop_of_runs(
    autojump_clock, nursery, runner, target, stop, clock, suspensions_s
):
    """Guards against an agent that is killed with runs that nobody has stopped."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        nursery.start_soon(acknowledge_results, runner, session, conn)
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        stop.begin()
        for suspended_s in suspensions_s:
            await trio.sleep(0.4)
            clock.suspended_s += suspended_s
        stops_after_s = STOP_AT_S - 0.4 * len(suspensions_s) - sum(suspensions_s)
        await trio.sleep(stops_after_s - 0.05)
        assert target.running_runs
        await trio.sleep(0.25)
        assert stop.ended.is_set()
        assert not target.running_runs
        assert conn.ends[1].code == ResultCode.CANCELLED


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1])
async def test_an_order_that_crosses_the_notice_of_an_idle_agent_is_refused(
    autojump_clock, nursery, runner, target, stop, delay_s
):
    """Guards against orders whose outcome is unknown because their agent has ended."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        nursery.start_soon(acknowledge_results, runner, session, conn)
        stop.begin()
        await trio.sleep(delay_s)
        assert not stop.ended.is_set()
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        assert conn.ends[1].code == ResultCode.AGENT_LEAVING
        assert conn.ends[1].run_state == RunState.NOT_RUN
        await trio.sleep(1.0)
        assert stop.ended.is_set()
        assert target.started == []


@pytest.mark.parametrize(
    ("away_s", "is_told"),
    [(0.3, True), (0.8, True), (1.2, False)],
    ids=["briefly", "almost for its lease", "beyond its lease"],
)
async def test_an_agent_waits_for_entries_that_may_reconnect_for_their_results(
    autojump_clock, nursery, runner, target, stop, away_s, is_told
):
    """Guards against results that are lost because a stop met a lost connection."""
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        stop.begin()
        await trio.sleep(1.0)
    target.end_run("j1.0.0.1")
    await trio.sleep(away_s)
    assert stop.ended.is_set() != is_told
    if is_told:
        conn = FakeConnection()
        with attached(runner, conn) as session:
            nursery.start_soon(acknowledge_results, runner, session, conn)
            await trio.sleep(0.1)
            assert conn.ends[1].code == ResultCode.OK
            assert stop.ended.is_set()


def order_beyond_the_calls(runner, target, session):
    """Order more runs than the workers can start at once."""
    target.start_delay_s = 0.05
    orders = order_tasks(*range(1, 9), cpu_millis=1000)
    runner.order_runs(session, 1, orders, runner.clock())


def order_stale_number(runner, target, session):
    """Order a run whose number the target refuses once."""
    target.refused_runs.add(("j1.0.0.1", 1))
    runner.order_runs(session, 1, order_tasks(1), runner.clock())


def lose_start_answer(runner, target, session):
    """Order a run whose start is executed late."""
    target.starts_to_leave_unanswered = 1
    runner.order_runs(session, 1, order_tasks(1), runner.clock())


@pytest.mark.parametrize("before_s", [0.0, 0.001, 0.01, 0.06])
@pytest.mark.parametrize(
    "order", [order_beyond_the_calls, order_stale_number, lose_start_answer]
)
async def test_nothing_runs_after_the_stop_of_an_agent(
    autojump_clock, nursery, runner, target, stop, order, before_s
):
    """Guards against a start that is sent after all runs were stopped."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        nursery.start_soon(acknowledge_results, runner, session, conn)
        order(runner, target, session)
        await trio.sleep(before_s)
        runner.stop_all_runs()
        stop.begin()
        await trio.sleep(1.0)
        target.execute_unanswered_starts()
        assert stop.ended.is_set()
        assert target.running_runs == {}
        assert runner.sessions["entry-1"].runs == {}


@pytest.mark.parametrize("silent_s", [0.1, 0.3, 0.6])
async def test_runs_of_a_target_that_is_slow_at_the_stop_are_stopped(
    autojump_clock, nursery, runner, target, stop, silent_s
):
    """Guards against an agent that ends beside runs before it has to."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        nursery.start_soon(acknowledge_results, runner, session, conn)
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        stop.begin()
        await trio.sleep(STOP_AT_S - 0.05)
        target.is_silent = True
        await trio.sleep(silent_s)
        target.is_silent = False
        await stop.ended.wait()
        assert not target.running_runs
        assert conn.ends[1].code == ResultCode.CANCELLED


async def test_a_stop_does_not_wait_for_an_entry_that_has_been_away(
    autojump_clock, runner, target, stop
):
    """Guards against an idle agent that ends late for want of a lease check."""
    with attached(runner, FakeConnection()) as session:
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        target.end_run("j1.0.0.1")
        await trio.sleep(1.0)
    stop.begin()
    await trio.sleep(CFG.lease.entry_lease + 0.2)
    assert stop.ended.is_set()
