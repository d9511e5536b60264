"""Reference dispatchers for the offline replay and the ideal schedule."""

import heapq
import math
from collections import deque

from hornbeamshore.config.model import Urgency
from hornbeamshore.policy.admission import Admission
from hornbeamshore.policy.outliers import FailureOutlierDetector
from hornbeamshore.policy.placement import Choice, Placement
from hornbeamshore.policy.queueing import FairQueue
from hornbeamshore.policy.scheduler import Scheduler
from hornbeamshore.policy.types import Assignment

URGENCY_RANK = {urgency: rank for rank, urgency in enumerate(Urgency)}


class AdmitAll(Admission):
    """Admits every job."""

    def check(self, load, forecast):
        """Return None: the job is admitted."""
        return


class RandomPlacement(Placement):
    """Chooses a random target that has a free slot."""

    def __init__(self, rng, fleet):
        self._rng = rng
        self._fleet = fleet

    def begin_round(self, now):
        """Do nothing: choices do not depend on each other."""

    def choose(self, flow, now):
        """Return a `Choice` of a random target with a free slot, or None."""
        free = [target for target in self._fleet.targets() if target.usable_slots]
        return Choice(self._rng.choice(free)) if free else None


class FifoQueue(FairQueue):
    """Single FIFO queue for the tasks of all teams and kinds."""

    def flow(self, team, kind):
        """Return the one flow that all tasks share."""
        return super().flow("", "")


class NoEjection(FailureOutlierDetector):
    """Never ejects a target."""

    def record_outcome(self, agent_id, kind, outcome, now):
        """Do nothing."""

    def record_stall(self, agent_id, now):
        """Do nothing."""


class RandomFifoScheduler(Scheduler):
    """Scheduler with random placement, one FIFO queue and no limits."""

    def _make_outliers(self):
        return NoEjection(self._cfg.outliers)

    def _make_queue(self):
        return FifoQueue(self._cfg.queue, self._run_times)

    def _make_placement(self):
        return RandomPlacement(self._rng, self._fleet)

    def _make_admission(self):
        return AdmitAll()

    def _quota(self, team):
        return math.inf


class ClairvoyantDispatcher:
    """Clairvoyant dispatcher: knows run times exactly, but not later arrivals.

    Starts tasks by urgency class, then by age. Each goes to the target on which it
    ends first, and waits for a busy target if it ends earlier there.

    Parameters
    ----------
    run_time : callable
        Takes a task and an agent id and returns the true seconds from start to answer.
    urgency : dict of str to Urgency
        Urgency class of each kind.
    smallest_first : bool
        Whether jobs of a class are ordered by total work instead of by age.
    """

    def __init__(self, run_time, urgency, smallest_first=False):
        self._run_time = run_time
        self._smallest_first = smallest_first
        self._rank_of_kind = {
            kind: URGENCY_RANK[value] for kind, value in urgency.items()
        }
        self._queues = [deque() for _ in Urgency]
        self._work_of_job = {}
        self._slots = {}
        self._end_times = {}

    def configure(self, deployment, service):
        """Do nothing: run times and urgency classes are already known."""

    def add_target(self, info):
        """Add a target with its slots."""
        self._slots[info.agent_id] = info.slots
        self._end_times[info.agent_id] = {}

    def admit(self, load, now):
        """Return None: every job is admitted."""
        return

    def enqueue(self, tasks, now):
        """Queue the tasks of a job."""
        rank = self._rank_of_kind[tasks[0].kind]
        agent_id = next(iter(self._slots))
        work = sum(self._run_time(task, agent_id) for task in tasks)
        self._work_of_job[tasks[0].key] = work
        self._queues[rank].extend(tasks)
        if self._smallest_first:
            ordered = sorted(
                self._queues[rank], key=lambda task: self._work_of_job[task.key]
            )
            self._queues[rank] = deque(ordered)

    def cancel(self, key):
        """Remove the queued tasks of a job."""
        for rank, queue in enumerate(self._queues):
            self._queues[rank] = deque(task for task in queue if task.key != key)
        return ()

    def expire(self, now):
        """Return an empty tuple: tasks never expire."""
        return ()

    def assign(self, now):
        """Return the tasks to start now, each as an `Assignment`."""
        free_by_agent = {
            agent_id: self._slots[agent_id] - len(end_times)
            for agent_id, end_times in self._end_times.items()
        }
        free_slots = sum(free_by_agent.values())
        free_at = {
            agent_id: [now] * free_by_agent[agent_id] + sorted(end_times.values())
            for agent_id, end_times in self._end_times.items()
        }
        assignments = []
        for rank, queue in enumerate(self._queues):
            still_queued = deque()
            while queue and free_slots:
                task = queue.popleft()
                end_time, agent_id = min(
                    (slot_times[0] + self._run_time(task, agent_id), agent_id)
                    for agent_id, slot_times in free_at.items()
                )
                if free_at[agent_id][0] <= now:
                    assignments.append(Assignment(task, agent_id))
                    self._end_times[agent_id][task.key, task.index] = end_time
                    free_slots -= 1
                else:
                    still_queued.append(task)
                heapq.heapreplace(free_at[agent_id], end_time)
            still_queued.extend(queue)
            self._queues[rank] = still_queued
        return tuple(assignments)

    def record_outcome(self, agent_id, task, outcome, run_time_s, now):
        """Free the slot of a task that ended."""
        del self._end_times[agent_id][task.key, task.index]

    def next_wakeup(self, now):
        """Return None: decisions change only with arrivals and ends of tasks."""
        return
