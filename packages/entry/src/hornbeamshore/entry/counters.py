"""Counts of what the dispatchers of an entry did, for metrics and reports."""

from collections import Counter


class DispatchCounters:
    """Totals since the process started.

    Attributes
    ----------
    starts, retries : Counter
        By (service, kind).
    jobs : Counter
        Ended jobs by (service, kind, code name).
    refusals : Counter
        Refused submissions by (service, kind, code name).
    wasted : Counter
        Messages whose effect was nil, by reason.
    messages, bytes : Counter
        Between processes, by (kind of peer, direction), of connections that ended.
    """

    def __init__(self):
        self.starts = Counter()
        self.retries = Counter()
        self.jobs = Counter()
        self.refusals = Counter()
        self.wasted = Counter()
        self.messages = Counter()
        self.bytes = Counter()

    def started(self, service, kind):
        """Count the start of a task."""
        self.starts[service, kind] += 1

    def retried(self, service, kind):
        """Count a retry that was scheduled."""
        self.retries[service, kind] += 1

    def job_ended(self, service, kind, code):
        """Count a job that was answered."""
        self.jobs[service, kind, code.name] += 1

    def refused(self, service, kind, code):
        """Count a submission that was refused."""
        self.refusals[service, kind, code.name] += 1

    def wasted_message(self, reason):
        """Count a message without effect."""
        self.wasted[reason] += 1

    def connection_closed(self, conn):
        """Add the totals of a connection that ended."""
        kind = conn.peer.kind
        self.messages[kind, "sent"] += conn.messages_sent
        self.messages[kind, "received"] += conn.messages_received
        self.bytes[kind, "sent"] += conn.bytes_sent
        self.bytes[kind, "received"] += conn.bytes_received

    def report(self):
        """Return the totals as plain values for a status report."""
        return {
            "starts": sum(self.starts.values()),
            "retries": sum(self.retries.values()),
            "jobs": _by_last(self.jobs),
            "refusals": _by_last(self.refusals),
            "wasted": dict(self.wasted),
        }


def _by_last(counter):
    totals = Counter()
    for names, count in counter.items():
        totals[names[-1]] += count
    return dict(totals)
