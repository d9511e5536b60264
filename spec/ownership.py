"""Specification of partition ownership: takeover, start records and rosters."""

from itertools import product

from spec import ownership_steps as st
from spec.ownership_effects import OwnershipEffects
from spec.ownership_rules import MAY_HAVE_RUN
from spec.ownership_state import (
    NO_EPOCH,
    Agent,
    DoneMessage,
    MemberStatus,
    Mode,
    StartMessage,
    TaskState,
)


class Ownership(OwnershipEffects):
    """One partition with its candidate entries, agents, keys, network and store."""

    def steps(self, state):
        """Return the steps that are enabled in a state."""
        return [
            *self._caller_steps(state),
            *self._network_steps(state),
            *self._end_steps(state),
            *self._owner_steps(state),
            *self._fence_steps(state),
            *self._roster_steps(state),
            *self._fault_steps(state),
            *self._store_steps(state),
        ]

    def _caller_steps(self, state):
        for e in self._running_entries(state):
            if len(state.calls) < self.limits.calls:
                for k, key in enumerate(state.keys):
                    if k == 0 or state.keys[k - 1].submitted or key.submitted:
                        yield st.Submit(k, e)
            for c, call in enumerate(state.calls):
                if call.sent < self.limits.copies and not call.answered_not_run:
                    yield st.Resend(c, e)

    def _network_steps(self, state):
        repeats = (False, True) if self._has_budget(state, "repeats") else (False,)
        for message in state.net:
            if isinstance(message, StartMessage):
                if state.agents[message.agent].mode == Mode.UP:
                    for repeat in repeats:
                        yield st.DeliverStart(message, repeat)
                        if self._has_budget(state, "refusals") and self._accepts(
                            state, message
                        ):
                            yield st.RefuseStart(message, repeat)
            elif state.entries[message.entry].mode == Mode.UP:
                if isinstance(message, DoneMessage):
                    yield st.DeliverDone(message)
                    continue
                yield st.Accept(message)
                if self._has_budget(state, "refusals") and self._may_refuse(
                    state, message
                ):
                    yield st.Refuse(message)

    def _end_steps(self, state):
        for a, agent in enumerate(state.agents):
            for k, t in product(range(self.limits.keys), range(self.limits.tasks)):
                if (
                    agent.mode == Mode.UP
                    and agent.records[k][t].state == TaskState.SENT
                ):
                    yield st.EndTask(a, k, t)

    def _owner_steps(self, state):
        for e in self._running_entries(state):
            entry = state.entries[e]
            if entry.epoch == NO_EPOCH:
                continue
            for k, job in enumerate(entry.jobs):
                if job is None or job.answered:
                    continue
                yield from self._job_steps(state, e, k, job)

    def _job_steps(self, state, e, k, job):
        entry = state.entries[e]
        task_states = [task.state for task in job.tasks]
        quantifier = all if self.rules.wait_for_all_results else any
        if job.calls and quantifier(
            task_state == TaskState.ENDED for task_state in task_states
        ):
            yield st.Answer(e, k)
        for t, task in enumerate(job.tasks):
            is_reachable = task.agent in entry.fenced and self._is_connected(
                state, e, task.agent
            )
            if (
                is_reachable
                and task.state == TaskState.SENT
                and self._has_budget(state, "reconciles")
            ):
                yield st.Reconcile(e, task.agent, k, t)
        if not job.has_submission or not self._may_start(state, e, k):
            return
        may_have_run = any(task_state in MAY_HAVE_RUN for task_state in task_states)
        if job.calls and TaskState.REFUSED in task_states and not may_have_run:
            yield st.AnswerNotRun(e, k)
        for t, task in enumerate(job.tasks):
            if task.state in MAY_HAVE_RUN or task.attempt >= self.limits.attempts:
                continue
            for a in entry.fenced:
                if self._may_send(state, e, a):
                    yield st.Dispatch(e, k, t, a)

    def _fence_steps(self, state):
        for e in self._running_entries(state):
            entry = state.entries[e]
            if entry.epoch == NO_EPOCH:
                if self._has_budget(state, "takeovers") and self._is_candidate(
                    state, e
                ):
                    yield st.Takeover(e)
                continue
            for a in range(self.limits.agents):
                if not self._is_connected(state, e, a):
                    continue
                agent = state.agents[a]
                is_fenced = (
                    a in entry.fenced
                    and agent.granted_to == e
                    and not agent.awaits_fence
                )
                if not is_fenced and self._may_fence(state, e, a):
                    yield st.Fence(e, a)
                    if self._has_budget(state, "lost_answers"):
                        yield st.Fence(e, a, lost=True)
                if (
                    is_fenced
                    and a not in entry.promised_by
                    and agent.granted_epoch == entry.epoch
                ):
                    yield st.Renew(e, a)
        for e, entry in enumerate(state.entries):
            for a in entry.promised_by:
                if entry.mode == Mode.PAUSED or not self._is_connected(state, e, a):
                    yield st.ExpirePromise(e, a)

    def _roster_steps(self, state):
        for e in self._running_entries(state):
            entry = state.entries[e]
            if entry.epoch == NO_EPOCH or entry.roster is None:
                continue
            if not self._may_change_roster(state, e):
                continue
            for a, status in enumerate(entry.roster.statuses):
                agent = state.agents[a]
                others = [
                    b for b in entry.fenced if b != a and self._may_send(state, e, b)
                ]
                if status == MemberStatus.LIVE and not self._is_connected(state, e, a):
                    yield st.DeclareLost(e, a)
                may_account = a in entry.fenced or not self.rules.account_only_fenced
                if status == MemberStatus.LOST and may_account:
                    for b in others:
                        yield st.AccountForAgent(e, a, b)
                running = any(
                    task.state == TaskState.SENT
                    for row in agent.records
                    for task in row
                )
                if (
                    agent.leaving
                    and not running
                    and status == MemberStatus.LIVE
                    and agent.granted_epoch == entry.epoch
                    and self._is_connected(state, e, a)
                ):
                    for b in others:
                        yield st.EndLeave(e, a, b)

    def _fault_steps(self, state):
        for e, entry in enumerate(state.entries):
            if entry.mode == Mode.UP:
                if self._has_budget(state, "crashes"):
                    yield st.Crash(e)
                if self._has_budget(state, "pauses"):
                    yield st.Pause(e)
                if entry.epoch != NO_EPOCH and self._has_budget(state, "releases"):
                    yield from (
                        st.Release(e, successor)
                        for successor in (-1, *self._running_entries(state))
                        if successor != e
                    )
            if entry.mode == Mode.PAUSED:
                yield st.Resume(e)
            if entry.mode == Mode.DOWN and self._has_budget(state, "restarts"):
                yield st.Restart(e)
        for a, agent in enumerate(state.agents):
            if agent.mode == Mode.UP:
                if self._has_budget(state, "agent_losses"):
                    yield st.AgentCrash(a)
                if self._has_budget(state, "agent_pauses"):
                    yield st.AgentPause(a)
                if not agent.leaving and self._has_budget(state, "leaves"):
                    yield st.Leave(a)
            # A shorter pause is equivalent to delayed messages, so only pauses that
            # outlast all promises of the agent are modelled.
            promised = any(a in entry.promised_by for entry in state.entries)
            if agent.mode == Mode.PAUSED and not promised:
                yield st.AgentResume(a)
            never_started = Agent(mode=Mode.DOWN, records=agent.records)
            unstarted = a >= self.limits.joined and agent == never_started
            if unstarted and self._has_budget(state, "joins"):
                yield st.AgentStart(a)
        if self._has_budget(state, "breaks"):
            pairs = product(range(self.limits.entries), range(self.limits.agents))
            yield from (
                st.Disconnect(e, a)
                for e, a in pairs
                if (e, a) not in state.disconnected
            )
        if self._has_budget(state, "retentions"):
            yield st.ExpireRetention()

    def _store_steps(self, state):
        if not state.store_up:
            yield st.StoreUp()
            return
        if self._has_budget(state, "store_outages"):
            yield st.StoreDown()
        for e in self._running_entries(state):
            if self._has_budget(state, "table_writes"):
                yield st.WriteTable(e)
                if self._has_budget(state, "lost_answers"):
                    yield st.WriteTable(e, lost=True)
            if state.entries[e].table < len(state.tables):
                yield st.ReadTable(e)
