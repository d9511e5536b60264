"""Stand-in for the platform's store: a subset of the etcd v3 JSON gateway.

``python -m hornbeamshore.bench.standin_store --port 0`` prints its address on one
line and serves until the process is terminated. Tests serve it in a nursery and
inject faults through the object; other processes inject them with requests to
``/standin/faults`` and the other paths under ``/standin/``.
"""

import base64
import collections
import contextlib
import functools
import itertools
import json
from dataclasses import dataclass

import fire
import hypercorn.trio
import trio
from hypercorn.config import Config

MAX_REQUEST_BYTES = 1_500_000  # default of etcd
FIRST_LEASE_ID = 7_587_848_390_000_000_000  # exceeds 53 bits, like those of etcd


class GatewayError(Exception):
    """Error response of the gateway."""

    def __init__(self, status, code, message):
        super().__init__(message)
        self.status = status
        self.body = {"code": code, "message": message}


class ResponseLost(Exception):  # noqa: N818
    """Raised when a write took effect but its response must not be sent."""


class Faults:
    """Faults to inject.

    Attributes
    ----------
    down : bool
        Whether each call fails and each watch is closed.
    delay_s : float
        Delay added to each call, in seconds.
    lose_answers : int
        Number of further writes that take effect but get no response.
    mute_watches : bool
        Whether open watches stay open but never receive another change, as on a
        connection whose state a middlebox has lost.
    """

    def __init__(self):
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.mute_watches = False


@dataclass(frozen=True, slots=True)
class Record:
    """Value of a key with its etcd revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    def to_json(self):
        """Return the JSON object of the gateway, which omits empty and zero fields."""
        body = {
            "key": _encode(self.key),
            "value": _encode(self.value),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "lease": str(self.lease),
        }
        return {name: text for name, text in body.items() if text not in ("", "0")}


class LeaseState:
    """Granted lease with its time to live in seconds, its deadline and its keys."""

    def __init__(self, ttl, deadline):
        self.ttl = ttl
        self.deadline = deadline
        self.keys = set()


class StandinStore:
    """State of the store and its ASGI application.

    Attributes
    ----------
    faults : Faults
        Injected faults; call `notify_change` after a change of its fields.
    calls : collections.Counter
        Number of calls by path.
    revision : int
        Current revision of the store.
    compacted : int
        Revision up to which the history has been compacted.
    open_watches : int
        Number of open watches.
    changed : trio.Event
        Set, and replaced by a new event, whenever the state changes.
    """

    def __init__(self):
        self.faults = Faults()
        self.calls = collections.Counter()
        self.revision = 1
        self.compacted = 0
        self._records = {}
        self._history = []
        self._leases = {}
        self._lease_ids = itertools.count(FIRST_LEASE_ID)
        self.open_watches = 0
        self.changed = trio.Event()
        self._handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/standin/faults": self._set_faults,
            "/standin/expire": lambda body: self.expire_lease(int(body["ID"])) or {},
            "/standin/compact": lambda body: self.compact(int(body["revision"])) or {},
            "/standin/calls": lambda body: dict(self.calls),
        }

    async def serve(self, port=0, task_status=trio.TASK_STATUS_IGNORED):
        """Serve on loopback until cancelled; the started value is the address."""
        cfg = Config()
        cfg.bind = [f"127.0.0.1:{port}"]
        cfg.errorlog = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_leases)
            start = functools.partial(hypercorn.trio.serve, self, cfg)
            (address,) = await nursery.start(start)
            task_status.started(address)

    def notify_change(self):
        """Wake all tasks that wait for a change of the state, such as open watches."""
        self.changed.set()
        self.changed = trio.Event()

    def expire_lease(self, lease_id):
        """Expire a lease at once and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease and lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._delete(key)
        self.notify_change()

    def compact(self, revision):
        """Discard the history up to a revision.

        Watches that have yet to receive a discarded revision are cancelled.
        """
        self.compacted = revision
        self._history = [item for item in self._history if item[0] > revision]
        self.notify_change()

    async def __call__(self, scope, receive, send):
        """Handle one ASGI connection: a lifespan or an HTTP request."""
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
        elif scope["type"] == "http":
            body = json.loads(await _read_body(receive) or b"{}")
            try:
                await self._handle_request(scope["path"], body, receive, send)
            except GatewayError as exc:
                await _send_json(send, exc.status, exc.body)

    async def _handle_request(self, path, body, receive, send):
        if not path.startswith("/standin/"):
            self.calls[path] += 1
            await trio.sleep(self.faults.delay_s)
            if self.faults.down:
                raise GatewayError(503, 14, "etcdserver: no leader")
        if path == "/v3/watch":
            await self._watch(body["create_request"], receive, send)
        elif path in self._handlers:
            try:
                response = self._handlers[path](body)
            except ResponseLost:
                await _send_truncated_response(send)
                raise
            await _send_json(send, 200, response)
        else:
            raise GatewayError(404, 5, "Not Found")

    def _header(self):
        return {"revision": str(self.revision)}

    def _range(self, body):
        found = [self._records[key].to_json() for key in self._select(body)]
        response = {"header": self._header()}
        return response | ({"kvs": found, "count": str(len(found))} if found else {})

    def _select(self, body):
        key, end = _decode(body["key"]), _decode(body.get("range_end", ""))
        if not end:
            return [key] if key in self._records else []
        return sorted(name for name in self._records if key <= name < end)

    def _txn(self, body):
        conditions_met = all(self._compare(item) for item in body.get("compare", ()))
        operations = body.get("success" if conditions_met else "failure", ())
        self._validate(operations)
        if any("request_range" not in operation for operation in operations):
            self.revision += 1
        responses = [self._apply(operation) for operation in operations]
        response = {"header": self._header(), "responses": responses}
        if conditions_met:
            response["succeeded"] = True
            self._finish_write()
        return response

    def _compare(self, item):
        if (item["target"], item["result"]) != ("MOD", "EQUAL"):
            raise GatewayError(501, 12, "comparison is not supported by the stand-in")
        record = self._records.get(_decode(item["key"]))
        return (record.mod_revision if record else 0) == int(item["mod_revision"])

    def _validate(self, operations):
        for put in (item.get("request_put", {}) for item in operations):
            if len(_decode(put.get("value", ""))) > MAX_REQUEST_BYTES:
                raise GatewayError(400, 3, "etcdserver: request is too large")
            if int(put.get("lease", 0)) not in (0, *self._leases):
                raise _lease_not_found()

    def _apply(self, operation):
        if "request_put" in operation:
            self._put(operation["request_put"])
            return {"response_put": {"header": self._header()}}
        if "request_delete_range" in operation:
            keys = self._select(operation["request_delete_range"])
            for key in keys:
                self._delete(key)
            return {"response_delete_range": {"deleted": str(len(keys))}}
        return {"response_range": self._range(operation["request_range"])}

    def _put(self, body):
        key, lease = _decode(body["key"]), int(body.get("lease", 0))
        old = self._records.get(key)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        created = old.create_revision if old else self.revision
        version = old.version + 1 if old else 1
        record = Record(
            key, _decode(body["value"]), created, self.revision, version, lease
        )
        self._records[key] = record
        self._history.append((self.revision, key, {"kv": record.to_json()}))

    def _delete(self, key):
        record = self._records.pop(key)
        if record.lease in self._leases:
            self._leases[record.lease].keys.discard(key)
        kv = {"key": _encode(key), "mod_revision": str(self.revision)}
        self._history.append((self.revision, key, {"type": "DELETE", "kv": kv}))

    def _delete_range(self, body):
        keys = self._select(body)
        if not keys:
            return {"header": self._header()}
        self.revision += 1
        for key in keys:
            self._delete(key)
        response = {"header": self._header(), "deleted": str(len(keys))}
        self._finish_write()
        return response

    def _finish_write(self):
        self.notify_change()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ResponseLost

    def _grant(self, body):
        ttl = int(body["TTL"])
        lease_id = int(body.get("ID", 0)) or next(self._lease_ids)
        self._leases[lease_id] = LeaseState(ttl, trio.current_time() + ttl)
        response = {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}
        self._finish_write()
        return response

    def _keep_alive(self, body):
        lease = self._leases.get(int(body["ID"]))
        result = {"header": self._header(), "ID": body["ID"]}
        if lease:
            lease.deadline = trio.current_time() + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def _revoke(self, body):
        if int(body["ID"]) not in self._leases:
            raise _lease_not_found()
        self.expire_lease(int(body["ID"]))
        return {"header": self._header()}

    def _set_faults(self, body):
        fields = vars(self.faults)
        fields.update({name: body[name] for name in body.keys() & fields.keys()})
        self.notify_change()
        return fields

    async def _expire_leases(self):
        while True:
            changed = self.changed
            deadlines = [lease.deadline for lease in self._leases.values()]
            with trio.move_on_at(min(deadlines, default=float("inf"))):
                await changed.wait()
            now = trio.current_time()
            expired = [
                name for name, item in self._leases.items() if item.deadline <= now
            ]
            for lease_id in expired:
                self.expire_lease(lease_id)

    async def _watch(self, request, receive, send):
        await _start_response(send, 200, [])
        await self._send_result(send, {"created": True})
        self.open_watches += 1
        self.notify_change()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_at_disconnect, receive, nursery)
                await self._send_changes(request, send)
                nursery.cancel_scope.cancel()
        finally:
            self.open_watches -= 1
            self.notify_change()
        await send({"type": "http.response.body"})

    async def _send_changes(self, request, send):
        key, end = _decode(request["key"]), _decode(request.get("range_end", ""))
        revision = int(request.get("start_revision", 0)) or self.revision + 1
        while not self.faults.down:
            changed = self.changed
            if self.faults.mute_watches:
                await trio.sleep_forever()
            if revision <= self.compacted:
                cancellation = {
                    "canceled": True,
                    "compact_revision": str(self.compacted),
                }
                await self._send_result(send, cancellation)
                return
            events = [
                event
                for event_revision, name, event in self._history
                if event_revision >= revision
                and (key <= name < end if end else name == key)
            ]
            revision = max(revision, self.revision + 1)
            if events:
                await self._send_result(send, {"events": events})
            await changed.wait()

    async def _send_result(self, send, result):
        line = json.dumps({"result": {"header": self._header()} | result}) + "\n"
        await send(
            {"type": "http.response.body", "body": line.encode(), "more_body": True}
        )


def _lease_not_found():
    return GatewayError(404, 5, "etcdserver: requested lease not found")


def _encode(data):
    return base64.b64encode(data).decode()


def _decode(text):
    return base64.b64decode(text, validate=True)


async def _run_lifespan(receive, send):
    for stage in ("startup", "shutdown"):
        await receive()
        await send({"type": f"lifespan.{stage}.complete"})


async def _read_body(receive):
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def _cancel_at_disconnect(receive, nursery):
    while (await receive())["type"] != "http.disconnect":
        pass
    nursery.cancel_scope.cancel()


async def _send_json(send, status, response):
    body = json.dumps(response).encode()
    await _start_response(send, status, [(b"content-length", b"%d" % len(body))])
    await send({"type": "http.response.body", "body": body})


async def _send_truncated_response(send):
    # A body shorter than its Content-Length makes the server close the connection.
    await _start_response(send, 200, [(b"content-length", b"1000")])
    await send({"type": "http.response.body", "body": b"{", "more_body": True})


async def _start_response(send, status, headers):
    kind = (b"content-type", b"application/json")
    await send(
        {"type": "http.response.start", "status": status, "headers": [kind, *headers]}
    )


async def _main(port):
    async with trio.open_nursery() as nursery:
        print(await nursery.start(StandinStore().serve, port), flush=True)


def main(port=0):
    """Serve the stand-in on a loopback port and print its address."""
    with contextlib.suppress(KeyboardInterrupt):
        trio.run(_main, port)


if __name__ == "__main__":
    fire.Fire(main)
