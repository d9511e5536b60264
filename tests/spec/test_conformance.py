"""Conformance of owners, dispatchers, fronts and agents to the ownership spec."""

import functools
import random

import pytest
import trio

from spec import ownership_variants
from tests.spec.agents_under_test import AgentsUnderTest
from tests.spec.system_under_test import SystemUnderTest

WALKS_PER_VARIANT = 20
MAX_STEPS = 40


def _variant_id(variant):
    return f"{variant.spec.name}, {variant.refutes or 'sound'}"


@functools.cache
def _counterexample(variant):
    return variant.counterexample(variant.explore())


def random_walk(spec, rng, max_steps=MAX_STEPS):
    """Yield up to `max_steps` random steps, each as (state, step, next state)."""
    state = spec.initial()
    for _ in range(max_steps):
        steps = spec.steps(state)
        if not steps:
            return
        step = rng.choice(steps)
        next_state = spec.apply(state, step)
        yield state, step, next_state
        state = next_state


@pytest.mark.parametrize("variant", ownership_variants.SOUND, ids=_variant_id)
async def test_agents_decide_as_specified(variant, mock_clock):
    """Guards against an agent that grants a fence or accepts a start wrongly.

    Random walks through each sound variant drive real agents, which must decide
    as the specification does.
    """
    for seed in range(WALKS_PER_VARIANT):
        rng = random.Random(f"{variant.spec.name} {seed}")
        agents = AgentsUnderTest(variant.spec, mock_clock)
        state, trace = variant.spec.first(), []
        for step in variant.spec.prefix:
            next_state = variant.spec.apply(state, step)
            agents.apply_step(state, step, next_state)
            state = next_state
        for before, step, after in random_walk(variant.spec, rng):
            trace.append(step)
            try:
                agents.apply_step(before, step, after)
                agents.compare(after)
            except AssertionError as exc:
                lines = "\n".join(map(str, trace))
                pytest.fail(f"seed {seed}: {exc}\n{lines}")
        assert all(count == 1 for count in agents.start_counts.values())


@pytest.mark.parametrize(
    "timestamped", [True, False], ids=["timestamped", "no timestamp"]
)
@pytest.mark.parametrize("variant", ownership_variants.BROKEN, ids=_variant_id)
async def test_counterexamples_do_not_break_the_system(
    variant, timestamped, mock_clock, monkeypatch
):
    """Guards against an implementation that lacks a rule of the specification.

    The steps that break an invariant once the rule is off must break none when
    the real processes execute them.
    """
    steps = _counterexample(variant)
    async with trio.open_nursery() as nursery:
        limits = variant.spec.limits
        system = SystemUnderTest(limits, mock_clock, monkeypatch, nursery, timestamped)
        await system.start()
        applied = []
        for step in (*variant.spec.prefix, *steps):
            if await system.apply_step(step):
                applied.append(step)
        await system.resubmit_and_complete()
        nursery.cancel_scope.cancel()
    assert not system.violations, "\n".join(map(str, (*system.violations, *applied)))
    print(len(applied), "of", len(steps), [s for s in steps if s not in applied])
