"""A token bucket whose fill time may run slower than the clock (no I/O, no clock)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit over the whole fleet.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests beyond the rate that may arrive at once, at least 1.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class FillTime:
    """Fill time of an owner's buckets since its term began.

    Attributes:
        backed_s: Seconds, each weighted by the fraction of the fleet that backed the owner.
        unbacked_s: Seconds, each weighted by the remaining fraction.
    """

    backed_s: float
    unbacked_s: float = 0.0


class TokenBucket:
    """The tokens of one tenant.

    The bucket fills with *fill time*, which its owner advances in proportion to the fraction of the fleet
    that backs it, and its capacity is that fraction of the burst. Two owners that split the fleet therefore
    hold and grant together as much as one owner would. Tokens above the capacity drain as fast as another
    owner's bucket could fill.
    """

    __slots__ = ("level", "limit", "time")

    def __init__(self, limit: QuotaLimit, time: FillTime) -> None:
        """Starts empty at the given fill time."""
        self.limit, self.time = limit, time
        self.level = 0.0

    def capacity(self, fraction: float) -> float:
        """Returns the capacity for an owner backed by a fraction of the fleet: at least one token."""
        return min(self.limit.burst, max(1.0, self.limit.burst * fraction))

    def refill(self, time: FillTime, fraction: float) -> None:
        """Advances the bucket to the given fill time, filling it up to a fraction of the burst."""
        gained = max(0.0, time.backed_s - self.time.backed_s) * self.limit.rate_per_s
        drained = max(0.0, time.unbacked_s - self.time.unbacked_s) * self.limit.rate_per_s
        self.time = time
        capacity = self.capacity(fraction)
        if self.level > capacity:
            self.level = max(capacity, self.level - drained)
        else:
            self.add(gained, fraction)

    def add(self, tokens: float, fraction: float) -> None:
        """Adds tokens, up to a fraction of the burst."""
        self.level = max(self.level, min(self.capacity(fraction), self.level + tokens))

    def take(self, wanted: int, reserve: float = 0.0) -> int:
        """Takes at most `wanted` whole tokens, leaves `reserve`, and returns the number taken."""
        taken = max(0, min(wanted, int(self.level - reserve)))
        self.level -= taken
        return taken

    def charge(self, tokens: int) -> None:
        """Charges requests that ran without a token, such as retries; the debt is limited to the burst."""
        self.level = max(-self.limit.burst, self.level - tokens)

    def change_limit(self, limit: QuotaLimit) -> None:
        """Sets a new limit; a higher one adds no tokens."""
        self.limit = limit
        self.level = min(self.level, limit.burst)
