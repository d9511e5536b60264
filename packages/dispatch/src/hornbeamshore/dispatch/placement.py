"""Placement: selection of the agent for a task."""

import abc
import math
import statistics


class Placement(abc.ABC):
    """Policy that selects the agent for a task."""

    @abc.abstractmethod
    def choose(self, task, agents, now):
        """Return the agent on which to place a task, or None to keep it waiting.

        Parameters
        ----------
        task : Task
            Waiting task.
        agents : list of AgentView
            Usable agents of the service.
        now : float
            Trio clock time.
        """


class FastestEligible(Placement):
    """Selects the fastest eligible agent, and the least loaded of equally fast ones.

    An agent is eligible if it has enough free capacity and meets the constraints of the
    step. A task does not wait for a faster agent, which would use up the slack of its
    job. Only a degraded agent, one far slower than the median, is avoided while an
    agent of median speed could still finish the job in time.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    run_times : RunTimes
        Estimates of the ratio of actual to declared run time by queue and agent.
    """

    def __init__(self, cfg, run_times):
        self._cfg = cfg
        self._run_times = run_times
        self._log_tolerance = math.log(cfg.speed_tolerance)

    def choose(self, task, agents, now):
        """Return the agent on which to place a task, or None to keep it waiting."""
        eligible = [view for view in agents if self._is_eligible(task, view, now)]
        if not eligible:
            return None
        best = min(eligible, key=lambda view: self._sort_key(task, view))
        median_slowness = statistics.median_low(
            self._run_times.slowness(view.agent_id) for view in agents
        )
        slowness = self._run_times.slowness(best.agent_id)
        if slowness <= median_slowness * self._cfg.degraded_factor:
            return best
        median_run_time_s = (
            self.expected_run_time_s(task, best) * median_slowness / slowness
        )
        return None if now + median_run_time_s <= task.job.due_at else best

    def can_place(self, task, agents, now):
        """Return whether any agent is eligible for a task, even if it would be late."""
        return any(self._is_eligible(task, view, now) for view in agents)

    def fastest_run_time_s(self, job, agents):
        """Return the expected run time of a job on the fastest agent, in seconds."""
        base = self._run_times.mean_run_time(job.queue.name)
        slowness = [self._run_times.slowness(view.agent_id) for view in agents]
        return job.critical_path_s * base * min(slowness, default=1.0)

    def expected_run_time_s(self, task, view):
        """Return the expected run time of a task on an agent, in seconds."""
        queue = task.job.queue.name
        return task.step_spec.estimate_s * self._run_times.estimate(
            queue, view.agent_id
        )

    def _sort_key(self, task, view):
        slowness = self._run_times.slowness(view.agent_id)
        rack = task.step_spec.preferred_rack
        return (
            bool(rack) and rack not in view.report.labels,
            round(math.log(slowness) / self._log_tolerance),
            # An agent of another data centre must be less loaded by 5% of its capacity.
            view.load + 0.05 * (view.data_centre != self._cfg.data_centre),
        )

    def _is_eligible(self, task, view, now):
        step = task.step_spec
        if (
            not step.needs.fits_in(view.free)
            or task.excluded_until.get(view.agent_id, now) > now
        ):
            return False
        if step.required_label and step.required_label not in view.report.labels:
            return False
        if not step.max_per_target:
            return True
        running = sum(
            run.task.job is task.job and run.task.step_index == task.step_index
            for run in view.runs.values()
        )
        return running < step.max_per_target
