"""Addresses of processes in the store, among entries of other writers."""

import pytest
import trio
import trio.testing

from hornbeamshore.base.decoding import REJECTIONS
from hornbeamshore.store.base import Change, KeyValue
from hornbeamshore.store.directory import AddressDirectory

PREFIX = "d/entries/"
ODD_VALUES = [
    b"",
    b"nothing",
    b"\xff\x00\xfe",
    b"[" * 100_000,
    b"10.0.0.9:99999999999 perth",
    b"10.0.0.9:0 perth",
    b"10.0.0.9:-7 perth",
    b":7720 perth",
    b"10.0.0.9:7720\x00 perth",
]


class FakeStore:
    """Store whose watch returns the given changes and then waits."""

    def __init__(self, *changes):
        self._changes = list(changes)

    def watch(self, prefix):
        return self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        pass

    def __aiter__(self):
        return self

    async def __anext__(self):
        if not self._changes:
            await trio.sleep_forever()
        return self._changes.pop(0)


def put(name, value, revision=1):
    key = PREFIX + name
    return Change(key, revision, KeyValue(key, value, revision, 0))


async def read_directory(nursery, *changes, forget_after=60.0):
    directory = AddressDirectory(FakeStore(*changes), PREFIX, forget_after)
    nursery.start_soon(directory.watch, lambda: directory.addresses)
    await trio.testing.wait_all_tasks_blocked()
    return directory


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: repr(value[:30]))
@pytest.mark.parametrize("key", ["odd", "entry-1"], ids=["own key", "key of an entry"])
async def test_an_odd_value_is_passed_over(autojump_clock, nursery, value, key):
    """Guards against one entry of another writer that ends each agent.

    Under the key of an entry it counts as a removal, after which the address is still
    known for a while, as the entry may go on.
    """
    rejected = REJECTIONS.counts["directory"]
    directory = await read_directory(
        nursery,
        put("entry-1", b"10.0.0.1:7720 perth"),
        put(key, value, 2),
        put("entry-2", b"10.0.0.2:7720 dundee", 3),
    )
    assert directory.addresses == {
        "10.0.0.1:7720": "perth",
        "10.0.0.2:7720": "dundee",
    }
    assert REJECTIONS.counts["directory"] == rejected + 1
    await trio.sleep(61.0)
    assert ("10.0.0.1:7720" in directory.addresses) is (key == "odd")
