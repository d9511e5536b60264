"""Real agents driven by the steps of the ownership specification.

Entries and network are modelled by the specification. Each message that it
delivers to an agent is passed to an `Agent` over an in-memory connection.

As in the specification, `a`, `e`, `k` and `t` are the indexes of an agent, an entry,
an idempotency key and a task.
"""

import copy
import itertools
from types import SimpleNamespace

import trio

from hornbeamshore.agent.daemon import Agent
from hornbeamshore.agent.settings import AgentSettings
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.types import Epoch, JobKey, TaskResult, TaskSpec
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    CopyRecords,
    Fence,
    Message,
    Reconcile,
    RecordState,
    Release,
    Renew,
    Roster,
    RosterEntry,
    RosterUpdate,
    Start,
    StartRecord,
    TaskDone,
    TaskRef,
)
from spec.ownership_rules import FIRST_EPOCH, MAY_HAVE_RUN
from spec.ownership_state import (
    MemberStatus,
    Mode,
    Outcome,
    StartMessage,
    TaskState,
)

PARTITION = "desk/0"
NEVER_EXPIRES_MS = 2**62
RECORD_STATES = {
    TaskState.SENT: RecordState.RUNNING,
    TaskState.COPIED: RecordState.RUNNING,
    TaskState.ENDED: RecordState.ENDED,
}
OUTCOMES = {
    ResultCode.STALE_EPOCH: Outcome.STALE,
    ResultCode.DUPLICATE_START: Outcome.DUPLICATE,
    ResultCode.NO_FREE_SLOT: Outcome.BUSY,
    ResultCode.AGENT_LEAVING: Outcome.BUSY,
}


def job_key(k):
    """Return the `JobKey` for a key index of the specification."""
    return JobKey("team", "desk", f"job-{k}")


def successful_result(index, attempt):
    """Return the result of a successful task, with the task index as its body."""
    body = b"%d" % index
    return TaskResult(index, attempt, 0, int(RunState.RAN), 200, body=body)


class RecordingConnection:
    """Agent's side of a connection to an entry; records the bodies that it sends."""

    def __init__(self, entry, incarnation):
        self.peer = Identity("x", "entry", f"entry-{entry}", incarnation, "x")
        self.is_open = True
        self.closed_by_peer = False
        self.sent = []

    def send(self, body, reply_to=0):
        self.sent.append(body)

    def try_send(self, body, reply_to=0):
        self.sent.append(body)
        return self.is_open

    def close(self):
        self.is_open = False


class FakeExecutor:
    """Executor whose tasks run until a step of the specification ends them."""

    def __init__(self):
        self.has_free_slot = True
        self.runs = {}

    @property
    def in_use(self):
        return len(self.runs)

    def submit(self, start):
        self.runs[start.key, start.index] = start

    def cancel(self, ref):
        """Ignore the cancellation; a real one may also arrive after the task's end."""


def new_agent(a, deployment="x", clock=trio.current_time):
    """Return a newly started agent that has no target and no connections."""
    placeholders = dict.fromkeys(("data_centre", "rack", "secret_file"), "x")
    cfg = AgentSettings(
        deployment=deployment,
        agent_id=f"agent-{a}",
        service="desk",
        target="127.0.0.1:1",
        entries=("127.0.0.1:2",),
        **placeholders,
    )
    agent = Agent(cfg, b"secret", target=None, seed=a, clock=clock)
    agent.executor = FakeExecutor()
    agent.uplinks = SimpleNamespace(reset=lambda: None, select=lambda *_, **__: None)
    return agent


class AgentsUnderTest:
    """Real agents that follow the states of the specification.

    Parameters
    ----------
    spec : Ownership
        Specification whose steps are applied.
    clock : trio.testing.MockClock
        Clock of the test; it advances only in steps that need time to pass.

    Attributes
    ----------
    start_counts : dict
        Number of accepted starts of each task, by (key, task).
    """

    def __init__(self, spec, clock):
        self.spec = spec
        self.clock = clock
        self.start_counts = {}
        self._message_ids = itertools.count(1)
        self._connections = {}
        self._entry_incarnations = [1] * spec.limits.entries
        self._sender_incarnations = {}
        self._grant_holders = {}
        limits = spec.limits
        self.agents = [new_agent(a) for a in range(limits.agents)]
        self.clock.jump(2.0)
        state = spec.first()
        for a in range(limits.joined):
            self._send_request(0, a, Fence(PARTITION, Epoch(*FIRST_EPOCH).pack()))
            self._grant_holders[a] = self._connection(0, a).peer
            self._send_roster(state, a)

    # Messages.

    def _connection(self, e, a, incarnation=None):
        """Return an open connection from an entry; default: its current incarnation."""
        incarnation = incarnation or self._entry_incarnations[e]
        conn = self._connections.get((e, a, incarnation))
        if conn is None or not conn.is_open:
            conn = RecordingConnection(e, incarnation)
            self._connections[e, a, incarnation] = conn
            self.agents[a].opened(conn)
        return conn

    def _send_request(self, e, a, body, incarnation=None):
        """Deliver a message from an entry; return the agent's last reply, or None."""
        conn, agent = self._connection(e, a, incarnation), self.agents[a]
        agent._last_checked_at = trio.current_time()
        conn.sent.clear()
        agent.handle(conn, Message(next(self._message_ids), 0, body))
        return conn.sent[-1] if conn.sent else None

    def start_for(self, message):
        """Return the `Start` for a start message of the specification."""
        spec = TaskSpec("POST", "/", (), b"")
        return Start(
            PARTITION,
            Epoch(*message.epoch).pack(),
            job_key(message.key),
            message.task,
            message.attempt,
            "quote",
            spec,
            NEVER_EXPIRES_MS,
            30_000,
        )

    # Steps. The handler of a step is found by the name of the step's class.

    def apply_step(self, before, step, after):
        """Apply a step to the agents and check their replies against the next state.

        Raises
        ------
        AssertionError
            If an agent decides differently from the specification.
        """
        name = f"_apply_{type(step).__name__}"
        getattr(self, name, self._ignore_step)(before, step, after)
        for a, agent in enumerate(after.agents):
            if agent.mode == Mode.UP and agent.roster != before.agents[a].roster:
                self._send_roster(after, a)

    def _ignore_step(self, before, step, after):
        """Ignore a step that involves no agent."""

    def _apply_Dispatch(self, before, step, after):  # noqa: N802
        for message in after.net - before.net:
            self._sender_incarnations[message] = self._entry_incarnations[step.entry]

    def _apply_DeliverStart(self, before, step, after):  # noqa: N802
        message = step.message
        agent = self.agents[message.agent]
        started_before = agent.tasks_started
        sender = self._sender_incarnations[message]
        start = self.start_for(message)
        reply = self._send_request(message.entry, message.agent, start, sender)
        started = agent.tasks_started > started_before
        key = message.key, message.task
        assert started == (after.starts != before.starts), "start accepted"
        if started:
            self.start_counts[key] = self.start_counts.get(key, 0) + 1
            assert reply is None
        else:
            self._compare_refusal(message, reply, after.net - before.net)

    def _compare_refusal(self, message, reply, sent):
        assert isinstance(reply, TaskDone)
        assert reply.result.run_state == RunState.NOT_RUN
        outcomes = {done.outcome for done in sent}
        outcome = OUTCOMES[reply.result.code]
        assert not outcomes or outcome in outcomes, "refusal"

    def _apply_RefuseStart(self, before, step, after):  # noqa: N802
        executor = self.agents[step.message.agent].executor
        executor.has_free_slot = False
        self._apply_DeliverStart(before, step, after)
        executor.has_free_slot = True

    def _apply_EndTask(self, before, step, after):  # noqa: N802
        agent = self.agents[step.agent]
        start = agent.executor.runs.pop((job_key(step.key), step.task))
        agent._report_result(start, successful_result(step.task, start.attempt))

    def _apply_Reconcile(self, before, step, after):  # noqa: N802
        entry = before.entries[step.entry]
        task = entry.jobs[step.key].tasks[step.task]
        ref = TaskRef(job_key(step.key), step.task, task.attempt)
        body = Reconcile(PARTITION, Epoch(*entry.epoch).pack(), (ref,))
        reply = self._send_request(step.entry, step.agent, body)
        after_task = after.entries[step.entry].jobs[step.key].tasks[step.task]
        assert bool(reply.refused) == (after_task.state == TaskState.REFUSED), (
            "reconcile"
        )

    def _apply_Fence(self, before, step, after):  # noqa: N802
        if self._has_unread_release(before, step.agent):
            agent, holder = before.agents[step.agent], self._grant_holders[step.agent]
            body = Release(PARTITION, Epoch(*agent.granted_epoch).pack())
            self._send_request(agent.granted_to, step.agent, body, holder.incarnation)
        epoch = before.entries[step.entry].epoch
        body = Fence(PARTITION, Epoch(*epoch).pack())
        reply = self._send_request(step.entry, step.agent, body)
        granted = after.agents[step.agent].granted_epoch == epoch
        assert (reply.code == ResultCode.OK) == granted, "fence"
        if not granted:
            assert reply.code == ResultCode.STALE_EPOCH
        else:
            self._grant_holders[step.agent] = self._connection(
                step.entry, step.agent
            ).peer

    def _has_unread_release(self, state, a):
        """Return whether an agent has yet to receive the release of its last owner.

        Starts that the owner sent before the release are delivered first.
        """
        agent = state.agents[a]
        if agent.granted_to < 0:
            return False
        owner = state.entries[agent.granted_to]
        return owner.mode != Mode.DOWN and owner.epoch != agent.granted_epoch

    def _apply_Crash(self, before, step, after):  # noqa: N802
        """Close the connections of an entry, whose host then refuses new ones."""
        for (e, a, _), conn in self._connections.items():
            if e == step.entry:
                conn.closed_by_peer = True
                self.agents[a].closed(conn)
                self.agents[a].connection_refused(conn.peer)

    def _apply_Restart(self, before, step, after):  # noqa: N802
        self._entry_incarnations[step.entry] += 1

    def _apply_ExpirePromise(self, before, step, after):  # noqa: N802
        """Let the lease from a silent agent expire; renew all other leases."""
        self.clock.jump(1.5)
        for e, entry in enumerate(after.entries):
            for a in entry.promised_by:
                agent = after.agents[a]
                if (agent.granted_to, agent.granted_epoch) == (e, entry.epoch):
                    self._send_request(
                        e, a, Renew(PARTITION, Epoch(*entry.epoch).pack())
                    )

    def _apply_Renew(self, before, step, after):  # noqa: N802
        epoch = Epoch(*before.entries[step.entry].epoch).pack()
        reply = self._send_request(step.entry, step.agent, Renew(PARTITION, epoch))
        assert reply.code == ResultCode.OK, "renewal"

    def _apply_AgentStart(self, before, step, after):  # noqa: N802
        self.agents[step.agent] = new_agent(step.agent)
        self.agents[step.agent].fencing._earliest_grant_at = 0.0

    def _apply_AgentResume(self, before, step, after):  # noqa: N802
        agent = self.agents[step.agent]
        agent._last_checked_at = trio.current_time() - 60
        agent._check_pause(trio.current_time())

    def _apply_Leave(self, before, step, after):  # noqa: N802
        self.agents[step.agent].leaving = True

    def _apply_AccountForAgent(self, before, step, after):  # noqa: N802
        self._copy_records(before, step.entry, step.to)

    def _apply_EndLeave(self, before, step, after):  # noqa: N802
        # An owner merges the records of a leaving agent before it copies them.
        merged = self.spec._merge_agent_records(
            before, step.entry, before.agents[step.agent]
        )
        self._copy_records(merged, step.entry, step.to)

    def _copy_records(self, state, e, to):
        entry = state.entries[e]
        records = [
            StartRecord(job_key(k), t, task.attempt, RECORD_STATES[task.state], 0)
            for k, job in enumerate(entry.jobs)
            for t, task in enumerate(job.tasks if job else ())
            if task.state in MAY_HAVE_RUN
        ]
        epoch = Epoch(*entry.epoch).pack()
        body = CopyRecords(PARTITION, epoch, "agent-lost", tuple(records))
        assert self._send_request(e, to, body).code == ResultCode.OK, "copy"

    def _apply_ExpireRetention(self, before, step, after):  # noqa: N802
        self.clock.jump(0)
        for agent in self.agents:
            after_retention = trio.current_time() + agent.cfg.retention
            agent.executor.runs.clear()
            for records in (agent.records, agent.copies):
                for attempts in records._unpacked.values():
                    for live in attempts:
                        ref = TaskRef(
                            live.record.key, live.record.index, live.record.attempt
                        )
                        records.store_result(
                            ref, successful_result(ref.index, ref.attempt), 0.0
                        )
                records.expire(after_retention)

    def _send_roster(self, state, a):
        roster = state.agents[a].roster
        if roster is None or state.agents[a].granted_to < 0:
            return
        entries = tuple(
            RosterEntry(f"agent-{b}", 1, status == MemberStatus.LIVE, True, 0, "x")
            for b, status in enumerate(roster.statuses)
        )
        wire_roster = Roster(Epoch(*roster.epoch).pack(), roster.version, entries)
        self._send_request(
            state.agents[a].granted_to, a, RosterUpdate(PARTITION, wire_roster)
        )

    # Comparison.

    def compare(self, state):
        """Check the agents' fences, records and start decisions against a state.

        Raises
        ------
        AssertionError
            If an agent differs from the state of the specification.
        """
        for a, specified in enumerate(state.agents):
            if specified.mode != Mode.UP:
                continue
            agent = self.agents[a]
            if specified.granted_to >= 0 and not specified.awaits_fence:
                holder = self._grant_holders[a]
                owner = (holder.process_id, holder.incarnation)
                assert agent.fencing.owner == owner, "owner"
                assert Epoch.unpack(agent.fencing.epoch) == Epoch(
                    *specified.granted_epoch
                )
            for e in range(len(state.entries)):
                self._compare_grant(state, e, a)
            for k, row in enumerate(specified.records):
                for t, task in enumerate(row):
                    self._compare_record(agent, k, t, task)
        for message in state.net:
            if isinstance(message, StartMessage):
                self._compare_start(state, message)

    def _compare_grant(self, state, e, a):
        entry, specified = state.entries[e], state.agents[a]
        sends_fence = entry.mode == Mode.UP and entry.epoch > specified.granted_epoch
        if not sends_fence or not self.spec._is_connected(state, e, a):
            return
        conn = self._connection(e, a)
        fencing = copy.copy(self.agents[a].fencing)
        if self._has_unread_release(state, a):
            fencing.release(fencing.owner, PARTITION, fencing.epoch)
        peer = (conn.peer.process_id, conn.peer.incarnation)
        fence = Fence(PARTITION, Epoch(*entry.epoch).pack())
        code = fencing.grant(fence, peer, trio.current_time())
        assert (code == ResultCode.OK) == self.spec._grants(state, e, a), "grant"

    def _compare_record(self, agent, k, t, task):
        records = agent.records.attempts(job_key(k), t)
        states = {record.state for record in records}
        copied = bool(agent.copies.attempts(job_key(k), t))
        present = (
            RecordState.RUNNING in states,
            RecordState.ENDED in states,
            RecordState.REFUSED in states,
        )
        if task.state == TaskState.SENT:
            assert present[0], "running record"
        elif task.state == TaskState.ENDED:
            assert present[1] or copied, "ended record"
        elif task.state == TaskState.REFUSED:
            assert present[2], "refusal record"
        elif task.state == TaskState.COPIED:
            assert copied, "copied record"
        else:
            assert not any(present), "no record"

    def _compare_start(self, state, message):
        agent = self.agents[message.agent]
        if state.agents[message.agent].mode != Mode.UP:
            return
        conn = self._connection(
            message.entry, message.agent, self._sender_incarnations[message]
        )
        start = self.start_for(message)
        ref = TaskRef(start.key, start.index, start.attempt)
        refusal, _ = agent._check_start(conn, start, ref)
        accepts = self.spec._accepts(state, message)
        assert (refusal is None) == accepts, "start check"
