"""CPU time and memory of running processes, from ``/proc``."""

from dataclasses import dataclass
from pathlib import Path

KIB = 1024
# Value for clear_refs that resets the peak resident memory to the current size.
RESET_PEAK = "5"


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and memory of a process.

    Attributes
    ----------
    cpu_s : float
        CPU seconds of the threads that are still running.
    resident_bytes, peak_bytes : int
        Current and peak resident memory in bytes.
    """

    cpu_s: float
    resident_bytes: int
    peak_bytes: int


def read_usage(pid):
    """Return the current `Usage` of a process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    cpu_ns = sum(int(path.read_text().split()[0]) for path in tasks)
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    resident_bytes, peak_bytes = (
        int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM")
    )
    return Usage(cpu_ns / 1e9, resident_bytes * KIB, peak_bytes * KIB)


def reset_peak(pid):
    """Reset the peak resident memory of a process to its current size."""
    Path(f"/proc/{pid}/clear_refs").write_text(RESET_PEAK)
