"""Tests of the replica: order of revisions, slices and outages of the store."""

import dataclasses
import random

import pytest
import trio

from hornbeamshore.base.units import Duration
from hornbeamshore.config import content
from hornbeamshore.config.model import Deployment, Kind, Service
from hornbeamshore.config.replica import ConfigReplica
from hornbeamshore.store.base import Change, KeyValue, StoreUnavailable, Watch

KEY = "/hornbeamshore/tayside/config"
SERVICES = {name: Service({"quote": Kind()}) for name in ("desk", "shop")}
ONE = Deployment("tayside", SERVICES)
CHANGED = SERVICES | {"shop": Service({"quote": Kind(repeatable=True)})}
TWO = dataclasses.replace(ONE, services=CHANGED)
OTHER = dataclasses.replace(ONE, deployment="knipling")


def _data(deployment):
    return content.encode(deployment, "id")


OFFERS = {
    "higher": (9, _data(TWO), True),
    "same": (7, _data(TWO), False),
    "lower": (3, _data(TWO), False),
    "invalid content": (9, b"noise", False),
    "other deployment": (9, _data(OTHER), False),
}


@pytest.mark.parametrize(("revision", "data", "taken"), OFFERS.values(), ids=OFFERS)
async def test_only_higher_revisions_are_taken(revision, data, taken):
    """Guards against a configuration that reverts or is replaced by invalid content."""
    replica, told = ConfigReplica("tayside"), []
    replica.subscribe(lambda replica: told.append(replica.revision))
    assert replica.offer(7, _data(ONE))
    assert replica.offer(revision, data) is taken
    expected = (revision, TWO, data) if taken else (7, ONE, _data(ONE))
    assert (replica.revision, replica.current, replica.content) == expected
    assert told == ([7, revision] if taken else [7])


async def test_slices_change_with_their_service_only():
    """Guards against sending agents the changes of other services."""
    replica = ConfigReplica("tayside")
    replica.offer(7, _data(ONE))
    replica.offer(9, _data(TWO))
    slices = [replica.service_slice(name) for name in ("desk", "shop")]
    assert [(s.revision, s.content_revision) for s in slices] == [(9, 7), (9, 9)]
    assert replica.service_slice("gone") is None


class ScriptedStore:
    """Store whose watches fail until `up_at`, then yield the changes and block."""

    def __init__(self, up_at, changes):
        self.up_at = up_at
        self.changes = changes
        self.tries = []

    def watch(self, prefix, from_revision=0):
        self.tries.append((trio.current_time(), from_revision))
        return ScriptedWatch(self, iter(self.changes))


class ScriptedWatch(Watch):
    def __init__(self, store, changes):
        self._store = store
        self._changes = changes

    async def __anext__(self):
        await trio.lowlevel.checkpoint()
        if trio.current_time() < self._store.up_at:
            raise StoreUnavailable("down")
        change = next(self._changes, None)
        return change or await trio.sleep_forever()

    async def aclose(self):
        pass


def _change(revision, deployment, key=KEY):
    item = KeyValue(key, _data(deployment), revision) if deployment else None
    return Change(key, revision, item)


@pytest.mark.parametrize("outage", [0, 60, 86_400])
@pytest.mark.parametrize("known", [0, 7])
async def test_outage_never_ends_the_watch(autojump_clock, outage, known):
    """Guards against a process that gives up on, or overloads, a failing store."""
    changes = [_change(8, None), _change(9, OTHER, KEY + "-2"), _change(9, TWO)]
    replica = ConfigReplica("tayside", rng=random.Random(41))
    if known:
        replica.offer(known, _data(ONE))
    start = trio.current_time()
    store = ScriptedStore(start + outage, changes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.watch_store, store)
        await replica.wait_for(9)
        nursery.cancel_scope.cancel()
    assert replica.current == TWO
    assert {revision for _, revision in store.tries} == {known and known + 1}
    assert trio.current_time() - start <= outage + Duration(15)
    assert len(store.tries) <= 8 + outage / replica.cfg.retry_max * 1.2
