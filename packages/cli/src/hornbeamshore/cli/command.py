"""What all commands of operators share: exit codes, failures and output."""

import abc
import enum
import json
import sys
from dataclasses import dataclass

import trio

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.units import Duration


class ExitCode(enum.IntEnum):
    """Exit code of a command, for scripts."""

    OK = 0
    NOT_SO = 1
    WRONG_INPUT = 2
    UNREACHABLE = 3
    INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a command.

    Attributes
    ----------
    report : dict
        What ``--json`` prints.
    lines : tuple of str
        What is printed without it.
    """

    exit_code: ExitCode
    report: dict
    lines: tuple[str, ...]


class CommandFailed(Exception):  # noqa: N818
    """A command ends without an outcome.

    Parameters
    ----------
    refusal : Refusal
        Numbered reason.
    exit_code : ExitCode
        How the process ends.
    """

    def __init__(self, refusal, exit_code):
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.exit_code = exit_code


class Command(abc.ABC):
    """Command of an operator, made from its arguments and not yet run."""

    @abc.abstractmethod
    async def run(self):
        """Return the `Outcome`; raise `CommandFailed` if there is none."""


def execute(command, *, as_json):
    """Run a command, print what it found and return its exit code."""
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
    """Print a numbered reason; `as_json` adds it to the standard output."""
    code = ResultCode(refusal.code)
    print(f"hornbeamshore: {code:d} {code.name}: {refusal.detail}", file=sys.stderr)
    if as_json:
        print(json.dumps(refusal_report(refusal)), flush=True)


def refusal_report(refusal):
    """Return a refusal as plain values, with the keys of HTTP answers."""
    return {
        "code": int(refusal.code),
        "name": ResultCode(refusal.code).name,
        "run_state": refusal.run_state.label,
        "detail": refusal.detail,
    }


def wrong_input(detail, code=ResultCode.MALFORMED_REQUEST):
    """Return the failure of a command whose arguments or files are wrong."""
    return CommandFailed(refuse(code, detail), ExitCode.WRONG_INPUT)


def parse_duration(name, text):
    """Return the duration that an argument gives.

    Raises
    ------
    CommandFailed
        If the text is no duration.
    """
    try:
        return Duration.parse(text)
    except ValueError as exc:
        raise wrong_input(f"--{name} {exc}") from exc


def parse_integer(name, text):
    """Return the integer that an argument gives; raise `CommandFailed` if none."""
    try:
        return int(text)
    except ValueError:
        raise wrong_input(f"--{name} {text!r}: expected a whole number") from None


def table_lines(head, rows):
    """Return the lines of a table with aligned columns, none without rows."""
    if not rows:
        return ()
    cells = [tuple(str(cell) for cell in row) for row in (head, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return tuple(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
