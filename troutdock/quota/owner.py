"""The buckets of one shard at its owner: who may lease how much (no I/O, no clock).

Theory of operation. An owner's filling time runs at the *backed part* of the fleet: the proxies of its
own zone that it is linked to, and for each other zone what that zone's aggregator votes. A zone votes for
one owner at a time, and a vote lasts VOTE_LIFETIME_S, so the backed parts of all owners add up to one,
and for VOTE_LIFETIME_S after a change of owner to one and the zones that changed. An owner's buckets hold
its backed part of the burst. A new owner begins with empty buckets, as leases of the one before may still
be spent; only what that one hands over in order is added.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from troutdock.quota.bucket import FillTime, QuotaLimit, TokenBucket

VOTE_LIFETIME_S = 0.6  # so long a zone's vote counts: three of them are sent in it
RESERVE_FRACTION = 0.02  # of the burst: what only clients that return at their appointed time may take
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.5  # how long one that got less than it wanted is to wait
ACTIVE_WINDOW_S = 1.0  # who has asked in this time takes part in what the rate yields
FULL_FILL_TIME_S = 1e9  # filling time of an owner whose buckets are known to be full


@dataclass(frozen=True, slots=True)
class Answer:
    """What a request for tokens gets.

    Attributes:
        granted: Tokens, to be spent at once.
        retry_after_s: For how long it is of no use to ask again; 0 where all was granted.
    """

    granted: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Vote:
    weight: int
    expires_at: float
    voter: str


class ShardOwner:
    """The owner's state of one shard, from the moment at which it became owner."""

    def __init__(self, term: str, now: float, full: bool) -> None:
        """Begin a term.

        Args:
            term: Names this ownership; leases of another term can't be handed back here.
            now: Seconds.
            full: No tokens can have been spent before, as the whole fleet has just started.
        """
        self.term, self.started_at = term, now
        self._backed_s = FULL_FILL_TIME_S if full else 0.0
        self._unbacked_s = 0.0
        self._advanced_at = now
        self._backed_part = 0.0
        self._buckets: dict[str, TokenBucket] = {}
        self._votes: dict[str, _Vote] = {}  # by zone
        self._asked_at: dict[str, dict[str, float]] = {}  # by tenant, by requester
        self.has_adopted = False  # what an owner before has handed over is in its buckets

    # ---- filling time

    def advance(self, now: float) -> None:
        """Let filling time run until now at the backed part that held."""
        gone_s = max(0.0, now - self._advanced_at)
        self._backed_s += gone_s * self._backed_part
        self._unbacked_s += gone_s * (1 - self._backed_part)
        self._advanced_at = max(now, self._advanced_at)

    @property
    def _time(self) -> FillTime:
        return FillTime(self._backed_s, self._unbacked_s)

    def update_backing(self, now: float, near: int, fleet_size: int) -> float:
        """Work out the backed part anew.

        Args:
            now: Seconds.
            near: Proxies of the own zone that are linked, this one included.
            fleet_size: All proxies that there are; 0 where that is not known.

        Returns:
            The part of the fleet that backs this owner, from 0 to 1.
        """
        self.advance(now)
        for zone in [zone for zone, vote in self._votes.items() if vote.expires_at <= now]:
            del self._votes[zone]
        backing = near + sum(vote.weight for vote in self._votes.values())
        self._backed_part = min(1.0, backing / fleet_size) if fleet_size else 0.0
        return self._backed_part

    def vote(self, now: float, zone: str, weight: int, voter: str) -> None:
        """A zone backs this owner with so many proxies; 0 withdraws it."""
        if weight > 0:
            self._votes[zone] = _Vote(weight, now + VOTE_LIFETIME_S, voter)
        else:
            self._votes.pop(zone, None)

    def forget_voter(self, voter: str) -> None:
        """Votes that came from a peer whose link has ended count no more."""
        for zone in [zone for zone, vote in self._votes.items() if vote.voter == voter]:
            del self._votes[zone]

    # ---- tokens

    def _bucket(self, tenant: str, limit: QuotaLimit) -> TokenBucket:
        """The tenant's bucket, filled until now."""
        bucket = self._buckets.get(tenant)
        if bucket is None:  # as if it had stood empty at the beginning of the term
            bucket = self._buckets[tenant] = TokenBucket(limit, FillTime(0.0))
        elif bucket.limit != limit:
            bucket.refill(self._time, self._backed_part)
            bucket.change_limit(limit)
        bucket.refill(self._time, self._backed_part)
        return bucket

    def grant(
        self, now: float, requester: str, tenant: str, limit: QuotaLimit, wanted: int, returning: int = 0
    ) -> Answer:
        """Lease tokens.

        Args:
            now: Seconds.
            requester: The peer that asks.
            tenant: Whose quota.
            limit: That quota, as it is in force here.
            wanted: Tokens asked for, `returning` of them for clients at their appointed time.
            returning: These may take the reserve too.

        Returns:
            Whole tokens, at most `wanted`, and when to ask for the rest.
        """
        self.advance(now)
        bucket = self._bucket(tenant, limit)
        asked = self._asked_at.setdefault(tenant, {})
        asked[requester] = now
        granted = bucket.take(min(returning, wanted))
        reserve = min(RESERVE_FRACTION * limit.burst, bucket.capacity(self._backed_part) - 1)
        granted += bucket.take(wanted - granted, reserve)
        if granted >= wanted:
            return Answer(granted)
        return Answer(granted, self._retry_after(now, limit, asked))

    def _retry_after(self, now: float, limit: QuotaLimit, asked: dict[str, float]) -> float:
        """So that all that ask get to it about twice for each token that comes."""
        for name in [name for name, at in asked.items() if now - at > ACTIVE_WINDOW_S]:
            del asked[name]
        fill_per_s = limit.rate_per_s * self._backed_part
        wait = len(asked) / (2 * fill_per_s) if fill_per_s > 0 else inf
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait))

    def put_back(self, tenant: str, limit: QuotaLimit, tokens: int) -> None:
        """Tokens of this term that were not spent."""
        self._bucket(tenant, limit).add(tokens, self._backed_part)

    def charge(self, now: float, tenant: str, limit: QuotaLimit, tokens: int) -> None:
        """Requests of a tenant that reached a backend without a token."""
        self.advance(now)
        self._bucket(tenant, limit).charge(tokens)

    def add_tenants(self, now: float, limits: Mapping[str, QuotaLimit]) -> None:
        """Tenants that were not limited before: their buckets begin empty now, whatever they used."""
        self.advance(now)
        for tenant, limit in limits.items():
            self._buckets[tenant] = TokenBucket(limit, self._time)

    def drop_tenants(self, tenants: set[str]) -> None:
        """Tenants that are gone, or have no limit any more."""
        for tenant in tenants:
            self._buckets.pop(tenant, None)
            self._asked_at.pop(tenant, None)

    # ---- handover

    def levels(self, now: float) -> tuple[float, dict[str, float]]:
        """For how long it was backed, and the tokens of each bucket; nothing is granted after this."""
        self.advance(now)
        for bucket in self._buckets.values():
            bucket.refill(self._time, self._backed_part)
        return self._backed_s, {tenant: bucket.level for tenant, bucket in self._buckets.items()}

    def adopt(
        self, now: float, backed_s: float, levels: Mapping[str, float], limits: Mapping[str, QuotaLimit]
    ) -> None:
        """Add what the owner before has handed over: it grants nothing any more."""
        self.advance(now)
        self.has_adopted = True
        for tenant in levels:
            if (limit := limits.get(tenant)) is not None:
                self._bucket(tenant, limit)
        for tenant, bucket in self._buckets.items():
            bucket.refill(self._time, self._backed_part)
            bucket.add(levels.get(tenant, bucket.limit.rate_per_s * backed_s), self._backed_part)
            bucket.time = FillTime(self._backed_s + backed_s, self._unbacked_s)
        self._backed_s += backed_s  # of the tenants that neither has a bucket for
