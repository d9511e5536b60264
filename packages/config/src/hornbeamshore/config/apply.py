"""Application of a deployment as one value by one compare-and-swap."""

from dataclasses import dataclass

import trio
from returns.result import Failure, Result, Success

from hornbeamshore.base.clock import random_id
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.units import Duration
from hornbeamshore.config import content
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
    """Settings of reading back after an answer was lost.

    Attributes
    ----------
    read_back_tries : int
        Number of tries to read the value.
    read_back_pause : Duration
        Pause between two tries.
    """

    read_back_tries: int = 20
    read_back_pause: Duration = Duration(0.5)


@dataclass(frozen=True, slots=True)
class Applied:
    """Deployment that was applied.

    Attributes
    ----------
    revision : int
        Revision that will be in force in all processes.
    differences : tuple of str
        Changes against the deployment before.
    """

    revision: int
    apply_id: str
    differences: tuple[str, ...]


def config_key(deployment):
    """Return the key in the store of a deployment's configuration."""
    return deployment_key(deployment, CONFIG_KEY)


async def apply_deployment(
    store, deployment, *, expected_revision=None, cfg=ApplySettings()
):
    """Apply a checked deployment as a whole.

    Parameters
    ----------
    expected_revision : int, optional
        Revision that the operator's file was based on, 0 for none; by default the
        one in the store.

    Returns
    -------
    returns.result.Result
        Success of `Applied` or Failure of `Refusal`: ``CONFIG_CONFLICT`` when
        another change came first, ``CONFIG_INVALID``, or ``STORE_UNAVAILABLE``.
    """
    key, apply_id = config_key(deployment.deployment), random_id()
    value = content.encode(deployment, apply_id)
    try:
        current = await store.get(key)
    except StoreError as exc:
        return _unavailable(exc, RunState.NOT_RUN)
    before = _check(deployment, value, current, expected_revision)
    if not isinstance(before, Success):
        return before
    result = await _write(store, key, value, apply_id, current, cfg)
    changes = summarize(before.unwrap(), deployment)
    return result.map(lambda revision: Applied(revision, apply_id, changes))


def summarize(before, after):
    """Return a line for each difference between two deployments.

    Parameters
    ----------
    before : Deployment or None
        None where nothing was applied yet.
    after : Deployment
    """
    old = {} if before is None else content.to_builtins(before)
    return tuple(_differences(old, content.to_builtins(after), ""))


def _check(deployment, value, current, expected_revision):
    """Return Success of the deployment before, None for none, or Failure."""
    if len(value) > MAX_VALUE_BYTES:
        detail = f"the compressed deployment has {len(value)} B; at most 1 MB fit"
        return Failure(refuse(ResultCode.CONFIG_INVALID, detail))
    revision = current.mod_revision if current else 0
    if expected_revision not in (None, revision):
        return _conflict(revision)
    if current is None:
        return Success(None)
    try:
        before = content.decode(current.value).deployment
    except content.ContentError as exc:
        detail = f"revision {revision} in the store cannot be read: {exc}"
        return Failure(refuse(ResultCode.CONFIG_INVALID, detail))
    return _check_partitions(before, deployment).map(lambda _: before)


def _check_partitions(before, after) -> Result:
    # The key of a job must map to the same place of record while its service exists.
    for name in before.services.keys() & after.services.keys():
        old, new = before.services[name].partitions, after.services[name].partitions
        if old != new:
            detail = f"$.services.{name}.partitions: {new}: must stay {old}"
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
    log.info("The answer to a write was lost; reading back.")
    error = None
    for _ in range(cfg.read_back_tries):
        try:
            found = await store.get(key)
        except StoreError as exc:
            error = exc
            await trio.sleep(cfg.read_back_pause)
            continue
        return _judge(found, apply_id, revision)
    return _unavailable(error, RunState.UNKNOWN)


def _judge(found, apply_id, revision):
    if found is None or found.mod_revision == revision:
        # The write may still be on its way to the store.
        detail = f"the store still holds revision {revision}; ask again before a retry"
        return Failure(refuse(ResultCode.STORE_UNAVAILABLE, detail))
    try:
        if content.decode(found.value).apply_id == apply_id:
            return Success(found.mod_revision)
    except content.ContentError as exc:
        log.warning("Revision %d cannot be read: %s", found.mod_revision, exc)
    # This change may have been in force before the one that is found now.
    return _conflict(found.mod_revision, RunState.UNKNOWN)


def _conflict(revision, run_state=None):
    detail = f"another operator applied revision {revision} first"
    return Failure(refuse(ResultCode.CONFIG_CONFLICT, detail, run_state=run_state))


def _unavailable(exc, run_state):
    code = ResultCode.STORE_UNAVAILABLE
    return Failure(refuse(code, str(exc), run_state=run_state))


def _differences(old, new, path):
    for name in sorted(old.keys() | new.keys()):
        place = f"{path}.{name}" if path else name
        if name not in new:
            yield f"{place}: removed"
        elif name not in old:
            yield f"{place}: added"
        elif isinstance(old[name], dict) and isinstance(new[name], dict):
            yield from _differences(old[name], new[name], place)
        elif old[name] != new[name]:
            yield f"{place}: {old[name]} -> {new[name]}"
