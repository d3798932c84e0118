"""Simulates customers in front of a fleet of gateways and measures over-use and wrong rejections.

The reference is an exact token bucket per customer. Each customer spreads its requests unevenly over its set
of gateways, and the weights change from time to time. A request is judged when its first attempt is sent: it
is within the quota if the exact bucket holds its units, which are then taken. The actual units of a response
are settled when it ends. A rejection while more than half of the burst is available counts as wrong.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lab.gateways import Counter, Gateways
from troutdock.admission import Gateway
from troutdock.admission.interface import (
    BackendEntry,
    Effect,
    FleetUpdate,
    ListKind,
    Plan,
    RequestArrived,
    RequestClass,
    Settings,
)

START = 1_000_000.0  # far from zero, as a real clock is
WEIGHT_CHANGE_INTERVAL_MS = 15_000.0  # interval at which the weights of a customer's gateways change
RESPONSE_TIME_MS = 300.0
ESTIMATED_UNITS = (1.0, 1.0, 2.0, 2.0, 3.0, 6.0)  # each request draws one
ACTUAL_RATIO = (0.6, 1.4)  # actual units over estimated ones
BASIS, STANDARD, PLUS = (
    Plan(1.6, 16.0, price=0.72, name="basis"),
    Plan(4.2, 24.0, price=1.1, name="standard"),
    Plan(16.0, 32.0, price=1.6, ceiling_rate=32.0, ceiling_burst=64.0, ceiling_slack=8.0, name="plus"),
)
PLANS = (BASIS, STANDARD, PLUS)


@dataclass(slots=True)
class Account:
    """A customer: plan number, set of gateways, demand as a multiple of its rate, and exact token bucket."""

    number: int
    plan: int
    first_gateway: int
    gateway_count: int
    demand_factor: float
    tokens: float = 0.0
    filled_at: float = START
    ceiling: float = 0.0
    within_quota: float = 0.0
    over_quota: float = 0.0
    refused_with_room: float = 0.0
    asked: float = 0.0
    weights: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class QuotaResults:
    """Results over all customers, in units: over quota / sent, and wrongly rejected / requested."""

    over_use: float
    wrong_refusals: float
    served_of_fair: float  # units within quota, over what one gateway with all requests could admit
    bytes_per_request: float
    calls_per_request: float
    max_calls_per_s: float
    max_received_per_s: float
    ceiling_excess: float  # largest excess over a ceiling and its slack, in units


class QuotaSimulation(Gateways):
    """A fleet, its customers, and their requests."""

    def __init__(
        self,
        gateways: int,
        accounts: list[Account],
        seed: int,
        intake_per_s: float = 100.0,
        peers: bool = True,
        counter: Counter | None = None,
        loss: float = 0.05,
        make: Callable[[Settings, int], Gateway] = Gateway,
    ) -> None:
        self._make: Callable[[int, int], Gateway] = lambda index, age: make(
            self._settings(gateways, index, peers, intake_per_s, counter is not None),
            seed * 1000 + index + age * 100_000,
        )
        super().__init__([], START, loss, Random(seed), RESPONSE_TIME_MS, counter)
        self._ages = [0] * gateways
        self.received = [0] * gateways
        self.gateways = [None] * gateways
        for index in range(gateways):
            self.restart(index)
        self.accounts = accounts
        self._draw = Random(seed + 1)
        self._open_requests: dict[int, tuple[Account, float]] = {}  # account and estimated units
        self.requests, self.fair = 0, 0.0
        for account in accounts:
            plan = PLANS[account.plan]
            account.tokens, account.ceiling, account.filled_at = plan.burst, plan.ceiling_burst, START
        self.max_ceiling_excess = 0.0

    def _settings(
        self, gateways: int, index: int, peers: bool, intake_per_s: float, counter: bool
    ) -> Settings:
        return Settings(
            gateways=gateways,
            index=index,
            classes=(RequestClass(1500, 4000, 2, Effect.SAFE),),
            plans=PLANS,
            max_attempts=3,
            start_capacity=0.2,
            cold_ms=15_000,
            fall_multiple=2,
            overload_ms=3000,
            drain_grace_ms=500,
            tick_ms=2,
            most_units=8,
            cancel=True,
            peers=peers,
            peer_in_per_s=intake_per_s,
            counter=counter,
            counter_timeout_ms=50.0,
        )

    def kill(self, index: int) -> None:
        """Removes a gateway with all its state."""
        self.gateways[index] = None

    def restart(self, index: int) -> None:
        """Starts a gateway without state at this index."""
        self._ages[index] += 1
        self.gateways[index] = self._make(index, self._ages[index])
        self.deliver(index, FleetUpdate(ListKind.FULL, [BackendEntry(n + 1, size=1000.0) for n in range(40)]))

    def run_for(self, seconds: float) -> None:
        """Runs for so many seconds with requests at each customer's own rate."""
        until = self.time.now + 1000 * seconds
        for account in self.accounts:
            self._next(account, until)
        self.time.run(until)

    def _next(self, account: Account, until: float) -> None:
        plan = PLANS[account.plan]
        mean = sum(ESTIMATED_UNITS) / len(ESTIMATED_UNITS)
        when = self.time.now + self._draw.expovariate(plan.rate * account.demand_factor / mean / 1000)
        if when < until:
            self.time.at(when, lambda: self._send_request(account, until))

    def _send_request(self, account: Account, until: float) -> None:
        self._next(account, until)
        if not account.weights or self._draw.random() < 1 / max(
            1.0, WEIGHT_CHANGE_INTERVAL_MS / 1000 * account.demand_factor
        ):
            account.weights = [self._draw.paretovariate(1.2) for _ in range(account.gateway_count)]
        alive = [
            (n, w)
            for n, w in enumerate(account.weights)
            if self.gateways[(account.first_gateway + n) % len(self.gateways)]
        ]
        if not alive:
            return
        (offset,) = self._draw.choices([n for n, _ in alive], [w for _, w in alive])
        self.requests += 1
        units = self._draw.choice(ESTIMATED_UNITS)
        account.asked += units
        self._open_requests[self.requests] = account, units
        self.deliver(
            (account.first_gateway + offset) % len(self.gateways),
            RequestArrived(
                self.requests,
                account.number,
                account.plan,
                0,
                units,
                account.first_gateway,
                account.gateway_count,
                4000.0,
            ),
        )

    def _refill(self, account: Account) -> None:
        plan, elapsed_s = PLANS[account.plan], (self.time.now - account.filled_at) / 1000
        account.tokens = min(plan.burst, account.tokens + elapsed_s * plan.rate)
        account.ceiling = min(plan.ceiling_burst, account.ceiling + elapsed_s * plan.ceiling_rate)
        account.filled_at = self.time.now

    def first_send(self, number: int) -> None:
        """Judges a request by the exact token bucket, as the operators do."""
        account, units = self._open_requests[number]
        self._refill(account)
        if PLANS[account.plan].ceiling_rate:
            account.ceiling -= units
            self.max_ceiling_excess = max(
                self.max_ceiling_excess, -account.ceiling - PLANS[account.plan].ceiling_slack
            )
        if account.tokens >= units:
            account.tokens -= units
            account.within_quota += units
        else:
            account.over_quota += units
            del self._open_requests[number]

    def ended(self, number: int, served: bool) -> float:
        """Settles the actual units, which differ from the estimate, of a request within the quota."""
        account, units = self._open_requests.pop(number, (None, 0.0))
        if account is None:
            return 0.0
        self._refill(account)
        if not served:
            account.refused_with_room += units * (account.tokens > PLANS[account.plan].burst / 2)
            return 0.0
        true = units * self._draw.uniform(*ACTUAL_RATIO)
        account.tokens -= true - units
        return true

    def results(self, seconds: float) -> QuotaResults:
        """Returns the results since the start, which was this many seconds ago."""
        inside, beyond = sum(a.within_quota for a in self.accounts), sum(a.over_quota for a in self.accounts)
        asked, wrong = sum(a.asked for a in self.accounts), sum(a.refused_with_room for a in self.accounts)
        fair = sum(min(a.asked, PLANS[a.plan].burst + seconds * PLANS[a.plan].rate) for a in self.accounts)
        calls: dict[int, int] = {}
        for when in self.counter_calls:
            calls[int(when // 1000)] = calls.get(int(when // 1000), 0) + 1
        return QuotaResults(
            beyond / max(1.0, inside + beyond),
            wrong / max(1.0, asked),
            inside / max(1.0, fair),
            self.bytes / max(1, self.requests),
            len(self.counter_calls) / max(1, self.requests),
            max(calls.values(), default=0),
            max(self.received) / seconds,
            self.max_ceiling_excess,
        )


def customers(gateways: int, count: int, random: Random) -> list[Account]:
    """Creates customers as the operators describe theirs.

    Many stay below their quota, some use all of it, and some request far more.
    """
    made = []
    for number in range(1, count + 1):
        plan = random.choices((0, 1, 2), (0.6, 0.3, 0.1))[0]
        widest = int(PLANS[plan].ceiling_burst // 16) if PLANS[plan].ceiling_rate else gateways
        width = max(min(2, gateways), min(widest, gateways, round(gateways * random.uniform(0.5, 1.0))))
        times = random.choices((random.uniform(0.2, 0.5), 0.95, random.uniform(1.9, 4.4)), (0.7, 0.18, 0.12))[
            0
        ]
        made.append(Account(number * 7919, plan, random.randrange(gateways), width, times))
    return made
