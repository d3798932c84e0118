"""Names of customers' totals on the shared counter (no I/O, no clock)."""

from __future__ import annotations

from zlib import crc32

NAME_TTL_MS = 60_000.0  # the longest lifetime of a counter's name


def counter_name(now: float, customer: int, plan: str) -> tuple[int, float]:
    """Returns the customer's current name and its age in ms; customers change names at different moments."""
    turn, age = divmod(now + customer * 2654435761 % 2**32 / 2**32 * NAME_TTL_MS, NAME_TTL_MS)
    # each plan has names of its own: use counted at one rate gives a wrong level if read with another rate
    return (crc32(plan.encode()) & 0x1FFFFF) << 43 | (int(turn) & 0x3FF) << 33 | customer, age
