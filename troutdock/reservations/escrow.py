"""The part of each reservation that a gateway may use; the parts never exceed the reserved units (no I/O).

Theory of operation. The units of a reservation are divided evenly among the gateways of its customer's set.
Each gateway may use its own part without asking the others (escrow: O'Neil, "The Escrow Transactional
Method", 1986). A gateway that runs short requests a transfer from another one, which deducts the units from
its own part before it sends them:

    initial part   the even share, from the time the reservation becomes known; extensions add theirs
    used           consumed by requests; the reservation that ends first is used first
    transferred    deducted at the sender at once and added at the receiver on arrival; a duplicate is
                   ignored. A request names the last transfer received: a transfer that was lost is sent again
                   instead of a new one

So that a crash duplicates nothing and loses little, the part is also in escrow with the gateway's own disk:

    persisted      what a restart restores of the part: the value of the last save, plus shares that no save
                   covers
    free           remaining - persisted: what may be used or transferred before the next save
    being_saved    the value of a save in progress. Until its result is known, both this value and the
                   previous one may be on disk, so free is computed with the larger of the two

A save lowers the persisted value to make units free: 1/FREE_DIVISOR of the part, or MIN_FREE_MILLIUNITS if
that is more. A crash loses the units that were free and unused. Nothing is free until shortly before the
reservation's window.

Invariants. Units in transit count for no gateway, so the sum over all gateways only decreases: no unit is
used twice under lost, late or duplicated messages, partitions or crashes. Clocks are not compared: a gateway
rejects a request after the end by its own clock, and each unit is used at most once regardless.

Parts are whole thousandths of a unit (milliunits), so that sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import ceil, floor, inf

from troutdock.reservations.entries import Entries, Entry, Kind, Reservation

MILLIUNITS_PER_UNIT = 1000
# Between transfer requests: the round trip of a datagram; doubled after REQUESTS_BEFORE_BACKOFF requests.
MIN_REQUEST_INTERVAL_MS, MAX_REQUEST_INTERVAL_MS = 60.0, 3840.0
REQUESTS_BEFORE_BACKOFF = 3  # or one to each other gateway if that is more: a third of datagrams may be lost
# A transfer is requested below the units of this many requests, so that it arrives before they are needed.
PREFETCH_REQUESTS = 4
TRANSFER_FRACTION = 0.5  # of the free units; the sender may needed the rest
# Units free after a save: an eighth of the part, at least 20 units. A crash loses at most this much.
FREE_DIVISOR, MIN_FREE_MILLIUNITS = 8, 20 * MILLIUNITS_PER_UNIT
# Units become free this long before the window. A save takes milliseconds unless the disk has a fault.
PREPARE_AHEAD_MS = 5000.0
MAX_TRANSFER_MILLIUNITS = 0xFFFFFFFF  # limit of the message field (u32): 4 million units


@dataclass(frozen=True, slots=True)
class TransferRequest:
    """A request to another gateway for units.

    Attributes:
        to: index of the gateway that is asked.
        missing: milliunits needed.
        incarnation: incarnation of the requesting gateway.
        last_received: number of the last transfer received from that gateway; 0: none.
    """

    to: int
    reservation: str
    missing: int
    incarnation: int = 0
    last_received: int = 0


@dataclass(frozen=True, slots=True)
class Transfer:
    """Units handed over to another gateway.

    Attributes:
        to: index of the receiving gateway.
        milliunits: amount.
        number: increases with each transfer of the sender.
        incarnation: incarnation of the gateway that requested it; a later one rejects the transfer.
    """

    to: int
    reservation: str
    milliunits: int
    number: int
    incarnation: int = 0


@dataclass(slots=True)
class Part:
    """A gateway's part of one reservation, in milliunits."""

    remaining: int = 0
    used: int = 0
    debt: int = 0  # cost of requests beyond the free units; deducted once units become free
    persisted: int = 0
    being_saved: int = -1  # value of the save in progress; -1: none
    last_request_at: float = -inf
    request_interval_ms: float = MIN_REQUEST_INTERVAL_MS
    last_peer_offset: int = 0  # offset in the set of the gateway asked last
    unanswered_requests: int = 0  # requests since the last transfer received
    counted_entries: dict[str, None] = field(default_factory=dict)  # entries whose units are included
    last_sent: dict[int, Transfer] = field(default_factory=dict)  # last transfer, by receiving gateway
    last_received: dict[int, int] = field(default_factory=dict)  # number of the last transfer, by sender

    @property
    def free(self) -> int:
        """Milliunits that may be used or transferred before the next save."""
        return max(0, self.remaining - max(self.persisted, self.being_saved))

    @property
    def free_target(self) -> int:
        """Milliunits that should be free after a save."""
        return min(self.remaining, max(MIN_FREE_MILLIUNITS, self.remaining // FREE_DIVISOR) + self.debt)

    def settle_debt(self) -> None:
        """Deducts the debt as far as units are free."""
        milliunits = min(self.debt, self.free)
        self.debt -= milliunits
        self.remaining -= milliunits
        self.used += milliunits


# By reservation: persisted milliunits, and the ids of the entries that are included.
SavedParts = dict[str, tuple[int, tuple[str, ...]]]


def even_part(entry: Entry, index: int) -> int:
    """Returns a gateway's even share of an entry's units in milliunits; 0 outside the set.

    The first gateways of the set get the remainder.
    """
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
        """Initializes the parts of one gateway.

        Args:
            index: of this gateway.
            incarnation: identifies this start of the process; unique for each start.
            transfer_number_base: higher than the transfer numbers of earlier incarnations.
            saved: the last save of an earlier incarnation.
        """
        self._index, self._incarnation = index, incarnation
        self.entries = Entries()
        self._saved_rows: SavedParts = dict(saved or {})  # last saved value of each part
        self.parts: dict[str, Part] = {
            id: Part(persisted, persisted=persisted, counted_entries=dict.fromkeys(counted))
            for id, (persisted, counted) in self._saved_rows.items()
        }
        self._dirty: dict[str, None] = {}  # reservations whose parts the next save updates
        self._parts_being_saved: tuple[str, ...] = ()  # reservations whose parts the save in progress updates
        self._active: dict[int, list[Reservation]] = {}  # by customer, ordered by end
        self._upcoming: list[tuple[float, str]] = []  # heap: when to prepare a window, reservation
        self._last_transfer_number = transfer_number_base
        self.save_needed = False  # a save would free units that are wanted

    def add_entries(self, entries: Iterable[Entry]) -> list[str]:
        """Adds entries and the shares that follow from them.

        Returns:
            The ids of reservations that were not known.

        Raises:
            ValueError: names the first invalid entry; none is added.
        """
        new_entries = [e for e in entries if not self.entries.contains(e)]
        self.entries = self.entries.add(new_entries)
        found, updated = [], dict[int, dict[str, None]]()  # by customer: reservations with new entries
        for entry in new_entries:
            if entry.kind is Kind.RESERVE:
                heappush(self._upcoming, (entry.from_ms - PREPARE_AHEAD_MS, entry.id))
                found.append(entry.id)
            current = self.entries.get(entry.of)
            if current is None:
                continue  # an extension or release that arrived before its reservation
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
                    part.persisted += share  # no save includes it: a restart would add it again
                    part.being_saved += share if part.being_saved >= 0 else 0
        for customer, ids in updated.items():
            ids.update(dict.fromkeys(r.id for r in self._active.get(customer, ())))
            rows = [current for id in ids if (current := self.entries.get(id)) is not None]
            self._active[customer] = sorted(rows, key=lambda r: (r.ends_ms, r.id))
        return found

    def forget(self, reservations: Iterable[str]) -> None:
        """Removes reservations that have ended and are no longer in the file."""
        removed = dict.fromkeys(reservations)
        for id in removed:
            self.parts.pop(id, None)
            self._saved_rows.pop(id, None)
            self._dirty.pop(id, None)
        self.entries = self.entries.without(removed)
        self._active = {c: [r for r in rows if r.id not in removed] for c, rows in self._active.items()}

    def has_reservation(self, customer: int) -> bool:
        """Returns whether the customer has a reservation; ended ones are removed at the next use."""
        return bool(self._active.get(customer))

    def usable_parts(self, customer: int, cls: str, now: float) -> Iterator[tuple[Reservation, Part]]:
        """Yields the reservations that a request may use now, the one that ends first first."""
        rows = self._active.get(customer, [])
        if rows and rows[0].ends_ms <= now:
            rows = self._active[customer] = [r for r in rows if r.ends_ms > now]
        for reservation in rows:
            if reservation.is_usable_by(cls, now):
                yield reservation, self.parts[reservation.id]

    def consume(self, customer: int, cls: str, units: float, now: float) -> str | None:
        """Deducts a request's units from one reservation.

        Returns:
            The id of the reservation; None if none has enough free units on this gateway.
        """
        needed = ceil(units * MILLIUNITS_PER_UNIT)
        for reservation, part in self.usable_parts(customer, cls, now):
            if part.free >= needed:
                self._deduct(reservation.id, part, needed)
                part.used += needed
                return reservation.id
            self.save_needed = self.save_needed or part.remaining >= needed
        return None

    def _deduct(self, id: str, part: Part, milliunits: int) -> None:
        part.remaining -= milliunits
        self._dirty[id] = None
        if part.free < part.free_target // 2:
            self.save_needed = True

    def settle(self, reservation: str, units: float) -> None:
        """Corrects a reservation by a request's actual minus its estimated units (negative: a refund).

        The amount beyond the free units becomes debt. Units that this gateway does not have are never
        deducted.
        """
        part = self.parts.get(reservation)
        if part is not None:
            balance = round(units * MILLIUNITS_PER_UNIT) + part.debt
            part.debt = max(0, balance)
            part.settle_debt()
            refund = min(part.used, max(0, -balance))
            part.used -= refund
            self._deduct(reservation, part, -refund)

    # ---- transfers between gateways

    def request_transfer(self, customer: int, cls: str, units: float, now: float) -> TransferRequest | None:
        """Returns a transfer request if units are or will soon be missing; else, or if too early, None."""
        needed = ceil(units * MILLIUNITS_PER_UNIT)
        for reservation, part in self.usable_parts(customer, cls, now):
            if (
                reservation.width > 1
                and part.remaining < needed * PREFETCH_REQUESTS
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
                missing = needed - part.remaining if part.remaining < needed else needed
                return TransferRequest(
                    to, reservation.id, missing, self._incarnation, part.last_received.get(to, 0)
                )
        return None

    def handle_request(self, sender: int, request: TransferRequest, now: float) -> Transfer | None:
        """Returns the transfer for a request, or None.

        The amount is TRANSFER_FRACTION of the free units, or the missing amount if that is more and is free.
        """
        part, current = self.parts.get(request.reservation), self.entries.get(request.reservation)
        if part is None or current is None or not current.from_ms <= now < current.ends_ms:
            return None
        previous = part.last_sent.get(sender)
        if (
            previous is not None
            and previous.incarnation == request.incarnation
            and previous.number > request.last_received
        ):
            return previous
        milliunits = min(
            part.free, MAX_TRANSFER_MILLIUNITS, max(request.missing, floor(part.free * TRANSFER_FRACTION))
        )
        if milliunits <= 0 or milliunits < request.missing:
            self.save_needed = self.save_needed or part.remaining >= request.missing
            return None
        self._deduct(request.reservation, part, milliunits)
        self._last_transfer_number += 1
        part.last_sent[sender] = Transfer(
            sender, request.reservation, milliunits, self._last_transfer_number, request.incarnation
        )
        return part.last_sent[sender]

    def accept_transfer(self, sender: int, transfer: Transfer) -> bool:
        """Adds a transfer to the part. Returns false if it is a duplicate or not for this incarnation."""
        part = self.parts.get(transfer.reservation)
        if part is None or transfer.milliunits <= 0 or transfer.incarnation != self._incarnation:
            return False
        if transfer.number <= part.last_received.get(sender, 0):
            return False
        part.last_received[sender] = transfer.number
        part.remaining += transfer.milliunits
        part.settle_debt()
        part.last_request_at, part.request_interval_ms, part.unanswered_requests = (
            -inf,
            MIN_REQUEST_INTERVAL_MS,
            0,
        )
        return True

    # ---- persistence

    def save_due(self, now: float) -> bool:
        """Returns whether a save would free units that are wanted now or soon."""
        while self._upcoming and self._upcoming[0][0] <= now:
            _, id = heappop(self._upcoming)
            self._dirty[id] = None
            self.save_needed = True
        return self.save_needed

    def begin_save(self, now: float, close: bool = False) -> SavedParts:
        """Returns the content of the next save; finish_save must follow.

        Args:
            close: nothing is used after this save, so the whole part is persisted.
        """
        ids = tuple(id for id in (self.parts if close else self._dirty) if id in self.parts)
        for id in ids:
            part, current = self.parts[id], self.entries.get(id)
            is_near = current is not None and current.from_ms - PREPARE_AHEAD_MS <= now < current.ends_ms
            part.being_saved = part.remaining if close or not is_near else part.remaining - part.free_target
            self._saved_rows[id] = (part.being_saved, tuple(part.counted_entries))
        self._parts_being_saved, self._dirty, self.save_needed = ids, {}, False
        return dict(self._saved_rows)

    def finish_save(self, succeeded: bool) -> None:
        """Ends the save in progress; a failed one may or may not be on disk."""
        for id in self._parts_being_saved:
            if (part := self.parts.get(id)) is not None:
                part.persisted = part.being_saved if succeeded else max(part.persisted, part.being_saved)
                part.being_saved = -1
                part.settle_debt()
                if not succeeded:
                    self._dirty[id] = None
        self._parts_being_saved = ()
