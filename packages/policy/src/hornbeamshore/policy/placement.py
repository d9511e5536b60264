"""Choice of a target for a task."""

import abc
from dataclasses import dataclass

from hornbeamshore.policy.fleet import Target

# A kind departs from the slowness of its target by less than this factor, which
# lets the search stop at targets that are too slow even if they are free.
MIN_DEPARTURE = 0.7
REORDER_EVERY_S = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """Target for one task of a flow.

    Attributes
    ----------
    last : bool
        Whether the last task in the queue of the flow should take it, since those
        before it end earlier by waiting for a faster target.
    """

    target: Target
    last: bool = False


class Placement(abc.ABC):
    """Chooses targets."""

    @abc.abstractmethod
    def begin(self, now):
        """Start a round of decisions at one moment."""

    @abc.abstractmethod
    def choose(self, flow, now):
        """Return a `Choice` for a task of a flow to start now, or None to wait."""

    def awaited(self):
        """Return when the first slot that a task waits for should be free, or None."""
        return


class EarliestEnd(Placement):
    """Takes the target that ends the task first, a busy one included.

    The best free target is taken unless busy ones that are faster can end all
    waiting tasks of the flow earlier, after the work that waits before them. This
    counts the tasks that each busy slot can still end in time instead of planning
    each task, so that a long queue costs no more than a short one.
    """

    def __init__(self, cfg, run_times, fleet, data_centre):
        self._cfg = cfg
        self._run_times = run_times
        self._fleet = fleet
        self._data_centre = data_centre
        self._order = []
        self._order_until = float("-inf")
        self._version = None
        self._capacity_before = {}
        self._waiting_work = 0.0
        self._awaited = None

    def begin(self, now):
        """Start a round of decisions at one moment."""
        self._waiting_work = 0.0
        self._awaited = None
        if now >= self._order_until or self._version != self._fleet.version:
            self._reorder(now)

    def choose(self, flow, now):
        """Return a `Choice` for a task of a flow to start now, or None to wait."""
        base = self._run_times.base(flow.kind)
        departures = self._run_times.departures(flow.kind)
        target, end = self._best_free(flow, base, departures, now)
        if target is None:
            return None
        ahead = self._waiting_work / base
        needed = ahead + flow.queued
        most = self._capacity_before[target.agent_id] * (end - now) / base
        if needed > most:
            # Takes the first task: the last one would let a steady flood starve it.
            return Choice(target)
        better = self._ends_before(end, needed, flow.requires, base, departures, now)
        if better >= needed:
            self._waiting_work += flow.queued * base
            return None
        return Choice(target, last=better >= ahead + 1)

    def awaited(self):
        """Return when the first slot that a task waits for should be free, or None."""
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
        for target in self._order:
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
        """Return how many tasks busy slots can end before a moment, up to `needed`."""
        count = 0
        share = self._cfg.overrun_share
        for target in self._order:
            run = base * target.factor
            if now + run * MIN_DEPARTURE >= end:
                break
            if target.usable or (requires and not requires <= target.labels):
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
