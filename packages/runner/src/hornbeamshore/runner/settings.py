"""Settings of the agent side of direct dispatch."""

from dataclasses import dataclass, field

from hornbeamshore.base.settings import Duration
from hornbeamshore.wire.connection import WireSettings
from hornbeamshore.wire.leases import LeaseSettings


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Rules for ejecting a target from service after failures.

    Attributes
    ----------
    failures_in_a_row : int
        Number of different jobs that fail without a success in between before a
        target is ejected. A job counts once, because one that can never succeed fails
        on every target.
    stall_after : Duration
        Time without progress after which a run counts as stalled. It is longer than
        `poll_wait`, so that at least two polls have seen the same progress.
    max_stalled_attempts : int
        Number of attempts of a task that are stopped when they stall. Later attempts
        are not stopped, because a task that stalls on several targets may not report
        progress at all.
    first_pause, max_pause : Duration
        First and longest time out of service; it doubles with each failed probe.
    """

    failures_in_a_row: int = 2
    stall_after: Duration = Duration(0.5)
    max_stalled_attempts: int = 2
    first_pause: Duration = Duration(0.7)
    max_pause: Duration = Duration(3.0)


@dataclass(frozen=True, slots=True)
class RunnerSettings:
    """Settings of a `Runner`.

    Attributes
    ----------
    lease : LeaseSettings
        Leases that limit how long runs continue without contact; entries and agents
        must use equal values.
    wire : WireSettings
        Connections to entries.
    health : HealthSettings
        Rules for ejecting the target.
    poll_wait : Duration
        Longest time for which a poll waits at the target for a run to end. While the
        answer to a poll is lost, the agent neither learns of ends nor starts runs.
    call_timeout : Duration
        Time within which a target must answer a call.
    call_connections : int
        Number of connections for starts and stops.
    max_entries : int
        Largest number of entries that an agent connects to. If there are more,
        rendezvous hashing selects them, so that the number of connections grows
        linearly with the number of hosts and not quadratically.
    max_near_entries : int
        Largest number of these that are chosen for being in the same data centre.
    trial_time : Duration
        Time after the start of an isolated run in which no other run is started.
    loss_retention : Duration
        Time for which losses of the target are reported to entries that connect.
    crash_confirmation : Duration
        Time after the loss of a silent target within which another incarnation in its
        place shows that it had crashed; longer than a target takes to restart.
    end_retention : Duration
        Time for which results are kept for a disconnected entry; longer than the
        longest deadline of a job.
    takeover_retry : Duration
        Pause between attempts to take over a target.
    leave_notice : Duration
        Time for which an agent without runs goes on after a planned stop has begun.
        Entries learn of the stop meanwhile, and the orders that they have sent before
        are refused; they could not rule out the start of an unanswered order.
    leave_timeout : Duration
        Time that runs have to end after a planned stop of the agent has begun.
    exit_timeout : Duration
        Time after which the agent ends even if its target has not answered all stops;
        shorter than the 6 s after which the platform kills the process.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    wire: WireSettings = field(default_factory=WireSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    poll_wait: Duration = Duration(0.1)
    call_timeout: Duration = Duration(0.08)
    call_connections: int = 3
    max_entries: int = 16
    max_near_entries: int = 10
    trial_time: Duration = Duration(0.1)
    loss_retention: Duration = Duration(60.0)
    crash_confirmation: Duration = Duration(10.0)
    end_retention: Duration = Duration(20.0)
    takeover_retry: Duration = Duration(0.1)
    leave_notice: Duration = Duration(0.2)
    leave_timeout: Duration = Duration(4.5)
    exit_timeout: Duration = Duration(5.4)

    @property
    def certain_lease_s(self):
        """Seconds after an answer within which no lease of a run can have expired."""
        # The call that renewed the lease was sent before the answer.
        return self.lease.target_lease - self.poll_wait - self.call_timeout
