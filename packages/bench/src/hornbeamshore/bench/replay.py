"""Offline replay of seeded jobs against one dispatcher, in simulated time.

Evaluates scheduling decisions without starting processes: response times of urgent
jobs over those of a clairvoyant schedule, the share of other jobs answered in time
during floods, and the CPU time of the scheduler for each task started.
"""

import heapq
import itertools
import random
import time
from dataclasses import dataclass

import fire

from hornbeamshore.bench.dispatchers import ClairvoyantDispatcher, RandomFifoScheduler
from hornbeamshore.bench.workload import (
    DATA_CENTRES,
    SERVICE,
    Scenario,
    make_deployment,
    make_hosts,
    make_jobs,
)
from hornbeamshore.config.model import Urgency
from hornbeamshore.policy.scheduler import Scheduler
from hornbeamshore.policy.settings import PolicySettings
from hornbeamshore.policy.types import JobLoad, Outcome, QueuedTask

# Round trip to a target in the data centre of the entry.
NEAR_ROUND_TRIP_S = 0.0004
FAIL_AFTER_S = 0.002
MOST_URGENT_FLOOD = "sales/quote"
LEAST_URGENT_FLOOD = "shops/lookup"


class _OpenJob:
    """Admitted job of which tasks are still queued or running."""

    def __init__(self, job, tasks_left):
        self.job = job
        self.tasks_left = tasks_left
        self.failed = False


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Result of one replay.

    Attributes
    ----------
    responses : dict of JobKey to float
        Response time in seconds of each job that succeeded.
    refused : dict of JobKey to str
        Name of the result code of each refused job.
    failed : int
        Number of jobs with a task that failed or expired.
    starts : int
        Number of tasks started.
    cpu_s, admit_s : float
        CPU seconds of the dispatcher, and the part of them spent on admission.
    """

    responses: dict
    refused: dict
    failed: int
    starts: int
    cpu_s: float
    admit_s: float


class Replay:
    """Simulated load and targets of one scenario.

    Parameters
    ----------
    scenario : Scenario
        Parameters of the load, the targets and their faults.
    """

    def __init__(self, scenario):
        self.scenario = scenario
        self.hosts = make_hosts(scenario)
        self.jobs = make_jobs(scenario, self.hosts)
        self.deployment = make_deployment(scenario)
        self._host_by_agent = {host.info.agent_id: host for host in self.hosts}
        self._job_by_key = {job.key: job for job in self.jobs}

    def run_time_s(self, task, agent_id):
        """Return the true run time of a task on a target in seconds."""
        nominal_s = self._job_by_key[task.key].run_times_s[task.index]
        return nominal_s * self._host_by_agent[agent_id].slowness

    def round_trip_s(self, agent_id):
        """Return the network round trip to an agent in seconds."""
        data_centre = self._host_by_agent[agent_id].info.data_centre
        is_far = data_centre != DATA_CENTRES[0]
        return NEAR_ROUND_TRIP_S + 2 * self.scenario.far_delay_s * is_far

    def run(self, dispatcher):
        """Run the scenario with a dispatcher and return the `ReplayResult`."""
        return _Simulation(self, dispatcher).simulate()


class _Simulation:
    """Discrete-event simulation of one replay."""

    def __init__(self, replay, dispatcher):
        self._replay = replay
        self._dispatcher = dispatcher
        self._events = []
        self._sequence = itertools.count()
        self._open_jobs = {}
        self._responses = {}
        self._refused = {}
        self._failed = 0
        self._starts = 0
        self._cpu_s = self._admit_s = 0.0
        hosts = replay.hosts
        self._failing = {
            host.info.agent_id for host in hosts[: replay.scenario.failing]
        }
        last = len(hosts) - replay.scenario.stalling
        self._stalling = {host.info.agent_id for host in hosts[last:]}

    def simulate(self):
        dispatcher = self._dispatcher
        dispatcher.configure(self._replay.deployment, SERVICE)
        for host in self._replay.hosts:
            dispatcher.add_target(host.info)
        for job in self._replay.jobs:
            self._push(job.arrival, self._handle_arrival, job)
        end = self._replay.scenario.seconds + 30.0
        wakeup = None
        while self._events and self._events[0][0] < end:
            now, _, handler, args = heapq.heappop(self._events)
            if handler is None and now != wakeup:
                continue
            if handler is not None:
                handler(now, *args)
            self._dispatch(now)
            wakeup = self._call_timed(dispatcher.next_wakeup, now)
            if wakeup is not None:
                wakeup = max(wakeup, now + 1e-6)
                self._push(wakeup, None)
        return ReplayResult(
            self._responses,
            self._refused,
            self._failed,
            self._starts,
            self._cpu_s,
            self._admit_s,
        )

    def _call_timed(self, call, *args):
        started = time.thread_time()
        result = call(*args)
        self._cpu_s += time.thread_time() - started
        return result

    def _push(self, at_s, handler, *args):
        heapq.heappush(self._events, (at_s, next(self._sequence), handler, args))

    def _handle_arrival(self, now, job):
        stream = job.stream
        count = len(job.run_times_s)
        load = JobLoad(job.key, stream.team, stream.kind, count, stream.deadline_s)
        before = self._cpu_s
        refusal = self._call_timed(self._dispatcher.admit, load, now)
        self._admit_s += self._cpu_s - before
        if refusal is not None:
            self._refused[job.key] = refusal.code.name
            return
        self._open_jobs[job.key] = _OpenJob(job, count)
        deadline = now + stream.deadline_s
        tasks = [
            QueuedTask(job.key, index, 1, stream.team, stream.kind, deadline)
            for index in range(count)
        ]
        self._call_timed(self._dispatcher.enqueue, tasks, now)

    def _dispatch(self, now):
        for task in self._call_timed(self._dispatcher.expire, now):
            self._fail_job(task)
        for assignment in self._call_timed(self._dispatcher.assign, now):
            self._start_task(now, assignment)

    def _start_task(self, now, assignment):
        self._starts += 1
        task, agent_id = assignment.task, assignment.agent_id
        run_time_s, outcome = self._replay.run_time_s(task, agent_id), Outcome.OK
        if now >= self._replay.scenario.flood_from:
            if agent_id in self._failing:
                run_time_s, outcome = FAIL_AFTER_S, Outcome.FAILED
            if agent_id in self._stalling:
                run_time_s, outcome = 15.0, Outcome.LOST
        answered_at = now + run_time_s + self._replay.round_trip_s(agent_id)
        self._push(answered_at, self._handle_answer, assignment, outcome, run_time_s)

    def _handle_answer(self, now, assignment, outcome, run_time_s):
        task = assignment.task
        end_args = assignment.agent_id, task, outcome, run_time_s, now
        self._call_timed(self._dispatcher.record_outcome, *end_args)
        if outcome is not Outcome.OK:
            self._fail_job(task)
            return
        open_job = self._open_jobs.get(task.key)
        if open_job is None:
            return
        open_job.tasks_left -= 1
        if open_job.tasks_left == 0:
            del self._open_jobs[task.key]
            self._responses[task.key] = now - open_job.job.arrival

    def _fail_job(self, task):
        if self._open_jobs.pop(task.key, None) is not None:
            self._failed += 1
            self._dispatcher.cancel(task.key)


def quantile(values, share):
    """Return the quantile of the values, without interpolation.

    Parameters
    ----------
    values : sequence of float
        At least one value.
    share : float
        Rank of the quantile, from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_ideal(replay, smallest_first=False):
    """Return the `ReplayResult` of the clairvoyant dispatcher."""
    kinds = replay.deployment.services[SERVICE].kinds
    urgency = {name: kind.urgency for name, kind in kinds.items()}

    def run_time_s(task, agent_id):
        return replay.run_time_s(task, agent_id) + replay.round_trip_s(agent_id)

    return replay.run(ClairvoyantDispatcher(run_time_s, urgency, smallest_first))


def make_dispatcher(name, seed):
    """Return a new dispatcher: ``scheduler``, or ``plain`` for random and FIFO."""
    cfg = PolicySettings(data_centre=DATA_CENTRES[0])
    dispatcher_class = {"scheduler": Scheduler, "plain": RandomFifoScheduler}[name]
    return dispatcher_class(cfg, random.Random(seed))


def compare_with_ideal(scenario, name, smallest_first=False):
    """Compare the response times of urgent jobs with those of the ideal schedule.

    Returns
    -------
    dict
        Quantiles of the ratio of each job (``job_p50``, ``job_p99``), ratios of the
        quantiles (``p50``, ``p99``), counts of jobs, and CPU microseconds for each
        task. The response time of an unanswered job is infinite.
    """
    replay = Replay(scenario)
    ideal = run_ideal(replay, smallest_first)
    result = replay.run(make_dispatcher(name, scenario.seed))
    urgent_keys = [
        job.key
        for job in replay.jobs
        if job.arrival >= scenario.measured_from
        and job.stream.urgency is Urgency.URGENT
        and job.key in ideal.responses
    ]
    unanswered_s = float("inf")
    response_s = [result.responses.get(key, unanswered_s) for key in urgent_keys]
    ideal_s = [ideal.responses[key] for key in urgent_keys]
    ratios = [
        actual / reference
        for actual, reference in zip(response_s, ideal_s, strict=True)
    ]
    row = {"jobs": len(urgent_keys)}
    for share in (0.5, 0.99):
        label = f"p{share * 100:g}"
        row[f"job_{label}"] = quantile(ratios, share)
        row[label] = quantile(response_s, share) / quantile(ideal_s, share)
    row["unanswered"] = sum(key not in result.responses for key in urgent_keys)
    row["us_per_task"] = result.cpu_s / max(1, result.starts) * 1e6
    return row


def other_work_in_time(scenario, name):
    """Return the share of other jobs answered in time during the flood.

    Jobs of the flooding stream are excluded. ``worst`` is the stream with the lowest
    share.
    """
    replay = Replay(scenario)
    result = replay.run(make_dispatcher(name, scenario.seed))
    counts_by_stream = {}
    flood_counts = [0, 0]
    for job in replay.jobs:
        if not scenario.flood_from <= job.arrival < scenario.flood_to:
            continue
        label = f"{job.stream.team}/{job.stream.kind}"
        counts = (
            flood_counts
            if label == scenario.flood
            else counts_by_stream.setdefault(label, [0, 0])
        )
        counts[0] += 1
        counts[1] += result.responses.get(job.key, 1e9) <= job.stream.deadline_s
    shares = {
        label: in_time / count for label, (count, in_time) in counts_by_stream.items()
    }
    worst = min(shares, key=shares.get)
    total = sum(count for count, _ in counts_by_stream.values())
    return {
        "jobs": total,
        "in_time": sum(in_time for _, in_time in counts_by_stream.values()) / total,
        "worst": f"{worst} {shares[worst]:.3f}",
        "flood_answered": flood_counts[1] / max(1, flood_counts[0]),
        "failed": result.failed,
        "us_per_task": result.cpu_s / max(1, result.starts) * 1e6,
        "us_per_job": result.cpu_s / len(replay.jobs) * 1e6,
    }


def measure_scheduler_cost(scenario):
    """Return CPU microseconds of the scheduler for each admission and each start."""
    replay = Replay(scenario)
    result = replay.run(make_dispatcher("scheduler", scenario.seed))
    refused = len(result.refused)
    admit_us = result.admit_s / len(replay.jobs) * 1e6
    return {
        "arrivals": len(replay.jobs),
        "refused": refused,
        "starts": result.starts,
        "us_per_admit": admit_us,
        "us_per_start": (result.cpu_s - result.admit_s) / result.starts * 1e6,
        "core_share": result.cpu_s / scenario.seconds,
    }


class Commands:
    """Offline replay of seeded jobs in simulated time."""

    def cost(self, seconds=10.0):
        """Print CPU time for each admission and start, with 11 and 58 targets."""
        for targets, flood in itertools.product((11, 58), ("", MOST_URGENT_FLOOD)):
            # About 3,000 jobs arrive in each second of a flood with either number.
            flood_load = 10.0 * 22 / targets
            case = Scenario(
                targets=targets,
                seconds=seconds,
                flood=flood,
                flood_load=flood_load,
                flood_from=1.0,
                flood_to=seconds,
            )
            _print_row(
                f"{targets} targets, flood {flood or 'none'}",
                measure_scheduler_cost(case),
            )

    def ideal(self, seeds=3, dispatcher="scheduler", smallest_first=False, **scenario):
        """Print response times of urgent jobs over the ideal ones for each seed."""
        for seed in range(1, seeds + 1):
            case = Scenario(seed=seed, **scenario)
            row = compare_with_ideal(case, dispatcher, smallest_first)
            _print_row(f"{dispatcher} seed {seed}", row)

    def floods(self, seeds=3, dispatcher="scheduler", **scenario):
        """Print the share of other jobs in time during both floods for each seed."""
        for flood in (LEAST_URGENT_FLOOD, MOST_URGENT_FLOOD):
            self.flood(flood, seeds, dispatcher, **scenario)

    def flood(self, flood, seeds=3, dispatcher="scheduler", **scenario):
        """Print the share of other jobs in time during one flood for each seed."""
        for seed in range(1, seeds + 1):
            case = Scenario(seed=seed, flood=flood, **scenario)
            row = other_work_in_time(case, dispatcher)
            _print_row(f"{dispatcher} {flood} seed {seed}", row)


def _print_row(label, row):
    cells = (
        f"{name} {value:.3f}" if isinstance(value, float) else f"{name} {value}"
        for name, value in row.items()
    )
    print(f"{label}: " + ", ".join(cells), flush=True)


if __name__ == "__main__":
    fire.Fire(Commands)
