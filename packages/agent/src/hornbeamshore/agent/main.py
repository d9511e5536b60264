"""Command-line interface of the agent."""

import json
import os
import sys

import fire

from hornbeamshore.agent import settings
from hornbeamshore.base.settings import SettingsError

EXIT_INVALID_SETTINGS = 2


class Commands:
    """Daemon that runs beside a target and executes tasks on it."""

    def run(self, settings):
        """Announce the target and execute tasks on it until SIGTERM or SIGINT.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        _exec_daemon(settings)


def main():
    """Run the command line; the exit code is 2 if the settings are invalid."""
    fire.Fire(Commands)


def _exec_daemon(path):
    # The libraries for the command line and YAML, and the docstrings of all modules,
    # take 5 MB of the daemon's memory budget of 32 MB. Replacing the process image
    # (with -OO) frees them.
    try:
        raw = settings.load(str(path))
    except SettingsError as exc:
        print(f"hornbeamshore-agent: {exc}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    module = "hornbeamshore.agent.process"
    os.execv(sys.executable, [sys.executable, "-OO", "-m", module, json.dumps(raw)])
