"""Metrics of the entry and the agent in the text exposition format."""

import platform

import httpcore
import pytest
import trio

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.dispatch.coordinator import Coordinator
from hornbeamshore.dispatch.metrics import DispatchMetrics
from hornbeamshore.dispatch.routing import RoutingReplica
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.runner.metrics import RunnerMetrics
from hornbeamshore.runner.runner import Runner
from hornbeamshore.runner.settings import RunnerSettings
from hornbeamshore.serving.metrics_api import MetricsApi

from .scripted_http import serving

# A process of the tests runs from a checkout, which has no fingerprint.
BUILD_INFO = 'hornbeamshore_build_info{{machine="{}",python="{}",source="unknown"}} 1.0'
BUILD_INFO = BUILD_INFO.format(platform.machine(), platform.python_version())


def entry_metrics():
    metrics = DispatchMetrics()
    coordinator = Coordinator(DispatchSettings(), metrics, trio.current_time)
    metrics.register_gauges(coordinator, RoutingReplica())
    metrics.job_answered("check", ResultCode.OK, 0.25, in_time=True)
    metrics.run_ended(ResultCode.TASK_FAILED)
    return metrics


def agent_metrics():
    metrics = RunnerMetrics()
    metrics.register_gauges(Runner(RunnerSettings(), None, metrics, trio.current_time))
    metrics.run_ended(ResultCode.OK, 0.25)
    metrics.target_lost("target lease expired")
    return metrics


@pytest.mark.parametrize(
    ("make_metrics", "lines"),
    [
        (
            entry_metrics,
            [
                'hornbeamshore_entry_jobs_total{code="OK",in_time="true",'
                'queue="check"} 1.0',
                'hornbeamshore_entry_job_seconds_bucket{le="0.3",queue="check"} 1.0',
                'hornbeamshore_entry_runs_total{code="TASK_FAILED"} 1.0',
                "hornbeamshore_entry_agents_usable 0.0",
                BUILD_INFO,
            ],
        ),
        (
            agent_metrics,
            [
                'hornbeamshore_agent_runs_total{code="OK"} 1.0',
                'hornbeamshore_agent_run_seconds_bucket{le="0.3"} 1.0',
                "hornbeamshore_agent_accepting 0.0",
                BUILD_INFO,
                "hornbeamshore_agent_targets_lost_total{"
                'reason="target lease expired"} 1.0',
            ],
        ),
    ],
)
async def test_metrics_are_served_as_text(make_metrics, lines):
    """Guards against serving no metrics that the operations page documents."""
    async with (
        serving(MetricsApi(make_metrics().registry)) as address,
        httpcore.AsyncConnectionPool() as pool,
    ):
        response = await pool.request("GET", f"http://{address}/metrics")
    text = response.content.decode()
    assert [line for line in lines if line not in text] == []
