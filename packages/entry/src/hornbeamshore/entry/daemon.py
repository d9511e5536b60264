"""Entry daemon: construction, startup and graceful shutdown."""

import contextlib
import signal

import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration, read_secret
from hornbeamshore.config.replica import ConfigReplica
from hornbeamshore.entry.handler import EntryHandler
from hornbeamshore.entry.http_api import HttpApi
from hornbeamshore.entry.membership import EntryMembership, owners_key
from hornbeamshore.entry.metrics import EntryMetrics
from hornbeamshore.entry.objectives import BurnWindows
from hornbeamshore.entry.observer import EntryObserver
from hornbeamshore.entry.peers import PeerLinks
from hornbeamshore.entry.reporting import update_metrics
from hornbeamshore.entry.state import EntryState
from hornbeamshore.entry.submission_router import SubmissionRouter
from hornbeamshore.entry.table import TableError, decode_table
from hornbeamshore.serving.http_server import serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.lifecycle import listen
from hornbeamshore.serving.shutdown import Shutdown, ShutdownSettings
from hornbeamshore.serving.sockets import PreboundSockets
from hornbeamshore.store.base import StoreError
from hornbeamshore.store.etcd import EtcdStore
from hornbeamshore.wire.establish import serve_connections
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind, TableEntry

WATCH_RETRY_S = 1.0
# Time for the last messages to reach peers and agents before connections close.
SHUTDOWN_NOTICE_S = 0.2
# Share of the drain timeout in which the last requests are answered.
SEND_SHARE = 0.1

log = PartLogger("entry")


class AddressInUse(Exception):  # noqa: N818
    """A configured listen address is in use or does not belong to this host."""


class EntryDaemon:
    """One entry process.

    Parameters
    ----------
    cfg : EntrySettings
        Settings of the process.

    Attributes
    ----------
    http_address : str
        Address bound for callers; empty before `listen`.
    peer_address : str
        Address advertised to agents and other entries; empty before `listen`.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.secret = read_secret(cfg.secret_file)
        self.http_address = self.peer_address = ""
        self.entry = None
        self._shutdown = Shutdown(_shutdown_settings(cfg))
        self._http_stopped = trio.Event()

    def stop(self):
        """Begin a graceful shutdown."""
        self._shutdown.begin()

    async def listen(self, stack):
        """Bind the listen addresses; `stack` closes the listeners on exit.

        Raises
        ------
        AddressInUse
            If an address cannot be bound.
        """
        cfg = self.cfg
        self._http_listeners = await _listen(stack, cfg.http_listen)
        self._peer_listeners = await _listen(stack, cfg.peer_listen)
        self.http_address = _bound_address(self._http_listeners, cfg.http_listen)
        self.peer_address = cfg.peer_address or _bound_address(
            self._peer_listeners, cfg.peer_listen
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until `stop` is called, then drain and return."""
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(EtcdStore(self.cfg.store))
            nursery = await stack.enter_async_context(trio.open_nursery())
            self._create_components(nursery, store)
            self._start_tasks(nursery, store)
            task_status.started(self)
            log.info("Serving HTTP requests at %s.", self.http_address)
            await self._shutdown.begun.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    def _create_components(self, nursery, store):
        cfg = self.cfg
        identity = Identity(
            cfg.deployment,
            ProcessKind.ENTRY,
            cfg.entry_id,
            new_incarnation(),
            cfg.data_centre,
            cfg.rack,
            self.peer_address,
        )
        self.replica = ConfigReplica(cfg.deployment)
        windows = BurnWindows()
        metrics = EntryMetrics()
        self.entry = EntryState(cfg, identity, self.replica, metrics, windows)
        self.handler = EntryHandler(self.entry, nursery)
        self.entry.peers = PeerLinks(identity, self.secret, cfg.wire, self.handler)
        own_entry = TableEntry(
            cfg.entry_id,
            identity.incarnation,
            self.peer_address,
            cfg.data_centre,
            cfg.rack,
        )
        self.entry.membership = EntryMembership(
            store, cfg, own_entry, self.entry.adopt_table
        )
        self.submission_router = SubmissionRouter(self.entry, self._shutdown)
        observer = EntryObserver(metrics, windows, self.submission_router)
        http_cfg = HttpSettings()
        self.api = HttpApi(
            self.submission_router, nursery, observer, http_cfg, self._shutdown
        )
        self._http_cfg = http_cfg

    def _start_tasks(self, nursery, store):
        entry = self.entry
        nursery.start_soon(
            serve_connections,
            self._peer_listeners,
            entry.identity,
            self.secret,
            self.cfg.wire,
            self.handler,
        )
        nursery.start_soon(entry.membership.run)
        nursery.start_soon(self.replica.watch_store, store)
        nursery.start_soon(self._watch_table, store)
        nursery.start_soon(
            entry.peers.maintain_connections,
            nursery,
            self._peer_addresses,
            entry.table_changed,
        )
        nursery.start_soon(entry.run_owners, nursery)
        nursery.start_soon(update_metrics, entry)
        nursery.start_soon(self._serve_callers)
        nursery.start_soon(self._shutdown.run)

    async def _serve_callers(self):
        await serve_http(self.api, self._http_listeners, self._http_cfg, self._shutdown)
        self._http_stopped.set()

    def _peer_addresses(self):
        others = [
            item.address
            for item in self.entry.table.entries
            if item.entry_id != self.cfg.entry_id
        ]
        return {*others, *self.cfg.seeds} - {self.peer_address}

    async def _watch_table(self, store):
        """Apply each version of the owner table in the store until cancelled."""
        key = owners_key(self.cfg)
        async with store.watch(key) as watch:
            while True:
                try:
                    async for change in watch:
                        if change.key == key and change.item is not None:
                            self.entry.adopt_table(decode_table(change.item.value))
                except (StoreError, TableError) as exc:
                    log.warning("Watch of the owner table failed: %s", exc)
                    await trio.sleep(WATCH_RETRY_S)

    async def _drain(self):
        """Hand over all partitions, finish open requests and leave the table."""
        log.info("Draining.")
        self.entry.leaving = True
        for conn in self.entry.peers.all():
            conn.try_send(self.handler.heartbeat())
        owners = list(self.entry.owners.values())
        for owner in owners:
            owner.resign()

        async def wait_drained():
            for owner in owners:
                await owner.has_ended.wait()
            await self._http_stopped.wait()
            # Submissions outlive the connections of callers that disconnected.
            await self.entry.wait_idle()

        if not await self._shutdown.run_until(self.cfg.drain_timeout, wait_drained):
            log.warning("Drain timed out with requests still in flight.")
        with trio.move_on_after(self.cfg.wire.dead_after):
            await self.entry.membership.leave()
        await trio.sleep(SHUTDOWN_NOTICE_S)
        log.info("Stopped.")


async def run_until_signal(daemon, on_started):
    """Run a daemon until SIGTERM or SIGINT; a second signal cancels it at once.

    Parameters
    ----------
    on_started : callable
        Called with the daemon once it serves requests.
    """
    async with contextlib.AsyncExitStack() as stack:
        # Before callers can connect: a signal must not end the process under them.
        signals = stack.enter_context(
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
        )
        await daemon.listen(stack)
        nursery = await stack.enter_async_context(trio.open_nursery())

        async def run_daemon(task_status=trio.TASK_STATUS_IGNORED):
            await daemon.run(task_status)
            nursery.cancel_scope.cancel()

        await nursery.start(run_daemon)
        on_started(daemon)
        async for _ in signals:
            daemon.stop()
            break
        async for _ in signals:
            log.warning("Second signal received; stopping without a drain.")
            nursery.cancel_scope.cancel()


def _shutdown_settings(cfg):
    """Return the phases of a stop that ends within the drain timeout."""
    send_s = cfg.drain_timeout * SEND_SHARE
    return ShutdownSettings(
        answer_until=Duration(cfg.drain_timeout - send_s),
        read_until=Duration(cfg.drain_timeout - send_s / 2),
        exit_until=cfg.drain_timeout,
    )


async def _listen(stack, address):
    try:
        return await listen(stack, address, PreboundSockets())
    except OSError as exc:
        raise AddressInUse(f"{address}: {exc}") from exc


def _bound_address(listeners, configured):
    host = configured.rpartition(":")[0]
    return f"{host}:{listeners[0].socket.getsockname()[1]}"
