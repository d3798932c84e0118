"""Traces: every event that a state machine was handed, as lines of JSON, to be played against it again.

No I/O but the file. The first line tells what the machine was made of; each further one names a method and
its arguments, messages as they go over the wire. A machine decides by its events alone, so the same lines
give the same decisions; `troutdock system replay FILE` does that on any desk, and tests do it with traces of
days that went wrong. A trace is bounded in bytes, as it is for hours, not for months.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any, TypeVar, cast, get_args

import msgspec

from troutdock.rpc.messages import Instance, Member, Message

MAX_TRACE_BYTES = 64 * 1024 * 1024  # of a trace: some hours of a store's events
_STRUCTS = {kind.__name__: kind for kind in (*get_args(Message), Instance, Member)}

StateMachine = TypeVar("StateMachine")
Event = tuple[str, list[Any]]  # a method, and what it was called with


class TraceError(ValueError):
    """The file is no trace; it says in which line."""


class EventRecorder:
    """A machine whose named methods are written down before they run; all else is the machine's own."""

    def __init__(
        self, machine: object, file: IO[bytes], parameters: dict[str, Any], methods: Iterable[str]
    ) -> None:
        self._machine, self._file, self._methods = machine, file, frozenset(methods)
        self._written = 0
        self._handles: dict[int, object] = {}  # of connections: what they are called is all that decides
        self._write(parameters)

    def _write(self, line: object) -> None:
        if self._written < MAX_TRACE_BYTES:
            data = msgspec.json.encode(line) + b"\n"
            self._written += len(data)
            self._file.write(data)

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._machine, name)
        if name not in self._methods:
            return found

        def call(*args: Any) -> Any:
            self._write([name, *(self._told(arg) for arg in args)])
            return found(*args)

        return call

    def _told(self, arg: Any) -> Any:
        if isinstance(arg, msgspec.Struct):
            return {type(arg).__name__: arg}
        if arg is None or isinstance(arg, str | int | float | bool):
            return arg
        self._handles[id(arg)] = arg
        return f"link {list(self._handles).index(id(arg))}"


def record_events(
    machine: StateMachine, path: Path, parameters: dict[str, Any], methods: Iterable[str]
) -> StateMachine:
    """The machine with its events going to a new file. OSError where that can't be written."""
    return cast(StateMachine, EventRecorder(machine, path.open("wb", buffering=0), parameters, methods))


def read_trace(path: Path) -> tuple[dict[str, Any], Iterator[Event]]:
    """What the machine was made of, and its events in order. TraceError, OSError."""
    lines = path.read_bytes().splitlines()
    with _placed(path, 1):
        head = msgspec.json.decode(lines[0] if lines else b"", type=dict[str, Any])
    return head, _events(path, lines[1:])


@contextmanager
def _placed(path: Path, number: int) -> Iterator[None]:
    try:
        yield
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        raise TraceError(f"{path.name}, line {number}: {error}") from error


def _events(path: Path, lines: list[bytes]) -> Iterator[Event]:
    for number, line in enumerate(lines, 2):
        if number == len(lines) + 1 and not line.endswith(b"]"):
            return  # the process ended in the middle of it
        with _placed(path, number):
            name, *args = msgspec.json.decode(line, type=list[msgspec.Raw])
            event = msgspec.json.decode(name, type=str), [_arg(arg) for arg in args]
        yield event


def _arg(arg: msgspec.Raw) -> Any:
    if bytes(arg)[:1] != b"{":
        return msgspec.json.decode(arg)
    ((name, fields),) = msgspec.json.decode(arg, type=dict[str, msgspec.Raw]).items()
    return msgspec.json.decode(fields, type=_STRUCTS[name])


def replay_events(
    machine: object, events: Iterable[Event], methods: Iterable[str]
) -> Iterator[tuple[Event, Any]]:
    """Hand a machine its events again: each with the actions that it gives."""
    allowed = frozenset(methods)
    for name, args in events:
        if name not in allowed:
            raise TraceError(f"no method {name!r:.40} is recorded")
        yield (name, args), getattr(machine, name)(*args)
