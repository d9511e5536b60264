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
OTHER_LABEL = "other"
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

_METRIC_TYPES = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}


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

    def count_answer(self, service, kind, code, elapsed_s):
        """Count an answered submission and observe its response time in seconds."""
        labels = self._labels(service, kind)
        code_label = _code_label(code)
        self._metric("requests_total", *labels, code_label).inc()
        self._metric("response_seconds", *labels).observe(elapsed_s)
        if code not in (ResultCode.OK, ResultCode.RUNNING) and not 300 <= code < 400:
            self._metric("refusals_total", code_label).inc()

    def observe_queue_time(self, service, kind, seconds):
        """Observe the time in seconds that a task waited in the queue."""
        self._metric("queue_seconds", *self._labels(service, kind)).observe(seconds)

    def count_retry(self, service, kind):
        """Count a retry of a single request."""
        self._metric("retries_total", *self._labels(service, kind)).inc()

    def count_start(self, service, kind):
        """Count a start message sent for a task."""
        self._metric("starts_total", *self._labels(service, kind)).inc()

    def count_wasted_message(self, reason):
        """Count an agent's message without effect, by reason."""
        self._metric("wasted_messages_total", reason).inc()

    def count_job(self, service, kind, code):
        """Count a submission that the owner ended or refused."""
        self._metric(
            "jobs_total", *self._labels(service, kind), _code_label(code)
        ).inc()

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
        for family in self._metric(name).collect():
            for sample in family.samples:
                if sample.name.endswith("_total"):
                    key = sample.labels.get(label, "")
                    totals[key] = totals.get(key, 0) + int(sample.value)
        return totals

    def set_targets(self, service, slots, in_use, targets):
        """Set the gauges of a service: slots, slots in use, and targets by state."""
        service, _ = self._labels(service, "")
        self._metric("slots", service).set(slots)
        self._metric("slots_in_use", service).set(in_use)
        for state, count in targets.items():
            self._metric("targets", service, state).set(count)

    def count_peer_traffic(self, peer, direction, messages, size):
        """Count messages and bytes exchanged with peers of one kind."""
        self._metric("peer_messages_total", peer, direction).inc(messages)
        self._metric("peer_bytes_total", peer, direction).inc(size)

    def set_config_revision(self, revision):
        """Set the gauge of the configuration revision in force."""
        self._metric("config_revision").set(revision)

    def count_store_call(self, operation, outcome, seconds):
        """Count a call of the store and observe its time in seconds."""
        self._metric("store_calls_total", operation, outcome).inc()
        self._metric("store_call_seconds", operation).observe(seconds)

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self.registry)

    def _create(self, spec):
        bounds = {"buckets": TIME_BUCKETS_S} if spec.kind == "histogram" else {}
        return _METRIC_TYPES[spec.kind](
            spec.name, spec.meaning, spec.labels, registry=self.registry, **bounds
        )

    def _metric(self, name, *labels):
        metric = self._metrics[f"hornbeamshore_{name}"]
        return metric.labels(*labels) if labels else metric

    def _labels(self, service, kind):
        pair = (service, kind)
        if pair not in self._kind_labels:
            if len(self._kind_labels) >= MAX_KIND_LABELS:
                return OTHER_LABEL, OTHER_LABEL
            self._kind_labels.add(pair)
        return pair


def _code_label(code):
    try:
        return str(int(ResultCode(code)))
    except ValueError:
        return OTHER_LABEL
