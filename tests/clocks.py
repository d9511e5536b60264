"""Clock of the tests of leases and planned stops."""

import trio


class SuspendableClock:
    """Clock that includes suspensions, during which the timers of trio stand still.

    Attributes
    ----------
    suspended_s : float
        Seconds for which the host has been suspended.
    """

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return trio.current_time() + self.suspended_s
