"""Metrics of an entry, and the documentation of metrics and result codes."""

from pathlib import Path

import pytest

from hornbeamshore.base.codes import CODE_TABLE, ResultCode
from hornbeamshore.base.settings import Duration
from hornbeamshore.config.model import Deployment, Kind, Objective, Service
from hornbeamshore.entry import metrics as metrics_module
from hornbeamshore.entry.http_api import AnsweredSubmission
from hornbeamshore.entry.metrics import METRICS, EntryMetrics
from hornbeamshore.entry.objectives import BurnWindows
from hornbeamshore.entry.observer import EntryObserver

DOCS = Path(__file__).parents[2] / "docs"


def table_rows(page):
    """Return the cells of the table rows of a Markdown page, without header rows."""
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    rows = [
        [cell.strip().strip("`") for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("|")
    ]
    return [row for row in rows if row[0][:1].isdigit() or row[0].startswith("horn")]


CODE_ROWS = [
    [
        str(int(code)),
        code.name,
        info.run_state.label,
        str(info.http_status),
        info.meaning,
    ]
    for code, info in CODE_TABLE.items()
]
METRIC_ROWS = [
    [spec.name, spec.kind, ", ".join(spec.labels) or "none", spec.meaning]
    for spec in METRICS
]


@pytest.mark.parametrize(
    ("page", "expected"), [("result-codes.md", CODE_ROWS), ("metrics.md", METRIC_ROWS)]
)
def test_documentation_matches_code(page, expected):
    """Guards against outdated documentation of result codes and metrics."""
    rows = table_rows(page)
    assert [row[: len(expected[0])] for row in rows] == expected
    assert all(cell for row in rows for cell in row)


def test_code_table_has_every_result_code():
    """Guards against a code without a run state or an HTTP status."""
    assert list(CODE_TABLE) == list(ResultCode)


def test_page_shows_recorded_values(snapshot):
    """Guards against recorded events that do not change their metrics."""
    metrics = EntryMetrics()
    for code in (0, 200, 301, 12345):
        metrics.count_answer("s", "k", code, 0.02)
    metrics.observe_queue_time("s", "k", 0.001)
    metrics.count_retry("s", "k")
    metrics.set_targets("s", 88, 7, {"live": 11, "lost": 1})
    metrics.count_peer_traffic("agent", "out", 3, 900)
    metrics.set_config_revision(42)
    metrics.count_store_call("put", "ok", 0.004)
    lines = metrics.render().decode().splitlines()
    samples = [line for line in lines if line[0] != "#" and "_created" not in line]
    assert samples == snapshot


def test_kind_labels_are_limited(monkeypatch):
    """Guards against a metrics page that grows with each kind named in a request."""
    monkeypatch.setattr(metrics_module, "MAX_KIND_LABELS", 2)
    metrics = EntryMetrics()
    for number in range(9):
        metrics.count_answer("s", f"k{number}", 0, 0.1)
    page = metrics.render().decode()
    assert 'response_seconds_count{kind="other",service="other"} 7.0' in page
    assert "k2" not in page


@pytest.mark.parametrize(
    ("kind", "code", "events"), [("k", 0, 1), ("k", 103, 0), ("plain", 0, 0)]
)
def test_observer_updates_metrics_and_windows(service, kind, code, events):
    """Guards against answers counted only in the metrics or only in the windows."""
    objective = Objective(Duration(1.0), 0.9)
    kinds = {"k": Kind(objective=objective), "plain": Kind()}
    deployment = Deployment("d", {"s": Service(kinds)})
    service.deployment = lambda: deployment
    windows = BurnWindows()
    observer = EntryObserver(EntryMetrics(), windows, service)
    observer.record_answer(AnsweredSubmission("s", kind, code, 0.1))
    assert f'code="{code}",kind="{kind}"'.encode() in observer.metrics_page()
    assert len(windows._series) == events
