"""Membership of the region's entries: presence and owner table in the store.

Both change when an entry joins, leaves or expires; the table also when a partition
gets its first owner. While the store is unreachable, ownership continues with the
last table that was read.
"""

import random

import msgspec
import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.entry import table as tables
from hornbeamshore.store.base import LeaseNotFound, StoreError, deployment_key
from hornbeamshore.wire.messages import OwnerTable

OWNERS = "owners"
PRESENCE = "entries"
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0

log = PartLogger("store")


def owners_key(cfg):
    """Return the key of the owner table of an entry's region."""
    return deployment_key(cfg.deployment, _in_region(OWNERS, cfg.region))


def _in_region(name, region):
    return f"{name}/{region}" if region else name


class EntryMembership:
    """Keeps this entry in the owner table and removes entries that expired.

    Parameters
    ----------
    store : Store
        Client of the platform's store.
    cfg : EntrySettings
        Settings of this process.
    own_entry : TableEntry
        Row of this process in the owner table.
    adopt_table : callable
        Called with each table that is read or written.
    """

    def __init__(self, store, cfg, own_entry, adopt_table):
        self._store = store
        self._cfg = cfg
        self._own_entry = own_entry
        self._adopt_table = adopt_table
        self._owners_key = owners_key(cfg)
        presence = _in_region(PRESENCE, cfg.region) + "/"
        self._presence_prefix = deployment_key(cfg.deployment, presence)
        self._rng = random.Random(own_entry.incarnation)
        self._scope = trio.CancelScope()
        self._lease_id = 0
        self.store_errors = 0
        self._register_lock = trio.Lock()
        self._unregistered = set()
        self._registered = {}

    async def run(self):
        """Join, renew the presence and remove expired entries, until `leave`."""
        with self._scope:
            await self._maintain_membership()

    async def _maintain_membership(self):
        pause = MIN_RETRY_S
        while True:
            try:
                await self._join()
                pause = MIN_RETRY_S
                await self._renew_presence()
            except LeaseNotFound:
                log.warning("The presence lease has expired; joining again.")
            except (StoreError, tables.TableError) as exc:
                self.store_errors += 1
                log.warning("Membership call to the store failed: %s", exc)
                await trio.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(2 * pause, MAX_RETRY_S)

    async def leave(self):
        """Remove this entry from the table and revoke its presence lease."""
        # Stop `run` first, so that it cannot join again.
        self._scope.cancel()
        name = self._own_entry.entry_id
        try:
            await self.update_table(lambda table: tables.without_entries(table, {name}))
            await self._store.revoke_lease(self._lease_id)
        except (StoreError, tables.TableError) as exc:
            log.warning("Could not leave the owner table: %s", exc)

    async def register_partition(self, partition):
        """Record in the owner table that a partition has an owner.

        Returns
        -------
        bool or None
            Whether the table lists no earlier owner; None if the call to the store
            failed.
        """
        name = str(partition)
        self._unregistered.add(name)
        async with self._register_lock:
            if name in self._unregistered:
                await self._register_waiting()
        return self._registered.pop(name, None)

    async def _register_waiting(self):
        """Record all waiting partitions with one write.

        At startup an entry acquires many partitions at once. One write for each
        partition caused conflicts, with a number of calls that grew with the square
        of the number of partitions.
        """
        names, self._unregistered = self._unregistered, set()
        is_first = {}

        def register(table):
            is_first.update({name: name not in table.owned for name in names})
            return tables.with_owned(table, *names)

        try:
            await self.update_table(register)
        except (StoreError, tables.TableError) as exc:
            log.warning("Could not record owners of %d partitions: %s", len(names), exc)
            return
        self._registered.update(is_first)

    async def update_table(self, change):
        """Apply a change to the stored table by compare-and-swap; return the result.

        After a conflict, the table is read again and the change applied to it.

        Parameters
        ----------
        change : callable
            Returns the changed copy of a table, or the table itself if the change
            has already taken effect.

        Raises
        ------
        StoreError
            If a call to the store fails.
        TableError
            If the store holds no valid table.
        """
        while True:
            item = await self._store.get(self._owners_key)
            table = _decode_item(item)
            changed = change(table)
            if changed is table:
                self._adopt_table(table)
                return table
            outcome = await self._store.compare_and_swap(
                self._owners_key,
                tables.encode_table(changed),
                item.mod_revision if item is not None else 0,
            )
            if outcome.succeeded:
                self._adopt_table(changed)
                return changed

    async def _join(self):
        lease = await self._store.grant_lease(int(self._cfg.presence_ttl))
        self._lease_id = lease.lease_id
        key = self._presence_prefix + self._own_entry.entry_id
        outcome = await self._store.create(
            key, _encode_presence(self._own_entry), lease.lease_id
        )
        if not outcome.succeeded:
            # The key belongs to an earlier incarnation, or the response to an earlier
            # write of this one was lost.
            revision = outcome.current.mod_revision if outcome.current else 0
            await self._store.compare_and_swap(
                key, _encode_presence(self._own_entry), revision, lease.lease_id
            )
        await self.update_table(lambda table: tables.with_entry(table, self._own_entry))
        log.info("Joined the owner table as %s.", self._own_entry.entry_id)

    async def _renew_presence(self):
        interval_s = self._cfg.presence_ttl / 3
        while True:
            await trio.sleep(interval_s * self._rng.uniform(0.9, 1.1))
            await self._store.keep_alive(self._lease_id)
            await self._remove_absent()

    async def _remove_absent(self):
        snapshot = await self._store.get_prefix(self._presence_prefix)
        prefix_length = len(self._presence_prefix)
        present = {item.key[prefix_length:] for item in snapshot.items}
        if self._own_entry.entry_id not in present:
            raise LeaseNotFound("the presence key does not exist")

        def remove(table):
            absent = {entry.entry_id for entry in table.entries} - present
            return tables.with_entry(
                tables.without_entries(table, absent), self._own_entry
            )

        await self.update_table(remove)


def _encode_presence(own_entry):
    return msgspec.json.encode(own_entry)


def _decode_item(item):
    return tables.decode_table(item.value) if item is not None else OwnerTable()
