"""Runs one pass of the benchmark: a load on a system, with or without faults."""

import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from hornbeamshore.bench.loadgen import CallerReport, Plan
from hornbeamshore.bench.system_status import machine_cpu_s
from hornbeamshore.bench.systems import Counters

# Number of caller processes. A single one would limit the rate of a flood.
STEADY_CALLERS = 2
FLOOD_CALLERS = 3
# Time for the caller processes to start before the first arrival.
START_DELAY_S = 1.5
# Exceeds the longest deadline plus the time during which callers resubmit.
CALLERS_TIMEOUT_S = 90.0


@dataclass(frozen=True, slots=True)
class PassResult:
    """Result of one pass.

    Attributes
    ----------
    jobs : tuple of LoadJob
        Submissions of the pass.
    answers : tuple of Answer
        Answers that the callers received.
    counters : Counters
        Messages and bytes during the pass.
    seconds : float
        Time from the start of the pass until the last caller process ended.
    cpu_s : dict of str to float
        CPU seconds by process group.
    caller_cores : float
        CPU usage of the busiest caller process, in cores.
    machine_busy : float
        CPU utilization of the machine from 0 to 1, other programs included.
    """

    jobs: tuple
    answers: tuple
    counters: Counters
    seconds: float
    cpu_s: dict[str, float]
    caller_cores: float
    machine_busy: float


async def run_pass(system, name, jobs, seconds, *, faults=False, resubmit=True):
    """Submit the jobs of one pass and return its `PassResult`.

    Parameters
    ----------
    name : str
        Prefix of the names of the caller processes.
    seconds : float
        Length of the interval in which the jobs arrive.
    faults : bool
        Whether the faults of the system are injected during the pass.
    resubmit : bool
        Whether callers resubmit until they get a final answer.
    """
    await system.prepare_pass()
    counters_before, cpu_before, machine_before = (
        await system.counters(),
        system.cpu_s(),
        machine_cpu_s(),
    )
    start_at = time.monotonic() + START_DELAY_S
    async with trio.open_nursery() as nursery:
        if faults:
            for at_s, inject in await system.faults():
                nursery.start_soon(_inject_at, start_at + at_s, inject)
        plans = [
            Plan(
                system.addresses(),
                system.profile.tokens,
                start_at,
                tuple(part),
                resubmit,
            )
            for part in _split_by_caller(jobs)
        ]
        reports = [None] * len(plans)
        with trio.fail_after(seconds + CALLERS_TIMEOUT_S):
            async with trio.open_nursery() as callers:
                for number, plan in enumerate(plans):
                    callers.start_soon(
                        _run_caller, system, f"{name}-{number}", plan, reports, number
                    )
    elapsed = time.monotonic() - start_at
    cpu_after, machine_busy_s, machine_total_s = system.cpu_s(), *machine_cpu_s()
    # The total of a group decreases if a fault ended one of its processes.
    cpu_s = {
        key: max(0.0, value - cpu_before.get(key, 0.0))
        for key, value in cpu_after.items()
    }
    cpu_s["callers"] = sum(report.cpu_s for report in reports)
    return PassResult(
        tuple(jobs),
        tuple(answer for report in reports for answer in report.answers),
        await system.counters() - counters_before,
        elapsed,
        cpu_s,
        max(report.cpu_s for report in reports) / seconds,
        (machine_busy_s - machine_before[0]) / (machine_total_s - machine_before[1]),
    )


def _split_by_caller(jobs):
    """Return the jobs of each caller process, ordered by arrival."""
    steady = [job for job in jobs if not job.flood]
    flood = [job for job in jobs if job.flood]
    parts = [steady[i::STEADY_CALLERS] for i in range(STEADY_CALLERS)]
    parts += [flood[i::FLOOD_CALLERS] for i in range(FLOOD_CALLERS)]
    return [part for part in parts if part]


async def _inject_at(monotonic_s, inject):
    await trio.sleep(monotonic_s - time.monotonic())
    await inject()


async def _run_caller(system, name, plan, reports, number):
    """Run one caller process and store its report in `reports`."""
    directory = Path(system.fleet.directory)
    plan_path, report_path = directory / f"{name}.plan", directory / f"{name}.report"
    plan_path.write_bytes(msgspec.json.encode(plan))
    proc = await system.fleet.spawn(
        name,
        ["-m", "hornbeamshore.bench.loadgen", str(plan_path), str(report_path)],
        wait_for_line=False,
    )
    if await proc.wait(CALLERS_TIMEOUT_S * 2):
        raise RuntimeError(f"caller process {name} failed")
    reports[number] = msgspec.json.decode(report_path.read_bytes(), type=CallerReport)
