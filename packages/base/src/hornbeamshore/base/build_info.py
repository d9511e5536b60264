"""Build that a process runs: sources, interpreter and kind of machine."""

import os
import sys
from dataclasses import dataclass

# Written by deploy/build.py. The modules of a checkout that is not built have none.
FINGERPRINT_PATH = os.path.join(os.path.dirname(__file__), "source_fingerprint")
NO_FINGERPRINT = "unknown"


@dataclass(frozen=True, slots=True)
class BuildInfo:
    """Build that a process runs.

    Attributes
    ----------
    source : str
        Fingerprint of the sources, as printed by ``deploy/build.py --fingerprint``, or
        ``unknown`` if the process runs from a checkout.
    python : str
        Version of the interpreter.
    machine : str
        Kind of machine, such as ``x86_64``.
    """

    source: str
    python: str
    machine: str


def read_build_info(path=FINGERPRINT_PATH):
    """Return the `BuildInfo` of this process."""
    try:
        with open(path, encoding="ascii") as file:
            source = file.read().strip()
    except OSError:
        source = NO_FINGERPRINT
    python = ".".join(map(str, sys.version_info[:3]))
    return BuildInfo(source, python, os.uname().machine)
