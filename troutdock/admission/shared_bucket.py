"""Token bucket arithmetic for a customer's quota that several gateways share (no I/O, no clock)."""

from __future__ import annotations


class SharedBucket:
    """One gateway's estimate of a customer's shared token bucket, in fractions of its burst."""

    __slots__ = ("deficit", "fill_rate", "synced", "unreported", "updated_at")

    def __init__(self, now: float, fill_rate: float, unreported: float) -> None:
        self.deficit, self.updated_at, self.fill_rate, self.synced, self.unreported = (
            0.0,
            now,
            fill_rate,
            False,
            unreported,
        )

    def level(self, now: float) -> float:
        """Returns the level: at most 1, and negative if actual use exceeded the estimates."""
        self.deficit, self.updated_at = (
            max(0.0, self.deficit - (now - self.updated_at) * self.fill_rate),
            max(now, self.updated_at),
        )
        return 1.0 - self.deficit

    def consume(self, now: float, amount: float) -> None:
        """Takes an amount, or returns one if it is negative; use beyond the quota takes nothing."""
        self.level(now)
        self.deficit = max(0.0, min(max(1.0, self.deficit), self.deficit + amount))
