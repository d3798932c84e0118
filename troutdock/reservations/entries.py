"""Reservations as a grow-only set of entries (no I/O).

Theory of operation. Each creation, extension and release of a reservation is an entry with its own id. The
known state is the union of all received entries, in any order and with any number of duplicates (as in
plans/history.py). The state of a reservation is derived from its entries:

    units        the initial units plus those of its extensions
    until_ms     the latest end among the creation and the extensions
    released_ms  the time of the earliest release

An extension or release that arrives before its reservation has no effect until the reservation arrives. An
entry with a known id and different content raises ConflictError.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from immutables import Map

MAX_UNITS = 1e9
MAX_TEXT_CHARS = 200  # of each text field


class Kind(Enum):
    """Effect of an entry."""

    RESERVE = "reserve"
    EXTEND = "extend"
    RELEASE = "release"


class ConflictError(ValueError):
    """Two entries have the same id and different content."""


class Entry(NamedTuple):
    """One change of a reservation; times are Unix time in milliseconds.

    Attributes:
        id: id of this entry.
        of: id of the reservation; equal to id if the entry creates it.
        units: reserved or additional units.
        from_ms, until_ms: usage window; an extension only moves until_ms, a release ends the window at
            from_ms.
        classes: request classes that may use the reservation; all if empty.
        first, width, gateways: the set of gateways that share the reservation: width consecutive gateways,
            beginning with first and wrapping around at gateways, the size of the fleet at creation.
        who, why: author and reason, for operators.
    """

    id: str
    kind: Kind
    of: str
    customer: int = 0
    units: float = 0.0
    from_ms: float = 0.0
    until_ms: float = 0.0
    classes: tuple[str, ...] = ()
    first: int = 0
    width: int = 1
    gateways: int = 1
    who: str = ""
    why: str = ""


def validate(entry: Entry) -> Entry:
    """Returns the entry; raises ValueError that names the field if it is invalid."""
    if not entry.id or not entry.of or (entry.kind is Kind.RESERVE) != (entry.id == entry.of):
        raise ValueError(
            "id: an entry needs an id and that of its reservation; they are equal only in a creation"
        )
    if not 0 <= entry.units <= MAX_UNITS or (entry.kind is Kind.RESERVE and not entry.units):
        raise ValueError(f"units: {entry.units!r} is not an amount that can be reserved")
    if not 0 <= entry.from_ms < float("inf") or not 0 <= entry.until_ms < float("inf"):
        raise ValueError("from_ms, until_ms: not finite times since 1970")
    if entry.kind is Kind.RESERVE and entry.until_ms <= entry.from_ms:
        raise ValueError("until_ms: the window ends before it begins")
    if not 0 <= entry.customer < 2**33:
        raise ValueError(f"customer: {entry.customer!r} is not a customer number")
    if not (1 <= entry.width <= entry.gateways and 0 <= entry.first < entry.gateways):
        raise ValueError("first, width: not a set within the number of gateways")
    for field in ("id", "of", "who", "why"):
        if len(getattr(entry, field)) > MAX_TEXT_CHARS:
            raise ValueError(f"{field}: longer than {MAX_TEXT_CHARS} characters")
    return entry


class Reservation(NamedTuple):
    """State of a reservation, derived from its entries."""

    id: str
    customer: int
    units: float
    from_ms: float
    until_ms: float
    released_ms: float  # infinite if it was not released
    classes: tuple[str, ...]
    first: int
    width: int
    gateways: int

    @property
    def ends_ms(self) -> float:
        """The time from which the reservation cannot be used any extensions."""
        return min(self.until_ms, self.released_ms)

    def is_usable_by(self, cls: str, now: float) -> bool:
        """Returns whether a request of this class may use it now."""
        return self.from_ms <= now < self.ends_ms and (not self.classes or cls in self.classes)


class Entries:
    """An immutable set of entries; Entries() is the empty set."""

    __slots__ = ("_by_id", "_by_reservation")

    def __init__(
        self, by_id: Map[str, Entry] | None = None, of: Map[str, tuple[Entry, ...]] | None = None
    ) -> None:
        self._by_id: Map[str, Entry] = Map() if by_id is None else by_id
        self._by_reservation: Map[str, tuple[Entry, ...]] = Map() if of is None else of

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Entries) and self._by_id == other._by_id

    def __hash__(self) -> int:
        return hash(self._by_id)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Entry]:
        for id in sorted(self._by_id):
            yield self._by_id[id]

    def contains(self, entry: Entry) -> bool:
        """Returns whether the set has this entry with the same content."""
        return self._by_id.get(entry.id) == entry

    def for_reservation(self, id: str) -> tuple[Entry, ...]:
        """Returns the entries of a reservation, ordered by id, also if its creation is not known."""
        return self._by_reservation.get(id, ())

    def without(self, ids: Iterable[str]) -> Entries:
        """Returns the set without the entries of these reservations."""
        by_id, of = self._by_id.mutate(), self._by_reservation.mutate()
        for id in ids:
            for entry in of.pop(id, ()):
                del by_id[entry.id]
        return Entries(by_id.finish(), of.finish())

    def add(self, entries: Iterable[Entry]) -> Entries:
        """Returns the set with these entries added.

        Raises:
            ConflictError, ValueError: names the first invalid entry; none is added.
        """
        by_id, of = self._by_id.mutate(), self._by_reservation.mutate()
        for entry in entries:
            known = by_id.get(entry.id)
            if known == entry:
                continue
            if known is not None:
                raise ConflictError(f"entry {entry.id!r} is known as {known}; received {entry}")
            by_id[validate(entry).id] = entry
            of[entry.of] = tuple(sorted((*of.get(entry.of, ()), entry), key=lambda e: e.id))
        return Entries(by_id.finish(), of.finish())

    def get(self, id: str) -> Reservation | None:
        """Returns the state of a reservation; None if its creation is not known."""
        creation = self._by_id.get(id)
        if creation is None or creation.kind is not Kind.RESERVE:
            return None
        rows = self._by_reservation[id]
        extensions = [e for e in rows if e.kind is Kind.EXTEND]
        released = [e.from_ms for e in rows if e.kind is Kind.RELEASE]
        until_ms = max([creation.until_ms, *(e.until_ms for e in extensions)])
        released_ms = min(released, default=float("inf"))
        return Reservation(
            id,
            creation.customer,
            creation.units + sum(e.units for e in extensions),
            creation.from_ms,
            until_ms,
            released_ms,
            creation.classes,
            creation.first,
            creation.width,
            creation.gateways,
        )

    def reservations(self) -> Iterator[Reservation]:
        """Returns all created reservations, ordered by id."""
        for entry in self:
            if entry.kind is Kind.RESERVE and (found := self.get(entry.id)) is not None:
                yield found
