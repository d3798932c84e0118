"""A tenant's slice of its quota at one of many ingresses that nobody counts (no I/O, no clock).

Theory of operation. Two stores decide. `tokens` is the slice: it starts at the even split, grows by half in
each second in which it ran dry while the tenant is under quota, and falls back when it is over (the
design). `level` is what is believed to be left of the whole quota: it fills at the tenant's rate, and every
admission is taken off it, own ones at once and those of others as they are told, some ten milliseconds
later.

A try is let in by the slice while the level is not far below nought, or by the level itself. So the slices
grow at once to what nobody else uses, and the bound on all of them together is what the levels say:

    heard by all   rate x time + burst x (1 + OVER), and what is on its way among ingresses
    cut off        who hears a part of the others lets its level fill by that part only: the parts of two
                   sides that don't hear each other add up to one
    restarted      begins with nothing, and fills up as it is told
    added          counts as soon as it is a member; until it hears anybody its slice fills by its part

Times are milliseconds, rates requests a second. A refused try's return time is DIBA's, with the sums of job
times.
"""

from __future__ import annotations

from tamarindfold.diba import VirtualQueue, spread_of
from tamarindfold.interface import Plan

RAISE, FALL = 1.5, 0.5  # a dry slice grows by half (design page); an over-used one loses half of its growth
RESERVE = 0.02  # of the slice's burst: what only retries may take
OVER = 0.2  # of the burst: so far below nought the level may be for a slice still to let a try in
SECOND_MS = 1000.0  # how often a slice may grow
EARLY_MS, NO_SHOW_MS = 60.0, 1500.0  # a try so long before or after a return time is the one that was told it
PACE_MS = 2000.0  # over how long the pace of a tenant without a limit is taken
AGE = 0.995  # weight of the past in the sums of job times: some 200 answers count


class Tenant(VirtualQueue):
    """One tenant at one ingress."""

    __slots__ = (
        "answers",
        "dry",
        "even",
        "filled_at",
        "followed_at",
        "job_squares",
        "job_sum",
        "level",
        "pace",
        "plan",
        "share",
        "tokens",
        "told",
        "used",
    )

    def __init__(self, plan: Plan, now: float, even: float, full: bool) -> None:
        """even: this ingress's part of an even split. full: the quota is known to be unused."""
        super().__init__(now)
        self.plan, self.even, self.share = plan, even, even
        self.level = plan.burst if full else 0.0
        self.tokens = self.level * even
        self.filled_at = self.followed_at = now
        self.dry = False
        self.used = self.told = 0  # let in since the start, and how much of that others know
        self.pace = 0.0  # tries a second, for a tenant without a limit
        self.answers, self.job_sum, self.job_squares = 0.0, 0.0, 0.0

    def refill(self, now: float, even: float, heard: float) -> None:
        """Fill for the time gone by.

        heard: the part of all ingresses that this one hears, itself included.
        """
        gone, self.filled_at, plan = (now - self.filled_at) / 1000, now, self.plan
        if even != self.even:
            self.share = max(even, self.share * even / self.even) if self.share > self.even else even
            self.even = even
        self.level = min(plan.burst, self.level + gone * plan.rate * heard)
        self.tokens = min(max(1.0, plan.burst * self.share), self.tokens + gone * plan.rate * self.share)
        self.pace *= max(0.0, 1 - gone * 1000 / PACE_MS)
        if now - self.followed_at >= SECOND_MS:
            self.followed_at = now
            if self.level < 0:
                self.share = max(even, self.share - (self.share - even) * FALL)
            elif self.dry:
                self.share = min(1.0, self.share * RAISE)
            self.dry = False

    def change(self, plan: Plan) -> None:
        """Other terms from now on; nothing is filled up, so that a raise is not given out twice."""
        if not self.plan.rate:
            self.level = 0.0
        self.plan = plan
        self.level, self.tokens = min(self.level, plan.burst), min(self.tokens, plan.burst * self.share)

    def returns(self, now: float) -> bool:
        """Whether a try is one that was told to come back now; its place in the queue is free then."""
        queue = self.appointments
        while queue and queue[0] < now - NO_SHOW_MS:
            queue.popleft()
        if queue and queue[0] <= now + EARLY_MS:
            queue.popleft()
            return True
        return False

    def lets(self, returning: bool) -> bool:
        """Whether the quota has room for a try; nothing is taken yet."""
        plan = self.plan
        if not plan.rate:
            return True
        kept = 0.0 if returning else RESERVE * plan.burst * self.share
        if self.tokens - kept >= 1 and self.level >= 1 - OVER * plan.burst:
            return True
        self.dry = self.dry or self.tokens - kept < 1
        return self.level - (0.0 if returning else RESERVE * plan.burst) >= 1

    def take(self) -> None:
        """A try is sent on."""
        self.used += 1
        self.pace += 1000 / PACE_MS
        self.level -= 1
        self.tokens = max(0.0, self.tokens - 1)

    def give_back(self) -> None:
        """One that was let in has reached no backend."""
        self.level += 1

    def others(self, count: float) -> None:
        """Others have let in so many."""
        self.level = max(self.level - count, -self.plan.burst - 1)

    def answered(self, job_ms: float) -> None:
        """A job's time, for DIBA's sums; old ones age."""
        self.answers = self.answers * AGE + 1
        self.job_sum = self.job_sum * AGE + job_ms
        self.job_squares = self.job_squares * AGE + job_ms * job_ms

    def return_time(self, now: float) -> float:
        """DIBA: how long a refused try is to stay away; a request is one unit."""
        fill = self.plan.rate * self.share if self.plan.rate else max(1.0, self.pace)
        spread = spread_of(int(self.answers), self.job_sum, self.job_squares) if self.answers >= 2 else 0.0
        return self.appoint(now, fill * (1 + spread), NO_SHOW_MS)
