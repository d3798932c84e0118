"""Rendezvous hashing: assigns a role to a process without coordination (no I/O, no clock).

For each role, all processes rank the candidates in the same order by a hash of role and name. The first live
candidate holds the role.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=1 << 16)  # the same few thousand pairs are looked up many times a second
def rank(role: str, name: str) -> bytes:
    """Returns the sort key of a name for a role; it is the same in every process."""
    return blake2b(name.encode(), key=role.encode()[:64], digest_size=8).digest()


def ranked(role: str, names: Iterable[str]) -> list[str]:
    """Returns the names in the order of their rank for the role."""
    return sorted(names, key=lambda name: (rank(role, name), name))


def first_ranked(role: str, names: Iterable[str]) -> str | None:
    """Returns the name that holds the role among these, or None if there are no names."""
    return min(names, key=lambda name: (rank(role, name), name), default=None)
