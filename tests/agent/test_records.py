"""Start records: contents, retention and memory use."""

import tracemalloc

import pytest

from hornbeamshore.agent import records as records_module
from hornbeamshore.agent.records import RECORDS_PER_BLOCK, StartRecords
from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.types import JobKey, TaskResult
from hornbeamshore.wire.messages import RecordState, TaskRef

RAN = int(RunState.RAN)


def make_ref(number, index=0, attempt=1):
    return TaskRef(JobKey("buyers", "desk", f"order-{number:030d}"), index, attempt)


def add_settled(records, ref, now, code=ResultCode.OK, body=b"answer"):
    records.add_running(ref, now, 1_700_000_000_000)
    result = TaskResult(ref.index, ref.attempt, int(code), RAN, 200, (), body, 7)
    records.store_result(ref, result, now)
    records.acknowledge(ref, now)


@pytest.mark.parametrize("others", [0, RECORDS_PER_BLOCK], ids=["not packed", "packed"])
@pytest.mark.parametrize(
    ("code", "expected_code"),
    [
        (ResultCode.OK, ResultCode.RESULT_EXPIRED),
        (ResultCode.TASK_FAILED, ResultCode.TASK_FAILED),
    ],
)
def test_acknowledged_result_keeps_its_outcome(code, expected_code, others):
    """Guards against a dropped body that is mistaken for an empty response."""
    records = StartRecords(300)
    add_settled(records, make_ref(0, index=3), 0.0, code)
    for number in range(1, others + 1):
        add_settled(records, make_ref(number), 0.0)
    record = records.find(make_ref(0, index=3))
    expected = TaskResult(3, 1, int(expected_code), RAN, 200, run_time_us=7)
    assert (record.state, record.result) == (RecordState.ENDED, expected)
    assert records.find(make_ref(0, index=2)) is None
    assert record in records.all()
    assert len(records.all()) == len(records) == others + 1


@pytest.mark.parametrize("total", [1, 2 * RECORDS_PER_BLOCK])
def test_records_expire_after_the_retention(total):
    """Guards against a record that is removed too early or never."""
    records = StartRecords(300)
    records.add_running(make_ref(total), 0.0, 0)
    for number in range(total):
        add_settled(records, make_ref(number), 1.0)
    records.expire(300.9)
    assert len(records) == total + 1
    records.expire(301.0)
    assert [record.state for record in records.all()] == [RecordState.RUNNING]


def test_unacknowledged_bodies_are_limited(monkeypatch):
    """Guards against an agent without an owner that exceeds its memory budget."""
    monkeypatch.setattr(records_module, "MAX_KEPT_BODY_BYTES", 1000)
    records = StartRecords(300)
    for number in range(3):
        records.add_running(make_ref(number), 0.0, 0)
        records.store_result(
            make_ref(number), TaskResult(0, 1, 0, RAN, body=b"x" * 400), 0.0
        )
    results = [record.result for record in records.all()]
    assert [len(result.body) for result in results] == [0, 400, 400]
    assert results[0].code == ResultCode.RESULT_EXPIRED


def test_full_retention_fits_in_memory():
    """Guards against records that exceed the agent's memory budget of 32 MB."""
    records = StartRecords(300)
    tracemalloc.start()
    try:
        for number in range(11_100):
            add_settled(records, make_ref(number), number / 37)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(records) == 11_100
    assert used <= 11_100 * 100
