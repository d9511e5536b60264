"""Ejection of targets that fail or stall."""

import abc
import enum

from hornbeamshore.policy.types import Outcome


class Health(enum.Enum):
    """State of a target for placement."""

    OK = "ok"
    EJECTED = "ejected"
    PROBING = "probing"


class Outliers(abc.ABC):
    """Decides which targets get work."""

    @abc.abstractmethod
    def add(self, agent_id):
        """Watch a target."""

    @abc.abstractmethod
    def remove(self, agent_id):
        """Forget a target."""

    @abc.abstractmethod
    def ended(self, agent_id, kind, outcome, now):
        """Note how a task ended on a target."""

    @abc.abstractmethod
    def stalled(self, agent_id, now):
        """Note that the tasks of a target run far beyond their estimates."""

    @abc.abstractmethod
    def health(self, agent_id):
        """Return the `Health` of a target."""

    @abc.abstractmethod
    def success_rate(self, agent_id):
        """Return the recent share of successes of a target."""

    @abc.abstractmethod
    def due(self, now):
        """Move targets whose pause has ended to probing; return whether any did."""


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
    """Ejects by failures in a row and by success rate; probes with growing pauses.

    A refusal counts as a failure here: a target that refuses everything at once
    looks as idle as one that fails everything.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._records = {}
        self._out = set()
        self._kind_failures = {}

    def add(self, agent_id):
        """Watch a target."""
        self._records.setdefault(agent_id, _Record())

    def remove(self, agent_id):
        """Forget a target."""
        self._records.pop(agent_id, None)
        self._out.discard(agent_id)

    def ended(self, agent_id, kind, outcome, now):
        """Note how a task ended on a target."""
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
        """Note that the tasks of a target run far beyond their estimates."""
        record = self._records[agent_id]
        if record.health is Health.OK and self._may_eject():
            self._eject(agent_id, record, now)

    def health(self, agent_id):
        """Return the `Health` of a target."""
        return self._records[agent_id].health

    def success_rate(self, agent_id):
        """Return the recent share of successes of a target."""
        return self._records[agent_id].rate

    def due(self, now):
        """Move targets whose pause has ended to probing; return whether any did."""
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
        # A kind that fails everywhere says little about the target.
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
