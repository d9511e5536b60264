"""Model-check each variant of each specification and print the results.

Usage: ``python -m spec [--trace] [WORD ...]``. Only variants whose names contain each
WORD are checked; ``--trace`` prints the steps of each counterexample. In the report,
``*`` marks variants without a rule that was missing from the first design.
"""

import sys

from spec import configuration, dispatching, leaving, ownership_variants

GROUPS = (dispatching, ownership_variants, configuration, leaving)


def _print_steps(steps):
    for number, step in enumerate(steps, 1):
        print(f"      {number:2}. {step}")


def _check_variant(variant, trace):
    """Explore a variant and print its result.

    Returns
    -------
    expected : bool
        Whether the variant has its expected result.
    outcome : Outcome
        Result of the exploration.
    """
    outcome = variant.explore()
    expected = variant.is_expected(outcome)
    if variant.refutes:
        steps = variant.counterexample(outcome)
        verdict = f"{len(steps)} steps" if steps else "NOT REFUTED"
        mark = "*" if variant.added_later else " "
        print(f"  {mark} {outcome.name}: {variant.refutes}: {verdict}", end="")
    else:
        verdict = "holds" if outcome.sound else "FAILS"
        if not outcome.exhaustive:
            verdict = "NOT EXHAUSTIVE"
        print(f"    {outcome.name}: {verdict}", end="")
    print(f" ({outcome.states} states, {outcome.seconds:.1f} s; {variant.spec.bounds})")
    if trace or (not variant.refutes and outcome.violations):
        for violation in outcome.violations:
            print(f"    {violation.invariant}:")
            _print_steps(violation.steps)
    sys.stdout.flush()
    return expected, outcome


def main(arguments):
    """Return the exit code: 0 if each variant has its expected result, else 1."""
    trace = "--trace" in arguments
    words = [word for word in arguments if word != "--trace"]
    failures = states = 0
    seconds = 0.0
    for title, attribute in (
        ("Sound variants", "SOUND"),
        ("Broken variants", "BROKEN"),
    ):
        print(f"{title}:")
        for variant in (v for group in GROUPS for v in getattr(group, attribute)):
            if not all(word in variant.spec.name for word in words):
                continue
            expected, outcome = _check_variant(variant, trace)
            failures += not expected
            states += outcome.states
            seconds += outcome.seconds
    print(f"{states} states in {seconds:.1f} s; {failures} unexpected verdicts")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
