"""Steps in the specification of partition ownership, as immutable values."""

from dataclasses import dataclass

from spec.ownership_state import DoneMessage, StartMessage, SubmitMessage


@dataclass(frozen=True, slots=True)
class Submit:
    """A caller submits or resubmits a key; its front sends a copy to an entry."""

    key: int
    entry: int


@dataclass(frozen=True, slots=True)
class Resend:
    """The front of an open call sends another copy of the submission to an entry."""

    call: int
    entry: int


@dataclass(frozen=True, slots=True)
class Accept:
    """An entry receives a copy of a submission and accepts, rejects or ignores it."""

    message: SubmitMessage


@dataclass(frozen=True, slots=True)
class Refuse:
    """An overloaded owner refuses a submission of an unknown job with `not run`."""

    message: SubmitMessage


@dataclass(frozen=True, slots=True)
class Dispatch:
    """An owner sends the start of a task to an agent."""

    entry: int
    key: int
    task: int
    agent: int


@dataclass(frozen=True, slots=True)
class DeliverStart:
    """An agent receives a start; with `repeat`, another copy stays in flight."""

    message: StartMessage
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class RefuseStart:
    """An agent without a free slot refuses a start.

    With `repeat`, another copy of the start stays in flight.
    """

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
    """An owner receives the outcome of a start."""

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
    """An owner answers a job with its results."""

    entry: int
    key: int


@dataclass(frozen=True, slots=True)
class AnswerNotRun:
    """An owner answers `not run` for a job none of whose tasks has run."""

    entry: int
    key: int


@dataclass(frozen=True, slots=True)
class Crash:
    """An entry crashes and loses its state in memory."""

    entry: int


@dataclass(frozen=True, slots=True)
class Restart:
    """A crashed entry restarts with its old identifier and no state in memory."""

    entry: int


@dataclass(frozen=True, slots=True)
class Pause:
    """An entry is suspended."""

    entry: int


@dataclass(frozen=True, slots=True)
class Resume:
    """A paused entry resumes with its state unchanged."""

    entry: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """The connection between an entry and an agent is lost permanently."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Takeover:
    """A candidate moves to the next epoch, at which it then fences the agents."""

    entry: int


@dataclass(frozen=True, slots=True)
class Fence:
    """An entry fences an agent; with `lost`, the reply does not arrive."""

    entry: int
    agent: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class ExpirePromise:
    """The promise of an agent to a paused or disconnected owner expires."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class Renew:
    """An owner renews the promise of an agent that it has fenced."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class AgentStart:
    """An agent starts without records."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentCrash:
    """An agent crashes and loses its records."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentPause:
    """An agent is suspended."""

    agent: int


@dataclass(frozen=True, slots=True)
class AgentResume:
    """A paused agent resumes and refuses starts until it is fenced again."""

    agent: int


@dataclass(frozen=True, slots=True)
class DeclareLost:
    """An owner declares an unreachable agent lost."""

    entry: int
    agent: int


@dataclass(frozen=True, slots=True)
class AccountForAgent:
    """An owner copies its records to agent `to` and marks a lost agent ACCOUNTED."""

    entry: int
    agent: int
    to: int


@dataclass(frozen=True, slots=True)
class Leave:
    """An agent announces that it is leaving."""

    agent: int


@dataclass(frozen=True, slots=True)
class EndLeave:
    """An owner merges the records of a leaving agent, and the agent stops.

    The owner copies them to agent `to` before the agent stops.
    """

    entry: int
    agent: int
    to: int


@dataclass(frozen=True, slots=True)
class Release:
    """An owner gives up the partition and hands its records over to `successor`.

    With `successor` -1 the records are lost.
    """

    entry: int
    successor: int


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store becomes unavailable."""


@dataclass(frozen=True, slots=True)
class StoreUp:
    """The store becomes available again."""


@dataclass(frozen=True, slots=True)
class WriteTable:
    """An entry adds itself to the owner table and removes stopped entries.

    With `lost`, the reply of the store does not arrive.
    """

    entry: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class ReadTable:
    """An entry reads the owner table."""

    entry: int


@dataclass(frozen=True, slots=True)
class ExpireRetention:
    """The retention period ends: keys, records, messages and lost agents expire."""
