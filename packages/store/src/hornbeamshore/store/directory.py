"""Registration and discovery of process addresses in the store."""

import trio

from hornbeamshore.base.decoding import REJECTIONS, split_address
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.store.base import LeaseNotFound, StoreError

# A process that ends without removing its key stays listed this long; readers have to
# handle an address that does not respond.
LEASE_TTL_S = 15
RENEW_INTERVAL_S = 5.0
RETRY_DELAY_S = 1.0

log = PartLogger("store")


class Registration:
    """Registration of the address of this process, under a lease in the store.

    Parameters
    ----------
    store : Store
        Store of the platform.
    key : str
        Store key for this process.
    address : str
        Address for connections from peers.
    data_centre : str
        Data centre of this process; contains no white space.
    """

    def __init__(self, store, key, address, data_centre):
        self._store = store
        self._key = key
        self._address = address
        self._value = f"{address} {data_centre}".encode()
        self._lease = None

    async def maintain(self):
        """Register the address and renew its lease until cancelled.

        Store errors are logged and retried; a lost registration is created again.
        """
        while True:
            try:
                await self._register_or_renew()
                delay_s = RENEW_INTERVAL_S
            except LeaseNotFound:
                log.warning("registration lost key=%s", self._key)
                self._lease = None
                continue
            except StoreError as exc:
                log.warning("registration not renewed key=%s: %s", self._key, exc)
                delay_s = RETRY_DELAY_S
            await trio.sleep(delay_s)

    async def unregister(self):
        """Revoke the lease; if that fails, the key is deleted when it expires."""
        if self._lease is not None:
            try:
                await self._store.revoke_lease(self._lease.lease_id)
            except StoreError as exc:
                log.warning("registration not withdrawn key=%s: %s", self._key, exc)

    async def _register_or_renew(self):
        if self._lease is None:
            lease = await self._store.grant_lease(LEASE_TTL_S)
            current = await self._store.get(self._key)
            outcome = await self._store.compare_and_swap(
                self._key,
                self._value,
                current.mod_revision if current else 0,
                lease.lease_id,
            )
            if not outcome.succeeded:
                raise StoreError(f"{self._key} was changed by another process")
            self._lease = lease
            log.info("registered key=%s address=%s", self._key, self._address)
        else:
            await self._store.keep_alive(self._lease.lease_id)
            # A store outage can delete keys while their lease can still be renewed.
            current = await self._store.get(self._key)
            if current is None or current.lease_id != self._lease.lease_id:
                raise LeaseNotFound(
                    f"{self._key} was deleted or bound to another lease"
                )


class AddressDirectory:
    """Process addresses registered in the store below a key prefix.

    Parameters
    ----------
    store : Store
        Store of the platform.
    prefix : str
        Prefix of the keys.
    forget_after : float
        Seconds for which an address remains known after its key was deleted, since a
        store outage can delete the keys of running processes.
    """

    def __init__(self, store, prefix, forget_after):
        self._store = store
        self._prefix = prefix
        self._forget_after = forget_after
        self._addresses = {}
        self._removed_at = {}

    @property
    def addresses(self):
        """Data centres of the known addresses, by address.

        Expired addresses are removed first.
        """
        now = trio.current_time()
        for key, removed_at in list(self._removed_at.items()):
            if now - removed_at > self._forget_after:
                del self._removed_at[key], self._addresses[key]
        return dict(self._addresses.values())

    async def watch(self, on_change):
        """Watch the prefix until cancelled and call `on_change` after each change.

        Store errors are logged and the watch is resumed.
        """
        async with self._store.watch(self._prefix) as watch:
            while True:
                try:
                    async for change in watch:
                        self._apply_change(change)
                        on_change()
                except StoreError as exc:
                    log.warning("directory not read prefix=%s: %s", self._prefix, exc)
                await trio.sleep(RETRY_DELAY_S)

    def _apply_change(self, change):
        registration = None if change.item is None else self._decode(change.item)
        if registration is not None:
            self._removed_at.pop(change.key, None)
            self._addresses[change.key] = registration
        elif change.key in self._addresses:
            self._removed_at.setdefault(change.key, trio.current_time())

    def _decode(self, item):
        """Return address and data centre of a registration; None if it is invalid."""
        try:
            address, _, data_centre = item.value.decode().partition(" ")
            split_address(address)
        except ValueError as exc:
            REJECTIONS.record("directory", item.key, exc)
            return None
        return address, data_centre
