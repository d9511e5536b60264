"""Tests of the commands as processes, against entries and agents as processes."""

import functools
import json
import subprocess
import sys
from pathlib import Path

import trio

from hornbeamshore.bench.caller import Caller, make_job, wait_ready
from hornbeamshore.bench.fleet import SECRET, EntryPlan, TargetPlan, running_fleet

ROOT = Path(__file__).parents[2]
TOKEN = "tayside-sales-demo-token"
EXAMPLE = "examples/tayside.yaml"
JOB_ID = "job-to-trace"
BODY_TEXT = "body-text-that-must-not-be-logged"
ENTRIES = (EntryPlan("e1", "perth"), EntryPlan("e2", "dundee"))
TARGETS = tuple(
    TargetPlan(f"a{number}", "perth", f"rack-{number}", "order-desk")
    for number in (1, 2)
)

# Arguments, exit code and texts in the output; run in this order. LABELS and PAGE stand
# for files that the test creates.
COMMANDS = (
    (("config", "show"), 1, ["revision 0", "entry e1", "entry e2"]),
    (("config", "apply", EXAMPLE, "--wait", "60s"), 0, ["services: added"]),
    (("config", "apply", EXAMPLE, "--wait", "60s"), 0, ["no changes"]),
    (("config", "show"), 0, ["agent a1", "agent a2", "in force"]),
    (("config", "check", EXAMPLE), 0, ["no faults"]),
    (
        ("config", "check", "LABELS"),
        0,
        ["warning: line 11: $.services.order-desk.kinds.stock-check.requires"],
    ),
)
COMMANDS_ON_JOBS = (
    (
        ("submit", "--service", "order-desk", "--kind", "stock-check")
        + ("--body", json.dumps({"run_ms": 5, "echo": 7}), "--id", "0017"),
        0,
        ["job 0017: 0 OK", '{"echo": 7}'],
    ),
    (
        ("submit", "--service", "order-desk", "--kind", "none", "--body", "1"),
        1,
        ["104 UNKNOWN_KIND", "not run"],
    ),
    (("status",), 0, ["e1", "e2", "order-desk/0", "a1", "a2", "serving"]),
    (("burn", "--html", "PAGE"), None, ["stock-check", "0.99 in 0.25 s", "gap"]),
)


async def run_command(args, settings, replacements):
    args = [replacements.get(arg, arg) for arg in args]
    program = str(Path(sys.executable).parent / "hornbeamshore")
    run = functools.partial(
        subprocess.run,
        [program, *args, "--settings", settings],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return await trio.to_thread.run_sync(run)


async def run_and_check(commands, settings, replacements):
    for args, code, expected_texts in commands:
        completed = await run_command(args, settings, replacements)
        output = completed.stdout + completed.stderr
        assert code in (None, completed.returncode), output
        for text in expected_texts:
            assert text in output
        assert TOKEN not in output
        assert SECRET not in output


async def wait_for_agents(settings, count):
    while True:
        completed = await run_command(("status", "--json"), settings, {})
        if len(json.loads(completed.stdout).get("agents", ())) == count:
            return
        await trio.sleep(0.1)


async def test_commands_on_running_deployment(tmp_path):
    """Guards against commands that work with fake entries only."""
    text = (ROOT / EXAMPLE).read_text()
    labels = tmp_path / "labels.yaml"
    labels.write_text(
        text.replace("stock-check:\n", "stock-check:\n        requires: [saw]\n", 1)
    )
    replacements = {"LABELS": str(labels), "PAGE": str(tmp_path / "burn.html")}
    async with running_fleet("tayside", ENTRIES, TARGETS, log_level="debug") as fleet:
        settings = fleet.operator_settings(TOKEN)
        with trio.fail_after(120):
            await wait_for_agents(settings, len(TARGETS))
        await run_and_check(COMMANDS, settings, replacements)
        address = fleet.http_address("e1")
        await wait_ready(address, TOKEN, "order-desk", "stock-check", 120)
        await run_and_check(COMMANDS_ON_JOBS, settings, replacements)
        async with Caller(address, TOKEN) as caller:
            bodies = [{"run_ms": 5, "echo": BODY_TEXT}]
            reply = await caller.submit(
                make_job(JOB_ID, "order-desk", "slot-hold", bodies, 60_000)
            )
        names = [plan.entry_id for plan in ENTRIES]
        names += [plan.agent_id for plan in TARGETS]
        logs = "".join(fleet.error_log(name) for name in names)
    assert reply.content["results"][0]["body"] == {"echo": BODY_TEXT}
    check_logs(logs)
    check_page(replacements["PAGE"])


def check_logs(logs):
    """Guards against logs that do not mention a job, or that contain secrets."""
    lines = [line for line in logs.splitlines() if JOB_ID in line]
    for part in ("entry: ", "owner: ", "agent: "):
        assert any(part in line for line in lines)
    for secret in (TOKEN, SECRET, BODY_TEXT):
        assert secret not in logs


def check_page(path):
    """Guards against a page that loads other files or does not show gaps."""
    page = Path(path).read_text()
    assert page.count("<svg") == 1 + 3
    assert 'class="gap"' in page
    assert not {"<script", "<link", "http://", "https://"} & set(page.split())
