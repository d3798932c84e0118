"""Files: the reservation entries as JSON lines, and the folder that holds a gateway's parts."""

from __future__ import annotations

import fcntl
from collections.abc import Iterable
from pathlib import Path
from typing import BinaryIO

import msgspec

from troutdock import jsonlines
from troutdock.reservations.entries import Entries, Entry
from troutdock.reservations.escrow import SavedParts
from troutdock.reservations.commitment_limit import CommitmentBounds, CommitmentDecision, decide

MAX_ENTRIES = 100_000  # in a file: about 100 MB of memory; `prune` removes ended reservations


def parse(data: bytes, source: object = "line") -> Entries:
    """Parses entries from JSON lines; ValueError names the source and the invalid line."""
    entries = jsonlines.fold_lines(data, Entry, Entries(), Entries.add, source)
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{source}: {len(entries)} entries exceed the limit of {MAX_ENTRIES}")
    return entries


def read(path: Path) -> Entries:
    """Reads the file's entries, none if it does not exist; ValueError names the invalid line."""
    return parse(jsonlines.read_or_empty(path), path)


def append(path: Path, entries: Iterable[Entry]) -> Entries:
    """Adds entries to the file and returns its new content; on ValueError or OSError it is unchanged."""
    with jsonlines.file_lock(path):
        existing = read(path)
        updated = existing.add(entries)
        if len(updated) > MAX_ENTRIES:
            raise ValueError(f"{path}: the limit is {MAX_ENTRIES} entries; prune ended reservations")
        if len(updated) != len(existing):
            jsonlines.replace_file(path, jsonlines.encode(updated))
        return updated


def promise(path: Path, entry: Entry, bounds: CommitmentBounds) -> tuple[Entries, CommitmentDecision]:
    """Adds an entry to the file if the commitment limits allow it beside the existing reservations.

    On ValueError or OSError the entry is not added.
    """
    with jsonlines.file_lock(path):
        existing = read(path)
        if existing.contains(entry):
            return existing, CommitmentDecision(
                True, units=entry.units
            )  # a repeated request: it was granted before
        updated = existing.add([entry])
        reservation = updated.get(entry.of)
        if reservation is None:
            raise ValueError(f"no reservation is known as {entry.of!r}")
        decision = decide(reservation, existing.reservations(), bounds)
        if decision.granted:
            jsonlines.replace_file(path, jsonlines.encode(updated))
        return (updated if decision.granted else existing), decision


def prune(path: Path, before_ms: float) -> list[str]:
    """Removes the entries of reservations that ended before a time and returns the reservations' ids."""
    with jsonlines.file_lock(path):
        existing = read(path)
        pruned = [r.id for r in existing.reservations() if r.ends_ms < before_ms]
        if pruned:
            jsonlines.replace_file(path, jsonlines.encode(existing.without(pruned)))
        return pruned


class _Parts(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the parts file. index: the gateway that the parts belong to."""

    version: int
    index: int
    parts: SavedParts


class PartsFolder:
    """Folder in which one gateway stores its parts; one process at a time owns it."""

    def __init__(self, folder: Path) -> None:
        """Creates the folder. Raises OSError if it cannot be created or written."""
        folder.mkdir(parents=True, exist_ok=True)
        self._path, self._folder = folder / "parts.json", folder
        self._lock: BinaryIO = (folder / "lock").open("ab")

    def acquire(self) -> bool:
        """Takes ownership of the folder; returns false while another process owns it."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def load(self, index: int) -> SavedParts:
        """Returns the last save, empty if there is none; ValueError if it is not of this gateway."""
        data = jsonlines.read_or_empty(self._path)
        if not data:
            return {}
        try:
            found = msgspec.json.decode(data, type=_Parts)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{self._path}: not a parts file: {error}") from error
        if found.version != 1 or found.index != index:
            owner = f"gateway {found.index}'s, version {found.version}"
            raise ValueError(f"{self._path}: {owner}; this is {index}")
        return found.parts

    def save(self, index: int, parts: SavedParts) -> None:
        """Saves the parts durably; after OSError they may or may not be on disk."""
        jsonlines.replace_file(self._path, msgspec.json.encode(_Parts(1, index, parts)))

    def close(self) -> None:
        """Releases the ownership; may be called twice."""
        self._lock.close()
