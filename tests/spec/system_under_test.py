"""Real entries and agents driven by the steps of the ownership specification.

Owners, dispatchers, fronts and agents are the real classes. Network, store, choice
of candidates and placement of tasks are test doubles.

As in the specification, `a`, `e`, `k` and `t` are the indexes of an agent, an entry,
an idempotency key and a task.
"""

import contextlib
import dataclasses
import functools
from types import SimpleNamespace

import trio

from hornbeamshore.agent import daemon
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.settings import Duration
from hornbeamshore.base.types import JobRequest, Partition, TaskSpec
from hornbeamshore.config.model import Deployment, Kind, Service
from hornbeamshore.entry import dispatcher, ownership
from hornbeamshore.entry import table as tables
from hornbeamshore.entry.agents import AgentLinks
from hornbeamshore.entry.events import ChangeNotifier
from hornbeamshore.entry.handler import EntryHandler
from hornbeamshore.entry.metrics import EntryMetrics
from hornbeamshore.entry.ownership import PartitionOwner
from hornbeamshore.entry.settings import EntrySettings, OwnershipSettings
from hornbeamshore.entry.state import EntryState
from hornbeamshore.entry.submission_router import SubmissionRouter
from hornbeamshore.policy.types import Assignment
from hornbeamshore.store.etcd import EtcdSettings
from hornbeamshore.wire.connection import ConnectionLost
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    CopyRecordsReply,
    Fence,
    OwnerTable,
    Release,
    Start,
    TableEntry,
    TaskDone,
)
from spec import ownership_steps as st
from spec.ownership_state import SubmitMessage
from tests.clocks import SuspendableClock
from tests.spec.agents_under_test import (
    PARTITION,
    job_key,
    new_agent,
    successful_result,
)
from tests.spec.network import Network

RETENTION_S = 120.0
INITIAL_UNIX_MS = 1_800_000_000_000
UNLIMITED_S = 10_000.0


def entry_id(e):
    return f"entry-{e}"


class ControlledScheduler:
    """Scheduler that makes only the assignments in `pending_assignments`."""

    def __init__(self):
        self.queue, self.targets, self.pending_assignments = {}, set(), []
        self.refuses_jobs = False

    def admit(self, load, now):
        return refuse(ResultCode.OVERLOADED) if self.refuses_jobs else None

    def add_target(self, info):
        self.targets.add(info.agent_id)

    def remove_target(self, agent_id):
        self.targets.discard(agent_id)

    set_draining = remove_target

    def enqueue(self, tasks, now):
        for task in tasks:
            assert (task.key, task.index) not in self.queue, "queued twice"
            self.queue[task.key, task.index] = task

    def cancel(self, key):
        task_ids = [task_id for task_id in self.queue if task_id[0] == key]
        return [self.queue.pop(task_id) for task_id in task_ids]

    def assign(self, now):
        assignments, self.pending_assignments = self.pending_assignments, []
        return [
            Assignment(self.queue.pop(task_id), agent) for task_id, agent in assignments
        ]

    def next_wakeup(self, now):
        return None

    def try_acquire_retry(self, now):
        return False

    def configure(self, *_):
        pass

    record_running = record_outcome = expire = configure


class ControlledOwner(PartitionOwner):
    """Owner that exposes whether a term is in progress.

    The end of a term resets the candidate, so that the next term begins only when
    the test sets one.
    """

    in_term = False

    def _begin_term(self):
        super()._begin_term()
        self.in_term = True

    def _end_term(self):
        self.in_term = False
        self.entry.candidate_id = None
        super()._end_term()


class ControlledAgentLinks(AgentLinks):
    """Agent links that report as lost the agents chosen by the test."""

    def __init__(self):
        super().__init__()
        self.lost_agents = set()

    def seconds_since_disconnect(self, agent_id, now):
        return UNLIMITED_S if agent_id in self.lost_agents else 0.0


class ControlledEntryState(EntryState):
    """Entry state whose first candidate is set by the test."""

    candidate_id = None

    def first_candidate(self, partition):
        return self.candidate_id

    next_candidate = first_candidate


class ObserverConnection:
    """Connection to an entry that is no candidate and accepts each roster update."""

    def __init__(self, number):
        self.peer = Identity("x", "entry", f"observer-{number}", 1, "x")

    def try_send(self, body, reply_to=0):
        return True

    async def call(self, body, timeout_s):
        return CopyRecordsReply(0)


class HandoverConnection:
    """Connection over which an owner hands its partition over to a successor."""

    def __init__(self, process_id, successor):
        self.peer = SimpleNamespace(process_id=process_id)
        self._successor = successor

    async def call(self, body, timeout_s):
        if self._successor is None:
            raise ConnectionLost("no successor")
        return self._successor.owner.buffer_handover(body)


class Caller:
    """Caller with one request, submitted through a real `SubmissionRouter`.

    Attributes
    ----------
    copies : list of tuple
        Copies that the front sent, each as (entry id, body, channel of the reply);
        the body is None once the copy is delivered.
    """

    def __init__(self, system, k, submitted_at_ms):
        self.key, self.answer = k, None
        self.copies, self.reply_channels = [], []
        self._system, self._next_entry = system, None
        self._entry = SimpleNamespace(
            deployment=lambda: system.deployment,
            owner_of=self._pop_next_entry,
            entry_id="front",
            peers=SimpleNamespace(get=self._connection_to),
            table=OwnerTable(),
            owners_changed=ChangeNotifier(),
            submission_in_flight=contextlib.nullcontext,
        )
        tasks = (TaskSpec("POST", "/", (), b""),) * system.limits.tasks
        self.request = JobRequest(
            job_key(k), "quote", tasks, 1, submitted_at_ms, False, b"content"
        )

    def _pop_next_entry(self, _):
        next_entry, self._next_entry = self._next_entry, None
        return SimpleNamespace(entry_id=next_entry) if next_entry else None

    def send_to(self, e):
        """Break the connections of earlier copies and send another to an entry."""
        for reply_channel in self.reply_channels:
            reply_channel.close()
        self._next_entry = entry_id(e)
        self._entry.owners_changed.notify()

    async def run(self):
        self.answer = await SubmissionRouter(self._entry).submit(
            self.request, UNLIMITED_S
        )
        self._system.check_answer(self)

    def _connection_to(self, process_id):
        return SimpleNamespace(call=functools.partial(self._call, process_id))

    async def _call(self, process_id, body, timeout_s):
        """Store a copy that the test delivers, and wait for the reply to it."""
        reply_channel, reply_receiver = trio.open_memory_channel(1)
        self.reply_channels.append(reply_channel)
        self.copies.append((process_id, body, reply_channel))
        try:
            return SimpleNamespace(answer=await reply_receiver.receive())
        except trio.EndOfChannel:
            raise ConnectionLost("connection of the front broke") from None


class EntryProcess:
    """Process of an entry, with one incarnation and one partition."""

    def __init__(self, system, e, incarnation):
        self.e, self.system = e, system
        self.identity = Identity("x", "entry", entry_id(e), incarnation, "x")
        placeholders = ("data_centre", "http_listen", "peer_listen", "secret_file")
        ownership_settings = OwnershipSettings(acquire_timeout=Duration(UNLIMITED_S))
        cfg = EntrySettings(
            deployment="x",
            entry_id=entry_id(e),
            store=EtcdSettings(endpoints=("127.0.0.1:1",)),
            ownership=ownership_settings,
            **dict.fromkeys(placeholders, "x"),
        )
        replica = SimpleNamespace(
            current=system.deployment,
            subscribe=lambda _: None,
            revision=1,
            service_slice=lambda _: None,
        )
        self.entry = ControlledEntryState(
            cfg, self.identity, replica, EntryMetrics(), None, system.clock
        )
        self.entry.agents = ControlledAgentLinks()
        observers = tuple(map(ObserverConnection, range(2)))
        self.successor = None
        self.entry.peers = SimpleNamespace(
            all=lambda: observers, get=self._handover_connection
        )
        self.entry.membership = SimpleNamespace(
            register_partition=system.register_partition
        )
        self.owner = ControlledOwner(Partition.parse(PARTITION), self.entry)
        self.owner.dispatcher.scheduler = ControlledScheduler()
        self.entry.owners[self.owner.partition] = self.owner
        self._scope = trio.CancelScope()

    def _handover_connection(self, process_id):
        return HandoverConnection(process_id, self.successor)

    @property
    def scheduler(self):
        return self.owner.dispatcher.scheduler

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            async with trio.open_nursery() as nursery:
                self.handler = EntryHandler(self.entry, nursery)
                task_status.started()
                await self.owner.run()

    def kill(self):
        self._scope.cancel()

    def set_candidate(self, process_id):
        self.entry.candidate_id = process_id
        self.owner.changed.notify()


class SystemUnderTest:
    """Real entries, agents and callers in the initial state of the specification.

    Attributes
    ----------
    start_counts : dict
        Number of starts of each task, by (key, index).
    submitted : dict
        Time of the first submission of each key, in ms since the Unix epoch; 0 if
        submissions carry no time.
    violations : list of str
        Violations of the invariants.
    clock : SuspendableClock
        Clock of the leases of all processes.
    """

    def __init__(self, limits, clock, monkeypatch, nursery, timestamped=True):
        self.limits, self.nursery, self.timestamped = limits, nursery, timestamped
        self.network = Network(clock)
        self.clock = SuspendableClock()
        service = Service(kinds={"quote": Kind()})
        self.deployment = Deployment(
            deployment="x",
            services={"desk": service},
            retention=Duration(RETENTION_S),
        )
        started_at = trio.current_time()

        def unix_ms():
            return INITIAL_UNIX_MS + round((trio.current_time() - started_at) * 1000)

        self._last_incarnation = 0
        for module in (ownership, dispatcher, daemon):
            monkeypatch.setattr(module, "unix_ms", unix_ms)
        monkeypatch.setattr(daemon, "new_incarnation", self._next_incarnation)
        # Starts must not expire: the specification delays messages without a bound.
        monkeypatch.setattr(dispatcher, "START_VALID_MS", 10**9)
        self.unix_ms = unix_ms
        self.table = OwnerTable()
        self.entries, self.agents, self.callers = [], {}, []
        self.start_counts, self.submitted, self.violations = {}, {}, []

    def _next_incarnation(self):
        self._last_incarnation += 1
        return self._last_incarnation

    async def register_partition(self, partition):
        is_new = str(partition) not in self.table.owned
        self.table = tables.with_owned(self.table, partition)
        return is_new

    async def start(self):
        """Start the processes and bring them to the initial state."""
        self.network.holds_messages = False
        for e in range(self.limits.entries):
            await self._start_entry(e, 1)
            self.table = tables.with_entry(self.table, _table_entry(e, 1))
        for a in range(self.limits.joined):
            self._start_agent(a)
        for process in self.entries:
            process.entry.table = self.table
        self.entries[0].set_candidate(entry_id(0))
        await self.network.run_until_idle()
        first_owner, targets = self.entries[0].owner, self.entries[0].scheduler.targets
        for _ in range(5):
            if len(targets) < self.limits.joined:
                await self.advance_time()
        assert first_owner.is_active
        assert first_owner.dispatcher.term.complete
        assert len(targets) == self.limits.joined
        for process in self.entries[1:]:
            process.owner.adopt_roster(first_owner.roster)
            process.owner.observe_epoch(first_owner.epoch)
        self.network.holds_messages = True

    async def _start_entry(self, e, incarnation):
        process = EntryProcess(self, e, incarnation)
        await self.nursery.start(process.run)
        self.entries[e:] = [process, *self.entries[e + 1 :]]
        for a in self.agents:
            self._connect(e, a)

    def _start_agent(self, a):
        agent = new_agent(a, clock=self.clock)
        agent.cfg = dataclasses.replace(agent.cfg, retention=Duration(RETENTION_S))
        agent.executor.submit = self._count_starts(agent.executor.submit)
        self.agents[a] = agent
        for e in range(len(self.entries)):
            self._connect(e, a)

    def _count_starts(self, submit):
        def counting_submit(start):
            task_id = start.key, start.index
            self.start_counts[task_id] = self.start_counts.get(task_id, 0) + 1
            if self.start_counts[task_id] > 1:
                self.violations.append(f"double start of {task_id}")
            for caller in self.callers:
                self.check_answer(caller)
            submit(start)

        return counting_submit

    def check_answer(self, caller):
        """Record a violation if an answer is partial or a false `not run`."""
        answer = caller.answer
        if answer is None:
            return
        started = [
            task_id
            for task_id in self.start_counts
            if task_id[0] == job_key(caller.key)
        ]
        if answer.run_state == RunState.NOT_RUN and started:
            self.violations.append(f"false not run of {answer.key}")
        bodies = [result.body for result in answer.results]
        expected = [b"%d" % t for t in range(self.limits.tasks)]
        if answer.code == ResultCode.OK and bodies != expected:
            self.violations.append(f"partial answer of {answer.key}")

    def _connect(self, e, a):
        process, agent = self.entries[e], self.agents[a]
        if frozenset((entry_id(e), agent.cfg.agent_id)) in self.network.broken_links:
            return
        agent._last_checked_at = self.clock()
        self.network.connect(process.identity, process.handler, agent.identity, agent)

    async def advance_time(self):
        for agent in self.agents.values():
            agent._last_checked_at = self.clock() + 5
        await self.network.advance_time()

    async def resubmit_and_complete(self):
        """Resubmit each key to each entry in turn and complete all pending work."""
        for e in range(len(self.entries)):
            for k in list(self.submitted):
                await self.apply_step(st.Submit(k, e))
                message = SubmitMessage(e, k, len(self.callers) - 1)
                await self.apply_step(st.Accept(message))
            await self._complete_pending_work()

    async def _complete_pending_work(self):
        for _ in range(10):
            for process in self.entries:
                for task_id, agent_id in sorted(self.dispatchable(process.e), key=str):
                    if task_id in process.scheduler.queue:
                        process.scheduler.pending_assignments.append(
                            (task_id, agent_id)
                        )
                        process.owner.dispatcher.wake()
                        await self.network.run_until_idle()
            for held in list(self.network.held):
                if held in self.network.held:
                    await self._deliver(held)
            for agent in self.agents.values():
                for task_id, start in list(agent.executor.runs.items()):
                    del agent.executor.runs[task_id]
                    agent._report_result(
                        start, successful_result(start.index, start.attempt)
                    )
            await self.advance_time()

    # Steps. The handler of a step is found by the name of the step's class.

    async def apply_step(self, step):
        """Apply a step, if the real classes can; return whether it was applied."""
        for agent in self.agents.values():
            agent._last_checked_at = self.clock()
        applied = await getattr(self, f"_apply_{type(step).__name__.lower()}")(step)
        await self.network.run_until_idle()
        return applied is not False

    async def _apply_submit(self, step):
        k = step.key
        if k not in self.submitted:
            self.submitted[k] = self.unix_ms() if self.timestamped else 0
        caller = Caller(self, k, self.submitted[k])
        self.callers.append(caller)
        caller.send_to(step.entry)
        self.nursery.start_soon(caller.run)
        await self.network.run_until_idle()
        return bool(caller.copies)

    async def _apply_resend(self, step):
        caller = self.callers[step.call]
        if caller.answer is not None:
            return False
        sent = len(caller.copies)
        caller.send_to(step.entry)
        await self.network.run_until_idle()
        caller.send_to(step.entry)
        await self.network.run_until_idle()
        return len(caller.copies) > sent

    def _pop_copy(self, message):
        caller = self.callers[message.call]
        for number, (process_id, body, reply_channel) in enumerate(caller.copies):
            if body is not None and process_id == entry_id(message.entry):
                caller.copies[number] = (process_id, None, reply_channel)
                return body, reply_channel
        return None

    async def _apply_accept(self, step):
        await self._await_activation(step.message.entry)
        found = self._pop_copy(step.message)
        if found is None:
            return False
        body, reply_channel = found

        def reply(answer):
            with contextlib.suppress(trio.ClosedResourceError, trio.WouldBlock):
                reply_channel.send_nowait(answer)

        entry = self.entries[step.message.entry].entry
        entry.serve_owner_call(Partition.parse(PARTITION), body, reply)
        return True

    async def _await_activation(self, e):
        """Let a new owner finish its wait for grants; return whether it is active."""
        owner = self.entries[e].owner
        if owner.in_term and not owner.is_active:
            await self.advance_time()
        return owner.is_active

    async def _apply_refuse(self, step):
        scheduler = self.entries[step.message.entry].scheduler
        scheduler.refuses_jobs = True
        applied = await self._apply_accept(step)
        scheduler.refuses_jobs = False
        return applied

    def dispatchable(self, e):
        """Return the (task, agent) pairs for which an entry may send a start now."""
        process = self.entries[e]
        if not process.owner.dispatcher.is_active:
            return set()
        return {
            (task_id, agent)
            for task_id in process.scheduler.queue
            for agent in process.scheduler.targets
        }

    async def _apply_dispatch(self, step):
        process = self.entries[step.entry]
        assignment = ((job_key(step.key), step.task), f"agent-{step.agent}")
        if assignment not in self.dispatchable(step.entry):
            return False
        process.scheduler.pending_assignments.append(assignment)
        process.owner.dispatcher.wake()
        return True

    def _find_held(self, kind, sender, receiver, **fields):
        for endpoint, message in self.network.held:
            ids = (endpoint.remote.peer.process_id, endpoint.peer.process_id)
            if isinstance(message.body, kind) and ids == (sender, receiver):
                body = message.body
                start_or_result = getattr(body, "result", body)
                actual_fields = (
                    {"key": body.key, **_task_fields(start_or_result)} if fields else {}
                )
                if actual_fields == fields:
                    return endpoint, message
        return None

    async def _deliver(self, held, *, repeat=False):
        if not repeat:
            self.network.held.remove(held)
        endpoint, message = held
        endpoint.remote.receive_message(message)
        await self.network.run_until_idle()

    def _find_held_start(self, message):
        return self._find_held(
            Start,
            entry_id(message.entry),
            f"agent-{message.agent}",
            key=job_key(message.key),
            index=message.task,
            attempt=message.attempt,
        )

    async def _apply_deliverstart(self, step):
        held = self._find_held_start(step.message)
        if held is None or step.message.agent not in self.agents:
            return False
        await self._deliver(held, repeat=step.repeat)
        return True

    async def _apply_refusestart(self, step):
        executor = self.agents[step.message.agent].executor
        executor.has_free_slot = False
        applied = await self._apply_deliverstart(step)
        executor.has_free_slot = True
        return applied

    async def _apply_endtask(self, step):
        agent = self.agents[step.agent]
        start = agent.executor.runs.pop((job_key(step.key), step.task), None)
        if start is None:
            return False
        agent._report_result(start, successful_result(step.task, start.attempt))
        return True

    async def _apply_deliverdone(self, step):
        message = step.message
        held = self._find_held(
            TaskDone,
            f"agent-{message.agent}",
            entry_id(message.entry),
            key=job_key(message.key),
            index=message.task,
            attempt=message.attempt,
        )
        if held is None:
            return False
        await self._deliver(held)
        return True

    async def _apply_reconcile(self, step):
        owner = self.entries[step.entry].owner
        link = owner.entry.agents.get(f"agent-{step.agent}")
        if link is None or not owner.dispatcher.running_tasks_on(link.agent_id):
            return False
        self.nursery.start_soon(owner._reconcile, link)
        return True

    async def _apply_answer(self, step):
        job = self.entries[step.entry].owner.dispatcher.jobs.get(job_key(step.key))
        return job is not None and not job.is_open

    async def _apply_answernotrun(self, step):
        owner = self.entries[step.entry].owner
        if not owner.is_active:
            return False
        owner.dispatcher.cancel(job_key(step.key), lambda _: None)
        return True

    async def _apply_crash(self, step):
        process = self.entries[step.entry]
        process.kill()
        for a in self.agents:
            endpoints = self.network.connections.get(
                (entry_id(step.entry), f"agent-{a}")
            )
            if endpoints is not None and endpoints[0].is_open:
                endpoints[0].is_open = False
        self.network.paused_messages.pop(entry_id(step.entry), None)
        self.network.held = [
            (endpoint, message)
            for endpoint, message in self.network.held
            if endpoint.peer.process_id != entry_id(step.entry)
        ]
        return True

    def _deliver_releases_and_closes(self, a):
        """Deliver the releases and closed connections that an agent has yet to see.

        On a real connection both arrive after the starts that were sent before
        them, so they are delivered late.
        """
        agent = self.agents[a]
        for held in list(self.network.held):
            endpoint, message = held
            if endpoint.peer.process_id == f"agent-{a}" and isinstance(
                message.body, Release
            ):
                self.network.held.remove(held)
                endpoint.remote.receive_message(message)
        for (_, agent_id), (near, far) in list(self.network.connections.items()):
            if agent_id == f"agent-{a}" and far.is_open and not near.is_open:
                far.is_open, far.closed_by_peer = False, True
                agent.closed(far)
                agent.connection_refused(far.peer)

    async def _apply_restart(self, step):
        for a in self.agents:
            self._deliver_releases_and_closes(a)
        incarnation = self.entries[step.entry].identity.incarnation + 1
        await self._start_entry(step.entry, incarnation)
        return True

    async def _apply_pause(self, step):
        self.network.paused_messages[entry_id(step.entry)] = []
        return True

    async def _apply_resume(self, step):
        for endpoint, message in self.network.paused_messages.pop(
            entry_id(step.entry), ()
        ):
            self.network.deliver(endpoint, message)
            await self.network.run_until_idle()
        await self._reconnect()
        return True

    async def _reconnect(self):
        for e in range(len(self.entries)):
            for a in self.agents:
                endpoints = self.network.connections.get((entry_id(e), f"agent-{a}"))
                paused = {entry_id(e), f"agent-{a}"} & set(self.network.paused_messages)
                alive = not self.entries[e]._scope.cancel_called
                if alive and not paused and not (endpoints and endpoints[0].is_open):
                    self._connect(e, a)
        await self.network.run_until_idle()

    async def _apply_disconnect(self, step):
        pair = frozenset((entry_id(step.entry), f"agent-{step.agent}"))
        self.network.broken_links.add(pair)
        return True

    async def _apply_takeover(self, step):
        process = self.entries[step.entry]
        entry_ids = [item.entry_id for item in process.entry.table.entries]
        if entry_id(step.entry) not in entry_ids:
            return False
        process.set_candidate(entry_id(step.entry))
        await self.network.run_until_idle()
        if not process.owner.in_term:
            await self.advance_time()
        return process.owner.in_term

    async def _apply_fence(self, step):
        if step.agent not in self.agents:
            return False
        held = self._find_last_fence(step)
        if held is None:
            await self.advance_time()
            held = self._find_last_fence(step)
        if held is None:
            return False
        self._deliver_releases_and_closes(step.agent)
        if step.lost:
            self.network.held.remove(held)
            endpoint, message = held
            self.agents[step.agent].fencing.grant(
                message.body, _owner_identity(endpoint.remote), trio.current_time()
            )
        else:
            await self._deliver(held)
        return True

    def _find_last_fence(self, step):
        found = None
        for endpoint, message in self.network.held:
            ids = (endpoint.remote.peer.process_id, endpoint.peer.process_id)
            expected_ids = (entry_id(step.entry), f"agent-{step.agent}")
            if (
                isinstance(message.body, Fence)
                and ids == expected_ids
                and endpoint.is_open
            ):
                found = endpoint, message
        return found

    async def _apply_expirepromise(self, step):
        await self.advance_time()
        return True

    async def _apply_renew(self, step):
        await self.advance_time()
        leases = self.entries[step.entry].owner._leases
        return f"agent-{step.agent}" in leases.holders(trio.current_time())

    async def _apply_agentstart(self, step):
        self._start_agent(step.agent)
        await self.network.run_until_idle()
        await self.advance_time()
        return True

    async def _apply_agentcrash(self, step):
        await self._stop_agent(step.agent)
        return True

    async def _stop_agent(self, a):
        agent = self.agents.pop(a)
        for (_, agent_id), endpoints in self.network.connections.items():
            if agent_id == agent.cfg.agent_id:
                for endpoint in endpoints:
                    endpoint.mark_closed(by_peer=True)
        self.network.paused_messages.pop(agent.cfg.agent_id, None)
        await self.network.run_until_idle()
        await self.advance_time()

    async def _apply_agentpause(self, step):
        self.network.paused_messages[f"agent-{step.agent}"] = []
        return True

    async def _apply_agentresume(self, step):
        await self.advance_time()
        agent = self.agents[step.agent]
        self.network.paused_messages.pop(f"agent-{step.agent}")
        agent._last_checked_at = self.clock() - 60
        agent._check_pause(trio.current_time())
        await self.network.run_until_idle()
        await self._reconnect()
        return True

    async def _apply_declarelost(self, step):
        process = self.entries[step.entry]
        if not await self._await_activation(step.entry):
            return False
        process.entry.agents.lost_agents.add(f"agent-{step.agent}")
        process.owner.changed.notify()
        return True

    async def _apply_accountforagent(self, step):
        return self._roster_status(step.entry, step.agent) == (False, True)

    def _roster_status(self, e, a):
        """Return (live, accounted for) of an agent in an owner's roster, or None."""
        for item in self.entries[e].owner.roster.entries:
            if item.agent_id == f"agent-{a}":
                return item.live, item.accounted_for
        return None

    async def _apply_leave(self, step):
        agent = self.agents[step.agent]
        agent.leaving = True
        for conn in agent._conns.values():
            agent._announce(conn)
        return True

    async def _apply_endleave(self, step):
        agent = self.agents[step.agent]
        if agent._owner_conn() is None:
            return False
        result = []

        async def hand_over():
            result.append(await agent._transfer_records())

        self.nursery.start_soon(hand_over)
        await self.network.run_until_idle()
        if result != [True]:
            return False
        await self._stop_agent(step.agent)
        return True

    async def _apply_release(self, step):
        process = self.entries[step.entry]
        process.successor = (
            self.entries[step.successor] if step.successor >= 0 else None
        )
        process.set_candidate(
            entry_id(max(step.successor, 0)) if step.successor >= 0 else "nobody"
        )
        await self.network.run_until_idle()
        if process.owner.in_term:
            await self.advance_time()
        return not process.owner.in_term

    async def _apply_stepdown(self, step):
        return not self.entries[step.entry].owner.in_term

    async def _apply_storedown(self, step):
        return True

    _apply_storeup = _apply_storedown

    async def _apply_writetable(self, step):
        incarnation = self.entries[step.entry].identity.incarnation
        item = _table_entry(step.entry, incarnation)
        dead = {
            entry_id(process.e)
            for process in self.entries
            if process._scope.cancel_called
        }
        table = tables.without_entries(self.table, dead - {item.entry_id})
        table = tables.with_entry(table, item)
        self.table = dataclasses.replace(table, version=self.table.version + 1)
        if not step.lost:
            self.entries[step.entry].entry.table = self.table
        return True

    async def _apply_readtable(self, step):
        self.entries[step.entry].entry.table = self.table
        return True

    async def _apply_expireretention(self, step):
        for agent in self.agents.values():
            agent.executor.runs.clear()
        self.network.held.clear()
        for _ in range(round(RETENTION_S / 1.6) + 8):
            await self.advance_time()
            self.network.held.clear()
        for agent in self.agents.values():
            agent.records.expire(trio.current_time() + RETENTION_S)
        return True


def _task_fields(body):
    return {"index": body.index, "attempt": body.attempt}


def _owner_identity(conn):
    return conn.peer.process_id, conn.peer.incarnation


def _table_entry(e, incarnation):
    return TableEntry(entry_id(e), incarnation, f"{entry_id(e)}:1", "x", "x")
