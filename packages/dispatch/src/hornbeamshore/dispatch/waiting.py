"""Scheduling order of the tasks that wait for an agent."""

import abc
import math
from collections import OrderedDict, deque


class WaitingTasks(abc.ABC):
    """Scheduling order of the waiting tasks of all queues."""

    @abc.abstractmethod
    def add(self, task):
        """Add a task.

        Tasks of jobs that have had a task placed are served before other jobs.
        """

    @abc.abstractmethod
    def remove_job(self, job):
        """Remove the waiting tasks of a job."""

    @abc.abstractmethod
    def queues(self, now):
        """Return the names of queues with waiting tasks in scheduling order."""

    @abc.abstractmethod
    def next_task(self, queue_name, now, *, late=False):
        """Return the next task of a queue in scheduling order without removing it.

        Parameters
        ----------
        queue_name : str
            Queue with at least one waiting task.
        now : float
            Trio clock time.
        late : bool
            Whether the task is for the pass that places late jobs too.
        """

    @abc.abstractmethod
    def take(self, task, work, now):
        """Remove a task that is being placed.

        Parameters
        ----------
        task : Task
            Waiting task.
        work : float
            Expected processor time in core-seconds, charged to the queue.
        now : float
            Trio clock time.
        """


class _Queue:
    """Waiting tasks of one queue.

    Attributes
    ----------
    priority : int
        Priority of the queue; 0 is the most urgent.
    begun : deque of Task
        Tasks of jobs that have had a task placed already.
    fresh : OrderedDict of Job to deque of Task
        Tasks of jobs that have had no task placed, in order of arrival.
    """

    def __init__(self, priority):
        self.priority = priority
        self.begun = deque()
        self.fresh = OrderedDict()


class EqualShares(WaitingTasks):
    """Fair-share scheduling with an equal share for each queue with waiting tasks.

    The queue that has recently used the least capacity is served first, so an overload
    of one queue does not starve the others; unused shares go to the other queues.
    Priority breaks ties.

    Within a queue, jobs are served first in, first out, until the oldest has used up
    its patience. Then the newest job is served first: under overload, first in, first
    out would start each job only when its slack is used up, and all of them would be
    late. In the pass for late jobs the oldest job is served first, since it is the
    least likely to meet its objective anyway.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._queues = {}
        self._used = {}
        self._decayed_at = 0.0

    def add(self, task):
        """Add a task."""
        queue = self._queue(task.job)
        if task.job.has_begun:
            queue.begun.append(task)
        else:
            queue.fresh.setdefault(task.job, deque()).append(task)

    def remove_job(self, job):
        """Remove the waiting tasks of a job."""
        queue = self._queue(job)
        queue.fresh.pop(job, None)
        if any(task.job is job for task in queue.begun):
            queue.begun = deque(task for task in queue.begun if task.job is not job)

    def queues(self, now):
        """Return the names of queues with waiting tasks in scheduling order."""
        self._decay(now)
        names = [
            name for name, queue in self._queues.items() if queue.begun or queue.fresh
        ]
        return sorted(names, key=self._turn)

    def next_task(self, queue_name, now, *, late=False):
        """Return the next task of a queue in scheduling order without removing it."""
        queue = self._queues[queue_name]
        if queue.begun:
            return queue.begun[0]
        oldest = next(iter(queue.fresh))
        patience = self._cfg.patience * (oldest.on_time_at - oldest.received_at)
        if late or now - oldest.received_at <= patience:
            return queue.fresh[oldest][0]
        return next(reversed(queue.fresh.values()))[0]

    def take(self, task, work, now):
        """Remove a task that is being placed and charge its work to the queue."""
        self._decay(now)
        name = task.job.queue.name
        self._used[name] = self._used.get(name, 0.0) + work
        queue = self._queues[name]
        queue.begun.extend(queue.fresh.pop(task.job, ()))
        queue.begun.remove(task)

    def _queue(self, job):
        name = job.queue.name
        if name not in self._queues:
            self._queues[name] = _Queue(job.queue.priority)
        return self._queues[name]

    def _turn(self, name):
        return self._used.get(name, 0.0), self._queues[name].priority

    def _decay(self, now):
        factor = math.exp(-(now - self._decayed_at) / self._cfg.fairness_window)
        self._decayed_at = now
        for name in self._used:
            self._used[name] *= factor
