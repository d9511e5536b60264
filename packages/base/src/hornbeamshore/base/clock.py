"""Wall clock and identifiers of processes."""

import os
import time


def unix_ms():
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def new_incarnation():
    """Return a number that is larger for each later start of a process."""
    return time.time_ns() // 1_000


def random_id(size=8):
    """Return `size` random bytes as hexadecimal text."""
    return os.urandom(size).hex()
