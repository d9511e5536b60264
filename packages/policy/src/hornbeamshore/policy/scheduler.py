"""Scheduler of one dispatcher, which combines the policies."""

import math
import random

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.policy.admission import TimeBound
from hornbeamshore.policy.fleet import Fleet, Running, task_id
from hornbeamshore.policy.forecast import Forecaster
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

LEARN_EVERY_S = 0.25
# Minimum time to the next `assign`; a shorter one only adds wakeups.
MIN_RECHECK_S = 0.005
# Maximum number of flows deferred in one call of `assign`. Without a limit the cost
# of each event would grow with the number of flows.
MAX_WAITING_FLOWS = 8


class Scheduler:
    """Decides which tasks run when and on which targets, for one partition.

    Parameters
    ----------
    cfg : PolicySettings
        Settings of all policies.
    rng : random.Random, optional
        Random numbers for the jitter of retry delays.
    """

    def __init__(self, cfg, rng=None):
        self._cfg = cfg
        self._rng = rng or random.Random()
        self._fleet = Fleet()
        self._run_times = self._make_run_times()
        self._outliers = self._make_outliers()
        self._queue = self._make_queue()
        self._placement = self._make_placement()
        self._admission = self._make_admission()
        self._retries = self._make_retries()
        self._forecaster = Forecaster(self._fleet, self._run_times, self._queue)
        self._teams = {}
        self._quotas = {}
        self._team_running = {}
        self._refusals = {}
        self._changed = True
        self._recheck = None
        self._learn_at = -math.inf

    def configure(self, deployment, service):
        """Apply the configuration of a service; may be called again for updates."""
        known = deployment.services[service]
        for name, kind in known.kinds.items():
            self._run_times.declare(name, float(kind.expected_run))
        self._teams = deployment.teams
        # The quota of a removed team is kept, so that its queued tasks can still run.
        for name, team in deployment.teams.items():
            self._quotas[name] = -(-team.quota_slots // known.partitions)
            self._queue.unblock(name)
        self._queue.configure(deployment, service)
        self._changed = True
        self._retries.configure(known.retry)

    def add_target(self, info):
        """Add a target or update an announced one; an update ends its draining."""
        self._fleet.add(info)
        self._outliers.add(info.agent_id)
        self._learn_at = -math.inf

    def remove_target(self, agent_id):
        """Remove a target; return the tasks that were running on it.

        Later calls of `ended` for these tasks have no effect.
        """
        target = self._fleet.remove(agent_id)
        if target is None:
            return ()
        self._outliers.remove(agent_id)
        self._run_times.forget_target(agent_id)
        running = tuple(target.running.values())
        for entry in running:
            self._release(entry)
        self._changed = True
        return tuple(entry.task for entry in running)

    def set_draining(self, agent_id):
        """Stop starting tasks on a target."""
        target = self._fleet.get(agent_id)
        if target is not None:
            self._fleet.drain(target)

    def admit(self, load, now):
        """Return a `Refusal` of a submission, or None to accept it."""
        self._learn(now)
        quota = self._quota(load.team) if load.team in self._teams else 0
        running = self._team_running.get(load.team, 0)
        forecast = self._forecaster.forecast(load, quota, running, now)
        refusal = self._admission.check(load, forecast)
        if refusal is not None:
            if forecast.wait_s and refusal.code is not ResultCode.QUOTA_EXCEEDED:
                self._queue.note_overload(now)
            name = refusal.code.name
            self._refusals[name] = self._refusals.get(name, 0) + 1
        return refusal

    def enqueue(self, tasks, now):
        """Queue tasks of an accepted submission or a retry."""
        self._learn(now)
        if tasks and tasks[0].attempt == 1:
            self._retries.count_request()
        self._queue.add(tasks, now)
        self._changed = True

    def cancel(self, key):
        """Remove and return the queued tasks of a job."""
        self._changed = True
        return self._queue.cancel(key)

    def expire(self, now):
        """Remove and return the queued tasks whose deadline has passed."""
        expired = self._queue.expire(now)
        self._changed = self._changed or bool(expired)
        return expired

    def assign(self, now):
        """Assign queued tasks to free slots; return a tuple of `Assignment`."""
        self._learn(now)
        if not self._changed and (self._recheck is None or now < self._recheck):
            return ()
        self._changed = False
        self._placement.begin(now)
        out = []
        waiting = 0
        while self._fleet.free and waiting < MAX_WAITING_FLOWS:
            flow = self._queue.pick(now, excess=self._fleet.unreserved > 0)
            if flow is None:
                break
            assignment = self._try_start(flow, now)
            if assignment is None:
                waiting += 1
            else:
                out.append(assignment)
        self._queue.restore()
        self._recheck = self._next_recheck(now)
        return tuple(out)

    def adopt(self, agent_id, task, now):
        """Record a running task that was started by a previous owner."""
        target = self._fleet.get(agent_id)
        if target is not None and task_id(task) not in target.running:
            self._start(task, target, now)

    def ended(self, agent_id, task, outcome, run_time_s, now):
        """Record the outcome of a task and release its slot.

        Only successful tasks update the run time estimates. Calls for tasks that are
        not running have no effect.
        """
        target = self._fleet.get(agent_id)
        running = None if target is None else self._fleet.end(target, task)
        if running is None:
            return
        self._release(running)
        self._changed = True
        if outcome is Outcome.OK:
            self._run_times.observe(task.kind, agent_id, run_time_s)
        if running.charged and outcome in (Outcome.OK, Outcome.REFUSED):
            # A flow is not charged for time lost on a failing or stalled target.
            done = run_time_s / target.slowness if outcome is Outcome.OK else 0.0
            self._queue.correct(running.flow, done - running.cost)
        self._outliers.ended(agent_id, task.kind, outcome, now)
        self._rate(target)

    def may_retry(self, now):
        """Return whether a retry is allowed; if so, deduct it from the budget."""
        return self._retries.may_retry(now)

    def retry_delay(self, attempt):
        """Return the delay in seconds before the retry of attempt number `attempt`."""
        return self._retries.delay(attempt)

    def next_wakeup(self, now):
        """Return when to call `assign` and `expire` next without an event, or None."""
        deadline = self._queue.next_deadline()
        # Updates of health and entitlements may allow queued tasks to start.
        learn = None if deadline is None else self._learn_at
        moments = (deadline, learn, self._recheck)
        return min((moment for moment in moments if moment is not None), default=None)

    def snapshot(self, now):
        """Return the current state as a `SchedulerStatus`."""
        flows = tuple(_flow_status(flow, now) for flow in self._queue.flows())
        queued, wait_s = {}, {}
        for flow in flows:
            queued[flow.urgency] = queued.get(flow.urgency, 0) + flow.queued
            wait_s[flow.urgency] = max(wait_s.get(flow.urgency, 0.0), flow.wait_s)
        targets = self._fleet.targets()
        return SchedulerStatus(
            queued,
            wait_s,
            flows,
            tuple(self._target_status(target) for target in targets),
            sum(target.info.slots for target in targets),
            sum(len(target.running) for target in targets),
            self._retries.used,
            self._retries.denied,
            dict(self._refusals),
        )

    def _make_run_times(self):
        return LearnedRunTimes(self._cfg.run_times)

    def _make_outliers(self):
        return FailureOutliers(self._cfg.outliers)

    def _make_queue(self):
        return FairQueue(self._cfg.queue, self._run_times)

    def _make_placement(self):
        cfg = self._cfg
        return EarliestEnd(cfg.placement, self._run_times, self._fleet, cfg.data_centre)

    def _make_admission(self):
        return TimeBound(self._cfg.admission)

    def _make_retries(self):
        return BudgetedRetries(self._cfg.retries, self._rng)

    def _quota(self, team):
        return self._quotas.get(team, 0)

    def _try_start(self, flow, now):
        """Start a task of the picked flow; return its `Assignment`, or None."""
        if self._team_running.get(flow.team, 0) >= self._quota(flow.team):
            self._queue.block(flow)
            return None
        choice = self._placement.choose(flow, now)
        if choice is None:
            self._queue.set_aside(flow)
            return None
        task = self._queue.take(flow, now, choice.last)
        self._start(task, choice.target, now)
        return Assignment(task, choice.target.agent_id)

    def _next_recheck(self, now):
        """Return when `assign` may start a task without an event, or None."""
        moments = [self._placement.awaited()]
        if self._fleet.free:
            moments.append(self._queue.next_refill())
        moment = min((m for m in moments if m is not None), default=None)
        return None if moment is None else max(moment, now + MIN_RECHECK_S)

    def _start(self, task, target, now):
        flow = self._queue.flow(task.team, task.kind)
        cost = self._run_times.base(task.kind)
        departure = self._run_times.departures(task.kind).get(target.agent_id, 1.0)
        running = Running(task, flow, now, cost, target.slowness * departure)
        self._fleet.start(target, running)
        self._team_running[task.team] = self._team_running.get(task.team, 0) + 1
        flow.running += 1
        flow.speed += running.speed

    def _release(self, running):
        team = running.task.team
        self._team_running[team] -= 1
        running.flow.running -= 1
        running.flow.speed -= running.speed
        self._queue.unblock(team)

    def _learn(self, now):
        if now < self._learn_at:
            return
        self._learn_at = now + LEARN_EVERY_S
        self._changed = True
        self._outliers.due(now)
        for target in self._fleet.targets():
            self._note_stall(target, now)
            self._rate(target)
        self._fleet.reserve(self._reserved_slots())
        self._queue.learn(now, self._forecaster.capacity(frozenset()))
        self._forecaster.refresh(now)

    def _reserved_slots(self):
        slots = sum(target.info.slots for target in self._fleet.targets())
        return round(self._cfg.placement.reserve_share * slots)

    def _note_stall(self, target, now):
        late = sum(
            now - entry.started > self._stalled_after(entry)
            for entry in target.running.values()
            if self._run_times.is_learned(entry.task.kind)
        )
        if late >= max(2, len(target.running) / 2):
            self._outliers.stalled(target.agent_id, now)

    def _stalled_after(self, entry):
        cfg = self._cfg.outliers
        return max(cfg.stall_after, cfg.stall_factor * (entry.end - entry.started))

    def _rate(self, target):
        slowness = self._run_times.slowness(target.agent_id)
        target.rate(slowness, self._outliers.success_rate(target.agent_id))
        health = self._outliers.health(target.agent_id)
        if health is not target.health:
            self._fleet.set_health(target, health)

    def _target_status(self, target):
        return TargetStatus(
            target.agent_id,
            target.info.slots,
            len(target.running),
            target.draining,
            target.health.value,
            self._outliers.success_rate(target.agent_id),
            target.slowness,
        )


def _flow_status(flow, now):
    head = flow.head()
    return FlowStatus(
        flow.team,
        flow.kind,
        flow.urgency.value,
        flow.queued,
        flow.running,
        now - head.since if head else 0.0,
        flow.entitlement,
    )
