"""Reservations in an ingress: entries file, parts folder, messages between gateways, management calls.

Only the process that owns the folder has parts. During an upgrade the older process owns it until it ends;
until then the newer process admits reserved requests by their customer's quota only.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import msgspec

from troutdock.admission.interface import Settings
from troutdock import jsonlines
from troutdock.reservations import files, messages
from troutdock.reservations.entries import ConflictError, Entries, Entry, Kind, Reservation
from troutdock.reservations.escrow import MILLIUNITS_PER_UNIT, TransferRequest, Escrow, Transfer
from troutdock.reservations.commitment_limit import CommitmentBounds
from troutdock.reservations.commitment_limit import CommitmentDecision

log = logging.getLogger("troutdock")

Call = Callable[[bytes], Awaitable[tuple[int, bytes]]]  # request body to status and response body

POLL_INTERVAL_S = 0.25  # between checks of folder ownership, the file and due saves
SAVE_RETRY_S = 1.0  # after a failed save
MEASUREMENT_S = 60.0  # period over which the fleet's usage is measured


@dataclass(frozen=True, slots=True)
class ReservationOptions:
    """Settings of reservations.

    Attributes:
        file: the entries.
        folder: this gateway's parts, on a persistent disk.
        reread_s: interval at which the file is checked for changes.
        fleet_units_per_s: known capacity of the fleet; a higher measured rate takes precedence.
    """

    file: Path
    folder: Path
    reread_s: float = 1.0
    fleet_units_per_s: float = 0.0


class Engine(Protocol):
    """The engine that admits requests."""

    @property
    def settings(self) -> Settings:
        """The current settings."""

    def set_allowance(self, allowance: Reservations) -> None:
        """Sets the allowance that is asked for the units of each request."""

    def send_to_peer(self, gateway: int, body: bytes) -> None:
        """Sends a datagram to another gateway."""

    def plan_of(self, customer: int) -> str | None:
        """Returns the plan that is assigned to a customer now."""


class PromiseRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a promise call. plan: used if none is assigned to the customer."""

    entry: Entry
    plan: str = ""


class Reservations:
    """Implements engine.Allowance; bound to the event loop that runs when it is started."""

    def __init__(self, options: ReservationOptions) -> None:
        """Reads the file for the first time; raises ValueError or OSError if that fails."""
        self._options = options
        self._file_mark = jsonlines.file_stamp(self._options.file)
        self._entries = files.read(options.file)
        self._folder = files.PartsFolder(options.folder)
        self._engine: Engine | None = None
        self.escrow: Escrow | None = None  # set once this process owns the folder
        self._reservation_of_key: dict[bytes, str] = {}  # reservation ids by message key
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._next_save_at = 0.0
        self._save_failing = self._file_invalid = False
        self._last_read_at = 0.0
        # usage in the current period, its start, and the highest measured rate
        self._measured_units, self._measured_since, self.measured_units_per_s = 0.0, time.monotonic(), 0.0
        self.requests_sent = self.transfers_sent = 0  # datagrams

    def start(self, engine: Engine) -> None:
        """Starts to apply reservations as soon as this process owns the folder."""
        self._engine = engine
        engine.set_allowance(self)
        self._wake.set()  # check the folder at once
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Saves the remaining parts for the next start; called after the ingress has drained."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        if self._save_task is not None:
            await asyncio.wait({self._save_task})
        if self.escrow is not None and self._engine is not None:
            rows = self.escrow.begin_save(_now(), close=True)
            try:
                await asyncio.to_thread(self._folder.save, self._engine.settings.index, rows)
            except OSError as error:
                log.error(
                    "reservations: saving at shutdown failed; free units that were not used are lost: %s",
                    error,
                )
            self.escrow = None
        self._folder.close()

    # ---- engine.Allowance

    def take(self, customer: int, cls: str, units: float) -> str | None:
        """Deducts units for a request; returns the reservation, or None if none has enough here."""
        escrow = self.escrow
        if escrow is None or not escrow.has_reservation(customer):
            return None
        now = _now()
        found = escrow.consume(customer, cls, units, now)
        if escrow.save_needed:
            self._wake.set()
        if (
            outgoing := escrow.request_transfer(customer, cls, units, now)
        ) is not None and self._engine is not None:
            self.requests_sent += 1
            self._engine.send_to_peer(
                outgoing.to,
                messages.encode_request(
                    outgoing.reservation, outgoing.incarnation, outgoing.missing, outgoing.last_received
                ),
            )
        return found

    def settle(self, reservation: str, more: float) -> None:
        """Corrects a reservation by a request's actual minus its estimated units."""
        if self.escrow is not None:
            self.escrow.settle(reservation, more)

    def served(self, units: float) -> None:
        """Adds the units of a served request of any customer to the measured usage."""
        self._measured_units += units

    def heard(self, gateway: int, body: bytes) -> bool:
        """Handles a message of another gateway; returns false if it is not about reservations."""
        if body[:1] not in messages.KINDS:
            return False
        escrow = self.escrow
        try:
            kind, key, incarnation, parts, number = messages.decode(body)
        except ValueError as error:
            log.debug("reservations: gateway %d: %s", gateway, error)
            return True
        reservation = self._reservation_of_key.get(key)
        if escrow is None or reservation is None or self._engine is None:
            return True  # a request is repeated later; a transfer is lost
        if kind == messages.TRANSFER:
            escrow.accept_transfer(
                gateway, Transfer(self._engine.settings.index, reservation, parts, number, incarnation)
            )
        elif (
            transfer := escrow.handle_request(
                gateway, TransferRequest(0, reservation, parts, incarnation, number), _now()
            )
        ) is not None:
            self.transfers_sent += 1
            self._engine.send_to_peer(
                gateway,
                messages.encode_transfer(reservation, incarnation, transfer.milliunits, transfer.number),
            )
        if escrow.save_needed:
            self._wake.set()
        return True

    # ---- entries file and parts folder

    def _acquire_parts(self) -> None:
        """Loads the parts once this process owns the folder; ValueError if they are not of this gateway."""
        assert self._engine is not None
        if self.escrow is not None or not self._folder.acquire():
            return
        saved = self._folder.load(self._engine.settings.index)
        started_ms = int(_now())
        incarnation = secrets.randbits(32)
        self.escrow = Escrow(self._engine.settings.index, incarnation, started_ms << 12, saved)
        self._add_entries(self._entries, list(self._entries))

    def _add_entries(self, entries: Entries, new_entries: list[Entry]) -> int:
        """Applies the file's entries and returns the number of new reservations.

        Ended reservations that are no longer in the file are removed.
        """
        self._entries = entries
        if self.escrow is None:
            return 0
        found = self.escrow.add_entries(new_entries)
        for reservation in found:
            self._reservation_of_key[messages.reservation_key(reservation)] = reservation
        if len(self.escrow.entries) > len(entries):
            now = _now()
            gone = [
                r.id
                for r in self.escrow.entries.reservations()
                if r.ends_ms < now and entries.get(r.id) is None
            ]
            self.escrow.forget(gone)
            for reservation in gone:
                self._reservation_of_key.pop(messages.reservation_key(reservation), None)
        return len(found)

    def _new_entries(self, entries: Entries) -> list[Entry]:
        """Returns the entries that are not known. Runs in a worker thread: 100,000 entries take 0.1 s."""
        known = self._entries
        return [e for e in entries if not known.contains(e)]

    async def _update_entries(self, work: Callable[[], Entries]) -> int:
        """Runs work in a thread and applies its entries; returns the number of new reservations."""

        def found() -> tuple[Entries, list[Entry]]:
            entries = work()
            return entries, self._new_entries(entries)

        return self._add_entries(*await asyncio.to_thread(found))

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            self._wake.clear()
            try:
                self._acquire_parts()
            except (ValueError, OSError) as error:
                log.error("reservations: disabled: %s", error)
                return
            await self._reread()
            self._measure()
            escrow, now = self.escrow, time.monotonic()
            if escrow is not None and escrow.save_due(_now()) and now >= self._next_save_at:
                self._save_task = asyncio.create_task(self._save(escrow))
                await asyncio.wait({self._save_task})

    async def _save(self, escrow: Escrow) -> None:
        assert self._engine is not None
        rows, saved = escrow.begin_save(_now()), True
        try:
            await asyncio.to_thread(self._folder.save, self._engine.settings.index, rows)
        except OSError as error:
            if not self._save_failing:
                log.error("reservations: parts can't be saved; no further units become free: %s", error)
            saved, self._next_save_at = False, time.monotonic() + SAVE_RETRY_S
        if saved and self._save_failing:
            log.info("reservations: saving parts succeeds again")
        self._save_failing = not saved
        escrow.finish_save(saved)
        escrow.save_needed = escrow.save_needed or not saved

    async def _reread(self) -> None:
        """Reads the file if it changed. An unreadable file changes nothing and is logged once."""
        now = time.monotonic()
        if now - self._last_read_at < self._options.reread_s:
            return
        self._last_read_at = now
        mark = jsonlines.file_stamp(self._options.file)
        if mark == self._file_mark:
            return
        try:
            new = await self._update_entries(lambda: files.read(self._options.file))
        except (ValueError, OSError) as error:
            if not self._file_invalid:
                log.error("reservations: file not applied, keeping the known entries: %s", error)
            self._file_invalid = True
            return
        self._file_mark, self._file_invalid = mark, False
        log.info("reservations: read %d entries, %d new reservations", len(self._entries), new)

    def _measure(self) -> None:
        """Measures the served rate of the fleet: the best period of this gateway times the gateways."""
        now = time.monotonic()
        if now - self._measured_since >= MEASUREMENT_S and self._engine is not None:
            self.measured_units_per_s = max(
                self.measured_units_per_s,
                self._measured_units / (now - self._measured_since) * self._engine.settings.gateways,
            )
            self._measured_units, self._measured_since = 0.0, now

    # ---- management calls

    def books(self) -> dict[tuple[bytes, bytes], Call]:
        """Returns the management calls: list entries, add entries, and add one if the limits allow it."""
        path = b"/control/reservations"
        return {
            (b"GET", path): self._show,
            (b"POST", path): self._with_error_status(self._add),
            (b"POST", path + b"/promise"): self._with_error_status(self._promise),
        }

    def _with_error_status(self, handler: Callable[[bytes], Awaitable[bytes]]) -> Call:
        """Wraps a call so that its errors become response statuses."""

        async def call(body: bytes) -> tuple[int, bytes]:
            try:
                return 200, await handler(body)
            except ConflictError as error:
                return 409, f"{error}\n".encode()
            except (ValueError, msgspec.MsgspecError) as error:
                return 400, f"{error}\n".encode()
            except OSError as error:
                return 503, f"{error}\n".encode()

        return call

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        """Returns all entries, this gateway's parts, and the values that limit commitments."""
        if self._engine is None:
            return 503, b"not started\n"
        settings, escrow = self._engine.settings, self.escrow
        known = {} if escrow is None else escrow.parts
        parts = {
            id: {
                "left": p.remaining / MILLIUNITS_PER_UNIT,
                "used": p.used / MILLIUNITS_PER_UNIT,
                "free": p.free / MILLIUNITS_PER_UNIT,
            }
            for id, p in known.items()
        }
        return 200, msgspec.json.encode(
            {
                "entries": [list(e) for e in self._entries],
                "parts": parts,
                "owner": escrow is not None,
                "gateway": settings.index,
                "gateways": settings.gateways,
                "fleet_units_per_s": self._fleet_units_per_s(),
                "plans": {p.name: {"rate": p.rate, "ceiling": p.ceiling_rate} for p in settings.plans},
                "asks": self.requests_sent,
                "gives": self.transfers_sent,
            }
        )

    def _fleet_units_per_s(self) -> float:
        return max(self._options.fleet_units_per_s, self.measured_units_per_s)

    async def _add(self, body: bytes) -> bytes:
        entries = files.parse(body)
        await self._update_entries(lambda: files.append(self._options.file, entries))
        return msgspec.json.encode({"entries": len(self._entries)})

    async def _promise(self, body: bytes) -> bytes:
        wanted = msgspec.json.decode(body, type=PromiseRequest)
        bounds = self._commitment_bounds(wanted)
        decisions: list[CommitmentDecision] = []

        def promise() -> Entries:
            entries, decision = files.promise(self._options.file, wanted.entry, bounds)
            decisions.append(decision)
            return entries

        await self._update_entries(promise)
        (decision,) = decisions
        return msgspec.json.encode(
            {
                "granted": decision.granted,
                "why": decision.why,
                "units": decision.units,
                "from_ms": decision.from_ms if decision.from_ms < float("inf") else None,
            }
        )

    def _commitment_bounds(self, wanted: PromiseRequest) -> CommitmentBounds:
        """Returns the limits for the customer's plan; ValueError for an unknown plan or class."""
        if self._engine is None:
            raise OSError("not started")
        settings, entry = self._engine.settings, wanted.entry
        reservation: Reservation | None = self._entries.get(entry.of)
        if entry.kind is not Kind.RESERVE and reservation is None:
            raise ValueError(f"of: no reservation is known as {entry.of!r}")
        customer = entry.customer if reservation is None else reservation.customer
        name = self._engine.plan_of(customer) or wanted.plan
        plan = next((p for p in settings.plans if p.name == name), None)
        if plan is None:
            raise ValueError(f"plan: {name!r} is not one of {', '.join(p.name for p in settings.plans)}")
        unknown_classes = [c for c in entry.classes if c not in [k.name for k in settings.classes]]
        if unknown_classes:
            raise ValueError(f"classes: {unknown_classes[0]!r} is not a request class")
        if entry.until_ms <= _now():
            raise ValueError("until_ms: the window has ended")
        return CommitmentBounds(self._fleet_units_per_s(), plan.rate, plan.ceiling_rate)


def _now() -> float:
    return time.time() * 1000
