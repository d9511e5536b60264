"""Reading of request bodies within limits of size, time and total memory."""

import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.entry.http_errors import RequestRefused

# Maximum number of bytes of a refused body that are read and dropped to keep the
# connection usable.
DISCARD_BYTES = 32 * 1024 * 1024


class BodyBudget:
    """Limit of the bytes of all request bodies that the process holds.

    Parameters
    ----------
    limit : int
        Maximum number of bytes held at once.
    """

    def __init__(self, limit):
        self._limit = limit
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self):
        """Return the bytes reserved now."""
        return self._reserved_bytes

    def reserve(self, size):
        """Reserve `size` bytes.

        Raises
        ------
        RequestRefused
            If the limit would be exceeded.
        """
        if self._reserved_bytes + size > self._limit:
            raise RequestRefused(
                ResultCode.OVERLOADED,
                f"request bodies held by this entry would exceed {self._limit} bytes",
            )
        self._reserved_bytes += size

    def release(self, size):
        """Release `size` reserved bytes."""
        self._reserved_bytes -= size


class RequestBody:
    """Body of one request, as an ASGI server delivers it.

    Parameters
    ----------
    receive : callable
        ASGI receive function of the request.
    content_length : int or None
        Value of the header, None where it is absent.
    budget : BodyBudget
        Budget from which the bytes are reserved until `release`.
    cfg : HttpSettings
        Settings of the front end.
    """

    def __init__(self, receive, content_length, budget, cfg):
        self._receive = receive
        self._content_length = content_length
        self._budget = budget
        self._cfg = cfg
        self._reserved = 0
        self._ended = False

    async def read(self, limit):
        """Return the whole body.

        Raises
        ------
        RequestRefused
            If the body exceeds `limit` bytes or its time limit, if the budget is
            exhausted, or if the caller disconnected.
        """
        if self._content_length is not None and self._content_length > limit:
            raise _too_large(limit)
        chunks = []
        with trio.move_on_after(self._cfg.body_timeout):
            while not self._ended:
                chunk = await self._next_chunk()
                if self._reserved + len(chunk) > limit:
                    raise _too_large(limit)
                self._budget.reserve(len(chunk))
                self._reserved += len(chunk)
                chunks.append(chunk)
            return b"".join(chunks)
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            f"the body did not arrive within {self._cfg.body_timeout:g} s",
            status=408,
        )

    async def discard(self):
        """Read and drop the rest of the body, within limits of size and time."""
        remaining = DISCARD_BYTES
        with trio.move_on_after(self._cfg.discard_timeout):
            while not self._ended and remaining > 0:
                message = await self._receive()
                remaining -= len(message.get("body", b""))
                self._update_ended(message)

    async def discard_until_disconnect(self):
        """Read and drop messages until cancelled or the caller disconnects.

        The server's task for the connection blocks when the message queue of a
        request is full. Nothing else reads the queue of a request that is answered
        before its body has been read.
        """
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    def release(self):
        """Release the bytes that this body reserved."""
        self._budget.release(self._reserved)
        self._reserved = 0

    async def _next_chunk(self):
        message = await self._receive()
        self._update_ended(message)
        if message["type"] == "http.disconnect":
            raise RequestRefused(
                ResultCode.MALFORMED_REQUEST,
                "the caller disconnected before the end of the body",
            )
        return message.get("body", b"")

    def _update_ended(self, message):
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            self._ended = True


def _too_large(limit):
    return RequestRefused(
        ResultCode.BODY_TOO_LARGE, f"the body exceeds the limit of {limit} bytes"
    )
