"""Types that the dispatcher and the policies share."""

import enum
from dataclasses import dataclass

from hornbeamshore.base.types import JobKey


class Outcome(enum.Enum):
    """How an attempt of a task ended, as far as policies care."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """Target as its agent announced it."""

    agent_id: str
    data_centre: str
    rack: str
    slots: int
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobLoad:
    """What admission needs to know of a submission."""

    key: JobKey
    team: str
    kind: str
    task_count: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """Task that waits for a slot or runs in one.

    Attributes
    ----------
    index : int
        Place of the task in its job, from 0.
    attempt : int
        Number of the attempt, from 1.
    deadline : float
        Monotonic time after which the task must not start.
    """

    key: JobKey
    index: int
    attempt: int
    team: str
    kind: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Assignment:
    """Decision to start a task on a target now."""

    task: QueuedTask
    agent_id: str


@dataclass(frozen=True, slots=True)
class FlowStatus:
    """Queue of one flow, the tasks of one team and kind.

    Attributes
    ----------
    wait_s : float
        Time for which its oldest task has waited.
    entitlement : float
        Slots of a mean target that the flow gets before others' excess.
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
    """Slots and health of one target.

    Attributes
    ----------
    health : str
        ``ok``, ``ejected`` or ``probing``.
    slowness : float
        Run times on this target over those on a mean one.
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
    """State of one dispatcher for operators and metrics."""

    queued: dict[str, int]
    wait_s: dict[str, float]
    flows: tuple[FlowStatus, ...]
    targets: tuple[TargetStatus, ...]
    slots: int
    busy: int
    retries: int
    retries_denied: int
    refusals: dict[str, int]
