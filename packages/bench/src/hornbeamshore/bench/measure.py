"""Benchmark of real processes: ``python -m hornbeamshore.bench.measure``.

Runs both example deployments with hornbeamshore and with the baseline dispatcher
under the same seeded load, writes ``build/measure.json`` and
``build/measure-details.json``, and prints the figures beside their targets.
"""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

import fire
import trio

from hornbeamshore.bench import tables
from hornbeamshore.bench.ideal import fastest_alone, ideal_responses
from hornbeamshore.bench.judge import (
    Verdict,
    codes_of,
    in_time,
    judge,
    offered_work,
    overruns_s,
    response_ratios,
)
from hornbeamshore.bench.load import capacity_of, flood_jobs, steady_jobs
from hornbeamshore.bench.passes import PassResult, run_pass
from hornbeamshore.bench.profiles import PROFILES, service_of, target_plans
from hornbeamshore.bench.replay import quantile
from hornbeamshore.bench.systems import SYSTEMS, Counters, running_system
from hornbeamshore.config.model import Urgency

OUTPUT = Path("build/measure.json")
DETAILS = Path("build/measure-details.json")
IDLE_S = 4.0
SETTLE_S = 1.0
STEADY_S = 30.0
# Jobs that arrive earlier are not counted: run times are still being learned and
# connection pools are still growing.
COUNTED_FROM_S = 5.0
FLOOD_PASS_S = 14.0
FLOOD_FROM_S = 4.0
FAULT_S = 18.0
# Share of the capacity of all targets. Of 11, one is killed and one paused, which
# loads the others to about 0.7.
FAULT_LOAD = 0.55


@dataclass(frozen=True, slots=True)
class Floods:
    """Results of the passes that flood the least and the most urgent kind."""

    least_urgent: PassResult
    most_urgent: PassResult


@dataclass(frozen=True, slots=True)
class Passes:
    """Results of all passes of one system.

    Attributes
    ----------
    idle : Counters
        Messages and bytes in `IDLE_S` seconds without jobs.
    steady : PassResult
        Pass at the steady load.
    floods : Floods
        Passes with a flood on top of the steady load.
    faults : PassResult
        Pass during which processes are killed and paused.
    events : tuple of dict
        Log events of all targets.
    """

    idle: Counters
    steady: PassResult
    floods: Floods
    faults: PassResult
    events: tuple

    def all(self):
        """Return the `PassResult` of each pass by its name."""
        return {
            "steady": self.steady,
            "flood of the least urgent": self.floods.least_urgent,
            "flood of the most urgent": self.floods.most_urgent,
            "faults": self.faults,
        }


async def run_passes(kind, profile, seed):
    """Run all passes of one system on one deployment and return the `Passes`."""
    async with running_system(kind, profile, seed) as system:
        await system.prepare_pass()
        before = await system.counters()
        await trio.sleep(IDLE_S)
        idle = await system.counters() - before

        async def run(name, jobs, seconds, **options):
            result = await run_pass(system, name, jobs, seconds, **options)
            await trio.sleep(SETTLE_S)
            print(f"{profile.name} {kind.name}: pass {name} ended", flush=True)
            return result

        load = profile, system.targets
        steady = await run(
            "steady", steady_jobs(*load, "steady", STEADY_S, seed), STEADY_S
        )
        floods = []
        for place in (profile.least_urgent, profile.most_urgent):
            name = f"flood-{place}"
            jobs = steady_jobs(*load, name, FLOOD_PASS_S, seed)
            span = FLOOD_FROM_S, FLOOD_PASS_S
            jobs += flood_jobs(*load, name, place, *span, seed)
            jobs.sort(key=lambda job: job.at_s)
            floods.append(await run(name, jobs, FLOOD_PASS_S, patient=False))
        jobs = steady_jobs(*load, "faults", FAULT_S, seed, FAULT_LOAD)
        faults = await run("faults", jobs, FAULT_S, faults=True)
        return Passes(
            idle, steady, Floods(*floods), faults, tuple(system.target_events())
        )


def figures(profile, targets, passes):
    """Return the figures of one system as written to ``build/measure.json``."""
    service = service_of(profile)
    verdicts = verdicts_of(passes, service)
    wasted, tasks = wasted_of(passes)
    ratios, _, _ = ratios_of(profile, targets, passes, service)
    return {
        "response_over_ideal": _quantiles(ratios),
        "wasted_messages_per_task": wasted / max(1, tasks),
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
        **asdict(sum(verdicts.values(), Verdict())),
    }


def verdicts_of(passes, service):
    """Return the `Verdict` of each pass by its name."""
    return {
        name: judge(result.jobs, result.answers, passes.events, service)
        for name, result in passes.all().items()
    }


def wasted_of(passes):
    """Return the numbers of wasted messages and of tasks started in all passes."""
    total = sum((result.counters for result in passes.all().values()), Counters())
    return total.wasted, total.starts


def ratios_of(profile, targets, passes, service):
    """Return ratios of the response times of urgent jobs in the steady pass.

    Returns
    -------
    ratios : list of float
        Response time of each job over that of the ideal schedule.
    of_quantiles : dict of str to float
        Quantiles of the response times over the same quantiles of the ideal ones.
    alone : dict of str to float
        Quantiles of the response time over the run time on the fastest target.
    """
    jobs, answers = passes.steady.jobs, passes.steady.answers
    urgency = {name: kind.urgency for name, kind in service.kinds.items()}
    best = ideal_responses(jobs, targets, urgency)
    counted = [
        job
        for job in jobs
        if urgency[job.kind] is Urgency.URGENT and job.at_s >= COUNTED_FROM_S
    ]
    alone = {job.id: fastest_alone(job, targets) for job in counted}
    units = dict.fromkeys(best, 1.0)
    responses = response_ratios(counted, answers, units)
    of_quantiles = {
        label: value / _quantiles([best[job.id] for job in counted])[label]
        for label, value in _quantiles(responses).items()
    }
    return (
        response_ratios(counted, answers, best),
        of_quantiles,
        _quantiles(response_ratios(counted, answers, alone)),
    )


def other_work_kept(profile, steady, flooded, which, service):
    """Return the share of other jobs that are still answered in time during a flood.

    Other jobs are all except those of the flooding team and kind. Only jobs that
    arrive during the flood are counted; the steady pass, which the share refers to,
    has the same arrivals.

    Parameters
    ----------
    which : {"least", "most"}
        Whether the least or the most urgent kind floods.
    """
    place = profile.least_urgent if which == "least" else profile.most_urgent
    demand = profile.demands[place]

    def others(result):
        return [
            job
            for job in result.jobs
            if FLOOD_FROM_S <= job.at_s < FLOOD_PASS_S
            and (job.team, job.kind) != (demand.team, demand.kind)
        ]

    before = in_time(others(steady), steady.answers, service)
    return in_time(others(flooded), flooded.answers, service) / max(1, before)


def details_of(profile, targets, passes):
    """Return the details of one system for ``build/measure-details.json``."""
    service = service_of(profile)
    _, of_quantiles, alone = ratios_of(profile, targets, passes, service)
    starts = passes.steady.counters.starts
    seconds = passes.steady.seconds
    capacity = capacity_of(targets)
    speeds = {plan.agent_id: plan.speed for plan in targets}
    return {
        "ratio_of_quantiles": of_quantiles,
        "response_over_fastest_alone": alone,
        "agent_bytes_per_s": {
            "idle": passes.idle.agent_bytes / IDLE_S / len(targets),
            "load": passes.steady.counters.agent_bytes / seconds / len(targets),
        },
        "agent_messages_per_task": passes.steady.counters.agent_messages
        / max(1, starts),
        "passes": {
            name: {
                **asdict(judge(result.jobs, result.answers, passes.events, service)),
                "offered_over_capacity": offered_work(
                    result.jobs, capacity, FLOOD_FROM_S, FLOOD_PASS_S
                ),
                "caller_late_p99_s": quantile(
                    [answer.late_s for answer in result.answers], 0.99
                ),
                "target_overrun_s": _quantiles(
                    overruns_s(result.jobs, passes.events, speeds)
                ),
                "caller_cores": result.caller_cores,
                "machine_busy": result.machine_busy,
                "seconds": result.seconds,
                "counters": asdict(result.counters),
                "codes": codes_of(result.answers),
                "cpu_s": result.cpu_s,
            }
            for name, result in passes.all().items()
        },
    }


def _quantiles(values):
    values = values or [float("inf")]
    return {"p50": quantile(values, 0.5), "p99": quantile(values, 0.99)}


async def _measure(names, kinds, seed, output, details):
    async def run_deployment(profile):
        for kind in kinds:
            passes = await run_passes(kind, profile, seed)
            targets = target_plans(profile, seed)
            found = figures(profile, targets, passes)
            output.setdefault(profile.name, {})[kind.name] = found
            more = details_of(profile, targets, passes)
            details.setdefault(profile.name, {})[kind.name] = more
            # Keeps the results so far if a later run fails or is interrupted.
            _write(output, details)

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(run_deployment, PROFILES[name])


def _write(output, details):
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(output, indent=1))
    DETAILS.write_text(json.dumps(details, indent=1))


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
    kinds = [kind for kind in SYSTEMS if system in ("", kind.name)]
    output, details = {}, {}
    trio.run(_measure, names, kinds, seed, output, details)
    print(tables.render(output, details, seed))


if __name__ == "__main__":
    fire.Fire(main)
