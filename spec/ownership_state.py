"""State, bounds and rules of the specification of partition ownership."""

import enum
from dataclasses import dataclass

NO_EPOCH = (0, 0, 0)


def replace_fields(item, **changes):
    """Return a copy of a data class instance with some fields replaced.

    This takes about half the time of `dataclasses.replace`, and the exploration
    spends most of its time here.
    """
    names = item.__slots__
    return type(item)(
        *[changes[name] if name in changes else getattr(item, name) for name in names]
    )


class StableHashEnum(enum.IntEnum):
    """Integer enumeration that hashes by value, so that set order is reproducible."""

    __hash__ = int.__hash__


class Mode(StableHashEnum):
    """Whether a process is running, suspended or stopped."""

    UP = 1
    PAUSED = 2
    DOWN = 3


class MemberStatus(StableHashEnum):
    """Status of an agent in a roster.

    ACCOUNTED marks an agent that is gone and whose records are no longer needed: they
    were copied to another agent or have expired.
    """

    ABSENT = 0
    LIVE = 1
    LOST = 2
    ACCOUNTED = 3


class TaskState(StableHashEnum):
    """State of a task at an owner or in a start record.

    COPIED marks a copy of another agent's record: the task was sent and its outcome
    is unknown.
    """

    NONE = 0
    SENT = 1
    ENDED = 2
    REFUSED = 3
    COPIED = 4


class Outcome(StableHashEnum):
    """Result that an agent reports for a start."""

    ENDED = 1
    STALE = 2
    BUSY = 3
    DUPLICATE = 4


@dataclass(frozen=True, slots=True)
class Task:
    """Task as recorded by an owner or an agent.

    Attributes
    ----------
    result : int
        Index of the task whose result is recorded; -1 if there is none.
    agent : int
        Agent that the task was sent to or that reported it; -1 if unknown.
    """

    state: TaskState = TaskState.NONE
    attempt: int = 0
    result: int = -1
    agent: int = -1


@dataclass(frozen=True, slots=True)
class Job:
    """Job as recorded by an owner.

    Attributes
    ----------
    calls : frozenset of int
        Calls that wait for the answer.
    has_submission : bool
        Whether the owner has received the submission and not only start records.
    """

    tasks: tuple[Task, ...]
    calls: frozenset[int] = frozenset()
    has_submission: bool = False
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Roster:
    """Status of each agent of the partition; a higher (epoch, version) is newer."""

    epoch: tuple[int, int, int]
    version: int
    statuses: tuple[MemberStatus, ...]

    @property
    def sort_key(self):
        """Sort key of rosters; the newer one has the higher key."""
        return (self.epoch, self.version)


@dataclass(frozen=True, slots=True)
class Entry:
    """Entry, with its own view of the ownership, the roster and the jobs.

    Attributes
    ----------
    epoch : tuple of int
        Epoch at which it considers itself the owner; `NO_EPOCH` if it does not.
    term : int
        Highest term that it knows; a takeover uses the next one.
    table : int
        Version of the owner table that it has read.
    listed : bool
        Whether the owner table names this incarnation of the entry.
    fenced : frozenset of int
        Agents that granted its fence at its epoch.
    promised_by : frozenset of int
        Agents whose promise to grant no other fence has not expired. The owner has its
        lease while they are a quorum.
    """

    mode: Mode = Mode.UP
    epoch: tuple[int, int, int] = NO_EPOCH
    term: int = 1
    table: int = 1
    listed: bool = True
    fenced: frozenset[int] = frozenset()
    promised_by: frozenset[int] = frozenset()
    roster: Roster | None = None
    jobs: tuple[Job | None, ...] = ()


@dataclass(frozen=True, slots=True)
class Agent:
    """Agent with its start records and its copy of the roster.

    Attributes
    ----------
    granted_epoch : tuple of int
        Epoch of the last fence that it granted.
    granted_to : int
        Entry that it granted this fence to; -1 if there is none.
    awaits_fence : bool
        Whether it has resumed after a pause and no owner has fenced it since.
    """

    mode: Mode = Mode.UP
    granted_epoch: tuple[int, int, int] = NO_EPOCH
    granted_to: int = -1
    records: tuple[tuple[Task, ...], ...] = ()
    roster: Roster | None = None
    leaving: bool = False
    awaits_fence: bool = False


@dataclass(frozen=True, slots=True)
class StartMessage:
    """Start of a task, sent to an agent."""

    entry: int
    agent: int
    epoch: tuple[int, int, int]
    key: int
    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DoneMessage:
    """Outcome of a start, sent to an owner."""

    entry: int
    agent: int
    key: int
    task: int
    attempt: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SubmitMessage:
    """Copy of a submission, sent to an entry."""

    entry: int
    key: int
    call: int


@dataclass(frozen=True, slots=True)
class Call:
    """Request of a caller, with the state of the copies that its front has sent.

    Attributes
    ----------
    sent, refused, misdirected : int
        Number of copies sent, refused with `not run`, and rejected by an entry that
        was not the owner.
    answered_not_run : bool
        Whether the front has answered `not run`.
    """

    key: int
    sent: int = 1
    refused: int = 0
    misdirected: int = 0
    answered_not_run: bool = False


@dataclass(frozen=True, slots=True)
class Key:
    """Idempotency key of a job.

    Attributes
    ----------
    known_new_at : frozenset of int
        Entries that owned the partition with a quorum at its first submission and
        have not taken the partition over since; they need no start records of it.
    expired : bool
        Whether its retention period has ended.
    """

    submitted: bool = False
    known_new_at: frozenset[int] = frozenset()
    expired: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """State of the partition: processes, network, store and steps counted so far.

    Attributes
    ----------
    starts : tuple of tuple of int
        How often each task has started, by key and task.
    tables : tuple of tuple of int
        Versions of the owner table, each with its entries in order of rank.
    net : frozenset
        Messages in flight.
    violated : frozenset of str
        Invariants violated so far.
    used_budgets : tuple of int
        How often each kind of step in `BUDGETS` has occurred.
    disconnected : frozenset of tuple of int
        Pairs of an entry and an agent whose connection is lost.
    """

    entries: tuple[Entry, ...]
    agents: tuple[Agent, ...]
    keys: tuple[Key, ...]
    starts: tuple[tuple[int, ...], ...]
    tables: tuple[tuple[int, ...], ...]
    calls: tuple[Call, ...] = ()
    net: frozenset = frozenset()
    violated: frozenset = frozenset()
    store_up: bool = True
    used_budgets: tuple[int, ...] = ()
    disconnected: frozenset[tuple[int, int]] = frozenset()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Size of the model and the maximum number of steps of each kind.

    Attributes
    ----------
    joined : int
        Number of agents in the initial roster.
    copies : int
        Maximum number of copies sent for each call.
    attempts : int
        Maximum number of attempts to start each task.
    breaks : int
        Maximum number of lost connections.
    repeats : int
        How often a copy of a delivered start may stay in flight.
    refusals : int
        Maximum number of submissions and starts refused by a process without capacity.
    lost_answers : int
        Maximum number of replies of agents and of the store that do not arrive.
    """

    entries: int = 2
    agents: int = 2
    joined: int = 2
    keys: int = 1
    tasks: int = 1
    calls: int = 2
    copies: int = 1
    attempts: int = 1
    takeovers: int = 1
    crashes: int = 0
    pauses: int = 0
    breaks: int = 0
    agent_losses: int = 0
    agent_pauses: int = 0
    joins: int = 0
    leaves: int = 0
    repeats: int = 0
    refusals: int = 0
    lost_answers: int = 0
    reconciles: int = 0
    releases: int = 0
    restarts: int = 0
    table_writes: int = 0
    store_outages: int = 0
    retentions: int = 0

    def __str__(self):
        shown = [f"{name}={getattr(self, name)}" for name in self.__slots__]
        return " ".join(text for text in shown if not text.endswith("=0"))


# Bounds on how often a kind of step may occur; the fields before these are sizes.
BUDGETS = Bounds.__slots__[8:]


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; each broken variant disables one of them.

    Attributes
    ----------
    agents_fence : bool
        An agent accepts only starts of the epoch that it granted last.
    epoch_has_rank : bool
        An epoch contains the rank of its entry, so no two candidates share one.
    incarnation_listed : bool
        Only entries whose current incarnation is in the owner table are candidates.
    wait_for_completeness : bool
        An owner starts a task without a start record only once it has the records of
        all agents that could have run it.
    completeness_by_task : bool
        `wait_for_completeness` also holds for jobs with a start record of another task.
    keep_roster : bool
        A new owner continues the roster of the previous one.
    roster_before_start : bool
        An owner sends starts to an agent only once that agent and a quorum store its
        current roster.
    no_roster_is_incomplete : bool
        An owner without a roster has no quorum and may not start tasks.
    copy_before_accounting : bool
        An owner copies its records to another agent before it marks a lost agent as
        accounted for.
    account_only_fenced : bool
        An owner marks only lost agents that it has fenced as accounted for.
    owner_lease : bool
        An owner acts only while a quorum of agents promises to grant no other fence.
    roster_change_by_quorum : bool
        An owner changes the roster only while a quorum of it can store the new one.
    unknown_key_is_unanswered : bool
        An owner that may not yet start an unknown job does not answer `not run`.
    refusals_kept : bool
        An agent records the starts that it refuses.
    reconcile_refuses : bool
        An agent that is asked about a start that it does not know records a refusal.
    duplicate_is_no_refusal : bool
        An owner does not treat the outcome of a duplicate start as a refusal.
    outcome_matched_by_agent : bool
        An owner applies a refusal only if it comes from the agent of that attempt.
    all_copies_refused : bool
        A front answers `not run` only after all its copies were refused or misdirected.
    former_owner_does_not_answer : bool
        An entry that lost the ownership does not answer `not run` to its open calls.
    wait_for_all_results : bool
        An owner answers a job only once all its tasks have ended.
    results_by_task : bool
        An owner stores results by task index and not by order of arrival.
    copy_before_leave_reply : bool
        An owner copies the records of a leaving agent before the agent stops.
    keys_carry_submission_time : bool
        Each submission carries the time of the first submission of its key, so that an
        owner starts no task of a key whose retention period has ended.
    """

    agents_fence: bool = True
    epoch_has_rank: bool = True
    incarnation_listed: bool = True
    wait_for_completeness: bool = True
    completeness_by_task: bool = True
    keep_roster: bool = True
    roster_before_start: bool = True
    no_roster_is_incomplete: bool = True
    copy_before_accounting: bool = True
    account_only_fenced: bool = True
    owner_lease: bool = True
    roster_change_by_quorum: bool = True
    unknown_key_is_unanswered: bool = True
    refusals_kept: bool = True
    reconcile_refuses: bool = True
    duplicate_is_no_refusal: bool = True
    outcome_matched_by_agent: bool = True
    all_copies_refused: bool = True
    former_owner_does_not_answer: bool = True
    wait_for_all_results: bool = True
    results_by_task: bool = True
    copy_before_leave_reply: bool = True
    keys_carry_submission_time: bool = True
