"""Assignment of waiting tasks to agents."""

import trio

from hornbeamshore.dispatch.headroom import Headroom
from hornbeamshore.dispatch.placement import FastestWithRoom
from hornbeamshore.dispatch.waiting import EqualShares
from hornbeamshore.policy.runtimes import LearnedRunTimes


class Assigner:
    """Assigns waiting tasks to agents with free capacity.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    fleet : Fleet
        Connected agents.

    Attributes
    ----------
    run_times : LearnedRunTimes
        Estimates of the ratio of actual to declared run time by queue and agent.
    """

    def __init__(self, cfg, fleet):
        self.run_times = LearnedRunTimes(cfg.run_times)
        self._cfg = cfg
        self._fleet = fleet
        self._waiting = EqualShares(cfg)
        self._headroom = Headroom(cfg)
        self._placement = FastestWithRoom(cfg, self.run_times)

    def open_job(self, job):
        """Set the objective of a job and enqueue the tasks of its first steps."""
        queue = job.queue
        # Objectives are based on declared run times; faster targets only add slack.
        self.run_times.declare(queue.name, 1.0)
        chain = job.longest_estimate_s * max(1.0, self.run_times.base(queue.name))
        objective = queue.stretch * chain + queue.objective_s
        job.on_time_at = job.received_at + objective - self._cfg.overhead
        self._headroom.job_arrived(job, job.received_at)
        self.release_tasks(job)

    def release_tasks(self, job):
        """Enqueue the tasks of a job whose earlier steps are complete."""
        for task in job.release_tasks():
            self._waiting.add(task)

    def retry(self, task):
        """Enqueue a task again after a run that did not succeed."""
        self._waiting.add(task)

    def remove_job(self, job):
        """Remove the waiting tasks of a job that has ended."""
        self._waiting.remove_job(job)

    def assign(self):
        """Assign waiting tasks until none can be placed.

        The caller must reserve the resources of each task on its agent before it
        resumes the iteration.

        Yields
        ------
        task : Task
        view : AgentView
        expected_s : float
            Expected run time in seconds.
        """
        now = trio.current_time()
        for late in (False, True):
            yield from self._assign(now, late=late)

    def _assign(self, now, *, late):
        """Run one assignment pass.

        Parameters
        ----------
        late : bool
            False to place only tasks of jobs that can meet their objective or that
            have tasks placed already; True to place tasks of late jobs too.
        """
        agents = {}
        blocked = set()
        while True:
            names = self._waiting.queues(now)
            name = next((name for name in names if name not in blocked), None)
            if name is None:
                return
            task = self._waiting.next_task(name, now, late=late)
            service = task.job.queue.service
            if service not in agents:
                agents[service] = self._fleet.usable(service)
            view = self._choose(task, agents[service], now, late=late)
            if view is None:
                blocked.add(name)
                continue
            expected_s = self._placement.expected_s(task, view)
            work = expected_s * task.spec.needs.cpu_millis / 1000
            self._waiting.take(task, work, now)
            yield task, view, expected_s

    def _choose(self, task, agents, now, *, late):
        """Return the agent on which to place a task, or None to keep it waiting."""
        begun = task.job.has_begun
        if not begun and not self._headroom.allows(task, agents, now):
            return None
        view = self._placement.choose(task, agents, now)
        if view is None or begun or late:
            return view
        ends_at = now + self._placement.expected_s(task, view)
        return view if ends_at <= task.job.on_time_at else None

    def refusal(self, job):
        """Return why a job that has not started has to be rejected, if it has to.

        A job is rejected if its first task cannot be placed on any agent and even the
        fastest agent could no longer run the job in time.

        Returns
        -------
        str or None
            Inputs of the decision for the log; None if the job may wait.
        """
        now = trio.current_time()
        agents = self._fleet.usable(job.queue.service)
        fastest_s = self._placement.fastest_s(job, agents)
        has_room = self._placement.has_room(job.tasks[0][0], agents, now)
        if now + fastest_s <= job.on_time_at or has_room:
            return None
        free = ",".join(f"{view.agent_id}:{view.free.cpu_millis}" for view in agents)
        return f"fastest_ms={fastest_s * 1000:.0f} free={free}"

    def observe(self, run, run_time_s):
        """Update the estimates with the run time of a run.

        Parameters
        ----------
        run : Run
            Completed run, or one that is overdue.
        run_time_s : float
            Run time in seconds, for an overdue run the time elapsed so far.
        """
        task = run.task
        ratio = run_time_s / task.spec.estimate_s
        self.run_times.observe(task.job.queue.name, run.agent_id, ratio)

    def forget_agent(self, agent_id):
        """Discard the estimates for an agent whose target was replaced or removed."""
        self.run_times.forget_target(agent_id)
