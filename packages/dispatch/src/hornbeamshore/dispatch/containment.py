"""Limits on the agents that may be lost to tasks suspected of crashing targets.

All entries know the same evidence and order the agents in the same way, so they choose
nearly the same agents without any message between them.
"""

from dataclasses import dataclass

from hornbeamshore.base.hashing import rendezvous_order
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.dispatch.evidence import Suspicion

log = PartLogger("entry")


@dataclass(frozen=True, slots=True)
class AgentPools:
    """Agents of a service, or of those with one label, that are set apart.

    Attributes
    ----------
    isolation : frozenset of str
        Agents that run suspected tasks, one at a time.
    confinement : frozenset of str
        Agents that run the tasks of confined queues.
    agent_count : int
        Number of all agents of the service.
    valid_until : float
        Trio clock time.
    """

    isolation: frozenset[str]
    confinement: frozenset[str]
    agent_count: int
    valid_until: float


class Containment:
    """Decides which agents a task may or should use, given the evidence.

    Answers days on which a share of the jobs of one queue crash each target that
    starts them. Each crash takes a target away for seconds. Suspected tasks use few
    agents that others avoid, so that a second crash hits nobody else. While many
    targets crash under one queue, its jobs have a part of the fleet, and the other
    queues keep the rest.

    Parameters
    ----------
    cfg : ContainmentSettings
        Shares of the fleet.
    fleet : Fleet
        Connected agents, with and without a live target.
    evidence : LossEvidence
        Evidence from lost targets.
    """

    def __init__(self, cfg, fleet, evidence):
        self._cfg = cfg
        self._fleet = fleet
        self._evidence = evidence
        self._pools = {}
        self._confined_until = {}

    def is_suspected(self, task):
        """Return whether a task must run in isolation."""
        return self._evidence.suspicion(task) is Suspicion.SUSPECTED

    def is_confined(self, queue, now):
        """Return whether the tasks of a queue are confined to a part of the fleet."""
        return now < self._confined_until.get(queue.name, 0.0)

    def update(self, queue_name, service, now):
        """Confine a queue, or extend its confinement, after the loss of a target.

        Parameters
        ----------
        queue_name : str
            Queue of a run that was lost.
        service : str
            Service of the target.
        now : float
            Trio clock time.
        """
        agent_count = self._pools_of(service, "", now).agent_count
        was_confined = now < self._confined_until.get(queue_name, 0.0)
        until = self._confinement_end(queue_name, agent_count)
        self._confined_until[queue_name] = until
        if now < until and not was_confined:
            log.warning("queue confined queue=%s seconds=%.1f", queue_name, until - now)

    def _confinement_end(self, queue_name, agent_count):
        """Return when the confinement of a queue ends, by all its recorded crashes.

        An entry that has just started gets the crashes from the agents and comes to the
        same result as the others.
        """
        cfg = self._cfg
        least = max(cfg.confinement_crashes, agent_count * cfg.confinement_crash_share)
        ends_at = 0.0
        window = []
        for crash in self._evidence.crashes_under(queue_name):
            window = [
                other
                for other in window
                if crash.lost_at - other.lost_at <= cfg.confinement_window
            ]
            window.append(crash)
            if crash.lost_at < ends_at or _weight(window) >= least:
                ends_at = crash.lost_at + cfg.confinement_time
        return ends_at

    def likelihood(self, task):
        """Return a sort key that is higher for the more likely cause of a crash."""
        return self._evidence.likelihood(task)

    def confined_queues(self, now):
        """Return the set of the names of the confined queues."""
        return {name for name, until in self._confined_until.items() if now < until}

    def admits(self, task, view, now):
        """Return whether a task may run on an agent."""
        if task.isolated:
            return self._admits_trial(task, view, now)
        if self.is_confined(task.job.queue, now):
            return view.agent_id in self._pools_for(task, now).confinement
        return True

    def should_avoid(self, task, view, now):
        """Return whether a task should use another agent if one is free.

        From the first crash on, the tasks of its queue prefer the agents of confined
        queues and other tasks avoid them. This costs no capacity, and most of the
        crashes before the queue is confined happen there.
        """
        if not self._evidence.is_recent(now):
            return False
        pools = self._pools_for(task, now)
        if task.isolated:
            return view.agent_id not in pools.isolation
        if view.agent_id in pools.isolation:
            return True
        is_in_pool = view.agent_id in pools.confinement
        return is_in_pool != self._evidence.is_watched(task.job.queue.name, now)

    def _admits_trial(self, task, view, now):
        """Return whether a suspected task may run on an agent.

        The suspects of queues that are not confined are mostly innocent; they use the
        agents of confined queues as well, rather than wait for seconds.
        """
        pools = self._pools_for(task, now)
        agent_ids = pools.isolation
        if not self.is_confined(task.job.queue, now):
            agent_ids |= pools.confinement
        return view.agent_id in agent_ids and not self._is_trying(view, now)

    def _is_trying(self, view, now):
        return any(
            run.task.isolated and now - run.ordered_at < self._cfg.trial_time
            for run in view.runs.values()
        )

    def _pools_for(self, task, now):
        return self._pools_of(
            task.job.queue.service, task.step_spec.required_label, now
        )

    def _pools_of(self, service, label, now):
        """Return the pools among the agents of a service that have a label, if any."""
        pools = self._pools.get((service, label))
        if pools is None or now >= pools.valid_until:
            # Labels come from callers; without this, each would stay for good.
            self._pools = {
                key: kept for key, kept in self._pools.items() if now < kept.valid_until
            }
            pools = self._pools[service, label] = self._make_pools(service, label, now)
        return pools

    def _make_pools(self, service, label, now):
        names = [
            view.agent_id
            for view in self._fleet.agents.values()
            if view.description is not None
            and view.description.service == service
            and (not label or label in view.description.labels)
        ]
        ordered = rendezvous_order(service, names)
        isolated = max(1, round(len(ordered) * self._cfg.isolation_share))
        confined = max(1, round(len(ordered) * self._cfg.confinement_share))
        return AgentPools(
            frozenset(ordered[:isolated]),
            # The only agent of a service is in both.
            frozenset(ordered[isolated : isolated + confined] or ordered),
            len(ordered),
            now + self._cfg.pools_validity,
        )


def _weight(crashes):
    """Return the weight of crashes: one for each job and one more for each trial.

    A single task that has crashed two targets, the second one in a trial, weighs 2.
    """
    jobs = set()
    weight = 0
    for crash in crashes:
        if jobs.isdisjoint(crash.job_ids):
            weight += 1
        jobs |= crash.job_ids
        weight += crash.is_trial
    return weight
