"""Settings of the policies."""

from dataclasses import dataclass

from hornbeamshore.base.settings import Duration
from hornbeamshore.config.model import Urgency


@dataclass(frozen=True, slots=True)
class RunTimeSettings:
    """How run times are learned; deviations are of the natural logarithm.

    Attributes
    ----------
    declared_deviation : float
        Doubt about a declared run time; declared ones are off by up to 10 times.
    target_deviation : float
        Doubt about the speed of an unknown target; speeds differ by 4 times.
    pair_deviation : float
        How much a kind may depart from the speed of its target.
    noise : float
        Spread of the run times of one kind on one target.
    drift : float
        Deviation that kinds and targets may gain from one task to the next.
    max_pairs : int
        Bound of the memory for departures of kinds on targets.
    """

    declared_deviation: float = 1.3
    target_deviation: float = 0.5
    pair_deviation: float = 0.15
    noise: float = 0.4
    drift: float = 0.01
    max_pairs: int = 20_000


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How targets are chosen.

    Attributes
    ----------
    far_delay : Duration
        Round trip added for a target in another data centre.
    overrun_share : float
        Share of its elapsed time that a task beyond its estimate is expected to
        run on for.
    reserve_share : float
        Share of the slots, on the fastest targets, that flows above their
        entitlement leave free for others.
    """

    far_delay: Duration = Duration(0.003)
    overrun_share: float = 0.3
    reserve_share: float = 0.1


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """How the queue shares slots.

    Attributes
    ----------
    normal_share, background_share, excess_share : float
        Share of the work of the lanes before it that a waiting lane is owed.
    urgent_weight, normal_weight : float
        Weights among flows above their entitlement; background has 1.
    headroom : float
        Entitlement of a flow over its usual demand.
    fair_floor : float
        Entitlement of a flow without usual demand, over its fair share.
    burst : Duration
        Time for which unused entitlement is kept.
    promote_after : Duration
        Entitlement that a flow must have earned to be served by class again;
        without it a flooding flow changes its lane with each task.
    usual, served : Duration
        Time over which demand and service are averaged.
    forget : Duration
        Time over which usual demand falls, or grows during an overload.
    overload_backlog : Duration
        Queued work over capacity from which entitlements count, as they do when
        work is refused. Bursts at 0.8 of capacity queue up to 0.7 s.
    overload_kept : Duration
        Time for which they count after that.
    count_every : Duration
        Age up to which the count of work ahead is used again.
    """

    normal_share: float = 0.1
    background_share: float = 0.05
    excess_share: float = 0.02
    urgent_weight: float = 4.0
    normal_weight: float = 2.0
    headroom: float = 1.3
    fair_floor: float = 0.5
    burst: Duration = Duration(5.0)
    promote_after: Duration = Duration(0.2)
    usual: Duration = Duration(20.0)
    served: Duration = Duration(2.0)
    forget: Duration = Duration(300.0)
    overload_backlog: Duration = Duration(1.0)
    overload_kept: Duration = Duration(2.0)
    count_every: Duration = Duration(0.02)

    def class_weight(self, urgency):
        """Return the weight of a class among flows above their entitlement."""
        if urgency is Urgency.URGENT:
            return self.urgent_weight
        return self.normal_weight if urgency is Urgency.NORMAL else 1.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """When a submission is refused.

    Attributes
    ----------
    max_wait : Duration
        Bound of the queue of a flow, as time to its end.
    no_target_retry : Duration
        Retry-After while no target is up.
    """

    max_wait: Duration = Duration(2.0)
    no_target_retry: Duration = Duration(1.0)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bounds of retries that the deployment file does not set.

    Attributes
    ----------
    burst : float
        Most retries that a quiet time saves up.
    max_backoff : Duration
        Bound of the mean pause.
    """

    burst: float = 20.0
    max_backoff: Duration = Duration(2.0)


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """When a target is taken out and brought back.

    Attributes
    ----------
    max_out : float
        Share of the fleet that may be out at a time.
    consecutive_failures : float
        Failures in a row that eject a target.
    min_success_rate : float
        Recent share of successes under which a target is ejected.
    window : float
        Tasks over which the success rate is averaged.
    kind_window : float
        Tasks over which the failures of a kind are averaged.
    stall_after : Duration
        Least run time of a task that counts as stalled.
    stall_factor : float
        Run time over its estimate from which a task counts as stalled.
    first_pause, max_pause : Duration
        Pause before the first probe; it doubles for each failed probe.
    probes : int
        Probes that must succeed before a target is back in full.
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
        Of the entry itself; its targets are preferred, all else equal.
    """

    data_centre: str = ""
    run_times: RunTimeSettings = RunTimeSettings()
    placement: PlacementSettings = PlacementSettings()
    queue: QueueSettings = QueueSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retries: RetrySettings = RetrySettings()
    outliers: OutlierSettings = OutlierSettings()
