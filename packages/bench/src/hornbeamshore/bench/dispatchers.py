"""Dispatchers that the offline replay compares with the scheduler."""

import heapq
import math
from collections import deque

from hornbeamshore.config.model import Urgency
from hornbeamshore.policy.admission import Admission
from hornbeamshore.policy.outliers import FailureOutliers
from hornbeamshore.policy.placement import Choice, Placement
from hornbeamshore.policy.queueing import FairQueue
from hornbeamshore.policy.scheduler import Scheduler
from hornbeamshore.policy.types import Assignment

URGENCY_RANK = {urgency: rank for rank, urgency in enumerate(Urgency)}


class AdmitAll(Admission):
    """Refuses nothing."""

    def check(self, load, forecast):
        """Return None."""
        return


class RandomPlacement(Placement):
    """Takes any target that has a free slot."""

    def __init__(self, rng, fleet):
        self._rng = rng
        self._fleet = fleet

    def begin(self, now):
        """Start a round; nothing is kept between choices."""

    def choose(self, flow, now):
        """Return a random target with a free slot, or None."""
        free = [target for target in self._fleet.targets() if target.usable]
        return Choice(self._rng.choice(free)) if free else None


class FirstComeQueue(FairQueue):
    """One queue for all tasks, in the order of arrival."""

    def flow(self, team, kind):
        """Return the only flow."""
        return super().flow("", "")


class NoOutliers(FailureOutliers):
    """Ejects nothing."""

    def ended(self, agent_id, kind, outcome, now):
        """Note nothing."""

    def stalled(self, agent_id, now):
        """Note nothing."""


class PlainDispatcher(Scheduler):
    """Random target, one first-come queue, no limits."""

    def _make_outliers(self):
        return NoOutliers(self._cfg.outliers)

    def _make_queue(self):
        return FirstComeQueue(self._cfg.queue, self._run_times)

    def _make_placement(self):
        return RandomPlacement(self._rng, self._fleet)

    def _make_admission(self):
        return AdmitAll()

    def _quota(self, team):
        return math.inf


class IdealDispatcher:
    """All-knowing schedule.

    Knows each run time and end, takes the most urgent and oldest task first, and
    gives it to the target that ends it first, waiting for a busy one if that ends
    it earlier. It does not know later arrivals.

    Parameters
    ----------
    run_time : callable
        Returns the true seconds from start to answer for a task and an agent id.
    urgency : dict of str to Urgency
        Class of each kind.
    """

    def __init__(self, run_time, urgency):
        self._run_time = run_time
        self._rank = {kind: URGENCY_RANK[value] for kind, value in urgency.items()}
        self._waiting = [deque() for _ in Urgency]
        self._slots = {}
        self._ends = {}

    def configure(self, deployment, service):
        """Take nothing: all is known."""

    def add_target(self, info):
        """Add a target."""
        self._slots[info.agent_id] = info.slots
        self._ends[info.agent_id] = {}

    def admit(self, load, now):
        """Return None: nothing is refused."""
        return

    def enqueue(self, tasks, now):
        """Queue tasks."""
        for task in tasks:
            self._waiting[self._rank[task.kind]].append(task)

    def cancel(self, key):
        """Remove the queued tasks of a job."""
        for rank, queue in enumerate(self._waiting):
            self._waiting[rank] = deque(task for task in queue if task.key != key)
        return ()

    def expire(self, now):
        """Return nothing: the ideal finishes all work."""
        return ()

    def assign(self, now):
        """Return the tasks to start now, each as an `Assignment`."""
        free = {
            agent_id: self._slots[agent_id] - len(ends)
            for agent_id, ends in self._ends.items()
        }
        unused = sum(free.values())
        plan = {
            agent_id: [now] * free[agent_id] + sorted(ends.values())
            for agent_id, ends in self._ends.items()
        }
        out = []
        for rank, queue in enumerate(self._waiting):
            kept = deque()
            while queue and unused:
                task = queue.popleft()
                end, agent_id = min(
                    (slots[0] + self._run_time(task, agent_id), agent_id)
                    for agent_id, slots in plan.items()
                )
                if plan[agent_id][0] <= now:
                    out.append(Assignment(task, agent_id))
                    self._ends[agent_id][task.key, task.index] = end
                    unused -= 1
                else:
                    kept.append(task)
                heapq.heapreplace(plan[agent_id], end)
            kept.extend(queue)
            self._waiting[rank] = kept
        return tuple(out)

    def ended(self, agent_id, task, outcome, run_time_s, now):
        """Free the slot of a task."""
        del self._ends[agent_id][task.key, task.index]

    def next_wakeup(self, now):
        """Return None: ends and arrivals are the only events."""
        return
