"""Demands for tokens on their way up the tree, and their answers on the way down (no I/O, no clock).

A proxy keeps one demand for a tenant under way to its upstream peer (`SentDemands`), and remembers who waits
for what (`PendingDemands`). Both ends bear lost, late and repeated messages: a demand is sent again under its
number until it is answered, is answered again with what it got (`AnswerCache`), and is given up after
GRANT_LIFETIME_S; what comes for it then is told apart, so that it can be handed back once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from troutdock.rpc.messages import TokenDemand, TokenGrant

GRANT_LIFETIME_S = 0.25  # a demand is given up then; a grant that comes later is handed back unspent
ABANDONED_TTL_S = 2.0  # so long the answer to a demand that was given up may still come
ANSWER_TTL_S = 5.0  # longer than a demand is sent again and its copies are on their way
MIN_RESEND_S, MAX_RESEND_S = 0.03, 0.2  # between two sendings of a demand, at first; it doubles
RESEND_FACTOR = 2.5  # of the usual time of an answer
ANSWER_WEIGHT = 0.1  # of the newest answer's time, in the usual one
MAX_WANTED = 1_000_000  # tokens in one demand: more is no demand that a proxy can have


# ---- up: what was asked of the upstream peer


@dataclass(slots=True)
class SentDemand:
    """The demand for a tenant that is under way.

    Attributes:
        upstream: The peer that was asked.
        number: For the answer.
        wanted: Tokens.
        returning: How many of them are for clients at their appointed time.
        hops: How often parts of it have been passed on.
        sent_at: Seconds, the first time.
        next_send_at: When it is to be sent again.
        interval_s: Until then, doubled each time.
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
        """It, as it goes to the upstream peer."""
        return TokenDemand(tenant, self.number, self.wanted, self.returning)


class SentDemands:
    """All demands of one proxy that are under way, one for a tenant."""

    def __init__(self) -> None:
        """Begin with none."""
        self.by_tenant: dict[str, SentDemand] = {}
        self._abandoned: dict[int, SentDemand] = {}  # by number
        self._usual_s: dict[str, float] = {}  # of an answer, by peer

    def send(
        self, now: float, upstream: str, tenant: str, number: int, wanted: int, returning: int, hops: int
    ) -> SentDemand:
        """Begin one; see SentDemand for the arguments."""
        usual_s = RESEND_FACTOR * self._usual_s.get(upstream, 0.0)
        interval_s = min(MAX_RESEND_S, max(MIN_RESEND_S, usual_s))
        sent = SentDemand(upstream, number, wanted, returning, hops, now, now + interval_s, interval_s)
        self.by_tenant[tenant] = sent
        return sent

    @property
    def resend_at(self) -> float:
        """When the next one is to be sent again; infinite where none is under way."""
        return min((sent.next_send_at for sent in self.by_tenant.values()), default=inf)

    def due(self, now: float) -> Iterator[tuple[str, SentDemand]]:
        """Those that are to be sent again now, by tenant."""
        for tenant, sent in self.by_tenant.items():
            if now >= sent.next_send_at:
                sent.interval_s *= 2
                sent.next_send_at = now + sent.interval_s
                yield tenant, sent

    def abandon(self, where: Callable[[str, SentDemand], bool]) -> None:
        """Give up those for which it holds; their tenants may be asked for anew."""
        for tenant, sent in list(self.by_tenant.items()):
            if where(tenant, sent):
                self._abandoned[sent.number] = self.by_tenant.pop(tenant)

    def abandon_overdue(self, now: float) -> None:
        """Give up those that are unanswered for GRANT_LIFETIME_S, and forget what was given up long ago."""
        for number in [n for n, sent in self._abandoned.items() if now - sent.sent_at > ABANDONED_TTL_S]:
            del self._abandoned[number]
        self.abandon(lambda _, sent: now - sent.sent_at > GRANT_LIFETIME_S)

    def take_abandoned(self, peer: str, grant: TokenGrant) -> bool:
        """Whether this answers one that was given up; it counts once."""
        sent = self._abandoned.get(grant.number)
        if sent is None or sent.upstream != peer or not 0 <= grant.granted <= sent.wanted:
            return False
        del self._abandoned[grant.number]
        return True

    def take_answered(self, now: float, peer: str, grant: TokenGrant) -> SentDemand | None:
        """The demand that this answers, which is under way no more; none where it makes no sense."""
        sent = self.by_tenant.get(grant.tenant)
        if sent is None or sent.upstream != peer or sent.number != grant.number:
            return None
        if not 0 <= grant.granted <= sent.wanted or not grant.retry_after_s >= 0:
            return None
        del self.by_tenant[grant.tenant]
        took_s = now - sent.sent_at
        usual_s = self._usual_s.setdefault(peer, took_s)
        self._usual_s[peer] = usual_s + (took_s - usual_s) * ANSWER_WEIGHT
        return sent

    def forget(self, peer: str) -> None:
        """The peer's link has ended, and with it what was asked on it."""
        self._usual_s.pop(peer, None)
        for tenant in [tenant for tenant, sent in self.by_tenant.items() if sent.upstream == peer]:
            del self.by_tenant[tenant]


# ---- down: who waits for what


@dataclass(slots=True)
class PendingDemand:
    """A demand that is not answered yet.

    Attributes:
        requester: The peer that asks, or LOCAL.
        number: The requester's, for the answer.
        wanted: Tokens.
        returning: How many of them are for clients at their appointed time.
        received_at: Seconds.
        hops: How often it was passed on.
    """

    requester: str
    number: int
    wanted: int
    returning: int
    received_at: float
    hops: int


class PendingDemands:
    """Who waits for which tenant's tokens, one demand for each requester and tenant."""

    def __init__(self) -> None:
        """Begin with none."""
        self._by_tenant: dict[str, dict[str, PendingDemand]] = {}

    def add(self, tenant: str, pending: PendingDemand) -> bool:
        """Take one in; false if the requester waits for that one or a later one already."""
        waiting = self._by_tenant.setdefault(tenant, {})
        known = waiting.get(pending.requester)
        if known is not None and known.number >= pending.number:
            return False
        waiting[pending.requester] = pending
        return True

    def remove(self, tenant: str, pending: PendingDemand) -> None:
        """It is answered."""
        waiting = self._by_tenant.get(tenant, {})
        if waiting.get(pending.requester) is pending:
            del waiting[pending.requester]
        if not waiting:
            self._by_tenant.pop(tenant, None)

    def for_tenant(self, tenant: str) -> list[PendingDemand]:
        """Those for a tenant, in their turn."""
        return list(self._by_tenant.get(tenant, {}).values())

    def tenants(self) -> list[str]:
        """Those that are waited for."""
        return list(self._by_tenant)

    def forget(self, requester: str) -> None:
        """The requester's link has ended."""
        for tenant, waiting in list(self._by_tenant.items()):
            waiting.pop(requester, None)
            if not waiting:
                del self._by_tenant[tenant]


def distribute_tokens(granted: int, demands: list[PendingDemand]) -> list[int]:
    """Tokens for each demand: clients at their appointed time first, then in turn."""
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
    """The last answer to each peer and tenant, for at least ANSWER_TTL_S, so that it can be sent again."""

    def __init__(self) -> None:
        """Begin with none."""
        self._newer: dict[tuple[str, str], TokenGrant] = {}
        self._older: dict[tuple[str, str], TokenGrant] = {}
        self._aged_at = -inf

    def record(self, peer: str, grant: TokenGrant) -> None:
        """What a peer was told."""
        self._newer[peer, grant.tenant] = grant

    def last(self, peer: str, tenant: str) -> TokenGrant | None:
        """What it was told last; nothing where that is long ago."""
        return self._newer.get((peer, tenant)) or self._older.get((peer, tenant))

    def forget(self, peer: str) -> None:
        """The peer's link has ended: its next life counts its demands from the beginning."""
        for answers in (self._newer, self._older):
            for key in [key for key in answers if key[0] == peer]:
                del answers[key]

    def rotate(self, now: float) -> None:
        """Time has gone by."""
        if now - self._aged_at >= ANSWER_TTL_S:
            self._aged_at = now
            self._newer, self._older = {}, self._newer
