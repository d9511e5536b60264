"""Load profiles of the two example deployments for the benchmark of processes."""

import math
import random
from dataclasses import dataclass
from pathlib import Path

import yaml

from hornbeamshore.bench.fleet import EntryPlan, TargetPlan
from hornbeamshore.config.check import check_deployment

SLOTS_PER_TARGET = 8
TARGET_COUNT = 11
TARGETS_PER_RACK = 3
# Slowest and fastest target relative to nominal speed, a factor of 4 apart.
SPEED_RANGE = (0.5, 2.0)
# Declared run times are off by up to this factor in either direction.
DECLARED_ERROR_FACTOR = 10.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Demand:
    """Steady load of one team and kind.

    Attributes
    ----------
    run_s : float
        Median run time of a task on a target of nominal speed.
    mean_tasks : float
        Mean number of tasks of a job; 0 for single requests.
    share : float
        Share of the offered work.
    deadline_s : float
        Deadline of each submission.
    long_share : float
        Share of the submissions whose first task runs for several seconds.
    """

    team: str
    kind: str
    run_s: float
    mean_tasks: float
    share: float
    deadline_s: float
    long_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Profile:
    """Example deployment and its load.

    Attributes
    ----------
    name : str
        Name of the deployment.
    example : pathlib.Path
        Deployment file.
    service : str
        Service that the load is submitted to.
    tokens : dict of str to str
        Bearer token of each team.
    least_urgent, most_urgent : int
        Indexes in `demands` of the kinds that flood. If all kinds have the same
        urgency class, the one with the longest objective is the least urgent.
    """

    name: str
    example: Path
    service: str
    data_centres: tuple[str, ...]
    tokens: dict[str, str]
    demands: tuple[Demand, ...]
    least_urgent: int
    most_urgent: int


TAYSIDE = Profile(
    "tayside",
    Path("examples/tayside.yaml"),
    "order-desk",
    ("perth", "dundee", "stirling"),
    {
        "members": "tayside-members-demo-token",
        "sales": "tayside-sales-demo-token",
    },
    (
        Demand("members", "cut-quote", 0.4, 5, 0.40, 12.0, long_share=0.02),
        Demand("members", "stock-check", 0.08, 6, 0.12, 5.0),
        Demand("sales", "cut-quote", 0.4, 4, 0.33, 12.0, long_share=0.02),
        Demand("sales", "stock-check", 0.08, 0, 0.06, 5.0),
        Demand("members", "slot-hold", 0.15, 0, 0.06, 5.0),
        Demand("sales", "slot-hold", 0.15, 0, 0.03, 5.0),
    ),
    least_urgent=0,
    most_urgent=1,
)
KNIPLING = Profile(
    "knipling",
    Path("examples/knipling.yaml"),
    "die-order",
    ("koebenhavn", "roskilde", "koege"),
    {
        "shops": "knipling-shops-demo-token",
        "workshops": "knipling-workshops-demo-token",
    },
    (
        Demand("shops", "pattern-preview", 0.2, 5, 0.27, 10.0),
        Demand("shops", "die-order", 0.3, 4, 0.15, 10.0),
        Demand("shops", "steel-lookup", 0.06, 0, 0.05, 5.0),
        Demand("workshops", "layout-check", 0.7, 4, 0.28, 12.0, long_share=0.02),
        Demand("workshops", "die-order", 0.3, 0, 0.10, 10.0),
        Demand("workshops", "die-order", 0.3, 6, 0.10, 10.0),
        Demand("workshops", "steel-lookup", 0.06, 4, 0.05, 5.0),
    ),
    least_urgent=0,
    most_urgent=1,
)
PROFILES = {profile.name: profile for profile in (TAYSIDE, KNIPLING)}


def entry_plans(profile):
    """Return the plans of the entries, one in each data centre."""
    return tuple(
        EntryPlan(f"entry-{number}", data_centre)
        for number, data_centre in enumerate(profile.data_centres, 1)
    )


def target_plans(profile, seed):
    """Return the plans of the targets, with log-spaced speeds in seeded order."""
    low, high = (math.log(value) for value in SPEED_RANGE)
    step = (high - low) / (TARGET_COUNT - 1)
    speeds = [round(math.exp(low + step * i), 3) for i in range(TARGET_COUNT)]
    random.Random(seed).shuffle(speeds)
    data_centres = profile.data_centres
    return tuple(
        TargetPlan(
            f"agent-{i + 1}",
            data_centres[i % len(data_centres)],
            f"rack-{i // TARGETS_PER_RACK}",
            profile.service,
            speed,
            SLOTS_PER_TARGET,
        )
        for i, speed in enumerate(speeds)
    )


def misdeclared_deployment(profile, seed):
    """Return the deployment file, its run times off by up to a factor of 10."""
    rng = random.Random(f"{seed} declared")
    deployment = yaml.safe_load(profile.example.read_text())
    run_times_s = {demand.kind: demand.run_s for demand in profile.demands}
    for name, kind in deployment["services"][profile.service]["kinds"].items():
        declared_s = run_times_s[name] * DECLARED_ERROR_FACTOR ** rng.uniform(-1, 1)
        kind["expected_run"] = f"{max(1, round(declared_s * MS_PER_S))}ms"
    return yaml.safe_dump(deployment)


def load_service(profile):
    """Return the `Service` of the profile from its deployment file."""
    deployment = check_deployment(profile.example.read_text()).unwrap().deployment
    return deployment.services[profile.service]
