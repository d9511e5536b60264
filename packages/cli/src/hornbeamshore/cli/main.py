"""Command-line interface for operators and for starting the entry daemon."""

import contextlib
import io
import json
import sys
from dataclasses import dataclass
from functools import partial

import fire
import trio

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.logs import configure_logs
from hornbeamshore.base.settings import SettingsError, load_settings
from hornbeamshore.cli.command import (
    CommandFailed,
    ExitCode,
    execute,
    print_failure,
)
from hornbeamshore.cli.helptext import find_command, format_help

PROGRAM = "hornbeamshore"
BOOLEAN_FLAGS = ("--json",)


@dataclass(frozen=True, slots=True)
class _PendingCommand:
    """Command with parsed arguments that has not run yet.

    fire looks up surplus arguments as members of the value that a command returns.
    Commands therefore only run after fire has accepted all arguments, and the fields
    here are private so that no argument can name them.
    """

    _create_command: object
    _as_json: bool = False


def _parse_as_text(command):
    # By default fire parses 17 as an integer and 1e3 as a float; both are valid ids.
    return fire.decorators.SetParseFn(str)(command)


class ConfigCommands:
    """Check and apply deployment files, and show the revision in force."""

    @_parse_as_text
    def check(self, file, *, settings="", json=False):
        """Check a deployment file and print all its faults.

        A fault is printed with its line, path, value and rule. Exit code 1: the file
        has faults.

        Parameters
        ----------
        file : str
            Deployment file.
        settings : str
            Settings file of the operator. If given, kinds that no announced target
            can run are reported as warnings.
        json : bool
            Print the result as JSON.
        """
        from hornbeamshore.cli.config_commands import CheckConfig

        return _PendingCommand(partial(CheckConfig, file, settings), _is_flag_set(json))

    @_parse_as_text
    def apply(self, file, *, settings, wait="15s", expect="", json=False):
        """Apply a deployment file as a whole and wait until it is in force.

        Prints the changes and the new revision. Exit code 1: the stored revision is
        not the expected one, because another operator applied a change first (601),
        or the revision is not in force on all processes in time (603); the
        processes without it are listed. The command is safe to repeat.

        Parameters
        ----------
        file : str
            Deployment file.
        settings : str
            Settings file of the operator.
        wait : str
            Maximum time to wait until the revision is in force on all processes.
        expect : str
            Revision that the file is based on; any other revision in the store is a
            conflict. By default the one in the store.
        json : bool
            Print the result as JSON.
        """
        from hornbeamshore.cli.config_commands import ApplyConfig

        command = partial(ApplyConfig, file, settings, wait, expect)
        return _PendingCommand(command, _is_flag_set(json))

    @_parse_as_text
    def show(self, *, settings, json=False):
        """Show the revision in force on each entry and agent.

        Exit code 1: a process does not have the stored revision in force, or there is
        no configuration.

        Parameters
        ----------
        settings : str
            Settings file of the operator.
        json : bool
            Print the result as JSON.
        """
        from hornbeamshore.cli.config_commands import ShowConfig

        return _PendingCommand(partial(ShowConfig, settings), _is_flag_set(json))


class Commands:
    """Dispatcher for sub-second tasks."""

    def __init__(self):
        self.config = ConfigCommands()

    @_parse_as_text
    def entry(self, *, settings):
        """Run an entry: serve callers, own partitions, dispatch to agents.

        On SIGTERM the entry hands its partitions over to other entries and exits; on
        a second SIGTERM it exits at once.

        Parameters
        ----------
        settings : str
            Settings file of the entry.
        """
        return _PendingCommand(partial(run_entry, settings))

    @_parse_as_text
    def submit(
        self,
        file="",
        *,
        settings,
        service="",
        kind="",
        body="",
        id="",
        deadline="",
        submitted_at="",
        tries="5",
        json=False,
    ):
        """Submit a job over HTTP and print the complete answer.

        The job is read from a JSON file with the body of POST /v1/jobs, from the
        arguments, or from both. It is resubmitted with the same identifier if the
        answer is lost or has code 203, 401 or 403. Exit code 1: the code of the
        answer is not 0.

        Parameters
        ----------
        file : str
            JSON file of the job.
        settings : str
            Settings file of the operator, with http and token_file.
        service : str
            Service; overrides the file.
        kind : str
            Kind of work; overrides the file.
        body : str
            JSON body of a single task; overrides the tasks of the file.
        id : str
            Identifier; random if neither the arguments nor the file give one.
        deadline : str
            Time within which the job must be answered, such as 1500ms.
        submitted_at : str
            Unix time of the first submission in ms; now by default.
        tries : str
            Maximum number of times that the job is sent.
        json : bool
            Print the answer as JSON.
        """
        from hornbeamshore.cli.submit import JobArguments, SubmitJob

        job = JobArguments(file, id, service, kind, body, deadline, submitted_at)
        return _PendingCommand(
            partial(SubmitJob, job, settings, tries), _is_flag_set(json)
        )

    @_parse_as_text
    def status(self, *, settings, json=False):
        """Show entries, partitions, agents and targets.

        Exit code 1: an entry of the owner table sent no report, or a partition has
        no owner.

        Parameters
        ----------
        settings : str
            Settings file of the operator.
        json : bool
            Print the reports of all entries as JSON.
        """
        from hornbeamshore.cli.status import ShowStatus

        return _PendingCommand(partial(ShowStatus, settings), _is_flag_set(json))

    @_parse_as_text
    def trace(self, id, /, *files, json=False):
        """Show the log lines of several processes about one job, ordered by time.

        Exit code 1: no log mentions the job.

        Parameters
        ----------
        id : str
            Identifier of the job.
        files : str
            Log files, one for each process.
        json : bool
            Print the lines as JSON.
        """
        from hornbeamshore.cli.trace import TraceJob

        return _PendingCommand(partial(TraceJob, id, files), _is_flag_set(json))

    @_parse_as_text
    def burn(self, *, settings, html="", json=False):
        """Show the burn rates of the service-level objectives.

        A burn rate of 1 consumes exactly the error budget. Alert page: at least
        14.4 over 1 h and 5 min; ticket: at least 6 over 6 h and 30 min. Exit code 1:
        a kind has an alert, or an entry sent no report.

        Parameters
        ----------
        settings : str
            Settings file of the operator.
        html : str
            Also write an HTML page with plots to this file.
        json : bool
            Print the merged report as JSON.
        """
        from hornbeamshore.cli.burn import ShowBurn

        return _PendingCommand(partial(ShowBurn, settings, html), _is_flag_set(json))


def run_entry(path):
    """Run the entry daemon with a settings file until it ends; return the exit code."""
    from hornbeamshore.entry.daemon import (
        AddressInUse,
        EntryDaemon,
        run_until_signal,
    )
    from hornbeamshore.entry.settings import EntrySettings

    try:
        cfg = load_settings(path, EntrySettings)
        configure_logs(cfg.log_level)
        trio.run(run_until_signal, EntryDaemon(cfg), _print_addresses)
    except SettingsError as exc:
        print_failure(refuse(ResultCode.SETTINGS_INVALID, str(exc)))
    except AddressInUse as exc:
        print_failure(refuse(ResultCode.ADDRESS_IN_USE, str(exc)))
    else:
        return ExitCode.OK
    return ExitCode.WRONG_INPUT


def _print_addresses(daemon):
    line = {"http": daemon.http_address, "peer": daemon.peer_address}
    print(json.dumps(line), flush=True)


def _is_flag_set(text):
    return str(text) == "True"


def _run_pending(pending):
    try:
        command = pending._create_command()
    except CommandFailed as exc:
        print_failure(exc.refusal, as_json=pending._as_json)
        return exc.exit_code
    if isinstance(command, ExitCode):
        return command
    return execute(command, as_json=pending._as_json)


def main(argv=None):
    """Run the command that the arguments name and exit with its exit code."""
    args = sys.argv[1:] if argv is None else list(argv)
    root = Commands()
    component, names = find_command(root, args)
    help_requested = {"-h", "--help"} & set(args)
    if help_requested or (not callable(component) and len(names) == len(args)):
        print(format_help(PROGRAM, component, names))
        sys.exit(ExitCode.OK if help_requested else ExitCode.WRONG_INPUT)
    # fire parses the word after a flag without a value as its value.
    args = [f"{arg}=True" if arg in BOOLEAN_FLAGS else arg for arg in args]
    sys.exit(_run_pending(_parse_arguments(root, args, " ".join((PROGRAM, *names)))))


def _parse_arguments(root, args, command_line):
    """Parse the arguments into a `_PendingCommand`; exit if they are invalid."""
    fire_stderr, reason = io.StringIO(), ""
    try:
        with contextlib.redirect_stderr(fire_stderr):
            pending = fire.Fire(root, args, name=PROGRAM, serialize=lambda _: None)
    except fire.core.FireExit:
        reason = fire_stderr.getvalue().partition("\n")[0].removeprefix("ERROR: ")
        pending = None
    if not isinstance(pending, _PendingCommand):
        detail = f"{reason or 'no command'}; see {command_line} --help"
        print_failure(refuse(ResultCode.MALFORMED_REQUEST, detail))
        sys.exit(ExitCode.WRONG_INPUT)
    return pending


if __name__ == "__main__":
    main()
