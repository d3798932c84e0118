"""What may be answered when, so that no use is lost or billed twice (no I/O, no clock).

Theory of operation. Each good answer is booked: it gets the next sequence number and goes into the next
commit. One commit runs at a time; what is booked meanwhile goes into the one after it.

    open     `sync`: the answer waits until its record is on disk; that it was given goes into a later commit.
             `bounded`: it leaves at once, as long as the oldest record not on disk is younger than
             at_risk_ms, and its number is no higher than the mark on disk; else it waits as with `sync`
    stuck    a commit failed: answers that wait are not given, nothing is let in, and after RETRY_MS a trial
             is made with all that is not on disk yet
    closing  the last commit: all records, all marks, and that no number was given out beyond them

Rules. Sequence numbers have no gaps: a record whose answer was not given stays, as VOID. And a failed commit
is never taken for a good one later: what was in it is written again, by its identity.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from troutdock.usage.record import Batch, Record, State, Use

SEQUENCE_RESERVE = (
    256  # numbers that may be given out beyond those on disk: two commits' at 10,000 answers a second
)
COMMIT_RETRY_MS = 1000.0  # between trials where the disk takes nothing; also what refused clients are told
UPDATE_DELAY_MS = (
    20.0  # a mark that waits alone waits so long for company: a crash leaves that many uncertain
)
MAX_WAITING_RECORDS = 20_000  # records that are not on disk, some 500 bytes each


class Promise(Enum):
    """When an answer may leave."""

    SYNC = "sync"
    BOUNDED = "bounded"
    MEMORY = "memory"


OnRecorded = Callable[
    [bool], bool
]  # its record is on disk, or can't be put there; gives whether the answer was given


@dataclass(slots=True)
class PendingRecord:
    """A booked use; told is None once its answer has left or was given up."""

    record: Record
    on_recorded: OnRecorded | None
    added_at: float


@dataclass(slots=True)
class LedgerState:
    """One incarnation's. All times are milliseconds."""

    incarnation: int
    promise: Promise
    at_risk_ms: float = 50.0
    reserved: int = 0  # on disk
    _last_sequence: int = 0
    _uncommitted: list[PendingRecord] = field(
        default_factory=list
    )  # not in a commit yet, the first booked first
    _committing: list[PendingRecord] = field(default_factory=list)  # in the commit that runs
    _state_updates: dict[int, State] = field(default_factory=dict)  # marks not in a commit yet
    _updates_since: float = inf
    _batch: Batch | None = None
    _retry_at: float = -inf
    stuck: bool = False
    closing: bool = False
    units_at_risk: float = 0.0  # units whose answers have left and whose records are not on disk
    max_units_at_risk: float = 0.0  # that at its highest
    full: bool = False  # exports that nobody has taken stand at their bound

    def admits(self, now: float) -> float:
        """0, or how long a client is to stay away because its use could not be billed, in milliseconds."""
        if self.stuck:
            return max(1.0, self._retry_at - now)
        if self.full or len(self._uncommitted) + len(self._committing) >= MAX_WAITING_RECORDS:
            return COMMIT_RETRY_MS
        return 0.0

    def add(self, now: float, use: Use, on_recorded: OnRecorded) -> None:
        """Use of an answer that is there and has not left.

        Told is called in here where it may leave at once.
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
        """How long until a commit is to begin, in milliseconds.

        Infinite while one runs or nothing is there.
        """
        if self._batch is not None:
            return inf
        if self.stuck:
            return max(0.0, self._retry_at - now)
        if any(entry.on_recorded for entry in self._uncommitted) or self.closing:
            return 0.0
        delays = [inf]
        if self._uncommitted:  # half of the time for waiting, half for the commit
            delays.append(self._uncommitted[0].added_at + self.at_risk_ms / 2 - now)
        if self._state_updates:
            delays.append(self._updates_since + UPDATE_DELAY_MS - now)
        if self.promise is Promise.BOUNDED and self._last_sequence + SEQUENCE_RESERVE / 2 > self.reserved:
            delays.append(0.0)
        return max(0.0, min(delays))

    def begin_commit(self) -> Batch:
        """What the commit that begins now is to write; committed or failed follows."""
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
        """The commit is on disk: answers that waited for it may leave."""
        assert self._batch is not None
        self.reserved, self._batch, self.stuck = self._batch.reserved, None, False
        entries, self._committing = self._committing, []
        for entry in entries:
            if entry.record.state is State.GIVEN:  # those that wait have no such state yet
                self.units_at_risk = max(0.0, self.units_at_risk - entry.record.use.units)
            if (on_recorded := entry.on_recorded) is not None:
                entry.on_recorded = None
                self._update_state(
                    now, entry.record.sequence, State.GIVEN if on_recorded(True) else State.VOID
                )

    def commit_failed(self, now: float) -> None:
        """Nothing of the commit is on disk, or nobody knows.

        It is tried again later, its answers are not given.
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
        """Records and marks that are not on disk."""
        return (
            len(self._uncommitted)
            + len(self._committing)
            + len(self._state_updates)
            + (len(self._batch.states) if self._batch else 0)
        )

    @property
    def finished(self) -> bool:
        """It is closing, and all is on disk: that no number was given out beyond them as well.

        A commit that began before closing has reserved numbers still.
        """
        has_spare = self.promise is Promise.BOUNDED and self.reserved > self._last_sequence
        return self.closing and not self.waiting and self._batch is None and not has_spare

    @property
    def last_sequence(self) -> int:
        """The number of the last record."""
        return self._last_sequence
