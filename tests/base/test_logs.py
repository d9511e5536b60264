"""Tests of log lines: their format, the rate limit and a blocked or closed pipe."""

import logging
import os
import re

import pytest

from hornbeamshore.base import logs
from hornbeamshore.base.logs import NonBlockingHandler

LINE = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z (INFO|WARNING) "
    r"entry: job answered id=\w+\n"
)


def make_record(message="entry: job answered id=a1", level=logging.INFO):
    return logging.LogRecord("absl", level, "f.py", 1, message, (), None)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("level", [logging.INFO, logging.WARNING])
def test_record_is_formatted_as_one_line(pipe, level):
    """Guards against lines that a program cannot parse or sort by time."""
    reader, writer = pipe
    NonBlockingHandler(writer).emit(make_record(level=level))
    assert LINE.fullmatch(os.read(reader, 1000).decode())


def test_line_breaks_are_escaped(pipe):
    """Guards against text from a caller that forges another log line."""
    reader, writer = pipe
    NonBlockingHandler(writer).emit(make_record("entry: malformed\nentry: stopped"))
    assert os.read(reader, 1000).count(b"\n") == 1


def test_blocked_reader_does_not_block_logging(pipe):
    """Guards against requests that block on a slow reader of the logs."""
    reader, writer = pipe
    handler = NonBlockingHandler(writer)
    for _ in range(5000):
        handler.emit(make_record())
    text = _read_pipe(reader)
    handler.emit(make_record())
    text += _read_pipe(reader)
    lines = text.decode().splitlines(keepends=True)
    notices = [line for line in lines if line.endswith(" log lines not written\n")]
    assert len(notices) == 1
    assert all(LINE.fullmatch(line) for line in lines if line not in notices)


@pytest.mark.parametrize(
    ("lines", "written", "dropped"),
    [(50, 50, None), (1000, 50, "entry: dropped 950 log lines")],
    ids=["at the limit", "flood"],
)
def test_rate_of_lines_is_limited(monkeypatch, caplog, lines, written, dropped):
    """Guards against many refused requests that flood the log."""
    now = [100.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    log = logs.PartLogger("entry")
    with caplog.at_level("INFO", "absl"):
        for number in range(lines):
            log.info("job refused id=%d", number)
        assert len(caplog.messages) == written
        now[0] += 1.0
        log.info("stopped")
    assert (dropped in caplog.messages) is (dropped is not None)
    assert caplog.messages[-1] == "entry: stopped"


def test_closed_reader_is_ignored():
    """Guards against a process that exits when the reader of its logs exits."""
    reader, writer = os.pipe()
    os.close(reader)
    handler = NonBlockingHandler(writer)
    handler.emit(make_record())
    handler.emit(make_record())
    os.close(writer)


def _read_pipe(descriptor):
    """Return all bytes that are buffered in a pipe."""
    return os.read(descriptor, 2**20)
