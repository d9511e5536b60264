"""Effects of the steps in the specification of partition ownership."""

from spec import ownership_steps as st
from spec.ownership_rules import (
    FIRST_EPOCH,
    MAY_HAVE_RUN,
    NO_DOUBLE_START,
    NO_FALSE_NOT_RUN,
    NO_PARTIAL_ANSWER,
    OwnershipRules,
)
from spec.ownership_state import (
    BUDGETS,
    NO_EPOCH,
    Agent,
    Call,
    DoneMessage,
    Job,
    MemberStatus,
    Mode,
    Outcome,
    Roster,
    StartMessage,
    SubmitMessage,
    Task,
    TaskState,
    replace_fields,
)


def _with_item(items, index, item):
    return items[:index] + (item,) + items[index + 1 :]


def _merge_task(known, record):
    """Return an owner's view of a task merged with an agent's start record of it."""
    attempt = max(known.attempt, record.attempt)
    if TaskState.ENDED in (known.state, record.state):
        result = max(known.result, record.result)
        return Task(TaskState.ENDED, attempt, result)
    if known.state == TaskState.SENT:
        return replace_fields(known, attempt=attempt)
    if record.state in (TaskState.SENT, TaskState.COPIED):
        return Task(TaskState.SENT, attempt, agent=record.agent)
    return Task(known.state, attempt)


class OwnershipEffects(OwnershipRules):
    """Abstract specification of ownership: the successor state of each step."""

    def apply(self, state, step):
        """Return the successor of a state under a step."""
        return self._effects[type(step)](self, state, step)

    def _use_budget(self, state, budget):
        index = BUDGETS.index(budget)
        return replace_fields(
            state,
            used_budgets=_with_item(
                state.used_budgets, index, state.used_budgets[index] + 1
            ),
        )

    def _with_entry(self, state, e, **changes):
        entry = replace_fields(state.entries[e], **changes)
        return replace_fields(state, entries=_with_item(state.entries, e, entry))

    def _with_agent(self, state, a, **changes):
        agent = replace_fields(state.agents[a], **changes)
        return replace_fields(state, agents=_with_item(state.agents, a, agent))

    def _with_job(self, state, e, k, job):
        return self._with_entry(
            state, e, jobs=_with_item(state.entries[e].jobs, k, job)
        )

    def _with_task(self, state, e, k, t, task):
        job = state.entries[e].jobs[k]
        return self._with_job(
            state, e, k, replace_fields(job, tasks=_with_item(job.tasks, t, task))
        )

    def _with_record(self, state, a, k, t, task):
        records = state.agents[a].records
        row = _with_item(records[k], t, task)
        return self._with_agent(state, a, records=_with_item(records, k, row))

    def _with_call(self, state, c, **changes):
        call = replace_fields(state.calls[c], **changes)
        return replace_fields(state, calls=_with_item(state.calls, c, call))

    def _with_violation(self, state, invariant):
        return replace_fields(state, violated=state.violated | {invariant})

    def _send(self, state, message):
        return replace_fields(state, net=state.net | {message})

    def _receive(self, state, message, repeat=False):
        if repeat:
            return self._use_budget(state, "repeats")
        return replace_fields(state, net=state.net - {message})

    def _refuse_copy(self, state, c):
        """Return the state after a copy of a call was refused with `not run`."""
        call = state.calls[c]
        call = replace_fields(call, refused=call.refused + 1)
        state = replace_fields(state, calls=_with_item(state.calls, c, call))
        all_copies_settled = call.refused + call.misdirected == call.sent
        if not all_copies_settled and self.rules.all_copies_refused:
            return state
        state = self._with_call(state, c, answered_not_run=True)
        if any(state.starts[call.key]):
            state = self._with_violation(state, NO_FALSE_NOT_RUN)
        return state

    def _reject_misdirected(self, state, c):
        """Return the state after an entry that is not the owner rejected a copy."""
        call = state.calls[c]
        state = self._with_call(state, c, misdirected=call.misdirected + 1)
        if call.refused and call.refused + call.misdirected + 1 == call.sent:
            state = self._with_call(state, c, refused=call.refused - 1)
            state = self._refuse_copy(state, c)
        return state

    def _lose_ownership(self, state, e, **changes):
        """Return the state after an entry learned that it is no longer the owner."""
        entry = state.entries[e]
        open_calls = [
            c for job in entry.jobs if job and not job.answered for c in job.calls
        ]
        answer = (
            self._reject_misdirected
            if self.rules.former_owner_does_not_answer
            else self._refuse_copy
        )
        for c in sorted(open_calls):
            state = answer(state, c)
        return self._with_entry(state, e, **_unowned_fields(entry), **changes)

    def _do_submit(self, state, step):
        key = state.keys[step.key]
        if not key.submitted:
            known_new_at = frozenset(
                e
                for e, entry in enumerate(state.entries)
                if entry.fenced and self._has_quorum(entry)
            )
            key = replace_fields(key, submitted=True, known_new_at=known_new_at)
            state = replace_fields(state, keys=_with_item(state.keys, step.key, key))
        state = replace_fields(state, calls=(*state.calls, Call(step.key)))
        call = len(state.calls) - 1
        return self._send(state, SubmitMessage(step.entry, step.key, call))

    def _do_resend(self, state, step):
        call = state.calls[step.call]
        state = self._with_call(state, step.call, sent=call.sent + 1)
        return self._send(state, SubmitMessage(step.entry, call.key, step.call))

    def _do_accept(self, state, step):
        e, k, c = step.message.entry, step.message.key, step.message.call
        state = self._receive(state, step.message)
        entry = state.entries[e]
        if entry.epoch == NO_EPOCH:
            return self._reject_misdirected(state, c)
        job = entry.jobs[k]
        if job is not None:
            calls = job.calls if job.answered else job.calls | {c}
            return self._with_job(
                state, e, k, replace_fields(job, calls=calls, has_submission=True)
            )
        if self._may_start(state, e, k):
            job = Job(
                (Task(),) * self.limits.tasks, frozenset({c}), has_submission=True
            )
            return self._with_job(state, e, k, job)
        if self.rules.unknown_key_is_unanswered:
            return state
        return self._refuse_copy(state, c)

    def _do_refuse(self, state, step):
        state = self._use_budget(self._receive(state, step.message), "refusals")
        return self._refuse_copy(state, step.message.call)

    def _do_dispatch(self, state, step):
        entry = state.entries[step.entry]
        attempt = entry.jobs[step.key].tasks[step.task].attempt + 1
        task = Task(TaskState.SENT, attempt, agent=step.agent)
        state = self._with_task(state, step.entry, step.key, step.task, task)
        return self._send(
            state,
            StartMessage(
                step.entry, step.agent, entry.epoch, step.key, step.task, attempt
            ),
        )

    def _send_outcome(self, state, message, outcome, entry):
        return self._send(
            state,
            DoneMessage(
                entry,
                message.agent,
                message.key,
                message.task,
                message.attempt,
                outcome,
            ),
        )

    def _do_deliver_start(self, state, step):
        message = step.message
        state = self._receive(state, message, step.repeat)
        agent = state.agents[message.agent]
        k, t = message.key, message.task
        if self._accepts(state, message):
            return self._start_task(state, message)
        record = agent.records[k][t]
        if self.rules.agents_fence and message.epoch < agent.granted_epoch:
            return self._send_outcome(state, message, Outcome.STALE, message.entry)
        if record.state in MAY_HAVE_RUN:
            return self._send_outcome(state, message, Outcome.DUPLICATE, message.entry)
        return self._refuse_start(state, message)

    def _start_task(self, state, message):
        k, t = message.key, message.task
        count = state.starts[k][t] + 1
        row = _with_item(state.starts[k], t, count)
        state = replace_fields(state, starts=_with_item(state.starts, k, row))
        state = self._with_record(
            state,
            message.agent,
            k,
            t,
            Task(TaskState.SENT, message.attempt, agent=message.agent),
        )
        if count > 1:
            state = self._with_violation(state, NO_DOUBLE_START)
        if all(call.answered_not_run for call in state.calls if call.key == k):
            state = self._with_violation(state, NO_FALSE_NOT_RUN)
        return state

    def _refuse_start(self, state, message):
        if self.rules.refusals_kept:
            task = Task(TaskState.REFUSED, message.attempt)
            state = self._with_record(
                state, message.agent, message.key, message.task, task
            )
        return self._send_outcome(state, message, Outcome.BUSY, message.entry)

    def _do_refuse_start(self, state, step):
        state = self._receive(state, step.message, step.repeat)
        return self._refuse_start(self._use_budget(state, "refusals"), step.message)

    def _do_end_task(self, state, step):
        agent = state.agents[step.agent]
        record = agent.records[step.key][step.task]
        task = Task(TaskState.ENDED, record.attempt, step.task)
        state = self._with_record(state, step.agent, step.key, step.task, task)
        if agent.granted_to == -1:
            return state
        return self._send(
            state,
            DoneMessage(
                agent.granted_to,
                step.agent,
                step.key,
                step.task,
                record.attempt,
                Outcome.ENDED,
            ),
        )

    def _do_deliver_done(self, state, step):
        message = step.message
        e, k, t = message.entry, message.key, message.task
        state = self._receive(state, message)
        job = state.entries[e].jobs[k]
        if message.outcome == Outcome.STALE:
            return self._lose_ownership(state, e) if job is not None else state
        if job is None:
            return state
        if message.outcome == Outcome.ENDED:
            index = t
            if not self.rules.results_by_task:
                index = [task.state == TaskState.ENDED for task in job.tasks].index(
                    False
                )
            task = Task(TaskState.ENDED, message.attempt, t)
            return self._with_task(state, e, k, index, task)
        refused = message.outcome == Outcome.BUSY or (
            not self.rules.duplicate_is_no_refusal
        )
        task = job.tasks[t]
        matched = (task.state, task.attempt) == (TaskState.SENT, message.attempt)
        if self.rules.outcome_matched_by_agent:
            matched = matched and task.agent == message.agent
        if refused and matched:
            return self._with_task(
                state, e, k, t, Task(TaskState.REFUSED, message.attempt)
            )
        return state

    def _do_reconcile(self, state, step):
        e, a, k, t = step.entry, step.agent, step.key, step.task
        state = self._use_budget(state, "reconciles")
        known = state.entries[e].jobs[k].tasks[t]
        record = state.agents[a].records[k][t]
        if record.state in MAY_HAVE_RUN:
            return self._with_task(state, e, k, t, _merge_task(known, record))
        refused = Task(TaskState.REFUSED, known.attempt)
        if self.rules.reconcile_refuses:
            state = self._with_record(state, a, k, t, refused)
        return self._with_task(state, e, k, t, refused)

    def _do_answer(self, state, step):
        job = state.entries[step.entry].jobs[step.key]
        state = self._with_job(
            state, step.entry, step.key, replace_fields(job, answered=True)
        )
        if any(task.result != t for t, task in enumerate(job.tasks)):
            state = self._with_violation(state, NO_PARTIAL_ANSWER)
        return state

    def _do_answer_not_run(self, state, step):
        job = state.entries[step.entry].jobs[step.key]
        for c in sorted(job.calls):
            state = self._refuse_copy(state, c)
        return self._with_job(state, step.entry, step.key, None)

    def _do_crash(self, state, step):
        e = step.entry
        state = self._use_budget(state, "crashes")
        net = frozenset(
            m for m in state.net if isinstance(m, StartMessage) or m.entry != e
        )
        state = replace_fields(state, net=net)
        entry = state.entries[e]
        return self._with_entry(
            state,
            e,
            mode=Mode.DOWN,
            listed=False,
            term=0,
            roster=None,
            **_unowned_fields(entry),
        )

    def _do_restart(self, state, step):
        return self._with_entry(
            self._use_budget(state, "restarts"), step.entry, mode=Mode.UP
        )

    def _do_pause(self, state, step):
        return self._with_entry(
            self._use_budget(state, "pauses"), step.entry, mode=Mode.PAUSED
        )

    def _do_resume(self, state, step):
        return self._with_entry(state, step.entry, mode=Mode.UP)

    def _do_disconnect(self, state, step):
        state = self._use_budget(state, "breaks")
        return replace_fields(
            state, disconnected=state.disconnected | {(step.entry, step.agent)}
        )

    def _do_takeover(self, state, step):
        e = step.entry
        state = self._use_budget(state, "takeovers")
        entry = state.entries[e]
        rank = (
            state.tables[entry.table - 1].index(e) if self.rules.epoch_has_rank else 0
        )
        keys = tuple(
            replace_fields(key, known_new_at=key.known_new_at - {e})
            for key in state.keys
        )
        roster = entry.roster
        if not self.rules.keep_roster:
            roster = Roster(NO_EPOCH, 0, (MemberStatus.ABSENT,) * self.limits.agents)
        return self._with_entry(
            replace_fields(state, keys=keys),
            e,
            epoch=(entry.table, entry.term + 1, rank),
            term=entry.term + 1,
            fenced=frozenset(),
            promised_by=frozenset(),
            roster=roster,
        )

    def _do_fence(self, state, step):
        e, a = step.entry, step.agent
        entry, agent = state.entries[e], state.agents[a]
        if agent.granted_epoch > entry.epoch:
            term = max(entry.term, agent.granted_epoch[1])
            return self._lose_ownership(state, e, term=term)
        state = self._with_agent(
            state, a, granted_epoch=entry.epoch, granted_to=e, awaits_fence=False
        )
        if step.lost:
            return self._use_budget(state, "lost_answers")
        state = self._merge_agent_records(state, e, agent)
        entry = state.entries[e]
        state = self._with_entry(
            state,
            e,
            fenced=entry.fenced | {a},
            promised_by=entry.promised_by | {a},
        )
        roster = entry.roster
        may_add = self._may_change_roster(state, e) or not self.rules.keep_roster
        if roster is not None and roster.statuses[a] != MemberStatus.LIVE and may_add:
            state = self._change_roster(state, e, a, MemberStatus.LIVE)
        elif roster is not None:
            state = self._copy_roster(state, e)
        return state

    def _merge_agent_records(self, state, e, agent):
        """Return the state after an entry merged an agent's records and roster."""
        entry = state.entries[e]
        jobs = list(entry.jobs)
        for k, row in enumerate(agent.records):
            if any(record.state != TaskState.NONE for record in row):
                job = jobs[k] or Job((Task(),) * self.limits.tasks)
                tasks = tuple(map(_merge_task, job.tasks, row))
                if jobs[k] or any(task.state in MAY_HAVE_RUN for task in tasks):
                    jobs[k] = replace_fields(job, tasks=tasks)
        roster = entry.roster
        if self.rules.keep_roster:
            roster = _newer_roster(roster, agent.roster)
        return self._with_entry(state, e, jobs=tuple(jobs), roster=roster)

    def _change_roster(self, state, e, a, status):
        entry = state.entries[e]
        version = entry.roster.version + 1
        statuses = _with_item(entry.roster.statuses, a, status)
        state = self._with_entry(
            state, e, roster=Roster(entry.epoch, version, statuses)
        )
        return self._copy_roster(state, e)

    def _copy_roster(self, state, e):
        """Return the state after an owner sent its roster to each agent it reaches."""
        entry = state.entries[e]
        if not (self.rules.roster_before_start and self._has_quorum(entry)):
            return state
        for a in sorted(entry.promised_by):
            agent = state.agents[a]
            is_fenced = agent.granted_to == e and agent.granted_epoch == entry.epoch
            if is_fenced and self._is_connected(state, e, a):
                state = self._with_agent(state, a, roster=entry.roster)
        return state

    def _do_expire_promise(self, state, step):
        promised_by = state.entries[step.entry].promised_by - {step.agent}
        return self._with_entry(state, step.entry, promised_by=promised_by)

    def _do_renew(self, state, step):
        promised_by = state.entries[step.entry].promised_by | {step.agent}
        state = self._with_entry(state, step.entry, promised_by=promised_by)
        return self._copy_roster(state, step.entry)

    def _do_agent_start(self, state, step):
        return self._with_agent(
            self._use_budget(state, "joins"), step.agent, mode=Mode.UP
        )

    def _do_agent_crash(self, state, step):
        state = self._use_budget(state, "agent_losses")
        return self._stop_agent(state, step.agent)

    def _stop_agent(self, state, a):
        net = frozenset(
            m for m in state.net if not isinstance(m, StartMessage) or m.agent != a
        )
        empty_records = ((Task(),) * self.limits.tasks,) * self.limits.keys
        stopped = Agent(
            mode=Mode.DOWN, granted_epoch=FIRST_EPOCH, records=empty_records
        )
        return replace_fields(
            state, net=net, agents=_with_item(state.agents, a, stopped)
        )

    def _do_agent_pause(self, state, step):
        state = self._use_budget(state, "agent_pauses")
        return self._with_agent(state, step.agent, mode=Mode.PAUSED)

    def _do_agent_resume(self, state, step):
        return self._with_agent(
            state, step.agent, mode=Mode.UP, granted_to=-1, awaits_fence=True
        )

    def _do_declare_lost(self, state, step):
        return self._change_roster(state, step.entry, step.agent, MemberStatus.LOST)

    def _do_account_for_agent(self, state, step):
        if self.rules.copy_before_accounting:
            state = self._copy_records(state, step.entry, step.to)
        return self._change_roster(
            state, step.entry, step.agent, MemberStatus.ACCOUNTED
        )

    def _copy_records(self, state, e, to):
        for k, job in enumerate(state.entries[e].jobs):
            for t, task in enumerate(job.tasks if job else ()):
                record = state.agents[to].records[k][t]
                if task.state == TaskState.ENDED and record.state != TaskState.SENT:
                    state = self._with_record(state, to, k, t, task)
                elif task.state in MAY_HAVE_RUN and record.state not in MAY_HAVE_RUN:
                    copy = Task(TaskState.COPIED, task.attempt)
                    state = self._with_record(state, to, k, t, copy)
        return state

    def _do_leave(self, state, step):
        return self._with_agent(
            self._use_budget(state, "leaves"), step.agent, leaving=True
        )

    def _do_end_leave(self, state, step):
        e, a = step.entry, step.agent
        state = self._merge_agent_records(state, e, state.agents[a])
        if self.rules.copy_before_leave_reply:
            state = self._copy_records(state, e, step.to)
        state = self._change_roster(state, e, a, MemberStatus.ACCOUNTED)
        return self._stop_agent(state, a)

    def _do_release(self, state, step):
        e, successor = step.entry, step.successor
        entry = state.entries[e]
        state = self._use_budget(state, "releases")
        if successor != -1 and state.entries[successor].epoch == NO_EPOCH:
            state = self._with_entry(
                state, successor, jobs=entry.jobs, roster=entry.roster
            )
        return self._with_entry(state, e, **_unowned_fields(entry))

    def _do_store_down(self, state, step):
        return replace_fields(self._use_budget(state, "store_outages"), store_up=False)

    def _do_store_up(self, state, step):
        return replace_fields(state, store_up=True)

    def _do_write_table(self, state, step):
        e = step.entry
        state = self._use_budget(state, "table_writes")
        remaining = [
            f for f in state.tables[-1] if f != e and state.entries[f].mode != Mode.DOWN
        ]
        state = replace_fields(state, tables=(*state.tables, (*remaining, e)))
        if step.lost:
            return self._use_budget(state, "lost_answers")
        return self._do_read_table(state, step)

    def _do_read_table(self, state, step):
        version = len(state.tables)
        entry = state.entries[step.entry]
        listed = entry.listed or step.entry in state.tables[-1]
        return self._with_entry(state, step.entry, table=version, listed=listed)

    def _do_expire_retention(self, state, step):
        state = self._use_budget(state, "retentions")
        keys = tuple(
            replace_fields(
                key, expired=key.submitted and self.rules.keys_carry_submission_time
            )
            for key in state.keys
        )
        empty_records = ((Task(),) * self.limits.tasks,) * self.limits.keys
        agents = tuple(
            replace_fields(agent, records=empty_records) for agent in state.agents
        )
        entries = tuple(
            replace_fields(
                entry,
                jobs=(None,) * self.limits.keys,
                roster=_with_lost_accounted(entry.roster),
            )
            for entry in state.entries
        )
        return replace_fields(
            state, keys=keys, agents=agents, entries=entries, net=frozenset()
        )

    _effects = {
        st.Submit: _do_submit,
        st.Resend: _do_resend,
        st.Accept: _do_accept,
        st.Refuse: _do_refuse,
        st.Dispatch: _do_dispatch,
        st.DeliverStart: _do_deliver_start,
        st.RefuseStart: _do_refuse_start,
        st.EndTask: _do_end_task,
        st.DeliverDone: _do_deliver_done,
        st.Reconcile: _do_reconcile,
        st.Answer: _do_answer,
        st.AnswerNotRun: _do_answer_not_run,
        st.Crash: _do_crash,
        st.Restart: _do_restart,
        st.Pause: _do_pause,
        st.Resume: _do_resume,
        st.Disconnect: _do_disconnect,
        st.Takeover: _do_takeover,
        st.Fence: _do_fence,
        st.ExpirePromise: _do_expire_promise,
        st.Renew: _do_renew,
        st.AgentStart: _do_agent_start,
        st.AgentCrash: _do_agent_crash,
        st.AgentPause: _do_agent_pause,
        st.AgentResume: _do_agent_resume,
        st.DeclareLost: _do_declare_lost,
        st.AccountForAgent: _do_account_for_agent,
        st.Leave: _do_leave,
        st.EndLeave: _do_end_leave,
        st.Release: _do_release,
        st.StoreDown: _do_store_down,
        st.StoreUp: _do_store_up,
        st.WriteTable: _do_write_table,
        st.ReadTable: _do_read_table,
        st.ExpireRetention: _do_expire_retention,
    }


def _newer_roster(roster, other):
    """Return the newer of two rosters; either may be None."""
    if roster is None or (other is not None and other.sort_key > roster.sort_key):
        return other
    return roster


def _unowned_fields(entry):
    """Return the field values of an entry that does not own the partition."""
    return {
        "epoch": NO_EPOCH,
        "fenced": frozenset(),
        "promised_by": frozenset(),
        "jobs": (None,) * len(entry.jobs),
    }


def _with_lost_accounted(roster):
    """Return a roster with lost agents marked ACCOUNTED, as their records expired."""
    if roster is None:
        return None
    statuses = tuple(
        MemberStatus.ACCOUNTED if status == MemberStatus.LOST else status
        for status in roster.statuses
    )
    return replace_fields(roster, statuses=statuses)
