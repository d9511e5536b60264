"""Guards against wrong replies and repeated starts when processes crash or pause."""

import pytest
import trio

from hornbeamshore.bench.scenario import Row


async def kill_owner(scenario):
    owner = await scenario.wait_for_owner()
    scenario.fleet.kill(owner)
    await scenario.wait_for_owner()
    await scenario.restart_entry(owner)


async def kill_non_owner(scenario):
    non_owner = await scenario.choose_non_owner()
    scenario.fleet.kill(non_owner)
    await trio.sleep(1)
    await scenario.restart_entry(non_owner)


async def kill_agent(scenario):
    agent_id = await scenario.busiest_agent()
    scenario.fleet.kill(agent_id)
    await trio.sleep(1)
    await scenario.restart_agent(agent_id)
    await scenario.wait_until_used(agent_id)


async def kill_target(scenario):
    agent_id = await scenario.busiest_agent()
    scenario.fleet.targets[agent_id].kill()
    await trio.sleep(2)


async def kill_owner_and_agent(scenario):
    owner, agent_id = await scenario.wait_for_owner(), await scenario.busiest_agent()
    scenario.fleet.kill(owner)
    scenario.fleet.kill(agent_id)
    await scenario.wait_for_owner()
    await scenario.restart_agent(agent_id)
    await scenario.wait_until_used(agent_id)


async def kill_owner_and_agent_permanently(scenario):
    owner, agent_id = await scenario.wait_for_owner(), await scenario.busiest_agent()
    scenario.fleet.kill(owner)
    scenario.fleet.kill(agent_id)
    # Longer than the 6 s after which the new owner declares the agent lost.
    await trio.sleep(9)


async def pause_owner(scenario):
    await scenario.pause(await scenario.wait_for_owner(), 4)


async def pause_agent_3s(scenario):
    agent_id = await scenario.busiest_agent()
    await scenario.pause(agent_id, 3)
    await scenario.wait_until_used(agent_id)


async def pause_agent_8s(scenario):
    agent_id = await scenario.busiest_agent()
    await scenario.pause(agent_id, 8)
    await scenario.wait_until_used(agent_id)


ROWS = (
    Row(
        "owner-killed",
        "a new owner that starts tasks a second time while they run",
        kill_owner,
        11,
        "restarted",
    ),
    Row(
        "front-killed",
        "a resubmission that runs as a new job",
        kill_non_owner,
        12,
        "restarted",
    ),
    Row(
        "agent-killed",
        "tasks of a dead agent that are started a second time",
        kill_agent,
        13,
        "restarted",
    ),
    Row(
        "target-killed",
        "tasks that never complete after their target died",
        kill_target,
        14,
        "planned",
    ),
    Row(
        "owner-paused",
        "a resumed owner that continues alongside its successor",
        pause_owner,
        16,
        "paused",
    ),
    Row(
        "agent-paused-3s",
        "starts that run although they expired in the receive buffer",
        pause_agent_3s,
        17,
        "paused",
    ),
    Row(
        "agent-paused-8s",
        "a resumed agent that is not used again",
        pause_agent_8s,
        18,
        "paused",
    ),
    Row(
        "owner-and-agent-killed",
        "a new owner that runs an unknown key of a lost agent as a new job",
        kill_owner_and_agent,
        15,
        "paused",
    ),
    Row(
        "owner-and-agent-killed-for-good",
        "a new owner that reports unknown records of a lost agent as copied",
        kill_owner_and_agent_permanently,
        19,
        "restarted",
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_failure_of_a_process(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
