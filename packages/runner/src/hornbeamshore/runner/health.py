"""Ejection of a failing target by the agent on its host."""

import abc


class TargetHealth(abc.ABC):
    """Decides from the results of runs whether the target receives new runs."""

    @abc.abstractmethod
    def succeeded(self):
        """Record a run that succeeded."""

    @abc.abstractmethod
    def failed(self, job_id, now):
        """Record that a run failed, or that its start was not answered as expected."""

    @abc.abstractmethod
    def stalled(self, now):
        """Record that a run has stalled."""

    @abc.abstractmethod
    def is_ejected(self, now):
        """Return whether the target receives no runs."""

    @abc.abstractmethod
    def is_probing(self, now):
        """Return whether the target receives one run at a time."""


class FailuresInARow(TargetHealth):
    """Ejects the target after consecutive failures of different jobs.

    After a pause the target is probed with one run at a time. A success ends the
    probing; a failure ejects the target again, for twice as long.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._failed_jobs = set()
        self._pause = 0.0
        self._until = None

    def succeeded(self):
        """Record a run that succeeded."""
        self._failed_jobs.clear()
        self._until = None
        self._pause = 0.0

    def failed(self, job_id, now):
        """Record that a run failed, or that its start was not answered as expected."""
        self._failed_jobs.add(job_id)
        if self.is_ejected(now):
            return
        if self._until is not None or (
            len(self._failed_jobs) >= self._cfg.failures_in_a_row
        ):
            self._eject(now)

    def stalled(self, now):
        """Record that a run has stalled."""
        if not self.is_ejected(now):
            self._eject(now)

    def is_ejected(self, now):
        """Return whether the target receives no runs."""
        return self._until is not None and now < self._until

    def is_probing(self, now):
        """Return whether the target receives one run at a time."""
        return self._until is not None and now >= self._until

    def _eject(self, now):
        grown = max(self._cfg.first_pause, self._pause * 2)
        self._pause = min(grown, self._cfg.max_pause)
        self._until = now + self._pause
