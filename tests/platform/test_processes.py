"""Entry and agent as separate processes against a fake platform."""

import base64
import contextlib
import json
import os
import signal
import socket
import sys
from functools import partial

import httpcore
import pytest
import trio

from .fake_platform import FakeStore, FakeTarget
from .scripted_http import serving

TIMEOUT_S = 60.0
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "prefix": "/q/",
            "service": "order-desk",
            "sloMs": 60,
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [],
}
JOB = {
    "taskSpec": "text",
    "bestEffort": True,
    "steps": [{"count": 3, "cpu": 1000, "memMb": 64, "estimateMs": 50}],
}
HEADERS = {"Host": "desk.example", "Hornbeamshore-Deadline-Ms": "20000"}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def put_value(store, key, value):
    store.put(key, base64.b64encode(value).decode())


def write_settings(path, store, inner_port, **fields):
    lines = {
        "node": path.stem,
        "ip": "127.0.0.1",
        "zone": "perth",
        "portRange": f"{inner_port},{inner_port}",
        "seeds": "127.0.0.1:1",
        "platform.address": store,
        **fields,
    }
    path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))


@contextlib.asynccontextmanager
async def running(role, settings):
    """Run the process of a role until the block ends; yield the process."""
    async with trio.open_nursery() as nursery:
        command = [sys.executable, "-m", "hornbeamshore.platform.main", role]
        environ = {**os.environ, "HORNBEAMSHORE_BOOT": str(settings)}
        async with await trio.open_file(settings.with_suffix(".log"), "wb") as output:
            start = partial(trio.run_process, command, env=environ, check=False)
            process = await nursery.start(partial(start, stdout=output.wrapped))
        try:
            yield process
        finally:
            if process.returncode is None:
                process.kill()
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def deployment(tmp_path, store=None, control=None, target=None):
    """Run an entry, an agent and the fakes.

    Yields the fake target, an HTTP connection pool, the URL for callers, the entry
    process and the agent process.
    """
    store, target = store or FakeStore(), target or FakeTarget()
    put_value(store, "op/config", json.dumps(CONFIG).encode())
    front, ready, inner = (free_port() for _ in range(3))
    control = control or free_port()
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(serving(store))
        target_address = await stack.enter_async_context(serving(target))
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        entry, agent = tmp_path / "entry.conf", tmp_path / "agent.conf"
        write_settings(
            entry,
            store_address,
            inner,
            **{
                "listen.front": f"127.0.0.1:{front}",
                "listen.ready": f"127.0.0.1:{ready}",
            },
        )
        write_settings(
            agent,
            store_address,
            inner,
            **{"listen.control": f"127.0.0.1:{control}", "app": target_address},
        )
        entry_process = await stack.enter_async_context(running("entry", entry))
        agent_process = await stack.enter_async_context(running("agent", agent))
        nursery.start_soon(target.announce, f"127.0.0.1:{control}")
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        await wait_ready(pool, f"http://127.0.0.1:{ready}/hornbeamshore/ready")
        yield target, pool, f"http://127.0.0.1:{front}", entry_process, agent_process


async def wait_ready(pool, url):
    with trio.fail_after(TIMEOUT_S):
        for _ in range(1000):
            with contextlib.suppress(httpcore.NetworkError):
                if (await pool.request("GET", url)).status == 200:
                    return
            await trio.sleep(0.1)


async def submit(pool, url, job_id):
    content = json.dumps(JOB).encode()
    response = await pool.request(
        "POST", f"{url}/q/{job_id}", headers=HEADERS, content=content
    )
    return response.status, json.loads(response.content)


async def test_job_runs_end_to_end(tmp_path):
    """Guards against modules that pass their own tests but fail when combined."""
    async with deployment(tmp_path) as (target, pool, url, _, _):
        with trio.fail_after(TIMEOUT_S):
            response = await submit(pool, url, "5c0e7a21d94b36f8")
    assert response == (200, {"state": "completed"})
    assert sorted(task for task, _ in target.starts) == [
        f"5c0e7a21d94b36f8.0.0.{index}" for index in range(3)
    ]


@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_sighup_keeps_the_process_and_sigterm_stops_it(tmp_path, role):
    """Guards against SIGHUP ending a process and SIGTERM being ignored."""
    async with deployment(tmp_path) as (_, pool, url, entry, agent):
        process = entry if role == "entry" else agent
        with trio.fail_after(TIMEOUT_S):
            process.send_signal(signal.SIGHUP)
            assert (await submit(pool, url, "0" * 16))[0] == 200
            process.send_signal(signal.SIGTERM)
            await process.wait()
    assert process.returncode == 0


@pytest.mark.parametrize(
    ("role", "fields", "message"),
    [
        ("entry", None, "HORNBEAMSHORE_BOOT: "),
        ("unknown", {}, "no such role"),
        ("entry", {"listen.front": "OCCUPIED"}, "Address already in use"),
        ("agent", {"portRange": "x"}, "field is not a number"),
    ],
    ids=["missing file", "unknown role", "port in use", "invalid field"],
)
async def test_startup_failure_is_reported(tmp_path, role, fields, message):
    """Guards against a traceback, and against starting without a listen address."""
    settings = tmp_path / "node.conf"
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        if fields is not None:
            resolved = {k: v.replace("OCCUPIED", address) for k, v in fields.items()}
            write_settings(settings, "127.0.0.1:1", 1, **resolved)
        command = [sys.executable, "-m", "hornbeamshore.platform.main", role]
        environ = {**os.environ, "HORNBEAMSHORE_BOOT": str(settings)}
        with trio.fail_after(TIMEOUT_S):
            result = await trio.run_process(
                command, env=environ, check=False, capture_stderr=True
            )
    assert result.returncode == 2
    assert message in result.stderr.decode()
    assert b"Traceback" not in result.stderr


async def test_first_log_line_names_the_build(tmp_path):
    """Guards against logs of a failure that do not tell which code was running."""
    async with deployment(tmp_path):
        pass
    version = ".".join(map(str, sys.version_info[:3]))
    build = f"source=unknown python={version} machine={os.uname().machine}"
    for role in ("entry", "agent"):
        first_line = (tmp_path / f"{role}.log").read_text().partition("\n")[0]
        assert f"process: starting role={role} {build}" in first_line


ODD_VALUES = [
    b"[" * 100_000 + b"]" * 100_000,
    b"\xff\x00",
    b"127.0.0.1:99999999999 perth",
    b"127.0.0.1 perth",
    b":7 perth",
    b"",
    b'{"version": 99999999999999999999999, "routes": []}',
    b'{"version": 4, "routes": [{"name": 7}]}',
]
ODD_HEARTBEATS = [
    ("i-1", b"[" * 100_000 + b"]" * 100_000),
    ("i-1", {"seq": 2**52}),
    ("i-1", {"seq": 2**52, "clockMs": 2**52}),
    ("i-1", {"capacity": {"cpu": 2**40, "memMb": 1}}),
    ("i-2", {"born": 2**52}),
    ("i-2", {"born": 2**52, "clockMs": 2**52, "address": "nowhere:0"}),
    ("i-1", {"born": 2**52}),
    ("i-1", {"born": 0, "seq": 2, "clockMs": 2}),
]
HEARTBEAT = {
    "service": "order-desk",
    "state": "ready",
    "seq": 1,
    "capacity": {"cpu": 8000, "memMb": 4096},
    "labels": [],
    "clockMs": 1,
    "born": 1,
}


async def test_odd_entries_of_another_writer_end_no_process(tmp_path):
    """Guards against one odd entry that ends the processes that read the list.

    The values are in the store when the processes start, and come again while they run.
    """
    store, control = FakeStore(), free_port()
    prefix = "hornbeamshore/platform/entries/"

    def put_odd_values():
        for number, value in enumerate(ODD_VALUES):
            put_value(store, f"{prefix}odd-{number}", value)

    put_odd_values()
    async with deployment(tmp_path, store, control) as (_, pool, url, entry, agent):
        with trio.fail_after(TIMEOUT_S):
            assert (await submit(pool, url, "0" * 16))[0] == 200
            put_odd_values()
            for value in ODD_VALUES:
                put_value(store, "op/config", value)
                # Long enough for the watch to read each value.
                await trio.sleep(0.1)
            for number, (incarnation_id, change) in enumerate(ODD_HEARTBEATS):
                content = change
                if isinstance(change, dict):
                    content = json.dumps({**HEARTBEAT, **change}).encode()
                path = f"/hornbeamshore/instances/{incarnation_id}"
                address = f"http://127.0.0.1:{control}{path}"
                await pool.request("PUT", address, content=content)
                await trio.sleep(0.3)
                answer = await submit(pool, url, f"{number + 1:016x}")
                assert answer == (200, {"state": "completed"}), (number, answer)
            assert entry.returncode is agent.returncode is None
