"""Order in which queued tasks get slots."""

import abc
import heapq
from collections import deque

from hornbeamshore.config.model import Urgency

CLASSES = tuple(Urgency)


class Flow:
    """Queued tasks of one team and kind, grouped by job."""

    __slots__ = (
        "team", "kind", "urgency", "weight", "requires",
        "batches", "queued", "running", "tag", "active",
    )  # fmt: skip

    def __init__(self, team, kind):
        self.team = team
        self.kind = kind
        self.urgency = Urgency.NORMAL
        self.weight = 1.0
        self.requires = frozenset()
        self.batches = deque()
        self.queued = 0
        self.running = 0
        self.tag = 0.0
        self.active = False

    def head(self):
        """Return the first batch that has tasks, or None."""
        while self.batches and not self.batches[0].tasks:
            self.batches.popleft()
        return self.batches[0] if self.batches else None


class _Batch:
    """Queued tasks of one job with one deadline."""

    __slots__ = ("key", "flow", "deadline", "since", "tasks")

    def __init__(self, flow, task, since):
        self.key = task.key
        self.flow = flow
        self.deadline = task.deadline
        self.since = since
        self.tasks = deque()


class TaskQueue(abc.ABC):
    """Holds queued tasks and decides which flow is served next."""

    @abc.abstractmethod
    def configure(self, deployment, service):
        """Take weights, urgencies and labels of the flows."""

    @abc.abstractmethod
    def add(self, tasks, now):
        """Queue tasks."""

    @abc.abstractmethod
    def cancel(self, key):
        """Remove the tasks of a job; return them."""

    @abc.abstractmethod
    def expire(self, now):
        """Remove the tasks whose deadline passed; return them."""

    @abc.abstractmethod
    def pick(self, now):
        """Return the `Flow` to serve next, or None."""

    @abc.abstractmethod
    def take(self, flow, cost, now):
        """Remove and return a task of the picked flow, charged with its cost."""

    @abc.abstractmethod
    def set_aside(self, flow):
        """Leave the picked flow out until `restore`."""

    @abc.abstractmethod
    def restore(self):
        """Bring back the flows that were set aside."""

    @abc.abstractmethod
    def flow(self, team, kind):
        """Return the `Flow` of a team and kind."""

    @abc.abstractmethod
    def flows(self):
        """Return all flows."""

    @abc.abstractmethod
    def next_deadline(self):
        """Return a moment not later than the first deadline, or None."""


class FairQueue(TaskQueue):
    """Classes by urgency, and start-time fair queueing by flow in each class."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._service = None
        self._teams = {}
        self._flows = {}
        self._jobs = {}
        self._deadlines = []
        self._sequence = 0
        self._heaps = {urgency: [] for urgency in CLASSES}
        self._virtual = dict.fromkeys(CLASSES, 0.0)
        self._aside = []

    def configure(self, deployment, service):
        """Take weights, urgencies and labels of the flows."""
        self._service = deployment.services.get(service)
        self._teams = deployment.teams
        for flow in self._flows.values():
            self._set_up(flow)

    def add(self, tasks, now):
        """Queue tasks."""
        batch = None
        for task in tasks:
            if batch is None or (task.key, task.deadline) != (
                batch.key,
                batch.deadline,
            ):
                batch = self._new_batch(task, now)
            batch.tasks.append(task)
            batch.flow.queued += 1

    def cancel(self, key):
        """Remove the tasks of a job; return them."""
        removed = []
        for batch in self._jobs.pop(key, ()):
            removed.extend(self._drop(batch))
        return tuple(removed)

    def expire(self, now):
        """Remove the tasks whose deadline passed; return them."""
        removed = []
        while self._deadlines and self._deadlines[0][0] <= now:
            batch = heapq.heappop(self._deadlines)[2]
            removed.extend(self._drop(batch))
            self._forget(batch)
        return tuple(removed)

    def pick(self, now):
        """Return the `Flow` to serve next, or None."""
        for urgency in CLASSES:
            heap = self._heaps[urgency]
            while heap:
                _, _, flow = heapq.heappop(heap)
                if flow.queued:
                    return flow
                flow.active = False
        return None

    def take(self, flow, cost, now):
        """Remove and return a task of the picked flow, charged with its cost."""
        batch = flow.head()
        task = batch.tasks.popleft()
        if not batch.tasks:
            self._forget(batch)
        flow.queued -= 1
        self._virtual[flow.urgency] = flow.tag
        flow.tag += cost / flow.weight
        self._push(flow)
        return task

    def set_aside(self, flow):
        """Leave the picked flow out until `restore`."""
        self._aside.append(flow)

    def restore(self):
        """Bring back the flows that were set aside."""
        for flow in self._aside:
            self._push(flow)
        self._aside.clear()

    def flow(self, team, kind):
        """Return the `Flow` of a team and kind."""
        flow = self._flows.get((team, kind))
        if flow is None:
            flow = self._flows[team, kind] = Flow(team, kind)
            self._set_up(flow)
        return flow

    def flows(self):
        """Return all flows."""
        return self._flows.values()

    def next_deadline(self):
        """Return a moment not later than the first deadline, or None."""
        while self._deadlines and not self._deadlines[0][2].tasks:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _new_batch(self, task, now):
        flow = self.flow(task.team, task.kind)
        batch = _Batch(flow, task, now)
        self._jobs.setdefault(task.key, []).append(batch)
        self._sequence += 1
        heapq.heappush(self._deadlines, (task.deadline, self._sequence, batch))
        if task.attempt > 1:
            # A retry has less time left than the tasks behind which it would wait.
            flow.batches.appendleft(batch)
        else:
            flow.batches.append(batch)
        if not flow.active:
            flow.active = True
            flow.tag = max(flow.tag, self._virtual[flow.urgency])
            self._push(flow)
        return batch

    def _push(self, flow):
        self._sequence += 1
        entry = (flow.tag, self._sequence, flow)
        heapq.heappush(self._heaps[flow.urgency], entry)

    def _drop(self, batch):
        tasks = tuple(batch.tasks)
        batch.tasks.clear()
        batch.flow.queued -= len(tasks)
        return tasks

    def _forget(self, batch):
        batches = self._jobs.get(batch.key)
        if batches is None:
            return
        if batch in batches:
            batches.remove(batch)
        if not batches:
            del self._jobs[batch.key]

    def _set_up(self, flow):
        kind = self._service.kinds.get(flow.kind) if self._service else None
        team = self._teams.get(flow.team)
        if kind is not None:
            flow.urgency = kind.urgency
            flow.requires = frozenset(kind.requires)
        flow.weight = (kind.weight if kind else 1.0) * (team.weight if team else 1.0)
