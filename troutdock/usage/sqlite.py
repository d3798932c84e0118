"""The ledger in SQLite: WAL, an fsync with each commit, and a lock for each running incarnation.

The folder contains ledger.db and, for each incarnation, a file that its process keeps locked (flock). The
lock is released when the process ends, so a new process can detect which earlier incarnations have ended.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from troutdock.usage.store import ExportInfo, Selection, StoreError
from troutdock.usage.record import Batch, Record, State, UnknownRange, Use

FORMAT = 1
BUSY_MS = 2000  # time to wait for the commit of another process
_SCHEMA = """
CREATE TABLE IF NOT EXISTS incarnations (
    number INTEGER PRIMARY KEY, began_ms REAL NOT NULL, reserved INTEGER NOT NULL DEFAULT 0,
    ended INTEGER NOT NULL DEFAULT 0, exported INTEGER NOT NULL DEFAULT 0) STRICT;
CREATE TABLE IF NOT EXISTS records (
    incarnation INTEGER NOT NULL, sequence INTEGER NOT NULL, at_ms REAL NOT NULL, customer INTEGER NOT NULL,
    plan TEXT NOT NULL, class TEXT NOT NULL, units REAL NOT NULL, state INTEGER NOT NULL,
    PRIMARY KEY (incarnation, sequence)) STRICT, WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS exports (
    number INTEGER PRIMARY KEY, stem TEXT NOT NULL, digest TEXT NOT NULL, rows INTEGER NOT NULL,
    bytes INTEGER NOT NULL, acknowledged INTEGER NOT NULL DEFAULT 0) STRICT;
CREATE TABLE IF NOT EXISTS export_ranges (
    export INTEGER NOT NULL, incarnation INTEGER NOT NULL, first INTEGER NOT NULL, last INTEGER NOT NULL)
    STRICT;
"""


class SqliteStore:
    """A ledger in a folder; each thread uses its own object."""

    def __init__(self, folder: Path) -> None:
        """Opens the ledger and creates the folder if needed; StoreError if it fails or is not a ledger."""
        self._folder = folder
        self._locks: dict[int, int] = {}  # descriptors, by incarnation
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(
                folder / "ledger.db", isolation_level=None, check_same_thread=False, timeout=BUSY_MS / 1000
            )
            with self._errors("open the ledger"):
                (version,) = self._db.execute("PRAGMA user_version").fetchone()
                if version not in (0, FORMAT):
                    raise StoreError(
                        f"{folder}: a ledger of format {version}; this version supports {FORMAT}"
                    )
                self._db.execute("PRAGMA journal_mode=WAL")
                self._db.execute("PRAGMA synchronous=FULL")
                if version == 0:
                    self._db.executescript(
                        f"BEGIN IMMEDIATE; {_SCHEMA} PRAGMA user_version={FORMAT}; COMMIT;"
                    )
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror or error}") from error

    @contextmanager
    def _errors(self, what: str) -> Iterator[None]:
        try:
            yield
        except sqlite3.Error as error:
            raise StoreError(f"{self._folder}: can't {what}: {error}") from error

    @contextmanager
    def _transaction(self, what: str) -> Iterator[sqlite3.Connection]:
        with self._errors(what):
            self._db.execute("BEGIN IMMEDIATE")
            try:
                yield self._db
                self._db.execute("COMMIT")
            except BaseException:
                with suppress(sqlite3.Error):  # a full disk may already have caused the rollback
                    self._db.execute("ROLLBACK")
                raise

    def _lock_of(self, incarnation: int) -> Path:
        return self._folder / f"incarnation-{incarnation}.lock"

    def begin(self, now_ms: float) -> int:
        with self._transaction("begin") as db:
            (last,) = db.execute("SELECT coalesce(max(number), 0) FROM incarnations").fetchone()
            number = int(last) + 1
            # before other processes see the row: without a lock they would treat it as ended
            self._locks[number] = self._take_lock(number)
            db.execute("INSERT INTO incarnations (number, began_ms) VALUES (?, ?)", (number, now_ms))
        return number

    def _take_lock(self, number: int) -> int:
        """Locks the incarnation's file; raises StoreError if another process holds the lock."""
        try:
            descriptor = os.open(self._lock_of(number), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BaseException:
                os.close(descriptor)
                raise
        except OSError as error:
            raise StoreError(f"{self._lock_of(number)}: {error.strerror}") from error
        return descriptor

    def commit(self, batch: Batch) -> None:
        with self._transaction("commit") as db:
            db.executemany(
                "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                [
                    (
                        r.incarnation,
                        r.sequence,
                        r.use.at_ms,
                        r.use.customer,
                        r.use.plan,
                        r.use.cls,
                        r.use.units,
                        int(r.state),
                    )
                    for r in batch.records
                ],
            )
            db.executemany(
                "UPDATE records SET state = ? WHERE incarnation = ? AND sequence = ?",
                [(int(state), batch.incarnation, sequence) for sequence, state in batch.states],
            )
            db.execute(
                "UPDATE incarnations SET reserved = ? WHERE number = ?", (batch.reserved, batch.incarnation)
            )

    def end(self, incarnation: int) -> None:
        with self._transaction("end") as db:
            db.execute("UPDATE incarnations SET ended = 1 WHERE number = ?", (incarnation,))
        self._release(incarnation)

    def _release(self, incarnation: int) -> None:
        if (descriptor := self._locks.pop(incarnation, None)) is not None:
            with suppress(OSError):
                self._lock_of(incarnation).unlink()
            os.close(descriptor)

    def recover(self) -> list[int]:
        with self._errors("recover"):
            open_ones = [
                n
                for (n,) in self._db.execute(
                    "SELECT number FROM incarnations WHERE ended = 0 ORDER BY number"
                )
            ]
        found = []
        for number in open_ones:
            if number in self._locks:
                continue
            try:
                self._locks[number] = self._take_lock(number)
            except StoreError:
                continue  # its process is running
            with self._transaction("recover") as db:
                db.execute(
                    "UPDATE records SET state = ? WHERE incarnation = ? AND state = ?",
                    (int(State.UNCERTAIN), number, int(State.WRITTEN)),
                )
                db.execute("UPDATE incarnations SET ended = 1 WHERE number = ?", (number,))
            self._release(number)
            found.append(number)
        return found

    def select(self, max_records: int) -> Selection:
        records: list[Record] = []
        unknown: list[UnknownRange] = []
        with self._errors("select"):
            rows = self._db.execute(
                "SELECT number, reserved, ended, exported FROM incarnations WHERE ended = 0 OR exported < "
                "max(reserved, (SELECT coalesce(max(sequence), 0) FROM records "
                "WHERE incarnation = number)) "
                "ORDER BY number"
            )
            for number, reserved, ended, exported in rows.fetchall():
                after = int(exported)
                for sequence, at_ms, customer, plan, cls, units, state in self._db.execute(
                    "SELECT sequence, at_ms, customer, plan, class, units, state FROM records "
                    "WHERE incarnation = ? AND sequence > ? ORDER BY sequence LIMIT ?",
                    (number, after, max_records - len(records)),
                ):
                    if sequence != after + 1 or (state == State.WRITTEN and not ended):
                        break  # its final state is not known yet
                    records.append(
                        Record(number, sequence, Use(customer, plan, cls, units, at_ms), State(state))
                    )
                    after = sequence
                has_room = len(records) < max_records
                if ended and has_room and after < reserved:
                    unknown.append(UnknownRange(number, after + 1, int(reserved)))
                if not has_room:
                    break
        return Selection(tuple(records), tuple(unknown))

    def record_export(
        self, export: ExportInfo, selected: dict[int, tuple[int, int]], unknown: tuple[UnknownRange, ...]
    ) -> None:
        ranges = [(n, first, last) for n, (first, last) in selected.items()] + [tuple(u) for u in unknown]
        with self._transaction("note an export") as db:
            db.execute(
                "INSERT OR IGNORE INTO exports VALUES (?, ?, ?, ?, ?, ?)",
                (
                    export.number,
                    export.stem,
                    export.digest,
                    export.rows,
                    export.bytes,
                    int(export.acknowledged),
                ),
            )
            if db.execute("SELECT changes()").fetchone()[0]:
                for number, first, last in ranges:
                    db.execute(
                        "INSERT INTO export_ranges VALUES (?, ?, ?, ?)", (export.number, number, first, last)
                    )
                    db.execute(
                        "UPDATE incarnations SET exported = max(exported, ?) WHERE number = ?", (last, number)
                    )

    def exports(self) -> list[ExportInfo]:
        with self._errors("read the exports"):
            return [
                ExportInfo(n, stem, digest, rows, size, bool(acknowledged))
                for n, stem, digest, rows, size, acknowledged in self._db.execute(
                    "SELECT * FROM exports ORDER BY number"
                )
            ]

    def acknowledge(self, number: int) -> None:
        with self._transaction("acknowledge") as db:
            db.execute("UPDATE exports SET acknowledged = 1 WHERE number = ?", (number,))

    def forget(self, number: int) -> None:
        """Keeps the row of this export, so that the next number and the previous digest stay known."""
        with self._transaction("forget") as db:
            (unacknowledged,) = db.execute(
                "SELECT count(*) FROM exports WHERE number <= ? AND acknowledged = 0", (number,)
            ).fetchone()
            if unacknowledged:
                raise StoreError(f"export {number}: it or an earlier one is not acknowledged")
            for incarnation, last in db.execute(
                "SELECT incarnation, max(last) FROM export_ranges WHERE export <= ? GROUP BY incarnation",
                (number,),
            ).fetchall():
                db.execute("DELETE FROM records WHERE incarnation = ? AND sequence <= ?", (incarnation, last))
            db.execute("DELETE FROM export_ranges WHERE export <= ?", (number,))
            db.execute("DELETE FROM exports WHERE number < ?", (number,))

    def close(self) -> None:
        for descriptor in self._locks.values():
            os.close(descriptor)
        self._locks.clear()
        self._db.close()
