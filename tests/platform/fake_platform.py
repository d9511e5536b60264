"""Fakes of the platform's store and of a target that announces itself."""

import json
import time
from urllib.parse import parse_qs

import httpcore
import trio

from hornbeamshore.platform.asgi import read_body, send_response

WATCH_WAIT_S = 0.5


class FakeStore:
    """ASGI application with the part of the store's interface that the adapter uses."""

    def __init__(self):
        self.items = {}
        self.last_lease_id = 0
        self.revision = 1

    def put(self, key, value, lease=0):
        """Write an item with the next revision."""
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        data = await read_body(receive, 1 << 20)
        operation = scope["path"].split("/")[2]
        query = parse_qs(scope["query_string"].decode())
        method = getattr(self, "_" + operation.replace("-", "_"))
        status, body = await method(
            {name: values[0] for name, values in query.items()},
            json.loads(data) if data else {},
        )
        await send_response(send, status, body)

    async def _kv_key(self, query, body):
        item = self.items.get(query["key"])
        if item is None:
            return 404, {"currentRev": self.revision}
        return 200, {**item, "currentRev": self.revision}

    async def _kv_range(self, query, body):
        items = [i for k, i in self.items.items() if k.startswith(query["prefix"])]
        return 200, {"items": items, "hasMore": False, "currentRev": self.revision}

    async def _kv_watch(self, query, body):
        after, deadline = int(query["after"]), trio.current_time() + WATCH_WAIT_S
        while True:
            events = [
                item
                for key, item in self.items.items()
                if key.startswith(query["prefix"]) and item["revision"] > after
            ]
            if events or trio.current_time() > deadline:
                return 200, {"events": events, "currentRev": self.revision}
            await trio.sleep(0.02)

    async def _kv_txn(self, query, body):
        for row in body["expectedRev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item]}
        for put in body["puts"]:
            self.put(put["key"], put["value"], put.get("lease", 0))
        return 200, {"revision": self.revision}

    async def _kv_lease(self, query, body):
        self.last_lease_id += 1
        return 200, {"lease": self.last_lease_id, "ttlMs": body["ttlMs"]}

    async def _kv_keep(self, query, body):
        return 200, {"ttlMs": 15000}

    async def _kv_lease_end(self, query, body):
        return 200, {}


class FakeTarget:
    """ASGI application of a target whose tasks take 50 ms.

    Parameters
    ----------
    incarnation_id : str
        Id of the target.
    born : int
        Unix time, in milliseconds, at which the target started.
    """

    RUN_DURATION_S = 0.05

    def __init__(self, incarnation_id="i-1", born=1):
        self.incarnation_id = incarnation_id
        self.born = born
        self.running = {}
        self.completions = []
        self.starts = []
        self._started_at_s = time.monotonic()

    @property
    def clock_ms(self):
        return round((time.monotonic() - self._started_at_s) * 1000) + 1000

    async def announce(self, address):
        """Announce the target to its agent, until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            sequence = 0
            while True:
                sequence += 1
                body = {
                    "service": "order-desk",
                    "state": "ready",
                    "seq": sequence,
                    "capacity": {"cpu": 8000, "memMb": 4096, "gpu": 0},
                    "labels": ["a", "r1"],
                    "clockMs": self.clock_ms,
                    "born": self.born,
                }
                url = f"http://{address}/hornbeamshore/instances/{self.incarnation_id}"
                try:
                    await pool.request("PUT", url, content=json.dumps(body).encode())
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    # The agent is not listening yet.
                    sequence -= 1
                await trio.sleep(0.2)

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        body = json.loads(await read_body(receive, 1 << 20))
        await send_response(send, *await self.answer(scope["path"], body))

    async def answer(self, path, body):
        """Execute a call and return the status and body of the response."""
        if path.endswith("run-start"):
            key = body["task"], body["runId"]
            self.starts.append(key)
            self.running[key] = time.monotonic() + self.RUN_DURATION_S
            return 200, {"clockMs": self.clock_ms}
        if path.endswith("run-stop"):
            self._complete((body["task"], body["runId"]), "stopped")
            return 200, {"clockMs": self.clock_ms}
        return 200, await self._poll(body)

    async def _poll(self, body):
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while True:
            for key, ends_at in list(self.running.items()):
                if ends_at <= time.monotonic():
                    self._complete(key, "done")
            completions = [row for row in self.completions if row[0] > body["lastSeen"]]
            if completions or time.monotonic() >= deadline:
                break
            await trio.sleep(0.005)
        running = [[task, run, "", 50] for task, run in self.running]
        return {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": running,
            "completions": completions,
        }

    def _complete(self, key, outcome):
        if self.running.pop(key, None) is not None:
            self.completions.append([len(self.completions) + 1, *key, outcome, ""])
