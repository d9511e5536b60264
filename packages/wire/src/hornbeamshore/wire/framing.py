"""Length-prefixed frames: a 4-byte big-endian payload length, then the payload."""

import struct

MAX_FRAME_BYTES = 16 * 1024 * 1024
RECEIVE_CHUNK_BYTES = 64 * 1024

_LENGTH_PREFIX = struct.Struct(">I")


class FramingError(ValueError):
    """A frame exceeds the size limit, or the stream ended inside a frame."""


def encode_frame(payload):
    """Return the payload as a frame, prefixed with its length.

    Raises
    ------
    FramingError
        If the payload is longer than `MAX_FRAME_BYTES`.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FramingError(f"frame of {len(payload)} bytes exceeds the size limit")
    return _LENGTH_PREFIX.pack(len(payload)) + payload


class FrameReader:
    """Buffered reader of frames from a trio stream.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
        Stream that the frames are read from.
    max_bytes : int
        Maximum payload length, checked before the payload is buffered. May be
        changed between reads.
    """

    def __init__(self, stream, max_bytes=MAX_FRAME_BYTES):
        self._stream = stream
        self._buffer = bytearray()
        self.max_bytes = max_bytes

    async def read(self):
        """Return the next payload, or None at the end of the stream.

        Raises
        ------
        FramingError
            If the length exceeds `max_bytes` or the stream ends inside a payload.
        """
        if not await self._fill_buffer(_LENGTH_PREFIX.size):
            return None
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if length > self.max_bytes:
            raise FramingError(f"frame of {length} bytes exceeds the size limit")
        if not await self._fill_buffer(_LENGTH_PREFIX.size + length):
            raise FramingError("stream ended inside a frame")
        payload = bytes(
            self._buffer[_LENGTH_PREFIX.size : _LENGTH_PREFIX.size + length]
        )
        del self._buffer[: _LENGTH_PREFIX.size + length]
        return payload

    async def _fill_buffer(self, size):
        while len(self._buffer) < size:
            chunk = await self._stream.receive_some(RECEIVE_CHUNK_BYTES)
            if not chunk:
                return False
            self._buffer += chunk
        return True
