"""Tests of the connections of an agent to the entries."""

import pytest
import trio
import trio.testing

from hornbeamshore.runner import links
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.wire.handshake import Identity


class FakeRunner:
    cfg = RunnerSettings(max_entries=4)


@pytest.mark.parametrize(
    ("address_sets", "expected"),
    [
        ([{"a:1", "b:1"}], {"a:1", "b:1"}),
        ([{"a:1", "b:1"}, {"b:1", "c:1"}], {"b:1", "c:1"}),
        ([{f"{number}:1" for number in range(20)}], None),
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
