"""Replica of the configuration in one process."""

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
    """Settings for watching the configuration in the store.

    Attributes
    ----------
    retry_min : Duration
        Mean delay after the first failed watch; it doubles with each further one.
    retry_max : Duration
        Maximum of the mean delay; with jitter it stays well below the 15 s within
        which a change must be in force.
    """

    retry_min: Duration = Duration(0.2)
    retry_max: Duration = Duration(4.0)


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """Part of the configuration that the agents of a service need.

    Attributes
    ----------
    revision : int
        Revision in force.
    content_revision : int
        Last revision at which this process saw the content change; a peer that has
        the content of this revision needs only the new number.
    content : bytes
        Encoded by `hornbeamshore.config.content.encode_slice`.
    """

    revision: int
    content_revision: int
    content: bytes


class ConfigReplica:
    """Copy of the configuration that accepts only higher revisions.

    Parameters
    ----------
    deployment : str
        Name of the deployment; content of other deployments is refused.
    cfg : ReplicaSettings, optional
        Delays between watches.
    rng : random.Random, optional
        Source of the jitter.

    Attributes
    ----------
    revision : int
        Revision in force; 0 if there is none yet.
    content : bytes
        Encoded content in force, for peers with a lower revision.
    current : Deployment or None
        Deployment in force.
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
        self._revision_changed = trio.Event()

    def update(self, revision, data):
        """Bring encoded content into force if its revision is higher.

        Content that is invalid or of another deployment is refused, so that the
        current one stays in force.

        Returns
        -------
        bool
            Whether the content was accepted.
        """
        if revision <= self.revision:
            return False
        try:
            deployment = content.decode(data).deployment
        except content.ContentError as exc:
            log.error("configuration refused revision=%d: %s", revision, exc)
            return False
        if deployment.deployment != self.deployment:
            log.error(
                "configuration refused revision=%d deployment=%s",
                revision,
                deployment.deployment,
            )
            return False
        self._update_slices(revision, deployment)
        self.revision, self.content, self.current = revision, data, deployment
        log.info("configuration in force revision=%d", revision)
        self._notify()
        return True

    def subscribe(self, callback):
        """Register `callback(replica)` for calls after each change of the revision."""
        self._subscribers.append(callback)

    async def wait_for(self, revision):
        """Wait until the revision in force is at least `revision`."""
        while self.revision < revision:
            await self._revision_changed.wait()

    def service_slice(self, service):
        """Return the `ServiceSlice` of a service, or None if it is unknown."""
        stored_slice = self._slices.get(service)
        return stored_slice and ServiceSlice(self.revision, *stored_slice)

    async def watch_store(self, store):
        """Watch the configuration in the store until cancelled.

        A failed watch is retried after a delay; meanwhile the current configuration
        stays in force.
        """
        key, failures = config_key(self.deployment), 0
        while True:
            try:
                failures += 1
                async with store.watch(key, self._watch_start_revision()) as watch:
                    async for change in watch:
                        failures = 1
                        if change.key == key:
                            self._apply_change(change)
            except StoreError as exc:
                log.warning("configuration watch failed: %s", exc)
            await trio.sleep(self._retry_delay(failures))

    def _watch_start_revision(self):
        return self.revision + 1 if self.revision else 0

    def _retry_delay(self, failures):
        # The exponent is bounded, since the store may fail for days.
        mean_delay = min(
            self.cfg.retry_min * 2 ** min(failures - 1, 16), self.cfg.retry_max
        )
        return mean_delay * self._rng.uniform(0.5, 1.5)

    def _apply_change(self, change):
        if change.item is None:
            log.error(
                "configuration deleted in the store, kept revision=%d", self.revision
            )
        else:
            self.update(change.item.mod_revision, change.item.value)

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
        self._revision_changed.set()
        self._revision_changed = trio.Event()
        for callback in self._subscribers:
            callback(self)
