"""Slots of the targets of one partition and the tasks that run in them."""

from hornbeamshore.policy.outliers import Health

PROBE_SLOTS = 1


class Running:
    """Task in a slot."""

    __slots__ = ("task", "agent_id", "started", "end", "cost")

    def __init__(self, task, agent_id, started, run_time_s, cost):
        self.task = task
        self.agent_id = agent_id
        self.started = started
        self.end = started + run_time_s
        self.cost = cost


class Target:
    """Slots of one target.

    Attributes
    ----------
    usable : int
        Free slots that placement may use now.
    """

    __slots__ = ("info", "labels", "running", "draining", "health", "usable", "_next")

    def __init__(self, info):
        self.running = {}
        self.draining = False
        self.health = Health.OK
        self.announce(info)

    @property
    def agent_id(self):
        """Return the identifier of the target's agent."""
        return self.info.agent_id

    def announce(self, info):
        """Take what the agent announced."""
        self.info = info
        self.labels = frozenset(info.labels)
        self.update()

    def update(self):
        """Recompute the free slots after a change of state."""
        slots = self.info.slots
        if self.draining or self.health is Health.EJECTED:
            slots = 0
        elif self.health is Health.PROBING:
            slots = min(slots, PROBE_SLOTS)
        self.usable = max(0, slots - len(self.running))
        self._next = None

    def start(self, running):
        """Put a task into a slot."""
        self.running[task_id(running.task)] = running
        self.usable = max(0, self.usable - 1)
        self._next = None

    def end(self, task):
        """Free the slot of a task; return its `Running` or None."""
        running = self.running.pop(task_id(task), None)
        if running is not None:
            self.update()
        return running

    def next_free(self, now, overrun_share):
        """Return when a slot is expected to become free."""
        if self.usable:
            return now
        if self._next is None or self._next < now:
            self._next = min(
                (_expected_end(r, now, overrun_share) for r in self.running.values()),
                default=float("inf"),
            )
        return self._next


def task_id(task):
    """Return what tells apart the attempts of all tasks."""
    return task.key, task.index, task.attempt


def _expected_end(running, now, overrun_share):
    if running.end > now:
        return running.end
    return now + overrun_share * (now - running.started)
