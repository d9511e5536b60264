"""Fencing rules: which entry may own the agent's partition, and when."""

import pytest

from hornbeamshore.agent.fencing import Fencing
from hornbeamshore.base.codes import ResultCode
from hornbeamshore.wire.messages import Fence

OLD, NEW = ("entry-1", 1), ("entry-2", 1)
OLD_RESTARTED = ("entry-1", 2)
CLOSED = [("connection_closed", OLD, True)]
OK, STALE = ResultCode.OK, ResultCode.STALE_EPOCH
ALIVE, UNKNOWN = ResultCode.OWNER_ALIVE, ResultCode.UNKNOWN_SERVICE


def fence(epoch, *, partition="desk/0"):
    return Fence(partition, epoch)


# Events after OLD was granted epoch 5 at time 0; then the time, the peer, its fence and
# the expected code.
GRANT_CASES = {
    "owner heard at grant": ([], 1.0, NEW, fence(6), ALIVE),
    "silent owner": ([], 1.5, NEW, fence(6), OK),
    "renewed": ([("renew", OLD, "desk/0", 5, 1.0)], 2.0, NEW, fence(6), ALIVE),
    "long since renewed": ([("renew", OLD, "desk/0", 5, 1.0)], 2.5, NEW, fence(6), OK),
    "renewal by another": ([("renew", NEW, "desk/0", 5, 1.0)], 2.0, NEW, fence(6), OK),
    "renewal of lower epoch": (
        [("renew", OLD, "desk/0", 4, 1.0)],
        2.0,
        NEW,
        fence(6),
        OK,
    ),
    "renewal of other partition": (
        [("renew", OLD, "desk/1", 5, 1.0)],
        2.0,
        NEW,
        fence(6),
        OK,
    ),
    "reconnected, not renewed": (
        [("connection_opened", OLD)],
        1.5,
        NEW,
        fence(6),
        OK,
    ),
    "released": ([("release", OLD, "desk/0", 5)], 0.1, NEW, fence(6), OK),
    "released by another": ([("release", NEW, "desk/0", 5)], 0.1, NEW, fence(6), ALIVE),
    "release of lower epoch": (
        [("release", OLD, "desk/0", 4)],
        0.1,
        NEW,
        fence(6),
        ALIVE,
    ),
    "closed by owner, not refused": (CLOSED, 0.1, NEW, fence(6), ALIVE),
    "closed by owner, refused": (
        [*CLOSED, ("connection_refused", OLD)],
        0.1,
        NEW,
        fence(6),
        OK,
    ),
    "closed by owner, other entry refused": (
        [*CLOSED, ("connection_refused", NEW)],
        0.1,
        NEW,
        fence(6),
        ALIVE,
    ),
    "closed by agent, refused": (
        [("connection_closed", OLD, False), ("connection_refused", OLD)],
        0.1,
        NEW,
        fence(6),
        ALIVE,
    ),
    "closed by agent, not refused": (
        [("connection_closed", OLD, False)],
        0.1,
        NEW,
        fence(6),
        ALIVE,
    ),
    "owner reconnected": (
        [*CLOSED, ("connection_opened", OLD)],
        0.2,
        NEW,
        fence(6),
        ALIVE,
    ),
    "owner restarted": (
        [("connection_opened", OLD_RESTARTED)],
        0.2,
        NEW,
        fence(6),
        OK,
    ),
    "restarted owner, same epoch": ([], 9, OLD_RESTARTED, fence(5), STALE),
    "silent owner, same epoch": ([], 9, NEW, fence(5), STALE),
    "owner, higher epoch": ([], 0.1, OLD, fence(7), OK),
    "owner, reply lost": ([], 0.1, OLD, fence(5), OK),
    "owner, lower epoch": ([], 0.1, OLD, fence(4), STALE),
    "released, same epoch": ([("release", OLD, "desk/0", 5)], 1, OLD, fence(5), STALE),
    "paused, holder": ([("invalidate_grant",)], 0.1, OLD, fence(5), OK),
    "paused, candidate": ([("invalidate_grant",)], 0.1, NEW, fence(6), OK),
    "paused, lower epoch": ([("invalidate_grant",)], 0.1, NEW, fence(4), STALE),
    "other service": ([], 9, NEW, fence(6, partition="dies/0"), UNKNOWN),
}


@pytest.mark.parametrize(
    ("events", "now", "peer", "new_fence", "code"),
    GRANT_CASES.values(),
    ids=GRANT_CASES,
)
def test_fence_is_granted_only_if_owner_is_gone(events, now, peer, new_fence, code):
    """Guards against two concurrent owners and against needless ownership changes."""
    fencing = Fencing("desk", 1.5)
    assert fencing.grant(fence(5), OLD, 0.0) == OK
    for name, *args in events:
        options = {"by_peer": args.pop()} if name == "connection_closed" else {}
        getattr(fencing, name)(*args, **options)
    assert fencing.grant(new_fence, peer, now) == code
    assert fencing.epoch == (new_fence.epoch if code == OK else 5)
    assert fencing.holds_epoch(peer, new_fence.partition, new_fence.epoch) == (
        code == OK
    )


@pytest.mark.parametrize(
    ("peer", "partition", "epoch", "events"),
    [
        (OLD, "desk/0", 4, []),
        (OLD, "desk/0", 6, []),
        (OLD, "desk/1", 5, []),
        (NEW, "desk/0", 5, []),
        (OLD_RESTARTED, "desk/0", 5, []),
        (OLD, "desk/0", 5, ["invalidate_grant"]),
    ],
    ids=[
        "lower epoch",
        "epoch never granted",
        "other partition",
        "other entry",
        "other incarnation",
        "paused",
    ],
)
def test_commands_of_other_entries_are_rejected(peer, partition, epoch, events):
    """Guards against commands of an entry that is not or no longer the owner."""
    fencing = Fencing("desk", 1.5)
    fencing.grant(fence(5), OLD, 0.0)
    assert fencing.holds_epoch(OLD, "desk/0", 5)
    for name in events:
        getattr(fencing, name)()
    assert not fencing.holds_epoch(peer, partition, epoch)


@pytest.mark.parametrize(("now", "code"), [(100.0, ALIVE), (101.4, ALIVE), (101.5, OK)])
def test_restarted_agent_grants_no_fence_before_leases_expire(now, code):
    """Guards against a majority that counts an agent which lost its earlier grant."""
    fencing = Fencing("desk", 1.5, 100.0)
    assert fencing.grant(fence(5), NEW, now) == code
