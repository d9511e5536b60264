"""Interface of the platform's key-value store."""

import abc
from dataclasses import dataclass

MAX_VALUE_BYTES = 1_000_000  # the platform's store rejects larger values


class StoreError(Exception):
    """Base class for failures of store operations."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store could not be reached or returned no valid response.

    Attributes
    ----------
    maybe_written : bool
        Whether a write of the failed operation may have taken effect or may still do
        so, which only reading the key can show.
    """

    def __init__(self, message, *, maybe_written=False):
        super().__init__(message)
        self.maybe_written = maybe_written


class StoreRejected(StoreError):  # noqa: N818
    """The store rejected the operation; nothing was written."""


class LeaseNotFound(StoreRejected):  # noqa: N818
    """The lease has expired, was revoked or never existed; nothing was written."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Key, its value, the revision of its last change and its lease (0 for none)."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys and values with a common prefix at one store revision, ordered by key."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of a conditional write or a deletion.

    Attributes
    ----------
    succeeded : bool
        Whether the condition was met and the write took effect.
    revision : int
        Store revision after the operation; if a value was written, also the key's
        modification revision.
    current : KeyValue or None
        Actual state of the key after a conflict; None if the key is absent.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease with its time to live; its keys are deleted when it ends."""

    lease_id: int
    ttl_s: int


@dataclass(frozen=True, slots=True)
class Change:
    """Change of a key at a store revision; `item` is None if the key was deleted."""

    key: str
    revision: int
    item: KeyValue | None


def deployment_key(deployment, name):
    """Return the store key of a named value of a deployment."""
    return f"/hornbeamshore/{deployment}/{name}"


class Watch(abc.ABC):
    """Asynchronous iterator over `Change` and asynchronous context manager.

    Iteration can continue after `StoreUnavailable`: the watch resumes after the last
    change that it returned. Intermediate values of a key may be skipped.
    """

    def __aiter__(self):
        return self

    @abc.abstractmethod
    async def __anext__(self):
        """Return the next change; raise `StoreUnavailable` after a failure."""

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.aclose()

    @abc.abstractmethod
    async def aclose(self):
        """Close the connection of the watch."""


class Store(abc.ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Each method raises `StoreUnavailable` if the store cannot be reached or returns no
    valid response, and `StoreRejected` if the store rejects the operation. A conflict
    raises nothing; it is reported in the `WriteOutcome`.
    """

    @abc.abstractmethod
    async def get(self, key):
        """Return the `KeyValue` of a key, or None if the key is absent."""

    @abc.abstractmethod
    async def get_prefix(self, prefix):
        """Return the `Snapshot` of all keys that start with a prefix."""

    @abc.abstractmethod
    async def compare_and_swap(self, key, value, expected_revision, lease_id=0):
        """Write a value if the key has the expected modification revision.

        Parameters
        ----------
        expected_revision : int
            Required modification revision of the key; 0 requires that it is absent.
        lease_id : int
            Lease to bind the key to; 0 for none.

        Returns
        -------
        WriteOutcome

        Raises
        ------
        LeaseNotFound
            If the lease has ended.
        """

    async def create(self, key, value, lease_id=0):
        """Write a value if the key is absent and return the `WriteOutcome`."""
        return await self.compare_and_swap(key, value, 0, lease_id)

    @abc.abstractmethod
    async def delete(self, key, expected_revision=None):
        """Delete a key and return the `WriteOutcome`.

        With an expected revision, the key is deleted only if it has that modification
        revision. Without one, the key is deleted unconditionally and
        `WriteOutcome.succeeded` says whether it existed.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s):
        """Return a new `Lease` that expires after `ttl_s` seconds."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id):
        """Renew a lease for its full time to live and return the `Lease`.

        Raises
        ------
        LeaseNotFound
            If the lease has ended.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id):
        """Revoke a lease and delete its keys; does nothing if the lease has ended."""

    @abc.abstractmethod
    def watch(self, prefix, from_revision=0):
        """Return a `Watch` over the keys that start with a prefix.

        Parameters
        ----------
        from_revision : int
            First revision to report; 0 reports the current values first. If the store
            has compacted that revision, the watch reads the prefix again and reports
            the keys changed since, but deletions only of keys that it had reported.
        """
