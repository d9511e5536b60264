"""Cancellation of jobs that other entries run.

The connection of a caller stays with its entry, but a cancellation comes over a new one
and may reach any entry. An entry that does not run the job asks all others.
"""

import trio

from hornbeamshore.base.decoding import REJECTIONS, split_address
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.store.base import StoreError
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    ConnectionRefused,
    MessageHandler,
)
from hornbeamshore.wire.establish import open_connection
from hornbeamshore.wire.handshake import HandshakeError
from hornbeamshore.wire.messages import CancelJobs, CancelJobsReply, ProcessKind

# Time for which an entry that does not reply is asked again. It may be suspended, and
# goes on with the job when it resumes.
RETRY_S = 10.0
# Time that a caller waits for the replies of the other entries; a frozen one must not
# hold up the answer.
REPLY_TIMEOUT_S = 1.0
# Time after the last request for which the connection to an entry is kept.
IDLE_TIMEOUT_S = 5.0
# Pause after each read of the addresses of the entries, which bounds the calls of the
# store in a wave of cancellations.
READ_PAUSE_S = 0.1

log = PartLogger("entry")


class AcceptedPeers(MessageHandler):
    """Handles accepted connections: those of agents, and requests of other entries.

    Parameters
    ----------
    coordinator : Coordinator
        Runs the jobs of this entry and handles its agents.
    """

    def __init__(self, coordinator):
        self._coordinator = coordinator

    def opened(self, conn):
        """Register a connected agent."""
        if conn.peer.kind == ProcessKind.AGENT:
            self._coordinator.opened(conn)

    def closed(self, conn):
        """Mark an agent as disconnected."""
        if conn.peer.kind == ProcessKind.AGENT:
            self._coordinator.closed(conn)

    def before_write(self, conn):
        """Send what was deferred to the next write to an agent."""
        if conn.peer.kind == ProcessKind.AGENT:
            self._coordinator.before_write(conn)

    def handle(self, conn, message):
        """Process a message of an agent or a request of an entry."""
        if conn.peer.kind == ProcessKind.AGENT:
            self._coordinator.handle(conn, message)
        elif isinstance(message.body, CancelJobs):
            cancel = self._coordinator.cancel
            found = tuple(job_id for job_id in message.body.job_ids if cancel(job_id))
            conn.send(CancelJobsReply(found), reply_to=message.id)


class _Requester(MessageHandler):
    """Handles a connection that only carries replies."""

    def handle(self, conn, message):
        """Ignore a message that is not a reply."""


class _Cancellation:
    """Cancellation that other entries are asked about.

    Attributes
    ----------
    job_id : str
        Job to cancel.
    expires_at : float
        Time on the clock of trio until which entries that do not reply are asked.
    asked, replied : set of str
        Addresses of the entries that were asked, and of those that have replied.
    is_found : bool
        Whether an entry has replied that it ran the job.
    is_listed : bool
        Whether the entries were read from the store since the cancellation came; an
        entry that has joined shortly before may run the job.
    """

    def __init__(self, job_id):
        self.job_id = job_id
        self.expires_at = trio.current_time() + RETRY_S
        self.asked, self.replied = set(), set()
        self.is_found = self.is_listed = False
        self._changed = trio.Event()

    @property
    def is_answered(self):
        """Whether all registered entries have replied, or one that ran the job."""
        return self.is_found or (self.is_listed and self.replied >= self.asked)

    def add_reply(self, address, *, is_found):
        """Record the reply of an entry."""
        self.replied.add(address)
        self.is_found |= is_found
        self._changed.set()

    def mark_listed(self):
        """Record that all registered entries have been asked."""
        self.is_listed = True
        self._changed.set()

    async def wait_answered(self):
        """Wait until the cancellation is answered."""
        while not self.is_answered:
            self._changed = trio.Event()
            await self._changed.wait()


class EntryPeer:
    """Another entry, and the cancellations that it has to be told.

    Parameters
    ----------
    cfg : EntryProcessSettings
        Settings of this entry.
    address : str
        Address of the other entry for its peers.
    identity : Identity
        Identity of this entry.
    """

    def __init__(self, cfg, address, identity):
        self._cfg = cfg
        self._address = address
        self._identity = identity
        self._cancellations = []
        self._requested = trio.Event()

    def request(self, cancellation):
        """Queue a cancellation, unless this entry was asked about it before."""
        if self._address not in cancellation.asked:
            cancellation.asked.add(self._address)
            self._cancellations.append(cancellation)
            self._requested.set()

    async def run(self):
        """Deliver cancellations until cancelled; connects while there are some."""
        while True:
            await self._wait_requested()
            try:
                async with (
                    open_connection(
                        self._address, self._identity, self._cfg.secret, self._cfg.wire
                    ) as conn,
                    trio.open_nursery() as nursery,
                ):
                    nursery.start_soon(conn.run, _Requester())
                    await self._deliver(conn)
                    nursery.cancel_scope.cancel()
            except ConnectionRefused:
                # The process that ran jobs has ended. Its successor takes jobs from
                # callers before it listens here, so it is still told.
                for cancellation in self._cancellations:
                    cancellation.add_reply(self._address, is_found=False)
            except (ConnectionLost, HandshakeError) as exc:
                log.info("entry not asked address=%s: %s", self._address, exc)
            self._drop_expired()
            await trio.sleep(self._cfg.wire.redial_after)

    async def _wait_requested(self):
        while not self._cancellations:
            self._requested = trio.Event()
            await self._requested.wait()

    async def _deliver(self, conn):
        """Send cancellations until there are none for a while or the connection ends.

        A cancellation is removed once it is replied to.
        """
        while True:
            with trio.move_on_after(IDLE_TIMEOUT_S) as scope:
                await self._wait_requested()
            if scope.cancelled_caught:
                return
            sent = list(self._cancellations)
            body = CancelJobs(tuple(item.job_id for item in sent))
            try:
                reply = await conn.call(body, REPLY_TIMEOUT_S)
            except (ConnectionLost, CallTimeout) as exc:
                log.info("cancellations not delivered to=%s: %s", self._address, exc)
                return
            for item in sent:
                item.add_reply(self._address, is_found=item.job_id in reply.found)
            del self._cancellations[: len(sent)]

    def _drop_expired(self):
        now = trio.current_time()
        self._cancellations = [
            item for item in self._cancellations if item.expires_at > now
        ]


class EntryPeers:
    """The other entries of the deployment.

    Parameters
    ----------
    cfg : EntryProcessSettings
        Settings of this entry.
    coordinator : Coordinator
        Runs the jobs of this entry.
    store : Store
        Store in which entries register their addresses.
    prefix : str
        Prefix of the keys of these registrations.
    identity : Identity
        Identity of this entry.
    """

    def __init__(self, cfg, coordinator, store, prefix, identity):
        self._cfg = cfg
        self._coordinator = coordinator
        self._store = store
        self._prefix = prefix
        self._identity = identity
        self._peers = {}
        self._nursery = None
        # Cancellations since which the entries were not read.
        self._unlisted = []
        self._requested = trio.Event()

    async def run(self):
        """Read the entries when needed and run one task for each, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._read_entries()

    async def cancel(self, job_id):
        """Cancel a job wherever it runs.

        Other entries are asked only if this one does not run the job. An entry that
        does not reply in time is asked again in the background, as is the store for
        the entries.

        Returns
        -------
        bool or None
            Whether the job was in progress; None if no entry that has replied ran it,
            and some have not replied or may not be known.
        """
        if self._coordinator.cancel(job_id):
            return True
        cancellation = _Cancellation(job_id)
        self._ask_entries(cancellation)
        self._unlisted.append(cancellation)
        self._requested.set()
        with trio.move_on_after(REPLY_TIMEOUT_S):
            await cancellation.wait_answered()
        log.info(
            "cancelled elsewhere id=%s found=%s listed=%s entries=%d replies=%d",
            job_id,
            cancellation.is_found,
            cancellation.is_listed,
            len(cancellation.asked),
            len(cancellation.replied),
        )
        return cancellation.is_found if cancellation.is_answered else None

    def _ask_entries(self, cancellation):
        for peer in self._peers.values():
            peer.request(cancellation)

    async def _read_entries(self):
        """Read the registered entries for each cancellation, and ask those that joined.

        The read begins after the cancellation has come. One that fails is repeated.
        """
        while True:
            while not self._unlisted:
                self._requested = trio.Event()
                await self._requested.wait()
            waiting = list(self._unlisted)
            try:
                snapshot = await self._store.get_prefix(self._prefix)
            except StoreError as exc:
                log.warning("entries not read: %s", exc)
            else:
                for item in snapshot.items:
                    self._add_peer(item)
                for cancellation in waiting:
                    self._ask_entries(cancellation)
                    cancellation.mark_listed()
            now = trio.current_time()
            self._unlisted = [
                item
                for item in self._unlisted
                if not item.is_listed and item.expires_at > now
            ]
            await trio.sleep(READ_PAUSE_S)

    def _add_peer(self, item):
        try:
            address = item.value.decode().partition(" ")[0]
            split_address(address)
        except ValueError as exc:
            REJECTIONS.record("directory", item.key, exc)
            return
        if address != self._cfg.inner_address and address not in self._peers:
            peer = EntryPeer(self._cfg, address, self._identity)
            self._peers[address] = peer
            self._nursery.start_soon(peer.run)
