"""Placement: choice of a target for a task."""

import abc
from dataclasses import dataclass

from hornbeamshore.policy.fleet import Target
from hornbeamshore.policy.outliers import Health

# Lower bound assumed for the correction factor of a kind on a target. The search
# stops at targets that are too slow even with this factor.
MIN_PAIR_FACTOR = 0.7
SORT_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """Target for one task of a flow.

    Attributes
    ----------
    use_last_task : bool
        Whether to start a task of the last batch of the flow instead of the first
        one, because the tasks before it complete earlier by waiting for faster
        targets.
    """

    target: Target
    use_last_task: bool = False


class Placement(abc.ABC):
    """Chooses targets for tasks."""

    @abc.abstractmethod
    def begin_round(self, now):
        """Start a round of choices, all with the same time `now`."""

    @abc.abstractmethod
    def choose(self, flow, now):
        """Return a `Choice` for a task to start now, or None to keep it queued."""

    def next_slot_at(self):
        """Return the expected time of the first slot that tasks wait for, or None."""
        return


class EarliestCompletion(Placement):
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
        self._targets_by_speed = []
        self._free_targets = []
        self._order_valid_until = float("-inf")
        self._fleet_version = None
        self._cumulative_capacity = {}
        self._deferred_work = 0.0
        self._next_slot_at = None

    def begin_round(self, now):
        """Start a round of choices, all with the same time `now`."""
        self._deferred_work = 0.0
        self._next_slot_at = None
        if now >= self._order_valid_until or self._fleet_version != self._fleet.version:
            self._sort_targets(now)
        self._free_targets = [
            target for target in self._targets_by_speed if target.usable_slots
        ]

    def choose(self, flow, now):
        """Return a `Choice` for a task to start now, or None to keep it queued."""
        mean_run_time_s = self._run_times.mean_run_time(flow.kind)
        pair_factors = self._run_times.pair_factors(flow.kind)
        target, end = self._best_free_target(flow, mean_run_time_s, pair_factors, now)
        if target is None:
            return None
        deferred_tasks = self._deferred_work / mean_run_time_s
        needed = deferred_tasks + flow.queued
        max_completions = (
            self._cumulative_capacity[target.agent_id] * (end - now) / mean_run_time_s
        )
        if needed > max_completions:
            # Not the last task: in a steady flood the first one would starve.
            return Choice(target)
        completions = self._count_completions(
            end, needed, flow.requires, mean_run_time_s, pair_factors, now
        )
        if completions >= needed:
            self._deferred_work += flow.queued * mean_run_time_s
            return None
        return Choice(target, use_last_task=completions >= deferred_tasks + 1)

    def next_slot_at(self):
        """Return the expected time of the first slot that tasks wait for, or None."""
        return self._next_slot_at

    def _sort_targets(self, now):
        self._fleet_version = self._fleet.version
        self._order_valid_until = now + SORT_INTERVAL_S
        for target in self._fleet.targets():
            is_local = target.info.data_centre == self._data_centre
            target.extra_delay_s = 0.0 if is_local else float(self._cfg.far_delay)
        open_targets = [
            target for target in self._fleet.targets() if target.accepts_tasks
        ]
        self._targets_by_speed = sorted(
            open_targets, key=lambda target: target.effective_slowness
        )
        cumulative = 0.0
        for target in self._targets_by_speed:
            cumulative += target.info.slots / (
                target.effective_slowness * MIN_PAIR_FACTOR
            )
            self._cumulative_capacity[target.agent_id] = cumulative

    def _best_free_target(self, flow, mean_run_time_s, pair_factors, now):
        best, best_end = None, float("inf")
        requires, excess = flow.requires, flow.excess
        for target in self._free_targets:
            usable_slots = target.usable_slots
            if not usable_slots or (excess and usable_slots <= target.reserved_slots):
                continue
            run_time_s = mean_run_time_s * target.effective_slowness
            if now + run_time_s * MIN_PAIR_FACTOR >= best_end:
                break
            if requires and not requires <= target.labels:
                continue
            end = (
                now
                + run_time_s * pair_factors.get(target.agent_id, 1.0)
                + target.extra_delay_s
            )
            if end < best_end:
                best, best_end = target, end
        return best, best_end

    def _count_completions(
        self, end, needed, requires, mean_run_time_s, pair_factors, now
    ):
        """Return how many tasks busy slots can complete before `end`.

        The count stops when it reaches `needed`.
        """
        count = 0
        overrun_share = self._cfg.overrun_share
        for target in self._targets_by_speed:
            run_time_s = mean_run_time_s * target.effective_slowness
            if now + run_time_s * MIN_PAIR_FACTOR >= end:
                break
            # A probing target runs no other task when a running one ends.
            if target.usable_slots or target.health is Health.PROBING:
                continue
            if requires and not requires <= target.labels:
                continue
            run_time_s *= pair_factors.get(target.agent_id, 1.0)
            latest_start = end - target.extra_delay_s - run_time_s
            for free_at in target.expected_ends(now, overrun_share):
                if free_at >= latest_start:
                    break
                count += 1 + int((latest_start - free_at) / run_time_s)
                if count >= needed:
                    self._record_awaited_slot(free_at)
                    return count
        return count

    def _record_awaited_slot(self, free_at):
        if self._next_slot_at is None or free_at < self._next_slot_at:
            self._next_slot_at = free_at
