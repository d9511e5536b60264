"""Guards against wrong replies and repeated starts when two failures coincide."""

import pytest
import trio

from hornbeamshore.bench.scenario import Row


async def kill_owner_while_store_is_down(scenario):
    await scenario.fleet.set_store_faults(down=True)
    scenario.fleet.kill(await scenario.wait_for_owner())
    await scenario.wait_for_owner()
    await trio.sleep(2)
    await scenario.fleet.set_store_faults(down=False)


async def pause_owner_and_kill_agent(scenario):
    agent_id = await scenario.busiest_agent()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scenario.pause, await scenario.wait_for_owner(), 4)
        scenario.fleet.kill(agent_id)


async def drop_bytes_during_handover(scenario):
    """Drop the bytes between the owner and the other entries while it shuts down."""
    owner = await scenario.wait_for_owner()
    others = set(scenario.fleet.entries) - {owner}
    for entry_id in others:
        scenario.fleet.relays[entry_id].drop_bytes({owner})
    scenario.fleet.relays[owner].drop_bytes(others)
    await scenario.fleet.stop(owner)


ROWS = (
    Row(
        "owner-killed-store-down",
        "a takeover that depends on the store",
        kill_owner_while_store_is_down,
        71,
        "pairs",
    ),
    Row(
        "owner-paused-agent-killed",
        "a new owner that runs an unknown key of a dead agent as a new job",
        pause_owner_and_kill_agent,
        72,
        "pairs",
    ),
    Row(
        "silent-during-handover",
        "job records that neither the old nor the new owner holds",
        drop_bytes_during_handover,
        73,
        "silent-agents",
        with_relays=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_two_failures_at_once(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
