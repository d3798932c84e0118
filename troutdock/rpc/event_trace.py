"""Traces: records of all events of a state machine as lines of JSON, which can be replayed later.

The trace file is the only I/O. The first line has the parameters that the state machine was created with.
Each further line has the name of a method and its arguments, with messages encoded as on the wire. A state
machine depends on its events only, so a replay gives the same actions. `troutdock system replay FILE`
replays a trace on any computer, and tests replay traces of past incidents. The size of a trace is limited,
as it is meant to cover hours, not months.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any, TypeVar, cast, get_args

import msgspec

from troutdock.rpc.messages import Instance, Member, Message

MAX_TRACE_BYTES = 64 * 1024 * 1024  # some hours of a store's events
_STRUCT_TYPES = {kind.__name__: kind for kind in (*get_args(Message), Instance, Member)}

StateMachine = TypeVar("StateMachine")
Event = tuple[str, list[Any]]  # method name and arguments


class TraceError(ValueError):
    """The file is not a valid trace; the message names the line."""


class EventRecorder:
    """Wrapper of a state machine that records calls of the given methods before it delegates them.

    All other attributes are those of the state machine.
    """

    def __init__(
        self, state_machine: object, file: IO[bytes], parameters: dict[str, Any], methods: Iterable[str]
    ) -> None:
        self._state_machine, self._file, self._methods = state_machine, file, frozenset(methods)
        self._written_bytes = 0
        # connections by id, in order of appearance: a trace identifies them by their index
        self._handles: dict[int, object] = {}
        self._write(parameters)

    def _write(self, line: object) -> None:
        if self._written_bytes < MAX_TRACE_BYTES:
            data = msgspec.json.encode(line) + b"\n"
            self._written_bytes += len(data)
            self._file.write(data)

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._state_machine, name)
        if name not in self._methods:
            return attribute

        def record_and_call(*args: Any) -> Any:
            self._write([name, *(self._encode_argument(arg) for arg in args)])
            return attribute(*args)

        return record_and_call

    def _encode_argument(self, arg: Any) -> Any:
        if isinstance(arg, msgspec.Struct):
            return {type(arg).__name__: arg}
        if arg is None or isinstance(arg, str | int | float | bool):
            return arg
        self._handles[id(arg)] = arg
        return f"link {list(self._handles).index(id(arg))}"


def record_events(
    state_machine: StateMachine, path: Path, parameters: dict[str, Any], methods: Iterable[str]
) -> StateMachine:
    """Returns the state machine wrapped so that calls of the given methods are recorded in a new file.

    Raises:
        OSError: The file cannot be written.
    """
    return cast(StateMachine, EventRecorder(state_machine, path.open("wb", buffering=0), parameters, methods))


def read_trace(path: Path) -> tuple[dict[str, Any], Iterator[Event]]:
    """Returns the parameters of the state machine and its events in order.

    Raises:
        TraceError: The file is not a valid trace; the iterator may raise it, too.
        OSError: The file cannot be read.
    """
    lines = path.read_bytes().splitlines()
    with _line_context(path, 1):
        parameters = msgspec.json.decode(lines[0] if lines else b"", type=dict[str, Any])
    return parameters, _read_events(path, lines[1:])


@contextmanager
def _line_context(path: Path, number: int) -> Iterator[None]:
    try:
        yield
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        raise TraceError(f"{path.name}, line {number}: {error}") from error


def _read_events(path: Path, lines: list[bytes]) -> Iterator[Event]:
    for number, line in enumerate(lines, 2):
        if number == len(lines) + 1 and not line.endswith(b"]"):
            return  # an incomplete last line: the process ended while writing it
        with _line_context(path, number):
            method, *args = msgspec.json.decode(line, type=list[msgspec.Raw])
            event = msgspec.json.decode(method, type=str), [_decode_argument(arg) for arg in args]
        yield event


def _decode_argument(arg: msgspec.Raw) -> Any:
    if bytes(arg)[:1] != b"{":
        return msgspec.json.decode(arg)
    ((name, fields),) = msgspec.json.decode(arg, type=dict[str, msgspec.Raw]).items()
    return msgspec.json.decode(fields, type=_STRUCT_TYPES[name])


def replay_events(
    state_machine: object, events: Iterable[Event], methods: Iterable[str]
) -> Iterator[tuple[Event, Any]]:
    """Calls a state machine with recorded events; yields each event with the actions that it returned.

    Raises:
        TraceError: An event names a method other than the given ones.
    """
    allowed = frozenset(methods)
    for name, args in events:
        if name not in allowed:
            raise TraceError(f"method {name!r:.40} cannot be replayed")
        yield (name, args), getattr(state_machine, name)(*args)
