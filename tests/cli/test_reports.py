"""Tests of commands on entries that are behind or silent, and on lost answers."""

import json

import pytest
import trio

from hornbeamshore.cli.command import CommandFailed
from hornbeamshore.cli.config_commands import ApplyConfig, ShowConfig
from hornbeamshore.cli.submit import JobArguments, SubmitJob

EXAMPLE = "examples/tayside.yaml"
WAIT = "1ms"

# Revision of each entry, revision of each agent as e1 and e2 report it, exit code, and
# processes listed as missing. "new" is the applied revision, None is no report.
IN_FORCE = {
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


def prepare(this, entries, agents, new):
    """Set the status reports of the entries to the revisions of a case."""
    table = this.addresses
    for place, (name, revision) in enumerate(entries.items()):
        if revision is None:
            continue
        of_agents = [
            (agent, "order-desk", new if told[place] == "new" else told[place])
            for agent, told in agents.items()
        ]
        of_agents.append(("a-other", "unknown-service", 0))
        told = new if revision == "new" else revision
        this.reports[name]["status"] = this.status(name, told, table, of_agents)


@pytest.mark.parametrize(
    ("entries", "agents", "code", "missing"), IN_FORCE.values(), ids=IN_FORCE
)
async def test_apply_names_what_lacks_the_revision(
    entries, agents, code, missing, world, operator
):
    """Guards against a revision reported as in force while a process lacks it."""
    async with world(["e1", "e2"]) as this:
        settings = operator(
            entries=list(this.addresses.values()),
            store={"endpoints": [this.store_at]},
            timeout="30s",
        )
        wait = WAIT if code else "60s"
        prepare(this, entries, agents, 2)
        with trio.fail_after(90):
            outcome = await ApplyConfig(EXAMPLE, settings, wait).run()
            again = await ApplyConfig(EXAMPLE, settings, wait).run()
    report = outcome.report
    assert (outcome.exit_code, report["code"]) == (code, 603 if code else 0)
    assert [item["process"] for item in report["missing"]] == missing
    assert all(name in outcome.lines[-1] for name in missing)
    assert again.report["changes"] == []
    assert again.report["revision"] == report["revision"]


@pytest.mark.parametrize(
    ("expect", "down", "code", "exit_code"),
    [("7", False, 601, 1), ("", True, 602, 3)],
    ids=["expected revision differs", "store unavailable"],
)
async def test_apply_refused(expect, down, code, exit_code, world, operator):
    """Guards against a change that is lost without an error."""
    async with world([]) as this:
        this.store.faults.down = down
        settings = operator(store={"endpoints": [this.store_at]})
        with pytest.raises(CommandFailed) as failed:
            await ApplyConfig(EXAMPLE, settings, "1s", expect).run()
    assert (failed.value.refusal.code, failed.value.exit_code) == (code, exit_code)


async def test_show_counts_no_agent_of_a_foreign_service(world, operator):
    """Guards against agents of a service without configuration that count as behind."""
    async with world(["e1"]) as this:
        entries = list(this.addresses.values())
        settings = operator(entries=entries, store={"endpoints": [this.store_at]})
        prepare(this, {"e1": "new"}, {"a1": ("new",)}, 2)
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
async def test_submission_is_repeated_unchanged(answers, tries, exit_code, operator):
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
        doors = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{doors[0].socket.getsockname()[1]}"
        job = JobArguments(service="desk", kind="check", body='{"a": 1}')
        outcome = await SubmitJob(job, operator(http=[address]), "5").run()
        nursery.cancel_scope.cancel()
    assert (outcome.exit_code, outcome.report["tries"]) == (exit_code, tries)
    assert len(received) == tries
    assert received == [received[0]] * tries
    assert received[0]["submitted_at"]
    assert received[0]["id"]
