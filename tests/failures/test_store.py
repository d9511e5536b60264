"""Guards against wrong replies, registrations and revisions when the store fails.

Also covers operators who apply a deployment at the same time.
"""

import contextlib

import pytest
import trio
from returns.result import Success

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.fleet import EntryPlan
from hornbeamshore.bench.scenario import CONFIG, DEPLOYMENT, Row, poll
from hornbeamshore.config.apply import apply_deployment
from hornbeamshore.config.check import check_deployment
from hornbeamshore.store.base import deployment_key
from hornbeamshore.store.etcd import EtcdSettings, EtcdStore

NEW_ENTRIES = tuple(EntryPlan(f"entry-{name}", "dc-a") for name in "def")


async def slow_down_store(scenario):
    await scenario.fleet.set_store_faults(delay_s=1.0)
    await scenario.fleet.start_entry(NEW_ENTRIES[0])
    await scenario.wait_until_serving(NEW_ENTRIES[0].entry_id)
    await scenario.fleet.set_store_faults(delay_s=0.0)


async def stop_store(scenario):
    await scenario.fleet.set_store_faults(down=True)
    await trio.sleep(4)


async def start_while_store_is_down(scenario):
    agent_id = await scenario.busiest_agent()
    await scenario.fleet.set_store_faults(down=True)
    scenario.fleet.kill(agent_id)
    await scenario.fleet.start_entry(NEW_ENTRIES[1])
    await scenario.restart_agent(agent_id)
    await scenario.wait_until_serving(NEW_ENTRIES[1].entry_id)
    await scenario.wait_until_used(agent_id)
    revisions = await _revisions(scenario)
    await scenario.fleet.set_store_faults(down=False)
    assert len(set(revisions.values())) == 1, revisions


async def lose_join_response(scenario):
    await scenario.fleet.set_store_faults(lose_answers=3)
    await scenario.fleet.start_entry(NEW_ENTRIES[2])
    await scenario.wait_until_serving(NEW_ENTRIES[2].entry_id)
    await poll(lambda: _is_registered(scenario, NEW_ENTRIES[2].entry_id))


async def lose_apply_response(scenario):
    await scenario.fleet.set_store_faults(lose_answers=1)
    result = await _apply(scenario)
    assert isinstance(result, Success), result
    await poll(lambda: _is_in_force(scenario, result.unwrap().revision))


async def expire_lease(scenario):
    """Expire the lease of the owner's presence key while the owner is paused."""
    owner = await scenario.wait_for_owner()
    store = scenario.fleet.store.first_line
    proc = scenario.fleet.process(owner)
    proc.pause()
    async with EtcdStore(EtcdSettings((store,))) as client:
        key = deployment_key(DEPLOYMENT, f"entries/{owner}")
        item = await client.get(key)
        await scenario.fleet.call_store("/standin/expire", {"ID": str(item.lease_id)})
        assert await client.get(key) is None
        await trio.sleep(3)
        proc.resume()
        await poll(lambda: client.get(key))
    await poll(lambda: _is_registered(scenario, owner))


async def apply_concurrently(scenario):
    before = max((await _revisions(scenario)).values())
    seen = {entry_id: [before] for entry_id in scenario.fleet.entries}
    results = []

    async def apply():
        results.append(await _apply(scenario, before))

    async def observe():
        while True:
            for entry_id, revision in (await _revisions(scenario)).items():
                seen[entry_id].append(revision)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(observe)
        async with trio.open_nursery() as operators:
            operators.start_soon(apply)
            operators.start_soon(apply)
        (winner,) = [item.unwrap() for item in results if isinstance(item, Success)]
        (loser,) = [item.failure() for item in results if not isinstance(item, Success)]
        await poll(lambda: _is_in_force(scenario, winner.revision))
        nursery.cancel_scope.cancel()
    assert loser.code == ResultCode.CONFIG_CONFLICT
    assert str(winner.revision) in loser.detail
    assert all(revisions == sorted(revisions) for revisions in seen.values()), seen


async def _apply(scenario, expected_revision=None):
    deployment = check_deployment(CONFIG.read_text()).unwrap().deployment
    async with EtcdStore(EtcdSettings((scenario.fleet.store.first_line,))) as client:
        return await apply_deployment(
            client, deployment, expected_revision=expected_revision
        )


async def _revisions(scenario):
    found = {}
    for entry_id in scenario.fleet.entries:
        report = await scenario.fleet.status(entry_id)
        with contextlib.suppress(TypeError):
            found[entry_id] = report["revision"]
    return found


async def _is_in_force(scenario, revision):
    return set((await _revisions(scenario)).values()) == {revision}


async def _is_registered(scenario, entry_id):
    report = await scenario.fleet.status(entry_id)
    listed = [item["entry_id"] for item in report["entries"]] if report else []
    return listed.count(entry_id) == 1


ROWS = (
    Row(
        "store-slow",
        "jobs or entry starts that wait for the store",
        slow_down_store,
        51,
        "starts",
    ),
    Row(
        "store-down-at-start",
        "an entry and an agent that cannot start without the store",
        start_while_store_is_down,
        53,
        "starts",
    ),
    Row(
        "join-answer-lost",
        "an entry that is registered twice",
        lose_join_response,
        54,
        "starts",
    ),
    Row(
        "apply-answer-lost",
        "a configuration change that is applied twice",
        lose_apply_response,
        55,
        "store",
    ),
    Row(
        "lease-expired",
        "an owner that keeps its partition after its registration expired",
        expire_lease,
        56,
        "store",
    ),
    Row(
        "operators-race",
        "a configuration change that is overwritten",
        apply_concurrently,
        57,
        "store",
    ),
    # The store stays down, so that the checks after the load run without it, too.
    Row("store-down", "jobs that need the store", stop_store, 52, "store"),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_failure_of_the_store(row, tracebacks):
    assert not tracebacks[row.name], row.guards_against + "\n" + tracebacks[row.name]
