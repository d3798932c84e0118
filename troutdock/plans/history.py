"""Assignments of plans to customers, as a history that every gateway ends with alike (no I/O).

Theory of operation. All that is known is a set of assignments. It only grows, and the union of two sets does
not depend on their order (a state-based CRDT: Shapiro et al., "Conflict-free Replicated Data Types", 2011).
What holds of a customer at a time is the latest assignment that is valid by then, ties broken by identity:

    assign a            the set and a; nothing changes if it is there already
    assign a'           Conflict, if a' has the identity of an a with other content: none ever changes
    merge               the union
    fold before t       of those valid before t only the last one is kept, as no reader asks further back

A history is immutable, and versions share what they have in common: a reader keeps the one it has.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from immutables import Map

MAX_TEXT_CHARS = 200  # characters of who and why: they are for people, and every gateway keeps them


class ConflictError(ValueError):
    """Two assignments of one identity say different things."""


class Assignment(NamedTuple):
    """From valid_from_ms on the customer has the plan; the order of fields is the order of validity.

    valid_from_ms: Unix time in milliseconds. id: its own, given by who made it, never used again.
    customer: the number that requests name. plan: by name. who, why: for people.
    """

    valid_from_ms: float
    id: str
    customer: int
    plan: str
    who: str = ""
    why: str = ""


def validate(assignment: Assignment) -> Assignment:
    """The assignment, if it makes sense; ValueError that names the field if not."""
    if not 0 <= assignment.valid_from_ms < float("inf"):
        raise ValueError(f"valid_from_ms: {assignment.valid_from_ms!r} is no time")
    if not 0 <= assignment.customer < 2**33:
        raise ValueError(f"customer: {assignment.customer!r} is no customer's number")
    for field in ("id", "plan"):
        if not getattr(assignment, field):
            raise ValueError(f"{field} is missing")
    for field in ("id", "plan", "who", "why"):
        if len(getattr(assignment, field)) > MAX_TEXT_CHARS:
            raise ValueError(f"{field}: longer than {MAX_TEXT_CHARS} characters")
    return assignment


class AssignmentHistory:
    """Every customer's assignments, in the order of their validity; make one with Histories()."""

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
        """The history with these as well, all or none; Conflict or ValueError names the first bad one."""
        of, by_id = self._by_customer.mutate(), self._by_id.mutate()
        for assignment in assignments:
            known = by_id.get(assignment.id)
            if known == assignment:
                continue
            if known is not None:
                raise ConflictError(
                    f"assignment {assignment.id!r} is known as {known}, and now as {assignment}"
                )
            by_id[validate(assignment).id] = assignment
            row = list(of.get(assignment.customer, ()))
            insort(row, assignment)
            of[assignment.customer] = tuple(row)
        return AssignmentHistory(of.finish(), by_id.finish())

    def contains(self, assignment: Assignment) -> bool:
        """It is in there, just so."""
        return self._by_id.get(assignment.id) == assignment

    def merge(self, other: AssignmentHistory) -> AssignmentHistory:
        """What either knows; Conflict if they contradict each other."""
        return self.assign(other)

    def for_customer(self, customer: int) -> tuple[Assignment, ...]:
        """A customer's assignments, the first valid first."""
        return self._by_customer.get(customer, ())

    def at(self, customer: int, time_ms: float) -> Assignment | None:
        """The one that holds then; None: no assignment is valid yet, and the request's own word counts."""
        row = self.for_customer(customer)
        index = bisect_right(row, time_ms, key=_valid_from)
        return row[index - 1] if index else None

    def next_after(self, customer: int, time_ms: float) -> Assignment | None:
        """The next change after that time; of several at one moment the one that will hold."""
        row = self.for_customer(customer)
        index = bisect_right(row, time_ms, key=_valid_from)
        return self.at(customer, row[index].valid_from_ms) if index < len(row) else None

    def compact(self, before_ms: float) -> AssignmentHistory:
        """Without what no longer matters: of those valid before then, only each customer's last is kept.

        One that was folded away is no longer known: should it come again, it is taken and folded anew.
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
