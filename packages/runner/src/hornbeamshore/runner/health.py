"""Ejection of the target by the agent beside it."""

import abc


class TargetHealth(abc.ABC):
    """Decides from the ends of runs whether the target gets work."""

    @abc.abstractmethod
    def succeeded(self):
        """Note a run that ended well."""

    @abc.abstractmethod
    def failed(self, job_id, now):
        """Note a run that failed, or a start that the target refused as unhealthy."""

    @abc.abstractmethod
    def stalled(self, now):
        """Note that the runs of the target make no progress."""

    @abc.abstractmethod
    def is_ejected(self, now):
        """Return whether the target gets no work at all."""

    @abc.abstractmethod
    def is_probing(self, now):
        """Return whether the target gets one run at a time."""


class FailuresInARow(TargetHealth):
    """Ejects after failures of different jobs in a row; probes after a pause."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._failed_jobs = set()
        self._pause = 0.0
        self._until = None

    def succeeded(self):
        """Note a run that ended well."""
        self._failed_jobs.clear()
        self._until = None
        self._pause = 0.0

    def failed(self, job_id, now):
        """Note a run that failed, or a start that the target refused as unhealthy."""
        self._failed_jobs.add(job_id)
        if self.is_ejected(now):
            return
        if self._until is not None or (
            len(self._failed_jobs) >= self._cfg.failures_in_a_row
        ):
            self._eject(now)

    def stalled(self, now):
        """Note that the runs of the target make no progress."""
        if not self.is_ejected(now):
            self._eject(now)

    def is_ejected(self, now):
        """Return whether the target gets no work at all."""
        return self._until is not None and now < self._until

    def is_probing(self, now):
        """Return whether the target gets one run at a time."""
        return self._until is not None and now >= self._until

    def _eject(self, now):
        grown = max(self._cfg.first_pause, self._pause * 2)
        self._pause = min(grown, self._cfg.max_pause)
        self._until = now + self._pause
