"""Store interface on top of the platform's store."""

import base64

import pytest

from hornbeamshore.platform.store import PlatformStore, StoreSettings
from hornbeamshore.store.base import (
    LeaseNotFound,
    StoreRejected,
    StoreUnavailable,
)

from .scripted_http import ScriptedApp, serving

ITEM = {
    "key": "a/1",
    "value": base64.b64encode(b"one").decode(),
    "revision": 7,
    "created": 7,
    "lease": 3,
    "currentRev": 9,
}


@pytest.mark.parametrize(
    ("call", "response", "expected"),
    [
        (("get", "a/1"), (200, ITEM), b"one"),
        (("get", "a/1"), (404, {"currentRev": 9}), None),
        (("get", "a/1"), (200, {**ITEM, "value": "%"}), b""),
        (("compare_and_swap", "a/1", b"x", 7), (200, {"revision": 10}), True),
        (("compare_and_swap", "a/1", b"x", 6), (412, {"items": [ITEM]}), False),
        (("compare_and_swap", "a/1", b"x", 6), (412, {"items": [None]}), False),
        (("compare_and_swap", "a/1", b"x", 7, 5), (404, {}), LeaseNotFound),
        (("keep_alive", 3), (404, {}), LeaseNotFound),
        (("get", "a/1"), (503, {}), StoreUnavailable),
        (("get", "a/1"), (429, {}), StoreUnavailable),
        (("get", "a/1"), (200, []), StoreUnavailable),
        (("compare_and_swap", "op/x", b"x", 0), (403, {}), StoreRejected),
        (("compare_and_swap", "a/1", b"x", 0), (410, {}), StoreRejected),
        (("get_prefix", "a/"), (404, {}), StoreRejected),
        (("get_prefix", "a/"), (410, {}), StoreRejected),
        (("get_prefix", "a/"), (412, {}), StoreRejected),
        (("get", "a/1"), (410, {}), StoreRejected),
        (("keep_alive", 3), (412, {}), StoreRejected),
    ],
)
async def test_store_responses(call, response, expected):
    """Guards against misinterpreting responses of the store."""
    async with (
        serving(ScriptedApp(response)) as address,
        PlatformStore(StoreSettings(address)) as store,
    ):
        method = getattr(store, call[0])
        if isinstance(expected, type):
            with pytest.raises(expected):
                await method(*call[1:])
            return
        result = await method(*call[1:])
        if call[0] == "get":
            assert (result and result.value) == expected
        else:
            assert result.succeeded is expected


async def test_unanswered_write_may_have_been_done(monkeypatch):
    """Guards against treating a write as not done when it may have been done."""
    monkeypatch.setattr("hornbeamshore.platform.store.CALL_TIMEOUT_S", 0.1)
    async with (
        serving(ScriptedApp((None, None))) as address,
        PlatformStore(StoreSettings(address)) as store,
    ):
        with pytest.raises(StoreUnavailable) as exc_info:
            await store.compare_and_swap("a/1", b"x", 0)
        assert exc_info.value.maybe_written


async def test_prefix_read_follows_all_pages():
    """Guards against dropping items after the first page."""
    second = {**ITEM, "key": "a/2"}
    app = ScriptedApp(
        (200, {"items": [ITEM], "hasMore": True, "currentRev": 9}),
        (200, {"items": [second], "hasMore": False, "currentRev": 12}),
    )
    async with (
        serving(app) as address,
        PlatformStore(StoreSettings(address)) as store,
    ):
        snapshot = await store.get_prefix("a/")
    assert [item.key for item in snapshot.items] == ["a/1", "a/2"]
    assert snapshot.revision == 9
    assert "after=a%2F1" in app.requests[1][1]


@pytest.mark.parametrize(
    ("responses", "expected"),
    [
        (
            [(200, {"events": [{**ITEM, "revision": 10}], "currentRev": 10})],
            [(7, b"one"), (10, b"one")],
        ),
        (
            [
                (200, {"events": [], "currentRev": 11}),
                (
                    200,
                    {
                        "events": [{"key": "a/1", "revision": 12, "removed": True}],
                        "currentRev": 12,
                    },
                ),
            ],
            [(7, b"one"), (12, None)],
        ),
        (
            [
                (410, {}),
                (200, {"items": [], "hasMore": False, "currentRev": 30}),
            ],
            [(7, b"one"), (30, None)],
        ),
    ],
    ids=["changed key", "removed key", "compacted history"],
)
async def test_watch_yields_each_change(responses, expected):
    """Guards against missing changes after an idle poll or compacted history."""
    first = (200, {"items": [ITEM], "hasMore": False, "currentRev": 9})
    async with (
        serving(ScriptedApp(first, *responses)) as address,
        PlatformStore(StoreSettings(address)) as store,
        store.watch("a/") as watch,
    ):
        received = []
        async for change in watch:
            value = change.item and change.item.value
            received.append((change.revision, value))
            if len(received) == len(expected):
                break
    assert received == expected
