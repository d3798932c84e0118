"""QuotaSimulation of large fleets: bucket owners and their queries, judged by the customers' true buckets."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest
from build import START, gateway, request
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from lab.gateways import Counter
from lab.quotas import PLANS, Account, QuotaSimulation, customers
from troutdock.admission import Gateway, snapshot
from troutdock.admission.owner_query_codec import (
    LEVEL_SCALE,
    BOUND_SCALE,
    OwnerReply,
    OwnerQuery,
    decode_reply,
    decode_query,
)
from troutdock.admission.bucket_replication import (
    REPLICATION_MS,
    RECOVERY_REQUEST,
    NO_STANDBY,
    BucketReplicas,
)
from troutdock.admission.usage_digest_codec import encode_digest
from troutdock.admission.bucket_owner import REJECTION_SHARE, REPLY_CACHE_MS, BucketOwner
from troutdock.admission.interface import (
    CounterAdd,
    PeerMessage,
    Plan,
    Refuse,
    RequestWithdrawn,
    Send,
    Settings,
    AttemptSettled,
    SendToPeer,
)
from troutdock.admission.owner_queries import (
    UNREACHABLE_AFTER,
    PROBE_MS,
    OWNER_RANKS,
    MAX_ATTEMPTS,
    OwnerQueries,
)

PLAN = Plan(1.6, 16.0, name="basis")
FILL = PLAN.rate / PLAN.burst


class NoOwners(Gateway):
    """A gateway that reaches no owner."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.queries.enabled = False


# ---- fleets, judged by the true buckets


@pytest.mark.parametrize(
    ("gateways", "count", "counter"), [(40, 50, None), (200, 60, None), (200, 60, Counter(500, 40.0))]
)
def test_quotas_are_used_and_kept_with_few_bytes_and_without_the_counter(
    gateways: int, count: int, counter: Counter | None
) -> None:
    """The counter is hardly called, whether it does not answer or is slow."""
    f = QuotaSimulation(gateways, customers(gateways, count, Random(1)), 1, counter=counter)
    f.run_for(20)
    j = f.results(20)
    assert j.over_use < 0.03 and j.wrong_refusals < 0.06 and j.served_of_fair > 0.93 and not j.ceiling_excess
    assert j.bytes_per_request < 4 * 15 and j.calls_per_request < 0.01 and j.max_received_per_s < 100


def test_the_same_fleet_without_owners_exceeds_its_quotas() -> None:
    """Shows that the test above can fail both ways: without a counter, each gateway knows only its own use."""
    f = QuotaSimulation(200, customers(200, 60, Random(1)), 1, make=NoOwners)
    f.run_for(20)
    j = f.results(20)
    assert j.over_use > 0.05 and j.wrong_refusals > 0.2 and j.served_of_fair < 0.9


def overusers(gateways: int, width: int, times: float = 4.0) -> list[Account]:
    return [Account(n * 7919, 0, n * 3 % gateways, width, times) for n in range(1, 9)]


def mass_failure(f: QuotaSimulation) -> None:
    f.run_for(10)
    dead = range(0, 100, 10)
    for index in [n for tens in dead for n in range(tens, tens + 7)]:
        f.kill(index)
    f.run_for(3)
    for index in [n for tens in dead for n in range(tens, tens + 7)]:
        f.restart(index)
    f.run_for(10)


def partition(f: QuotaSimulation) -> None:
    f.run_for(10)
    f.can_reach = lambda sender, other: sender % 2 == other % 2
    f.run_for(6)
    f.can_reach = lambda sender, other: True
    f.run_for(7)


@pytest.mark.parametrize(
    ("trouble", "bursts", "rates"),
    [
        # an extra burst at each change of owner, away and back; at most OWNER_RANKS of them
        (mass_failure, 3.0, 0.0),
        (partition, 3.0, 6.0),  # and during the partition, a second quota
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_changes_of_owner_admit_no_more_than_stated(
    trouble: object, bursts: float, rates: float, seed: int
) -> None:
    f = QuotaSimulation(100, overusers(100, 80), seed, counter=Counter(500))
    trouble(f)  # type: ignore[operator]
    for account in f.accounts:
        plan = PLANS[account.plan]
        assert account.over_quota <= bursts * plan.burst + rates * plan.rate + 0.05 * account.within_quota
        assert account.within_quota > 0.8 * (plan.burst + 23 * plan.rate)


@pytest.mark.parametrize("way_ms", [1.0, 40.0])
def test_after_a_mass_failure_only_requests_without_an_owner_call_the_counter(way_ms: float) -> None:
    """Requests whose owners have all failed, and their settlement, also if the counter answers just in time."""
    f = QuotaSimulation(100, customers(100, 120, Random(3)), 1, counter=Counter(500, way_ms))
    mass_failure(f)
    assert 0 < f.results(23).max_calls_per_s < 2 * 0.7**OWNER_RANKS * f.requests / 23


@examples(max_examples=12)
@given(
    st.integers(0, 10_000),
    st.floats(0.0, 0.6),
    st.lists(st.tuples(st.integers(0, 19), st.booleans()), max_size=6),
)
def test_no_loss_or_restart_loses_quota_or_exceeds_a_ceiling(
    seed: int, loss: float, moves: list[tuple[int, bool]]
) -> None:
    """At any loss, a customer at half its rate is served, and one far beyond it gets at least part of its quota."""
    # both sets wrap around the last gateway number
    calm, plus = Account(1, 0, 18, 20, 0.5), Account(2, 2, 19, 4, 3.0)
    f = QuotaSimulation(20, [calm, plus], seed, counter=Counter(500), loss=loss)
    for index, dies in moves:
        f.run_for(1)
        f.kill(index) if dies else f.restart(index)
    f.run_for(10 - len(moves))
    f.time.run(f.time.now + 5000)
    assert f.results(10).ceiling_excess <= 0
    assert calm.over_quota <= 0.2 * calm.asked + 6 and calm.refused_with_room <= 0.35 * calm.asked + 6
    assert plus.within_quota + plus.over_quota >= 0.2 * min(plus.asked, 10 * PLANS[2].rate)


# ---- one gateway


def one(index: int = 0, gateways: int = 200, **changes: object) -> Gateway:
    return gateway(
        *range(1, 41),
        gateways=gateways,
        index=index,
        plans=(PLAN,),
        counter=True,
        counter_timeout_ms=50.0,
        **{"peers": True, "peer_in_per_s": 100.0, "most_units": 8, **changes},
    )


@pytest.mark.parametrize(
    ("gateways", "intake", "on"),
    [
        (1, 100.0, False),
        (3, 100.0, False),
        (16, 100.0, False),
        (18, 100.0, True),
        (40, 100.0, True),
        (1000, 100.0, True),
        (200, 0.0, False),
    ],
)
def test_owners_are_queried_if_digests_would_be_late(gateways: int, intake: float, on: bool) -> None:
    g = one(gateways=gateways, peer_in_per_s=intake)
    assert g.queries.enabled == on and (g.usage.interval_ms == float("inf")) == (
        on or gateways == 1 or not intake
    )


def test_a_customer_of_one_gateway_has_its_owner_there() -> None:
    g = one()
    actions = [a for n in range(9) for a in g.handle(START, request(n + 1, units=4.0, width=1))]
    assert not [a for a in actions if isinstance(a, SendToPeer | CounterAdd)]
    assert len([a for a in actions if isinstance(a, Send)]) == 4  # 16 units


def sent_query(actions: list[object]) -> tuple[int, int, OwnerQuery]:
    (tell,) = [a for a in actions if isinstance(a, SendToPeer)]
    number, query = decode_query(tell.body)
    return tell.gateway, number, query


@pytest.mark.parametrize(("granted", "level", "then"), [(True, 0.5, Send), (False, 0.1, Refuse)])
def test_a_pending_request_follows_the_reply_and_no_query_is_sent_without_possible_room(
    granted: bool, level: float, then: type
) -> None:
    g = one()
    owner, number, query = sent_query(g.handle(START, request(1, units=4.0, width=150)))
    assert query.requested == LEVEL_SCALE * 4 // 16 and query.used == 0 and query.level_bound == 1.0
    done = g.handle(START + 20, PeerMessage(owner, OwnerReply(granted, level).encode(number)))
    assert [type(a) for a in done] == [then]
    assert not g.handle(START + 21, PeerMessage(owner, OwnerReply(True, 1.0).encode(number)))  # duplicate
    again = g.handle(START + 100, request(2, units=4.0, width=150))
    asked = [a for a in again if isinstance(a, SendToPeer)]
    assert bool(asked) == granted and bool([a for a in again if isinstance(a, Refuse)]) != granted
    assert [a for a in g.handle(START + 2000, request(3, units=4.0, width=150)) if isinstance(a, SendToPeer)]


def test_an_unresponsive_owner_is_queried_twice_then_the_next_and_last_the_counter() -> None:
    g = one()
    g.handle(START, PeerMessage(7, b"\x10\x00\x00\x00\x00"))
    seen, now = [], START
    actions = g.handle(now, request(1, units=4.0, width=150, left=4000.0))
    while not (counted := [a for a in actions if isinstance(a, CounterAdd)]) and now < START + 1500:
        seen += [(a.gateway, decode_query(a.body)[0]) for a in actions if isinstance(a, SendToPeer)]
        now += 60.0
        actions = g.handle(
            now, PeerMessage(7, b"\x10\x00\x00\x00\x00")
        )  # other peers are received, so owners count as reachable
    owners = [owner for owner, _ in seen]
    assert counted and len(dict.fromkeys(owners)) == OWNER_RANKS and len(owners) == OWNER_RANKS * MAX_ATTEMPTS
    assert len(dict.fromkeys(seen)) == OWNER_RANKS  # the same query at each owner


def test_a_replaced_gateway_owns_no_buckets_and_completes_pending_requests() -> None:
    g = one()
    owner, number, query = sent_query(g.handle(START, request(1, units=4.0, width=150)))
    snapshot.take(g)  # upgrade: the state belongs to another process from here on
    assert not g.handle(START + 5, PeerMessage(9, query.encode(5)))
    done = g.handle(START + 20, PeerMessage(owner, OwnerReply(True, 0.5).encode(number)))
    assert [type(a) for a in done] == [
        Send,
        AttemptSettled,
    ]  # its units were deducted: nobody else may use them
    assert [type(a) for a in g.handle(START + 30, request(2, units=4.0, width=150))] == [Refuse]
    successor = one()
    snapshot.restore(successor, snapshot.take(g))
    assert (
        sent_query(successor.handle(START + 60, request(3, units=4.0, width=150)))[2].level_bound < 1.0
    )  # the last reply is known


def test_units_granted_for_a_withdrawn_request_are_returned() -> None:
    g = one()
    owner, number, _ = sent_query(g.handle(START, request(1, units=4.0, width=150)))
    g.handle(START + 5, RequestWithdrawn(1))
    back_owner, _, back = sent_query(
        g.handle(START + 20, PeerMessage(owner, OwnerReply(True, 0.5).encode(number)))
    )
    assert back_owner == owner and back.used == -LEVEL_SCALE * 4 // 16 and back.requested == 0


def test_after_a_change_of_width_the_new_owner_gets_the_level_bound_of_the_old_one() -> None:
    g = one()
    owner, number, _ = sent_query(g.handle(START, request(1, units=4.0, width=150)))
    g.handle(START + 20, PeerMessage(owner, OwnerReply(True, 0.3).encode(number)))
    other, _, query = sent_query(g.handle(START + 100, request(2, units=1.0, width=90)))
    assert other != owner and query.level_bound == pytest.approx(0.3, abs=0.02)


def test_digests_of_an_older_version_change_nothing_in_a_large_fleet() -> None:
    g = one()
    g.handle(START, PeerMessage(5, encode_digest(3, [(77, 100, 0.0)])))
    assert not g.usage.is_receiving(START) and sent_query(g.handle(START, request(1, units=4.0, width=150)))


# ---- an owner


def query(
    used: float = 0.0, requested: float = 0.0, reserve: int = 0, key: int = 77, level_bound: float = 1.0
) -> OwnerQuery:
    return OwnerQuery(
        key, FILL, round(used * LEVEL_SCALE), round(requested * LEVEL_SCALE), reserve, level_bound
    )


def test_a_repeated_query_counts_once() -> None:
    owner = BucketOwner(100.0)
    body = query(0.25, 0.25).encode(9)
    replies = [owner.reply(START + n * 60, 3, body) for n in range(4)]
    assert len(dict.fromkeys(replies)) == 1 and decode_reply(replies[0])[1].level == pytest.approx(
        0.5, abs=0.002
    )
    owner.reply(START, 4, body)  # the same number of another sender is another query
    assert decode_reply(owner.reply(START + REPLY_CACHE_MS + 300, 3, query().encode(10)))[1].level < 0.5
    assert len(owner.replies) == 1  # old replies are dropped


@pytest.mark.parametrize(
    ("asked", "granted"),
    [
        (query(requested=1.0), True),
        (query(requested=0.5, reserve=60), False),
        (query(used=0.7, requested=0.4), False),
        (query(used=-0.5, requested=1.0), True),
        (query(requested=0.5, level_bound=0.4), False),
        (query(requested=0.3, level_bound=0.4), True),
    ],
)
def test_an_owner_grants_what_the_level_allows_beside_the_reserve(asked: OwnerQuery, granted: bool) -> None:
    answer = BucketOwner(100.0).apply(START, asked)
    assert answer.granted == granted
    assert answer.level == pytest.approx(
        min(1.0, min(asked.level_bound, 1.0) - asked.used / LEVEL_SCALE)
        - asked.requested / LEVEL_SCALE * granted,
        abs=0.01,
    )


def test_the_askers_level_bound_counts_only_until_the_bucket_has_refilled() -> None:
    owner = BucketOwner(100.0)
    assert owner.apply(START, query(level_bound=0.0)).level == 0.0
    later = START + 1100 / FILL
    assert owner.apply(later, query(level_bound=0.2)).level == pytest.approx(1.0, abs=0.01)


def test_rejections_carry_a_hold_off_that_grows_and_shrinks_with_their_rate() -> None:
    owner, now = BucketOwner(100.0), START
    owner.apply(now, query(1.0))
    holds = []
    for per_s in (2 * REJECTION_SHARE * 100, 5.0):
        for _ in range(int(per_s * 8)):
            now += 1000 / per_s
            hold = owner.apply(now, query(requested=0.9)).hold_ms
        holds.append(hold)
    assert holds[0] > 500 and holds[1] < holds[0] / 4


# ---- datagrams


@given(st.binary(max_size=40) | st.binary(min_size=14, max_size=14).map(lambda b: b"\x12" + b[1:]))
def test_any_bytes_are_accepted_or_rejected_as_query_or_reply(body: bytes) -> None:
    for read in (decode_query, decode_reply):
        with suppress(ValueError):
            number, _ = read(body)
            assert 0 <= number < 1 << 16
    g = one()
    g.handle(START, PeerMessage(3, body))  # harmless
    assert not g.queries.pending


@given(
    st.integers(0, 0xFFFFFF),
    st.floats(0.001, 900),
    st.integers(-30_000, 30_000),
    st.integers(0, 60_000),
    st.integers(0, 100),
    st.floats(0, 1),
    st.integers(0, 65_535),
)
def test_queries_round_trip(
    key: int, fill_rate: float, used: int, requested: int, reserve: int, level_bound: float, number: int
) -> None:
    read_number, read = decode_query(
        OwnerQuery(key, fill_rate, used, requested, reserve, level_bound).encode(number)
    )
    assert (read_number, read.key, read.used, read.requested, read.reserve) == (
        number,
        key,
        used,
        requested,
        reserve,
    )
    assert read.fill_rate == pytest.approx(fill_rate, rel=0.001) and read.level_bound == pytest.approx(
        level_bound, abs=1 / BOUND_SCALE
    )


def test_unreachable_owners_are_probed_and_recover() -> None:
    asks: OwnerQueries[None] = OwnerQueries(200, 0, 100.0, Random(1))
    now, asked = START, 0
    for _ in range(600):
        now += 10.0
        list(asks.pop_overdue(now))
        if (owner := asks.owner(now, int(now) * 31, 1, 199)) is not None:
            asks.start(now, owner, query(), None)
            asked += 1
    assert UNREACHABLE_AFTER <= asked <= 6000 / PROBE_MS + 2 * UNREACHABLE_AFTER + 8
    asks.record_contact(5)
    assert sum(asks.owner(now, n * 7919, 1, 199) is not None for n in range(50)) == 50


# ---- replicas


class NoReplicas(Gateway):
    """A gateway that sends no replicas to standbys."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.owned.replicas.record = lambda key, level, standby: None  # type: ignore[method-assign]


def rolling_restart_overuse(make: type[Gateway], seed: int) -> float:
    """Over-use while a fleet is restarted, a tenth at a time."""
    f = QuotaSimulation(100, customers(100, 120, Random(seed)), seed, make=make)
    f.run_for(3)
    for tenth in range(0, 100, 10):
        for index in range(tenth, tenth + 10):
            f.kill(index)
        f.run_for(1.0)
        for index in range(tenth, tenth + 10):
            f.restart(index)
        f.run_for(0.4)
    return f.results(17).over_use


def test_replicas_keep_a_rolling_restart_from_refilling_buckets() -> None:
    with_copies, without = (
        sum(rolling_restart_overuse(make, seed) for seed in (1, 2, 3)) / 3 for make in (Gateway, NoReplicas)
    )
    assert with_copies < 0.8 * without and with_copies < 0.03


def test_a_started_gateway_recovers_its_replicas_with_their_age() -> None:
    owner, standby, fresh = BucketReplicas(), BucketReplicas(), BucketReplicas()
    assert list(owner.due(START)) == [(None, RECOVERY_REQUEST)]
    owner.record(77, 0.25, 4)
    owner.record(78, 0.9, 4)  # nearly full: not replicated
    owner.record(79, 0.5, NO_STANDBY)
    assert not list(owner.due(START + REPLICATION_MS / 2))
    ((to, body),) = owner.due(START + REPLICATION_MS)
    assert to == 4 and not list(standby.receive(START + REPLICATION_MS, 9, body))
    assert not list(standby.receive(START + REPLICATION_MS, 3, RECOVERY_REQUEST))  # of another owner
    (back,) = standby.receive(START + 3 * REPLICATION_MS, 9, RECOVERY_REQUEST)
    fresh.receive(START + 3 * REPLICATION_MS, 4, back)
    assert fresh.take_deficit(START + 3 * REPLICATION_MS, 77, 0.0001) == pytest.approx(0.75 - 0.2, abs=0.01)
    assert fresh.take_deficit(START + 3 * REPLICATION_MS, 77, 0.0001) == 0.0  # once
    assert not list(standby.receive(START + 60 * REPLICATION_MS, 9, RECOVERY_REQUEST))  # too old to be useful


@given(st.binary(max_size=300) | st.binary(max_size=40).map(lambda b: b"\x15" + b))
def test_any_bytes_are_accepted_or_rejected_as_replicas(body: bytes) -> None:
    copies = BucketReplicas()
    with suppress(ValueError):
        list(copies.receive(START, 1, body))
    assert 0 <= copies.take_deficit(START, 77, 0.001) <= 1
