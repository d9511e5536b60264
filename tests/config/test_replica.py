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
DEPLOYMENT = Deployment("tayside", SERVICES)
CHANGED_SERVICES = SERVICES | {"shop": Service({"quote": Kind(repeatable=True)})}
CHANGED_DEPLOYMENT = dataclasses.replace(DEPLOYMENT, services=CHANGED_SERVICES)
OTHER_DEPLOYMENT = dataclasses.replace(DEPLOYMENT, deployment="knipling")


def _encode(deployment):
    return content.encode(deployment, "id")


UPDATES = {
    "higher": (9, _encode(CHANGED_DEPLOYMENT), True),
    "same": (7, _encode(CHANGED_DEPLOYMENT), False),
    "lower": (3, _encode(CHANGED_DEPLOYMENT), False),
    "invalid content": (9, b"noise", False),
    "other deployment": (9, _encode(OTHER_DEPLOYMENT), False),
}


@pytest.mark.parametrize(
    ("revision", "data", "accepted"), UPDATES.values(), ids=UPDATES
)
async def test_only_higher_revisions_are_accepted(revision, data, accepted):
    """Guards against a configuration that reverts or is replaced by invalid content."""
    replica, notified = ConfigReplica("tayside"), []
    replica.subscribe(lambda replica: notified.append(replica.revision))
    assert replica.update(7, _encode(DEPLOYMENT))
    assert replica.update(revision, data) is accepted
    expected = (
        (revision, CHANGED_DEPLOYMENT, data)
        if accepted
        else (7, DEPLOYMENT, _encode(DEPLOYMENT))
    )
    assert (replica.revision, replica.current, replica.content) == expected
    assert notified == ([7, revision] if accepted else [7])


async def test_slices_change_only_with_their_service():
    """Guards against sending agents the changes of other services."""
    replica = ConfigReplica("tayside")
    replica.update(7, _encode(DEPLOYMENT))
    replica.update(9, _encode(CHANGED_DEPLOYMENT))
    slices = [replica.service_slice(name) for name in ("desk", "shop")]
    assert [(s.revision, s.content_revision) for s in slices] == [(9, 7), (9, 9)]
    assert replica.service_slice("gone") is None


class ScriptedStore:
    """Store whose watches fail until a time, then yield the changes and block."""

    def __init__(self, available_at, changes):
        self.available_at = available_at
        self.changes = changes
        self.watches = []

    def watch(self, prefix, from_revision=0):
        self.watches.append((trio.current_time(), from_revision))
        return ScriptedWatch(self, iter(self.changes))


class ScriptedWatch(Watch):
    def __init__(self, store, changes):
        self._store = store
        self._changes = changes

    async def __anext__(self):
        await trio.lowlevel.checkpoint()
        if trio.current_time() < self._store.available_at:
            raise StoreUnavailable("down")
        change = next(self._changes, None)
        return change or await trio.sleep_forever()

    async def aclose(self):
        pass


def _change(revision, deployment, key=KEY):
    item = KeyValue(key, _encode(deployment), revision) if deployment else None
    return Change(key, revision, item)


@pytest.mark.parametrize("outage", [0, 60, 86_400])
@pytest.mark.parametrize("initial_revision", [0, 7])
async def test_outage_never_ends_the_watch(autojump_clock, outage, initial_revision):
    """Guards against a process that gives up on, or overloads, a failing store."""
    changes = [
        _change(8, None),
        _change(9, OTHER_DEPLOYMENT, KEY + "-2"),
        _change(9, CHANGED_DEPLOYMENT),
    ]
    replica = ConfigReplica("tayside", rng=random.Random(41))
    if initial_revision:
        replica.update(initial_revision, _encode(DEPLOYMENT))
    start = trio.current_time()
    store = ScriptedStore(start + outage, changes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.watch_store, store)
        await replica.wait_for(9)
        nursery.cancel_scope.cancel()
    assert replica.current == CHANGED_DEPLOYMENT
    assert {revision for _, revision in store.watches} == {
        initial_revision and initial_revision + 1
    }
    assert trio.current_time() - start <= outage + Duration(15)
    assert len(store.watches) <= 8 + outage / replica.cfg.retry_max * 1.2
