"""Tests of placement: earliest completion, slot limits, labels and locality."""

import pytest

from hornbeamshore.base.types import JobKey
from hornbeamshore.policy.fleet import Fleet, RunningTask
from hornbeamshore.policy.outliers import Health
from hornbeamshore.policy.placement import EarliestCompletion
from hornbeamshore.policy.queueing import Flow
from hornbeamshore.policy.runtimes import LearnedRunTimes
from hornbeamshore.policy.settings import PlacementSettings, RunTimeSettings
from hornbeamshore.policy.types import QueuedTask, TargetInfo

RUN_S = 0.1


def _fleet(slowness, slots, centres, labels):
    fleet = Fleet()
    for index, value in enumerate(slowness):
        info = TargetInfo(f"a{index}", centres[index], "r", slots, labels[index])
        fleet.add(info).set_performance(value, 1.0)
    return fleet


def _occupy(fleet, agent_id, flow, started, run_s):
    target = fleet.get(agent_id)
    for slot in range(target.info.slots):
        task = QueuedTask(JobKey("t", "s", agent_id), slot, 1, "t", "k", 9.0)
        running = RunningTask(task, flow, started, run_s, 1.0)
        fleet.start_task(target, running)


def _choose(case, queued=1):
    flow = Flow("t", "k")
    flow.queued = queued
    flow.requires = frozenset(case.get("requires", ()))
    flow.excess = case.get("excess", False)
    count = len(case["slowness"])
    centres = case.get("centres", ["near"] * count)
    labels = case.get("labels", [()] * count)
    fleet = _fleet(case["slowness"], case.get("slots", 1), centres, labels)
    for agent_id, started, run_s in case.get("busy", ()):
        _occupy(fleet, agent_id, flow, started, run_s)
    for agent_id in case.get("draining", ()):
        fleet.drain(fleet.get(agent_id))
    for agent_id in case.get("ejected", ()):
        fleet.set_health(fleet.get(agent_id), Health.EJECTED)
    for agent_id in case.get("probing", ()):
        fleet.set_health(fleet.get(agent_id), Health.PROBING)
    fleet.reserve_slots(case.get("reserve", 0))
    run_times = LearnedRunTimes(RunTimeSettings())
    run_times.declare("k", RUN_S)
    placement = EarliestCompletion(PlacementSettings(), run_times, fleet, "near")
    placement.begin_round(1.0)
    return placement, placement.choose(flow, 1.0)


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ({"slowness": [2.0, 0.5]}, "a1"),
        ({"slowness": [2.0, 0.5], "busy": [("a1", 0.9, 0.15)]}, None),
        ({"slowness": [2.0, 0.5], "busy": [("a1", 0.9, 0.9)]}, "a0"),
        # Elapsed 1 s instead of 0.1 s: expected to run for another 0.3 s.
        ({"slowness": [2.0, 0.5], "busy": [("a1", 0.0, 0.1)]}, "a0"),
        ({"slowness": [1.0, 1.0], "centres": ["far", "near"]}, "a1"),
        ({"slowness": [0.5, 1.0], "centres": ["far", "near"]}, "a0"),
        ({"slowness": [1.0, 0.5], "draining": ["a1"]}, "a0"),
        ({"slowness": [1.0, 0.5], "ejected": ["a1"]}, "a0"),
        (
            {
                "slowness": [2.0, 0.5],
                "busy": [("a1", 0.9, 0.15)],
                "probing": ["a1"],
            },
            "a0",
        ),
        ({"slowness": [1.0], "draining": ["a0"]}, None),
        (
            {"slowness": [1.0, 0.5], "requires": ["gpu"], "labels": [["gpu"], []]},
            "a0",
        ),
        ({"slowness": [1.0], "requires": ["gpu"]}, None),
        ({"slowness": [1.0, 0.5], "slots": 2, "reserve": 1, "excess": True}, "a1"),
        ({"slowness": [1.0, 0.5], "slots": 4, "reserve": 2, "excess": True}, "a1"),
        (
            {
                "slowness": [1.0, 0.5],
                "slots": 2,
                "reserve": 2,
                "excess": True,
                "busy": [("a0", 0.9, 9.0)],
            },
            "a1",
        ),
        (
            {
                "slowness": [1.0, 0.5],
                "slots": 1,
                "excess": True,
                "busy": [("a0", 0.9, 9.0), ("a1", 0.9, 9.0)],
            },
            None,
        ),
    ],
    ids=[
        "fastest of two free targets",
        "waits for a faster busy target",
        "faster target busy for too long",
        "task on the faster target exceeds its estimate",
        "same speed, one in the local data centre",
        "faster target in another data centre",
        "faster target draining",
        "faster target ejected",
        "does not wait for a probing target",
        "no target accepts tasks",
        "required labels",
        "required labels on no target",
        "excess flow uses an unreserved slot",
        "excess flow with two of four slots reserved",
        "excess flow with one of two slots reserved",
        "all slots busy",
    ],
)
def test_choice(case, expected):
    """Guards against tasks on slow, closed, full or unsuitable targets."""
    _, choice = _choose(case)
    assert (choice and choice.target.agent_id) == expected


@pytest.mark.parametrize(
    ("queued", "agent_id", "use_last_task"),
    [(1, None, False), (2, None, False), (6, "a0", True), (500, "a0", False)],
    ids=["one task waits", "two tasks wait", "last task starts", "first task starts"],
)
def test_slow_target_runs_tasks_that_would_wait_longer(queued, agent_id, use_last_task):
    """Guards against idle slow targets, and starvation of the first task of a flood."""
    case = {"slowness": [2.0, 0.5], "slots": 1, "busy": [("a1", 0.9, 0.11)]}
    placement, choice = _choose(case, queued)
    if agent_id is None:
        assert choice is None
        assert placement.next_slot_at() == pytest.approx(1.01, abs=0.11)
    else:
        assert (choice.target.agent_id, choice.use_last_task) == (
            agent_id,
            use_last_task,
        )
