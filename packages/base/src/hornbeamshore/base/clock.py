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


def boot_time_s():
    """Return seconds since the host booted, which count while it is suspended.

    Leases are measured with it: the steady clock stands still in a suspended host,
    whose leases expire all the same.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
