"""Run time estimates by kind and target."""

import abc
import math

# Residuals are clipped to this many standard deviations: a few tasks of a kind take
# ten times its usual run time, and one of them must not shift the estimate.
MAX_RESIDUAL_DEVIATIONS = 2.5
MIN_RUN_TIME_S = 0.0001
# Used for a kind that is not, or no longer, in the configuration.
DEFAULT_RUN_TIME_S = 0.2


class RunTimes(abc.ABC):
    """Estimates run times, in seconds."""

    @abc.abstractmethod
    def declare(self, kind, run_time_s):
        """Set the declared run time of a kind, used until its first observation."""

    @abc.abstractmethod
    def observe(self, kind, agent_id, run_time_s):
        """Update the estimates from the run time of a completed task."""

    @abc.abstractmethod
    def mean_run_time(self, kind):
        """Return the expected run time of a kind on a target of average speed."""

    @abc.abstractmethod
    def slowness(self, agent_id):
        """Return the ratio of run times on a target to those on an average target."""

    @abc.abstractmethod
    def pair_factors(self, kind):
        """Return the correction factors of a kind by agent id.

        A factor corrects the product of `base` and `slowness` for one target; it is
        1 for targets that are not in the mapping.
        """

    @abc.abstractmethod
    def is_learned(self, kind):
        """Return whether the run time of a kind has been observed."""

    @abc.abstractmethod
    def forget_target(self, agent_id):
        """Remove all estimates for a target."""

    def estimate(self, kind, agent_id):
        """Return the expected run time of a kind on a target."""
        pair_factor = self.pair_factors(kind).get(agent_id, 1.0)
        return self.mean_run_time(kind) * self.slowness(agent_id) * pair_factor


class _FactorEstimate:
    """Estimate of a factor, with a normal distribution of its logarithm."""

    __slots__ = ("mean", "variance", "factor")

    def __init__(self, factor, deviation):
        self.mean = math.log(factor)
        self.variance = deviation * deviation
        self.factor = factor

    def update(self, gain, residual, drift):
        self.mean += gain * residual
        self.variance = (1.0 - gain) * self.variance + drift
        self.factor = math.exp(self.mean)


class LearnedRunTimes(RunTimes):
    """Estimates a run time as the product of kind, target and pair factors.

    An observation corrects each factor in proportion to its variance, as in a Kalman
    filter: the first task of a new kind on a known target corrects mostly the
    estimate of the kind, that of a known kind on a new target mostly the target's.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._declared = {}
        self._learned_kinds = set()
        self._kinds = {}
        self._targets = {}
        self._pairs = {}
        self._pair_factors = {}
        self._noise = cfg.noise**2
        self._drift = cfg.drift**2
        # Ratio of the mean of a log-normal distribution to its median.
        self._mean_over_median = math.exp(self._noise / 2)

    def declare(self, kind, run_time_s):
        """Set the declared run time of a kind, used until its first observation."""
        run_time_s = max(run_time_s, MIN_RUN_TIME_S)
        if self._declared.get(kind) == run_time_s:
            return
        self._declared[kind] = run_time_s
        if kind not in self._learned_kinds:
            deviation = self._cfg.declared_deviation
            self._kinds[kind] = _FactorEstimate(run_time_s, deviation)

    def observe(self, kind, agent_id, run_time_s):
        """Update the estimates from the run time of a completed task."""
        factor_estimates = self._factor_estimates(kind, agent_id)
        total_variance = self._noise
        residual = math.log(max(run_time_s, MIN_RUN_TIME_S))
        for factor_estimate in factor_estimates:
            total_variance += factor_estimate.variance
            residual -= factor_estimate.mean
        limit = MAX_RESIDUAL_DEVIATIONS * math.sqrt(total_variance)
        residual = max(-limit, min(limit, residual))
        for factor_estimate in factor_estimates:
            factor_estimate.update(
                factor_estimate.variance / total_variance, residual, self._drift
            )
        if len(factor_estimates) == 3:
            self._pair_factors[kind][agent_id] = factor_estimates[2].factor
        self._learned_kinds.add(kind)

    def mean_run_time(self, kind):
        """Return the expected run time of a kind on a target of average speed."""
        return self._kind_estimate(kind).factor * self._mean_over_median

    def slowness(self, agent_id):
        """Return the ratio of run times on a target to those on an average target."""
        factor_estimate = self._targets.get(agent_id)
        return 1.0 if factor_estimate is None else factor_estimate.factor

    def pair_factors(self, kind):
        """Return the correction factors of a kind by agent id.

        A factor corrects the product of `base` and `slowness` for one target; it is
        1 for targets that are not in the mapping.
        """
        return self._pair_factors.get(kind, {})

    def is_learned(self, kind):
        """Return whether the run time of a kind has been observed."""
        return kind in self._learned_kinds

    def forget_target(self, agent_id):
        """Remove all estimates for a target."""
        self._targets.pop(agent_id, None)
        for kind, pair_factors in self._pair_factors.items():
            pair_factors.pop(agent_id, None)
            self._pairs.pop((kind, agent_id), None)

    def _kind_estimate(self, kind):
        factor_estimate = self._kinds.get(kind)
        if factor_estimate is None:
            self.declare(kind, DEFAULT_RUN_TIME_S)
            factor_estimate = self._kinds[kind]
        return factor_estimate

    def _factor_estimates(self, kind, agent_id):
        target = self._targets.get(agent_id)
        if target is None:
            target = _FactorEstimate(1.0, self._cfg.target_deviation)
            self._targets[agent_id] = target
        pair = self._pairs.get((kind, agent_id))
        if pair is None and len(self._pairs) < self._cfg.max_pairs:
            pair = _FactorEstimate(1.0, self._cfg.pair_deviation)
            self._pairs[kind, agent_id] = pair
            self._pair_factors.setdefault(kind, {})
        kind_and_target = self._kind_estimate(kind), target
        return kind_and_target if pair is None else (*kind_and_target, pair)
