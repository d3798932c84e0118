"""A history of assignments in a file: JSON lines, one assignment each; written whole or not at all."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from troutdock import jsonlines
from troutdock.plans.history import Assignment, Histories


def parse(data: bytes, place: object = "line") -> Histories:
    """A history from its lines; ValueError names the place and the line that is wrong."""
    return jsonlines.fold_lines(data, Assignment, Histories(), Histories.assign, place)


def read(path: Path) -> Histories:
    """The file's history, an empty one if there is no file; ValueError names the line that is wrong."""
    return parse(jsonlines.read_or_empty(path), path)


def write(path: Path, history: Histories) -> None:
    """Put it in the file's place in one step; OSError leaves the old one."""
    jsonlines.replace_file(path, jsonlines.encode(history))


def join(path: Path, assignments: Iterable[Assignment]) -> Histories:
    """Add these to the file, and give what it holds then; ValueError or OSError leave it as it was."""
    with jsonlines.file_lock(path):
        known = read(path)
        history = known.assign(assignments)
        if len(history) != len(known):
            write(path, history)
        return history
