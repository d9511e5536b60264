"""`EtcdStore` against the stand-in gateway, over TCP."""

import contextlib
import dataclasses

import pytest
import trio
import trio.testing

from hornbeamshore.base.settings import Duration
from hornbeamshore.bench.standin_store import StandinStore
from hornbeamshore.store.base import (
    LeaseNotFound,
    StoreRejected,
    StoreUnavailable,
)
from hornbeamshore.store.etcd import EtcdSettings, EtcdStore

# Long timeouts, so that no test fails on a busy machine; injected faults end calls
# without a timeout.
CFG = EtcdSettings(("unset",), Duration(20), Duration(20), Duration(20))


@contextlib.asynccontextmanager
async def serving(cfg=CFG, first_endpoints=()):
    server = StandinStore()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve)
        endpoints = (*first_endpoints, address, address)
        cfg = dataclasses.replace(cfg, endpoints=endpoints)
        async with EtcdStore(cfg) as store:
            yield server, store
        nursery.cancel_scope.cancel()


WRITES = {
    "create, absent": (lambda s, r: s.create("/b", b"x"), True, None),
    "create, present": (lambda s, r: s.create("/a", b"x"), False, b"one"),
    "swap": (lambda s, r: s.compare_and_swap("/a", b"", r), True, None),
    "swap, old revision": (
        lambda s, r: s.compare_and_swap("/a", b"", r - 1),
        False,
        b"one",
    ),
    "swap, absent": (lambda s, r: s.compare_and_swap("/b", b"", r), False, None),
    "delete at revision": (lambda s, r: s.delete("/a", r), True, None),
    "delete, old revision": (lambda s, r: s.delete("/a", 1), False, b"one"),
    "unconditional delete": (lambda s, r: s.delete("/a"), True, None),
    "unconditional delete, absent": (lambda s, r: s.delete("/b"), False, None),
}


@pytest.mark.parametrize(
    ("write", "succeeds", "conflicting_value"), WRITES.values(), ids=WRITES
)
async def test_conditional_writes(write, succeeds, conflicting_value):
    """Guards against a write that ignores its condition or fails although it is met."""
    async with serving() as (server, store):
        before = (await store.create("/a", b"one")).revision
        outcome = await write(store, before)
        current = outcome.current.value if outcome.current else None
        assert (outcome.succeeded, current) == (succeeds, conflicting_value)
        assert outcome.revision == server.revision == before + succeeds
        assert await store.get("/nowhere") is None


async def test_prefix_returns_only_matching_keys():
    """Guards against a range that includes other keys or omits the last one."""
    async with serving() as (_, store):
        for key in ("/d/a", "/d/ÿ", "/e", "/c"):
            await store.create(key, key.encode())
        items = (await store.get_prefix("/d/")).items
        pairs = [(item.key, item.value.decode()) for item in items]
        assert pairs == [("/d/a", "/d/a"), ("/d/ÿ", "/d/ÿ")]


WRITE_FAULTS = {
    "store down": ({"down": True}, True, None),
    "response lost": ({"lose_answers": 1}, True, b"x"),
    "response delayed": ({"delay_s": 3600.0}, True, None),
}


@pytest.mark.parametrize(
    ("faults", "maybe_written", "stored_value"), WRITE_FAULTS.values(), ids=WRITE_FAULTS
)
async def test_failed_write_is_sent_once(faults, maybe_written, stored_value):
    """Guards against repeating a write whose response was lost."""
    short_cfg = dataclasses.replace(CFG, request_timeout=Duration(0.2))
    async with serving(short_cfg if "delay_s" in faults else CFG) as (server, store):
        server._set_faults(faults)
        with pytest.raises(StoreUnavailable) as caught:
            await store.create("/a", b"x")
        assert caught.value.maybe_written == maybe_written
        server._set_faults({"down": False, "delay_s": 0.0})
        assert server.calls["/v3/kv/txn"] == 1
        item = await store.get("/a")
        assert (item and item.value) == stored_value


async def test_unreachable_endpoint_is_skipped():
    """Guards against failed calls while only the first of several endpoints is down."""
    async with serving(first_endpoints=("http://127.0.0.1:1",)) as (_, store):
        assert (await store.create("/a", b"x")).succeeded
    async with EtcdStore(dataclasses.replace(CFG, endpoints=("http://[::1]:1",))) as s:
        with pytest.raises(StoreUnavailable) as caught:
            await s.create("/a", b"x")
        assert not caught.value.maybe_written


async def test_concurrent_calls_get_their_own_responses():
    """Guards against concurrent calls that receive the response to another call."""
    async with serving() as (_, store), trio.open_nursery() as nursery:

        async def write_and_read(key):
            await store.create(key, key.encode())
            assert (await store.get(key)).value == key.encode()

        for number in range(20):
            nursery.start_soon(write_and_read, f"/key/{number}")


async def test_oversized_value_is_rejected():
    """Guards against a rejection that is reported as an outage and retried forever."""
    async with serving() as (_, store):
        with pytest.raises(StoreRejected):
            await store.create("/a", b"x" * 2_000_000)


@pytest.mark.parametrize("revoked", [True, False], ids=["revoked", "expired"])
async def test_lease_end_deletes_its_keys(revoked):
    """Guards against keys that remain after their lease was revoked or has expired."""
    async with serving() as (server, store):
        lease = await store.grant_lease(10)
        outcome = await store.create("/here", b"x", lease.lease_id)
        assert await store.keep_alive(lease.lease_id) == lease
        if revoked:
            await store.revoke_lease(lease.lease_id)
        else:
            server.expire_lease(lease.lease_id)
        assert await store.get("/here") is None
        with pytest.raises(LeaseNotFound):
            await store.keep_alive(lease.lease_id)
        with pytest.raises(LeaseNotFound):
            await store.create("/here", b"x", lease.lease_id)
        await store.revoke_lease(lease.lease_id)
        assert server.revision == outcome.revision + 1


async def test_standin_lease_expires_without_renewal(autojump_clock):
    """Guards against a stand-in that does not expire leases that are not renewed."""
    server = StandinStore()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._expire_leases)
        server._grant({"TTL": "10", "ID": "1"})
        for pause, alive in ((9, True), (9, True), (11, False)):
            await trio.sleep(pause)
            assert ("TTL" in server._keep_alive({"ID": "1"})["result"]) is alive
        nursery.cancel_scope.cancel()


async def _interrupt_watches(server):
    server._set_faults({"down": True})
    await _wait_for_watches(server, 0)
    server._set_faults({"down": False})


async def _compact_during_outage(server):
    server._set_faults({"down": True})
    await _wait_for_watches(server, 0)
    key = {"key": "L3cvbG9zdA=="}
    server._txn({"success": [{"request_put": key | {"value": ""}}]})
    server._delete_range(key)
    server.compact(server.revision)
    server._set_faults({"down": False})


async def _mute_watches(server):
    server._set_faults({"mute_watches": True})
    await trio.testing.wait_all_tasks_blocked()
    server._set_faults({"mute_watches": False})


async def _wait_for_watches(server, count):
    while server.open_watches != count:
        await server.changed.wait()


async def _inject_nothing(server):
    pass


SHORT_WATCH_IDLE = dataclasses.replace(CFG, watch_idle=Duration(0.2))
WATCH_FAULTS = {
    "no fault": (_inject_nothing, CFG),
    "stream interrupted": (_interrupt_watches, CFG),
    "compacted": (_compact_during_outage, CFG),
    "stream muted": (_mute_watches, SHORT_WATCH_IDLE),
}


@pytest.mark.parametrize(
    ("inject_fault", "cfg"), WATCH_FAULTS.values(), ids=WATCH_FAULTS
)
async def test_watch_reports_each_change_once(inject_fault, cfg):
    """Guards against a lost or duplicate change when a watch is interrupted."""
    async with serving(cfg) as (server, store):
        await store.create("/w/a", b"x")
        async with store.watch("/w/") as watch:
            reported_keys = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_collect_keys, watch, reported_keys, 2)
                await _wait_for_watches(server, 1)
                await store.create("/w/m", b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_collect_keys, watch, reported_keys, 3)
                await inject_fault(server)
                await store.create("/w/b", b"x")
            await store.delete("/w/b")
            change = await _next_change(watch)
        await _wait_for_watches(server, 0)
        assert reported_keys == ["/w/a", "/w/m", "/w/b"]
        assert (change.key, change.item) == ("/w/b", None)


async def _collect_keys(watch, reported_keys, count):
    while len(reported_keys) < count:
        reported_keys.append((await _next_change(watch)).key)


async def _next_change(watch):
    with trio.fail_after(60):  # fails the test instead of hanging
        while True:
            try:
                return await anext(watch)
            except StoreUnavailable:
                await trio.sleep(0.001)
