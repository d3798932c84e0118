"""The token buckets of one shard at its owner (no I/O, no clock).

Theory of operation. The fill time of an owner advances at a rate equal to its *backed fraction* of the fleet:
the proxies of its own zone that it is linked to, plus the weight of the vote of each other zone's aggregator.
A zone votes for one owner at a time, and a vote expires after VOTE_LIFETIME_S. The backed fractions of all
owners therefore add up to at most one, except for VOTE_LIFETIME_S after a change of owner, when the zones
that changed their vote count twice. The capacity of an owner's buckets is its backed fraction of the burst. A
new owner starts with empty buckets, because leases of its predecessor may still be spent; only the levels
that the predecessor hands over are added.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from troutdock.quota.bucket import FillTime, QuotaLimit, TokenBucket

VOTE_LIFETIME_S = 0.6  # a vote expires then; three are sent within this time
RESERVE_FRACTION = 0.02  # of the burst, reserved for clients that return at their scheduled retry time
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.5  # retry interval of a requester that got less than it wanted
ACTIVE_WINDOW_S = 1.0  # requesters that asked within this time share the tokens of the rate
FULL_FILL_TIME_S = 1e9  # fill time of an owner whose buckets are known to be full


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a demand for tokens.

    Attributes:
        granted: Tokens, to be spent at once.
        retry_after_s: How long to wait before the next demand; 0 if everything was granted.
    """

    granted: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Vote:
    weight: int
    expires_at: float
    voter: str


class ShardOwner:
    """State of one shard at its owner, for one term."""

    def __init__(self, term: str, now: float, full: bool) -> None:
        """Starts a term.

        Args:
            term: Identifies this ownership; leases of another term can't be returned here.
            now: Seconds.
            full: No tokens can have been spent before, because the whole fleet has just started.
        """
        self.term, self.started_at = term, now
        self._backed_s = FULL_FILL_TIME_S if full else 0.0
        self._unbacked_s = 0.0
        self._advanced_at = now
        self._backed_fraction = 0.0
        self._buckets: dict[str, TokenBucket] = {}
        self._votes: dict[str, _Vote] = {}  # by zone
        self._last_demand_at: dict[str, dict[str, float]] = {}  # by tenant, by requester
        self.has_adopted = False  # its buckets contain levels handed over by a previous owner

    # ---- fill time

    def advance(self, now: float) -> None:
        """Advances the fill time until now at the current backed fraction."""
        elapsed_s = max(0.0, now - self._advanced_at)
        self._backed_s += elapsed_s * self._backed_fraction
        self._unbacked_s += elapsed_s * (1 - self._backed_fraction)
        self._advanced_at = max(now, self._advanced_at)

    @property
    def _time(self) -> FillTime:
        return FillTime(self._backed_s, self._unbacked_s)

    def update_backing(self, now: float, zone_size: int, fleet_size: int) -> float:
        """Recomputes the backed fraction.

        Args:
            now: Seconds.
            zone_size: Number of linked proxies in the own zone, including this one.
            fleet_size: Number of all proxies; 0 if unknown.

        Returns:
            The fraction of the fleet that backs this owner, from 0 to 1.
        """
        self.advance(now)
        for zone in [zone for zone, vote in self._votes.items() if vote.expires_at <= now]:
            del self._votes[zone]
        backing = zone_size + sum(vote.weight for vote in self._votes.values())
        self._backed_fraction = min(1.0, backing / fleet_size) if fleet_size else 0.0
        return self._backed_fraction

    def vote(self, now: float, zone: str, weight: int, voter: str) -> None:
        """Records the vote of a zone; weight: its number of proxies, 0 to withdraw the vote."""
        if weight > 0:
            self._votes[zone] = _Vote(weight, now + VOTE_LIFETIME_S, voter)
        else:
            self._votes.pop(zone, None)

    def forget_voter(self, voter: str) -> None:
        """Drops the votes received from a peer whose link has closed."""
        for zone in [zone for zone, vote in self._votes.items() if vote.voter == voter]:
            del self._votes[zone]

    # ---- tokens

    def _bucket(self, tenant: str, limit: QuotaLimit) -> TokenBucket:
        """Returns the tenant's bucket, filled until now."""
        bucket = self._buckets.get(tenant)
        if bucket is None:  # as if it had been empty at the start of the term
            bucket = self._buckets[tenant] = TokenBucket(limit, FillTime(0.0))
        elif bucket.limit != limit:
            bucket.refill(self._time, self._backed_fraction)
            bucket.change_limit(limit)
        bucket.refill(self._time, self._backed_fraction)
        return bucket

    def grant(
        self, now: float, requester: str, tenant: str, limit: QuotaLimit, wanted: int, returning: int = 0
    ) -> Answer:
        """Leases tokens.

        Args:
            now: Seconds.
            requester: Name of the requesting peer.
            tenant: Name of the tenant.
            limit: Its quota, as configured at this proxy.
            wanted: Tokens requested.
            returning: How many of them are for clients that return at their scheduled retry time; these may
                also use the reserve.

        Returns:
            Whole tokens, at most `wanted`, and when to ask for the rest.
        """
        self.advance(now)
        bucket = self._bucket(tenant, limit)
        demand_times = self._last_demand_at.setdefault(tenant, {})
        demand_times[requester] = now
        granted = bucket.take(min(returning, wanted))
        reserve = min(RESERVE_FRACTION * limit.burst, bucket.capacity(self._backed_fraction) - 1)
        granted += bucket.take(wanted - granted, reserve)
        if granted >= wanted:
            return Answer(granted)
        return Answer(granted, self._retry_after(now, limit, demand_times))

    def _retry_after(self, now: float, limit: QuotaLimit, demand_times: dict[str, float]) -> float:
        """Returns the retry interval at which all active requesters together ask twice per new token."""
        for name in [name for name, at in demand_times.items() if now - at > ACTIVE_WINDOW_S]:
            del demand_times[name]
        fill_per_s = limit.rate_per_s * self._backed_fraction
        wait = len(demand_times) / (2 * fill_per_s) if fill_per_s > 0 else inf
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait))

    def put_back(self, tenant: str, limit: QuotaLimit, tokens: int) -> None:
        """Puts back tokens of this term that were not spent."""
        self._bucket(tenant, limit).add(tokens, self._backed_fraction)

    def charge(self, now: float, tenant: str, limit: QuotaLimit, tokens: int) -> None:
        """Charges requests of a tenant that were sent to a backend without a token."""
        self.advance(now)
        self._bucket(tenant, limit).charge(tokens)

    def add_tenants(self, now: float, limits: Mapping[str, QuotaLimit]) -> None:
        """Adds tenants that had no limit before; their buckets start empty, regardless of earlier use."""
        self.advance(now)
        for tenant, limit in limits.items():
            self._buckets[tenant] = TokenBucket(limit, self._time)

    def drop_tenants(self, tenants: set[str]) -> None:
        """Drops tenants that were removed or no longer have a limit."""
        for tenant in tenants:
            self._buckets.pop(tenant, None)
            self._last_demand_at.pop(tenant, None)

    # ---- handover

    def levels(self, now: float) -> tuple[float, dict[str, float]]:
        """Returns the backed fill time and the level of each bucket; nothing may be granted afterwards."""
        self.advance(now)
        for bucket in self._buckets.values():
            bucket.refill(self._time, self._backed_fraction)
        return self._backed_s, {tenant: bucket.level for tenant, bucket in self._buckets.items()}

    def adopt(
        self, now: float, backed_s: float, levels: Mapping[str, float], limits: Mapping[str, QuotaLimit]
    ) -> None:
        """Adds the levels handed over by the previous owner, which no longer grants tokens."""
        self.advance(now)
        self.has_adopted = True
        for tenant in levels:
            if (limit := limits.get(tenant)) is not None:
                self._bucket(tenant, limit)
        for tenant, bucket in self._buckets.items():
            bucket.refill(self._time, self._backed_fraction)
            bucket.add(levels.get(tenant, bucket.limit.rate_per_s * backed_s), self._backed_fraction)
            bucket.time = FillTime(self._backed_s + backed_s, self._unbacked_s)
        self._backed_s += backed_s  # for tenants without a bucket at either owner
