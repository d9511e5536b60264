"""The specification of ownership against the real classes."""

import random

import pytest
import trio.testing

from spec import ownership_variants
from tests.spec.agents_side import AgentsSide

WALKS_PER_VARIANT = 20
MAX_STEPS = 40


def _title(variant):
    return f"{variant.spec.name}, {variant.refutes or 'sound'}"


def walk(spec, rng, max_steps=MAX_STEPS):
    """Yield random steps with the states before and after them."""
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
    """Guards against an agent that grants or starts what the rules forbid."""
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
