"""Requests to the target, with the run state of each request that fails."""

import abc
from dataclasses import dataclass

import httpcore

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.types import Header

# Headers that apply to a single connection (RFC 9110, 7.6.1) or that are generated
# for the request to the target.
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)


_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Complete HTTP response of the target."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class TargetError(Exception):
    """Raised if the target returns no complete, usable response.

    Attributes
    ----------
    code : ResultCode
        Reason of the failure.
    run_state : RunState
        Whether the target executed the task, as far as is known.
    status : int
        HTTP status of the response; 0 if there is none.
    """

    def __init__(self, code, run_state, detail, status=0):
        super().__init__(detail)
        self.code = code
        self.run_state = run_state
        self.status = status


class SlotConnection(abc.ABC):
    """Connection of one slot to the target, which is opened on demand.

    Attributes
    ----------
    request_sent : bool
        Whether any byte of the current request may have reached the target.
    """

    request_sent = False

    @abc.abstractmethod
    async def exchange(self, spec, headers):
        """Send a request, without retries, and return its `TargetResponse`.

        If the exchange is cancelled, the connection is closed.

        Parameters
        ----------
        spec : TaskSpec
            Method, path, headers and body of the request.
        headers : list of tuple of bytes
            Names and values of additional headers.

        Raises
        ------
        TargetError
            If no complete response was received.
        """

    @abc.abstractmethod
    async def aclose(self):
        """Close the connection; the next exchange opens a new one."""


class Target(abc.ABC):
    """Back end on which the slots of an agent execute tasks."""

    @abc.abstractmethod
    def new_slot_connection(self):
        """Return a `SlotConnection` for one slot."""


class HttpTarget(Target):
    """Target that executes tasks as HTTP/1.1 requests.

    Parameters
    ----------
    cfg : AgentSettings
        Address, base path, and limits for requests and responses.
    """

    def __init__(self, cfg):
        host, _, port = cfg.target.rpartition(":")
        self.cfg = cfg
        self.host = host.strip("[]").encode()
        self.port = int(port)

    def new_slot_connection(self):
        """Return an `HttpSlotConnection` for one slot."""
        return HttpSlotConnection(self)

    def url(self, path):
        """Return the URL of a path relative to the base path."""
        target = (self.cfg.base_path + path).encode()
        return httpcore.URL(
            scheme=b"http", host=self.host, port=self.port, target=target
        )


class HttpSlotConnection(SlotConnection):
    """Persistent HTTP/1.1 connection of one slot."""

    def __init__(self, target):
        self._target = target
        self._conn = None

    async def exchange(self, spec, headers):
        """Send a request; see `SlotConnection.exchange`."""
        self.request_sent = False
        if self._conn is not None and (
            self._conn.has_expired() or self._conn.is_closed()
        ):
            await self.aclose()
        try:
            return await self._send_request(self._build_request(spec, headers))
        except httpcore.LocalProtocolError as exc:
            raise self._target_error(ResultCode.MALFORMED_REQUEST, exc) from exc
        except _HTTP_ERRORS as exc:
            raise self._target_error(ResultCode.TARGET_UNREACHABLE, exc) from exc

    async def aclose(self):
        """Close the connection; the next exchange opens a new one."""
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.aclose()

    def _build_request(self, spec, headers):
        forwarded = [
            (header.name.encode(), header.value.encode())
            for header in spec.headers
            if header.name.lower() not in HOP_BY_HOP_HEADERS
        ]
        url = self._target.url(spec.path)
        generated = [
            (b"Host", b"%s:%d" % (url.host, url.port)),
            (b"Content-Length", b"%d" % len(spec.body)),
        ]
        timeout = {"connect": self._target.cfg.connect_timeout}
        return httpcore.Request(
            spec.method.encode(),
            url,
            headers=generated + forwarded + headers,
            content=spec.body,
            extensions={"timeout": timeout},
        )

    async def _send_request(self, req):
        if self._conn is None:
            self._conn = httpcore.AsyncHTTPConnection(
                req.url.origin, network_backend=_SlotNetworkBackend(self)
            )
        response = await self._conn.handle_async_request(req)
        try:
            body = await self._read_body(response)
        finally:
            await response.aclose()
        headers = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
            if name.decode("latin-1").lower() not in HOP_BY_HOP_HEADERS
        )
        return TargetResponse(response.status, headers, body)

    async def _read_body(self, response):
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > self._target.cfg.max_result_size:
                raise TargetError(
                    ResultCode.RESULT_TOO_LARGE,
                    RunState.RAN,
                    f"response body exceeds {self._target.cfg.max_result_size} bytes",
                    response.status,
                )
        return bytes(body)

    def _target_error(self, code, exc):
        detail = f"{self._target.cfg.target}: {exc or type(exc).__name__}"
        if self.request_sent:
            return TargetError(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)
        return TargetError(code, RunState.NOT_RUN, detail)


class _SlotNetworkBackend(httpcore.AsyncNetworkBackend):
    """Network backend that opens the connections of one slot."""

    def __init__(self, slot_conn):
        self._slot_conn = slot_conn
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(self, *args, **options):
        stream = await self._backend.connect_tcp(*args, **options)
        return _RequestBufferStream(stream, self._slot_conn)


class _RequestBufferStream(httpcore.AsyncNetworkStream):
    """Stream that buffers writes and sends each request in a single write.

    httpcore writes the header section, the body and an empty end of message
    separately. The buffer is sent on the next read, and `request_sent` of the slot
    connection is set just before.
    """

    def __init__(self, stream, slot_conn):
        self._stream = stream
        self._slot_conn = slot_conn
        self._write_buffer = bytearray()

    async def write(self, buffer, timeout=None):
        self._write_buffer += buffer

    async def read(self, max_bytes, timeout=None):
        if self._write_buffer:
            data, self._write_buffer = bytes(self._write_buffer), bytearray()
            self._slot_conn.request_sent = True
            await self._stream.write(data, timeout)
        return await self._stream.read(max_bytes, timeout)

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)
