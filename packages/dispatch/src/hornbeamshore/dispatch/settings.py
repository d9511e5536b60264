"""Settings of the entry side of direct dispatch."""

from dataclasses import dataclass, field

from hornbeamshore.base.settings import Duration
from hornbeamshore.policy.settings import RunTimeSettings
from hornbeamshore.wire.leases import LeaseSettings


@dataclass(frozen=True, slots=True)
class ContainmentSettings:
    """Settings for tasks and queues that crash targets.

    Attributes
    ----------
    suspect_age : Duration
        Time from the start of a run to the last answer of its target up to which it is
        a suspect when the target crashes.
    trial_time : Duration
        Time after the start of an isolated run in which its agent runs no other task
        that was ordered later; longer than `suspect_age`.
    suspect_losses : int
        Number of targets lost under a task from which it is a suspect in any case.
    max_suspicions : int
        Number of crashes for which a task is the likely cause before it is given up.
    max_crashes : int
        Number of targets that crashed under a task before it is given up in any case.
    max_losses : int
        Number of targets lost under a task, crashed or silent, after which it is not
        started again; `max_crashes` and the two starts that may follow them.
    max_unconfirmed : int
        Number of crashes for which a task would be the likely cause, but whose targets
        may not have been running it, before it is not started again.
    isolation_share, confinement_share : float
        Shares of the agents of a service for suspected tasks and for confined queues.
    watch_time : Duration
        Time after a crash for which the tasks of its queue prefer the agents of
        confined queues and other tasks avoid them, if they can.
    late_factor : float
        Multiple of the response-time objective after which the answer of a job is of
        no use to its caller; suspected tasks wait no longer for an agent.
    confinement_window : Duration
        Time within which crashes under the suspects of one queue confine the queue.
    confinement_crashes : int
        Least number of these crashes.
    confinement_crash_share : float
        Least number of these crashes as a fraction of the agents of the service.
    confinement_time : Duration
        Time after the last of these crashes for which the queue stays confined; longer
        than a target is away after a crash.
    confinement_retry_after : Duration
        Delay that a caller is asked to wait when a confined queue has no agent;
        targets are back some three seconds after a crash.
    pools_validity : Duration
        Time for which the agents that are set apart are used before they are chosen
        again.
    retention : Duration
        Time for which the loss of a target is remembered; longer than callers submit
        copies of a job.
    """

    suspect_age: Duration = Duration(0.05)
    trial_time: Duration = Duration(0.1)
    suspect_losses: int = 2
    max_suspicions: int = 2
    max_crashes: int = 3
    max_losses: int = 5
    max_unconfirmed: int = 2
    isolation_share: float = 0.1
    confinement_share: float = 0.33
    watch_time: Duration = Duration(6.0)
    late_factor: float = 3.0
    confinement_window: Duration = Duration(5.0)
    confinement_crashes: int = 3
    confinement_crash_share: float = 0.05
    confinement_time: Duration = Duration(6.0)
    confinement_retry_after: Duration = Duration(3.0)
    pools_validity: Duration = Duration(0.5)
    retention: Duration = Duration(60.0)


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings of a `Coordinator`.

    Attributes
    ----------
    data_centre : str
        Data centre of this entry. Among otherwise equal targets, those in the same
        data centre are preferred.
    lease : LeaseSettings
        Leases that limit how long runs continue without contact; entries and agents
        must use equal values.
    run_times : RunTimeSettings
        Settings of the estimator for run times of queues and speeds of targets.
    containment : ContainmentSettings
        Settings for tasks and queues that crash targets.
    fairness_window : Duration
        Time constant of the decaying sum of work by which the capacity that queues
        have used is compared.
    patience : float
        Fraction of a job's response-time objective for which it waits before newer
        jobs of its queue are scheduled first. The platform counts a rejection as late
        after the same fraction.
    job_size_gain : float
        Weight of the newest job in the moving average of the job size of a queue.
    max_headroom_share : float
        Upper bound of the headroom for one queue as a fraction of the capacity, so
        that less urgent queues are served on a small fleet or when urgent jobs are
        very large.
    headroom_memory : Duration
        Time after the last job of a queue for which headroom is reserved for it.
    overhead : Duration
        Part of the response time that is not spent on a target.
    degraded_factor : float
        Slowness (ratio of the run times on a target to those on an average target),
        relative to the median slowness, above which a target counts as degraded.
        Healthy targets of one service differ by a factor of up to 2.2.
    overdue_factor : float
        Multiple of the expected run time after which an unfinished run is passed to
        the estimator as an observation of its target. Declared run times alone are
        off by a factor of 1.4.
    speed_tolerance : float
        Ratio between the slowness of successive speed classes; targets of one class
        count as equally fast.
    speeds_validity : Duration
        Time for which the least and the median slowness of a service are used before
        they are worked out again.
    far_load_penalty : float
        Fraction of its capacity by which an agent of another data centre must be less
        loaded than one in the same data centre to be preferred.
    max_silence : Duration
        Silence of an agent above which others are preferred, since its connection may
        be lost; longer than the interval of idle heartbeats.
    retry_after : Duration
        Delay that a caller rejected for overload is asked to wait.
    tick : Duration
        Interval at which waiting jobs are checked.
    idle_tick : Duration
        Interval at which lost agents and overdue runs are checked.
    suspension_threshold : Duration
        Gap between two ticks above which the log says that the process was suspended
        or did not get the processor.
    avoid_time : Duration
        Time for which a task is not placed again on an agent where its run did not
        succeed.
    """

    data_centre: str = ""
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    run_times: RunTimeSettings = field(
        default_factory=lambda: RunTimeSettings(
            declared_deviation=0.4, pair_deviation=0.05, noise=0.3
        )
    )
    containment: ContainmentSettings = field(default_factory=ContainmentSettings)
    fairness_window: Duration = Duration(5.0)
    patience: float = 0.25
    job_size_gain: float = 0.1
    max_headroom_share: float = 0.25
    headroom_memory: Duration = Duration(2.0)
    overhead: Duration = Duration(0.02)
    degraded_factor: float = 3.0
    overdue_factor: float = 2.5
    speed_tolerance: float = 1.15
    speeds_validity: Duration = Duration(0.5)
    far_load_penalty: float = 0.15
    max_silence: Duration = Duration(1.2)
    retry_after: Duration = Duration(1.0)
    tick: Duration = Duration(0.02)
    idle_tick: Duration = Duration(0.1)
    suspension_threshold: Duration = Duration(0.3)
    avoid_time: Duration = Duration(0.1)
