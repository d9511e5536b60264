"""Forecast of the waiting times of a submission."""

from hornbeamshore.policy.admission import Forecast

# Labels of removed targets are kept for this time, so that submissions which need a
# target that is being replaced are refused as retryable, not as never runnable.
LABELS_KEPT_S = 600.0


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
        self._version = None
        self._seen = {}
        self._served = 0.0
        self._fastest = 1.0
        self._mean_speed = 1.0

    def refresh(self, now):
        """Recompute the cached sums over targets and flows."""
        self._capacities.clear()
        self._version = self._fleet.version
        targets = self._fleet.targets()
        for target in targets:
            self._seen[target.labels] = now
        kept = now - LABELS_KEPT_S
        self._seen = {k: seen for k, seen in self._seen.items() if seen >= kept}
        self._served = sum(flow.served for flow in self._queue.flows())
        self._fastest = min((target.slowness for target in targets), default=1.0)
        slots = sum(target.open_slots for target in targets)
        self._mean_speed = self.capacity(frozenset()) / slots if slots else 1.0

    def capacity(self, requires):
        """Return the work per second of the open targets with the required labels."""
        if self._version != self._fleet.version:
            self._capacities.clear()
            self._version = self._fleet.version
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
        runnable = not self._seen or any(flow.requires <= seen for seen in self._seen)
        if not runnable or capacity <= 0:
            return Forecast(capacity, runnable)
        base = self._run_times.base(load.kind)
        queued, whole = flow.queued * base, (flow.queued + load.task_count) * base
        ahead = self._queue.ahead(flow, now)
        rate = self._rate(flow, capacity)
        learned = self._run_times.is_learned(load.kind)
        first = self._wait(flow, queued, ahead, capacity, rate, now)
        last = self._wait(flow, whole - base, ahead, capacity, rate, now)
        quota_first = quota_last = 0.0
        if quota and team_running + load.task_count > quota:
            speed = quota * self._mean_speed
            waiting = self._queue.team_work(load.team)
            quota_first = waiting / speed
            quota_last = (waiting + (load.task_count - 1) * base) / speed
        return Forecast(
            capacity,
            runnable,
            first,
            last if learned else 0.0,
            base * self._fastest if learned else 0.0,
            quota,
            quota_first,
            quota_last if learned else 0.0,
        )

    def _rate(self, flow, capacity):
        """Return the work per second that a flow gets once its tokens are used up."""
        # A flow above its entitlement cannot use reserved slots.
        left = capacity - self._fleet.reserved_speed - self._served + flow.served
        return max(flow.entitlement, left, 1e-9)

    def _wait(self, flow, work, ahead, capacity, rate, now):
        if work <= 0:
            return 0.0
        shared = (ahead + work) / capacity if not flow.excess else work / capacity
        tokens = max(0.0, flow.tokens)
        return max(shared, (work - tokens) / rate)
