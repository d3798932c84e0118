"""A customer's slice of its quota at one gateway, and DIBA's return times (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.diba import VirtualQueue, spread_of
from troutdock.admission.interface import Plan

RAISE, FALL = 1.5, 0.5  # a dry slice grows by half (design page); an over-used one loses half of its growth
ROOM, SPENT = 0.9, 0.25  # of the burst: a fuller shared store has room for all; an emptier one is over-used
SECOND_MS = 1000.0  # how often a slice may grow
OLD_NEWS = 0.15  # of the quota's rate: how fast a told store is believed to refill, when asking is free


class Customer(VirtualQueue):
    """One customer's slice of its quota here, and the virtual queue of those it was refused for."""

    __slots__ = (  # many customers come but once, and each is remembered for a while
        "answers",
        "cap_tokens",
        "debt",
        "dry",
        "even",
        "filled_at",
        "first",
        "followed_at",
        "number",
        "plan",
        "share",
        "shut_until",
        "store",
        "tokens",
        "told_at",
        "unit_squares",
        "unit_sum",
        "width",
    )

    def __init__(
        self,
        plan: Plan,
        width: int,
        now: float,
        number: int = 0,
        debt: float = 0.0,
        unspent_since: float = inf,
        asks: bool = False,
    ) -> None:
        self.plan, self.even, self.number = plan, 1 / width, number
        # a restarted gateway cannot know what it spent of the ceiling before, only that nothing went since;
        # nor of its slice, but there the shared store tells: at once where it can be asked
        gone = max(0.0, now - unspent_since) / 1000
        full = min(plan.burst, gone * plan.rate) if asks else plan.burst
        self.share, self.tokens = self.even, full * self.even
        self.cap_tokens = min(plan.ceiling_burst, gone * plan.ceiling_rate) * self.even
        super().__init__(now)
        self.filled_at = now
        self.answers, self.unit_sum, self.unit_squares = 0, 0.0, 0.0
        self.debt = debt  # own use that is not counted yet; below nought: counted, but not used
        self.store, self.told_at = plan.burst, -inf  # the shared store as the counter's last answer showed it
        self.followed_at, self.dry = now, False
        self.first, self.width = 0, width  # its set of gateways, as its last request told it
        self.shut_until = -inf  # its home is crowded: nothing is asked before

    def refill(self, now: float) -> None:
        """Fill bucket and ceiling for the time gone by."""
        gone, self.filled_at, plan = (now - self.filled_at) / 1000, now, self.plan
        self.tokens = min(plan.burst * self.share, self.tokens + gone * plan.rate * self.share)
        cap = plan.ceiling_burst * self.even
        self.cap_tokens = min(cap, self.cap_tokens + gone * plan.ceiling_rate * self.even)

    def change(self, now: float, plan: Plan) -> None:
        """Another plan from now on: what is there stays, up to the new rims; nothing is filled up."""
        self.refill(now)  # at the old rate until now
        if plan.ceiling_rate and not self.plan.ceiling_rate:
            self.cap_tokens = 0.0  # what went before was not measured against it
        self.plan = plan
        self.refill(now)
        self.store = min(self.store, plan.burst)

    def return_time(self, now: float, units: float, no_show: float) -> float:
        """How long the refused client is to stay away; the sums are of units."""
        mean = self.unit_sum / self.answers if self.answers else units
        spread = spread_of(self.answers, self.unit_sum, self.unit_squares)
        fill = self.plan.rate * self.share if self.plan.rate else mean
        return self.appoint(now, fill / mean * (1 + spread), no_show)

    def took(self, units: float, true_units: float) -> None:
        """A good answer tells the true units; units: how much more than the guess that was taken."""
        self.answers += 1
        self.unit_sum += true_units
        self.unit_squares += true_units * true_units
        self.tokens -= units
        self.debt += units

    def follow(self, now: float, over: bool) -> None:
        """Each second: a dry slice of a customer under quota grows, that of one over it falls back."""
        if now - self.followed_at >= SECOND_MS:
            grows = self.dry and self.store > ROOM * self.plan.burst
            fallen = max(self.even, self.share - (self.share - self.even) * FALL)
            self.share = fallen if over else min(1.0, self.share * RAISE) if grows else self.share
            self.followed_at, self.dry = now, False

    def room(self, now: float, asking: float) -> float:
        """The chance that a try beyond the bucket still finds its units in the shared store."""
        believed = self.store + OLD_NEWS * asking * (now - self.told_at) / 1000 * self.plan.rate
        return believed / (ROOM * self.plan.burst)

    def told(self, now: float, before: float, use: float, age_ms: float) -> float:
        """One answer tells the shared store by itself; gives what a store that ran over lacks in the name."""
        plan = self.plan
        level, full = plan.burst - before + age_ms / 1000 * plan.rate, plan.burst
        if before < 0.01:  # a fresh or lost name: what was missing still is
            full = min(full, self.store + (now - self.told_at) / 1000 * plan.rate)
        self.believe(now, min(full, level) - use)
        return max(0.0, level - full)

    def believe(self, now: float, store: float) -> None:
        """So much is left in the shared store: own tokens are no more than that, and the slice follows."""
        self.store, self.told_at, plan = store, now, self.plan
        part = self.store * self.share if self.store > ROOM * plan.burst else 0.0
        self.tokens = max(part, min(self.tokens, self.store)) - max(0.0, self.debt)
        self.follow(now, self.store < SPENT * plan.burst)

    def most(self, now: float) -> float:
        """What the shared store can hold at most, by what was told last."""
        return min(self.plan.burst, self.store + (now - self.told_at) / 1000 * self.plan.rate)
