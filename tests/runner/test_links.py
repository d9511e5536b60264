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
    ("rounds", "expected"),
    [
        ([{"a:1", "b:1"}], {"a:1", "b:1"}),
        ([{"a:1", "b:1"}, {"b:1", "c:1"}], {"b:1", "c:1"}),
        ([{f"{number}:1" for number in range(20)}], None),
    ],
    ids=["all addresses", "changed addresses", "more than max_entries"],
)
async def test_links_follow_the_addresses(nursery, monkeypatch, rounds, expected):
    """Guards against connections to removed entries, and against a full mesh."""
    present = set()

    async def connect(self, address):
        present.add(address)
        try:
            await trio.sleep_forever()
        finally:
            present.discard(address)

    monkeypatch.setattr(links.EntryLinks, "_connect_once", connect)
    identity = Identity("test", "agent", "agent-1", 1, "perth")
    entry_links = links.EntryLinks(FakeRunner(), identity, b"")
    for addresses in rounds:
        entry_links.use(nursery, addresses)
        await trio.testing.wait_all_tasks_blocked()
    assert len(present) == len(expected or range(4))
    assert expected is None or present == expected
