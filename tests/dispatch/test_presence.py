"""Tests of callers that leave before their disconnect is read."""

import socket
import struct

import pytest
import trio

from hornbeamshore.dispatch.presence import SocketPresence
from hornbeamshore.wire.messages import Resources
from tests.clocks import SuspendableClock

from .conftest import CAPACITY, FakeAgent, Submission, make_job

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize(
    "event",
    ["submission", "free capacity", "end of the first copy", "suspension"],
)
async def test_no_run_is_ordered_for_a_caller_that_has_left(
    autojump_clock, nursery, coordinator, presence, agent, event
):
    """Guards against a run beside that of the copy that the caller sent elsewhere.

    The submissions are not cancelled: the disconnects have not been read yet.
    """
    if event == "free capacity":
        agent.report(free=Resources())
    if event == "end of the first copy":
        first = Submission(nursery, coordinator, make_job(1), caller="first")
        await trio.sleep(0.02)
    if event == "submission":
        presence.departed_callers.add("caller")
    if event == "suspension":
        agent.report(free=Resources())
        coordinator._clock = lambda: trio.current_time() + 5.0
    left = Submission(nursery, coordinator, make_job(1), caller="caller")
    await trio.sleep(0.02)
    presence.departed_callers.add("caller")
    if event == "end of the first copy":
        first.scope.cancel()
        await trio.sleep(0.01)
        agent.end_runs()
    else:
        agent.report(free=CAPACITY)
    await trio.sleep(0.02)
    assert agent.orders == {}
    assert left.outcome is not None
    assert coordinator.jobs == {}
    Submission(nursery, coordinator, make_job(1, "j2"), caller="other")
    await trio.sleep(0.02)
    assert len(agent.orders) == 1


@pytest.mark.parametrize("job_count", [1, 2])
async def test_the_age_of_an_order_counts_from_the_look_at_its_caller(
    autojump_clock, nursery, coordinator, presence, agent, job_count
):
    """Guards against an order that an entry sends after a suspension as a fresh one.

    The caller may have left during the suspension and submitted the job elsewhere, so
    the agent has to see that the order is old.
    """
    clock = SuspendableClock()
    coordinator._clock = clock
    agent.report(free=Resources())
    for number in range(job_count):
        job = make_job(1, f"j{number}")
        Submission(nursery, coordinator, job, caller=f"caller {number}")
    await trio.sleep(0.05)

    def suspend():
        presence.after_look = lambda: None
        clock.suspended_s += 3.2

    presence.after_look = suspend
    agent.report(free=CAPACITY)
    assert len(agent.orders) == job_count
    assert clock() - agent.decided_at >= 3.2


async def test_the_runs_of_a_caller_that_has_left_are_stopped(
    autojump_clock, nursery, coordinator, presence, agent
):
    """Guards against runs that go on because a disconnect cannot be read."""
    Submission(nursery, coordinator, make_job(2, estimate_s=5.0), caller="caller")
    await trio.sleep(0.02)
    presence.departed_callers.add("caller")
    await trio.sleep(0.2)
    assert sorted(agent.stopped_run_ids) == sorted(agent.orders)


async def test_a_suspect_of_a_caller_that_has_left_is_not_tried(
    autojump_clock, nursery, coordinator, presence, agent
):
    """Guards against an error while several suspects of one job wait."""
    other = FakeAgent(coordinator, "agent-2")
    other.report(held=())
    Submission(nursery, coordinator, make_job(3, estimate_s=2.0), caller="caller")
    await trio.sleep(0.02)
    for lossy in (agent, other):
        if lossy.orders:
            lossy.is_accepting = False
            lossy.lose_target()
    presence.departed_callers.add("caller")
    for lossy in (agent, other):
        lossy.is_accepting = True
        lossy.report()
    await trio.sleep(0.3)
    assert agent.orders == other.orders == {}
    assert coordinator.jobs == {}


def connect():
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    return client, server


def reset(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


@pytest.mark.parametrize("unread", [b"", b"further request"], ids=["read", "unread"])
@pytest.mark.parametrize(
    "leave",
    [socket.socket.close, reset, lambda client: client.shutdown(socket.SHUT_WR)],
    ids=["closed", "reset", "half-closed"],
)
def test_a_closed_connection_is_noticed_behind_unread_data(unread, leave):
    """Guards against a caller that is taken for present until its data are read."""
    presence = SocketPresence()
    client, server = connect()
    other_client, other_server = connect()
    with client, server, other_client, other_server:
        client.sendall(unread)
        assert presence.departed([server, other_server, None]) == set()
        leave(client)
        while not (departed := presence.departed([server, other_server, None])):
            pass
        assert departed == {server}
        server.close()
        assert presence.departed([server]) == {server}
