"""Forecast of the waiting times of a submission."""

from hornbeamshore.policy.admission import Forecast

# Labels of removed targets are kept for this time, so that submissions which need a
# target that is being replaced are refused as retryable, not as never runnable.
LABELS_RETENTION_S = 600.0


class Forecaster:
    """Predicts when the tasks of a submission would start.

    Sums over all targets and flows are cached until the next `refresh`, so that the
    cost of a submission does not depend on the number of targets.
    """

    def __init__(self, fleet, run_times, queue):
        self._fleet = fleet
        self._run_times = run_times
        self._queue = queue
        self._capacities = {}
        self._fleet_version = None
        self._labels_seen_at = {}
        self._total_service_rate = 0.0
        self._min_slowness = 1.0
        self._mean_slot_speed = 1.0

    def refresh(self, now):
        """Recompute the cached sums over targets and flows."""
        self._capacities.clear()
        self._fleet_version = self._fleet.version
        targets = self._fleet.targets()
        for target in targets:
            self._labels_seen_at[target.labels] = now
        oldest = now - LABELS_RETENTION_S
        self._labels_seen_at = {
            label_set: seen_at
            for label_set, seen_at in self._labels_seen_at.items()
            if seen_at >= oldest
        }
        self._total_service_rate = sum(
            flow.service_rate for flow in self._queue.flows()
        )
        self._min_slowness = min((target.slowness for target in targets), default=1.0)
        slots = sum(target.open_slots for target in targets)
        self._mean_slot_speed = self.capacity(frozenset()) / slots if slots else 1.0

    def capacity(self, requires):
        """Return the work per second of the targets that can run a task.

        These are the targets that accept tasks and have the required labels.
        """
        if self._fleet_version != self._fleet.version:
            self._capacities.clear()
            self._fleet_version = self._fleet.version
        value = self._capacities.get(requires)
        if value is None:
            value = self._capacities[requires] = self._fleet.capacity(requires)
        return value

    def forecast(self, load, quota, team_running, now):
        """Return the `Forecast` of a submission.

        Parameters
        ----------
        load : JobLoad
            Submission.
        quota : int
            Maximum number of slots that the team may use.
        team_running : int
            Number of tasks of the team that are running.
        now : float
            Monotonic time in seconds.
        """
        flow = self._queue.flow(load.team, load.kind)
        capacity = self.capacity(flow.requires)
        runnable = not self._labels_seen_at or any(
            flow.requires <= label_set for label_set in self._labels_seen_at
        )
        if not runnable or capacity <= 0:
            return Forecast(capacity, runnable)
        run_time_s = self._run_times.mean_run_time(load.kind)
        queued_work, total_work = (
            flow.queued * run_time_s,
            (flow.queued + load.task_count) * run_time_s,
        )
        work_ahead = self._queue.work_ahead(flow, now)
        service_rate = self._service_rate(flow, capacity)
        learned = self._run_times.is_learned(load.kind)
        first_wait_s = self._expected_wait_s(
            flow, queued_work, work_ahead, capacity, service_rate, now
        )
        last_wait_s = self._expected_wait_s(
            flow, total_work - run_time_s, work_ahead, capacity, service_rate, now
        )
        quota_first_wait_s = quota_last_wait_s = 0.0
        if quota and team_running + load.task_count > quota:
            quota_speed = quota * self._mean_slot_speed
            waiting_work = self._queue.queued_team_work(load.team)
            quota_first_wait_s = waiting_work / quota_speed
            quota_last_wait_s = (
                waiting_work + (load.task_count - 1) * run_time_s
            ) / quota_speed
        return Forecast(
            capacity,
            runnable,
            first_wait_s,
            last_wait_s if learned else 0.0,
            run_time_s * self._min_slowness if learned else 0.0,
            quota,
            quota_first_wait_s,
            quota_last_wait_s if learned else 0.0,
        )

    def _service_rate(self, flow, capacity):
        """Return the work per second that a flow gets once its tokens are used up."""
        # A flow above its entitlement cannot use reserved slots.
        remaining = (
            capacity
            - self._fleet.reserved_speed
            - self._total_service_rate
            + flow.service_rate
        )
        return max(flow.entitlement, remaining, 1e-9)

    def _expected_wait_s(self, flow, work, work_ahead, capacity, service_rate, now):
        if work <= 0:
            return 0.0
        shared_wait_s = (
            (work_ahead + work) / capacity if not flow.excess else work / capacity
        )
        tokens = max(0.0, flow.tokens)
        return max(shared_wait_s, (work - tokens) / service_rate)
