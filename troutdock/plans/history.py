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

MOST_TEXT = 200  # characters of who and why: they are for people, and every gateway keeps them


class Conflict(ValueError):
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


def checked(assignment: Assignment) -> Assignment:
    """The assignment, if it makes sense; ValueError that names the field if not."""
    if not 0 <= assignment.valid_from_ms < float("inf"):
        raise ValueError(f"valid_from_ms: {assignment.valid_from_ms!r} is no time")
    if not 0 <= assignment.customer < 2**33:
        raise ValueError(f"customer: {assignment.customer!r} is no customer's number")
    for field in ("id", "plan"):
        if not getattr(assignment, field):
            raise ValueError(f"{field} is missing")
    for field in ("id", "plan", "who", "why"):
        if len(getattr(assignment, field)) > MOST_TEXT:
            raise ValueError(f"{field}: longer than {MOST_TEXT} characters")
    return assignment


class Histories:
    """Every customer's assignments, in the order of their validity; make one with Histories()."""

    __slots__ = ("_of", "_seen")

    def __init__(
        self, of: Map[int, tuple[Assignment, ...]] | None = None, seen: Map[str, Assignment] | None = None
    ) -> None:
        self._of: Map[int, tuple[Assignment, ...]] = Map() if of is None else of
        self._seen: Map[str, Assignment] = Map() if seen is None else seen

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Histories) and self._of == other._of

    def __hash__(self) -> int:
        return hash(self._of)

    def __len__(self) -> int:
        return len(self._seen)

    def __iter__(self) -> Iterator[Assignment]:
        for customer in sorted(self._of):
            yield from self._of[customer]

    def assign(self, assignments: Iterable[Assignment]) -> Histories:
        """The history with these as well, all or none; Conflict or ValueError names the first bad one."""
        of, seen = self._of.mutate(), self._seen.mutate()
        for assignment in assignments:
            known = seen.get(assignment.id)
            if known == assignment:
                continue
            if known is not None:
                raise Conflict(f"assignment {assignment.id!r} is known as {known}, and now as {assignment}")
            seen[checked(assignment).id] = assignment
            row = list(of.get(assignment.customer, ()))
            insort(row, assignment)
            of[assignment.customer] = tuple(row)
        return Histories(of.finish(), seen.finish())

    def knows(self, assignment: Assignment) -> bool:
        """It is in there, just so."""
        return self._seen.get(assignment.id) == assignment

    def merge(self, other: Histories) -> Histories:
        """What either knows; Conflict if they contradict each other."""
        return self.assign(other)

    def of(self, customer: int) -> tuple[Assignment, ...]:
        """A customer's assignments, the first valid first."""
        return self._of.get(customer, ())

    def at(self, customer: int, time_ms: float) -> Assignment | None:
        """The one that holds then; None: no assignment is valid yet, and the request's own word counts."""
        row = self.of(customer)
        place = bisect_right(row, time_ms, key=_valid_from)
        return row[place - 1] if place else None

    def next_after(self, customer: int, time_ms: float) -> Assignment | None:
        """The next change after that time; of several at one moment the one that will hold."""
        row = self.of(customer)
        place = bisect_right(row, time_ms, key=_valid_from)
        return self.at(customer, row[place].valid_from_ms) if place < len(row) else None

    def fold(self, before_ms: float) -> Histories:
        """Without what no longer matters: of those valid before then, only each customer's last is kept.

        One that was folded away is no longer known: should it come again, it is taken and folded anew.
        """
        of, seen = self._of.mutate(), self._seen.mutate()
        for customer, row in self._of.items():
            place = bisect_right(row, before_ms, key=_valid_from) - 1
            if place > 0:
                of[customer] = row[place:]
                for gone in row[:place]:
                    del seen[gone.id]
        return Histories(of.finish(), seen.finish())


def _valid_from(assignment: Assignment) -> float:
    return assignment.valid_from_ms
