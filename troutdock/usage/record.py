"""One good answer's use, and what is known of it."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class State(IntEnum):
    """What is known of the answer that a record is for; the numbers stand in stores and exports."""

    WRITTEN = 0  # on disk, and its answer waits for that: as long as its process lives
    GIVEN = 1
    UNCERTAIN = 2  # written, and the process ended before it could say whether the answer had left
    VOID = 3  # the answer was not given: its time was over, or the client had left


class Use(NamedTuple):
    """What an answer has taken. plan, cls: by name. at_ms: Unix time in milliseconds."""

    customer: int
    plan: str
    cls: str
    units: float
    at_ms: float


class Record(NamedTuple):
    """A use with its identity: the incarnation and its sequence number, beside the ingress's name."""

    incarnation: int
    sequence: int
    use: Use
    state: State


class UnknownRange(NamedTuple):
    """Sequence numbers of an ended incarnation that may have been given out: first to last, units unknown."""

    incarnation: int
    first: int
    last: int


class Batch(NamedTuple):
    """What one commit puts on disk, all or nothing.

    records: new ones. states: of records that are there, by sequence. reserved: numbers up to this one may be
    given out before their records are on disk.
    """

    incarnation: int
    records: tuple[Record, ...]
    states: tuple[tuple[int, State], ...]
    reserved: int

    @property
    def empty(self) -> bool:
        """Nothing but the mark."""
        return not (self.records or self.states)
