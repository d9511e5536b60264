"""Exit codes, failures and output that all operator commands share."""

import abc
import enum
import json
import sys
from dataclasses import dataclass

import trio

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.units import Duration


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    ``NOT_SO`` means that the command ran, but that the condition that it checks is not
    met or the operation that it requests did not succeed.
    """

    OK = 0
    NOT_SO = 1
    WRONG_INPUT = 2
    UNREACHABLE = 3
    INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command.

    Attributes
    ----------
    exit_code : ExitCode
        Exit code of the process.
    report : dict
        Value that is printed with ``--json``.
    lines : tuple of str
        Lines that are printed without ``--json``.
    """

    exit_code: ExitCode
    report: dict
    lines: tuple[str, ...]


class CommandFailed(Exception):  # noqa: N818
    """A command failed before it had an `Outcome`.

    Parameters
    ----------
    refusal : Refusal
        Result code and detail to print.
    exit_code : ExitCode
        Exit code of the process.
    """

    def __init__(self, refusal, exit_code):
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.exit_code = exit_code


class Command(abc.ABC):
    """Operator command: constructed from its arguments, then executed by `run`."""

    @abc.abstractmethod
    async def run(self):
        """Execute the command; return its `Outcome` or raise `CommandFailed`."""


def execute(command, *, as_json):
    """Run a command, print its result or failure and return the exit code."""
    try:
        outcome = trio.run(command.run)
    except CommandFailed as exc:
        print_failure(exc.refusal, as_json=as_json)
        return exc.exit_code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    text = json.dumps(outcome.report) if as_json else "\n".join(outcome.lines)
    print(text, flush=True)
    return outcome.exit_code


def print_failure(refusal, *, as_json=False):
    """Print a refusal to standard error, and with `as_json` to standard output."""
    code = ResultCode(refusal.code)
    print(f"hornbeamshore: {code:d} {code.name}: {refusal.detail}", file=sys.stderr)
    if as_json:
        print(json.dumps(refusal_report(refusal)), flush=True)


def refusal_report(refusal):
    """Return a refusal as a dict with the JSON keys of the HTTP interface."""
    return {
        "code": int(refusal.code),
        "name": ResultCode(refusal.code).name,
        "run_state": refusal.run_state.label,
        "detail": refusal.detail,
    }


def input_error(detail, code=ResultCode.MALFORMED_REQUEST):
    """Return a `CommandFailed` for invalid arguments, settings or input files."""
    return CommandFailed(refuse(code, detail), ExitCode.WRONG_INPUT)


def parse_duration(name, text):
    """Parse the value of a duration flag.

    Returns
    -------
    Duration
        Duration in seconds.

    Raises
    ------
    CommandFailed
        If the text is not a duration with a unit.
    """
    try:
        return Duration.parse(text)
    except ValueError as exc:
        raise input_error(f"--{name} {exc}") from exc


def parse_integer(name, text):
    """Parse the value of an integer flag; raise `CommandFailed` if it is invalid."""
    try:
        return int(text)
    except ValueError:
        raise input_error(f"--{name} {text!r}: expected a whole number") from None


def format_table(header, rows):
    """Return the lines of a table with aligned columns; empty if it has no rows."""
    if not rows:
        return ()
    cells = [tuple(str(cell) for cell in row) for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return tuple(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
