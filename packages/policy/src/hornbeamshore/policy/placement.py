"""Placement: choice of a target for a task."""

import abc
from dataclasses import dataclass

from hornbeamshore.policy.fleet import Target
from hornbeamshore.policy.outliers import Health

# Lower bound assumed for the correction factor of a kind on a target. The search
# stops at targets that are too slow even with this factor.
MIN_DEPARTURE = 0.7
REORDER_EVERY_S = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """Target for one task of a flow.

    Attributes
    ----------
    last : bool
        Whether to start the last queued task of the flow instead of the first,
        because all others complete earlier by waiting for faster targets.
    """

    target: Target
    last: bool = False


class Placement(abc.ABC):
    """Chooses targets for tasks."""

    @abc.abstractmethod
    def begin(self, now):
        """Start a round of choices, all with the same time `now`."""

    @abc.abstractmethod
    def choose(self, flow, now):
        """Return a `Choice` for a task to start now, or None to keep it queued."""

    def awaited(self):
        """Return the expected time of the first slot that tasks wait for, or None."""
        return


class EarliestEnd(Placement):
    """Chooses the target with the earliest completion, busy ones included.

    A task starts on the best free target unless faster busy targets can complete all
    queued tasks of the flow earlier, including the work that already waits for them.
    The check counts the tasks that each busy slot can complete in time instead of
    planning every task, so that its cost does not grow with the queue.
    """

    def __init__(self, cfg, run_times, fleet, data_centre):
        self._cfg = cfg
        self._run_times = run_times
        self._fleet = fleet
        self._data_centre = data_centre
        self._order = []
        self._free = []
        self._order_until = float("-inf")
        self._version = None
        self._capacity_before = {}
        self._waiting_work = 0.0
        self._awaited = None

    def begin(self, now):
        """Start a round of choices, all with the same time `now`."""
        self._waiting_work = 0.0
        self._awaited = None
        if now >= self._order_until or self._version != self._fleet.version:
            self._reorder(now)
        self._free = [target for target in self._order if target.usable]

    def choose(self, flow, now):
        """Return a `Choice` for a task to start now, or None to keep it queued."""
        base = self._run_times.base(flow.kind)
        departures = self._run_times.departures(flow.kind)
        target, end = self._best_free(flow, base, departures, now)
        if target is None:
            return None
        ahead = self._waiting_work / base
        needed = ahead + flow.queued
        most = self._capacity_before[target.agent_id] * (end - now) / base
        if needed > most:
            # Not the last task: in a steady flood the first one would starve.
            return Choice(target)
        better = self._ends_before(end, needed, flow.requires, base, departures, now)
        if better >= needed:
            self._waiting_work += flow.queued * base
            return None
        return Choice(target, last=better >= ahead + 1)

    def awaited(self):
        """Return the expected time of the first slot that tasks wait for, or None."""
        return self._awaited

    def _reorder(self, now):
        self._version = self._fleet.version
        self._order_until = now + REORDER_EVERY_S
        for target in self._fleet.targets():
            near = target.info.data_centre == self._data_centre
            target.delay = 0.0 if near else float(self._cfg.far_delay)
        is_open = [target for target in self._fleet.targets() if target.open]
        self._order = sorted(is_open, key=lambda target: target.factor)
        total = 0.0
        for target in self._order:
            total += target.info.slots / (target.factor * MIN_DEPARTURE)
            self._capacity_before[target.agent_id] = total

    def _best_free(self, flow, base, departures, now):
        best, best_end = None, float("inf")
        requires, excess = flow.requires, flow.excess
        for target in self._free:
            usable = target.usable
            if not usable or (excess and usable <= target.reserve):
                continue
            run = base * target.factor
            if now + run * MIN_DEPARTURE >= best_end:
                break
            if requires and not requires <= target.labels:
                continue
            end = now + run * departures.get(target.agent_id, 1.0) + target.delay
            if end < best_end:
                best, best_end = target, end
        return best, best_end

    def _ends_before(self, end, needed, requires, base, departures, now):
        """Return how many tasks busy slots can complete before `end`.

        The count stops when it reaches `needed`.
        """
        count = 0
        share = self._cfg.overrun_share
        for target in self._order:
            run = base * target.factor
            if now + run * MIN_DEPARTURE >= end:
                break
            # A probing target runs no other task when a running one ends.
            if target.usable or target.health is Health.PROBING:
                continue
            if requires and not requires <= target.labels:
                continue
            run *= departures.get(target.agent_id, 1.0)
            spare = end - target.delay - run
            for free in target.ends(now, share):
                if free >= spare:
                    break
                count += 1 + int((spare - free) / run)
                if count >= needed:
                    self._await(free)
                    return count
        return count

    def _await(self, moment):
        if self._awaited is None or moment < self._awaited:
            self._awaited = moment
