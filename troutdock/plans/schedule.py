"""Which plan holds of a customer now, and which changes are due (no I/O, no clock).

Theory of operation. What is known is a history (history.py), which only grows. What a file says or a peer is
merged into it, in any order and as often as it comes. Of each customer the plan that was told last is
remembered, so that a change is told once:

    learn      merged; customers whose plan is another one by that are told at once, later changes wait
    due        the changes whose time has come
    plan_of    what holds now, for a request

All times are Unix time in milliseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import inf

from troutdock.plans.history import Assignment, Histories

FOLD_MS = 3_600_000.0  # assignments that were followed by another one so long ago are forgotten


class PlanBook:
    """What one ingress knows."""

    def __init__(self) -> None:
        self.history = Histories()
        self._changes: list[tuple[float, int]] = []  # when, whose: a heap
        self._told: dict[int, str] = {}  # the plan that was told last, by customer

    def plan_of(self, customer: int, now: float) -> str | None:
        """By name; None: no assignment is valid yet, and the request's own word counts."""
        held = self.history.at(customer, now)
        return None if held is None else held.plan

    def learn(self, now: float, assignments: Iterable[Assignment]) -> list[tuple[int, str]]:
        """Customers whose plan is another one by these. Conflict or ValueError names the first bad one.

        Then nothing of them is taken.
        """
        news = [a for a in assignments if not self.history.knows(a)]
        self.history = self.history.assign(news)
        for assignment in news:
            if assignment.valid_from_ms > now:
                heapq.heappush(self._changes, (assignment.valid_from_ms, assignment.customer))
        return self._differ(now, dict.fromkeys(a.customer for a in news))

    @property
    def next_at(self) -> float:
        """When the next change is due; infinite where none is known."""
        return self._changes[0][0] if self._changes else inf

    def due(self, now: float) -> list[tuple[int, str]]:
        """Customers whose plan has become another one by now."""
        whose: dict[int, None] = {}
        while self._changes and self._changes[0][0] <= now:
            whose[heapq.heappop(self._changes)[1]] = None
        changed = self._differ(now, whose)
        if changed:
            self.history = self.history.fold(now - FOLD_MS)
        return changed

    def _differ(self, now: float, customers: Iterable[int]) -> list[tuple[int, str]]:
        found = []
        for customer in customers:
            plan = self.plan_of(customer, now)
            if plan is not None and self._told.get(customer) != plan:
                self._told[customer] = plan
                found.append((customer, plan))
        return found
