"""Messages of the protocol between processes, as frozen data classes.

The fields of each class have the names of its struct in ``idl/hornbeamshore.thrift``.
Points in time (``_at_ms``) are in milliseconds of Unix time.
"""

import enum
from dataclasses import dataclass

from hornbeamshore.base.types import (
    JobAnswer,
    JobKey,
    JobRequest,
    TaskResult,
    TaskSpec,
)

PROTOCOL_VERSION = 1
# Detail of a result whose body was discarded after delivery. Entries compare it with
# details from other processes, so the text is part of the protocol.
RESULT_DISCARDED_DETAIL = "The result was answered once and is no longer kept."


class ProcessKind(enum.StrEnum):
    """Kind of process at one end of a connection."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


class RecordState(enum.IntEnum):
    """State of a task attempt in a start record."""

    RUNNING = 1
    ENDED = 2
    REFUSED = 3
    QUEUED = 4


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a handshake: identity and nonce of the connecting process."""

    deployment: str
    kind: str
    process_id: str
    incarnation: int
    protocol_version: int
    data_centre: str
    rack: str
    address: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Reply to `Hello`: identity, nonce and proof of the accepting process."""

    kind: str
    process_id: str
    incarnation: int
    protocol_version: int
    data_centre: str
    rack: str
    address: str
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """Proof of the connecting process: an HMAC with the deployment secret."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """End of a successful handshake."""

    config_revision: int = 0
    table_version: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """End of a failed handshake; `code` is a `ResultCode` value."""

    code: int
    detail: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keep-alive, sent when no other message was sent during the heartbeat interval."""

    config_revision: int = 0
    table_version: int = 0
    slots_in_use: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Announce:
    """Capacity of an agent and its target, announced to a connected entry.

    `records_since` is the incarnation with which the agent's process started. An agent
    that was suspended resumes with a new incarnation but keeps its start records.
    """

    service: str
    target: str
    slots: int
    connections: int
    labels: tuple[str, ...] = ()
    leaving: bool = False
    records_since: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Order from the owner of a partition to start one attempt of a task.

    `expires_at_ms` is the time after which the agent refuses to start the attempt;
    `timeout_ms` is the maximum duration of the run.
    """

    partition: str
    epoch: int
    key: JobKey
    index: int
    attempt: int
    kind: str
    spec: TaskSpec
    expires_at_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class TaskDone:
    """Outcome of a `Start`: the result of the attempt, or its refusal."""

    partition: str
    key: JobKey
    result: TaskResult


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identifier of one attempt of a task."""

    key: JobKey
    index: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Acknowledges task results; the agent may discard their bodies."""

    partition: str
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class CancelTasks:
    """Order to cancel tasks; one message covers all tasks cancelled together."""

    partition: str
    epoch: int
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class StartRecord:
    """Recorded state of one attempt; `state` is a `RecordState` value."""

    key: JobKey
    index: int
    attempt: int
    state: int
    started_at_ms: int
    result: TaskResult | None = None
    agent_id: str = ""


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """State of one agent of a partition, as known to the partition's owner.

    `accounted_for` says whether other agents hold copies of the start records of a
    lost agent.
    """

    agent_id: str
    incarnation: int
    live: bool
    accounted_for: bool
    lost_at_ms: int
    rack: str


@dataclass(frozen=True, slots=True)
class Roster:
    """Agents of a partition; rosters are ordered by (epoch, version)."""

    epoch: int = 0
    version: int = 0
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Fence:
    """Request from an entry for ownership of a partition at an epoch.

    `takes_ahead` says whether the entry accepts `FenceRecords` before the reply.
    """

    partition: str
    epoch: int
    takes_ahead: bool = False


@dataclass(frozen=True, slots=True)
class FenceRecords:
    """Settled start records, sent by an agent in parts before its `FenceReply`."""

    partition: str
    epoch: int
    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class FenceReply:
    """Reply to `Fence`: the epoch granted by the agent, its records and its roster.

    `records` omits the records already sent as `FenceRecords`.
    """

    partition: str
    code: int
    epoch: int
    records: tuple[StartRecord, ...] = ()
    roster: Roster = Roster()


@dataclass(frozen=True, slots=True)
class Renew:
    """Request to renew the lease that an agent granted together with an epoch."""

    partition: str
    epoch: int


@dataclass(frozen=True, slots=True)
class RenewReply:
    """Reply to `Renew`: whether the epoch is still valid, and the current epoch."""

    code: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Release:
    """The owner releases the partition; any candidate may send `Fence` immediately."""

    partition: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Reconcile:
    """Request for the outcome of attempts whose agent connection was lost."""

    partition: str
    epoch: int
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class ReconcileReply:
    """Reply to `Reconcile`: start records, and attempts that will never start."""

    partition: str
    records: tuple[StartRecord, ...]
    refused: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class CopyRecords:
    """Start records of a lost or leaving agent, replicated to another agent."""

    partition: str
    epoch: int
    agent_id: str
    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class CopyRecordsReply:
    """Reply to `CopyRecords`; `code` is a `ResultCode` value."""

    code: int


@dataclass(frozen=True, slots=True)
class RosterUpdate:
    """Roster of a partition, sent by its owner to agents and candidates for storage."""

    partition: str
    roster: Roster


@dataclass(frozen=True, slots=True)
class Leave:
    """Last message of an agent that shuts down gracefully, with its start records."""

    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """Reply to `Leave`; with code OK the records are stored and the agent may exit."""

    code: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Job submission forwarded by an entry to the owner of the job's partition."""

    request: JobRequest
    table_version: int


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """Reply to `Submit`, `JobQuery` and `JobCancel`."""

    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Request for the answer of a job; `wait` delays the reply until the job ends."""

    key: JobKey
    wait: bool = False


@dataclass(frozen=True, slots=True)
class JobCancel:
    """Request to cancel a job."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class JobRecord:
    """State of a job, as transferred in a `Handover`.

    `request` is None if only start records of the job are known; `answer` is set once
    the job has ended.
    """

    key: JobKey
    request: JobRequest | None
    accepted_at_ms: int
    answer: JobAnswer | None = None
    tasks: tuple[StartRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Handover:
    """Job records that a leaving owner transfers to its successor.

    `last` marks the final message of the transfer. `complete` says whether the
    leaving owner's records include all jobs of earlier owners; if not, they cover the
    jobs submitted since `taken_over_at_ms`.
    """

    partition: str
    epoch: int
    jobs: tuple[JobRecord, ...]
    roster: Roster = Roster()
    last: bool = False
    complete: bool = False
    taken_over_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class HandoverReply:
    """Reply to `Handover`; `code` is a `ResultCode` value."""

    code: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TableEntry:
    """One entry process of the owner table."""

    entry_id: str
    incarnation: int
    address: str
    data_centre: str
    rack: str


@dataclass(frozen=True, slots=True)
class OwnerTable:
    """Entry processes of a region; the version increases with each change.

    `owned` lists every partition that has ever had an owner.
    """

    version: int = 0
    entries: tuple[TableEntry, ...] = ()
    owned: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Owner table, sent to a peer that has an older version.

    `partition` is the partition of the receiving agent, which keeps connections to the
    candidates for it; empty if the receiver is an entry or the partition is unknown.
    """

    table: OwnerTable
    partition: str = ""


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Notification that an entry owns a partition at an epoch."""

    partition: str
    epoch: int
    entry_id: str


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Request for the configuration if it is newer than the known revision."""

    known_revision: int


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Configuration at a revision.

    Entries receive the stored form. Agents receive the slice of their service, or only
    its `content_digest` if they are expected to have the content already.
    """

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Request for a JSON report; the topic is ``status`` or ``burn`` (burn rates)."""

    topic: str


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply to `StatusQuery`: a JSON report."""

    content: str


@dataclass(frozen=True, slots=True)
class Resources:
    """Quantities of CPU (thousandths of a core), memory (MB) and GPUs."""

    cpu_millis: int = 0
    mem_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.mem_mb + other.mem_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.mem_mb - other.mem_mb,
            self.gpus - other.gpus,
        )

    def fits_in(self, available):
        """Return whether no quantity exceeds that of the available resources."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.mem_mb <= available.mem_mb
            and self.gpus <= available.gpus
        )


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Order for one run of a task; `run_id` is unique within the ordering process.

    An isolated run is one of a task that is suspected of crashing targets.
    """

    run_id: int
    step: int
    index: int
    attempt: int
    needs: Resources
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class RunTasks:
    """Request from an entry to an agent to run tasks of one job."""

    job_id: str
    spec: str
    orders: tuple[RunOrder, ...]
    queue: str = ""


@dataclass(frozen=True, slots=True)
class StopRuns:
    """Request to stop runs; the agent reports each with a `RunEnd`."""

    run_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Request of an entry to another one to cancel the jobs that it runs."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CancelJobsReply:
    """Ids of the requested jobs that were in progress."""

    found: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AckRuns:
    """Acknowledges the `RunEnd` of runs, which the agent then stops reporting."""

    run_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run: the target does not execute it and will not resume it.

    `code` is a `ResultCode` value and `run_state` a `RunState` value.
    """

    run_id: int
    code: int
    run_state: int
    run_time_us: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TargetDescription:
    """Properties of a target, which rarely change.

    Attributes
    ----------
    target : str
        Id of the target's incarnation.
    service : str
        Service whose tasks the target runs.
    labels : tuple of str
        Labels that tasks can require.
    capacity : Resources
        Total resources of the target.
    """

    target: str
    service: str
    labels: tuple[str, ...]
    capacity: Resources


@dataclass(frozen=True, slots=True)
class LostRun:
    """Run that was lost with its target.

    Attributes
    ----------
    job_id : str
        Job of the run.
    step, index : int
        Task of the run.
    queue : str
        Queue of the job.
    age_ms : int
        Milliseconds from the start of the run to the last answer of the target; -1 less
        this time if the target may not have been running it when it was lost, because
        its start was neither answered nor listed, or its stop was sent.
    isolated : bool
        Whether it was ordered as an isolated run.
    """

    job_id: str
    step: int
    index: int
    queue: str
    age_ms: int
    isolated: bool = False

    @property
    def was_running(self):
        """Whether the target was certainly running it when it was lost."""
        return self.age_ms >= 0

    @property
    def answered_age_ms(self):
        """Milliseconds from the start of the run to the last answer of the target."""
        return self.age_ms if self.was_running else -1 - self.age_ms


@dataclass(frozen=True, slots=True)
class TargetLoss:
    """Loss of a target during runs.

    Attributes
    ----------
    number : int
        Number of the loss, which grows during the life of the agent process. A loss
        is reported again under its number once the target is known to have crashed.
    crashed : bool
        Whether the target is known to have crashed; it may have been only silent
        otherwise.
    elapsed_ms : int
        Milliseconds from the loss to the report.
    runs : tuple of LostRun
        Runs of all entries that were lost.
    """

    number: int
    crashed: bool
    elapsed_ms: int
    runs: tuple[LostRun, ...]


@dataclass(frozen=True, slots=True)
class AgentReport:
    """State of an agent, with the unacknowledged ends of runs.

    Attributes
    ----------
    accepting : bool
        Whether new runs are accepted.
    free : Resources
        Unallocated resources of the target; it is reduced by the runs of all entries.
    received : int
        Id of the last `RunTasks` message from the receiving entry that `free`
        accounts for.
    ends : tuple of RunEnd
        Ends of runs that the receiving entry has not acknowledged.
    complete : bool
        Whether `held` lists all unfinished runs of the receiving entry; true in the
        first report on a connection.
    held : tuple of int
        Ids of unfinished runs of the receiving entry.
    description : TargetDescription or None
        Properties of the target; None if they are as last sent on the connection. A
        complete report has them.
    losses : tuple of TargetLoss
        Losses of the target that were not sent on the connection before.
    """

    accepting: bool
    free: Resources
    received: int
    ends: tuple[RunEnd, ...] = ()
    complete: bool = False
    held: tuple[int, ...] = ()
    description: TargetDescription | None = None
    losses: tuple[TargetLoss, ...] = ()


# Field of the Thrift struct Message for each class that can be a message body.
BODY_FIELDS = {
    Hello: "hello",
    Challenge: "challenge",
    Proof: "proof",
    Welcome: "welcome",
    Reject: "reject",
    Heartbeat: "heartbeat",
    Announce: "announce",
    Start: "start",
    TaskDone: "task_done",
    Acknowledge: "acknowledge",
    CancelTasks: "cancel_tasks",
    Fence: "fence",
    FenceReply: "fence_reply",
    Renew: "renew",
    RenewReply: "renew_reply",
    FenceRecords: "fence_records",
    Release: "release",
    Reconcile: "reconcile",
    ReconcileReply: "reconcile_reply",
    CopyRecords: "copy_records",
    CopyRecordsReply: "copy_records_reply",
    RosterUpdate: "roster_update",
    Leave: "leave",
    LeaveReply: "leave_reply",
    Submit: "submit",
    SubmitReply: "submit_reply",
    JobQuery: "job_query",
    JobCancel: "job_cancel",
    Handover: "handover",
    HandoverReply: "handover_reply",
    TableUpdate: "table_update",
    OwnerNotice: "owner_notice",
    ConfigPull: "config_pull",
    ConfigUpdate: "config_update",
    StatusQuery: "status_query",
    StatusReply: "status_reply",
    RunTasks: "run_tasks",
    StopRuns: "stop_runs",
    AckRuns: "ack_runs",
    AgentReport: "agent_report",
    CancelJobs: "cancel_jobs",
    CancelJobsReply: "cancel_jobs_reply",
}


@dataclass(frozen=True, slots=True)
class Message:
    """Message body with its id and the id of the call it replies to, or 0."""

    id: int
    reply_to: int
    body: object
