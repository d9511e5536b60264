"""Real entries and agents driven by the steps of the ownership specification.

Owners, dispatchers, fronts and agents are the real classes. Network, store, choice
of candidates and placement of tasks are test doubles.
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
from hornbeamshore.entry.events import Changed
from hornbeamshore.entry.front import Front
from hornbeamshore.entry.handler import EntryHandler
from hornbeamshore.entry.metrics import EntryMetrics
from hornbeamshore.entry.ownership import PartitionOwner
from hornbeamshore.entry.settings import EntrySettings, OwnershipSettings
from hornbeamshore.entry.state import EntryState
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
from tests.spec.agents_side import PARTITION, ended_ok, key_of, new_agent
from tests.spec.network import Network

RETENTION_S = 120.0
FIRST_TIME_MS = 1_800_000_000_000
LONG_S = 10_000.0


def entry_id(e):
    return f"entry-{e}"


class SteeredScheduler:
    """Scheduler that assigns queued tasks only as the test orders."""

    def __init__(self):
        self.queue, self.targets, self.orders = {}, set(), []
        self.refuses = False

    def admit(self, load, now):
        return refuse(ResultCode.OVERLOADED) if self.refuses else None

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
        mine = [name for name in self.queue if name[0] == key]
        return [self.queue.pop(name) for name in mine]

    def assign(self, now):
        orders, self.orders = self.orders, []
        return [Assignment(self.queue.pop(name), agent) for name, agent in orders]

    def next_wakeup(self, now):
        return None

    def may_retry(self, now):
        return False

    def configure(self, *_):
        pass

    adopt = ended = expire = configure


class WatchedOwner(PartitionOwner):
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
        self.entry.preferred = None
        super()._end_term()


class SteeredLinks(AgentLinks):
    """Agent links that report as lost the agents chosen by the test."""

    def __init__(self):
        super().__init__()
        self.lost = set()

    def gone_for(self, agent_id, now):
        return LONG_S if agent_id in self.lost else 0.0


class SteeredEntry(EntryState):
    """Entry state whose first candidate is set by the test."""

    preferred = None

    def first_candidate(self, partition):
        return self.preferred

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

    def __init__(self, process_id, heir):
        self.peer = SimpleNamespace(process_id=process_id)
        self._heir = heir

    async def call(self, body, timeout_s):
        if self._heir is None:
            raise ConnectionLost("no successor")
        return self._heir.owner.handover_told(body)


class Caller:
    """Caller with one request, submitted through a real `Front`.

    Attributes
    ----------
    copies : list of tuple
        Copies that the front sent, each as (entry id, body, channel of the reply);
        the body is None once the copy is delivered.
    """

    def __init__(self, world, k, submitted_at_ms):
        self.key, self.answer = k, None
        self.copies, self.replies = [], []
        self._world, self._target = world, None
        self._entry = SimpleNamespace(
            deployment=lambda: world.deployment,
            owner_of=self._take_target,
            entry_id="front",
            peers=SimpleNamespace(get=self._connection_to),
            table=OwnerTable(),
            owners_changed=Changed(),
            submission_in_flight=contextlib.nullcontext,
        )
        tasks = (TaskSpec("POST", "/", (), b""),) * world.limits.tasks
        self.request = JobRequest(
            key_of(k), "quote", tasks, 1, submitted_at_ms, False, b"content"
        )

    def _take_target(self, _):
        target, self._target = self._target, None
        return SimpleNamespace(entry_id=target) if target else None

    def send_to(self, e):
        """Break the connections of earlier copies and send another to an entry."""
        for send in self.replies:
            send.close()
        self._target = entry_id(e)
        self._entry.owners_changed.notify()

    async def run(self):
        self.answer = await Front(self._entry).submit(self.request, LONG_S)
        self._world.judge_answer(self)

    def _connection_to(self, process_id):
        return SimpleNamespace(call=functools.partial(self._call, process_id))

    async def _call(self, process_id, body, timeout_s):
        """Store a copy that the test delivers, and wait for the reply to it."""
        send, receive = trio.open_memory_channel(1)
        self.replies.append(send)
        self.copies.append((process_id, body, send))
        try:
            return SimpleNamespace(answer=await receive.receive())
        except trio.EndOfChannel:
            raise ConnectionLost("connection of the front broke") from None


class EntryProcess:
    """Process of an entry, with one incarnation and one partition."""

    def __init__(self, world, e, incarnation):
        self.e, self.world = e, world
        self.identity = Identity("x", "entry", entry_id(e), incarnation, "x")
        names = ("data_centre", "http_listen", "peer_listen", "secret_file")
        times = OwnershipSettings(acquire_timeout=Duration(LONG_S))
        cfg = EntrySettings(
            deployment="x",
            entry_id=entry_id(e),
            store=EtcdSettings(endpoints=("127.0.0.1:1",)),
            ownership=times,
            **dict.fromkeys(names, "x"),
        )
        replica = SimpleNamespace(
            current=world.deployment,
            subscribe=lambda _: None,
            revision=1,
            service_slice=lambda _: None,
        )
        self.entry = SteeredEntry(cfg, self.identity, replica, EntryMetrics(), None)
        self.entry.agents = SteeredLinks()
        observers = tuple(map(ObserverConnection, range(2)))
        self.heir = None
        self.entry.peers = SimpleNamespace(all=lambda: observers, get=self._successor)
        self.entry.membership = SimpleNamespace(found_partition=world.found_partition)
        self.owner = WatchedOwner(Partition.parse(PARTITION), self.entry)
        self.owner.dispatcher.scheduler = SteeredScheduler()
        self.entry.owners[self.owner.partition] = self.owner
        self._scope = trio.CancelScope()

    def _successor(self, process_id):
        return HandoverConnection(process_id, self.heir)

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

    def prefer(self, process_id):
        self.entry.preferred = process_id
        self.owner.changed.notify()


class SystemSide:
    """Real entries, agents and callers in the initial state of the specification.

    Attributes
    ----------
    starts : dict
        Number of starts of each task, by (key, index).
    submitted : dict
        Time of the first submission of each key, in ms since the Unix epoch; 0 if
        submissions carry no time.
    faults : list of str
        Violations of the invariants.
    """

    def __init__(self, limits, clock, monkeypatch, nursery, stamped=True):
        self.limits, self.nursery, self.stamped = limits, nursery, stamped
        self.network = Network(clock)
        service = Service(kinds={"quote": Kind()})
        self.deployment = Deployment(
            deployment="x",
            services={"desk": service},
            retention=Duration(RETENTION_S),
        )
        begin = trio.current_time()

        def unix_ms():
            return FIRST_TIME_MS + round((trio.current_time() - begin) * 1000)

        self._incarnations = 0
        for module in (ownership, dispatcher, daemon):
            monkeypatch.setattr(module, "unix_ms", unix_ms)
        monkeypatch.setattr(daemon, "new_incarnation", self._next_incarnation)
        # Starts must not expire: the specification delays messages without a bound.
        monkeypatch.setattr(dispatcher, "START_VALID_MS", 10**9)
        self.unix_ms = unix_ms
        self.table = OwnerTable()
        self.entries, self.agents, self.callers = [], {}, []
        self.starts, self.submitted, self.faults = {}, {}, []

    def _next_incarnation(self):
        self._incarnations += 1
        return self._incarnations

    async def found_partition(self, partition):
        first = str(partition) not in self.table.owned
        self.table = tables.with_owned(self.table, partition)
        return first

    async def begin(self):
        """Start the processes and bring them to the initial state."""
        self.network.holds = False
        for e in range(self.limits.entries):
            await self._start_entry(e, 1)
            self.table = tables.with_entry(self.table, _table_entry(e, 1))
        for a in range(self.limits.joined):
            self._start_agent(a)
        for process in self.entries:
            process.entry.table = self.table
        self.entries[0].prefer(entry_id(0))
        await self.network.settle()
        first, targets = self.entries[0].owner, self.entries[0].scheduler.targets
        for _ in range(5):
            if len(targets) < self.limits.joined:
                await self.pass_time()
        assert first.is_active
        assert first.dispatcher.tenure.complete
        assert len(targets) == self.limits.joined
        for process in self.entries[1:]:
            process.owner.roster_told(first.roster)
            process.owner.stale(first.epoch)
        self.network.holds = True

    async def _start_entry(self, e, incarnation):
        process = EntryProcess(self, e, incarnation)
        await self.nursery.start(process.run)
        self.entries[e:] = [process, *self.entries[e + 1 :]]
        for a in self.agents:
            self._connect(e, a)

    def _start_agent(self, a):
        agent = new_agent(a)
        agent.cfg = dataclasses.replace(agent.cfg, retention=Duration(RETENTION_S))
        agent.executor.submit = self._counting(agent.executor.submit)
        self.agents[a] = agent
        for e in range(len(self.entries)):
            self._connect(e, a)

    def _counting(self, submit):
        def counted(start):
            name = start.key, start.index
            self.starts[name] = self.starts.get(name, 0) + 1
            if self.starts[name] > 1:
                self.faults.append(f"double start of {name}")
            for caller in self.callers:
                self.judge_answer(caller)
            submit(start)

        return counted

    def judge_answer(self, caller):
        """Record a violation if an answer is partial or a false `not run`."""
        answer = caller.answer
        if answer is None:
            return
        ran = [name for name in self.starts if name[0] == key_of(caller.key)]
        if answer.run_state == RunState.NOT_RUN and ran:
            self.faults.append(f"false not run of {answer.key}")
        bodies = [result.body for result in answer.results]
        whole = [b"%d" % t for t in range(self.limits.tasks)]
        if answer.code == ResultCode.OK and bodies != whole:
            self.faults.append(f"partial answer of {answer.key}")

    def _connect(self, e, a):
        process, agent = self.entries[e], self.agents[a]
        if frozenset((entry_id(e), agent.cfg.agent_id)) in self.network.cut:
            return
        agent._alive_at = trio.current_time()
        self.network.connect(process.identity, process.handler, agent.identity, agent)

    async def pass_time(self):
        for agent in self.agents.values():
            agent._alive_at = trio.current_time() + 5
        await self.network.pass_time()

    async def finish(self):
        """Resubmit each key to each entry in turn and complete all pending work."""
        for e in range(len(self.entries)):
            for k in list(self.submitted):
                await self.take(st.Submit(k, e))
                message = SubmitMessage(e, k, len(self.callers) - 1)
                await self.take(st.Accept(message))
            await self._run_all()

    async def _run_all(self):
        for _ in range(10):
            for process in self.entries:
                for name, agent_id in sorted(self.dispatchable(process.e), key=str):
                    if name in process.scheduler.queue:
                        process.scheduler.orders.append((name, agent_id))
                        process.owner.dispatcher.wake()
                        await self.network.settle()
            for held in list(self.network.held):
                if held in self.network.held:
                    await self._deliver(held)
            for agent in self.agents.values():
                for name, start in list(agent.executor.runs.items()):
                    del agent.executor.runs[name]
                    agent._report(start, ended_ok(start.index, start.attempt))
            await self.pass_time()

    # Steps. The handler of a step is found by the name of the step's class.

    async def take(self, step):
        """Apply a step, if the real classes can; return whether it was applied."""
        for agent in self.agents.values():
            agent._alive_at = trio.current_time()
        done = await getattr(self, f"_take_{type(step).__name__.lower()}")(step)
        await self.network.settle()
        return done is not False

    async def _take_submit(self, step):
        k = step.key
        if k not in self.submitted:
            self.submitted[k] = self.unix_ms() if self.stamped else 0
        caller = Caller(self, k, self.submitted[k])
        self.callers.append(caller)
        caller.send_to(step.entry)
        self.nursery.start_soon(caller.run)
        await self.network.settle()
        return bool(caller.copies)

    async def _take_resend(self, step):
        caller = self.callers[step.call]
        if caller.answer is not None:
            return False
        sent = len(caller.copies)
        caller.send_to(step.entry)
        await self.network.settle()
        caller.send_to(step.entry)
        await self.network.settle()
        return len(caller.copies) > sent

    def _take_copy(self, message):
        caller = self.callers[message.call]
        for number, (process_id, body, send) in enumerate(caller.copies):
            if body is not None and process_id == entry_id(message.entry):
                caller.copies[number] = (process_id, None, send)
                return body, send
        return None

    async def _take_accept(self, step):
        await self._await_activation(step.message.entry)
        found = self._take_copy(step.message)
        if found is None:
            return False
        body, send = found

        def reply(answer):
            with contextlib.suppress(trio.ClosedResourceError, trio.WouldBlock):
                send.send_nowait(answer)

        entry = self.entries[step.message.entry].entry
        entry.serve_owner_call(Partition.parse(PARTITION), body, reply)
        return True

    async def _await_activation(self, e):
        """Let a new owner finish its wait for grants; return whether it is active."""
        owner = self.entries[e].owner
        if owner.in_term and not owner.is_active:
            await self.pass_time()
        return owner.is_active

    async def _take_refuse(self, step):
        scheduler = self.entries[step.message.entry].scheduler
        scheduler.refuses = True
        done = await self._take_accept(step)
        scheduler.refuses = False
        return done

    def dispatchable(self, e):
        """Return the (task, agent) pairs for which an entry may send a start now."""
        process = self.entries[e]
        if not process.owner.dispatcher.is_active:
            return set()
        return {
            (name, agent)
            for name in process.scheduler.queue
            for agent in process.scheduler.targets
        }

    async def _take_dispatch(self, step):
        process = self.entries[step.entry]
        order = ((key_of(step.key), step.task), f"agent-{step.agent}")
        if order not in self.dispatchable(step.entry):
            return False
        process.scheduler.orders.append(order)
        process.owner.dispatcher.wake()
        return True

    def _held(self, kind, sender, receiver, **fields):
        for end, message in self.network.held:
            ids = (end.other.peer.process_id, end.peer.process_id)
            if isinstance(message.body, kind) and ids == (sender, receiver):
                body = message.body
                found = getattr(body, "result", body)
                names = {"key": body.key, **_place(found)} if fields else {}
                if names == fields:
                    return end, message
        return None

    async def _deliver(self, held, *, repeat=False):
        if not repeat:
            self.network.held.remove(held)
        end, message = held
        end.other.take(message)
        await self.network.settle()

    def start_of(self, message):
        return self._held(
            Start,
            entry_id(message.entry),
            f"agent-{message.agent}",
            key=key_of(message.key),
            index=message.task,
            attempt=message.attempt,
        )

    async def _take_deliverstart(self, step):
        held = self.start_of(step.message)
        if held is None or step.message.agent not in self.agents:
            return False
        await self._deliver(held, repeat=step.repeat)
        return True

    async def _take_refusestart(self, step):
        executor = self.agents[step.message.agent].executor
        executor.has_free_slot = False
        done = await self._take_deliverstart(step)
        executor.has_free_slot = True
        return done

    async def _take_endtask(self, step):
        agent = self.agents[step.agent]
        start = agent.executor.runs.pop((key_of(step.key), step.task), None)
        if start is None:
            return False
        agent._report(start, ended_ok(step.task, start.attempt))
        return True

    async def _take_deliverdone(self, step):
        message = step.message
        held = self._held(
            TaskDone,
            f"agent-{message.agent}",
            entry_id(message.entry),
            key=key_of(message.key),
            index=message.task,
            attempt=message.attempt,
        )
        if held is None:
            return False
        await self._deliver(held)
        return True

    async def _take_reconcile(self, step):
        owner = self.entries[step.entry].owner
        link = owner.entry.agents.get(f"agent-{step.agent}")
        if link is None or not owner.dispatcher.running_on(link.agent_id):
            return False
        self.nursery.start_soon(owner._reconcile, link)
        return True

    async def _take_answer(self, step):
        job = self.entries[step.entry].owner.dispatcher.book.get(key_of(step.key))
        return job is not None and not job.is_open

    async def _take_giveup(self, step):
        owner = self.entries[step.entry].owner
        if not owner.is_active:
            return False
        owner.dispatcher.cancel(key_of(step.key), lambda _: None)
        return True

    async def _take_crash(self, step):
        process = self.entries[step.entry]
        process.kill()
        for a in self.agents:
            ends = self.network.links.get((entry_id(step.entry), f"agent-{a}"))
            if ends is not None and ends[0].is_open:
                ends[0].is_open = False
        self.network.stopped.pop(entry_id(step.entry), None)
        self.network.held = [
            (end, message)
            for end, message in self.network.held
            if end.peer.process_id != entry_id(step.entry)
        ]
        return True

    def _read_to_end(self, a):
        """Deliver the releases and closed connections that an agent has yet to see.

        On a real connection both arrive after the starts that were sent before
        them, so they are delivered late.
        """
        agent = self.agents[a]
        for held in list(self.network.held):
            end, message = held
            if end.peer.process_id == f"agent-{a}" and isinstance(
                message.body, Release
            ):
                self.network.held.remove(held)
                end.other.take(message)
        for (_, agent_id), (near, far) in list(self.network.links.items()):
            if agent_id == f"agent-{a}" and far.is_open and not near.is_open:
                far.is_open, far.ended_by_peer = False, True
                agent.closed(far)
                agent.refused(far.peer)

    async def _take_restart(self, step):
        for a in self.agents:
            self._read_to_end(a)
        incarnation = self.entries[step.entry].identity.incarnation + 1
        await self._start_entry(step.entry, incarnation)
        return True

    async def _take_pause(self, step):
        self.network.stopped[entry_id(step.entry)] = []
        return True

    async def _take_wake(self, step):
        for end, message in self.network.stopped.pop(entry_id(step.entry), ()):
            self.network.arrive(end, message)
            await self.network.settle()
        await self._reconnect()
        return True

    async def _reconnect(self):
        for e in range(len(self.entries)):
            for a in self.agents:
                ends = self.network.links.get((entry_id(e), f"agent-{a}"))
                stopped = {entry_id(e), f"agent-{a}"} & set(self.network.stopped)
                alive = not self.entries[e]._scope.cancel_called
                if alive and not stopped and not (ends and ends[0].is_open):
                    self._connect(e, a)
        await self.network.settle()

    async def _take_cut(self, step):
        pair = frozenset((entry_id(step.entry), f"agent-{step.agent}"))
        self.network.cut.add(pair)
        return True

    async def _take_takeover(self, step):
        process = self.entries[step.entry]
        names = [item.entry_id for item in process.entry.table.entries]
        if entry_id(step.entry) not in names:
            return False
        process.prefer(entry_id(step.entry))
        await self.network.settle()
        if not process.owner.in_term:
            await self.pass_time()
        return process.owner.in_term

    async def _take_fence(self, step):
        if step.agent not in self.agents:
            return False
        held = self._last_fence(step)
        if held is None:
            await self.pass_time()
            held = self._last_fence(step)
        if held is None:
            return False
        self._read_to_end(step.agent)
        if step.lost:
            self.network.held.remove(held)
            end, message = held
            self.agents[step.agent].fencing.grant(
                message.body, _owner(end.other), trio.current_time()
            )
        else:
            await self._deliver(held)
        return True

    def _last_fence(self, step):
        found = None
        for end, message in self.network.held:
            ids = (end.other.peer.process_id, end.peer.process_id)
            wanted = (entry_id(step.entry), f"agent-{step.agent}")
            if isinstance(message.body, Fence) and ids == wanted and end.is_open:
                found = end, message
        return found

    async def _take_lapse(self, step):
        await self.pass_time()
        return True

    async def _take_renew(self, step):
        await self.pass_time()
        leases = self.entries[step.entry].owner._leases
        return f"agent-{step.agent}" in leases.holders(trio.current_time())

    async def _take_agentstart(self, step):
        self._start_agent(step.agent)
        await self.network.settle()
        await self.pass_time()
        return True

    async def _take_agentcrash(self, step):
        await self._end_agent(step.agent)
        return True

    async def _end_agent(self, a):
        agent = self.agents.pop(a)
        for (_, agent_id), ends in self.network.links.items():
            if agent_id == agent.cfg.agent_id:
                for end in ends:
                    end.end(by_peer=True)
        self.network.stopped.pop(agent.cfg.agent_id, None)
        await self.network.settle()
        await self.pass_time()

    async def _take_agentpause(self, step):
        self.network.stopped[f"agent-{step.agent}"] = []
        return True

    async def _take_agentwake(self, step):
        await self.pass_time()
        agent = self.agents[step.agent]
        self.network.stopped.pop(f"agent-{step.agent}")
        agent._alive_at = trio.current_time() - 60
        agent._check_pause(trio.current_time())
        await self.network.settle()
        await self._reconnect()
        return True

    async def _take_declarelost(self, step):
        process = self.entries[step.entry]
        if not await self._await_activation(step.entry):
            return False
        process.entry.agents.lost.add(f"agent-{step.agent}")
        process.owner.changed.notify()
        return True

    async def _take_account(self, step):
        return self._place(step.entry, step.agent) == (False, True)

    def _place(self, e, a):
        """Return (live, accounted for) of an agent in an owner's roster, or None."""
        for item in self.entries[e].owner.roster.entries:
            if item.agent_id == f"agent-{a}":
                return item.live, item.accounted_for
        return None

    async def _take_leave(self, step):
        agent = self.agents[step.agent]
        agent.leaving = True
        for conn in agent._conns.values():
            agent._announce(conn)
        return True

    async def _take_endleave(self, step):
        agent = self.agents[step.agent]
        if agent._owner_conn() is None:
            return False
        result = []

        async def hand_over():
            result.append(await agent._hand_over())

        self.nursery.start_soon(hand_over)
        await self.network.settle()
        if result != [True]:
            return False
        await self._end_agent(step.agent)
        return True

    async def _take_release(self, step):
        process = self.entries[step.entry]
        process.heir = self.entries[step.heir] if step.heir >= 0 else None
        process.prefer(entry_id(max(step.heir, 0)) if step.heir >= 0 else "nobody")
        await self.network.settle()
        if process.owner.in_term:
            await self.pass_time()
        return not process.owner.in_term

    async def _take_stepdown(self, step):
        return not self.entries[step.entry].owner.in_term

    async def _take_storedown(self, step):
        return True

    _take_storeup = _take_storedown

    async def _take_writetable(self, step):
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

    async def _take_readtable(self, step):
        self.entries[step.entry].entry.table = self.table
        return True

    async def _take_retain(self, step):
        for agent in self.agents.values():
            agent.executor.runs.clear()
        self.network.held.clear()
        for _ in range(round(RETENTION_S / 1.6) + 8):
            await self.pass_time()
            self.network.held.clear()
        for agent in self.agents.values():
            agent.records.expire(trio.current_time() + RETENTION_S)
        return True


def _place(body):
    return {"index": body.index, "attempt": body.attempt}


def _owner(conn):
    return conn.peer.process_id, conn.peer.incarnation


def _table_entry(e, incarnation):
    return TableEntry(entry_id(e), incarnation, f"{entry_id(e)}:1", "x", "x")
