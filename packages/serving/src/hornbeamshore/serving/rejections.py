"""Metric of the input that a process has rejected as invalid."""

from prometheus_client.core import CounterMetricFamily

from hornbeamshore.base.decoding import REJECTIONS


class RejectionCollector:
    """Collector that reads the counts of rejected input at each scrape."""

    def collect(self):
        """Yield the current values."""
        family = CounterMetricFamily(
            "hornbeamshore_rejected_inputs",
            "Items of other programs that were passed over as invalid, by source",
            labels=["source"],
        )
        for source, count in sorted(REJECTIONS.counts.items()):
            family.add_metric([source], count)
        yield family
