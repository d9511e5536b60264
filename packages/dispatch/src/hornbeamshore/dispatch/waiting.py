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

    @property
    @abc.abstractmethod
    def is_empty(self):
        """Whether no task waits."""

    @abc.abstractmethod
    def queue_order(self, now):
        """Return the names of queues with waiting tasks in scheduling order."""

    @abc.abstractmethod
    def next_task(self, queue_name, now, *, include_late=False):
        """Return the next task of a queue in scheduling order without removing it.

        Parameters
        ----------
        queue_name : str
            Queue with at least one waiting task.
        now : float
            Trio clock time.
        include_late : bool
            Whether the task is for the pass that places late jobs too.
        """

    @abc.abstractmethod
    def remove_task(self, task, core_seconds, now):
        """Remove a task that is being placed.

        Parameters
        ----------
        task : Task
            Waiting task.
        core_seconds : float
            Expected processor time, charged to the queue.
        now : float
            Trio clock time.
        """


class _QueueTasks:
    """Waiting tasks of one queue.

    Attributes
    ----------
    priority : int
        Priority of the queue; 0 is the most urgent.
    in_progress : deque of Task
        Tasks of jobs that have had a task placed already.
    new_jobs : OrderedDict of Job to deque of Task
        Tasks of jobs that have had no task placed, in order of arrival.
    """

    def __init__(self, priority):
        self.priority = priority
        self.in_progress = deque()
        self.new_jobs = OrderedDict()


class FairShareOrder(WaitingTasks):
    """Fair-share scheduling with an equal share for each queue with waiting tasks.

    The queue that has recently used the least capacity is served first, so an overload
    of one queue does not starve the others; unused shares go to the other queues.
    Priority breaks ties.

    Within a queue, jobs are served first in, first out, until the oldest has waited
    for the fraction `patience` of its objective. Then the newest job is served first:
    under overload, first in, first out would start each job only when its slack is
    used up, and all of them would be late. In the pass for late jobs the oldest job is
    served first, since it is the least likely to meet its objective anyway.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._queues = {}
        self._usage = {}
        self._decayed_at = 0.0

    def add(self, task):
        """Add a task."""
        queue = self._queue_tasks(task.job)
        if task.job.has_placed_task:
            queue.in_progress.append(task)
        else:
            queue.new_jobs.setdefault(task.job, deque()).append(task)

    def remove_job(self, job):
        """Remove the waiting tasks of a job."""
        queue = self._queue_tasks(job)
        queue.new_jobs.pop(job, None)
        if any(task.job is job for task in queue.in_progress):
            queue.in_progress = deque(
                task for task in queue.in_progress if task.job is not job
            )

    @property
    def is_empty(self):
        """Whether no task waits."""
        return not any(
            queue.in_progress or queue.new_jobs for queue in self._queues.values()
        )

    def queue_order(self, now):
        """Return the names of queues with waiting tasks in scheduling order."""
        self._decay(now)
        names = [
            name
            for name, queue in self._queues.items()
            if queue.in_progress or queue.new_jobs
        ]
        return sorted(names, key=self._scheduling_key)

    def next_task(self, queue_name, now, *, include_late=False):
        """Return the next task of a queue in scheduling order without removing it."""
        queue = self._queues[queue_name]
        if queue.in_progress:
            return queue.in_progress[0]
        oldest = next(iter(queue.new_jobs))
        patience_s = self._cfg.patience * (oldest.due_at - oldest.received_at)
        if include_late or now - oldest.received_at <= patience_s:
            return queue.new_jobs[oldest][0]
        return next(reversed(queue.new_jobs.values()))[0]

    def remove_task(self, task, core_seconds, now):
        """Remove a task that is being placed and charge its queue for it."""
        self._decay(now)
        name = task.job.queue.name
        self._usage[name] = self._usage.get(name, 0.0) + core_seconds
        queue = self._queues[name]
        queue.in_progress.extend(queue.new_jobs.pop(task.job, ()))
        queue.in_progress.remove(task)

    def _queue_tasks(self, job):
        name = job.queue.name
        if name not in self._queues:
            self._queues[name] = _QueueTasks(job.queue.priority)
        return self._queues[name]

    def _scheduling_key(self, name):
        return self._usage.get(name, 0.0), self._queues[name].priority

    def _decay(self, now):
        factor = math.exp(-(now - self._decayed_at) / self._cfg.fairness_window)
        self._decayed_at = now
        for name in self._usage:
            self._usage[name] *= factor
