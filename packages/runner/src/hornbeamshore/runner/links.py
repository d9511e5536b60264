"""Connections of an agent to the entries."""

import trio

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.wire.connection import (
    ConnectionLost,
    ConnectionRefused,
    MessageHandler,
)
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError
from hornbeamshore.wire.messages import AckRuns, RunTasks, StopRuns

log = PartLogger("agent")


class EntryHandler(MessageHandler):
    """Dispatches the messages of one entry to the runner."""

    def __init__(self, runner):
        self._runner = runner
        self._session = None

    def opened(self, conn):
        """Attach the connection to the session of its entry."""
        self._session = self._runner.attach(conn)

    def closed(self, conn):
        """Detach the connection; runs continue until the lease of the entry expires."""
        if self._session is not None:
            self._session.detach(conn)
        log.info(
            "entry detached id=%s by_peer=%s", conn.peer.process_id, conn.closed_by_peer
        )

    def entry_ended(self):
        """Stop the runs of the entry, whose process has ended.

        An entry listens from its start to its end, so a refused connection is certain.
        """
        if self._session is not None:
            self._runner.entry_ended(self._session)

    def before_write(self, conn):
        """Send the results and changes since the last write as one report."""
        if self._session is not None and self._session.conn is conn:
            self._runner.send_pending_report(self._session)

    def heartbeat(self):
        """Return a report with the current free capacity, or a plain heartbeat."""
        return self._runner.heartbeat(self._session) or super().heartbeat()

    def handle(self, conn, message):
        """Handle an order, a stop or an acknowledgement; ignore other messages."""
        self._runner.renew_lease(self._session, conn.sent_at)
        body = message.body
        if isinstance(body, RunTasks):
            self._runner.order_runs(self._session, message.id, body, conn.sent_at)
        elif isinstance(body, StopRuns):
            self._runner.stop_runs(self._session, body.run_ids)
        elif isinstance(body, AckRuns):
            self._runner.acknowledge_ends(self._session, body.run_ids)


def select_entries(identity, data_centres, cfg):
    """Return the addresses of the entries that an agent connects to.

    Most are in the data centre of the agent, so that most orders and results stay in
    it. The others let entries of other data centres use the agent when theirs are full
    or lost. Rendezvous hashing gives each entry about the same number of agents.

    Parameters
    ----------
    identity : Identity
        Identity of the agent.
    data_centres : dict of str to str
        Data centres of the entries, by address.
    cfg : RunnerSettings
        Numbers of entries.

    Returns
    -------
    list of str
        Addresses.
    """
    preferred = rendezvous_order(identity.process_id, data_centres)
    near = [
        address
        for address in preferred
        if data_centres[address] == identity.data_centre
    ][: min(cfg.max_near_entries, cfg.max_entries)]
    others = [address for address in preferred if address not in near]
    return near + others[: cfg.max_entries - len(near)]


class EntryLinks:
    """Maintains a connection to each selected entry address.

    Parameters
    ----------
    runner : Runner
        Runner that handles the messages.
    identity : Identity
        Identity of this agent.
    secret : bytes
        Secret shared by all processes of the deployment.
    """

    def __init__(self, runner, identity, secret):
        self._runner = runner
        self._identity = identity
        self._secret = secret
        self._cancel_scopes = {}

    def set_addresses(self, nursery, data_centres):
        """Connect to the selected addresses and close other connections.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the connections.
        data_centres : dict of str to str
            Data centres of the entries, by address.
        """
        selected = set(select_entries(self._identity, data_centres, self._runner.cfg))
        for address in selected - self._cancel_scopes.keys():
            self._cancel_scopes[address] = trio.CancelScope()
            nursery.start_soon(
                self._keep_connected, address, self._cancel_scopes[address]
            )
        for address in self._cancel_scopes.keys() - selected:
            self._cancel_scopes.pop(address).cancel()

    async def _keep_connected(self, address, scope):
        handler = None
        with scope:
            while True:
                try:
                    handler = await self._connect_once(address) or handler
                except ConnectionRefused:
                    if handler is not None:
                        handler.entry_ended()
                await trio.sleep(self._runner.cfg.wire.redial_after)

    async def _connect_once(self, address):
        """Run one connection to an entry.

        Returns
        -------
        EntryHandler or None
            Handler of the connection that has ended; None if there was none.

        Raises
        ------
        ConnectionRefused
            If no process listens at the address.
        """
        cfg = self._runner.cfg.wire
        handler = EntryHandler(self._runner)
        try:
            async with open_connection(
                address, self._identity, self._secret, cfg
            ) as conn:
                await conn.run(handler)
                return handler
        except ConnectionRefused:
            raise
        except (ConnectionLost, HandshakeError) as exc:
            log.debug("entry not connected address=%s: %s", address, exc)
        return None
