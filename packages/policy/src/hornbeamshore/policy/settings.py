"""Settings of the scheduling policies."""

from dataclasses import dataclass

from hornbeamshore.base.settings import Duration
from hornbeamshore.config.model import Urgency


@dataclass(frozen=True, slots=True)
class RunTimeSettings:
    """Settings of the run time estimator.

    All deviations are standard deviations of the natural logarithm.

    Attributes
    ----------
    declared_deviation : float
        Prior deviation of a declared run time, which can be wrong by a factor of 10.
    target_deviation : float
        Prior deviation of the speed of a new target; speeds differ by a factor of 4.
    pair_deviation : float
        Prior deviation of the run time of a kind on one target from the product of
        the estimates of the kind and the target.
    noise : float
        Deviation of the run times of one kind on one target.
    drift : float
        Deviation that each observation adds to an estimate, so that it can follow
        changes.
    max_pairs : int
        Maximum number of kind and target pairs with an estimate of their own.
    """

    declared_deviation: float = 1.3
    target_deviation: float = 0.5
    pair_deviation: float = 0.15
    noise: float = 0.4
    drift: float = 0.01
    max_pairs: int = 20_000


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the choice of a target.

    Attributes
    ----------
    far_delay : Duration
        Round-trip time added for a target in another data centre.
    overrun_share : float
        Expected remaining time of a task that has exceeded its estimate, as a
        fraction of its elapsed time.
    reserve_share : float
        Fraction of all slots, on the fastest targets, that flows above their
        entitlement must leave free.
    """

    far_delay: Duration = Duration(0.003)
    overrun_share: float = 0.3
    reserve_share: float = 0.1


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of fair queueing.

    Attributes
    ----------
    normal_share, background_share, excess_share : float
        Minimum service of a backlogged level, as a fraction of the work started from
        the levels with higher priority.
    urgent_weight, normal_weight : float
        Weight of the urgency class among flows above their entitlement; the weight
        of the background class is 1.
    headroom : float
        Ratio of the entitlement of a flow to its average demand.
    fair_floor : float
        Minimum entitlement of a flow, as a fraction of its fair share.
    burst : Duration
        Depth of the token bucket of a flow, as time at its entitlement.
    max_debt : Duration
        Maximum debt that a flow incurs when its tasks exceed their estimates, as
        time at its entitlement.
    promote_after : Duration
        Tokens that a flow above its entitlement must earn before it returns to the
        level of its class, as time at its entitlement. Without this hysteresis a
        flooding flow changes its level with each task.
    usual, served : Duration
        Time constants of the averages of demand and of service.
    forget : Duration
        Time constant with which average demand falls, and with which it grows
        during an overload; also the idle time after which a flow is removed.
    overload_backlog : Duration
        Backlog, as time at full capacity, above which the partition counts as
        overloaded and entitlements are enforced. Bursts at 80 % load queue up to
        0.7 s of work.
    overload_kept : Duration
        Time for which entitlements are enforced after the last sign of overload.
    count_every : Duration
        Maximum age of the cached work ahead of each class.
    """

    normal_share: float = 0.1
    background_share: float = 0.05
    excess_share: float = 0.02
    urgent_weight: float = 4.0
    normal_weight: float = 2.0
    headroom: float = 1.3
    fair_floor: float = 0.5
    burst: Duration = Duration(5.0)
    max_debt: Duration = Duration(1.0)
    promote_after: Duration = Duration(0.2)
    usual: Duration = Duration(20.0)
    served: Duration = Duration(2.0)
    forget: Duration = Duration(300.0)
    overload_backlog: Duration = Duration(1.0)
    overload_kept: Duration = Duration(2.0)
    count_every: Duration = Duration(0.02)

    def class_weight(self, urgency):
        """Return the weight of an urgency class among flows above their entitlement."""
        if urgency is Urgency.URGENT:
            return self.urgent_weight
        return self.normal_weight if urgency is Urgency.NORMAL else 1.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission control.

    Attributes
    ----------
    max_wait : Duration
        Maximum expected wait before the first task of a submission starts.
    no_target_retry : Duration
        Retry-After of a refusal while no target is available.
    """

    max_wait: Duration = Duration(2.0)
    no_target_retry: Duration = Duration(1.0)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of retries that are not part of the deployment file.

    Attributes
    ----------
    burst : float
        Capacity of the token bucket, in retries.
    max_backoff : Duration
        Maximum of the mean delay before a retry.
    """

    burst: float = 20.0
    max_backoff: Duration = Duration(2.0)


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Settings of outlier ejection.

    Attributes
    ----------
    max_out : float
        Maximum fraction of the targets that are ejected or probing at a time.
    consecutive_failures : float
        Number of consecutive failures after which a target is ejected.
    min_success_rate : float
        Success rate below which a target is ejected.
    window : float
        Number of tasks over which the success rate of a target is averaged.
    kind_window : float
        Number of tasks over which the failure rate of a kind is averaged.
    stall_after : Duration
        Minimum elapsed time of a stalled task.
    stall_factor : float
        Minimum ratio of elapsed time to estimated run time of a stalled task.
    first_pause, max_pause : Duration
        Time from the first ejection to the first probe, and the maximum of this
        time, which doubles with each failed probe.
    probes : int
        Number of successful probes after which a target is healthy again.
    """

    max_out: float = 0.34
    consecutive_failures: float = 3.0
    min_success_rate: float = 0.5
    window: float = 20.0
    kind_window: float = 50.0
    stall_after: Duration = Duration(2.0)
    stall_factor: float = 8.0
    first_pause: Duration = Duration(1.0)
    max_pause: Duration = Duration(60.0)
    probes: int = 3


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Settings of all policies of one dispatcher.

    Attributes
    ----------
    data_centre : str
        Data centre of the entry. For targets in other data centres, `far_delay` is
        added.
    """

    data_centre: str = ""
    run_times: RunTimeSettings = RunTimeSettings()
    placement: PlacementSettings = PlacementSettings()
    queue: QueueSettings = QueueSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retries: RetrySettings = RetrySettings()
    outliers: OutlierSettings = OutlierSettings()
