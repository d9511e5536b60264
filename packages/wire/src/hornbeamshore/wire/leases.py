"""Times on which entries and agents have to agree in direct dispatch."""

from dataclasses import dataclass

from hornbeamshore.base.settings import Duration


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Leases under which runs go on.

    Attributes
    ----------
    entry_lease : Duration
        Silence of an entry after which an agent stops the runs that it ordered. With
        `stop_time` it stays below the 1.3 s after which a caller that lost its
        answer submits the job again, at any entry.
    target_lease : Duration
        Time for which a target works on without hearing from its agent; the longest
        lease that targets of the platform grant.
    clock_error : float
        Share by which the clock of a target may be slow (2% on the platform).
    stop_time : Duration
        Time in which a stop has taken effect at a target that answers.
    """

    entry_lease: Duration = Duration(0.9)
    target_lease: Duration = Duration(1.0)
    clock_error: float = 0.02
    stop_time: Duration = Duration(0.2)

    @property
    def target_silence_s(self):
        """Return the seconds after its last call when a silent target runs nothing."""
        return self.target_lease * (1 + self.clock_error) + self.stop_time

    @property
    def agent_silence_s(self):
        """Return the seconds after its last message when a lost agent runs nothing."""
        return self.entry_lease + max(self.stop_time, self.target_silence_s)
