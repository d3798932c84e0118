"""Reservations at work in an ingress: its file, its own folder of parts, the others' datagrams, the door.

Only the process that owns the folder has parts. During an upgrade that is the older one until it has ended;
till then the newer one lets reserved requests go the ordinary way, by their customer's quota.
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
from troutdock.reservations.entries import Conflict, Entries, Entry, Kind, Reservation
from troutdock.reservations.escrow import MILLI, Ask, Escrow, Give
from troutdock.reservations.commitment_limit import Terms as Bounds
from troutdock.reservations.commitment_limit import Verdict

log = logging.getLogger("troutdock")

Call = Callable[[bytes], Awaitable[tuple[int, bytes]]]  # of the door: a body to status and body

TICK_S = 0.25  # between looks at the folder's owner, the file and what is due
RETRY_S = 1.0  # after a save that failed
MINUTE_S = 60.0  # over which the fleet's use is measured


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operator asks for. file: of entries. folder: of this gateway's parts, on a disk that lasts.

    fleet_units_per_s: what the fleet is known to bear; what it is seen to serve counts where that is more.
    """

    file: Path
    folder: Path
    reread_s: float = 1.0
    fleet_units_per_s: float = 0.0


class Engine(Protocol):
    """Whose requests have reservations."""

    @property
    def settings(self) -> Settings:
        """Those that hold now."""

    def set_allowance(self, allowance: Reservations) -> None:
        """Ask there for each request's units."""

    def send_to_peer(self, gateway: int, body: bytes) -> None:
        """A datagram to another gateway."""

    def plan_of(self, customer: int) -> str | None:
        """The plan that is assigned to a customer now."""


class Wanted(msgspec.Struct, forbid_unknown_fields=True):
    """What the door is asked to promise. plan: the customer's, where none is assigned."""

    entry: Entry
    plan: str = ""


class Reservations:
    """It belongs to the event loop that is running when it is started; engine.Allowance."""

    def __init__(self, terms: Terms) -> None:
        """The file is read here for the first time; ValueError or OSError if it can't be."""
        self._terms = terms
        self._mark = jsonlines.file_stamp(self._terms.file)
        self._entries = files.read(terms.file)
        self._folder = files.PartsFolder(terms.folder)
        self._engine: Engine | None = None
        self.escrow: Escrow | None = None  # once the folder is this process's
        self._ids: dict[bytes, str] = {}  # reservations by the key that messages have
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._saving: asyncio.Task[None] | None = None
        self._save_after = 0.0
        self._troubled = self._bad_file = False
        self._read_at = 0.0
        self._units, self._since, self.seen = 0.0, time.monotonic(), 0.0  # of this minute; the most a second
        self.asks = self.gives = 0  # datagrams that were sent

    def start(self, engine: Engine) -> None:
        """Honour reservations from now on, or from the moment on that the folder is this process's."""
        self._engine = engine
        engine.set_allowance(self)
        self._wake.set()  # the folder is looked at at once
        self._task = asyncio.create_task(self._work())

    async def close(self) -> None:
        """The ingress has drained: what is left of the parts is on disk, for its next start."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        if self._saving is not None:
            await asyncio.wait({self._saving})
        if self.escrow is not None and self._engine is not None:
            rows = self.escrow.draw(_now(), close=True)
            try:
                await asyncio.to_thread(self._folder.save, self._engine.settings.index, rows)
            except OSError as error:
                log.error("reservations: what was free and not used is lost: %s", error)
            self.escrow = None
        self._folder.close()

    # ---- engine.Allowance

    def take(self, customer: int, cls: str, units: float) -> str | None:
        """Units for a request, and off which reservation; None: none has them here."""
        escrow = self.escrow
        if escrow is None or not escrow.concerns(customer):
            return None
        now = _now()
        found = escrow.use(customer, cls, units, now)
        if escrow.short:
            self._wake.set()
        if (ask := escrow.ask(customer, cls, units, now)) is not None and self._engine is not None:
            self.asks += 1
            self._engine.send_to_peer(ask.to, messages.ask(ask.reservation, ask.life, ask.missing, ask.got))
        return found

    def settle(self, reservation: str, more: float) -> None:
        """A request of it has taken so many units more than its guess; below nought: less."""
        if self.escrow is not None:
            self.escrow.settle(reservation, more)

    def served(self, units: float) -> None:
        """A good answer, of whatever customer, has taken so many units."""
        self._units += units

    def heard(self, gateway: int, body: bytes) -> bool:
        """Another gateway's word; false if it is about something else."""
        if body[:1] not in messages.KINDS:
            return False
        escrow = self.escrow
        try:
            kind, key, life, parts, number = messages.read(body)
        except ValueError as error:
            log.debug("reservations: gateway %d: %s", gateway, error)
            return True
        reservation = self._ids.get(key)
        if escrow is None or reservation is None or self._engine is None:
            return True  # it is asked again, or the gift is lost
        if kind == messages.GIVE:
            escrow.given(gateway, Give(self._engine.settings.index, reservation, parts, number, life))
        elif (give := escrow.asked(gateway, Ask(0, reservation, parts, life, number), _now())) is not None:
            self.gives += 1
            self._engine.send_to_peer(gateway, messages.give(reservation, life, give.parts, give.number))
        if escrow.short:
            self._wake.set()
        return True

    # ---- the file, and the folder of parts

    def _own(self) -> None:
        """Have the parts, once nobody else has; ValueError if the folder's file is none of this gateway's."""
        assert self._engine is not None
        if self.escrow is not None or not self._folder.own():
            return
        saved = self._folder.load(self._engine.settings.index)
        started_ms = int(_now())
        life = secrets.randbits(32)
        self.escrow = Escrow(self._engine.settings.index, life, started_ms << 12, saved)
        self._learn(self._entries, list(self._entries))

    def _learn(self, entries: Entries, news: list[Entry]) -> int:
        """The file's entries, and those that were not known: how many reservations are new.

        Those that are over and in no file any more are forgotten.
        """
        self._entries = entries
        if self.escrow is None:
            return 0
        found = self.escrow.learn(news)
        for reservation in found:
            self._ids[messages.key_of(reservation)] = reservation
        if len(self.escrow.entries) > len(entries):
            now = _now()
            gone = [
                r.id
                for r in self.escrow.entries.reservations()
                if r.ends_ms < now and entries.get(r.id) is None
            ]
            self.escrow.drop(gone)
            for reservation in gone:
                self._ids.pop(messages.key_of(reservation), None)
        return len(found)

    def _unknown(self, entries: Entries) -> list[Entry]:
        """For any thread: a walk over a hundred thousand takes a tenth of a second."""
        known = self._entries
        return [e for e in entries if not known.knows(e)]

    async def _joined(self, work: Callable[[], Entries]) -> int:
        """Do this apart from the loop, and learn what it gives."""

        def found() -> tuple[Entries, list[Entry]]:
            entries = work()
            return entries, self._unknown(entries)

        return self._learn(*await asyncio.to_thread(found))

    async def _work(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            self._wake.clear()
            try:
                self._own()
            except (ValueError, OSError) as error:
                log.error("reservations: none is honoured: %s", error)
                return
            await self._reread()
            self._measure()
            escrow, now = self.escrow, time.monotonic()
            if escrow is not None and escrow.due(_now()) and now >= self._save_after:
                self._saving = asyncio.create_task(self._save(escrow))
                await asyncio.wait({self._saving})

    async def _save(self, escrow: Escrow) -> None:
        assert self._engine is not None
        rows, good = escrow.draw(_now()), True
        try:
            await asyncio.to_thread(self._folder.save, self._engine.settings.index, rows)
        except OSError as error:
            if not self._troubled:
                log.error("reservations: parts can't be saved, and are not used up: %s", error)
            good, self._save_after = False, time.monotonic() + RETRY_S
        if good and self._troubled:
            log.info("reservations: parts are saved again")
        self._troubled = not good
        escrow.drawn(good)
        escrow.short = escrow.short or not good

    async def _reread(self) -> None:
        """A file that can't be read changes nothing, and is named once."""
        now = time.monotonic()
        if now - self._read_at < self._terms.reread_s:
            return
        self._read_at = now
        mark = jsonlines.file_stamp(self._terms.file)
        if mark == self._mark:
            return
        try:
            new = await self._joined(lambda: files.read(self._terms.file))
        except (ValueError, OSError) as error:
            if not self._bad_file:
                log.error("reservations: they stay as they were: %s", error)
            self._bad_file = True
            return
        self._mark, self._bad_file = mark, False
        log.info("reservations: %d entries, %d reservations are new", len(self._entries), new)

    def _measure(self) -> None:
        """What the fleet is seen to serve: this gateway's best minute, times the gateways."""
        now = time.monotonic()
        if now - self._since >= MINUTE_S and self._engine is not None:
            self.seen = max(self.seen, self._units / (now - self._since) * self._engine.settings.gateways)
            self._units, self._since = 0.0, now

    # ---- the operators' door

    def books(self) -> dict[tuple[bytes, bytes], Call]:
        """Entries are shown and added to; a promise is added only if it may be given."""
        path = b"/control/reservations"
        return {
            (b"GET", path): self._show,
            (b"POST", path): self._plain(self._add),
            (b"POST", path + b"/promise"): self._plain(self._promise),
        }

    def _plain(self, does: Callable[[bytes], Awaitable[bytes]]) -> Call:
        """Errors as answers."""

        async def call(body: bytes) -> tuple[int, bytes]:
            try:
                return 200, await does(body)
            except Conflict as error:
                return 409, f"{error}\n".encode()
            except (ValueError, msgspec.MsgspecError) as error:
                return 400, f"{error}\n".encode()
            except OSError as error:
                return 503, f"{error}\n".encode()

        return call

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        """All entries, what of them is here, and what promises are measured by."""
        if self._engine is None:
            return 503, b"not started\n"
        settings, escrow = self._engine.settings, self.escrow
        known = {} if escrow is None else escrow.parts
        parts = {
            id: {"left": p.left / MILLI, "used": p.used / MILLI, "free": p.free / MILLI}
            for id, p in known.items()
        }
        return 200, msgspec.json.encode(
            {
                "entries": [list(e) for e in self._entries],
                "parts": parts,
                "owner": escrow is not None,
                "gateway": settings.index,
                "gateways": settings.gateways,
                "fleet_units_per_s": self._fleet(),
                "plans": {p.name: {"rate": p.rate, "ceiling": p.ceiling_rate} for p in settings.plans},
                "asks": self.asks,
                "gives": self.gives,
            }
        )

    def _fleet(self) -> float:
        return max(self._terms.fleet_units_per_s, self.seen)

    async def _add(self, body: bytes) -> bytes:
        entries = files.parse(body)
        await self._joined(lambda: files.join(self._terms.file, entries))
        return msgspec.json.encode({"entries": len(self._entries)})

    async def _promise(self, body: bytes) -> bytes:
        wanted = msgspec.json.decode(body, type=Wanted)
        bounds = self._bounds(wanted)
        verdicts: list[Verdict] = []

        def promise() -> Entries:
            entries, verdict = files.promise(self._terms.file, wanted.entry, bounds)
            verdicts.append(verdict)
            return entries

        await self._joined(promise)
        (verdict,) = verdicts
        return msgspec.json.encode(
            {
                "granted": verdict.granted,
                "why": verdict.why,
                "units": verdict.units,
                "from_ms": verdict.from_ms if verdict.from_ms < float("inf") else None,
            }
        )

    def _bounds(self, wanted: Wanted) -> Bounds:
        """By the customer's plan; ValueError if none is known, or a class is none."""
        if self._engine is None:
            raise OSError("not started")
        settings, entry = self._engine.settings, wanted.entry
        made: Reservation | None = self._entries.get(entry.of)
        if entry.kind is not Kind.RESERVE and made is None:
            raise ValueError(f"of: no reservation is known as {entry.of!r}")
        customer = entry.customer if made is None else made.customer
        name = self._engine.plan_of(customer) or wanted.plan
        plan = next((p for p in settings.plans if p.name == name), None)
        if plan is None:
            raise ValueError(f"plan: {name!r} is none of {', '.join(p.name for p in settings.plans)}")
        unknown = [c for c in entry.classes if c not in [k.name for k in settings.classes]]
        if unknown:
            raise ValueError(f"classes: {unknown[0]!r} is none here")
        if entry.until_ms <= _now():
            raise ValueError("until_ms: the window is over")
        return Bounds(self._fleet(), plan.rate, plan.ceiling_rate)


def _now() -> float:
    return time.time() * 1000
