"""Durable state of a replica in SQLite: one writer, each commit synced before save() returns.

A file that cannot be read as a store is renamed (quarantined) and never used as data: the replica then starts
like one whose disk was lost, and gets its state from the others. The schema version is kept in
`user_version`, with one migration from each version to the next.

After a power loss, each name that was created, renamed or removed since the last fsync of its directory may
or may not be there, independently of the others. The store consists of two files, the database and its
write-ahead log (`-wal`, which SQLite syncs with each commit, and its directory with the first). The newest
commits may be in the log alone. So that a database without its log is never taken for the newest state, a
third file, WAL_MARKER, tells that the log must exist. The marker is created and synced once the log is
durable. On an orderly close it is removed, and the directory synced, before SQLite removes the log. A
quarantined database is renamed, and the directory synced, before its log is renamed, and both before a new
store is created. If a part is missing, the disk counts as lost.

Disk usage is bounded: MAX_HISTORY configurations, and MAX_HISTORY_BYTES of them beside the newest; older ones
are deleted before a new one is written. The log is truncated to MAX_WAL_BYTES after each checkpoint. Only the
last quarantined file is kept.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
from hashlib import blake2b
from pathlib import Path

import msgspec

from troutdock.rpc.messages import Record
from troutdock.config_store.replica_state import DurableState

FILE = "rootstock.db"
WAL_MARKER = "rootstock.logged"  # while it exists, the database is incomplete without its log
SCHEMA_VERSION = 2
MAX_HISTORY = 32  # stored versions including the newest, for inspection by operators
MAX_HISTORY_BYTES = 24 * 1024 * 1024  # of stored bodies, without the newest
MAX_WAL_BYTES = 1024 * 1024  # of the log after a checkpoint
_SCHEMA_1 = (
    "CREATE TABLE state (only INTEGER PRIMARY KEY CHECK (only = 1), promised INTEGER NOT NULL,"
    " record TEXT,"
    " version INTEGER NOT NULL, voters TEXT NOT NULL, blank INTEGER NOT NULL, given INTEGER NOT NULL,"
    " mark TEXT NOT NULL)",
    "CREATE TABLE configurations"
    " (version INTEGER PRIMARY KEY, body BLOB NOT NULL, epoch INTEGER NOT NULL,"
    " mark TEXT NOT NULL)",
)


class _CorruptionError(sqlite3.DatabaseError):
    """The file cannot be read as a store."""


def _row_checksum(*fields: object) -> str:
    """Checksum of a row; SQLite detects malformed pages, but not changed bytes in them."""
    return blake2b(repr(fields).encode(), digest_size=12).hexdigest()


def _body_checksum(version: int, body: bytes) -> str:
    """Checksum of a configuration, computed without a copy of its body."""
    found = blake2b(b"%d:" % version, digest_size=12)
    found.update(body)
    return found.hexdigest()


def upgrade_record_v1(record: str | None) -> str | None:
    """Converts a record of schema 1, [epoch, primary, backup, ...], to one with a list of backups."""
    if record is None:
        return None
    fields = msgspec.json.decode(record, type=list)
    if len(fields) > 2 and isinstance(fields[2], str):
        fields[2] = [fields[2]] if fields[2] else []
    return msgspec.json.encode(fields).decode()


def _migrate_0(db: sqlite3.Connection) -> None:
    for statement in _SCHEMA_1:
        db.execute(statement)


def _migrate_1(db: sqlite3.Connection) -> None:
    """Migrates to schema 2: records list backups, `taken` is added, body checksums are made without repr."""
    db.execute("ALTER TABLE state ADD COLUMN taken TEXT NOT NULL DEFAULT '[]'")
    row = db.execute("SELECT promised, record, version, voters, blank, given, mark FROM state").fetchone()
    newest = 0
    if row is not None:
        *fields, checksum = row
        if _row_checksum(*fields) != checksum:
            raise _CorruptionError("malformed: the state does not match its checksum")
        fields[1], newest = upgrade_record_v1(fields[1]), fields[2]
        db.execute("UPDATE state SET record = ?, mark = ?", (fields[1], _row_checksum(*fields, "[]")))
    for (version,) in db.execute("SELECT version FROM configurations").fetchall():
        found = db.execute("SELECT body, mark FROM configurations WHERE version = ?", (version,)).fetchone()
        if _row_checksum(version, found[0]) == found[1]:
            checksum = _body_checksum(version, found[0])
            db.execute("UPDATE configurations SET mark = ? WHERE version = ?", (checksum, version))
        elif version == newest:
            raise _CorruptionError(f"malformed: version {version} does not match its checksum")
        else:
            db.execute("DELETE FROM configurations WHERE version = ?", (version,))


_MIGRATIONS = {0: _migrate_0, 1: _migrate_1}


def _fsync_directory(directory: Path) -> None:
    """Makes preceding changes of names in the directory durable."""
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _make_directory(directory: Path) -> None:
    if not directory.is_dir():
        _make_directory(directory.parent)
        directory.mkdir(exist_ok=True)
        _fsync_directory(directory.parent)


def _is_corruption(error: sqlite3.DatabaseError) -> bool:
    """Whether the error shows a damaged file, so that a retry is useless."""
    if not isinstance(error, sqlite3.OperationalError):
        return True
    return any(w in str(error) for w in ("malformed", "no such table", "no such column", "already exists"))


class DiskError(OSError):
    """The disk cannot be read or written."""


class Disk:
    """Database file of the store in a directory; in memory if the directory is None (tests, simulations)."""

    def __init__(self, directory: Path | None) -> None:
        self._path = directory / FILE if directory is not None else None
        self._db: sqlite3.Connection | None = None
        self._version = -1  # newest configuration in the file
        self._body = b""
        self._checkpointed = False  # the last close completed the database, but could not remove WAL_MARKER
        self.quarantined: Path | None = None  # new path of a damaged file

    def open(self) -> DurableState | None:
        """Opens the file; a damaged file is quarantined and replaced by an empty one.

        Returns:
            The stored state, or None if there is none.

        Raises:
            DiskError: The disk cannot be read or written.
        """
        try:
            return self._open()
        except sqlite3.DatabaseError as error:
            if not _is_corruption(error):
                self.close()
                raise DiskError(f"can't be opened: {error}") from error
            try:
                self._quarantine()
                return self._open()
            except (sqlite3.Error, OSError) as retry_error:
                raise DiskError(f"can't be opened: {retry_error}") from retry_error
        except (OSError, msgspec.MsgspecError) as error:
            self.close()
            raise DiskError(f"can't be opened: {error}") from error

    def _open(self) -> DurableState | None:
        self.close()
        if self._path is not None:
            _make_directory(self._path.parent)
            self._check_files(self._path)
        db = sqlite3.connect(
            str(self._path) if self._path is not None else ":memory:",
            isolation_level=None,
            check_same_thread=False,
        )
        self._db = db
        # only one process uses the file, so no shared memory is needed; a commit is one fsync of the log
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute("PRAGMA cache_size = -512")
        db.execute(f"PRAGMA journal_size_limit = {MAX_WAL_BYTES}")
        (found,) = db.execute("PRAGMA quick_check").fetchone()
        if found != "ok":
            raise _CorruptionError(f"malformed: {found}")
        (schema,) = db.execute("PRAGMA user_version").fetchone()
        if schema > SCHEMA_VERSION:
            raise DiskError(f"schema {schema} is newer than this program's {SCHEMA_VERSION}")
        while schema < SCHEMA_VERSION:
            db.execute("BEGIN IMMEDIATE")
            _MIGRATIONS[schema](db)
            schema += 1
            db.execute(f"PRAGMA user_version = {schema}")
            db.execute("COMMIT")
        durable = self._read(db)
        if self._path is not None:
            self._create_wal_marker(self._path, db)
        return durable

    def _check_files(self, path: Path) -> None:
        """Rejects a database whose log is missing; removes leftover files if there is no database."""
        marker, wal = path.with_name(WAL_MARKER), Path(f"{path}-wal")
        if path.exists() and path.stat().st_size:
            if marker.exists() and not self._checkpointed and not (wal.exists() and wal.stat().st_size):
                raise _CorruptionError("malformed: the write-ahead log is missing")
            return
        stale = [p for p in (path, wal, Path(f"{path}-journal"), Path(f"{path}-shm"), marker) if p.exists()]
        for each in stale:
            each.unlink()
        if stale:
            _fsync_directory(path.parent)

    def _create_wal_marker(self, path: Path, db: sqlite3.Connection) -> None:
        self._checkpointed = False
        # a commit, so that the log exists and is synced
        db.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        _fsync_directory(path.parent)
        fd = os.open(path.with_name(WAL_MARKER), os.O_WRONLY | os.O_CREAT)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
        _fsync_directory(path.parent)

    def _read(self, db: sqlite3.Connection) -> DurableState | None:
        self._version, self._body = -1, b""
        row = db.execute(
            "SELECT promised, record, version, voters, blank, given, taken, mark FROM state"
        ).fetchone()
        if row is None:
            return None
        *fields, checksum = row
        if _row_checksum(*fields) != checksum:
            raise _CorruptionError("malformed: the state does not match its checksum")
        promised, record, version, voters, blank, given, taken = fields
        body = b""
        if version:
            stored = db.execute(
                "SELECT body, mark FROM configurations WHERE version = ?", (version,)
            ).fetchone()
            if stored is None or _body_checksum(version, stored[0]) != stored[1]:
                raise _CorruptionError(
                    f"malformed: version {version} is missing or does not match its checksum"
                )
            body = stored[0]
        self._version, self._body = version, body
        return DurableState(
            promised,
            msgspec.json.decode(record, type=Record) if record else None,
            version,
            body,
            tuple(msgspec.json.decode(voters, type=list[str])),
            bool(blank),
            given,
            tuple(msgspec.json.decode(taken, type=list[tuple[int, str]])),
        )

    def _quarantine(self) -> None:
        self.close()
        if self._path is None:
            return
        directory = self._path.parent
        older = [p for p in directory.glob("rootstock.damaged*") if "-" not in p.name]
        numbers = [int(p.suffix[8:]) for p in older if p.suffix[8:].isdigit()]
        target = self._path.with_suffix(f".damaged{max(numbers, default=0) + 1}")
        self._path.rename(target)
        _fsync_directory(directory)  # the old name must not reappear without its log, which is renamed next
        for path in directory.glob(FILE + "-*"):
            path.rename(Path(str(target) + path.name[len(FILE) :]))
        self._path.with_name(WAL_MARKER).unlink(missing_ok=True)
        for path in older:
            for each in (path, *directory.glob(path.name + "-*")):
                each.unlink()
        _fsync_directory(directory)
        self.quarantined = target

    def save(self, durable: DurableState) -> None:
        """Writes the state and syncs it.

        Raises:
            DiskError: The write failed; it is unknown which state is stored.
        """
        db = self._db
        if db is None:
            raise DiskError("not open")
        record = msgspec.json.encode(durable.record).decode() if durable.record is not None else None
        try:
            db.execute("BEGIN IMMEDIATE")
            if durable.version and (durable.version != self._version or durable.body != self._body):
                self._prune_history(db, durable.version)
                db.execute(
                    "INSERT INTO configurations VALUES (?, ?, ?, ?)",
                    (
                        durable.version,
                        durable.body,
                        durable.promised,
                        _body_checksum(durable.version, durable.body),
                    ),
                )
            voters = msgspec.json.encode(list(durable.voters)).decode()
            taken = msgspec.json.encode(list(durable.taken)).decode()
            fields = (
                durable.promised,
                record,
                durable.version,
                voters,
                int(durable.blank),
                durable.given,
                taken,
            )
            db.execute(
                "INSERT OR REPLACE INTO state"
                " (only, promised, record, version, voters, blank, given, taken, mark)"
                " VALUES (1, ?, ?, ?, ?, ?, ?, ?, ?)",
                (*fields, _row_checksum(*fields)),
            )
            db.execute("COMMIT")
        except sqlite3.Error as error:
            self.close()  # a later commit would not tell whether this one is durable
            raise DiskError(f"can't be written: {error}") from error
        self._version, self._body = durable.version, durable.body

    def _prune_history(self, db: sqlite3.Connection, version: int) -> None:
        """Deletes all versions at or above the given one, and the oldest below it beyond the limits."""
        below = db.execute(
            "SELECT version, length(body) FROM configurations WHERE version < ? ORDER BY version DESC",
            (version,),
        ).fetchall()
        remaining, last = MAX_HISTORY_BYTES, 0
        for position, (number, size) in enumerate(below, 1):
            remaining -= size
            if position >= MAX_HISTORY or remaining < 0:
                last = number
                break
        db.execute("DELETE FROM configurations WHERE version <= ? OR version >= ?", (last, version))

    def close(self) -> None:
        """Closes the file."""
        db, self._db = self._db, None
        if db is None:
            return
        if self._path is None:
            db.close()
            return
        directory, marker, wal = (
            self._path.parent,
            self._path.with_name(WAL_MARKER),
            Path(f"{self._path}-wal"),
        )
        # the marker must be durably removed before SQLite deletes the log
        with contextlib.suppress(OSError):
            marker.unlink(missing_ok=True)
            _fsync_directory(directory)
        with contextlib.suppress(sqlite3.Error):
            db.close()
        with contextlib.suppress(OSError):
            if marker.exists() and not wal.exists():
                self._checkpointed = True
                marker.unlink()
            _fsync_directory(directory)
