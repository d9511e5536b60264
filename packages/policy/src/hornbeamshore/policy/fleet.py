"""Targets of one partition, their slots and running tasks."""

from hornbeamshore.policy.outliers import Health

PROBE_SLOTS = 1
# Limits the penalty for failures of a target that cannot be ejected.
MIN_SUCCESS_RATE = 0.1


class RunningTask:
    """Task that occupies a slot.

    Attributes
    ----------
    started_at : float
        Monotonic time of the start, in seconds.
    expected_end : float
        Expected time of completion.
    cost : float
        Expected work, in seconds on a target of average speed.
    slot_speed : float
        Work per second of its slot.
    charged : bool
        Whether its cost was deducted from the tokens of its flow.
    is_probe : bool
        Whether it was started to probe a target after an ejection.
    """

    __slots__ = (
        "task",
        "flow",
        "started_at",
        "expected_end",
        "cost",
        "slot_speed",
        "charged",
        "is_probe",
    )

    def __init__(self, task, flow, started_at, cost, slowness):
        self.task = task
        self.flow = flow
        self.started_at = started_at
        self.expected_end = started_at + cost * slowness
        self.cost = cost
        self.slot_speed = 1.0 / slowness
        self.charged = not flow.excess
        self.is_probe = False


class Target:
    """State of one target and its slots.

    Attributes
    ----------
    extra_delay_s : float
        Additional network round-trip time.
    slowness : float
        Ratio of run times on this target to those on a target of average speed.
    effective_slowness : float
        Slowness divided by the success rate; placement uses it to estimate run times.
    accepts_tasks : bool
        Whether the target accepts new tasks: it is neither draining nor ejected.
    open_slots : int
        Slots that may be used at a time, whether free or busy.
    reserved_slots : int
        Free slots that flows above their entitlement must not use.
    usable_slots : int
        Free slots in which tasks may start now.
    """

    __slots__ = (
        "agent_id", "info", "labels", "running", "draining", "health", "extra_delay_s",
        "slowness", "effective_slowness", "accepts_tasks", "open_slots",
        "reserved_slots", "usable_slots", "_expected_ends",
    )  # fmt: skip

    def __init__(self, info):
        self.agent_id = info.agent_id
        self.running = {}
        self.draining = False
        self.health = Health.OK
        self.extra_delay_s = 0.0
        self.slowness = 1.0
        self.effective_slowness = 1.0
        self.reserved_slots = 0
        self.set_info(info)

    def set_info(self, info):
        """Set the properties that the agent announced."""
        self.info = info
        self.labels = frozenset(info.labels)
        self.update()

    def update(self):
        """Recompute the slot counts after a change of state."""
        self._expected_ends = None
        self.accepts_tasks = not self.draining and self.health is not Health.EJECTED
        self.open_slots = self.info.slots if self.accepts_tasks else 0
        if self.health is Health.PROBING:
            self.open_slots = min(self.open_slots, PROBE_SLOTS)
            probes = sum(
                running_task.is_probe for running_task in self.running.values()
            )
            unused = max(0, self.open_slots - probes)
            self.usable_slots = min(unused, max(0, self.info.slots - len(self.running)))
        else:
            self.usable_slots = max(0, self.open_slots - len(self.running))

    def set_performance(self, slowness, success_rate):
        """Set the estimated slowness and success rate."""
        self.slowness = slowness
        self.effective_slowness = slowness / max(success_rate, MIN_SUCCESS_RATE)

    def expected_ends(self, now, overrun_share):
        """Return the expected end times of the running tasks, in ascending order.

        A task that has exceeded its estimate is expected to need another
        `overrun_share` of its elapsed time.
        """
        if self._expected_ends is None or (
            self._expected_ends and self._expected_ends[0] <= now
        ):
            self._expected_ends = sorted(
                running_task.expected_end
                if running_task.expected_end > now
                else now + overrun_share * (now - running_task.started_at)
                for running_task in self.running.values()
            )
        return self._expected_ends


class Fleet:
    """Targets of one partition.

    Attributes
    ----------
    free_slots : int
        Usable slots of all targets.
    unreserved_slots : int
        Usable slots without the reserved ones.
    reserved_speed : float
        Work per second of the reserved slots.
    busy_speed : float
        Work per second of the slots with running tasks.
    version : int
        Incremented when a target is added, announced again or removed, and when the
        open slots of a target change.
    """

    def __init__(self):
        self._targets = {}
        self.free_slots = 0
        self.unreserved_slots = 0
        self.reserved_speed = 0.0
        self.busy_speed = 0.0
        self.version = 0

    def get(self, agent_id):
        """Return the `Target` of an agent, or None."""
        return self._targets.get(agent_id)

    def targets(self):
        """Return all targets."""
        return self._targets.values()

    def add(self, info):
        """Add a target or update an announced one; return the `Target`.

        An update ends the draining of the target.
        """
        target = self._targets.get(info.agent_id)
        if target is None:
            target = self._targets[info.agent_id] = Target(info)
            self._add_to_totals(target, 1)
        else:
            target.draining = False
            self.apply_change(target, target.set_info, info)
        self.version += 1
        return target

    def remove(self, agent_id):
        """Remove a target; return it, or None if it is unknown."""
        target = self._targets.pop(agent_id, None)
        if target is not None:
            self._add_to_totals(target, -1)
            self.busy_speed -= sum(
                running_task.slot_speed for running_task in target.running.values()
            )
            self.version += 1
        return target

    def drain(self, target):
        """Stop starting tasks on a target."""
        target.draining = True
        self.apply_change(target, target.update)

    def set_health(self, target, health):
        """Set the health of a target."""
        target.health = health
        self.apply_change(target, target.update)

    def apply_change(self, target, change, *args):
        """Call a function that changes a target, and update the totals."""
        before = target.open_slots
        self._add_to_totals(target, -1)
        change(*args)
        self._add_to_totals(target, 1)
        self.version += before != target.open_slots

    def start_task(self, target, running):
        """Occupy a slot of a target with a task."""
        running.is_probe = target.health is Health.PROBING
        target.running[attempt_id(running.task)] = running
        self.busy_speed += running.slot_speed
        self.apply_change(target, target.update)

    def end_task(self, target, task):
        """Release the slot of a task; return its `RunningTask`, or None if unknown."""
        running = target.running.pop(attempt_id(task), None)
        if running is not None:
            self.busy_speed -= running.slot_speed
            self.apply_change(target, target.update)
        return running

    def capacity(self, requires):
        """Return the work per second of the targets that can run a task.

        These are the targets that accept tasks and have the required labels.
        """
        return sum(
            target.open_slots / target.slowness
            for target in self._targets.values()
            if requires <= target.labels
        )

    def reserve_slots(self, slots):
        """Reserve slots on the fastest targets.

        At most two slots, and at most half of the slots, of a target are reserved.
        Flows above their entitlement must leave them free.
        """
        self.reserved_speed = 0.0
        for target in sorted(
            self._targets.values(), key=lambda t: t.effective_slowness
        ):
            reserved = min(2, slots, target.info.slots // 2) * target.accepts_tasks
            slots -= reserved
            self.reserved_speed += reserved / target.slowness
            self.apply_change(target, setattr, target, "reserved_slots", reserved)

    def _add_to_totals(self, target, sign):
        self.free_slots += sign * target.usable_slots
        self.unreserved_slots += sign * max(
            0, target.usable_slots - target.reserved_slots
        )


def attempt_id(task):
    """Return a unique identifier of an attempt of a task."""
    return task.key, task.index, task.attempt
