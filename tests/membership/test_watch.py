"""The client of discovery, by itself and forty at a time before a discovery that serves some calls a second."""

from __future__ import annotations

from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.discovery import Fleet, FixedIntervalClient, ServiceModel
from troutdock.membership.watch import BINDS_S, FIRST_S, LONGEST_S, RESUME_S, SLOT_S, Ask, State, Watch

GATEWAYS = 40
SLOW = ServiceModel(lines_per_s=240.0)  # a call from each takes it 6.7 s, as the operators' slowest


def happens(event: str, f: Fleet) -> None:
    """All start in the same moment; most are killed and come back at once; discovery is silent for 5 s."""
    if event != "start":
        f.convergence_time(60)
    if event == "mass kill":
        f.restart(range(28))
    elif event == "outage":
        f.discovery.down = True
        f.time.run(f.time.now + 5)
        f.publish()
        f.discovery.down = False


EVENTS = {"start": 20.0, "mass kill": 20.0, "outage": 25.0}  # and the seconds by which all are to know


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
    """The rig can fail: the same events end with most of the fleet blind."""
    f = Fleet(GATEWAYS, SLOW, 1, FixedIntervalClient)
    happens(event, f)
    assert f.convergence_time(20.0) == inf
    assert f.discovery.rejected_calls[int(f.time.now) - 1] > 50


@pytest.mark.parametrize("gateways", [1, 3, 40, 100])
def test_where_all_calls_are_refused_the_fleet_keeps_to_its_slots(gateways: int) -> None:
    f = Fleet(gateways, ServiceModel(rejected_gateways=frozenset(range(gateways))), 1)
    f.time.run(60)
    f.discovery.new_calls[0] -= gateways  # the first of each
    assert max(f.discovery.new_calls.values()) <= 2 * max(1 / SLOT_S, gateways / FIRST_S)
    assert sum(f.discovery.new_calls[s] for s in range(30, 60)) / 30 <= max(1 / SLOT_S, gateways / FIRST_S)
    assert f.discovery.new_calls.total() >= 10 * gateways  # and nobody gives up


def test_one_that_is_always_refused_neither_gives_up_nor_is_in_the_others_way() -> None:
    f = Fleet(GATEWAYS, ServiceModel(rejected_gateways=frozenset({7})), 1)
    assert f.convergence_time(20.0, allowed_stale=1) < inf
    f.time.run(120)
    assert 60 / LONGEST_S <= sum(f.discovery.new_calls[s] for s in range(60, 120)) <= 60 / FIRST_S


def test_a_lone_gateway_is_as_quick_as_ever() -> None:
    """A watch that breaks goes on within its 200 ms, and the first call is made at once."""
    watch = Watch(1, 5, Random(1))
    assert watch.ask() == Ask(0.0, 5, 1000, 3.2)
    watch.answered(6)
    assert watch.ask().after_s == 0
    watch.failed()
    assert (watch.ask().after_s, watch.ask().version) == (RESUME_S, 6)
    watch.refused()
    assert watch.ask().after_s <= 0.25


@given(st.integers(1, 5000), st.lists(st.sampled_from("arfncmg"), max_size=30), st.integers(0, 99))
def test_any_course_ends_in_a_call_within_bounds(gateways: int, course: str, seed: int) -> None:
    watch = Watch(gateways, 3, Random(seed))
    steps = {
        "a": lambda: watch.answered(9),
        "r": watch.refused,
        "f": watch.failed,
        "n": watch.misfit,
        "c": watch.closed,
        "m": watch.moved,
        "g": lambda: watch.follow(gateways // 2 + 1),
    }
    for step in course:
        before = watch.version
        steps[step]()
        assert step != "r" or watch.version == before  # what is known is still worth something
        ask = watch.ask()
        assert 0 <= ask.after_s <= LONGEST_S
        assert (ask.version is None) == (ask.hold_ms == 0)
        assert ask.patience_s >= ask.hold_ms / 1000 + 2  # what discovery has taken on is waited for
        assert step != "a" or (ask.after_s, watch.state) == (0, State.CURRENT)
        assert step != "f" or ask.after_s >= RESUME_S


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_watch_that_falls_silent_is_begun_anew_before_what_it_was_to_bring_binds(gateways: int) -> None:
    """A send to a backend that drains came 0.58 s after that was told: 2.5 s of patience, and a pause of 0.1 s."""
    watch = Watch(gateways, 7, Random(1))
    watch.answered(8)
    silent = watch.ask()
    watch.failed()
    assert (
        silent.patience_s + watch.ask().after_s < silent.hold_ms / 1000 + BINDS_S - 0.1
    )  # to connect, and the answer's way
