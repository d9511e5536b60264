"""Interface of the platform's key-value store."""

import abc
from dataclasses import dataclass

MAX_VALUE_BYTES = 1_000_000  # the platform's store refuses larger values


class StoreError(Exception):
    """An operation on the store did not end with an answer that can be used."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store gave no usable answer.

    Attributes
    ----------
    maybe_written : bool
        Whether a write of the failed operation may have taken effect, or may do so
        later; only reading back can tell.
    """

    def __init__(self, message, *, maybe_written=False):
        super().__init__(message)
        self.maybe_written = maybe_written


class StoreRejected(StoreError):  # noqa: N818
    """The store refused the operation; nothing was written."""


class LeaseNotFound(StoreRejected):  # noqa: N818
    """The lease expired, was revoked or never existed; nothing was written."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Value of a key at the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys of a prefix at one revision of the store, ordered by key."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of a conditional write.

    Attributes
    ----------
    succeeded : bool
        Whether the condition held and the write took effect.
    revision : int
        Revision of the store after the operation; the key's modification revision
        where the write took effect.
    current : KeyValue or None
        What the key holds instead after a conflict; None where it is absent.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease that deletes the keys bound to it when it expires."""

    lease_id: int
    ttl_s: int


@dataclass(frozen=True, slots=True)
class Change:
    """Change of a key; `item` is None where the key was deleted."""

    key: str
    revision: int
    item: KeyValue | None


def deployment_key(deployment, name):
    """Return the key in the store under which a deployment keeps a named value."""
    return f"/hornbeamshore/{deployment}/{name}"


class Watch(abc.ABC):
    """Asynchronous iterator over `Change`, used as an asynchronous context.

    After `StoreUnavailable` the watch can be iterated further: it goes on behind the
    last change that it returned. A change may skip intermediate values of a key.
    """

    def __aiter__(self):
        return self

    @abc.abstractmethod
    async def __anext__(self):
        """Return the next change; raise `StoreUnavailable` when out of contact."""

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.aclose()

    @abc.abstractmethod
    async def aclose(self):
        """Give up the connection of the watch."""


class Store(abc.ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Each method raises `StoreUnavailable` when the store gives no usable answer and
    `StoreRejected` when it refuses; a conflict is a normal outcome.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the `KeyValue` of a key, or None where it is absent."""

    @abc.abstractmethod
    async def get_prefix(self, prefix):
        """Return the `Snapshot` of all keys that start with a prefix."""

    @abc.abstractmethod
    async def compare_and_swap(self, key, value, expected_revision, lease_id=0):
        """Write a value if the key's modification revision is as expected.

        Parameters
        ----------
        expected_revision : int
            Modification revision that the key must have; 0 for an absent key.
        lease_id : int
            Lease to which the key is bound; 0 for none.

        Returns
        -------
        WriteOutcome

        Raises
        ------
        LeaseNotFound
            If the lease has expired.
        """

    async def create(self, key, value, lease_id=0):
        """Write a value if the key is absent and return the `WriteOutcome`."""
        return await self.compare_and_swap(key, value, 0, lease_id)

    @abc.abstractmethod
    async def delete(self, key, expected_revision=None):
        """Delete a key and return the `WriteOutcome`.

        With an expected revision this is a compare-and-swap; without one the key is
        deleted whatever it holds, and the outcome says whether it was there.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s):
        """Return a new `Lease` that expires after `ttl_s` seconds."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id):
        """Extend a lease to its full time and return it.

        Raises
        ------
        LeaseNotFound
            If the lease has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id):
        """End a lease, which deletes its keys; an expired one is no error."""

    @abc.abstractmethod
    def watch(self, prefix, from_revision=0):
        """Return a `Watch` over the keys that start with a prefix.

        Parameters
        ----------
        from_revision : int
            First revision of interest; 0 starts with the present values. When the
            store has compacted that revision away, the watch reads the prefix again
            and returns what changed since; it then reports the deletion only of keys
            that it returned before.
        """
