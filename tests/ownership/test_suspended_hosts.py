"""Hosts that are suspended, during which the clock of trio stands still."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.types import Epoch, TaskSpec
from hornbeamshore.wire.messages import Fence, FenceReply, Message, Start
from spec import ownership_steps as st
from spec.ownership_state import Bounds
from tests.clocks import SuspendableClock
from tests.spec.agents_under_test import (
    NEVER_EXPIRES_MS,
    PARTITION,
    RecordingConnection,
    job_key,
    new_agent,
)
from tests.spec.system_under_test import SystemUnderTest

EPOCH = Epoch(1, 1, 0).pack()


@pytest.mark.parametrize(
    ("suspended_s", "is_active"),
    [(0.0, True), (0.1, True), (1.5, False), (10.0, False)],
)
async def test_owner_is_not_active_once_its_leases_have_ended(
    suspended_s, is_active, mock_clock, monkeypatch
):
    """Guards against two active owners after the host of one was suspended."""
    async with trio.open_nursery() as nursery:
        limits = Bounds(entries=2, agents=4, joined=4)
        system = SystemUnderTest(limits, mock_clock, monkeypatch, nursery)
        await system.start()
        system.network.holds_messages = False
        system.clock.suspended_s += suspended_s
        first, second = (process.owner for process in system.entries)
        assert first.is_active == is_active
        if not is_active:
            await system.apply_step(st.Takeover(1))
            assert second.is_active
            assert not first.is_active
        nursery.cancel_scope.cancel()


def start_of_a_task():
    spec = TaskSpec("POST", "/", (), b"")
    key = job_key(0)
    return Start(PARTITION, EPOCH, key, 0, 1, "quote", spec, NEVER_EXPIRES_MS, 30_000)


@pytest.mark.parametrize(
    ("suspended_s", "is_started"), [(0.0, True), (1.0, True), (10.0, False)]
)
async def test_agent_does_not_start_what_it_reads_after_a_suspension(
    suspended_s, is_started, mock_clock
):
    """Guards against a start for an owner that was replaced during a suspension."""
    clock = SuspendableClock()
    agent, conn = new_agent(0, clock=clock), RecordingConnection(0, 1)
    mock_clock.jump(agent.cfg.wire.suspect_after)
    agent.opened(conn)
    agent.handle(conn, Message(1, 0, Fence(PARTITION, EPOCH)))
    replies = [body for body in conn.sent if isinstance(body, FenceReply)]
    assert [reply.code for reply in replies] == [ResultCode.OK]
    clock.suspended_s += suspended_s
    agent.handle(conn, Message(2, 0, start_of_a_task()))
    assert bool(agent.executor.runs) == is_started
    assert conn.is_open == is_started
