"""Agent daemon: announces its target, executes tasks on it, records their results."""

import contextlib
import dataclasses
import random
import signal

import trio

from hornbeamshore.agent.configuration import AgentConfig
from hornbeamshore.agent.executor import Executor
from hornbeamshore.agent.fencing import Fencing
from hornbeamshore.agent.records import StartRecords
from hornbeamshore.agent.target import HttpTarget
from hornbeamshore.agent.uplink import Uplinks, select_entries
from hornbeamshore.base.clock import boot_time_s, new_incarnation, unix_ms
from hornbeamshore.base.codes import ResultCode, RunState, refuse
from hornbeamshore.base.logs import PartLogger, configure_logs
from hornbeamshore.base.types import Epoch, TaskResult
from hornbeamshore.wire.connection import (
    CallTimeout,
    ConnectionLost,
    MessageHandler,
)
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import (
    Acknowledge,
    Announce,
    CancelTasks,
    ConfigPull,
    ConfigUpdate,
    CopyRecords,
    CopyRecordsReply,
    Fence,
    FenceRecords,
    FenceReply,
    Heartbeat,
    Leave,
    OwnerTable,
    ProcessKind,
    Reconcile,
    ReconcileReply,
    RecordState,
    Release,
    Renew,
    RenewReply,
    Roster,
    RosterUpdate,
    Start,
    TableUpdate,
    TaskDone,
    TaskRef,
)

EXPIRY_INTERVAL_S = 5.0
EXIT_OK = 0
EXIT_INTERRUPTED = 1

log = PartLogger("agent")


class Agent(MessageHandler):
    """State and message handler of one agent.

    Parameters
    ----------
    cfg : AgentSettings
        Settings of the agent.
    secret : bytes
        Shared secret of the deployment.
    target : Target
        Back end on which tasks are executed.
    seed : int or None
        Seed of the random jitter of reconnects.
    clock : callable
        Returns the time in seconds by which pauses and the lease of the owner are
        measured; it includes the time for which the host is suspended.

    Attributes
    ----------
    identity : Identity
        Identity of this process, including its current incarnation.
    records : StartRecords
        Records of the attempts sent to this agent.
    copies : StartRecords
        Records of lost or leaving agents, replicated to this agent.
    tasks_started, starts_refused : int
        Numbers of accepted and of refused starts since the process started.
    """

    def __init__(self, cfg, secret, target, seed=None, clock=boot_time_s):
        self.cfg = cfg
        self.secret = secret
        self.clock = clock
        self.random = random.Random(seed)
        self.identity = Identity(
            cfg.deployment,
            str(ProcessKind.AGENT),
            cfg.agent_id,
            new_incarnation(),
            cfg.data_centre,
            cfg.rack,
        )
        self.records_since = self.identity.incarnation
        self.fencing = Fencing(cfg.service, cfg.wire.suspect_after, self.clock())
        self.records = StartRecords(cfg.retention)
        self.copies = StartRecords(cfg.retention)
        self.config = AgentConfig()
        self.executor = Executor(cfg.slots, target, self._report_result)
        self.uplinks = self._nursery = None
        self.roster = Roster()
        self.table = OwnerTable()
        self.partition = ""
        self.leaving = self._has_sent_records = False
        self.tasks_started = self.starts_refused = 0
        self._conns = {}
        self._last_checked_at = self._last_connected_at = self.clock()
        self._owner_changed = trio.Event()
        self._last_refusal = None
        self._handlers = {
            Start: self._handle_start,
            CancelTasks: self._handle_cancel,
            Acknowledge: self._handle_acknowledge,
            Fence: self._handle_fence,
            Renew: self._handle_renew,
            Release: self._handle_release,
            Reconcile: self._handle_reconcile,
            CopyRecords: self._handle_copy_records,
            RosterUpdate: self._handle_roster_update,
            TableUpdate: self._handle_table_update,
            ConfigUpdate: self._handle_config_update,
        }

    async def run(self):
        """Run until the agent has shut down, and return the exit code."""
        async with trio.open_nursery() as nursery:
            self.start(nursery)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                exit_code = await self._run_until_shutdown(signals)
            nursery.cancel_scope.cancel()
        return exit_code

    def start(self, nursery):
        """Start the background tasks, which run until the nursery is cancelled."""
        self._nursery = nursery
        self.uplinks = Uplinks(self, nursery)
        self.uplinks.select(self.cfg.entries)
        nursery.start_soon(self.executor.run)
        nursery.start_soon(self._run_periodic_checks)

    # Connections.

    def opened(self, conn):
        """Announce the target to an entry, closing any older connection to it."""
        if conn.peer.kind != ProcessKind.ENTRY:
            log.warning(
                "Connection closed: peer %s is not an entry.", conn.peer.process_id
            )
            conn.close()
            return
        previous = self._conns.get(conn.peer.process_id)
        self._conns[conn.peer.process_id] = conn
        if previous is not None:
            previous.close()
        self.fencing.connection_opened(_entry_key(conn))
        # The heartbeat carries the revision and goes first, so that the entry does not
        # resend a configuration that is in force here.
        conn.try_send(self.heartbeat())
        self._announce(conn)
        self._owner_changed.set()
        self._select_uplinks()

    def closed(self, conn):
        """Handle the end of a connection to an entry."""
        if self._conns.get(conn.peer.process_id) is not conn:
            return
        del self._conns[conn.peer.process_id]
        self._last_connected_at = self.clock()
        self.fencing.connection_closed(_entry_key(conn), by_peer=conn.closed_by_peer)

    def connection_refused(self, peer):
        """Handle a connection attempt that the host of an entry refused."""
        self.fencing.connection_refused((peer.process_id, peer.incarnation))

    def heartbeat(self):
        """Return a `Heartbeat` with the current versions and load."""
        return Heartbeat(
            config_revision=self.config.revision,
            table_version=self.table.version,
            slots_in_use=self.executor.in_use,
            leaving=self.leaving,
        )

    def handle(self, conn, message):
        """Dispatch a message from an entry to its handler."""
        now = self.clock()
        # A message that was queued while the process was paused may be outdated, and
        # may be read before the next periodic check.
        self._check_pause(now)
        if not conn.is_open:
            return
        handler = self._handlers.get(type(message.body))
        if handler is not None:
            handler(conn, message, now)

    def _announce(self, conn):
        cfg = self.cfg
        conn.try_send(
            Announce(
                cfg.service,
                cfg.target,
                cfg.slots,
                cfg.connections,
                cfg.labels,
                self.leaving,
                self.records_since,
            )
        )

    def _owner_conn(self):
        for conn in self._conns.values():
            if conn.is_open and self.fencing.is_owner(_entry_key(conn)):
                return conn
        return None

    # Starts and their results.

    def _handle_start(self, conn, message, now):
        start = message.body
        ref = TaskRef(start.key, start.index, start.attempt)
        refusal, should_record = self._check_start(conn, start, ref)
        if refusal is None:
            log.debug("Job %s: starting task %d.", start.key.job_id, start.index)
            self.tasks_started += 1
            self.records.add_running(ref, now, unix_ms())
            self.executor.submit(start)
            return
        self.starts_refused += 1
        result = _refused_result(ref, refusal)
        if should_record:
            self.records.add_refused(ref, result, now, unix_ms())
        conn.try_send(TaskDone(start.partition, start.key, result))

    def _check_start(self, conn, start, ref):
        """Return the refusal of a start, or None, and whether to record it."""
        # A start from a stale owner is not recorded, since the current owner may send
        # the same attempt.
        if not self.fencing.holds_epoch(_entry_key(conn), start.partition, start.epoch):
            return refuse(ResultCode.STALE_EPOCH), False
        conflicts = self._conflicting_records(ref)
        if conflicts:
            return refuse(_conflict_code(conflicts)), False
        if self.records.full:
            detail = "maximum number of start records reached"
            return refuse(ResultCode.NO_FREE_SLOT, detail), False
        if self.leaving:
            return refuse(ResultCode.AGENT_LEAVING), True
        if unix_ms() > start.expires_at_ms or start.timeout_ms <= 0:
            return refuse(ResultCode.START_EXPIRED), True
        if not self.executor.has_free_slot:
            return refuse(ResultCode.NO_FREE_SLOT), True
        return None, True

    def _conflicting_records(self, ref):
        """Return the records that prevent an attempt from starting here."""
        own = self.records.attempts(ref.key, ref.index)
        # The owner decides whether to retry a task that ran on a lost agent, so a
        # copied record only prevents the same and earlier attempts.
        recorded = own + self.copies.attempts(ref.key, ref.index)
        return [
            record
            for record in recorded
            if record.state == RecordState.RUNNING
            and record in own
            or record.attempt >= ref.attempt
        ]

    def _report_result(self, start, result):
        ref = TaskRef(start.key, start.index, start.attempt)
        self.records.store_result(ref, result, self.clock())
        conn = self._owner_conn()
        if conn is not None:
            conn.try_send(TaskDone(self.fencing.partition, start.key, result))

    def _handle_cancel(self, conn, message, _now):
        body = message.body
        if self.fencing.holds_epoch(_entry_key(conn), body.partition, body.epoch):
            for ref in body.tasks:
                self.executor.cancel(ref)

    def _handle_acknowledge(self, conn, message, now):
        if self.fencing.is_owner(_entry_key(conn)):
            for ref in message.body.tasks:
                self.records.acknowledge(ref, now)

    # Ownership.

    def _handle_fence(self, conn, message, now):
        fence = message.body
        grantable = self.fencing.check(fence, _entry_key(conn), now) == ResultCode.OK
        if grantable and fence.takes_ahead and self._unsent_blocks(set()):
            self._nursery.start_soon(self._grant_after_records, conn, message)
        else:
            self._grant(conn, message, now, set())

    async def _grant_after_records(self, conn, message):
        """Send the packed records block by block, then grant the fence.

        A single reply with 10,000 records takes 5 MB of memory. The fence is granted
        last and together with the reply that contains the remaining records, so that
        no result is reported to the new owner before it has the start record.
        """
        sent = set()
        with contextlib.suppress(ConnectionLost):
            while blocks := self._unsent_blocks(sent):
                sent.add(blocks[0])
                fence = message.body
                records = tuple(blocks[0])
                conn.send(FenceRecords(fence.partition, fence.epoch, records))
                await conn.flush()
            self._grant(conn, message, self.clock(), sent)

    def _unsent_blocks(self, sent):
        blocks = (*self.records.blocks, *self.copies.blocks)
        return [block for block in blocks if block not in sent]

    def _grant(self, conn, message, now, sent):
        fence = message.body
        code = self.fencing.grant(fence, _entry_key(conn), now)
        epoch = self.fencing.epoch
        if code != ResultCode.OK:
            self._log_refusal(conn, fence, code, now)
            reply = FenceReply(fence.partition, int(code), epoch)
        else:
            log.info(
                "Entry %s was granted partition %s.",
                conn.peer.process_id,
                fence.partition,
            )
            self._owner_changed.set()
            self._select_uplinks()
            records = self.records.all(sent) + self.copies.all(sent)
            reply = FenceReply(fence.partition, int(code), epoch, records, self.roster)
        conn.send(reply, reply_to=message.id)

    def _log_refusal(self, conn, fence, code, now):
        """Log a refused fence, once for each epoch, as a candidate repeats it."""
        refusal = (_entry_key(conn), fence.epoch, code)
        if refusal == self._last_refusal:
            return
        self._last_refusal = refusal
        log.info(
            "Entry %s was refused partition %s at epoch %s: code %d; the owner %s at "
            "epoch %s last renewed %.1f s ago.",
            conn.peer.process_id,
            fence.partition,
            Epoch.unpack(fence.epoch),
            code,
            self.fencing.owner,
            Epoch.unpack(self.fencing.epoch),
            self.fencing.silence_s(now),
        )

    def _handle_renew(self, conn, message, now):
        body = message.body
        is_renewed = self.fencing.renew(
            _entry_key(conn), body.partition, body.epoch, now
        )
        code = ResultCode.OK if is_renewed else ResultCode.STALE_EPOCH
        conn.send(RenewReply(int(code), self.fencing.epoch), reply_to=message.id)

    def _handle_release(self, conn, message, _now):
        body = message.body
        if self.fencing.release(_entry_key(conn), body.partition, body.epoch):
            log.info(
                "Entry %s released partition %s.", conn.peer.process_id, body.partition
            )

    def _handle_reconcile(self, conn, message, now):
        body = message.body
        records, refused = [], []
        for ref in body.tasks:
            record = self.records.find(ref)
            if record is not None:
                records.append(record)
                continue
            # Starts of a lower epoch are refused in any case; a record would prevent
            # the current owner from sending the same attempt.
            if body.epoch >= self.fencing.epoch:
                if self.records.full:
                    continue
                result = _refused_result(
                    ref, refuse(ResultCode.START_EXPIRED, "unknown at reconciliation")
                )
                self.records.add_refused(ref, result, now, unix_ms())
            refused.append(ref)
        reply = ReconcileReply(body.partition, tuple(records), tuple(refused))
        conn.send(reply, reply_to=message.id)

    def _handle_copy_records(self, conn, message, now):
        body = message.body
        if not self.fencing.holds_epoch(_entry_key(conn), body.partition, body.epoch):
            code = ResultCode.STALE_EPOCH
        elif self._has_sent_records:
            # The copies would end with this process.
            code = ResultCode.AGENT_LEAVING
        elif self.copies.full:
            code = ResultCode.OVERLOADED
        else:
            code = ResultCode.OK
            self.copies.add_copies(body.records, now)
        conn.send(CopyRecordsReply(int(code)), reply_to=message.id)

    def _handle_roster_update(self, conn, message, _now):
        new, old = message.body.roster, self.roster
        code = ResultCode.STALE_EPOCH
        if new.epoch >= self.fencing.epoch:
            code = ResultCode.OK
            if (new.epoch, new.version) > (old.epoch, old.version):
                self.roster = new
        conn.send(CopyRecordsReply(int(code)), reply_to=message.id)

    def _handle_table_update(self, _conn, message, _now):
        table, partition = message.body.table, message.body.partition
        is_newer = table.version > self.table.version and bool(table.entries)
        partition_changed = bool(partition) and partition != self.partition
        if is_newer:
            self.table = table
        if partition_changed:
            self.partition = partition
        if is_newer or partition_changed:
            self._select_uplinks()

    def _handle_config_update(self, conn, message, _now):
        revision, content = message.body.revision, message.body.content
        if self.config.needs_content(revision, content):
            conn.try_send(ConfigPull(self.config.revision))
        elif self.config.apply(revision, content):
            retention = self.config.current.retention
            self.records.retention = self.copies.retention = retention
            for entry_conn in self._conns.values():
                entry_conn.try_send(self.heartbeat())

    def _select_uplinks(self):
        if self.uplinks is None or not self.table.entries:
            return
        owner_id = self.fencing.owner[0] if self.fencing.owner else ""
        chosen = select_entries(self.table, self.cfg, self.partition, owner_id)
        addresses = {entry.address for entry in self.table.entries}
        self.uplinks.select(chosen, addresses - set(chosen))

    # Periodic checks.

    async def _run_periodic_checks(self):
        expire_at = self.clock() + EXPIRY_INTERVAL_S
        while True:
            await trio.sleep(self.cfg.wire.heartbeat_every)
            now = self.clock()
            self._check_pause(now)
            self._last_checked_at = now
            if (
                not self._conns
                and now - self._last_connected_at > self.cfg.wire.dead_after
            ):
                # All entries of the last owner table may have been replaced.
                self.uplinks.add(self.cfg.entries)
            if now >= expire_at:
                expire_at = now + EXPIRY_INTERVAL_S
                self.records.expire(now)
                self.copies.expire(now)

    def _check_pause(self, now):
        paused_s = now - self._last_checked_at
        if paused_s <= self.cfg.wire.dead_after:
            return
        log.warning("Process was paused for %.1f s; waiting for a new fence.", paused_s)
        self._last_checked_at = now
        self.identity = dataclasses.replace(
            self.identity, incarnation=new_incarnation()
        )
        self.fencing.invalidate_grant()
        for conn in list(self._conns.values()):
            conn.close()
        self.uplinks.reset()

    # Graceful shutdown.

    async def _run_until_shutdown(self, signals):
        await anext(signals)
        log.info("Graceful shutdown started.")
        self.leaving = True
        for conn in self._conns.values():
            self._announce(conn)
        exit_code = EXIT_OK
        async with trio.open_nursery() as nursery:

            async def exit_on_second_signal():
                nonlocal exit_code
                await anext(signals)
                exit_code = EXIT_INTERRUPTED
                nursery.cancel_scope.cancel()

            nursery.start_soon(exit_on_second_signal)
            await self._drain_and_leave()
            nursery.cancel_scope.cancel()
        return exit_code

    async def _drain_and_leave(self):
        with trio.move_on_after(self.cfg.drain_timeout) as drain_scope:
            await self.executor.wait_until_idle()
        if drain_scope.cancelled_caught:
            log.warning(
                "Drain timeout expired; cancelling %d running tasks.",
                self.executor.in_use,
            )
            self.executor.cancel_all()
            await self.executor.wait_until_idle()
        with trio.move_on_after(self.cfg.leave_timeout) as leave_scope:
            while not await self._transfer_records():
                pass
        if leave_scope.cancelled_caught:
            log.warning(
                "Leave timeout expired; %d start records were not transferred.",
                len(self.records),
            )

    async def _transfer_records(self):
        conn = self._owner_conn()
        if conn is None:
            self._owner_changed = trio.Event()
            await self._owner_changed.wait()
            return False
        try:
            self._has_sent_records = True
            leave = Leave(self.records.all() + self.copies.all())
            reply = await conn.call(leave, self.cfg.leave_timeout)
            if getattr(reply, "code", None) == ResultCode.OK:
                return True
            log.info("The owner rejected the start records.")
        except (ConnectionLost, CallTimeout) as exc:
            log.info("Transfer of the start records failed: %s", exc)
        await trio.sleep(self.cfg.wire.redial_after)
        return False


def _entry_key(conn):
    """Return the process id and incarnation of the entry at the end of a connection."""
    return conn.peer.process_id, conn.peer.incarnation


def _conflict_code(conflicts):
    """Return the code for an attempt that conflicts with recorded ones.

    A new owner may reuse the number of an attempt that was refused before it took
    over. That attempt did not run here, so the refusal must not suggest that another
    copy of the task may have run.
    """
    if all(record.state == RecordState.REFUSED for record in conflicts):
        return ResultCode.NO_FREE_SLOT
    return ResultCode.DUPLICATE_START


def _refused_result(ref, refusal):
    return TaskResult(
        ref.index,
        ref.attempt,
        int(refusal.code),
        int(RunState.NOT_RUN),
        detail=refusal.detail,
    )


async def serve(cfg, secret):
    """Run an agent until it has shut down and return its exit code."""
    configure_logs(cfg.log_level)
    agent = Agent(cfg, secret, HttpTarget(cfg))
    if cfg.metrics_address:
        from hornbeamshore.agent.metrics import serve_metrics

        serve_metrics(agent, cfg.metrics_address)
    return await agent.run()
