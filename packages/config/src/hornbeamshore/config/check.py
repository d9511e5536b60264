"""Validation of a deployment file before it is applied."""

from dataclasses import dataclass

from returns.result import Failure, Success

from hornbeamshore.base.faults import Fault, find_faults, shown
from hornbeamshore.base.settings import convert
from hornbeamshore.base.yamltext import NotYaml, parse_yaml
from hornbeamshore.config.model import Deployment


@dataclass(frozen=True, slots=True)
class Finding:
    """Error or warning with its location in the file.

    Attributes
    ----------
    line : int
        Line number, from 1.
    path : str
        JSONPath of the value.
    value : str
        Value in Python notation, truncated.
    rule : str
        Rule that the value violates.
    """

    line: int
    path: str
    value: str
    rule: str

    def __str__(self):
        return f"line {self.line}: {self.path}: {self.value}: {self.rule}"


@dataclass(frozen=True, slots=True)
class Checked:
    """Valid deployment, with warnings that do not prevent its application."""

    deployment: Deployment
    warnings: tuple[Finding, ...]


def check_deployment(text, announced=None):
    """Validate the text of a deployment file.

    Parameters
    ----------
    text : str
        Content of the file.
    announced : mapping of str to iterable of set of str, optional
        Labels of each announced target, by service. Without it, there are no
        warnings about kinds that no target can run.

    Returns
    -------
    returns.result.Result
        Success of `Checked`, or Failure of a tuple of `Finding`, sorted by line.
    """
    try:
        document = parse_yaml(text)
    except NotYaml as exc:
        return Failure((Finding(exc.line, "$", shown(text), str(exc)),))
    faults = [*document.faults, *find_faults(document.raw, Deployment)]
    if faults:
        return Failure(_located(document, faults))
    deployment = convert(document.raw, Deployment)
    faults = [*_kind_faults(deployment), *_team_faults(deployment)]
    if faults:
        return Failure(_located(document, faults))
    warnings = [] if announced is None else _never_runnable(deployment, announced)
    return Success(Checked(deployment, _located(document, warnings)))


def _located(document, faults):
    found = [
        Finding(document.line_of(fault.path), fault.place, fault.value, fault.rule)
        for fault in faults
    ]
    return tuple(sorted(found, key=lambda finding: finding.line))


def _kinds(deployment):
    for service_name, service in deployment.services.items():
        for name, kind in service.kinds.items():
            yield ("services", service_name, "kinds", name), service_name, kind


def _kind_faults(deployment):
    for path, _, kind in _kinds(deployment):
        limit = kind.deadline.to_text()
        times = {("expected_run",): kind.expected_run}
        if kind.objective:
            times["objective", "good_within"] = kind.objective.good_within
        for step, value in times.items():
            if value > kind.deadline:
                rule = f"must not exceed the deadline of the kind, {limit}"
                yield Fault((*path, *step), value.to_text(), rule)


def _team_faults(deployment):
    tokens = {}
    for name, team in deployment.teams.items():
        path = ("teams", name)
        for index, service in enumerate(team.services):
            if service not in deployment.services:
                rule = f"expected one of {', '.join(deployment.services)}"
                yield Fault((*path, "services", index), shown(service), rule)
        owner = tokens.setdefault(team.token_sha256, name)
        if owner != name:
            rule = f"team {owner} has the same token"
            yield Fault((*path, "token_sha256"), shown(team.token_sha256), rule)


def _never_runnable(deployment, announced):
    for path, service, kind in _kinds(deployment):
        targets = [set(labels) for labels in announced.get(service, ())]
        if not targets:
            yield Fault(path, shown(service), "no target of the service is announced")
        elif not any(labels >= set(kind.requires) for labels in targets):
            rule = "no announced target has all these labels; the kind can never run"
            yield Fault((*path, "requires"), shown(list(kind.requires)), rule)
