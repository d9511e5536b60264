"""Metric that tells which build a process runs."""

from dataclasses import asdict

from prometheus_client.core import InfoMetricFamily

from hornbeamshore.base.build_info import read_build_info


class BuildInfoCollector:
    """Collector of the `BuildInfo` of this process, which is read once."""

    def __init__(self):
        self._labels = asdict(read_build_info())

    def collect(self):
        """Yield the build as labels of a metric whose value is always 1."""
        yield InfoMetricFamily(
            "hornbeamshore_build", "Build that the process runs", self._labels
        )
