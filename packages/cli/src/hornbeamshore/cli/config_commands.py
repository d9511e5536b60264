"""The ``config`` commands: check and apply deployment files, show revisions."""

import dataclasses
from pathlib import Path

import trio
from returns.result import Success

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.cli import process_revisions
from hornbeamshore.cli.command import (
    Command,
    CommandFailed,
    ExitCode,
    Outcome,
    format_table,
    input_error,
    parse_duration,
    parse_integer,
    refusal_report,
)
from hornbeamshore.cli.operator import collect_reports, load_operator_settings
from hornbeamshore.config.apply import (
    apply_deployment,
    describe_changes,
    read_deployment,
)
from hornbeamshore.config.check import check_deployment
from hornbeamshore.store.etcd import EtcdStore

POLL_INTERVAL_S = 0.2


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
        text = _read_file(self._path)
        announced, note = await self._announced_labels()
        result = check_deployment(text, announced)
        if not isinstance(result, Success):
            return self._fault_outcome(result.failure())
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
            "warnings": _findings_report(checked.warnings),
            "targets_checked": announced is not None,
            "detail": note,
        }
        return Outcome(ExitCode.OK, report, tuple(lines))

    async def _announced_labels(self):
        """Return the label sets of the announced targets by service, and a note.

        The labels are None without settings or if no entry can be reached; the note
        then gives the reason, or is empty without settings.
        """
        if not self._settings:
            return None, ""
        cfg = load_operator_settings(self._settings)
        try:
            collected = await collect_reports(cfg)
        except CommandFailed as exc:
            return None, f"not checked against the announced targets: {exc}"
        announced = {}
        for report in collected.reports:
            for agent in report.status["agents"]:
                labels = announced.setdefault(agent["service"], [])
                labels.append(set(agent["labels"]))
        return announced, ""

    def _fault_outcome(self, faults):
        code = ResultCode.CONFIG_INVALID
        report = {
            "code": int(code),
            "name": code.name,
            "faults": _findings_report(faults),
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
        self._cfg = load_operator_settings(settings)
        self._wait_s = parse_duration("wait", wait)
        self._expected = parse_integer("expect", expect) if expect else None

    async def run(self):
        """Apply the file; return the changes and the processes that have them in force.

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
        result = check_deployment(_read_file(self._path))
        if not isinstance(result, Success):
            faults = "\n".join(f"{self._path}: {item}" for item in result.failure())
            raise input_error(f"the file has faults\n{faults}", _CONFIG_INVALID)
        deployment = result.unwrap().deployment
        if deployment.deployment != self._cfg.deployment:
            detail = (
                f"{self._path}: is for deployment {deployment.deployment};"
                f" the settings are for {self._cfg.deployment}"
            )
            raise input_error(detail, _CONFIG_INVALID)
        revision, changes = await self._apply(deployment)
        processes, reason = await self._wait_in_force(revision, deployment.services)
        missing = process_revisions.without_revision(
            processes, revision, deployment.services
        )
        return self._outcome(revision, changes, processes, missing, reason)

    async def _apply(self, deployment):
        """Write the deployment to the store; return its revision and the changes."""
        async with EtcdStore(self._cfg.store) as store:
            stored = _value_or_raise(
                await read_deployment(store, deployment.deployment)
            )
            changes = describe_changes(stored.deployment, deployment)
            if stored.deployment is not None and not changes:
                # An earlier run may have applied it and lost the answer of the store.
                return stored.revision, ()
            expected = stored.revision if self._expected is None else self._expected
            applied = _value_or_raise(
                await apply_deployment(store, deployment, expected_revision=expected)
            )
            return applied.revision, applied.differences

    async def _wait_in_force(self, revision, services):
        """Return the processes of the last poll, and the reason if there are none."""
        # The first poll is outside the timeout: a short wait still gets a result.
        processes, reason = await self._poll()
        with trio.move_on_after(self._wait_s):
            while not processes or process_revisions.without_revision(
                processes, revision, services
            ):
                await trio.sleep(POLL_INTERVAL_S)
                processes, reason = await self._poll()
        return processes, reason

    async def _poll(self):
        try:
            return process_revisions.list_revisions(
                await collect_reports(self._cfg)
            ), ""
        except CommandFailed as exc:
            return (), str(exc)

    def _outcome(self, revision, changes, processes, missing, reason):
        lines = [*changes] or ["no changes"]
        lines.append(f"applied as revision {revision}")
        report = {
            "code": 0,
            "revision": revision,
            "changes": list(changes),
            "in_force": [
                dataclasses.asdict(item)
                for item in processes
                if item.has_in_force(revision)
            ],
            "missing": [dataclasses.asdict(item) for item in missing],
        }
        if processes and not missing:
            lines.append(f"in force on {len(report['in_force'])} processes")
            return Outcome(ExitCode.OK, report, tuple(lines))
        names = ", ".join(_describe_missing(item) for item in missing) or reason
        refusal = refuse(
            ResultCode.NOT_IN_FORCE,
            f"revision {revision} is applied but not in force within"
            f" {self._wait_s.to_text()}: {names}",
        )
        lines.append(f"{refusal.code:d} {refusal.code.name}: {refusal.detail}")
        exit_code = ExitCode.NOT_SO if processes else ExitCode.UNREACHABLE
        return Outcome(exit_code, report | refusal_report(refusal), tuple(lines))


class ShowConfig(Command):
    """Show the configuration revision in force on each process.

    Parameters
    ----------
    settings : str
        Path of the operator's settings file.
    """

    def __init__(self, settings):
        self._cfg = load_operator_settings(settings)

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
        processes = process_revisions.list_revisions(await collect_reports(self._cfg))
        async with EtcdStore(self._cfg.store) as store:
            result = await read_deployment(store, self._cfg.deployment)
        stored = result.unwrap() if isinstance(result, Success) else None
        revision = (
            stored.revision if stored else process_revisions.newest_revision(processes)
        )
        services = _configured_services(stored)
        missing = process_revisions.without_revision(processes, revision, services)
        rows = [
            (
                item.process,
                _or_dash(item.revision),
                item.detail,
                _process_state(item, missing),
            )
            for item in processes
        ]
        lines = [
            f"store: {f'revision {revision}' if stored else result.failure().detail}"
        ]
        lines += format_table(("PROCESS", "REVISION", "PLACE", "STATE"), rows)
        report = {
            "code": int(ResultCode.NOT_IN_FORCE) if missing else 0,
            "revision": revision,
            "store_reached": stored is not None,
            "processes": [dataclasses.asdict(item) for item in processes],
            "missing": [item.process for item in missing],
        }
        exit_code = ExitCode.NOT_SO if missing or not revision else ExitCode.OK
        return Outcome(exit_code, report, tuple(lines))


_CONFIG_INVALID = ResultCode.CONFIG_INVALID


def _configured_services(stored):
    return stored.deployment.services if stored and stored.deployment else None


def _process_state(item, missing):
    if item.revision is None:
        return "no report"
    if item in missing:
        return "behind"
    return "in force" if item.revision else "service not configured"


def _describe_missing(item):
    if item.revision is None:
        return f"{item.process} sent no report ({item.detail})"
    return f"{item.process} has {item.revision}"


def _or_dash(value):
    return "-" if value is None else value


def _read_file(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise input_error(f"{path}: cannot be read: {exc}", _CONFIG_INVALID) from exc


def _findings_report(findings):
    return [dataclasses.asdict(item) for item in findings]


_EXIT_CODE_BY_RESULT = {
    ResultCode.CONFIG_CONFLICT: ExitCode.NOT_SO,
    ResultCode.CONFIG_INVALID: ExitCode.WRONG_INPUT,
    ResultCode.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
}


def _value_or_raise(result):
    if isinstance(result, Success):
        return result.unwrap()
    refusal = result.failure()
    raise CommandFailed(refusal, _EXIT_CODE_BY_RESULT[refusal.code])
