"""Assignment of waiting tasks to agents."""

import trio

from hornbeamshore.dispatch.containment import Containment
from hornbeamshore.dispatch.headroom import Headroom
from hornbeamshore.dispatch.placement import FastestEligible
from hornbeamshore.dispatch.waiting import FairShareOrder
from hornbeamshore.policy.runtimes import LearnedRunTimes


class Assigner:
    """Assigns waiting tasks to agents with free capacity.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    fleet : Fleet
        Connected agents.
    evidence : LossEvidence
        Evidence about tasks that crash targets.

    Attributes
    ----------
    run_times : LearnedRunTimes
        Estimates of the ratio of actual to declared run time by queue and agent.
    """

    def __init__(self, cfg, fleet, evidence):
        self.run_times = LearnedRunTimes(cfg.run_times)
        self._cfg = cfg
        self._fleet = fleet
        self._evidence = evidence
        self._containment = Containment(cfg.containment, fleet, evidence)
        self._waiting = FairShareOrder(cfg)
        # Suspected tasks wait apart, where they hold up no other task of their queue.
        self._suspects = []
        self._headroom = Headroom(cfg, self._containment)
        self._placement = FastestEligible(
            cfg, self.run_times, fleet.index.rng, self._containment
        )

    @property
    def has_waiting_tasks(self):
        """Whether any task waits for an agent."""
        return bool(self._suspects) or not self._waiting.is_empty

    def add_job(self, job):
        """Set the objective of a job and enqueue the tasks of its first steps."""
        queue = job.queue
        # Objectives are based on declared run times; faster targets only add slack.
        self.run_times.declare(queue.name, 1.0)
        expected_s = job.critical_path_s * max(
            1.0, self.run_times.mean_run_time(queue.name)
        )
        objective_s = queue.stretch * expected_s + queue.objective_s
        job.due_at = job.received_at + objective_s - self._cfg.overhead
        self._headroom.record_job(job, job.received_at)
        self.release_tasks(job)

    def release_tasks(self, job):
        """Enqueue the tasks of a job whose earlier steps are complete."""
        for task in job.release_tasks():
            self._enqueue(task)

    def requeue(self, task):
        """Enqueue a task again after a run that did not succeed."""
        self._enqueue(task)

    def _enqueue(self, task):
        if self._containment.is_suspected(task):
            task.isolated = True
            self._suspects.append(task)
        else:
            self._waiting.add(task)

    def remove_job(self, job):
        """Remove the waiting tasks of a job that has ended."""
        self._waiting.remove_job(job)
        self._suspects = [task for task in self._suspects if task.job is not job]

    @property
    def suspects(self):
        """Suspected tasks that wait for an agent, as a tuple."""
        return tuple(self._suspects)

    def untried_suspects(self):
        """Return the suspected tasks whose jobs can no longer end in useful time."""
        now = trio.current_time()
        return [task for task in self._suspects if now >= self._useful_until(task.job)]

    def _useful_until(self, job):
        objective_s = job.due_at - job.received_at
        return job.received_at + objective_s * self._cfg.containment.late_factor

    def record_loss(self, view, loss):
        """Record the loss of the target of an agent, as the agent reported it."""
        now = trio.current_time()
        confined_queues = self._containment.confined_queues(now)
        self._evidence.record_loss(
            view.agent_id, view.incarnation, loss, confined_queues, now
        )
        if view.description is not None:
            for queue_name in {run.queue for run in loss.runs}:
                self._containment.update(queue_name, view.description.service, now)

    def assign(self):
        """Assign waiting tasks until none can be placed.

        Before it resumes the iteration, the caller must either reserve the resources of
        the task on its agent or remove the job of the task.

        Yields
        ------
        task : Task
            Task to place.
        view : AgentView
            Agent on which to place it.
        expected_run_time_s : float
            Expected run time in seconds.
        """
        if not self.has_waiting_tasks:
            return
        now = trio.current_time()
        yield from self._assign_suspects(now)
        for include_late in (False, True):
            yield from self._assign_pass(now, include_late=include_late)

    def _assign_suspects(self, now):
        # The least likely cause first: a crash takes the agent away for seconds.
        for task in sorted(self._suspects, key=self._containment.likelihood):
            if task.job.finished.is_set():
                continue
            agents = self._fleet.usable_agents(task.job.queue.service)
            view = self._placement.choose(task, agents, now)
            if view is not None:
                self._suspects.remove(task)
                yield task, view, self._placement.expected_run_time_s(task, view)

    def _assign_pass(self, now, *, include_late):
        """Run one assignment pass.

        Parameters
        ----------
        include_late : bool
            False to place only tasks of jobs that can meet their objective or that
            have tasks placed already; True to place tasks of late jobs too.
        """
        skipped = set()
        while True:
            queue_names = self._waiting.queue_order(now)
            name = next((name for name in queue_names if name not in skipped), None)
            if name is None:
                return
            task = self._waiting.next_task(name, now, include_late=include_late)
            agents = self._fleet.usable_agents(task.job.queue.service)
            view = self._choose(task, agents, now, include_late=include_late)
            if view is None:
                skipped.add(name)
                continue
            expected_run_time_s = self._placement.expected_run_time_s(task, view)
            core_seconds = expected_run_time_s * task.step_spec.needs.cpu_millis / 1000
            self._waiting.remove_task(task, core_seconds, now)
            yield task, view, expected_run_time_s

    def _choose(self, task, agents, now, *, include_late):
        """Return the agent on which to place a task, or None to keep it waiting."""
        has_placed_task = task.job.has_placed_task
        if not has_placed_task and not self._headroom.allows(task, agents, now):
            return None
        view = self._placement.choose(task, agents, now)
        if view is None or has_placed_task or include_late:
            return view
        ends_at = now + self._placement.expected_run_time_s(task, view)
        return view if ends_at <= task.job.due_at else None

    def fastest_run_time_s(self, job):
        """Return the expected run time of a job on the fastest agent, in seconds."""
        agents = self._fleet.usable_agents(job.queue.service)
        return self._placement.fastest_run_time_s(job, agents, trio.current_time())

    def rejection_reason(self, job):
        """Return why a job that has not started must be rejected, or None.

        A job is rejected if its first task cannot be placed on any agent and even the
        fastest agent could no longer run the job in time.

        Returns
        -------
        str or None
            Inputs of the decision for the log; None if the job may wait.
        """
        now = trio.current_time()
        agents = self._fleet.usable_agents(job.queue.service)
        fastest_run_time_s = self._placement.fastest_run_time_s(job, agents, now)
        if now + fastest_run_time_s <= job.due_at:
            return None
        if self._placement.can_place(job.tasks[0][0], agents, now):
            return None
        free = [view.free.cpu_millis for view in agents.views.values()]
        return (
            f"fastest_ms={fastest_run_time_s * 1000:.0f} agents={len(free)}"
            f" max_free={max(free, default=0)} sum_free={sum(free)}"
        )

    def retry_after_s(self, job):
        """Return the delay, in seconds, after which a rejected job may be served."""
        if self._containment.is_confined(job.queue, trio.current_time()):
            return self._cfg.containment.confinement_retry_after
        return self._cfg.retry_after

    def record_run_time(self, run, run_time_s):
        """Update the estimates with the run time of a run.

        Parameters
        ----------
        run : Run
            Completed run, or one that is overdue.
        run_time_s : float
            Run time in seconds, for an overdue run the time elapsed so far.
        """
        task = run.task
        ratio = run_time_s / task.step_spec.estimate_s
        self.run_times.observe(task.job.queue.name, run.agent_id, ratio)

    def remove_agent(self, agent_id):
        """Discard the estimates for an agent whose target was replaced or removed."""
        self.run_times.forget_target(agent_id)
