"""Leases and quorums, which decide whether an entry may act as owner."""

import itertools

import pytest

from hornbeamshore.entry.leases import LeaseSet, is_quorum


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 6])
def test_any_two_quorums_intersect(size):
    """Guards against two active owners of a partition at the same time."""
    agents = frozenset("abcdef"[:size])
    subsets = [
        frozenset(chosen)
        for count in range(size + 1)
        for chosen in itertools.combinations(sorted(agents), count)
    ]
    quorums = [subset for subset in subsets if is_quorum(subset, agents)]
    assert quorums
    assert all(one & two for one in quorums for two in quorums)


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_commit_quorums_intersect_each_quorum_of_the_old_roster(size):
    """Guards against an owner with the old roster that acts after a roster change.

    A change needs a quorum of both rosters, so each quorum of the old roster
    includes an agent that confirmed the new one.
    """
    old = frozenset("bcdefg"[:size])
    for new in (old | {"a"}, old - {"b"}):
        both = [
            frozenset(chosen)
            for count in range(size + 2)
            for chosen in itertools.combinations(sorted(old | new), count)
            if is_quorum(frozenset(chosen) & old, old)
            and is_quorum(frozenset(chosen) & new, new)
        ]
        old_quorums = [
            frozenset(chosen)
            for count in range(size + 1)
            for chosen in itertools.combinations(sorted(old), count)
            if is_quorum(frozenset(chosen), old)
        ]
        assert both
        assert all(one & two for one in both for two in old_quorums)


@pytest.mark.parametrize(
    ("sent_at", "now", "holds"),
    [(10.0, 10.0, True), (10.0, 11.1, True), (10.0, 11.25, False), (10.0, 99.0, False)],
    ids=["just sent", "before expiry", "at expiry", "long expired"],
)
def test_lease_duration_counts_from_sending(sent_at, now, holds):
    """Guards against a paused owner that counts an expired lease as held."""
    leases = LeaseSet(1.2)
    leases.confirm("a", 1, sent_at)
    assert leases.has_quorum(frozenset("a"), now) == holds


def test_dropped_lease_does_not_count_for_quorum():
    """Guards against a quorum that includes a lost agent."""
    leases = LeaseSet(1.2)
    leases.confirm("a", 1, 0.0)
    leases.drop("a")
    assert not leases.has_quorum(frozenset("a"), 0.1)
    assert leases.incarnations == {}
