"""Roster of a partition: the agents that may hold start records.

These functions query a frozen `Roster` or return a changed copy. The partition's owner
maintains the roster; agents and candidate owners store copies.
"""

import dataclasses

from hornbeamshore.wire.messages import RosterEntry


def newest(rosters):
    """Return the roster with the highest epoch and version."""
    return max(rosters, key=lambda roster: (roster.epoch, roster.version))


def live_ids(roster):
    """Return the ids of the agents that the roster lists as live."""
    return frozenset(entry.agent_id for entry in roster.entries if entry.live)


def lists_live(roster, agent_id, incarnation):
    """Return whether the roster lists this incarnation of an agent as live."""
    return any(
        entry.live and entry.agent_id == agent_id and entry.incarnation == incarnation
        for entry in roster.entries
    )


def with_epoch(roster, epoch):
    """Return the next version of the roster, at an owner's new epoch."""
    return dataclasses.replace(roster, epoch=epoch, version=roster.version + 1)


def with_agent(roster, agent_id, incarnation, rack, now_ms):
    """Return the roster with a live agent; its older incarnation is marked lost."""
    entries = [
        _marked_lost(entry, now_ms)
        if entry.agent_id == agent_id and entry.live
        else entry
        for entry in roster.entries
        if (entry.agent_id, entry.incarnation) != (agent_id, incarnation)
    ]
    entries.append(RosterEntry(agent_id, incarnation, True, True, 0, rack))
    return _next_version(roster, entries)


def with_lost(roster, agent_id, now_ms, *, accounted_for):
    """Return the roster with a live agent marked lost.

    Parameters
    ----------
    accounted_for : bool
        Whether other agents hold copies of its start records.
    """
    entries = [
        _marked_lost(entry, now_ms, accounted_for)
        if entry.agent_id == agent_id and entry.live
        else entry
        for entry in roster.entries
    ]
    return _next_version(roster, entries)


def without_expired(roster, now_ms, retention_ms):
    """Return the roster without agents lost for longer than the retention."""
    entries = [
        entry
        for entry in roster.entries
        if entry.live or now_ms - entry.lost_at_ms <= retention_ms
    ]
    return (
        roster
        if len(entries) == len(roster.entries)
        else _next_version(roster, entries)
    )


def entries_missing_records(roster, reported):
    """Return the roster entries whose start records a new owner lacks.

    Parameters
    ----------
    reported : set of (str, int)
        Id and incarnation of each agent that granted the owner's fence, which
        includes its start records.
    """
    return tuple(
        entry
        for entry in roster.entries
        if (entry.agent_id, entry.incarnation) not in reported
        and (entry.live or not entry.accounted_for)
    )


def _marked_lost(entry, now_ms, accounted_for=False):
    return dataclasses.replace(
        entry, live=False, accounted_for=accounted_for, lost_at_ms=now_ms
    )


def _next_version(roster, entries):
    return dataclasses.replace(
        roster, version=roster.version + 1, entries=tuple(entries)
    )
