"""Configuration in force in an agent: its revision, and what it uses of it."""

import zlib
from dataclasses import dataclass

import msgspec

from hornbeamshore.base.hashing import content_digest
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.units import Duration, decode_unit

# A slice of 320 kinds has under 100 KB; this bounds what hostile bytes can take.
MAX_SLICE_BYTES = 1024 * 1024
DIGEST_BYTES = 8

log = PartLogger("config")


@dataclass(frozen=True, slots=True)
class AgentSlice:
    """Part of a service's slice that an agent uses; the rest is ignored."""

    retention: Duration


class AgentConfig:
    """Slice of the agent's service, which only moves to higher revisions.

    Attributes
    ----------
    revision : int
        Revision in force; 0 before the first.
    current : AgentSlice or None
        What is in force.
    """

    def __init__(self):
        self.revision = 0
        self.current = None
        self._digest = b""

    def offer(self, revision, content):
        """Take a revision and return whether it was taken.

        Parameters
        ----------
        content : bytes
            Slice, or the digest of the one that should be held already.
        """
        if revision <= self.revision:
            return False
        if self.current is not None and content == self._digest:
            self.revision = revision
            return True
        try:
            current = _decode(content)
        except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
            log.error("Revision %d was refused: %s", revision, exc)
            return False
        self.revision, self.current = revision, current
        self._digest = content_digest(content)
        log.info("Revision %d is in force.", revision)
        return True

    def needs_content(self, revision, content):
        """Return whether a digest names content of a higher revision not held here."""
        is_digest = len(content) == DIGEST_BYTES
        return is_digest and revision > self.revision and content != self._digest


def _decode(content):
    stream = zlib.decompressobj()
    raw = stream.decompress(content, MAX_SLICE_BYTES)
    if not stream.eof:
        raise ValueError("content is cut off or exceeds its bound")
    return msgspec.json.decode(raw, type=AgentSlice, dec_hook=decode_unit)
