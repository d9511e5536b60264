"""Observer of the front end that updates metrics and burn windows."""

import time

from hornbeamshore.entry.http_api import AnswerObserver
from hornbeamshore.entry.objectives import classify


class EntryObserver(AnswerObserver):
    """Observer that records answers in the metrics and burn windows of an entry.

    Parameters
    ----------
    metrics : EntryMetrics
        Metrics of the entry.
    windows : BurnWindows
        Burn windows of the entry.
    service : SubmissionService
        Source of the configuration in force, which has the objectives.
    """

    def __init__(self, metrics, windows, service):
        self._metrics = metrics
        self._windows = windows
        self._service = service

    def record_answer(self, event):
        """Record an answered submission."""
        self._metrics.count_answer(
            event.service, event.kind, event.code, event.elapsed_s
        )
        objective = self._objective(event.service, event.kind)
        if objective is None:
            return
        good = classify(event.code, event.elapsed_s, objective)
        if good is not None:
            self._windows.record(event.service, event.kind, good, time.time())

    def metrics_page(self):
        """Return the metrics in the Prometheus text format."""
        return self._metrics.render()

    def _objective(self, service, kind):
        deployment = self._service.deployment()
        if deployment is None or service not in deployment.services:
            return None
        kind_cfg = deployment.services[service].kinds.get(kind)
        return kind_cfg.objective if kind_cfg else None
