"""State machine of one proxy for fleet-wide quotas: owner, aggregator and requester (no I/O, no clock).

Theory of operation. A proxy admits a request only with a token, and every token comes from the bucket of a
single owner. Demands travel up the tree defined in `routes`: from a proxy to the aggregator of its zone, and
from there to the owner. Grants travel back down. Each level has at most one outstanding demand per tenant and
combines everything that arrives in the meantime into the next one. The message rate of a busy tenant is
therefore bounded by the round-trip time, and a tenant without requests causes no messages. A requester that
received less than it wanted is given a time for which further demands are useless, and rejects requests
locally during that time.

Invariants under message loss, delay, partitions, stalls and restarts:

    demands, grants   are sent as datagrams. A demand is resent under the same number until it is answered,
                      and a repeated demand gets the same answer. A lost grant loses tokens, never creates any
    returned tokens   go to the term that granted them; an owner in any other term drops them
    two owners        fill and cap their buckets by the fraction of the fleet that backs each of them
                      (owner.ShardOwner), and a zone backs one owner at a time: at most rate x VOTE_LIFETIME_S
                      extra tokens for each change of owner
    a new owner       starts with empty buckets, plus the levels that a terminating or yielding owner hands
                      over after its last grant
    a stalled owner   that has not run for STALL_THRESHOLD_S may have been replaced: its terms end, and the
                      votes it received become void
    a late grant      is returned after GRANT_LIFETIME_S, because it was counted in an earlier window
    a limit           applies as the owner knows it; raising a limit adds no tokens

The tokens granted in any window are therefore at most rate x (window + VOTE_LIFETIME_S x changes of owner in
the window) + burst, and a spent token was granted at most GRANT_LIFETIME_S + LEASE_DURATION_S earlier. The
calculation is compared with the operators' rule in docs/design/quotas.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf

from troutdock.rpc.messages import (
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
from troutdock.quota.demands import (
    GRANT_LIFETIME_S,
    MAX_WANTED,
    AnswerCache,
    PendingDemand,
    PendingDemands,
    SentDemands,
    distribute_tokens,
)
from troutdock.quota.outbox import Outbox
from troutdock.quota.owner import MAX_RETRY_S, ShardOwner
from troutdock.quota.ownership import OwnedShards
from troutdock.quota.routes import SINGLE_PROXY, SHARD_COUNT, Peers, Role, ShardRoutes, shard_of

VOTE_INTERVAL_S = 0.2  # between two votes of a zone; three are sent within VOTE_LIFETIME_S
STALL_THRESHOLD_S = 0.5  # an owner that has not run for longer may have been replaced
PENDING_TIMEOUT_S = 1.0  # a demand unanswered for longer is rejected with a retry time
NO_OWNER_RETRY_S = 0.1  # retry time if there is no owner, or the owner does not know the tenant
MAX_HOPS = 4  # a message forwarded this often is in a routing loop
LOCAL = ""  # this proxy as a requester


@dataclass(frozen=True, slots=True)
class LocalGrant:
    """Answer to a demand of this proxy itself.

    Attributes:
        tenant: Name of the tenant.
        granted: Tokens to spend.
        retry_after_s: How long to wait before the next demand; 0 if everything was granted.
        term: The owner's term, needed to return tokens.
    """

    tenant: str
    granted: int
    retry_after_s: float
    term: str


class QuotaNode:
    """State machine of one proxy; the caller passes every event, then takes messages and grants."""

    def __init__(self, name: str, zone: str, incarnation: int, now: float, bootstrap: bool = False) -> None:
        """Starts without peers, limits and ownership.

        Args:
            name: Of this proxy, as its peers know it.
            zone: Of this proxy.
            incarnation: Of this process; identifies its terms.
            now: Seconds.
            bootstrap: The whole fleet starts for the first time, so no quota has been used yet.
        """
        self.name, self.zone = name, zone
        self._routes = ShardRoutes(name, zone)
        self._peers = Peers()
        self._owned = OwnedShards(incarnation, now, bootstrap)
        self._pending = PendingDemands()
        self._answers = AnswerCache()
        self._sent = SentDemands()
        self._refused_until: dict[str, float] = {}  # by tenant
        self._charges: dict[str, int] = {}
        self._outbox = Outbox()
        self._local_grants: list[LocalGrant] = []
        self._last_number = 0
        self._ticked_at, self._voted_at = inf, -inf
        self.rejected = 0  # invalid parts of messages, and returns to terms that have ended

    @classmethod
    def standalone(cls) -> QuotaNode:
        """Returns the node of a single proxy without peers; its buckets start full."""
        node = cls("", "", 0, 0.0, bootstrap=True)
        node.update_peers(0.0, SINGLE_PROXY)
        return node

    # ---- state

    @property
    def has_output(self) -> bool:
        """Whether there are messages or grants to take."""
        return bool(self._outbox or self._local_grants)

    @property
    def has_grants(self) -> bool:
        """Whether there are answers to this proxy's own demands."""
        return bool(self._local_grants)

    def is_settled(self, now: float) -> bool:
        """Returns whether this proxy can be owner or aggregator; see ShardRoutes.is_settled."""
        return self._routes.is_settled(now)

    def owned_shards(self) -> list[int]:
        """Returns the shards that this proxy owns."""
        return sorted(self._owned)

    def set_limits(self, now: float, limits: Mapping[str, QuotaLimit]) -> None:
        """Sets the limits of all limited tenants from the current configuration."""
        self._observe(now)
        for tenant in self._owned.set_limits(now, limits):
            self._refused_until.pop(tenant, None)

    def update_peers(self, now: float, peers: Peers) -> None:
        """Applies a change of links to other proxies or of the registry's list."""
        self._observe(now)
        for name in (
            (set(self._peers.zone_peers) | set(self._peers.remote_peers))
            - set(peers.zone_peers)
            - set(peers.remote_peers)
        ):
            self._forget_peer(name)
        self._peers = peers
        self._owned.set_fleet(len(peers.zone_peers) + 1, peers.fleet_size)
        self._update_routes(now)
        self._owned.update_backing(now)

    def _forget_peer(self, name: str) -> None:
        """Drops the demands, answers and votes of a peer whose link has closed."""
        self._outbox.forget(name)
        self._answers.forget(name)
        self._pending.forget(name)
        self._sent.forget(name)
        self._owned.forget_voter(name)

    # ---- time

    def _observe(self, now: float) -> None:
        """Ends this proxy's terms if it has stalled for so long that it may have been replaced."""
        if now - self._ticked_at > STALL_THRESHOLD_S:
            self._ticked_at = now
            self._owned.end_terms(now)

    def tick(self, now: float) -> None:
        """Handles the passing of time; must be called several times within VOTE_INTERVAL_S."""
        self._observe(now)
        self._ticked_at = now
        self._update_routes(now)
        if now - self._voted_at >= VOTE_INTERVAL_S:
            self._voted_at = now
            for shard in range(SHARD_COUNT):
                self._vote(shard)
        self._owned.update_backing(now)
        self._flush_charges(now)
        self._answers.rotate(now)
        self._sent.abandon_overdue(now)
        for tenant in self._pending.tenants():
            self._serve(now, tenant)
            self._answer_overdue(now, tenant)

    def _answer_overdue(self, now: float, tenant: str) -> None:
        for pending in self._pending.for_tenant(tenant):
            if now - pending.received_at > PENDING_TIMEOUT_S:
                self._answer(tenant, pending, 0, NO_OWNER_RETRY_S, "")

    @property
    def resend_at(self) -> float:
        """Time of the next retransmission in seconds; infinite if no demand is outstanding."""
        return self._sent.resend_at

    def resend(self, now: float) -> None:
        """Resends demands whose answers are overdue."""
        self._observe(now)
        for tenant, sent in self._sent.due(now):
            self._outbox.add_demand(sent.upstream, sent.message(tenant), sent.hops)

    # ---- roles

    def _update_routes(self, now: float) -> None:
        before = list(self._routes.routes)
        for shard in self._routes.update(now, self._peers):
            route, old = self._routes.routes[shard], before[shard]
            if route.upstream:
                self._owned.note_other_owner(shard)
            if route.role is Role.OWNER:
                self._owned.acquire(now, shard)
            elif shard in self._owned:
                self._yield(now, shard, route.upstream)
            if old.role is Role.AGGREGATOR and self._is_linked(old.upstream):
                self._outbox.add_withdrawal(old.upstream, shard)
            self._vote(shard)
            self._resend_pending(now, shard, route.upstream)

    def _is_linked(self, peer: str) -> bool:
        return peer in self._peers.zone_peers or peer in self._peers.remote_peers

    def _yield(self, now: float, shard: int, successor: str) -> None:
        handover = self._owned.release(now, shard)
        if handover is not None and successor:
            self._outbox.add_handover(successor, handover)

    def hand_over(self, now: float) -> None:
        """Hands all ownership over to the successors, permanently; called just before the links close."""
        for shard in self._owned:
            self._yield(now, shard, self._routes.successor(shard))

    def _vote(self, shard: int) -> None:
        """Votes for the owner that this zone has selected."""
        route = self._routes.routes[shard]
        if route.role is Role.AGGREGATOR:
            self._outbox.add_vote(
                route.upstream, ShardVote(shard, self.zone, len(self._peers.zone_peers) + 1)
            )

    def _resend_pending(self, now: float, shard: int, upstream: str) -> None:
        """Abandons demands sent to a previous upstream peer, and sends them to the current one."""
        self._sent.abandon(lambda tenant, sent: sent.upstream != upstream and shard_of(tenant) == shard)
        for tenant in self._pending.tenants():
            if shard_of(tenant) == shard:
                self._serve(now, tenant)

    # ---- demands

    def demand(self, now: float, tenant: str, wanted: int, returning: int = 0) -> None:
        """Requests tokens for this proxy; the answer is available from take_grants, possibly immediately.

        Args:
            now: Seconds.
            tenant: Name of the tenant; only one demand for it at a time.
            wanted: Tokens, at least 1.
            returning: How many of them are for clients that return at their scheduled retry time.
        """
        self._observe(now)
        self._last_number += 1
        self._receive_demand(now, LOCAL, TokenDemand(tenant, self._last_number, wanted, returning), 0)

    def charge(self, tenant: str, requests: int = 1) -> None:
        """Charges requests of a tenant that were sent to a backend without a token."""
        self._charges[tenant] = self._charges.get(tenant, 0) + requests

    def return_tokens(self, tenant: str, tokens: int, term: str) -> None:
        """Returns leased tokens that were not spent."""
        self._receive_returned(ReturnedTokens(tenant, tokens, term), 0)

    def _receive_demand(self, now: float, requester: str, demand: TokenDemand, hops: int) -> None:
        if not 0 <= demand.returning <= demand.wanted <= MAX_WANTED:
            self.rejected += 1
            return
        answered = self._answers.last(requester, demand.tenant)
        if answered is not None and demand.number <= answered.number:
            if demand.number == answered.number:  # the answer was lost or delayed
                self._outbox.add_grant(requester, answered)
            return
        pending = PendingDemand(requester, demand.number, demand.wanted, demand.returning, now, hops)
        if self._pending.add(demand.tenant, pending):
            self._serve(now, demand.tenant)

    def _serve(self, now: float, tenant: str) -> None:
        """Answers the tenant's demands, forwards them, or leaves them pending."""
        demands = self._pending.for_tenant(tenant)
        shard = shard_of(tenant)
        owner = self._owned.get(shard)
        upstream = self._routes.routes[shard].upstream
        if owner is not None:
            self._serve_as_owner(now, owner, tenant, demands)
        elif upstream and demands and tenant not in self._sent.by_tenant:
            self._forward(now, upstream, tenant, demands)

    def _serve_as_owner(
        self, now: float, owner: ShardOwner, tenant: str, demands: list[PendingDemand]
    ) -> None:
        limit = self._owned.limits.get(tenant)
        for pending in demands:
            if limit is None:
                self._answer(tenant, pending, 0, NO_OWNER_RETRY_S, "")
                continue
            answer = owner.grant(now, pending.requester, tenant, limit, pending.wanted, pending.returning)
            self._answer(tenant, pending, answer.granted, answer.retry_after_s, owner.term)

    def _forward(self, now: float, upstream: str, tenant: str, demands: list[PendingDemand]) -> None:
        refused_for_s = self._refused_until.get(tenant, now) - now
        for pending in demands:
            if refused_for_s > 0:
                self._answer(tenant, pending, 0, refused_for_s, "")
            elif pending.hops >= MAX_HOPS:
                self._answer(tenant, pending, 0, NO_OWNER_RETRY_S, "")
        waiting = self._pending.for_tenant(tenant)
        if not waiting:
            return
        self._last_number += 1
        wanted = min(MAX_WANTED, sum(pending.wanted for pending in waiting))
        returning = min(wanted, sum(pending.returning for pending in waiting))
        hops = 1 + max(pending.hops for pending in waiting)
        sent = self._sent.send(now, upstream, tenant, self._last_number, wanted, returning, hops)
        self._outbox.add_demand(upstream, sent.message(tenant), hops)

    def _answer(
        self, tenant: str, pending: PendingDemand, granted: int, retry_after_s: float, term: str
    ) -> None:
        self._pending.remove(tenant, pending)
        if pending.requester == LOCAL:
            self._local_grants.append(LocalGrant(tenant, granted, retry_after_s, term))
            return
        grant = TokenGrant(tenant, pending.number, granted, round(retry_after_s, 4), term)
        self._answers.record(pending.requester, grant)
        self._outbox.add_grant(pending.requester, grant)

    def _flush_charges(self, now: float) -> None:
        for tenant, requests in list(self._charges.items()):
            shard = shard_of(tenant)
            owner, limit = self._owned.get(shard), self._owned.limits.get(tenant)
            upstream = self._routes.routes[shard].upstream
            if owner is not None:
                if limit is not None:
                    owner.charge(now, tenant, limit, requests)
            elif upstream:
                self._outbox.add_charge(upstream, ChargedRequests(tenant, min(MAX_WANTED, requests)))
            else:
                continue
            del self._charges[tenant]

    # ---- messages

    def receive(self, now: float, peer: str, message: Message) -> None:
        """Handles a message of a linked peer; invalid parts are dropped and counted."""
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
            case QuotaHandover(shard) if 0 <= shard < SHARD_COUNT:
                self._owned.receive_handover(now, message)
            case _:
                self.rejected += 1

    def _receive_vote(self, now: float, peer: str, vote: ShardVote, hops: int) -> None:
        if not 0 <= vote.shard < SHARD_COUNT or vote.zone == self.zone or not 0 < vote.weight <= MAX_WANTED:
            self.rejected += 1
            return
        upstream = self._routes.routes[vote.shard].upstream
        if vote.shard in self._owned:
            self._owned.vote(now, vote.shard, vote.zone, vote.weight, peer)
        elif upstream and upstream != peer and hops < MAX_HOPS:
            self._outbox.add_vote(upstream, vote, hops + 1)

    def _receive_settlement(self, peer: str, message: QuotaSettlement) -> None:
        for shard in message.withdrawn:
            self._owned.withdraw(shard, peer)
        for charged in message.charged:
            if 0 < charged.requests <= MAX_WANTED:
                self.charge(charged.tenant, charged.requests)
            else:
                self.rejected += 1
        for returned in message.returned:
            self._receive_returned(returned, message.hops)

    def _receive_returned(self, returned: ReturnedTokens, hops: int) -> None:
        shard = shard_of(returned.tenant)
        owner, limit = self._owned.get(shard), self._owned.limits.get(returned.tenant)
        upstream = self._routes.routes[shard].upstream
        valid = 0 < returned.tokens <= MAX_WANTED and hops < MAX_HOPS
        if valid and owner is not None and owner.term == returned.term and limit is not None:
            owner.put_back(returned.tenant, limit, returned.tokens)
        elif valid and owner is None and upstream:
            self._outbox.add_returned(upstream, returned, hops + 1)
        else:
            self.rejected += 1

    def _receive_grant(self, now: float, peer: str, grant: TokenGrant) -> None:
        if self._sent.take_abandoned(peer, grant):
            self._return_grant(grant)
            return
        sent = self._sent.take_answered(now, peer, grant)
        if sent is None:
            self.rejected += 1
            return
        if now - sent.sent_at > GRANT_LIFETIME_S and grant.granted:
            self._return_grant(grant)
        else:
            self._distribute(now, grant)
        self._serve(now, grant.tenant)

    def _return_grant(self, grant: TokenGrant) -> None:
        if grant.granted:
            self._receive_returned(ReturnedTokens(grant.tenant, grant.granted, grant.term), 0)

    def _distribute(self, now: float, grant: TokenGrant) -> None:
        """Distributes granted tokens, and returns those that no demand is waiting for."""
        retry_after_s = min(MAX_RETRY_S, grant.retry_after_s)
        if retry_after_s:
            self._refused_until[grant.tenant] = now + retry_after_s
        waiting = self._pending.for_tenant(grant.tenant)
        shares = distribute_tokens(grant.granted, waiting)
        for pending, share in zip(waiting, shares, strict=True):
            if share or retry_after_s:
                is_complete = share >= pending.wanted
                self._answer(grant.tenant, pending, share, 0.0 if is_complete else retry_after_s, grant.term)
        if left := grant.granted - sum(shares):
            self._receive_returned(ReturnedTokens(grant.tenant, left, grant.term), 0)

    # ---- output

    def take_messages(self) -> Iterable[tuple[str, Message]]:
        """Yields and removes the messages to be sent, by peer."""
        return self._outbox.take()

    def take_grants(self) -> list[LocalGrant]:
        """Returns and removes the answers to this proxy's own demands."""
        grants, self._local_grants = self._local_grants, []
        return grants
