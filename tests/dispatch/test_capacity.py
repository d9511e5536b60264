"""Tests of the choice among agents in fleets of any size."""

import random

import pytest

from hornbeamshore.dispatch.capacity import CapacityIndex, FreeCapacityGroups
from hornbeamshore.dispatch.containment import Containment
from hornbeamshore.dispatch.evidence import RecentStarts
from hornbeamshore.dispatch.fleet import AgentView, Fleet
from hornbeamshore.dispatch.jobs import Job
from hornbeamshore.dispatch.placement import FastestEligible
from hornbeamshore.dispatch.settings import DispatchSettings
from hornbeamshore.policy.runtimes import LearnedRunTimes
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import AgentReport, Resources, TargetDescription

from .conftest import QUEUE, make_job

CAPACITY = Resources(32000, 65536, 0)
CFG = DispatchSettings("perth")


class OpenConnection:
    """Connection of an agent that was heard at time 0."""

    last_received_at = 0.0

    def set_active(self, is_active):
        pass


class CountingPlacement(FastestEligible):
    """Counts the agents that are looked at."""

    looks = 0

    def _is_eligible(self, task, view, now):
        self.looks += 1
        return super()._is_eligible(task, view, now)


def add_agent(index, number, free_cpu, data_centre="perth", labels=()):
    peer = Identity("test", "agent", f"agent-{number}", 1, data_centre)
    view = AgentView(peer, index)
    view.attach_connection(OpenConnection(), 0.0)
    description = TargetDescription(f"t-{number}", QUEUE.service, labels, CAPACITY)
    free = Resources(free_cpu, CAPACITY.mem_mb, 0)
    view.apply_report(AgentReport(True, free, 0, (), True, (), description))
    return view


def make_placement(rng):
    evidence = RecentStarts(CFG.containment)
    containment = Containment(CFG.containment, Fleet(), evidence)
    return CountingPlacement(CFG, LearnedRunTimes(CFG.run_times), rng, containment)


def first_task(**changes):
    return Job(make_job(1, **changes), QUEUE, 0.0).tasks[0][0]


def looks_per_choice(agent_count, rng):
    index = CapacityIndex("perth", rng)
    for number in range(agent_count):
        data_centre = ("perth", "dundee", "stirling")[number % 3]
        add_agent(index, number, rng.choice([3000, 9000, 20000]), data_centre)
    placement = make_placement(rng)
    for _ in range(200):
        assert placement.choose(first_task(), index.service(QUEUE.service), 0.0)
    return placement.looks / 200


@pytest.mark.parametrize("agent_count", [160, 1000])
def test_the_looks_of_a_choice_do_not_grow_with_the_fleet(agent_count):
    """Guards against a placement that costs an entry more the larger the fleet is."""
    few = looks_per_choice(11, random.Random(1))
    assert looks_per_choice(agent_count, random.Random(1)) <= 1.5 * few


@pytest.mark.parametrize("agent_count", [1, 11, 160])
@pytest.mark.parametrize(
    "changes",
    [{}, {"required_label": "gpu"}, {"preferred_rack": "r7"}],
    ids=["any agent", "label", "rack"],
)
def test_a_task_waits_only_if_no_agent_is_eligible(agent_count, changes):
    """Guards against jobs that wait or are refused although an agent is free."""
    rng = random.Random(agent_count)
    for _ in range(60):
        index = CapacityIndex("perth", rng)
        views = [
            add_agent(
                index,
                number,
                # At most one agent has enough; the others have slightly too little.
                rng.choice([0, 1500, 1990]) if number else rng.choice([1999, 2000]),
                rng.choice(["perth", "dundee"]),
                rng.choice([("gpu",), ("r7",), ()]),
            )
            for number in range(agent_count)
        ]
        task = first_task(**changes)
        label = changes.get("required_label")
        has_eligible = any(
            task.step_spec.needs.fits_in(view.free)
            and (not label or label in view.description.labels)
            for view in views
        )
        agents = index.service(QUEUE.service)
        chosen = make_placement(rng).choose(task, agents, 0.0)
        assert (chosen is not None) == has_eligible


def test_tasks_prefer_their_rack_and_agents_that_are_heard():
    """Guards against a small share of the fleet being missed by the random choice."""
    rng = random.Random(3)
    index = CapacityIndex("perth", rng)
    views = [
        add_agent(index, number, 20000, labels=("r7",) if number < 4 else ("r1",))
        for number in range(160)
    ]
    for view in views[:2]:
        view.conn = OpenConnection()
        view.conn.last_received_at = -CFG.max_silence - 0.1
    agents = index.service(QUEUE.service)
    placement = make_placement(rng)
    for _ in range(50):
        chosen = placement.choose(first_task(preferred_rack="r7"), agents, 0.0)
        assert chosen in views[2:4]


def test_groups_hold_each_agent_once_through_changes():
    """Guards against agents that are lost from the index or chosen after they left."""
    rng = random.Random(5)
    index = CapacityIndex("perth", rng)
    groups = FreeCapacityGroups()
    views = [add_agent(index, number, 1000) for number in range(30)]
    present = set()
    for _ in range(2000):
        view = rng.choice(views)
        if rng.random() < 0.3:
            groups.remove(view)
            present.discard(view)
        else:
            view.free = Resources(rng.randrange(-2000, 32000), 0, 0)
            groups.put(view)
            present.add(view)
        need = rng.randrange(32000)
        found = list(groups.all_with(need))
        assert len(found) == len(set(found))
        assert (
            {v for v in present if v.free.cpu_millis >= need} <= set(found) <= present
        )
        drawn = groups.draw(need, 5, rng)
        assert set(drawn) <= set(found)
        assert len(drawn) == min(5, len(found))
    assert len(groups) == len(present)


@pytest.mark.parametrize("change", ["closed", "not accepting", "other service"])
def test_agents_that_cannot_run_tasks_leave_the_index(change):
    """Guards against orders to an agent that is lost, leaves or serves others."""
    index = CapacityIndex("perth", random.Random(1))
    view = add_agent(index, 1, 20000)
    if change == "closed":
        view.detach_connection(0.0)
    elif change == "not accepting":
        view.apply_report(AgentReport(False, CAPACITY, 0))
    else:
        other = TargetDescription("t-2", "other", (), CAPACITY)
        report = AgentReport(True, CAPACITY, 0, (), True, (), other)
        view.apply_report(report)
    assert index.service(QUEUE.service).views == {}
    assert index.is_empty == (change != "other service")
    assert not list(index.service(QUEUE.service).near.all_with(0))
