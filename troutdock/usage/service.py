"""The ledger at work in an ingress: the book, its writer's thread, and the thread that exports and delivers.

The event loop is never blocked: commits run in a thread of their own, one at a time, and tell the loop when
they are done. A store that fails makes the book stuck, which the engine sees through admits().
"""

from __future__ import annotations

import asyncio
import logging
import queue
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from pathlib import Path
from random import Random
from typing import Protocol

import msgspec

from troutdock.usage.ledger import Book, Promise, Told
from troutdock.usage.memory import MemoryStore
from troutdock.usage.store import Store, StoreError
from troutdock.usage.record import Batch, Use
from troutdock.usage.sqlite import SqliteStore

log = logging.getLogger("troutdock")

END_S = 5.0  # for what is not on disk when the ingress ends


class Engine(Protocol):
    """Whose answers are written down."""

    def set_ledger(self, ledger: Usage) -> None:
        """From now on."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operator asks for. export_s: how often exports are made, 0 for never. most_bytes.

    Of unacknowledged exports.
    """

    promise: Promise
    folder: Path | None = None
    at_risk_ms: float = 50.0
    export_s: float = 60.0
    most_rows: int = 100_000
    consumer: str = ""
    keep_s: float = 7 * 86_400.0
    most_bytes: int = 1 << 30


class Usage:
    """It belongs to the event loop that is running when it is started; engine.Ledger."""

    def __init__(self, ingress: str, terms: Terms, store: Store | None = None) -> None:
        """store: in place of the one that the terms name. StoreError if that can't be had."""
        self._ingress, self._terms = ingress, terms
        self._store = store or self._make_store()
        self.book = Book(self._store.begin(_now()), terms.promise, terms.at_risk_ms)
        self._batches: queue.SimpleQueue[Batch | None] = queue.SimpleQueue()
        self._timer: asyncio.TimerHandle | None = None
        self._ended = threading.Event()
        self._threads: list[threading.Thread] = []
        self._idle: asyncio.Event | None = None

    def _make_store(self) -> Store:
        if self._terms.promise is Promise.MEMORY or self._terms.folder is None:
            return MemoryStore()
        return SqliteStore(self._terms.folder)

    def start(self, engine: Engine) -> None:
        """Begin to write, and to export where the terms say so."""
        engine.set_ledger(self)
        self._loop = asyncio.get_running_loop()
        self._idle = asyncio.Event()
        self._thread("usage-writer", self._write)
        if (
            self._terms.folder is not None
            and self._terms.export_s > 0
            and self._terms.promise is not Promise.MEMORY
        ):
            self._thread("usage-exporter", self._export)
        self._look()

    def _thread(self, name: str, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, name=name, daemon=True)
        thread.start()
        self._threads.append(thread)

    # ---- engine.Ledger

    def admits(self) -> float:
        """0, or how long a client is to stay away, in milliseconds."""
        return self.book.admits(_now())

    def record(self, customer: int, plan: str, cls: str, units: float, told: Told) -> None:
        """Use of an answer that is there; told is called once it may leave, perhaps in here."""
        now = _now()
        self.book.book(now, Use(customer, plan, cls, units, now), told)
        self._look()

    # ---- the operators' door

    def books(self) -> dict[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]:
        """How the ledger stands."""
        return {(b"GET", b"/control/usage"): self._show}

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        book = self.book
        return 200, msgspec.json.encode(
            {
                "promise": book.promise.value,
                "incarnation": book.incarnation,
                "records": book.last,
                "waiting": book.waiting,
                "units_at_risk": book.at_risk,
                "most_units_at_risk": book.most_at_risk,
                "stuck": book.stuck,
                "full": book.full,
            }
        )

    # ---- the loop's side of the writer

    def _look(self) -> None:
        """Begin the next commit, or look again when it is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_ms = self.book.due(_now())
        if wait_ms <= 0:
            self._batches.put(self.book.batch())
        elif wait_ms < inf:
            self._timer = self._loop.call_later(wait_ms / 1000, self._look)

    def _committed(self, error: StoreError | None) -> None:
        if error is None:
            if self.book.stuck:
                log.warning("usage: records are on disk again")
            self.book.committed(_now())
        else:
            if not self.book.stuck:
                log.error("usage: %s; nothing is let in until it is", error)
            self.book.failed(_now())
        if self.book.finished and self._idle is not None:
            self._idle.set()
            return
        self._look()

    async def close(self) -> None:
        """Put on disk what is not; what can't be is told in the log. Nothing is booked after this."""
        if not self._threads:
            self._store.close()
            return
        self.book.closing = True
        self._look()
        assert self._idle is not None
        try:
            async with asyncio.timeout(END_S):
                await self._idle.wait()
        except TimeoutError:
            log.error("usage: %d records and marks are not on disk", self.book.waiting)
        if self._timer is not None:
            self._timer.cancel()
        self._ended.set()
        self._batches.put(None)
        for thread in self._threads:
            await asyncio.to_thread(thread.join, END_S)
        if self._idle.is_set():
            try:
                self._store.end(self.book.incarnation)
            except StoreError as error:
                log.error("usage: %s", error)
        self._store.close()

    # ---- threads

    def _write(self) -> None:
        while (batch := self._batches.get()) is not None:
            error = None
            try:
                self._store.commit(batch)
            except StoreError as failed:
                error = failed
            except Exception as failed:  # whatever it was, it is not on disk for certain
                error = StoreError(repr(failed))
            try:
                self._loop.call_soon_threadsafe(self._committed, error)
            except RuntimeError:
                return  # the loop has ended without close()

    def _export(self) -> None:
        """pyarrow is loaded here, beside the service and not before it."""
        from troutdock.usage.consumer import Consumer, Deliveries
        from troutdock.usage.exporter import Exporter
        from troutdock.usage.files import Files

        terms = self._terms
        assert terms.folder is not None
        troubled = False
        store: Store | None = None
        while not self._ended.wait(terms.export_s):
            try:
                if store is None:
                    store = SqliteStore(terms.folder)
                    files = Files(terms.folder / "exports")
                    exporter = Exporter(self._ingress, store, files)
                    deliveries = (
                        Deliveries(store, files, Consumer(terms.consumer), Random(), log.warning)
                        if terms.consumer
                        else None
                    )
                exporter.run(_now(), terms.most_rows)
                if deliveries is not None:
                    deliveries.run(_now)
                exporter.retain(_now(), 1000 * terms.keep_s)
                waiting = sum(e.bytes for e in store.exports() if not e.acknowledged)
                full = waiting > terms.most_bytes
                if full and not self.book.full:
                    log.error(
                        "usage: %d bytes of exports are not acknowledged; nothing is let in until they are",
                        waiting,
                    )
                self.book.full = full
                troubled = False
            except (StoreError, OSError) as error:
                if not troubled:
                    log.error("usage: exports: %s", error)
                troubled = True
        if store is not None:
            store.close()


def _now() -> float:
    return time.time() * 1000
