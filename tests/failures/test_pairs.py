"""Guards against combinations of two simultaneous failures."""

import pytest
import trio

from hornbeamshore.bench.scenario import Row


async def owner_killed_store_down(scenario):
    await scenario.fleet.set_store_faults(down=True)
    scenario.fleet.kill(await scenario.owner())
    await scenario.owner()
    await trio.sleep(2)
    await scenario.fleet.set_store_faults(down=False)


async def owner_paused_agent_killed(scenario):
    agent_id = await scenario.busy_agent()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scenario.pause, await scenario.owner(), 4)
        scenario.fleet.kill(agent_id)


async def silent_during_handover(scenario):
    """Drop the bytes between the owner and the other entries while it shuts down."""
    owner = await scenario.owner()
    others = set(scenario.fleet.entries) - {owner}
    for entry_id in others:
        scenario.fleet.relays[entry_id].silence({owner})
    scenario.fleet.relays[owner].silence(others)
    await scenario.fleet.stop(owner)


ROWS = (
    Row(
        "owner-killed-store-down",
        "a takeover that depends on the store",
        owner_killed_store_down,
        71,
        "pairs",
    ),
    Row(
        "owner-paused-agent-killed",
        "a new owner that runs an unknown key of a dead agent as a new job",
        owner_paused_agent_killed,
        72,
        "pairs",
    ),
    Row(
        "silent-during-handover",
        "job records that neither the old nor the new owner holds",
        silent_during_handover,
        73,
        "silent-agents",
        relayed=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_two_failures_at_once(row, verdicts):
    assert not verdicts[row.name], row.guards + "\n" + verdicts[row.name]
