"""Keys that an owner refused as not run, and copies that come after the refusal."""

from collections import OrderedDict

# A front gives a submission up after its deadline, which is at most 60 s.
KEEP_S = 65.0
MAX_KEYS = 100_000


class RefusedKeys:
    """Refusals of the last minute, by key.

    A caller may send copies of one submission through several fronts. If one copy
    was refused as ``not run``, a copy that reached its front before that refusal
    must not run later; one that came after it is a new submission.
    """

    def __init__(self):
        self._refused = OrderedDict()

    def add(self, key, refusal, now):
        """Keep that a key was refused."""
        self._refused.pop(key, None)
        self._refused[key] = (now, refusal)
        while self._refused:
            oldest, (refused_at, _) = next(iter(self._refused.items()))
            if now - refused_at <= KEEP_S and len(self._refused) <= MAX_KEYS:
                break
            del self._refused[oldest]

    def refusal_of(self, key, arrived_at):
        """Return the refusal that a copy of a key must share, or None.

        Parameters
        ----------
        arrived_at : float
            When the copy reached its front, on the owner's clock.
        """
        refused_at, refusal = self._refused.get(key, (0.0, None))
        return refusal if arrived_at <= refused_at else None

    def forget(self, key):
        """Forget a key that was submitted anew and accepted."""
        self._refused.pop(key, None)
