"""Admission control, based on expected waiting times."""

import abc
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode, refuse

# With a shorter Retry-After, refused callers retry before the queue has changed.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected capacity and waiting times for a submission.

    Work is measured in seconds on a target of average speed.

    Attributes
    ----------
    capacity : float
        Work per second of the targets that accept tasks and have the labels
        required by the kind.
    runnable : bool
        Whether any known target has these labels, even if it accepts no tasks.
    wait_s, last_wait_s : float
        Expected time until the first and the last task of the submission start.
        The latter is 0 while only the declared run time is known.
    run_time_s : float
        Expected run time on the fastest target; 0 while only the declared run time
        is known.
    quota_slots : int
        Maximum number of slots that the team may use.
    quota_wait_s, last_quota_wait_s : float
        Expected time until the first and the last task may start under the quota of
        the team. The latter is 0 while only the declared run time is known.
    """

    capacity: float
    runnable: bool
    wait_s: float = 0.0
    last_wait_s: float = 0.0
    run_time_s: float = 0.0
    quota_slots: int = 0
    quota_wait_s: float = 0.0
    last_quota_wait_s: float = 0.0


class Admission(abc.ABC):
    """Decides whether a submission is accepted."""

    @abc.abstractmethod
    def check(self, load, forecast):
        """Return a `Refusal`, or None to accept the submission."""


class ExpectedWaitAdmission(Admission):
    """Refuses submissions by their expected waiting time, not by queue length."""

    def __init__(self, cfg):
        self._cfg = cfg

    def check(self, load, forecast):
        """Return a `Refusal`, or None to accept the submission."""
        return (
            self._check_targets(load, forecast)
            or self._check_quota(load, forecast)
            or self._check_wait(load, forecast)
        )

    def _check_targets(self, load, forecast):
        if not forecast.runnable:
            return refuse(
                ResultCode.NEVER_RUNNABLE,
                f"kind {load.kind}: no target has the required labels",
            )
        if forecast.capacity <= 0:
            retry_after_s = float(self._cfg.no_target_retry)
            return refuse(ResultCode.NO_TARGETS, retry_after_s=retry_after_s)
        return None

    def _check_quota(self, load, forecast):
        detail = f"team {load.team}: quota of {forecast.quota_slots} slots is exhausted"
        if not forecast.quota_slots:
            return refuse(ResultCode.QUOTA_EXCEEDED, detail)
        late_s = forecast.last_quota_wait_s + forecast.run_time_s - load.timeout_s
        late_s = max(late_s, forecast.quota_wait_s - self._cfg.max_wait)
        if late_s <= 0 or not forecast.quota_wait_s:
            return None
        return refuse(
            ResultCode.QUOTA_EXCEEDED, detail, retry_after_s=_retry_after(late_s)
        )

    def _check_wait(self, load, forecast):
        late_s = forecast.last_wait_s + forecast.run_time_s - load.timeout_s
        if late_s > 0:
            # Without a queue the run time alone exceeds the deadline, and a retry
            # would not help.
            retry_after_s = _retry_after(late_s) if forecast.wait_s else 0.0
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE,
                f"expected completion is {late_s:.3f} s after the deadline",
                retry_after_s=retry_after_s,
            )
        if forecast.wait_s > self._cfg.max_wait:
            return refuse(
                ResultCode.OVERLOADED,
                f"kind {load.kind}: expected wait is {forecast.wait_s:.3f} s",
                retry_after_s=_retry_after(forecast.wait_s - self._cfg.max_wait),
            )
        return None


def _retry_after(seconds):
    return max(MIN_RETRY_AFTER_S, seconds)
