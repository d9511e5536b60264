"""Metrics of the agent side of direct dispatch."""

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from hornbeamshore.serving.build_info import BuildInfoCollector
from hornbeamshore.serving.rejections import RejectionCollector

# Tasks run for tens of milliseconds to several seconds.
RUN_TIME_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0)


class RunnerMetrics:
    """Counters and histograms of runs on the target.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that holds the metrics.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._runs = prometheus_client.Counter(
            "hornbeamshore_agent_runs",
            "Runs that ended, by result code",
            ["code"],
            registry=self.registry,
        )
        self._run_seconds = prometheus_client.Histogram(
            "hornbeamshore_agent_run_seconds",
            "Run time of tasks that succeeded",
            buckets=RUN_TIME_BUCKETS_S,
            registry=self.registry,
        )

        self._targets_lost = prometheus_client.Counter(
            "hornbeamshore_agent_targets_lost",
            "Losses of the target during runs, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.registry.register(BuildInfoCollector())
        self.registry.register(RejectionCollector())

    def target_lost(self, reason):
        """Count a loss of the target during runs."""
        self._targets_lost.labels(reason).inc()

    def register_gauges(self, runner):
        """Export the state of a runner, read at each scrape."""
        self.registry.register(_RunnerCollector(runner))

    def run_ended(self, code, seconds):
        """Count an ended run and, if it succeeded, record its run time in seconds."""
        self._runs.labels(code.name).inc()
        if code == 0:
            self._run_seconds.observe(seconds)


class _RunnerCollector:
    """Collector that reads the state of a runner at each scrape."""

    def __init__(self, runner):
        self._runner = runner

    def collect(self):
        """Yield the current values."""
        runner = self._runner
        target = runner.supervisor.target
        state = runner.state() if target is not None else None
        accepting = state is not None and state.accepting
        free = state.free.cpu_millis if state is not None else 0
        for name, documentation, value in (
            ("accepting", "Whether the target takes runs", int(accepting)),
            ("free_cpu_millis", "Free processor time in thousandths of a core", free),
            ("entries", "Entries with a session", len(runner.sessions)),
        ):
            yield GaugeMetricFamily(f"hornbeamshore_agent_{name}", documentation, value)
        yield CounterMetricFamily(
            "hornbeamshore_agent_starts",
            "Starts sent",
            runner.call_workers.starts_sent,
        )
        yield CounterMetricFamily(
            "hornbeamshore_agent_starts_withheld",
            "Starts not sent because their permission had ended",
            runner.call_workers.starts_withheld,
        )
        yield CounterMetricFamily(
            "hornbeamshore_agent_refusals",
            "Orders refused",
            runner.runs_refused,
        )
