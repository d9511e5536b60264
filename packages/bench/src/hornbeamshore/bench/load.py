"""Seeded job arrivals for the measurements of a running deployment."""

import math
import random
from dataclasses import dataclass, replace

from hornbeamshore.bench.profiles import MS_PER_S

# Standard deviation of the logarithm of the run times of one kind.
RUN_TIME_SIGMA = 0.35
RUN_TIME_RANGE_S = (0.05, 1.0)
# Run times of long tasks; the slowest target, too, meets their deadline of 12 s.
LONG_RUN_TIME_RANGE_S = (2.0, 4.0)
MAX_JOB_TASKS = 40
# Offered work as a share of the capacity of the targets.
LOAD = 0.8
# Time for which arrivals are generated; shorter passes use the first of them.
ARRIVALS_SPAN_S = 30.0
# Work offered by a flood, as a multiple of the capacity of the targets.
FLOOD_LOAD = 10.0


@dataclass(frozen=True, slots=True)
class LoadJob:
    """Job or single request that the load submits.

    Attributes
    ----------
    at_s : float
        Arrival time in seconds from the start of the pass.
    run_times_ms : tuple of int
        Actual run time of each task on a target of nominal speed, in milliseconds.
    single : bool
        Whether it is sent as a single request instead of a job.
    flood : bool
        Whether it belongs to the flood.
    """

    id: str
    at_s: float
    team: str
    service: str
    kind: str
    run_times_ms: tuple[int, ...]
    single: bool
    deadline_ms: int
    flood: bool = False


def total_capacity(targets):
    """Return the capacity of targets in seconds of nominal run time per second."""
    return sum(plan.slots * plan.speed for plan in targets)


def steady_jobs(profile, targets, prefix, duration_s, seed, load=LOAD):
    """Return the arrivals of all demands of a profile, ordered by time.

    The arrival times of each demand are scaled so that its work over `ARRIVALS_SPAN_S`
    seconds is exactly its share of the load. A shorter time gets the first of the
    same arrivals.
    """
    jobs = []
    for demand_index, demand in enumerate(profile.demands):
        rng = random.Random(f"{seed} {profile.name} {demand_index}")
        work_rate = load * total_capacity(targets) * demand.share
        name = f"{prefix}-{demand_index}"
        arrivals = _generate_arrivals(
            profile, demand, rng, work_rate, name, 0.0, ARRIVALS_SPAN_S
        )
        jobs += _scale_to_work_rate(tuple(arrivals), work_rate)
    return sorted((job for job in jobs if job.at_s < duration_s), key=_arrival_time)


def flood_jobs(profile, targets, prefix, demand_index, start_s, end_s, seed):
    """Return the arrivals of a flood of one demand, in jobs of the largest size."""
    rng = random.Random(f"{seed} {profile.name} flood {demand_index}")
    work_rate = FLOOD_LOAD * total_capacity(targets)
    demand, name = profile.demands[demand_index], f"{prefix}-flood"
    return tuple(
        _generate_arrivals(
            profile, demand, rng, work_rate, name, start_s, end_s, flood=True
        )
    )


def _arrival_time(job):
    return job.at_s


def _scale_to_work_rate(jobs, work_rate):
    """Scale arrival times so that the work over `ARRIVALS_SPAN_S` seconds is exact.

    Parameters
    ----------
    jobs : tuple of LoadJob
        Jobs of one demand.
    work_rate : float
        Target work rate in seconds of nominal run time per second.
    """
    generated_work_s = sum(sum(job.run_times_ms) for job in jobs) / MS_PER_S
    factor = generated_work_s / (work_rate * ARRIVALS_SPAN_S)
    return [replace(job, at_s=job.at_s * factor) for job in jobs]


def _generate_arrivals(
    profile, demand, rng, work_rate, prefix, start_s, end_s, flood=False
):
    """Yield Poisson arrivals of one demand.

    The rate is set so that the expected work is `work_rate` seconds of nominal run time
    per second.
    """
    mean_tasks = MAX_JOB_TASKS if flood else max(1.0, demand.mean_tasks)
    rate = work_rate / (
        _mean_run_s(demand) * mean_tasks + _mean_long_task_s(demand, flood)
    )
    number, arrival_s = 0, start_s + rng.expovariate(rate)
    while arrival_s < end_s:
        count = MAX_JOB_TASKS if flood else _job_size(rng, demand.mean_tasks)
        run_times_ms = [_run_ms(rng, demand) for _ in range(count)]
        if not flood and rng.random() < demand.long_share:
            run_times_ms[0] = round(rng.uniform(*LONG_RUN_TIME_RANGE_S) * MS_PER_S)
        yield LoadJob(
            f"{prefix}-{number}",
            arrival_s,
            demand.team,
            profile.service,
            demand.kind,
            tuple(run_times_ms),
            not flood and demand.mean_tasks == 0,
            round(demand.deadline_s * MS_PER_S),
            flood,
        )
        number += 1
        arrival_s += rng.expovariate(rate)


def _job_size(rng, mean):
    if mean == 0:
        return 1
    return min(MAX_JOB_TASKS, 1 + int(rng.expovariate(1 / (mean - 0.5))))


def _run_ms(rng, demand):
    run_s = demand.run_s * math.exp(rng.gauss(0, RUN_TIME_SIGMA))
    low, high = RUN_TIME_RANGE_S
    return round(min(high, max(low, run_s)) * MS_PER_S)


def _mean_run_s(demand):
    return demand.run_s * math.exp(RUN_TIME_SIGMA**2 / 2)


def _mean_long_task_s(demand, flood):
    return 0.0 if flood else demand.long_share * sum(LONG_RUN_TIME_RANGE_S) / 2
