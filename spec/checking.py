"""Exhaustive exploration of a specification and the verdict on it."""

import gc
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import minicheck
from minicheck._core import SearchIncomplete

MAX_STATES = 1_000_000


class RefutedError(SearchIncomplete):
    """The invariant to refute is broken, so the rest need not be seen."""


class Specification(ABC):
    """Protocol that steps take from one immutable state to the next.

    Attributes
    ----------
    name : str
        Name of the variant.
    bounds : str
        Bounds of the exploration, for the report.
    invariants : tuple of str
        Names of the invariants.
    """

    name = ""
    bounds = ""
    invariants = ()

    @abstractmethod
    def initial(self):
        """Return the first state."""

    @abstractmethod
    def steps(self, state):
        """Return the steps that are possible in a state."""

    @abstractmethod
    def apply(self, state, step):
        """Return the state after a step."""

    @abstractmethod
    def violations(self, state):
        """Return the names of the invariants that a state breaks."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Broken invariant with the shortest steps that lead to it."""

    invariant: str
    steps: tuple[object, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one exploration; `exhaustive` is false when it stopped early."""

    name: str
    states: int
    exhaustive: bool
    seconds: float
    findings: tuple[Finding, ...]

    @property
    def sound(self):
        """Return whether all states were seen and no invariant is broken."""
        return self.exhaustive and not self.findings


def explore(spec, max_states=MAX_STATES, only=None):
    """Return the `Outcome` of visiting each reachable state of a specification.

    States that break an invariant have no successors: what follows a broken
    state says nothing about the protocol. With `only`, the invariant to refute,
    the exploration ends at its first counterexample, which is a shortest one.
    """
    last = (None, frozenset())

    def violations(state):
        # The checker asks once for each invariant; a state is judged once.
        nonlocal last
        if state is not last[0]:
            last = (state, spec.violations(state))
        return last[1]

    def transitions(state):
        broken = violations(state[0])
        if only in broken:
            raise RefutedError(only)
        if broken:
            return []
        return [(step, (spec.apply(state[0], step),)) for step in spec.steps(state[0])]

    def holds(invariant):
        return lambda named: invariant not in violations(named["state"])

    protocol = minicheck.Protocol(
        name=spec.name,
        candidate=False,
        fields=("state",),
        initial=(spec.initial(),),
        transitions=transitions,
        invariants={name: holds(name) for name in spec.invariants},
    )
    begin = time.monotonic()
    collecting = gc.isenabled()
    gc.disable()  # Nothing is garbage here, and each collection visits all states.
    try:
        result = minicheck.check_safety(protocol, max_states)
    finally:
        if collecting:
            gc.enable()
    findings = tuple(
        Finding(name, tuple(place["label"] for place in found["counterexample"][1:]))
        for name, found in result["properties"].items()
        if found["holds"] is False
    )
    return Outcome(
        spec.name,
        result["reachable_states"],
        result["exhaustive"],
        time.monotonic() - begin,
        findings,
    )


def replay(spec, steps, state=None):
    """Return the states that steps pass through from the first, or a given, state.

    Raises
    ------
    ValueError
        If a step is not possible in its state.
    """
    states = [spec.initial() if state is None else state]
    for step in steps:
        if step not in spec.steps(states[-1]):
            raise ValueError(f"{step} is not possible in {states[-1]}")
        states.append(spec.apply(states[-1], step))
    return states
