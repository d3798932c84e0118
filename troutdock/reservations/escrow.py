"""Which part of a reservation a gateway may use: all together no more than was reserved (no I/O).

Theory of operation. The units of a reservation are cut evenly among the gateways of its customer's set,
each of which may use its own part without asking (escrow: O'Neil, "The Escrow Transactional Method", 1986).
A gateway that runs short asks another, which takes what it gives off its own part before it says so:

    own part   even, from the moment that the reservation is heard of; extensions add theirs
    used       by requests, the reservation that ends first before the others
    given      off the giver at once, on the taker's when the word arrives; one that comes twice counts once.
               A question says which gift came last: one that did not arrive is sent again, not another one

So that a death doubles nothing and loses little, a part is in escrow with the gateway's own disk as well:

    safe       a restart finds so much of the part: what the last save says, and all that no save knows yet
    free       left - safe: what may be used or given before the next save
    writing    a save under way: as long as nobody knows whether it is on disk, both its word and the one
               before it hold, so free is what both leave

A save lowers safe, so that there is something free: a DRAWN-th of the part, or LEAST where that is more. A
death loses what was free and not used. Nothing is free before a reservation's window is near.

Rules. What is under way counts for nobody, so the sum over all gateways only falls: nothing is honoured
twice, whatever is lost, late, doubled, cut off or killed. No clocks are compared: what was asked for after
the end is not honoured by who thinks that it has ended, and units are used once all the same.

Parts are whole thousandths of a unit, so that sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import ceil, floor, inf

from troutdock.reservations.entries import Entries, Entry, Kind, Reservation

MILLI = 1000  # parts of a unit
ASK_MS, ASK_MOST_MS = 60.0, 3840.0  # between questions: a datagram's way twice; doubled after VAIN
VAIN = 3  # questions, or all others once: a third of the datagrams may be lost
AHEAD = 4  # requests' worth that a gateway likes to have, so that a gift is there before it is missing
GIVES = 0.5  # of what is free: the giver may need the rest
DRAWN, LEAST = 8, 20 * MILLI  # how much of a part is free after a save: a death loses as much at most
SOON_MS = 5000.0  # a window so near has its part drawn: a save takes milliseconds, unless the disk is ill
MOST_GIFT = 0xFFFFFFFF  # parts, as a message has room for: 4 million units


@dataclass(frozen=True, slots=True)
class Ask:
    """To a gateway: so many thousandths of a unit are missing here.

    life: of who asks. got: the number of the last gift that came from there, 0 for none.
    """

    to: int
    reservation: str
    missing: int
    life: int = 0
    got: int = 0


@dataclass(frozen=True, slots=True)
class Give:
    """To a gateway: these are its own now.

    number: the giver's, a higher one for each gift. life: of who had asked; a later one does not take it.
    """

    to: int
    reservation: str
    parts: int
    number: int
    life: int = 0


@dataclass(slots=True)
class Part:
    """A gateway's part of one reservation, in thousandths of a unit."""

    left: int = 0
    used: int = 0
    owed: int = 0  # of requests that cost more than was free: taken as soon as it is
    safe: int = 0
    writing: int = -1  # what the save under way says; -1: none is
    asked_at: float = -inf
    pause_ms: float = ASK_MS
    turn: int = 0  # which of the others is asked next
    vain: int = 0  # questions since the last gift
    counted: dict[str, None] = field(default_factory=dict)  # entries whose units are in it
    gifts: dict[int, Give] = field(default_factory=dict)  # the last one to each gateway
    got: dict[int, int] = field(default_factory=dict)  # by giver: the number of the last gift

    @property
    def free(self) -> int:
        """What may be used or given before the next save."""
        return max(0, self.left - max(self.safe, self.writing))

    @property
    def target(self) -> int:
        """What is to be free after a save."""
        return min(self.left, max(LEAST, self.left // DRAWN) + self.owed)

    def pay(self) -> None:
        """Take what is owed, as far as it is free."""
        parts = min(self.owed, self.free)
        self.owed -= parts
        self.left -= parts
        self.used += parts


Saved = dict[str, tuple[int, tuple[str, ...]]]  # by reservation: what is safe, and entries that are counted


def even_part(entry: Entry, index: int) -> int:
    """What a gateway has of an entry's units: none outside the set, and the first ones have the rest."""
    place = (index - entry.first) % entry.gateways
    if place >= entry.width or index >= entry.gateways:
        return 0
    whole = floor(entry.units * MILLI)
    return whole // entry.width + (place < whole % entry.width)


class Escrow:
    """One gateway's parts of all reservations."""

    def __init__(self, index: int, life: int = 0, numbers: int = 0, saved: Saved | None = None) -> None:
        """life: this start's, another one each time. numbers: of gifts, beyond those of an earlier life.

        saved: what the last save of an earlier life says.
        """
        self._index, self._life = index, life
        self.entries = Entries()
        self._rows: Saved = dict(saved or {})  # what a save says of parts that nothing has touched
        self.parts: dict[str, Part] = {
            id: Part(safe, safe=safe, counted=dict.fromkeys(counted))
            for id, (safe, counted) in self._rows.items()
        }
        self._touched: dict[str, None] = {}  # parts that a save is to look at
        self._drawn: tuple[str, ...] = ()  # those that the save under way did
        self._live: dict[int, list[Reservation]] = {}  # by customer, the one that ends first leads
        self._begins: list[tuple[float, str]] = []  # windows that are to begin: a heap
        self._number = numbers
        self.short = False  # a save would free what is asked for

    def learn(self, entries: Iterable[Entry]) -> list[str]:
        """Entries that were heard of; all or none, ValueError names the first bad one.

        Gives the identities of reservations that were not known.
        """
        news = [e for e in entries if not self.entries.knows(e)]
        self.entries = self.entries.add(news)
        found, whose = [], dict[int, dict[str, None]]()  # customers and their reservations that have news
        for entry in news:
            if entry.kind is Kind.RESERVE:
                heappush(self._begins, (entry.from_ms - SOON_MS, entry.id))
                found.append(entry.id)
            made = self.entries.get(entry.of)
            if made is None:
                continue  # an extension that came before its reservation
            whose.setdefault(made.customer, {})[made.id] = None
            part = self.parts.setdefault(entry.of, Part())
            self._touched[entry.of] = None
            for known in self.entries.of(entry.of):
                if known.id not in part.counted and known.kind is not Kind.RELEASE:
                    part.counted[known.id] = None
                    placed = known._replace(first=made.first, width=made.width, gateways=made.gateways)
                    share = even_part(placed, self._index)
                    part.left += share
                    part.safe += share  # no save knows of it: a restart would count it anew
                    part.writing += share if part.writing >= 0 else 0
        for customer, ids in whose.items():
            ids.update(dict.fromkeys(r.id for r in self._live.get(customer, ())))
            rows = [made for id in ids if (made := self.entries.get(id)) is not None]
            self._live[customer] = sorted(rows, key=lambda r: (r.ends_ms, r.id))
        return found

    def drop(self, reservations: Iterable[str]) -> None:
        """They are over and no file has them any more: forget all of them."""
        gone = dict.fromkeys(reservations)
        for id in gone:
            self.parts.pop(id, None)
            self._rows.pop(id, None)
            self._touched.pop(id, None)
        self.entries = self.entries.without(gone)
        self._live = {c: [r for r in rows if r.id not in gone] for c, rows in self._live.items()}

    def concerns(self, customer: int) -> bool:
        """It has a reservation that is not over, or was not when it was last asked for."""
        return bool(self._live.get(customer))

    def serving(self, customer: int, cls: str, now: float) -> Iterator[tuple[Reservation, Part]]:
        """What a request may use now, the one that ends first before the others."""
        rows = self._live.get(customer, [])
        if rows and rows[0].ends_ms <= now:
            rows = self._live[customer] = [r for r in rows if r.ends_ms > now]
        for reservation in rows:
            if reservation.serves(cls, now):
                yield reservation, self.parts[reservation.id]

    def use(self, customer: int, cls: str, units: float, now: float) -> str | None:
        """Take a request's units off one reservation: its identity, or None if none has them here."""
        need = ceil(units * MILLI)
        for reservation, part in self.serving(customer, cls, now):
            if part.free >= need:
                self._take(reservation.id, part, need)
                part.used += need
                return reservation.id
            self.short = self.short or part.left >= need
        return None

    def _take(self, id: str, part: Part, parts: int) -> None:
        part.left -= parts
        self._touched[id] = None
        if part.free < part.target // 2:
            self.short = True

    def settle(self, reservation: str, units: float) -> None:
        """The true units of a request were so many more than its guess, below nought less.

        What is not free is owed; what is not there at all is never taken.
        """
        part = self.parts.get(reservation)
        if part is not None:
            more = round(units * MILLI) + part.owed
            part.owed = max(0, more)
            part.pay()
            back = min(part.used, max(0, -more))
            part.used -= back
            self._take(reservation, part, -back)

    # ---- among gateways

    def ask(self, customer: int, cls: str, units: float, now: float) -> Ask | None:
        """Whom to ask for units that are missing here, or will be soon; None: nobody, or it is too soon."""
        need = ceil(units * MILLI)
        for reservation, part in self.serving(customer, cls, now):
            if reservation.width > 1 and part.left < need * AHEAD and now - part.asked_at >= part.pause_ms:
                part.asked_at, part.vain = now, part.vain + 1
                if part.vain % max(VAIN, reservation.width - 1) == 0:
                    part.pause_ms = min(ASK_MOST_MS, 2 * part.pause_ms)
                part.turn = part.turn % (reservation.width - 1) + 1
                place = (self._index - reservation.first) % reservation.gateways
                to = (reservation.first + (place + part.turn) % reservation.width) % reservation.gateways
                missing = need - part.left if part.left < need else need
                return Ask(to, reservation.id, missing, self._life, part.got.get(to, 0))
        return None

    def asked(self, sender: int, ask: Ask, now: float) -> Give | None:
        """What is given: half of what is free, as much as is missing at least where that is less."""
        part, made = self.parts.get(ask.reservation), self.entries.get(ask.reservation)
        if part is None or made is None or not made.from_ms <= now < made.ends_ms:
            return None
        before = part.gifts.get(sender)
        if before is not None and before.life == ask.life and before.number > ask.got:
            return before
        parts = min(part.free, MOST_GIFT, max(ask.missing, floor(part.free * GIVES)))
        if parts <= 0 or parts < ask.missing:
            self.short = self.short or part.left >= ask.missing
            return None
        self._take(ask.reservation, part, parts)
        self._number += 1
        part.gifts[sender] = Give(sender, ask.reservation, parts, self._number, ask.life)
        return part.gifts[sender]

    def given(self, sender: int, give: Give) -> bool:
        """Take a gift in, once; false if it was there already or means nothing here."""
        part = self.parts.get(give.reservation)
        if part is None or give.parts <= 0 or give.life != self._life:
            return False
        if give.number <= part.got.get(sender, 0):
            return False
        part.got[sender] = give.number
        part.left += give.parts
        part.pay()
        part.asked_at, part.pause_ms, part.vain = -inf, ASK_MS, 0
        return True

    # ---- with its own disk

    def due(self, now: float) -> bool:
        """A save would free something that is wanted now or soon."""
        while self._begins and self._begins[0][0] <= now:
            _, id = heappop(self._begins)
            self._touched[id] = None
            self.short = True
        return self.short

    def draw(self, now: float, close: bool = False) -> Saved:
        """What a save is to say; drawn follows. close: nothing is used after this, so all is safe."""
        ids = tuple(id for id in (self.parts if close else self._touched) if id in self.parts)
        for id in ids:
            part, made = self.parts[id], self.entries.get(id)
            near = made is not None and made.from_ms - SOON_MS <= now < made.ends_ms
            part.writing = part.left if close or not near else part.left - part.target
            self._rows[id] = (part.writing, tuple(part.counted))
        self._drawn, self._touched, self.short = ids, {}, False
        return dict(self._rows)

    def drawn(self, good: bool) -> None:
        """The save has ended; one that failed may be on disk or not."""
        for id in self._drawn:
            if (part := self.parts.get(id)) is not None:
                part.safe = part.writing if good else max(part.safe, part.writing)
                part.writing = -1
                part.pay()
                if not good:
                    self._touched[id] = None
        self._drawn = ()
