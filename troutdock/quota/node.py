"""One proxy's part in the quotas of the fleet: owner, aggregator, and requester of leases (no I/O, no
clock).

Theory of operation. A proxy that lets a request in has a token for it, and every token comes from the
bucket of one owner. Demands go up the tree of `routes`: from a proxy to the aggregator of its zone, from
there to the owner; grants come back down. Each level keeps one demand for a tenant under way, and sums up
in the next what has come in meanwhile, so that the messages of a hot tenant are bounded by round trips,
and a tenant nobody asks for costs none. Who got less than it wanted is told for how long asking is of no
use, and answers for that time by itself.

What holds whatever is lost, late, cut off, frozen or restarted:

    demands, grants   go as datagrams; a demand is sent again under its number until it is answered, and
                      answered again with what it got. A lost grant costs tokens, never gives any
    returns           go to the term that granted them; any other drops them
    two owners        fill and hold their buckets by the parts of the fleet that back them (owner.ShardOwner),
                      and a zone backs one at a time: rate x VOTE_LIFETIME_S more at most, once a change
    a new owner       begins empty, but for what one that ends or yields hands over after its last grant
    a standstill      who has not run for STALL_S may have been replaced: its terms end, its votes are void
    a late grant      is handed back after GRANT_LIFETIME_S, as what it allows lies in an earlier window
    a limit           counts as the owner knows it; a raised one adds no tokens

So what is granted in any window is at most rate x (window + VOTE_LIFETIME_S x changes of owner in it) +
burst, and what is spent was granted GRANT_LIFETIME_S + LEASE_S before at most. The calculation beside the
operators' rule is in docs/design/quotas.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from furrow.messages import (
    ChargedRequests,
    Message,
    QuotaGrant,
    QuotaHandover,
    QuotaRequest,
    QuotaSettlement,
    ReturnedTokens,
    ShardVote,
    TokenDemand,
    TokenGrant,
)
from troutdock.quota.bucket import QuotaLimit
from troutdock.quota.owner import RETRY_MOST_S, ShardOwner
from troutdock.quota.routes import ALONE, SHARDS, Peers, Role, ShardRoutes, shard_of

VOTE_INTERVAL_S = 0.2  # between two votes of a zone: three lie within a vote's lifetime
STALL_S = 0.5  # a process that has not run for so long may have been replaced as owner
FOUNDING_S = 5.0  # an owner of the first moments of a whole fleet begins with full buckets
HANDOVER_S = 2.0  # so long what was handed over waits for its receiver to become owner
SKIP_HANDOVER_S = 1.0  # an owner of less than this that was handed nothing has nothing worth handing over
RESEND_LEAST_S, RESEND_MOST_S = 0.03, 0.2  # between two sendings of a demand, at first; it doubles
RESEND_TIMES = 2.5  # of the usual time of an answer
ANSWER_WEIGHT = 0.1  # of the newest answer's time, in the usual one
PENDING_S = 1.0  # a demand that has not been answered for so long is told to come again
GRANT_LIFETIME_S = 0.25  # a demand is given up then; a grant that comes later is handed back unspent
ANSWERS_KEPT_S = 5.0  # longer than a demand is sent again and its copies are on their way
ABANDONED_S = 2.0  # so long the answer to a demand that was given up may still come
RETRY_UNSERVED_S = 0.1  # what is told where there is no owner, or it does not know the tenant
TERM_LIVES = 1 << 20  # a term names its owner's life by the last bits
MOST_HOPS = 4  # a demand that has been passed on so often goes in a circle
MOST_WANTED = 1_000_000  # tokens in one demand: more is no demand that a proxy can have
LOCAL = ""  # this proxy itself, among those that ask


@dataclass(frozen=True, slots=True)
class LocalGrant:
    """What this proxy's own demand for a tenant has got.

    Attributes:
        tenant: Whose quota.
        granted: Tokens to spend.
        retry_after_s: For how long asking again is of no use; 0 where all was granted.
        term: The owner's, for handing tokens back.
    """

    tenant: str
    granted: int
    retry_after_s: float
    term: str


@dataclass(slots=True)
class _Pending:
    """A demand that is not answered yet."""

    requester: str
    number: int
    wanted: int
    returning: int
    received_at: float
    hops: int


@dataclass(slots=True)
class _Sent:
    """The demand for a tenant that is under way to the upstream peer."""

    upstream: str
    number: int
    wanted: int
    returning: int
    hops: int
    at: float
    again_at: float
    interval_s: float


@dataclass(slots=True)
class _Outbox:
    """What goes to one peer with the next messages."""

    request: QuotaRequest = field(default_factory=QuotaRequest)
    grants: list[TokenGrant] = field(default_factory=list)
    settlement: QuotaSettlement = field(default_factory=QuotaSettlement)
    handovers: list[QuotaHandover] = field(default_factory=list)


class _Answers:
    """The last answer to each peer and tenant, for at least ANSWERS_KEPT_S, so that it can be sent again."""

    def __init__(self) -> None:
        self._newer: dict[tuple[str, str], TokenGrant] = {}
        self._older: dict[tuple[str, str], TokenGrant] = {}
        self._aged_at = -inf

    def record(self, peer: str, grant: TokenGrant) -> None:
        self._newer[peer, grant.tenant] = grant

    def last(self, peer: str, tenant: str) -> TokenGrant | None:
        return self._newer.get((peer, tenant)) or self._older.get((peer, tenant))

    def forget(self, peer: str) -> None:
        """The peer's link has ended: its next life counts its demands from the beginning."""
        for answers in (self._newer, self._older):
            for key in [key for key in answers if key[0] == peer]:
                del answers[key]

    def age(self, now: float) -> None:
        if now - self._aged_at >= ANSWERS_KEPT_S:
            self._aged_at = now
            self._newer, self._older = {}, self._newer


@dataclass(frozen=True, slots=True)
class _Handover:
    received_at: float
    message: QuotaHandover


class QuotaNode:
    """The state machine of one proxy; hand it every event, then take its messages and grants."""

    def __init__(self, name: str, zone: str, life: int, now: float, bootstrap: bool = False) -> None:
        """Begin without peers, limits and ownership.

        Args:
            name: Of this proxy, as its peers know it.
            zone: Where it stands.
            life: Of this process; names its terms.
            now: Seconds.
            bootstrap: The whole fleet starts for the first time, so that no quota is used yet.
        """
        self.name, self.zone = name, zone
        self._life, self._began_at, self._bootstrap = life, now, bootstrap
        self._limits: dict[str, QuotaLimit] = {}
        self._has_limits = False
        self._routes = ShardRoutes(name, zone)
        self._peers = Peers()
        self._owners: dict[int, ShardOwner] = {}
        self._had_other_owner: set[int] = set()  # shards that another proxy was taken for the owner of
        self._handed: dict[int, _Handover] = {}
        self._pending: dict[str, dict[str, _Pending]] = {}  # by tenant, by requester
        self._sent: dict[str, _Sent] = {}  # by tenant
        self._abandoned: dict[int, _Sent] = {}  # by number: demands that were given up
        self._answered = _Answers()
        self._answer_s: dict[str, float] = {}  # by peer: the usual time of an answer
        self._refused_until: dict[str, float] = {}  # by tenant
        self._charges: dict[str, int] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._local_grants: list[LocalGrant] = []
        self._last_number = self._last_term = 0
        self._ticked_at, self._voted_at = inf, -inf
        self.rejected = 0  # messages' parts that made no sense, and returns to terms that are over

    @classmethod
    def standalone(cls) -> QuotaNode:
        """The only proxy there is; its buckets begin full."""
        node = cls("", "", 0, 0.0, bootstrap=True)
        node.update_peers(0.0, ALONE)
        return node

    # ---- what this proxy knows

    @property
    def has_output(self) -> bool:
        """There are messages or grants to take."""
        return bool(self._outboxes or self._local_grants)

    @property
    def has_grants(self) -> bool:
        """There are answers to this proxy's own demands."""
        return bool(self._local_grants)

    def is_settled(self, now: float) -> bool:
        """Its neighbours are linked, or have had the time for it: it can own and aggregate."""
        return self._routes.is_settled(now)

    def owned_shards(self) -> list[int]:
        """The shards that this proxy owns."""
        return sorted(self._owners)

    def set_limits(self, now: float, limits: Mapping[str, QuotaLimit]) -> None:
        """The limits of all limited tenants, as the configuration in force has them."""
        self._observe(now)
        added = {name: limit for name, limit in limits.items() if name not in self._limits}
        removed = set(self._limits) - set(limits)
        first, self._has_limits = not self._has_limits, True
        self._limits = dict(limits)
        for shard, owner in self._owners.items():
            if not first:
                owner.add_tenants(now, {n: limit for n, limit in added.items() if shard_of(n) == shard})
            owner.drop_tenants(removed)
        for tenant in removed:
            self._refused_until.pop(tenant, None)

    def update_peers(self, now: float, peers: Peers) -> None:
        """Other proxies were linked, lost, listed or delisted."""
        self._observe(now)
        for name in (set(self._peers.near) | set(self._peers.away)) - set(peers.near) - set(peers.away):
            self._forget_peer(name)
        self._peers = peers
        self._follow_routes(now)
        self._back_owners(now)

    def _forget_peer(self, name: str) -> None:
        """A peer's link has ended, and with it what was asked and voted on it."""
        self._outboxes.pop(name, None)
        self._answered.forget(name)
        self._answer_s.pop(name, None)
        for waiting in self._pending.values():
            waiting.pop(name, None)
        for tenant in [tenant for tenant, sent in self._sent.items() if sent.upstream == name]:
            del self._sent[tenant]
        for owner in self._owners.values():
            owner.forget_voter(name)

    # ---- time

    def _observe(self, now: float) -> None:
        """End this proxy's terms where it has stood still for so long that it may have been replaced."""
        if now - self._ticked_at > STALL_S:
            self._ticked_at = now
            for shard in list(self._owners):
                self._owners[shard] = self._new_owner(now, full=False)

    def tick(self, now: float) -> None:
        """Time has gone by; to be called several times within VOTE_INTERVAL_S."""
        self._observe(now)
        self._ticked_at = now
        self._follow_routes(now)
        if now - self._voted_at >= VOTE_INTERVAL_S:
            self._voted_at = now
            for shard in range(SHARDS):
                self._vote(shard)
        self._back_owners(now)
        self._flush_charges(now)
        self._answered.age(now)
        self._abandon_overdue(now)
        for tenant in list(self._pending):
            self._serve(now, tenant)
            self._answer_overdue(now, tenant)

    def _abandon_overdue(self, now: float) -> None:
        """Ask anew under another number; what comes late for the former one is handed back."""
        for number in [n for n, sent in self._abandoned.items() if now - sent.at > ABANDONED_S]:
            del self._abandoned[number]
        for tenant, sent in list(self._sent.items()):
            if now - sent.at > GRANT_LIFETIME_S:
                self._abandoned[sent.number] = self._sent.pop(tenant)

    def _answer_overdue(self, now: float, tenant: str) -> None:
        for pending in list(self._pending.get(tenant, {}).values()):
            if now - pending.received_at > PENDING_S:
                self._answer(tenant, pending, 0, RETRY_UNSERVED_S, "")

    # ---- roles

    def _follow_routes(self, now: float) -> None:
        before = list(self._routes.routes)
        for shard in self._routes.update(now, self._peers):
            route, old = self._routes.routes[shard], before[shard]
            if route.upstream:
                self._had_other_owner.add(shard)
            if route.role is Role.OWNER:
                self._acquire(now, shard)
            elif shard in self._owners:
                self._yield(now, shard, route.upstream)
            if old.role is Role.AGGREGATOR and self._is_linked(old.upstream):
                self._outbox(old.upstream).settlement.withdrawn.append(shard)
            self._vote(shard)
            self._ask_again(now, shard, route.upstream)

    def _is_linked(self, peer: str) -> bool:
        return peer in self._peers.near or peer in self._peers.away

    def _new_owner(self, now: float, full: bool) -> ShardOwner:
        self._last_term += 1
        return ShardOwner(f"{self._life % TERM_LIVES:x}.{self._last_term:x}", now, full)

    def _acquire(self, now: float, shard: int) -> None:
        is_founding = self._bootstrap and now - self._began_at <= FOUNDING_S
        full = is_founding and shard not in self._had_other_owner
        owner = self._owners[shard] = self._new_owner(now, full)
        self._back(now, owner)
        handed = self._handed.pop(shard, None)
        if handed is not None and now - handed.received_at <= HANDOVER_S:
            self._adopt(now, owner, handed.message)

    def _yield(self, now: float, shard: int, successor: str) -> None:
        owner = self._owners.pop(shard)
        if successor and (owner.has_adopted or now - owner.began_at >= SKIP_HANDOVER_S):
            self._outbox(successor).handovers.append(QuotaHandover(shard, *owner.levels(now)))

    def hand_over(self, now: float) -> None:
        """Give up all ownership to those that are next, for good; to be called just before the links end."""
        for shard in list(self._owners):
            self._yield(now, shard, self._routes.successor(shard))

    def _adopt(self, now: float, owner: ShardOwner, message: QuotaHandover) -> None:
        if not self._has_limits:  # the levels could not be kept apart from what is new
            return
        levels = {tenant: level for tenant, level in message.levels.items() if level == level}  # no NaN
        owner.adopt(now, max(0.0, message.backed_s), levels, self._limits)

    def _back(self, now: float, owner: ShardOwner) -> None:
        owner.back(now, len(self._peers.near) + 1, self._peers.fleet_size)

    def _back_owners(self, now: float) -> None:
        for owner in self._owners.values():
            self._back(now, owner)

    def _vote(self, shard: int) -> None:
        """Back the owner that this zone has chosen."""
        route = self._routes.routes[shard]
        if route.role is Role.AGGREGATOR:
            vote = ShardVote(shard, self.zone, len(self._peers.near) + 1)
            self._outbox(route.upstream).request.votes.append(vote)

    def _ask_again(self, now: float, shard: int, upstream: str) -> None:
        """What was asked of another peer than the upstream one is asked anew."""
        for tenant, sent in list(self._sent.items()):
            if sent.upstream != upstream and shard_of(tenant) == shard:
                self._abandoned[sent.number] = self._sent.pop(tenant)
        for tenant in [tenant for tenant in self._pending if shard_of(tenant) == shard]:
            self._serve(now, tenant)

    # ---- demands

    def demand(self, now: float, tenant: str, wanted: int, returning: int = 0) -> None:
        """This proxy wants tokens; the answer is among the grants, maybe at once.

        Args:
            now: Seconds.
            tenant: Whose quota; one demand for it at a time.
            wanted: Tokens, at least 1.
            returning: How many of them are for clients at their appointed time.
        """
        self._observe(now)
        self._last_number += 1
        self._receive_demand(now, LOCAL, TokenDemand(tenant, self._last_number, wanted, returning), 0)

    def charge(self, tenant: str, requests: int = 1) -> None:
        """Requests of a tenant were sent to a backend without a token."""
        self._charges[tenant] = self._charges.get(tenant, 0) + requests

    def give_back(self, tenant: str, tokens: int, term: str) -> None:
        """Leased tokens were not spent."""
        self._receive_returned(ReturnedTokens(tenant, tokens, term), 0)

    def _receive_demand(self, now: float, requester: str, demand: TokenDemand, hops: int) -> None:
        if not 0 <= demand.returning <= demand.wanted <= MOST_WANTED:
            self.rejected += 1
            return
        answered = self._answered.last(requester, demand.tenant)
        if answered is not None and demand.number <= answered.number:
            if demand.number == answered.number:  # the answer was lost, or is late
                self._outbox(requester).grants.append(answered)
            return
        waiting = self._pending.setdefault(demand.tenant, {})
        if requester in waiting and waiting[requester].number >= demand.number:
            return
        waiting[requester] = _Pending(requester, demand.number, demand.wanted, demand.returning, now, hops)
        self._serve(now, demand.tenant)

    def _serve(self, now: float, tenant: str) -> None:
        """Answer the tenant's demands, or pass them on, or leave them waiting."""
        waiting = self._pending.get(tenant)
        if not waiting:
            self._pending.pop(tenant, None)
            return
        shard = shard_of(tenant)
        owner = self._owners.get(shard)
        upstream = self._routes.routes[shard].upstream
        if owner is not None:
            self._serve_as_owner(now, owner, tenant, list(waiting.values()))
        elif upstream and tenant not in self._sent:
            self._pass_on(now, upstream, tenant, list(waiting.values()))

    def _serve_as_owner(self, now: float, owner: ShardOwner, tenant: str, demands: list[_Pending]) -> None:
        limit = self._limits.get(tenant)
        for pending in demands:
            if limit is None:
                self._answer(tenant, pending, 0, RETRY_UNSERVED_S, "")
                continue
            answer = owner.grant(now, pending.requester, tenant, limit, pending.wanted, pending.returning)
            self._answer(tenant, pending, answer.granted, answer.retry_after_s, owner.term)

    def _pass_on(self, now: float, upstream: str, tenant: str, demands: list[_Pending]) -> None:
        refused_for_s = self._refused_until.get(tenant, now) - now
        for pending in demands:
            if refused_for_s > 0:
                self._answer(tenant, pending, 0, refused_for_s, "")
            elif pending.hops >= MOST_HOPS:
                self._answer(tenant, pending, 0, RETRY_UNSERVED_S, "")
        waiting = self._pending.get(tenant)
        if not waiting:
            return
        self._last_number += 1
        wanted = min(MOST_WANTED, sum(pending.wanted for pending in waiting.values()))
        returning = min(wanted, sum(pending.returning for pending in waiting.values()))
        hops = 1 + max(pending.hops for pending in waiting.values())
        usual_s = RESEND_TIMES * self._answer_s.get(upstream, 0.0)
        interval_s = min(RESEND_MOST_S, max(RESEND_LEAST_S, usual_s))
        self._sent[tenant] = _Sent(
            upstream, self._last_number, wanted, returning, hops, now, now + interval_s, interval_s
        )
        self._send_demand(tenant, self._sent[tenant])

    def _send_demand(self, tenant: str, sent: _Sent) -> None:
        request = self._outbox(sent.upstream).request
        request.demands.append(TokenDemand(tenant, sent.number, sent.wanted, sent.returning))
        request.hops = max(request.hops, sent.hops)

    @property
    def resend_at(self) -> float:
        """When the next demand is to be sent again; infinite where none is under way."""
        return min((sent.again_at for sent in self._sent.values()), default=inf)

    def resend(self, now: float) -> None:
        """Send demands again whose answers are overdue."""
        self._observe(now)
        for tenant, sent in self._sent.items():
            if now >= sent.again_at:
                sent.interval_s *= 2
                sent.again_at = now + sent.interval_s
                self._send_demand(tenant, sent)

    def _answer(self, tenant: str, pending: _Pending, granted: int, retry_after_s: float, term: str) -> None:
        waiting = self._pending.get(tenant)
        if waiting is not None and waiting.get(pending.requester) is pending:
            del waiting[pending.requester]
            if not waiting:
                del self._pending[tenant]
        if pending.requester == LOCAL:
            self._local_grants.append(LocalGrant(tenant, granted, retry_after_s, term))
        else:
            grant = TokenGrant(tenant, pending.number, granted, round(retry_after_s, 4), term)
            self._answered.record(pending.requester, grant)
            self._outbox(pending.requester).grants.append(grant)

    def _flush_charges(self, now: float) -> None:
        for tenant in list(self._charges):
            shard = shard_of(tenant)
            owner, limit = self._owners.get(shard), self._limits.get(tenant)
            upstream = self._routes.routes[shard].upstream
            if owner is not None:
                if limit is not None:
                    owner.charge(now, tenant, limit, self._charges[tenant])
            elif upstream:
                charged = ChargedRequests(tenant, min(MOST_WANTED, self._charges[tenant]))
                self._outbox(upstream).settlement.charged.append(charged)
            else:
                continue
            del self._charges[tenant]

    # ---- messages

    def receive(self, now: float, peer: str, message: Message) -> None:
        """A linked peer has sent something; what makes no sense is counted and dropped."""
        self._observe(now)
        match message:
            case QuotaRequest():
                for vote in message.votes:
                    self._receive_vote(now, peer, vote, message.hops)
                for demand in message.demands:
                    self._receive_demand(now, peer, demand, message.hops)
            case QuotaGrant(grants):
                for grant in grants:
                    self._receive_grant(now, peer, grant)
            case QuotaSettlement():
                self._receive_settlement(peer, message)
            case QuotaHandover(shard):
                self._receive_handover(now, shard, message)
            case _:
                self.rejected += 1

    def _receive_vote(self, now: float, peer: str, vote: ShardVote, hops: int) -> None:
        if not 0 <= vote.shard < SHARDS or vote.zone == self.zone or not 0 < vote.weight <= MOST_WANTED:
            self.rejected += 1
            return
        owner = self._owners.get(vote.shard)
        upstream = self._routes.routes[vote.shard].upstream
        if owner is not None:
            owner.vote(now, vote.zone, vote.weight, peer)
            self._back(now, owner)
        elif upstream and upstream != peer and hops < MOST_HOPS:
            request = self._outbox(upstream).request
            request.votes.append(vote)
            request.hops = max(request.hops, hops + 1)

    def _receive_settlement(self, peer: str, message: QuotaSettlement) -> None:
        for shard in message.withdrawn:
            if (owner := self._owners.get(shard)) is not None:
                owner.forget_voter(peer)
        for charged in message.charged:
            if 0 < charged.requests <= MOST_WANTED:
                self.charge(charged.tenant, charged.requests)
            else:
                self.rejected += 1
        for returned in message.returned:
            self._receive_returned(returned, message.hops)

    def _receive_returned(self, returned: ReturnedTokens, hops: int) -> None:
        shard = shard_of(returned.tenant)
        owner, limit = self._owners.get(shard), self._limits.get(returned.tenant)
        upstream = self._routes.routes[shard].upstream
        valid = 0 < returned.tokens <= MOST_WANTED and hops < MOST_HOPS
        if valid and owner is not None and owner.term == returned.term and limit is not None:
            owner.put_back(returned.tenant, limit, returned.tokens)
        elif valid and owner is None and upstream:
            settlement = self._outbox(upstream).settlement
            settlement.returned.append(returned)
            settlement.hops = max(settlement.hops, hops + 1)
        else:
            self.rejected += 1

    def _receive_grant(self, now: float, peer: str, grant: TokenGrant) -> None:
        sent = self._sent.get(grant.tenant)
        abandoned = self._abandoned.get(grant.number)
        if abandoned is not None and abandoned.upstream == peer and 0 <= grant.granted <= abandoned.wanted:
            del self._abandoned[grant.number]  # a copy of it counts no more
            self._hand_back(grant)
            return
        if sent is None or sent.upstream != peer or sent.number != grant.number:
            self.rejected += 1
            return
        if not 0 <= grant.granted <= sent.wanted or not grant.retry_after_s >= 0:
            self.rejected += 1
            return
        del self._sent[grant.tenant]
        usual_s = self._answer_s.setdefault(peer, now - sent.at)
        self._answer_s[peer] = usual_s + (now - sent.at - usual_s) * ANSWER_WEIGHT
        if now - sent.at > GRANT_LIFETIME_S and grant.granted:
            self._hand_back(grant)
            self._serve(now, grant.tenant)
            return
        retry_after_s = min(RETRY_MOST_S, grant.retry_after_s)
        if retry_after_s:
            self._refused_until[grant.tenant] = now + retry_after_s
        left = self._distribute(grant, retry_after_s)
        if left:
            self._receive_returned(ReturnedTokens(grant.tenant, left, grant.term), 0)
        self._serve(now, grant.tenant)

    def _hand_back(self, grant: TokenGrant) -> None:
        if grant.granted:
            self._receive_returned(ReturnedTokens(grant.tenant, grant.granted, grant.term), 0)

    def _distribute(self, grant: TokenGrant, retry_after_s: float) -> int:
        """Share out what has come: clients at their time first, then in turn; the tokens that are left."""
        waiting = list(self._pending.get(grant.tenant, {}).values())
        left = grant.granted
        shares = []
        for pending in waiting:
            shares.append(min(left, pending.returning))
            left -= shares[-1]
        for n, pending in enumerate(waiting):
            more = min(left, pending.wanted - shares[n])
            shares[n] += more
            left -= more
        for pending, share in zip(waiting, shares, strict=True):
            if share or retry_after_s:
                whole = share >= pending.wanted
                self._answer(grant.tenant, pending, share, 0.0 if whole else retry_after_s, grant.term)
        return left

    def _receive_handover(self, now: float, shard: int, message: QuotaHandover) -> None:
        if not 0 <= shard < SHARDS:
            self.rejected += 1
        elif (owner := self._owners.get(shard)) is not None:
            if now - owner.began_at <= HANDOVER_S:
                self._adopt(now, owner, message)
        else:
            self._handed[shard] = _Handover(now, message)

    # ---- output

    def _outbox(self, peer: str) -> _Outbox:
        return self._outboxes.setdefault(peer, _Outbox())

    def take_messages(self) -> Iterable[tuple[str, Message]]:
        """What is to be sent, by peer; each is given once."""
        outboxes, self._outboxes = self._outboxes, {}
        for peer, outbox in outboxes.items():
            for handover in outbox.handovers:
                yield peer, handover
            if outbox.grants:
                yield peer, QuotaGrant(outbox.grants)
            settlement = outbox.settlement
            if settlement.returned or settlement.charged or settlement.withdrawn:
                yield peer, settlement
            if outbox.request.demands or outbox.request.votes:
                yield peer, outbox.request

    def take_grants(self) -> list[LocalGrant]:
        """Answers to this proxy's own demands; each is given once."""
        grants, self._local_grants = self._local_grants, []
        return grants
