"""Runs on the target and the capacity that they use."""

import enum
from collections import OrderedDict

from hornbeamshore.wire.messages import Resources

# Number of tasks whose last run number is kept. A target refuses a run number that is
# not higher than the last one it has seen for the task, and a job may be submitted
# again for several seconds.
MAX_REMEMBERED_TASKS = 4096


class RunPhase(enum.Enum):
    """Phase of a run that has not ended."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One run of a task, from the order of an entry to its result.

    Attributes
    ----------
    task : str
        Name of the task at the target.
    number : int
        Number of the run at the target; grows with each run of the task.
    stop_reason : ResultCode or None
        Result code of a run that is to be stopped.
    stop_answered : bool
        Whether the target has answered the stop.
    ordered_at : float
        Time on the runner's clock at or after which the entry has sent the order.
    started_at : float
        Time at which the start was sent; 0 if the target cannot have executed one.
    was_late : bool
        Whether the target has refused a start that arrived after its expiry.
    attempt : int
        Number of runs of the task that its entry has ordered, including this one.
    isolated : bool
        Whether the task is suspected of crashing targets.
    progress : Progress or None
        Progress, or None until the target has reported the run as running.
    is_listed : bool
        Whether a poll has listed the run, so that the incarnation in use holds it.
    is_confirmed : bool
        Whether the target has answered the start or listed the run.
    """

    __slots__ = (
        "session",
        "run_id",
        "job_id",
        "queue",
        "step",
        "index",
        "task",
        "number",
        "spec",
        "needs",
        "phase",
        "stop_reason",
        "stop_answered",
        "ordered_at",
        "started_at",
        "was_late",
        "attempt",
        "isolated",
        "progress",
        "is_listed",
        "is_confirmed",
    )

    def __init__(self, session, body, order, ordered_at):
        self.session = session
        self.run_id = order.run_id
        self.job_id = body.job_id
        self.queue = body.queue
        self.step = order.step
        self.index = order.index
        self.task = f"{body.job_id}.0.{order.step}.{order.index}"
        self.number = self.attempt = order.attempt
        self.isolated = order.isolated
        self.spec = body.spec
        self.needs = order.needs
        self.phase = RunPhase.STARTING
        self.stop_reason = None
        self.stop_answered = False
        self.ordered_at = ordered_at
        self.started_at = 0.0
        self.was_late = False
        self.progress = None
        self.is_listed = self.is_confirmed = False

    @property
    def label(self):
        """Return the phase for the log, with a ``?`` unless the target confirmed it."""
        return self.phase.value + ("" if self.is_confirmed else "?")

    @property
    def key(self):
        """Return the task and run number that identify the run at the target."""
        return self.task, self.number


class RunTable:
    """Active runs of a target, and the capacity that they use.

    A run counts against the capacity from when its start may reach the target until
    it is certain to have ended.
    """

    def __init__(self):
        self.capacity = Resources()
        self.active = {}
        self._used = Resources()
        self._last_numbers = OrderedDict()

    @property
    def free_capacity(self):
        """Return the capacity that active runs leave free."""
        return self.capacity - self._used

    @property
    def is_busy(self):
        """Return whether any run is active."""
        return bool(self.active)

    def admit(self, run):
        """Activate a run, whose needs must fit in the free capacity."""
        self._assign_number(run)
        self._used += run.needs
        self.active[run.key] = run

    def renumber(self, run):
        """Assign a much higher number to a run that the target refused as stale."""
        del self.active[run.key]
        run.number += MAX_REMEMBERED_TASKS
        run.started_at = 0.0
        self._last_numbers[run.task] = run.number
        self.active[run.key] = run

    def release(self, run):
        """Free the capacity of a run that is certain to have ended."""
        del self.active[run.key]
        self._used -= run.needs

    def _assign_number(self, run):
        run.number = max(run.number, self._last_numbers.get(run.task, 0) + 1)
        self._last_numbers[run.task] = run.number
        self._last_numbers.move_to_end(run.task)
        while len(self._last_numbers) > MAX_REMEMBERED_TASKS:
            self._last_numbers.popitem(last=False)
