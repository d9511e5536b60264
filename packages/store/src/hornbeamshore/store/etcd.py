"""Store implementation for the JSON gateway of etcd v3 over HTTP."""

import base64
import collections
from dataclasses import dataclass
from typing import Annotated

import httpcore
import msgspec
import trio

from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.store.base import (
    Change,
    KeyValue,
    Lease,
    LeaseNotFound,
    Snapshot,
    Store,
    StoreRejected,
    StoreUnavailable,
    Watch,
    WriteOutcome,
)

MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024
CLOSE_TIMEOUT_S = 1.0
GRPC_NOT_FOUND = 5

log = PartLogger("store")


@dataclass(frozen=True, slots=True)
class EtcdSettings:
    """Settings of the connections to the store.

    Attributes
    ----------
    endpoints : tuple of str
        URLs such as ``http://10.0.0.1:2379``. After a failure the next one is used.
    connect_timeout : Duration
        Timeout for opening a connection to one endpoint.
    request_timeout : Duration
        Timeout for one call to one endpoint.
    watch_idle : Duration
        Time without a message after which a watch is reopened, since a connection
        that a middlebox dropped looks like a prefix without changes.
    """

    endpoints: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    connect_timeout: Duration = Duration(0.5)
    request_timeout: Duration = Duration(2.0)
    watch_idle: Duration = Duration(5.0)


# Responses of the gateway. It encodes int64 as a string and bytes as base64, which
# msgspec converts in its lax mode, and omits fields with a zero value.


@dataclass(frozen=True, slots=True)
class _Header:
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _KeyValue:
    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0
    lease: int = 0

    def to_key_value(self):
        key = self.key.decode(errors="replace")
        return KeyValue(key, self.value, self.mod_revision, self.lease)


@dataclass(frozen=True, slots=True)
class _RangeResponse:
    header: _Header = _Header()
    kvs: tuple[_KeyValue, ...] = ()


@dataclass(frozen=True, slots=True)
class _ResponseOp:
    response_range: _RangeResponse | None = None


@dataclass(frozen=True, slots=True)
class _TxnResponse:
    header: _Header
    succeeded: bool = False
    responses: tuple[_ResponseOp, ...] = ()


@dataclass(frozen=True, slots=True)
class _DeleteResponse:
    header: _Header
    deleted: int = 0


@dataclass(frozen=True, slots=True)
class _LeaseResponse:
    ID: int = 0
    TTL: int = 0


@dataclass(frozen=True, slots=True)
class _KeepAliveResponse:
    result: _LeaseResponse


@dataclass(frozen=True, slots=True)
class _RevokeResponse:
    header: _Header = _Header()


@dataclass(frozen=True, slots=True)
class _Event:
    kv: _KeyValue
    type: str = "PUT"


@dataclass(frozen=True, slots=True)
class _WatchResult:
    header: _Header = _Header()
    canceled: bool = False
    cancel_reason: str = ""
    compact_revision: int = 0
    events: tuple[_Event, ...] = ()


@dataclass(frozen=True, slots=True)
class _WatchResponse:
    result: _WatchResult


@dataclass(frozen=True, slots=True)
class _ErrorResponse:
    code: int = 0
    message: str = ""


class EtcdStore(Store):
    """Store behind one or more etcd v3 JSON gateways.

    Key operations share one connection. Lease operations use another, so that a slow
    read cannot delay a renewal until its lease expires. Each watch has its own.

    Parameters
    ----------
    cfg : EtcdSettings
        Endpoints and timeouts.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self._key_conn = _GatewayConnection(cfg)
        self._lease_conn = _GatewayConnection(cfg)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._key_conn.aclose()
        await self._lease_conn.aclose()

    async def get(self, key):
        """Return the `KeyValue` of a key, or None if the key is absent."""
        response = await self._range({"key": _b64(key)})
        return response.kvs[0].to_key_value() if response.kvs else None

    async def get_prefix(self, prefix):
        """Return the `Snapshot` of all keys that start with a prefix."""
        response = await self._range(_prefix_range(prefix))
        return Snapshot(
            response.header.revision, tuple(kv.to_key_value() for kv in response.kvs)
        )

    async def compare_and_swap(self, key, value, expected_revision, lease_id=0):
        """Write a value if the key has the expected modification revision."""
        put = {"key": _b64(key), "value": _b64(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return await self._txn(key, expected_revision, {"request_put": put})

    async def delete(self, key, expected_revision=None):
        """Delete a key and return the `WriteOutcome`."""
        key_range = {"key": _b64(key)}
        if expected_revision is not None:
            operation = {"request_delete_range": key_range}
            return await self._txn(key, expected_revision, operation)
        response = await self._key_conn.call(
            "/v3/kv/deleterange", key_range, _DeleteResponse, is_write=True
        )
        return WriteOutcome(response.deleted > 0, response.header.revision)

    async def grant_lease(self, ttl_s):
        """Return a new `Lease` that expires after `ttl_s` seconds."""
        response = await self._lease_conn.call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, _LeaseResponse, is_write=True
        )
        return Lease(response.ID, response.TTL)

    async def keep_alive(self, lease_id):
        """Renew a lease for its full time to live and return the `Lease`."""
        response = await self._lease_conn.call(
            "/v3/lease/keepalive", {"ID": str(lease_id)}, _KeepAliveResponse
        )
        if response.result.TTL <= 0:
            raise LeaseNotFound(f"lease {lease_id} has expired")
        return Lease(lease_id, response.result.TTL)

    async def revoke_lease(self, lease_id):
        """Revoke a lease and delete its keys; does nothing if the lease has ended."""
        try:
            # Revocation is idempotent, so it may be retried at another endpoint.
            await self._lease_conn.call(
                "/v3/lease/revoke", {"ID": str(lease_id)}, _RevokeResponse
            )
        except LeaseNotFound:
            return

    def watch(self, prefix, from_revision=0):
        """Return an `EtcdWatch` over the keys that start with a prefix."""
        return EtcdWatch(self, prefix, from_revision)

    async def _range(self, body):
        return await self._key_conn.call("/v3/kv/range", body, _RangeResponse)

    async def _txn(self, key, expected_revision, operation):
        compare = {
            "key": _b64(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        body = {
            "compare": [compare],
            "success": [operation],
            "failure": [{"request_range": {"key": _b64(key)}}],
        }
        response = await self._key_conn.call(
            "/v3/kv/txn", body, _TxnResponse, is_write=True
        )
        current = None
        if not response.succeeded:
            range_responses = [
                op.response_range for op in response.responses if op.response_range
            ]
            key_values = range_responses[0].kvs if range_responses else ()
            current = key_values[0].to_key_value() if key_values else None
        return WriteOutcome(response.succeeded, response.header.revision, current)


class EtcdWatch(Watch):
    """Watch that reopens its stream after an idle timeout, failure or compaction."""

    def __init__(self, store, prefix, from_revision):
        self._store = store
        self._prefix = prefix
        self._next_revision = from_revision
        self._known_keys = set()
        self._pending_changes = collections.deque()
        self._gateway_conn = _GatewayConnection(store.cfg)
        self._stream = None

    async def __anext__(self):
        while not self._pending_changes:
            if self._next_revision == 0:
                await self._resynchronize(0)
            elif self._stream is None:
                await self._open_stream()
            else:
                await self._receive_events()
        return self._pending_changes.popleft()

    async def aclose(self):
        """Close the connection of the watch."""
        self._stream = None
        await self._gateway_conn.aclose()

    async def _open_stream(self):
        body = {
            **_prefix_range(self._prefix),
            "start_revision": str(self._next_revision),
        }
        self._stream = await self._gateway_conn.stream(
            "/v3/watch", {"create_request": body}
        )

    async def _receive_events(self):
        with trio.move_on_after(self._store.cfg.watch_idle) as idle_scope:
            try:
                line = await self._stream.read_line()
            except StoreUnavailable:
                await self.aclose()
                raise
        if idle_scope.cancelled_caught:
            await self.aclose()
            return
        try:
            result = _decode(line, _WatchResponse).result
        except StoreUnavailable:
            await self.aclose()
            raise
        if result.canceled:
            log.info("watch cancelled reason=%s", result.cancel_reason or "compaction")
            await self.aclose()
            await self._resynchronize(self._next_revision)
            return
        for event in result.events:
            self._queue_change(event)

    def _queue_change(self, event):
        item = event.kv.to_key_value()
        self._next_revision = max(self._next_revision, item.mod_revision + 1)
        if event.type == "DELETE":
            self._known_keys.discard(item.key)
            self._pending_changes.append(Change(item.key, item.mod_revision, None))
        else:
            self._known_keys.add(item.key)
            self._pending_changes.append(Change(item.key, item.mod_revision, item))

    async def _resynchronize(self, from_revision):
        snapshot = await self._store.get_prefix(self._prefix)
        present_keys = {item.key for item in snapshot.items}
        for key in sorted(self._known_keys - present_keys):
            self._pending_changes.append(Change(key, snapshot.revision, None))
        for item in snapshot.items:
            if item.mod_revision >= from_revision:
                self._pending_changes.append(Change(item.key, item.mod_revision, item))
        self._known_keys = present_keys
        self._next_revision = snapshot.revision + 1


class _GatewayConnection:
    """HTTP connection to one endpoint; after a failure the next endpoint is used."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._endpoint_index = 0
        self._conn = None
        self._lock = trio.Lock()

    async def call(self, path, body, response_type, *, is_write=False):
        """Return the decoded response to a request.

        A request without a valid response is retried at the other endpoints, except
        for a write that may have taken effect.
        """
        for attempts_left in reversed(range(len(self._cfg.endpoints))):
            try:
                content = await self._call_once(path, body, is_write)
                return _decode(content, response_type, maybe_written=is_write)
            except StoreUnavailable as exc:
                # Repeating a write that may have taken effect could apply it twice.
                if exc.maybe_written or not attempts_left:
                    raise
        raise StoreUnavailable("no endpoint is configured")

    async def stream(self, path, body):
        """Send a request and return a `_LineStream` over its streaming response."""
        try:
            with trio.fail_after(self._cfg.request_timeout):
                response = await self._send(path, body)
                if response.status != 200:
                    _raise_error(response.status, await response.aread(), False)
        except BaseException as exc:
            await self._handle_failure(exc, maybe_written=False)
            raise
        return _LineStream(response)

    async def aclose(self):
        """Close the connection; the next request opens a new one."""
        conn, self._conn = self._conn, None
        if conn is not None:
            with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await conn.aclose()

    async def _call_once(self, path, body, is_write):
        with trio.move_on_after(self._cfg.request_timeout) as lock_scope:
            await self._lock.acquire()
        if lock_scope.cancelled_caught:
            raise StoreUnavailable("timed out waiting for earlier calls to the store")
        try:
            with trio.fail_after(self._cfg.request_timeout):
                response = await self._send(path, body)
                content = await response.aread()
                await response.aclose()
            if response.status != 200:
                _raise_error(response.status, content, is_write)
        except StoreRejected:
            raise
        except BaseException as exc:
            await self._handle_failure(exc, maybe_written=is_write)
            raise
        finally:
            self._lock.release()
        return content

    async def _send(self, path, body):
        if self._conn is not None and not self._conn.is_available():
            await self.aclose()
        endpoint = self._cfg.endpoints[self._endpoint_index]
        request = httpcore.Request(
            "POST",
            endpoint.rstrip("/") + path,
            headers={"Host": _host_header(endpoint), "Content-Type": "application/json"}
            | {"Content-Length": str(len(content := msgspec.json.encode(body)))},
            content=content,
            extensions={"timeout": {"connect": self._cfg.connect_timeout}},
        )
        if self._conn is None:
            self._conn = httpcore.AsyncHTTPConnection(request.url.origin)
        return await self._conn.handle_async_request(request)

    async def _handle_failure(self, exc, *, maybe_written):
        endpoint = self._cfg.endpoints[self._endpoint_index]
        self._endpoint_index = (self._endpoint_index + 1) % len(self._cfg.endpoints)
        await self.aclose()
        if isinstance(exc, httpcore.ConnectError | httpcore.ConnectTimeout):
            raise StoreUnavailable(f"{endpoint}: connection failed: {exc}") from exc
        if isinstance(exc, trio.TooSlowError):
            message = f"{endpoint}: no response within {self._cfg.request_timeout} s"
            raise StoreUnavailable(message, maybe_written=maybe_written) from exc
        if isinstance(exc, _HTTP_ERRORS):
            message = f"{endpoint}: request failed: {exc!r}"
            raise StoreUnavailable(message, maybe_written=maybe_written) from exc


# Exceptions that httpcore raises for a broken connection or an invalid response.
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


class _LineStream:
    """Reader of the lines of a streaming response."""

    def __init__(self, response):
        self._chunks = response.aiter_stream().__aiter__()
        self._buffer = bytearray()

    async def read_line(self):
        """Return the next line, without its newline.

        Raises
        ------
        StoreUnavailable
            If the stream fails or ends, or the line is longer than
            `MAX_WATCH_LINE_BYTES`.
        """
        while (end := self._buffer.find(b"\n")) < 0:
            try:
                chunk = await anext(self._chunks, None)
            except _HTTP_ERRORS as exc:
                raise StoreUnavailable(f"watch stream failed: {exc!r}") from exc
            if chunk is None:
                raise StoreUnavailable("watch stream was closed by the store")
            self._buffer += chunk
            if len(self._buffer) > MAX_WATCH_LINE_BYTES:
                raise StoreUnavailable("watch response line exceeds the size limit")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line


def _decode(content, response_type, *, maybe_written=False):
    try:
        return decode_json(content, response_type, strict=False)
    except msgspec.DecodeError as exc:
        message = f"store returned a malformed response: {exc}"
        raise StoreUnavailable(message, maybe_written=maybe_written) from exc


def _raise_error(status, content, is_write):
    try:
        error = decode_json(content, _ErrorResponse)
    except msgspec.DecodeError:
        error = _ErrorResponse(0, f"HTTP status {status}")
    if error.code == GRPC_NOT_FOUND and "lease" in error.message:
        raise LeaseNotFound(error.message)
    if 400 <= status < 500:
        raise StoreRejected(error.message)
    # The gateway also returns 5xx if it lost the connection after forwarding a write.
    raise StoreUnavailable(error.message, maybe_written=is_write)


def _prefix_range(prefix):
    raw = prefix.encode()
    # range_end is exclusive. The last byte can be incremented: UTF-8 has no byte 0xff.
    return {"key": _b64(raw), "range_end": _b64(raw[:-1] + bytes([raw[-1] + 1]))}


def _b64(data):
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def _host_header(endpoint):
    return endpoint.partition("://")[2].rstrip("/")
