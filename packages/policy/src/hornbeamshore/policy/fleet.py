"""Slots of the targets of one partition and the tasks that run in them."""

from hornbeamshore.policy.outliers import Health

PROBE_SLOTS = 1
# Bounds how unattractive failures make a target that may not be ejected.
MIN_SUCCESS_RATE = 0.1


class Running:
    """Task in a slot.

    Attributes
    ----------
    end : float
        When it is expected to end.
    cost : float
        Work expected of it, in seconds on a mean target.
    charged : bool
        Whether it was charged to the tokens of its flow.
    speed : float
        Work that its slot does each second.
    probe : bool
        Whether it was started to probe an ejected target.
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
    """Slots of one target.

    Attributes
    ----------
    factor : float
        Slowness, raised for a target that fails; placement multiplies by it.
    open : bool
        Whether new work may start here at all.
    reserve : int
        Free slots that flows above their entitlement must leave.
    usable : int
        Free slots that placement may use now.
    """

    __slots__ = (
        "agent_id", "info", "labels", "running", "draining", "health", "delay",
        "slowness", "factor", "open", "reserve", "usable", "_ends",
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
        """Take what the agent announced."""
        self.info = info
        self.labels = frozenset(info.labels)
        self.update()

    def update(self):
        """Recompute the free slots after a change of state."""
        self.open = not self.draining and self.health is not Health.EJECTED
        self._ends = None
        if not self.open:
            self.usable = 0
            return
        self.usable = max(0, self.info.slots - len(self.running))
        if self.health is Health.PROBING:
            probes = sum(entry.probe for entry in self.running.values())
            self.usable = min(self.usable, max(0, PROBE_SLOTS - probes))

    def rate(self, slowness, success_rate):
        """Take what was learned of the target."""
        self.slowness = slowness
        self.factor = slowness / max(success_rate, MIN_SUCCESS_RATE)

    def ends(self, now, overrun_share):
        """Return when each running task is expected to end, in order.

        A task that overran its estimate is expected to run on for a share of the
        time that it took so far.
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
        Those of them that flows above their entitlement may use.
    reserved_speed : float
        Work that the reserved slots do each second.
    speed : float
        Work that all running tasks do each second.
    version : int
        Changes when a target joins, leaves, opens or closes.
    """

    def __init__(self):
        self._targets = {}
        self.free = 0
        self.unreserved = 0
        self.reserved_speed = 0.0
        self.speed = 0.0
        self.version = 0

    def get(self, agent_id):
        """Return a `Target` or None."""
        return self._targets.get(agent_id)

    def targets(self):
        """Return all targets."""
        return self._targets.values()

    def add(self, info):
        """Add a target, or take its new announcement; return the `Target`."""
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
        """Forget a target; return it or None."""
        target = self._targets.pop(agent_id, None)
        if target is not None:
            self._count(target, -1)
            self.speed -= sum(entry.speed for entry in target.running.values())
            self.version += 1
        return target

    def drain(self, target):
        """Start nothing more on a target."""
        target.draining = True
        self.change(target, target.update)

    def set_health(self, target, health):
        """Take the health of a target."""
        target.health = health
        self.change(target, target.update)

    def change(self, target, act, *args):
        """Change a target and keep the sums."""
        was_open = target.open
        self._count(target, -1)
        act(*args)
        self._count(target, 1)
        self.version += was_open != target.open

    def start(self, target, running):
        """Put a task into a slot."""
        running.probe = target.health is Health.PROBING
        target.running[task_id(running.task)] = running
        self.speed += running.speed
        self.change(target, target.update)

    def end(self, target, task):
        """Free the slot of a task; return its `Running` or None."""
        running = target.running.pop(task_id(task), None)
        if running is not None:
            self.speed -= running.speed
            self.change(target, target.update)
        return running

    def capacity(self, requires):
        """Return the work that open targets with the labels do each second."""
        return sum(
            target.info.slots / target.slowness
            for target in self._targets.values()
            if target.open and requires <= target.labels
        )

    def reserve(self, slots):
        """Keep free slots, two at most on each target, the fastest ones first."""
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
    """Return what tells apart the attempts of all tasks."""
    return task.key, task.index, task.attempt
