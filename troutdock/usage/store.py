"""What the ledger needs of a store; sqlite.py and memory.py are two.

Every call may block, none is a coroutine.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from troutdock.usage.record import Batch, Record, UnknownRange


class StoreError(Exception):
    """The store can't take or give what it is asked for: a full disk, a file that is none, another's lock."""


class ExportInfo(NamedTuple):
    """An export as the store knows it. digest: of its manifest, which the next one names."""

    number: int
    stem: str
    digest: str
    rows: int
    bytes: int
    acknowledged: bool


class Selection(NamedTuple):
    """What the next export holds: for each incarnation a run of sequence numbers with no hole."""

    records: tuple[Record, ...]
    unknown: tuple[UnknownRange, ...]


class Store(Protocol):
    """One ledger's. Calls of one object come from one thread at a time.

    Several objects may share a ledger.
    """

    def begin(self, now_ms: float) -> int:
        """A new incarnation: its number. StoreError if the ledger can't be had."""

    def commit(self, batch: Batch) -> None:
        """All of it is on disk when this returns; StoreError: nothing is, or nobody knows.

        Again is harmless.
        """

    def end(self, incarnation: int) -> None:
        """It has ended in order: nothing of it is uncertain."""

    def recover(self) -> list[int]:
        """Incarnations whose process has ended without end(): what was WRITTEN of them is UNCERTAIN now."""

    def select(self, max_records: int) -> Selection:
        """The next records that are in no export, at most so many."""

    def record_export(
        self, export: ExportInfo, selected: dict[int, tuple[int, int]], unknown: tuple[UnknownRange, ...]
    ) -> None:
        """An export is there: first and last sequence by incarnation. Twice is harmless."""

    def exports(self) -> list[ExportInfo]:
        """All that are noted and not forgotten, the first number first."""

    def acknowledge(self, number: int) -> None:
        """The consumer has it."""

    def forget(self, number: int) -> None:
        """An acknowledged export, all before it being forgotten, with its records."""

    def close(self) -> None:
        """Give everything back; harmless twice."""
