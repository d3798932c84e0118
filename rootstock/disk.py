"""What a replica keeps, on sqlite: one writer, synced before it returns.

A file that can't be read as a store is set aside, never read as data: the replica then starts as one whose
disk was lost, and is given everything anew. Schema versions stand in `user_version`, with a step from each
to the next.
"""

from __future__ import annotations

import contextlib
import sqlite3
from hashlib import blake2b
from pathlib import Path

import msgspec

from furrow.messages import Record
from rootstock.state import Kept

FILE = "rootstock.db"
SCHEMA = 1
HISTORY = 32  # versions before the newest that are kept for operators to look at
_STEPS = {
    0: (
        "CREATE TABLE state (only INTEGER PRIMARY KEY CHECK (only = 1), promised INTEGER NOT NULL,"
        " record TEXT,"
        " version INTEGER NOT NULL, voters TEXT NOT NULL, blank INTEGER NOT NULL, given INTEGER NOT NULL,"
        " mark TEXT NOT NULL)",
        "CREATE TABLE configurations"
        " (version INTEGER PRIMARY KEY, body BLOB NOT NULL, epoch INTEGER NOT NULL,"
        " mark TEXT NOT NULL)",
    )
}


def _mark(*fields: object) -> str:
    """What tells that a row is as it was written: sqlite finds broken pages, not changed bytes."""
    return blake2b(repr(fields).encode(), digest_size=12).hexdigest()


class DiskError(OSError):
    """The disk refuses or what lies on it is damaged."""


class Disk:
    """The store's file in a folder. None as the folder: kept in memory only, for tests and for what-if."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / FILE if folder is not None else None
        self._base: sqlite3.Connection | None = None
        self._version = -1  # of the newest configuration in the file
        self.set_aside: Path | None = None  # a damaged file's new name

    def open(self) -> Kept | None:
        """What is kept, None for nothing; DiskError if the disk refuses."""
        try:
            return self._open()
        except sqlite3.DatabaseError as error:
            if isinstance(error, sqlite3.OperationalError) and "malformed" not in str(error):
                raise DiskError(f"can't be opened: {error}") from error
            self._put_aside()
            try:
                return self._open()
            except sqlite3.Error as again:
                raise DiskError(f"can't be opened: {again}") from again
        except (OSError, msgspec.MsgspecError) as error:
            raise DiskError(f"can't be opened: {error}") from error

    def _open(self) -> Kept | None:
        self.close()
        if self._path is not None:
            self._path.parent.mkdir(parents=True, exist_ok=True)
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
        (found,) = base.execute("PRAGMA quick_check").fetchone()
        if found != "ok":
            raise sqlite3.DatabaseError(f"malformed: {found}")
        (schema,) = base.execute("PRAGMA user_version").fetchone()
        if schema > SCHEMA:
            raise DiskError(f"schema {schema} is newer than this program's {SCHEMA}")
        while schema < SCHEMA:
            base.execute("BEGIN IMMEDIATE")
            for step in _STEPS[schema]:
                base.execute(step)
            schema += 1
            base.execute(f"PRAGMA user_version = {schema}")
            base.execute("COMMIT")
        row = base.execute(
            "SELECT promised, record, version, voters, blank, given, mark FROM state"
        ).fetchone()
        if row is None:
            return None
        *fields, mark = row
        if _mark(*fields) != mark:
            raise sqlite3.DatabaseError("malformed: the state does not fit its mark")
        promised, record, version, voters, blank, given = fields
        body = b""
        if version:
            kept = base.execute(
                "SELECT body, mark FROM configurations WHERE version = ?", (version,)
            ).fetchone()
            if kept is None or _mark(version, kept[0]) != kept[1]:
                raise sqlite3.DatabaseError(f"malformed: version {version} is missing or spoilt")
            body = kept[0]
        self._version = version
        return Kept(
            promised,
            msgspec.json.decode(record, type=Record) if record else None,
            version,
            body,
            tuple(msgspec.json.decode(voters, type=list[str])),
            bool(blank),
            given,
        )

    def _put_aside(self) -> None:
        self.close()
        if self._path is None:
            return
        number = 1
        while (aside := self._path.with_suffix(f".damaged{number}")).exists():
            number += 1
        for path in (self._path, *self._path.parent.glob(FILE + "-*")):
            if path.exists():
                path.rename(aside if path == self._path else Path(str(aside) + path.name[len(FILE) :]))
        self.set_aside = aside

    def save(self, kept: Kept) -> None:
        """Keep it; DiskError, and nothing is known of what is kept, if the disk refuses."""
        base = self._base
        if base is None:
            raise DiskError("not open")
        record = msgspec.json.encode(kept.record).decode() if kept.record is not None else None
        try:
            base.execute("BEGIN IMMEDIATE")
            if kept.version != self._version and kept.version:
                base.execute("DELETE FROM configurations WHERE version > ?", (kept.version,))
                base.execute(
                    "INSERT OR REPLACE INTO configurations VALUES (?, ?, ?, ?)",
                    (kept.version, kept.body, kept.promised, _mark(kept.version, kept.body)),
                )
                base.execute(
                    "DELETE FROM configurations WHERE version NOT IN"
                    " (SELECT version FROM configurations ORDER BY version DESC LIMIT ?)",
                    (HISTORY,),
                )
            voters = msgspec.json.encode(list(kept.voters)).decode()
            fields = (kept.promised, record, kept.version, voters, int(kept.blank), kept.given)
            base.execute(
                "INSERT OR REPLACE INTO state VALUES (1, ?, ?, ?, ?, ?, ?, ?)", (*fields, _mark(*fields))
            )
            base.execute("COMMIT")
        except sqlite3.Error as error:
            self.close()  # what the next commit would say of this one can't be known
            raise DiskError(f"can't be written: {error}") from error
        self._version = kept.version

    def close(self) -> None:
        """Let the file go."""
        if self._base is not None:
            with contextlib.suppress(sqlite3.Error):
                self._base.close()
            self._base = None
