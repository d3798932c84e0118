"""Usage gossip: a fleet of real decision modules in simulated time, and malformed digests."""

from __future__ import annotations

from random import Random

import pytest
from build import START, gateway, request
from hypothesis import given
from hypothesis import strategies as st

from lab.gateways import Gateways
from troutdock.admission import Gateway
from troutdock.admission.interface import (
    Log,
    PeerMessage,
    Plan,
    Refuse,
    Send,
    SettingsChanged,
    SendToPeer,
)
from troutdock.admission.usage_digest_codec import (
    ENTRY,
    HEADER,
    MAX_DATAGRAM_BYTES,
    UNKNOWN_LEVEL,
    VERSION,
    customer_key,
)
from troutdock.admission.usage_gossip import SILENCE_LIMIT_MS, INTAKE_SHARE, MAX_BUCKETS, UsageGossip

GATEWAYS = 14  # the largest fleet that uses digests
PLAN = Plan(1.2, 16, name="basis")  # each gateway's even share is less than a request


class Fleet(Gateways):
    """Gateways that share customers, and the true bucket of a customer to judge what they admit."""

    def __init__(
        self, gateways: int = GATEWAYS, peers: bool = True, loss: float = 0.05, seed: int = 1
    ) -> None:
        super().__init__(
            [self.make(n, gateways, peers) for n in range(gateways)], START, loss, Random(seed), 400.0
        )
        self.number = 0
        self.inside = self.beyond = self.refused_with_room = 0.0
        self.store, self.store_at = PLAN.burst, START

    def make(self, index: int, gateways: int, peers: bool = True) -> Gateway:
        return gateway(
            *range(1, 61),
            gateways=gateways,
            index=index,
            seed=index,
            plans=(PLAN,),
            peers=peers,
            peer_in_per_s=100.0,
            counter=True,
            counter_timeout_ms=50.0,
            most_units=8,
        )

    def ask(self, now: float, index: int, units: float, customer: int = 9) -> None:
        """Sends a request and judges the decision by the true bucket."""
        self.time.run(now)
        self.store = min(PLAN.burst, self.store + (now - self.store_at) / 1000 * PLAN.rate)
        self.store_at, self.number = now, self.number + 1
        event = request(self.number, customer=customer, units=units, width=len(self.gateways))
        self.deliver(index, event)
        sent = event.request in self.gateways[index].calls
        if not sent:
            self.refused_with_room += units * (self.store > PLAN.burst / 2)
        elif self.store >= units:
            self.store -= units
            self.inside += units
        else:
            self.beyond += units


def overuse(f: Fleet, seconds: int, times: float, seed: int = 3) -> float:
    """Sends a multiple of a customer's rate through all gateways; returns the units of its quota."""
    random, now = Random(seed), START
    rate = PLAN.rate * times / 2 / 1000  # requests of two units per millisecond
    while (now := now + random.expovariate(rate)) < START + 1000 * seconds:
        f.ask(now, random.randrange(len(f.gateways)), random.choice([1.0, 2.0, 3.0]))
    return PLAN.burst + PLAN.rate * seconds


@pytest.mark.parametrize(("gateways", "times"), [(3, 3.0), (GATEWAYS, 1.5), (GATEWAYS, 4.0)])
def test_a_quota_with_slices_below_a_request_is_used_and_not_exceeded(gateways: int, times: float) -> None:
    f = Fleet(gateways)
    quota = overuse(f, 60, times)
    assert f.inside > 0.8 * quota
    assert f.beyond < 0.1 * quota
    assert f.refused_with_room < 0.2 * quota


def test_without_peers_the_same_fleet_exceeds_its_quota() -> None:
    """Shows that the test above can fail: the counter is too slow for all calls, as if 40 gateways share it."""
    f = Fleet(peers=False)
    assert overuse(f, 60, 4.0) * 0.5 < f.beyond


def test_digests_stay_within_the_intake_and_replace_counter_calls() -> None:
    f, random, now = Fleet(loss=0.0), Random(5), START
    for _ in range(6000):
        now += random.expovariate(0.3)  # 300 requests per second, as in the operators' traces
        f.ask(now, random.randrange(GATEWAYS), 2.0, customer=random.randrange(400))
    seconds = (now - START) / 1000
    assert max(f.received) / seconds <= 100
    assert max(map(len, f.broadcasts)) <= MAX_DATAGRAM_BYTES
    assert f.bytes <= 7.0 * GATEWAYS * 6000  # per request and gateway
    assert len(f.counter_calls) / seconds < 30  # only at the start, before the first digests


def test_a_started_gateway_adopts_the_level_of_a_synced_peer() -> None:
    informed, started = UsageGossip(40, 100.0, Random(1)), UsageGossip(40, 100.0, Random(2))
    fill = PLAN.rate / PLAN.burst / 1000
    informed.receive(START, 5, HEADER.pack(VERSION, 1) + ENTRY.pack(1, 0, 0, UNKNOWN_LEVEL))
    now = START
    for _ in range(150):  # longer than the bucket takes to fill
        now += 100.0
        informed.receive(
            now, 5, HEADER.pack(VERSION, 2 + int(now) % 60000) + ENTRY.pack(1, 0, 0, UNKNOWN_LEVEL)
        )
    informed.record_use(now, 9, fill, 0.75)
    started.receive(now, 7, informed.next_digest(now))
    assert started.bucket(now, 9, fill).level(now) == pytest.approx(0.25, abs=0.01)
    started.record_use(now, 9, fill, 0.1)
    unsure = UsageGossip(40, 100.0, Random(3))
    unsure.record_use(now, 9, fill, 0.5)
    was = started.bucket(now, 9, fill).level(now)
    started.receive(now, 8, unsure.next_digest(now))  # not synced: its use counts, its level does not
    assert started.bucket(now, 9, fill).level(now) == pytest.approx(max(0.0, was - 0.5), abs=0.03)


def test_without_digests_the_counter_is_called_again() -> None:
    f = Fleet(2)
    f.deliver(0, PeerMessage(1, HEADER.pack(VERSION, 1) + ENTRY.pack(1, 0, 5, UNKNOWN_LEVEL)))
    for after, called in ((0.0, False), (SILENCE_LIMIT_MS, True)):
        for n in range(6):
            f.ask(START + after + 300.0 * n, 0, 1.0)
        assert bool(f.counter_calls) == called


def test_a_slice_that_holds_a_request_is_usable_whatever_peers_report_of_other_customers() -> None:
    g = Fleet(2).gateways[0]
    g.handle(
        START,
        PeerMessage(
            1, HEADER.pack(VERSION, 1) + ENTRY.pack(customer_key(77) & 0xFFFF, customer_key(77) >> 16, 100, 0)
        ),
    )
    assert [a for a in g.handle(START, request(1, customer=9, units=2.0)) if isinstance(a, Send)]
    assert [a for a in g.handle(START, request(2, customer=77, units=2.0)) if isinstance(a, Refuse)]


GOOD = HEADER.pack(VERSION, 7) + ENTRY.pack(1, 2, 3, 4)


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        GOOD[:2],
        GOOD[:-1],
        HEADER.pack(VERSION, 7),
        b"\x02" + GOOD[1:],
        GOOD * 40,
        GOOD[:-1] + bytes([UNKNOWN_LEVEL - 1]),
    ],
)
def test_a_malformed_digest_changes_nothing_and_is_logged_once_per_sender(bad: bytes) -> None:
    g = Fleet(3).gateways[0]
    logs = [
        a
        for _ in range(3)
        for sender in (1, 2)
        for a in g.handle(START, PeerMessage(sender, bad))
        if isinstance(a, Log)
    ]
    assert len(logs) == 2 and g.usage.malformed == {1: 3, 2: 3}
    assert not g.usage.buckets and not g.usage.is_receiving(START)


@given(st.binary(max_size=300))
def test_any_bytes_are_accepted_or_rejected_as_a_digest(body: bytes) -> None:
    gossip = UsageGossip(40, 100.0, Random(1))
    try:
        gossip.receive(START, 1, body)
    except ValueError:
        assert not gossip.buckets
    else:
        assert all(-3 <= bucket.level(START) <= 1 for bucket in gossip.buckets.values())


def test_a_duplicate_digest_counts_once_and_memory_is_bounded() -> None:
    gossip = UsageGossip(40, 100.0, Random(1))
    body = HEADER.pack(VERSION, 7) + ENTRY.pack(1, 0, 30, UNKNOWN_LEVEL)
    for _ in range(3):
        gossip.receive(START, 1, body)
    assert next(iter(gossip.buckets.values())).level(START) == pytest.approx(0.7)
    for n in range(MAX_BUCKETS + 100):
        gossip.bucket(START, n)
    assert len(gossip.buckets) == MAX_BUCKETS


@pytest.mark.parametrize(
    ("gateways", "intake", "tells"), [(40, 0.0, False), (1, 100.0, False), (40, 100.0, True)]
)
def test_nothing_is_reported_without_permitted_peers(gateways: int, intake: float, tells: bool) -> None:
    gossip = UsageGossip(gateways, intake, Random(1))
    gossip.record_use(START, 9, 0.0001, 0.5)
    assert gossip.due(START + 1e6) == tells
    if tells:
        assert gossip.interval_ms * intake * INTAKE_SHARE == pytest.approx(1000 * (gateways - 1))


def test_changed_settings_keep_the_reports_to_peers() -> None:
    g = Fleet(3).gateways[0]
    g.handle(START, SettingsChanged(g.settings))
    assert [a for a in g.handle(START, request(1, units=2.0)) if isinstance(a, SendToPeer)]
