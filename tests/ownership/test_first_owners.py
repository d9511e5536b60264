"""Recording of partitions in the owner table when they get their first owner."""

from types import SimpleNamespace

import pytest
import trio

from hornbeamshore.entry import table as tables
from hornbeamshore.entry.membership import EntryMembership
from hornbeamshore.store.base import KeyValue, StoreUnavailable, WriteOutcome
from hornbeamshore.wire.messages import OwnerTable, TableEntry


class FakeStore:
    """Store of one key that counts its writes and can be unavailable."""

    def __init__(self, table, down):
        self.item = KeyValue("owners", tables.encode_table(table), 1)
        self.down, self.writes = down, 0

    async def get(self, _key):
        await trio.lowlevel.checkpoint()
        if self.down:
            raise StoreUnavailable("down")
        return self.item

    async def compare_and_swap(self, key, value, revision):
        await trio.lowlevel.checkpoint()
        if revision != self.item.mod_revision:
            return WriteOutcome(False, revision, self.item)
        self.writes += 1
        self.item = KeyValue(key, value, revision + 1)
        return WriteOutcome(True, revision + 1, None)


# Partitions owned before, whether the store is unavailable, and the result of each of
# 50 calls.
CASES = {
    "no earlier owners": ((), False, True),
    "earlier owners of all": (tuple(f"desk/{i}" for i in range(50)), False, False),
    "store unavailable": ((), True, None),
}


@pytest.mark.parametrize(("owned", "down", "is_first"), CASES.values(), ids=CASES)
async def test_concurrent_first_owners_share_few_writes(owned, down, is_first):
    """Guards against conflicting writes when an entry acquires many partitions.

    With one write for each, the number of store calls grew with the square of the
    number of partitions.
    """
    store = FakeStore(OwnerTable(1, (), owned), down)
    own_entry = TableEntry("entry-1", 1, "127.0.0.1:1", "x", "x")
    adopted = []
    cfg = SimpleNamespace(deployment="x", region="")
    membership = EntryMembership(store, cfg, own_entry, adopted.append)
    answers = {}

    async def register(name):
        answers[name] = await membership.register_partition(name)

    async with trio.open_nursery() as nursery:
        for number in range(50):
            nursery.start_soon(register, f"desk/{number}")
    assert set(answers.values()) == {is_first}
    assert len(answers) == 50
    assert store.writes <= 2
    assert not adopted or len(adopted[-1].owned) == 50
