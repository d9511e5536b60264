"""Entry process of direct dispatch: assembly of its components, graceful shutdown."""

import abc
import contextlib
from dataclasses import dataclass

import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.dispatch.coordinator import Coordinator
from hornbeamshore.dispatch.metrics import DispatchMetrics
from hornbeamshore.dispatch.peers import AcceptedPeers, EntryPeers
from hornbeamshore.dispatch.presence import SocketPresence
from hornbeamshore.dispatch.routing import RoutingReplica
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.serving.http_server import serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.lifecycle import (
    handle_signals,
    listen,
    open_metrics_listeners,
    serve_until_cancelled,
)
from hornbeamshore.serving.metrics_api import MetricsApi
from hornbeamshore.serving.shutdown import Shutdown, ShutdownSettings
from hornbeamshore.store.base import deployment_key
from hornbeamshore.store.directory import Registration
from hornbeamshore.wire.connection import WireSettings
from hornbeamshore.wire.establish import serve_connections
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind

ENTRY_KEY_PREFIX = "entries/"

log = PartLogger("entry")


@dataclass(frozen=True, slots=True)
class EntryProcessSettings:
    """Settings of an entry process.

    Attributes
    ----------
    deployment, entry_id : str
        Names of the deployment and of this process.
    secret : bytes
        Secret shared by all processes of the deployment.
    caller_address, ready_address, inner_address, metrics_address : str
        Listening addresses for callers, readiness checks, agents and metric scrapes.
    dispatch : DispatchSettings
        Settings of the coordinator.
    wire : WireSettings
        Settings of the connections to agents.
    stop_grace : Duration
        Grace period between the stop signal and the kill of the process.
    readiness_delay : Duration
        Time until the platform stops routing callers to an entry that is not ready.
    exit_margin : Duration
        Time reserved at the end of the grace period for sending the last answers; as
        much again is reserved for the exit of the process.
    routing_retry : Duration
        Delay before the watch of the routing is resumed after a failure.
    """

    deployment: str
    entry_id: str
    secret: bytes
    caller_address: str
    ready_address: str
    inner_address: str
    metrics_address: str
    dispatch: DispatchSettings
    wire: WireSettings
    stop_grace: Duration
    readiness_delay: Duration = Duration(2.3)
    exit_margin: Duration = Duration(0.5)
    routing_retry: Duration = Duration(0.2)


class CallerInterface(abc.ABC):
    """Interface of an entry to callers, operators and readiness checks."""

    @property
    @abc.abstractmethod
    def routing_key(self):
        """Key of the routing configuration in the store."""

    @abc.abstractmethod
    def decode_routing(self, data):
        """Return the `Routing` decoded from a value of the key.

        Parameters
        ----------
        data : bytes
            Value in the store.

        Raises
        ------
        ValueError
            If the value is not a valid routing configuration.
        """

    @abc.abstractmethod
    def caller_app(self, coordinator, routing, peers, shutdown):
        """Return the ASGI application for callers.

        Parameters
        ----------
        coordinator : Coordinator
            Runs the jobs.
        routing : RoutingReplica
            Routing configuration in use.
        peers : EntryPeers
            Cancels jobs, also those that other entries run.
        shutdown : Shutdown
            Planned stop; the application answers each request before its end.
        """

    @abc.abstractmethod
    def ready_app(self, is_ready):
        """Return the ASGI application for readiness checks.

        Parameters
        ----------
        is_ready : callable
            Returns whether the entry accepts new requests.
        """


async def run_entry(cfg, store, interface, reload, prebound_sockets, early_signals):
    """Serve callers until a stop signal, then shut down gracefully.

    Parameters
    ----------
    cfg : EntryProcessSettings
        Settings of the process.
    store : Store
        Store for the registration of the entry and the routing configuration.
    interface : CallerInterface
        Applications for callers and readiness checks, and format of the routing.
    reload : callable
        Called on SIGHUP; raises `SettingsError` if the settings are invalid.
    prebound_sockets : PreboundSockets
        Listening sockets bound at process start.
    early_signals : EarlySignals
        Signals received since then.
    """
    shutdown = Shutdown(_shutdown_settings(cfg))
    metrics = DispatchMetrics()
    coordinator = Coordinator(
        cfg.dispatch, metrics, presence=SocketPresence(), shutdown=shutdown
    )
    routing = RoutingReplica()
    metrics.register_gauges(coordinator, routing)
    prefix = deployment_key(cfg.deployment, ENTRY_KEY_PREFIX)
    registration = Registration(
        store, prefix + cfg.entry_id, cfg.inner_address, cfg.dispatch.data_centre
    )
    identity = _make_identity(cfg)
    peers = EntryPeers(cfg, coordinator, store, prefix, identity)

    def is_ready():
        can_serve = routing.current is not None and coordinator.is_connected
        return can_serve and not shutdown.begun.is_set()

    async with contextlib.AsyncExitStack() as stack:
        caller_listeners = await listen(stack, cfg.caller_address, prebound_sockets)
        ready_listeners = await listen(stack, cfg.ready_address, prebound_sockets)
        agent_listeners = await listen(stack, cfg.inner_address, prebound_sockets)
        metrics_listeners = await open_metrics_listeners(stack, cfg.metrics_address)
        nursery = await stack.enter_async_context(trio.open_nursery())
        nursery.start_soon(coordinator.run)
        nursery.start_soon(peers.run)
        nursery.start_soon(
            routing.watch_store,
            store,
            interface.routing_key,
            interface.decode_routing,
            cfg.routing_retry,
        )
        nursery.start_soon(registration.maintain)
        nursery.start_soon(
            serve_connections,
            agent_listeners,
            identity,
            cfg.secret,
            cfg.wire,
            AcceptedPeers(coordinator),
        )
        nursery.start_soon(
            serve_until_cancelled, interface.ready_app(is_ready), ready_listeners
        )
        nursery.start_soon(
            serve_until_cancelled, MetricsApi(metrics.registry), metrics_listeners
        )
        nursery.start_soon(handle_signals, shutdown.begin, reload, early_signals)
        nursery.start_soon(shutdown.run)
        log.info("started id=%s", cfg.entry_id)
        app = interface.caller_app(coordinator, routing, peers, shutdown)
        await serve_http(app, caller_listeners, HttpSettings(), shutdown)
        with trio.move_on_after(cfg.exit_margin / 2):
            await registration.unregister()
        nursery.cancel_scope.cancel()
    log.info("stopped id=%s", cfg.entry_id)


def _make_identity(cfg):
    return Identity(
        cfg.deployment,
        ProcessKind.ENTRY,
        cfg.entry_id,
        new_incarnation(),
        cfg.dispatch.data_centre,
    )


def _shutdown_settings(cfg):
    answer_until = cfg.stop_grace - 2 * cfg.exit_margin
    return ShutdownSettings(
        accept_until=cfg.readiness_delay,
        answer_until=Duration(answer_until),
        read_until=Duration(answer_until + cfg.exit_margin / 2),
        exit_until=Duration(answer_until + cfg.exit_margin),
    )
