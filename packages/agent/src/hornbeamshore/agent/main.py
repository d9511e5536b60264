"""Command line of the agent."""

import json
import os
import sys

import fire

from hornbeamshore.agent import settings
from hornbeamshore.base.settings import SettingsError

EXIT_SETTINGS = 2


class Commands:
    """Daemon that runs beside a target."""

    def run(self, settings):
        """Announce the target and run tasks on it until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        _replace_process(settings)


def main():
    """Run the command line; the exit code is 2 if the settings are faulty."""
    fire.Fire(Commands)


def _replace_process(path):
    # The libraries for the command line and for YAML, and the docstrings of all
    # others, take 5 MB of the 32 MB that a daemon has; a new image of the same
    # process leaves them behind.
    try:
        raw = settings.load(str(path))
    except SettingsError as exc:
        print(f"hornbeamshore-agent: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    module = "hornbeamshore.agent.process"
    os.execv(sys.executable, [sys.executable, "-OO", "-m", module, json.dumps(raw)])
