"""Leases of quotas: ownership of shards, grants, and that no token is granted twice."""

from __future__ import annotations

from math import inf

import pytest

from troutdock.rpc.messages import (
    ChargedRequests,
    Hello,
    Message,
    QuotaGrant,
    QuotaHandover,
    QuotaRequest,
    QuotaSettlement,
    ReturnedTokens,
    ShardVote,
    TokenDemand,
    TokenGrant,
    decode,
    encode,
)
from troutdock.quota.bucket import FillTime, QuotaLimit, TokenBucket
from troutdock.quota.leases import LEASE_DURATION_S, QuotaLeases, Verdict
from troutdock.quota.demands import ABANDONED_TTL_S, GRANT_LIFETIME_S, MIN_RESEND_S
from troutdock.quota.node import MAX_HOPS, PENDING_TIMEOUT_S, STALL_THRESHOLD_S, LocalGrant, QuotaNode
from troutdock.quota.owner import MIN_RETRY_S, MAX_RETRY_S, VOTE_LIFETIME_S, ShardOwner
from troutdock.quota.ownership import BOOTSTRAP_WINDOW_S, HANDOVER_TTL_S
from troutdock.quota.routes import (
    SETTLE_TIMEOUT_S,
    SHARD_COUNT,
    ZONE_GRACE_S,
    Peers,
    Role,
    Route,
    ShardRoutes,
    ranked_aggregators,
    shard_key,
    shard_of,
    preceding_zones,
)

LIMIT = QuotaLimit(10.0, 20.0)
TENANT = "t"
SHARD = shard_of(TENANT)
NEAR = frozenset(["a-2", "a-3"])


def peers(**more: object) -> Peers:
    """Returns the peers of a-1 in a zone of three proxies; b is another zone."""
    fields = {
        "zone_peers": NEAR,
        "remote_peers": {"b-1": "b"},
        "listed_zone_peers": NEAR,
        "listed_zones": frozenset("b"),
        "fleet_size": 4,
    }
    return Peers(**{**fields, **more})  # type: ignore[arg-type]


def others(zone: str = "a", me: str = "a-1") -> frozenset[str]:
    """Returns all proxies of a zone except one; marked as busy, they leave it the aggregator."""
    return frozenset(f"{zone}-{n}" for n in range(1, 9)) - {me}


def node_with(role: Role, now: float = 0.0, bootstrap: bool = False) -> QuotaNode:
    """Returns a node in the given role for SHARD."""
    first_zone = "a" if preceding_zones(SHARD, "b", ["a"]) else "b"
    other_zone = "b" if first_zone == "a" else "a"
    zone = {Role.OWNER: first_zone, Role.AGGREGATOR: other_zone, Role.MEMBER: "a"}[role]
    node = QuotaNode(f"{zone}-1", zone, 7, now, bootstrap)
    node.set_limits(now, {TENANT: LIMIT})
    away = "b" if zone == "a" else "a"
    near = frozenset([f"{zone}-2", f"{zone}-3"])
    busy = frozenset([f"{zone}-1"]) if role is Role.MEMBER else near
    node.update_peers(
        now,
        Peers(
            near,
            {f"{away}-1": away},
            near,
            frozenset(away),
            4,
            busy - ({f"{zone}-3"} if role is not Role.MEMBER else set()),
        ),
    )
    return node


class Fleet:
    """Two linked zones of one proxy each; the first zone in order owns SHARD."""

    def __init__(self, limit: QuotaLimit = LIMIT, bootstrap: bool = True) -> None:
        self.owner_zone, self.other_zone = ("a", "b") if preceding_zones(SHARD, "b", ["a"]) else ("b", "a")
        self.owner, self.other = (
            self._node(self.owner_zone, bootstrap),
            self._node(self.other_zone, bootstrap),
        )
        for node in (self.owner, self.other):
            node.set_limits(0.0, {TENANT: limit})
            self.link(0.0, node)
        self.messages = 0
        self.deliver(0.0)

    def _node(self, zone: str, bootstrap: bool = False, life: int = 1, now: float = 0.0) -> QuotaNode:
        return QuotaNode(f"{zone}-1", zone, life, now, bootstrap)

    def link(self, now: float, node: QuotaNode) -> None:
        away = self.other_zone if node.zone == self.owner_zone else self.owner_zone
        node.update_peers(now, Peers(frozenset(), {f"{away}-1": away}, frozenset(), frozenset([away]), 2))

    def cut(self, now: float, node: QuotaNode) -> None:
        away = self.other_zone if node.zone == self.owner_zone else self.owner_zone
        node.update_peers(now, Peers(frozenset(), {}, frozenset(), frozenset([away]), 2))

    def deliver(self, now: float) -> None:
        by_name = {node.name: node for node in (self.owner, self.other)}
        while self.owner.has_output or self.other.has_output:
            for node in (self.owner, self.other):
                for peer, message in node.take_messages():
                    self.messages += 1
                    by_name[peer].receive(now, node.name, decode(encode(message)))
            if not any(node._outbox for node in (self.owner, self.other)):
                break

    def run(self, start: float, end: float) -> None:
        """Ticks both nodes ten times per second."""
        for n in range(int((end - start) * 10 + 1e-6) + 1):
            for node in (self.owner, self.other):
                node.tick(start + n / 10)
            self.deliver(start + n / 10)

    def demand(self, now: float, node: QuotaNode, wanted: int, returning: int = 0) -> LocalGrant:
        node.demand(now, TENANT, wanted, returning)
        self.deliver(now)
        (grant,) = node.take_grants()
        return grant


def owner_of(node: QuotaNode) -> ShardOwner:
    return node._owned._owners[SHARD]


# ---- buckets


def test_a_bucket_fills_and_is_capped_by_the_backed_fraction() -> None:
    bucket = TokenBucket(LIMIT, FillTime(0.0))
    bucket.refill(FillTime(100.0, 100.0), 0.5)
    assert bucket.level == 10.0
    assert bucket.take(4) == 4 and bucket.take(9, reserve=2.5) == 3 and bucket.take(9) == 3
    bucket.refill(FillTime(100.5, 100.0), 1.0)
    assert bucket.level == 5.0
    bucket.charge(100)
    assert bucket.level == -20.0 and bucket.take(1) == 0
    bucket.refill(FillTime(200.0, 100.0), 1.0)
    bucket.refill(
        FillTime(200.5, 100.5), 0.5
    )  # tokens above the capacity drain at the other owner's fill rate
    assert bucket.level == 15.0
    bucket.refill(FillTime(202.0, 102.0), 0.5)
    assert bucket.level == 10.0
    bucket.change_limit(QuotaLimit(10.0, 3.0))
    assert bucket.level == 3.0
    bucket.change_limit(QuotaLimit(10.0, 30.0))
    assert bucket.level == 3.0
    tiny = TokenBucket(QuotaLimit(1.0, 2.0), FillTime(0.0))
    tiny.refill(FillTime(100.0), 0.01)
    assert tiny.level == 1.0  # otherwise a small fraction of a small burst would never admit a request


# ---- ownership


def test_routes_of_a_proxy_that_has_just_started() -> None:
    routes = ShardRoutes("a-1", "a")
    routes.update(0.0, Peers(zone_peers=NEAR, busy=NEAR))
    assert {r.role for r in routes.routes} <= {Role.UNSETTLED, Role.MEMBER}  # no member list received yet
    listed = peers(zone_peers=frozenset(["a-2"]), remote_peers={})
    routes.update(1.0, listed)
    assert Role.OWNER not in {r.role for r in routes.routes}  # a-3 may precede it
    assert not routes.is_settled(1.0)
    routes.update(1.0 + SETTLE_TIMEOUT_S, listed)
    assert routes.is_settled(1.0 + SETTLE_TIMEOUT_S) and Role.OWNER in {r.role for r in routes.routes}
    # the other zone is dialled from now on, if it precedes this one
    for shard, route in enumerate(routes.routes):
        assert route.role is not Role.UNSETTLED or preceding_zones(shard, "a", ["b"])
    routes.update(1.0 + SETTLE_TIMEOUT_S + ZONE_GRACE_S, listed)
    assert Role.UNSETTLED not in {r.role for r in routes.routes}


def test_a_new_aggregator_waits_for_links_before_it_becomes_owner() -> None:
    zone, other = ("b", "a") if preceding_zones(SHARD, "b", ["a"]) else ("a", "b")
    routes = ShardRoutes(f"{zone}-1", zone)
    member = Peers(
        frozenset([f"{zone}-2"]),
        {},
        frozenset([f"{zone}-2"]),
        frozenset([other]),
        3,
        frozenset([f"{zone}-1"]),
    )
    routes.update(0.0, member)
    routes.update(50.0, member)
    assert routes.routes[SHARD].role is Role.MEMBER
    alone = Peers(frozenset(), {}, frozenset(), frozenset([other]), 3)
    routes.update(60.0, alone)
    assert routes.routes[SHARD].role is Role.UNSETTLED
    routes.update(60.1, Peers(frozenset(), {f"{other}-1": other}, frozenset(), frozenset([other]), 3))
    assert routes.routes[SHARD] == Route(Role.AGGREGATOR, f"{other}-1")
    routes = ShardRoutes(f"{zone}-1", zone)
    routes.update(0.0, alone)
    routes.update(ZONE_GRACE_S, alone)  # the other zone is not reachable: this zone owns
    assert routes.routes[SHARD].role is Role.OWNER


def test_all_proxies_agree_on_one_owner_for_each_shard() -> None:
    zones = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2"], "c": ["c-1"]}
    owners: dict[int, list[str]] = {shard: [] for shard in range(SHARD_COUNT)}
    for zone, names in zones.items():
        for name in names:
            near = frozenset(names) - {name}
            away = {n: z for z, ns in zones.items() if z != zone for n in ns}
            routes = ShardRoutes(name, zone)
            routes.update(0.0, Peers(near, away, near, frozenset(zones) - {zone}, 6))
            for shard, route in enumerate(routes.routes):
                owners[shard] += [name] if route.role is Role.OWNER else []
                if route.role is Role.AGGREGATOR:
                    owner_zone = preceding_zones(shard, zone, zones)[0]
                    assert (
                        route.upstream
                        == ranked_aggregators(owner_zone, shard, zones[owner_zone], frozenset())[0]
                    )
    assert all(len(names) == 1 for names in owners.values())
    assert len({names[0] for names in owners.values()}) > 2


def test_the_next_zone_becomes_owner_only_after_a_grace_period() -> None:
    zone = "b" if preceding_zones(SHARD, "b", ["a"]) else "a"
    other = "a" if zone == "b" else "b"
    routes = ShardRoutes(f"{zone}-1", zone)
    linked = Peers(remote_peers={f"{other}-1": other}, listed_zones=frozenset(other), fleet_size=2)
    lost = Peers(listed_zones=frozenset(other), fleet_size=2)
    routes.update(0.0, linked)
    routes.update(5.0, linked)
    assert routes.routes[SHARD].role is Role.AGGREGATOR
    routes.update(6.0, lost)
    assert routes.routes[SHARD].role is Role.UNSETTLED
    routes.update(6.0 + ZONE_GRACE_S, lost)
    assert routes.routes[SHARD].role is Role.OWNER
    routes.update(9.0, linked)
    assert routes.routes[SHARD].role is Role.AGGREGATOR


def test_busy_proxies_are_ranked_last_unless_most_are_busy() -> None:
    names = ["a-1", "a-2", "a-3", "a-4"]
    usual = ranked_aggregators("a", SHARD, names, frozenset())
    assert ranked_aggregators("a", SHARD, names, frozenset(usual[:1])) == usual[1:] + usual[:1]
    assert ranked_aggregators("a", SHARD, names, frozenset(usual[:3])) == usual[3:] + usual[:3]
    assert ranked_aggregators("a", SHARD, names, frozenset(usual)) == usual


# ---- demands and grants


def test_the_owner_grants_each_token_once() -> None:
    fleet = Fleet()
    assert fleet.demand(1.0, fleet.other, 15).granted == 15
    grant = fleet.demand(1.0, fleet.owner, 15)
    assert grant.granted == 4  # 20 minus the reserve for returning clients, in whole tokens
    assert MIN_RETRY_S <= grant.retry_after_s <= MAX_RETRY_S
    assert fleet.demand(1.0, fleet.owner, 1, returning=1).granted == 1
    assert fleet.demand(1.0, fleet.owner, 1, returning=1).granted == 0
    assert fleet.demand(2.0, fleet.owner, 100).granted == 9


def test_a_late_grant_is_returned_and_demanded_again() -> None:
    node = node_with(Role.MEMBER)
    node.demand(0.1, TENANT, 3)
    sent = node._sent.by_tenant[TENANT]
    list(node.take_messages())
    node.receive(
        0.11 + GRANT_LIFETIME_S, sent.upstream, QuotaGrant([TokenGrant(TENANT, sent.number, 3, 0.0, "term")])
    )
    (_, settlement), (_, request) = list(node.take_messages())
    assert (
        not node.take_grants()
        and isinstance(settlement, QuotaSettlement)
        and isinstance(request, QuotaRequest)
    )
    assert [(r.tokens, r.term) for r in settlement.returned] == [(3, "term")]
    assert [demand.wanted for demand in request.demands] == [3]


def test_a_token_is_granted_from_a_burst_of_one_and_a_small_backed_fraction() -> None:
    for burst, part in ((1.0, 1.0), (200.0, 0.005)):
        owner = ShardOwner("term", 0.0, False)
        owner.update_backing(0.0, 1, round(1 / part))
        assert owner.grant(1000.0, "x", TENANT, QuotaLimit(5.0, burst), 1).granted == 1


def test_a_short_term_owner_forwards_its_handover() -> None:
    fleet = Fleet(bootstrap=False)
    fleet.run(0.0, 4.0)
    fleet.owner.receive(4.0, "x", QuotaHandover(SHARD, 0.0, {TENANT: 9.0}))
    assert not fleet.owner.rejected
    moment = QuotaNode("x-1", "x", 3, 4.0)
    moment.set_limits(4.0, {TENANT: LIMIT})
    moment.update_peers(4.0, Peers(fleet_size=1))
    moment.receive(4.0, "y", QuotaHandover(SHARD, 0.0, {TENANT: 9.0}))
    moment.update_peers(4.01, Peers(zone_peers=frozenset("y"), fleet_size=2, busy=frozenset(["x-1"])))
    handed = [m for _, m in moment.take_messages() if isinstance(m, QuotaHandover) and m.shard == SHARD]
    assert [m.levels[TENANT] for m in handed] == [pytest.approx(9.0, abs=0.2)]


def test_a_handover_to_a_node_without_limits_is_ignored() -> None:
    node = QuotaNode("a-1", "a", 1, 0.0)
    node.update_peers(0.0, Peers(fleet_size=1))
    node.receive(0.1, "b", QuotaHandover(SHARD, 1e9, {TENANT: 20.0}))
    node.set_limits(0.1, {TENANT: LIMIT})
    node.demand(0.1, TENANT, 20, 20)
    assert node.take_grants()[0].granted <= 1


def test_demands_received_during_an_outstanding_one_are_combined() -> None:
    node = node_with(Role.AGGREGATOR)
    list(node.take_messages())
    for requester, wanted in (("x", 2), ("y", 3), ("z", 4)):
        node.receive(0.1, requester, QuotaRequest([TokenDemand(TENANT, 5, wanted)]))
    ((upstream, sent),) = list(node.take_messages())
    assert isinstance(sent, QuotaRequest) and sent.hops == 1
    (demand,) = sent.demands
    assert demand.wanted == 2
    node.receive(0.2, upstream, QuotaGrant([TokenGrant(TENANT, demand.number, 2, 0.0, "term")]))
    out = dict(node.take_messages())
    assert out["x"] == QuotaGrant([TokenGrant(TENANT, 5, 2, 0.0, "term")])
    again = out[upstream]
    assert isinstance(again, QuotaRequest) and again.demands[0].wanted == 7
    # fewer tokens than wanted: split in order, with a retry time for incomplete grants
    node.receive(0.3, upstream, QuotaGrant([TokenGrant(TENANT, again.demands[0].number, 4, 0.2, "term")]))
    grants = {peer: m.grants[0] for peer, m in node.take_messages() if isinstance(m, QuotaGrant)}
    assert {peer: (g.granted, g.retry_after_s) for peer, g in grants.items()} == {
        "y": (3, 0.0),
        "z": (1, 0.2),
    }
    node.receive(0.4, "x", QuotaRequest([TokenDemand(TENANT, 6, 1)]))  # rejected locally until the retry time
    ((peer, refused),) = list(node.take_messages())
    assert peer == "x" and refused == QuotaGrant([TokenGrant(TENANT, 6, 0, 0.1)])
    node.receive(0.51, "x", QuotaRequest([TokenDemand(TENANT, 7, 1)]))
    assert [peer for peer, _ in node.take_messages()] == [upstream]


def test_idle_tenants_cause_no_messages_and_busy_ones_a_bounded_number() -> None:
    fleet = Fleet()
    for node in (fleet.other, fleet.owner):
        node.tick(0.01)
        for _, message in node.take_messages():
            assert isinstance(message, QuotaRequest) and message.votes and not message.demands
    leases, sent = QuotaLeases(fleet.other), fleet.messages
    for n in range(5000):  # within a second
        now = 1.0 + n / 5000
        leases.request(now, TENANT, LIMIT, 0.5, n)
        fleet.deliver(now)
        leases.results(now)
    assert fleet.messages - sent <= 4 * LIMIT.rate_per_s + 10


def test_a_resent_demand_gets_the_same_answer() -> None:
    fleet = Fleet()
    fleet.other.demand(1.0, TENANT, 5)
    ((_, request),) = list(fleet.other.take_messages())
    fleet.owner.receive(1.0, fleet.other.name, request)
    list(fleet.owner.take_messages())  # lost
    assert fleet.other.resend_at == pytest.approx(1.0 + MIN_RESEND_S)
    fleet.other.resend(1.0 + MIN_RESEND_S)
    assert fleet.other.resend_at == pytest.approx(1.0 + 3 * MIN_RESEND_S)
    fleet.deliver(1.03)
    assert fleet.other.take_grants()[0].granted == 5 and fleet.other.resend_at == inf
    assert owner_of(fleet.owner).levels(1.03)[1][TENANT] == pytest.approx(15, abs=0.5)
    fleet.owner.receive(1.04, fleet.other.name, request)  # a duplicate delayed by the network
    fleet.deliver(1.04)
    assert owner_of(fleet.owner).levels(1.04)[1][TENANT] == pytest.approx(15, abs=0.5)


def test_a_demand_in_a_routing_loop_is_answered() -> None:
    node = node_with(Role.MEMBER)
    list(node.take_messages())
    node.receive(0.1, "x", QuotaRequest([TokenDemand(TENANT, 5, 2)], hops=MAX_HOPS))
    ((peer, message),) = list(node.take_messages())
    assert peer == "x" and isinstance(message, QuotaGrant) and message.grants[0].granted == 0


def test_unanswered_demands_are_rejected_and_resent() -> None:
    node = node_with(Role.MEMBER)
    node.demand(0.1, TENANT, 1)
    list(node.take_messages())
    node.tick(0.1 + PENDING_TIMEOUT_S + 0.01)
    (grant,) = node.take_grants()
    assert grant.granted == 0 and grant.retry_after_s > 0
    node.demand(0.2 + PENDING_TIMEOUT_S, TENANT, 1)
    node.tick(0.2 + PENDING_TIMEOUT_S + GRANT_LIFETIME_S + 0.01)
    assert any(isinstance(m, QuotaRequest) and m.demands for _, m in node.take_messages())


def test_a_grant_for_an_abandoned_demand_is_returned_once() -> None:
    node = node_with(Role.MEMBER)
    node.demand(0.1, TENANT, 3)
    number, upstream = node._sent.by_tenant[TENANT].number, node._sent.by_tenant[TENANT].upstream
    node.tick(0.11 + GRANT_LIFETIME_S)
    again = node._sent.by_tenant[TENANT].number
    assert again > number
    list(node.take_messages())
    late = QuotaGrant([TokenGrant(TENANT, number, 3, 0.0, "term")])
    for copy in range(2):
        node.receive(0.4, upstream, late)
        messages = [m for _, m in node.take_messages()]
        assert [(r.tokens, r.term) for m in messages for r in m.returned] == ([] if copy else [(3, "term")])
    node.receive(0.4, upstream, QuotaGrant([TokenGrant(TENANT, again, 3, 0.0, "term")]))
    assert node.take_grants()[0].granted == 3
    node.tick(0.5 + GRANT_LIFETIME_S + ABANDONED_TTL_S)
    assert not node._sent._abandoned


def test_a_demand_on_a_closed_link_is_sent_to_the_next_peer() -> None:
    node = QuotaNode("a-1", "a", 1, 0.0)
    node.set_limits(0.0, {TENANT: LIMIT})
    node.update_peers(0.0, peers(busy=frozenset(["a-1"])))
    node.demand(0.1, TENANT, 3)
    ((first, _),) = [(p, m) for p, m in node.take_messages() if isinstance(m, QuotaRequest) and m.demands]
    left = NEAR - {first}
    node.update_peers(0.2, peers(zone_peers=left, busy=frozenset(["a-1"])))
    ((second, message),) = [
        (p, m) for p, m in node.take_messages() if isinstance(m, QuotaRequest) and m.demands
    ]
    assert {second} == set(left) and isinstance(message, QuotaRequest) and message.demands[0].wanted == 3


# ---- no token is granted twice


def test_a_new_owner_in_a_running_fleet_starts_empty() -> None:
    fleet = Fleet(bootstrap=False)
    assert fleet.demand(0.0, fleet.owner, 20).granted == 0
    fleet.run(0.0, 1.0)
    assert fleet.demand(1.0, fleet.owner, 20).granted == 9  # backed by itself and the other zone's vote
    assert owner_of(fleet.owner).update_backing(1.0, 1, 2) == 1.0
    assert owner_of(fleet.owner).update_backing(1.0 + VOTE_LIFETIME_S, 1, 2) == 0.5  # the vote has expired


def test_a_fleet_that_starts_for_the_first_time_has_full_buckets() -> None:
    fleet = Fleet()
    assert fleet.demand(0.1, fleet.other, 20, 20).granted == 20
    late = QuotaNode("a-1", "a", 1, 0.0, bootstrap=True)
    late.set_limits(0.0, {TENANT: LIMIT})
    late.update_peers(BOOTSTRAP_WINDOW_S + 0.1, Peers(fleet_size=1))
    late.demand(BOOTSTRAP_WINDOW_S + 0.1, TENANT, 20)
    assert late.take_grants()[0].granted == 0


def test_two_owners_of_a_partitioned_fleet_grant_as_much_as_one() -> None:
    fleet = Fleet()
    fleet.demand(1.0, fleet.owner, 20, 20)
    fleet.cut(1.0, fleet.owner)
    fleet.cut(1.0, fleet.other)
    granted = 0  # also within BOOTSTRAP_WINDOW_S: the second owner does not start full
    for n in range(1, 101):
        now = 1.0 + n / 20
        for node in (fleet.owner, fleet.other):
            node.tick(now)
            node.demand(now, TENANT, 5)
            granted += sum(grant.granted for grant in node.take_grants())
    assert 0.85 * LIMIT.rate_per_s * 5 <= granted <= LIMIT.rate_per_s * 5 + 1
    for n in range(1, 101):  # without demands, each holds its fraction of the burst
        for node in (fleet.owner, fleet.other):
            node.tick(6.0 + n / 10)
    for node in (fleet.owner, fleet.other):
        node.demand(16.0, TENANT, 99, 99)
        assert node.take_grants()[0].granted == LIMIT.burst / 2


def test_a_stalled_owner_starts_a_new_term() -> None:
    fleet = Fleet()
    fleet.owner.tick(1.0)
    term = owner_of(fleet.owner).term
    fleet.owner.tick(1.0 + STALL_THRESHOLD_S)  # a stall of exactly this length is tolerated
    assert owner_of(fleet.owner).term == term
    fleet.owner.demand(1.1 + 2 * STALL_THRESHOLD_S, TENANT, 20)
    assert fleet.owner.take_grants()[0].granted == 0
    assert owner_of(fleet.owner).term != term


def test_returned_tokens_are_accepted_once_and_in_their_term_only() -> None:
    fleet = Fleet()
    grant = fleet.demand(1.0, fleet.other, 20, 20)
    fleet.other.return_tokens(TENANT, 5, grant.term)
    fleet.deliver(1.0)
    assert fleet.demand(1.0, fleet.owner, 20, 20).granted == 5
    rejected = fleet.owner.rejected
    for tokens, term in ((5, "another"), (-5, grant.term), (0, grant.term)):
        fleet.other.return_tokens(TENANT, tokens, term)
        fleet.deliver(1.0)
    assert fleet.demand(1.0, fleet.owner, 20, 20).granted == 0
    assert fleet.owner.rejected + fleet.other.rejected == rejected + 3


def test_bucket_levels_are_handed_over_on_yield_and_on_termination() -> None:
    fleet = Fleet()
    fleet.cut(1.0, fleet.other)
    fleet.run(1.0, 8.0)
    assert SHARD in fleet.other.owned_shards()
    fleet.other.demand(8.0, TENANT, 2, 2)
    assert fleet.other.take_grants()[0].granted == 2
    level = owner_of(fleet.other).levels(8.0)[1][TENANT]
    fleet.owner = fleet._node(fleet.owner_zone, life=9, now=8.0)
    fleet.owner.set_limits(8.0, {TENANT: LIMIT})
    fleet.link(8.0, fleet.owner)
    fleet.link(8.0, fleet.other)
    fleet.deliver(8.0)
    assert SHARD not in fleet.other.owned_shards()
    assert owner_of(fleet.owner).levels(8.0)[1][TENANT] == pytest.approx(level, abs=1)
    fleet.run(8.0, 9.9)
    fleet.owner.hand_over(9.9)
    fleet.deliver(9.9)
    assert not fleet.owner.owned_shards()
    fleet.cut(9.9, fleet.other)
    fleet.other.tick(9.9 + ZONE_GRACE_S)
    assert owner_of(fleet.other).levels(9.9 + ZONE_GRACE_S)[1][TENANT] > level - 1


def test_a_handover_is_valid_once_and_for_a_limited_time() -> None:
    for waited, full in ((0.1, True), (HANDOVER_TTL_S + 0.1, False)):
        node = QuotaNode("a-1", "a", 1, 0.0)
        node.set_limits(0.0, {TENANT: LIMIT})
        node.receive(0.0, "a-2", QuotaHandover(SHARD, 100.0, {TENANT: 20.0, "unknown": 5.0}))
        node.update_peers(waited, Peers(fleet_size=1))
        node.demand(waited, TENANT, 20, 20)
        assert (node.take_grants()[0].granted == 20) is full
    owner, late = owner_of(node), waited + HANDOVER_TTL_S + 0.1
    node.demand(late, TENANT, 20, 20)
    node.receive(late, "a-2", QuotaHandover(SHARD, 100.0, {TENANT: 20.0}))
    assert owner.levels(late)[1][TENANT] < 1 and owner is owner_of(node)


def test_a_zone_backs_one_owner_at_a_time() -> None:
    fleet = Fleet()
    assert owner_of(fleet.owner).update_backing(1e-3, 1, 2) == 1.0
    fleet.owner.receive(0.1, fleet.other.name, QuotaSettlement(withdrawn=[SHARD]))
    assert owner_of(fleet.owner).update_backing(0.1, 1, 2) == 0.5
    fleet.other.tick(0.3)
    fleet.deliver(0.3)
    assert owner_of(fleet.owner).update_backing(0.3, 1, 2) == 1.0
    fleet.cut(0.4, fleet.owner)  # a vote is dropped with the link on which it arrived
    assert owner_of(fleet.owner).update_backing(0.4, 1, 2) == 0.5


def test_a_changed_limit_adds_no_tokens() -> None:
    fleet = Fleet()
    fleet.run(0.0, 1.0)
    fleet.demand(1.0, fleet.owner, 20, 20)
    fleet.owner.set_limits(1.0, {TENANT: QuotaLimit(10.0, 100.0), "new": LIMIT})
    assert fleet.demand(1.0, fleet.owner, 20, 20).granted == 0
    fleet.owner.set_limits(1.0, {})
    assert fleet.demand(1.0, fleet.owner, 20, 20).granted == 0
    fleet.owner.set_limits(1.0, {TENANT: LIMIT})  # removed and added again
    fleet.run(1.0, 1.0)
    assert fleet.demand(1.0, fleet.owner, 20, 20).granted == 0
    assert fleet.demand(1.15, fleet.owner, 20, 20).granted == 1


@pytest.mark.parametrize(
    "message",
    [
        QuotaGrant([TokenGrant(TENANT, 1, 99, 0.0, "term")]),
        QuotaGrant([TokenGrant(TENANT, 1, -1, 0.0, "term")]),
        QuotaGrant([TokenGrant(TENANT, 1, 1, -1.0, "term")]),
        QuotaGrant([TokenGrant(TENANT, 77, 1, 0.0, "term")]),
        QuotaGrant([TokenGrant("other", 1, 1, 0.0, "term")]),
        QuotaRequest([TokenDemand(TENANT, 1, -1)]),
        QuotaRequest([TokenDemand(TENANT, 1, 1, 2)]),
        QuotaSettlement(charged=[ChargedRequests(TENANT, -3)]),
        QuotaSettlement(returned=[ReturnedTokens(TENANT, -1, "term")]),
        QuotaRequest(votes=[ShardVote(SHARD_COUNT, "c", 1)]),
        QuotaRequest(votes=[ShardVote(SHARD, "c", -1)]),
        QuotaHandover(-1, 0.0, {}),
        Hello("proxy", "x", "10.0.0.1", "a", 1),
    ],
)
def test_invalid_messages_are_dropped_and_counted(message: Message) -> None:
    node = node_with(Role.MEMBER)
    node.demand(0.1, TENANT, 3)
    upstream = node._sent.by_tenant[TENANT].upstream
    list(node.take_messages())
    node.receive(0.2, upstream, message)
    assert node.rejected == 1 and not node.has_output


# ---- leases


def leases_of_owner(level: float = LIMIT.burst) -> QuotaLeases:
    node = QuotaNode.standalone()
    node.set_limits(0.0, {TENANT: LIMIT})
    leases = QuotaLeases(node)
    return leases


def request(leases: QuotaLeases, now: float, number: int, returning: bool = False) -> bool:
    """Returns whether a request is granted, immediately because the owner is local."""
    verdict = leases.request(now, TENANT, LIMIT, 0.5, number, returning)
    results = {result.request: result.granted for result in leases.results(now)}
    return verdict is Verdict.GRANTED or results.get(number, False)


def test_leased_tokens_are_spent_or_returned() -> None:
    leases = leases_of_owner()
    assert request(leases, 0.0, 1)
    leases.put_back(0.0, TENANT)
    assert leases.request(0.05, TENANT, LIMIT, 0.5, 2) is Verdict.GRANTED
    leases.put_back(0.05, TENANT)
    leases.tick(0.06 + LEASE_DURATION_S)
    owner = owner_of(leases.node)
    assert owner.levels(0.06 + LEASE_DURATION_S)[1][TENANT] == 20.0


def test_a_busy_tenant_leases_ahead_within_its_share() -> None:
    leases = leases_of_owner()
    asked = []
    leases.node.demand = lambda now, tenant, wanted, returning=0: asked.append(wanted)  # type: ignore[method-assign]
    for n in range(200):
        leases.request(n / 200, TENANT, QuotaLimit(100.0, 100.0), 0.5, n)
        leases._leases[TENANT].waiting.clear()
        leases._leases[TENANT].demanded = 0
    assert asked[0] == 1 and max(asked) <= 1 + 100.0 * 0.75 * LEASE_DURATION_S and asked[-1] > 1


def test_leases_of_idle_tenants_are_dropped() -> None:
    leases = leases_of_owner()
    request(leases, 0.0, 1)
    leases.tick(30.0)
    assert leases._leases
    leases.tick(61.0)
    assert not leases._leases


def test_hello_is_compatible_with_earlier_versions() -> None:
    assert decode(b'{"t":"hello","role":"espalier","name":"x","ip":"10.0.0.1","zone":"a","life":3}') == Hello(
        "espalier", "x", "10.0.0.1", "a", 3
    )
    assert encode(Hello("hedgerow", "x", "10.0.0.1", "a", 3)) == (
        b'{"t":"hello","role":"hedgerow","name":"x","ip":"10.0.0.1","zone":"a","life":3}'
    )


def test_shards_and_keys_are_stable() -> None:
    assert [shard_of(name) for name in ("sese880", "bago261", "lehu480")] == [0, 4, 15]
    assert shard_key(3) == "quota/3"
