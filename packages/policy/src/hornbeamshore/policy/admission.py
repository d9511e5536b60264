"""Refusal of submissions that would not be answered in time."""

import abc
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode, refuse

# A shorter Retry-After lets refused callers come back before anything changed.
MIN_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Forecast:
    """What the queue holds ahead of a submission.

    Attributes
    ----------
    capacity : float
        Work that open targets with the labels that the kind requires do each second.
    runnable : bool
        Whether a known target, open or not, has these labels.
    wait_s, last_wait_s : float
        Expected time until the first and the last task of the submission start.
    run_time_s : float
        Expected run time on the fastest target; 0 while only a declared one is known.
    quota_slots : int
        Slots that the team may use.
    quota_wait_s, last_quota_wait_s : float
        The same waits as far as the team's quota causes them.
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
    """Decides whether a submission enters the queue."""

    @abc.abstractmethod
    def check(self, load, forecast):
        """Return a `Refusal`, or None if the submission is accepted."""


class TimeBound(Admission):
    """Bounds the queue by expected time, not by length."""

    def __init__(self, cfg):
        self._cfg = cfg

    def check(self, load, forecast):
        """Return a `Refusal`, or None if the submission is accepted."""
        return (
            self._check_targets(load, forecast)
            or self._check_quota(load, forecast)
            or self._check_wait(load, forecast)
        )

    def _check_targets(self, load, forecast):
        if not forecast.runnable:
            return refuse(
                ResultCode.NEVER_RUNNABLE,
                f"kind {load.kind}: no target has the labels that it requires",
            )
        if forecast.capacity <= 0:
            pause = float(self._cfg.no_target_retry)
            return refuse(ResultCode.NO_TARGETS, retry_after_s=pause)
        return None

    def _check_quota(self, load, forecast):
        detail = f"team {load.team}: quota of {forecast.quota_slots} slots is used up"
        if not forecast.quota_slots:
            return refuse(ResultCode.QUOTA_EXCEEDED, detail)
        late = forecast.last_quota_wait_s + forecast.run_time_s - load.timeout_s
        late = max(late, forecast.quota_wait_s - self._cfg.max_wait)
        if late <= 0 or not forecast.quota_wait_s:
            return None
        return refuse(ResultCode.QUOTA_EXCEEDED, detail, retry_after_s=_pause(late))

    def _check_wait(self, load, forecast):
        late = forecast.last_wait_s + forecast.run_time_s - load.timeout_s
        if late > 0:
            # Waiting helps only where the queue, not the work itself, is too long.
            pause = _pause(late) if forecast.wait_s else 0.0
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE,
                f"expected to end {late:.3f} s after the deadline",
                retry_after_s=pause,
            )
        if forecast.wait_s > self._cfg.max_wait:
            return refuse(
                ResultCode.OVERLOADED,
                f"kind {load.kind}: {forecast.wait_s:.3f} s of work are queued",
                retry_after_s=_pause(forecast.wait_s - self._cfg.max_wait),
            )
        return None


def _pause(seconds):
    return max(MIN_PAUSE_S, seconds)
