"""Limits on the memory, connections and traffic of agents in large deployments."""

from types import SimpleNamespace

import pytest

from hornbeamshore.agent.uplink import select_entries
from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.types import JobKey, TaskResult
from hornbeamshore.entry.settings import EntrySettings, OwnershipSettings
from hornbeamshore.wire.connection import WireSettings
from hornbeamshore.wire.messages import (
    CopyRecords,
    FenceRecords,
    OwnerTable,
    RecordState,
    StartRecord,
    TableEntry,
)


def record(number):
    result = TaskResult(0, 1, 0, 1)
    key = JobKey("team", "desk", f"job-{number}")
    return StartRecord(key, 0, 1, RecordState.ENDED, 1, result)


@pytest.mark.parametrize("takes_ahead", [False, True])
@pytest.mark.parametrize("count", [0, 511, 512, 2000])
async def test_fence_sends_each_record_once(agent_env, takes_ahead, count):
    """Guards against records that are lost or duplicated between the messages."""
    async with agent_env() as env:
        assert (await env.entry.fence(1)).code == 0
        streamed = []
        env.entry.handle, handle = (
            lambda conn, message: (
                streamed.append(message.body)
                if isinstance(message.body, FenceRecords)
                else handle(conn, message)
            ),
            env.entry.handle,
        )
        copied = tuple(record(number) for number in range(count))
        await env.entry.conn.call(CopyRecords("desk/0", 1, "agent-2", copied), 30)
        reply = await env.entry.fence(2, takes_ahead=takes_ahead)
    received = [item for body in streamed for item in body.records] + list(
        reply.records
    )
    assert bool(streamed) == (takes_ahead and count >= 512)
    assert all(body.epoch == 2 for body in streamed)
    assert sorted(item.key.job_id for item in received) == sorted(
        item.key.job_id for item in copied
    )


# Partition known to the agent, its owner, and whether the candidates come first.
SELECTION_CASES = {
    "partition known": ("desk/3", "", True),
    "owner late in candidate order": ("desk/3", "entry-7", True),
    "partition unknown": ("", "", False),
}


@pytest.mark.parametrize(
    ("partition", "owner", "candidates_first"),
    SELECTION_CASES.values(),
    ids=SELECTION_CASES,
)
def test_agent_connects_to_owner_and_candidates(partition, owner, candidates_first):
    """Guards against candidates in a large region that are connected to no agent."""
    cfg = SimpleNamespace(service="desk", data_centre="dc-0", max_entry_connections=8)
    entries = tuple(
        TableEntry(f"entry-{number}", 1, f"host-{number}", f"dc-{number % 4}", "")
        for number in range(48)
    )
    chosen = select_entries(OwnerTable(1, entries), cfg, partition, owner)
    order = rendezvous_order(partition or "desk", [e.entry_id for e in entries])
    first = [owner] if owner else []
    first += [name for name in order if name != owner][: 8 - len(first)]
    expected = [name.replace("entry", "host") for name in first]
    assert len(chosen) == 8
    assert (chosen == expected) == candidates_first


def test_renewals_replace_heartbeats():
    """Guards against heartbeats in addition to renewals, which double idle traffic."""
    assert OwnershipSettings().renew_every < WireSettings().heartbeat_every
    assert EntrySettings.__dataclass_fields__["ownership"].default == (
        OwnershipSettings()
    )
