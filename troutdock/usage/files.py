"""What exports need of a folder: whole files or none, on disk when a call returns."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from troutdock.usage.store import StoreError

PARTIAL_SUFFIX = ".part"  # behind the name of a file that is not whole yet


class Files:
    """A folder of exports; tests put one in its place that fails or dies at each call in turn."""

    def __init__(self, folder: Path) -> None:
        """The folder is made if it is not there. StoreError if it can't be."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from error

    def write(self, name: str, make: Callable[[Path], None]) -> None:
        """A file, made under another name, on disk before it has its own. StoreError if that can't be."""
        partial = self.folder / (name + PARTIAL_SUFFIX)
        try:
            make(partial)
            self.sync(partial)
            self.rename(partial, self.folder / name)
            self.sync(self.folder)
        except OSError as error:
            raise StoreError(f"{partial}: {error.strerror or error}") from error

    def sync(self, path: Path) -> None:
        """It is on disk when this returns."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: Path, new: Path) -> None:
        """In one step."""
        old.rename(new)

    def remove(self, name: str) -> None:
        """Harmless if it is not there."""
        (self.folder / name).unlink(missing_ok=True)

    def names(self) -> list[str]:
        """All that is there, in order."""
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Its bytes; StoreError if it can't be read."""
        try:
            return (self.folder / name).read_bytes()
        except OSError as error:
            raise StoreError(f"{self.folder / name}: {error.strerror}") from error
