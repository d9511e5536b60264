"""Retry budget and backoff."""

import abc

from hornbeamshore.config.model import RetryRules


class Retries(abc.ABC):
    """Decides whether and when a failed attempt is retried."""

    @abc.abstractmethod
    def configure(self, rules):
        """Set the `RetryRules` of the service."""

    @abc.abstractmethod
    def count_request(self):
        """Count a first attempt, which adds to the retry budget."""

    @abc.abstractmethod
    def try_acquire_retry(self, now):
        """Return whether a retry is allowed; if so, deduct it from the budget."""

    @abc.abstractmethod
    def delay(self, attempt):
        """Return the delay in seconds before the retry of attempt number `attempt`."""


class BudgetedRetries(Retries):
    """Token bucket with jittered exponential backoff.

    The bucket is filled by first attempts and not by time, so that during an outage
    retries add no more than the budgeted fraction to the load.

    Attributes
    ----------
    used, denied : int
        Number of retries that were allowed and denied so far.
    """

    def __init__(self, cfg, rng):
        self._cfg = cfg
        self._rng = rng
        self._rules = RetryRules()
        self._tokens = 0.0
        self.used = 0
        self.denied = 0

    def configure(self, rules):
        """Set the `RetryRules` of the service."""
        self._rules = rules

    def count_request(self):
        """Count a first attempt, which adds to the retry budget."""
        self._tokens = min(self._cfg.burst, self._tokens + self._rules.budget)

    def try_acquire_retry(self, now):
        """Return whether a retry is allowed; if so, deduct it from the budget."""
        # The tolerance covers rounding: ten times 0.1 is slightly less than 1.0.
        if self._tokens < 1.0 - 1e-9:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.used += 1
        return True

    def delay(self, attempt):
        """Return the delay in seconds before the retry of attempt number `attempt`."""
        mean_s = self._rules.backoff * 2.0 ** (attempt - 1)
        return self._rng.uniform(0.5, 1.5) * min(mean_s, self._cfg.max_backoff)
