"""Start records: the state and result of each attempt sent to this agent.

A record is settled once it can no longer change: it was refused, copied from another
agent, or its result was acknowledged by the owner. Settled records are packed into
blocks of bytes, since 11,100 records as Python objects would take several times
their share of the agent's memory budget of 32 MB.
"""

import bisect
from array import array
from collections import deque
from dataclasses import replace

import msgspec

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.base.types import JobKey, TaskResult
from hornbeamshore.wire.messages import RecordState, StartRecord, TaskRef

# Each lookup does a bisection per block; 512 keeps both the number of blocks and the
# share of unpacked records small.
RECORDS_PER_BLOCK = 512
# Limits the memory for records to about 6 MB; at 37 starts/s and a retention of 300 s
# there are 11,100 records.
MAX_RECORDS = 60_000
# Limit for the bodies of results that no owner has acknowledged yet.
MAX_KEPT_BODY_BYTES = 4 * 1024 * 1024

_HASH_MASK = (1 << 64) - 1


class _UnpackedRecord:
    """Unpacked record; it stays modifiable until it is settled."""

    __slots__ = ("record", "changed_at", "settled")

    def __init__(self, record, changed_at, settled):
        self.record = record
        self.changed_at = changed_at
        self.settled = settled


class _PackedBlock:
    """Immutable block of packed settled records, sorted by task hash."""

    def __init__(self, records, ended_at):
        self.ended_at = ended_at
        # The records of a block share few scopes, so each scope is stored only once.
        self._scopes = list({(rec.key.team, rec.key.service) for rec in records})
        packed = sorted(
            (_task_hash(record.key, record.index), self._pack(record))
            for record in records
        )
        self._hashes = array("Q", (item[0] for item in packed))
        self._end_offsets = array("I")
        end = 0
        for _, data in packed:
            end += len(data)
            self._end_offsets.append(end)
        self._data = b"".join(item[1] for item in packed)

    def __len__(self):
        return len(self._hashes)

    def __iter__(self):
        for position in range(len(self)):
            yield self._unpack(position)

    def find(self, task_hash, key, index):
        """Return the records of a task; `task_hash` is its `_task_hash`."""
        position = bisect.bisect_left(self._hashes, task_hash)
        found = []
        while position < len(self) and self._hashes[position] == task_hash:
            record = self._unpack(position)
            if record.key == key and record.index == index:
                found.append(record)
            position += 1
        return found

    def _pack(self, record):
        key, result = record.key, record.result
        scope = self._scopes.index((key.team, key.service))
        fields = (scope, key.job_id, record.index, record.attempt)
        fields += (int(record.state), record.started_at_ms)
        if result is not None:
            fields += (int(result.code), int(result.run_state))
            fields += (result.status, result.run_time_us)
        return msgspec.msgpack.encode(fields)

    def _unpack(self, position):
        start = self._end_offsets[position - 1] if position else 0
        data = memoryview(self._data)[start : self._end_offsets[position]]
        scope, job_id, index, attempt, state, started_at_ms, *result_fields = (
            msgspec.msgpack.decode(data)
        )
        result = None
        if result_fields:
            code, run_state, status, run_time_us = result_fields
            result = TaskResult(
                index, attempt, code, run_state, status, run_time_us=run_time_us
            )
        key = JobKey(*self._scopes[scope], job_id)
        return StartRecord(key, index, attempt, state, started_at_ms, result)


class StartRecords:
    """Collection of start records with a limited retention.

    All times are passed in, as seconds of one monotonic clock.

    Parameters
    ----------
    retention : float
        Seconds that a record is kept after its last change; may be reassigned.
    """

    def __init__(self, retention):
        self.retention = retention
        self._unpacked = {}
        self._blocks = deque()
        self._unpacked_count = self._settled_count = 0
        self._body_bytes = 0

    def __len__(self):
        return self._unpacked_count + sum(len(block) for block in self._blocks)

    @property
    def full(self):
        """Whether the maximum number of records is reached."""
        return len(self) >= MAX_RECORDS

    @property
    def blocks(self):
        """Blocks of packed settled records, oldest first."""
        return tuple(self._blocks)

    def all(self, excluded_blocks=frozenset()):
        """Return all records except those in the given blocks."""
        packed = [
            record
            for block in self._blocks
            if block not in excluded_blocks
            for record in block
        ]
        unpacked = [item.record for items in self._unpacked.values() for item in items]
        return tuple(packed + unpacked)

    def attempts(self, key, index):
        """Return the records of all attempts of a task."""
        task_hash = _task_hash(key, index)
        found = [
            record
            for block in self._blocks
            for record in block.find(task_hash, key, index)
        ]
        return found + [item.record for item in self._unpacked.get((key, index), ())]

    def find(self, ref):
        """Return the record of one attempt, or None."""
        for record in self.attempts(ref.key, ref.index):
            if record.attempt == ref.attempt:
                return record
        return None

    def add_running(self, ref, now, unix_ms):
        """Add the record of an attempt that was started."""
        self._add(_make_record(ref, RecordState.RUNNING, unix_ms), now, settled=False)

    def add_refused(self, ref, result, now, unix_ms):
        """Add the record of an attempt that was refused and must never start here."""
        record = _make_record(ref, RecordState.REFUSED, unix_ms, result)
        self._add(record, now, settled=True)

    def store_result(self, ref, result, now):
        """Store the result of a running attempt until the owner acknowledges it.

        If the bodies then exceed `MAX_KEPT_BODY_BYTES`, the oldest ones are dropped.
        """
        item = self._find_unpacked(ref)
        if item is None:
            return
        item.record = replace(item.record, state=RecordState.ENDED, result=result)
        item.changed_at = now
        self._body_bytes += len(result.body)
        if self._body_bytes > MAX_KEPT_BODY_BYTES:
            self._drop_oldest_bodies()

    def acknowledge(self, ref, now):
        """Settle an ended attempt and drop the body of its result."""
        item = self._find_unpacked(ref)
        if item is None or item.settled or item.record.state != RecordState.ENDED:
            return
        self._drop_body(item)
        item.settled, item.changed_at = True, now
        self._count_settled(now)

    def add_copies(self, records, now):
        """Add the records of another agent; attempts already known are skipped."""
        for record in records:
            if self.find(TaskRef(record.key, record.index, record.attempt)) is None:
                self._add(_without_body(record), now, settled=True)

    def expire(self, now):
        """Remove records older than the retention, except those of running attempts."""
        cutoff = now - self.retention
        while self._blocks and self._blocks[0].ended_at <= cutoff:
            self._blocks.popleft()
        self._remove_if(
            lambda item: (
                item.changed_at <= cutoff and item.record.state != RecordState.RUNNING
            )
        )

    def _find_unpacked(self, ref):
        for item in self._unpacked.get((ref.key, ref.index), ()):
            if item.record.attempt == ref.attempt:
                return item
        return None

    def _add(self, record, now, *, settled):
        items = self._unpacked.setdefault((record.key, record.index), [])
        items.append(_UnpackedRecord(record, now, settled))
        self._unpacked_count += 1
        if settled:
            self._count_settled(now)

    def _count_settled(self, now):
        self._settled_count += 1
        if self._settled_count >= RECORDS_PER_BLOCK:
            settled = self._remove_if(lambda item: item.settled)
            self._blocks.append(_PackedBlock(settled, now))

    def _remove_if(self, predicate):
        removed = []
        for task, items in list(self._unpacked.items()):
            remaining = [item for item in items if not predicate(item)]
            removed += [item for item in items if predicate(item)]
            if remaining:
                self._unpacked[task] = remaining
            else:
                del self._unpacked[task]
        self._unpacked_count -= len(removed)
        self._settled_count -= sum(item.settled for item in removed)
        self._body_bytes -= sum(_body_size(item.record) for item in removed)
        return [item.record for item in removed]

    def _drop_oldest_bodies(self):
        for items in self._unpacked.values():
            for item in items:
                if self._body_bytes <= MAX_KEPT_BODY_BYTES:
                    return
                self._drop_body(item)

    def _drop_body(self, item):
        self._body_bytes -= _body_size(item.record)
        item.record = _without_body(item.record)


def _make_record(ref, state, unix_ms, result=None):
    return StartRecord(ref.key, ref.index, ref.attempt, state, unix_ms, result)


def _body_size(record):
    return len(record.result.body) if record.result else 0


def _without_body(record):
    """Return the record with the headers, body and detail of its result removed.

    A successful result gets the code RESULT_EXPIRED, so that the empty body is not
    mistaken for the response.
    """
    result = record.result
    if result is None:
        return record
    code = ResultCode.RESULT_EXPIRED if result.ok else result.code
    result = replace(result, code=int(code), headers=(), body=b"", detail="")
    return replace(record, result=result)


def _task_hash(key, index):
    # Consecutive hashes for the tasks of a job keep their records adjacent in a block.
    return (int.from_bytes(key.digest[:8], "big") + index) & _HASH_MASK
