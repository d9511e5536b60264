"""All decisions of one dispatcher, composed of the single policies."""

import random

from hornbeamshore.policy.admission import Forecast, TimeBound
from hornbeamshore.policy.fleet import Running, Target
from hornbeamshore.policy.outliers import FailureOutliers
from hornbeamshore.policy.placement import EarliestEnd
from hornbeamshore.policy.queueing import FairQueue
from hornbeamshore.policy.retries import BudgetedRetries
from hornbeamshore.policy.runtimes import LearnedRunTimes
from hornbeamshore.policy.types import (
    Assignment,
    FlowStatus,
    Outcome,
    SchedulerStatus,
    TargetStatus,
)

# Quota of a team that the configuration no longer names: what it has queued ends.
UNKNOWN_TEAM_SLOTS = 1


class Scheduler:
    """Decides what runs where and when in one partition.

    Parameters
    ----------
    cfg : PolicySettings
        Settings of all policies.
    rng : random.Random, optional
        Source of the jitter of retries.
    """

    def __init__(self, cfg, rng=None):
        self._cfg = cfg
        self._rng = rng or random.Random()
        self._run_times = self._make_run_times()
        self._outliers = self._make_outliers()
        self._queue = self._make_queue()
        self._placement = self._make_placement()
        self._admission = self._make_admission()
        self._retries = self._make_retries()
        self._deployment = None
        self._service = None
        self._targets = {}
        self._team_running = {}
        self._refusals = {}
        self._recheck = None

    def configure(self, deployment, service):
        """Take a deployment's configuration for one service; may be repeated."""
        self._deployment = deployment
        self._service = deployment.services[service]
        for name, kind in self._service.kinds.items():
            self._run_times.declare(name, float(kind.expected_run))
        self._queue.configure(deployment, service)
        self._retries.configure(self._service.retry)

    def add_target(self, info):
        """Add a target, or take its new announcement."""
        target = self._targets.get(info.agent_id)
        if target is None:
            self._targets[info.agent_id] = Target(info)
            self._outliers.add(info.agent_id)
            return
        target.draining = False
        target.announce(info)

    def remove_target(self, agent_id):
        """Forget a target; return the tasks that were running on it.

        A later `ended` for one of them is ignored.
        """
        target = self._targets.pop(agent_id, None)
        if target is None:
            return ()
        self._outliers.remove(agent_id)
        running = tuple(target.running.values())
        for entry in running:
            self._release(entry)
        return tuple(entry.task for entry in running)

    def set_draining(self, agent_id):
        """Start nothing more on a target that is leaving."""
        target = self._targets.get(agent_id)
        if target is not None:
            target.draining = True
            target.update()

    def admit(self, load, now):
        """Return a `Refusal` of a submission, or None if it may be queued."""
        refusal = self._admission.check(load, self._forecast(load, now))
        if refusal is not None:
            name = refusal.code.name
            self._refusals[name] = self._refusals.get(name, 0) + 1
        return refusal

    def enqueue(self, tasks, now):
        """Queue tasks that were admitted, or that may be placed again."""
        if tasks and tasks[0].attempt == 1:
            self._retries.count_request()
        self._queue.add(tasks, now)

    def cancel(self, key):
        """Remove the queued tasks of a job; return them."""
        return self._queue.cancel(key)

    def expire(self, now):
        """Remove the queued tasks whose deadline passed; return them."""
        return self._queue.expire(now)

    def assign(self, now):
        """Return the tasks to start now, each as an `Assignment`."""
        self._recheck = None
        self._update_health(now)
        self._placement.begin(now)
        out = []
        while self._has_free_slot():
            flow = self._queue.pick(now)
            if flow is None:
                break
            target = self._target_for(flow, now)
            if target is None:
                self._queue.set_aside(flow)
                continue
            cost = self._run_times.base(flow.kind)
            task = self._queue.take(flow, cost, now)
            self._start(task, target, now)
            out.append(Assignment(task, target.agent_id))
        self._queue.restore()
        return tuple(out)

    def adopt(self, agent_id, task, now):
        """Note a task that runs already, found after a takeover."""
        target = self._targets.get(agent_id)
        if target is not None:
            self._start(task, target, now)

    def ended(self, agent_id, task, outcome, run_time_s, now):
        """Note how a task ended; a refusal frees its slot and teaches no run time."""
        target = self._targets.get(agent_id)
        running = None if target is None else target.end(task)
        if running is None:
            return
        self._release(running)
        if outcome is Outcome.OK:
            self._run_times.observe(task.kind, agent_id, run_time_s)
        self._outliers.ended(agent_id, task.kind, outcome, now)
        self._update_target(target)

    def may_retry(self, now):
        """Return whether a retry is allowed, and take it from the budget."""
        return self._retries.may_retry(now)

    def retry_delay(self, attempt):
        """Return the seconds to wait after attempt number `attempt` failed."""
        return self._retries.delay(attempt)

    def next_wakeup(self, now):
        """Return when `assign` or `expire` could change without an event, or None."""
        moments = [
            self._queue.next_deadline(),
            self._outliers.next_change(),
            self._recheck,
        ]
        moments = [moment for moment in moments if moment is not None]
        return min(moments, default=None)

    def snapshot(self, now):
        """Return a `SchedulerStatus`."""
        flows = tuple(self._flow_status(flow, now) for flow in self._queue.flows())
        queued, wait_s = {}, {}
        for flow in flows:
            queued[flow.urgency] = queued.get(flow.urgency, 0) + flow.queued
            wait_s[flow.urgency] = max(wait_s.get(flow.urgency, 0.0), flow.wait_s)
        return SchedulerStatus(
            queued,
            wait_s,
            flows,
            tuple(self._target_status(target) for target in self._targets.values()),
            sum(target.info.slots for target in self._targets.values()),
            sum(len(target.running) for target in self._targets.values()),
            self._retries.used,
            self._retries.denied,
            dict(self._refusals),
        )

    def _make_run_times(self):
        return LearnedRunTimes(self._cfg.run_times)

    def _make_outliers(self):
        return FailureOutliers(self._cfg.outliers)

    def _make_queue(self):
        return FairQueue(self._cfg.queue)

    def _make_placement(self):
        cfg = self._cfg
        return EarliestEnd(cfg.placement, self._run_times, cfg.data_centre)

    def _make_admission(self):
        return TimeBound(self._cfg.admission)

    def _make_retries(self):
        return BudgetedRetries(self._cfg.retries, self._rng)

    def _forecast(self, load, now):
        flow = self._queue.flow(load.team, load.kind)
        runnable = known = 0
        for target in self._targets.values():
            if flow.requires <= target.labels:
                known += target.info.slots
                runnable += 0 if target.draining else target.info.slots
        if not self._targets:
            known = 1
        base = self._run_times.base(load.kind)
        work = (flow.queued + load.task_count - 1) * base
        learned = self._run_times.is_learned(load.kind)
        quota = self._quota(load.team)
        return Forecast(
            runnable,
            known,
            work / max(1, runnable),
            base if learned else 0.0,
            quota,
            work / max(1, quota),
        )

    def _quota(self, team):
        known = self._deployment.teams.get(team) if self._deployment else None
        if known is None:
            return UNKNOWN_TEAM_SLOTS
        return -(-known.quota_slots // self._service.partitions)

    def _has_free_slot(self):
        return any(target.usable for target in self._targets.values())

    def _target_for(self, flow, now):
        if self._team_running.get(flow.team, 0) >= self._quota(flow.team):
            return None
        target = self._placement.choose(
            flow.kind, flow.requires, self._targets.values(), now
        )
        if target is None:
            self._recheck = now + 0.01
        return target

    def _start(self, task, target, now):
        estimate = self._run_times.estimate(task.kind, target.agent_id)
        cost = self._run_times.base(task.kind)
        target.start(Running(task, target.agent_id, now, estimate, cost))
        team = task.team
        self._team_running[team] = self._team_running.get(team, 0) + 1
        self._queue.flow(team, task.kind).running += 1

    def _release(self, running):
        task = running.task
        self._team_running[task.team] -= 1
        self._queue.flow(task.team, task.kind).running -= 1

    def _update_health(self, now):
        if self._outliers.due(now):
            for target in self._targets.values():
                self._update_target(target)

    def _update_target(self, target):
        health = self._outliers.health(target.agent_id)
        if health is not target.health:
            target.health = health
            target.update()

    def _flow_status(self, flow, now):
        head = flow.head()
        wait_s = now - head.since if head else 0.0
        return FlowStatus(
            flow.team,
            flow.kind,
            flow.urgency.value,
            flow.queued,
            flow.running,
            wait_s,
            0.0,
        )

    def _target_status(self, target):
        return TargetStatus(
            target.agent_id,
            target.info.slots,
            len(target.running),
            target.draining,
            target.health.value,
            self._outliers.success_rate(target.agent_id),
            self._run_times.slowness(target.agent_id),
        )
