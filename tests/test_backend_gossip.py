"""Backend gossip: what isolated gateways learn from peers, and the effect of false or outdated reports."""

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
from troutdock.admission.usage_digest_codec import MAX_DATAGRAM_BYTES
from troutdock.admission.backend_gossip import (
    QUERY_MS,
    PEERS_PER_QUERY,
    REMOVED_MS,
    SUSPECT_MS,
    BackendGossip,
)
from troutdock.admission.backend_gossip_codec import REPLY, QUERY, HEADER, ROW

GATEWAYS, BACKENDS = 40, tuple(range(1, 61))
LEFT, DRAINING = tuple(range(1, 10)), tuple(range(10, 19))


def play(isolated: int, seconds: float, peers: bool = True) -> tuple[Gateways, list[bool]]:
    """Runs a fleet whose first gateways are isolated.

    Returns the fleet and, for each send of an isolated gateway after 2.5 s, whether the backend was gone.
    """
    fleet_of = [
        gateway(
            *BACKENDS, gateways=GATEWAYS, index=n, seed=n, classes=(SAFE,), peers=peers, peer_in_per_s=100.0
        )
        for n in range(GATEWAYS)
    ]
    w = Gateways(fleet_of, START, 0.05, Random(3), 100.0)
    for n in range(GATEWAYS):
        w.deliver(n, DiscoveryStatus(n >= isolated))
        for gone, state in ((LEFT, BackendState.GONE), (DRAINING, BackendState.DRAINING)):
            if n >= isolated:
                w.deliver(n, replace(fleet(*gone, state=state, kind=ListKind.CHANGES), version=7))
    assert all(g.gossip.isolated == (n < isolated) for n, g in enumerate(w.gateways))
    for n in range(int(seconds * 400)):
        w.time.run(START + n * 2.5)
        w.deliver(n * 7 % GATEWAYS, request(10_000 + n, customer=n % 90))
    w.time.run(START + seconds * 1000 + 1000)
    late = [
        backend in LEFT + DRAINING for at, index, backend in w.sends if index < isolated and at > START + 2500
    ]
    return w, late


@pytest.mark.parametrize(
    ("isolated", "peers", "least", "most"),
    [(28, True, 0.0, 0.03), (4, True, 0.0, 0.03), (28, False, 0.2, 0.4)],
)
def test_isolated_gateways_avoid_backends_that_two_peers_report_as_gone(
    isolated: int, peers: bool, least: float, most: float
) -> None:
    """18 of 60 backends are gone, 0.3 of all sends; without peers the gateways keep sending there."""
    w, late = play(isolated, 6, peers)
    assert least <= sum(late) / len(late) < most
    assert len(w.unicasts) <= 2 * isolated * PEERS_PER_QUERY * (6 * 1000 / QUERY_MS + 1)
    assert max(map(len, w.unicasts + w.broadcasts), default=0) <= MAX_DATAGRAM_BYTES


def test_if_all_gateways_are_isolated_no_backend_is_suspected() -> None:
    w, _ = play(GATEWAYS, 3)
    assert len(w.sends) == 1200
    assert not any(g.gossip.suspects(START + 3000, 60) for g in w.gateways)


def reply(*backends: int, version: int = 9) -> bytes:
    return HEADER.pack(REPLY, version) + b"".join(ROW.pack(b) for b in backends)


def isolated_gossip(gateways: int = GATEWAYS, version: int = 5) -> BackendGossip:
    gossip = BackendGossip(gateways, 0, True, Random(1))
    gossip.version = version
    gossip.set_discovery(START, False)
    return gossip


@pytest.mark.parametrize(
    ("received", "suspected"),
    [
        ([(1, reply(3))], ()),  # a single reporter may be wrong or malicious
        ([(1, reply(3)), (1, reply(3))], ()),  # repeating a report does not count as two reporters
        ([(1, reply(3)), (2, reply(3, 4))], (3,)),
        ([(1, reply(3)), (2, reply(4))], ()),  # two reporters that disagree
        ([(1, reply(3)), (2, reply(3, version=4))], ()),  # a list older than the own one
        ([(1, reply(*BACKENDS)), (2, reply(*BACKENDS))], ()),  # more than half of all backends: ignored
    ],
)
def test_which_reports_make_a_backend_suspected(
    received: list[tuple[int, bytes]], suspected: tuple[int, ...]
) -> None:
    gossip = isolated_gossip()
    for sender, body in received:
        gossip.receive(START, sender, body)
    assert gossip.suspects(START, 60) == frozenset(suspected)


def test_a_suspicion_ends_after_a_time_and_when_discovery_answers() -> None:
    gossip = isolated_gossip()
    for sender in (1, 2):
        gossip.receive(START, sender, reply(3))
    assert gossip.suspects(START + SUSPECT_MS, 60) and not gossip.suspects(START + SUSPECT_MS + 1, 60)
    gossip.set_discovery(START, True)
    assert not gossip.suspects(START, 60)


def test_which_peers_are_queried_and_when() -> None:
    """Queries start after QUERY_MS without discovery, a few peers at a time; with one peer its report suffices."""
    gossip = isolated_gossip()
    gossip.set_discovery(START + 100, False)  # another failed call changes nothing
    assert gossip.query(START + QUERY_MS - 1)[0] == []
    peers, body = gossip.query(START + QUERY_MS)
    assert len(peers) == PEERS_PER_QUERY and 0 not in peers and body == HEADER.pack(QUERY, 5)
    assert gossip.query(START + QUERY_MS + 1)[0] == []
    pair = isolated_gossip(gateways=2)
    pair.receive(START, 1, reply(3))
    assert pair.suspects(START, 60) == {3}
    assert isolated_gossip(gateways=1).query(START + QUERY_MS) == ([], b"")


def test_a_reply_states_the_current_list() -> None:
    gossip = BackendGossip(GATEWAYS, 0, True, Random(1))
    gossip.version = 9
    gossip.record_removed(START, 3)
    gossip.record_removed(START + 5, 4)
    gossip.record_listed(3)  # listed again
    assert gossip.receive(START, 1, HEADER.pack(QUERY, 9)) and not gossip.receive(
        START, 1, HEADER.pack(QUERY, 10)
    )
    assert gossip.reply(START + 10, [8]) == reply(8, 4)
    assert gossip.reply(START + 10 + REMOVED_MS, []) == b""
    gossip.set_discovery(START, False)
    assert not gossip.receive(START, 1, HEADER.pack(QUERY, 5))  # an isolated gateway does not reply


@given(st.binary(max_size=300))
def test_any_bytes_are_accepted_or_rejected(body: bytes) -> None:
    gossip = isolated_gossip()
    with suppress(ValueError):
        gossip.receive(START, 1, body)
    assert gossip.suspects(START, 60) == frozenset()
