"""Tests of the planned stop of an agent."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.runner.daemon import finish_runs, shutdown_settings
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.serving.shutdown import Shutdown

from .conftest import FakeConnection, attached, order_tasks

CFG = RunnerSettings()
STOP_AT_S = CFG.leave_timeout


class SuspendableClock:
    """Clock that includes suspensions, during which the timers of trio stand still."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return trio.current_time() + self.suspended_s


class Stop:
    """Planned stop of an agent, with the time at which its process would end."""

    def __init__(self, runner, clock):
        self.runner = runner
        self.shutdown = Shutdown(shutdown_settings(runner.cfg), clock)
        self.ended = trio.Event()

    async def run(self):
        await finish_runs(self.runner, self.shutdown)
        self.ended.set()


@pytest.fixture
async def clock(autojump_clock):
    return SuspendableClock()


@pytest.fixture
async def stop(runner, clock, nursery):
    stop = Stop(runner, clock)
    nursery.start_soon(stop.run)
    return stop


async def acknowledge_results(runner, session, conn):
    """Acknowledge results as an entry does."""
    while True:
        await trio.sleep(0.01)
        runner.acknowledge_ends(session, list(conn.ends))


@pytest.mark.parametrize("suspended_s", [0.0, 2.0, 3.4])
async def test_a_suspension_does_not_delay_the_stop_of_runs(
    autojump_clock, nursery, runner, target, stop, clock, suspended_s
):
    """Guards against an agent that is killed with runs that nobody has stopped."""
    conn = FakeConnection()
    with attached(runner, conn) as session:
        nursery.start_soon(acknowledge_results, runner, session, conn)
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        await trio.sleep(0.1)
        stop.shutdown.begin()
        await trio.sleep(1.0)
        clock.suspended_s = suspended_s
        await trio.sleep(STOP_AT_S - 1.0 - suspended_s - 0.05)
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
        stop.shutdown.begin()
        await trio.sleep(delay_s)
        assert not stop.ended.is_set()
        runner.order_runs(session, 1, order_tasks(1), runner.clock())
        assert conn.ends[1].code == ResultCode.AGENT_LEAVING
        assert conn.ends[1].run_state == RunState.NOT_RUN
        await trio.sleep(1.0)
        assert stop.ended.is_set()
        assert target.started == []
