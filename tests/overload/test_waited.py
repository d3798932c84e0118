"""Rejection of requests that waited too long for this process: the decisions, and their effect over time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

import pytest
from build import START, gateway, request

from troutdock.admission import Gateway
from troutdock.admission.interface import Effect, Plan, Refuse, RequestClass, RequestQueued

READ = RequestClass(1500, 4000, 2, Effect.SAFE)
FILE = RequestClass(750, 1500, 5, Effect.UNSAFE)
BASIS = Plan(1, 8, price=0.7)
PLUS = Plan(1000, 1000, price=1.6)


def made(**changes: object) -> Gateway:
    return gateway(classes=(READ, FILE), plans=(BASIS, PLUS), gateways=1, **changes)


def waited(
    ms: float, cls: int = 0, plan: int = 1, customer: int = 9, units: float = 1.0, retry: bool = False
) -> RequestQueued:
    return RequestQueued(customer, plan, cls, units, 1, retry, ms)


def bound_ms(g: Gateway, now: float = START, **what: object) -> float:
    """Returns the shortest wait at which such a request is rejected."""
    for ms in range(1, 2000):
        if g.handle(now, waited(float(ms), **what)):  # type: ignore[arg-type]
            return ms
    raise AssertionError("no request is rejected")


def test_nothing_that_waited_little_is_turned_away_and_all_that_waited_long_is() -> None:
    g = made()
    for cls in (0, 1):
        for plan in (0, 1):
            assert g.handle(START, waited(15, cls, plan, customer=cls * 2 + plan)) == []
    assert isinstance(g.handle(START, waited(700))[0], Refuse)


def test_what_is_worth_less_is_turned_away_first() -> None:
    bounds = [
        bound_ms(made(), cls=cls, plan=plan) / (READ, FILE)[cls].aim_ms
        for cls, plan in ((0, 0), (0, 1), (1, 1))
    ]
    assert bounds == sorted(bounds) and bounds[0] < 0.7 * bounds[-1]


def test_a_customer_beyond_its_bucket_goes_before_one_within() -> None:
    g = made()
    g.handle(START, request(1, plan=0, width=1, customer=5))
    g.customers[5].tokens = 0.0
    assert bound_ms(g, plan=0, customer=5) < 0.5 * bound_ms(g, plan=0, customer=6)


def test_a_marked_retry_before_its_time_goes_before_one_that_heeds_it() -> None:
    g = made(marks_retry=True)
    (told,) = g.handle(START, waited(700))
    assert isinstance(told, Refuse) and told.retry_after_ms > 0
    early = bound_ms(g, retry=True)
    g = made(marks_retry=True)
    g.handle(START, waited(700))
    heeds = bound_ms(g, START + told.retry_after_ms, retry=True)
    assert early < 0.5 * heeds


def test_return_times_are_the_customers_own_appointments() -> None:
    """Retry times are spaced in sequence (DIBA), independently for each customer."""
    g = made(marks_retry=True)
    times = [g.handle(START, waited(700, plan=0))[0].retry_after_ms for _ in range(4)]  # type: ignore[union-attr]
    assert times == sorted(times) and len({*times}) == 4
    (other,) = g.handle(START, waited(700, plan=0, customer=10))
    assert isinstance(other, Refuse) and other.retry_after_ms == times[0]


def test_no_call_and_no_count_is_left_behind() -> None:
    g = made(counter=True, counter_timeout_ms=50)
    for n in range(500):
        actions = g.handle(START + n, waited(700, plan=n % 2, customer=n % 7))
        assert [type(a) for a in actions] == [Refuse]
    assert g.calls == {} and g.counter_calls == {} and len(g.customers) == 7


def test_customers_of_a_storm_are_forgotten() -> None:
    g = made()
    for n in range(3000):
        g.handle(START + n * 100, waited(700, customer=n))
    assert len(g.customers) < 1500


class Loop:
    """An event loop under load in simulated time: each pass handles the arrivals of the previous pass."""

    SERVED_MS, REFUSED_MS = 0.25, 0.04  # CPU; about what is measured

    def __init__(self, sheds: bool = True, retries: int = 0) -> None:
        self.gateway, self.sheds, self.retries, self.random = made(), sheds, retries, Random(3)
        self.now, self.debt = START, 0.0
        self.waiting: deque[tuple[float, int]] = deque()  # arrival time, remaining retries
        self.coming: list[tuple[float, int]] = []  # future retries
        self.served: list[tuple[float, float]] = []  # time, wait
        self.refused: list[float] = []

    def arrive(self, until: float, rate: Callable[[float], float]) -> None:
        while self.debt <= until:
            self.waiting.append((max(self.debt, self.now - 5000), self.retries))
            self.debt += 1000 * self.random.expovariate(rate(self.debt))
        back = [c for c in self.coming if c[0] <= until]
        self.coming = [c for c in self.coming if c[0] > until]
        self.waiting.extend(sorted(back))

    def run(self, ms: float, rate: Callable[[float], float]) -> None:
        end = self.now + ms
        self.debt = max(self.debt, self.now)
        while self.now < end:
            self.arrive(self.now, rate)
            batch, self.waiting = self.waiting, deque()
            if not batch:
                self.now += 1
            for came, retries in batch:
                wait = self.now - came
                cls, customer = self.random.randrange(2), self.random.randrange(500)
                if self.sheds and self.gateway.handle(self.now, waited(wait, cls, 1, customer)):
                    self.now += self.REFUSED_MS
                    self.refused.append(self.now)
                    if retries:
                        self.coming.append((self.now + 50 * self.random.random(), retries - 1))
                else:
                    self.now += self.SERVED_MS
                    self.served.append((self.now, self.now - came))

    def goodput(self, since: float, aim_ms: float = 400.0) -> float:
        """Requests served in time, per second."""
        return sum(at > since and wait < aim_ms for at, wait in self.served) / (self.now - since) * 1000


CAPACITY = 1000 / Loop.SERVED_MS


@pytest.mark.parametrize("times", [0.5, 0.9])
def test_below_its_capacity_nothing_is_turned_away(times: float) -> None:
    loop = Loop()
    loop.run(3000, lambda now: times * CAPACITY)
    assert loop.refused == []


@pytest.mark.parametrize("times", [1.5, 2, 3])
def test_step_past_its_capacity_it_serves_what_refusals_leave(times: float) -> None:
    loop = Loop()
    loop.run(1000, lambda now: 0.5 * CAPACITY)
    loop.run(6000, lambda now: times * CAPACITY)
    share = (1 - times * loop.REFUSED_MS / loop.SERVED_MS) / (1 - loop.REFUSED_MS / loop.SERVED_MS)
    assert loop.goodput(START + 2000) > 0.95 * share * CAPACITY
    seconds = [
        sum(START + 1000 * n <= at < START + 1000 * (n + 1) for at, _ in loop.served) for n in range(2, 7)
    ]
    assert max(seconds) < 1.15 * min(seconds)  # no oscillation
    drowned = Loop(sheds=False)
    drowned.run(1000, lambda now: 0.5 * CAPACITY)
    drowned.run(6000, lambda now: times * CAPACITY)
    assert (
        drowned.goodput(START + 2000) < 0.3 * share * CAPACITY
    )  # without the rejections nearly all responses are late


def test_full_service_within_a_second_of_the_end() -> None:
    loop = Loop()
    loop.run(5000, lambda now: 3 * CAPACITY)
    ended = loop.now
    loop.run(3000, lambda now: 0.8 * CAPACITY)
    assert not [at for at in loop.refused if at > ended + 1000]


def test_ramp_and_sawtooth() -> None:
    loop = Loop()
    loop.run(8000, lambda now: CAPACITY * (0.5 + (now - START) / 4000))  # up to 2.5 times
    assert loop.goodput(START + 6000) > 0.6 * CAPACITY
    saw = Loop()
    saw.run(8000, lambda now: CAPACITY * (2.0 if now % 1000 < 300 else 0.4))  # 0.88 on average
    assert saw.goodput(START + 1000) > 0.7 * CAPACITY
    assert len(saw.refused) < 0.25 * len(saw.served)


def test_clients_that_come_back_at_once_leave_half_of_the_service() -> None:
    """Clients retry up to three times and ignore Retry-After."""
    loop = Loop(retries=2)
    loop.run(8000, lambda now: 1.5 * CAPACITY)
    assert loop.goodput(START + 3000) > 0.5 * CAPACITY


def test_nobody_is_locked_out() -> None:
    """Each class is served in every second, the class of lower priority less."""
    g, served = made(), {0: 0, 1: 0}
    random = Random(5)
    for n in range(4000):
        cls = n % 2
        served[cls] += not g.handle(START + n, waited(random.uniform(0, 300), cls, 1, customer=n % 50))
    assert min(served.values()) > 100
