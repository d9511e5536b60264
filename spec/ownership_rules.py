"""Rules of partition ownership: what owners, agents and candidates may do."""

from spec.checking import Specification, replay
from spec.ownership_state import (
    BUDGETS,
    NO_EPOCH,
    Agent,
    Entry,
    Key,
    Mark,
    Mode,
    Place,
    Roster,
    Rules,
    State,
    Task,
    replace_fields,
)

FIRST_EPOCH = (1, 1, 0)
NO_DOUBLE_START = "no task starts twice"
NO_FALSE_NOT_RUN = "no false not run"
NO_PARTIAL_ANSWER = "no partial answer"
SENT_OR_RAN = (Mark.SENT, Mark.ENDED, Mark.COPIED)


class OwnershipRules(Specification):
    """Abstract specification of ownership: initial state, preconditions of steps.

    Methods abbreviate indices: `e` is an entry, `a` and `b` are agents, `k` is a key,
    `t` is a task of the key's job, and `c` is a call.

    Parameters
    ----------
    name : str
        Name of the variant.
    bounds : Bounds
        Sizes, and how often each kind of fault may occur.
    rules : Rules
        Rules in force; all by default.
    prefix : tuple of steps
        Steps from the state of `first` to the initial state of the exploration.
    """

    invariants = (NO_DOUBLE_START, NO_FALSE_NOT_RUN, NO_PARTIAL_ANSWER)

    def __init__(self, name, bounds, rules=None, prefix=()):
        self.name = name
        self.limits = bounds
        self.bounds = str(bounds)
        if prefix:
            self.bounds += f" after {len(prefix)} steps"
        self.rules = rules or Rules()
        self.prefix = prefix

    def initial(self):
        """Return the state after the steps of the prefix."""
        return replay(self, self.prefix, self.first())[-1]

    def first(self):
        """Return a partition owned by entry 0, with its roster known everywhere."""
        limits = self.limits
        places = tuple(
            Place.LIVE if a < limits.joined else Place.ABSENT
            for a in range(limits.agents)
        )
        roster = Roster(FIRST_EPOCH, 1, places)
        joined = frozenset(range(limits.joined))
        empty_records = ((Task(),) * limits.tasks,) * limits.keys
        entry = Entry(roster=roster, jobs=(None,) * limits.keys)
        owner = replace_fields(entry, epoch=FIRST_EPOCH, fenced=joined, support=joined)
        agent = Agent(
            granted=FIRST_EPOCH, owner=0, records=empty_records, roster=roster
        )
        unstarted = Agent(mode=Mode.DOWN, records=empty_records)
        return State(
            entries=(owner,) + (entry,) * (limits.entries - 1),
            agents=tuple(
                agent if a in joined else unstarted for a in range(limits.agents)
            ),
            keys=(Key(),) * limits.keys,
            starts=((0,) * limits.tasks,) * limits.keys,
            tables=(tuple(range(limits.entries)),),
            used_budgets=(0,) * len(BUDGETS),
        )

    def violations(self, state):
        """Return the names of the invariants that the steps so far have violated."""
        return state.violated

    def _has_budget(self, state, budget):
        index = BUDGETS.index(budget)
        return state.used_budgets[index] < getattr(self.limits, budget)

    def _running_entries(self, state):
        return [e for e, entry in enumerate(state.entries) if entry.mode == Mode.UP]

    def _linked(self, state, e, a):
        return state.agents[a].mode == Mode.UP and (e, a) not in state.disconnected

    def _has_quorum(self, entry):
        """Return whether an owner holds the promises of a quorum of its agents.

        A quorum is more than half of the agents in the roster, or exactly half of
        them including the first, so that any two quorums have an agent in common.
        """
        if not self.rules.owner_lease:
            return True
        if entry.roster is None:
            return not self.rules.no_roster_is_incomplete
        members = [
            a
            for a, place in enumerate(entry.roster.places)
            if place in (Place.LIVE, Place.LOST)
        ]
        supporting = [a for a in members if a in entry.support]
        if 2 * len(supporting) == len(members):
            return bool(supporting) and supporting[0] == members[0]
        return 2 * len(supporting) > len(members)

    def _may_change_roster(self, state, e):
        """Return whether a quorum of the current roster can store the next one."""
        entry = state.entries[e]
        if not self.rules.roster_change_by_quorum:
            return self._has_quorum(entry)
        reached = frozenset(
            a
            for a in entry.support
            if self._linked(state, e, a)
            and (state.agents[a].owner, state.agents[a].granted) == (e, entry.epoch)
        )
        return self._has_quorum(replace_fields(entry, support=reached))

    def _is_complete(self, entry):
        """Return whether an owner has the records of all agents that may run tasks."""
        if not self.rules.wait_for_completeness:
            return True
        if entry.roster is None:
            return not self.rules.no_roster_is_incomplete
        return all(
            place in (Place.ABSENT, Place.ACCOUNTED) or a in entry.fenced
            for a, place in enumerate(entry.roster.places)
        )

    def _may_start(self, state, e, k):
        """Return whether an owner may start tasks of a key without start records."""
        entry, key = state.entries[e], state.keys[k]
        if key.expired or not self._has_quorum(entry):
            return False
        if not self.rules.completeness_by_task and entry.jobs[k] is not None:
            return True
        return e in key.fresh or self._is_complete(entry)

    def _may_refuse(self, state, message):
        entry = state.entries[message.entry]
        return (
            entry.epoch != NO_EPOCH
            and entry.jobs[message.key] is None
            and self._may_start(state, message.entry, message.key)
        )

    def _may_send(self, state, e, a):
        """Return whether an owner may send starts to an agent."""
        entry = state.entries[e]
        if entry.roster is None or entry.roster.places[a] != Place.LIVE:
            return entry.roster is None and not self.rules.no_roster_is_incomplete
        if not self._linked(state, e, a):
            return False
        if not self.rules.roster_before_start:
            return True
        sort_key = entry.roster.sort_key
        up_to_date = [
            b
            for b in entry.support
            if state.agents[b].roster is not None
            and state.agents[b].roster.sort_key == sort_key
        ]
        return a in up_to_date and self._has_quorum(
            replace_fields(entry, support=frozenset(up_to_date))
        )

    def _is_candidate(self, state, e):
        entry = state.entries[e]
        listed = entry.listed or not self.rules.incarnation_listed
        return listed and e in state.tables[entry.table - 1]

    def _may_fence(self, state, e, a):
        """Return whether an agent replies to a fence, with a grant or its epoch."""
        entry, agent = state.entries[e], state.agents[a]
        if agent.granted >= entry.epoch:
            return True
        place = Place.LIVE
        if entry.roster is not None:
            place = entry.roster.places[a]
        adds_to_roster = self.rules.keep_roster and place in (
            Place.ABSENT,
            Place.ACCOUNTED,
        )
        if adds_to_roster and not self._may_change_roster(state, e):
            return False
        return self._grants(state, e, a)

    def _grants(self, state, e, a):
        """Return whether an agent grants an entry a fence with a higher epoch."""
        agent = state.agents[a]
        if agent.owner in (-1, e):
            return True
        owner = state.entries[agent.owner]
        if owner.mode == Mode.DOWN or owner.epoch != agent.granted:
            return True
        if self.rules.owner_lease:
            return a not in owner.support
        return owner.mode == Mode.PAUSED or not self._linked(state, agent.owner, a)

    def _accepts(self, state, message):
        """Return whether an agent accepts a start."""
        agent = state.agents[message.agent]
        record = agent.records[message.key][message.task]
        current = not agent.woken and message.epoch == agent.granted
        is_stale = self.rules.agents_fence and not current
        refused = record.mark == Mark.REFUSED and message.attempt <= record.attempt
        return not (is_stale or agent.leaving or refused or record.mark in SENT_OR_RAN)
