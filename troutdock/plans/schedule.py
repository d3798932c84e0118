"""The plan of each customer now, and the changes that are due (no I/O, no clock).

Theory of operation. The state is a grow-only history (history.py). Assignments from a file or a management
call are merged into it, in any order and with any number of duplicates. The plan reported last is kept for
each customer, so that a change is reported once:

    add         merges; reports customers whose plan changes now, and keeps later changes for take_due
    take_due    reports the changes whose time has come
    plan_of     the plan in effect now, for a request

All times are Unix time in milliseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from math import inf

from troutdock.plans.history import Assignment, AssignmentHistory

COMPACT_AFTER_MS = 3_600_000.0  # superseded assignments are dropped after this time


class PlanSchedule:
    """The assignments known to one ingress."""

    def __init__(self) -> None:
        self.history = AssignmentHistory()
        self._upcoming: list[tuple[float, int]] = []  # heap of time and customer
        self._reported: dict[int, str] = {}  # the plan reported last, by customer

    def plan_of(self, customer: int, now: float) -> str | None:
        """Returns the plan's name; None if no assignment is valid yet and the request names the plan."""
        assignment = self.history.at(customer, now)
        return None if assignment is None else assignment.plan

    def add(self, now: float, assignments: Iterable[Assignment]) -> list[tuple[int, str]]:
        """Adds assignments and returns the customers whose plan changes now, with the plan.

        Raises:
            ConflictError, ValueError: names the first invalid assignment; none is added.
        """
        new_assignments = [a for a in assignments if not self.history.contains(a)]
        self.history = self.history.assign(new_assignments)
        for assignment in new_assignments:
            if assignment.valid_from_ms > now:
                heapq.heappush(self._upcoming, (assignment.valid_from_ms, assignment.customer))
        return self._take_changed(now, dict.fromkeys(a.customer for a in new_assignments))

    @property
    def next_change_at(self) -> float:
        """Time of the next change; infinite if none is known."""
        return self._upcoming[0][0] if self._upcoming else inf

    def take_due(self, now: float) -> list[tuple[int, str]]:
        """Returns the customers whose plan has changed by now, with the plan."""
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
