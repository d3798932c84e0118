"""Files and messages in JSON lines, each line a named tuple; errors name the file and line.

A file is replaced atomically, and writers exclude one another by a lock file (file_lock), also in several
processes.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec

Row = TypeVar("Row")
Result = TypeVar("Result")


def decode(data: bytes, kind: type[Row], place: object = "line") -> Iterator[tuple[int, Row]]:
    """Yields the line number and row of each line; ValueError names the place and the invalid line."""
    for number, line in enumerate(data.splitlines(), 1):
        if line.strip():
            try:
                yield number, msgspec.convert(msgspec.json.decode(line), kind)
            except (msgspec.MsgspecError, ValueError) as error:
                raise ValueError(f"{place}:{number}: {error}") from error


def fold_lines(
    data: bytes,
    kind: type[Row],
    empty: Result,
    add: Callable[[Result, list[Row]], Result],
    place: object = "line",
) -> Result:
    """Adds all lines to an empty result; ValueError names the place and the first invalid line."""
    rows = list(decode(data, kind, place))
    try:
        return add(empty, [row for _, row in rows])
    except ValueError as error:
        result, cause = empty, error
    for number, row in rows:
        try:
            result = add(result, [row])
        except ValueError as error:
            raise ValueError(f"{place}:{number}: {error}") from error
    raise ValueError(f"{place}: {cause}")


def encode(rows: Iterable[tuple[object, ...]]) -> bytes:
    """Encodes each row as one line."""
    return b"".join(msgspec.json.encode(list(row)) + b"\n" for row in rows)


def read_or_empty(path: Path) -> bytes:
    """Returns the content of a file, empty if it does not exist."""
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return b""


def file_stamp(path: Path) -> tuple[int, int, int]:
    """Returns a stamp that changes whenever the file changes; zeros without a file."""
    try:
        stat = path.stat()
    except OSError:
        return 0, 0, 0
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def replace_file(path: Path, data: bytes) -> None:
    """Replaces the file atomically and durably; on OSError the old content remains."""
    part = path.with_name(path.name + ".part")
    with part.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    part.rename(path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


@contextmanager
def file_lock(path: Path) -> Iterator[None]:
    """Holds the exclusive lock of the file; blocks until it is available."""
    with path.with_name(path.name + ".lock").open("ab") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
