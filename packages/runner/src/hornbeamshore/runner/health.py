"""Ejection of a failing target by the agent on its host."""

import abc


class TargetHealth(abc.ABC):
    """Decides from the results of runs whether the target receives new runs."""

    @abc.abstractmethod
    def record_success(self):
        """Record a run that succeeded."""

    @abc.abstractmethod
    def record_failure(self, job_id, now):
        """Record a run that failed, or a start that failed or was not answered."""

    @abc.abstractmethod
    def record_stall(self, now):
        """Record that a run has stalled."""

    @abc.abstractmethod
    def is_ejected(self, now):
        """Return whether the target is ejected and receives no runs."""

    @abc.abstractmethod
    def is_probing(self, now):
        """Return whether the target is probed with one run at a time."""


class ConsecutiveFailures(TargetHealth):
    """Ejects the target after consecutive failures of different jobs.

    After a pause the target is probed with one run at a time. A success ends the
    probing; a failure ejects the target again, for twice as long.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._failed_jobs = set()
        self._ejection_s = 0.0
        self._ejected_until = None

    def record_success(self):
        """Record a run that succeeded."""
        self._failed_jobs.clear()
        self._ejected_until = None
        self._ejection_s = 0.0

    def record_failure(self, job_id, now):
        """Record a run that failed, or a start that failed or was not answered."""
        self._failed_jobs.add(job_id)
        if self.is_ejected(now):
            return
        if self._ejected_until is not None or (
            len(self._failed_jobs) >= self._cfg.failures_in_a_row
        ):
            self._eject(now)

    def record_stall(self, now):
        """Record that a run has stalled."""
        if not self.is_ejected(now):
            self._eject(now)

    def is_ejected(self, now):
        """Return whether the target is ejected and receives no runs."""
        return self._ejected_until is not None and now < self._ejected_until

    def is_probing(self, now):
        """Return whether the target is probed with one run at a time."""
        return self._ejected_until is not None and now >= self._ejected_until

    def _eject(self, now):
        doubled = max(self._cfg.first_pause, self._ejection_s * 2)
        self._ejection_s = min(doubled, self._cfg.max_pause)
        self._ejected_until = now + self._ejection_s
