"""Conformance of owners, dispatchers, fronts and agents to the ownership spec."""

import functools
import random

import pytest
import trio

from spec import ownership_variants
from tests.spec.agents_side import AgentsSide
from tests.spec.system_side import SystemSide

WALKS_PER_VARIANT = 20
MAX_STEPS = 40


def _title(variant):
    return f"{variant.spec.name}, {variant.refutes or 'sound'}"


@functools.cache
def _counterexample(variant):
    return variant.shortest(variant.explore())


def walk(spec, rng, max_steps=MAX_STEPS):
    """Yield up to `max_steps` random steps, each as (state, step, next state)."""
    state = spec.initial()
    for _ in range(max_steps):
        steps = spec.steps(state)
        if not steps:
            return
        step = rng.choice(steps)
        following = spec.apply(state, step)
        yield state, step, following
        state = following


@pytest.mark.parametrize("variant", ownership_variants.SOUND, ids=_title)
async def test_agents_decide_as_specified(variant, mock_clock):
    """Guards against an agent that grants a fence or accepts a start wrongly.

    Random walks through each sound variant drive real agents, which must decide
    as the specification does.
    """
    for seed in range(WALKS_PER_VARIANT):
        rng = random.Random(f"{variant.spec.name} {seed}")
        agents = AgentsSide(variant.spec, mock_clock)
        state, trace = variant.spec.first(), []
        for step in variant.spec.prefix:
            following = variant.spec.apply(state, step)
            agents.take(state, step, following)
            state = following
        for before, step, after in walk(variant.spec, rng):
            trace.append(step)
            try:
                agents.take(before, step, after)
                agents.compare(after)
            except AssertionError as exc:
                lines = "\n".join(map(str, trace))
                pytest.fail(f"seed {seed}: {exc}\n{lines}")
        assert all(count == 1 for count in agents.starts.values())


@pytest.mark.parametrize("stamped", [True, False], ids=["stamped", "unstamped"])
@pytest.mark.parametrize("variant", ownership_variants.BROKEN, ids=_title)
async def test_counterexamples_do_not_break_the_system(
    variant, stamped, mock_clock, monkeypatch
):
    """Guards against an implementation that lacks a rule of the specification.

    The steps that break an invariant once the rule is off must break none when
    the real processes execute them.
    """
    steps = _counterexample(variant)
    async with trio.open_nursery() as nursery:
        limits = variant.spec.limits
        world = SystemSide(limits, mock_clock, monkeypatch, nursery, stamped)
        await world.begin()
        taken = []
        for step in (*variant.spec.prefix, *steps):
            if await world.take(step):
                taken.append(step)
        await world.finish()
        nursery.cancel_scope.cancel()
    assert not world.faults, "\n".join(map(str, (*world.faults, *taken)))
    print(len(taken), "of", len(steps), [s for s in steps if s not in taken])
