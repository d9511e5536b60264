"""Tests of the validation of deployment files, the examples and the reference."""

from pathlib import Path

import pytest

from hornbeamshore.config import check, reference
from hornbeamshore.config.model import Urgency

ROOT = Path(__file__).parents[2]
VALID = f"""\
deployment: tayside
services:
  desk:
    kinds:
      quote: {{deadline: 5s, requires: [saw]}}
      check: {{}}
teams:
  sales: {{token_sha256: {"a" * 64}, quota_slots: 4, services: [desk]}}
"""

INVALID_CHANGES = {
    "several errors": (
        {"deadline: 5s": "deadline: 5", "check: {}": "check: {urgency: now}"}
        | {"quota_slots: 4": "quota: 4", "tayside": "Tay side"},
        [
            (1, "$.deployment", "'Tay side'", "expected `str` matching regex"),
            (5, "$.services.desk.kinds.quote.deadline", "5", "expected a number with"),
            (6, "$.services.desk.kinds.check.urgency", "'now'", "expected one of urg"),
            (8, "$.teams.sales.quota", "4", "unknown key"),
            (8, "$.teams.sales.quota_slots", "(absent)", "required field"),
        ],
    ),
    "expected run longer than deadline": (
        {"deadline: 5s": "deadline: 5ms"},
        [(5, "$.services.desk.kinds.quote.expected_run", "0.2s", "must not exceed")],
    ),
    "objective longer than deadline": (
        {"check: {}": "check: {objective: {good_within: 20s, target: 0.9}}"},
        [(6, "$.services.desk.kinds.check.objective.good_within", "20s", "must not")],
    ),
    "unknown service of a team": (
        {"[desk]": "[desk, disk]"},
        [(8, "$.teams.sales.services[1]", "'disk'", "expected one of desk")],
    ),
    "token of another team": (
        {"teams:": f"teams:\n  shop: {{token_sha256: {'a' * 64}, quota_slots: 1}}"},
        [(9, "$.teams.sales.token_sha256", "'aaa", "team shop has the same token")],
    ),
    "duplicate kind": (
        {"check:": "quote:"},
        [(6, "$.services.desk.kinds.quote", "'quote'", "duplicate key")],
    ),
    "no kinds": (
        {"  desk:": "  bare: {kinds: {}}\n  desk:"},
        [(3, "$.services.bare.kinds", "{}", "expected a mapping of length >= 1")],
    ),
    "not YAML": ({"check: {}": "check: {"}, [(8, "$", "'deploy", "not YAML")]),
}


@pytest.mark.parametrize(
    ("changes", "expected"), INVALID_CHANGES.values(), ids=INVALID_CHANGES
)
def test_all_errors_are_found(changes, expected):
    """Guards against an error that is accepted or that hides others."""
    text = VALID
    for old, new in changes.items():
        text = text.replace(old, new)
    findings = check.check_deployment(text).failure()
    assert len(findings) == len(expected)
    for finding, (line, path, value, rule) in zip(findings, expected, strict=True):
        assert (finding.line, finding.path) == (line, path)
        assert finding.value.startswith(value)
        assert finding.rule.startswith(rule)


@pytest.mark.parametrize(
    ("announced", "paths"),
    [
        (None, []),
        ({"desk": [{"saw", "x"}]}, []),
        ({"desk": [{"x"}, set()]}, ["$.services.desk.kinds.quote.requires"]),
        (
            {"other": [{"saw"}]},
            ["$.services.desk.kinds.quote", "$.services.desk.kinds.check"],
        ),
    ],
    ids=["targets not given", "runnable", "missing label", "no targets"],
)
def test_kinds_without_capable_target_give_warnings(announced, paths):
    """Guards against a kind whose requests all wait in vain for a target."""
    checked = check.check_deployment(VALID, announced).unwrap()
    assert [warning.path for warning in checked.warnings] == paths


@pytest.mark.parametrize(
    ("name", "urgencies", "not_repeatable"),
    [
        ("tayside", {Urgency.URGENT}, ["slot-hold"]),
        ("knipling", set(Urgency), ["die-order"]),
    ],
)
def test_examples_are_complete(name, urgencies, not_repeatable):
    """Guards against an invalid example, or one that repeats work by mistake."""
    text = (ROOT / "examples" / f"{name}.yaml").read_text(encoding="utf-8")
    deployment = check.check_deployment(text).unwrap().deployment
    kinds = dict(*(service.kinds for service in deployment.services.values()))
    assert deployment.deployment == name
    assert {kind.urgency for kind in kinds.values()} == urgencies
    assert [n for n, kind in kinds.items() if not kind.repeatable] == not_repeatable
    assert all(kind.objective for kind in kinds.values())
    assert all(team.quota_slots for team in deployment.teams.values())


def test_reference_page_equals_the_model():
    """Guards against a page with other defaults or bounds than the code."""
    page = (ROOT / "docs" / "configuration.md").read_text(encoding="utf-8")
    rows = [line for line in page.splitlines() if line.startswith("| `")]
    assert rows == reference.reference_rows()
