"""Age of messages without synchronized clocks.

Each batch of messages carries the clock of its sender. A peer that has received some
therefore knows a lower bound of that clock at any later time, and stamps its own
batches with this bound. The receiver of a batch compares the stamp with its own clock:
the messages have been sent at that time or later. So a message that was held up, in a
network or in the socket of a process that was suspended or had no processor time, is
noticed whatever the order in which it is read.
"""

from dataclasses import dataclass

# The bound of a peer's clock is worked out anew within this time, so that a difference
# in the rates of the two clocks does not add up.
BOUND_VALIDITY_S = 30.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Clocks at the sending of a batch, in milliseconds; 0 if unknown.

    Attributes
    ----------
    sender_ms : int
        Clock of the sender.
    receiver_ms : int
        Lower bound of the clock of the receiver.
    """

    sender_ms: int = 0
    receiver_ms: int = 0


class PeerClock:
    """Lower bound of the clock of a peer, from the clock readings that it has sent.

    A reading that arrives with little delay gives a higher bound than one that was held
    up, so the highest one counts.
    """

    def __init__(self):
        self._offset_s = self._earlier_offset_s = None
        self._renewed_at = 0.0

    def observe(self, reading_ms, now):
        """Record a reading of the peer's clock, in ms, received at `now` or before."""
        offset_s = reading_ms / 1000 - now
        if self._offset_s is None or now - self._renewed_at > BOUND_VALIDITY_S:
            self._earlier_offset_s = self._offset_s
            self._offset_s = offset_s
            self._renewed_at = now
        self._offset_s = max(self._offset_s, offset_s)

    def bound_ms(self, now):
        """Return a lower bound of the peer's clock at `now`, in ms; 0 if unknown."""
        if self._offset_s is None:
            return 0
        offset_s = self._offset_s
        if self._earlier_offset_s is not None:
            offset_s = max(offset_s, self._earlier_offset_s)
        return max(0, int((now + offset_s) * 1000))
