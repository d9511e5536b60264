"""Rules of partition ownership: what owners, agents and candidates may do."""

from spec.checking import Specification, replay
from spec.ownership_state import (
    BUDGETS,
    NO_EPOCH,
    Agent,
    Entry,
    Key,
    MemberStatus,
    Mode,
    Roster,
    Rules,
    State,
    Task,
    TaskState,
    replace_fields,
)

FIRST_EPOCH = (1, 1, 0)
NO_DOUBLE_START = "no task starts twice"
NO_FALSE_NOT_RUN = "no false `not run`"
NO_PARTIAL_ANSWER = "no partial answer"
MAY_HAVE_RUN = (TaskState.SENT, TaskState.ENDED, TaskState.COPIED)


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
        statuses = tuple(
            MemberStatus.LIVE if a < limits.joined else MemberStatus.ABSENT
            for a in range(limits.agents)
        )
        roster = Roster(FIRST_EPOCH, 1, statuses)
        joined = frozenset(range(limits.joined))
        empty_records = ((Task(),) * limits.tasks,) * limits.keys
        entry = Entry(roster=roster, jobs=(None,) * limits.keys)
        owner = replace_fields(
            entry, epoch=FIRST_EPOCH, fenced=joined, promised_by=joined
        )
        agent = Agent(
            granted_epoch=FIRST_EPOCH,
            granted_to=0,
            records=empty_records,
            roster=roster,
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

    def _is_connected(self, state, e, a):
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
            for a, status in enumerate(entry.roster.statuses)
            if status in (MemberStatus.LIVE, MemberStatus.LOST)
        ]
        promised = [a for a in members if a in entry.promised_by]
        if 2 * len(promised) == len(members):
            return bool(promised) and promised[0] == members[0]
        return 2 * len(promised) > len(members)

    def _may_change_roster(self, state, e):
        """Return whether a quorum of the current roster can store the next one."""
        entry = state.entries[e]
        if not self.rules.roster_change_by_quorum:
            return self._has_quorum(entry)
        reached = frozenset(
            a
            for a in entry.promised_by
            if self._is_connected(state, e, a)
            and (state.agents[a].granted_to, state.agents[a].granted_epoch)
            == (e, entry.epoch)
        )
        return self._has_quorum(replace_fields(entry, promised_by=reached))

    def _is_complete(self, entry):
        """Return whether an owner has the records of all agents that may run tasks."""
        if not self.rules.wait_for_completeness:
            return True
        if entry.roster is None:
            return not self.rules.no_roster_is_incomplete
        return all(
            status in (MemberStatus.ABSENT, MemberStatus.ACCOUNTED) or a in entry.fenced
            for a, status in enumerate(entry.roster.statuses)
        )

    def _may_start(self, state, e, k):
        """Return whether an owner may start tasks of a key without start records."""
        entry, key = state.entries[e], state.keys[k]
        if key.expired or not self._has_quorum(entry):
            return False
        if not self.rules.completeness_by_task and entry.jobs[k] is not None:
            return True
        return e in key.known_new_at or self._is_complete(entry)

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
        if entry.roster is None or entry.roster.statuses[a] != MemberStatus.LIVE:
            return entry.roster is None and not self.rules.no_roster_is_incomplete
        if not self._is_connected(state, e, a):
            return False
        if not self.rules.roster_before_start:
            return True
        sort_key = entry.roster.sort_key
        up_to_date = [
            b
            for b in entry.promised_by
            if state.agents[b].roster is not None
            and state.agents[b].roster.sort_key == sort_key
        ]
        return a in up_to_date and self._has_quorum(
            replace_fields(entry, promised_by=frozenset(up_to_date))
        )

    def _is_candidate(self, state, e):
        entry = state.entries[e]
        listed = entry.listed or not self.rules.incarnation_listed
        return listed and e in state.tables[entry.table - 1]

    def _may_fence(self, state, e, a):
        """Return whether an agent replies to a fence, with a grant or its epoch."""
        entry, agent = state.entries[e], state.agents[a]
        if agent.granted_epoch >= entry.epoch:
            return True
        status = MemberStatus.LIVE
        if entry.roster is not None:
            status = entry.roster.statuses[a]
        adds_to_roster = self.rules.keep_roster and status in (
            MemberStatus.ABSENT,
            MemberStatus.ACCOUNTED,
        )
        if adds_to_roster and not self._may_change_roster(state, e):
            return False
        return self._grants(state, e, a)

    def _grants(self, state, e, a):
        """Return whether an agent grants an entry a fence with a higher epoch."""
        agent = state.agents[a]
        if agent.granted_to in (-1, e):
            return True
        owner = state.entries[agent.granted_to]
        if owner.mode == Mode.DOWN or owner.epoch != agent.granted_epoch:
            return True
        if self.rules.owner_lease:
            return a not in owner.promised_by
        return owner.mode == Mode.PAUSED or not self._is_connected(
            state, agent.granted_to, a
        )

    def _accepts(self, state, message):
        """Return whether an agent accepts a start."""
        agent = state.agents[message.agent]
        record = agent.records[message.key][message.task]
        current = not agent.awaits_fence and message.epoch == agent.granted_epoch
        is_stale = self.rules.agents_fence and not current
        refused = (
            record.state == TaskState.REFUSED and message.attempt <= record.attempt
        )
        return not (
            is_stale or agent.leaving or refused or record.state in MAY_HAVE_RUN
        )
