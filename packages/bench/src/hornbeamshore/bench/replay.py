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

from hornbeamshore.bench.dispatchers import IdealDispatcher, PlainDispatcher
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


class _Open:
    def __init__(self, job, left):
        self.job = job
        self.left = left
        self.failed = False


@dataclass(frozen=True, slots=True)
class Replayed:
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
        self._by_id = {host.info.agent_id: host for host in self.hosts}
        self._by_key = {job.key: job for job in self.jobs}

    def run_time(self, task, agent_id):
        """Return the true run time of a task on a target in seconds."""
        size = self._by_key[task.key].sizes[task.index]
        return size * self._by_id[agent_id].slowness

    def round_trip(self, agent_id):
        """Return the network round trip to an agent in seconds."""
        centre = self._by_id[agent_id].info.data_centre
        far = centre != DATA_CENTRES[0]
        return NEAR_ROUND_TRIP_S + 2 * self.scenario.far_delay_s * far

    def run(self, dispatcher):
        """Run the scenario with a dispatcher and return the `Replayed` result."""
        return _Run(self, dispatcher).play()


class _Run:
    def __init__(self, replay, dispatcher):
        self._replay = replay
        self._dispatcher = dispatcher
        self._events = []
        self._sequence = itertools.count()
        self._open = {}
        self._responses = {}
        self._refused = {}
        self._failed = 0
        self._starts = 0
        self._cpu_s = self._admit_s = 0.0
        hosts = replay.hosts
        self._failing = {h.info.agent_id for h in hosts[: replay.scenario.failing]}
        last = len(hosts) - replay.scenario.stalling
        self._stalling = {h.info.agent_id for h in hosts[last:]}

    def play(self):
        dispatcher = self._dispatcher
        dispatcher.configure(self._replay.deployment, SERVICE)
        for host in self._replay.hosts:
            dispatcher.add_target(host.info)
        for job in self._replay.jobs:
            self._push(job.arrival, self._arrive, job)
        end = self._replay.scenario.seconds + 30.0
        wakeup = None
        while self._events and self._events[0][0] < end:
            now, _, act, args = heapq.heappop(self._events)
            if act is None and now != wakeup:
                continue
            if act is not None:
                act(now, *args)
            self._settle(now)
            wakeup = self._timed(dispatcher.next_wakeup, now)
            if wakeup is not None:
                wakeup = max(wakeup, now + 1e-6)
                self._push(wakeup, None)
        return Replayed(
            self._responses,
            self._refused,
            self._failed,
            self._starts,
            self._cpu_s,
            self._admit_s,
        )

    def _timed(self, call, *args):
        began = time.thread_time()
        result = call(*args)
        self._cpu_s += time.thread_time() - began
        return result

    def _push(self, moment, act, *args):
        heapq.heappush(self._events, (moment, next(self._sequence), act, args))

    def _arrive(self, now, job):
        stream = job.stream
        count = len(job.sizes)
        load = JobLoad(job.key, stream.team, stream.kind, count, stream.deadline_s)
        before = self._cpu_s
        refusal = self._timed(self._dispatcher.admit, load, now)
        self._admit_s += self._cpu_s - before
        if refusal is not None:
            self._refused[job.key] = refusal.code.name
            return
        self._open[job.key] = _Open(job, count)
        deadline = now + stream.deadline_s
        tasks = [
            QueuedTask(job.key, index, 1, stream.team, stream.kind, deadline)
            for index in range(count)
        ]
        self._timed(self._dispatcher.enqueue, tasks, now)

    def _settle(self, now):
        for task in self._timed(self._dispatcher.expire, now):
            self._fail(task)
        for assignment in self._timed(self._dispatcher.assign, now):
            self._begin(now, assignment)

    def _begin(self, now, assignment):
        self._starts += 1
        task, agent_id = assignment.task, assignment.agent_id
        run_time, outcome = self._replay.run_time(task, agent_id), Outcome.OK
        if now >= self._replay.scenario.flood_from:
            if agent_id in self._failing:
                run_time, outcome = FAIL_AFTER_S, Outcome.FAILED
            if agent_id in self._stalling:
                run_time, outcome = 15.0, Outcome.LOST
        answered = now + run_time + self._replay.round_trip(agent_id)
        self._push(answered, self._answer, assignment, outcome, run_time)

    def _answer(self, now, assignment, outcome, run_time):
        task = assignment.task
        ended = assignment.agent_id, task, outcome, run_time, now
        self._timed(self._dispatcher.ended, *ended)
        if outcome is not Outcome.OK:
            self._fail(task)
            return
        entry = self._open.get(task.key)
        if entry is None:
            return
        entry.left -= 1
        if entry.left == 0:
            del self._open[task.key]
            self._responses[task.key] = now - entry.job.arrival

    def _fail(self, task):
        if self._open.pop(task.key, None) is not None:
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


def ideal_of(replay, smallest_first=False):
    """Return the `Replayed` result of the clairvoyant dispatcher."""
    kinds = replay.deployment.services[SERVICE].kinds
    urgency = {name: kind.urgency for name, kind in kinds.items()}

    def run_time(task, agent_id):
        return replay.run_time(task, agent_id) + replay.round_trip(agent_id)

    return replay.run(IdealDispatcher(run_time, urgency, smallest_first))


def make_dispatcher(name, seed):
    """Return the dispatcher called ``scheduler`` or ``plain``."""
    cfg = PolicySettings(data_centre=DATA_CENTRES[0])
    kind = {"scheduler": Scheduler, "plain": PlainDispatcher}[name]
    return kind(cfg, random.Random(seed))


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
    ideal = ideal_of(replay, smallest_first)
    real = replay.run(make_dispatcher(name, scenario.seed))
    counted = [
        job.key
        for job in replay.jobs
        if job.arrival >= scenario.measured_from
        and job.stream.urgency is Urgency.URGENT
        and job.key in ideal.responses
    ]
    missing = float("inf")
    ours = [real.responses.get(key, missing) for key in counted]
    best = [ideal.responses[key] for key in counted]
    ratios = [mine / other for mine, other in zip(ours, best, strict=True)]
    row = {"jobs": len(counted)}
    for share in (0.5, 0.99):
        label = f"p{share * 100:g}"
        row[f"job_{label}"] = quantile(ratios, share)
        row[label] = quantile(ours, share) / quantile(best, share)
    row["unanswered"] = sum(key not in real.responses for key in counted)
    row["us_per_task"] = real.cpu_s / max(1, real.starts) * 1e6
    return row


def other_work_in_time(scenario, name):
    """Return the share of other jobs answered in time during the flood.

    Jobs of the flooding stream are excluded. ``worst`` is the stream with the lowest
    share.
    """
    replay = Replay(scenario)
    real = replay.run(make_dispatcher(name, scenario.seed))
    streams = {}
    flood = [0, 0]
    for job in replay.jobs:
        if not scenario.flood_from <= job.arrival < scenario.flood_to:
            continue
        label = f"{job.stream.team}/{job.stream.kind}"
        counts = flood if label == scenario.flood else streams.setdefault(label, [0, 0])
        counts[0] += 1
        counts[1] += real.responses.get(job.key, 1e9) <= job.stream.deadline_s
    shares = {label: good / count for label, (count, good) in streams.items()}
    worst = min(shares, key=shares.get)
    total = sum(count for count, _ in streams.values())
    return {
        "jobs": total,
        "in_time": sum(good for _, good in streams.values()) / total,
        "worst": f"{worst} {shares[worst]:.3f}",
        "flood_answered": flood[1] / max(1, flood[0]),
        "failed": real.failed,
        "us_per_task": real.cpu_s / max(1, real.starts) * 1e6,
        "us_per_job": real.cpu_s / len(replay.jobs) * 1e6,
    }


def cost(scenario):
    """Return CPU microseconds of the scheduler for each admission and each start."""
    replay = Replay(scenario)
    real = replay.run(make_dispatcher("scheduler", scenario.seed))
    refused = len(real.refused)
    admit_us = real.admit_s / len(replay.jobs) * 1e6
    return {
        "arrivals": len(replay.jobs),
        "refused": refused,
        "starts": real.starts,
        "us_per_admit": admit_us,
        "us_per_start": (real.cpu_s - real.admit_s) / real.starts * 1e6,
        "core_share": real.cpu_s / scenario.seconds,
    }


class Commands:
    """Commands of the command line."""

    def cost(self, seconds=10.0):
        """Print CPU time for each admission and start, with 11 and 58 targets."""
        for targets, flood in itertools.product((11, 58), ("", MOST_URGENT_FLOOD)):
            # About 3,000 jobs arrive in each second of a flood, whatever the targets.
            flood_load = 10.0 * 22 / targets
            case = Scenario(
                targets=targets,
                seconds=seconds,
                flood=flood,
                flood_load=flood_load,
                flood_from=1.0,
                flood_to=seconds,
            )
            _print(f"{targets} targets, flood {flood or 'none'}", cost(case))

    def ideal(self, seeds=3, dispatcher="scheduler", smallest_first=False, **scenario):
        """Print response times of urgent jobs over the ideal ones for each seed."""
        for seed in range(1, seeds + 1):
            case = Scenario(seed=seed, **scenario)
            row = compare_with_ideal(case, dispatcher, smallest_first)
            _print(f"{dispatcher} seed {seed}", row)

    def floods(self, seeds=3, dispatcher="scheduler", **scenario):
        """Print the share of other jobs in time during both floods for each seed."""
        for flood in (LEAST_URGENT_FLOOD, MOST_URGENT_FLOOD):
            self.flood(flood, seeds, dispatcher, **scenario)

    def flood(self, flood, seeds=3, dispatcher="scheduler", **scenario):
        """Print the share of other jobs in time during one flood for each seed."""
        for seed in range(1, seeds + 1):
            case = Scenario(seed=seed, flood=flood, **scenario)
            row = other_work_in_time(case, dispatcher)
            _print(f"{dispatcher} {flood} seed {seed}", row)


def _print(label, row):
    cells = (
        f"{name} {value:.3f}" if isinstance(value, float) else f"{name} {value}"
        for name, value in row.items()
    )
    print(f"{label}: " + ", ".join(cells), flush=True)


if __name__ == "__main__":
    fire.Fire(Commands)
