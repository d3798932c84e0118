"""Engine tests in simulated time: random legal event orders, and each row of the state table."""

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


def run_steps(world: SimulatedWorld, steps: list[tuple[str, int]]) -> None:
    """Executes the steps that are possible in the current state, then lets all timers expire."""
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
                world.engine.fail_call(world.calls[number])
        elif what == "count" and world.counter.calls:
            world.counter.answer((Outcome.OK, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET)[pick % 4])
        elif what == "time":
            world.time.advance(pick % 700)
        elif what == "fleet":
            ids = [i for i in (1, 2, 3) if pick >> i & 1]
            world.fleet(ids, list(BackendState)[pick % 3], (ListKind.CHANGES, ListKind.FULL)[pick // 3 % 2])
        world.check()
    while world.counter.calls:  # the counter answers every call
        world.counter.answer(Outcome.TIMEOUT)
    world.finish()


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=600, deadline=None)
def test_any_event_order_gives_one_final_answer_and_leaks_nothing(
    steps: list[tuple[str, int]],
) -> None:
    run_steps(SimulatedWorld(), steps)


@given(STEPS)
@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
def test_any_event_order_without_counter_and_hedging(steps: list[tuple[str, int]]) -> None:
    run_steps(SimulatedWorld(counter=False, second_copies=False), steps)


class ConcludesTwice(Engine):
    def _conclude(self, call: Call) -> bool:
        super()._conclude(call)
        return True


class LeavesAttempts(Engine):
    def _cancel_outstanding(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        for timer in [call.deadline_timer, *(call.timers or [])]:
            if timer is not None:
                timer.cancel()


class LeavesTimers(Engine):
    def _cancel_outstanding(self, call: Call, outcome: Outcome = Outcome.CANCELLED) -> None:
        call.deadline_timer = call.timers = None
        super()._cancel_outstanding(call, outcome)


class LateDeadline(Engine):
    def _deadline_reached(self, call: Call) -> None:
        self._timers.call_later(0.2, super()._deadline_reached, call)


class IgnoresWithdrawal(Engine):
    def withdraw(self, call: Call) -> None:
        pass


@pytest.mark.parametrize(
    "fault", [ConcludesTwice, LeavesAttempts, LeavesTimers, LateDeadline, IgnoresWithdrawal]
)
def test_planted_faults_are_detected(fault: type[Engine]) -> None:
    random = Random(1)
    kinds = ["arrive"] * 3 + ["end", "begin", "leave", "time", "time"]
    found = 0
    for _ in range(40):
        steps = [(random.choice(kinds), random.randrange(10**6)) for _ in range(30)]
        run_steps(SimulatedWorld(), steps)
        try:
            run_steps(SimulatedWorld(fault), steps)
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
def test_open_to_the_answer_chosen_by_the_decision_module(cls: int, final: str) -> None:
    world, told = sent(cls)
    while world.out:
        world.transport(world.out[0]).end(world.out[0], Outcome.RESET)
    assert told.final == final
    assert len(told.outcomes) == (1 if cls == UNSAFE else 3)
    world.finish()


@pytest.mark.parametrize(("outcome", "final"), [(Outcome.OK, "served"), (Outcome.RESET, "broken")])
def test_committed_to_served_or_broken(outcome: Outcome, final: str) -> None:
    world, told = sent()
    (attempt,) = world.out
    world.transports[0].begin(attempt)
    assert told.final is None
    world.transports[0].end(attempt, outcome)
    assert told.final == final
    assert len(told.outcomes) == 1  # a broken answer is not retried: the client has received part of it
    world.finish()


def test_committed_at_the_deadline_is_broken() -> None:
    world, told = sent()
    world.transports[0].begin(world.out[0])
    world.time.advance(1000)
    assert told.final == "broken"
    world.finish()


def test_a_committed_answer_cancels_the_hedged_attempt() -> None:
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


def test_late_reports_do_not_change_a_concluded_call() -> None:
    world, told = sent()
    (attempt,) = world.out
    world.engine.fail_call(world.calls[0])
    assert told.final == "failed" and attempt.over
    assert not world.engine.answer_began(attempt)
    world.engine.withdraw(world.calls[0])
    world.engine.fail_call(world.calls[0])
    assert world.engine.tally.withdrawn == 0
    world.finish()


def test_a_pending_request_that_is_withdrawn_consumes_nothing() -> None:
    """Withdrawn before its first attempt: the later answer of the counter has no effect."""
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


def test_a_duplicate_open_id_is_rejected() -> None:
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


def test_pools_share_only_the_quota() -> None:
    """Two pools together admit what one would admit; a failing pool affects only itself."""
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


def test_a_full_list_of_one_pool_does_not_affect_another() -> None:
    world = SimulatedWorld()
    world.fleet([5], pool=0)
    assert sorted(world.engine._gateway.backends) == [5, 9]
    world.fleet([], pool=1)
    assert world.arrive(pool=1).final == "refused"
    assert world.arrive(pool=0).final is None
    world.finish()
