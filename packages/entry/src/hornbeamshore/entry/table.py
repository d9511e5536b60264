"""Owner table: the entries of a region and the order of candidates.

The table is a value in the platform's store. These functions decode it and
return changed copies, without calls to the store.
"""

import dataclasses

import msgspec

from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.wire.messages import OwnerTable


class TableError(ValueError):
    """A value in the store is not a valid owner table."""


def encode_table(table):
    """Return a table as JSON, as it is stored."""
    return msgspec.json.encode(table)


def decode_table(data):
    """Return the table decoded from a stored value.

    Raises
    ------
    TableError
        If the value is not a valid table.
    """
    try:
        return decode_json(data, OwnerTable)
    except msgspec.DecodeError as exc:
        raise TableError(f"invalid owner table: {exc}") from exc


def candidates(table, partition):
    """Return the ids of all entries, the preferred owner of a partition first."""
    ids = [entry.entry_id for entry in table.entries]
    return rendezvous_order(str(partition), ids)


def rank_of(table, partition, entry_id):
    """Return the index of an entry in `candidates`, or None if it is not listed."""
    order = candidates(table, partition)
    return order.index(entry_id) if entry_id in order else None


def with_entry(table, entry):
    """Return the table with an entry, which replaces the entry of the same id."""
    if entry in table.entries:
        return table
    others = [known for known in table.entries if known.entry_id != entry.entry_id]
    return _next_version(table, entries=(*others, entry))


def without_entries(table, entry_ids):
    """Return the table without the entries of the given ids."""
    kept = tuple(entry for entry in table.entries if entry.entry_id not in entry_ids)
    return table if kept == table.entries else _next_version(table, entries=kept)


def with_owned(table, *partitions):
    """Return the table with partitions added to those that have had an owner."""
    return _next_version(
        table, owned=tuple(sorted({*table.owned, *map(str, partitions)}))
    )


def _next_version(table, **changes):
    return dataclasses.replace(table, version=table.version + 1, **changes)
