"""Tokens leased by one proxy and the requests that wait for tokens (no I/O, no clock).

Theory of operation. A request takes a leased token, waits while a token is requested, or is rejected
immediately if the owner has recently reported that none is available. A demand covers the waiting requests
and, for a tenant with a high request rate, the number of requests expected within LEASE_DURATION_S. Tokens
that are not spent within LEASE_DURATION_S of the grant are returned to the owner.

The *share* of a tenant is the fraction of its quota that this proxy claims for itself. It is never less than
the even split. It grows by half in each second in which the proxy ran out of tokens and the owner granted
everything it asked for. It loses half of its growth in each second in which the owner rejected a demand. The
share bounds how many tokens are leased ahead, and retry times are computed from it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.node import LocalGrant, QuotaNode

LEASE_DURATION_S = 0.1  # so long leased tokens may be spent
SHARE_GROWTH, SHARE_DECAY = 1.5, 0.5  # of the share, a second (design page)
SHARE_INTERVAL_S = 1.0
ARRIVAL_WINDOW_S = 1.0  # over which the pace of arrivals is taken
IDLE_TENANT_TTL_S = 60.0  # a tenant that has asked nothing for so long is forgotten


class Verdict(Enum):
    """What the quota says to a request."""

    GRANTED = "granted"
    WAITING = "waiting"  # the answer comes with a later LeaseResult
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """The quota's answer to a request that has waited."""

    request: int
    granted: bool


@dataclass(slots=True)
class _Lease:
    """One tenant's tokens here."""

    share: float
    even: float
    rate_per_s: float = 0.0  # of the whole quota
    tokens: int = 0
    term: str = ""
    expires_at: float = 0.0
    refused_until: float = 0.0
    asked: int = 0  # tokens of the demand that is under way, 0 for none
    waiting: dict[int, bool] = field(default_factory=dict)  # requests, and whether they return as told
    pace_per_s: float = 0.0
    paced_at: float = 0.0
    shared_at: float = 0.0
    ran_dry: bool = False
    was_refused: bool = False


class QuotaLeases:
    """All tenants' leases of one proxy."""

    def __init__(self, node: QuotaNode) -> None:
        """node: this proxy's part in the fleet's quotas."""
        self.node = node
        self._leases: dict[str, _Lease] = {}

    def request(
        self, now: float, tenant: str, limit: QuotaLimit, even: float, request: int, returning: bool = False
    ) -> Verdict:
        """Take a token for a request, or wait for one.

        Args:
            now: Seconds.
            tenant: Whose quota.
            limit: That quota, as it is known here.
            even: This proxy's part of an even split.
            request: Its number, for the result.
            returning: It comes at its appointed time.
        """
        lease = self._lease(now, tenant, even)
        lease.rate_per_s = limit.rate_per_s
        lease.pace_per_s += 1 / ARRIVAL_WINDOW_S
        if lease.tokens and not lease.waiting:
            lease.tokens -= 1
            return Verdict.GRANTED
        if now < lease.refused_until:
            lease.was_refused = True
            return Verdict.REFUSED
        lease.ran_dry = True
        lease.waiting[request] = returning
        if not lease.asked:
            self._ask(now, tenant, lease)
        return Verdict.WAITING

    def withdraw(self, tenant: str, request: int) -> bool:
        """A request waits no more; false if it did not."""
        lease = self._leases.get(tenant)
        return lease is not None and lease.waiting.pop(request, None) is not None

    def put_back(self, now: float, tenant: str) -> None:
        """A granted token was not spent: another request may take it for a moment."""
        if (lease := self._leases.get(tenant)) is not None:
            lease.tokens += 1
            lease.expires_at = max(lease.expires_at, now + LEASE_DURATION_S)

    def share(self, now: float, tenant: str, even: float) -> float:
        """The part of the quota that this proxy takes for its own, from the even split to 1."""
        return self._lease(now, tenant, even).share

    def results(self, now: float) -> list[LeaseResult]:
        """What the grants that have come mean for the requests that wait."""
        results: list[LeaseResult] = []
        while grants := self.node.take_grants():
            for grant in grants:
                if (lease := self._leases.get(grant.tenant)) is not None:
                    results += self._spend(now, lease, grant)
                    if lease.waiting and not lease.asked:
                        self._ask(now, grant.tenant, lease)
                elif grant.granted:
                    self.node.return_tokens(grant.tenant, grant.granted, grant.term)
        return results

    def tick(self, now: float) -> None:
        """Hand back what was not spent in time, and forget who asks no more."""
        for tenant, lease in list(self._leases.items()):
            if lease.tokens and now >= lease.expires_at:
                self.node.return_tokens(tenant, lease.tokens, lease.term)
                lease.tokens = 0
            if now - lease.paced_at > IDLE_TENANT_TTL_S and not lease.waiting:
                del self._leases[tenant]

    # ---- parts

    def _lease(self, now: float, tenant: str, even: float) -> _Lease:
        lease = self._leases.get(tenant)
        if lease is None:
            lease = self._leases[tenant] = _Lease(even, even, paced_at=now, shared_at=now)
        if lease.tokens and now >= lease.expires_at:
            self.node.return_tokens(tenant, lease.tokens, lease.term)
            lease.tokens = 0
        lease.pace_per_s *= max(0.0, 1 - (now - lease.paced_at) / ARRIVAL_WINDOW_S)
        lease.paced_at = now
        self._follow_share(now, lease, even)
        return lease

    @staticmethod
    def _follow_share(now: float, lease: _Lease, even: float) -> None:
        if even != lease.even:
            grown = lease.share / lease.even if lease.share > lease.even else 1.0
            lease.share, lease.even = min(1.0, even * grown), even
        if now - lease.shared_at < SHARE_INTERVAL_S:
            return
        if lease.was_refused:
            lease.share = max(even, lease.share - (lease.share - even) * SHARE_DECAY)
        elif lease.ran_dry:
            lease.share = min(1.0, lease.share * SHARE_GROWTH)
        lease.shared_at = now
        lease.ran_dry = lease.was_refused = False

    def _ask(self, now: float, tenant: str, lease: _Lease) -> None:
        expected = min(lease.pace_per_s, lease.rate_per_s * lease.share) * LEASE_DURATION_S
        returning = sum(lease.waiting.values())
        lease.asked = len(lease.waiting) + int(expected)
        self.node.demand(now, tenant, lease.asked, returning)

    def _spend(self, now: float, lease: _Lease, grant: LocalGrant) -> Iterator[LeaseResult]:
        lease.asked = 0
        if lease.term != grant.term:  # what is left can't be handed back any more
            lease.tokens = 0
        lease.tokens += grant.granted
        lease.term, lease.expires_at = grant.term, now + LEASE_DURATION_S
        if grant.retry_after_s:
            lease.refused_until, lease.was_refused = now + grant.retry_after_s, True
        for request in sorted(lease.waiting, key=lambda request: not lease.waiting[request]):
            granted = lease.tokens > 0
            if not granted and not grant.retry_after_s:
                return  # the rest is asked for again
            del lease.waiting[request]
            lease.tokens -= granted
            yield LeaseResult(request, granted)
