"""Estimates of run times for each kind and target."""

import abc
import math

# Residuals beyond this many deviations are cut: a kind has a few tasks that last
# ten times its usual run time, and one of them must not move the estimate.
MAX_RESIDUAL_DEVIATIONS = 2.5
MIN_RUN_TIME_S = 0.0001
# Stands in for a kind that the configuration no longer names.
DEFAULT_RUN_TIME_S = 0.2


class RunTimes(abc.ABC):
    """Estimates run times, in seconds."""

    @abc.abstractmethod
    def declare(self, kind, run_time_s):
        """Set the declared run time of a kind, used until one is learned."""

    @abc.abstractmethod
    def observe(self, kind, agent_id, run_time_s):
        """Learn from a task that ended."""

    @abc.abstractmethod
    def base(self, kind):
        """Return the expected run time of a kind on a mean target."""

    @abc.abstractmethod
    def slowness(self, agent_id):
        """Return the run times on a target over those on a mean one."""

    @abc.abstractmethod
    def departures(self, kind):
        """Return, by agent id, how far a kind departs from a target's slowness."""

    @abc.abstractmethod
    def is_learned(self, kind):
        """Return whether the estimate of a kind rests on tasks that ended."""

    @abc.abstractmethod
    def forget_target(self, agent_id):
        """Drop what is known of a target that left."""

    def estimate(self, kind, agent_id):
        """Return the expected run time of a kind on a target."""
        departure = self.departures(kind).get(agent_id, 1.0)
        return self.base(kind) * self.slowness(agent_id) * departure


class _Belief:
    """Normal belief about the logarithm of a factor."""

    __slots__ = ("mean", "variance", "factor")

    def __init__(self, factor, deviation):
        self.mean = math.log(factor)
        self.variance = deviation * deviation
        self.factor = factor

    def move(self, gain, residual, drift):
        self.mean += gain * residual
        self.variance = (1.0 - gain) * self.variance + drift
        self.factor = math.exp(self.mean)


class LearnedRunTimes(RunTimes):
    """Run time of a task as the product of kind, target and a small departure.

    A task that ended moves each factor in proportion to the doubt about it, so the
    first task of a new kind on known targets teaches the kind, and one of a known
    kind on a new target teaches the target.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._declared = {}
        self._learned = set()
        self._kinds = {}
        self._targets = {}
        self._pairs = {}
        self._departures = {}
        self._noise = cfg.noise**2
        self._drift = cfg.drift**2
        # Mean of a log-normal run time over its median.
        self._mean_over_median = math.exp(self._noise / 2)

    def declare(self, kind, run_time_s):
        """Set the declared run time of a kind, used until one is learned."""
        run_time_s = max(run_time_s, MIN_RUN_TIME_S)
        if self._declared.get(kind) == run_time_s:
            return
        self._declared[kind] = run_time_s
        if kind not in self._learned:
            deviation = self._cfg.declared_deviation
            self._kinds[kind] = _Belief(run_time_s, deviation)

    def observe(self, kind, agent_id, run_time_s):
        """Learn from a task that ended."""
        beliefs = self._beliefs(kind, agent_id)
        total = self._noise
        residual = math.log(max(run_time_s, MIN_RUN_TIME_S))
        for belief in beliefs:
            total += belief.variance
            residual -= belief.mean
        limit = MAX_RESIDUAL_DEVIATIONS * math.sqrt(total)
        residual = max(-limit, min(limit, residual))
        for belief in beliefs:
            belief.move(belief.variance / total, residual, self._drift)
        if len(beliefs) == 3:
            self._departures[kind][agent_id] = beliefs[2].factor
        self._learned.add(kind)

    def base(self, kind):
        """Return the expected run time of a kind on a mean target."""
        return self._kind(kind).factor * self._mean_over_median

    def slowness(self, agent_id):
        """Return the run times on a target over those on a mean one."""
        belief = self._targets.get(agent_id)
        return 1.0 if belief is None else belief.factor

    def departures(self, kind):
        """Return, by agent id, how far a kind departs from a target's slowness."""
        return self._departures.get(kind, {})

    def is_learned(self, kind):
        """Return whether the estimate of a kind rests on tasks that ended."""
        return kind in self._learned

    def forget_target(self, agent_id):
        """Drop what is known of a target that left."""
        self._targets.pop(agent_id, None)
        for kind, departures in self._departures.items():
            departures.pop(agent_id, None)
            self._pairs.pop((kind, agent_id), None)

    def _kind(self, kind):
        belief = self._kinds.get(kind)
        if belief is None:
            self.declare(kind, DEFAULT_RUN_TIME_S)
            belief = self._kinds[kind]
        return belief

    def _beliefs(self, kind, agent_id):
        target = self._targets.get(agent_id)
        if target is None:
            target = _Belief(1.0, self._cfg.target_deviation)
            self._targets[agent_id] = target
        pair = self._pairs.get((kind, agent_id))
        if pair is None and len(self._pairs) < self._cfg.max_pairs:
            pair = _Belief(1.0, self._cfg.pair_deviation)
            self._pairs[kind, agent_id] = pair
            self._departures.setdefault(kind, {})
        known = self._kind(kind), target
        return known if pair is None else (*known, pair)
