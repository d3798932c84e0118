"""Simulated time: a queue of events, ordered by due time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Timeline:
    """A clock that advances from event to event; events due at the same time keep their order.

    The unit is the caller's: seconds for discovery, milliseconds for gateways.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, due_at: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time, or now if that time has passed."""
        heapq.heappush(self._queue, (max(self.now, due_at), next(self._order), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Runs all events due by a time and advances the clock to it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = max(self.now, until)
