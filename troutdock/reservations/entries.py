"""What is known of reservations, as a set of entries that only grows (no I/O).

Theory of operation. A reservation is made, and later extended or released; each of that is an entry with an
identity of its own. All that is known is the union of the entries heard of, in any order and as often as they
come (as with plans/history.py), and what a reservation is follows from it:

    units    those it was made with and those of its extensions
    until    the latest of its own and its extensions'
    over     released: from the earliest release on

An extension or a release that is heard of before its reservation waits for it. The same identity with other
content is a Conflict.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from immutables import Map

MAX_UNITS = 1e9
MAX_TEXT_CHARS = 200  # characters of who and why


class Kind(Enum):
    """What an entry does."""

    RESERVE = "reserve"
    EXTEND = "extend"
    RELEASE = "release"


class ConflictError(ValueError):
    """Two entries of one identity say different things."""


class Entry(NamedTuple):
    """One word on a reservation; times are Unix time in milliseconds.

    id: its own. of: the reservation's, the same as id where it is made. units: kept ahead, or more of them.
    from_ms, until_ms: when they may be used; an extension only moves until, a release ends it at from_ms.
    classes: that may use it, all if empty. first, width, gateways: the customer's set shares it, so many in a
    row from the first, round a fleet that was so large when it was made.
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
    """The entry, if it makes sense; ValueError that names the field if not."""
    if not entry.id or not entry.of or (entry.kind is Kind.RESERVE) != (entry.id == entry.of):
        raise ValueError("id: an entry and its reservation need one each, the same where it is made")
    if not 0 <= entry.units <= MAX_UNITS or (entry.kind is Kind.RESERVE and not entry.units):
        raise ValueError(f"units: {entry.units!r} is nothing that can be reserved")
    if not 0 <= entry.from_ms < float("inf") or not 0 <= entry.until_ms < float("inf"):
        raise ValueError("from_ms, until_ms: no times")
    if entry.kind is Kind.RESERVE and entry.until_ms <= entry.from_ms:
        raise ValueError("until_ms: the window ends before it begins")
    if not 0 <= entry.customer < 2**33:
        raise ValueError(f"customer: {entry.customer!r} is no customer's number")
    if not (1 <= entry.width <= entry.gateways and 0 <= entry.first < entry.gateways):
        raise ValueError("first, width: no set of so many gateways")
    for field in ("id", "of", "who", "why"):
        if len(getattr(entry, field)) > MAX_TEXT_CHARS:
            raise ValueError(f"{field}: longer than {MAX_TEXT_CHARS} characters")
    return entry


class Reservation(NamedTuple):
    """What its entries come to."""

    id: str
    customer: int
    units: float
    from_ms: float
    until_ms: float
    released_ms: float  # when it was released; infinite if it was not
    classes: tuple[str, ...]
    first: int
    width: int
    gateways: int

    @property
    def ends_ms(self) -> float:
        """Nothing of it is honoured from then on."""
        return min(self.until_ms, self.released_ms)

    def is_usable_by(self, cls: str, now: float) -> bool:
        """A request of this class may use it now."""
        return self.from_ms <= now < self.ends_ms and (not self.classes or cls in self.classes)


class Entries:
    """An immutable set of entries; make one with Entries()."""

    __slots__ = ("_by_id", "_of")

    def __init__(
        self, by_id: Map[str, Entry] | None = None, of: Map[str, tuple[Entry, ...]] | None = None
    ) -> None:
        self._by_id: Map[str, Entry] = Map() if by_id is None else by_id
        self._of: Map[str, tuple[Entry, ...]] = Map() if of is None else of

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
        """It is in there, just so."""
        return self._by_id.get(entry.id) == entry

    def for_reservation(self, id: str) -> tuple[Entry, ...]:
        """All entries of a reservation, by identity, also where it has not been heard of itself."""
        return self._of.get(id, ())

    def without(self, ids: Iterable[str]) -> Entries:
        """Without all entries of these reservations."""
        by_id, of = self._by_id.mutate(), self._of.mutate()
        for id in ids:
            for entry in of.pop(id, ()):
                del by_id[entry.id]
        return Entries(by_id.finish(), of.finish())

    def add(self, entries: Iterable[Entry]) -> Entries:
        """With these as well, all or none; Conflict or ValueError names the first bad one."""
        by_id, of = self._by_id.mutate(), self._of.mutate()
        for entry in entries:
            known = by_id.get(entry.id)
            if known == entry:
                continue
            if known is not None:
                raise ConflictError(f"entry {entry.id!r} is known as {known}, and now as {entry}")
            by_id[validate(entry).id] = entry
            of[entry.of] = tuple(sorted((*of.get(entry.of, ()), entry), key=lambda e: e.id))
        return Entries(by_id.finish(), of.finish())

    def get(self, id: str) -> Reservation | None:
        """What the entries of a reservation come to; None: it has not been heard of itself."""
        made = self._by_id.get(id)
        if made is None or made.kind is not Kind.RESERVE:
            return None
        rows = self._of[id]
        more = [e for e in rows if e.kind is Kind.EXTEND]
        released = [e.from_ms for e in rows if e.kind is Kind.RELEASE]
        until_ms = max([made.until_ms, *(e.until_ms for e in more)])
        released_ms = min(released, default=float("inf"))
        return Reservation(
            id,
            made.customer,
            made.units + sum(e.units for e in more),
            made.from_ms,
            until_ms,
            released_ms,
            made.classes,
            made.first,
            made.width,
            made.gateways,
        )

    def reservations(self) -> Iterator[Reservation]:
        """All that were made, by identity."""
        for entry in self:
            if entry.kind is Kind.RESERVE and (found := self.get(entry.id)) is not None:
                yield found
