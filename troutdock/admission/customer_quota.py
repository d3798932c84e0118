"""A customer's slice of its quota at one gateway, and DIBA's return times (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.diba import VirtualQueue, variation_of
from troutdock.admission.interface import Plan

SHARE_GROWTH, SHARE_DECAY = 1.5, 0.5  # factor of an exhausted slice; of the growth of an overused one
AMPLE, DEPLETED = 0.9, 0.25  # of the burst: above, the shared bucket has room for all; below, it is overused
ADJUST_MS = 1000.0  # least interval between changes of a slice
STALE_REFILL = 0.15  # of the quota's rate: assumed refill since the last report, at call rate 1


class Customer(VirtualQueue):
    """One customer's slice of its quota here, and the virtual queue of its refused requests."""

    __slots__ = (  # saves memory: many customers send one request only, and are kept for a while
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
        asks_owner: bool = False,
    ) -> None:
        self.plan, self.even, self.number = plan, 1 / width, number
        # After a restart, earlier usage is unknown. The ceiling refills from the restart on, and so does the
        # slice if the owner can be queried at once; otherwise reports soon show what is left in the bucket.
        elapsed_s = max(0.0, now - unspent_since) / 1000
        full = min(plan.burst, elapsed_s * plan.rate) if asks_owner else plan.burst
        self.share, self.tokens = self.even, full * self.even
        self.cap_tokens = min(plan.ceiling_burst, elapsed_s * plan.ceiling_rate) * self.even
        super().__init__(now)
        self.filled_at = now
        self.answers, self.unit_sum, self.unit_squares = 0, 0.0, 0.0
        self.debt = debt  # own usage not reported yet; negative: reported but not used
        self.store, self.told_at = plan.burst, -inf  # shared bucket as last reported
        self.followed_at, self.dry = now, False
        self.first, self.width = 0, width  # its set of gateways, from its last request
        self.shut_until = -inf  # no query before this, as its owner is overloaded

    def refill(self, now: float) -> None:
        """Refills the slice and the ceiling for the elapsed time."""
        elapsed_s, self.filled_at, plan = (now - self.filled_at) / 1000, now, self.plan
        self.tokens = min(plan.burst * self.share, self.tokens + elapsed_s * plan.rate * self.share)
        limit = plan.ceiling_burst * self.even
        self.cap_tokens = min(limit, self.cap_tokens + elapsed_s * plan.ceiling_rate * self.even)

    def change_plan(self, now: float, plan: Plan) -> None:
        """Switches the plan; tokens are kept up to the new bursts, and none are added."""
        self.refill(now)  # at the old rate up to now
        if plan.ceiling_rate and not self.plan.ceiling_rate:
            self.cap_tokens = 0.0  # earlier usage was not charged to it
        self.plan = plan
        self.refill(now)
        self.store = min(self.store, plan.burst)

    def return_time(self, now: float, units: float, no_show_ms: float) -> float:
        """Returns the delay in ms until a refused client may return; sums are in units."""
        mean = self.unit_sum / self.answers if self.answers else units
        variation = variation_of(self.answers, self.unit_sum, self.unit_squares)
        fill = self.plan.rate * self.share if self.plan.rate else mean
        return self.schedule_return(now, fill / mean * (1 + variation), no_show_ms)

    def record_units(self, units: float, true_units: float) -> None:
        """Records a response's true units; units: the excess over the estimate that was charged."""
        self.answers += 1
        self.unit_sum += true_units
        self.unit_squares += true_units * true_units
        self.tokens -= units
        self.debt += units

    def adjust_share(self, now: float, over: bool) -> None:
        """Grows an exhausted slice of a customer below its quota and shrinks one over it, once a second."""
        if now - self.followed_at >= ADJUST_MS:
            grows = self.dry and self.store > AMPLE * self.plan.burst
            shrunk = max(self.even, self.share - (self.share - self.even) * SHARE_DECAY)
            self.share = shrunk if over else min(1.0, self.share * SHARE_GROWTH) if grows else self.share
            self.followed_at, self.dry = now, False

    def pass_chance(self, now: float, call_rate: float) -> float:
        """Returns the probability that the shared bucket has room for a request beyond the slice."""
        estimate = self.store + STALE_REFILL * call_rate * (now - self.told_at) / 1000 * self.plan.rate
        return estimate / (AMPLE * self.plan.burst)

    def apply_counter_total(self, now: float, total: float, use: float, age_ms: float) -> float:
        """Applies a counter total: it determines the shared bucket; returns the overflow to correct in it."""
        plan = self.plan
        level, full = plan.burst - total + age_ms / 1000 * plan.rate, plan.burst
        if total < 0.01:  # a new or lost counter entry: earlier usage still counts
            full = min(full, self.store + (now - self.told_at) / 1000 * plan.rate)
        self.set_store(now, min(full, level) - use)
        return max(0.0, level - full)

    def set_store(self, now: float, store: float) -> None:
        """Sets the shared bucket's level; limits the slice's tokens to it and adjusts the slice."""
        self.store, self.told_at, plan = store, now, self.plan
        floor = self.store * self.share if self.store > AMPLE * plan.burst else 0.0
        self.tokens = max(floor, min(self.tokens, self.store)) - max(0.0, self.debt)
        self.adjust_share(now, self.store < DEPLETED * plan.burst)

    def max_store(self, now: float) -> float:
        """Returns the largest possible level of the shared bucket since its last report."""
        return min(self.plan.burst, self.store + (now - self.told_at) / 1000 * self.plan.rate)
