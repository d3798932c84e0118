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

LEASE_DURATION_S = 0.1  # how long leased tokens may be spent
SHARE_GROWTH, SHARE_DECAY = 1.5, 0.5  # of the share, per second (see docs/design/quotas.md)
SHARE_INTERVAL_S = 1.0
ARRIVAL_WINDOW_S = 1.0  # over which the arrival rate is averaged
IDLE_TENANT_TTL_S = 60.0  # state of a tenant without requests is dropped after this time


class Verdict(Enum):
    """Outcome of a request for a token."""

    GRANTED = "granted"
    WAITING = "waiting"  # the outcome follows as a LeaseResult
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class LeaseResult:
    """Outcome for a request that has waited."""

    request: int
    granted: bool


@dataclass(slots=True)
class _Lease:
    """Leased tokens and waiting requests of one tenant."""

    share: float
    even_share: float
    rate_per_s: float = 0.0  # of the whole quota
    tokens: int = 0
    term: str = ""
    expires_at: float = 0.0
    refused_until: float = 0.0
    demanded: int = 0  # tokens in the outstanding demand, 0 if there is none
    # by request number: whether the request arrived at its scheduled retry time
    waiting: dict[int, bool] = field(default_factory=dict)
    arrivals_per_s: float = 0.0
    arrivals_at: float = 0.0
    share_updated_at: float = 0.0
    ran_dry: bool = False
    was_refused: bool = False


class QuotaLeases:
    """The leases of all tenants at one proxy."""

    def __init__(self, node: QuotaNode) -> None:
        """Starts without leases; node: the quota state machine of this proxy."""
        self.node = node
        self._leases: dict[str, _Lease] = {}

    def request(
        self,
        now: float,
        tenant: str,
        limit: QuotaLimit,
        even_share: float,
        request: int,
        returning: bool = False,
    ) -> Verdict:
        """Takes a token for a request, or lets the request wait for one.

        Args:
            now: Seconds.
            tenant: Name of the tenant.
            limit: Its quota, as configured at this proxy.
            even_share: This proxy's fraction in an even split.
            request: Number of the request, for its result.
            returning: The request arrives at its scheduled retry time.
        """
        lease = self._lease(now, tenant, even_share)
        lease.rate_per_s = limit.rate_per_s
        lease.arrivals_per_s += 1 / ARRIVAL_WINDOW_S
        if lease.tokens and not lease.waiting:
            lease.tokens -= 1
            return Verdict.GRANTED
        if now < lease.refused_until:
            lease.was_refused = True
            return Verdict.REFUSED
        lease.ran_dry = True
        lease.waiting[request] = returning
        if not lease.demanded:
            self._send_demand(now, tenant, lease)
        return Verdict.WAITING

    def withdraw(self, tenant: str, request: int) -> bool:
        """Removes a waiting request; returns False if it was not waiting."""
        lease = self._leases.get(tenant)
        return lease is not None and lease.waiting.pop(request, None) is not None

    def put_back(self, now: float, tenant: str) -> None:
        """Returns an unspent token to the lease; another request may take it within LEASE_DURATION_S."""
        if (lease := self._leases.get(tenant)) is not None:
            lease.tokens += 1
            lease.expires_at = max(lease.expires_at, now + LEASE_DURATION_S)

    def share(self, now: float, tenant: str, even_share: float) -> float:
        """Returns the fraction of the quota that this proxy claims, from the even split to 1."""
        return self._lease(now, tenant, even_share).share

    def results(self, now: float) -> list[LeaseResult]:
        """Applies received grants and returns the outcomes for waiting requests."""
        results: list[LeaseResult] = []
        while grants := self.node.take_grants():
            for grant in grants:
                if (lease := self._leases.get(grant.tenant)) is not None:
                    results += self._spend(now, lease, grant)
                    if lease.waiting and not lease.demanded:
                        self._send_demand(now, grant.tenant, lease)
                elif grant.granted:
                    self.node.return_tokens(grant.tenant, grant.granted, grant.term)
        return results

    def tick(self, now: float) -> None:
        """Returns expired tokens to the owner and drops idle tenants."""
        for tenant, lease in list(self._leases.items()):
            if lease.tokens and now >= lease.expires_at:
                self.node.return_tokens(tenant, lease.tokens, lease.term)
                lease.tokens = 0
            if now - lease.arrivals_at > IDLE_TENANT_TTL_S and not lease.waiting:
                del self._leases[tenant]

    # ---- helpers

    def _lease(self, now: float, tenant: str, even_share: float) -> _Lease:
        lease = self._leases.get(tenant)
        if lease is None:
            lease = self._leases[tenant] = _Lease(
                even_share, even_share, arrivals_at=now, share_updated_at=now
            )
        if lease.tokens and now >= lease.expires_at:
            self.node.return_tokens(tenant, lease.tokens, lease.term)
            lease.tokens = 0
        lease.arrivals_per_s *= max(0.0, 1 - (now - lease.arrivals_at) / ARRIVAL_WINDOW_S)
        lease.arrivals_at = now
        self._update_share(now, lease, even_share)
        return lease

    @staticmethod
    def _update_share(now: float, lease: _Lease, even_share: float) -> None:
        if even_share != lease.even_share:
            growth = lease.share / lease.even_share if lease.share > lease.even_share else 1.0
            lease.share, lease.even_share = min(1.0, even_share * growth), even_share
        if now - lease.share_updated_at < SHARE_INTERVAL_S:
            return
        if lease.was_refused:
            lease.share = max(even_share, lease.share - (lease.share - even_share) * SHARE_DECAY)
        elif lease.ran_dry:
            lease.share = min(1.0, lease.share * SHARE_GROWTH)
        lease.share_updated_at = now
        lease.ran_dry = lease.was_refused = False

    def _send_demand(self, now: float, tenant: str, lease: _Lease) -> None:
        expected = min(lease.arrivals_per_s, lease.rate_per_s * lease.share) * LEASE_DURATION_S
        returning = sum(lease.waiting.values())
        lease.demanded = len(lease.waiting) + int(expected)
        self.node.demand(now, tenant, lease.demanded, returning)

    def _spend(self, now: float, lease: _Lease, grant: LocalGrant) -> Iterator[LeaseResult]:
        lease.demanded = 0
        if lease.term != grant.term:  # tokens of the previous term can't be returned any more
            lease.tokens = 0
        lease.tokens += grant.granted
        lease.term, lease.expires_at = grant.term, now + LEASE_DURATION_S
        if grant.retry_after_s:
            lease.refused_until, lease.was_refused = now + grant.retry_after_s, True
        for request in sorted(lease.waiting, key=lambda request: not lease.waiting[request]):
            granted = lease.tokens > 0
            if not granted and not grant.retry_after_s:
                return  # the remaining requests are covered by another demand
            del lease.waiting[request]
            lease.tokens -= granted
            yield LeaseResult(request, granted)
