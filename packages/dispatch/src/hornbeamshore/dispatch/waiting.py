"""Tasks that wait for an agent, and the order in which they get one."""

import abc
import math
from collections import deque


class WaitingTasks(abc.ABC):
    """Orders the waiting tasks of all queues."""

    @abc.abstractmethod
    def add(self, task, *, first=False):
        """Let a task wait, `first` before the others of its queue."""

    @abc.abstractmethod
    def remove_job(self, job):
        """Drop the tasks of a job."""

    @abc.abstractmethod
    def queues(self, now):
        """Return the names of queues with tasks, the one whose turn it is first."""

    @abc.abstractmethod
    def tasks(self, queue_name):
        """Return the tasks of a queue in order."""

    @abc.abstractmethod
    def take(self, task, work, now):
        """Take a task out, which will use `work` core-seconds."""


class EqualShares(WaitingTasks):
    """Gives each queue with waiting tasks an equal share of the capacity.

    What a queue does not use goes to the others, so that a flood of one kind of job
    leaves the others their share. Priority decides between equals.
    """

    def __init__(self, cfg):
        self._window = cfg.fairness_window
        self._tasks = {}
        self._used = {}
        self._decayed_at = 0.0

    def add(self, task, *, first=False):
        """Let a task wait, `first` before the others of its queue."""
        waiting = self._tasks.setdefault(task.job.queue.name, deque())
        if first:
            waiting.appendleft(task)
        else:
            waiting.append(task)

    def remove_job(self, job):
        """Drop the tasks of a job."""
        waiting = self._tasks.get(job.queue.name)
        if waiting and any(task.job is job for task in waiting):
            kept = [task for task in waiting if task.job is not job]
            waiting.clear()
            waiting.extend(kept)

    def queues(self, now):
        """Return the names of queues with tasks, the one whose turn it is first."""
        self._decay(now)
        names = [name for name, waiting in self._tasks.items() if waiting]
        return sorted(names, key=self._turn)

    def tasks(self, queue_name):
        """Return the tasks of a queue in order."""
        return self._tasks[queue_name]

    def take(self, task, work, now):
        """Take a task out, which will use `work` core-seconds."""
        name = task.job.queue.name
        self._decay(now)
        self._tasks[name].remove(task)
        self._used[name] = self._used.get(name, 0.0) + work

    def _turn(self, name):
        priority = self._tasks[name][0].job.queue.priority
        return self._used.get(name, 0.0), priority

    def _decay(self, now):
        factor = math.exp(-(now - self._decayed_at) / self._window)
        self._decayed_at = now
        for name in self._used:
            self._used[name] *= factor
