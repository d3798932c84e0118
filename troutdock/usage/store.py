"""Interface of a ledger's store, implemented by sqlite.py and memory.py.

Calls are synchronous and may block.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from troutdock.usage.record import Batch, Record, UnknownRange


class StoreError(Exception):
    """A store operation failed, e.g. because of a full disk, an invalid file or a held lock."""


class ExportInfo(NamedTuple):
    """A recorded export. digest: of its manifest, which the next manifest refers to."""

    number: int
    stem: str
    digest: str
    rows: int
    bytes: int
    acknowledged: bool


class Selection(NamedTuple):
    """Content of the next export: a contiguous range of sequence numbers per incarnation."""

    records: tuple[Record, ...]
    unknown: tuple[UnknownRange, ...]


class Store(Protocol):
    """Access to one ledger. An object is used by one thread at a time; several may share a ledger."""

    def begin(self, now_ms: float) -> int:
        """Begins a new incarnation and returns its number; StoreError if the ledger is not available."""

    def commit(self, batch: Batch) -> None:
        """Writes a batch durably and atomically; idempotent.

        After a StoreError the batch may or may not be on disk.
        """

    def end(self, incarnation: int) -> None:
        """Ends an incarnation after an orderly shutdown: none of its records is uncertain."""

    def recover(self) -> list[int]:
        """Ends incarnations whose process ended without end() and returns them; WRITTEN becomes UNCERTAIN."""

    def select(self, max_records: int) -> Selection:
        """Returns the next records that are not exported, at most max_records."""

    def record_export(
        self, export: ExportInfo, selected: dict[int, tuple[int, int]], unknown: tuple[UnknownRange, ...]
    ) -> None:
        """Records an export; selected: first and last sequence number by incarnation. Idempotent."""

    def exports(self) -> list[ExportInfo]:
        """Returns the recorded exports that are not forgotten, ordered by number."""

    def acknowledge(self, number: int) -> None:
        """Marks an export as acknowledged by the consumer."""

    def forget(self, number: int) -> None:
        """Deletes an acknowledged export, all exports before it, and their records."""

    def close(self) -> None:
        """Releases all resources; may be called twice."""
