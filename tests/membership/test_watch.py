"""The schedule of discovery clients: one alone, and forty with a discovery of limited rate."""

from __future__ import annotations

from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.discovery import Fleet, FixedIntervalClient, ServiceModel
from troutdock.membership.watch import (
    EFFECTIVE_S,
    MAX_FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    RETRY_DELAY_S,
    CALL_SLOT_S,
    NextCall,
    WatchState,
    WatchSchedule,
)

GATEWAYS = 40
SLOW = ServiceModel(
    lines_per_s=240.0
)  # one call from each gateway takes it 6.7 s, as the slowest in operation


def happens(event: str, f: Fleet) -> None:
    """All start at once; most are killed and return at once; discovery is silent for 5 s."""
    if event != "start":
        f.convergence_time(60)
    if event == "mass kill":
        f.restart(range(28))
    elif event == "outage":
        f.discovery.down = True
        f.time.run(f.time.now + 5)
        f.publish()
        f.discovery.down = False


EVENTS = {
    "start": 20.0,
    "mass kill": 20.0,
    "outage": 25.0,
}  # and the deadline in seconds for all gateways to know


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("service", [ServiceModel(), SLOW])
def test_all_of_a_fleet_know_the_list_soon_whatever_happened(event: str, service: ServiceModel) -> None:
    most_s = EVENTS[event]
    for seed in range(10):
        f = Fleet(GATEWAYS, service, seed)
        happens(event, f)
        at = f.time.now
        assert f.convergence_time(most_s) < inf
        f.time.run(at + most_s)
        assert sum(f.discovery.rejected_calls[s] for s in range(int(at), int(at + most_s))) < 3 * GATEWAYS
        assert sum(f.discovery.new_calls[s] for s in range(int(f.time.now) + 1, int(f.time.now) + 5)) == 0


@pytest.mark.parametrize("event", EVENTS)
def test_the_client_as_it_was_keeps_discovery_down(event: str) -> None:
    """Checks the simulation: with the naive client the same events leave most of the fleet without updates."""
    f = Fleet(GATEWAYS, SLOW, 1, FixedIntervalClient)
    happens(event, f)
    assert f.convergence_time(20.0) == inf
    assert f.discovery.rejected_calls[int(f.time.now) - 1] > 50


@pytest.mark.parametrize("gateways", [1, 3, 40, 100])
def test_where_all_calls_are_refused_the_fleet_keeps_to_its_slots(gateways: int) -> None:
    f = Fleet(gateways, ServiceModel(rejected_gateways=frozenset(range(gateways))), 1)
    f.time.run(60)
    f.discovery.new_calls[0] -= gateways  # the first call of each
    assert max(f.discovery.new_calls.values()) <= 2 * max(1 / CALL_SLOT_S, gateways / MAX_FIRST_BACKOFF_S)
    assert sum(f.discovery.new_calls[s] for s in range(30, 60)) / 30 <= max(
        1 / CALL_SLOT_S, gateways / MAX_FIRST_BACKOFF_S
    )
    assert f.discovery.new_calls.total() >= 10 * gateways  # and all keep calling


def test_one_that_is_always_refused_neither_gives_up_nor_is_in_the_others_way() -> None:
    f = Fleet(GATEWAYS, ServiceModel(rejected_gateways=frozenset({7})), 1)
    assert f.convergence_time(20.0, allowed_stale=1) < inf
    f.time.run(120)
    assert (
        60 / MAX_BACKOFF_S
        <= sum(f.discovery.new_calls[s] for s in range(60, 120))
        <= 60 / MAX_FIRST_BACKOFF_S
    )


def test_a_lone_gateway_is_as_quick_as_ever() -> None:
    """A broken watch continues within 200 ms, and the first call is made immediately."""
    watch = WatchSchedule(1, 5, Random(1))
    assert watch.next_call() == NextCall(0.0, 5, 1000, 3.2)
    watch.answered(6)
    assert watch.next_call().delay_s == 0
    watch.failed()
    assert (watch.next_call().delay_s, watch.next_call().version) == (RETRY_DELAY_S, 6)
    watch.rejected()
    assert watch.next_call().delay_s <= 0.25


@given(st.integers(1, 5000), st.lists(st.sampled_from("arfncmg"), max_size=30), st.integers(0, 99))
def test_any_course_ends_in_a_call_within_bounds(gateways: int, course: str, seed: int) -> None:
    watch = WatchSchedule(gateways, 3, Random(seed))
    steps = {
        "a": lambda: watch.answered(9),
        "r": watch.rejected,
        "f": watch.failed,
        "n": watch.inconsistent,
        "c": watch.closed,
        "m": watch.source_changed,
        "g": lambda: watch.set_gateways(gateways // 2 + 1),
    }
    for step in course:
        before = watch.version
        steps[step]()
        assert step != "r" or watch.version == before  # the known version stays valid
        ask = watch.next_call()
        assert 0 <= ask.delay_s <= MAX_BACKOFF_S
        assert (ask.version is None) == (ask.hold_ms == 0)
        assert ask.timeout_s >= ask.hold_ms / 1000 + 2  # waits for calls that discovery has accepted
        assert step != "a" or (ask.delay_s, watch.state) == (0, WatchState.CURRENT)
        assert step != "f" or ask.delay_s >= RETRY_DELAY_S


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_watch_that_falls_silent_is_begun_anew_before_what_it_was_to_bring_binds(gateways: int) -> None:
    """Guards against sends to a draining backend, seen 0.58 s late with a timeout of 2.5 s and a pause of 0.1 s."""
    watch = WatchSchedule(gateways, 7, Random(1))
    watch.answered(8)
    silent = watch.next_call()
    watch.failed()
    assert (
        silent.timeout_s + watch.next_call().delay_s < silent.hold_ms / 1000 + EFFECTIVE_S - 0.1
    )  # connect time and latency of the response
