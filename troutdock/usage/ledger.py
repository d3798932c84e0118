"""Decides when an answer may be given, so that no usage is lost or billed twice (no I/O, no clock).

Theory of operation. The usage of each successful answer becomes a record with the next sequence number, and
goes into the next commit. One commit runs at a time; records added meanwhile go into the following one.

    open     `sync`: the answer waits until its record is on disk; the state GIVEN follows in a later commit.
             `bounded`: the answer is given at once while the oldest record not on disk is younger than
             at_risk_ms and its sequence number is within the reserved numbers on disk; otherwise it waits as
             with `sync`
    stuck    a commit failed: waiting answers are not given, no request is admitted, and everything that is
             not on disk is committed again after COMMIT_RETRY_MS
    closing  the last commit: all records, all state updates, and no reserved numbers beyond the last record

Invariants. Sequence numbers have no gaps: a record whose answer was not given stays, as VOID. A failed commit
is never treated as successful later: its content is written again under the same ids.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from troutdock.usage.record import Batch, Record, State, Use

# Sequence numbers that may be used beyond the records on disk: those of two commits at 10,000 answers/s.
SEQUENCE_RESERVE = 256
COMMIT_RETRY_MS = 1000.0  # between attempts after a failed commit; also the retry delay for rejected clients
# A state update waits this long to share a commit; a crash leaves the records of this period uncertain.
UPDATE_DELAY_MS = 20.0
MAX_WAITING_RECORDS = 20_000  # not on disk yet, about 500 bytes each


class Promise(Enum):
    """When an answer may be given, relative to its record's commit."""

    SYNC = "sync"
    BOUNDED = "bounded"
    MEMORY = "memory"


# Called with whether the answer may be given; returns whether it was given to the client.
OnRecorded = Callable[[bool], bool]


@dataclass(slots=True)
class PendingRecord:
    """A record that is not on disk; on_recorded is None once the answer was given or abandoned."""

    record: Record
    on_recorded: OnRecorded | None
    added_at: float


@dataclass(slots=True)
class LedgerState:
    """Ledger state of one incarnation. All times are in milliseconds."""

    incarnation: int
    promise: Promise
    at_risk_ms: float = 50.0
    reserved: int = 0  # highest reserved sequence number on disk
    _last_sequence: int = 0
    _uncommitted: list[PendingRecord] = field(default_factory=list)  # not in a commit yet, oldest first
    _committing: list[PendingRecord] = field(default_factory=list)  # in the running commit
    _state_updates: dict[int, State] = field(default_factory=dict)  # not in a commit yet, by sequence number
    _updates_since: float = inf
    _batch: Batch | None = None
    _retry_at: float = -inf
    stuck: bool = False
    closing: bool = False
    units_at_risk: float = 0.0  # units of given answers whose records are not on disk
    max_units_at_risk: float = 0.0  # highest value of units_at_risk
    full: bool = False  # unacknowledged exports have reached their size limit

    def admits(self, now: float) -> float:
        """Returns 0, or the retry delay in ms for a client whose usage could not be recorded."""
        if self.stuck:
            return max(1.0, self._retry_at - now)
        if self.full or len(self._uncommitted) + len(self._committing) >= MAX_WAITING_RECORDS:
            return COMMIT_RETRY_MS
        return 0.0

    def add(self, now: float, use: Use, on_recorded: OnRecorded) -> None:
        """Adds the usage of an answer that has not been given yet.

        Calls on_recorded within this call if the answer may be given at once.
        """
        self._last_sequence += 1
        answer_now = self.promise is Promise.MEMORY or (
            self.promise is Promise.BOUNDED and self._may_answer(now)
        )
        state = State.WRITTEN
        if answer_now:
            state = State.GIVEN if on_recorded(True) else State.VOID
            self.units_at_risk += use.units if state is State.GIVEN else 0.0
            self.max_units_at_risk = max(self.max_units_at_risk, self.units_at_risk)
        entry = PendingRecord(
            Record(self.incarnation, self._last_sequence, use, state),
            None if answer_now else on_recorded,
            now,
        )
        self._uncommitted.append(entry)

    def _may_answer(self, now: float) -> bool:
        oldest = self._committing or self._uncommitted
        late = bool(oldest) and now - oldest[0].added_at > self.at_risk_ms
        return not (late or self.stuck) and self._last_sequence <= self.reserved

    def commit_delay_ms(self, now: float) -> float:
        """Returns the delay until the next commit in ms; infinite if one is running or nothing is due."""
        if self._batch is not None:
            return inf
        if self.stuck:
            return max(0.0, self._retry_at - now)
        if any(entry.on_recorded for entry in self._uncommitted) or self.closing:
            return 0.0
        delays = [inf]
        if self._uncommitted:  # half of at_risk_ms for waiting, half for the commit
            delays.append(self._uncommitted[0].added_at + self.at_risk_ms / 2 - now)
        if self._state_updates:
            delays.append(self._updates_since + UPDATE_DELAY_MS - now)
        if self.promise is Promise.BOUNDED and self._last_sequence + SEQUENCE_RESERVE / 2 > self.reserved:
            delays.append(0.0)
        return max(0.0, min(delays))

    def begin_commit(self) -> Batch:
        """Returns the batch of a new commit; commit_succeeded or commit_failed must follow."""
        assert self._batch is None, "one commit at a time"
        self._committing, self._uncommitted = self._uncommitted, []
        states, self._state_updates, self._updates_since = self._state_updates, {}, inf
        reserved = (
            self._last_sequence
            if self.closing or self.promise is not Promise.BOUNDED
            else self._last_sequence + SEQUENCE_RESERVE
        )
        self._batch = Batch(
            self.incarnation, tuple(e.record for e in self._committing), tuple(states.items()), reserved
        )
        return self._batch

    def commit_succeeded(self, now: float) -> None:
        """Ends a commit that is on disk; answers that waited for it may be given."""
        assert self._batch is not None
        self.reserved, self._batch, self.stuck = self._batch.reserved, None, False
        entries, self._committing = self._committing, []
        for entry in entries:
            if entry.record.state is State.GIVEN:  # answers that waited have another state
                self.units_at_risk = max(0.0, self.units_at_risk - entry.record.use.units)
            if (on_recorded := entry.on_recorded) is not None:
                entry.on_recorded = None
                self._update_state(
                    now, entry.record.sequence, State.GIVEN if on_recorded(True) else State.VOID
                )

    def commit_failed(self, now: float) -> None:
        """Ends a commit that failed and may or may not be on disk.

        It is repeated later; its answers are not given.
        """
        assert self._batch is not None
        self.stuck, self._retry_at = True, now + COMMIT_RETRY_MS
        for sequence, state in self._batch.states:
            self._update_state(now, sequence, self._state_updates.get(sequence, state))
        waiting, self._uncommitted, self._committing, self._batch = (
            self._committing + self._uncommitted,
            [],
            [],
            None,
        )
        for entry in waiting:
            if (on_recorded := entry.on_recorded) is not None:
                entry.on_recorded = None
                on_recorded(False)
                entry.record = entry.record._replace(state=State.VOID)
        self._uncommitted = waiting + self._uncommitted

    def _update_state(self, now: float, sequence: int, state: State) -> None:
        self._state_updates[sequence] = state
        self._updates_since = min(self._updates_since, now)

    @property
    def waiting(self) -> int:
        """Number of records and state updates that are not on disk."""
        return (
            len(self._uncommitted)
            + len(self._committing)
            + len(self._state_updates)
            + (len(self._batch.states) if self._batch else 0)
        )

    @property
    def finished(self) -> bool:
        """Whether the ledger is closing, and all is on disk, without reserved numbers beyond the last.

        A commit that began before closing still reserves numbers.
        """
        has_spare = self.promise is Promise.BOUNDED and self.reserved > self._last_sequence
        return self.closing and not self.waiting and self._batch is None and not has_spare

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last record."""
        return self._last_sequence
