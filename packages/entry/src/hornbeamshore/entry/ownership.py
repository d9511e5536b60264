"""Ownership of one partition: takeover, leases, roster, handover.

One task runs the ownership of a partition on each entry, from waiting as a
candidate through the takeover to the end of its term. A child of it holds the
lease of each agent.
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
from hornbeamshore.entry.dispatcher import Dispatcher, Tenure
from hornbeamshore.entry.events import Changed
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
# An agent with many start records sends them in parts before it grants a fence.
FENCE_TIMEOUT_S = 3.0
# Pause of a candidate after a takeover that got no quorum, with jitter.
RETRY_ACQUIRE_S = 0.3
# Longest wait of a new owner with a quorum for the grants of all other agents.
COMPLETE_WAIT_S = 1.0
ROSTER_TICK_S = 0.25
# Holders of a roster besides the agent that it adds.
ROSTER_COPIES = 2
RECORD_COPIES = 2
JOBS_PER_HANDOVER = 200

log = PartLogger("owner")


class PartitionOwner:
    """Candidate for, or owner of, one partition.

    Parameters
    ----------
    partition : Partition
        What is to be owned.
    entry : EntryState
        Shared state of the process: settings, peers, agents, table.
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
        self.changed = Changed()
        self.has_ended = trio.Event()
        self._highest_epoch = NO_EPOCH
        self._leases = self._new_leases()
        self._grants = {}
        # Agent ids and incarnations whose start records came with a grant of this
        # term. They stay known when the agent's connection ends.
        self._known_records = set()
        self._holding = set()
        self._handover = None
        self._handover_jobs = []
        self._handover_epoch = 0
        self._found_roster_epoch = 0
        self._founded_first = False
        self._known_complete = False
        self._since_ms = 0
        self._committed = None
        self._early_outcomes = []
        # By agent id and incarnation: a replaced agent may come back under its id.
        self._left = {}
        self._ahead = {}
        self._stop = False
        self._rng = random.Random(f"{entry.identity.process_id}/{partition}")

    def _new_leases(self):
        lease_s = self.entry.cfg.wire.suspect_after - self.cfg.lease_margin
        return LeaseSet(lease_s)

    @property
    def is_active(self):
        """Return whether this entry may accept work for the partition now."""
        return self.dispatcher.is_active and self._has_quorum()

    def _has_quorum(self):
        now = trio.current_time()
        return self._leases.has_quorum(rosters.live_ids(self.roster), now)

    # Hooks of connections

    def stale(self, epoch):
        """Note an epoch that another entry was granted."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self.changed.notify()
        if self._handover is not None and epoch.pack() > self._handover.epoch:
            # Another entry has owned the partition since.
            self._handover = None

    def records_ahead(self, conn, body):
        """Keep start records that an agent sends ahead of its grant."""
        if conn in self._ahead and body.epoch == self.epoch.pack():
            self._ahead[conn].extend(body.records)

    def roster_told(self, roster):
        """Take the roster that the partition's owner told."""
        self.roster = rosters.newest((self.roster, roster))

    def handover_told(self, body):
        """Take a part of a handover by the leaving owner; return the reply."""
        if body.epoch != self._handover_epoch:
            self._handover_epoch, self._handover_jobs = body.epoch, []
        self._handover_jobs.extend(body.jobs)
        self.stale(Epoch.unpack(body.epoch))
        if body.last:
            self.roster_told(body.roster)
            self._handover = body
            self.changed.notify()
        return HandoverReply(int(ResultCode.OK))

    def resign(self):
        """Hand the partition over, if it is owned, and own it no more.

        Without a successor the term goes on until no job is open. `has_ended` is
        set at the end.
        """
        self._stop = True
        self.changed.notify()

    # The task

    async def run(self):
        """Own the partition whenever this entry is its first live candidate."""
        while not self._stop:
            await self.changed.wait_until(self._should_own)
            if self._stop:
                break
            async with trio.open_nursery() as nursery:
                await self._serve_term(nursery)
                nursery.cancel_scope.cancel()
            if not self._stop:
                pause = RETRY_ACQUIRE_S * self._rng.uniform(0.5, 1.5)
                await trio.sleep(pause)
        self.has_ended.set()

    def _should_own(self):
        if self._stop or self._handover is not None:
            return True
        return self.entry.first_candidate(self.partition) == self.entry.entry_id

    async def _serve_term(self, nursery):
        """Run one term: acquire, serve until it ends, give up what is held."""
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
        self._grants = {}
        self._known_records = set()
        self._holding = set()
        self._early_outcomes = []
        self._committed = None
        self._founded_first = False
        log.info("Acquiring %s at %s.", self.name, self.epoch)

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
        for agent_id in list(self._grants):
            link = self.entry.agents.get(agent_id)
            if link is not None:
                link.conn.try_send(Release(self.name, self.epoch.pack()))
        if was_active:
            log.info("Gave up %s at %s.", self.name, self.epoch)
            self.entry.announce_owner(OwnerNotice(self.name, self.epoch.pack(), ""))

    # Acquiring

    async def _acquire(self):
        """Return whether a quorum of agents granted the epoch in time."""
        if not rosters.live_ids(self.roster):
            # Agents may hold a roster that this process has not heard of yet.
            await self.changed.wait_until(
                lambda: bool(self._holding), self.cfg.acquire_timeout
            )
        won = await self.changed.wait_until(
            self._may_activate, self.cfg.acquire_timeout
        )
        if not won:
            log.info("No quorum for %s at %s.", self.name, self.epoch)
            return False
        # Fronts wait meanwhile; without this, keys of the time before the takeover
        # would be answered as unknown until the last agent has granted.
        await self.changed.wait_until(
            lambda: self._highest_epoch > self.epoch or self._is_accounted_for(),
            COMPLETE_WAIT_S,
        )
        if self._highest_epoch > self.epoch:
            return False
        if not rosters.live_ids(self.roster) and not await self._found():
            return False
        self._found_roster_epoch = self.roster.epoch
        if not await self._commit(rosters.at_epoch(self.roster, self.epoch.pack())):
            return False
        self._activate()
        return True

    def _may_activate(self):
        if self._highest_epoch > self.epoch:
            return True
        settled = all(agent_id in self._grants for agent_id in self._holding)
        live = rosters.live_ids(self.roster)
        return self._has_quorum() if live else settled

    async def _found(self):
        """Return whether the store made this entry the partition's first owner.

        Without a roster nothing but the store can exclude another first owner. A
        partition that had an owner before is founded anew only if nobody can know
        of a roster: each entry of the table is connected and told none, and agents
        are connected that hold none. An entry that was merely cut off from all
        agents must not found a second owner beside the first.
        """
        if self.name in self.entry.table.owned and not self._is_orphaned():
            log.info("%s has an owner elsewhere or no agent yet.", self.name)
            return False
        first = await self.entry.membership.found_partition(self.partition)
        self._founded_first = bool(first)
        return first is not None

    def _is_orphaned(self):
        others = [
            item.entry_id
            for item in self.entry.table.entries
            if item.entry_id != self.entry.entry_id
        ]
        return bool(self._grants) and all(map(self.entry.peers.get, others))

    def _activate(self):
        handover = self._take_handover()
        self._known_complete = self._founded_first or (
            handover is not None and handover.complete
        )
        self._since_ms = unix_ms()
        if handover is not None and not handover.complete:
            self._since_ms = handover.taken_over_at_ms
        self.dispatcher.configure(self.entry.deployment())
        if handover is not None:
            self.dispatcher.take_over(handover.jobs)
        for agent_id, reply in self._grants.items():
            self.dispatcher.merge_records(agent_id, reply.records)
        self._update_tenure()
        for agent_id, body in self._early_outcomes:
            self.dispatcher.task_done(agent_id, body)
        for agent_id in self._grants:
            self._use_if_listed(agent_id)
        self.dispatcher.resume_queued()
        log.info("Active owner of %s at %s.", self.name, self.epoch)
        notice = OwnerNotice(self.name, self.epoch.pack(), self.entry.entry_id)
        self.entry.announce_owner(notice)

    def _take_handover(self):
        """Return the whole handover of the last owner, or None if there is none.

        An owner after the one that handed over would have left a roster of its own
        epoch with a quorum of the agents.
        """
        handover, self._handover = self._handover, None
        jobs, self._handover_jobs = self._handover_jobs, []
        if handover is None or handover.epoch < self._found_roster_epoch:
            return None
        return replace(handover, jobs=tuple(jobs))

    def _update_tenure(self):
        # Once all is known it stays so: no other entry starts work meanwhile.
        self._known_complete = self._known_complete or self._is_accounted_for()
        tenure = Tenure(self.epoch.pack(), self._since_ms, self._known_complete)
        if tenure != self.dispatcher.tenure:
            self.dispatcher.activate(tenure)

    def _is_accounted_for(self):
        now_ms = unix_ms()
        retention_ms = self.dispatcher.book.retention_s * 1000
        if self.dispatcher.is_active and now_ms - self._since_ms > retention_ms:
            return True
        if not self.roster.entries:
            return False
        known = rosters.without_expired(self.roster, now_ms, retention_ms)
        return not rosters.unaccounted(known, self._known_records)

    # Serving

    async def _serve(self):
        """Return when the term ends: lost, or handed over to a better candidate."""
        while True:
            if self._highest_epoch > self.epoch or not self._has_quorum():
                log.warning("Lost %s at %s.", self.name, self.epoch)
                return
            successor = self._successor()
            if successor is not None:
                await self._hand_over(successor)
                return
            if self._stop and not self.dispatcher.book.open_jobs():
                return
            self._update_tenure()
            with trio.move_on_after(self.cfg.renew_every / 2):
                await self.changed.wait()

    def _successor(self):
        """Return a connection to the entry that should own the partition instead."""
        if self._stop:
            candidate = self.entry.next_candidate(self.partition)
        else:
            candidate = self.entry.first_candidate(self.partition)
        if candidate in (None, self.entry.entry_id):
            return None
        return self.entry.peers.get(candidate)

    async def _hand_over(self, conn):
        """Give all records to a successor.

        Nothing is accepted from the first record on, and the term ends behind the
        last, even if the successor did not confirm: it may have the records.
        """
        log.info("Handing %s over to %s.", self.name, conn.peer.process_id)
        tenure = self.dispatcher.suspend()
        jobs = [to_record(job) for job in self.dispatcher.book]
        parts = [
            tuple(jobs[start : start + JOBS_PER_HANDOVER])
            for start in range(0, len(jobs), JOBS_PER_HANDOVER)
        ] or [()]
        try:
            for number, part in enumerate(parts, 1):
                body = Handover(
                    self.name,
                    self.epoch.pack(),
                    part,
                    self.roster,
                    number == len(parts),
                    tenure.complete,
                    tenure.since_ms,
                )
                await conn.call(body, CALL_TIMEOUT_S)
        except (ConnectionLost, CallTimeout):
            log.warning("Handover of %s broke off.", self.name)

    # Agents

    async def _watch_agents(self, nursery):
        """Hold the lease of each agent of the partition as agents come and go."""
        while True:
            for link in self.entry.links_of(self.partition):
                if link.leaving:
                    self.dispatcher.agent_leaving(link.agent_id)
                if link.agent_id not in self._holding and link.conn.is_open:
                    self._holding.add(link.agent_id)
                    self.changed.notify()
                    nursery.start_soon(self._hold_agent, link)
            await self.entry.agents.changed.wait()

    async def _hold_agent(self, link):
        """Fence an agent, then renew its lease until its connection ends."""
        try:
            if await self._fence(link):
                await self._reconcile(link)
                self._use_if_listed(link.agent_id)
                await self._renew(link)
        except (ConnectionLost, CallTimeout) as exc:
            log.info("Agent %s: %s", link.agent_id, exc)
        finally:
            self._holding.discard(link.agent_id)
            self._leases.drop(link.agent_id)
            self.dispatcher.agent_gone(link.agent_id)
            self.changed.notify()
            if self._highest_epoch == self.epoch:
                self.entry.agents.changed.notify()

    async def _fence(self, link):
        """Return whether an agent granted the epoch; keep what it told."""
        while self._highest_epoch == self.epoch:
            sent_at = trio.current_time()
            self._ahead[link.conn] = []
            body = Fence(self.name, self.epoch.pack(), takes_ahead=True)
            try:
                reply = await link.conn.call(body, FENCE_TIMEOUT_S)
            finally:
                ahead = tuple(self._ahead.pop(link.conn))
            if reply.code == ResultCode.OK:
                reply = replace(reply, records=ahead + reply.records)
                self._granted(link, reply, sent_at)
                return True
            if reply.code == ResultCode.STALE_EPOCH:
                self.stale(Epoch.unpack(reply.epoch))
                return False
            self.roster = rosters.newest((self.roster, reply.roster))
            await trio.sleep(self.cfg.renew_every / 2)
        return False

    def _granted(self, link, reply, sent_at):
        self._leases.confirm(link.agent_id, link.incarnation, sent_at)
        self._grants[link.agent_id] = reply
        self._known_records.add((link.agent_id, link.incarnation))
        if self.dispatcher.is_active:
            self.dispatcher.merge_records(link.agent_id, reply.records)
            self._update_tenure()
        else:
            self.roster = rosters.newest((self.roster, reply.roster))
        self.changed.notify()

    async def _reconcile(self, link):
        """Ask an agent for the tasks that were sent over an earlier connection.

        Only the incarnation to which they were sent can tell that it never received
        them; a restarted agent has no records, and the tasks may have run.
        """
        tasks = self.dispatcher.running_on(link.agent_id)
        if not tasks:
            return
        if not rosters.lists(self.roster, link.agent_id, link.incarnation):
            return
        body = Reconcile(self.name, self.epoch.pack(), tasks)
        reply = await link.conn.call(body, CALL_TIMEOUT_S)
        self.dispatcher.merge_records(link.agent_id, reply.records)
        for ref in reply.refused:
            self.dispatcher.never_received(link.agent_id, ref)

    async def _renew(self, link):
        while link.conn.is_open:
            await trio.sleep(self.cfg.renew_every)
            sent_at = trio.current_time()
            body = Renew(self.name, self.epoch.pack())
            reply = await link.conn.call(body, CALL_TIMEOUT_S)
            if reply.code != ResultCode.OK:
                self.stale(Epoch.unpack(reply.epoch))
                return
            self._leases.confirm(link.agent_id, link.incarnation, sent_at)

    def _use_if_listed(self, agent_id):
        """Let the dispatcher use an agent that a committed roster lists."""
        link = self.entry.agents.get(agent_id)
        if link is None or self._committed is None:
            return
        if rosters.lists(self._committed, agent_id, link.incarnation):
            self.dispatcher.agent_ready(link)
            if link.leaving:
                self.dispatcher.agent_leaving(agent_id)

    # Roster

    async def _maintain_roster(self):
        """Commit one change of the roster at a time."""
        while True:
            proposal = await self._next_roster()
            if proposal is not None and await self._commit(proposal):
                for agent_id in self._leases.incarnations:
                    if not self.dispatcher.uses(agent_id):
                        self._use_if_listed(agent_id)
                self._update_tenure()
                continue
            with trio.move_on_after(ROSTER_TICK_S):
                await self.changed.wait()

    async def _next_roster(self):
        """Return the roster with the next change that is due, or None."""
        now_ms = unix_ms()
        for (agent_id, incarnation), copied in self._left.items():
            if rosters.lists(self.roster, agent_id, incarnation):
                return rosters.with_lost(
                    self.roster, agent_id, now_ms, accounted_for=copied
                )
        for agent_id, incarnation in self._leases.incarnations.items():
            link = self.entry.agents.get(agent_id)
            if link is None or link.leaving:
                continue
            if rosters.lists(self.roster, agent_id, incarnation):
                continue
            if agent_id in rosters.live_ids(self.roster):
                # An earlier incarnation: its process has ended.
                return await self._without_agent(agent_id)
            return rosters.with_agent(
                self.roster, agent_id, incarnation, link.rack, now_ms
            )
        dead_after = self.entry.cfg.wire.dead_after
        for agent_id in rosters.live_ids(self.roster):
            gone_s = self.entry.agents.gone_for(agent_id, trio.current_time())
            if gone_s > dead_after:
                return await self._without_agent(agent_id)
        retention_ms = self.dispatcher.book.retention_s * 1000
        rest = rosters.without_expired(self.roster, now_ms, retention_ms)
        return rest if rest is not self.roster else None

    async def _without_agent(self, agent_id):
        log.warning("Agent %s is lost.", agent_id)
        self.dispatcher.agent_lost(agent_id)
        records = self.dispatcher.records_of(agent_id)
        copied = self._knows_records_of(agent_id)
        copied = copied and await self.copy_records(agent_id, records)
        return rosters.with_lost(self.roster, agent_id, unix_ms(), accounted_for=copied)

    def _knows_records_of(self, agent_id):
        """Return whether the book has all start records of a live agent.

        An agent that was lost before it granted this owner's fence may have run
        tasks of an earlier owner, so copies of what is known account for nothing.
        """
        return self._known_complete or any(
            item.live and (item.agent_id, item.incarnation) in self._known_records
            for item in self.roster.entries
            if item.agent_id == agent_id
        )

    async def copy_records(self, agent_id, records):
        """Give an agent's start records to others; return whether enough have them."""
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

    async def _commit(self, proposal):
        """Return whether enough agents and entries confirmed a roster.

        A quorum of the agents of both the old and the new roster must confirm, so
        that each later owner meets the newest one.
        """
        old_live = rosters.live_ids(self.roster)
        new_live = rosters.live_ids(proposal)
        confirmed = await self._tell_roster(proposal)
        agents = confirmed & (old_live | new_live)
        old_ok = not old_live or is_quorum(agents, old_live)
        others = len(confirmed - (new_live - old_live))
        needed = min(ROSTER_COPIES, len(old_live) + len(self.entry.peers.all()))
        if not (old_ok and is_quorum(agents, new_live) and others >= needed):
            return False
        self.roster = self._committed = proposal
        return True

    async def _tell_roster(self, roster):
        body = RosterUpdate(self.name, roster)
        confirmed = set()

        async def tell(conn):
            try:
                reply = await conn.call(body, CALL_TIMEOUT_S)
            except (ConnectionLost, CallTimeout):
                return
            if reply.code == ResultCode.OK:
                confirmed.add(conn.peer.process_id)

        async with trio.open_nursery() as nursery:
            for link in self.entry.links_of(self.partition):
                if link.agent_id in self._grants:
                    nursery.start_soon(tell, link.conn)
            for conn in self.entry.peers.all():
                nursery.start_soon(tell, conn)
        return confirmed

    async def agent_left(self, link, records):
        """Take the records of an agent that ends as planned; return if kept."""
        if not self.is_active:
            return False
        self.dispatcher.merge_records(link.agent_id, records)
        self.dispatcher.agent_left(link.agent_id, records)
        kept = self.dispatcher.records_of(link.agent_id)
        copied = await self.copy_records(link.agent_id, kept)
        self._left[link.agent_id, link.incarnation] = copied
        self.changed.notify()
        return True

    def task_done(self, agent_id, body):
        """Give an outcome to the dispatcher; a stale epoch ends the agent's use.

        An outcome that an agent reports between its grant and the activation is
        kept until then: the records that came with the grant call the task running.
        """
        if not self.dispatcher.is_active:
            self._early_outcomes.append((agent_id, body))
            return
        if body.result.code == ResultCode.STALE_EPOCH:
            self.dispatcher.agent_gone(agent_id)
            self._leases.drop(agent_id)
            self.changed.notify()
        self.dispatcher.task_done(agent_id, body)

    def submit(self, req, reply):
        """Give a submission to the dispatcher while the lease quorum holds."""
        if not self.is_active:
            reply(JobAnswer.refused(req.key, refuse(ResultCode.NOT_OWNER)))
        else:
            self.dispatcher.submit(req, reply)
