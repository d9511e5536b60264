"""Outlier detection: ejection of targets that fail or stall."""

import abc
import enum

from hornbeamshore.policy.types import Outcome


class Health(enum.Enum):
    """Health of a target; an ejected target gets no tasks, a probing one few."""

    OK = "ok"
    EJECTED = "ejected"
    PROBING = "probing"


class Outliers(abc.ABC):
    """Decides which targets are ejected and probed."""

    @abc.abstractmethod
    def add(self, agent_id):
        """Track a target, which is healthy at first."""

    @abc.abstractmethod
    def remove(self, agent_id):
        """Stop tracking a target."""

    @abc.abstractmethod
    def ended(self, agent_id, kind, outcome, now):
        """Record the outcome of a task on a target."""

    @abc.abstractmethod
    def stalled(self, agent_id, now):
        """Record that tasks on a target exceed their estimated run times by far."""

    @abc.abstractmethod
    def health(self, agent_id):
        """Return the `Health` of a target."""

    @abc.abstractmethod
    def success_rate(self, agent_id):
        """Return the moving average of the success rate of a target, from 0 to 1."""

    @abc.abstractmethod
    def due(self, now):
        """Start probing targets whose ejection time is over; return if any is."""


class _Record:
    __slots__ = ("health", "row", "rate", "pause", "until", "probes")

    def __init__(self):
        self.health = Health.OK
        self.row = 0.0
        self.rate = 1.0
        self.pause = 0.0
        self.until = 0.0
        self.probes = 0


class FailureOutliers(Outliers):
    """Ejects targets by consecutive failures and by success rate.

    The ejection time doubles with each failed probe. A refusal counts as a failure:
    a target that refuses all tasks immediately appears idle and would attract all
    work, as one that fails all tasks does.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._records = {}
        self._out = set()
        self._kind_failures = {}

    def add(self, agent_id):
        """Track a target, which is healthy at first."""
        self._records.setdefault(agent_id, _Record())

    def remove(self, agent_id):
        """Stop tracking a target."""
        self._records.pop(agent_id, None)
        self._out.discard(agent_id)

    def ended(self, agent_id, kind, outcome, now):
        """Record the outcome of a task on a target."""
        record = self._records.get(agent_id)
        if record is None or outcome is Outcome.CANCELLED:
            return
        failure = self._kind_failures.get(kind, 0.0)
        failed = outcome is not Outcome.OK
        if outcome is not Outcome.REFUSED:
            gain = (failed - failure) / self._cfg.kind_window
            self._kind_failures[kind] = failure + gain
        if failed:
            self._note_failure(agent_id, record, 1.0 - failure, now)
        else:
            self._note_success(agent_id, record)

    def stalled(self, agent_id, now):
        """Record that tasks on a target exceed their estimated run times by far."""
        record = self._records[agent_id]
        if record.health is Health.OK and self._may_eject():
            self._eject(agent_id, record, now)

    def health(self, agent_id):
        """Return the `Health` of a target."""
        return self._records[agent_id].health

    def success_rate(self, agent_id):
        """Return the moving average of the success rate of a target, from 0 to 1."""
        return self._records[agent_id].rate

    def due(self, now):
        """Start probing targets whose ejection time is over; return if any is."""
        moved = False
        for agent_id in self._out:
            record = self._records[agent_id]
            if record.health is Health.EJECTED and record.until <= now:
                record.health = Health.PROBING
                record.probes = 0
                moved = True
        return moved

    def _note_success(self, agent_id, record):
        record.row = 0.0
        record.rate += (1.0 - record.rate) / self._cfg.window
        if record.health is not Health.PROBING:
            return
        record.probes += 1
        if record.probes >= self._cfg.probes:
            record.health = Health.OK
            record.rate = 1.0
            record.pause = 0.0
            self._out.discard(agent_id)

    def _note_failure(self, agent_id, record, weight, now):
        # The weight is low for a kind that fails everywhere: the target is no outlier.
        record.row += weight
        record.rate -= weight * record.rate / self._cfg.window
        failing = (
            record.row >= self._cfg.consecutive_failures
            or record.rate < self._cfg.min_success_rate
        )
        if record.health is Health.OK and not (failing and self._may_eject()):
            return
        if record.health is not Health.EJECTED:
            self._eject(agent_id, record, now)

    def _may_eject(self):
        return len(self._out) + 1 <= self._cfg.max_out * len(self._records)

    def _eject(self, agent_id, record, now):
        grown = max(self._cfg.first_pause, record.pause * 2)
        record.pause = min(grown, self._cfg.max_pause)
        record.until = now + record.pause
        record.health = Health.EJECTED
        self._out.add(agent_id)
