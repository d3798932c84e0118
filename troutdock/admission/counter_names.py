"""What customers' numbers on the shared counter are called (no I/O, no clock)."""

from __future__ import annotations

from zlib import crc32

NAME_TTL_MS = 60_000.0  # the longest life of a counter's name


def counter_name(now: float, customer: int, plan: str) -> tuple[int, float]:
    """The customer's name of this minute and its age in ms; customers change theirs at different moments."""
    turn, age = divmod(now + customer * 2654435761 % 2**32 / 2**32 * NAME_TTL_MS, NAME_TTL_MS)
    # a plan has names of its own: use under one rate, read with another's, would tell a false store
    return (crc32(plan.encode()) & 0x1FFFFF) << 43 | (int(turn) & 0x3FF) << 33 | customer, age
