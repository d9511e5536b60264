"""Prometheus metrics of the agent.

This module is imported only if `metrics_address` is set.
"""

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


class AgentCollector:
    """Prometheus collector that reads the counters of an `Agent` on each scrape."""

    def __init__(self, agent):
        self._agent = agent

    def collect(self):
        """Yield the gauges and counters of the agent."""
        agent = self._agent
        for name, value in (
            ("slots_in_use", agent.executor.in_use),
            ("start_records", len(agent.records) + len(agent.copies)),
        ):
            yield GaugeMetricFamily(f"hornbeamshore_agent_{name}", name, value)
        for name, value in (
            ("tasks_started", agent.tasks_started),
            ("starts_refused", agent.starts_refused),
        ):
            yield CounterMetricFamily(f"hornbeamshore_agent_{name}", name, value)


def serve_metrics(agent, address):
    """Serve the metrics of an agent on ``host:port`` from a background thread."""
    host, _, port = address.rpartition(":")
    registry = prometheus_client.CollectorRegistry()
    registry.register(AgentCollector(agent))
    prometheus_client.start_http_server(int(port), host, registry)
