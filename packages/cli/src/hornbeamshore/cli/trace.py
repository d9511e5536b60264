"""The ``trace`` command: log lines of several processes about one job."""

import re
from dataclasses import asdict, dataclass
from pathlib import Path

from hornbeamshore.cli.command import Command, ExitCode, Outcome, input_error

# Format of `hornbeamshore.base.logs.LineFormatter`. A log collector may prefix it with
# its own timestamp and the name of the process.
_LOG_LINE = re.compile(
    r"(?P<time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z) (?P<text>[A-Z]+ .*)"
)


@dataclass(frozen=True, slots=True)
class TraceLine:
    """Log line that mentions the job.

    Attributes
    ----------
    time : str
        UTC time as in the log, ISO 8601 in ms; sorts lexically.
    source : str
        Name of the log file.
    text : str
        Level, component, event and fields.
    """

    time: str
    source: str
    text: str


class TraceJob(Command):
    """Show the log lines that mention a job or one of its tasks, ordered by time.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    files : sequence of str
        Log files, one for each process.
    """

    def __init__(self, job_id, files):
        if not job_id or not files:
            raise input_error("a job identifier and at least one log file are required")
        # A task id is the job id, a dot and numbers. An identifier that only contains
        # this one, such as a12 for a1, is another job.
        self._mentions_job = re.compile(
            rf"(?<![\w-]){re.escape(job_id)}(?![\w-])"
        ).search
        self._job_id = job_id
        self._files = files

    async def run(self):
        """Return the matching lines of all logs.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if no log mentions the job.

        Raises
        ------
        CommandFailed
            If a log cannot be read.
        """
        trace_lines = sorted(
            (line for file in self._files for line in self._matching_lines(Path(file))),
            key=lambda line: line.time,
        )
        exit_code = ExitCode.OK if trace_lines else ExitCode.NOT_SO
        width = max((len(line.source) for line in trace_lines), default=0)
        lines = [
            f"{line.time} {line.source:{width}} {line.text}" for line in trace_lines
        ]
        report = {"id": self._job_id, "lines": [asdict(line) for line in trace_lines]}
        return Outcome(exit_code, report, tuple(lines) or ("no log mentions this job",))

    def _matching_lines(self, path):
        """Yield the lines of one log that mention the job."""
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for line in file:
                    match = _LOG_LINE.search(line)
                    if match and self._mentions_job(match["text"]):
                        yield TraceLine(match["time"], path.name, match["text"])
        except OSError as exc:
            raise input_error(f"{path}: {exc.strerror}") from exc
