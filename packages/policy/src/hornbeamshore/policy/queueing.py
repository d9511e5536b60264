"""Fair queueing: the order in which queued tasks get slots."""

import abc
import bisect
import heapq
import itertools
import math
from collections import deque

from hornbeamshore.config.model import Urgency

URGENCY_CLASSES = tuple(Urgency)


class Flow:
    """Queue of the tasks of one team and kind, as batches in order of due time.

    Work is measured in seconds on a target of average speed.

    Attributes
    ----------
    run_time_s : float
        Expected run time of a task on a target of average speed.
    busy_speed : float
        Work per second of the slots with tasks of the flow.
    start_tag : float
        Start tag of start-time fair queueing, for the excess level.
    heap_entry : int or None
        Number of the valid heap entry of the flow; None if it is in no level.
    excess : bool
        Whether the flow is above its entitlement and in the excess level.
    blocked : bool
        Whether the flow waits for its team to get below its quota.
    tokens : float
        Work that the flow may start within its entitlement; negative if in debt.
    entitlement : float
        Guaranteed service rate, in work per second.
    arrivals : int
        Number of tasks that arrived since the last update of the averages.
    arrival_rate : float
        Average arrival rate, in tasks per second.
    service_rate : float
        Average service rate, in work per second.
    """

    __slots__ = (
        "team", "kind", "urgency", "weight", "requires", "run_time_s",
        "batches", "queued", "running", "busy_speed",
        "start_tag", "heap_entry", "excess", "blocked",
        "tokens", "tokens_at", "entitlement",
        "arrivals", "arrival_rate", "service_rate", "last_used",
    )  # fmt: skip

    def __init__(self, team, kind):
        self.team = team
        self.kind = kind
        self.urgency = Urgency.NORMAL
        self.weight = 1.0
        self.requires = frozenset()
        self.run_time_s = 0.0
        self.batches = []
        self.queued = 0
        self.running = 0
        self.busy_speed = 0.0
        self.start_tag = 0.0
        self.heap_entry = None
        self.excess = False
        self.blocked = False
        self.tokens = 0.0
        self.tokens_at = 0.0
        self.entitlement = 0.0
        self.arrivals = 0
        self.arrival_rate = self.service_rate = 0.0
        self.last_used = 0.0

    def add(self, batch, now):
        """Insert a batch in order of due time."""
        bisect.insort(self.batches, batch, key=_due)
        self.queued += len(batch.tasks)
        self.arrivals += len(batch.tasks)
        self.last_used = now

    def first_batch(self):
        """Return the first batch with tasks, or None; remove empty ones before it."""
        while self.batches and not self.batches[0].tasks:
            del self.batches[0]
        return self.batches[0] if self.batches else None

    def last_batch(self):
        """Return the last batch with tasks, or None; remove empty ones after it."""
        while self.batches and not self.batches[-1].tasks:
            self.batches.pop()
        return self.batches[-1] if self.batches else None

    def refill_tokens(self, now, burst_s):
        """Add the tokens earned since the last refill."""
        earned = self.entitlement * (now - self.tokens_at)
        self.tokens = min(self.entitlement * burst_s, self.tokens + earned)
        self.tokens_at = now


class _Batch:
    """Queued tasks of one job with the same deadline.

    Attributes
    ----------
    queued_at : float
        Time of arrival.
    due : float
        Time of arrival plus the run time of the batch on an otherwise idle fleet.
        In this order the waiting time of a job is proportional to its size.
    """

    __slots__ = ("key", "flow", "deadline", "queued_at", "due", "tasks")

    def __init__(self, flow, key, deadline, queued_at, tasks):
        self.key = key
        self.flow = flow
        self.deadline = deadline
        self.queued_at = self.due = queued_at
        self.tasks = deque(tasks)


class _PriorityLevel:
    """Level of the multi-level queue: a priority queue of flows.

    Attributes
    ----------
    flows : list of (float, int, Flow)
        Heap in order of service; entries other than the `Flow.heap_entry` are stale.
    virtual_time : float
        Virtual time of start-time fair queueing.
    share : float
        Minimum service, as a fraction of the work started from levels with higher
        priority.
    credit : float
        Work that the level may start before levels with higher priority.
    """

    __slots__ = ("flows", "virtual_time", "share", "credit")

    def __init__(self, share):
        self.flows = []
        self.virtual_time = 0.0
        self.share = share
        self.credit = 0.0


def _due(batch):
    return batch.due


def _job_and_deadline(task):
    return task.key, task.deadline


class TaskQueue(abc.ABC):
    """Queue of tasks, which decides which flow is served next."""

    @abc.abstractmethod
    def configure(self, deployment, service):
        """Set weights, urgency classes and required labels from a deployment."""

    @abc.abstractmethod
    def flow(self, team, kind):
        """Return the `Flow` of a team and kind; create it if necessary."""

    @abc.abstractmethod
    def flows(self):
        """Return all flows."""

    @abc.abstractmethod
    def add(self, tasks, now):
        """Queue tasks, grouped into batches by job and deadline."""

    @abc.abstractmethod
    def cancel(self, key):
        """Remove and return the queued tasks of a job."""

    @abc.abstractmethod
    def expire(self, now):
        """Remove and return the queued tasks whose deadline has passed."""

    @abc.abstractmethod
    def pick(self, now, excess=True):
        """Remove the `Flow` to serve next from its level; return it, or None.

        The caller passes the flow to `pop_task`, `defer` or `block`.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        excess : bool
            Whether to include flows above their entitlement.
        """

    @abc.abstractmethod
    def pop_task(self, flow, now, last=False):
        """Remove and return a task of the first or last batch of the picked flow."""

    @abc.abstractmethod
    def defer(self, flow):
        """Exclude the picked flow until the next `restore_deferred`."""

    @abc.abstractmethod
    def restore_deferred(self):
        """Requeue the flows excluded by `defer`."""

    @abc.abstractmethod
    def block(self, flow):
        """Exclude the picked flow until `unblock` is called for its team."""

    @abc.abstractmethod
    def unblock(self, team):
        """Requeue the blocked flows of a team."""

    @abc.abstractmethod
    def adjust_charge(self, flow, work):
        """Charge a flow the difference between a task's actual and expected work."""

    @abc.abstractmethod
    def update_entitlements(self, now, capacity):
        """Update averages, tokens and entitlements; called several times per second."""

    @abc.abstractmethod
    def record_overload(self, now):
        """Record that the backlog or a refusal shows an overload."""

    @abc.abstractmethod
    def work_ahead(self, flow, now):
        """Return the queued work that is served before the flow."""

    @abc.abstractmethod
    def queued_team_work(self, team):
        """Return the total queued work of a team."""

    @abc.abstractmethod
    def next_promotion(self):
        """Return the time of the next check for flows to promote, or None."""

    @abc.abstractmethod
    def next_deadline(self):
        """Return a lower bound of the earliest deadline in the queue, or None."""


class FairQueue(TaskQueue):
    """Queue with urgency classes, guaranteed rates and start-time fair queueing.

    Each flow has a token bucket, filled at the rate of its entitlement, which depends
    on its average demand and its weight. Flows with tokens are served by urgency class
    and due time. Flows without tokens move to the excess level and share the remaining
    capacity by start-time fair queueing. This is enforced only during an overload:
    otherwise a burst uses slots that are idle, and a lower priority would only delay
    it. Each level gets a small minimum share, so that none starves.
    """

    def __init__(self, cfg, run_times):
        self._cfg = cfg
        self._run_times = run_times
        self._service = None
        self._teams = {}
        self._flows = {}
        self._flows_by_team = {}
        self._batches_by_job = {}
        self._deadlines = []
        self._sequence = itertools.count()
        shares = (0.0, cfg.normal_share, cfg.background_share)
        self._levels = {
            urgency: _PriorityLevel(share)
            for urgency, share in zip(URGENCY_CLASSES, shares, strict=True)
        }
        self._excess = _PriorityLevel(cfg.excess_share)
        self._levels_by_priority = (*self._levels.values(), self._excess)
        self._promotions = []
        self._deferred = []
        self._blocked = {}
        self._updated_at = None
        self._capacity = 1.0
        self._work_ahead = {}
        self._work_ahead_valid_until = -math.inf
        self._backlog = 0.0
        self._overload_until = -math.inf

    def configure(self, deployment, service):
        """Set weights, urgency classes and required labels from a deployment."""
        self._service = deployment.services.get(service)
        self._teams = deployment.teams
        for flow in self._flows.values():
            self._configure_flow(flow)
            if flow.heap_entry is not None:
                self._push(flow)

    def flow(self, team, kind):
        """Return the `Flow` of a team and kind; create it if necessary."""
        flow = self._flows.get((team, kind))
        if flow is None:
            flow = self._flows[team, kind] = Flow(team, kind)
            self._flows_by_team.setdefault(team, []).append(flow)
            self._configure_flow(flow)
            flow.run_time_s = self._run_times.mean_run_time(kind)
            flow.tokens_at = flow.last_used = self._updated_at or 0.0
            self._update_entitlement(flow, self._total_weight())
            flow.tokens = flow.entitlement * self._cfg.burst
        return flow

    def flows(self):
        """Return all flows."""
        return self._flows.values()

    def add(self, tasks, now):
        """Queue tasks, grouped into batches by job and deadline."""
        for (key, deadline), group in itertools.groupby(tasks, _job_and_deadline):
            self._add_batch(tuple(group), key, deadline, now)
        if self._backlog > self._cfg.overload_backlog * self._capacity:
            self.record_overload(now)

    def cancel(self, key):
        """Remove and return the queued tasks of a job."""
        removed = []
        for batch in self._batches_by_job.pop(key, ()):
            removed.extend(self._remove_tasks(batch))
        return tuple(removed)

    def expire(self, now):
        """Remove and return the queued tasks whose deadline has passed."""
        removed = []
        while self._deadlines and self._deadlines[0][0] <= now:
            batch = heapq.heappop(self._deadlines)[2]
            removed.extend(self._remove_tasks(batch))
            self._remove_batch(batch)
        return tuple(removed)

    def pick(self, now, excess=True):
        """Remove the `Flow` to serve next from its level; return it, or None."""
        self._promote(now)
        first = None
        for level in (
            self._levels_by_priority if excess else self._levels_by_priority[:-1]
        ):
            flow = self._first_eligible(level, now)
            if flow is None:
                level.credit = 0.0
                continue
            if level.credit >= flow.run_time_s:
                first = flow
                break
            first = first or flow
        if first is not None:
            self._pop(self._level_of(first))
        return first

    def pop_task(self, flow, now, last=False):
        """Remove and return a task of the first or last batch of the picked flow."""
        batch = flow.last_batch() if last else flow.first_batch()
        task = batch.tasks.popleft()
        if not batch.tasks:
            self._remove_batch(batch)
        flow.queued -= 1
        self._backlog -= flow.run_time_s
        if not flow.excess:
            flow.tokens -= flow.run_time_s
        self._charge(flow)
        if flow.queued:
            self._push(flow)
        return task

    def defer(self, flow):
        """Exclude the picked flow until the next `restore_deferred`."""
        self._deferred.append(flow)

    def restore_deferred(self):
        """Requeue the flows excluded by `defer`."""
        for flow in self._deferred:
            self._push(flow)
        self._deferred.clear()

    def block(self, flow):
        """Exclude the picked flow until `unblock` is called for its team."""
        flow.blocked = True
        self._blocked.setdefault(flow.team, []).append(flow)

    def unblock(self, team):
        """Requeue the blocked flows of a team."""
        for flow in self._blocked.pop(team, ()):
            flow.blocked = False
            self._push(flow)

    def adjust_charge(self, flow, work):
        """Charge a flow the difference between a task's actual and expected work."""
        min_tokens = -flow.entitlement * self._cfg.max_debt
        flow.tokens = max(min(flow.tokens, min_tokens), flow.tokens - work)

    def update_entitlements(self, now, capacity):
        """Update averages, tokens and entitlements; called several times per second."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._capacity = max(capacity, 1e-9)
        self._remove_unused_flows(now - self._cfg.forget)
        if elapsed_s > 0:
            self._update_averages(now, elapsed_s)
        self._backlog = sum(
            flow.queued * flow.run_time_s for flow in self._flows.values()
        )
        if now >= self._overload_until:
            self._clear_debts()
        total_weight = self._total_weight()
        for flow in self._flows.values():
            flow.refill_tokens(now, self._cfg.burst)
            self._update_entitlement(flow, total_weight)

    def record_overload(self, now):
        """Enforce entitlements for the next `overload_kept` seconds."""
        self._overload_until = now + self._cfg.overload_kept

    def work_ahead(self, flow, now):
        """Return the queued work that is served before the flow."""
        if now >= self._work_ahead_valid_until:
            self._count_work_ahead()
            self._work_ahead_valid_until = now + self._cfg.count_every
        return self._work_ahead.get(flow.urgency, 0.0)

    def queued_team_work(self, team):
        """Return the total queued work of a team."""
        return sum(
            flow.queued * flow.run_time_s for flow in self._flows_by_team.get(team, ())
        )

    def next_promotion(self):
        """Return the time of the next check for flows to promote, or None."""
        return self._promotions[0][0] if self._promotions else None

    def next_deadline(self):
        """Return a lower bound of the earliest deadline in the queue, or None."""
        while self._deadlines and not self._deadlines[0][2].tasks:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _add_batch(self, tasks, key, deadline, now):
        flow = self.flow(tasks[0].team, tasks[0].kind)
        batch = _Batch(flow, key, deadline, now, tasks)
        work = len(tasks) * flow.run_time_s
        # A retry has less time left than a first attempt, so it is due on arrival.
        if tasks[0].attempt == 1:
            batch.due += flow.run_time_s + work / self._capacity
        self._batches_by_job.setdefault(key, []).append(batch)
        heapq.heappush(self._deadlines, (deadline, next(self._sequence), batch))
        flow.add(batch, now)
        self._backlog += work
        if not flow.blocked and (
            flow.heap_entry is None or flow.first_batch() is batch
        ):
            self._push(flow)

    def _level_of(self, flow):
        return self._excess if flow.excess else self._levels[flow.urgency]

    def _push(self, flow):
        """Add a flow to its level; an earlier heap entry of it becomes stale."""
        level = self._level_of(flow)
        if flow.excess:
            # A flow gets no credit for the time during which it was idle.
            sort_key = flow.start_tag = max(flow.start_tag, level.virtual_time)
        else:
            batch = flow.first_batch()
            sort_key = batch.due if batch else 0.0
        flow.heap_entry = next(self._sequence)
        heapq.heappush(level.flows, (sort_key, flow.heap_entry, flow))

    def _pop(self, level):
        heapq.heappop(level.flows)[2].heap_entry = None

    def _first_eligible(self, level, now):
        """Return the next flow to serve from a level, or None.

        Removes stale entries and flows without tasks. During an overload, demotes
        flows that have used up their tokens.
        """
        while level.flows:
            _, heap_entry, flow = level.flows[0]
            if flow.heap_entry != heap_entry:
                heapq.heappop(level.flows)
            elif not flow.queued:
                self._pop(level)
            elif flow.excess or flow.tokens > 0:
                return flow
            else:
                flow.refill_tokens(now, self._cfg.burst)
                if flow.tokens > 0 or now >= self._overload_until:
                    return flow
                self._demote(flow, level, now)
        return None

    def _demote(self, flow, level, now):
        self._pop(level)
        flow.excess = True
        self._push(flow)
        missing = (
            flow.run_time_s - flow.tokens + flow.entitlement * self._cfg.promote_after
        )
        promote_at = now + missing / max(flow.entitlement, 1e-9)
        heapq.heappush(self._promotions, (promote_at, next(self._sequence), flow))

    def _promote(self, now):
        while self._promotions and self._promotions[0][0] <= now:
            flow = heapq.heappop(self._promotions)[2]
            flow.refill_tokens(now, self._cfg.burst)
            if flow.tokens <= 0 and now < self._overload_until:
                promote_at = now + self._cfg.promote_after
                heapq.heappush(
                    self._promotions, (promote_at, next(self._sequence), flow)
                )
                continue
            flow.excess = False
            if flow.heap_entry is not None:
                self._push(flow)

    def _clear_debts(self):
        """Clear debts and return all flows to the levels of their classes.

        Without an overload, these flows used slots that were idle.
        """
        for flow in self._flows.values():
            flow.tokens = max(flow.tokens, 0.0)
            if flow.excess:
                flow.excess = False
                if flow.heap_entry is not None:
                    self._push(flow)
        self._promotions.clear()

    def _charge(self, flow):
        level = self._level_of(flow)
        if flow.excess:
            level.virtual_time = max(level.virtual_time, flow.start_tag)
            weight = flow.weight * self._cfg.class_weight(flow.urgency)
            flow.start_tag += flow.run_time_s / weight
        if level.credit >= flow.run_time_s:
            level.credit -= flow.run_time_s
            return
        lower_levels = self._levels_by_priority[
            self._levels_by_priority.index(level) + 1 :
        ]
        for other in lower_levels:
            other.credit += other.share * flow.run_time_s

    def _remove_tasks(self, batch):
        tasks = tuple(batch.tasks)
        batch.tasks.clear()
        batch.flow.queued -= len(tasks)
        self._backlog -= len(tasks) * batch.flow.run_time_s
        return tasks

    def _remove_batch(self, batch):
        batches = self._batches_by_job.get(batch.key)
        if batches is None:
            return
        if batch in batches:
            batches.remove(batch)
        if not batches:
            del self._batches_by_job[batch.key]

    def _configure_flow(self, flow):
        kind = self._service.kinds.get(flow.kind) if self._service else None
        team = self._teams.get(flow.team)
        if kind is not None:
            flow.urgency = kind.urgency
            flow.requires = frozenset(kind.requires)
        flow.weight = (kind.weight if kind else 1.0) * (team.weight if team else 1.0)

    def _remove_unused_flows(self, before):
        for key, flow in list(self._flows.items()):
            if flow.last_used < before and not flow.queued and not flow.running:
                del self._flows[key]
                self._flows_by_team[flow.team].remove(flow)

    def _update_averages(self, now, elapsed_s):
        cfg = self._cfg
        service_gain = 1 - math.exp(-elapsed_s / cfg.served)
        arrival_gain = 1 - math.exp(-elapsed_s / cfg.usual)
        for flow in self._flows.values():
            flow.run_time_s = self._run_times.mean_run_time(flow.kind)
            flow.service_rate += service_gain * (flow.busy_speed - flow.service_rate)
            difference = flow.arrivals / elapsed_s - flow.arrival_rate
            flow.arrivals = 0
            if difference < 0:
                flow.arrival_rate += difference * elapsed_s / cfg.forget
            elif now >= self._overload_until:
                flow.arrival_rate += difference * arrival_gain
            else:
                # A flood during an overload must not quickly raise the average demand.
                flow.arrival_rate += (
                    min(difference, flow.arrival_rate) * elapsed_s / cfg.forget
                )

    def _update_entitlement(self, flow, total_weight):
        fair_share = self._capacity * flow.weight / total_weight
        demand = flow.arrival_rate * flow.run_time_s
        flow.entitlement = max(
            fair_share * self._cfg.fair_floor, demand * self._cfg.headroom
        )

    def _total_weight(self):
        """Return the sum of the weights of all flows, or 1 without flows."""
        return sum(flow.weight for flow in self._flows.values()) or 1.0

    def _count_work_ahead(self):
        total = 0.0
        for urgency in URGENCY_CLASSES:
            for flow in self._flows.values():
                if flow.urgency is urgency and flow.queued and not flow.excess:
                    total += min(flow.queued * flow.run_time_s, max(0.0, flow.tokens))
            self._work_ahead[urgency] = total
