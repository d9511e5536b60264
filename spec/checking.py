"""Exhaustive exploration of the reachable states of a specification."""

import gc
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import minicheck
from minicheck._core import SearchIncomplete

MAX_STATES = 1_000_000


class RefutedError(SearchIncomplete):
    """Raised to end an exploration once the invariant to refute is violated."""


class Specification(ABC):
    """Transition system with immutable states, and the invariants to check.

    Attributes
    ----------
    name : str
        Name of the variant.
    bounds : str
        Bounds of the exploration, as shown in the report.
    invariants : tuple of str
        Names of the invariants.
    """

    name = ""
    bounds = ""
    invariants = ()

    @abstractmethod
    def initial(self):
        """Return the initial state."""

    @abstractmethod
    def steps(self, state):
        """Return the steps that are enabled in a state."""

    @abstractmethod
    def apply(self, state, step):
        """Return the successor of a state under a step."""

    @abstractmethod
    def violations(self, state):
        """Return the names of the invariants that a state violates."""


@dataclass(frozen=True, slots=True)
class Violation:
    """Violated invariant with a shortest counterexample."""

    invariant: str
    steps: tuple[object, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one exploration; `exhaustive` is false if it ended early."""

    name: str
    states: int
    exhaustive: bool
    seconds: float
    violations: tuple[Violation, ...]

    @property
    def sound(self):
        """Whether all reachable states were visited and no invariant is violated."""
        return self.exhaustive and not self.violations


def explore(spec, max_states=MAX_STATES, only=None):
    """Visit each reachable state of a specification.

    States that violate an invariant are not expanded, because their successors say
    nothing about the protocol.

    Parameters
    ----------
    spec : Specification
        Specification to explore.
    max_states : int
        Number of states after which the exploration ends.
    only : str, optional
        Invariant to refute. The exploration ends at its first counterexample, which
        is a shortest one.

    Returns
    -------
    Outcome
        Result of the exploration.
    """
    last = (None, frozenset())

    def violations(state):
        # The checker asks once per invariant; each state is evaluated only once.
        nonlocal last
        if state is not last[0]:
            last = (state, spec.violations(state))
        return last[1]

    def transitions(state):
        violated = violations(state[0])
        if only in violated:
            raise RefutedError(only)
        if violated:
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
    gc.disable()  # All states stay reachable, and each collection scans all of them.
    try:
        result = minicheck.check_safety(protocol, max_states)
    finally:
        if collecting:
            gc.enable()
    found_violations = tuple(
        Violation(name, tuple(node["label"] for node in found["counterexample"][1:]))
        for name, found in result["properties"].items()
        if found["holds"] is False
    )
    return Outcome(
        spec.name,
        result["reachable_states"],
        result["exhaustive"],
        time.monotonic() - begin,
        found_violations,
    )


def replay(spec, steps, state=None):
    """Apply steps one by one, from the initial state or from `state` if given.

    Returns
    -------
    list
        State before the first step and the state after each step.

    Raises
    ------
    ValueError
        If a step is not enabled in the state before it.
    """
    states = [spec.initial() if state is None else state]
    for step in steps:
        if step not in spec.steps(states[-1]):
            raise ValueError(f"{step} is not enabled in {states[-1]}")
        states.append(spec.apply(states[-1], step))
    return states
