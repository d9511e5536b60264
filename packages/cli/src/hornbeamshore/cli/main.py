"""Command line of operators, and the entry daemon."""

import json
import sys

import fire
import trio

from hornbeamshore.base.logs import configure_logs
from hornbeamshore.base.settings import SettingsError, load_settings

EXIT_SETTINGS = 2


class Commands:
    """Dispatcher for sub-second tasks."""

    def entry(self, settings):
        """Run an entry: serve callers, own partitions, dispatch to agents.

        SIGTERM hands everything over and ends the process; a second one ends it at
        once.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        run_entry(str(settings))


def run_entry(path):
    """Run the entry daemon with the settings in a file."""
    from hornbeamshore.entry.daemon import (
        AddressInUse,
        EntryDaemon,
        run_until_signal,
    )
    from hornbeamshore.entry.settings import EntrySettings

    try:
        cfg = load_settings(path, EntrySettings)
        configure_logs(cfg.log_level)
        trio.run(run_until_signal, EntryDaemon(cfg), _announce)
    except (SettingsError, AddressInUse, OSError) as exc:
        print(f"hornbeamshore: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


def _announce(daemon):
    line = {"http": daemon.http_address, "peer": daemon.peer_address}
    print(json.dumps(line), flush=True)


def main():
    """Run the command line."""
    fire.Fire(Commands, name="hornbeamshore")


if __name__ == "__main__":
    main()
