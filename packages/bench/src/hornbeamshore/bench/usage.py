"""Processor time and memory of running processes, as the kernel counts them."""

from dataclasses import dataclass
from pathlib import Path

KIB = 1024
# Written to clear_refs, it sets the peak of the resident memory to its present size.
RESET_PEAK = "5"


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process took so far.

    Attributes
    ----------
    processor_s : float
        Processor time of all its threads that still run.
    resident, peak : int
        Bytes of resident memory, now and at most.
    """

    processor_s: float
    resident: int
    peak: int


def usage_of(pid):
    """Return the `Usage` of a process."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    processor_ns = sum(int(path.read_text().split()[0]) for path in tasks)
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    resident, peak = (int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM"))
    return Usage(processor_ns / 1e9, resident * KIB, peak * KIB)


def reset_peak(pid):
    """Let the peak of a process's memory be counted from now on."""
    Path(f"/proc/{pid}/clear_refs").write_text(RESET_PEAK)
