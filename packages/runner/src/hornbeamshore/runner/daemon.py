"""Agent process of direct dispatch: assembly of its components, graceful shutdown."""

import abc
import contextlib
from dataclasses import dataclass

import trio

from hornbeamshore.base.clock import new_incarnation
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.settings import Duration
from hornbeamshore.runner.links import EntryLinks
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.serving.lifecycle import (
    call_periodically,
    handle_signals,
    listen,
    open_metrics_listeners,
    serve_until_cancelled,
)
from hornbeamshore.serving.metrics_api import MetricsApi
from hornbeamshore.serving.shutdown import Shutdown, ShutdownSettings
from hornbeamshore.store.base import deployment_key
from hornbeamshore.store.directory import AddressDirectory
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import ProcessKind

log = PartLogger("agent")


@dataclass(frozen=True, slots=True)
class AgentProcessSettings:
    """Settings of an agent process.

    Attributes
    ----------
    deployment, agent_id, data_centre : str
        Names of the deployment, of this process and of its data centre.
    secret : bytes
        Secret shared by all processes of the deployment.
    announce_address, metrics_address : str
        Listening addresses for announcements of the target and for metric scrapes.
    entries_prefix : str
        Prefix of the store keys of entry registrations, relative to the deployment.
    forget_after : Duration
        Time for which the agent keeps connecting to an entry whose key was removed,
        because an outage of the store may remove the keys of live entries.
    directory_check : Duration
        Interval at which connections to entries past `forget_after` are closed.
    """

    deployment: str
    agent_id: str
    data_centre: str
    secret: bytes
    announce_address: str
    metrics_address: str
    runner: RunnerSettings
    entries_prefix: str = "entries/"
    forget_after: Duration = Duration(60.0)
    directory_check: Duration = Duration(1.0)


class TargetInterface(abc.ABC):
    """Protocol between a target and its agent."""

    @property
    @abc.abstractmethod
    def driver(self):
        """Return the `TargetDriver` of the target on this host."""

    @abc.abstractmethod
    def announcement_app(self, supervisor):
        """Return the ASGI application at which the target announces itself."""


async def run_agent(cfg, store, interface, load_seeds, prebound_sockets, early_signals):
    """Run tasks on the target of this host until a stop signal, then end the runs.

    Parameters
    ----------
    cfg : AgentProcessSettings
        Settings of the process.
    store : Store
        Store in which entries register their addresses.
    interface : TargetInterface
        Protocol between the target and the agent.
    load_seeds : callable
        Returns the set of entry addresses in the settings. It is called at startup
        and on SIGHUP, and raises `SettingsError` if the settings are invalid.
    prebound_sockets : PreboundSockets
        Listening sockets bound at process start.
    early_signals : EarlySignals
        Signals received since then.

    Raises
    ------
    OSError
        If the announcement address cannot be bound.
    """
    shutdown = Shutdown(shutdown_settings(cfg.runner))
    metrics = RunnerMetrics()
    runner = Runner(cfg.runner, interface.driver, metrics, shutdown=shutdown)
    metrics.register_gauges(runner)
    links = EntryLinks(runner, _make_identity(cfg), cfg.secret)
    prefix = deployment_key(cfg.deployment, cfg.entries_prefix)
    directory = AddressDirectory(store, prefix, cfg.forget_after)
    async with contextlib.AsyncExitStack() as stack:
        announce_listeners = await listen(stack, cfg.announce_address, prebound_sockets)
        metrics_listeners = await open_metrics_listeners(stack, cfg.metrics_address)
        nursery = await stack.enter_async_context(trio.open_nursery())
        seeds = set(load_seeds())

        def update_links():
            links.set_addresses(nursery, dict.fromkeys(seeds, "") | directory.addresses)

        def reload():
            loaded = load_seeds()
            seeds.clear()
            seeds.update(loaded)
            update_links()

        update_links()
        nursery.start_soon(runner.run)
        nursery.start_soon(directory.watch, update_links)
        nursery.start_soon(call_periodically, update_links, cfg.directory_check)
        app = interface.announcement_app(runner.supervisor)
        nursery.start_soon(serve_until_cancelled, app, announce_listeners)
        nursery.start_soon(
            serve_until_cancelled, MetricsApi(metrics.registry), metrics_listeners
        )
        nursery.start_soon(handle_signals, shutdown.begin, reload, early_signals)
        nursery.start_soon(shutdown.run)
        log.info("started id=%s", cfg.agent_id)
        await finish_runs(runner, shutdown)
        nursery.cancel_scope.cancel()
    log.info("stopped id=%s", cfg.agent_id)


def _make_identity(cfg):
    return Identity(
        cfg.deployment,
        ProcessKind.AGENT,
        cfg.agent_id,
        new_incarnation(),
        cfg.data_centre,
    )


def shutdown_settings(cfg):
    """Return the phases of the stop of an agent with these `RunnerSettings`."""
    return ShutdownSettings(
        accept_until=cfg.leave_notice,
        answer_until=cfg.leave_timeout,
        read_until=cfg.leave_timeout,
        exit_until=cfg.exit_timeout,
    )


async def finish_runs(runner, shutdown):
    """Wait for runs to end in a planned stop, then stop those that are left.

    Parameters
    ----------
    runner : Runner
        Runner that is stopped.
    shutdown : Shutdown
        Planned stop of the process. Orders that arrive while it still accepts are
        refused; runs that are left when answers are due are stopped.
    """
    await shutdown.begun.wait()
    runner.announce_stop()
    await shutdown.sleep_until(shutdown.cfg.accept_until)
    await shutdown.run_until(shutdown.cfg.answer_until, runner.wait_idle)
    runner.stop_all_runs()
    await shutdown.run_until(shutdown.cfg.exit_until, runner.wait_idle)
