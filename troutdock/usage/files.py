"""Folder of exports: files are complete or absent, and durable when a call returns."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from troutdock.usage.store import StoreError

PARTIAL_SUFFIX = ".part"  # appended to the name of an incomplete file


class Files:
    """A folder of exports; tests replace it to inject a failure or crash at each call."""

    def __init__(self, folder: Path) -> None:
        """Creates the folder if it does not exist; raises StoreError if that fails."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from error

    def write(self, name: str, make: Callable[[Path], None]) -> None:
        """Writes a file under a temporary name, syncs and renames it; raises StoreError on failure."""
        partial = self.folder / (name + PARTIAL_SUFFIX)
        try:
            make(partial)
            self.sync(partial)
            self.rename(partial, self.folder / name)
            self.sync(self.folder)
        except OSError as error:
            raise StoreError(f"{partial}: {error.strerror or error}") from error

    def sync(self, path: Path) -> None:
        """Flushes a file or folder to disk."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: Path, new: Path) -> None:
        """Renames a file atomically."""
        old.rename(new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        (self.folder / name).unlink(missing_ok=True)

    def names(self) -> list[str]:
        """Returns the sorted names of all files."""
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Reads a file; raises StoreError if that fails."""
        try:
            return (self.folder / name).read_bytes()
        except OSError as error:
            raise StoreError(f"{self.folder / name}: {error.strerror}") from error
