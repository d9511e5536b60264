"""Choice of a target for a task."""

import abc

from hornbeamshore.policy.outliers import Health


class Placement(abc.ABC):
    """Chooses targets."""

    @abc.abstractmethod
    def begin(self, now):
        """Start a round of decisions at one moment."""

    @abc.abstractmethod
    def choose(self, kind, requires, targets, now):
        """Return the `Target` on which a task should start now, or None to wait."""


class EarliestEnd(Placement):
    """Takes the target that ends the task first, a busy one included.

    A task whose best target is busy stays in the queue and reserves the slot for
    the rest of the round, so that tasks behind it see what it will take.
    """

    def __init__(self, cfg, run_times, data_centre):
        self._cfg = cfg
        self._run_times = run_times
        self._data_centre = data_centre
        self._reserved = {}

    def begin(self, now):
        """Start a round of decisions at one moment."""
        self._reserved.clear()

    def choose(self, kind, requires, targets, now):
        """Return the `Target` on which a task should start now, or None to wait."""
        for _ in range(self._cfg.look_ahead):
            best, end = self._best(kind, requires, targets, now)
            if best is None or best.usable:
                return best
            self._reserved[best.agent_id] = end
        return None

    def _best(self, kind, requires, targets, now):
        best, best_end = None, float("inf")
        share = self._cfg.overrun_share
        for target in targets:
            if target.draining or target.health is Health.EJECTED:
                continue
            if not requires <= target.labels:
                continue
            free = self._reserved.get(target.agent_id)
            if free is None or target.usable:
                free = target.next_free(now, share)
            end = free + self._run_times.estimate(kind, target.agent_id)
            if target.info.data_centre != self._data_centre:
                end += self._cfg.far_delay
            if end < best_end:
                best, best_end = target, end
        return best, best_end
