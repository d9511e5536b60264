"""Failure scenarios: inject a failure into a fleet under load and check the replies."""

import contextlib
import random
import shutil
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.caller import (
    ConfigRefused,
    apply_config,
    wait_ready,
)
from hornbeamshore.bench.failure_load import CallerLoad
from hornbeamshore.bench.fleet import EntryPlan, TargetPlan, running_fleet

DEPLOYMENT = "failures"
CONFIG = Path("tests/failures/deployment.yaml")
SERVICE = "desk"
PARTITION = f"{SERVICE}/0"
TOKEN = "failure-tests-demo-token"  # noqa: S105
# Kinds of task that the load submits, and whether each is repeatable.
KINDS = {"check": True, "quote": True, "hold": False}
ENTRIES = tuple(EntryPlan(f"entry-{name}", f"dc-{name}") for name in "abc")
TARGETS = tuple(
    TargetPlan(f"agent-{number}", f"dc-{name}", f"rack-{number}", SERVICE)
    for number, name in enumerate("abca", 1)
)
SLOTS = sum(plan.slots for plan in TARGETS)
# Time under load before a failure is injected, after which tasks are queued,
# running and finished.
WARM_UP_S = 1.0
COOL_DOWN_S = 1.0
# Guards only against a hang; recovery is designed to take a few seconds.
POLL_TIMEOUT_S = 30.0
ROW_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Row:
    """Row of the failure table.

    Attributes
    ----------
    name : str
        Short name of the failure.
    guards_against : str
        Fault that the row guards against.
    inject : callable
        Coroutine function that injects the failure. It is called with the
        `Scenario` while the load runs.
    seed : int
        Seed of the load and of the random choices of `inject`.
    fleet_name : str
        Name of a fleet. Rows with the same name run one after another in the same
        fleet; rows that leave it damaged come last.
    with_relays : bool
        Whether the failure needs relays in front of the entries.
    forbids_interruption : bool
        Whether each submission must succeed with code 0 and no request may be
        interrupted.
    kinds : dict of str to bool or None
        Kinds of task that the load submits, and whether each is repeatable; None
        for `KINDS`.
    """

    name: str
    guards_against: str
    inject: object
    seed: int
    fleet_name: str
    with_relays: bool = False
    forbids_interruption: bool = False
    kinds: object = None


class Scenario:
    """Fleet and load of one row, with operations to inject failures.

    Attributes
    ----------
    fleet : Fleet
        Processes of the deployment.
    load : CallerLoad
        Callers that submit jobs.
    rng : random.Random
        Generator for the random choices of the row, seeded by the row.
    """

    def __init__(self, row, fleet):
        self.fleet = fleet
        self.rng = random.Random(row.seed)
        kinds = row.kinds or KINDS
        self.load = CallerLoad(fleet, TOKEN, SERVICE, kinds, row.name, row.seed)

    async def wait_for_owner(self):
        """Wait until an entry owns the partition and return its id."""
        await poll(lambda: self.fleet.find_owner(PARTITION))
        return await self.fleet.find_owner(PARTITION) or await self.wait_for_owner()

    async def choose_non_owner(self):
        """Return the id of a random entry that does not own the partition."""
        return self.rng.choice(
            sorted(set(self.fleet.entries) - {await self.wait_for_owner()})
        )

    async def target_statuses(self):
        """Return the owner's status of each target that it uses, by agent id."""
        report = await self.fleet.status(await self.wait_for_owner()) or {}
        for item in report.get("partitions", ()):
            if item["partition"] == PARTITION:
                targets = item["scheduler"]["targets"]
                return {target["agent_id"]: target for target in targets}
        return {}

    async def busiest_agent(self):
        """Return the id of the agent that currently runs the most tasks."""
        targets = await self.target_statuses()
        return max(sorted(targets), key=lambda name: targets[name]["busy"])

    async def pause(self, name, seconds):
        """Suspend a process for some seconds."""
        proc = self.fleet.process(name)
        proc.pause()
        try:
            await trio.sleep(seconds)
        finally:
            proc.resume()

    async def restart_entry(self, entry_id):
        """Start an entry again under the same id."""
        plan = next(plan for plan in ENTRIES if plan.entry_id == entry_id)
        await self.fleet.start_entry(plan)

    async def restart_agent(self, agent_id):
        """Start the agent of a running target again, under the same id."""
        plan = next(plan for plan in TARGETS if plan.agent_id == agent_id)
        await self.fleet.start_agent(plan)

    def make_submission(self, tasks, run_ms=None):
        """Create a job and return its `Submission`; the job is not submitted yet.

        Parameters
        ----------
        tasks : int
            Number of tasks.
        run_ms : int, optional
            Run time of each task in milliseconds; random by default.
        """
        submission = self.load.make_submission(
            f"extra-{self.rng.random()}", self.rng, tasks
        )
        if run_ms is not None:
            for task in submission.job["tasks"]:
                task["body"]["run_ms"] = run_ms
        return submission

    async def submit_until_answered(self, submission):
        """Submit a job through random entries until it has a final reply."""
        await self.load.submit_until_answered(submission, self.rng)

    async def wait_until_serving(self, entry_id):
        """Wait until an entry has a configuration and a job through it succeeds."""

        async def is_configured():
            report = await self.fleet.status(entry_id)
            return report is not None and report["revision"]

        async def is_answered():
            reply = await self.load.submit(self.make_submission(tasks=2), entry_id)
            return reply is not None and reply.code == ResultCode.OK

        await poll(is_configured)
        await poll(is_answered)

    async def wait_until_used(self, agent_id):
        """Wait until the owner uses a target and the target has started a task.

        Submits jobs with one task for each slot, so that every usable target is
        needed.
        """
        before = len(self.fleet.target_log(agent_id))

        async def is_listed():
            return agent_id in await self.target_statuses()

        async def is_used():
            await self.submit_until_answered(self.make_submission(tasks=SLOTS))
            return len(self.fleet.target_log(agent_id)) > before

        await poll(is_listed)
        await poll(is_used)


async def poll(condition):
    """Evaluate an asynchronous condition until it is true.

    Raises
    ------
    trio.TooSlowError
        If the condition is still false after `POLL_TIMEOUT_S`.
    """
    with trio.fail_after(POLL_TIMEOUT_S):
        while not await condition():  # noqa: ASYNC110
            await trio.sleep(POLL_INTERVAL_S)


async def run_rows(rows, log_directory, on_row_end, start_limiter):
    """Run rows one after another in one fleet; replace the fleet after a failed row.

    Parameters
    ----------
    rows : sequence of Row
        Rows with the same value of `with_relays`.
    log_directory : pathlib.Path
        Parent of the fleets' directories. The directory of a failed row's fleet is
        copied to a subdirectory with the name of the row.
    on_row_end : callable
        Called after each row with the row, its `CallerLoad`, and its exception or None.
    start_limiter : trio.CapacityLimiter
        Limits how many fleets start at the same time.
    """
    remaining = list(rows)
    log_directory.mkdir(parents=True, exist_ok=True)
    while remaining:
        async with running_fleet(
            DEPLOYMENT,
            ENTRIES,
            TARGETS,
            with_relays=remaining[0].with_relays,
            log_level="debug",
            start_limiter=start_limiter,
            directory=log_directory,
        ) as fleet:
            is_new_fleet, exc = True, None
            while remaining and exc is None:
                row = remaining.pop(0)
                scenario = Scenario(row, fleet)
                exc = await _run_row(row, scenario, is_new_fleet=is_new_fleet)
                is_new_fleet = False
                on_row_end(row, scenario.load, exc)
            if exc is not None:
                with contextlib.suppress(OSError):
                    shutil.rmtree(log_directory / row.name, ignore_errors=True)
                    shutil.copytree(fleet.directory, log_directory / row.name)


async def _run_row(row, scenario, *, is_new_fleet):
    try:
        with trio.fail_after(ROW_TIMEOUT_S):
            if is_new_fleet:
                await _configure(scenario)
            await _run_under_load(row, scenario)
    except Exception as exc:
        return exc
    return None


async def try_apply_deployment(store_address):
    """Apply the deployment and return whether the store replied in time.

    On a busy machine a reply can take longer than the timeout of the store's clients.
    The caller then applies the deployment again, even if the first attempt was
    written after all.

    Raises
    ------
    ConfigRefused
        If the deployment is refused for any reason but an unavailable store.
    """
    try:
        await apply_config(store_address, CONFIG)
    except ConfigRefused as exc:
        if exc.args[0].code is not ResultCode.STORE_UNAVAILABLE:
            raise
        return False
    return True


async def _configure(scenario):
    """Apply the deployment and wait until all entries and targets are in use."""
    fleet = scenario.fleet

    async def is_connected():
        reports = [await fleet.status(entry_id) for entry_id in fleet.entries]
        return all(
            report and len(report["agents"]) == len(TARGETS) for report in reports
        )

    async def is_used():
        return len(await scenario.target_statuses()) == len(TARGETS)

    await poll(is_connected)
    await poll(partial(try_apply_deployment, fleet.store.first_line))
    for entry_id in fleet.entries:
        await wait_ready(fleet.http_address(entry_id), TOKEN, SERVICE, "check")
    await poll(is_used)


async def _run_under_load(row, scenario):
    load = scenario.load
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(WARM_UP_S)
        await row.inject(scenario)
        await trio.sleep(COOL_DOWN_S)
        load.stop()
    for entry_id in sorted(scenario.fleet.entries):
        await scenario.wait_until_serving(entry_id)
    violations = load.violations()
    if row.forbids_interruption:
        violations += load.interruptions()
    assert not violations, "\n".join(violations[:5])
