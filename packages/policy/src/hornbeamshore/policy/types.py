"""Data types shared by the dispatcher and the policies."""

import enum
from dataclasses import dataclass

from hornbeamshore.base.types import JobKey


class Outcome(enum.Enum):
    """Outcome of one attempt of a task."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """Properties of a target, as announced by its agent."""

    agent_id: str
    data_centre: str
    rack: str
    slots: int
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobLoad:
    """Properties of a submission that admission control uses."""

    key: JobKey
    team: str
    kind: str
    task_count: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """One attempt of a task, queued or running.

    Attributes
    ----------
    index : int
        Index of the task in its job, from 0.
    attempt : int
        Attempt number, from 1.
    deadline : float
        Monotonic time from which the task must not start any more, in seconds.
    """

    key: JobKey
    index: int
    attempt: int
    team: str
    kind: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Assignment:
    """Task to start now, and the agent of the target that runs it."""

    task: QueuedTask
    agent_id: str


@dataclass(frozen=True, slots=True)
class FlowStatus:
    """State of a flow, the queue of the tasks of one team and kind.

    Attributes
    ----------
    wait_s : float
        Time that the first task of the queue has waited.
    entitlement : float
        Guaranteed service rate, as a number of slots of a target of average speed.
    """

    team: str
    kind: str
    urgency: str
    queued: int
    running: int
    wait_s: float
    entitlement: float


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of one target.

    Attributes
    ----------
    health : str
        ``ok``, ``ejected`` or ``probing``.
    slowness : float
        Ratio of run times on this target to those on a target of average speed.
    """

    agent_id: str
    slots: int
    busy: int
    draining: bool
    health: str
    success_rate: float
    slowness: float


@dataclass(frozen=True, slots=True)
class SchedulerStatus:
    """State of the scheduler of one dispatcher, for operators and metrics.

    Attributes
    ----------
    queued : dict of str to int
        Number of queued tasks by urgency class.
    wait_s : dict of str to float
        Longest wait of the first task of a flow by urgency class.
    slots, busy : int
        Number of all slots and of those with a running task.
    retries, retries_denied : int
        Number of retries that were allowed and denied so far.
    refusals : dict of str to int
        Number of refused submissions so far by name of the result code.
    """

    queued: dict[str, int]
    wait_s: dict[str, float]
    flows: tuple[FlowStatus, ...]
    targets: tuple[TargetStatus, ...]
    slots: int
    busy: int
    retries: int
    retries_denied: int
    refusals: dict[str, int]
