"""Every order of an operator's calls."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from troutdock.management.availability import Availability, State


def test_nothing_can_be_promised_before_the_door_is_open() -> None:
    away = Availability()
    assert not away.take_out(1.0) and not away.put_back(2.0)
    assert away.state is State.STARTING and not away.accepts_clients and not away.drains_clients


def test_a_call_that_asks_for_what_holds_is_a_yes_and_moves_no_time() -> None:
    away = Availability()
    away.opened(1.0)
    assert away.put_back(2.0) and away.since_s == 1.0
    assert away.take_out(3.0) and away.take_out(4.0) and away.since_s == 3.0 and away.drains_clients


def test_a_process_that_ends_is_not_put_back() -> None:
    away = Availability()
    away.opened(1.0)
    away.take_out(2.0)
    away.end(3.0)
    assert not away.put_back(4.0) and away.take_out(5.0)
    away.opened(6.0)
    assert away.state is State.ENDING and away.since_s == 3.0


@given(st.lists(st.sampled_from(["opened", "take_out", "put_back", "end"]), max_size=12))
def test_clients_are_never_taken_and_sent_away_at_once_and_the_end_is_final(calls: list[str]) -> None:
    away, ended = Availability(), False
    for at, call in enumerate(calls):
        getattr(away, call)(float(at))
        ended = ended or call == "end"
        assert not (away.accepts_clients and away.drains_clients)
        assert not (ended and away.accepts_clients)
