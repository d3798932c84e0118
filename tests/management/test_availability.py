"""Availability: state transitions for every order of management commands."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from troutdock.management.availability import Availability, State


def test_commands_fail_before_the_client_listener_is_open() -> None:
    availability = Availability()
    assert not availability.take_out(1.0) and not availability.put_back(2.0)
    assert (
        availability.state is State.STARTING
        and not availability.accepts_clients
        and not availability.drains_clients
    )


def test_a_command_for_the_current_state_succeeds_and_keeps_its_time() -> None:
    availability = Availability()
    availability.opened(1.0)
    assert availability.put_back(2.0) and availability.since_s == 1.0
    assert (
        availability.take_out(3.0)
        and availability.take_out(4.0)
        and availability.since_s == 3.0
        and availability.drains_clients
    )


def test_an_ending_process_is_not_put_back_in_service() -> None:
    availability = Availability()
    availability.opened(1.0)
    availability.take_out(2.0)
    availability.end(3.0)
    assert not availability.put_back(4.0) and availability.take_out(5.0)
    availability.opened(6.0)
    assert availability.state is State.ENDING and availability.since_s == 3.0


@given(st.lists(st.sampled_from(["opened", "take_out", "put_back", "end"]), max_size=12))
def test_clients_are_never_accepted_and_drained_at_once_and_ending_is_final(calls: list[str]) -> None:
    availability, ended = Availability(), False
    for at, call in enumerate(calls):
        getattr(availability, call)(float(at))
        ended = ended or call == "end"
        assert not (availability.accepts_clients and availability.drains_clients)
        assert not (ended and availability.accepts_clients)
