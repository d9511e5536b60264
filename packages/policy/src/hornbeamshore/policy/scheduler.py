"""Scheduler of one dispatcher, which combines the policies."""

import math
import random

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.policy.admission import ExpectedWaitAdmission
from hornbeamshore.policy.fleet import Fleet, RunningTask, attempt_id
from hornbeamshore.policy.forecast import Forecaster
from hornbeamshore.policy.outliers import FailureOutlierDetector
from hornbeamshore.policy.placement import EarliestCompletion
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

UPDATE_INTERVAL_S = 0.25
# Minimum time until running tasks are checked for overruns again; a shorter one only
# adds wakeups.
MIN_RECHECK_INTERVAL_S = 0.005
# Maximum number of flows deferred in one call of `assign`. Without a limit the cost
# of each event would grow with the number of flows.
MAX_DEFERRED_FLOWS = 8


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
        self._recheck_at = None
        self._next_update_at = -math.inf

    def configure(self, deployment, service):
        """Apply the configuration of a service; may be called again for updates."""
        service_cfg = deployment.services[service]
        for name, kind in service_cfg.kinds.items():
            self._run_times.declare(name, float(kind.expected_run))
        self._teams = deployment.teams
        # The quota of a removed team is kept, so that its queued tasks can still run.
        for name, team in deployment.teams.items():
            self._quotas[name] = -(-team.quota_slots // service_cfg.partitions)
            self._queue.unblock(name)
        self._queue.configure(deployment, service)
        self._changed = True
        self._retries.configure(service_cfg.retry)

    def add_target(self, info):
        """Add a target or update an announced one; an update ends its draining."""
        self._fleet.add(info)
        self._outliers.add(info.agent_id)
        self._next_update_at = -math.inf

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
        for running_task in running:
            self._release(running_task)
        self._changed = True
        return tuple(running_task.task for running_task in running)

    def set_draining(self, agent_id):
        """Stop starting tasks on a target."""
        target = self._fleet.get(agent_id)
        if target is not None:
            self._fleet.drain(target)

    def admit(self, load, now):
        """Return a `Refusal` of a submission, or None to accept it."""
        self._update_estimates(now)
        quota = self._quota(load.team) if load.team in self._teams else 0
        running = self._team_running.get(load.team, 0)
        forecast = self._forecaster.forecast(load, quota, running, now)
        refusal = self._admission.check(load, forecast)
        if refusal is not None:
            if forecast.wait_s and refusal.code is not ResultCode.QUOTA_EXCEEDED:
                self._queue.record_overload(now)
            name = refusal.code.name
            self._refusals[name] = self._refusals.get(name, 0) + 1
        return refusal

    def enqueue(self, tasks, now):
        """Queue tasks of an accepted submission or a retry."""
        self._update_estimates(now)
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
        self._update_estimates(now)
        if not self._changed and (self._recheck_at is None or now < self._recheck_at):
            return ()
        self._changed = False
        self._placement.begin_round(now)
        assignments = []
        deferred = 0
        while self._fleet.free_slots and deferred < MAX_DEFERRED_FLOWS:
            flow = self._queue.pick(now, excess=self._fleet.unreserved_slots > 0)
            if flow is None:
                break
            assignment = self._try_start(flow, now)
            if assignment is None:
                deferred += 1
            else:
                assignments.append(assignment)
        self._queue.restore_deferred()
        self._recheck_at = self._next_recheck(now)
        return tuple(assignments)

    def record_running(self, agent_id, task, now):
        """Record a running task that was started by a previous owner."""
        target = self._fleet.get(agent_id)
        if target is not None and attempt_id(task) not in target.running:
            self._start_task(task, target, now)

    def record_outcome(self, agent_id, task, outcome, run_time_s, now):
        """Record the outcome of a task and release its slot.

        Only successful tasks update the run time estimates. Calls for tasks that are
        not running have no effect.
        """
        target = self._fleet.get(agent_id)
        running = None if target is None else self._fleet.end_task(target, task)
        if running is None:
            return
        self._release(running)
        self._changed = True
        if outcome is Outcome.OK:
            self._run_times.observe(task.kind, agent_id, run_time_s)
        if running.charged and outcome in (Outcome.OK, Outcome.REFUSED):
            # A flow is not charged for time lost on a failing or stalled target.
            actual_work = run_time_s / target.slowness if outcome is Outcome.OK else 0.0
            self._queue.adjust_charge(running.flow, actual_work - running.cost)
        self._outliers.record_outcome(agent_id, task.kind, outcome, now)
        self._update_target(target)

    def try_acquire_retry(self, now):
        """Return whether a retry is allowed; if so, deduct it from the budget."""
        return self._retries.try_acquire_retry(now)

    def retry_delay(self, attempt):
        """Return the delay in seconds before the retry of attempt number `attempt`."""
        return self._retries.delay(attempt)

    def next_wakeup(self, now):
        """Return when to call `assign` and `expire` if no event occurs, or None."""
        deadline = self._queue.next_deadline()
        # Updates of health and entitlements may allow queued tasks to start.
        next_update = None if deadline is None else self._next_update_at
        times = (deadline, next_update, self._recheck_at)
        return min((t for t in times if t is not None), default=None)

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
        return FailureOutlierDetector(self._cfg.outliers)

    def _make_queue(self):
        return FairQueue(self._cfg.queue, self._run_times)

    def _make_placement(self):
        cfg = self._cfg
        return EarliestCompletion(
            cfg.placement, self._run_times, self._fleet, cfg.data_centre
        )

    def _make_admission(self):
        return ExpectedWaitAdmission(self._cfg.admission)

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
            self._queue.defer(flow)
            return None
        task = self._queue.pop_task(flow, now, choice.use_last_task)
        self._start_task(task, choice.target, now)
        return Assignment(task, choice.target.agent_id)

    def _next_recheck(self, now):
        """Return when `assign` may start a task if no event occurs, or None."""
        times = [self._placement.next_slot_at()]
        if self._fleet.free_slots:
            times.append(self._queue.next_promotion())
        earliest = min((t for t in times if t is not None), default=None)
        return None if earliest is None else max(earliest, now + MIN_RECHECK_INTERVAL_S)

    def _start_task(self, task, target, now):
        flow = self._queue.flow(task.team, task.kind)
        cost = self._run_times.mean_run_time(task.kind)
        pair_factor = self._run_times.pair_factors(task.kind).get(target.agent_id, 1.0)
        running = RunningTask(task, flow, now, cost, target.slowness * pair_factor)
        self._fleet.start_task(target, running)
        self._team_running[task.team] = self._team_running.get(task.team, 0) + 1
        flow.running += 1
        flow.busy_speed += running.slot_speed

    def _release(self, running):
        team = running.task.team
        self._team_running[team] -= 1
        running.flow.running -= 1
        running.flow.busy_speed -= running.slot_speed
        self._queue.unblock(team)

    def _update_estimates(self, now):
        if now < self._next_update_at:
            return
        self._next_update_at = now + UPDATE_INTERVAL_S
        self._changed = True
        self._outliers.start_probes(now)
        for target in self._fleet.targets():
            self._detect_stall(target, now)
            self._update_target(target)
        self._fleet.reserve_slots(self._reserved_slots())
        self._queue.update_entitlements(now, self._forecaster.capacity(frozenset()))
        self._forecaster.refresh(now)

    def _reserved_slots(self):
        slots = sum(target.info.slots for target in self._fleet.targets())
        return round(self._cfg.placement.reserve_share * slots)

    def _detect_stall(self, target, now):
        stalled = sum(
            now - running_task.started_at > self._stall_threshold_s(running_task)
            for running_task in target.running.values()
            if self._run_times.is_learned(running_task.task.kind)
        )
        if stalled >= max(2, len(target.running) / 2):
            self._outliers.record_stall(target.agent_id, now)

    def _stall_threshold_s(self, running_task):
        cfg = self._cfg.outliers
        return max(
            cfg.stall_after,
            cfg.stall_factor * (running_task.expected_end - running_task.started_at),
        )

    def _update_target(self, target):
        slowness = self._run_times.slowness(target.agent_id)
        target.set_performance(slowness, self._outliers.success_rate(target.agent_id))
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
    batch = flow.first_batch()
    return FlowStatus(
        flow.team,
        flow.kind,
        flow.urgency.value,
        flow.queued,
        flow.running,
        now - batch.queued_at if batch else 0.0,
        flow.entitlement,
    )
