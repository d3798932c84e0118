"""The engine with ProxyAdmission in simulated time: random legal orders of events.

In addition to the checks of test_engine.py: a request that may not be repeated is rejected only if it never ran.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from simulated import SimulatedTime, SimulatedTransport, SimulatedWorld, RecordedExchange, need

from troutdock.admission.proxy_admission import Call, ProxyAdmission
from troutdock.admission.interface import BackendState, Effect, ListKind, Outcome, RequestArrived
from troutdock.engine import Engine, Request

OUTCOMES = (
    Outcome.OK,
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.WRONG_INSTANCE,
)
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
                "time",
                "time",
                "fleet",
            ]
        ),
        st.integers(0, 10**6),
    ),
    min_size=5,
    max_size=80,
)
IDS = (1, 2, 3, 4)


class Refusal(RecordedExchange):
    """An exchange that knows the attempts of its request."""

    effect = Effect.SAFE

    def refused(self, retry_after_ms: float) -> None:
        if self.effect is not Effect.SAFE:
            need(all(o is not None and o.never_ran for o in self.outcomes), f"refused after {self.outcomes}")
        super().refused(retry_after_ms)


class CheckingTransport(SimulatedTransport):
    """Checks that keyed requests are not repeated either, as ProxyAdmission does not use keys."""

    def start(self, attempt: Any) -> None:
        told: Refusal = attempt.owner.exchange
        if told.effect is not Effect.SAFE:
            need(all(o is not None and o.never_ran for o in told.outcomes), f"again after {told.outcomes}")
        need(len(told.outcomes) < 3, "sent too often")
        super().start(attempt)


class OneRequest(Request):
    def message(self, left_ms: float) -> float:
        assert left_ms > 0
        return left_ms


class ProxyWorld(SimulatedWorld):
    def __init__(self) -> None:
        super().__init__(counter=False)
        self.time = SimulatedTime()
        decisions = ProxyAdmission(self.settings, 7, allowance=1000.0)
        self.engine = Engine(self.settings, 7, self.time, self.time, decisions)
        self.transports = [CheckingTransport(self)]
        self.engine.add_pool(self.transports[0])
        self.fleet(list(IDS), kind=ListKind.CHANGES)

    def ask(self, cls: int, timeout_ms: float) -> None:
        told = Refusal(self.time.now(), self.time.now() + timeout_ms, self.time)
        told.effect = self.settings.classes[cls].effect
        arrival = RequestArrived(0, 9, 0, cls, 1.0, 0, 1, timeout_ms, False, 0, 2)
        self.told.append(told)
        self.calls.append(self.engine.arrive(OneRequest(b"", arrival, told.effect is Effect.SAFE), told))


def play(world: ProxyWorld, steps: list[tuple[str, int]]) -> None:
    for what, pick in steps:
        out, begun = world.out, [a for t in world.transports for a in t.begun]
        if what == "arrive":
            world.ask(pick % 4, 30 + pick % 3000)
        elif what == "end" and out:
            attempt = out[pick % len(out)]
            world.transport(attempt).end(attempt, OUTCOMES[pick // 7 % len(OUTCOMES)])
        elif what == "begin" and out:
            attempt = out[pick % len(out)]
            world.transport(attempt).begin(attempt)
        elif what == "finish" and begun:
            attempt = begun[pick % len(begun)]
            world.transport(attempt).end(attempt, (Outcome.OK, Outcome.RESET)[pick % 2])
        elif what in ("leave", "abandon") and world.calls:
            number = pick % len(world.calls)
            if what == "leave":
                world.told[number].withdrawn = world.told[number].final is None
                world.engine.withdraw(world.calls[number])
            else:
                world.engine.fail_call(world.calls[number])
        elif what == "time":
            world.time.advance(pick % 700)
        elif what == "fleet":  # one that is gone does not come back under its number
            world.fleet(
                [i for i in IDS if pick >> i & 1],
                (BackendState.READY, BackendState.DRAINING)[pick % 2],
                ListKind.CHANGES,
            )
        world.check()
    world.finish()


@given(STEPS)
# one failure at a time: an injected fault that fails in two ways must not come as an exception group
@hypothesis_settings(derandomize=True, max_examples=400, deadline=None, report_multiple_bugs=False)
def test_unsafe_requests_are_sent_once_and_rejected_only_if_they_never_ran(
    steps: list[tuple[str, int]],
) -> None:
    play(ProxyWorld(), steps)


@pytest.mark.parametrize("fault", ("sent again", "refused"))
def test_an_injected_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault == "sent again":
        monkeypatch.setattr(Call, "may_have_run", property(lambda call: False, lambda call, value: None))
    else:
        monkeypatch.setattr(ProxyAdmission, "_fail", lambda decisions, call: decisions._refuse(0.0, call))
    with pytest.raises(AssertionError, match=r"again after|refused after|unsafe again"):
        test_unsafe_requests_are_sent_once_and_rejected_only_if_they_never_ran()


@pytest.mark.parametrize("copies", (1, 2))
def test_a_response_longer_than_the_copy_timer_removes_no_other_backend(copies: int) -> None:
    """Guards against a copy due while a response is streamed being reported as WRONG_INSTANCE, like an ended backend."""
    world = ProxyWorld()
    decisions: ProxyAdmission = world.engine._gateway
    decisions.pools[0].retry_budget = 5.0
    world.ask(0, 20_000)
    if copies == 2:  # a copy is already open when the first response begins
        world.time.advance(1500)
        while len(world.out) < 2:
            world.time.advance(10)
    spent = decisions.pools[0].retry_budget
    first = world.out[0]
    world.transport(first).begin(first)
    world.time.advance(10_000)
    assert set(decisions.pools[0].ready) == set(IDS) and decisions.pools[0].retry_budget == spent
    assert world.out == [first] and world.time.pending <= 1  # its deadline
    world.transport(first).end(first, Outcome.OK)
    assert world.told[0].final == "served"
    world.finish()
