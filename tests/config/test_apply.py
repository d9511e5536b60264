"""Tests of storing a deployment: races, lost answers and rules between revisions."""

import contextlib
import dataclasses
import random
import zlib

import pytest
import trio

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.units import Duration
from hornbeamshore.bench.standin_store import StandinStore
from hornbeamshore.config import apply, content
from hornbeamshore.config.model import Deployment, Kind, Service, Team
from hornbeamshore.store.base import StoreUnavailable
from hornbeamshore.store.etcd import EtcdSettings, EtcdStore

QUICK = apply.ApplySettings(3, Duration(0.001))
ONE = Deployment("tayside", {"desk": Service({"quote": Kind()})})
TWO = dataclasses.replace(ONE, retention=Duration(600))
SPLIT = Deployment("tayside", {"desk": Service({"quote": Kind()}, partitions=2)})
MOVED = Deployment("tayside", {"shop": Service({"quote": Kind()}, partitions=2)})


class RacingStore(EtcdStore):
    """Runs a hook just before and just after each compare-and-swap."""

    before = after = None

    async def compare_and_swap(self, *args):
        if self.before:
            hook, self.before = self.before, None
            await hook()
        try:
            return await super().compare_and_swap(*args)
        finally:
            if self.after:
                await self.after()


@contextlib.asynccontextmanager
async def serving():
    server = StandinStore()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve)
        cfg = EtcdSettings((address,), Duration(20), Duration(20))
        async with RacingStore(cfg) as store:
            yield server, store
        nursery.cancel_scope.cancel()


def _rival(server, store):
    store.before = lambda: apply.apply_deployment(store, ONE)


def _lost_then_overwritten(server, store):
    async def overwrite():
        store.after = None
        await apply.apply_deployment(store, ONE)

    server.faults.lose_answers = 1
    store.after = overwrite


def _lost_then_down(server, store):
    async def stop():
        server.faults.down = True

    server.faults.lose_answers = 1
    store.after = stop


def _never_arrives(server, store):
    async def fail():
        raise StoreUnavailable("cut", maybe_written=True)

    store.before = fail


CONFLICT, UNAVAILABLE = ResultCode.CONFIG_CONFLICT, ResultCode.STORE_UNAVAILABLE
UNKNOWN, NOT_RUN = RunState.UNKNOWN, RunState.NOT_RUN
TROUBLE = {
    "no fault": (lambda server, _: None, None, None, 1),
    "concurrent write": (_rival, CONFLICT, NOT_RUN, 2),
    "answer lost": (
        lambda server, _: server._set_faults({"lose_answers": 1}),
        None,
        None,
        1,
    ),
    "answer lost, then overwritten": (_lost_then_overwritten, CONFLICT, UNKNOWN, 2),
    "answer lost, then store down": (_lost_then_down, UNAVAILABLE, UNKNOWN, 1),
    "store down": (lambda s, _: s._set_faults({"down": True}), UNAVAILABLE, NOT_RUN, 0),
    "write not received": (_never_arrives, UNAVAILABLE, UNKNOWN, 0),
}


@pytest.mark.parametrize(
    ("trouble", "code", "state", "writes"), TROUBLE.values(), ids=TROUBLE
)
async def test_outcome_is_true(trouble, code, state, writes):
    """Guards against a reported outcome that contradicts the state of the store."""
    async with serving() as (server, store):
        first = (await apply.apply_deployment(store, ONE)).unwrap()
        written = server.calls["/v3/kv/txn"]
        trouble(server, store)
        result = await apply.apply_deployment(store, TWO, cfg=QUICK)
        assert server.calls["/v3/kv/txn"] == written + writes
        server.faults.down = False
        held = await store.get("/hornbeamshore/tayside/config")
        if code is None:
            applied = result.unwrap()
            assert applied.revision == held.mod_revision > first.revision
            assert content.decode(held.value).apply_id == applied.apply_id
            assert applied.differences == ("retention: 300s -> 600s",)
        else:
            refusal = result.failure()
            assert (refusal.code, refusal.run_state) == (code, state)
            if code is CONFLICT:
                assert f"revision {held.mod_revision} " in refusal.detail


RULES = {
    "partitions change": (ONE, SPLIT, None, ResultCode.CONFIG_INVALID),
    "service replaced": (ONE, MOVED, None, None),
    "first apply": (None, SPLIT, 0, None),
    "file based on an older revision": (ONE, TWO, 0, CONFLICT),
    "file based on the stored revision": (ONE, TWO, 2, None),
}


@pytest.mark.parametrize(
    ("old", "new", "expected_revision", "code"), RULES.values(), ids=RULES
)
async def test_rules_between_revisions(old, new, expected_revision, code):
    """Guards against job keys that move to another partition, and lost updates."""
    async with serving() as (_, store):
        if old:
            await apply.apply_deployment(store, old)
        result = await apply.apply_deployment(
            store, new, expected_revision=expected_revision
        )
        assert (result.failure().code if code else result.unwrap().revision) == (
            code or (3 if old else 2)
        )


def _random_kind(rng):
    deadline = Duration(rng.randrange(1, 60))
    expected_run = Duration(rng.randrange(50, 1000) / 1000)
    return Kind(deadline=deadline, expected_run=expected_run, weight=rng.randint(1, 9))


def test_target_size_fits_the_store():
    """Guards against a deployment of the target size that the store refuses."""
    rng = random.Random(41)
    services = {
        f"service-{rng.getrandbits(32):x}": Service(
            {f"kind-{rng.getrandbits(32):x}": _random_kind(rng) for _ in range(60)}
        )
        for _ in range(110)
    }
    teams = {
        f"team-{n}": Team(f"{rng.getrandbits(256):064x}", 1 + n) for n in range(110)
    }
    deployment = Deployment("large", services, teams)
    data = content.encode(deployment, "id")
    assert len(data) <= 150_000  # limit in the design; the store accepts 1 MB
    assert content.decode(data) == content.Content("id", deployment)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"noise",
        content.encode(ONE, "id")[:-3],
        zlib.compress(b"{}"),
        zlib.compress(b"\xff"),
        zlib.compress(b" " * (content.MAX_RAW_BYTES + 1)),
    ],
    ids=["empty", "noise", "truncated", "no fields", "not UTF-8", "too large"],
)
def test_broken_content_is_refused(data):
    """Guards against an invalid value that ends a process or exhausts its memory."""
    with pytest.raises(content.ContentError):
        content.decode(data)
