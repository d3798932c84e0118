"""A crash at any moment: usage of given answers is on disk, or within the stated limit."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from troutdock.usage.ledger import (
    UPDATE_DELAY_MS,
    MAX_WAITING_RECORDS,
    SEQUENCE_RESERVE,
    COMMIT_RETRY_MS,
    LedgerState,
    Promise,
)
from troutdock.usage.memory import MemoryStore
from troutdock.usage.store import ExportInfo, Store, StoreError
from troutdock.usage.record import Batch, Record, State, UnknownRange, Use
from troutdock.usage.sqlite import SqliteStore


def make_use(units: float = 1.0, customer: int = 9) -> Use:
    return Use(customer, "plus", "ledger-read", units, 1000.0)


class Simulation:
    """An ingress with a ledger: answers, commits that take time, and a crash at any moment."""

    def __init__(self, promise: Promise, at_risk_ms: float = 50.0) -> None:
        self.store, self.now = MemoryStore(), 0.0
        self.ledger = LedgerState(self.store.begin(0.0), promise, at_risk_ms)
        self.running_commit: Batch | None = None
        self.answers_given: list[tuple[float, float]] = []  # given answers: time, units
        self.not_given = 0.0
        self.clients_accept = True  # whether clients still accept answers

    def answer(self, units: float) -> None:
        def on_recorded(sure: bool) -> bool:
            if sure and self.clients_accept:
                self.answers_given.append((self.now, units))
                return True
            self.not_given += units
            return False

        self.ledger.add(self.now, make_use(units), on_recorded)

    def advance(self, ms: float) -> None:
        """Advances the clock and begins a commit if one is due."""
        self.now += ms
        if self.running_commit is None and self.ledger.commit_delay_ms(self.now) <= 0:
            self.running_commit = self.ledger.begin_commit()

    def end(self, good: bool, written: bool) -> None:
        """Ends the commit; a failed one may have been written nevertheless."""
        if self.running_commit is not None:
            if good or written:
                self.store.commit(self.running_commit)
            self.running_commit = None
            self.ledger.commit_succeeded(self.now) if good else self.ledger.commit_failed(self.now)


OPS = st.one_of(
    st.tuples(st.just("answer"), st.floats(0.5, 8)),
    st.tuples(st.just("time"), st.floats(0, 60)),
    st.tuples(st.just("end"), st.sampled_from([(True, True)] * 4 + [(False, False), (False, True)])),
    st.tuples(st.just("leaves"), st.booleans()),
)


@examples(max_examples=300)
@given(st.sampled_from([Promise.SYNC, Promise.BOUNDED]), st.lists(OPS, max_size=60))
def test_crash_loses_no_more_than_the_stated_limit(promise: Promise, ops: list[tuple[str, object]]) -> None:
    c = Simulation(promise)
    for name, value in ops:
        if name == "answer" and not c.ledger.admits(c.now):
            c.answer(value)  # type: ignore[arg-type]
        elif name == "time":
            c.advance(value)  # type: ignore[arg-type]
        elif name == "end":
            c.end(*value)  # type: ignore[misc]
        elif name == "leaves":
            c.clients_accept = bool(value)
        c.advance(0)
    at_risk = c.ledger.units_at_risk
    c.store.crash(1)
    c.store.recover()
    selection = c.store.select(10_000)
    assert [r.sequence for r in selection.records] == list(range(1, len(selection.records) + 1))
    units = {state: sum(r.use.units for r in selection.records if r.state is state) for state in State}
    left = sum(u for _, u in c.answers_given)
    assert units[State.WRITTEN] == 0
    if promise is Promise.SYNC:
        assert not selection.unknown
        assert units[State.GIVEN] - 1e-6 <= left <= units[State.GIVEN] + units[State.UNCERTAIN] + 1e-6
    else:
        lost = left - units[State.GIVEN] - units[State.UNCERTAIN]
        assert lost <= at_risk + 1e-6
        assert sum(u.last - u.first + 1 for u in selection.unknown) <= SEQUENCE_RESERVE
        unknown = sum(u.last - u.first + 1 for u in selection.unknown)
        assert len(selection.records) + unknown >= len(
            c.answers_given
        )  # each given answer has a record or an unknown number
        late = [at for at, _ in c.answers_given if lost > 1e-6 and at < c.now - 10_000]
        assert len(late) < len(c.answers_given) or not c.answers_given or lost <= at_risk + 1e-6


@examples(max_examples=100)
@given(
    st.sampled_from([Promise.SYNC, Promise.BOUNDED]),
    st.lists(st.floats(0.5, 8), max_size=30),
    st.booleans(),
    st.booleans(),
)
def test_orderly_close_leaves_nothing_uncertain(
    promise: Promise, uses: list[float], fails: bool, commits: bool
) -> None:
    c = Simulation(promise)
    for units in uses:
        c.advance(3.0)
        c.answer(units)
    if fails:
        c.advance(60)
        c.end(False, False)
    if commits:  # a commit that runs during the close reserves numbers that are never used
        c.advance(COMMIT_RETRY_MS)
    c.ledger.closing = True
    for _ in range(6):
        if c.ledger.finished:
            break
        c.advance(COMMIT_RETRY_MS)
        c.end(True, True)
    assert c.ledger.finished and not c.ledger.waiting
    c.store.end(1)
    selection = c.store.select(1000)
    assert len(selection.records) == len(uses) and not selection.unknown
    assert sum(r.use.units for r in selection.records if r.state is State.GIVEN) == pytest.approx(
        sum(u for _, u in c.answers_given)
    )
    assert sum(r.use.units for r in selection.records if r.state is State.VOID) == pytest.approx(c.not_given)


def test_sync_answers_wait_for_their_commit_and_state_updates_are_batched() -> None:
    c = Simulation(Promise.SYNC)
    c.answer(2.0)
    assert not c.answers_given and c.ledger.commit_delay_ms(0.0) == 0
    c.advance(0)
    c.answer(3.0)  # during the commit: it goes into the next one
    c.end(True, True)
    assert [u for _, u in c.answers_given] == [2.0] and c.ledger.commit_delay_ms(0.0) == 0
    c.advance(0)
    c.end(True, True)
    assert len(c.answers_given) == 2 and c.ledger.commit_delay_ms(c.now) == pytest.approx(UPDATE_DELAY_MS)


def test_bounded_answers_wait_once_the_disk_is_too_late() -> None:
    c = Simulation(Promise.BOUNDED, at_risk_ms=50.0)
    c.advance(0)
    c.end(True, True)  # the first reserved numbers
    c.answer(1.0)
    assert (
        len(c.answers_given) == 1
        and c.ledger.units_at_risk == 1.0
        and c.ledger.commit_delay_ms(c.now) == pytest.approx(25.0)
    )
    c.advance(25.0)
    c.now += 26.0
    c.answer(1.0)
    assert len(c.answers_given) == 1  # the oldest record is 51 ms old
    c.end(True, True)
    assert c.ledger.units_at_risk == 0.0 and c.ledger.commit_delay_ms(c.now) == 0
    c.advance(0)
    c.end(True, True)
    assert len(c.answers_given) == 2
    for _ in range(SEQUENCE_RESERVE + 5):
        c.answer(1.0)
    assert len(c.answers_given) <= 2 + SEQUENCE_RESERVE  # answers beyond the reserved numbers on disk wait


def test_full_disk_rejects_until_a_commit_succeeds() -> None:
    c = Simulation(Promise.SYNC)
    c.answer(2.0)
    c.advance(0)
    c.end(False, False)
    assert c.ledger.stuck and 0 < c.ledger.admits(c.now) <= COMMIT_RETRY_MS and c.not_given == 2.0
    c.advance(COMMIT_RETRY_MS / 2)
    assert c.running_commit is None
    c.advance(COMMIT_RETRY_MS / 2)
    c.end(True, True)
    assert not c.ledger.admits(c.now)
    assert c.store.select(9).records[0].state is State.VOID


def test_number_of_waiting_records_is_limited() -> None:
    c = Simulation(Promise.SYNC)
    c.advance(0)
    for _ in range(MAX_WAITING_RECORDS):
        c.answer(1.0)
    assert c.ledger.admits(c.now) == COMMIT_RETRY_MS


# ---- both stores


def make_store(tmp_path: Path, kind: str) -> Store:
    return MemoryStore() if kind == "memory" else SqliteStore(tmp_path)


def make_records(incarnation: int, first: int, last: int, state: State = State.GIVEN) -> tuple[Record, ...]:
    return tuple(Record(incarnation, n, make_use(float(n)), state) for n in range(first, last + 1))


@pytest.mark.parametrize("kind", ["memory", "sqlite"])
def test_stores_select_contiguous_ranges_and_forget_only_acknowledged_exports(
    tmp_path: Path, kind: str
) -> None:
    store = make_store(tmp_path, kind)
    one = store.begin(0.0)
    store.commit(Batch(one, make_records(one, 1, 3), (), 10))
    store.commit(Batch(one, make_records(one, 1, 3), (), 10))  # idempotent
    store.commit(Batch(one, make_records(one, 4, 5, State.WRITTEN), ((2, State.VOID),), 12))
    assert [(r.sequence, r.state) for r in store.select(99).records] == [
        (1, State.GIVEN),
        (2, State.VOID),
        (3, State.GIVEN),
    ]
    assert [r.sequence for r in store.select(2).records] == [1, 2]
    store.record_export(ExportInfo(1, "a", "x", 2, 10, False), {one: (1, 2)}, ())
    store.record_export(ExportInfo(1, "a", "x", 2, 10, False), {one: (1, 2)}, ())
    assert [r.sequence for r in store.select(99).records] == [3]
    store.commit(Batch(one, (), ((4, State.GIVEN), (5, State.GIVEN)), 5))
    store.end(one)
    two = store.begin(1.0)
    store.commit(Batch(two, make_records(two, 1, 1), (), 4))
    assert store.select(99) == ((*make_records(one, 3, 5), *make_records(two, 1, 1)), ())
    store.record_export(ExportInfo(2, "b", "y", 4, 10, False), {one: (3, 5), two: (1, 1)}, ())
    with pytest.raises(StoreError, match="not acknowledged"):
        store.forget(2)
    for number in (1, 2):
        store.acknowledge(number)
    store.forget(2)
    assert [e.number for e in store.exports()] == [2] and not store.select(99).records
    store.close()


def test_recovery_marks_written_records_uncertain_and_reserved_numbers_unknown(
    tmp_path: Path,
) -> None:
    one, other = SqliteStore(tmp_path), SqliteStore(tmp_path)
    number = one.begin(0.0)
    one.commit(
        Batch(number, (*make_records(number, 1, 2), *make_records(number, 3, 3, State.WRITTEN)), (), 8)
    )
    assert other.recover() == [] and len(other.select(9).records) == 2  # its process is running
    one.close()  # like the end of the process: the lock is released, without end()
    assert other.recover() == [number] and other.recover() == []
    selection = other.select(9)
    assert [r.state for r in selection.records] == [State.GIVEN, State.GIVEN, State.UNCERTAIN]
    assert selection.unknown == (UnknownRange(number, 4, 8),)
    assert other.begin(1.0) == number + 1
    other.close()


def test_invalid_ledger_gives_a_one_line_error(tmp_path: Path) -> None:
    (tmp_path / "ledger.db").write_bytes(b"not a database" * 100)
    with pytest.raises(StoreError, match=r"open the ledger") as error:
        SqliteStore(tmp_path)
    assert "\n" not in str(error.value)
    file = tmp_path / "file"
    file.write_text("")
    with pytest.raises(StoreError):
        SqliteStore(file)
