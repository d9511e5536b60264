"""Owner table: the entries of a region and the order of candidates.

The table is a value of the platform's store; these functions read and change it
without any input or output.
"""

import dataclasses

import msgspec

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.wire.messages import OwnerTable


def encode_table(table):
    """Return the bytes that the store holds for a table."""
    return msgspec.json.encode(table)


def decode_table(data):
    """Return the table in bytes of the store.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the bytes are no table.
    """
    return msgspec.json.decode(data, type=OwnerTable)


def candidates(table, partition):
    """Return the ids of all entries in the order in which they may own a partition."""
    ids = [entry.entry_id for entry in table.entries]
    return rendezvous_order(str(partition), ids)


def rank_of(table, partition, entry_id):
    """Return the place of an entry among the candidates, or None if it has none."""
    order = candidates(table, partition)
    return order.index(entry_id) if entry_id in order else None


def with_entry(table, entry):
    """Return the table with an entry, which replaces an older incarnation."""
    if entry in table.entries:
        return table
    others = [known for known in table.entries if known.entry_id != entry.entry_id]
    return _next(table, entries=(*others, entry))


def without_entries(table, entry_ids):
    """Return the table without some entries."""
    kept = tuple(entry for entry in table.entries if entry.entry_id not in entry_ids)
    return table if kept == table.entries else _next(table, entries=kept)


def with_owned(table, partition):
    """Return the table that says that a partition has had an owner."""
    return _next(table, owned=tuple(sorted({*table.owned, str(partition)})))


def _next(table, **changes):
    return dataclasses.replace(table, version=table.version + 1, **changes)
