"""Benchmark functions that need no processes: ideal schedule, checks and load."""

import pytest

from hornbeamshore.bench.evaluation import (
    Answer,
    Violations,
    count_in_time,
    count_violations,
    offered_load,
    overruns_s,
    response_ratios,
)
from hornbeamshore.bench.fleet import TargetPlan
from hornbeamshore.bench.ideal import ideal_responses
from hornbeamshore.bench.load import (
    FLOOD_LOAD,
    LOAD,
    LoadJob,
    flood_jobs,
    steady_jobs,
    total_capacity,
)
from hornbeamshore.bench.profiles import PROFILES, target_plans
from hornbeamshore.bench.tables import is_met
from hornbeamshore.config.model import Kind, Objective, Service, Urgency

SERVICE = Service(
    {
        "hold": Kind(Urgency.URGENT, objective=Objective(0.5, 0.9)),
        "quote": Kind(Urgency.NORMAL, True, objective=Objective(0.5, 0.9)),
    }
)
URGENCY = {name: kind.urgency for name, kind in SERVICE.kinds.items()}


def make_job(name, at_s, *run_times_ms, kind="quote", single=False):
    return LoadJob(name, at_s, "team", "desk", kind, run_times_ms, single, 5000)


def make_target(speed, slots):
    return TargetPlan(f"speed-{speed}", "north", "rack", "desk", speed, slots)


@pytest.mark.parametrize(
    ("targets", "jobs", "expected"),
    [
        # Tasks start on the fastest target first, then on the next.
        ([(2.0, 1), (1.0, 1)], [make_job("a", 0, 100, 100)], {"a": 0.1}),
        # Waiting for the fast target (0.1 + 0.1) ends earlier than the slow one (0.4).
        ([(2.0, 1), (0.5, 1)], [make_job("a", 0, 200, 200)], {"a": 0.2}),
        # One slot: a queued urgent job starts before an older queued job.
        (
            [(1.0, 1)],
            [
                make_job("a", 0, 100),
                make_job("b", 0.01, 100),
                make_job("c", 0.02, 100, kind="hold"),
            ],
            {"a": 0.1, "b": 0.29, "c": 0.18},
        ),
        # Two slots of one target: the third task waits for the shorter one.
        ([(1.0, 2)], [make_job("a", 0, 100, 300, 100)], {"a": 0.3}),
        # The response time runs from the arrival to the end of the last task.
        ([(1.0, 1)], [make_job("a", 1.0, 100, 50)], {"a": 0.15}),
    ],
)
def test_ideal_schedule(targets, jobs, expected):
    """Guards against ideal response times that differ from the stated schedule."""
    plans = [make_target(*values) for values in targets]
    found = ideal_responses(jobs, plans, URGENCY, network_s=0.0)
    assert found == pytest.approx(expected)


def test_ideal_includes_network_round_trips():
    """Guards against ideal response times that leave out the network round trips."""
    found = ideal_responses(
        [make_job("a", 0, 100)], [make_target(1.0, 1)], URGENCY, 0.01
    )
    assert found == pytest.approx({"a": 0.11})


def make_answer(name, code=0, state="ran", whole=True, partial=False, response_s=0.2):
    return Answer(name, response_s, 0.0, code, state, whole, partial)


def start_events(*attempts):
    return [
        {"event": "start", "job": name, "index": index, "attempt": attempt}
        for name, index, attempt in attempts
    ]


REPEATABLE_JOBS = [make_job(f"r{i}", 0, 50, single=True) for i in range(10)]
REPEATABLE_ANSWERS = [make_answer(f"r{i}") for i in range(10)]


@pytest.mark.parametrize(
    ("jobs", "answers", "events", "expected"),
    [
        # A task that starts once and succeeds.
        ([make_job("a", 0, 50)], [make_answer("a")], start_events(("a", 0, 1)), {}),
        # A task of a job must not start twice, even as another attempt.
        (
            [make_job("a", 0, 50)],
            [make_answer("a")],
            start_events(("a", 0, 1), ("a", 0, 2)),
            {"double_starts": 1},
        ),
        # Starts of the same index in a job of another pass are ignored.
        (
            [make_job("a", 0, 50)],
            [make_answer("a")],
            start_events(("a", 0, 1), ("x", 0, 1)),
            {},
        ),
        # The budget of one in ten permits one retry of ten submissions.
        (
            REPEATABLE_JOBS,
            REPEATABLE_ANSWERS,
            start_events(("r0", 0, 1), ("r0", 0, 2)),
            {},
        ),
        # Two retries of ten submissions exceed the budget.
        (
            REPEATABLE_JOBS,
            REPEATABLE_ANSWERS,
            start_events(("r0", 0, 1), ("r0", 0, 2), ("r1", 0, 1), ("r1", 0, 2)),
            {"double_starts": 1},
        ),
        # Two starts of the same attempt are not a retry.
        (
            REPEATABLE_JOBS,
            REPEATABLE_ANSWERS,
            start_events(("r0", 0, 1), ("r0", 0, 1)),
            {"double_starts": 1},
        ),
        # A single request of a kind that is not repeatable must start at most once.
        (
            [make_job("a", 0, 50, kind="hold", single=True), *REPEATABLE_JOBS],
            [make_answer("a"), *REPEATABLE_ANSWERS],
            start_events(("a", 0, 1), ("a", 0, 2)),
            {"double_starts": 1},
        ),
        # An OK answer must have the result of each task.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", whole=False)],
            [],
            {"partial_answers": 1},
        ),
        # The answer of a failed job must not have some of the results.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", 300, whole=False, partial=True)],
            [],
            {"partial_answers": 1},
        ),
        # Run state "not run" of a job of which a task started.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", 200, "not run", whole=False)],
            start_events(("a", 0, 1)),
            {"false_not_run": 1},
        ),
        # Run state "not run" of a job of which no task started.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", 200, "not run", whole=False)],
            [],
            {},
        ),
        # An answer with an unknown run state and without results violates nothing.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", 401, "unknown", whole=False)],
            [],
            {},
        ),
        # All requests of the submission failed.
        (
            [make_job("a", 0, 50)],
            [make_answer("a", -1, "", whole=False)],
            [],
            {"unanswered": 1},
        ),
        # No caller reported the submission.
        ([make_job("a", 0, 50)], [], [], {"unanswered": 1}),
    ],
)
def test_count_violations(jobs, answers, events, expected):
    """Guards against violations that are not counted."""
    assert count_violations(jobs, answers, events, SERVICE) == Violations(**expected)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        # Complete answer within the objective of 0.5 s.
        (make_answer("a"), 1),
        # Later than the objective.
        (make_answer("a", response_s=0.6), 0),
        # Refused.
        (make_answer("a", 200, whole=False), 0),
        # Results missing.
        (make_answer("a", whole=False), 0),
        # Answer to another job.
        (make_answer("b"), 0),
    ],
)
def test_count_in_time(answer, expected):
    """Guards against late, refused or partial answers that count as in time."""
    assert count_in_time([make_job("a", 0, 50)], [answer], SERVICE) == expected


def test_target_overruns():
    """Guards against delays of a loaded machine attributed to the dispatcher."""
    common = {"job": "a", "index": 0, "attempt": 1, "agent": "x"}
    events = [
        {**common, "event": "start", "unix_ms": 1000},
        {**common, "event": "end", "unix_ms": 1030},
        {**common, "event": "end", "unix_ms": 1090, "agent": "y"},
    ]
    found = overruns_s([make_job("a", 0, 50)], events, {"x": 2.0, "y": 1.0})
    assert found == pytest.approx([0.005])


def test_missing_answers_have_infinite_ratios():
    """Guards against quantiles that leave out refused and unanswered jobs."""
    jobs = [make_job("a", 0, 50), make_job("b", 0, 50), make_job("c", 0, 50)]
    answers = [make_answer("a", response_s=0.3), make_answer("b", 200, whole=False)]
    reference_s = dict.fromkeys("abc", 0.1)
    found = response_ratios(jobs, answers, reference_s)
    assert found == pytest.approx([3.0, float("inf"), float("inf")])


@pytest.mark.parametrize("profile", PROFILES.values(), ids=list(PROFILES))
def test_generated_load(profile):
    """Guards against a load that varies between runs or differs from the stated one."""
    targets = target_plans(profile, 1)
    capacity = total_capacity(targets)
    jobs = steady_jobs(profile, targets, "steady", 30.0, 1)
    assert jobs == steady_jobs(profile, targets, "steady", 30.0, 1)
    assert offered_load(jobs, capacity, 0.0, 30.0) == pytest.approx(LOAD, rel=0.05)
    flood = flood_jobs(profile, targets, "f", profile.most_urgent, 4.0, 14.0, 1)
    assert offered_load(flood, capacity, 4.0, 14.0) >= 0.9 * FLOOD_LOAD
    speeds = [plan.speed for plan in targets]
    assert max(speeds) / min(speeds) == pytest.approx(4.0, rel=0.01)


@pytest.mark.parametrize(
    ("value", "bound", "more_is_better", "expected"),
    [
        (1.1, 1.1, False, True),
        (1.2, 1.1, False, False),
        (0.94, 0.95, True, False),
        (float("inf"), 2.0, False, False),
    ],
)
def test_is_met(value, bound, more_is_better, expected):
    """Guards against a missed bound reported as met."""
    assert is_met(value, bound, more_is_better) is expected
