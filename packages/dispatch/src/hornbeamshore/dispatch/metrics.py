"""Metrics of the entry side of direct dispatch."""

import prometheus_client
from prometheus_client.core import GaugeMetricFamily

from hornbeamshore.serving.build_info import BuildInfoCollector
from hornbeamshore.serving.rejections import RejectionCollector

# Response times range from tens of milliseconds to about ten seconds.
JOB_SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0, 13.0)


class DispatchMetrics:
    """Counters and histograms of jobs and runs.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that holds the metrics.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._jobs = prometheus_client.Counter(
            "hornbeamshore_entry_jobs",
            "Jobs answered, by queue, result code and whether in time",
            ["queue", "code", "in_time"],
            registry=self.registry,
        )
        self._job_seconds = prometheus_client.Histogram(
            "hornbeamshore_entry_job_seconds",
            "Time from submission to answer of jobs that succeeded",
            ["queue"],
            buckets=JOB_SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._runs = prometheus_client.Counter(
            "hornbeamshore_entry_runs",
            "Runs that ended, by result code",
            ["code"],
            registry=self.registry,
        )
        self.registry.register(BuildInfoCollector())
        self.registry.register(RejectionCollector())

    def register_gauges(self, coordinator, routing):
        """Register gauges that are read from their sources at each scrape.

        Parameters
        ----------
        coordinator : Coordinator
            Source of the numbers of agents and jobs.
        routing : RoutingReplica
            Source of the routing version.
        """
        self.registry.register(_GaugeCollector(coordinator, routing))

    def job_answered(self, queue_name, code, seconds, *, in_time):
        """Count an answered job and, if it succeeded, observe its response time.

        Parameters
        ----------
        queue_name : str
            Queue of the job.
        code : ResultCode
            Result of the job.
        seconds : float
            Response time in seconds.
        in_time : bool
            Whether the job met its response-time objective.
        """
        self._jobs.labels(queue_name, code.name, str(in_time).lower()).inc()
        if code == 0:
            self._job_seconds.labels(queue_name).observe(seconds)

    def run_ended(self, code):
        """Count an ended run by its result code."""
        self._runs.labels(code.name).inc()


class _GaugeCollector:
    """Collector that reads the state of the entry at each scrape."""

    def __init__(self, coordinator, routing):
        self._coordinator = coordinator
        self._routing = routing

    def collect(self):
        """Yield gauges with the current values."""
        agents = self._coordinator.fleet.agents.values()
        current = self._routing.current
        for name, help_text, value in (
            ("agents", "Agents known", len(agents)),
            ("agents_usable", "Agents that take runs", _count_usable(agents)),
            ("jobs_open", "Jobs in progress", len(self._coordinator.jobs)),
            ("routing_version", "Version in force", current.version if current else 0),
        ):
            yield GaugeMetricFamily(f"hornbeamshore_entry_{name}", help_text, value)


def _count_usable(agents):
    return sum(view.is_usable for view in agents)
