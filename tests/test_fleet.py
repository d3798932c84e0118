"""Invariants at every size: many gateways together, many backends, rare samples."""

from __future__ import annotations

import pytest
from build import SAFE, START, UNSAFE, ended, fleet, gateway, request

from troutdock.admission.gateway import Gateway
from troutdock.admission.interface import ListKind, Outcome, Plan, Send

WORK_MS = 150.0  # initial estimate of the requests' duration


def sends(g: Gateway, now: float, number: int, cls: int = 0, left: float = 4000.0) -> list[Send]:
    return [a for a in g.handle(now, request(number, cls, left=left)) if isinstance(a, Send)]


def cold_work(
    gateways: int, warm: int, cold: int, seconds: int, kind: type[Gateway] = Gateway
) -> list[list[float]]:
    """Returns when each cold backend got work, all starting at once under heavy load through every gateway."""
    got: list[list[float]] = [[] for _ in range(cold)]
    for index in range(gateways):
        base = gateway(
            gateways=gateways, index=index, classes=(SAFE,), start_capacity=0.2, cold_ms=1e6
        ).settings
        g = kind(base, index)
        g.handle(START, fleet(*range(1, warm + 1)))
        g.handle(START, fleet(*range(1000, 1000 + cold), kind=ListKind.CHANGES, up=START))
        number = 0
        for step in range(seconds * 2):
            now = START + step * 500
            for _ in range(4):
                number += 1
                for send in sends(g, now, number):
                    if send.backend >= 1000:
                        got[send.backend - 1000].append(now)
                    g.handle(now, ended(number, send.backend, took=WORK_MS))
    return got


@pytest.mark.parametrize(("gateways", "warm", "cold"), [(2, 6, 3), (60, 20, 10), (200, 2, 30)])
def test_all_gateways_together_keep_within_a_cold_backends_budget(
    gateways: int, warm: int, cold: int
) -> None:
    """Shares as small as a 300th of a request are rounded at random: neither all gateways send, nor none."""
    got = cold_work(gateways, warm, cold, 9)
    limit = 2 * 0.2 * 3000 * 3  # fall multiple x capacity x window, on three cores
    for when in got:
        for begin in when:
            assert sum(begin <= t < begin + 3000 for t in when) * WORK_MS < limit
    assert sum(map(len, got)) > 0


class IgnoresCold(Gateway):
    """A gateway that ignores cold backends, to show that the check above can fail."""

    def has_cold_budget(self, now, backend, work) -> bool:
        return True


def test_the_cold_work_check_detects_gateways_that_ignore_cold_backends() -> None:
    got = cold_work(60, 20, 10, 9, IgnoresCold)
    assert any(sum(t < START + 3000 for t in when) * WORK_MS > 3600 for when in got)


def test_each_backend_is_in_the_subsets_of_as_many_gateways() -> None:
    met = dict.fromkeys(range(1, 71), 0)
    for index in range(300):
        g = gateway(*met, gateways=300, index=index)
        g.handle(START, request(1))
        for backend in g.subset(g.calls[1]):
            met[backend.entry.backend] += 1
    assert min(met.values()) >= 5
    assert max(met.values()) <= 1.5 * min(met.values())


@pytest.mark.parametrize(
    ("gateways", "backends", "least"), [(40, 60, 24), (40, 40, 16), (100, 60, 16), (8, 20, 18)]
)
def test_consecutive_gateways_have_different_subsets(gateways: int, backends: int, least: int) -> None:
    """A customer uses consecutive gateways; with consecutive subsets, four of forty reached only 13 of 60."""
    all_of_them = [
        gateway(*range(1, backends + 1), gateways=gateways, index=index) for index in range(gateways)
    ]
    sent = [g.handle(START, request(1)) and g for g in all_of_them]
    parts = [{b.entry.backend for b in g.subset(g.calls[1])} for g in sent]
    assert (
        min(len(set.union(*(parts[(n + i) % gateways] for i in range(4)))) for n in range(gateways)) >= least
    )


def test_the_work_of_an_event_does_not_grow_with_the_fleet() -> None:
    """Counted in forecasts per request, not in seconds."""
    looked = {}
    for backends in (10, 1000):

        class Counting(Gateway):
            seen = 0

            def forecast(self, now, backend, call, fleet) -> float:
                Counting.seen += 1
                return super().forecast(now, backend, call, fleet)

        g = Counting(gateway(gateways=2).settings, 1)
        g.handle(START, fleet(*range(1, backends + 1)))
        for n in range(100):
            for send in sends(g, START + n * 10, n):
                g.handle(START + n * 10, ended(n, send.backend))
        looked[backends] = Counting.seen / 100
    assert looked[10] <= 10
    assert looked[1000] <= 16


def test_a_backend_that_fails_one_class_loses_that_class_only() -> None:
    """Good answers of one class concealed the failures of another."""
    g = gateway(*range(1, 6), classes=(SAFE, UNSAFE), plans=(Plan(0, 0),))
    got = {0: 0, 1: 0}
    for n in range(1200):
        now, cls = START + n * 50, n % 2
        for send in sends(g, now, n, cls):
            bad = send.backend == 1 and cls == 1
            got[cls] += send.backend == 1 and n > 100
            g.handle(
                now, ended(n, send.backend, Outcome.ERROR if bad else Outcome.OK, took=150.0 + 150.0 * cls)
            )
    assert got[1] < 40  # of 550, a fifth of which would be 110
    assert got[0] > 60


def test_removed_backends_are_dropped() -> None:
    g = gateway(1)
    for n in range(2, 500):
        g.handle(START, fleet(n, kind=ListKind.FULL))
    assert list(g.backends) == [499]
    assert sum(len(ring) for ring in g.pools[0].rings.values()) == 3


def test_a_keyed_repeat_stays_in_its_group_after_its_backend_left_the_list() -> None:
    g = gateway(1, 2, 3, 4)
    (send,) = sends(g, START, 1, cls=1)
    g.handle(START + 1, fleet(*[n for n in (1, 2, 3, 4) if n != send.backend]))
    again = [
        a for a in g.handle(START + 50, ended(1, send.backend, Outcome.RESET, took=50)) if isinstance(a, Send)
    ]
    assert again and again[0].backend % 2 == send.backend % 2  # same cell
