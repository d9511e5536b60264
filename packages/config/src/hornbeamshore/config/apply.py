"""Storing a deployment as a single value with a compare-and-swap."""

from dataclasses import dataclass

import trio
from returns.result import Failure, Result, Success

from hornbeamshore.base.clock import random_id
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.units import Duration
from hornbeamshore.config import content
from hornbeamshore.config.model import Deployment
from hornbeamshore.store.base import (
    MAX_VALUE_BYTES,
    StoreError,
    StoreUnavailable,
    deployment_key,
)

CONFIG_KEY = "config"

log = PartLogger("config")


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Settings for reading back a write whose answer was lost.

    Attributes
    ----------
    read_back_attempts : int
        Maximum number of attempts to read the value.
    read_back_pause : Duration
        Pause between two attempts.
    """

    read_back_attempts: int = 20
    read_back_pause: Duration = Duration(0.5)


@dataclass(frozen=True, slots=True)
class StoredDeployment:
    """Deployment in the store.

    Attributes
    ----------
    revision : int
        Revision of the value; 0 if nothing was applied yet.
    deployment : Deployment or None
        Stored deployment; None if nothing was applied yet.
    """

    revision: int
    deployment: Deployment | None


@dataclass(frozen=True, slots=True)
class AppliedDeployment:
    """Outcome of a deployment that was written to the store.

    Attributes
    ----------
    revision : int
        Revision in the store, which all processes will bring into force.
    apply_id : str
        Random identifier of this write.
    differences : tuple of str
        Changes against the previous deployment.
    """

    revision: int
    apply_id: str
    differences: tuple[str, ...]


def config_key(deployment):
    """Return the key of a deployment's configuration in the store."""
    return deployment_key(deployment, CONFIG_KEY)


async def read_deployment(store, name):
    """Read the deployment that was applied last.

    Returns
    -------
    returns.result.Result
        Success of `StoredDeployment`, or Failure of a `Refusal`:
        ``STORE_UNAVAILABLE``, or ``CONFIG_INVALID`` if the value cannot be decoded.
    """
    try:
        current = await store.get(config_key(name))
    except StoreError as exc:
        return _unavailable(exc, RunState.NOT_RUN)
    return _decode(current)


async def apply_deployment(
    store, deployment, *, expected_revision=None, cfg=ApplySettings()
):
    """Write a validated deployment to the store.

    Parameters
    ----------
    expected_revision : int, optional
        Revision that the operator's file was based on, 0 for none; defaults to the
        revision in the store.
    cfg : ApplySettings, optional
        Settings for reading back after a lost answer.

    Returns
    -------
    returns.result.Result
        Success of `AppliedDeployment`, or Failure of a `Refusal`:
        ``CONFIG_CONFLICT`` if another revision was applied first,
        ``CONFIG_INVALID``, or ``STORE_UNAVAILABLE``.
    """
    key, apply_id = config_key(deployment.deployment), random_id()
    value = content.encode(deployment, apply_id)
    try:
        current = await store.get(key)
    except StoreError as exc:
        return _unavailable(exc, RunState.NOT_RUN)
    before = _check_change(deployment, value, current, expected_revision)
    if not isinstance(before, Success):
        return before
    result = await _write(store, key, value, apply_id, current, cfg)
    changes = describe_changes(before.unwrap(), deployment)
    return result.map(lambda revision: AppliedDeployment(revision, apply_id, changes))


def describe_changes(before, after):
    """Return a line for each difference between two deployments.

    Parameters
    ----------
    before : Deployment or None
        Previous deployment; None if nothing was applied yet.
    after : Deployment
        New deployment.

    Returns
    -------
    tuple of str
        Lines such as ``retention: 300s -> 600s``.
    """
    old = {} if before is None else content.to_builtins(before)
    return tuple(_differences(old, content.to_builtins(after), ""))


def _check_change(deployment, value, current, expected_revision):
    """Return Success of the previous deployment, None if there is none, or Failure."""
    if len(value) > MAX_VALUE_BYTES:
        detail = f"the compressed deployment has {len(value)} B; the limit is 1 MB"
        return Failure(refuse(ResultCode.CONFIG_INVALID, detail))
    revision = current.mod_revision if current else 0
    if expected_revision not in (None, revision):
        return _conflict(revision)
    stored = _decode(current)
    if current is None or not isinstance(stored, Success):
        return stored.map(lambda _: None)
    before = stored.unwrap().deployment
    return _check_partitions(before, deployment).map(lambda _: before)


def _decode(item):
    """Return Success of `StoredDeployment`, or Failure if it cannot be decoded."""
    if item is None:
        return Success(StoredDeployment(0, None))
    try:
        deployment = content.decode(item.value).deployment
    except content.ContentError as exc:
        detail = f"revision {item.mod_revision} in the store cannot be decoded: {exc}"
        return Failure(refuse(ResultCode.CONFIG_INVALID, detail))
    return Success(StoredDeployment(item.mod_revision, deployment))


def _check_partitions(before, after) -> Result:
    # A job key must map to the same partition for as long as its service exists.
    for name in before.services.keys() & after.services.keys():
        old, new = before.services[name].partitions, after.services[name].partitions
        if old != new:
            detail = f"$.services.{name}.partitions: {new}: cannot change from {old}"
            return Failure(refuse(ResultCode.CONFIG_INVALID, detail))
    return Success(None)


async def _write(store, key, value, apply_id, current, cfg):
    revision = current.mod_revision if current else 0
    try:
        outcome = await store.compare_and_swap(key, value, revision)
    except StoreUnavailable as exc:
        if not exc.maybe_written:
            return _unavailable(exc, RunState.NOT_RUN)
        return await _read_back(store, key, apply_id, revision, cfg)
    except StoreError as exc:
        return _unavailable(exc, RunState.NOT_RUN)
    if outcome.succeeded:
        return Success(outcome.revision)
    return _conflict(outcome.current.mod_revision if outcome.current else 0)


async def _read_back(store, key, apply_id, revision, cfg):
    log.info("write answer lost, reading back")
    error = None
    for _ in range(cfg.read_back_attempts):
        try:
            stored = await store.get(key)
        except StoreError as exc:
            error = exc
            await trio.sleep(cfg.read_back_pause)
            continue
        return _match_write(stored, apply_id, revision)
    return _unavailable(error, RunState.UNKNOWN)


def _match_write(stored, apply_id, revision):
    if stored is None or stored.mod_revision == revision:
        # The write may be delayed on the network and still reach the store.
        detail = f"the store still has revision {revision}; check again before a retry"
        return Failure(refuse(ResultCode.STORE_UNAVAILABLE, detail))
    try:
        if content.decode(stored.value).apply_id == apply_id:
            return Success(stored.mod_revision)
    except content.ContentError as exc:
        log.warning(
            "stored revision not decoded revision=%d: %s", stored.mod_revision, exc
        )
    # This write may have been in force before the other one replaced it.
    return _conflict(stored.mod_revision, RunState.UNKNOWN)


def _conflict(revision, run_state=None):
    detail = f"another operator applied revision {revision} first"
    return Failure(refuse(ResultCode.CONFIG_CONFLICT, detail, run_state=run_state))


def _unavailable(exc, run_state):
    code = ResultCode.STORE_UNAVAILABLE
    return Failure(refuse(code, str(exc), run_state=run_state))


def _differences(old, new, path):
    for name in sorted(old.keys() | new.keys()):
        field_path = f"{path}.{name}" if path else name
        if name not in new:
            yield f"{field_path}: removed"
        elif name not in old:
            yield f"{field_path}: added"
        elif isinstance(old[name], dict) and isinstance(new[name], dict):
            yield from _differences(old[name], new[name], field_path)
        elif old[name] != new[name]:
            yield f"{field_path}: {old[name]} -> {new[name]}"
