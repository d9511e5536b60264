"""Estimates of run times for each kind and target."""

import abc
import math

# Residuals beyond this many deviations are cut: a kind has a few tasks that last
# ten times its usual run time, and one of them must not move the estimate.
MAX_RESIDUAL_DEVIATIONS = 2.5
MIN_RUN_TIME_S = 0.0001


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
    def estimate(self, kind, agent_id):
        """Return the expected run time of a kind on a target."""

    @abc.abstractmethod
    def is_learned(self, kind):
        """Return whether the estimate of a kind rests on tasks that ended."""

    @abc.abstractmethod
    def forget_target(self, agent_id):
        """Drop what is known of a target that left."""


class _Belief:
    """Mean and variance of a logarithm."""

    __slots__ = ("mean", "variance", "count")

    def __init__(self, mean, deviation):
        self.mean = mean
        self.variance = deviation * deviation
        self.count = 0


class LearnedRunTimes(RunTimes):
    """Run time of a task as the product of kind, target and a small departure.

    Each factor is a normal belief about a logarithm. A task that ended moves each
    of them in proportion to its variance, so the first task of a new kind on known
    targets teaches the kind, and one of a known kind on a new target the target.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._kinds = {}
        self._targets = {}
        self._pairs = {}
        self._declared = {}

    def declare(self, kind, run_time_s):
        """Set the declared run time of a kind, used until one is learned."""
        if self._declared.get(kind) == run_time_s:
            return
        self._declared[kind] = run_time_s
        if kind not in self._kinds or not self._kinds[kind].count:
            mean = math.log(max(run_time_s, MIN_RUN_TIME_S))
            self._kinds[kind] = _Belief(mean, self._cfg.declared_deviation)

    def observe(self, kind, agent_id, run_time_s):
        """Learn from a task that ended."""
        beliefs = self._beliefs(kind, agent_id)
        noise = self._cfg.noise**2
        total = sum(belief.variance for belief in beliefs) + noise
        residual = math.log(max(run_time_s, MIN_RUN_TIME_S))
        residual -= sum(belief.mean for belief in beliefs)
        limit = MAX_RESIDUAL_DEVIATIONS * math.sqrt(total)
        residual = max(-limit, min(limit, residual))
        drift = self._cfg.drift**2
        for belief in beliefs:
            gain = belief.variance / total
            belief.mean += gain * residual
            belief.variance = (1 - gain) * belief.variance + drift
            belief.count += 1

    def base(self, kind):
        """Return the expected run time of a kind on a mean target."""
        return math.exp(self._kind(kind).mean + self._cfg.noise**2 / 2)

    def slowness(self, agent_id):
        """Return the run times on a target over those on a mean one."""
        belief = self._targets.get(agent_id)
        return 1.0 if belief is None else math.exp(belief.mean)

    def estimate(self, kind, agent_id):
        """Return the expected run time of a kind on a target."""
        mean = self._kind(kind).mean + self._cfg.noise**2 / 2
        target = self._targets.get(agent_id)
        if target is not None:
            mean += target.mean
        pair = self._pairs.get((kind, agent_id))
        if pair is not None:
            mean += pair.mean
        return math.exp(mean)

    def is_learned(self, kind):
        """Return whether the estimate of a kind rests on tasks that ended."""
        return self._kind(kind).count > 0

    def forget_target(self, agent_id):
        """Drop what is known of a target that left."""
        self._targets.pop(agent_id, None)
        for pair in [pair for pair in self._pairs if pair[1] == agent_id]:
            del self._pairs[pair]

    def _kind(self, kind):
        belief = self._kinds.get(kind)
        if belief is None:
            self.declare(kind, 0.2)
            belief = self._kinds[kind]
        return belief

    def _beliefs(self, kind, agent_id):
        target = self._targets.get(agent_id)
        if target is None:
            target = _Belief(0.0, self._cfg.target_deviation)
            self._targets[agent_id] = target
        pair = self._pairs.get((kind, agent_id))
        if pair is None and len(self._pairs) < self._cfg.max_pairs:
            pair = _Belief(0.0, self._cfg.pair_deviation)
            self._pairs[kind, agent_id] = pair
        beliefs = [self._kind(kind), target]
        return beliefs if pair is None else [*beliefs, pair]
