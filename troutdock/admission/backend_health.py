"""What a gateway knows of a backend, and of a pool of them as a whole (no I/O, no clock)."""

from __future__ import annotations

from math import inf

from troutdock.admission.circuit_breaker import Circuit
from troutdock.admission.interface import BackendEntry, Group, RequestClass, Settings, previous_indexes

BLAME = 0.3  # how far a bad or a rare sign moves what it tells of
FORGIVE_MS, TOUCHES = 3000.0, 2.0  # a sign fades to a third in this time, or in so many times between signs
LONG_AGO_MS = 60_000.0  # signs further apart than that have nothing to do with one another
RETRY_MOST = 10.0  # further attempts saved up at most


class Slowness:
    """Time taken over time expected: the one measure of health, of a backend for a class or of the fleet."""

    def __init__(self) -> None:
        self.value, self.at, self.memory_ms = 1.0, -inf, FORGIVE_MS

    def now(self, now: float, usual: float = 1.0) -> float:
        """Forgotten as its last sign ages, by how often signs come, until what is usual is believed."""
        if self.at == -inf:
            return usual
        return usual + (self.value - usual) * 3 ** ((self.at - now) / self.memory_ms)

    def sign(self, now: float, value: float, weight: float, usual: float = 1.0) -> None:
        """Take in a sign, bad or good; a rare one weighs as much as the many it stands for."""
        weight = max(weight, min(BLAME, 1 - 3 ** ((self.at - now) / self.memory_ms)))
        self.value = self.now(now, usual) + (value - self.now(now, usual)) * weight
        gap, self.at = now - max(self.at, now - LONG_AGO_MS), now
        self.memory_ms = max(FORGIVE_MS, TOUCHES * gap) if gap < LONG_AGO_MS else FORGIVE_MS


# an attempt that is out: when, work, pile it met, class, when it is overdue
Sent = tuple[float, float, float, int, float]


class Pool:
    """Backends that take the same requests, and what this gateway knows of them as a whole."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.rings: dict[tuple[Group, int], list[int]] = {(Group.ALL, 0): []}  # ready backends, by group
        self.slowness = Slowness()  # of the fleet as a whole
        self.retries = RETRY_MOST
        self.unit_ms = [cls.aim_ms / 10 for cls in classes]  # time a unit takes on an idle backend
        self.mean_work = sum(self.unit_ms) / len(self.unit_ms)
        self.patience: list[float] = []  # by class, for these unit_ms
        self.patience_for: list[float] = []

    def renumber(self, before: tuple[RequestClass, ...], after: tuple[RequestClass, ...]) -> None:
        """Other classes: what work takes is kept by class, and guessed for a new one from the others."""
        guess = sum(ms / c.aim_ms for ms, c in zip(self.unit_ms, before, strict=True)) / len(before)
        came_from = zip(previous_indexes(before, after), after, strict=True)
        self.unit_ms = [guess * c.aim_ms if n is None else self.unit_ms[n] for n, c in came_from]
        self.patience_for = []


class Backend:
    """What this gateway knows of one backend."""

    def __init__(self, entry: BackendEntry, pool: Pool) -> None:
        self.entry, self.pool, self.load = entry, pool, 0.0  # work outstanding from here
        self.out: dict[tuple[int, int], Sent] = {}
        self.slowness = [Slowness() for _ in pool.unit_ms]
        self.heard_at = -inf  # its last answer, on any connection
        self.circuit = Circuit()
        self.cold_turn, self.cold_left = -1.0, 0.0  # the work it may still get in this window

    def warmth(self, now: float, settings: Settings) -> float:
        """The part of its capacity that is guaranteed at this time since its start."""
        if not (up_since_ms := self.entry.up_since_ms) or (age := now - up_since_ms) >= settings.cold_ms:
            return 1.0
        return settings.start_capacity + (1 - settings.start_capacity) * max(0.0, age / settings.cold_ms)
