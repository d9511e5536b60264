"""Takeover from an entry that is still connected but has given up its term."""

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.wire.messages import Fence, Release
from spec import ownership_steps as st
from spec.ownership_state import Bounds
from tests.spec.agents_under_test import PARTITION
from tests.spec.system_under_test import SystemUnderTest, entry_id

# Each advances the clock by more than `suspect_after`.
MAX_ADVANCES = 10


async def lose_connections(system):
    """End the owner's term while its release cannot reach any agent."""
    for near, far in list(system.network.connections.values()):
        if near.handler is system.entries[0].handler:
            far.close()
    await system.advance_time()
    await system._reconnect()


async def answer_fences_late(system):
    """End a candidate's term before the agents read its fences; lose its releases."""
    system.network.holds_messages = True
    await system.apply_step(st.Release(0, -1))
    await system.apply_step(st.Takeover(1))
    owner = system.entries[1].owner
    owner.observe_epoch(owner._next_epoch())
    await system.network.run_until_idle()
    assert not owner.in_term
    for held in list(system.network.held):
        if not _is_release_of(held, entry_id(1)):
            await system._deliver(held)
    system.network.held.clear()
    system.network.holds_messages = False


def _is_release_of(held, process_id):
    endpoint, message = held
    sender = endpoint.remote.peer.process_id
    return isinstance(message.body, Release) and sender == process_id


async def send_heartbeats(system):
    """Send the heartbeats of all entries, which an in-memory connection does not."""
    while True:
        for near, _ in list(system.network.connections.values()):
            near.try_send(near.handler.heartbeat())
        await trio.sleep(0.5)


ABANDONED = {
    "connections lost": (lose_connections, 0),
    "fences answered late": (answer_fences_late, 1),
}


@pytest.mark.parametrize(("abandon", "former"), ABANDONED.values(), ids=ABANDONED)
async def test_abandoned_grant_does_not_block_the_next_owner(
    abandon, former, mock_clock, monkeypatch
):
    """Guards against a partition without an owner while a former one is connected."""
    async with trio.open_nursery() as nursery:
        limits = Bounds(entries=3, agents=4, joined=4)
        system = SystemUnderTest(limits, mock_clock, monkeypatch, nursery)
        await system.start()
        system.network.holds_messages = False
        nursery.start_soon(send_heartbeats, system)
        await abandon(system)
        assert not system.entries[former].owner.in_term
        holders = {agent.fencing.owner[0] for agent in system.agents.values()}
        assert holders == {entry_id(former)}
        await system.apply_step(st.WriteTable(2))
        system.entries[2].set_candidate(entry_id(2))
        for _ in range(MAX_ADVANCES):
            await system.advance_time()
        assert system.entries[2].owner.is_active
        nursery.cancel_scope.cancel()


async def test_release_reaches_agents_whose_grant_is_under_way(mock_clock, monkeypatch):
    """Guards against a pause without an owner after a term that ends early."""
    async with trio.open_nursery() as nursery:
        system = SystemUnderTest(Bounds(agents=4), mock_clock, monkeypatch, nursery)
        await system.start()
        await system.apply_step(st.Release(0, -1))
        await system.apply_step(st.Takeover(1))
        owner = system.entries[1].owner
        owner.observe_epoch(owner._next_epoch())
        await system.network.run_until_idle()
        for held in list(system.network.held):
            await system._deliver(held)
        fencings = [agent.fencing for agent in system.agents.values()]
        assert {fencing.owner[0] for fencing in fencings} == {entry_id(1)}
        fence, now = Fence(PARTITION, owner._next_epoch().pack()), trio.current_time()
        codes = {fencing.check(fence, ("entry-9", 1), now) for fencing in fencings}
        assert codes == {ResultCode.OK}
        nursery.cancel_scope.cancel()
