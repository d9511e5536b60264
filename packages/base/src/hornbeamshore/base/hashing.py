"""Rendezvous hashing."""

import xxhash


def rendezvous_order(key, members):
    """Return the members in order of preference for a key.

    Parameters
    ----------
    key : str
        What is to be placed.
    members : iterable of str
        Distinct names of the candidates.

    Returns
    -------
    list of str
        All members, the preferred one first. A member that joins or leaves moves
        only the keys that it gains or had.
    """
    return sorted(members, key=lambda name: _weight(key, name), reverse=True)


def _weight(key, name):
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name
