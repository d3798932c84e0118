"""Health and load of one backend, and of a pool as a whole, as seen by one gateway (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.circuit_breaker import CircuitBreaker
from troutdock.admission.interface import BackendEntry, Group, RequestClass, Settings, previous_indexes

BAD_WEIGHT = 0.3  # weight of a failure, and the upper limit for a rare sample
MIN_DECAY_MS, DECAY_GAPS = 3000.0, 2.0  # samples decay to a third in this time, or in this many gaps
MAX_GAP_MS = 60_000.0  # samples further apart than this are unrelated
MAX_RETRY_TOKENS = 10.0  # upper limit of the retry budget


class Slowness:
    """Time taken over time expected: the measure of health, of a backend for a class or of the fleet."""

    def __init__(self) -> None:
        self.value, self.at, self.memory_ms = 1.0, -inf, MIN_DECAY_MS

    def now(self, now: float, baseline: float = 1.0) -> float:
        """Returns the value, decayed toward the baseline since the last sample, slower for rare samples."""
        if self.at == -inf:
            return baseline
        return baseline + (self.value - baseline) * 3 ** ((self.at - now) / self.memory_ms)

    def observe(self, now: float, value: float, weight: float, baseline: float = 1.0) -> None:
        """Adds a sample, bad or good; a rare one has the weight of the many that it stands for."""
        weight = max(weight, min(BAD_WEIGHT, 1 - 3 ** ((self.at - now) / self.memory_ms)))
        self.value = self.now(now, baseline) + (value - self.now(now, baseline)) * weight
        gap, self.at = now - max(self.at, now - MAX_GAP_MS), now
        self.memory_ms = max(MIN_DECAY_MS, DECAY_GAPS * gap) if gap < MAX_GAP_MS else MIN_DECAY_MS


# a pending attempt: time sent, work, queueing factor then, class, time when it is overdue
OpenAttempt = tuple[float, float, float, int, float]


class Pool:
    """Backends that serve the same requests, and their common state at this gateway."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        # ready backends, by dedup group
        self.rings: dict[tuple[Group, int], list[int]] = {(Group.ALL, 0): []}
        self.slowness = Slowness()  # of the fleet as a whole
        self.retries = MAX_RETRY_TOKENS
        self.unit_ms = [cls.aim_ms / 10 for cls in classes]  # time per unit on an idle backend
        self.mean_work = sum(self.unit_ms) / len(self.unit_ms)
        self.max_wait_ms: list[float] = []  # by class, derived from max_wait_for
        self.max_wait_for: list[float] = []

    def renumber(self, before: tuple[RequestClass, ...], after: tuple[RequestClass, ...]) -> None:
        """Adopts new classes: keeps the times per unit of known ones, and estimates new ones from them."""
        guess = sum(ms / c.aim_ms for ms, c in zip(self.unit_ms, before, strict=True)) / len(before)
        came_from = zip(previous_indexes(before, after), after, strict=True)
        self.unit_ms = [guess * c.aim_ms if n is None else self.unit_ms[n] for n, c in came_from]
        self.max_wait_for = []


class Backend:
    """One backend as seen by this gateway."""

    def __init__(self, entry: BackendEntry, pool: Pool) -> None:
        self.entry, self.pool, self.load = entry, pool, 0.0  # work pending from here
        self.out: dict[tuple[int, int], OpenAttempt] = {}
        self.slowness = [Slowness() for _ in pool.unit_ms]
        self.heard_at = -inf  # time of its last answer, on any connection
        self.circuit = CircuitBreaker()
        self.cold_turn, self.cold_left = -1.0, 0.0  # work left in this window

    def warm_fraction(self, now: float, settings: Settings) -> float:
        """Returns the guaranteed part of its capacity, which grows from its start until it is warm."""
        if not (up_since_ms := self.entry.up_since_ms) or (age := now - up_since_ms) >= settings.cold_ms:
            return 1.0
        return settings.start_capacity + (1 - settings.start_capacity) * max(0.0, age / settings.cold_ms)
