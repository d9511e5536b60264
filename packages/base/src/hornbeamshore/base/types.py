"""Types shared by all processes: keys, partitions, epochs, jobs, tasks and answers."""

from dataclasses import dataclass

import xxhash

from hornbeamshore.base.codes import ResultCode, RunState

MAX_TASKS_PER_JOB = 320
TERM_BITS = 20
RANK_BITS = 11


@dataclass(frozen=True, slots=True)
class JobKey:
    """Idempotency key of a submission.

    Attributes
    ----------
    team, service : str
        Scope in which the identifier is unique.
    job_id : str
        Identifier that the caller chose.
    """

    team: str
    service: str
    job_id: str

    @property
    def digest(self):
        """Return the 16-byte digest that identifies the key in start records."""
        text = "\0".join((self.team, self.service, self.job_id))
        return xxhash.xxh3_128_digest(text.encode())


@dataclass(frozen=True, slots=True, order=True)
class Partition:
    """Shard of a service's job keys and agents; one entry owns it at a time."""

    service: str
    index: int

    def __str__(self):
        return f"{self.service}/{self.index}"

    @classmethod
    def parse(cls, text):
        """Parse a partition written as ``service/index``.

        Raises
        ------
        ValueError
            If the text has another form.
        """
        service, _, index = text.rpartition("/")
        if not service:
            raise ValueError(f"partition {text!r}: expected service/index")
        return cls(service, int(index))


def partition_of(key, partitions):
    """Return the partition whose owner keeps the record of a key.

    Parameters
    ----------
    key : JobKey
        Key of a submission.
    partitions : int
        Number of partitions of the service.
    """
    index = int.from_bytes(key.digest[:8], "big") % partitions
    return Partition(key.service, index)


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """Fencing epoch of a partition's owner.

    Attributes
    ----------
    table_version : int
        Version of the owner table.
    term : int
        Number of the term within a version.
    rank : int
        Position of the owner in the rendezvous order of the owner table, so that
        two entries never have the same epoch.
    """

    table_version: int
    term: int
    rank: int

    def pack(self):
        """Encode the epoch as an integer of 63 bits that has the same order."""
        high = (self.table_version << TERM_BITS) | self.term
        return (high << RANK_BITS) | self.rank

    @classmethod
    def unpack(cls, value):
        """Decode an epoch that was encoded by `pack`."""
        rank = value & ((1 << RANK_BITS) - 1)
        term = (value >> RANK_BITS) & ((1 << TERM_BITS) - 1)
        return cls(value >> (RANK_BITS + TERM_BITS), term, rank)


NO_EPOCH = Epoch(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Header:
    """HTTP header that is forwarded between caller and target."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """HTTP request that a task sends to its target."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Outcome of one attempt of a task.

    Attributes
    ----------
    index : int
        Position of the task in its job, from 0.
    attempt : int
        Number of the attempt, from 1.
    code : int
        Value of a `ResultCode`.
    run_state : int
        Value of a `RunState`.
    status : int
        HTTP status from the target; 0 if it sent none.
    run_time_us : int
        Time that the target took, in microseconds.
    detail : str
        Explanation of a failure.
    """

    index: int
    attempt: int
    code: int
    run_state: int
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    run_time_us: int = 0
    detail: str = ""

    @property
    def ok(self):
        """Return whether the attempt succeeded."""
        return self.code == ResultCode.OK


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Submission of a job or of a single request.

    Attributes
    ----------
    timeout_ms : int
        Milliseconds left until the deadline when the message was encoded.
    submitted_at_ms : int
        Unix time of the first submission in milliseconds; 0 if not given.
    single : bool
        Whether this is a single request that is forwarded to the service.
    fingerprint : bytes
        Digest of the content; a resubmission must have the same digest.
    task_count : int
        Number of tasks; an offer has the number but not the tasks.
    age_ms : int
        Milliseconds since the submission reached the entry that received it.
    """

    key: JobKey
    kind: str
    tasks: tuple[TaskSpec, ...]
    timeout_ms: int
    submitted_at_ms: int
    single: bool
    fingerprint: bytes
    task_count: int = 0
    age_ms: int = 0

    @property
    def is_offer(self):
        """Return whether this is an offer, whose tasks are sent once it is accepted."""
        return not self.tasks


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Final answer to a submission; only a complete job has results."""

    key: JobKey
    code: int
    run_state: int
    detail: str = ""
    results: tuple[TaskResult, ...] = ()
    retry_after_ms: int = 0

    @classmethod
    def refused(cls, key, refusal):
        """Return the answer for a `Refusal`."""
        return cls(
            key,
            int(refusal.code),
            int(refusal.run_state),
            refusal.detail,
            retry_after_ms=round(refusal.retry_after_s * 1000),
        )

    @classmethod
    def complete(cls, key, results):
        """Return the answer for a job whose tasks all succeeded."""
        return cls(key, int(ResultCode.OK), int(RunState.RAN), results=tuple(results))


def fingerprint_of(kind, tasks):
    """Return the 16-byte digest of the content of a submission."""
    digest = xxhash.xxh3_128(kind.encode())
    for task in tasks:
        for part in (task.method, task.path):
            digest.update(part.encode() + b"\0")
        digest.update(len(task.body).to_bytes(8, "big") + task.body)
    return digest.digest()
