"""Configuration revision and slice in force in an agent.

The slice of a service is the part of the deployment's configuration that its agents
receive.
"""

import zlib
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.decoding import decode_json
from hornbeamshore.base.hashing import content_digest
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.units import Duration, decode_unit

# Limits the memory that a malicious compressed slice can claim; a slice with 320
# kinds is smaller than 100 KB.
MAX_SLICE_BYTES = 1024 * 1024
DIGEST_BYTES = 8

log = PartLogger("config")


@dataclass(frozen=True, slots=True)
class AgentSlice:
    """Fields of a service's configuration slice that an agent uses.

    Unknown fields are ignored when a slice is decoded.
    """

    retention: Duration


class AgentConfig:
    """Configuration slice of the agent's service; its revision never decreases.

    Attributes
    ----------
    revision : int
        Revision in force; 0 before the first one is applied.
    current : AgentSlice or None
        Slice in force; None before the first one is applied.
    """

    def __init__(self):
        self.revision = 0
        self.current = None
        self._digest = b""

    def apply(self, revision, content):
        """Apply a revision if it is higher than the one in force and valid.

        Parameters
        ----------
        revision : int
            Revision of the configuration.
        content : bytes
            Compressed slice, or the digest of the slice in force if the revision
            did not change it.

        Returns
        -------
        bool
            Whether the revision is now in force.
        """
        if revision <= self.revision:
            return False
        if self.current is not None and content == self._digest:
            self.revision = revision
            return True
        try:
            current = _decode_slice(content)
        except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
            log.error("Configuration revision %d was rejected: %s", revision, exc)
            return False
        self.revision, self.current = revision, current
        self._digest = content_digest(content)
        log.info("Configuration revision %d is in force.", revision)
        return True

    def needs_content(self, revision, content):
        """Return whether the content of a higher revision must be requested.

        This is so if only a digest was sent and it differs from that of the slice in
        force.
        """
        is_digest = len(content) == DIGEST_BYTES
        return is_digest and revision > self.revision and content != self._digest


def _decode_slice(content):
    stream = zlib.decompressobj()
    raw = stream.decompress(content, MAX_SLICE_BYTES)
    if not stream.eof:
        raise ValueError("content is truncated or too large")
    return decode_json(raw, AgentSlice, dec_hook=decode_unit)
