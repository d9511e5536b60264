"""Lease durations that entries and agents must agree on in direct dispatch.

In direct dispatch, an entry orders runs of tasks from an agent under a lease that each
message from the entry renews. The agent in turn renews the lease of its target.
"""

from dataclasses import dataclass

from hornbeamshore.base.settings import Duration


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Leases that limit how long runs continue without contact.

    Attributes
    ----------
    entry_lease : Duration
        Silence of an entry after which an agent stops the runs that the entry
        ordered. The sum with `stop_time` must be less than 1.3 s: a caller that has
        received no answer by then submits the job again, possibly to another entry.
    target_lease : Duration
        Time for which a target continues its runs without a call from its agent; the
        longest lease that targets of the platform grant.
    clock_error : float
        Maximum fraction by which the clock of a target may run slow; 2% on the
        platform.
    stop_time : Duration
        Time within which a stop takes effect at a target that responds to calls.
    """

    entry_lease: Duration = Duration(0.9)
    target_lease: Duration = Duration(1.0)
    clock_error: float = 0.02
    stop_time: Duration = Duration(0.2)

    @property
    def target_stop_bound_s(self):
        """Seconds without a lease renewal after which a target has no active runs."""
        return self.target_lease * (1 + self.clock_error) + self.stop_time

    @property
    def agent_stop_bound_s(self):
        """Seconds since its last message after which an agent has no active runs."""
        return self.entry_lease + max(self.stop_time, self.target_stop_bound_s)
