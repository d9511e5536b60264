"""Encoding of a deployment in the store and in messages between processes."""

import zlib
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.units import decode_unit, encode_unit
from hornbeamshore.config.model import Deployment

MAX_RAW_BYTES = 16 * 1024 * 1024  # limits the memory that a malicious value can use
COMPRESSION_LEVEL = 6


class ContentError(ValueError):
    """Bytes are not a valid encoded deployment."""


@dataclass(frozen=True, slots=True)
class ConfigValue:
    """Deployment with the identifier of the write that stored it.

    Attributes
    ----------
    apply_id : str
        Random identifier by which a writer whose answer was lost recognises its
        write.
    deployment : Deployment
        Deployment that was applied.
    """

    apply_id: str
    deployment: Deployment


def to_builtins(value):
    """Convert a value of the model to builtins, and quantities to text with a unit."""
    return msgspec.to_builtins(value, enc_hook=encode_unit, order="sorted")


def encode(deployment, apply_id):
    """Encode a deployment as compressed JSON with sorted keys."""
    return _compress_json(ConfigValue(apply_id, deployment))


def encode_slice(deployment, service):
    """Encode ``service`` and ``retention``, the part that agents of a service need."""
    return _compress_json(
        {
            "retention": deployment.retention,
            "service": deployment.services[service],
        }
    )


def decode(data):
    """Decode bytes from the store or a peer to a `ConfigValue`.

    Unknown keys are ignored, since a newer version may have written them.

    Raises
    ------
    ContentError
        If the bytes are malformed or violate the constraints of the model.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(data, MAX_RAW_BYTES)
        if not decompressor.eof:
            raise ContentError("content is truncated or exceeds its size limit")
        return decode_json(raw, ConfigValue, dec_hook=decode_unit)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ContentError(f"content is not a valid deployment: {exc}") from exc


def _compress_json(value):
    raw = msgspec.json.encode(value, enc_hook=encode_unit, order="sorted")
    return zlib.compress(raw, COMPRESSION_LEVEL)
