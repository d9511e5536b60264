"""Benchmark of real processes: ``python -m hornbeamshore.bench.measure``.

Runs both example deployments with hornbeamshore and with the baseline dispatcher
under the same seeded load, writes ``build/measure.json`` and
``build/measure-details.json``, and prints the figures beside their bounds.
"""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

import fire
import trio

from hornbeamshore.bench import tables
from hornbeamshore.bench.evaluation import (
    Violations,
    count_codes,
    count_in_time,
    count_violations,
    offered_load,
    overruns_s,
    response_ratios,
)
from hornbeamshore.bench.ideal import fastest_run_time_s, ideal_responses
from hornbeamshore.bench.load import flood_jobs, steady_jobs, total_capacity
from hornbeamshore.bench.passes import PassResult, run_pass
from hornbeamshore.bench.profiles import PROFILES, load_service, target_plans
from hornbeamshore.bench.replay import quantile
from hornbeamshore.bench.systems import SYSTEMS, Counters, running_system
from hornbeamshore.config.model import Urgency

REPORT_PATH = Path("build/measure.json")
DETAILS_PATH = Path("build/measure-details.json")
IDLE_DURATION_S = 4.0
PAUSE_BETWEEN_PASSES_S = 1.0
STEADY_DURATION_S = 30.0
# Jobs that arrive earlier are not counted: run times are still being learned and
# connection pools are still growing.
WARM_UP_S = 5.0
FLOOD_PASS_DURATION_S = 14.0
FLOOD_START_S = 4.0
FAULT_PASS_DURATION_S = 18.0
# Share of the capacity of all 11 targets. One is killed and one paused, which loads
# the others to about 0.7.
FAULT_LOAD = 0.55


@dataclass(frozen=True, slots=True)
class FloodPasses:
    """Results of the passes that flood the least and the most urgent kind."""

    least_urgent: PassResult
    most_urgent: PassResult


@dataclass(frozen=True, slots=True)
class SystemPasses:
    """Results of all passes of one system.

    Attributes
    ----------
    idle : Counters
        Messages and bytes in `IDLE_DURATION_S` seconds without jobs.
    steady : PassResult
        Pass at the steady load.
    floods : FloodPasses
        Passes with a flood on top of the steady load.
    faults : PassResult
        Pass during which processes are killed and paused.
    events : tuple of dict
        Log events of all targets.
    """

    idle: Counters
    steady: PassResult
    floods: FloodPasses
    faults: PassResult
    events: tuple

    def by_name(self):
        """Return the `PassResult` of each pass by its name."""
        return {
            "steady": self.steady,
            "flood of the least urgent": self.floods.least_urgent,
            "flood of the most urgent": self.floods.most_urgent,
            "faults": self.faults,
        }


async def run_passes(system_class, profile, seed):
    """Run all passes of one system on one deployment and return the `SystemPasses`."""
    async with running_system(system_class, profile, seed) as system:
        await system.prepare_pass()
        before = await system.counters()
        await trio.sleep(IDLE_DURATION_S)
        idle = await system.counters() - before

        async def run_one(name, jobs, seconds, **options):
            result = await run_pass(system, name, jobs, seconds, **options)
            await trio.sleep(PAUSE_BETWEEN_PASSES_S)
            print(f"{profile.name} {system_class.name}: pass {name} ended", flush=True)
            return result

        load_args = profile, system.targets
        steady = await run_one(
            "steady",
            steady_jobs(*load_args, "steady", STEADY_DURATION_S, seed),
            STEADY_DURATION_S,
        )
        floods = []
        for demand_index in (profile.least_urgent, profile.most_urgent):
            name = f"flood-{demand_index}"
            jobs = steady_jobs(*load_args, name, FLOOD_PASS_DURATION_S, seed)
            flood_interval = FLOOD_START_S, FLOOD_PASS_DURATION_S
            jobs += flood_jobs(*load_args, name, demand_index, *flood_interval, seed)
            jobs.sort(key=lambda job: job.at_s)
            floods.append(
                await run_one(name, jobs, FLOOD_PASS_DURATION_S, resubmit=False)
            )
        jobs = steady_jobs(
            *load_args, "faults", FAULT_PASS_DURATION_S, seed, FAULT_LOAD
        )
        faults = await run_one("faults", jobs, FAULT_PASS_DURATION_S, faults=True)
        return SystemPasses(
            idle, steady, FloodPasses(*floods), faults, tuple(system.target_events())
        )


def make_report(profile, targets, passes):
    """Return the figures of one system as written to ``build/measure.json``."""
    service = load_service(profile)
    violations = violations_by_pass(passes, service)
    wasted_messages, tasks_started = wasted_and_started(passes)
    ratios, _, _ = urgent_response_ratios(profile, targets, passes, service)
    return {
        "response_over_ideal": _p50_and_p99(ratios),
        "wasted_messages_per_task": wasted_messages / max(1, tasks_started),
        "flood_least_urgent": {
            "other_work_kept": other_work_kept(
                profile, passes.steady, passes.floods.least_urgent, "least", service
            )
        },
        "flood_most_urgent": {
            "other_work_kept": other_work_kept(
                profile, passes.steady, passes.floods.most_urgent, "most", service
            )
        },
        **asdict(sum(violations.values(), Violations())),
    }


def violations_by_pass(passes, service):
    """Return the `Violations` of each pass by its name."""
    return {
        name: count_violations(result.jobs, result.answers, passes.events, service)
        for name, result in passes.by_name().items()
    }


def wasted_and_started(passes):
    """Return the numbers of wasted messages and of task starts in all passes."""
    total = sum((result.counters for result in passes.by_name().values()), Counters())
    return total.wasted, total.starts


def urgent_response_ratios(profile, targets, passes, service):
    """Return ratios of the response times of urgent jobs in the steady pass.

    Returns
    -------
    ratios : list of float
        Response time of each job over that of the ideal schedule.
    quantile_ratios : dict of str to float
        Quantiles of the response times over the same quantiles of the ideal ones.
    over_fastest : dict of str to float
        Quantiles of the response time over the run time on the fastest target.
    """
    jobs, answers = passes.steady.jobs, passes.steady.answers
    urgency = {name: kind.urgency for name, kind in service.kinds.items()}
    ideal_s = ideal_responses(jobs, targets, urgency)
    counted = [
        job
        for job in jobs
        if urgency[job.kind] is Urgency.URGENT and job.at_s >= WARM_UP_S
    ]
    fastest_s = {job.id: fastest_run_time_s(job, targets) for job in counted}
    unit_times = dict.fromkeys(ideal_s, 1.0)
    responses = response_ratios(counted, answers, unit_times)
    quantile_ratios = {
        label: value / _p50_and_p99([ideal_s[job.id] for job in counted])[label]
        for label, value in _p50_and_p99(responses).items()
    }
    return (
        response_ratios(counted, answers, ideal_s),
        quantile_ratios,
        _p50_and_p99(response_ratios(counted, answers, fastest_s)),
    )


def other_work_kept(profile, steady, flooded, urgency, service):
    """Return the share of other jobs that are still answered in time during a flood.

    Other jobs are all except those of the flooding team and kind. Only jobs that
    arrive during the flood are counted; the steady pass, which the share refers to,
    has the same arrivals.

    Parameters
    ----------
    urgency : {"least", "most"}
        Whether the least or the most urgent kind floods.
    """
    demand_index = profile.least_urgent if urgency == "least" else profile.most_urgent
    demand = profile.demands[demand_index]

    def other_jobs(result):
        return [
            job
            for job in result.jobs
            if FLOOD_START_S <= job.at_s < FLOOD_PASS_DURATION_S
            and (job.team, job.kind) != (demand.team, demand.kind)
        ]

    steady_count = count_in_time(other_jobs(steady), steady.answers, service)
    return count_in_time(other_jobs(flooded), flooded.answers, service) / max(
        1, steady_count
    )


def make_details(profile, targets, passes):
    """Return the details of one system for ``build/measure-details.json``."""
    service = load_service(profile)
    _, quantile_ratios, over_fastest = urgent_response_ratios(
        profile, targets, passes, service
    )
    tasks_started = passes.steady.counters.starts
    seconds = passes.steady.seconds
    capacity = total_capacity(targets)
    speeds = {plan.agent_id: plan.speed for plan in targets}
    return {
        "ratio_of_quantiles": quantile_ratios,
        "response_over_fastest_alone": over_fastest,
        "agent_bytes_per_s": {
            "idle": passes.idle.agent_bytes / IDLE_DURATION_S / len(targets),
            "load": passes.steady.counters.agent_bytes / seconds / len(targets),
        },
        "agent_messages_per_task": passes.steady.counters.agent_messages
        / max(1, tasks_started),
        "passes": {
            name: {
                **asdict(
                    count_violations(
                        result.jobs, result.answers, passes.events, service
                    )
                ),
                "offered_over_capacity": offered_load(
                    result.jobs, capacity, FLOOD_START_S, FLOOD_PASS_DURATION_S
                ),
                "caller_late_p99_s": quantile(
                    [answer.late_s for answer in result.answers], 0.99
                ),
                "target_overrun_s": _p50_and_p99(
                    overruns_s(result.jobs, passes.events, speeds)
                ),
                "caller_cores": result.caller_cores,
                "machine_busy": result.machine_busy,
                "seconds": result.seconds,
                "counters": asdict(result.counters),
                "codes": count_codes(result.answers),
                "cpu_s": result.cpu_s,
            }
            for name, result in passes.by_name().items()
        },
    }


def _p50_and_p99(values):
    values = values or [float("inf")]
    return {"p50": quantile(values, 0.5), "p99": quantile(values, 0.99)}


async def _measure(names, system_classes, seed, reports, details):
    async def run_deployment(profile):
        for system_class in system_classes:
            passes = await run_passes(system_class, profile, seed)
            targets = target_plans(profile, seed)
            report = make_report(profile, targets, passes)
            reports.setdefault(profile.name, {})[system_class.name] = report
            system_details = make_details(profile, targets, passes)
            details.setdefault(profile.name, {})[system_class.name] = system_details
            # Keeps the results so far if a later run fails or is interrupted.
            _write_reports(reports, details)

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(run_deployment, PROFILES[name])


def _write_reports(reports, details):
    REPORT_PATH.parent.mkdir(exist_ok=True)
    REPORT_PATH.write_text(json.dumps(reports, indent=1))
    DETAILS_PATH.write_text(json.dumps(details, indent=1))


def main(seed=1, deployment="", system=""):
    """Run the benchmark, write its reports and print the table.

    Parameters
    ----------
    seed : int
        Seed of arrivals, run times, target speeds and declared run times.
    deployment : str
        Name of the only deployment to run; all if empty.
    system : str
        Name of the only system to run; all if empty.
    """
    names = [deployment] if deployment else list(PROFILES)
    system_classes = [
        system_class for system_class in SYSTEMS if system in ("", system_class.name)
    ]
    reports, details = {}, {}
    trio.run(_measure, names, system_classes, seed, reports, details)
    print(tables.format_table(reports, details, seed))


if __name__ == "__main__":
    fire.Fire(main)
