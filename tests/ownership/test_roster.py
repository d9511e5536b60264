"""Changes of rosters and owner tables, and missing start records of a new owner."""

import pytest

from hornbeamshore.entry import roster as rosters
from hornbeamshore.entry import table as tables
from hornbeamshore.wire.messages import OwnerTable, Roster, TableEntry

MINUTE_MS = 60_000


def _roster(*agents):
    roster = Roster(epoch=5)
    for agent_id, incarnation in agents:
        roster = rosters.with_agent(roster, agent_id, incarnation, "rack-1", 0)
    return roster


@pytest.mark.parametrize(
    ("granted", "missing"),
    [
        ({"a": 1, "b": 1}, []),
        ({"a": 1}, ["b"]),
        ({"a": 1, "b": 2}, ["b"]),
        ({}, ["a", "b"]),
    ],
    ids=["all granted", "one without a grant", "one restarted", "no grant"],
)
def test_records_of_agents_without_grant_or_restarted_are_missing(granted, missing):
    """Guards against a second start of a task whose record only one agent had."""
    actual = rosters.entries_missing_records(
        _roster(("a", 1), ("b", 1)), set(granted.items())
    )
    assert [entry.agent_id for entry in actual] == missing


@pytest.mark.parametrize(
    ("copied", "lost_at_ms", "missing"),
    [(True, 0, []), (False, 0, ["b"]), (False, -10 * MINUTE_MS, [])],
    ids=["records copied", "records not copied", "older than the retention"],
)
def test_records_of_lost_agents_are_missing_until_copied_or_expired(
    copied, lost_at_ms, missing
):
    """Guards against ignoring a lost agent whose records were not copied."""
    roster = rosters.with_lost(
        _roster(("a", 1), ("b", 1)), "b", lost_at_ms, accounted_for=copied
    )
    roster = rosters.without_expired(roster, MINUTE_MS, 5 * MINUTE_MS)
    actual = rosters.entries_missing_records(roster, {("a", 1)})
    assert [entry.agent_id for entry in actual] == missing


def test_new_incarnation_marks_the_old_one_lost():
    """Guards against treating the records of a restarted agent as available."""
    roster = rosters.with_agent(_roster(("a", 1)), "a", 2, "rack-1", 7)
    assert rosters.lists_live(roster, "a", 2)
    assert not rosters.lists_live(roster, "a", 1)
    assert [
        entry.incarnation
        for entry in rosters.entries_missing_records(roster, {("a", 2)})
    ] == [1]


@pytest.mark.parametrize(
    ("first", "second", "newer"),
    [((1, 9), (2, 1), (2, 1)), ((2, 3), (2, 2), (2, 3)), ((0, 0), (0, 1), (0, 1))],
)
def test_newest_roster_has_highest_epoch_then_version(first, second, newer):
    """Guards against a former owner's roster that replaces its successor's."""
    actual = rosters.newest([Roster(*first), Roster(*second)])
    assert (actual.epoch, actual.version) == newer


def _table(*names):
    table = OwnerTable()
    for name in names:
        entry = TableEntry(name, 1, f"{name}:1", "dc", "rack")
        table = tables.with_entry(table, entry)
    return table


@pytest.mark.parametrize("removed", ["e1", "e2", "e3"])
def test_removed_entry_keeps_the_order_of_the_others(removed):
    """Guards against owner changes of partitions that the entry did not own."""
    table = _table("e1", "e2", "e3")
    smaller = tables.without_entries(table, {removed})
    for number in range(50):
        order = tables.candidates(table, f"service/{number}")
        rest = [name for name in order if name != removed]
        assert tables.candidates(smaller, f"service/{number}") == rest


def test_table_round_trips_and_version_rises_only_with_changes():
    """Guards against a stale or a needlessly rewritten table in the store."""
    table = _table("e1", "e2")
    assert tables.decode_table(tables.encode_table(table)) == table
    assert tables.with_entry(table, table.entries[0]) is table
    assert tables.without_entries(table, {"e9"}) is table
    owned = tables.with_owned(table, "service/0")
    assert owned.version == table.version + 1
    assert owned.owned == ("service/0",)


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{", b'{"version": "one"}', b'{"entries": [{}]}']
)
def test_invalid_table_value_raises_table_error(data):
    """Guards against a process that crashes on an invalid value in the store."""
    with pytest.raises(tables.TableError):
        tables.decode_table(data)
