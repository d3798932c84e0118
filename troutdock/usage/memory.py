"""A ledger in memory: for tests, and to measure the cost of the disk."""

from __future__ import annotations

from dataclasses import dataclass, field

from troutdock.usage.store import ExportInfo, Selection, StoreError
from troutdock.usage.record import Batch, Record, State, UnknownRange


@dataclass(slots=True)
class _Incarnation:
    records: dict[int, Record] = field(default_factory=dict)
    reserved: int = 0
    exported: int = 0
    ended: bool = False
    alive: bool = True


class MemoryStore:
    """In-memory counterpart of SqliteStore; crash() simulates the end of an incarnation's process."""

    def __init__(self) -> None:
        self._of: dict[int, _Incarnation] = {}
        self._exports: dict[int, ExportInfo] = {}
        self._ranges: dict[int, list[tuple[int, int]]] = {}

    def crash(self, incarnation: int) -> None:
        """Marks the incarnation's process as ended."""
        self._of[incarnation].alive = False

    def begin(self, now_ms: float) -> int:
        number = max(self._of, default=0) + 1
        self._of[number] = _Incarnation()
        return number

    def commit(self, batch: Batch) -> None:
        incarnation_state = self._of[batch.incarnation]
        for record in batch.records:
            incarnation_state.records[record.sequence] = record
        for sequence, state in batch.states:
            if sequence in incarnation_state.records:
                incarnation_state.records[sequence] = incarnation_state.records[sequence]._replace(
                    state=state
                )
        incarnation_state.reserved = batch.reserved

    def end(self, incarnation: int) -> None:
        self._of[incarnation].ended = True

    def recover(self) -> list[int]:
        found = [n for n, i in self._of.items() if not i.ended and not i.alive]
        for number in found:
            incarnation_state = self._of[number]
            incarnation_state.ended = True
            for sequence, record in incarnation_state.records.items():
                if record.state is State.WRITTEN:
                    incarnation_state.records[sequence] = record._replace(state=State.UNCERTAIN)
        return found

    def select(self, max_records: int) -> Selection:
        records: list[Record] = []
        unknown: list[UnknownRange] = []
        for number, incarnation_state in sorted(self._of.items()):
            after = incarnation_state.exported
            while (
                len(records) < max_records
                and (record := incarnation_state.records.get(after + 1)) is not None
            ):
                if record.state is State.WRITTEN and not incarnation_state.ended:
                    break
                records.append(record)
                after += 1
            if len(records) >= max_records:
                break
            if incarnation_state.ended and after < incarnation_state.reserved:
                unknown.append(UnknownRange(number, after + 1, incarnation_state.reserved))
        return Selection(tuple(records), tuple(unknown))

    def record_export(
        self, export: ExportInfo, selected: dict[int, tuple[int, int]], unknown: tuple[UnknownRange, ...]
    ) -> None:
        if export.number in self._exports:
            return
        self._exports[export.number] = export
        lasts = [(n, last) for n, (_, last) in selected.items()] + [(u.incarnation, u.last) for u in unknown]
        self._ranges[export.number] = lasts
        for number, last in lasts:
            self._of[number].exported = max(self._of[number].exported, last)

    def exports(self) -> list[ExportInfo]:
        return [self._exports[n] for n in sorted(self._exports)]

    def acknowledge(self, number: int) -> None:
        self._exports[number] = self._exports[number]._replace(acknowledged=True)

    def forget(self, number: int) -> None:
        if not all(e.acknowledged for n, e in self._exports.items() if n <= number):
            raise StoreError(f"export {number}: it or an earlier one is not acknowledged")
        for old in [n for n in self._ranges if n <= number]:
            for incarnation, last in self._ranges.pop(old):
                records = self._of[incarnation].records
                for sequence in [s for s in records if s <= last]:
                    del records[sequence]
        for old in [n for n in self._exports if n < number]:
            del self._exports[old]

    def close(self) -> None:
        pass
