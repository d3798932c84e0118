"""A history of assignments as a file of JSON lines, one per assignment; replaced atomically."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from troutdock import jsonlines
from troutdock.plans.history import Assignment, AssignmentHistory


def parse(data: bytes, source: object = "line") -> AssignmentHistory:
    """Parses a history from JSON lines; ValueError names the source and the invalid line."""
    return jsonlines.fold_lines(data, Assignment, AssignmentHistory(), AssignmentHistory.assign, source)


def read(path: Path) -> AssignmentHistory:
    """Reads the file's history, empty if it does not exist; ValueError names the invalid line."""
    return parse(jsonlines.read_or_empty(path), path)


def write(path: Path, history: AssignmentHistory) -> None:
    """Replaces the file atomically; on OSError the old one remains."""
    jsonlines.replace_file(path, jsonlines.encode(history))


def append(path: Path, assignments: Iterable[Assignment]) -> AssignmentHistory:
    """Adds assignments to the file and returns its new content; on ValueError or OSError it is unchanged."""
    with jsonlines.file_lock(path):
        existing = read(path)
        history = existing.assign(assignments)
        if len(history) != len(existing):
            write(path, history)
        return history
