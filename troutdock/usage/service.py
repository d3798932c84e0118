"""The ledger in an ingress: its state, the writer thread, and the thread that exports and delivers.

The event loop is never blocked: commits run in their own thread, one at a time, which notifies the loop when
they end. A failing store makes the ledger stuck, which the engine sees through admits().
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

from troutdock.usage.ledger import LedgerState, Promise, OnRecorded
from troutdock.usage.memory import MemoryStore
from troutdock.usage.store import Store, StoreError
from troutdock.usage.record import Batch, Use
from troutdock.usage.sqlite import SqliteStore

log = logging.getLogger("troutdock")

CLOSE_TIMEOUT_S = 5.0  # for writing the remaining records at shutdown


class Engine(Protocol):
    """The engine whose usage is recorded."""

    def set_ledger(self, ledger: Usage) -> None:
        """Sets the ledger."""


@dataclass(frozen=True, slots=True)
class UsageOptions:
    """Settings of the ledger.

    Attributes:
        promise: when answers may be given.
        folder: of the ledger and its exports.
        at_risk_ms: age limit of records not on disk, with the promise `bounded`.
        export_interval_s: 0: no exports.
        max_rows: of one export.
        consumer_url: empty: exports are not delivered.
        retention_s: age after which acknowledged exports are deleted.
        max_unacknowledged_bytes: size limit of unacknowledged exports; above it no request is admitted.
    """

    promise: Promise
    folder: Path | None = None
    at_risk_ms: float = 50.0
    export_interval_s: float = 60.0
    max_rows: int = 100_000
    consumer_url: str = ""
    retention_s: float = 7 * 86_400.0
    max_unacknowledged_bytes: int = 1 << 30


class Usage:
    """Implements engine.Ledger; bound to the event loop that runs when it is started."""

    def __init__(self, ingress: str, options: UsageOptions, store: Store | None = None) -> None:
        """store: replaces the one of the options. Raises StoreError if the store cannot be opened."""
        self._ingress, self._options = ingress, options
        self._store = store or self._open_store()
        self.ledger = LedgerState(self._store.begin(_now()), options.promise, options.at_risk_ms)
        self._batches: queue.SimpleQueue[Batch | None] = queue.SimpleQueue()
        self._timer: asyncio.TimerHandle | None = None
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._all_committed: asyncio.Event | None = None

    def _open_store(self) -> Store:
        if self._options.promise is Promise.MEMORY or self._options.folder is None:
            return MemoryStore()
        return SqliteStore(self._options.folder)

    def start(self, engine: Engine) -> None:
        """Starts the writer, and the exporter if enabled."""
        engine.set_ledger(self)
        self._loop = asyncio.get_running_loop()
        self._all_committed = asyncio.Event()
        self._start_thread("usage-writer", self._run_writer)
        if (
            self._options.folder is not None
            and self._options.export_interval_s > 0
            and self._options.promise is not Promise.MEMORY
        ):
            self._start_thread("usage-exporter", self._run_exporter)
        self._schedule_commit()

    def _start_thread(self, name: str, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, name=name, daemon=True)
        thread.start()
        self._threads.append(thread)

    # ---- engine.Ledger

    def admits(self) -> float:
        """Returns 0, or the retry delay for a client in milliseconds."""
        return self.ledger.admits(_now())

    def record(self, customer: int, plan: str, cls: str, units: float, on_recorded: OnRecorded) -> None:
        """Records the usage of an answer; calls on_recorded once it may be given, possibly at once."""
        now = _now()
        self.ledger.add(now, Use(customer, plan, cls, units, now), on_recorded)
        self._schedule_commit()

    # ---- management calls

    def books(self) -> dict[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]:
        """Returns the management call that shows the state of the ledger."""
        return {(b"GET", b"/control/usage"): self._show}

    async def _show(self, body: bytes) -> tuple[int, bytes]:
        ledger = self.ledger
        return 200, msgspec.json.encode(
            {
                "promise": ledger.promise.value,
                "incarnation": ledger.incarnation,
                "records": ledger.last_sequence,
                "waiting": ledger.waiting,
                "units_at_risk": ledger.units_at_risk,
                "most_units_at_risk": ledger.max_units_at_risk,
                "stuck": ledger.stuck,
                "full": ledger.full,
            }
        )

    # ---- writer: event loop side

    def _schedule_commit(self) -> None:
        """Begins the next commit, or sets a timer for it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait_ms = self.ledger.commit_delay_ms(_now())
        if wait_ms <= 0:
            self._batches.put(self.ledger.begin_commit())
        elif wait_ms < inf:
            self._timer = self._loop.call_later(wait_ms / 1000, self._schedule_commit)

    def _commit_done(self, error: StoreError | None) -> None:
        if error is None:
            if self.ledger.stuck:
                log.warning("usage: commits succeed again")
            self.ledger.commit_succeeded(_now())
        else:
            if not self.ledger.stuck:
                log.error("usage: %s; no request is admitted until a commit succeeds", error)
            self.ledger.commit_failed(_now())
        if self.ledger.finished and self._all_committed is not None:
            self._all_committed.set()
            return
        self._schedule_commit()

    async def close(self) -> None:
        """Writes the remaining records and logs those that fail. No usage may be recorded afterwards."""
        if not self._threads:
            self._store.close()
            return
        self.ledger.closing = True
        self._schedule_commit()
        assert self._all_committed is not None
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._all_committed.wait()
        except TimeoutError:
            log.error("usage: %d records and state updates are not on disk", self.ledger.waiting)
        if self._timer is not None:
            self._timer.cancel()
        self._stopping.set()
        self._batches.put(None)
        for thread in self._threads:
            await asyncio.to_thread(thread.join, CLOSE_TIMEOUT_S)
        if self._all_committed.is_set():
            try:
                self._store.end(self.ledger.incarnation)
            except StoreError as error:
                log.error("usage: %s", error)
        self._store.close()

    # ---- threads

    def _run_writer(self) -> None:
        while (batch := self._batches.get()) is not None:
            error = None
            try:
                self._store.commit(batch)
            except StoreError as failed:
                error = failed
            except Exception as failed:  # after any other error the batch may not be on disk
                error = StoreError(repr(failed))
            try:
                self._loop.call_soon_threadsafe(self._commit_done, error)
            except RuntimeError:
                return  # the loop ended without close()

    def _run_exporter(self) -> None:
        """Runs the exporter thread. pyarrow is loaded here, so that it does not delay the start."""
        from troutdock.usage.consumer import Consumer, Deliveries
        from troutdock.usage.exporter import Exporter
        from troutdock.usage.files import Files

        options = self._options
        assert options.folder is not None
        failing = False
        store: Store | None = None
        while not self._stopping.wait(options.export_interval_s):
            try:
                if store is None:
                    store = SqliteStore(options.folder)
                    files = Files(options.folder / "exports")
                    exporter = Exporter(self._ingress, store, files)
                    deliveries = (
                        Deliveries(store, files, Consumer(options.consumer_url), Random(), log.warning)
                        if options.consumer_url
                        else None
                    )
                exporter.run(_now(), options.max_rows)
                if deliveries is not None:
                    deliveries.run(_now)
                exporter.retain(_now(), 1000 * options.retention_s)
                waiting = sum(e.bytes for e in store.exports() if not e.acknowledged)
                full = waiting > options.max_unacknowledged_bytes
                if full and not self.ledger.full:
                    log.error(
                        "usage: %d bytes of exports are unacknowledged; admitting no requests",
                        waiting,
                    )
                self.ledger.full = full
                failing = False
            except (StoreError, OSError) as error:
                if not failing:
                    log.error("usage: exporting failed: %s", error)
                failing = True
        if store is not None:
            store.close()


def _now() -> float:
    return time.time() * 1000
