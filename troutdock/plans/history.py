"""History of plan assignments that converges on all gateways (no I/O).

Theory of operation. The state is a grow-only set of assignments, and the union of two sets does not depend on
their order (a state-based CRDT: Shapiro et al., "Conflict-free Replicated Data Types", 2011). A customer's
plan at a time is that of the latest assignment valid by then; ties are broken by id:

    assign a            adds a; no effect if it is already known
    assign a'           raises ConflictError if a' has the id of a known a with other content: assignments are
                        immutable
    merge               the union
    compact before t    keeps only the last of a customer's assignments valid before t, as no reader asks for
                        earlier times

A history is immutable, and versions share their common structure: a reader keeps its version.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from immutables import Map

MAX_TEXT_CHARS = 200  # of each text field: every gateway stores them


class ConflictError(ValueError):
    """Two assignments have the same id and different content."""


class Assignment(NamedTuple):
    """Assigns a plan to a customer from valid_from_ms on. Field order makes assignments sort by validity.

    Attributes:
        valid_from_ms: Unix time in milliseconds.
        id: chosen by the creator and never reused.
        customer: the number that requests carry.
        plan: name of the plan.
        who, why: author and reason, for operators.
    """

    valid_from_ms: float
    id: str
    customer: int
    plan: str
    who: str = ""
    why: str = ""


def validate(assignment: Assignment) -> Assignment:
    """Returns the assignment; raises ValueError that names the field if it is invalid."""
    if not 0 <= assignment.valid_from_ms < float("inf"):
        raise ValueError(f"valid_from_ms: {assignment.valid_from_ms!r} is not a valid time")
    if not 0 <= assignment.customer < 2**33:
        raise ValueError(f"customer: {assignment.customer!r} is not a customer number")
    for field in ("id", "plan"):
        if not getattr(assignment, field):
            raise ValueError(f"{field} is missing")
    for field in ("id", "plan", "who", "why"):
        if len(getattr(assignment, field)) > MAX_TEXT_CHARS:
            raise ValueError(f"{field}: longer than {MAX_TEXT_CHARS} characters")
    return assignment


class AssignmentHistory:
    """The assignments of all customers, ordered by validity; AssignmentHistory() is empty."""

    __slots__ = ("_by_customer", "_by_id")

    def __init__(
        self, of: Map[int, tuple[Assignment, ...]] | None = None, by_id: Map[str, Assignment] | None = None
    ) -> None:
        self._by_customer: Map[int, tuple[Assignment, ...]] = Map() if of is None else of
        self._by_id: Map[str, Assignment] = Map() if by_id is None else by_id

    def __eq__(self, other: object) -> bool:
        return isinstance(other, AssignmentHistory) and self._by_customer == other._by_customer

    def __hash__(self) -> int:
        return hash(self._by_customer)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Assignment]:
        for customer in sorted(self._by_customer):
            yield from self._by_customer[customer]

    def assign(self, assignments: Iterable[Assignment]) -> AssignmentHistory:
        """Returns the history with these assignments added.

        Raises:
            ConflictError, ValueError: names the first invalid assignment; none is added.
        """
        of, by_id = self._by_customer.mutate(), self._by_id.mutate()
        for assignment in assignments:
            known = by_id.get(assignment.id)
            if known == assignment:
                continue
            if known is not None:
                raise ConflictError(
                    f"assignment {assignment.id!r} is known as {known}; received {assignment}"
                )
            by_id[validate(assignment).id] = assignment
            row = list(of.get(assignment.customer, ()))
            insort(row, assignment)
            of[assignment.customer] = tuple(row)
        return AssignmentHistory(of.finish(), by_id.finish())

    def contains(self, assignment: Assignment) -> bool:
        """Returns whether the history has this assignment with the same content."""
        return self._by_id.get(assignment.id) == assignment

    def merge(self, other: AssignmentHistory) -> AssignmentHistory:
        """Returns the union; raises ConflictError if the histories contradict each other."""
        return self.assign(other)

    def for_customer(self, customer: int) -> tuple[Assignment, ...]:
        """Returns a customer's assignments, ordered by validity."""
        return self._by_customer.get(customer, ())

    def at(self, customer: int, time_ms: float) -> Assignment | None:
        """Returns the assignment in effect at a time; None if there is none yet."""
        row = self.for_customer(customer)
        index = bisect_right(row, time_ms, key=_valid_from)
        return row[index - 1] if index else None

    def next_after(self, customer: int, time_ms: float) -> Assignment | None:
        """Returns the next assignment after a time; of several valid from one time, the one in effect."""
        row = self.for_customer(customer)
        index = bisect_right(row, time_ms, key=_valid_from)
        return self.at(customer, row[index].valid_from_ms) if index < len(row) else None

    def compact(self, before_ms: float) -> AssignmentHistory:
        """Returns the history with only the last of each customer's assignments valid before a time.

        A removed assignment is no longer known: if it is received again, it is added and removed again.
        """
        of, by_id = self._by_customer.mutate(), self._by_id.mutate()
        for customer, row in self._by_customer.items():
            index = bisect_right(row, before_ms, key=_valid_from) - 1
            if index > 0:
                of[customer] = row[index:]
                for removed in row[:index]:
                    del by_id[removed.id]
        return AssignmentHistory(of.finish(), by_id.finish())


def _valid_from(assignment: Assignment) -> float:
    return assignment.valid_from_ms
