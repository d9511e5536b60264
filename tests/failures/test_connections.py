"""Guards against half-open connections, which lose all bytes without closing.

New connections between the same processes work.
"""

from functools import partial

import pytest
import trio

from hornbeamshore.bench.scenario import Row

# Longer than 1.5 s, after which a peer replaces a connection without traffic.
DROP_TIME_S = 4


async def drop_agent_bytes(scenario, **directions):
    agent_id, owner = await scenario.busiest_agent(), await scenario.wait_for_owner()
    assert scenario.fleet.relays[owner].drop_bytes({agent_id}, **directions)
    await trio.sleep(DROP_TIME_S)
    await scenario.wait_until_used(agent_id)


async def drop_entry_bytes(scenario, **directions):
    """Drop the bytes between the owner and another entry.

    Two entries share one connection, which either of them may have opened, so the
    relays of both are used.
    """
    relays = scenario.fleet.relays
    owner = await scenario.wait_for_owner()
    non_owner = await scenario.choose_non_owner()
    opposite = {"inbound": "outbound", "outbound": "inbound"}
    reverse = {opposite[name]: is_lost for name, is_lost in directions.items()}
    dropped = relays[owner].drop_bytes({non_owner}, **directions)
    assert dropped + relays[non_owner].drop_bytes({owner}, **reverse)
    await trio.sleep(DROP_TIME_S)


async def drop_all_owner_bytes(scenario):
    relays = scenario.fleet.relays
    owner = await scenario.wait_for_owner()
    for agent_id in scenario.fleet.agents:
        assert relays[owner].drop_bytes({agent_id})
    for entry_id in scenario.fleet.entries.keys() - {owner}:
        dropped = relays[owner].drop_bytes({entry_id})
        assert dropped + relays[entry_id].drop_bytes({owner})
    await trio.sleep(DROP_TIME_S)


INBOUND = {"inbound": True, "outbound": False}
OUTBOUND = {"inbound": False, "outbound": True}

ROWS = (
    Row(
        "silent-agent-to-entry",
        "task outcomes lost in a half-open connection",
        partial(drop_agent_bytes, **INBOUND),
        31,
        "silent-agents",
        with_relays=True,
    ),
    Row(
        "silent-entry-to-agent",
        "task starts lost in a half-open connection",
        partial(drop_agent_bytes, **OUTBOUND),
        32,
        "silent-agents",
        with_relays=True,
    ),
    Row(
        "silent-agent-both-ways",
        "tasks of an agent that are never completed",
        drop_agent_bytes,
        33,
        "silent-agents",
        with_relays=True,
    ),
    Row(
        "silent-front-to-owner",
        "submissions lost in a half-open connection",
        partial(drop_entry_bytes, **INBOUND),
        34,
        "silent-entries",
        with_relays=True,
    ),
    Row(
        "silent-owner-to-front",
        "replies lost in a half-open connection",
        partial(drop_entry_bytes, **OUTBOUND),
        35,
        "silent-entries",
        with_relays=True,
    ),
    Row(
        "silent-entries-both-ways",
        "an entry that waits forever for the owner",
        drop_entry_bytes,
        36,
        "silent-entries",
        with_relays=True,
    ),
    Row(
        "silent-owner",
        "two simultaneous owners after the owner lost all connections",
        drop_all_owner_bytes,
        37,
        "silent-entries",
        with_relays=True,
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_silent_connection(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
