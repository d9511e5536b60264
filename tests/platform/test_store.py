"""Store interface on top of the platform's store."""

import base64

import pytest

from hornbeamshore.platform.store import PlatformStore, StoreSettings
from hornbeamshore.store.base import (
    LeaseNotFound,
    StoreRejected,
    StoreUnavailable,
)

from .standin_http import StandIn, serving

ITEM = {
    "key": "a/1",
    "value": base64.b64encode(b"one").decode(),
    "revision": 7,
    "created": 7,
    "lease": 3,
    "currentRev": 9,
}


@pytest.mark.parametrize(
    ("call", "answer", "expected"),
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
    ],
)
async def test_answers_of_the_store(call, answer, expected):
    """Guards against misinterpreting responses of the store."""
    async with (
        serving(StandIn(answer)) as address,
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


async def test_a_lost_answer_to_a_write_is_told_as_such(monkeypatch):
    """Guards against treating a write as not done when it may have been done."""
    monkeypatch.setattr("hornbeamshore.platform.store.CALL_TIMEOUT_S", 0.1)
    async with (
        serving(StandIn((None, None))) as address,
        PlatformStore(StoreSettings(address)) as store,
    ):
        with pytest.raises(StoreUnavailable) as caught:
            await store.compare_and_swap("a/1", b"x", 0)
        assert caught.value.maybe_written


async def test_pages_are_read_to_the_end():
    """Guards against dropping items after the first page."""
    second = {**ITEM, "key": "a/2"}
    app = StandIn(
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
    ("answers", "expected"),
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
async def test_a_watch_tells_each_change(answers, expected):
    """Guards against missing changes after an idle poll or compacted history."""
    first = (200, {"items": [ITEM], "hasMore": False, "currentRev": 9})
    async with (
        serving(StandIn(first, *answers)) as address,
        PlatformStore(StoreSettings(address)) as store,
        store.watch("a/") as watch,
    ):
        seen = []
        async for change in watch:
            value = change.item and change.item.value
            seen.append((change.revision, value))
            if len(seen) == len(expected):
                break
    assert seen == expected
