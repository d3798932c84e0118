"""What a replica keeps, on sqlite: one writer, synced before it returns.

A file that can't be read as a store is set aside, never read as data: the replica then starts as one whose
disk was lost, and is given everything anew. Schema versions stand in `user_version`, with a step from each
to the next.

After a loss of power each name that was made, renamed or removed since its folder was synced may be there or
not, by itself. The store is two files, the database and its log (`-wal`, which sqlite syncs with each commit,
and its folder with the first); what was committed may lie in the log alone. So that a database without its
log never passes for the newest state, a third file, LOGGED, says that there must be one: it is made and
synced once the log lasts, and goes, with a sync of the folder, before sqlite takes the log away at the end in
order. A file that is set aside gets its new name, synced, before its log does, and both before a new one is
made. Where a part is missing the disk counts as lost.

What is kept is bounded: HISTORY configurations, HISTORY_BYTES besides the newest; older ones make room before
the new one is written; the log is cut to LOG_BYTES after each checkpoint; one damaged file stays.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
from hashlib import blake2b
from pathlib import Path

import msgspec

from troutdock.rpc.messages import Record
from troutdock.config_store.replica_state import Kept

FILE = "rootstock.db"
LOGGED = "rootstock.logged"  # where it is, the database is not whole without its log
SCHEMA = 2
HISTORY = 32  # versions that are kept, the newest among them, for operators to look at
HISTORY_BYTES = 24 * 1024 * 1024  # of their bodies, without the newest's
LOG_BYTES = 1024 * 1024  # of the log, once what it holds lies in the database too
_FIRST = (
    "CREATE TABLE state (only INTEGER PRIMARY KEY CHECK (only = 1), promised INTEGER NOT NULL,"
    " record TEXT,"
    " version INTEGER NOT NULL, voters TEXT NOT NULL, blank INTEGER NOT NULL, given INTEGER NOT NULL,"
    " mark TEXT NOT NULL)",
    "CREATE TABLE configurations"
    " (version INTEGER PRIMARY KEY, body BLOB NOT NULL, epoch INTEGER NOT NULL,"
    " mark TEXT NOT NULL)",
)


class _Spoilt(sqlite3.DatabaseError):
    """It can't be read as a store."""


def _mark(*fields: object) -> str:
    """What tells that a row is as it was written: sqlite finds broken pages, not changed bytes."""
    return blake2b(repr(fields).encode(), digest_size=12).hexdigest()


def _body_mark(version: int, body: bytes) -> str:
    """The same for a configuration, without a copy of its body."""
    found = blake2b(b"%d:" % version, digest_size=12)
    found.update(body)
    return found.hexdigest()


def record_of_1(record: str | None) -> str | None:
    """A record's JSON of schema 1, [epoch, primary, backup, ...], with a list of backups in third place."""
    if record is None:
        return None
    fields = msgspec.json.decode(record, type=list)
    if len(fields) > 2 and isinstance(fields[2], str):
        fields[2] = [fields[2]] if fields[2] else []
    return msgspec.json.encode(fields).decode()


def _step_0(base: sqlite3.Connection) -> None:
    for statement in _FIRST:
        base.execute(statement)


def _step_1(base: sqlite3.Connection) -> None:
    """Records name a list of backups, `taken` is new, marks of bodies are made without repr."""
    base.execute("ALTER TABLE state ADD COLUMN taken TEXT NOT NULL DEFAULT '[]'")
    row = base.execute("SELECT promised, record, version, voters, blank, given, mark FROM state").fetchone()
    newest = 0
    if row is not None:
        *fields, mark = row
        if _mark(*fields) != mark:
            raise _Spoilt("malformed: the state does not fit its mark")
        fields[1], newest = record_of_1(fields[1]), fields[2]
        base.execute("UPDATE state SET record = ?, mark = ?", (fields[1], _mark(*fields, "[]")))
    for (version,) in base.execute("SELECT version FROM configurations").fetchall():
        found = base.execute("SELECT body, mark FROM configurations WHERE version = ?", (version,)).fetchone()
        if _mark(version, found[0]) == found[1]:
            mark = _body_mark(version, found[0])
            base.execute("UPDATE configurations SET mark = ? WHERE version = ?", (mark, version))
        elif version == newest:
            raise _Spoilt(f"malformed: version {version} is spoilt")
        else:
            base.execute("DELETE FROM configurations WHERE version = ?", (version,))


_STEPS = {0: _step_0, 1: _step_1}


def _sync_folder(folder: Path) -> None:
    """Names that were made, renamed or removed there last from now on."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _make_folder(folder: Path) -> None:
    if not folder.is_dir():
        _make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        _sync_folder(folder.parent)


def _cannot_be_read(error: sqlite3.DatabaseError) -> bool:
    """The file is at fault, and trying again is of no use."""
    if not isinstance(error, sqlite3.OperationalError):
        return True
    return any(w in str(error) for w in ("malformed", "no such table", "no such column", "already exists"))


class DiskError(OSError):
    """The disk refuses or what lies on it is damaged."""


class Disk:
    """The store's file in a folder. None as the folder: kept in memory only, for tests and for what-if."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / FILE if folder is not None else None
        self._base: sqlite3.Connection | None = None
        self._version = -1  # of the newest configuration in the file
        self._body = b""
        self._whole = False  # the last close left all in the database, though LOGGED could not be removed
        self.set_aside: Path | None = None  # a damaged file's new name

    def open(self) -> Kept | None:
        """What is kept, None for nothing; DiskError if the disk refuses."""
        try:
            return self._open()
        except sqlite3.DatabaseError as error:
            if not _cannot_be_read(error):
                self.close()
                raise DiskError(f"can't be opened: {error}") from error
            try:
                self._put_aside()
                return self._open()
            except (sqlite3.Error, OSError) as again:
                raise DiskError(f"can't be opened: {again}") from again
        except (OSError, msgspec.MsgspecError) as error:
            self.close()
            raise DiskError(f"can't be opened: {error}") from error

    def _open(self) -> Kept | None:
        self.close()
        if self._path is not None:
            _make_folder(self._path.parent)
            self._check_parts(self._path)
        base = sqlite3.connect(
            str(self._path) if self._path is not None else ":memory:",
            isolation_level=None,
            check_same_thread=False,
        )
        self._base = base
        # one process has the file, so there is nothing to share; a commit is one sync of the log
        base.execute("PRAGMA locking_mode = EXCLUSIVE")
        base.execute("PRAGMA journal_mode = WAL")
        base.execute("PRAGMA synchronous = FULL")
        base.execute("PRAGMA cache_size = -512")
        base.execute(f"PRAGMA journal_size_limit = {LOG_BYTES}")
        (found,) = base.execute("PRAGMA quick_check").fetchone()
        if found != "ok":
            raise _Spoilt(f"malformed: {found}")
        (schema,) = base.execute("PRAGMA user_version").fetchone()
        if schema > SCHEMA:
            raise DiskError(f"schema {schema} is newer than this program's {SCHEMA}")
        while schema < SCHEMA:
            base.execute("BEGIN IMMEDIATE")
            _STEPS[schema](base)
            schema += 1
            base.execute(f"PRAGMA user_version = {schema}")
            base.execute("COMMIT")
        kept = self._read(base)
        if self._path is not None:
            self._need_log(self._path, base)
        return kept

    def _check_parts(self, path: Path) -> None:
        """A database without the log that belongs to it is spoilt; what is left of one that is gone, goes."""
        logged, log = path.with_name(LOGGED), Path(f"{path}-wal")
        if path.exists() and path.stat().st_size:
            if logged.exists() and not self._whole and not (log.exists() and log.stat().st_size):
                raise _Spoilt("malformed: the log is missing")
            return
        left = [p for p in (path, log, Path(f"{path}-journal"), Path(f"{path}-shm"), logged) if p.exists()]
        for each in left:
            each.unlink()
        if left:
            _sync_folder(path.parent)

    def _need_log(self, path: Path, base: sqlite3.Connection) -> None:
        self._whole = False
        base.execute(f"PRAGMA user_version = {SCHEMA}")  # a commit: the log is there, and synced
        _sync_folder(path.parent)
        handle = os.open(path.with_name(LOGGED), os.O_WRONLY | os.O_CREAT)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
        _sync_folder(path.parent)

    def _read(self, base: sqlite3.Connection) -> Kept | None:
        self._version, self._body = -1, b""
        row = base.execute(
            "SELECT promised, record, version, voters, blank, given, taken, mark FROM state"
        ).fetchone()
        if row is None:
            return None
        *fields, mark = row
        if _mark(*fields) != mark:
            raise _Spoilt("malformed: the state does not fit its mark")
        promised, record, version, voters, blank, given, taken = fields
        body = b""
        if version:
            kept = base.execute(
                "SELECT body, mark FROM configurations WHERE version = ?", (version,)
            ).fetchone()
            if kept is None or _body_mark(version, kept[0]) != kept[1]:
                raise _Spoilt(f"malformed: version {version} is missing or spoilt")
            body = kept[0]
        self._version, self._body = version, body
        return Kept(
            promised,
            msgspec.json.decode(record, type=Record) if record else None,
            version,
            body,
            tuple(msgspec.json.decode(voters, type=list[str])),
            bool(blank),
            given,
            tuple(msgspec.json.decode(taken, type=list[tuple[int, str]])),
        )

    def _put_aside(self) -> None:
        self.close()
        if self._path is None:
            return
        folder = self._path.parent
        older = [p for p in folder.glob("rootstock.damaged*") if "-" not in p.name]
        numbers = [int(p.suffix[8:]) for p in older if p.suffix[8:].isdigit()]
        aside = self._path.with_suffix(f".damaged{max(numbers, default=0) + 1}")
        self._path.rename(aside)
        _sync_folder(folder)  # before its log: the old name must not come back without it
        for path in folder.glob(FILE + "-*"):
            path.rename(Path(str(aside) + path.name[len(FILE) :]))
        self._path.with_name(LOGGED).unlink(missing_ok=True)
        for path in older:
            for each in (path, *folder.glob(path.name + "-*")):
                each.unlink()
        _sync_folder(folder)
        self.set_aside = aside

    def save(self, kept: Kept) -> None:
        """Keep it; DiskError, and nothing is known of what is kept, if the disk refuses."""
        base = self._base
        if base is None:
            raise DiskError("not open")
        record = msgspec.json.encode(kept.record).decode() if kept.record is not None else None
        try:
            base.execute("BEGIN IMMEDIATE")
            if kept.version and (kept.version != self._version or kept.body != self._body):
                self._make_room(base, kept.version)
                base.execute(
                    "INSERT INTO configurations VALUES (?, ?, ?, ?)",
                    (kept.version, kept.body, kept.promised, _body_mark(kept.version, kept.body)),
                )
            voters = msgspec.json.encode(list(kept.voters)).decode()
            taken = msgspec.json.encode(list(kept.taken)).decode()
            fields = (kept.promised, record, kept.version, voters, int(kept.blank), kept.given, taken)
            base.execute(
                "INSERT OR REPLACE INTO state"
                " (only, promised, record, version, voters, blank, given, taken, mark)"
                " VALUES (1, ?, ?, ?, ?, ?, ?, ?, ?)",
                (*fields, _mark(*fields)),
            )
            base.execute("COMMIT")
        except sqlite3.Error as error:
            self.close()  # what the next commit would say of this one can't be known
            raise DiskError(f"can't be written: {error}") from error
        self._version, self._body = kept.version, kept.body

    def _make_room(self, base: sqlite3.Connection, version: int) -> None:
        """For a configuration of this version: none at or above it stays, and no more below than is kept."""
        below = base.execute(
            "SELECT version, length(body) FROM configurations WHERE version < ? ORDER BY version DESC",
            (version,),
        ).fetchall()
        room, last = HISTORY_BYTES, 0
        for place, (number, size) in enumerate(below, 1):
            room -= size
            if place >= HISTORY or room < 0:
                last = number
                break
        base.execute("DELETE FROM configurations WHERE version <= ? OR version >= ?", (last, version))

    def close(self) -> None:
        """Let the file go."""
        base, self._base = self._base, None
        if base is None:
            return
        if self._path is None:
            base.close()
            return
        folder, logged, log = self._path.parent, self._path.with_name(LOGGED), Path(f"{self._path}-wal")
        # not needed any more, and lastingly so, before sqlite takes the log away
        with contextlib.suppress(OSError):
            logged.unlink(missing_ok=True)
            _sync_folder(folder)
        with contextlib.suppress(sqlite3.Error):
            base.close()
        with contextlib.suppress(OSError):
            if logged.exists() and not log.exists():
                self._whole = True
                logged.unlink()
            _sync_folder(folder)
