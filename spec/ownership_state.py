"""State, bounds and rules of the specification of ownership."""

import enum
from dataclasses import dataclass

NO_EPOCH = (0, 0, 0)


def change(item, **changes):
    """Return a copy of a value with some fields changed.

    It does what `dataclasses.replace` does in about half of the time, and the
    exploration spends most of its time here.
    """
    names = item.__slots__
    return type(item)(
        *[changes[name] if name in changes else getattr(item, name) for name in names]
    )


class Value(enum.IntEnum):
    """Base of the enumerations; hashed as numbers, so the order of sets is fixed."""

    __hash__ = int.__hash__


class Mode(Value):
    """Condition of a process."""

    UP = 1
    PAUSED = 2
    DOWN = 3


class Place(Value):
    """What a roster says of an agent."""

    ABSENT = 0
    LIVE = 1
    LOST = 2
    ACCOUNTED = 3


class Mark(Value):
    """State of a task at an owner or in a start record.

    COPIED is the copy of another agent's record: it was sent, outcome unknown.
    """

    NONE = 0
    SENT = 1
    ENDED = 2
    REFUSED = 3
    COPIED = 4


class Outcome(Value):
    """What an agent reports on a start."""

    ENDED = 1
    STALE = 2
    BUSY = 3
    DUPLICATE = 4


@dataclass(frozen=True, slots=True)
class Task:
    """Task as an owner or an agent knows it.

    Attributes
    ----------
    result : int
        Task whose result this is; -1 for none.
    agent : int
        Agent that the owner sent it to or that reported it; -1 where not known.
    """

    mark: Mark = Mark.NONE
    attempt: int = 0
    result: int = -1
    agent: int = -1


@dataclass(frozen=True, slots=True)
class Job:
    """Job record of an owner; `calls` wait for its answer, `body` says it is whole."""

    tasks: tuple[Task, ...]
    calls: frozenset[int] = frozenset()
    body: bool = False
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Roster:
    """Places of the agents; a higher (epoch, version) is newer."""

    epoch: tuple[int, int, int]
    version: int
    places: tuple[Place, ...]

    @property
    def order(self):
        """Return what tells the newer roster."""
        return (self.epoch, self.version)


@dataclass(frozen=True, slots=True)
class Entry:
    """Entry: what it believes to own and all that it knows.

    Attributes
    ----------
    fenced : frozenset of int
        Agents that answered its fence at its epoch.
    support : frozenset of int
        Agents that promised not to grant another fence; the owner's lease.
    listed : bool
        Whether the owner table names this incarnation of the entry.
    """

    mode: Mode = Mode.UP
    epoch: tuple[int, int, int] = NO_EPOCH
    term: int = 1
    table: int = 1
    listed: bool = True
    fenced: frozenset[int] = frozenset()
    support: frozenset[int] = frozenset()
    roster: Roster | None = None
    jobs: tuple[Job | None, ...] = ()


@dataclass(frozen=True, slots=True)
class Agent:
    """Agent: granted epoch, its holder, start records and copy of the roster.

    `woken` says that it was paused and no owner has fenced it since.
    """

    mode: Mode = Mode.UP
    granted: tuple[int, int, int] = NO_EPOCH
    owner: int = -1
    records: tuple[tuple[Task, ...], ...] = ()
    roster: Roster | None = None
    leaving: bool = False
    woken: bool = False


@dataclass(frozen=True, slots=True)
class StartMessage:
    """Start on its way to an agent."""

    entry: int
    agent: int
    epoch: tuple[int, int, int]
    key: int
    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DoneMessage:
    """Outcome of a start on its way to an owner."""

    entry: int
    agent: int
    key: int
    task: int
    attempt: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SubmitMessage:
    """Copy of a submission on its way to an entry."""

    entry: int
    key: int
    call: int


@dataclass(frozen=True, slots=True)
class Call:
    """Request that a front holds open.

    Attributes
    ----------
    sent, refused, void : int
        Copies sent, refused `not run`, and turned away by an entry that was no owner.
    denied : bool
        Whether the front has answered `not run`.
    """

    key: int
    sent: int = 1
    refused: int = 0
    void: int = 0
    denied: bool = False


@dataclass(frozen=True, slots=True)
class Key:
    """Idempotency key: entries for which it is fresh, and whether it has expired."""

    submitted: bool = False
    fresh: frozenset[int] = frozenset()
    expired: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """State of the partition: processes, network, store, and what happened."""

    entries: tuple[Entry, ...]
    agents: tuple[Agent, ...]
    keys: tuple[Key, ...]
    starts: tuple[tuple[int, ...], ...]
    tables: tuple[tuple[int, ...], ...]
    calls: tuple[Call, ...] = ()
    net: frozenset = frozenset()
    broken: frozenset = frozenset()
    store_up: bool = True
    spent: tuple[int, ...] = ()
    cut: frozenset[tuple[int, int]] = frozenset()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Sizes of the exploration and how often each kind of step may occur."""

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


BUDGETS = Bounds.__slots__[8:]


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; a broken variant switches some of them off."""

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
    unfamiliar_is_unknown: bool = True
    refusals_kept: bool = True
    reconcile_refuses: bool = True
    duplicate_is_no_refusal: bool = True
    outcome_matched_by_agent: bool = True
    all_copies_refused: bool = True
    deposed_is_silent: bool = True
    wait_for_all_results: bool = True
    results_by_task: bool = True
    copy_before_leave_reply: bool = True
    stamped_keys: bool = True
