"""Choice of a target for a task."""

import abc
import heapq

# A kind departs from the slowness of its target by less than this factor, which
# lets the search stop at targets that are too slow even if they are free.
MIN_DEPARTURE = 0.7
REORDER_EVERY_S = 0.1


class Placement(abc.ABC):
    """Chooses targets."""

    @abc.abstractmethod
    def begin(self, now):
        """Start a round of decisions at one moment."""

    @abc.abstractmethod
    def choose(self, flow, now):
        """Return the `Target` on which a task of a flow should start now, or None."""

    def awaited(self):
        """Return when the first slot that a task waits for should be free, or None."""
        return


class EarliestEnd(Placement):
    """Takes the target that ends the task first, a busy one included.

    A task whose best target is busy stays in the queue and reserves the slot for
    the rest of the round, so that tasks behind it see what it will take.
    """

    def __init__(self, cfg, run_times, fleet, data_centre):
        self._cfg = cfg
        self._run_times = run_times
        self._fleet = fleet
        self._data_centre = data_centre
        self._order = []
        self._order_until = float("-inf")
        self._version = None
        self._plans = {}
        self._awaited = None

    def begin(self, now):
        """Start a round of decisions at one moment."""
        self._plans.clear()
        self._awaited = None
        if now >= self._order_until or self._version != self._fleet.version:
            self._reorder(now)

    def choose(self, flow, now):
        """Return the `Target` on which a task of a flow should start now, or None."""
        base = self._run_times.base(flow.kind)
        departures = self._run_times.departures(flow.kind)
        for _ in range(min(flow.queued, self._cfg.look_ahead)):
            best, free, end = self._best(flow, base, departures, now)
            if best is None:
                return None
            if free <= now:
                return best
            self._reserve(best, free, end, now)
        return None

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

    def _best(self, flow, base, departures, now):
        best, best_free, best_end = None, 0.0, float("inf")
        requires, excess, plans = flow.requires, flow.excess, self._plans
        overrun_share = self._cfg.overrun_share
        for target in self._order:
            run = base * target.factor
            if now + run * MIN_DEPARTURE >= best_end:
                break
            if requires and not requires <= target.labels:
                continue
            usable = target.usable
            if usable and excess:
                usable -= target.reserve
                if usable <= 0:
                    continue
            if usable > 0:
                free = now
            else:
                plan = plans.get(target)
                free = plan[0] if plan else target.next_free(now, overrun_share)
            end = free + run * departures.get(target.agent_id, 1.0) + target.delay
            if end < best_end:
                best, best_free, best_end = target, free, end
        return best, best_free, best_end

    def _reserve(self, target, free, end, now):
        plan = self._plans.get(target)
        if plan is None:
            plan = target.expected_ends(now, self._cfg.overrun_share)
            heapq.heapify(plan)
            self._plans[target] = plan
        heapq.heapreplace(plan, end)
        if self._awaited is None or free < self._awaited:
            self._awaited = free
