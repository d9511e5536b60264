"""Targets of one partition, their slots and running tasks."""

from hornbeamshore.policy.outliers import Health

PROBE_SLOTS = 1
# Limits the penalty for failures of a target that cannot be ejected.
MIN_SUCCESS_RATE = 0.1


class Running:
    """Task that occupies a slot.

    Attributes
    ----------
    started : float
        Monotonic time of the start, in seconds.
    end : float
        Expected time of completion.
    cost : float
        Expected work, in seconds on a target of average speed.
    speed : float
        Work per second of its slot.
    charged : bool
        Whether its cost was deducted from the tokens of its flow.
    probe : bool
        Whether it was started to probe a target after an ejection.
    """

    __slots__ = ("task", "flow", "started", "end", "cost", "speed", "charged", "probe")

    def __init__(self, task, flow, started, cost, slowness):
        self.task = task
        self.flow = flow
        self.started = started
        self.end = started + cost * slowness
        self.cost = cost
        self.speed = 1.0 / slowness
        self.charged = not flow.excess
        self.probe = False


class Target:
    """State of one target and its slots.

    Attributes
    ----------
    delay : float
        Additional network round-trip time, in seconds.
    slowness : float
        Ratio of run times on this target to those on a target of average speed.
    factor : float
        Slowness divided by the success rate; placement uses it to estimate run times.
    open : bool
        Whether the target accepts new tasks: it is neither draining nor ejected.
    open_slots : int
        Slots that may be used at a time, whether free or busy.
    reserve : int
        Free slots that flows above their entitlement must not use.
    usable : int
        Free slots in which tasks may start now.
    """

    __slots__ = (
        "agent_id", "info", "labels", "running", "draining", "health", "delay",
        "slowness", "factor", "open", "open_slots", "reserve", "usable", "_ends",
    )  # fmt: skip

    def __init__(self, info):
        self.agent_id = info.agent_id
        self.running = {}
        self.draining = False
        self.health = Health.OK
        self.delay = 0.0
        self.slowness = 1.0
        self.factor = 1.0
        self.reserve = 0
        self.announce(info)

    def announce(self, info):
        """Set the properties that the agent announced."""
        self.info = info
        self.labels = frozenset(info.labels)
        self.update()

    def update(self):
        """Recompute the slot counts after a change of state."""
        self._ends = None
        self.open = not self.draining and self.health is not Health.EJECTED
        self.open_slots = self.info.slots if self.open else 0
        if self.health is Health.PROBING:
            self.open_slots = min(self.open_slots, PROBE_SLOTS)
            probes = sum(entry.probe for entry in self.running.values())
            unused = max(0, self.open_slots - probes)
            self.usable = min(unused, max(0, self.info.slots - len(self.running)))
        else:
            self.usable = max(0, self.open_slots - len(self.running))

    def rate(self, slowness, success_rate):
        """Set the estimated slowness and success rate."""
        self.slowness = slowness
        self.factor = slowness / max(success_rate, MIN_SUCCESS_RATE)

    def ends(self, now, overrun_share):
        """Return the expected end times of the running tasks, in ascending order.

        A task that has exceeded its estimate is expected to need another
        `overrun_share` of its elapsed time.
        """
        if self._ends is None or (self._ends and self._ends[0] <= now):
            self._ends = sorted(
                entry.end
                if entry.end > now
                else now + overrun_share * (now - entry.started)
                for entry in self.running.values()
            )
        return self._ends


class Fleet:
    """Targets of one partition.

    Attributes
    ----------
    free : int
        Usable slots of all targets.
    unreserved : int
        Usable slots without the reserved ones.
    reserved_speed : float
        Work per second of the reserved slots.
    speed : float
        Work per second of the slots with running tasks.
    version : int
        Incremented when a target is added, announced again or removed, and when the
        open slots of a target change.
    """

    def __init__(self):
        self._targets = {}
        self.free = 0
        self.unreserved = 0
        self.reserved_speed = 0.0
        self.speed = 0.0
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
            self._count(target, 1)
        else:
            target.draining = False
            self.change(target, target.announce, info)
        self.version += 1
        return target

    def remove(self, agent_id):
        """Remove a target; return it, or None if it is unknown."""
        target = self._targets.pop(agent_id, None)
        if target is not None:
            self._count(target, -1)
            self.speed -= sum(entry.speed for entry in target.running.values())
            self.version += 1
        return target

    def drain(self, target):
        """Stop starting tasks on a target."""
        target.draining = True
        self.change(target, target.update)

    def set_health(self, target, health):
        """Set the health of a target."""
        target.health = health
        self.change(target, target.update)

    def change(self, target, act, *args):
        """Call a function that changes a target, and update the totals."""
        before = target.open_slots
        self._count(target, -1)
        act(*args)
        self._count(target, 1)
        self.version += before != target.open_slots

    def start(self, target, running):
        """Occupy a slot of a target with a task."""
        running.probe = target.health is Health.PROBING
        target.running[task_id(running.task)] = running
        self.speed += running.speed
        self.change(target, target.update)

    def end(self, target, task):
        """Release the slot of a task; return its `Running`, or None if unknown."""
        running = target.running.pop(task_id(task), None)
        if running is not None:
            self.speed -= running.speed
            self.change(target, target.update)
        return running

    def capacity(self, requires):
        """Return the work per second of the open targets with the required labels."""
        return sum(
            target.open_slots / target.slowness
            for target in self._targets.values()
            if requires <= target.labels
        )

    def reserve(self, slots):
        """Reserve slots on the fastest targets, at most two on each.

        Flows above their entitlement leave reserved slots free.
        """
        self.reserved_speed = 0.0
        for target in sorted(self._targets.values(), key=lambda t: t.factor):
            reserve = min(2, slots, target.info.slots // 2) * target.open
            slots -= reserve
            self.reserved_speed += reserve / target.slowness
            self.change(target, setattr, target, "reserve", reserve)

    def _count(self, target, sign):
        self.free += sign * target.usable
        self.unreserved += sign * max(0, target.usable - target.reserve)


def task_id(task):
    """Return a unique identifier of an attempt of a task."""
    return task.key, task.index, task.attempt
