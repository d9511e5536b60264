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
# Time for which the addresses of the entries are used before they are read again.
ADDRESSES_VALIDITY_S = 5.0

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


class _Request:
    """Cancellation that one other entry has not replied to yet."""

    def __init__(self, job_id):
        self.job_id = job_id
        self.expires_at = trio.current_time() + RETRY_S
        self.is_found = False
        self.done = trio.Event()

    def finish(self, *, is_found=False):
        self.is_found = is_found
        self.done.set()


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
        self._requests = []
        self._requested = trio.Event()

    def request(self, job_id):
        """Queue a cancellation and return its `_Request`."""
        request = _Request(job_id)
        self._requests.append(request)
        self._requested.set()
        return request

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
                # The process that ran the jobs has ended.
                self._drop_requests(trio.current_time() + RETRY_S)
            except (ConnectionLost, HandshakeError) as exc:
                log.info("entry not asked address=%s: %s", self._address, exc)
            self._drop_requests(trio.current_time())
            await trio.sleep(self._cfg.wire.redial_after)

    async def _wait_requested(self):
        while not self._requests:
            self._requested = trio.Event()
            await self._requested.wait()

    async def _deliver(self, conn):
        """Send the requests until there are none for a while or the connection ends."""
        while True:
            with trio.move_on_after(IDLE_TIMEOUT_S) as scope:
                await self._wait_requested()
            if scope.cancelled_caught:
                return
            requests = list(self._requests)
            body = CancelJobs(tuple(request.job_id for request in requests))
            try:
                reply = await conn.call(body, REPLY_TIMEOUT_S)
            except (ConnectionLost, CallTimeout) as exc:
                log.info("cancellations not delivered to=%s: %s", self._address, exc)
                return
            for request in requests:
                request.finish(is_found=request.job_id in reply.found)
            self._requests = [item for item in self._requests if item not in requests]

    def _drop_requests(self, now):
        """Finish the requests that have expired at time `now`."""
        for request in self._requests:
            if now >= request.expires_at:
                request.finish()
        self._requests = [item for item in self._requests if not item.done.is_set()]


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
        self._read_at = -ADDRESSES_VALIDITY_S
        self._reading = trio.Lock()

    async def run(self):
        """Run one task for each entry that was asked, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def cancel(self, job_id):
        """Cancel a job wherever it runs.

        Other entries are asked only if this one does not run the job. An entry that
        does not reply in time is asked again in the background.

        Returns
        -------
        bool or None
            Whether the job was in progress; None if no entry that has replied ran it,
            and some have not replied.
        """
        if self._coordinator.cancel(job_id):
            return True
        requests = []
        with trio.move_on_after(REPLY_TIMEOUT_S):
            await self._read_addresses()
            requests = [peer.request(job_id) for peer in self._peers.values()]
            for request in requests:
                await request.done.wait()
        is_found = any(request.is_found for request in requests)
        replies = sum(request.done.is_set() for request in requests)
        log.info(
            "cancelled elsewhere id=%s found=%s entries=%d replies=%d",
            job_id,
            is_found,
            len(requests),
            replies,
        )
        return None if not is_found and replies < len(requests) else is_found

    async def _read_addresses(self):
        """Read the addresses of the entries, unless that was done a moment ago."""
        async with self._reading:
            if trio.current_time() - self._read_at < ADDRESSES_VALIDITY_S:
                return
            try:
                snapshot = await self._store.get_prefix(self._prefix)
            except StoreError as exc:
                # The entries that are known already are asked all the same.
                log.warning("entries not read: %s", exc)
                return
            self._read_at = trio.current_time()
            for item in snapshot.items:
                self._add_peer(item)

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
