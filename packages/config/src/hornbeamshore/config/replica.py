"""Configuration in force in one process."""

import random
from dataclasses import dataclass

import trio

from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.units import Duration
from hornbeamshore.config import content
from hornbeamshore.config.apply import config_key
from hornbeamshore.store.base import StoreError

log = PartLogger("config")


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of following the store.

    Attributes
    ----------
    retry_min : Duration
        Mean pause after the first failure of the store; it doubles for each further.
    retry_max : Duration
        Bound of the mean pause; with its jitter well under the 15 s in which a
        change must be in force.
    """

    retry_min: Duration = Duration(0.2)
    retry_max: Duration = Duration(4.0)


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """Part of the configuration that an agent of a service needs.

    Attributes
    ----------
    revision : int
        Revision in force.
    content_revision : int
        Revision at which this process saw the content change last; a peer that
        has this one needs the number only.
    content : bytes
        See `hornbeamshore.config.content.encode_slice`.
    """

    revision: int
    content_revision: int
    content: bytes


class ConfigReplica:
    """Copy of the configuration that only moves to higher revisions.

    Parameters
    ----------
    deployment : str
        Name of the deployment; content of another one is refused.

    Attributes
    ----------
    revision : int
        Revision in force; 0 before the first.
    content : bytes
        Content in force in the form of the store, for peers that are behind.
    current : Deployment or None
        The deployment in force.
    """

    def __init__(self, deployment, cfg=ReplicaSettings(), rng=None):
        self.deployment = deployment
        self.cfg = cfg
        self.revision = 0
        self.content = b""
        self.current = None
        self._rng = rng or random.Random()
        self._slices = {}
        self._subscribers = []
        self._changed = trio.Event()

    def offer(self, revision, data):
        """Take content of a higher revision and return whether it was taken.

        Content that cannot be read is refused, so the present one stays in force.
        """
        if revision <= self.revision:
            return False
        try:
            deployment = content.decode(data).deployment
        except content.ContentError as exc:
            log.error("Revision %d was refused: %s", revision, exc)
            return False
        if deployment.deployment != self.deployment:
            log.error("Revision %d is of %s.", revision, deployment.deployment)
            return False
        self._update_slices(revision, deployment)
        self.revision, self.content, self.current = revision, data, deployment
        log.info("Revision %d is in force.", revision)
        self._notify()
        return True

    def subscribe(self, callback):
        """Have `callback(replica)` called after each change of the revision."""
        self._subscribers.append(callback)

    async def wait_for(self, revision):
        """Return when the revision in force is at least as high as given."""
        while self.revision < revision:
            await self._changed.wait()

    def service_slice(self, service):
        """Return the `ServiceSlice` of a service, or None where it is unknown."""
        held = self._slices.get(service)
        return held and ServiceSlice(self.revision, *held)

    async def watch_store(self, store):
        """Follow the key of the configuration in the store until cancelled.

        An outage of the store never ends this loop; the configuration stays.
        """
        key, failures = config_key(self.deployment), 0
        while True:
            try:
                failures += 1
                async with store.watch(key, self._next_revision()) as watch:
                    async for change in watch:
                        failures = 1
                        if change.key == key:
                            self._take(change)
            except StoreError as exc:
                log.warning("Configuration watch failed: %s", exc)
            await trio.sleep(self._pause(failures))

    def _next_revision(self):
        return self.revision + 1 if self.revision else 0

    def _pause(self, failures):
        # A bounded exponent, since an outage may last for days.
        mean = min(self.cfg.retry_min * 2 ** min(failures - 1, 16), self.cfg.retry_max)
        return mean * self._rng.uniform(0.5, 1.5)

    def _take(self, change):
        if change.item is None:
            log.error("The configuration was deleted; %d stays.", self.revision)
        else:
            self.offer(change.item.mod_revision, change.item.value)

    def _update_slices(self, revision, new):
        old, slices = self.current, {}
        for name, service in new.services.items():
            unchanged = (
                name in self._slices
                and old.services[name] == service
                and old.retention == new.retention
            )
            slices[name] = (
                self._slices[name]
                if unchanged
                else (revision, content.encode_slice(new, name))
            )
        self._slices = slices

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()
        for callback in self._subscribers:
            callback(self)
