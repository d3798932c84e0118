"""Simulated clock, transport and counter of the engine: tests control the order of events, without waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from build import OPEN, settings

from troutdock.admission.interface import (
    BackendEntry,
    BackendState,
    CounterReply,
    Effect,
    FleetUpdate,
    ListKind,
    Outcome,
    Plan,
    RequestArrived,
)
from troutdock.engine import Attempt, Engine, Request

START = 1_000_000.0
PLANS = (OPEN, Plan(5, 10), Plan(20, 30, ceiling_rate=20, ceiling_burst=30))


class SimulatedTime:
    """A clock and its timers."""

    def __init__(self) -> None:
        self.at = START
        self.due: list[tuple[float, int, SimulatedTimer]] = []
        self._order = count()

    def now(self) -> float:
        return self.at

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> SimulatedTimer:
        timer = SimulatedTimer(callback, args)
        heapq.heappush(self.due, (self.at + delay * 1000, next(self._order), timer))
        return timer

    def advance(self, ms: float) -> None:
        until = self.at + ms
        while self.due and self.due[0][0] <= until:
            at, _, timer = heapq.heappop(self.due)
            self.at = max(self.at, at)
            timer.fire()
        self.at = until

    @property
    def pending(self) -> int:
        return sum(not timer.cancelled for _, _, timer in self.due)


class SimulatedTimer:
    def __init__(self, callback: Callable[..., object], args: Any) -> None:
        self._callback, self._args = callback, args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True

    def fire(self) -> None:
        if not self.cancelled:
            self.cancelled = True
            self._callback(*self._args)


FAULTS: list[str] = []  # of the current world; recorded as the engine catches exceptions of its ports


def need(good: bool, what: str) -> None:
    if not good:
        FAULTS.append(what)
        raise AssertionError(what)


class SimulatedAnswer:
    true_units = 2.0


class SimulatedTransport:
    """Attempts that the test ends explicitly; checks which attempts may be sent."""

    new_attempt = Attempt

    def __init__(self, world: SimulatedWorld) -> None:
        self._world = world
        self.out: list[Attempt] = []
        self.begun: list[Attempt] = []
        self.inside = False

    def place(self, backend: int, endpoint: Any, up_since_ms: float) -> None:
        pass

    def follow(self, update: FleetUpdate) -> None:
        pass

    def start(self, attempt: Attempt) -> None:
        call = attempt.owner
        told: RecordedExchange = call.exchange
        need(told.final is None and not told.withdrawn, "an attempt after the final answer")
        need(call.committed is None, "an attempt while an answer is passed on")
        effect = self._world.settings.classes[call.request.arrival.cls].effect
        earlier = told.outcomes
        if effect is Effect.UNSAFE:
            need(all(o is not None and o.never_ran for o in earlier), f"unsafe again after {earlier}")
        told.outcomes.append(None)
        need(len(told.outcomes) <= self._world.settings.max_attempts, "too many attempts")
        self.out.append(attempt)

    def give_up(self, attempt: Attempt) -> None:
        need(not attempt.over, "given up twice")
        attempt.over = True
        if attempt in self.out:
            self.out.remove(attempt)
        if attempt in self.begun:
            self.begun.remove(attempt)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        self.out.remove(attempt)
        if attempt in self.begun:
            self.begun.remove(attempt)
        attempt.over = True
        attempt.owner.exchange.outcomes[attempt.index] = outcome
        answer = SimulatedAnswer() if outcome is Outcome.OK else None
        self._world.engine.attempt_ended(attempt, outcome, answer)

    def begin(self, attempt: Attempt) -> None:
        if self._world.engine.answer_began(attempt):
            self.begun.append(attempt)


class SimulatedCounter:
    """Calls that the test answers in order, or that time out."""

    def __init__(self, world: SimulatedWorld) -> None:
        self._world = world
        self.calls: list[tuple[int, float, SimulatedTimer]] = []
        self.totals: dict[int, float] = {}

    def call(self, name: int, amount: float, ttl_ms: float) -> None:
        timeout_s = self._world.settings.counter_timeout_ms / 1000
        timer = self._world.time.call_later(timeout_s, self.answer, Outcome.TIMEOUT)
        self.calls.append((name, amount, timer))

    def answer(self, outcome: Outcome) -> None:
        engine = self._world.engine
        name, amount, timer = self.calls.pop(0)
        timer.cancel()
        if outcome is Outcome.OK:
            self.totals[name] = self.totals.get(name, 0.0) + amount
        engine.count_answered(CounterReply(name, outcome, 3.0, self.totals.get(name, 0.0)))


class RecordedExchange:
    """An exchange that records its final answer."""

    def __init__(self, arrived: float, deadline: float, clock: SimulatedTime) -> None:
        self.arrived, self.deadline, self._clock = arrived, deadline, clock
        self.final: str | None = None
        self.final_at = 0.0
        self.withdrawn = False
        self.outcomes: list[Outcome | None] = []

    def _record(self, what: str) -> None:
        need(self.final is None, f"{what} after {self.final}")
        need(not self.withdrawn, f"{what} to a client that has left")
        need(self._clock.now() <= self.deadline, f"{what} too late")
        self.final, self.final_at = what, self._clock.now()

    streams = False

    def served(self, answer: Any) -> None:
        self._record("served")

    def refused(self, retry_after_ms: float) -> None:
        self._record("refused")

    def failed(self, why: Any) -> None:
        self._record("failed")

    def broken(self) -> None:
        self._record("broken")


class SimulatedRequest(Request):
    def message(self, left_ms: float) -> float:
        assert left_ms > 0
        return left_ms


class SimulatedWorld:
    """An engine with simulated ports and two pools, of two backends and of one."""

    def __init__(self, make: type[Engine] = Engine, **changes: Any) -> None:
        FAULTS.clear()
        self.time = SimulatedTime()
        changed = {
            "plans": PLANS,
            "counter": True,
            "counter_timeout_ms": 50.0,
            "second_copies": True,
            **changes,
        }
        self.settings = settings(**changed)
        self.engine = make(self.settings, 7, self.time, self.time)
        self.transports = [SimulatedTransport(self), SimulatedTransport(self)]
        for transport in self.transports:
            self.engine.add_pool(transport)
        self.counter = SimulatedCounter(self)
        self.engine.set_counter(self.counter)
        self.told: list[RecordedExchange] = []
        self.calls: list[Any] = []
        self.fleet([1, 2, 3], pool=0)
        self.fleet([9], pool=1)

    def fleet(
        self,
        ids: list[int],
        state: BackendState = BackendState.READY,
        kind: ListKind = ListKind.FULL,
        pool: int = 0,
    ) -> None:
        entries = [BackendEntry(i, state, cell=i % 2) for i in ids]
        self.engine.fleet_updated(FleetUpdate(kind, entries, pool=pool), dict.fromkeys(ids))

    def arrive(
        self,
        cls: int = 0,
        customer: int = 9,
        plan: int = 0,
        units: float = 1.0,
        timeout_ms: float = 1000.0,
        pool: int = 0,
        most: int = 0,
    ) -> RecordedExchange:
        told = RecordedExchange(self.time.now(), self.time.now() + timeout_ms, self.time)
        arrival = RequestArrived(0, customer, plan, cls, units, 0, 2, timeout_ms, False, pool, most)
        self.told.append(told)
        repeatable = self.settings.classes[cls].effect is not Effect.UNSAFE
        self.calls.append(self.engine.arrive(SimulatedRequest(b"", arrival, repeatable), told))
        return told

    @property
    def out(self) -> list[Attempt]:
        return [a for transport in self.transports for a in transport.out]

    def transport(self, attempt: Attempt) -> SimulatedTransport:
        return next(t for t in self.transports if attempt in t.out)

    def check(self) -> None:
        """Checks between two events that without an open call only the counter has pending timers."""
        assert not FAULTS, FAULTS
        if not self.engine.open:
            assert not self.out, "an attempt is left behind"
            assert self.time.pending == len(self.counter.calls), "a timer is left behind"

    def finish(self) -> None:
        """Advances past every time-out, then checks that each call ended once and nothing is left."""
        for told in self.told:
            assert told.final is None or not told.withdrawn
        self.time.advance(60_000)
        assert not FAULTS, FAULTS
        for told in self.told:
            assert told.withdrawn or told.final is not None, "a call without a final answer"
        assert not self.out, "an attempt is left behind"
        assert self.time.pending == 0, "a timer is left behind"
        assert_settled(self.engine)


def assert_settled(engine: Engine) -> None:
    """Checks that no call is open, that all are accounted for, and that no load is recorded as pending."""
    tally, gateway = engine.tally, engine._gateway
    assert engine.open == 0 and not engine._open_ids
    assert tally.taken == tally.served + tally.refused + tally.failed + tally.withdrawn, tally
    assert not gateway.calls
    for backend in gateway.backends.values():
        assert not backend.out and backend.load == 0, backend.entry
