"""Detection of stalled runs from the progress that their target reports."""

# Percentage points by which a run must be behind its average pace to count as stalled.
# A long task, whose percentage rarely changes, would otherwise be stopped by mistake.
MIN_OVERDUE_STEPS = 5


class Progress:
    """Progress of one run, timed by the monotonic clock of its target.

    The clock of the agent would include the time for which the agent itself was
    suspended between two answers.
    """

    __slots__ = ("_first_ms", "_first_percent", "_changed_ms", "_percent")

    def __init__(self, percent, clock_ms):
        self._first_percent = self._percent = percent
        self._first_ms = self._changed_ms = clock_ms

    def update(self, percent, clock_ms):
        """Record a reading; one that is not higher than the last is ignored."""
        if percent > self._percent:
            self._percent = percent
            self._changed_ms = clock_ms

    def is_stalled(self, clock_ms, stall_ms):
        """Return whether the run makes no progress.

        Parameters
        ----------
        clock_ms : float
            Current reading of the target's monotonic clock, in milliseconds.
        stall_ms : float
            Shortest time without progress that counts as a stall, in milliseconds. It
            is longer for a run whose average pace is slow.
        """
        unchanged_ms = clock_ms - self._changed_ms
        steps = self._percent - self._first_percent
        mean_step_ms = (self._changed_ms - self._first_ms) / steps if steps else 0.0
        return unchanged_ms > max(stall_ms, MIN_OVERDUE_STEPS * mean_step_ms)
