"""Budget and pauses of retries."""

import abc

from hornbeamshore.config.model import RetryRules


class Retries(abc.ABC):
    """Decides whether and when a request may be tried again."""

    @abc.abstractmethod
    def configure(self, rules):
        """Take the `RetryRules` of the service."""

    @abc.abstractmethod
    def count_request(self):
        """Note a first attempt, which earns a share of a retry."""

    @abc.abstractmethod
    def may_retry(self, now):
        """Return whether a retry is allowed, and take it from the budget."""

    @abc.abstractmethod
    def delay(self, attempt):
        """Return the seconds to wait after attempt number `attempt` failed."""


class BudgetedRetries(Retries):
    """Token bucket filled by requests, with jittered exponential backoff.

    Retries follow requests and not time, so that an outage cannot multiply the
    load by more than the budget.
    """

    def __init__(self, cfg, rng):
        self._cfg = cfg
        self._rng = rng
        self._rules = RetryRules()
        self._tokens = 0.0
        self.used = 0
        self.denied = 0

    def configure(self, rules):
        """Take the `RetryRules` of the service."""
        self._rules = rules

    def count_request(self):
        """Note a first attempt, which earns a share of a retry."""
        self._tokens = min(self._cfg.burst, self._tokens + self._rules.budget)

    def may_retry(self, now):
        """Return whether a retry is allowed, and take it from the budget."""
        # The tolerance makes ten tenths of a token a whole one.
        if self._tokens < 1.0 - 1e-9:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.used += 1
        return True

    def delay(self, attempt):
        """Return the seconds to wait after attempt number `attempt` failed."""
        mean = self._rules.backoff * 2.0 ** (attempt - 1)
        return self._rng.uniform(0.5, 1.5) * min(mean, self._cfg.max_backoff)
