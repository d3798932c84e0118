"""Who does a duty: the first live one in an order that all agree on without talk (no I/O, no clock)."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=1 << 16)  # the same few thousand are asked for many times a second
def rank(role: str, name: str) -> bytes:
    """Where a name stands in a duty's order: the same everywhere, another order for each duty."""
    return blake2b(name.encode(), key=role.encode()[:64], digest_size=8).digest()


def ranked(role: str, names: Iterable[str]) -> list[str]:
    """The names in the duty's order."""
    return sorted(names, key=lambda name: (rank(role, name), name))


def first_ranked(role: str, names: Iterable[str]) -> str | None:
    """Who does the duty among these."""
    return min(names, key=lambda name: (rank(role, name), name), default=None)
