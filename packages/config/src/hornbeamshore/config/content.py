"""Form in which the store and the processes hold a deployment."""

import zlib
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.units import decode_unit, encode_unit
from hornbeamshore.config.model import Deployment

MAX_RAW_BYTES = 16 * 1024 * 1024  # bounds the memory that a hostile value can take
COMPRESSION_LEVEL = 6


class ContentError(ValueError):
    """Bytes are no deployment in the stored form."""


@dataclass(frozen=True, slots=True)
class Content:
    """Deployment as one operator applied it.

    Attributes
    ----------
    apply_id : str
        Random identifier of the application, by which its author recognises it.
    """

    apply_id: str
    deployment: Deployment


def to_builtins(value):
    """Return a part of the model as plain values, quantities as text with a unit."""
    return msgspec.to_builtins(value, enc_hook=encode_unit, order="sorted")


def encode(deployment, apply_id):
    """Return the compressed canonical JSON of a deployment."""
    return _pack(Content(apply_id, deployment))


def encode_slice(deployment, service):
    """Return what an agent gets: ``service`` and ``retention``, packed as `encode`."""
    return _pack(
        {
            "retention": deployment.retention,
            "service": deployment.services[service],
        }
    )


def decode(data):
    """Return the `Content` in bytes from the store or a peer.

    Unknown keys are ignored, since a newer version may have written them.

    Raises
    ------
    ContentError
        If the bytes have another form or break the bounds of the model.
    """
    try:
        stream = zlib.decompressobj()
        raw = stream.decompress(data, MAX_RAW_BYTES)
        if not stream.eof:
            raise ContentError("content is cut off or exceeds its bound")
        return msgspec.json.decode(raw, type=Content, dec_hook=decode_unit)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise ContentError(f"content is no deployment: {exc}") from exc


def _pack(value):
    raw = msgspec.json.encode(value, enc_hook=encode_unit, order="sorted")
    return zlib.compress(raw, COMPRESSION_LEVEL)
