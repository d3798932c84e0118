"""Demands for tokens that travel up the tree, and their answers (no I/O, no clock).

A proxy has at most one outstanding demand per tenant at its upstream peer (`SentDemands`), and records which
requesters wait for tokens (`PendingDemands`). Both ends tolerate lost, late and duplicate messages: a demand
is resent under the same number until it is answered, a duplicate gets the same answer again (`AnswerCache`),
and a demand is abandoned after GRANT_LIFETIME_S. A grant for an abandoned demand is recognised, so that its
tokens are returned exactly once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from troutdock.rpc.messages import TokenDemand, TokenGrant

GRANT_LIFETIME_S = 0.25  # a demand is abandoned then; tokens granted later are returned
ABANDONED_TTL_S = 2.0  # how long an answer to an abandoned demand is recognised
ANSWER_TTL_S = 5.0  # longer than a demand is resent and duplicates are in transit
MIN_RESEND_S, MAX_RESEND_S = 0.03, 0.2  # range of the first resend interval, which then doubles
RESEND_FACTOR = 2.5  # of the average response time
ANSWER_WEIGHT = 0.1  # of the newest response time in the average
MAX_WANTED = 1_000_000  # tokens in one demand; a larger number is invalid


# ---- demands sent to the upstream peer


@dataclass(slots=True)
class SentDemand:
    """The outstanding demand for a tenant.

    Attributes:
        upstream: The peer it was sent to.
        number: Identifies the answer.
        wanted: Tokens.
        returning: How many of them are for clients that return at their scheduled retry time.
        hops: Largest number of times that a part of it has been forwarded.
        sent_at: Seconds, time of the first transmission.
        next_send_at: Seconds, time of the next transmission.
        interval_s: Current resend interval, doubled each time.
    """

    upstream: str
    number: int
    wanted: int
    returning: int
    hops: int
    sent_at: float
    next_send_at: float
    interval_s: float

    def message(self, tenant: str) -> TokenDemand:
        """Returns the message for the upstream peer."""
        return TokenDemand(tenant, self.number, self.wanted, self.returning)


class SentDemands:
    """All outstanding demands of one proxy, at most one per tenant."""

    def __init__(self) -> None:
        """Starts empty."""
        self.by_tenant: dict[str, SentDemand] = {}
        self._abandoned: dict[int, SentDemand] = {}  # by number
        self._average_s: dict[str, float] = {}  # average response time by peer

    def send(
        self, now: float, upstream: str, tenant: str, number: int, wanted: int, returning: int, hops: int
    ) -> SentDemand:
        """Records a demand that is sent now; see SentDemand for the arguments."""
        expected_s = RESEND_FACTOR * self._average_s.get(upstream, 0.0)
        interval_s = min(MAX_RESEND_S, max(MIN_RESEND_S, expected_s))
        sent = SentDemand(upstream, number, wanted, returning, hops, now, now + interval_s, interval_s)
        self.by_tenant[tenant] = sent
        return sent

    @property
    def resend_at(self) -> float:
        """Time of the next retransmission in seconds; infinite if no demand is outstanding."""
        return min((sent.next_send_at for sent in self.by_tenant.values()), default=inf)

    def due(self, now: float) -> Iterator[tuple[str, SentDemand]]:
        """Yields the demands due for retransmission, with their tenants, and doubles their intervals."""
        for tenant, sent in self.by_tenant.items():
            if now >= sent.next_send_at:
                sent.interval_s *= 2
                sent.next_send_at = now + sent.interval_s
                yield tenant, sent

    def abandon(self, matches: Callable[[str, SentDemand], bool]) -> None:
        """Abandons the demands that match; new demands for their tenants may then be sent."""
        for tenant, sent in list(self.by_tenant.items()):
            if matches(tenant, sent):
                self._abandoned[sent.number] = self.by_tenant.pop(tenant)

    def abandon_overdue(self, now: float) -> None:
        """Abandons demands unanswered for GRANT_LIFETIME_S, and drops those abandoned long ago."""
        for number in [n for n, sent in self._abandoned.items() if now - sent.sent_at > ABANDONED_TTL_S]:
            del self._abandoned[number]
        self.abandon(lambda _, sent: now - sent.sent_at > GRANT_LIFETIME_S)

    def take_abandoned(self, peer: str, grant: TokenGrant) -> bool:
        """Returns whether a grant answers an abandoned demand, once for each demand."""
        sent = self._abandoned.get(grant.number)
        if sent is None or sent.upstream != peer or not 0 <= grant.granted <= sent.wanted:
            return False
        del self._abandoned[grant.number]
        return True

    def take_answered(self, now: float, peer: str, grant: TokenGrant) -> SentDemand | None:
        """Removes and returns the demand that a grant answers; None if the grant is unexpected or invalid."""
        sent = self.by_tenant.get(grant.tenant)
        if sent is None or sent.upstream != peer or sent.number != grant.number:
            return None
        if not 0 <= grant.granted <= sent.wanted or not grant.retry_after_s >= 0:
            return None
        del self.by_tenant[grant.tenant]
        elapsed_s = now - sent.sent_at
        average_s = self._average_s.setdefault(peer, elapsed_s)
        self._average_s[peer] = average_s + (elapsed_s - average_s) * ANSWER_WEIGHT
        return sent

    def forget(self, peer: str) -> None:
        """Drops the demands sent to a peer whose link has closed."""
        self._average_s.pop(peer, None)
        for tenant in [tenant for tenant, sent in self.by_tenant.items() if sent.upstream == peer]:
            del self.by_tenant[tenant]


# ---- demands received


@dataclass(slots=True)
class PendingDemand:
    """A received demand that is not answered yet.

    Attributes:
        requester: Name of the requesting peer, or LOCAL.
        number: The requester's number, repeated in the answer.
        wanted: Tokens.
        returning: How many of them are for clients that return at their scheduled retry time.
        received_at: Seconds.
        hops: How often it was forwarded.
    """

    requester: str
    number: int
    wanted: int
    returning: int
    received_at: float
    hops: int


class PendingDemands:
    """Unanswered demands, at most one for each requester and tenant."""

    def __init__(self) -> None:
        """Starts empty."""
        self._by_tenant: dict[str, dict[str, PendingDemand]] = {}

    def add(self, tenant: str, pending: PendingDemand) -> bool:
        """Adds a demand; returns False if this one or a later one of the requester is already pending."""
        waiting = self._by_tenant.setdefault(tenant, {})
        known = waiting.get(pending.requester)
        if known is not None and known.number >= pending.number:
            return False
        waiting[pending.requester] = pending
        return True

    def remove(self, tenant: str, pending: PendingDemand) -> None:
        """Removes an answered demand."""
        waiting = self._by_tenant.get(tenant, {})
        if waiting.get(pending.requester) is pending:
            del waiting[pending.requester]
        if not waiting:
            self._by_tenant.pop(tenant, None)

    def for_tenant(self, tenant: str) -> list[PendingDemand]:
        """Returns the demands for a tenant in order of arrival."""
        return list(self._by_tenant.get(tenant, {}).values())

    def tenants(self) -> list[str]:
        """Returns the tenants with pending demands."""
        return list(self._by_tenant)

    def forget(self, requester: str) -> None:
        """Drops the demands of a requester whose link has closed."""
        for tenant, waiting in list(self._by_tenant.items()):
            waiting.pop(requester, None)
            if not waiting:
                del self._by_tenant[tenant]


def distribute_tokens(granted: int, demands: list[PendingDemand]) -> list[int]:
    """Splits tokens among demands: returning clients first, then in order of arrival."""
    left = granted
    shares = []
    for pending in demands:
        shares.append(min(left, pending.returning))
        left -= shares[-1]
    for n, pending in enumerate(demands):
        more = min(left, pending.wanted - shares[n])
        shares[n] += more
        left -= more
    return shares


class AnswerCache:
    """The last answer for each peer and tenant, kept for at least ANSWER_TTL_S to answer duplicates."""

    def __init__(self) -> None:
        """Starts empty."""
        self._recent: dict[tuple[str, str], TokenGrant] = {}
        self._previous: dict[tuple[str, str], TokenGrant] = {}
        self._rotated_at = -inf

    def record(self, peer: str, grant: TokenGrant) -> None:
        """Records an answer sent to a peer."""
        self._recent[peer, grant.tenant] = grant

    def last(self, peer: str, tenant: str) -> TokenGrant | None:
        """Returns the last answer to a peer, or None if it has expired."""
        return self._recent.get((peer, tenant)) or self._previous.get((peer, tenant))

    def forget(self, peer: str) -> None:
        """Drops the answers to a peer whose link has closed: its next incarnation numbers demands from 1."""
        for answers in (self._recent, self._previous):
            for key in [key for key in answers if key[0] == peer]:
                del answers[key]

    def rotate(self, now: float) -> None:
        """Drops answers that have expired."""
        if now - self._rotated_at >= ANSWER_TTL_S:
            self._rotated_at = now
            self._recent, self._previous = {}, self._recent
