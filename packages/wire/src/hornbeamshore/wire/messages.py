"""Messages between the processes, as frozen data classes.

Each class has the field names of its struct in ``idl/hornbeamshore.thrift``; times
are in milliseconds of Unix time unless a name says otherwise.
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
# Detail of a result whose body was dropped after its job had been answered.
BODY_DROPPED = "The result was answered once and is no longer kept."


class ProcessKind(enum.StrEnum):
    """Kind of process at an end of a connection."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


class RecordState(enum.IntEnum):
    """State of a task in a start record."""

    RUNNING = 1
    ENDED = 2
    REFUSED = 3
    QUEUED = 4


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the side that opened the connection."""

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
    """Answer to `Hello`: identity, nonce and proof of the accepting side."""

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
    """Proof of the side that opened the connection."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """End of a handshake that succeeded."""

    config_revision: int = 0
    table_version: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """End of a handshake that failed; `code` is a `ResultCode` value."""

    code: int
    detail: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life, sent when no other message went out."""

    config_revision: int = 0
    table_version: int = 0
    slots_in_use: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Announce:
    """What an agent offers to the entry that it is connected to.

    `records_since` is the incarnation at the start of the agent's process: an agent
    that was paused has a new incarnation but still has its start records.
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
    """Order of a partition's owner to start one attempt of a task.

    `expires_at_ms` is the Unix time after which the agent refuses the start;
    `timeout_ms` bounds the run itself.
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
    """Outcome of a `Start`: a result or a refusal."""

    partition: str
    key: JobKey
    result: TaskResult


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Name of one attempt of a task."""

    key: JobKey
    index: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """The owner has the results of these tasks; the agent may drop their bodies."""

    partition: str
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class CancelTasks:
    """Order to end these tasks; one message for all of a wave."""

    partition: str
    epoch: int
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class StartRecord:
    """What a process knows of one attempt; `state` is a `RecordState` value."""

    key: JobKey
    index: int
    attempt: int
    state: int
    started_at_ms: int
    result: TaskResult | None = None
    agent_id: str = ""


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One agent of a partition as its owner knows it."""

    agent_id: str
    incarnation: int
    live: bool
    accounted_for: bool
    lost_at_ms: int
    rack: str


@dataclass(frozen=True, slots=True)
class Roster:
    """Agents of a partition; a higher (epoch, version) is newer."""

    epoch: int = 0
    version: int = 0
    entries: tuple[RosterEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Fence:
    """Request of an entry to own the partition at an epoch.

    `takes_ahead` says that the entry takes `FenceRecords` before the reply.
    """

    partition: str
    epoch: int
    takes_ahead: bool = False


@dataclass(frozen=True, slots=True)
class FenceRecords:
    """Settled start records that an agent sends ahead of its `FenceReply`."""

    partition: str
    epoch: int
    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class FenceReply:
    """Answer to `Fence`: the epoch granted by the agent and all that it knows.

    `records` leaves out what went ahead of it as `FenceRecords`.
    """

    partition: str
    code: int
    epoch: int
    records: tuple[StartRecord, ...] = ()
    roster: Roster = Roster()


@dataclass(frozen=True, slots=True)
class Renew:
    """Renewal of the lease that the agent granted with an epoch."""

    partition: str
    epoch: int


@dataclass(frozen=True, slots=True)
class RenewReply:
    """Answer to `Renew`: whether the epoch still holds, and the present one."""

    code: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Release:
    """The owner gives the partition up; any candidate may fence at once."""

    partition: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Reconcile:
    """Question for the outcome of tasks whose connection was lost."""

    partition: str
    epoch: int
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class ReconcileReply:
    """Answer to `Reconcile`: records, and tasks that now can never start here."""

    partition: str
    records: tuple[StartRecord, ...]
    refused: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class CopyRecords:
    """Start records of a lost or leaving agent, for another agent to keep."""

    partition: str
    epoch: int
    agent_id: str
    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class CopyRecordsReply:
    """Answer to `CopyRecords`."""

    code: int


@dataclass(frozen=True, slots=True)
class RosterUpdate:
    """The owner's roster, for agents and candidates to keep."""

    partition: str
    roster: Roster


@dataclass(frozen=True, slots=True)
class Leave:
    """Last message of an agent that ends as planned, with its start records."""

    records: tuple[StartRecord, ...]


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """The owner has the records; the agent may end."""

    code: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Submission that a front sends to the owner of its partition."""

    request: JobRequest
    table_version: int


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """Answer to `Submit`, `JobQuery` and `JobCancel`."""

    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Question for a job's answer; `wait` holds the reply until the job ends."""

    key: JobKey
    wait: bool = False


@dataclass(frozen=True, slots=True)
class JobCancel:
    """Order to cancel a job."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Record of a job as its owner hands it over.

    `request` is missing where only start records are known; `answer` is set once
    the job ended.
    """

    key: JobKey
    request: JobRequest | None
    accepted_at_ms: int
    answer: JobAnswer | None = None
    tasks: tuple[StartRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Handover:
    """Job records that a leaving owner gives its successor; `last` ends them.

    `complete` and `taken_over_at_ms` say what the leaving owner knew of the time
    before it.
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
    """Answer to `Handover`."""

    code: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TableEntry:
    """One entry of the owner table."""

    entry_id: str
    incarnation: int
    address: str
    data_centre: str
    rack: str


@dataclass(frozen=True, slots=True)
class OwnerTable:
    """Entries of the region; the version rises with each change.

    `owned` names each partition that has ever had an owner.
    """

    version: int = 0
    entries: tuple[TableEntry, ...] = ()
    owned: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Owner table, for a peer that has an older version.

    `partition` names the partition of the agent that it is sent to, whose
    candidates the agent stays connected to; empty for entries, or if not known.
    """

    table: OwnerTable
    partition: str = ""


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """News that an entry owns a partition at an epoch."""

    partition: str
    epoch: int
    entry_id: str


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Request for a configuration newer than the known revision."""

    known_revision: int


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Configuration at a revision.

    Entries get it in the form in which the store holds it, agents the slice of
    their service, or its `content_digest` where they should hold it already.
    """

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Request for a JSON report; the topic is ``status`` or ``burn``."""

    topic: str


@dataclass(frozen=True, slots=True)
class StatusReply:
    """JSON report."""

    content: str


# Name of the field of the thrift struct Message for each class that can be a body.
@dataclass(frozen=True, slots=True)
class Resources:
    """Processor time in thousandths of a core, memory and accelerators."""

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

    def fits(self, room):
        """Return whether these resources are available in `room`."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.mem_mb <= room.mem_mb
            and self.gpus <= room.gpus
        )


@dataclass(frozen=True, slots=True)
class RunOrder:
    """One run of a task; `run_id` is unique for the life of the ordering entry."""

    run_id: int
    step: int
    index: int
    attempt: int
    needs: Resources


@dataclass(frozen=True, slots=True)
class RunTasks:
    """Runs of tasks of one job that an entry orders from an agent."""

    job_id: str
    spec: str
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class StopRuns:
    """Runs that an entry no longer wants; each is answered by a `RunEnd`."""

    run_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class AckRuns:
    """Runs whose ends the entry has taken; the agent forgets them."""

    run_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run: the target no longer works on it and never will.

    `code` is a `ResultCode` value and `run_state` a `RunState` value.
    """

    run_id: int
    code: int
    run_state: int
    run_time_us: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AgentReport:
    """State of an agent and its target, and the ends that an entry has not taken.

    Attributes
    ----------
    target : str
        Id of the target's incarnation.
    accepting : bool
        Whether new runs are accepted.
    capacity, free : Resources
        Of the target; `free` counts the runs of all entries and goes below zero by
        what waits at the agent.
    received : int
        Id of the last `RunTasks` message of the receiving entry that `free` counts.
    complete : bool
        Whether `held` lists each run of the receiving entry that has not ended;
        true in the first report of a connection.
    """

    target: str
    service: str
    labels: tuple[str, ...]
    accepting: bool
    capacity: Resources
    free: Resources
    received: int
    ends: tuple[RunEnd, ...] = ()
    complete: bool = False
    held: tuple[int, ...] = ()


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
}


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a batch: a body with its id and the id that it replies to."""

    id: int
    reply_to: int
    body: object
