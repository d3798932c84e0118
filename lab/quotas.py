"""Customers before a fleet of decision modules, judged by their true stores: over-use and wrong refusals.

Each customer comes through its set of gateways unevenly, and the weights change from time to time. A try is
judged when its first attempt goes out: inside the quota if the true store holds its units, which it then
takes. The true units of an answer are settled when it ends. A refusal while more than half of the burst is
there is a wrong one.
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

START = 1_000_000.0  # long after the time that a clock starts at
SHIFT_MS = 15_000.0  # how often the weights of a customer's gateways change
ANSWER_MS = 300.0
UNITS = (1.0, 1.0, 2.0, 2.0, 3.0, 6.0)  # guesses of what tries take
GUESS = (0.6, 1.4)  # true units over guessed ones
BASIS, STANDARD, PLUS = (
    Plan(1.6, 16.0, price=0.72, name="basis"),
    Plan(4.2, 24.0, price=1.1, name="standard"),
    Plan(16.0, 32.0, price=1.6, ceiling_rate=32.0, ceiling_burst=64.0, ceiling_slack=8.0, name="plus"),
)
PLANS = (BASIS, STANDARD, PLUS)


@dataclass(slots=True)
class Account:
    """A customer: its plan by number, its set, how many times its rate it asks, and its true store."""

    number: int
    plan: int
    first: int
    width: int
    times: float
    store: float = 0.0
    store_at: float = START
    ceiling: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    refused_with_room: float = 0.0
    asked: float = 0.0
    weights: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Judgement:
    """In units, of all: beyond quotas over sent, refused with half of the quota there over asked."""

    over_use: float
    wrong_refusals: float
    served_of_fair: float  # units inside, over what one gateway that saw all tries could let in
    bytes_per_try: float
    calls_per_try: float
    most_calls_per_s: float
    most_taken_in_per_s: float
    ceiling_passed: float  # the worst excess over a ceiling and its slack, in units


class Quotas(Gateways):
    """A fleet, its customers, and their tries."""

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
        super().__init__([], START, loss, Random(seed), ANSWER_MS, counter)
        self._ages = [0] * gateways
        self.taken_in = [0] * gateways
        self.gateways = [None] * gateways
        for index in range(gateways):
            self.restart(index)
        self.accounts = accounts
        self._draw = Random(seed + 1)
        self._tries: dict[int, tuple[Account, float]] = {}  # open ones: whose, and the guess
        self.tries, self.fair = 0, 0.0
        for account in accounts:
            plan = PLANS[account.plan]
            account.store, account.ceiling, account.store_at = plan.burst, plan.ceiling_burst, START
        self.worst_ceiling = 0.0

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
        """It is gone, with all that it knew and had taken."""
        self.gateways[index] = None

    def restart(self, index: int) -> None:
        """A fresh one in its place."""
        self._ages[index] += 1
        self.gateways[index] = self._make(index, self._ages[index])
        self.give(index, FleetUpdate(ListKind.FULL, [BackendEntry(n + 1, size=1000.0) for n in range(40)]))

    def play(self, seconds: float) -> None:
        """Tries come, by each customer's own rate."""
        until = self.time.now + 1000 * seconds
        for account in self.accounts:
            self._next(account, until)
        self.time.run(until)

    def _next(self, account: Account, until: float) -> None:
        plan = PLANS[account.plan]
        mean = sum(UNITS) / len(UNITS)
        when = self.time.now + self._draw.expovariate(plan.rate * account.times / mean / 1000)
        if when < until:
            self.time.at(when, lambda: self._try(account, until))

    def _try(self, account: Account, until: float) -> None:
        self._next(account, until)
        if not account.weights or self._draw.random() < 1 / max(1.0, SHIFT_MS / 1000 * account.times):
            account.weights = [self._draw.paretovariate(1.2) for _ in range(account.width)]
        alive = [
            (n, w)
            for n, w in enumerate(account.weights)
            if self.gateways[(account.first + n) % len(self.gateways)]
        ]
        if not alive:
            return
        (place,) = self._draw.choices([n for n, _ in alive], [w for _, w in alive])
        self.tries += 1
        units = self._draw.choice(UNITS)
        account.asked += units
        self._tries[self.tries] = account, units
        self.give(
            (account.first + place) % len(self.gateways),
            RequestArrived(
                self.tries, account.number, account.plan, 0, units, account.first, account.width, 4000.0
            ),
        )

    def _fill(self, account: Account) -> None:
        plan, gone = PLANS[account.plan], (self.time.now - account.store_at) / 1000
        account.store = min(plan.burst, account.store + gone * plan.rate)
        account.ceiling = min(plan.ceiling_burst, account.ceiling + gone * plan.ceiling_rate)
        account.store_at = self.time.now

    def first_send(self, number: int) -> None:
        """Judged by the true store, as the operators do."""
        account, units = self._tries[number]
        self._fill(account)
        if PLANS[account.plan].ceiling_rate:
            account.ceiling -= units
            self.worst_ceiling = max(self.worst_ceiling, -account.ceiling - PLANS[account.plan].ceiling_slack)
        if account.store >= units:
            account.store -= units
            account.inside += units
        else:
            account.beyond += units
            del self._tries[number]

    def ended(self, number: int, served: bool) -> float:
        """True units differ from the guess; those of a try inside the quota are settled."""
        account, units = self._tries.pop(number, (None, 0.0))
        if account is None:
            return 0.0
        self._fill(account)
        if not served:
            account.refused_with_room += units * (account.store > PLANS[account.plan].burst / 2)
            return 0.0
        true = units * self._draw.uniform(*GUESS)
        account.store -= true - units
        return true

    def judgement(self, seconds: float) -> Judgement:
        """What has come of all since the start, so many seconds ago."""
        inside, beyond = sum(a.inside for a in self.accounts), sum(a.beyond for a in self.accounts)
        asked, wrong = sum(a.asked for a in self.accounts), sum(a.refused_with_room for a in self.accounts)
        fair = sum(min(a.asked, PLANS[a.plan].burst + seconds * PLANS[a.plan].rate) for a in self.accounts)
        calls: dict[int, int] = {}
        for when in self.counted:
            calls[int(when // 1000)] = calls.get(int(when // 1000), 0) + 1
        return Judgement(
            beyond / max(1.0, inside + beyond),
            wrong / max(1.0, asked),
            inside / max(1.0, fair),
            self.bytes / max(1, self.tries),
            len(self.counted) / max(1, self.tries),
            max(calls.values(), default=0),
            max(self.taken_in) / seconds,
            self.worst_ceiling,
        )


def customers(gateways: int, count: int, random: Random) -> list[Account]:
    """As the operators describe theirs: many under their quota, some that use all, some far beyond."""
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
