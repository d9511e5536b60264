"""Choice of the agent for a task."""

import abc
import math
import statistics


class Placement(abc.ABC):
    """Chooses agents for tasks."""

    @abc.abstractmethod
    def choose(self, task, agents, now):
        """Return the agent that should run a task now, or None to let it wait.

        Parameters
        ----------
        task : Task
            Waiting task.
        agents : list of AgentView
            Usable agents of the service.
        now : float
            Trio time.
        """


class FastestWithRoom(Placement):
    """Chooses the fastest agent with room, and the emptiest of equals.

    A task takes any room that there is, since waiting for a faster agent uses up the
    slack of its job. Only an agent that has become far slower than its peers is left
    alone for as long as one of these can still end the job in time.

    Parameters
    ----------
    cfg : DispatchSettings
        Settings.
    run_times : RunTimes
        Ratio of actual to declared run times for each queue and agent.
    """

    def __init__(self, cfg, run_times):
        self._cfg = cfg
        self._run_times = run_times
        self._step = math.log(cfg.speed_tolerance)

    def choose(self, task, agents, now):
        """Return the agent that should run a task now, or None to let it wait."""
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
        """Return whether any agent could run a task now, in time or late."""
        return any(self._may_run(task, view, now) for view in agents)

    def fastest_s(self, job, agents):
        """Return the run time of a whole job on the fastest of some agents."""
        base = self._run_times.base(job.queue.name)
        slowness = [self._run_times.slowness(view.agent_id) for view in agents]
        return job.longest_estimate_s * base * min(slowness, default=1.0)

    def expected_s(self, task, view):
        """Return the expected run time of a task at an agent."""
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
