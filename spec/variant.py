"""Variant of a specification with the verdict that it must get."""

from dataclasses import dataclass

from spec.checking import Outcome, Specification, explore


@dataclass(frozen=True, slots=True)
class Variant:
    """Specification to explore.

    Attributes
    ----------
    refutes : str
        Invariant that must get a counterexample; empty for a sound variant.
    written : bool
        Whether this is a rule that the design as first written did not state.
    """

    spec: Specification
    refutes: str = ""
    written: bool = False

    def explore(self):
        """Return the `Outcome` of the exploration."""
        return explore(self.spec, only=self.refutes or None)

    def shortest(self, outcome):
        """Return the steps that break the invariant to refute; None if none do."""
        for finding in outcome.findings:
            if finding.invariant == self.refutes:
                return finding.steps
        return None

    def as_expected(self, outcome: Outcome):
        """Return whether an outcome is what the variant must get."""
        if self.refutes:
            return self.shortest(outcome) is not None
        return outcome.sound
