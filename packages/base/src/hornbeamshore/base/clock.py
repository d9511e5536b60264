"""Clocks, incarnation numbers and random identifiers."""

import os
import time


def unix_ms():
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def new_incarnation():
    """Return an incarnation number: the Unix time in microseconds.

    A process that starts later gets a larger number.
    """
    return time.time_ns() // 1_000


def random_id(size=8):
    """Return `size` random bytes as hexadecimal text."""
    return os.urandom(size).hex()


def boot_time_s():
    """Return the seconds since the host booted, including time spent suspended.

    Leases are measured with this clock: the monotonic clock stops while the host is
    suspended, but its leases still expire.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
