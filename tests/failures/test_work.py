"""Guards against wrong handling of slow, failing, misdeclared or cancelled tasks."""

import collections

import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.scenario import Row

# A target on which every task fails gets only probes, a small share of the tasks.
MAX_FAILING_TARGET_SHARE = 0.05


async def slow_down_target(scenario):
    agent_id = await scenario.busiest_agent()
    await scenario.fleet.set_target_faults(agent_id, slow=20)
    await trio.sleep(4)
    await scenario.fleet.set_target_faults(agent_id, slow=1)


async def run_misdeclared_kinds(scenario):
    await trio.sleep(3)


async def submit_never_runnable_job(scenario):
    submission = scenario.make_submission(tasks=3)
    submission.job["kind"] = "plot"
    reply = await scenario.load.submit(submission, await scenario.choose_non_owner())
    assert reply.code == ResultCode.NEVER_RUNNABLE
    assert reply.run_state == "not run"


async def cancel_jobs(scenario):
    jobs = [scenario.make_submission(tasks=6, run_ms=300) for _ in range(30)]
    async with trio.open_nursery() as nursery:
        for submission in jobs:
            nursery.start_soon(scenario.submit_until_answered, submission)
        # By then, about 100 of the 180 tasks are finished, running or queued.
        await trio.sleep(0.7)
        for submission in jobs:
            entry_id = scenario.rng.choice(sorted(scenario.fleet.entries))
            nursery.start_soon(scenario.load.cancel, submission, entry_id)
    codes = collections.Counter(submission.last_reply.code for submission in jobs)
    assert codes[ResultCode.CANCELLED], codes
    assert set(codes) <= {ResultCode.OK, ResultCode.CANCELLED}, codes


async def fail_all_tasks(scenario):
    agent_id = await scenario.busiest_agent()
    await scenario.fleet.set_target_faults(agent_id, fail=True)
    await trio.sleep(4)
    before = _starts_by_agent(scenario)
    await trio.sleep(4)
    starts = _starts_by_agent(scenario) - before
    await scenario.fleet.set_target_faults(agent_id, fail=False)
    assert starts[agent_id] <= MAX_FAILING_TARGET_SHARE * starts.total(), starts


def _starts_by_agent(scenario):
    starts = scenario.load.starts().values()
    return collections.Counter(start.agent_id for job in starts for start in job)


ROWS = (
    Row(
        "straggler",
        "tasks that are started on a second target while they still run",
        slow_down_target,
        21,
        "work",
    ),
    Row(
        "run-times-off",
        "refusals from run time estimates that are never corrected",
        run_misdeclared_kinds,
        22,
        "work",
        kinds={"overstated": True, "understated": True, "hold": False},
    ),
    Row(
        "never-runnable",
        "a job that is queued until its deadline instead of refused",
        submit_never_runnable_job,
        23,
        "work",
    ),
    Row(
        "cancellations",
        "cancelled jobs that continue or leak slots",
        cancel_jobs,
        24,
        "work",
    ),
    Row(
        "failing-target",
        "a target that attracts tasks because it fails them fast",
        fail_all_tasks,
        25,
        "work",
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_failure_of_work(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
