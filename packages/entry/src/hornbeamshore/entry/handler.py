"""Handlers of messages from agents, other entries and operators."""

import json

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.base.logs import PartLogger
from hornbeamshore.base.types import JobAnswer, Partition
from hornbeamshore.entry import reporting
from hornbeamshore.entry.agents import link_of
from hornbeamshore.wire.connection import MessageHandler
from hornbeamshore.wire.messages import (
    Announce,
    ConfigPull,
    ConfigUpdate,
    CopyRecordsReply,
    FenceRecords,
    Handover,
    HandoverReply,
    Heartbeat,
    JobCancel,
    JobQuery,
    Leave,
    LeaveReply,
    OwnerNotice,
    ProcessKind,
    RosterUpdate,
    StatusQuery,
    StatusReply,
    Submit,
    SubmitReply,
    TableUpdate,
    TaskDone,
)

log = PartLogger("entry")


class EntryHandler(MessageHandler):
    """Message handler of all connections of an entry.

    Parameters
    ----------
    entry : EntryState
        Shared state of the process.
    nursery : trio.Nursery
        Runs the tasks that copy a leaving agent's records and then reply to it.
    """

    def __init__(self, entry, nursery):
        self._entry = entry
        self._nursery = nursery
        self._handlers = {
            Announce: self._agent_announced,
            TaskDone: self._task_done,
            FenceRecords: self._fence_records,
            Leave: self._agent_leave,
            Heartbeat: self._heartbeat,
            TableUpdate: self._table_update,
            OwnerNotice: self._owner_notice,
            ConfigPull: self._config_pull,
            ConfigUpdate: self._config_update,
            Submit: self._owner_call,
            JobQuery: self._owner_call,
            JobCancel: self._owner_call,
            Handover: self._handover,
            RosterUpdate: self._roster_update,
            StatusQuery: self._status_query,
        }

    def opened(self, conn):
        """Send a new peer the state that it may lack."""
        if conn.peer.kind == ProcessKind.ENTRY:
            self._entry.peers.opened(conn)
            for body in (*self._entry.own_notices(), *self._entry.own_rosters()):
                conn.try_send(body)
            self._entry.notify_owners()
        # Agents get the table once they have announced their service.
        if self._entry.table.version and conn.peer.kind == ProcessKind.ENTRY:
            conn.try_send(TableUpdate(self._entry.table))
        conn.try_send(self.heartbeat())

    def closed(self, conn):
        """Remove a closed connection."""
        if conn.peer.kind == ProcessKind.ENTRY:
            self._entry.peers.closed(conn)
            self._entry.notify_owners()
        elif conn.peer.kind == ProcessKind.AGENT:
            self._entry.agents.closed(conn)
            self._entry.slices.closed(conn)

    def heartbeat(self):
        """Return the `Heartbeat` with the revisions that this entry has in force."""
        return self._entry.heartbeat()

    def handle(self, conn, message):
        """Handle a message; close the connection if the peer may not send it."""
        handler = self._handlers.get(type(message.body))
        if handler is None or not _may_send(conn.peer.kind, message.body):
            log.warning(
                "Closing the connection of %s: unexpected message %s.",
                conn.peer.process_id,
                type(message.body).__name__,
            )
            conn.close()
            return
        handler(conn, message)

    # Agents

    def _agent_announced(self, conn, message):
        link = link_of(conn, message.body)
        self._entry.agents.announced(link)
        self._entry.slices.send_update(link)
        if self._entry.table.version:
            self._entry.send_table(link)

    def _task_done(self, conn, message):
        owner = self._find_owner(message.body.partition)
        if owner is not None:
            owner.task_done(conn.peer.process_id, message.body)

    def _fence_records(self, conn, message):
        owner = self._find_owner(message.body.partition)
        if owner is not None:
            owner.buffer_early_records(conn, message.body)

    def _agent_leave(self, conn, message):
        self._nursery.start_soon(self._copy_leaving_records, conn, message)

    async def _copy_leaving_records(self, conn, message):
        link = self._entry.agents.get(conn.peer.process_id)
        copied = False
        for owner in list(self._entry.owners.values()):
            if link is not None and link in self._entry.links_of(owner.partition):
                copied = (
                    await owner.process_agent_leave(link, message.body.records)
                    or copied
                )
        code = ResultCode.OK if copied else ResultCode.NOT_OWNER
        conn.try_send(LeaveReply(int(code)), message.id)

    # Entries

    def _heartbeat(self, conn, message):
        heartbeat, entry = message.body, self._entry
        if conn.peer.kind == ProcessKind.ENTRY and heartbeat.leaving:
            entry.peers.mark_leaving(conn.peer.process_id)
            entry.notify_owners()
        if conn.peer.kind == ProcessKind.AGENT:
            entry.slices.record_revision(conn, heartbeat.config_revision)
        elif heartbeat.config_revision > entry.replica.revision:
            conn.try_send(ConfigPull(entry.replica.revision))
        if heartbeat.table_version >= entry.table.version:
            return
        link = entry.agents.get(conn.peer.process_id)
        if link is not None and link.conn is conn:
            entry.send_table(link)
        elif conn.peer.kind == ProcessKind.ENTRY:
            conn.try_send(TableUpdate(entry.table))

    def _table_update(self, conn, message):
        self._entry.adopt_table(message.body.table)

    def _owner_notice(self, conn, message):
        self._entry.record_owner_notice(message.body)

    def _config_pull(self, conn, message):
        replica = self._entry.replica
        if conn.peer.kind == ProcessKind.AGENT:
            link = self._entry.agents.get(conn.peer.process_id)
            if link is not None and link.conn is conn:
                self._entry.slices.send_content(link)
        elif replica.revision > message.body.known_revision:
            conn.try_send(ConfigUpdate(replica.revision, replica.content))

    def _config_update(self, conn, message):
        self._entry.replica.update(message.body.revision, message.body.content)

    def _owner_call(self, conn, message):
        body = message.body
        key = body.request.key if isinstance(body, Submit) else body.key
        partition = self._entry.partition_of_key(key)

        def reply(answer):
            conn.try_send(SubmitReply(answer), message.id)

        if partition is None:
            reply(JobAnswer.refused(key, refuse(ResultCode.NOT_OWNER)))
        else:
            self._entry.serve_owner_call(partition, body, reply)

    def _handover(self, conn, message):
        owner = self._find_owner(message.body.partition)
        if owner is None:
            reply = HandoverReply(int(ResultCode.NOT_CONFIGURED))
        else:
            reply = owner.buffer_handover(message.body)
        conn.try_send(reply, message.id)

    def _roster_update(self, conn, message):
        owner = self._find_owner(message.body.partition)
        if owner is not None:
            owner.adopt_roster(message.body.roster)
        code = ResultCode.OK if owner is not None else ResultCode.NOT_CONFIGURED
        conn.try_send(CopyRecordsReply(int(code)), message.id)

    # Operators

    def _status_query(self, conn, message):
        if message.body.topic == "burn":
            report = reporting.burn_report(self._entry)
        else:
            report = reporting.status_report(self._entry)
        conn.try_send(StatusReply(json.dumps(report)), message.id)

    def _find_owner(self, partition_name):
        try:
            return self._entry.owners.get(Partition.parse(partition_name))
        except ValueError:
            return None


_AGENT_MESSAGES = (
    Announce,
    TaskDone,
    FenceRecords,
    Leave,
    Heartbeat,
    TableUpdate,
    ConfigPull,
)
_OPERATOR_MESSAGES = (StatusQuery, Heartbeat)
_ENTRY_MESSAGES = (
    Heartbeat,
    TableUpdate,
    OwnerNotice,
    ConfigPull,
    ConfigUpdate,
    Submit,
    JobQuery,
    JobCancel,
    Handover,
    RosterUpdate,
    StatusQuery,
)
_ALLOWED_MESSAGES = {
    ProcessKind.AGENT: _AGENT_MESSAGES,
    ProcessKind.OPERATOR: _OPERATOR_MESSAGES,
    ProcessKind.ENTRY: _ENTRY_MESSAGES,
}


def _may_send(kind, body):
    return isinstance(body, _ALLOWED_MESSAGES.get(kind, ()))
