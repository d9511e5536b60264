"""Prometheus metrics of an entry."""

from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from hornbeamshore.base.codes import ResultCode

# Each pair of service and kind takes about 35 lines of exposition. Further pairs share
# the label "other", which keeps a scrape below about 1 MB.
MAX_KIND_LABELS = 300
OTHER = "other"
TIME_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)

_KINDS = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Definition of a metric; a test compares ``docs/metrics.md`` with these."""

    name: str
    kind: str
    labels: tuple[str, ...]
    meaning: str


METRICS = (
    MetricSpec(
        "hornbeamshore_requests_total",
        "counter",
        ("service", "kind", "code"),
        "Submissions answered to callers, by result code.",
    ),
    MetricSpec(
        "hornbeamshore_response_seconds",
        "histogram",
        ("service", "kind"),
        "Time from the head of a submission to its answer.",
    ),
    MetricSpec(
        "hornbeamshore_queue_seconds",
        "histogram",
        ("service", "kind"),
        "Time that tasks waited at this owner before they were sent to an agent.",
    ),
    MetricSpec(
        "hornbeamshore_refusals_total",
        "counter",
        ("code",),
        "Submissions answered with a code other than 0, 1 and 3xx, by reason.",
    ),
    MetricSpec(
        "hornbeamshore_starts_total",
        "counter",
        ("service", "kind"),
        "Starts of tasks that this owner sent to agents.",
    ),
    MetricSpec(
        "hornbeamshore_wasted_messages_total",
        "counter",
        ("reason",),
        "Messages of agents without effect; reason is refusal or late answer.",
    ),
    MetricSpec(
        "hornbeamshore_jobs_total",
        "counter",
        ("service", "kind", "code"),
        "Submissions that this owner ended or refused, by result code.",
    ),
    MetricSpec(
        "hornbeamshore_retries_total",
        "counter",
        ("service", "kind"),
        "Further attempts of repeatable single requests.",
    ),
    MetricSpec(
        "hornbeamshore_slots",
        "gauge",
        ("service",),
        "Slots of the targets that this owner places work on.",
    ),
    MetricSpec(
        "hornbeamshore_slots_in_use",
        "gauge",
        ("service",),
        "Slots of these targets that run a task.",
    ),
    MetricSpec(
        "hornbeamshore_targets",
        "gauge",
        ("service", "state"),
        "Targets that this owner knows; state is live, ejected, leaving or lost.",
    ),
    MetricSpec(
        "hornbeamshore_peer_messages_total",
        "counter",
        ("peer", "direction"),
        "Messages between processes; peer is entry, agent or operator, direction is "
        "in or out.",
    ),
    MetricSpec(
        "hornbeamshore_peer_bytes_total",
        "counter",
        ("peer", "direction"),
        "Bytes of these messages with their framing.",
    ),
    MetricSpec(
        "hornbeamshore_config_revision",
        "gauge",
        (),
        "Revision of the configuration in force in this process.",
    ),
    MetricSpec(
        "hornbeamshore_store_calls_total",
        "counter",
        ("operation", "outcome"),
        "Calls of the platform's store; outcome is ok, conflict or failed.",
    ),
    MetricSpec(
        "hornbeamshore_store_call_seconds",
        "histogram",
        ("operation",),
        "Time that calls of the platform's store took.",
    ),
)


class EntryMetrics:
    """Metrics of one entry in their own registry.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of all metrics in `METRICS`.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self._metrics = {spec.name: self._create(spec) for spec in METRICS}
        self._kind_labels = set()

    def answered(self, service, kind, code, elapsed_s):
        """Count an answered submission and observe its response time in seconds."""
        labels = self._labels(service, kind)
        text = _code_label(code)
        self._of("requests_total", *labels, text).inc()
        self._of("response_seconds", *labels).observe(elapsed_s)
        if code not in (ResultCode.OK, ResultCode.RUNNING) and not 300 <= code < 400:
            self._of("refusals_total", text).inc()

    def queued(self, service, kind, seconds):
        """Observe the time in seconds that a task waited in the queue."""
        self._of("queue_seconds", *self._labels(service, kind)).observe(seconds)

    def retried(self, service, kind):
        """Count a retry of a single request."""
        self._of("retries_total", *self._labels(service, kind)).inc()

    def started(self, service, kind):
        """Count a start message sent for a task."""
        self._of("starts_total", *self._labels(service, kind)).inc()

    def wasted_message(self, reason):
        """Count an agent's message without effect, by reason."""
        self._of("wasted_messages_total", reason).inc()

    def job_ended(self, service, kind, code):
        """Count a submission that the owner ended or refused."""
        self._of("jobs_total", *self._labels(service, kind), _code_label(code)).inc()

    def dispatch_totals(self):
        """Return the totals of starts, retries, wasted messages and jobs by code."""
        return {
            "starts": sum(self._totals("starts_total").values()),
            "retries": sum(self._totals("retries_total").values()),
            "wasted": self._totals("wasted_messages_total", "reason"),
            "jobs": self._totals("jobs_total", "code"),
        }

    def _totals(self, name, label=None):
        totals = {}
        for family in self._of(name).collect():
            for sample in family.samples:
                if sample.name.endswith("_total"):
                    key = sample.labels.get(label, "")
                    totals[key] = totals.get(key, 0) + int(sample.value)
        return totals

    def fleet(self, service, slots, in_use, targets):
        """Set the gauges of a service: slots, slots in use, and targets by state."""
        service, _ = self._labels(service, "")
        self._of("slots", service).set(slots)
        self._of("slots_in_use", service).set(in_use)
        for state, count in targets.items():
            self._of("targets", service, state).set(count)

    def peer_traffic(self, peer, direction, messages, size):
        """Count messages and bytes exchanged with peers of one kind."""
        self._of("peer_messages_total", peer, direction).inc(messages)
        self._of("peer_bytes_total", peer, direction).inc(size)

    def config_revision(self, revision):
        """Set the gauge of the configuration revision in force."""
        self._of("config_revision").set(revision)

    def store_call(self, operation, outcome, seconds):
        """Count a call of the store and observe its time in seconds."""
        self._of("store_calls_total", operation, outcome).inc()
        self._of("store_call_seconds", operation).observe(seconds)

    def page(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self.registry)

    def _create(self, spec):
        bounds = {"buckets": TIME_BUCKETS_S} if spec.kind == "histogram" else {}
        return _KINDS[spec.kind](
            spec.name, spec.meaning, spec.labels, registry=self.registry, **bounds
        )

    def _of(self, name, *labels):
        metric = self._metrics[f"hornbeamshore_{name}"]
        return metric.labels(*labels) if labels else metric

    def _labels(self, service, kind):
        pair = (service, kind)
        if pair not in self._kind_labels:
            if len(self._kind_labels) >= MAX_KIND_LABELS:
                return OTHER, OTHER
            self._kind_labels.add(pair)
        return pair


def _code_label(code):
    try:
        return str(int(ResultCode(code)))
    except ValueError:
        return OTHER
