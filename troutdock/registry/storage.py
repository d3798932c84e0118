"""Durable storage of instance states in a registry, on SQLite.

A draining state or a deregistration is acknowledged only after it has been synced here and on other machines;
`save` returns after the sync. Instances that are gone are stored as tombstones for as long as the endpoint
table holds them, so that neither this registry after a restart nor a peer that was disconnected revives them.
A stored available state is only a starting point: after a power loss of all machines, every backend sends a
heartbeat again within one heartbeat interval.

A damaged file is deleted and created again. After an I/O failure the next save is another attempt, and it
contains all entries.
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
    """The database file in a directory. Not thread-safe: use it from one thread at a time.

    Without a directory nothing is stored, and every save succeeds. I/O failures are reported by return
    values.
    """

    def __init__(self, directory: Path | None) -> None:
        self._path = directory / FILE if directory is not None else None
        self._db: sqlite3.Connection | None = None

    def load(self) -> list[Instance] | None:
        """Reads the stored instances, including tombstones.

        Returns:
            The instances, or None after an I/O failure. Nothing may be saved before a load has succeeded.
        """
        if self._path is None:
            return []
        for retry in (True, False):
            try:
                rows = self._connect(self._path).execute("SELECT told FROM instances").fetchall()
                return [msgspec.json.decode(encoded, type=Instance) for (encoded,) in rows]
            except (sqlite3.Error, OSError, msgspec.MsgspecError) as error:
                self.close()
                if _is_io_failure(error) or not retry:
                    log.warning("Disk: stored instances cannot be read: {}. Will retry.", error)
                    return None
                self._recreate(self._path, error)
        return None

    def _recreate(self, path: Path, cause: Exception) -> None:
        log.error("Disk: {} is damaged and is created again: {}.", FILE, cause)
        for file in (path, *path.parent.glob(FILE + "-*")):
            with contextlib.suppress(OSError):
                file.unlink(missing_ok=True)

    def _connect(self, path: Path) -> sqlite3.Connection:
        """Opens the file, creates its table if needed, and syncs its directory entries."""
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
        with contextlib.suppress(OSError):  # the parent belongs to the platform and may not be readable
            _fsync_directory(path.parent.parent)
        return db

    def save(self, entries: Iterable[Instance], deleted: Iterable[str], full: bool) -> bool:
        """Stores entries and deletes others; returns after the sync.

        Args:
            entries: Instances to insert or replace.
            deleted: Ids of instances to delete.
            full: Whether the entries are complete and replace everything that is stored.

        Returns:
            Whether the data is on the disk; false after an I/O failure.
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
            log.warning("Disk: instance states cannot be stored: {}. Will retry.", error)
            self.close()  # a later commit would not show whether this one was stored
            if not _is_io_failure(error):
                self._recreate(self._path, error)
            return False
        return True

    def close(self) -> None:
        """Closes the file; may be called more than once."""
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None


def _is_io_failure(error: Exception) -> bool:
    """Returns whether this is an I/O failure, after which the stored data may be intact."""
    return isinstance(error, OSError) or (
        isinstance(error, sqlite3.OperationalError) and "malformed" not in str(error)
    )


def _fsync_directory(directory: Path) -> None:
    """Syncs a directory, so that a new file name in it survives a power loss.

    File systems that do not support this are ignored.
    """
    fd = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(fd)
    except OSError as error:
        if error.errno not in (errno.EINVAL, errno.ENOTSUP):
            raise
    finally:
        os.close(fd)
