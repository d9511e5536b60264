"""Steps of the specification of ownership; each one is a plain value."""

from dataclasses import dataclass

from spec.ownership_state import DoneMessage, StartMessage, SubmitMessage


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller submits a key for the first time or again; a copy goes to an entry."""

    key: int
    entry: int


@dataclass(frozen=True, slots=True)
class Resend:
    """The front of an open call sends another copy of it to an entry."""

    call: int
    entry: int


@dataclass(frozen=True, slots=True)
class Accept:
    """An entry takes a copy of a submission as its rules say."""

    message: SubmitMessage


@dataclass(frozen=True, slots=True)
class Refuse:
    """An owner refuses an unfamiliar submission for load, as `not run`."""

    message: SubmitMessage


@dataclass(frozen=True, slots=True)
class Dispatch:
    """An owner sends a start."""

    entry: int
    key: int
    task: int
    agent: int


@dataclass(frozen=True, slots=True)
class DeliverStart:
    """An agent takes a start; `repeat` leaves another copy under way."""

    message: StartMessage
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class RefuseStart:
    """An agent refuses a start for want of a slot; `repeat` as above."""

    message: StartMessage
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class EndTask:
    """A task ends on its agent."""

    agent: int
    key: int
    task: int


@dataclass(frozen=True, slots=True)
class DeliverDone:
    """An owner takes the outcome of a start."""

    message: DoneMessage


@dataclass(frozen=True, slots=True)
class Reconcile:
    """An owner asks an agent for the outcome of a start."""

    entry: int
    agent: int
    key: int
    task: int


@dataclass(frozen=True, slots=True)
class Answer:
    """An owner answers a job as complete."""

    entry: int
    key: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """An owner answers `not run` for a job of which no task ran."""

    entry: int
    key: int


@dataclass(frozen=True, slots=True)
class Crash:
    """An entry dies."""

    entry: int


@dataclass(frozen=True, slots=True)
class Restart:
    """An entry starts again under its old identifier, with nothing in memory."""

    entry: int


@dataclass(frozen=True, slots=True)
class Pause:
    """An entry stands still."""

    entry: int


@dataclass(frozen=True, slots=True)
class Wake:
    """A paused entry goes on, believing what it believed."""

    entry: int


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection of an entry and an agent breaks for good."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Takeover:
    """A candidate takes the next epoch and begins to fence."""

    entry: int


@dataclass(frozen=True, slots=True)
class Fence:
    """An entry fences an agent; `lost` loses the reply."""

    entry: int
    agent: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Lapse:
    """The promise of a silent agent to an owner runs out."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Renew:
    """An owner hears an agent that it has fenced, and holds its promise again."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class AgentStart:
    """An agent with no records starts."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentCrash:
    """An agent dies with its records."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentPause:
    """An agent stands still."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentWake:
    """A paused agent goes on and waits to be fenced anew."""

    agent: int


@dataclass(frozen=True, slots=True)
class DeclareLost:
    """An owner declares a silent agent lost."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Account:
    """An owner copies the records of a lost agent to another one."""

    entry: int
    agent: int
    to: int


@dataclass(frozen=True, slots=True)
class Leave:
    """An agent announces that it leaves."""

    agent: int


@dataclass(frozen=True, slots=True)
class EndLeave:
    """An owner takes the records of a leaving agent and lets it end."""

    entry: int
    agent: int
    to: int


@dataclass(frozen=True, slots=True)
class Release:
    """An owner gives the partition up; `heir` takes its records (-1: lost)."""

    entry: int
    heir: int


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store stops to answer."""


@dataclass(frozen=True, slots=True)
class StoreUp:
    """The store answers again."""


@dataclass(frozen=True, slots=True)
class WriteTable:
    """An entry writes the owner table without the dead; `lost` loses the answer."""

    entry: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class ReadTable:
    """An entry reads the owner table."""

    entry: int


@dataclass(frozen=True, slots=True)
class Retain:
    """The retention passes: keys, records, messages and lost agents expire."""
