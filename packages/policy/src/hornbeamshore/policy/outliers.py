"""Outlier detection: ejection of targets that fail or stall."""

import abc
import enum

from hornbeamshore.policy.types import Outcome


class Health(enum.Enum):
    """Health of a target; an ejected target gets no tasks, a probing one few."""

    OK = "ok"
    EJECTED = "ejected"
    PROBING = "probing"


class OutlierDetector(abc.ABC):
    """Decides which targets are ejected and probed."""

    @abc.abstractmethod
    def add(self, agent_id):
        """Track a target, which is healthy at first."""

    @abc.abstractmethod
    def remove(self, agent_id):
        """Stop tracking a target."""

    @abc.abstractmethod
    def record_outcome(self, agent_id, kind, outcome, now):
        """Record the outcome of a task on a target."""

    @abc.abstractmethod
    def record_stall(self, agent_id, now):
        """Record that tasks on a target exceed their estimated run times by far."""

    @abc.abstractmethod
    def health(self, agent_id):
        """Return the `Health` of a target."""

    @abc.abstractmethod
    def success_rate(self, agent_id):
        """Return the moving average of the success rate of a target, from 0 to 1."""

    @abc.abstractmethod
    def start_probes(self, now):
        """Probe targets whose ejection time is over; return whether there are any."""


class _TargetRecord:
    """Failure statistics and ejection state of one target."""

    __slots__ = (
        "health",
        "consecutive_failures",
        "success_rate",
        "ejection_s",
        "probe_at",
        "successful_probes",
    )

    def __init__(self):
        self.health = Health.OK
        self.consecutive_failures = 0.0
        self.success_rate = 1.0
        self.ejection_s = 0.0
        self.probe_at = 0.0
        self.successful_probes = 0


class FailureOutlierDetector(OutlierDetector):
    """Ejects targets by consecutive failures and by success rate.

    The ejection time doubles with each failed probe. A refusal counts as a failure:
    a target that refuses all tasks immediately appears idle and would attract all
    work, as one that fails all tasks does.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._records = {}
        self._unhealthy = set()
        self._kind_failure_rates = {}

    def add(self, agent_id):
        """Track a target, which is healthy at first."""
        self._records.setdefault(agent_id, _TargetRecord())

    def remove(self, agent_id):
        """Stop tracking a target."""
        self._records.pop(agent_id, None)
        self._unhealthy.discard(agent_id)

    def record_outcome(self, agent_id, kind, outcome, now):
        """Record the outcome of a task on a target."""
        record = self._records.get(agent_id)
        if record is None or outcome is Outcome.CANCELLED:
            return
        kind_failure_rate = self._kind_failure_rates.get(kind, 0.0)
        failed = outcome is not Outcome.OK
        if outcome is not Outcome.REFUSED:
            change = (failed - kind_failure_rate) / self._cfg.kind_window
            self._kind_failure_rates[kind] = kind_failure_rate + change
        if failed:
            self._record_failure(agent_id, record, 1.0 - kind_failure_rate, now)
        else:
            self._record_success(agent_id, record)

    def record_stall(self, agent_id, now):
        """Record that tasks on a target exceed their estimated run times by far."""
        record = self._records[agent_id]
        if record.health is Health.OK and self._may_eject():
            self._eject(agent_id, record, now)

    def health(self, agent_id):
        """Return the `Health` of a target."""
        return self._records[agent_id].health

    def success_rate(self, agent_id):
        """Return the moving average of the success rate of a target, from 0 to 1."""
        return self._records[agent_id].success_rate

    def start_probes(self, now):
        """Probe targets whose ejection time is over; return whether there are any."""
        any_started = False
        for agent_id in self._unhealthy:
            record = self._records[agent_id]
            if record.health is Health.EJECTED and record.probe_at <= now:
                record.health = Health.PROBING
                record.successful_probes = 0
                any_started = True
        return any_started

    def _record_success(self, agent_id, record):
        record.consecutive_failures = 0.0
        record.success_rate += (1.0 - record.success_rate) / self._cfg.window
        if record.health is not Health.PROBING:
            return
        record.successful_probes += 1
        if record.successful_probes >= self._cfg.probes:
            record.health = Health.OK
            record.success_rate = 1.0
            record.ejection_s = 0.0
            self._unhealthy.discard(agent_id)

    def _record_failure(self, agent_id, record, weight, now):
        # The weight is low for a kind that fails everywhere: the target is no outlier.
        record.consecutive_failures += weight
        record.success_rate -= weight * record.success_rate / self._cfg.window
        failing = (
            record.consecutive_failures >= self._cfg.consecutive_failures
            or record.success_rate < self._cfg.min_success_rate
        )
        if record.health is Health.OK and not (failing and self._may_eject()):
            return
        if record.health is not Health.EJECTED:
            self._eject(agent_id, record, now)

    def _may_eject(self):
        return len(self._unhealthy) + 1 <= self._cfg.max_out * len(self._records)

    def _eject(self, agent_id, record, now):
        next_ejection_s = max(self._cfg.first_pause, record.ejection_s * 2)
        record.ejection_s = min(next_ejection_s, self._cfg.max_pause)
        record.probe_at = now + record.ejection_s
        record.health = Health.EJECTED
        self._unhealthy.add(agent_id)
