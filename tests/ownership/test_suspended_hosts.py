"""Hosts that are suspended, during which the clock of trio stands still."""

import pytest

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.types import Epoch, TaskSpec
from hornbeamshore.wire.messages import Fence, FenceReply, Message, Start
from tests.clocks import SuspendableClock
from tests.spec.agents_under_test import (
    NEVER_EXPIRES_MS,
    PARTITION,
    RecordingConnection,
    job_key,
    new_agent,
)

EPOCH = Epoch(1, 1, 0).pack()


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
