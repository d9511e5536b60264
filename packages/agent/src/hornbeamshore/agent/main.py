"""Command line of the agent."""

import sys

import fire
from hornbeamshore.agent import settings
from hornbeamshore.base.settings import SettingsError

EXIT_SETTINGS = 2


class Commands:
    """Daemon that runs beside a target."""

    def run(self, settings):  # noqa: D102 - shown by fire
        return settings


def main():
    """Run the command line; the exit code is 2 if the settings are faulty."""
    path = fire.Fire(Commands, serialize=lambda _: None)
    if isinstance(path, str):
        sys.exit(run(path))


def run(path):
    """Run the agent with the settings in a file and return its exit code."""
    try:
        cfg = settings.load(path)
        secret = settings.read_secret(cfg.secret_file)
    except SettingsError as exc:
        print(f"hornbeamshore-agent: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    from hornbeamshore.agent import daemon

    return daemon.run(cfg, secret)
