"""Tests of the age of messages without synchronized clocks."""

import pytest
import trio
import trio.testing

from hornbeamshore.base.settings import Duration
from hornbeamshore.wire import connection
from hornbeamshore.wire.clocks import BOUND_VALIDITY_S, PeerClock
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import Heartbeat, StatusQuery

ENTRY = Identity("tayside", "entry", "entry-1", 1, "glasgow")
AGENT = Identity("tayside", "agent", "agent-1", 1, "glasgow")
CFG = connection.WireSettings(
    heartbeat_every=Duration(0.1), suspect_after=Duration(60.0)
)
# Difference between the clocks of the two processes.
OFFSET_S = 1000.0


@pytest.mark.parametrize(
    ("readings", "now", "expected_ms"),
    [
        ([], 5.0, 0),
        ([(9000, 1.0)], 5.0, 13_000),
        ([(9000, 1.0), (9500, 3.0)], 5.0, 13_000),
        ([(9000, 3.0), (9500, 3.2)], 5.0, 11_300),
        ([(9000, 1.0), (40_000, 33.0)], 34.0, 42_000),
        ([(9000, 1.0), (40_000, 33.0), (71_000, 65.0)], 66.0, 73_000),
    ],
    ids=["none", "one", "held up", "prompter", "kept", "renewed"],
)
def test_a_bound_of_the_clock_of_a_peer(readings, now, expected_ms):
    """Guards against a bound that is ahead of the peer's clock, or out of date."""
    assert BOUND_VALIDITY_S == 30.0
    clock = PeerClock()
    for reading_ms, received_at in readings:
        clock.observe(reading_ms, received_at)
    assert clock.bound_ms(now) == expected_ms


class HeldStream:
    """Memory stream whose data are not read while they are held."""

    def __init__(self, stream):
        self._stream = stream
        self.released = trio.Event()
        self.released.set()

    async def send_all(self, data):
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes):
        data = await self._stream.receive_some(max_bytes)
        await self.released.wait()
        return data


class RecordingHandler(connection.MessageHandler):
    """Records the ages of messages at their handling."""

    def __init__(self, clock):
        self._clock = clock
        self.ages_s = []

    def handle(self, conn, message):
        if not isinstance(message.body, Heartbeat):
            self.ages_s.append(self._clock() - conn.sent_at)


@pytest.mark.parametrize("held_s", [0.0, 0.5, 3.0])
@pytest.mark.parametrize("place", ["socket", "outbox", "decision"])
async def test_the_age_of_a_message_includes_the_time_for_which_it_was_held_up(
    autojump_clock, nursery, held_s, place
):
    """Guards against a message from before a suspension that counts as fresh.

    It may wait in the socket of the receiver or in the outbox of the sender, or be
    queued some time after what it says was decided.
    """
    entry_stream, agent_stream = trio.testing.memory_stream_pair()
    held_stream = HeldStream(agent_stream)
    suspended_s = 0.0

    def entry_clock():
        return trio.current_time() + OFFSET_S + suspended_s

    def agent_clock():
        return trio.current_time() + suspended_s

    entry = connection.Connection(entry_stream, AGENT, CFG, clock=entry_clock)
    agent = connection.Connection(held_stream, ENTRY, CFG, clock=agent_clock)
    handler = RecordingHandler(agent_clock)
    nursery.start_soon(entry.run, RecordingHandler(entry_clock))
    nursery.start_soon(agent.run, handler)
    await trio.sleep(1.0)
    if place == "socket":
        held_stream.released = trio.Event()
        entry.send(StatusQuery("status"))
        await trio.sleep(held_s)
        held_stream.released.set()
    elif place == "outbox":
        entry.send(StatusQuery("status"))
        suspended_s = held_s
    else:
        decided_at = entry_clock()
        suspended_s = held_s
        entry.send(StatusQuery("status"), decided_at=decided_at)
    await trio.sleep(0.05)
    (age_s,) = handler.ages_s
    assert held_s <= age_s <= held_s + 0.15
