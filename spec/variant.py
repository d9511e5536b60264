"""Variant of a specification with its expected result."""

from dataclasses import dataclass

from spec.checking import Outcome, Specification, explore


@dataclass(frozen=True, slots=True)
class Variant:
    """Specification to explore, with its expected result.

    Attributes
    ----------
    spec : Specification
        Specification to explore.
    refutes : str
        Invariant that must have a counterexample; empty if all invariants must hold.
    added_later : bool
        Whether the rule that this variant lacks was missing from the first design.
    """

    spec: Specification
    refutes: str = ""
    added_later: bool = False

    def explore(self):
        """Return the `Outcome` of the exploration."""
        return explore(self.spec, only=self.refutes or None)

    def counterexample(self, outcome):
        """Return the counterexample of the invariant to refute, or None."""
        for violation in outcome.violations:
            if violation.invariant == self.refutes:
                return violation.steps
        return None

    def is_expected(self, outcome: Outcome):
        """Return whether an outcome is the expected result of the variant."""
        if self.refutes:
            return self.counterexample(outcome) is not None
        return outcome.sound
