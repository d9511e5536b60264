"""Connections to the other entries.

Two entries that know each other from the owner table or from their settings share
one connection, which either of them may open and both use for calls.
"""

import itertools
import random

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.entry.events import ChangeNotifier
from hornbeamshore.wire.connection import ConnectionLost
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError
from hornbeamshore.wire.messages import ProcessKind

log = PartLogger("entry")


class PeerLinks:
    """Open connections to other entries.

    `changed` is notified when a connection opens or ends and when a peer announces
    its shutdown.

    Parameters
    ----------
    identity : Identity
        Identity that this process presents to its peers.
    secret : bytes
        Shared secret of the deployment.
    cfg : WireSettings
        Timeouts and intervals of the connections.
    handler : MessageHandler
        Its methods are called for events of the connections.
    """

    def __init__(self, identity, secret, cfg, handler):
        self.changed = ChangeNotifier()
        self._identity = identity
        self._secret = secret
        self._cfg = cfg
        self._handler = handler
        self._connections = {}
        self._leaving = set()
        self._dial_scopes = {}
        self._rng = random.Random(identity.incarnation)

    def opened(self, conn):
        """Add a connection to an entry, whichever side opened it."""
        peer = conn.peer
        self._connections.setdefault(peer.process_id, []).append(conn)
        self._leaving.discard(peer.process_id)
        self.changed.notify()

    def closed(self, conn):
        """Remove a connection that ended."""
        connections = self._connections.get(conn.peer.process_id, [])
        if conn in connections:
            connections.remove(conn)
        if not connections:
            self._connections.pop(conn.peer.process_id, None)
        self.changed.notify()

    def mark_leaving(self, entry_id):
        """Record that a peer shuts down, which excludes it as an owner."""
        if entry_id not in self._leaving:
            self._leaving.add(entry_id)
            self.changed.notify()

    def get(self, entry_id):
        """Return an open connection to an entry, or None."""
        connections = self._connections.get(entry_id)
        return connections[-1] if connections else None

    def may_own(self, entry_id):
        """Return whether a peer is connected and not shutting down."""
        return entry_id in self._connections and entry_id not in self._leaving

    def all(self):
        """Return one open connection to each connected entry."""
        return tuple(connections[-1] for connections in self._connections.values())

    def connections(self):
        """Return all open connections; after a redial there may be two to an entry."""
        return tuple(itertools.chain.from_iterable(self._connections.values()))

    async def maintain_connections(self, nursery, addresses, seeds_changed):
        """Run one dialing task for each wanted address, until cancelled.

        Parameters
        ----------
        addresses : callable
            Returns the addresses to which connections are wanted.
        seeds_changed : ChangeNotifier
            Notified when the result of `addresses` may have changed.
        """
        while True:
            wanted = set(addresses())
            for address in wanted - set(self._dial_scopes):
                self._dial_scopes[address] = trio.CancelScope()
                nursery.start_soon(self._keep_connected, address)
            for address in set(self._dial_scopes) - wanted:
                self._dial_scopes.pop(address).cancel()
            await seeds_changed.wait()

    async def _keep_connected(self, address):
        with self._dial_scopes[address]:
            if address < self._identity.address:
                # Give the other entry time to open the connection first.
                await trio.sleep(self._cfg.redial_after)
            while True:
                await self.changed.wait_until(lambda: not self._is_linked(address))
                try:
                    await self._connect(address)
                except (ConnectionLost, HandshakeError) as exc:
                    log.debug("No connection to %s: %s", address, exc)
                pause = self._cfg.redial_after * self._rng.uniform(0.5, 1.5)
                await trio.sleep(pause)

    def _is_linked(self, address):
        return any(conn.peer.address == address for conn in self.connections())

    async def _connect(self, address):
        async with open_connection(
            address, self._identity, self._secret, self._cfg
        ) as conn:
            if conn.peer.kind != ProcessKind.ENTRY:
                log.warning("The peer at %s is not an entry.", address)
            elif conn.peer.process_id != self._identity.process_id:
                await conn.run(self._handler)
