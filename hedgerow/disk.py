"""What a registry remembers of backends over its own end, on sqlite: a hint to begin with, never a promise.

After all power was lost every backend calls again within a beat; until then the ones that were there before
are the best that is known. What lies here may be a second old: a backend that has drained since says so
with its next call, and one that has gone is not reached, as each request names the instance that it is
meant for. A file that can't be read is begun anew.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterable
from pathlib import Path

import logbook
import msgspec

from furrow.messages import GONE, Instance

log = logbook.Logger("hedgerow")

FILE = "hedgerow.db"
SCHEMA = 1


class Memory:
    """The file in a folder; where the disk refuses, nothing is remembered and nothing else fails."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / FILE if folder is not None else None
        self._base: sqlite3.Connection | None = None

    def open(self) -> list[Instance]:
        """What was remembered, without those that had gone."""
        if self._path is None:
            return []
        for again in (True, False):
            try:
                self._path.parent.mkdir(parents=True, exist_ok=True)
                base = self._base = sqlite3.connect(
                    str(self._path), isolation_level=None, check_same_thread=False
                )
                base.execute("PRAGMA locking_mode = EXCLUSIVE")
                base.execute("PRAGMA journal_mode = WAL")
                base.execute("PRAGMA synchronous = FULL")
                if base.execute("PRAGMA user_version").fetchone()[0] != SCHEMA:
                    base.execute("DROP TABLE IF EXISTS instances")
                    base.execute("CREATE TABLE instances (id TEXT PRIMARY KEY, told BLOB NOT NULL)")
                    base.execute(f"PRAGMA user_version = {SCHEMA}")
                rows = base.execute("SELECT told FROM instances").fetchall()
                return [msgspec.json.decode(told, type=Instance) for (told,) in rows]
            except (sqlite3.Error, OSError, msgspec.MsgspecError):
                self.close()
                if again:
                    for path in (self._path, *self._path.parent.glob(FILE + "-*")):
                        with contextlib.suppress(OSError):
                            path.unlink(missing_ok=True)
        return []

    def save(self, entries: Iterable[Instance]) -> bool:
        """Remember these, and forget those of them that have gone; false where the disk refuses."""
        base = self._base
        if base is None:
            return False
        try:
            base.execute("BEGIN IMMEDIATE")
            for entry in entries:
                if entry.state == GONE:
                    base.execute("DELETE FROM instances WHERE id = ?", (entry.id,))
                else:
                    base.execute(
                        "INSERT OR REPLACE INTO instances VALUES (?, ?)",
                        (entry.id, msgspec.json.encode(entry)),
                    )
            base.execute("COMMIT")
        except sqlite3.Error as error:
            log.warning("Disk: backends are not remembered: {}.", error)
            self.close()
            return False
        return True

    def close(self) -> None:
        """Let the file go."""
        if self._base is not None:
            with contextlib.suppress(sqlite3.Error):
                self._base.close()
            self._base = None
