"""Backends that refuse connections, cold subsets, and FULL outcomes: decisions of one gateway."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from build import SAFE, START, ended, fleet, gateway, request
from hypothesis import given
from hypothesis import strategies as st

from lab.gateways import Gateways
from troutdock.admission.circuit_breaker import MIN_OPEN_MS, MAX_OPEN_MS, CircuitBreaker
from troutdock.admission.interface import ListKind, Outcome, Send

DEAD, ALL = (1, 2, 3, 4, 5), tuple(range(1, 9))


def play(seconds: int, outcomes: dict[int, Outcome], backends: int = 8, answer_ms: float = 100.0) -> Gateways:
    """One gateway without discovery, and backends some of which fail."""
    w = Gateways([gateway(*range(1, backends + 1), classes=(SAFE,))], START, 0.0, Random(1), answer_ms)
    w.outcomes = outcomes
    for n in range(seconds * 20):
        w.time.run(START + n * 50)
        w.deliver(0, request(n + 1))
    return w


@pytest.mark.parametrize(
    ("dead", "answer_ms", "most_of_each", "refused", "served"),
    [
        (DEAD, 100.0, 3, 1, 199),  # the first request is sent to three of them, the limit of attempts
        (
            DEAD,
            600.0,
            7,
            200,
            0,
        ),  # overload: tried at once and after 0.25, 0.5 ... 4 s; 12 of each without circuit breakers
        (
            ALL,
            100.0,
            600,
            200,
            0,
        ),  # the last backends are still tried: the list may be right, and all may be back soon
    ],
)
def test_dead_backends_are_tried_a_few_times_and_still_tried_if_no_other_is_left(
    dead: tuple[int, ...], answer_ms: float, most_of_each: int, refused: int, served: int
) -> None:
    w = play(10, dict.fromkeys(dead, Outcome.CONNECT_FAILED), answer_ms=answer_ms)
    failed = Counter(backend for _, _, backend in w.sends if backend in dead)
    assert (
        max(failed.values()) <= most_of_each
        and w.refused <= refused
        and len(w.sends) - failed.total() >= served
    )
    assert dead != ALL or failed.total() >= 200


def test_a_restarted_backend_begins_with_a_closed_circuit() -> None:
    g = gateway(1, classes=(SAFE,))
    g.handle(START, request(1))
    g.handle(START, ended(1, 1, Outcome.CONNECT_FAILED, took=0.3))
    assert not g.backends[1].circuit.closed
    g.handle(START + 10, fleet(1, kind=ListKind.CHANGES))
    assert not g.backends[1].circuit.closed  # the same process: the circuit stays open
    g.handle(START + 20, fleet(1, kind=ListKind.CHANGES, up=START + 15))
    assert g.backends[1].circuit.closed


def test_full_affects_its_backend_only() -> None:
    g = play(1, dict.fromkeys((1, 2, 3), Outcome.FULL), backends=3).gateways[0]
    assert g.backends[1].slowness[0].now(START + 1000) > 2
    assert g.pools[0].slowness.now(START + 1000) == 1.0


@pytest.mark.parametrize("warm_elsewhere", [True, False])
def test_a_cold_subset_without_budget_is_extended_by_warm_backends_only(warm_elsewhere: bool) -> None:
    g = gateway(*range(1, 61), gateways=40, classes=(SAFE,), start_capacity=0.2, cold_ms=1e6)
    g.handle(START, request(1))
    mine = [b.entry.backend for b in g.subset(g.calls[1])]
    cold = mine if warm_elsewhere else list(range(1, 61))
    g.handle(START, fleet(*cold, kind=ListKind.CHANGES, up=START))
    sends = [a for n in range(2, 60) for a in g.handle(START + n, request(n)) if isinstance(a, Send)]
    assert sum(s.backend in mine for s in sends) > 0  # within their budget
    further = sum(s.backend not in mine for s in sends)
    assert further >= 5 if warm_elsewhere else further == 0


@given(st.lists(st.tuples(st.sampled_from("sfau"), st.floats(0, 5000)), max_size=40))
def test_a_circuit_always_allows_attempts_again(course: list[tuple[str, float]]) -> None:
    circuit, now = CircuitBreaker(), 0.0
    for step, gap in course:
        now += gap
        if step == "s" and circuit.allows(now):
            circuit.attempt_sent(now)
            assert circuit.closed or not circuit.allows(now)  # one probe at a time
        elif step == "f":
            anew = circuit.closed
            for _ in range(3):  # several at once count once
                circuit.connect_failed(now)
            assert not circuit.allows(now)
            assert not anew or (
                circuit.allows(now + MIN_OPEN_MS) and not circuit.allows(now + MIN_OPEN_MS - 1)
            )
        elif step == "a":
            circuit.answered()
            assert circuit.allows(now)
        elif step == "u":
            circuit.outcome_unknown()
    circuit.outcome_unknown()
    assert circuit.allows(now + MAX_OPEN_MS)
