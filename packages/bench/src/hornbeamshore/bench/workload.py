"""Seeded arrivals and targets for the offline replay."""

import math
import random
from dataclasses import dataclass

from hornbeamshore.base.settings import Duration
from hornbeamshore.base.types import JobKey
from hornbeamshore.config.model import Deployment, Kind, Service, Team, Urgency
from hornbeamshore.policy.types import TargetInfo

SERVICE = "orders"
DATA_CENTRES = ("north", "middle", "south")
TARGETS_PER_RACK = 3
# Factors of the run times on the fastest and the slowest host.
SLOWNESS_RANGE = (0.5, 2.0)
# Declared run times are off by up to this factor in either direction.
DECLARED_ERROR_FACTOR = 10.0
# Standard deviation of the logarithm of the run times of one kind.
RUN_TIME_SIGMA = 0.35
MAX_JOB_TASKS = 40


@dataclass(frozen=True, slots=True)
class Stream:
    """Steady load of one team and kind.

    Attributes
    ----------
    run_s : float
        Median run time of a task on a host of slowness 1.
    mean_tasks : float
        Mean number of tasks of a job.
    share : float
        Share of the offered work.
    deadline_s : float
        Time limit for the answer.
    """

    team: str
    kind: str
    urgency: Urgency
    run_s: float
    mean_tasks: float
    share: float
    deadline_s: float


STREAMS = (
    Stream("sales", "quote", Urgency.URGENT, 0.08, 4, 0.10, 2.0),
    Stream("members", "quote", Urgency.URGENT, 0.08, 4, 0.08, 2.0),
    Stream("members", "hold", Urgency.URGENT, 0.05, 1, 0.02, 2.0),
    Stream("sales", "plan", Urgency.URGENT, 0.4, 8, 0.15, 4.0),
    Stream("members", "preview", Urgency.NORMAL, 0.25, 4, 0.15, 4.0),
    Stream("shops", "preview", Urgency.NORMAL, 0.25, 4, 0.15, 4.0),
    Stream("shops", "check", Urgency.NORMAL, 0.8, 8, 0.13, 8.0),
    Stream("members", "survey", Urgency.NORMAL, 4.0, 1, 0.07, 20.0),
    Stream("sales", "report", Urgency.BACKGROUND, 0.5, 12, 0.10, 20.0),
    Stream("shops", "lookup", Urgency.BACKGROUND, 0.1, 4, 0.05, 10.0),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one replay.

    Attributes
    ----------
    seed : int
        Seed of hosts, declared run times and arrivals.
    targets, slots : int
        Number of targets, and slots of each.
    seconds : float
        Length of the interval in which the steady jobs arrive.
    load : float
        Offered work of the steady streams over the capacity of all targets.
    flood : str
        ``team/kind`` of the stream that floods; empty for none.
    flood_load : float
        Offered work of the flood over the capacity of all targets.
    flood_from, flood_to : float
        Start and end of the flood in seconds.
    measured_from : float
        Jobs that arrive before this second are not counted.
    failing : int
        Number of targets that fail each task after 2 ms from `flood_from` on.
    stalling : int
        Number of targets on which no task ends from `flood_from` on.
    far_delay_s : float
        One-way delay to a target in another data centre.
    """

    seed: int = 1
    targets: int = 11
    slots: int = 8
    seconds: float = 60.0
    load: float = 0.8
    flood: str = ""
    flood_load: float = 10.0
    flood_from: float = 30.0
    flood_to: float = 50.0
    measured_from: float = 10.0
    failing: int = 0
    stalling: int = 0
    far_delay_s: float = 0.0015


@dataclass(frozen=True, slots=True)
class Host:
    """Simulated target and the true factor of its run times."""

    info: TargetInfo
    slowness: float


@dataclass(frozen=True, slots=True)
class Job:
    """Job of the simulated load.

    Attributes
    ----------
    arrival : float
        Time of arrival in seconds.
    run_times_s : tuple of float
        True run times of the tasks on a host of slowness 1.
    flood : bool
        Whether the job belongs to the flood.
    """

    arrival: float
    key: JobKey
    stream: Stream
    run_times_s: tuple[float, ...]
    flood: bool


def make_hosts(scenario):
    """Return the hosts, with log-spaced slowness in seeded order."""
    low, high = (math.log(value) for value in SLOWNESS_RANGE)
    step = (high - low) / max(1, scenario.targets - 1)
    slowness = [math.exp(low + step * i) for i in range(scenario.targets)]
    random.Random(scenario.seed).shuffle(slowness)
    return tuple(
        Host(
            TargetInfo(
                f"agent-{i}",
                DATA_CENTRES[i % len(DATA_CENTRES)],
                f"rack-{i // TARGETS_PER_RACK}",
                scenario.slots,
            ),
            value,
        )
        for i, value in enumerate(slowness)
    )


def make_deployment(scenario):
    """Return a deployment with declared run times off by up to a factor of 10."""
    rng = random.Random(scenario.seed + 1)
    kinds = {}
    for stream in STREAMS:
        error = DECLARED_ERROR_FACTOR ** rng.uniform(-1, 1)
        kinds[stream.kind] = Kind(
            urgency=stream.urgency, expected_run=Duration(stream.run_s * error)
        )
    slots = scenario.targets * scenario.slots
    teams = {stream.team: Team("", slots) for stream in STREAMS}
    return Deployment("replay", {SERVICE: Service(kinds)}, teams)


def make_jobs(scenario, hosts):
    """Return the jobs ordered by arrival."""
    rng = random.Random(scenario.seed + 2)
    capacity = sum(host.info.slots / host.slowness for host in hosts)
    jobs = []
    for stream in STREAMS:
        work_rate = scenario.load * capacity * stream.share
        jobs += _make_arrivals(rng, stream, work_rate, 0.0, scenario.seconds, False)
        if f"{stream.team}/{stream.kind}" == scenario.flood:
            work_rate = scenario.flood_load * capacity
            flood_interval = scenario.flood_from, scenario.flood_to
            jobs += _make_arrivals(rng, stream, work_rate, *flood_interval, True)
    return sorted(jobs, key=lambda job: job.arrival)


def _make_arrivals(rng, stream, work_rate, start, end, flood):
    mean_run = stream.run_s * math.exp(RUN_TIME_SIGMA**2 / 2)
    rate = work_rate / (mean_run * stream.mean_tasks)
    arrival_s = start + rng.expovariate(rate)
    while arrival_s < end:
        count = _draw_task_count(rng, stream.mean_tasks)
        run_times_s = tuple(_draw_run_time_s(rng, stream) for _ in range(count))
        name = f"{stream.kind}-{arrival_s:.9f}{'-flood' if flood else ''}"
        key = JobKey(stream.team, SERVICE, name)
        yield Job(arrival_s, key, stream, run_times_s, flood)
        arrival_s += rng.expovariate(rate)


def _draw_task_count(rng, mean):
    if mean <= 1:
        return 1
    return min(MAX_JOB_TASKS, 1 + int(rng.expovariate(1 / (mean - 0.5))))


def _draw_run_time_s(rng, stream):
    return stream.run_s * math.exp(rng.gauss(0, RUN_TIME_SIGMA))
