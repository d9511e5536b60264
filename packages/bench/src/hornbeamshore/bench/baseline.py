"""Baseline dispatcher: random target, one FIFO queue, no limits.

It accepts the same submissions as an entry and sends their tasks to the same targets,
at most one at a time to each slot. It stores no records, does not deduplicate
submissions and refuses none.
"""

import json
import random
import time
from collections import deque

import fire
import httpcore
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown

COUNTERS_PATH = "/counters"


class _Slot:
    """HTTP connection of one slot of a target."""

    def __init__(self, address):
        self.address = address
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._conn = None

    async def post(self, path, body, headers):
        """Send a task and return the status and decoded content of the response.

        Raises
        ------
        httpcore.NetworkError, httpcore.ProtocolError
            If the request fails.
        """
        if self._conn is None or not self._conn.is_available():
            self._conn = httpcore.AsyncHTTPConnection(self._origin)
        header_fields = [
            ("Host", self.address),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        response = await self._conn.request(
            "POST", f"http://{self.address}{path}", headers=header_fields, content=body
        )
        return response.status, json.loads(response.content)


class Baseline:
    """ASGI application that sends queued tasks to random targets with a free slot.

    Parameters
    ----------
    targets : sequence of str
        ``host:port`` of each target.
    slots : int
        Number of tasks that run on a target at a time.
    seed : int
        Seed of the choice of targets.
    nursery : trio.Nursery
        Runs the tasks.
    """

    def __init__(self, targets, slots, seed, nursery):
        self._idle_slots = {
            target: [_Slot(target) for _ in range(slots)] for target in targets
        }
        self._rng = random.Random(seed)
        self._nursery = nursery
        self._queue = deque()
        self.counters = {"starts": 0, "late": 0, "failed": 0}

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request: a job, a single request or the counters."""
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body"):
                break
        if scope["path"] == COUNTERS_PATH:
            return await _send_response(send, 200, ResultCode.OK, self.counters)
        headers = {name.decode(): text.decode() for name, text in scope["headers"]}
        if scope["path"] == "/v1/jobs":
            return await self._serve_job(json.loads(body), send)
        job_id = headers["idempotency-key"]
        deadline_ms = int(headers["hornbeamshore-deadline-ms"])
        kind = scope["path"].rpartition("/")[2]
        results = await self._run_tasks([(f"/{kind}", job_id, 0, body)], deadline_ms)
        status, content = results[0]
        return await _send_response(send, status, _result_code(results), content)

    async def _serve_job(self, job, send):
        path = f"/{job['kind']}"
        tasks = [
            (path, job["id"], index, json.dumps(task["body"]).encode())
            for index, task in enumerate(job["tasks"])
        ]
        results = await self._run_tasks(tasks, job["deadline_ms"])
        code = _result_code(results)
        content = {"code": int(code)}
        if code is ResultCode.OK:
            content["results"] = [
                {"index": index, "status": status, "body": body}
                for index, (status, body) in enumerate(results)
            ]
        await _send_response(send, 200 if code is ResultCode.OK else 502, code, content)

    async def _run_tasks(self, tasks, deadline_ms):
        deadline = time.monotonic() + deadline_ms / 1000
        results = [None] * len(tasks)
        all_ended = trio.Event()
        for task in tasks:
            self._queue.append((task, deadline, results, all_ended))
        self._dispatch()
        await all_ended.wait()
        return results

    def _dispatch(self):
        while self._queue and (
            idle_targets := [
                target for target, slots in self._idle_slots.items() if slots
            ]
        ):
            slot = self._idle_slots[self._rng.choice(idle_targets)].pop()
            self._nursery.start_soon(self._run_task, slot, *self._queue.popleft())

    async def _run_task(self, slot, task, deadline, results, all_ended):
        path, job_id, index, body = task
        headers = [
            ("Hornbeamshore-Job", job_id),
            ("Hornbeamshore-Task", str(index)),
            ("Hornbeamshore-Attempt", "1"),
        ]
        self.counters["starts"] += 1
        try:
            results[index] = await slot.post(path, body, headers)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            self.counters["failed"] += 1
            results[index] = 502, {"error": str(exc)}
        if time.monotonic() > deadline:
            self.counters["late"] += 1
        self._idle_slots[slot.address].append(slot)
        if None not in results:
            all_ended.set()
        self._dispatch()


def _result_code(results):
    is_ok = all(status < 500 for status, _ in results)
    return ResultCode.OK if is_ok else ResultCode.OUTCOME_UNKNOWN


async def _send_response(send, status, code, content):
    body = json.dumps(content).encode()
    run_state = b"ran" if code is ResultCode.OK else b"unknown"
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (b"hornbeamshore-code", b"%d" % code),
        (b"hornbeamshore-run-state", run_state),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def main(targets, slots=8, seed=1, port=0):
    """Serve HTTP on loopback and print the address on one line.

    Parameters
    ----------
    targets : str
        Comma-separated ``host:port`` addresses of the targets.
    slots : int
        Number of tasks that run on a target at a time.
    seed : int
        Seed of the choice of targets.
    port : int
        TCP port; 0 for any free one.
    """
    trio.run(_serve, str(targets).split(","), slots, seed, port)


async def _serve(targets, slots, seed, port):
    listeners = await open_http_listeners("127.0.0.1", port)
    async with trio.open_nursery() as nursery:
        app = Baseline(targets, slots, seed, nursery)
        port = listeners[0].socket.getsockname()[1]
        print(f"127.0.0.1:{port}", flush=True)
        await serve_http(app, listeners, HttpSettings(), Shutdown())


if __name__ == "__main__":
    fire.Fire(main)
