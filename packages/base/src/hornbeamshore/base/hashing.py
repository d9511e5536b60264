"""Rendezvous hashing and digests of configurations."""

import xxhash


def rendezvous_order(key, members):
    """Return the members in descending order of their weight for a key.

    Parameters
    ----------
    key : str
        Key to be assigned to a member.
    members : iterable of str
        Distinct names of the members.

    Returns
    -------
    list of str
        All members; the first one is preferred for the key. When a member joins or
        leaves, only the keys that it gains or loses are reassigned.
    """
    return sorted(members, key=lambda name: _weight(key, name), reverse=True)


def _weight(key, name):
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name


def content_digest(content):
    """Return the 8-byte XXH3 digest of the content of a configuration."""
    return xxhash.xxh3_64_digest(content)
