"""Usage records of successful answers."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class State(IntEnum):
    """State of a record's answer; the values are stored in ledgers and exports."""

    WRITTEN = 0  # on disk; whether its answer was given is open while the process runs
    GIVEN = 1
    UNCERTAIN = 2  # the process ended before it recorded whether the answer was given
    VOID = 3  # not given, as its deadline had passed or the client had disconnected


class Use(NamedTuple):
    """Usage of one answer. plan, cls: names of plan and request class. at_ms: Unix time in milliseconds."""

    customer: int
    plan: str
    cls: str
    units: float
    at_ms: float


class Record(NamedTuple):
    """Usage with its id: incarnation and sequence number, unique within an ingress."""

    incarnation: int
    sequence: int
    use: Use
    state: State


class UnknownRange(NamedTuple):
    """Sequence numbers (first to last) of an ended incarnation that may have been used; units unknown."""

    incarnation: int
    first: int
    last: int


class Batch(NamedTuple):
    """Content of one atomic commit.

    Attributes:
        records: new records.
        states: new states of existing records, by sequence number.
        reserved: numbers up to this one may be used before their records are on disk.
    """

    incarnation: int
    records: tuple[Record, ...]
    states: tuple[tuple[int, State], ...]
    reserved: int

    @property
    def empty(self) -> bool:
        """Whether the batch only changes the reserved number."""
        return not (self.records or self.states)
