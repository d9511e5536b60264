"""Refusal of submissions that would not be answered in time."""

import abc
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode, refuse


@dataclass(frozen=True, slots=True)
class Forecast:
    """What the queue holds ahead of a submission.

    Attributes
    ----------
    runnable, known : int
        Slots of the targets that are up, and of all known ones, with the labels
        that the kind requires.
    wait_s : float
        Expected time until the last task of the submission starts.
    run_time_s : float
        Expected run time of a task; 0 while only a declared one is known.
    quota_slots : int
        Slots that the team may use.
    quota_wait_s : float
        The part of the wait that the team's quota causes.
    """

    runnable: int
    known: int
    wait_s: float
    run_time_s: float
    quota_slots: int
    quota_wait_s: float


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
        if forecast.runnable:
            return None
        if forecast.known == 0:
            return refuse(
                ResultCode.NEVER_RUNNABLE,
                f"kind {load.kind}: no target has the labels that it requires",
            )
        return refuse(
            ResultCode.NO_TARGETS, retry_after_s=float(self._cfg.no_target_retry)
        )

    def _check_quota(self, load, forecast):
        bound = min(load.timeout_s, self._cfg.max_wait)
        if forecast.quota_slots and forecast.quota_wait_s <= bound:
            return None
        return refuse(
            ResultCode.QUOTA_EXCEEDED,
            f"team {load.team}: quota of {forecast.quota_slots} slots is used up",
            retry_after_s=_pause(forecast.quota_wait_s - bound),
        )

    def _check_wait(self, load, forecast):
        late = forecast.wait_s + forecast.run_time_s - load.timeout_s
        if late > 0:
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE,
                f"expected {late:.3f} s after the deadline",
                retry_after_s=_pause(late),
            )
        if forecast.wait_s > self._cfg.max_wait:
            return refuse(
                ResultCode.OVERLOADED,
                f"kind {load.kind}: {forecast.wait_s:.3f} s of work are queued",
                retry_after_s=_pause(forecast.wait_s - self._cfg.max_wait),
            )
        return None


def _pause(seconds):
    return max(0.05, seconds)
