"""Local copy of the routing configuration at an entry."""

import trio

from hornbeamshore.base.decoding import REJECTIONS
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.store.base import StoreError

log = PartLogger("config")


class RoutingReplica:
    """Local copy of the routing configuration with the highest version received.

    Attributes
    ----------
    current : Routing or None
        Routing configuration in use; None until the first version is received.
    """

    def __init__(self):
        self.current = None
        self._first_received = trio.Event()

    async def wait(self, timeout_s):
        """Wait for the first routing configuration.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait, in seconds.

        Returns
        -------
        Routing or None
            Routing configuration in use; None if the wait timed out.
        """
        with trio.move_on_after(timeout_s):
            await self._first_received.wait()
        return self.current

    def update(self, routing):
        """Apply a routing with a higher version; return whether it was applied."""
        if self.current is not None and routing.version <= self.current.version:
            return False
        self.current = routing
        self._first_received.set()
        log.info(
            "routing in force version=%d queues=%d",
            routing.version,
            len(routing.queues),
        )
        return True

    async def watch_store(self, store, key, decode, retry_s):
        """Watch a key of the store and apply its values until cancelled.

        While the store is unavailable, the current routing stays in use.

        Parameters
        ----------
        store : Store
            Store to watch.
        key : str
            Key of the routing configuration.
        decode : callable
            Decodes the bytes of a value to a `Routing`; raises ValueError if the
            value is invalid.
        retry_s : float
            Delay before the watch is resumed after a failure, in seconds.
        """
        async with store.watch(key) as watch:
            while True:
                try:
                    async for change in watch:
                        if change.key == key and change.item is not None:
                            self._apply(change.item, decode)
                except StoreError as exc:
                    log.warning("watch failed key=%s: %s", key, exc)
                await trio.sleep(retry_s)

    def _apply(self, item, decode):
        try:
            self.update(decode(item.value))
        except ValueError as exc:
            log.error("invalid routing ignored revision=%d: %s", item.mod_revision, exc)
            REJECTIONS.record("routing", item.key, exc)
