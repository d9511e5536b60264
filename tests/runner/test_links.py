"""Tests of the connections of an agent to the entries."""

import collections
import contextlib

import pytest
import trio
import trio.testing

from hornbeamshore.runner import links
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.wire.connection import ConnectionLost, ConnectionRefused
from hornbeamshore.wire.handshake import Identity

from .conftest import FakeConnection, order_tasks


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


@pytest.mark.parametrize(
    ("error", "is_stopped"),
    [(ConnectionRefused("refused"), True), (ConnectionLost("timed out"), False)],
    ids=["refused", "silent"],
)
async def test_the_runs_of_an_entry_that_has_ended_are_stopped(
    autojump_clock, nursery, runner, target, monkeypatch, error, is_stopped
):
    """Guards against runs beside their copies if the agent is lost soon after an entry.

    A target goes on for 1.0 s after the loss of its agent, and callers submit the jobs
    of a lost entry again after 1.3 s.
    """
    conns = []

    @contextlib.asynccontextmanager
    async def open_connection(address, identity, secret, cfg):
        if conns:
            raise error
        conns.append(ShortConnection())
        yield conns[0]

    monkeypatch.setattr(links, "open_connection", open_connection)
    identity = Identity("test", "agent", "agent-1", 1, "glasgow")
    entry_links = links.EntryLinks(runner, identity, b"")
    entry_links.set_addresses(nursery, {"10.0.0.1:7720": "glasgow"})
    await trio.sleep(0.05)
    session = runner.sessions["entry-1"]
    runner.order_runs(session, 1, order_tasks(1), runner.clock())
    await trio.sleep(0.1)
    assert target.running_runs
    conns[0].ended.set()
    await trio.sleep(0.3)
    assert bool(target.running_runs) is not is_stopped


class ShortConnection(FakeConnection):
    """Connection that runs until the test ends it."""

    def __init__(self):
        super().__init__()
        self.ended = trio.Event()

    async def run(self, handler):
        handler.opened(self)
        await self.ended.wait()
        handler.closed(self)
