"""Files and messages of JSON lines, each a named tuple: read whole, with the place of what is wrong.

A file is written whole or not at all, and those who change it take turns (locked), also of several processes.
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
    """Each line's number and row; ValueError names the place and the line that is wrong."""
    for number, line in enumerate(data.splitlines(), 1):
        if line.strip():
            try:
                yield number, msgspec.convert(msgspec.json.decode(line), kind)
            except (msgspec.MsgspecError, ValueError) as error:
                raise ValueError(f"{place}:{number}: {error}") from error


def fold_lines(
    data: bytes,
    kind: type[Row],
    none: Result,
    add: Callable[[Result, list[Row]], Result],
    place: object = "line",
) -> Result:
    """All lines added to nothing; ValueError names the place and the first line that is wrong."""
    rows = list(decode(data, kind, place))
    try:
        return add(none, [row for _, row in rows])
    except ValueError as error:
        whole, cause = none, error
    for number, row in rows:
        try:
            whole = add(whole, [row])
        except ValueError as error:
            raise ValueError(f"{place}:{number}: {error}") from error
    raise ValueError(f"{place}: {cause}")


def encode(rows: Iterable[tuple[object, ...]]) -> bytes:
    """One line for each."""
    return b"".join(msgspec.json.encode(list(row)) + b"\n" for row in rows)


def read_or_empty(path: Path) -> bytes:
    """A file's bytes, none if there is no file."""
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return b""


def file_stamp(path: Path) -> tuple[int, int, int]:
    """Another one whenever the file has changed; of none it is zeros."""
    try:
        stat = path.stat()
    except OSError:
        return 0, 0, 0
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def replace_file(path: Path, data: bytes) -> None:
    """Put this in the file's place in one step, and on disk; OSError leaves the old one."""
    part = path.with_name(path.name + ".part")
    with part.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    part.rename(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


@contextmanager
def file_lock(path: Path) -> Iterator[None]:
    """Nobody else who asks for it changes the file meanwhile; blocks until that is so."""
    with path.with_name(path.name + ".lock").open("ab") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
