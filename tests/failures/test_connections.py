"""Guards against half-open connections: all bytes are lost, new connections work."""

from functools import partial

import pytest
import trio

from hornbeamshore.bench.scenario import Row

# Longer than 1.5 s, after which a peer replaces a connection without traffic.
SILENT_S = 4


async def agent_silent(scenario, **directions):
    agent_id, owner = await scenario.busy_agent(), await scenario.owner()
    assert scenario.fleet.relays[owner].silence({agent_id}, **directions)
    await trio.sleep(SILENT_S)
    await scenario.wait_used(agent_id)


async def entries_silent(scenario, **directions):
    """Drop the bytes between the owner and another entry.

    Two entries share one connection, which either of them may have opened, so the
    relays of both are used.
    """
    relays = scenario.fleet.relays
    owner = await scenario.owner()
    front = await scenario.front()
    opposite = {"inward": "outward", "outward": "inward"}
    back = {opposite[name]: lost for name, lost in directions.items()}
    silenced = relays[owner].silence({front}, **directions)
    assert silenced + relays[front].silence({owner}, **back)
    await trio.sleep(SILENT_S)


async def owner_silent(scenario):
    relays = scenario.fleet.relays
    owner = await scenario.owner()
    for agent_id in scenario.fleet.agents:
        assert relays[owner].silence({agent_id})
    for entry_id in scenario.fleet.entries.keys() - {owner}:
        silenced = relays[owner].silence({entry_id})
        assert silenced + relays[entry_id].silence({owner})
    await trio.sleep(SILENT_S)


INWARD = {"inward": True, "outward": False}
OUTWARD = {"inward": False, "outward": True}

ROWS = (
    Row(
        "silent-agent-to-entry",
        "task outcomes lost in a half-open connection",
        partial(agent_silent, **INWARD),
        31,
        "silent-agents",
        relayed=True,
    ),
    Row(
        "silent-entry-to-agent",
        "task starts lost in a half-open connection",
        partial(agent_silent, **OUTWARD),
        32,
        "silent-agents",
        relayed=True,
    ),
    Row(
        "silent-agent-both-ways",
        "tasks of an agent that are never completed",
        agent_silent,
        33,
        "silent-agents",
        relayed=True,
    ),
    Row(
        "silent-front-to-owner",
        "submissions lost in a half-open connection",
        partial(entries_silent, **INWARD),
        34,
        "silent-entries",
        relayed=True,
    ),
    Row(
        "silent-owner-to-front",
        "replies lost in a half-open connection",
        partial(entries_silent, **OUTWARD),
        35,
        "silent-entries",
        relayed=True,
    ),
    Row(
        "silent-entries-both-ways",
        "an entry that waits forever for the owner",
        entries_silent,
        36,
        "silent-entries",
        relayed=True,
    ),
    Row(
        "silent-owner",
        "two simultaneous owners after the owner lost all connections",
        owner_silent,
        37,
        "silent-entries",
        relayed=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_silent_connection(row, verdicts):
    assert not verdicts[row.name], row.guards + "\n" + verdicts[row.name]
