"""Congestion does not raise the estimated service time; else the permitted queue would grow with it."""

from __future__ import annotations

from build import START, ended, gateway


def test_what_a_unit_takes_is_learnt_only_where_little_stood_before_it() -> None:
    g = gateway(1, gateways=1)
    pool, backend = g.pools[0], g.backends[1]
    for pile, learns in ((6.0, False), (2.5, False), (1.0, True)):
        before = pool.unit_ms[0]
        backend.out[1, 0] = START, before, pile, 0, START + 60_000
        g.handle(START + 9000, ended(1, 1, took=9000.0))
        assert (pool.unit_ms[0] > before) == learns, pile
        assert backend.slowness[0].now(START + 9000) > 1  # the slowness is known in both cases
