"""Ownership of one partition: takeover, leases, roster, handover.

On each entry, one task per partition waits as a candidate, takes the partition
over and serves it until the term ends. It starts one child task for each agent,
which obtains and renews the lease that the agent grants.
"""

import random
from dataclasses import replace

import trio

from hornbeamshore.base.clock import unix_ms
from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import NO_EPOCH, Epoch, JobAnswer
from hornbeamshore.entry import roster as rosters
from hornbeamshore.entry import table as tables
from hornbeamshore.entry.dispatcher import Dispatcher, OwnershipTerm
from hornbeamshore.entry.events import ChangeNotifier
from hornbeamshore.entry.jobs import to_record
from hornbeamshore.entry.leases import LeaseSet, is_quorum
from hornbeamshore.wire.connection import CallTimeout, ConnectionLost
from hornbeamshore.wire.messages import (
    CopyRecords,
    Fence,
    Handover,
    HandoverReply,
    OwnerNotice,
    Reconcile,
    Release,
    Renew,
    Roster,
    RosterUpdate,
)

CALL_TIMEOUT_S = 1.0
# Longer than CALL_TIMEOUT_S: an agent with many start records sends them in several
# messages before it grants a fence.
FENCE_TIMEOUT_S = 3.0
# Mean delay before a candidate tries again, jittered by 50 percent each way.
ACQUIRE_RETRY_S = 0.3
# How long a new owner with a quorum waits for the grants of the remaining agents.
ALL_GRANTS_TIMEOUT_S = 1.0
ROSTER_CHECK_INTERVAL_S = 0.25
# Processes that must confirm a roster, not counting the agent that it adds.
MIN_ROSTER_COPIES = 2
RECORD_COPIES = 2
JOBS_PER_HANDOVER = 200

log = PartLogger("owner")


class PartitionOwner:
    """Candidate for, or owner of, one partition.

    Parameters
    ----------
    partition : Partition
        The partition to own.
    entry : EntryState
        Shared state of the process: settings, peers, agents, owner table.
    """

    def __init__(self, partition, entry):
        self.partition = partition
        self.name = str(partition)
        self.entry = entry
        self.cfg = entry.cfg.ownership
        self.dispatcher = Dispatcher(
            partition,
            entry.cfg,
            entry.deployment(),
            entry.metrics,
            self._has_quorum,
        )
        self.roster = Roster()
        self.epoch = NO_EPOCH
        self.changed = ChangeNotifier()
        self.has_ended = trio.Event()
        self._highest_epoch = NO_EPOCH
        self._leases = self._new_leases()
        self._fenced_agents = set()
        self._grants = {}
        self._refusals = {}
        # Id and incarnation of each agent that sent its start records with a grant
        # in this term. The records stay known after the agent disconnects.
        self._reported_agents = set()
        self._agents_with_lease_task = set()
        self._handover = None
        self._handover_jobs = []
        self._handover_epoch = 0
        self._previous_roster_epoch = 0
        self._is_first_owner = False
        self._records_complete = False
        self._since_ms = 0
        self._committed_roster = None
        self._early_outcomes = []
        # Keyed by agent id and incarnation, as a restarted agent reuses its id. The
        # value says whether enough other agents have copies of its start records.
        self._departed_agents = {}
        self._early_records = {}
        self._is_resigning = False
        self._rng = random.Random(f"{entry.identity.process_id}/{partition}")

    def _new_leases(self):
        lease_s = self.entry.cfg.wire.suspect_after - self.cfg.lease_margin
        return LeaseSet(lease_s)

    @property
    def is_active(self):
        """Return whether this entry is the active owner and holds a lease quorum."""
        return self.dispatcher.is_active and self._has_quorum()

    def _has_quorum(self):
        now = self.entry.clock()
        return self._leases.has_quorum(rosters.live_ids(self.roster), now)

    # Called by other tasks

    def observe_epoch(self, epoch):
        """Record an epoch granted to another entry; a higher one ends the term."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self.changed.notify()
        if self._handover is not None and epoch.pack() > self._handover.epoch:
            # The partition had another owner after the handover.
            self._handover = None

    def buffer_early_records(self, conn, body):
        """Buffer start records that an agent sends before it grants the fence."""
        if conn in self._early_records and body.epoch == self.epoch.pack():
            self._early_records[conn].extend(body.records)

    def adopt_roster(self, roster):
        """Adopt a roster sent by the partition's owner, unless a newer one is known."""
        self.roster = rosters.newest((self.roster, roster))

    def buffer_handover(self, body):
        """Buffer one message of the previous owner's handover and return the reply."""
        if body.epoch != self._handover_epoch:
            self._handover_epoch, self._handover_jobs = body.epoch, []
        self._handover_jobs.extend(body.jobs)
        self.observe_epoch(Epoch.unpack(body.epoch))
        if body.last:
            self.adopt_roster(body.roster)
            self._handover = body
            self.changed.notify()
        return HandoverReply(int(ResultCode.OK))

    def resign(self):
        """Hand the partition over, if it is owned, and stop being a candidate.

        Without a connected successor the term continues until no job is open.
        `has_ended` is set when the task ends.
        """
        self._is_resigning = True
        self.changed.notify()

    # Main task

    async def run(self):
        """Own the partition whenever this entry is its first available candidate."""
        while not self._is_resigning:
            await self.changed.wait_until(self._should_own)
            if self._is_resigning:
                break
            async with trio.open_nursery() as nursery:
                await self._serve_term(nursery)
                nursery.cancel_scope.cancel()
            if not self._is_resigning:
                pause = ACQUIRE_RETRY_S * self._rng.uniform(0.5, 1.5)
                await trio.sleep(pause)
        self.has_ended.set()

    def _should_own(self):
        if self._is_resigning or self._handover is not None:
            return True
        return self.entry.first_candidate(self.partition) == self.entry.entry_id

    async def _serve_term(self, nursery):
        """Run one term: acquire the partition, serve it, then release the grants."""
        self._begin_term()
        nursery.start_soon(self._watch_agents, nursery)
        try:
            if await self._acquire():
                nursery.start_soon(self.dispatcher.run)
                nursery.start_soon(self._maintain_roster)
                await self._serve()
        finally:
            self._end_term()

    def _begin_term(self):
        self.epoch = self._next_epoch()
        self._highest_epoch = self.epoch
        self._leases = self._new_leases()
        self._fenced_agents = set()
        self._grants = {}
        self._refusals = {}
        self._reported_agents = set()
        self._agents_with_lease_task = set()
        self._early_outcomes = []
        self._committed_roster = None
        self._is_first_owner = False
        log.info("Acquiring partition %s at epoch %s.", self.name, self.epoch)

    def _next_epoch(self):
        table = self.entry.table
        rank = tables.rank_of(table, self.partition, self.entry.entry_id) or 0
        highest = self._highest_epoch
        if highest.table_version == table.version:
            return Epoch(table.version, highest.term + 1, rank)
        return Epoch(table.version, 0, rank)

    def _end_term(self):
        was_active = self.dispatcher.is_active
        self.dispatcher.deactivate()
        # The reply of an agent that granted the epoch may be lost or under way.
        for agent_id in self._fenced_agents:
            link = self.entry.agents.get(agent_id)
            if link is not None:
                link.conn.try_send(Release(self.name, self.epoch.pack()))
        if was_active:
            log.info("Released partition %s at epoch %s.", self.name, self.epoch)
            self.entry.announce_owner(OwnerNotice(self.name, self.epoch.pack(), ""))

    # Acquiring

    async def _acquire(self):
        """Return whether this entry became the active owner in this term."""
        if not rosters.live_ids(self.roster):
            # A connected agent may hold a roster that this process does not know yet.
            await self.changed.wait_until(
                lambda: bool(self._agents_with_lease_task), self.cfg.acquire_timeout
            )
        is_decided = await self.changed.wait_until(
            self._is_acquire_decided, self.cfg.acquire_timeout
        )
        if not is_decided:
            log.info(
                "No quorum for partition %s at epoch %s; replies of agents: %s.",
                self.name,
                self.epoch,
                self._describe_replies(),
            )
            return False
        # Submissions wait at their front ends meanwhile. Without this wait, keys from
        # before the takeover would be refused until the last agent sent its records.
        await self.changed.wait_until(
            lambda: self._highest_epoch > self.epoch or self._has_all_records(),
            ALL_GRANTS_TIMEOUT_S,
        )
        if self._highest_epoch > self.epoch:
            return False
        if not rosters.live_ids(self.roster) and not await self._register_partition():
            return False
        self._previous_roster_epoch = self.roster.epoch
        if not await self._commit_roster(
            rosters.with_epoch(self.roster, self.epoch.pack())
        ):
            return False
        self._activate()
        return True

    def _describe_replies(self):
        """Return the code of each agent's last reply to the fence, as text for logs."""
        replies = dict.fromkeys(rosters.live_ids(self.roster), "not connected")
        for link in self.entry.links_of(self.partition):
            replies[link.agent_id] = self._refusals.get(link.agent_id, "no reply")
        replies |= dict.fromkeys(self._leases.incarnations, int(ResultCode.OK))
        return ", ".join(f"{name} {reply}" for name, reply in sorted(replies.items()))

    def _is_acquire_decided(self):
        if self._highest_epoch > self.epoch:
            return True
        all_granted = all(
            agent_id in self._grants for agent_id in self._agents_with_lease_task
        )
        live = rosters.live_ids(self.roster)
        return self._has_quorum() if live else all_granted

    async def _register_partition(self):
        """Return whether this entry may own a partition for which no roster is known.

        Without a roster, only the store can rule out a second first owner. If the
        partition had an owner before, it is created again only if no process can
        hold its roster: every other entry of the owner table is connected and sent
        none, and at least one agent granted the fence without sending one. Otherwise
        an entry that only lost its connections to all agents could become a second
        owner.
        """
        if self.name in self.entry.table.owned and not self._can_rule_out_roster():
            log.info(
                "Partition %s may have another owner, or has no agent yet.", self.name
            )
            return False
        is_first = await self.entry.membership.register_partition(self.partition)
        self._is_first_owner = bool(is_first)
        return is_first is not None

    def _can_rule_out_roster(self):
        others = [
            item.entry_id
            for item in self.entry.table.entries
            if item.entry_id != self.entry.entry_id
        ]
        return bool(self._grants) and all(map(self.entry.peers.get, others))

    def _activate(self):
        handover = self._consume_handover()
        self._records_complete = self._is_first_owner or (
            handover is not None and handover.complete
        )
        self._since_ms = unix_ms()
        if handover is not None and not handover.complete:
            self._since_ms = handover.taken_over_at_ms
        self.dispatcher.configure(self.entry.deployment())
        if handover is not None:
            self.dispatcher.import_jobs(handover.jobs)
        for agent_id, reply in self._grants.items():
            self.dispatcher.merge_records(agent_id, reply.records)
        self._update_term()
        for agent_id, body in self._early_outcomes:
            self.dispatcher.task_done(agent_id, body)
        for agent_id in self._grants:
            self._add_if_listed(agent_id)
        self.dispatcher.queue_unstarted()
        log.info("Active owner of partition %s at epoch %s.", self.name, self.epoch)
        notice = OwnerNotice(self.name, self.epoch.pack(), self.entry.entry_id)
        self.entry.announce_owner(notice)

    def _consume_handover(self):
        """Return the complete handover of the previous owner, or None.

        An owner after the one that handed over left a roster of its own epoch with a
        quorum of the agents, so a handover older than the known roster is discarded.
        """
        handover, self._handover = self._handover, None
        jobs, self._handover_jobs = self._handover_jobs, []
        if handover is None or handover.epoch < self._previous_roster_epoch:
            return None
        return replace(handover, jobs=tuple(jobs))

    def _update_term(self):
        # Once complete, the records stay complete: no other entry starts work during
        # this term.
        self._records_complete = self._records_complete or self._has_all_records()
        term = OwnershipTerm(self.epoch.pack(), self._since_ms, self._records_complete)
        if term != self.dispatcher.term:
            self.dispatcher.activate(term)

    def _has_all_records(self):
        now_ms = unix_ms()
        retention_ms = self.dispatcher.jobs.retention_s * 1000
        if self.dispatcher.is_active and now_ms - self._since_ms > retention_ms:
            return True
        if not self.roster.entries:
            return False
        retained = rosters.without_expired(self.roster, now_ms, retention_ms)
        return not rosters.entries_missing_records(retained, self._reported_agents)

    # Serving

    async def _serve(self):
        """Return when the term ends: superseded, without quorum, or handed over."""
        while True:
            if self._highest_epoch > self.epoch or not self._has_quorum():
                log.warning("Lost partition %s at epoch %s.", self.name, self.epoch)
                return
            successor = self._find_successor()
            if successor is not None:
                await self._hand_over(successor)
                return
            if self._is_resigning and not self.dispatcher.jobs.open_jobs():
                return
            self._update_term()
            with trio.move_on_after(self.cfg.renew_every / 2):
                await self.changed.wait()

    def _find_successor(self):
        """Return a connection to the entry that should own the partition, or None."""
        if self._is_resigning:
            candidate = self.entry.next_candidate(self.partition)
        else:
            candidate = self.entry.first_candidate(self.partition)
        if candidate in (None, self.entry.entry_id):
            return None
        return self.entry.peers.get(candidate)

    async def _hand_over(self, conn):
        """Send all job records to a successor.

        No work is accepted once the handover begins. The term ends after it, even
        if the successor did not confirm, as it may have received the records.
        """
        log.info("Handing partition %s over to %s.", self.name, conn.peer.process_id)
        term = self.dispatcher.suspend()
        jobs = [to_record(job) for job in self.dispatcher.jobs]
        chunks = [
            tuple(jobs[start : start + JOBS_PER_HANDOVER])
            for start in range(0, len(jobs), JOBS_PER_HANDOVER)
        ] or [()]
        try:
            for number, chunk in enumerate(chunks, 1):
                body = Handover(
                    self.name,
                    self.epoch.pack(),
                    chunk,
                    self.roster,
                    number == len(chunks),
                    term.complete,
                    term.since_ms,
                )
                await conn.call(body, CALL_TIMEOUT_S)
        except (ConnectionLost, CallTimeout):
            log.warning("Handover of partition %s was not confirmed.", self.name)

    # Agents

    async def _watch_agents(self, nursery):
        """Start a lease task for each agent of the partition that connects."""
        while True:
            for link in self.entry.links_of(self.partition):
                if link.leaving:
                    self.dispatcher.drain_agent(link.agent_id)
                if (
                    link.agent_id not in self._agents_with_lease_task
                    and link.conn.is_open
                ):
                    self._agents_with_lease_task.add(link.agent_id)
                    self.changed.notify()
                    nursery.start_soon(self._maintain_lease, link)
            await self.entry.agents.changed.wait()

    async def _maintain_lease(self, link):
        """Fence an agent, then renew its lease until its connection ends."""
        try:
            if await self._fence_agent(link):
                await self._reconcile(link)
                self._add_if_listed(link.agent_id)
                await self._renew_lease(link)
        except (ConnectionLost, CallTimeout) as exc:
            log.info("Agent %s: %s", link.agent_id, exc)
        finally:
            self._agents_with_lease_task.discard(link.agent_id)
            self._leases.drop(link.agent_id)
            self.dispatcher.remove_agent(link.agent_id)
            self.changed.notify()
            if self._highest_epoch == self.epoch:
                self.entry.agents.changed.notify()

    async def _fence_agent(self, link):
        """Fence an agent and return whether it granted the epoch."""
        while self._highest_epoch == self.epoch:
            sent_at = self.entry.clock()
            self._fenced_agents.add(link.agent_id)
            self._early_records[link.conn] = []
            body = Fence(self.name, self.epoch.pack(), takes_ahead=True)
            try:
                reply = await link.conn.call(body, FENCE_TIMEOUT_S)
            finally:
                early_records = tuple(self._early_records.pop(link.conn))
            if reply.code == ResultCode.OK:
                reply = replace(reply, records=early_records + reply.records)
                self._record_grant(link, reply, sent_at)
                return True
            self._refusals[link.agent_id] = reply.code
            if reply.code == ResultCode.STALE_EPOCH:
                self.observe_epoch(Epoch.unpack(reply.epoch))
                return False
            self.roster = rosters.newest((self.roster, reply.roster))
            await trio.sleep(self.cfg.renew_every / 2)
        return False

    def _record_grant(self, link, reply, sent_at):
        self._leases.confirm(link.agent_id, link.incarnation, sent_at)
        self._grants[link.agent_id] = reply
        self._reported_agents.add((link.agent_id, link.incarnation))
        if self.dispatcher.is_active:
            self.dispatcher.merge_records(link.agent_id, reply.records)
            self._update_term()
        else:
            self.roster = rosters.newest((self.roster, reply.roster))
        self.changed.notify()

    async def _reconcile(self, link):
        """Ask an agent for the outcome of tasks sent over an earlier connection.

        Only the incarnation to which a task was sent can confirm that it never
        received the start. A restarted agent has no records, and the task may have
        run.
        """
        tasks = self.dispatcher.running_tasks_on(link.agent_id)
        if not tasks:
            return
        if not rosters.lists_live(self.roster, link.agent_id, link.incarnation):
            return
        body = Reconcile(self.name, self.epoch.pack(), tasks)
        reply = await link.conn.call(body, CALL_TIMEOUT_S)
        self.dispatcher.merge_records(link.agent_id, reply.records)
        for ref in reply.refused:
            self.dispatcher.requeue_undelivered(link.agent_id, ref)

    async def _renew_lease(self, link):
        while link.conn.is_open:
            await trio.sleep(self.cfg.renew_every)
            sent_at = self.entry.clock()
            body = Renew(self.name, self.epoch.pack())
            reply = await link.conn.call(body, CALL_TIMEOUT_S)
            if reply.code != ResultCode.OK:
                self.observe_epoch(Epoch.unpack(reply.epoch))
                return
            self._leases.confirm(link.agent_id, link.incarnation, sent_at)

    def _add_if_listed(self, agent_id):
        """Let the dispatcher use an agent if the committed roster lists it."""
        link = self.entry.agents.get(agent_id)
        if link is None or self._committed_roster is None:
            return
        if rosters.lists_live(self._committed_roster, agent_id, link.incarnation):
            self.dispatcher.add_agent(link)
            if link.leaving:
                self.dispatcher.drain_agent(agent_id)

    # Roster

    async def _maintain_roster(self):
        """Commit pending roster changes one at a time, until cancelled."""
        while True:
            proposal = await self._next_roster_change()
            if proposal is not None and await self._commit_roster(proposal):
                for agent_id in self._leases.incarnations:
                    if not self.dispatcher.uses_agent(agent_id):
                        self._add_if_listed(agent_id)
                self._update_term()
                continue
            with trio.move_on_after(ROSTER_CHECK_INTERVAL_S):
                await self.changed.wait()

    async def _next_roster_change(self):
        """Return the roster with the next pending change applied, or None."""
        now_ms = unix_ms()
        for (agent_id, incarnation), copied in self._departed_agents.items():
            if rosters.lists_live(self.roster, agent_id, incarnation):
                return rosters.with_lost(
                    self.roster, agent_id, now_ms, accounted_for=copied
                )
        for agent_id, incarnation in self._leases.incarnations.items():
            link = self.entry.agents.get(agent_id)
            if link is None or link.leaving:
                continue
            if rosters.lists_live(self.roster, agent_id, incarnation):
                continue
            if agent_id in rosters.live_ids(self.roster):
                # The roster lists an earlier incarnation, whose process has ended.
                return await self._declare_agent_lost(agent_id)
            return rosters.with_agent(
                self.roster, agent_id, incarnation, link.rack, now_ms
            )
        dead_after = self.entry.cfg.wire.dead_after
        for agent_id in rosters.live_ids(self.roster):
            disconnected_s = self.entry.agents.seconds_since_disconnect(
                agent_id, trio.current_time()
            )
            if disconnected_s > dead_after:
                return await self._declare_agent_lost(agent_id)
        retention_ms = self.dispatcher.jobs.retention_s * 1000
        pruned = rosters.without_expired(self.roster, now_ms, retention_ms)
        return pruned if pruned is not self.roster else None

    async def _declare_agent_lost(self, agent_id):
        log.warning("Agent %s is lost.", agent_id)
        self.dispatcher.mark_agent_lost(agent_id)
        records = self.dispatcher.start_records_of(agent_id)
        copied = self._has_records_of(agent_id)
        copied = copied and await self.copy_records(agent_id, records)
        return rosters.with_lost(self.roster, agent_id, unix_ms(), accounted_for=copied)

    def _has_records_of(self, agent_id):
        """Return whether all start records of a live agent are known here.

        An agent that was lost before it granted this owner's fence may have run
        tasks of an earlier owner. Copies of the known records would then be
        incomplete.
        """
        return self._records_complete or any(
            item.live and (item.agent_id, item.incarnation) in self._reported_agents
            for item in self.roster.entries
            if item.agent_id == agent_id
        )

    async def copy_records(self, agent_id, records):
        """Copy start records to other agents; return whether enough of them confirm."""
        rack = next(
            (item.rack for item in self.roster.entries if item.agent_id == agent_id), ""
        )
        links = [
            link
            for link in self.entry.links_of(self.partition)
            if link.agent_id != agent_id and link.agent_id in self._grants
        ]
        links.sort(key=lambda link: link.rack == rack)
        body = CopyRecords(self.name, self.epoch.pack(), agent_id, records)
        copies = 0
        for link in links:
            if copies == RECORD_COPIES:
                break
            try:
                reply = await link.conn.call(body, CALL_TIMEOUT_S)
            except (ConnectionLost, CallTimeout):
                continue
            copies += reply.code == ResultCode.OK
        return copies == min(RECORD_COPIES, len(rosters.live_ids(self.roster)) - 1)

    async def _commit_roster(self, proposal):
        """Return whether enough agents and entries confirmed a roster.

        A quorum of the old roster's agents and a quorum of the new roster's agents
        must confirm, so that every later quorum includes an agent with the newest
        roster.
        """
        old_live = rosters.live_ids(self.roster)
        new_live = rosters.live_ids(proposal)
        confirmed = await self._broadcast_roster(proposal)
        agents = confirmed & (old_live | new_live)
        old_ok = not old_live or is_quorum(agents, old_live)
        other_count = len(confirmed - (new_live - old_live))
        needed = min(MIN_ROSTER_COPIES, len(old_live) + len(self.entry.peers.all()))
        if not (old_ok and is_quorum(agents, new_live) and other_count >= needed):
            return False
        self.roster = self._committed_roster = proposal
        return True

    async def _broadcast_roster(self, roster):
        body = RosterUpdate(self.name, roster)
        confirmed = set()

        async def send(conn):
            try:
                reply = await conn.call(body, CALL_TIMEOUT_S)
            except (ConnectionLost, CallTimeout):
                return
            if reply.code == ResultCode.OK:
                confirmed.add(conn.peer.process_id)

        async with trio.open_nursery() as nursery:
            for link in self.entry.links_of(self.partition):
                if link.agent_id in self._grants:
                    nursery.start_soon(send, link.conn)
            for conn in self.entry.peers.all():
                nursery.start_soon(send, conn)
        return confirmed

    async def process_agent_leave(self, link, records):
        """Store the records of an agent that shuts down; return False if not active."""
        if not self.is_active:
            return False
        self.dispatcher.merge_records(link.agent_id, records)
        self.dispatcher.retire_agent(link.agent_id, records)
        kept = self.dispatcher.start_records_of(link.agent_id)
        copied = await self.copy_records(link.agent_id, kept)
        self._departed_agents[link.agent_id, link.incarnation] = copied
        self.changed.notify()
        return True

    def task_done(self, agent_id, body):
        """Pass a task's outcome to the dispatcher.

        The result code `STALE_EPOCH` removes the agent from the dispatcher. An
        outcome that arrives between the agent's grant and the activation is buffered,
        as the records that came with the grant list the task as running.
        """
        if not self.dispatcher.is_active:
            self._early_outcomes.append((agent_id, body))
            return
        if body.result.code == ResultCode.STALE_EPOCH:
            self.dispatcher.remove_agent(agent_id)
            self._leases.drop(agent_id)
            self.changed.notify()
        self.dispatcher.task_done(agent_id, body)

    def submit(self, req, reply):
        """Pass a submission to the dispatcher, or refuse it without a lease quorum."""
        if not self.is_active:
            reply(JobAnswer.refused(req.key, refuse(ResultCode.NOT_OWNER)))
        else:
            self.dispatcher.submit(req, reply)
