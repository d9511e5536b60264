"""Validation of a deployment file before it is applied."""

from dataclasses import dataclass

from returns.result import Failure, Success

from hornbeamshore.base.settings import convert
from hornbeamshore.base.validation import Violation, find_violations, short_repr
from hornbeamshore.base.yamltext import YamlParseError, parse_yaml
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
class CheckedDeployment:
    """Valid deployment, with warnings that do not prevent it from being applied."""

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
        Success of `CheckedDeployment`, or Failure of a tuple of `Finding`, sorted
        by line.
    """
    try:
        document = parse_yaml(text)
    except YamlParseError as exc:
        return Failure((Finding(exc.line, "$", short_repr(text), str(exc)),))
    violations = [*document.duplicate_keys, *find_violations(document.raw, Deployment)]
    if violations:
        return Failure(_to_findings(document, violations))
    deployment = convert(document.raw, Deployment)
    violations = [*_kind_violations(deployment), *_team_violations(deployment)]
    if violations:
        return Failure(_to_findings(document, violations))
    warnings = [] if announced is None else _unrunnable_kinds(deployment, announced)
    return Success(CheckedDeployment(deployment, _to_findings(document, warnings)))


def _to_findings(document, violations):
    findings = [
        Finding(
            document.line_of(violation.path),
            violation.json_path,
            violation.value,
            violation.rule,
        )
        for violation in violations
    ]
    return tuple(sorted(findings, key=lambda finding: finding.line))


def _iter_kinds(deployment):
    for service_name, service in deployment.services.items():
        for name, kind in service.kinds.items():
            yield ("services", service_name, "kinds", name), service_name, kind


def _kind_violations(deployment):
    for path, _, kind in _iter_kinds(deployment):
        deadline_text = kind.deadline.to_text()
        durations = {("expected_run",): kind.expected_run}
        if kind.objective:
            durations["objective", "good_within"] = kind.objective.good_within
        for field_path, value in durations.items():
            if value > kind.deadline:
                rule = f"must not exceed the deadline of the kind, {deadline_text}"
                yield Violation((*path, *field_path), value.to_text(), rule)


def _team_violations(deployment):
    teams_by_token = {}
    for name, team in deployment.teams.items():
        path = ("teams", name)
        for index, service in enumerate(team.services):
            if service not in deployment.services:
                rule = f"expected one of {', '.join(deployment.services)}"
                yield Violation((*path, "services", index), short_repr(service), rule)
        other_team = teams_by_token.setdefault(team.token_sha256, name)
        if other_team != name:
            rule = f"team {other_team} has the same token"
            yield Violation(
                (*path, "token_sha256"), short_repr(team.token_sha256), rule
            )


def _unrunnable_kinds(deployment, announced):
    for path, service, kind in _iter_kinds(deployment):
        targets = [set(labels) for labels in announced.get(service, ())]
        if not targets:
            yield Violation(
                path, short_repr(service), "no target of the service is announced"
            )
        elif not any(labels >= set(kind.requires) for labels in targets):
            rule = "no announced target has all these labels; the kind can never run"
            yield Violation((*path, "requires"), short_repr(list(kind.requires)), rule)
