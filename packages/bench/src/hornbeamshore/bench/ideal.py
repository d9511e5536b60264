"""Simulated response times of a clairvoyant schedule."""

import heapq
import itertools

from hornbeamshore.base.types import JobKey
from hornbeamshore.bench.dispatchers import ClairvoyantDispatcher
from hornbeamshore.bench.profiles import MS_PER_S
from hornbeamshore.policy.types import Outcome, QueuedTask, TargetInfo

# Round trips over loopback from caller to entry, entry to agent and agent to target.
NETWORK_ROUND_TRIPS_S = 0.0003

_TASK_ENDED, _JOB_ARRIVED = 0, 1


def ideal_responses(jobs, targets, urgency, network_s=NETWORK_ROUND_TRIPS_S):
    """Return the seconds from arrival to completion of each job, by its id.

    Parameters
    ----------
    jobs : sequence of LoadJob
        Jobs ordered by arrival.
    targets : sequence of TargetPlan
        Targets with their speeds and slots.
    urgency : dict of str to Urgency
        Urgency class of each kind.
    network_s : float
        Network round trips in seconds, added to each response time.
    """
    return _Simulation(jobs, targets, urgency, network_s).simulate()


def fastest_run_time_s(job, targets):
    """Return the run time in seconds of the longest task on the fastest target."""
    return max(job.run_times_ms) / MS_PER_S / max(plan.speed for plan in targets)


class _Simulation:
    """Discrete-event simulation of the clairvoyant schedule."""

    def __init__(self, jobs, targets, urgency, network_s):
        self._jobs = {job.id: job for job in jobs}
        self._speeds = {plan.agent_id: plan.speed for plan in targets}
        self._network_s = network_s
        self._dispatcher = ClairvoyantDispatcher(self._run_time_s, urgency)
        for plan in targets:
            info = TargetInfo(plan.agent_id, plan.data_centre, plan.rack, plan.slots)
            self._dispatcher.add_target(info)
        self._sequence = itertools.count()
        self._events = []
        self._tasks_left = {job.id: len(job.run_times_ms) for job in jobs}
        self._responses = {}
        for job in jobs:
            self._push(job.at_s, _JOB_ARRIVED, job)

    def simulate(self):
        while self._events:
            now, event_type, _, payload = heapq.heappop(self._events)
            if event_type == _JOB_ARRIVED:
                self._dispatcher.enqueue(_queued_tasks(payload), now)
            else:
                self._handle_task_end(payload, now)
            for assignment in self._dispatcher.assign(now):
                run_s = self._run_time_s(assignment.task, assignment.agent_id)
                self._push(now + run_s, _TASK_ENDED, assignment)
        return self._responses

    def _push(self, at_s, event_type, payload):
        heapq.heappush(self._events, (at_s, event_type, next(self._sequence), payload))

    def _run_time_s(self, task, agent_id):
        run_ms = self._jobs[task.key.job_id].run_times_ms[task.index]
        return run_ms / MS_PER_S / self._speeds[agent_id]

    def _handle_task_end(self, assignment, now):
        task = assignment.task
        end_args = assignment.agent_id, task, Outcome.OK, 0.0, now
        self._dispatcher.record_outcome(*end_args)
        job_id = task.key.job_id
        self._tasks_left[job_id] -= 1
        if not self._tasks_left[job_id]:
            response_s = now - self._jobs[job_id].at_s + self._network_s
            self._responses[job_id] = response_s


def _queued_tasks(job):
    key = JobKey(job.team, job.service, job.id)
    deadline = job.at_s + job.deadline_ms / MS_PER_S
    return [
        QueuedTask(key, index, 1, job.team, job.kind, deadline)
        for index in range(len(job.run_times_ms))
    ]
