"""Placement: selection of the agent for a task."""

import abc
import math
import statistics


class Placement(abc.ABC):
    """Placement policy."""

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


class FastestWithRoom(Placement):
    """Selects the fastest agent with enough free capacity, then the least loaded.

    A task is placed on any eligible agent, since waiting for a faster one would use up
    the slack of its job. Only a degraded agent, one far slower than the median, is
    avoided while an agent of median speed could still finish the job in time.

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
        self._step = math.log(cfg.speed_tolerance)

    def choose(self, task, agents, now):
        """Return the agent on which to place a task, or None to keep it waiting."""
        fitting = [view for view in agents if self._may_run(task, view, now)]
        if not fitting:
            return None
        best = min(fitting, key=lambda view: self._rank(task, view))
        usual = statistics.median_low(
            self._run_times.slowness(view.agent_id) for view in agents
        )
        slowness = self._run_times.slowness(best.agent_id)
        if slowness <= usual * self._cfg.degraded_factor:
            return best
        usual_s = self.expected_s(task, best) * usual / slowness
        return None if now + usual_s <= task.job.on_time_at else best

    def has_room(self, task, agents, now):
        """Return whether any agent is eligible for a task, in time or not."""
        return any(self._may_run(task, view, now) for view in agents)

    def fastest_s(self, job, agents):
        """Return the expected run time of a job on the fastest agent, in seconds."""
        base = self._run_times.base(job.queue.name)
        slowness = [self._run_times.slowness(view.agent_id) for view in agents]
        return job.longest_estimate_s * base * min(slowness, default=1.0)

    def expected_s(self, task, view):
        """Return the expected run time of a task on an agent, in seconds."""
        queue = task.job.queue.name
        return task.spec.estimate_s * self._run_times.estimate(queue, view.agent_id)

    def _rank(self, task, view):
        slowness = self._run_times.slowness(view.agent_id)
        rack = task.spec.near_rack
        return (
            bool(rack) and rack not in view.report.labels,
            round(math.log(slowness) / self._step),
            view.load + 0.05 * (view.data_centre != self._cfg.data_centre),
        )

    def _may_run(self, task, view, now):
        step = task.spec
        if not step.needs.fits(view.free) or task.avoid.get(view.agent_id, now) > now:
            return False
        if step.required_label and step.required_label not in view.report.labels:
            return False
        if not step.max_per_target:
            return True
        present = sum(
            run.task.job is task.job and run.task.step == task.step
            for run in view.runs.values()
        )
        return present < step.max_per_target
