"""Tests of the ``trace`` command."""

import json

import pytest

ENTRY_LOG = """\
2026-12-04T10:00:00.100Z INFO entry: job refused id=a1 queue=q waited_ms=3
2026-12-04T10:00:00.300Z INFO entry: job answered id=a1 queue=q code=200
2026-12-04T10:00:00.301Z INFO entry: job answered id=a12 queue=q code=0
"""
AGENT_LOG = """\
  12.3 agent-1 2026-12-04T10:00:00.200Z WARNING agent: run stalled task=a1.0.0.3 run=1
a line of another program that names a1
"""


@pytest.mark.parametrize(
    ("job_id", "code", "times"),
    [
        ("a1", 0, [".100Z", ".200Z", ".300Z"]),
        ("a12", 0, [".301Z"]),
        ("a", 1, []),
    ],
    ids=["job and its task", "longer identifier", "unknown job"],
)
def test_trace_orders_lines_of_job_by_time(run_cli, tmp_path, job_id, code, times):
    """Guards against lines of other jobs, and missing lines of tasks."""
    for name, text in (("entry-1", ENTRY_LOG), ("agent-1", AGENT_LOG)):
        (tmp_path / name).write_text(text)
    files = [str(tmp_path / name) for name in ("agent-1", "entry-1")]
    exit_code, out, _ = run_cli("trace", job_id, *files, "--json")
    lines = json.loads(out)["lines"]
    assert exit_code == code
    assert [line["time"][-5:] for line in lines] == times
    assert all(line["text"].split()[0] in ("INFO", "WARNING") for line in lines)


def test_trace_line_names_its_log_file(run_cli, tmp_path):
    """Guards against lines that do not show which process logged them."""
    (tmp_path / "entry-1").write_text(ENTRY_LOG)
    _, out, _ = run_cli("trace", "a12", str(tmp_path / "entry-1"))
    assert out.split()[:3] == ["2026-12-04T10:00:00.301Z", "entry-1", "INFO"]
