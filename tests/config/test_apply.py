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

FAST_READ_BACK = apply.ApplySettings(3, Duration(0.001))
DEPLOYMENT = Deployment("tayside", {"desk": Service({"quote": Kind()})})
LONGER_RETENTION = dataclasses.replace(DEPLOYMENT, retention=Duration(600))
TWO_PARTITIONS = Deployment(
    "tayside", {"desk": Service({"quote": Kind()}, partitions=2)}
)
OTHER_SERVICE = Deployment(
    "tayside", {"shop": Service({"quote": Kind()}, partitions=2)}
)


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
async def running_store():
    server = StandinStore()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve)
        cfg = EtcdSettings((address,), Duration(20), Duration(20))
        async with RacingStore(cfg) as store:
            yield server, store
        nursery.cancel_scope.cancel()


def _write_concurrently(server, store):
    store.before = lambda: apply.apply_deployment(store, DEPLOYMENT)


def _lose_answer_then_overwrite(server, store):
    async def overwrite():
        store.after = None
        await apply.apply_deployment(store, DEPLOYMENT)

    server.faults.lose_answers = 1
    store.after = overwrite


def _lose_answer_then_stop(server, store):
    async def stop():
        server.faults.down = True

    server.faults.lose_answers = 1
    store.after = stop


def _drop_write(server, store):
    async def fail():
        raise StoreUnavailable("connection closed", maybe_written=True)

    store.before = fail


CONFLICT, UNAVAILABLE = ResultCode.CONFIG_CONFLICT, ResultCode.STORE_UNAVAILABLE
UNKNOWN, NOT_RUN = RunState.UNKNOWN, RunState.NOT_RUN
STORE_FAULTS = {
    "no fault": (lambda server, _: None, None, None, 1),
    "concurrent write": (_write_concurrently, CONFLICT, NOT_RUN, 2),
    "answer lost": (
        lambda server, _: server._set_faults({"lose_answers": 1}),
        None,
        None,
        1,
    ),
    "answer lost, then overwritten": (
        _lose_answer_then_overwrite,
        CONFLICT,
        UNKNOWN,
        2,
    ),
    "answer lost, then store down": (_lose_answer_then_stop, UNAVAILABLE, UNKNOWN, 1),
    "store down": (lambda s, _: s._set_faults({"down": True}), UNAVAILABLE, NOT_RUN, 0),
    "write not received": (_drop_write, UNAVAILABLE, UNKNOWN, 0),
}


@pytest.mark.parametrize(
    ("inject_fault", "code", "state", "expected_writes"),
    STORE_FAULTS.values(),
    ids=STORE_FAULTS,
)
async def test_outcome_matches_store(inject_fault, code, state, expected_writes):
    """Guards against a reported outcome that contradicts the state of the store."""
    async with running_store() as (server, store):
        initial = (await apply.apply_deployment(store, DEPLOYMENT)).unwrap()
        writes_before = server.calls["/v3/kv/txn"]
        inject_fault(server, store)
        result = await apply.apply_deployment(
            store, LONGER_RETENTION, cfg=FAST_READ_BACK
        )
        assert server.calls["/v3/kv/txn"] == writes_before + expected_writes
        server.faults.down = False
        stored = await store.get("/hornbeamshore/tayside/config")
        if code is None:
            applied = result.unwrap()
            assert applied.revision == stored.mod_revision > initial.revision
            assert content.decode(stored.value).apply_id == applied.apply_id
            assert applied.differences == ("retention: 300s -> 600s",)
        else:
            refusal = result.failure()
            assert (refusal.code, refusal.run_state) == (code, state)
            if code is CONFLICT:
                assert f"revision {stored.mod_revision} " in refusal.detail


RULES = {
    "partitions change": (DEPLOYMENT, TWO_PARTITIONS, None, ResultCode.CONFIG_INVALID),
    "service replaced": (DEPLOYMENT, OTHER_SERVICE, None, None),
    "first apply": (None, TWO_PARTITIONS, 0, None),
    "file based on an older revision": (DEPLOYMENT, LONGER_RETENTION, 0, CONFLICT),
    "file based on the stored revision": (DEPLOYMENT, LONGER_RETENTION, 2, None),
}


@pytest.mark.parametrize(
    ("old", "new", "expected_revision", "code"), RULES.values(), ids=RULES
)
async def test_rules_between_revisions(old, new, expected_revision, code):
    """Guards against job keys that move to another partition, and lost updates."""
    async with running_store() as (_, store):
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


def test_deployment_of_target_size_fits_in_store():
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
    assert content.decode(data) == content.ConfigValue("id", deployment)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"noise",
        content.encode(DEPLOYMENT, "id")[:-3],
        zlib.compress(b"{}"),
        zlib.compress(b"\xff"),
        zlib.compress(b" " * (content.MAX_RAW_BYTES + 1)),
    ],
    ids=["empty", "not compressed", "truncated", "no fields", "not UTF-8", "too large"],
)
def test_invalid_content_is_refused(data):
    """Guards against an invalid value that ends a process or exhausts its memory."""
    with pytest.raises(content.ContentError):
        content.decode(data)
