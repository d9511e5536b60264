"""Metrics of the agent; imported only where an address to serve them on is set."""

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


class AgentCollector:
    """Reads the totals of an `Agent` when they are asked for."""

    def __init__(self, agent):
        self._agent = agent

    def collect(self):
        """Yield the metrics of the agent."""
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
    """Serve the metrics of an agent on ``host:port`` from a thread of the library."""
    host, _, port = address.rpartition(":")
    registry = prometheus_client.CollectorRegistry()
    registry.register(AgentCollector(agent))
    prometheus_client.start_http_server(int(port), host, registry)
