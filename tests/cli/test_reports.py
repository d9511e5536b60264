"""Tests of commands with outdated or missing reports, and with lost answers."""

import json

import pytest
import trio

from hornbeamshore.cli.command import CommandFailed
from hornbeamshore.cli.config_commands import ApplyConfig, ShowConfig
from hornbeamshore.cli.submit import JobArguments, SubmitJob

EXAMPLE = "examples/tayside.yaml"
SHORT_WAIT = "1ms"

# Revision of each entry, revision of each agent as e1 and e2 report it, exit code, and
# processes listed as missing. "new" is the applied revision, None is no report.
REVISION_CASES = {
    "all in force": ({"e1": "new", "e2": "new"}, {"a1": ("new", "new")}, 0, []),
    "agent revision known to one entry": (
        {"e1": "new", "e2": "new"},
        {"a1": (0, "new")},
        0,
        [],
    ),
    "agent behind": ({"e1": "new", "e2": "new"}, {"a1": (1, 1)}, 1, ["agent a1"]),
    "entry behind": ({"e1": "new", "e2": 1}, {"a1": ("new", 0)}, 1, ["entry e2"]),
    "entry without report": ({"e1": "new", "e2": None}, {}, 1, ["entry e2"]),
    "no entry with report": ({"e1": None, "e2": None}, {}, 3, []),
}


def set_reported_revisions(deployment, entries, agents, new):
    """Set the status reports of the entries to the revisions of a case."""
    table = deployment.addresses
    for index, (name, revision) in enumerate(entries.items()):
        if revision is None:
            continue
        agent_rows = [
            (agent, "order-desk", new if reported[index] == "new" else reported[index])
            for agent, reported in agents.items()
        ]
        agent_rows.append(("a-other", "unknown-service", 0))
        reported = new if revision == "new" else revision
        deployment.reports[name]["status"] = deployment.make_status(
            name, reported, table, agent_rows
        )


@pytest.mark.parametrize(
    ("entries", "agents", "code", "missing"),
    REVISION_CASES.values(),
    ids=REVISION_CASES,
)
async def test_apply_lists_processes_without_the_revision(
    entries, agents, code, missing, running_deployment, write_settings
):
    """Guards against a revision reported as in force while a process lacks it."""
    async with running_deployment(["e1", "e2"]) as deployment:
        settings = write_settings(
            entries=list(deployment.addresses.values()),
            store={"endpoints": [deployment.store_address]},
            timeout="30s",
        )
        wait = SHORT_WAIT if code else "60s"
        set_reported_revisions(deployment, entries, agents, 2)
        with trio.fail_after(90):
            outcome = await ApplyConfig(EXAMPLE, settings, wait).run()
            repeated = await ApplyConfig(EXAMPLE, settings, wait).run()
    report = outcome.report
    assert (outcome.exit_code, report["code"]) == (code, 603 if code else 0)
    assert [item["process"] for item in report["missing"]] == missing
    assert all(name in outcome.lines[-1] for name in missing)
    assert repeated.report["changes"] == []
    assert repeated.report["revision"] == report["revision"]


@pytest.mark.parametrize(
    ("expect", "down", "code", "exit_code"),
    [("7", False, 601, 1), ("", True, 602, 3)],
    ids=["expected revision differs", "store unavailable"],
)
async def test_refused_apply_raises(
    expect, down, code, exit_code, running_deployment, write_settings
):
    """Guards against a change that is lost without an error."""
    async with running_deployment([]) as deployment:
        deployment.store.faults.down = down
        settings = write_settings(store={"endpoints": [deployment.store_address]})
        with pytest.raises(CommandFailed) as failed:
            await ApplyConfig(EXAMPLE, settings, "1s", expect).run()
    assert (failed.value.refusal.code, failed.value.exit_code) == (code, exit_code)


async def test_show_ignores_agents_of_unconfigured_services(
    running_deployment, write_settings
):
    """Guards against agents of a service without configuration that count as behind."""
    async with running_deployment(["e1"]) as deployment:
        entries = list(deployment.addresses.values())
        settings = write_settings(
            entries=entries, store={"endpoints": [deployment.store_address]}
        )
        set_reported_revisions(deployment, {"e1": "new"}, {"a1": ("new",)}, 2)
        applied = await ApplyConfig(EXAMPLE, settings, "60s").run()
        shown = await ShowConfig(settings).run()
    assert (applied.exit_code, shown.exit_code) == (0, 0)
    assert shown.report["missing"] == []
    assert any("service not configured" in line for line in shown.lines)


@pytest.mark.parametrize(
    ("answers", "tries", "exit_code"),
    [
        ([None, {"code": 0}], 2, 0),
        ([None, None, {"code": 300}], 3, 1),
        ([{"code": 203}, {"code": 401}, {"code": 0}], 3, 0),
        ([{"code": 106}], 1, 1),
    ],
    ids=["answer lost", "answer lost twice", "draining", "final code"],
)
async def test_resubmission_is_identical(answers, tries, exit_code, write_settings):
    """Guards against a resubmission that differs and so could run the job twice."""
    received = []

    async def serve(stream):
        async with stream:
            data = b""
            while b"\r\n\r\n" not in data or not data.endswith(b"}"):
                data += await stream.receive_some()
            received.append(json.loads(data.partition(b"\r\n\r\n")[2]))
            answer = answers[len(received) - 1]
            if answer is not None:
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                await stream.send_all(head.encode() + body)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        job = JobArguments(service="desk", kind="check", body='{"a": 1}')
        outcome = await SubmitJob(job, write_settings(http=[address]), "5").run()
        nursery.cancel_scope.cancel()
    assert (outcome.exit_code, outcome.report["tries"]) == (exit_code, tries)
    assert len(received) == tries
    assert received == [received[0]] * tries
    assert received[0]["submitted_at"]
    assert received[0]["id"]
