"""Connections to the entries, each run by a task that reconnects when it ends."""

import trio

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.wire.connection import ConnectionLost, ConnectionRefused
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError

log = PartLogger("agent")


class Uplink:
    """Connection to one entry, which is reopened until it is retired.

    Parameters
    ----------
    agent : Agent
        Message handler, which also provides the identity for the handshake.
    address : str
        ``host:port`` of the entry.

    Attributes
    ----------
    retired : bool
        Whether reconnecting has ended. The connection to an entry that was removed
        from the owner table stays open until the entry closes it, since an owner
        that is leaving still waits for results.
    conn : Connection or None
        Open connection; None while disconnected.
    """

    def __init__(self, agent, address):
        self.address = address
        self.retired = False
        self.conn = None
        self._last_peer = None
        self._agent = agent
        self._cancel_scope = trio.CancelScope()

    async def run(self):
        """Connect, serve the connection until it ends, and reconnect until retired."""
        cfg = self._agent.cfg.wire
        failures = 0
        while not self.retired:
            with trio.CancelScope() as self._cancel_scope:
                log_failure = log.debug if failures else log.info
                failures = (
                    0 if await self._run_connection(cfg, log_failure) else failures + 1
                )
            self.conn = None
            # Exponential backoff: without it, each agent of the region would try to
            # reach a removed entry five times a second.
            pause = min(cfg.redial_after * 2 ** min(failures, 8), cfg.suspect_after)
            await trio.sleep(pause * self._agent.random.uniform(0.5, 1.5))

    def retire(self, *, close):
        """Stop reconnecting and abort a connection attempt in progress.

        Parameters
        ----------
        close : bool
            Whether to close an open connection too.
        """
        self.retired = True
        if self.conn is None or close:
            self._cancel_scope.cancel()

    def resume(self):
        """Take the retirement back while connected; return False if it has ended."""
        self.retired = self.conn is None or self._cancel_scope.cancel_called
        return not self.retired

    def reset(self):
        """Close the connection or abort a connection attempt, then reconnect."""
        self._cancel_scope.cancel()

    async def _run_connection(self, cfg, log_failure):
        agent = self._agent
        try:
            async with open_connection(
                self.address, agent.identity, agent.secret, cfg
            ) as conn:
                if agent.uplinks.is_connected_to(conn.peer):
                    log.debug(
                        "Entry %s is already connected at another address.",
                        conn.peer.process_id,
                    )
                    return False
                self.conn = conn
                self._last_peer = conn.peer
                await conn.run(agent)
                return True
        except (ConnectionLost, HandshakeError) as exc:
            if isinstance(exc, ConnectionRefused) and self._last_peer is not None:
                agent.connection_refused(self._last_peer)
            log_failure("Connection to entry %s failed: %s", self.address, exc)
            return False


class Uplinks:
    """Connections of an agent to the selected entries of the owner table.

    Parameters
    ----------
    agent : Agent
        Message handler of the connections.
    nursery : trio.Nursery
        Nursery in which the tasks of the connections run.
    """

    def __init__(self, agent, nursery):
        self._agent = agent
        self._nursery = nursery
        self._by_address = {}
        # Uplinks whose task has not ended yet, most with an open connection.
        self._retired = {}

    def select(self, addresses, unselected=()):
        """Replace the set of entries to connect to.

        Parameters
        ----------
        addresses : collection of str
            ``host:port`` of the selected entries.
        unselected : collection of str
            ``host:port`` of the other entries of the owner table; connections to
            them are closed.
        """
        for address, uplink in list(self._by_address.items()):
            if address not in addresses:
                uplink.retire(close=address in unselected)
                self._retired[address] = self._by_address.pop(address)
        for address in addresses:
            if address not in self._by_address:
                self._by_address[address] = self._resume_or_start(address)

    def _resume_or_start(self, address):
        # A second connection to an entry that returns to the table would end the first,
        # and with it the leases that the entry holds as an owner.
        uplink = self._retired.pop(address, None)
        if uplink is None or not uplink.resume():
            uplink = Uplink(self._agent, address)
            self._nursery.start_soon(self._run_uplink, uplink)
        return uplink

    async def _run_uplink(self, uplink):
        await uplink.run()
        if self._retired.get(uplink.address) is uplink:
            del self._retired[uplink.address]

    def add(self, addresses):
        """Connect to additional entries."""
        self.select(list(self._by_address) + list(addresses))

    def is_connected_to(self, peer):
        """Return whether there is an open connection to an entry."""
        return any(
            uplink.conn is not None and uplink.conn.is_open and uplink.conn.peer == peer
            for uplink in self._by_address.values()
        )

    def reset(self):
        """Close all connections and reconnect."""
        for uplink in self._by_address.values():
            uplink.reset()


def select_entries(table, cfg, partition, owner_id):
    """Return the addresses of the entries that an agent connects to.

    The current owner comes first, then the candidates of the partition in rendezvous
    order, since an entry that takes over needs connections to most agents. While the
    partition is unknown, entries of the agent's own data centre are preferred.
    """
    by_id = {entry.entry_id: entry for entry in table.entries}
    ordered = [
        by_id[name] for name in rendezvous_order(partition or cfg.service, by_id)
    ]
    ordered.sort(
        key=lambda entry: (
            entry.entry_id != owner_id,
            not partition and entry.data_centre != cfg.data_centre,
        )
    )
    return [entry.address for entry in ordered[: cfg.max_entry_connections]]
