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

from troutdock.plans.history import Assignment, AssignmentHistory

COMPACT_AFTER_MS = 3_600_000.0  # assignments that were followed by another one so long ago are forgotten


class PlanSchedule:
    """What one ingress knows."""

    def __init__(self) -> None:
        self.history = AssignmentHistory()
        self._upcoming: list[tuple[float, int]] = []  # when, whose: a heap
        self._reported: dict[int, str] = {}  # the plan that was told last, by customer

    def plan_of(self, customer: int, now: float) -> str | None:
        """By name; None: no assignment is valid yet, and the request's own word counts."""
        assignment = self.history.at(customer, now)
        return None if assignment is None else assignment.plan

    def add(self, now: float, assignments: Iterable[Assignment]) -> list[tuple[int, str]]:
        """Customers whose plan is another one by these. Conflict or ValueError names the first bad one.

        Then nothing of them is taken.
        """
        new_assignments = [a for a in assignments if not self.history.contains(a)]
        self.history = self.history.assign(new_assignments)
        for assignment in new_assignments:
            if assignment.valid_from_ms > now:
                heapq.heappush(self._upcoming, (assignment.valid_from_ms, assignment.customer))
        return self._take_changed(now, dict.fromkeys(a.customer for a in new_assignments))

    @property
    def next_change_at(self) -> float:
        """When the next change is due; infinite where none is known."""
        return self._upcoming[0][0] if self._upcoming else inf

    def take_due(self, now: float) -> list[tuple[int, str]]:
        """Customers whose plan has become another one by now."""
        customers: dict[int, None] = {}
        while self._upcoming and self._upcoming[0][0] <= now:
            customers[heapq.heappop(self._upcoming)[1]] = None
        changed = self._take_changed(now, customers)
        if changed:
            self.history = self.history.compact(now - COMPACT_AFTER_MS)
        return changed

    def _take_changed(self, now: float, customers: Iterable[int]) -> list[tuple[int, str]]:
        changed = []
        for customer in customers:
            plan = self.plan_of(customer, now)
            if plan is not None and self._reported.get(customer) != plan:
                self._reported[customer] = plan
                changed.append((customer, plan))
        return changed
