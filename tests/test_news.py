"""What blind gateways learn of the list from peers, and what those that lie or have old lists can do to them."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from random import Random

import pytest
from build import SAFE, START, fleet, gateway, request
from hypothesis import given
from hypothesis import strategies as st

from lab.gateways import Gateways
from troutdock.admission.interface import BackendState, ListKind, DiscoveryStatus
from troutdock.admission.usage_digest_codec import MOST
from troutdock.admission.backend_gossip import ASK_MS, ASKED, GONE_MS, SUSPECT_MS, News
from troutdock.admission.backend_gossip_codec import ANSWER, ASK, HEAD, ROW

GATEWAYS, BACKENDS = 40, tuple(range(1, 61))
LEFT, DRAINING = tuple(range(1, 10)), tuple(range(10, 19))


def play(blind: int, seconds: float, peers: bool = True) -> tuple[Gateways, list[bool]]:
    """A fleet of which the first so many are blind, and of what they sent after 2.5 s what went to the gone."""
    fleet_of = [
        gateway(
            *BACKENDS, gateways=GATEWAYS, index=n, seed=n, classes=(SAFE,), peers=peers, peer_in_per_s=100.0
        )
        for n in range(GATEWAYS)
    ]
    w = Gateways(fleet_of, START, 0.05, Random(3), 100.0)
    for n in range(GATEWAYS):
        w.give(n, DiscoveryStatus(n >= blind))
        for gone, state in ((LEFT, BackendState.GONE), (DRAINING, BackendState.DRAINING)):
            if n >= blind:
                w.give(n, replace(fleet(*gone, state=state, kind=ListKind.CHANGES), version=7))
    assert all(g.gossip.blind == (n < blind) for n, g in enumerate(w.gateways))
    for n in range(int(seconds * 400)):
        w.time.run(START + n * 2.5)
        w.give(n * 7 % GATEWAYS, request(10_000 + n, customer=n % 90))
    w.time.run(START + seconds * 1000 + 1000)
    late = [
        backend in LEFT + DRAINING for at, index, backend in w.sends if index < blind and at > START + 2500
    ]
    return w, late


@pytest.mark.parametrize(
    ("blind", "peers", "least", "most"), [(28, True, 0.0, 0.03), (4, True, 0.0, 0.03), (28, False, 0.2, 0.4)]
)
def test_blind_gateways_leave_alone_what_two_peers_say_is_gone(
    blind: int, peers: bool, least: float, most: float
) -> None:
    """18 of 60 backends, that is 0.3 of all that is sent; without peers they go on sending there."""
    w, late = play(blind, 6, peers)
    assert least <= sum(late) / len(late) < most
    assert len(w.singly) <= 2 * blind * ASKED * (6 * 1000 / ASK_MS + 1)
    assert max(map(len, w.singly + w.everybody), default=0) <= MOST


def test_where_all_are_blind_nobody_is_suspected_and_all_are_served() -> None:
    w, _ = play(GATEWAYS, 3)
    assert len(w.sends) == 1200
    assert not any(g.gossip.suspects(START + 3000, 60) for g in w.gateways)


def told(*backends: int, version: int = 9) -> bytes:
    return HEAD.pack(ANSWER, version) + b"".join(ROW.pack(b) for b in backends)


def blind(gateways: int = GATEWAYS, version: int = 5) -> News:
    news = News(gateways, 0, True, Random(1))
    news.version = version
    news.watched(START, False)
    return news


@pytest.mark.parametrize(
    ("said", "suspected"),
    [
        ([(1, told(3))], ()),  # one alone may be wrong, or lie
        ([(1, told(3)), (1, told(3))], ()),  # and it does not become two by saying it twice
        ([(1, told(3)), (2, told(3, 4))], (3,)),
        ([(1, told(3)), (2, told(4))], ()),  # two that disagree
        ([(1, told(3)), (2, told(3, version=4))], ()),  # a list that is older than the own
        ([(1, told(*BACKENDS)), (2, told(*BACKENDS))], ()),  # more than half of all: worth nothing
    ],
)
def test_what_peers_say_is_worth(said: list[tuple[int, bytes]], suspected: tuple[int, ...]) -> None:
    news = blind()
    for sender, body in said:
        news.hear(START, sender, body)
    assert news.suspects(START, 60) == frozenset(suspected)


def test_a_suspicion_ends_with_time_and_with_discoverys_next_word() -> None:
    news = blind()
    for sender in (1, 2):
        news.hear(START, sender, told(3))
    assert news.suspects(START + SUSPECT_MS, 60) and not news.suspects(START + SUSPECT_MS + 1, 60)
    news.watched(START, True)
    assert not news.suspects(START, 60)


def test_who_is_asked_and_when() -> None:
    """Once discovery has been silent for a moment, and a few at a time; one peer's word is enough where there is one."""
    news = blind()
    news.watched(START + 100, False)  # another call that failed: it is as blind as before
    assert news.ask(START + ASK_MS - 1)[0] == []
    peers, words = news.ask(START + ASK_MS)
    assert len(peers) == ASKED and 0 not in peers and words == HEAD.pack(ASK, 5)
    assert news.ask(START + ASK_MS + 1)[0] == []
    pair = blind(gateways=2)
    pair.hear(START, 1, told(3))
    assert pair.suspects(START, 60) == {3}
    assert blind(gateways=1).ask(START + ASK_MS) == ([], b"")


def test_who_answers_tells_what_its_list_says_now() -> None:
    news = News(GATEWAYS, 0, True, Random(1))
    news.version = 9
    news.left(START, 3)
    news.left(START + 5, 4)
    news.there(3)  # it is back
    assert news.hear(START, 1, HEAD.pack(ASK, 9)) and not news.hear(START, 1, HEAD.pack(ASK, 10))
    assert news.answer(START + 10, [8]) == told(8, 4)
    assert news.answer(START + 10 + GONE_MS, []) == b""
    news.watched(START, False)
    assert not news.hear(START, 1, HEAD.pack(ASK, 5))  # a blind one can't help


@given(st.binary(max_size=300))
def test_any_bytes_are_news_or_none(body: bytes) -> None:
    news = blind()
    with suppress(ValueError):
        news.hear(START, 1, body)
    assert news.suspects(START, 60) == frozenset()
