"""A history of assignments in a file: JSON lines, one assignment each; written whole or not at all."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from troutdock import jsonlines
from troutdock.plans.history import Assignment, AssignmentHistory


def parse(data: bytes, source: object = "line") -> AssignmentHistory:
    """A history from its lines; ValueError names the place and the line that is wrong."""
    return jsonlines.gathered(data, Assignment, AssignmentHistory(), AssignmentHistory.assign, source)


def read(path: Path) -> AssignmentHistory:
    """The file's history, an empty one if there is no file; ValueError names the line that is wrong."""
    return parse(jsonlines.content(path), path)


def write(path: Path, history: AssignmentHistory) -> None:
    """Put it in the file's place in one step; OSError leaves the old one."""
    jsonlines.replace(path, jsonlines.encode(history))


def append(path: Path, assignments: Iterable[Assignment]) -> AssignmentHistory:
    """Add these to the file, and give what it holds then; ValueError or OSError leave it as it was."""
    with jsonlines.locked(path):
        known = read(path)
        history = known.assign(assignments)
        if len(history) != len(known):
            write(path, history)
        return history
