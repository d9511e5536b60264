"""Specification of how configuration changes are written and distributed.

Operators change the configuration in one store by compare-and-swap. Replicas receive
revisions from the store and from each other.
"""

from dataclasses import dataclass, replace

from spec.checking import Specification
from spec.variant import Variant

NO_REVISION = 0
NO_REVISION_ROLLBACK = "no process goes back to a lower revision"
ONE_CONTENT_PER_REVISION = "a revision has one content"
NO_LOST_UPDATE = "no lost update"
CORRECT_RESULT_REPORTED = "an operator gets the correct result of its change"
NO_ANNOUNCEMENT_REVOKED = "a change announced as in force stays in force"


@dataclass(frozen=True, slots=True)
class Read:
    """An operator reads the revision that its change is based on."""

    operator: int


@dataclass(frozen=True, slots=True)
class Write:
    """An operator writes its change by compare-and-swap.

    With `lost`, the store's reply does not reach the operator.
    """

    operator: int
    lost: bool = False


@dataclass(frozen=True, slots=True)
class ReadBack:
    """An operator that got no reply looks its change up in the store."""

    operator: int


@dataclass(frozen=True, slots=True)
class Update:
    """Message with a revision and its content to a replica."""

    replica: int
    revision: int
    content: int


@dataclass(frozen=True, slots=True)
class Watch:
    """The store sends its current revision to a replica."""

    replica: int


@dataclass(frozen=True, slots=True)
class Pull:
    """A peer with a higher revision sends it to a replica."""

    replica: int
    peer: int


@dataclass(frozen=True, slots=True)
class ReceiveUpdate:
    """A replica receives an update and applies it if the rules allow."""

    update: Update


@dataclass(frozen=True, slots=True)
class RestartReplica:
    """A replica restarts without its state in memory."""

    replica: int


@dataclass(frozen=True, slots=True)
class Announce:
    """The system reports that a revision is in force on all replicas."""

    revision: int


@dataclass(frozen=True, slots=True)
class ToggleStore:
    """The store becomes unavailable or available again."""


@dataclass(frozen=True, slots=True)
class Operator:
    """Operator with one change to write.

    Attributes
    ----------
    phase : str
        "idle", "ready" to write, "unsure" without a reply, or "done".
    base : int
        Revision that the change is based on.
    reported : int
        Revision reported for the change; 0 if none yet, -1 if it was rejected.
    """

    phase: str = "idle"
    base: int = NO_REVISION
    reported: int = NO_REVISION


@dataclass(frozen=True, slots=True)
class Replica:
    """Process that holds a copy of the configuration.

    Attributes
    ----------
    revision : int
        Revision in force.
    content : int
        Author of the content in force, which identifies the content.
    highest : int
        Highest revision in force since the process started.
    """

    revision: int = 1
    content: int = -1
    highest: int = 1


@dataclass(frozen=True, slots=True)
class Change:
    """Revision in the store, with the revision it is based on and its author."""

    base: int
    author: int


@dataclass(frozen=True, slots=True)
class State:
    """Store with its history, operators, replicas, network and faults so far.

    Attributes
    ----------
    net : frozenset of Update
        Messages in flight.
    announced : int
        Revision last announced as in force.
    outages, lost_replies, restarts : int
        How often each fault has occurred.
    """

    history: tuple[Change, ...]
    operators: tuple[Operator, ...]
    replicas: tuple[Replica, ...]
    net: frozenset = frozenset()
    store_up: bool = True
    announced: int = 1
    outages: int = 0
    lost_replies: int = 0
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; each broken variant disables one of them.

    Attributes
    ----------
    only_higher : bool
        A replica applies only revisions higher than its own.
    compare : bool
        The store accepts a write only if it is based on the current revision.
    read_back : bool
        An operator without a reply reads the store instead of writing again.
    value_names_earlier : bool
        The value in the store also names the changes before it.
    count_starting : bool
        A revision is announced only once replicas that are starting have it.
    """

    only_higher: bool = True
    compare: bool = True
    read_back: bool = True
    value_names_earlier: bool = True
    count_starting: bool = True


def _with_item(items, index, item):
    return items[:index] + (item,) + items[index + 1 :]


class Configuration(Specification):
    """Concurrent operators, and replicas that watch the store and pull from peers."""

    invariants = (
        NO_REVISION_ROLLBACK,
        ONE_CONTENT_PER_REVISION,
        NO_LOST_UPDATE,
        CORRECT_RESULT_REPORTED,
        NO_ANNOUNCEMENT_REVOKED,
    )
    max_outages = 1
    max_lost_replies = 1

    def __init__(self, name, operators=2, replicas=2, restarts=1, rules=None):
        self.name = name
        self.operators = operators
        self.replicas = replicas
        self.max_restarts = restarts
        self.rules = rules or Rules()
        self.bounds = (
            f"operators={self.operators} replicas={replicas} restarts={restarts} "
            f"outages={self.max_outages} lost_answers={self.max_lost_replies}"
        )

    def initial(self):
        """Return a deployment in which all replicas have revision 1 in force."""
        return State(
            history=(Change(0, -1),),
            operators=(Operator(),) * self.operators,
            replicas=(Replica(),) * self.replicas,
        )

    def violations(self, state):
        """Return the names of the invariants that a state violates."""
        replicas, history = state.replicas, state.history
        in_force = [r for r in replicas if r.revision != NO_REVISION]
        checks = {
            NO_REVISION_ROLLBACK: all(r.revision == r.highest for r in replicas),
            ONE_CONTENT_PER_REVISION: all(
                history[r.revision - 1].author == r.content for r in in_force
            ),
            NO_LOST_UPDATE: all(
                change.base == number for number, change in enumerate(history)
            ),
            CORRECT_RESULT_REPORTED: all(
                self._is_report_correct(history, author, operator)
                for author, operator in enumerate(state.operators)
            ),
            NO_ANNOUNCEMENT_REVOKED: all(
                r.revision >= state.announced for r in in_force
            ),
        }
        return frozenset(name for name, holds in checks.items() if not holds)

    @staticmethod
    def _is_report_correct(history, author, operator):
        if operator.reported == -1:
            return all(change.author != author for change in history)
        if operator.reported > 0:
            return history[operator.reported - 1].author == author
        return True

    def steps(self, state):
        """Return the steps that are enabled in a state."""
        enabled = [ReceiveUpdate(update) for update in state.net]
        if state.store_up:
            enabled += [Watch(r) for r in range(self.replicas)]
            for number, operator in enumerate(state.operators):
                enabled += self._operator_steps(state, number, operator)
        if not state.store_up or state.outages < self.max_outages:
            enabled.append(ToggleStore())
        if state.restarts < self.max_restarts:
            enabled += [RestartReplica(r) for r in range(self.replicas)]
        revisions = [r.revision for r in state.replicas]
        for peer, peer_revision in enumerate(revisions):
            enabled += [
                Pull(r, peer)
                for r, own_revision in enumerate(revisions)
                if own_revision < peer_revision
            ]
        if not self.rules.count_starting:
            revisions = [r for r in revisions if r != NO_REVISION]
        if revisions and min(revisions) > state.announced:
            enabled.append(Announce(min(revisions)))
        return enabled

    def _operator_steps(self, state, number, operator):
        if operator.phase == "idle":
            return [Read(number)]
        if operator.phase == "unsure":
            return [ReadBack(number)]
        if operator.phase == "done":
            return []
        lossy = (
            [Write(number, lost=True)]
            if state.lost_replies < self.max_lost_replies
            else []
        )
        return [Write(number), *lossy]

    def apply(self, state, step):
        """Return the successor of a state under a step."""
        return self._effects[type(step)](self, state, step)

    def _with_operator(self, state, number, **changes):
        operator = replace(state.operators[number], **changes)
        return replace(state, operators=_with_item(state.operators, number, operator))

    def _do_read(self, state, step):
        base = len(state.history)
        return self._with_operator(state, step.operator, phase="ready", base=base)

    def _do_write(self, state, step):
        number = step.operator
        base = state.operators[number].base
        reported = -1
        if base == len(state.history) or not self.rules.compare:
            change = Change(base, number)
            state = replace(state, history=(*state.history, change))
            reported = len(state.history)
        if not step.lost:
            return self._with_operator(state, number, phase="done", reported=reported)
        state = replace(state, lost_replies=state.lost_replies + 1)
        phase = "unsure" if self.rules.read_back else "ready"
        return self._with_operator(state, number, phase=phase)

    def _do_read_back(self, state, step):
        """Report to the operator whether the store has accepted its change.

        The store keeps only its current value. The value names the change that it
        contains and, under `value_names_earlier`, the changes before it.
        """
        number = step.operator
        accepted = [
            revision
            for revision, change in enumerate(state.history, 1)
            if change.author == number
            and (self.rules.value_names_earlier or revision == len(state.history))
        ]
        reported = accepted[0] if accepted else -1
        return self._with_operator(state, number, phase="done", reported=reported)

    def _send(self, state, replica, revision, content):
        update = Update(replica, revision, content)
        return replace(state, net=state.net | {update})

    def _do_watch(self, state, step):
        content = state.history[-1].author
        return self._send(state, step.replica, len(state.history), content)

    def _do_pull(self, state, step):
        peer = state.replicas[step.peer]
        return self._send(state, step.replica, peer.revision, peer.content)

    def _do_receive_update(self, state, step):
        update = step.update
        state = replace(state, net=state.net - {update})
        current = state.replicas[update.replica]
        if update.revision <= current.revision and self.rules.only_higher:
            return state
        highest = max(current.highest, update.revision)
        updated = Replica(update.revision, update.content, highest)
        return replace(
            state, replicas=_with_item(state.replicas, update.replica, updated)
        )

    def _do_restart_replica(self, state, step):
        empty = Replica(NO_REVISION, -1, NO_REVISION)
        return replace(
            state,
            restarts=state.restarts + 1,
            replicas=_with_item(state.replicas, step.replica, empty),
            net=frozenset(u for u in state.net if u.replica != step.replica),
        )

    def _do_announce(self, state, step):
        return replace(state, announced=step.revision)

    def _do_toggle_store(self, state, step):
        outages = state.outages + state.store_up
        return replace(state, store_up=not state.store_up, outages=outages)

    _effects = {
        Read: _do_read,
        Write: _do_write,
        ReadBack: _do_read_back,
        Watch: _do_watch,
        Pull: _do_pull,
        ReceiveUpdate: _do_receive_update,
        RestartReplica: _do_restart_replica,
        Announce: _do_announce,
        ToggleStore: _do_toggle_store,
    }


def _broken(rule, invariant, *, added_later=False):
    spec = Configuration(f"without {rule}", rules=Rules(**{rule: False}))
    return Variant(spec, invariant, added_later)


SOUND = (
    Variant(Configuration("configuration: race", restarts=0)),
    Variant(Configuration("configuration: race and restart", replicas=1)),
    Variant(Configuration("configuration: three replicas", 1, replicas=3, restarts=1)),
)
BROKEN = (
    _broken("only_higher", NO_REVISION_ROLLBACK),
    _broken("compare", NO_LOST_UPDATE),
    _broken("read_back", CORRECT_RESULT_REPORTED),
    _broken("value_names_earlier", CORRECT_RESULT_REPORTED, added_later=True),
    _broken("count_starting", NO_ANNOUNCEMENT_REVOKED, added_later=True),
)
