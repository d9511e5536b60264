"""Connections to the other entries.

Each entry opens one connection to each other entry that it knows from the owner
table or from its settings, and calls it over that; it serves what others open.
"""

import random

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.entry.events import Changed
from hornbeamshore.wire.connection import ConnectionLost, open_connection
from hornbeamshore.wire.handshake import HandshakeError
from hornbeamshore.wire.messages import ProcessKind

log = PartLogger("entry")


class PeerLinks:
    """Open connections to other entries.

    `changed` is notified when a connection opens or ends and when a peer begins
    to leave.

    Parameters
    ----------
    identity : Identity
        Of this process.
    secret : bytes
        Of the deployment.
    cfg : WireSettings
        Times of the connections.
    handler : MessageHandler
        Whose hooks the connections call.
    """

    def __init__(self, identity, secret, cfg, handler):
        self.changed = Changed()
        self._identity = identity
        self._secret = secret
        self._cfg = cfg
        self._handler = handler
        self._connections = {}
        self._leaving = set()
        self._dialed = {}
        self._rng = random.Random(identity.incarnation)

    def opened(self, conn):
        """Take a connection to an entry, whichever side opened it."""
        peer = conn.peer
        self._connections.setdefault(peer.process_id, []).append(conn)
        self._leaving.discard(peer.process_id)
        self.changed.notify()

    def closed(self, conn):
        """Forget a connection that ended."""
        connections = self._connections.get(conn.peer.process_id, [])
        if conn in connections:
            connections.remove(conn)
        if not connections:
            self._connections.pop(conn.peer.process_id, None)
        self.changed.notify()

    def mark_leaving(self, entry_id):
        """Note that a peer shuts down and must not become an owner."""
        if entry_id not in self._leaving:
            self._leaving.add(entry_id)
            self.changed.notify()

    def get(self, entry_id):
        """Return an open connection to an entry, or None."""
        connections = self._connections.get(entry_id)
        return connections[-1] if connections else None

    def may_own(self, entry_id):
        """Return whether a peer is connected and not leaving."""
        return entry_id in self._connections and entry_id not in self._leaving

    def all(self):
        """Return one open connection to each connected entry."""
        return tuple(connections[-1] for connections in self._connections.values())

    async def keep_dialing(self, nursery, addresses, seeds_changed):
        """Run a task for each address of another entry, as addresses come and go.

        Parameters
        ----------
        addresses : callable
            Returns the addresses to which connections should be kept.
        seeds_changed : Changed
            Notified when `addresses` may return something else.
        """
        while True:
            wanted = set(addresses())
            for address in wanted - set(self._dialed):
                self._dialed[address] = trio.CancelScope()
                nursery.start_soon(self._keep_connected, address)
            for address in set(self._dialed) - wanted:
                self._dialed.pop(address).cancel()
            await seeds_changed.wait()

    async def _keep_connected(self, address):
        with self._dialed[address]:
            while True:
                try:
                    await self._connect(address)
                except (ConnectionLost, HandshakeError) as exc:
                    log.debug("No connection to %s: %s", address, exc)
                pause = self._cfg.redial_after * self._rng.uniform(0.5, 1.5)
                await trio.sleep(pause)

    async def _connect(self, address):
        async with open_connection(
            address, self._identity, self._secret, self._cfg
        ) as conn:
            if conn.peer.kind != ProcessKind.ENTRY:
                log.warning("%s is no entry.", address)
            elif conn.peer.process_id != self._identity.process_id:
                await conn.run(self._handler)
