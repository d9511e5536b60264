"""Refused keys, by which an owner refuses late copies of a submission."""

from collections import OrderedDict

# Front ends drop a submission after its deadline, which is at most 60 s away.
REFUSAL_RETENTION_S = 65.0
MAX_KEYS = 100_000


class RefusedKeys:
    """Recent refusals, by key.

    A caller may send copies of one submission to several front ends. After one copy
    was refused with the run state ``NOT_RUN``, a copy that reached its front end
    before the refusal must not run. A later copy is a new submission.
    """

    def __init__(self):
        self._refusals = OrderedDict()

    def add(self, key, refusal, now):
        """Record the refusal of a key, and drop expired or surplus refusals."""
        self._refusals.pop(key, None)
        self._refusals[key] = (now, refusal)
        while self._refusals:
            oldest, (refused_at, _) = next(iter(self._refusals.items()))
            if (
                now - refused_at <= REFUSAL_RETENTION_S
                and len(self._refusals) <= MAX_KEYS
            ):
                break
            del self._refusals[oldest]

    def refusal_of(self, key, arrived_at):
        """Return the refusal that applies to a copy of a submission, or None.

        Parameters
        ----------
        arrived_at : float
            When the copy reached its front end, in seconds of the owner's clock.
        """
        refused_at, refusal = self._refusals.get(key, (0.0, None))
        return refusal if arrived_at <= refused_at else None

    def forget(self, key):
        """Remove the refusal of a key whose later submission was accepted."""
        self._refusals.pop(key, None)
