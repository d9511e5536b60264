"""Placement: selection of the agent for a task."""

import abc
import itertools
import math
import statistics
from dataclasses import dataclass

# Candidates compared for one task. With a few random ones, the choice takes the same
# time for any number of agents, and entries whose views of an agent are out of date do
# not all choose the same one.
MAX_CANDIDATES = 12
# Part of the candidates that is drawn from the data centre of the entry, if it has as
# many; the other data centres take the rest.
NEAR_CANDIDATES = 8


class Placement(abc.ABC):
    """Policy that selects the agent for a task."""

    @abc.abstractmethod
    def choose(self, task, agents, now):
        """Return the agent on which to place a task, or None to keep it waiting.

        Parameters
        ----------
        task : Task
            Waiting task.
        agents : ServiceAgents
            Usable agents of the service.
        now : float
            Trio clock time.
        """


@dataclass(frozen=True, slots=True)
class _Speeds:
    """Slowness of the agents of a service, valid for a short time.

    Attributes
    ----------
    least, median : float
        Slowness of the fastest and of the median agent.
    valid_until : float
        Trio clock time.
    """

    least: float
    median: float
    valid_until: float


class FastestEligible(Placement):
    """Selects the fastest eligible agent, and the least loaded of equally fast ones.

    The choice is among a few agents drawn at random from those with enough free
    capacity. An agent is eligible if it has that capacity and meets the constraints of
    the step. A task does not wait for a faster agent, which would use up the slack of
    its job. Only a degraded agent, one far slower than the median, is avoided while an
    agent of median speed could still finish the job in time.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    run_times : RunTimes
        Estimates of the ratio of actual to declared run time by queue and agent.
    rng : random.Random
        Source of the random choice of candidates.
    containment : Containment
        Limits on the agents of tasks that may crash targets.
    """

    def __init__(self, cfg, run_times, rng, containment):
        self._cfg = cfg
        self._containment = containment
        self._run_times = run_times
        self._rng = rng
        self._log_tolerance = math.log(cfg.speed_tolerance)
        self._speeds = {}

    def choose(self, task, agents, now):
        """Return the agent on which to place a task, or None to keep it waiting."""
        eligible = self._eligible_candidates(task, agents, now)
        if not eligible:
            return None
        best = min(eligible, key=lambda view: self._sort_key(task, view, now))
        median_slowness = self._speeds_of(task.job.queue.service, agents, now).median
        slowness = self._run_times.slowness(best.agent_id)
        is_degraded = slowness > median_slowness * self._cfg.degraded_factor
        if task.isolated or not is_degraded:
            return best
        median_run_time_s = (
            self.expected_run_time_s(task, best) * median_slowness / slowness
        )
        return None if now + median_run_time_s <= task.job.due_at else best

    def can_place(self, task, agents, now):
        """Return whether any agent is eligible for a task, even if it would be late."""
        return bool(self._eligible_candidates(task, agents, now))

    def fastest_run_time_s(self, job, agents, now):
        """Return the expected run time of a job on the fastest agent, in seconds."""
        base = self._run_times.mean_run_time(job.queue.name)
        least = self._speeds_of(job.queue.service, agents, now).least
        return job.critical_path_s * base * least

    def expected_run_time_s(self, task, view):
        """Return the expected run time of a task on an agent, in seconds."""
        queue = task.job.queue.name
        return task.step_spec.estimate_s * self._run_times.estimate(
            queue, view.agent_id
        )

    def _eligible_candidates(self, task, agents, now):
        """Return eligible agents, at most about `MAX_CANDIDATES`.

        Returns an empty list only if no agent of the service is eligible.
        """
        cpu = task.step_spec.needs.cpu_millis
        pools = self._pools(task.step_spec, agents)
        *preferred, (last, last_count) = pools
        drawn = []
        for pool, count in preferred:
            drawn += pool.draw(cpu, count, self._rng)
        last_count = max(last_count, MAX_CANDIDATES - len(drawn))
        drawn += last.draw(cpu, last_count, self._rng)
        eligible = [view for view in drawn if self._is_eligible(task, view, now)]
        if eligible:
            return eligible
        # The drawn agents were excluded, or have a little less free than is needed.
        others = itertools.chain.from_iterable(pool.all_with(cpu) for pool, _ in pools)
        fitting = (view for view in others if self._is_eligible(task, view, now))
        return list(itertools.islice(fitting, MAX_CANDIDATES))

    def _pools(self, step, agents):
        """Return the groups of agents to draw from, each with a number of draws."""
        if step.required_label:
            return ((agents.labelled(step.required_label), MAX_CANDIDATES),)
        far_count = MAX_CANDIDATES - NEAR_CANDIDATES
        pools = ((agents.near, NEAR_CANDIDATES), (agents.far, far_count))
        if not step.preferred_rack:
            return pools
        return ((agents.labelled(step.preferred_rack), far_count), *pools)

    def _speeds_of(self, service, agents, now):
        speeds = self._speeds.get(service)
        if speeds is None or now >= speeds.valid_until:
            slowness = [self._run_times.slowness(name) for name in agents.views] or [
                1.0
            ]
            speeds = self._speeds[service] = _Speeds(
                min(slowness),
                statistics.median_low(slowness),
                now + self._cfg.speeds_validity,
            )
        return speeds

    def _sort_key(self, task, view, now):
        slowness = self._run_times.slowness(view.agent_id)
        rack = task.step_spec.preferred_rack
        silence_s = now - view.conn.last_received_at
        load = view.load
        if view.data_centre != self._cfg.data_centre:
            load += self._cfg.far_load_penalty
        return (
            self._containment.should_avoid(task, view, now),
            # The connection may be lost without a sign of it.
            silence_s > self._cfg.max_silence,
            bool(rack) and rack not in view.description.labels,
            round(math.log(slowness) / self._log_tolerance),
            load,
        )

    def _is_eligible(self, task, view, now):
        step = task.step_spec
        if (
            not step.needs.fits_in(view.free)
            or task.excluded_until.get(view.agent_id, now) > now
            or not self._containment.admits(task, view, now)
        ):
            return False
        labels = view.description.labels
        if step.required_label and step.required_label not in labels:
            return False
        if not step.max_per_target:
            return True
        running = sum(
            run.task.job is task.job and run.task.step_index == task.step_index
            for run in view.runs.values()
        )
        return running < step.max_per_target
