"""Tests of the phases of a planned stop and of the waits that it ends."""

import pytest
import trio

from hornbeamshore.base.settings import Duration
from hornbeamshore.serving.shutdown import AnswersDue, Shutdown, ShutdownSettings
from tests.clocks import SuspendableClock

CFG = ShutdownSettings(
    accept_until=Duration(2.0),
    answer_until=Duration(5.0),
    read_until=Duration(5.25),
    exit_until=Duration(5.5),
)


@pytest.fixture
async def clock(autojump_clock):
    return SuspendableClock()


@pytest.fixture
async def shutdown(clock, nursery):
    shutdown = Shutdown(CFG, clock)
    nursery.start_soon(shutdown.run)
    return shutdown


@pytest.mark.parametrize(
    ("before_s", "suspended_s", "after_s", "time_left_s"),
    [
        (0.0, 0.0, 0.0, 5.0),
        (3.0, 0.0, 0.0, 5.0),
        (3.0, 0.0, 1.5, 3.5),
        (3.0, 4.0, 0.0, 1.0),
        (3.0, 9.0, 0.0, -4.0),
    ],
    ids=["at the start", "later", "during the stop", "suspended", "suspended long"],
)
async def test_time_left_counts_from_the_signal(
    autojump_clock, shutdown, clock, before_s, suspended_s, after_s, time_left_s
):
    """Guards against a stop that outlasts its grace period.

    A signal that is received after a suspension may have been sent at its beginning.
    """
    await trio.sleep(before_s)
    clock.suspended_s += suspended_s
    shutdown.begin()
    await trio.sleep(after_s)
    assert shutdown.time_left_s == pytest.approx(time_left_s, abs=0.51)
    assert shutdown.time_left_s <= time_left_s + 1e-6
    assert shutdown.are_answers_due == (time_left_s <= 0)


async def test_a_signal_during_the_start_counts_from_its_receipt(
    autojump_clock, shutdown, clock
):
    """Guards against a grace period that begins when the start has ended."""
    await trio.sleep(1.0)
    shutdown.begin(signalled_at=clock() - 0.8)
    assert shutdown.time_left_s == pytest.approx(4.2)


async def test_a_second_signal_does_not_prolong_the_stop(autojump_clock, shutdown):
    """Guards against a grace period that begins anew with each signal."""
    shutdown.begin()
    await trio.sleep(3.0)
    shutdown.begin()
    assert shutdown.time_left_s == pytest.approx(2.0)


@pytest.mark.parametrize("suspended_s", [0.0, 3.0, 30.0])
async def test_waits_end_when_answers_are_due(
    autojump_clock, shutdown, clock, suspended_s
):
    """Guards against requests that still wait when the process ends.

    The wait ends within a moment after a suspension during the stop.
    """
    shutdown.begin()
    started_at = clock()
    await trio.sleep(1.0)
    clock.suspended_s += suspended_s
    resumed_at = clock()
    with pytest.raises(AnswersDue), shutdown.bounded():
        await trio.sleep_forever()
    due_at = max(started_at + CFG.answer_until, resumed_at)
    assert clock() - due_at == pytest.approx(0.0, abs=0.11)


async def test_a_wait_that_begins_late_ends_at_once(autojump_clock, shutdown):
    """Guards against a request that is taken when all others have been ended."""
    shutdown.begin()
    await trio.sleep(CFG.answer_until + 0.2)
    with pytest.raises(AnswersDue), shutdown.bounded():
        await trio.sleep_forever()


async def test_nothing_ends_before_a_stop(autojump_clock, shutdown):
    """Guards against requests that are refused without a stop."""
    with shutdown.bounded():
        await trio.sleep(1000.0)
    assert not shutdown.are_answers_due
    assert shutdown.retry_after_s > 1000.0


@pytest.mark.parametrize(
    ("elapsed_s", "retry_after_s"), [(0.0, 2.0), (1.5, 0.5), (2.0, 0.0), (6.0, 0.0)]
)
async def test_callers_come_again_when_they_reach_another_process(
    autojump_clock, shutdown, elapsed_s, retry_after_s
):
    """Guards against callers that return to the process that is stopping."""
    shutdown.begin()
    await trio.sleep(elapsed_s)
    assert shutdown.retry_after_s == pytest.approx(retry_after_s)
