"""A token bucket whose time may run slower than the clock (no I/O, no clock)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What a tenant may use over the whole fleet.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beyond that at once, at least 1.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class FillTime:
    """How long an owner was backed since its term began, by the part of the fleet that backed it.

    Attributes:
        backed_s: Seconds, each counted by that part.
        unbacked_s: The same for the rest of the fleet.
    """

    backed_s: float
    unbacked_s: float = 0.0


class TokenBucket:
    """The tokens of one tenant.

    It fills by *filling time*, which its owner advances by the part of the fleet that takes it for the owner,
    and holds that part of the burst: two owners that divide the fleet between them hold and give out together
    what one would. What it holds beyond its part drains as fast as another owner could fill.
    """

    __slots__ = ("level", "limit", "time")

    def __init__(self, limit: QuotaLimit, time: FillTime) -> None:
        """Begin empty at the given time."""
        self.limit, self.time = limit, time
        self.level = 0.0

    def capacity(self, part: float) -> float:
        """The tokens that it holds at an owner whom that part of the fleet backs: at least one."""
        return min(self.limit.burst, max(1.0, self.limit.burst * part))

    def refill(self, time: FillTime, part: float) -> None:
        """Add what the rate yields until the given time, up to the given part of the burst."""
        gained = max(0.0, time.backed_s - self.time.backed_s) * self.limit.rate_per_s
        drained = max(0.0, time.unbacked_s - self.time.unbacked_s) * self.limit.rate_per_s
        self.time = time
        capacity = self.capacity(part)
        if self.level > capacity:
            self.level = max(capacity, self.level - drained)
        else:
            self.add(gained, part)

    def add(self, tokens: float, part: float) -> None:
        """Add tokens, up to the given part of the burst."""
        self.level = max(self.level, min(self.capacity(part), self.level + tokens))

    def take(self, wanted: int, reserve: float = 0.0) -> int:
        """Take at most `wanted` whole tokens and leave `reserve`; the number that was taken."""
        taken = max(0, min(wanted, int(self.level - reserve)))
        self.level -= taken
        return taken

    def charge(self, tokens: int) -> None:
        """Requests that ran without a token, such as second attempts; bounded, so that a debt ends."""
        self.level = max(-self.limit.burst, self.level - tokens)

    def change_limit(self, limit: QuotaLimit) -> None:
        """Another limit from now on; a higher one gives no tokens by itself."""
        self.limit = limit
        self.level = min(self.level, limit.burst)
