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
SCHEMA = 1


class Memory:
    """The file in a folder; where the disk refuses, saves say so and nothing else fails.

    None as the folder: nothing lasts, and every save is as good as kept. One thread at a time.
    """

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / FILE if folder is not None else None
        self._base: sqlite3.Connection | None = None

    def open(self) -> list[Instance] | None:
        """What was kept, tombstones too; None where the disk refuses, and then nothing may be saved yet."""
        if self._path is None:
            return []
        for again in (True, False):
            try:
                rows = self._connect(self._path).execute("SELECT told FROM instances").fetchall()
                return [msgspec.json.decode(told, type=Instance) for (told,) in rows]
            except (sqlite3.Error, OSError, msgspec.MsgspecError) as error:
                self.close()
                if _refuses(error) or not again:
                    log.warning("Disk: backends are not remembered: {}. It is tried again.", error)
                    return None
                self._begin_anew(self._path, error)
        return None

    def _begin_anew(self, path: Path, why: Exception) -> None:
        log.error("Disk: {} is damaged and begun anew: {}.", FILE, why)
        for each in (path, *path.parent.glob(FILE + "-*")):
            with contextlib.suppress(OSError):
                each.unlink(missing_ok=True)

    def _connect(self, path: Path) -> sqlite3.Connection:
        """The open file, with its names synced into their folder."""
        path.parent.mkdir(parents=True, exist_ok=True)
        base = self._base = sqlite3.connect(str(path), isolation_level=None, check_same_thread=False)
        base.execute("PRAGMA locking_mode = EXCLUSIVE")
        base.execute("PRAGMA journal_mode = WAL")
        base.execute("PRAGMA synchronous = FULL")
        if base.execute("PRAGMA user_version").fetchone()[0] != SCHEMA:
            base.execute("DROP TABLE IF EXISTS instances")
            base.execute("CREATE TABLE instances (id TEXT PRIMARY KEY, told BLOB NOT NULL)")
            base.execute(f"PRAGMA user_version = {SCHEMA}")
        _sync_folder(path.parent)
        with contextlib.suppress(OSError):  # it is the platform's, and may not be opened
            _sync_folder(path.parent.parent)
        return base

    def save(self, entries: Iterable[Instance], dropped: Iterable[str], whole: bool) -> bool:
        """Keep these and drop those, synced before it returns; false where the disk refuses.

        whole: the entries are all that there is, and take the place of whatever lies there.
        """
        if self._path is None:
            return True
        try:
            base = self._base if self._base is not None else self._connect(self._path)
            base.execute("BEGIN IMMEDIATE")
            if whole:
                base.execute("DELETE FROM instances")
            base.executemany("DELETE FROM instances WHERE id = ?", ((id,) for id in dropped))
            base.executemany(
                "INSERT OR REPLACE INTO instances VALUES (?, ?)",
                ((entry.id, msgspec.json.encode(entry)) for entry in entries),
            )
            base.execute("COMMIT")
        except (sqlite3.Error, OSError) as error:
            log.warning("Disk: what is known of backends can't be kept: {}. It is tried again.", error)
            self.close()  # what the next commit would say of this one can't be known
            if not _refuses(error):
                self._begin_anew(self._path, error)
            return False
        return True

    def close(self) -> None:
        """Let the file go."""
        if self._base is not None:
            with contextlib.suppress(sqlite3.Error):
                self._base.close()
            self._base = None


def _refuses(error: Exception) -> bool:
    """The disk is in trouble, and what lies there may be whole."""
    return isinstance(error, OSError) or (
        isinstance(error, sqlite3.OperationalError) and "malformed" not in str(error)
    )


def _sync_folder(folder: Path) -> None:
    """A name that is new lasts over a loss of power once its folder was synced.

    Some file systems have no such sync; there nothing more can be done.
    """
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    except OSError as error:
        if error.errno not in (errno.EINVAL, errno.ENOTSUP):
            raise
    finally:
        os.close(handle)
