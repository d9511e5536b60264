"""What the front end tells of its answers, for metrics and objectives."""

from hornbeamshore.entry.http_api import AnswerObserver


class EntryObserver(AnswerObserver):
    """Counts the answers to callers.

    Parameters
    ----------
    entry : EntryState
        Shared state of the process.
    """

    def __init__(self, entry):
        self._entry = entry

    def answered(self, event):
        """Count an answer for the objective of its kind."""
        objective = self._objective(event.service, event.kind)
        self._entry.objectives.record(event, objective)

    def metrics_page(self):
        """Return the metrics in the text format of Prometheus."""
        return b""

    def _objective(self, service, kind):
        deployment = self._entry.deployment()
        found = deployment.services.get(service) if deployment else None
        rules = found.kinds.get(kind) if found is not None else None
        return rules.objective if rules is not None else None
