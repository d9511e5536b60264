"""Demonstration: runs a job and a single request on a deployment on loopback.

``python -m hornbeamshore.bench.demo --serve`` keeps the deployment running until
Ctrl-C and prints its address.
"""

import contextlib
import json
import signal
import sys
import time
from pathlib import Path

import fire
import trio

from hornbeamshore.bench.caller import Caller, apply_config, make_job, wait_ready
from hornbeamshore.bench.fleet import EntryPlan, TargetPlan, running_fleet

EXAMPLE = Path("examples/tayside.yaml")
TOKEN = "tayside-sales-demo-token"  # noqa: S105
SERVICE = "order-desk"
TASK_COUNT = 20
ENTRIES = (EntryPlan("entry-1", "perth"), EntryPlan("entry-2", "dundee"))
TARGETS = tuple(
    TargetPlan(f"desk-{number}", data_centre, f"rack-{number}", SERVICE, speed)
    for number, (data_centre, speed) in enumerate(
        (("perth", 1.0), ("dundee", 0.5), ("stirling", 2.0)), 1
    )
)


async def run():
    """Run the demonstration and return whether the job and the request succeeded."""
    async with running_fleet("tayside", ENTRIES, TARGETS) as fleet:
        revision = await apply_config(fleet.store.first_line, EXAMPLE)
        print(f"applied {EXAMPLE} as revision {revision}")
        address = fleet.http_address("entry-1")
        await wait_ready(address, TOKEN, SERVICE, "stock-check")
        async with Caller(address, TOKEN) as caller:
            job_ok = await _submit_job(caller)
            request_ok = await _submit_request(caller)
        return job_ok and request_ok


async def _serve():
    """Run the deployment until SIGINT or SIGTERM, and return True."""
    async with contextlib.AsyncExitStack() as stack:
        signals = stack.enter_context(
            trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM)
        )
        fleet = await stack.enter_async_context(
            running_fleet("tayside", ENTRIES, TARGETS)
        )
        await apply_config(fleet.store.first_line, EXAMPLE)
        await wait_ready(fleet.http_address("entry-1"), TOKEN, SERVICE, "stock-check")
        print("The deployment runs until Ctrl-C. In another terminal:")
        print(f"export ENTRY=http://{fleet.http_address('entry-1')}")
        print(f"export TOKEN={TOKEN}")
        print(f"export OPERATOR={fleet.operator_settings(TOKEN)}", flush=True)
        await anext(signals)
    return True


async def _submit_job(caller):
    bodies = [
        {"run_ms": 60 + 10 * number, "echo": number} for number in range(TASK_COUNT)
    ]
    job = make_job("demo-job", SERVICE, "cut-quote", bodies)
    started = time.monotonic()
    reply = await caller.submit(job)
    elapsed_ms = (time.monotonic() - started) * 1000
    print(f"POST /v1/jobs: {TASK_COUNT} tasks, {elapsed_ms:.0f} ms, code {reply.code}")
    print(json.dumps(reply.content, indent=1))
    repeated = await caller.submit(job)
    print(f"resubmitted job: code {repeated.code}, same reply: {repeated == reply}")
    results = reply.content.get("results", ())
    return reply.code == 0 and len(results) == TASK_COUNT and repeated == reply


async def _submit_request(caller):
    reply = await caller.request(
        "POST",
        f"/v1/services/{SERVICE}/slot-hold",
        {"run_ms": 80, "echo": "lorry 7, Tuesday"},
        headers=[("Idempotency-Key", "demo-hold")],
    )
    print(f"POST slot-hold: code {reply.code}, {reply.run_state}: {reply.content}")
    return reply.code == 0 and reply.run_state == "ran"


def main(serve=False):
    """Run the demonstration and exit with 0 if it succeeded, else with 1.

    Parameters
    ----------
    serve : bool
        Whether to keep the deployment running until Ctrl-C instead.
    """
    sys.exit(0 if trio.run(_serve if serve else run) else 1)


if __name__ == "__main__":
    fire.Fire(main)
