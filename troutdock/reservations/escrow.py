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

MILLIUNITS_PER_UNIT = 1000  # parts of a unit
MIN_REQUEST_INTERVAL_MS, MAX_REQUEST_INTERVAL_MS = (
    60.0,
    3840.0,
)  # between questions: a datagram's way twice; doubled after VAIN
REQUESTS_BEFORE_BACKOFF = 3  # questions, or all others once: a third of the datagrams may be lost
PREFETCH_REQUESTS = (
    4  # requests' worth that a gateway likes to have, so that a gift is there before it is missing
)
TRANSFER_FRACTION = 0.5  # of what is free: the giver may need the rest
FREE_DIVISOR, MIN_FREE_MILLIUNITS = (
    8,
    20 * MILLIUNITS_PER_UNIT,
)  # how much of a part is free after a save: a death loses as much at most
PREPARE_AHEAD_MS = (
    5000.0  # a window so near has its part drawn: a save takes milliseconds, unless the disk is ill
)
MAX_TRANSFER_MILLIUNITS = 0xFFFFFFFF  # parts, as a message has room for: 4 million units


@dataclass(frozen=True, slots=True)
class TransferRequest:
    """To a gateway: so many thousandths of a unit are missing here.

    life: of who asks. got: the number of the last gift that came from there, 0 for none.
    """

    to: int
    reservation: str
    missing: int
    incarnation: int = 0
    last_received: int = 0


@dataclass(frozen=True, slots=True)
class Transfer:
    """To a gateway: these are its own now.

    number: the giver's, a higher one for each gift. life: of who had asked; a later one does not take it.
    """

    to: int
    reservation: str
    milliunits: int
    number: int
    incarnation: int = 0


@dataclass(slots=True)
class Part:
    """A gateway's part of one reservation, in thousandths of a unit."""

    remaining: int = 0
    used: int = 0
    debt: int = 0  # of requests that cost more than was free: taken as soon as it is
    persisted: int = 0
    being_saved: int = -1  # what the save under way says; -1: none is
    last_request_at: float = -inf
    request_interval_ms: float = MIN_REQUEST_INTERVAL_MS
    last_peer_offset: int = 0  # which of the others is asked next
    unanswered_requests: int = 0  # questions since the last gift
    counted_entries: dict[str, None] = field(default_factory=dict)  # entries whose units are in it
    last_sent: dict[int, Transfer] = field(default_factory=dict)  # the last one to each gateway
    last_received: dict[int, int] = field(default_factory=dict)  # by giver: the number of the last gift

    @property
    def free(self) -> int:
        """What may be used or given before the next save."""
        return max(0, self.remaining - max(self.persisted, self.being_saved))

    @property
    def free_target(self) -> int:
        """What is to be free after a save."""
        return min(self.remaining, max(MIN_FREE_MILLIUNITS, self.remaining // FREE_DIVISOR) + self.debt)

    def settle_debt(self) -> None:
        """Take what is owed, as far as it is free."""
        milliunits = min(self.debt, self.free)
        self.debt -= milliunits
        self.remaining -= milliunits
        self.used += milliunits


SavedParts = dict[
    str, tuple[int, tuple[str, ...]]
]  # by reservation: what is safe, and entries that are counted


def even_part(entry: Entry, index: int) -> int:
    """What a gateway has of an entry's units: none outside the set, and the first ones have the rest."""
    position = (index - entry.first) % entry.gateways
    if position >= entry.width or index >= entry.gateways:
        return 0
    total = floor(entry.units * MILLIUNITS_PER_UNIT)
    return total // entry.width + (position < total % entry.width)


class Escrow:
    """One gateway's parts of all reservations."""

    def __init__(
        self, index: int, incarnation: int = 0, transfer_number_base: int = 0, saved: SavedParts | None = None
    ) -> None:
        """life: this start's, another one each time. numbers: of gifts, beyond those of an earlier life.

        saved: what the last save of an earlier life says.
        """
        self._index, self._incarnation = index, incarnation
        self.entries = Entries()
        self._saved_rows: SavedParts = dict(saved or {})  # what a save says of parts that nothing has touched
        self.parts: dict[str, Part] = {
            id: Part(persisted, persisted=persisted, counted_entries=dict.fromkeys(counted))
            for id, (persisted, counted) in self._saved_rows.items()
        }
        self._dirty: dict[str, None] = {}  # parts that a save is to look at
        self._parts_being_saved: tuple[str, ...] = ()  # those that the save under way did
        self._active: dict[int, list[Reservation]] = {}  # by customer, the one that ends first leads
        self._upcoming: list[tuple[float, str]] = []  # windows that are to begin: a heap
        self._last_transfer_number = transfer_number_base
        self.save_needed = False  # a save would free what is asked for

    def add_entries(self, entries: Iterable[Entry]) -> list[str]:
        """Entries that were heard of; all or none, ValueError names the first bad one.

        Gives the identities of reservations that were not known.
        """
        new_entries = [e for e in entries if not self.entries.contains(e)]
        self.entries = self.entries.add(new_entries)
        found, updated = [], dict[int, dict[str, None]]()  # customers and their reservations that have news
        for entry in new_entries:
            if entry.kind is Kind.RESERVE:
                heappush(self._upcoming, (entry.from_ms - PREPARE_AHEAD_MS, entry.id))
                found.append(entry.id)
            current = self.entries.get(entry.of)
            if current is None:
                continue  # an extension that came before its reservation
            updated.setdefault(current.customer, {})[current.id] = None
            part = self.parts.setdefault(entry.of, Part())
            self._dirty[entry.of] = None
            for known in self.entries.for_reservation(entry.of):
                if known.id not in part.counted_entries and known.kind is not Kind.RELEASE:
                    part.counted_entries[known.id] = None
                    placed = known._replace(
                        first=current.first, width=current.width, gateways=current.gateways
                    )
                    share = even_part(placed, self._index)
                    part.remaining += share
                    part.persisted += share  # no save knows of it: a restart would count it anew
                    part.being_saved += share if part.being_saved >= 0 else 0
        for customer, ids in updated.items():
            ids.update(dict.fromkeys(r.id for r in self._active.get(customer, ())))
            rows = [current for id in ids if (current := self.entries.get(id)) is not None]
            self._active[customer] = sorted(rows, key=lambda r: (r.ends_ms, r.id))
        return found

    def forget(self, reservations: Iterable[str]) -> None:
        """They are over and no file has them any more: forget all of them."""
        gone = dict.fromkeys(reservations)
        for id in gone:
            self.parts.pop(id, None)
            self._saved_rows.pop(id, None)
            self._dirty.pop(id, None)
        self.entries = self.entries.without(gone)
        self._active = {c: [r for r in rows if r.id not in gone] for c, rows in self._active.items()}

    def has_reservation(self, customer: int) -> bool:
        """It has a reservation that is not over, or was not when it was last asked for."""
        return bool(self._active.get(customer))

    def usable_parts(self, customer: int, cls: str, now: float) -> Iterator[tuple[Reservation, Part]]:
        """What a request may use now, the one that ends first before the others."""
        rows = self._active.get(customer, [])
        if rows and rows[0].ends_ms <= now:
            rows = self._active[customer] = [r for r in rows if r.ends_ms > now]
        for reservation in rows:
            if reservation.is_usable_by(cls, now):
                yield reservation, self.parts[reservation.id]

    def consume(self, customer: int, cls: str, units: float, now: float) -> str | None:
        """Take a request's units off one reservation: its identity, or None if none has them here."""
        need = ceil(units * MILLIUNITS_PER_UNIT)
        for reservation, part in self.usable_parts(customer, cls, now):
            if part.free >= need:
                self._deduct(reservation.id, part, need)
                part.used += need
                return reservation.id
            self.save_needed = self.save_needed or part.remaining >= need
        return None

    def _deduct(self, id: str, part: Part, milliunits: int) -> None:
        part.remaining -= milliunits
        self._dirty[id] = None
        if part.free < part.free_target // 2:
            self.save_needed = True

    def settle(self, reservation: str, units: float) -> None:
        """The true units of a request were so many more than its guess, below nought less.

        What is not free is owed; what is not there at all is never taken.
        """
        part = self.parts.get(reservation)
        if part is not None:
            balance = round(units * MILLIUNITS_PER_UNIT) + part.debt
            part.debt = max(0, balance)
            part.settle_debt()
            refund = min(part.used, max(0, -balance))
            part.used -= refund
            self._deduct(reservation, part, -refund)

    # ---- among gateways

    def request_transfer(self, customer: int, cls: str, units: float, now: float) -> TransferRequest | None:
        """Whom to ask for units that are missing here, or will be soon; None: nobody, or it is too soon."""
        need = ceil(units * MILLIUNITS_PER_UNIT)
        for reservation, part in self.usable_parts(customer, cls, now):
            if (
                reservation.width > 1
                and part.remaining < need * PREFETCH_REQUESTS
                and now - part.last_request_at >= part.request_interval_ms
            ):
                part.last_request_at, part.unanswered_requests = now, part.unanswered_requests + 1
                if part.unanswered_requests % max(REQUESTS_BEFORE_BACKOFF, reservation.width - 1) == 0:
                    part.request_interval_ms = min(MAX_REQUEST_INTERVAL_MS, 2 * part.request_interval_ms)
                part.last_peer_offset = part.last_peer_offset % (reservation.width - 1) + 1
                position = (self._index - reservation.first) % reservation.gateways
                to = (
                    reservation.first + (position + part.last_peer_offset) % reservation.width
                ) % reservation.gateways
                missing = need - part.remaining if part.remaining < need else need
                return TransferRequest(
                    to, reservation.id, missing, self._incarnation, part.last_received.get(to, 0)
                )
        return None

    def handle_request(self, sender: int, ask: TransferRequest, now: float) -> Transfer | None:
        """What is given: half of what is free, as much as is missing at least where that is less."""
        part, current = self.parts.get(ask.reservation), self.entries.get(ask.reservation)
        if part is None or current is None or not current.from_ms <= now < current.ends_ms:
            return None
        previous = part.last_sent.get(sender)
        if (
            previous is not None
            and previous.incarnation == ask.incarnation
            and previous.number > ask.last_received
        ):
            return previous
        milliunits = min(
            part.free, MAX_TRANSFER_MILLIUNITS, max(ask.missing, floor(part.free * TRANSFER_FRACTION))
        )
        if milliunits <= 0 or milliunits < ask.missing:
            self.save_needed = self.save_needed or part.remaining >= ask.missing
            return None
        self._deduct(ask.reservation, part, milliunits)
        self._last_transfer_number += 1
        part.last_sent[sender] = Transfer(
            sender, ask.reservation, milliunits, self._last_transfer_number, ask.incarnation
        )
        return part.last_sent[sender]

    def accept_transfer(self, sender: int, give: Transfer) -> bool:
        """Take a gift in, once; false if it was there already or means nothing here."""
        part = self.parts.get(give.reservation)
        if part is None or give.milliunits <= 0 or give.incarnation != self._incarnation:
            return False
        if give.number <= part.last_received.get(sender, 0):
            return False
        part.last_received[sender] = give.number
        part.remaining += give.milliunits
        part.settle_debt()
        part.last_request_at, part.request_interval_ms, part.unanswered_requests = (
            -inf,
            MIN_REQUEST_INTERVAL_MS,
            0,
        )
        return True

    # ---- with its own disk

    def save_due(self, now: float) -> bool:
        """A save would free something that is wanted now or soon."""
        while self._upcoming and self._upcoming[0][0] <= now:
            _, id = heappop(self._upcoming)
            self._dirty[id] = None
            self.save_needed = True
        return self.save_needed

    def begin_save(self, now: float, close: bool = False) -> SavedParts:
        """What a save is to say; drawn follows. close: nothing is used after this, so all is safe."""
        ids = tuple(id for id in (self.parts if close else self._dirty) if id in self.parts)
        for id in ids:
            part, current = self.parts[id], self.entries.get(id)
            is_near = current is not None and current.from_ms - PREPARE_AHEAD_MS <= now < current.ends_ms
            part.being_saved = part.remaining if close or not is_near else part.remaining - part.free_target
            self._saved_rows[id] = (part.being_saved, tuple(part.counted_entries))
        self._parts_being_saved, self._dirty, self.save_needed = ids, {}, False
        return dict(self._saved_rows)

    def finish_save(self, good: bool) -> None:
        """The save has ended; one that failed may be on disk or not."""
        for id in self._parts_being_saved:
            if (part := self.parts.get(id)) is not None:
                part.persisted = part.being_saved if good else max(part.persisted, part.being_saved)
                part.being_saved = -1
                part.settle_debt()
                if not good:
                    self._dirty[id] = None
        self._parts_being_saved = ()
