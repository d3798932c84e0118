"""The engine alone, in simulated time: any legal order of events, and each row of its state table."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from simulated import SimulatedWorld, RecordedExchange

from troutdock.admission.interface import BackendState, ListKind, Outcome
from troutdock.engine import BadRequest, Call, Engine

SAFE, KEYED, KEYED_ALL, UNSAFE = range(4)
OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "arrive",
                "arrive",
                "arrive",
                "end",
                "end",
                "end",
                "begin",
                "finish",
                "leave",
                "abandon",
                "count",
                "time",
                "time",
                "fleet",
                "other pool",
            ]
        ),
        st.integers(0, 10**6),
    ),
    min_size=5,
    max_size=80,
)


def play(world: SimulatedWorld, steps: list[tuple[str, int]]) -> None:
    """Carry the steps out as far as they are possible, then let the time run out."""
    for what, pick in steps:
        out = world.out
        if what in ("arrive", "other pool"):
            world.arrive(
                pick % 4,
                pick % 3,
                pick // 3 % 3,
                1 + pick % 4,
                30 + pick % 3000,
                pool=what != "arrive",
                most=pick // 7 % 3,
            )
        elif what == "end" and out:
            attempt = out[pick % len(out)]
            world.transport(attempt).end(attempt, OUTCOMES[pick // 7 % len(OUTCOMES)])
        elif what == "begin" and out:
            attempt = out[pick % len(out)]
            world.transport(attempt).begin(attempt)
        elif what == "finish" and (begun := [a for t in world.transports for a in t.begun]):
            attempt = begun[pick % len(begun)]
            world.transport(attempt).end(attempt, (Outcome.OK, Outcome.RESET)[pick % 2])
        elif what in ("leave", "abandon") and world.calls:
            number = pick % len(world.calls)
            if what == "leave":
                world.told[number].withdrawn = world.told[number].final is None
                world.engine.withdraw(world.calls[number])
            else:
                world.engine.abandon(world.calls[number])
        elif what == "count" and world.counter.calls:
            world.counter.answer((Outcome.OK, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET)[pick % 4])
        elif what == "time":
            world.time.advance(pick % 700)
        elif what == "fleet":
            ids = [i for i in (1, 2, 3) if pick >> i & 1]
            world.fleet(ids, list(BackendState)[pick % 3], (ListKind.CHANGES, ListKind.FULL)[pick // 3 % 2])
        world.check()
    while world.counter.calls:  # the counter gives every call an answer
        world.counter.answer(Outcome.TIMEOUT)
    world.finish()


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=600, deadline=None)
def test_any_legal_order_ends_in_one_final_answer_and_leaves_nothing_behind(
    steps: list[tuple[str, int]],
) -> None:
    play(SimulatedWorld(), steps)


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
def test_so_it_does_without_a_counter_and_without_copies(steps: list[tuple[str, int]]) -> None:
    play(SimulatedWorld(counter=False, second_copies=False), steps)


class TwoAnswers(Engine):
    def _conclude(self, call: Call) -> bool:
        super()._conclude(call)
        return True


class ForgetsAttempts(Engine):
    def _settle(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        for timer in [call.deadline, *(call.timers or [])]:
            if timer is not None:
                timer.cancel()


class ForgetsTimers(Engine):
    def _settle(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        call.deadline = call.timers = None
        super()._settle(call, outcome)


class Late(Engine):
    def _time_is_up(self, call: Call) -> None:
        self._timers.call_later(0.2, super()._time_is_up, call)


class Deaf(Engine):
    def withdraw(self, call: Call) -> None:
        pass


@pytest.mark.parametrize("fault", [TwoAnswers, ForgetsAttempts, ForgetsTimers, Late, Deaf])
def test_the_play_finds_planted_faults(fault: type[Engine]) -> None:
    random = Random(1)
    kinds = ["arrive"] * 3 + ["end", "begin", "leave", "time", "time"]
    found = 0
    for _ in range(40):
        steps = [(random.choice(kinds), random.randrange(10**6)) for _ in range(30)]
        play(SimulatedWorld(), steps)
        try:
            play(SimulatedWorld(fault), steps)
        except AssertionError:
            found += 1
    assert found


# ---- the state table, row by row


def sent(cls: int = SAFE, **changes: Any) -> tuple[SimulatedWorld, RecordedExchange]:
    world = SimulatedWorld()
    told = world.arrive(cls, **changes)
    assert len(world.out) == 1
    return world, told


def test_open_to_served() -> None:
    world, told = sent()
    world.transport(world.out[0]).end(world.out[0], Outcome.OK)
    assert told.final == "served" and world.engine.tally.served == 1
    world.finish()


@pytest.mark.parametrize(("cls", "final"), [(SAFE, "refused"), (KEYED_ALL, "refused"), (UNSAFE, "failed")])
def test_open_to_the_answer_that_the_decision_module_words(cls: int, final: str) -> None:
    world, told = sent(cls)
    while world.out:
        world.transport(world.out[0]).end(world.out[0], Outcome.RESET)
    assert told.final == final
    assert len(told.outcomes) == (1 if cls == UNSAFE else 3)
    world.finish()


@pytest.mark.parametrize(("outcome", "final"), [(Outcome.OK, "served"), (Outcome.RESET, "broken")])
def test_begun_to_served_or_broken(outcome: Outcome, final: str) -> None:
    world, told = sent()
    (attempt,) = world.out
    world.transports[0].begin(attempt)
    assert told.final is None
    world.transports[0].end(attempt, outcome)
    assert told.final == final
    assert len(told.outcomes) == 1  # a broken answer is not tried again: the client has part of it
    world.finish()


def test_begun_at_the_deadline_is_broken_off() -> None:
    world, told = sent()
    world.transports[0].begin(world.out[0])
    world.time.advance(1000)
    assert told.final == "broken"
    world.finish()


def test_an_answer_that_begins_ends_the_copy_beside_it() -> None:
    world, told = sent(timeout_ms=6000.0)
    for _ in range(100):
        world.time.advance(50)
        if len(world.out) == 2:
            break
    first, second = world.out
    world.transports[0].begin(second)
    assert first.over and not second.over
    assert not world.engine.answer_began(first)
    world.transports[0].end(second, Outcome.OK)
    assert told.final == "served"
    world.finish()


def test_what_is_late_finds_a_concluded_call() -> None:
    world, told = sent()
    (attempt,) = world.out
    world.engine.abandon(world.calls[0])
    assert told.final == "failed" and attempt.over
    assert not world.engine.answer_began(attempt)
    world.engine.withdraw(world.calls[0])
    world.engine.abandon(world.calls[0])
    assert world.engine.tally.withdrawn == 0
    world.finish()


def test_a_held_request_that_is_withdrawn_takes_nothing() -> None:
    """Before its first attempt: the counter's answer finds nobody waiting."""
    world = SimulatedWorld()
    for _ in range(40):
        world.arrive(plan=1, units=4.0)
        held = world.told[-1].final is None and not world.calls[-1].attempts
        if held:
            break
    assert held
    world.told[-1].withdrawn = True
    world.engine.withdraw(world.calls[-1])
    while world.counter.calls:
        world.counter.answer(Outcome.OK)
    assert not world.calls[-1].attempts
    world.finish()


def test_an_id_is_open_once() -> None:
    world = SimulatedWorld()
    told = world.arrive()
    request = world.calls[0].request
    request.id = b"x"
    world.engine._open_ids.add(b"x")
    with pytest.raises(BadRequest, match="409"):
        world.engine.arrive(request, told)
    world.engine.close()
    assert told.final == "failed"
    world.finish()


def test_pools_share_a_quota_and_nothing_else() -> None:
    """One customer over two pools: together they let in what one would; one that fails presses only itself."""
    world = SimulatedWorld(counter=False)
    for number in range(30):
        world.arrive(plan=1, units=1.0, pool=number % 2)
    both = len(world.out)
    alone = SimulatedWorld(counter=False)
    for _ in range(30):
        alone.arrive(plan=1, units=1.0)
    assert both == len(alone.out) > 0
    pools = world.engine._gateway.pools
    assert pools[0].rings != pools[1].rings
    bad = [a for a in world.out if a.backend == 9]
    for attempt in bad:
        world.transports[1].end(attempt, Outcome.ERROR)
    assert pools[0].slowness.value == 1.0 and all(
        s.value == 1.0 for b in (1, 2, 3) for s in world.engine._gateway.backends[b].slowness
    )
    assert any(s.value > 1.0 for s in world.engine._gateway.backends[9].slowness)
    world.finish()
    alone.finish()


def test_a_whole_list_of_one_pool_leaves_the_other_alone() -> None:
    world = SimulatedWorld()
    world.fleet([5], pool=0)
    assert sorted(world.engine._gateway.backends) == [5, 9]
    world.fleet([], pool=1)
    assert world.arrive(pool=1).final == "refused"
    assert world.arrive(pool=0).final is None
    world.finish()
