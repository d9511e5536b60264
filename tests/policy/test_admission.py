"""Tests of admission control: result code and Retry-After of refusals."""

import dataclasses

import pytest

from hornbeamshore.base.codes import ResultCode, RunState
from hornbeamshore.base.types import JobKey
from hornbeamshore.policy.admission import ExpectedWaitAdmission, Forecast
from hornbeamshore.policy.settings import AdmissionSettings
from hornbeamshore.policy.types import JobLoad

ACCEPTED_FORECAST = Forecast(capacity=88.0, runnable=True, quota_slots=88)


@pytest.mark.parametrize(
    ("changes", "code", "retry_after_s"),
    [
        ({}, None, 0),
        ({"wait_s": 1.9, "last_wait_s": 1.9}, None, 0),
        ({"wait_s": 2.5, "last_wait_s": 2.5}, ResultCode.OVERLOADED, 0.5),
        ({"wait_s": 0.5, "last_wait_s": 6}, ResultCode.DEADLINE_UNREACHABLE, 1.0),
        ({"run_time_s": 7.0}, ResultCode.DEADLINE_UNREACHABLE, 0),
        ({"capacity": 0.0}, ResultCode.NO_TARGETS, 1.0),
        ({"runnable": False}, ResultCode.NEVER_RUNNABLE, 0),
        ({"quota_slots": 0}, ResultCode.QUOTA_EXCEEDED, 0),
        ({"quota_wait_s": 2.25}, ResultCode.QUOTA_EXCEEDED, 0.25),
        ({"quota_wait_s": 1.0, "last_quota_wait_s": 1.5}, None, 0),
    ],
    ids=[
        "empty queue",
        "wait below the limit",
        "wait above the limit",
        "last task misses the deadline",
        "run time exceeds the deadline",
        "no target accepts tasks",
        "no target with the labels",
        "no quota",
        "quota wait above the limit",
        "quota wait below the limit",
    ],
)
def test_refusal(changes, code, retry_after_s):
    """Guards against accepting submissions that miss their deadline."""
    load = JobLoad(JobKey("t", "s", "1"), "t", "k", 4, 5.0)
    forecast = dataclasses.replace(ACCEPTED_FORECAST, **changes)
    refusal = ExpectedWaitAdmission(AdmissionSettings()).check(load, forecast)
    if code is None:
        assert refusal is None
        return
    assert refusal.code is code
    assert refusal.run_state is RunState.NOT_RUN
    assert refusal.retry_after_s == pytest.approx(retry_after_s)
