"""Entries of reservations in a file of JSON lines, and a gateway's parts of them in a folder of its own."""

from __future__ import annotations

import fcntl
from collections.abc import Iterable
from pathlib import Path
from typing import BinaryIO

import msgspec

from troutdock import jsonlines
from troutdock.reservations.entries import Entries, Entry
from troutdock.reservations.escrow import Saved
from troutdock.reservations.commitment_limit import Terms, Verdict, may

MOST_ENTRIES = 100_000  # in a file: some 100 MB of memory; those that are over are taken out by `prune`


def parse(data: bytes, place: object = "line") -> Entries:
    """Entries from their lines; ValueError names the place and the line that is wrong."""
    entries = jsonlines.fold_lines(data, Entry, Entries(), Entries.add, place)
    if len(entries) > MOST_ENTRIES:
        raise ValueError(f"{place}: {len(entries)} entries, and {MOST_ENTRIES} are the most")
    return entries


def read(path: Path) -> Entries:
    """The file's entries, none if there is no file; ValueError names the line that is wrong."""
    return parse(jsonlines.read_or_empty(path), path)


def join(path: Path, entries: Iterable[Entry]) -> Entries:
    """Add these to the file, and give what it holds then; ValueError or OSError leave it as it was."""
    with jsonlines.file_lock(path):
        known = read(path)
        joined = known.add(entries)
        if len(joined) > MOST_ENTRIES:
            raise ValueError(f"{path}: {MOST_ENTRIES} entries are the most; prune those that are over")
        if len(joined) != len(known):
            jsonlines.replace_file(path, jsonlines.encode(joined))
        return joined


def promise(path: Path, entry: Entry, terms: Terms) -> tuple[Entries, Verdict]:
    """Add it to the file if it may be promised beside what that holds; ValueError or OSError: it is not."""
    with jsonlines.file_lock(path):
        known = read(path)
        if known.knows(entry):
            return known, Verdict(True, units=entry.units)  # asked again: it was promised
        joined = known.add([entry])
        wanted = joined.get(entry.of)
        if wanted is None:
            raise ValueError(f"no reservation is known as {entry.of!r}")
        verdict = may(wanted, known.reservations(), terms)
        if verdict.granted:
            jsonlines.replace_file(path, jsonlines.encode(joined))
        return (joined if verdict.granted else known), verdict


def prune(path: Path, before_ms: float) -> list[str]:
    """Take out all entries of reservations that ended before that time: their identities."""
    with jsonlines.file_lock(path):
        known = read(path)
        gone = [r.id for r in known.reservations() if r.ends_ms < before_ms]
        if gone:
            jsonlines.replace_file(path, jsonlines.encode(known.without(gone)))
        return gone


class _Parts(msgspec.Struct, forbid_unknown_fields=True):
    """The file of parts. index: the gateway's, as another one's parts are nothing here."""

    version: int
    index: int
    parts: Saved


class PartsFolder:
    """Where one gateway keeps its parts; one process at a time owns it."""

    def __init__(self, folder: Path) -> None:
        """OSError if the folder can't be made or written."""
        folder.mkdir(parents=True, exist_ok=True)
        self._path, self._folder = folder / "parts.json", folder
        self._lock: BinaryIO = (folder / "lock").open("ab")

    def own(self) -> bool:
        """It is this process's from now on; false while another one has it."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def load(self, index: int) -> Saved:
        """What the last save says, nothing if there is none; ValueError if it is none of this gateway's."""
        data = jsonlines.read_or_empty(self._path)
        if not data:
            return {}
        try:
            found = msgspec.json.decode(data, type=_Parts)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{self._path}: no parts of reservations: {error}") from error
        if found.version != 1 or found.index != index:
            whose = f"gateway {found.index}'s, version {found.version}"
            raise ValueError(f"{self._path}: {whose}; this is {index}")
        return found.parts

    def save(self, index: int, parts: Saved) -> None:
        """All of it is on disk when this returns; OSError: nobody knows."""
        jsonlines.replace_file(self._path, msgspec.json.encode(_Parts(1, index, parts)))

    def close(self) -> None:
        """Another process may have it; harmless twice."""
        self._lock.close()
