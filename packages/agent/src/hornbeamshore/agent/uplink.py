"""Connections to the entries: one task for each, which redials for good."""

import trio

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.wire.connection import (
    ConnectionLost,
    ConnectionRefused,
    open_connection,
)
from hornbeamshore.wire.handshake import HandshakeError

log = PartLogger("agent")


class Uplink:
    """Connection to one entry.

    Parameters
    ----------
    agent : Agent
        Handler of the messages, and identity for the handshake.
    address : str
        ``host:port`` of the entry.

    Attributes
    ----------
    retired : bool
        Whether the entry is no longer chosen. Its open connection stays until the
        entry ends it, since a leaving owner still awaits results.
    conn : Connection or None
        The open connection.
    """

    def __init__(self, agent, address):
        self.address = address
        self.retired = False
        self.conn = None
        self._peer = None
        self._agent = agent
        self._scope = trio.CancelScope()

    async def run(self):
        """Dial, serve the connection to its end, and redial until retired."""
        cfg = self._agent.cfg.wire
        failures = 0
        while not self.retired:
            with trio.CancelScope() as self._scope:
                log_at = log.debug if failures else log.info
                failures = 0 if await self._serve_once(cfg, log_at) else failures + 1
            self.conn = None
            # An entry that is gone for long is not dialled five times a second by
            # each agent of the region.
            pause = min(cfg.redial_after * 2 ** min(failures, 8), cfg.suspect_after)
            await trio.sleep(pause * self._agent.random.uniform(0.5, 1.5))

    def retire(self):
        """Redial no more; give up a dial in progress."""
        self.retired = True
        if self.conn is None:
            self._scope.cancel()

    def reset(self):
        """Close the connection, or give up a dial in progress, and redial."""
        self._scope.cancel()

    async def _serve_once(self, cfg, log_at):
        agent = self._agent
        try:
            async with open_connection(
                self.address, agent.identity, agent.secret, cfg
            ) as conn:
                if agent.uplinks.serve(conn.peer):
                    log.debug("Entry %s has two addresses.", conn.peer.process_id)
                    return False
                self.conn = conn
                self._peer = conn.peer
                await conn.run(agent)
                return True
        except (ConnectionLost, HandshakeError) as exc:
            if isinstance(exc, ConnectionRefused) and self._peer is not None:
                agent.refused(self._peer)
            log_at("Entry %s cannot be reached: %s", self.address, exc)
            return False


class Uplinks:
    """The uplinks of an agent, kept in step with the owner table.

    Parameters
    ----------
    agent : Agent
        Whose uplinks these are.
    nursery : trio.Nursery
        Where their tasks run.
    """

    def __init__(self, agent, nursery):
        self._agent = agent
        self._nursery = nursery
        self._links = {}

    def choose(self, addresses):
        """Connect to exactly these entries from now on."""
        for address, link in list(self._links.items()):
            if address not in addresses:
                link.retire()
                del self._links[address]
        for address in addresses:
            if address not in self._links:
                self._links[address] = link = Uplink(self._agent, address)
                self._nursery.start_soon(link.run)

    def add(self, addresses):
        """Connect to these entries too."""
        self.choose(list(self._links) + list(addresses))

    def serve(self, peer):
        """Return whether a chosen uplink has an open connection to an entry."""
        return any(
            link.conn is not None and link.conn.is_open and link.conn.peer == peer
            for link in self._links.values()
        )

    def reset(self):
        """Close all connections and redial."""
        for link in self._links.values():
            link.reset()


def choose_entries(table, cfg, partition, owner_id):
    """Return the addresses of the entries that an agent connects to.

    The present owner comes first, then the agent's own data centre, then the order
    of the candidates of its partition.
    """
    by_id = {entry.entry_id: entry for entry in table.entries}
    order = [by_id[name] for name in rendezvous_order(partition or cfg.service, by_id)]
    order.sort(
        key=lambda entry: (
            entry.entry_id != owner_id,
            entry.data_centre != cfg.data_centre,
        )
    )
    return [entry.address for entry in order[: cfg.max_entry_connections]]
