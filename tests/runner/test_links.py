"""Tests of the connections of an agent to the entries."""

import collections

import pytest
import trio
import trio.testing

from hornbeamshore.runner import links
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.wire.handshake import Identity


class FakeRunner:
    cfg = RunnerSettings(max_entries=4)


def entries(*names, data_centre="perth"):
    return {f"{name}:1": data_centre for name in names}


@pytest.mark.parametrize(
    ("address_sets", "expected"),
    [
        ([entries("a", "b")], {"a:1", "b:1"}),
        ([entries("a", "b"), entries("b", "c")], {"b:1", "c:1"}),
        ([entries(*map(str, range(20)))], None),
    ],
    ids=["all addresses", "changed addresses", "more than max_entries"],
)
async def test_connections_follow_the_set_of_addresses(
    nursery, monkeypatch, address_sets, expected
):
    """Guards against connections to removed entries, and against a full mesh."""
    connected = set()

    async def connect(self, address):
        connected.add(address)
        try:
            await trio.sleep_forever()
        finally:
            connected.discard(address)

    monkeypatch.setattr(links.EntryLinks, "_connect_once", connect)
    identity = Identity("test", "agent", "agent-1", 1, "perth")
    entry_links = links.EntryLinks(FakeRunner(), identity, b"")
    for addresses in address_sets:
        entry_links.set_addresses(nursery, addresses)
        await trio.testing.wait_all_tasks_blocked()
    assert len(connected) == len(expected or range(4))
    assert expected is None or connected == expected


@pytest.mark.parametrize(
    ("near_count", "far_count", "expected_near", "expected_far"),
    [(7, 28, 7, 9), (3, 8, 3, 8), (40, 160, 10, 6), (40, 0, 16, 0), (0, 30, 0, 16)],
)
def test_agents_prefer_entries_of_their_data_centre(
    near_count, far_count, expected_near, expected_far
):
    """Guards against orders that cross data centres, and against isolated ones."""
    data_centres = {
        **entries(*(f"n{number}" for number in range(near_count))),
        **entries(*(f"f{number}" for number in range(far_count)), data_centre="dundee"),
    }
    identity = Identity("test", "agent", "agent-1", 1, "perth")
    selected = links.select_entries(identity, data_centres, RunnerSettings())
    near = [address for address in selected if data_centres[address] == "perth"]
    assert (len(near), len(selected) - len(near)) == (expected_near, expected_far)


def test_entries_have_similar_numbers_of_agents():
    """Guards against entries that reach only a small part of the fleet."""
    names = ["perth", "dundee", "stirling", "inverness", "aberdeen"]
    data_centres = {f"e{number}:1": names[number % 5] for number in range(35)}
    agents = collections.Counter()
    for number in range(160):
        identity = Identity("test", "agent", f"side-{number}", 1, names[number % 5])
        agents.update(links.select_entries(identity, data_centres, RunnerSettings()))
    mean = agents.total() / 35
    assert 0.7 * mean <= min(agents.values())
    assert max(agents.values()) <= 1.3 * mean
