"""What a registry keeps of backends over its own end, on sqlite: that they are there, drain, or are gone.

That one drains or is gone is acknowledged only once it is synced here and elsewhere: `save` returns after the
sync. Ids that are gone lie here as tombstones for as long as the book remembers them, so that neither this
registry's next life nor a peer that was away brings them back. That one is available is a hint to begin with:
after all power was lost every backend calls again within a beat. A file that can't be read is begun anew; one
that refuses is tried again with the next save, which then has everything in it.
"""

from __future__ import annotations

import contextlib
import errno
import os
import sqlite3
from collections.abc import Iterable
from pathlib import Path

import logbook
import msgspec

from troutdock.rpc.messages import Instance

log = logbook.Logger("hedgerow")

FILE = "hedgerow.db"
SCHEMA_VERSION = 1


class InstanceStorage:
    """The file in a folder; where the disk refuses, saves say so and nothing else fails.

    None as the folder: nothing lasts, and every save is as good as kept. One thread at a time.
    """

    def __init__(self, directory: Path | None) -> None:
        self._path = directory / FILE if directory is not None else None
        self._db: sqlite3.Connection | None = None

    def load(self) -> list[Instance] | None:
        """What was kept, tombstones too; None where the disk refuses, and then nothing may be saved yet."""
        if self._path is None:
            return []
        for retry in (True, False):
            try:
                rows = self._connect(self._path).execute("SELECT told FROM instances").fetchall()
                return [msgspec.json.decode(encoded, type=Instance) for (encoded,) in rows]
            except (sqlite3.Error, OSError, msgspec.MsgspecError) as error:
                self.close()
                if _is_io_failure(error) or not retry:
                    log.warning("Disk: backends are not remembered: {}. It is tried again.", error)
                    return None
                self._recreate(self._path, error)
        return None

    def _recreate(self, path: Path, cause: Exception) -> None:
        log.error("Disk: {} is damaged and begun anew: {}.", FILE, cause)
        for file in (path, *path.parent.glob(FILE + "-*")):
            with contextlib.suppress(OSError):
                file.unlink(missing_ok=True)

    def _connect(self, path: Path) -> sqlite3.Connection:
        """The open file, with its names synced into their folder."""
        path.parent.mkdir(parents=True, exist_ok=True)
        db = self._db = sqlite3.connect(str(path), isolation_level=None, check_same_thread=False)
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        if db.execute("PRAGMA user_version").fetchone()[0] != SCHEMA_VERSION:
            db.execute("DROP TABLE IF EXISTS instances")
            db.execute("CREATE TABLE instances (id TEXT PRIMARY KEY, told BLOB NOT NULL)")
            db.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
        _fsync_directory(path.parent)
        with contextlib.suppress(OSError):  # it is the platform's, and may not be opened
            _fsync_directory(path.parent.parent)
        return db

    def save(self, entries: Iterable[Instance], deleted: Iterable[str], full: bool) -> bool:
        """Keep these and drop those, synced before it returns; false where the disk refuses.

        whole: the entries are all that there is, and take the place of whatever lies there.
        """
        if self._path is None:
            return True
        try:
            db = self._db if self._db is not None else self._connect(self._path)
            db.execute("BEGIN IMMEDIATE")
            if full:
                db.execute("DELETE FROM instances")
            db.executemany("DELETE FROM instances WHERE id = ?", ((id,) for id in deleted))
            db.executemany(
                "INSERT OR REPLACE INTO instances VALUES (?, ?)",
                ((entry.id, msgspec.json.encode(entry)) for entry in entries),
            )
            db.execute("COMMIT")
        except (sqlite3.Error, OSError) as error:
            log.warning("Disk: what is known of backends can't be kept: {}. It is tried again.", error)
            self.close()  # what the next commit would say of this one can't be known
            if not _is_io_failure(error):
                self._recreate(self._path, error)
            return False
        return True

    def close(self) -> None:
        """Let the file go."""
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None


def _is_io_failure(error: Exception) -> bool:
    """The disk is in trouble, and what lies there may be whole."""
    return isinstance(error, OSError) or (
        isinstance(error, sqlite3.OperationalError) and "malformed" not in str(error)
    )


def _fsync_directory(directory: Path) -> None:
    """A name that is new lasts over a loss of power once its folder was synced.

    Some file systems have no such sync; there nothing more can be done.
    """
    fd = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(fd)
    except OSError as error:
        if error.errno not in (errno.EINVAL, errno.ENOTSUP):
            raise
    finally:
        os.close(fd)
