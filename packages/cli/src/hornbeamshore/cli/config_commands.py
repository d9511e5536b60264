"""The ``config`` commands: check and apply deployment files, show revisions."""

import dataclasses
from pathlib import Path

import trio
from returns.result import Success

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.cli import inforce
from hornbeamshore.cli.command import (
    Command,
    CommandFailed,
    ExitCode,
    Outcome,
    parse_duration,
    parse_integer,
    refusal_report,
    table_lines,
    wrong_input,
)
from hornbeamshore.cli.operator import gather, load_operator
from hornbeamshore.config.apply import apply_deployment, read_applied, summarize
from hornbeamshore.config.check import check_deployment
from hornbeamshore.store.etcd import EtcdStore

POLL_S = 0.2


class CheckConfig(Command):
    """Validate a deployment file.

    Parameters
    ----------
    path : str
        Deployment file.
    settings : str
        Path of the operator's settings file, to also check the file against the
        labels of the announced targets; empty to omit this check.
    """

    def __init__(self, path, settings=""):
        self._path = path
        self._settings = settings

    async def run(self):
        """Return the faults of the file, or its warnings if it has no faults.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if the file has faults.

        Raises
        ------
        CommandFailed
            If the file or the settings cannot be read.
        """
        text = _read(self._path)
        announced, note = await self._announced()
        result = check_deployment(text, announced)
        if not isinstance(result, Success):
            return self._faulty(result.failure())
        checked = result.unwrap()
        warnings = tuple(str(item) for item in checked.warnings)
        lines = [f"{self._path}: warning: {item}" for item in warnings]
        lines += [f"{self._path}: {note}"] if note else []
        deployment = checked.deployment
        kinds = sum(len(service.kinds) for service in deployment.services.values())
        lines.append(
            f"{self._path}: no faults; deployment {deployment.deployment},"
            f" {len(deployment.services)} services, {kinds} kinds,"
            f" {len(deployment.teams)} teams"
        )
        report = {
            "code": 0,
            "faults": [],
            "warnings": _findings(checked.warnings),
            "targets_checked": announced is not None,
            "detail": note,
        }
        return Outcome(ExitCode.OK, report, tuple(lines))

    async def _announced(self):
        """Return the label sets of the announced targets by service, and a note.

        The labels are None without settings or if no entry can be reached; the note
        then gives the reason, or is empty without settings.
        """
        if not self._settings:
            return None, ""
        cfg = load_operator(self._settings)
        try:
            gathered = await gather(cfg)
        except CommandFailed as exc:
            return None, f"not checked against the announced targets: {exc}"
        announced = {}
        for report in gathered.reports:
            for agent in report.status["agents"]:
                labels = announced.setdefault(agent["service"], [])
                labels.append(set(agent["labels"]))
        return announced, ""

    def _faulty(self, faults):
        code = ResultCode.CONFIG_INVALID
        report = {
            "code": int(code),
            "name": code.name,
            "faults": _findings(faults),
            "warnings": [],
        }
        lines = [f"{self._path}: {item}" for item in faults]
        lines.append(f"{self._path}: {code:d} {code.name}: {len(faults)} faults")
        return Outcome(ExitCode.NOT_SO, report, tuple(lines))


class ApplyConfig(Command):
    """Apply a deployment file and wait until it is in force on all processes.

    Parameters
    ----------
    path : str
        Deployment file.
    settings : str
        Path of the operator's settings file.
    wait : str
        Maximum time to wait until the revision is in force.
    expect : str
        Revision that the file is based on; empty for the one in the store.
    """

    def __init__(self, path, settings, wait, expect=""):
        self._path = path
        self._cfg = load_operator(settings)
        self._wait_s = parse_duration("wait", wait)
        self._expected = parse_integer("expect", expect) if expect else None

    async def run(self):
        """Apply the file and return the changes and the processes that have them.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if a process does not have the revision in force in
            time, ``UNREACHABLE`` if no entry sent a report.

        Raises
        ------
        CommandFailed
            If the file has faults or is of another deployment, if the stored
            revision is not the expected one, or if the store is unavailable.
        """
        result = check_deployment(_read(self._path))
        if not isinstance(result, Success):
            faults = "\n".join(f"{self._path}: {item}" for item in result.failure())
            raise wrong_input(f"the file has faults\n{faults}", _INVALID)
        deployment = result.unwrap().deployment
        if deployment.deployment != self._cfg.deployment:
            detail = (
                f"{self._path}: is for deployment {deployment.deployment};"
                f" the settings are for {self._cfg.deployment}"
            )
            raise wrong_input(detail, _INVALID)
        revision, changes = await self._apply(deployment)
        found, reason = await self._wait_in_force(revision, deployment.services)
        late = inforce.missing(found, revision, deployment.services)
        return self._outcome(revision, changes, found, late, reason)

    async def _apply(self, deployment):
        """Write the deployment to the store; return its revision and the changes."""
        async with EtcdStore(self._cfg.store) as store:
            before = _unwrap(await read_applied(store, deployment.deployment))
            changes = summarize(before.deployment, deployment)
            if before.deployment is not None and not changes:
                # An earlier run may have applied it and lost the answer of the store.
                return before.revision, ()
            expected = before.revision if self._expected is None else self._expected
            applied = _unwrap(
                await apply_deployment(store, deployment, expected_revision=expected)
            )
            return applied.revision, applied.differences

    async def _wait_in_force(self, revision, services):
        """Return the last known processes, and why there are none (else empty)."""
        # The first poll is outside the timeout: a short wait still gets a result.
        found, reason = await self._look()
        with trio.move_on_after(self._wait_s):
            while not found or inforce.missing(found, revision, services):
                await trio.sleep(POLL_S)
                found, reason = await self._look()
        return found, reason

    async def _look(self):
        try:
            return inforce.revisions(await gather(self._cfg)), ""
        except CommandFailed as exc:
            return (), str(exc)

    def _outcome(self, revision, changes, found, late, reason):
        lines = [*changes] or ["no changes"]
        lines.append(f"applied as revision {revision}")
        report = {
            "code": 0,
            "revision": revision,
            "changes": list(changes),
            "in_force": [
                dataclasses.asdict(item) for item in found if item.has(revision)
            ],
            "missing": [dataclasses.asdict(item) for item in late],
        }
        if found and not late:
            lines.append(f"in force on {len(report['in_force'])} processes")
            return Outcome(ExitCode.OK, report, tuple(lines))
        names = ", ".join(_described(item) for item in late) or reason
        refusal = refuse(
            ResultCode.NOT_IN_FORCE,
            f"revision {revision} is applied but not in force within"
            f" {self._wait_s.to_text()}: {names}",
        )
        lines.append(f"{refusal.code:d} {refusal.code.name}: {refusal.detail}")
        exit_code = ExitCode.NOT_SO if found else ExitCode.UNREACHABLE
        return Outcome(exit_code, report | refusal_report(refusal), tuple(lines))


class ShowConfig(Command):
    """Show the configuration revision in force on each process.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    """

    def __init__(self, settings):
        self._cfg = load_operator(settings)

    async def run(self):
        """Return the revision of each process.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if a process does not have the stored revision in
            force, or if there is no configuration. If the store is unavailable, the
            newest revision that a process reports stands for the stored one.

        Raises
        ------
        CommandFailed
            If no entry sent a report.
        """
        found = inforce.revisions(await gather(self._cfg))
        async with EtcdStore(self._cfg.store) as store:
            result = await read_applied(store, self._cfg.deployment)
        stored = result.unwrap() if isinstance(result, Success) else None
        revision = stored.revision if stored else inforce.newest(found)
        services = _services(stored)
        late = inforce.missing(found, revision, services)
        rows = [
            (item.process, _or_dash(item.revision), item.detail, _state(item, late))
            for item in found
        ]
        lines = [
            f"store: {f'revision {revision}' if stored else result.failure().detail}"
        ]
        lines += table_lines(("PROCESS", "REVISION", "DETAIL", "STATE"), rows)
        report = {
            "code": int(ResultCode.NOT_IN_FORCE) if late else 0,
            "revision": revision,
            "store_reached": stored is not None,
            "processes": [dataclasses.asdict(item) for item in found],
            "missing": [item.process for item in late],
        }
        exit_code = ExitCode.NOT_SO if late or not revision else ExitCode.OK
        return Outcome(exit_code, report, tuple(lines))


_INVALID = ResultCode.CONFIG_INVALID


def _services(stored):
    return stored.deployment.services if stored and stored.deployment else None


def _state(item, late):
    if item.revision is None:
        return "no report"
    if item in late:
        return "behind"
    return "in force" if item.revision else "service not configured"


def _described(item):
    if item.revision is None:
        return f"{item.process} sent no report ({item.detail})"
    return f"{item.process} has {item.revision}"


def _or_dash(value):
    return "-" if value is None else value


def _read(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise wrong_input(f"{path}: cannot be read: {exc}", _INVALID) from exc


def _findings(findings):
    return [dataclasses.asdict(item) for item in findings]


_EXIT_CODES = {
    ResultCode.CONFIG_CONFLICT: ExitCode.NOT_SO,
    ResultCode.CONFIG_INVALID: ExitCode.WRONG_INPUT,
    ResultCode.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
}


def _unwrap(result):
    if isinstance(result, Success):
        return result.unwrap()
    refusal = result.failure()
    raise CommandFailed(refusal, _EXIT_CODES[refusal.code])
