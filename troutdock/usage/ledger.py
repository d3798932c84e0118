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

RESERVE = 256  # numbers that may be given out beyond those on disk: two commits' at 10,000 answers a second
RETRY_MS = 1000.0  # between trials where the disk takes nothing; also what refused clients are told
MARK_MS = 20.0  # a mark that waits alone waits so long for company: a crash leaves that many uncertain
MOST_WAITING = 20_000  # records that are not on disk, some 500 bytes each


class Promise(Enum):
    """When an answer may leave."""

    SYNC = "sync"
    BOUNDED = "bounded"
    MEMORY = "memory"


Told = Callable[
    [bool], bool
]  # its record is on disk, or can't be put there; gives whether the answer was given


@dataclass(slots=True)
class Entry:
    """A booked use; told is None once its answer has left or was given up."""

    record: Record
    told: Told | None
    booked_at: float


@dataclass(slots=True)
class Book:
    """One incarnation's. All times are milliseconds."""

    incarnation: int
    promise: Promise
    at_risk_ms: float = 50.0
    reserved: int = 0  # on disk
    _last: int = 0
    _new: list[Entry] = field(default_factory=list)  # not in a commit yet, the first booked first
    _running: list[Entry] = field(default_factory=list)  # in the commit that runs
    _states: dict[int, State] = field(default_factory=dict)  # marks not in a commit yet
    _marks_since: float = inf
    _batch: Batch | None = None
    _stuck_until: float = -inf
    stuck: bool = False
    closing: bool = False
    at_risk: float = 0.0  # units whose answers have left and whose records are not on disk
    most_at_risk: float = 0.0  # that at its highest
    full: bool = False  # exports that nobody has taken stand at their bound

    def admits(self, now: float) -> float:
        """0, or how long a client is to stay away because its use could not be billed, in milliseconds."""
        if self.stuck:
            return max(1.0, self._stuck_until - now)
        if self.full or len(self._new) + len(self._running) >= MOST_WAITING:
            return RETRY_MS
        return 0.0

    def book(self, now: float, use: Use, told: Told) -> None:
        """Use of an answer that is there and has not left.

        Told is called in here where it may leave at once.
        """
        self._last += 1
        leaves = self.promise is Promise.MEMORY or (self.promise is Promise.BOUNDED and self._may_leave(now))
        state = State.WRITTEN
        if leaves:
            state = State.GIVEN if told(True) else State.VOID
            self.at_risk += use.units if state is State.GIVEN else 0.0
            self.most_at_risk = max(self.most_at_risk, self.at_risk)
        entry = Entry(Record(self.incarnation, self._last, use, state), None if leaves else told, now)
        self._new.append(entry)

    def _may_leave(self, now: float) -> bool:
        oldest = self._running or self._new
        late = bool(oldest) and now - oldest[0].booked_at > self.at_risk_ms
        return not (late or self.stuck) and self._last <= self.reserved

    def due(self, now: float) -> float:
        """How long until a commit is to begin, in milliseconds.

        Infinite while one runs or nothing is there.
        """
        if self._batch is not None:
            return inf
        if self.stuck:
            return max(0.0, self._stuck_until - now)
        if any(entry.told for entry in self._new) or self.closing:
            return 0.0
        waits = [inf]
        if self._new:  # half of the time for waiting, half for the commit
            waits.append(self._new[0].booked_at + self.at_risk_ms / 2 - now)
        if self._states:
            waits.append(self._marks_since + MARK_MS - now)
        if self.promise is Promise.BOUNDED and self._last + RESERVE / 2 > self.reserved:
            waits.append(0.0)
        return max(0.0, min(waits))

    def batch(self) -> Batch:
        """What the commit that begins now is to write; committed or failed follows."""
        assert self._batch is None, "one commit at a time"
        self._running, self._new = self._new, []
        states, self._states, self._marks_since = self._states, {}, inf
        reserved = self._last if self.closing or self.promise is not Promise.BOUNDED else self._last + RESERVE
        self._batch = Batch(
            self.incarnation, tuple(e.record for e in self._running), tuple(states.items()), reserved
        )
        return self._batch

    def committed(self, now: float) -> None:
        """The commit is on disk: answers that waited for it may leave."""
        assert self._batch is not None
        self.reserved, self._batch, self.stuck = self._batch.reserved, None, False
        entries, self._running = self._running, []
        for entry in entries:
            if entry.record.state is State.GIVEN:  # those that wait have no such state yet
                self.at_risk = max(0.0, self.at_risk - entry.record.use.units)
            if (told := entry.told) is not None:
                entry.told = None
                self._mark(now, entry.record.sequence, State.GIVEN if told(True) else State.VOID)

    def failed(self, now: float) -> None:
        """Nothing of the commit is on disk, or nobody knows.

        It is tried again later, its answers are not given.
        """
        assert self._batch is not None
        self.stuck, self._stuck_until = True, now + RETRY_MS
        for sequence, state in self._batch.states:
            self._mark(now, sequence, self._states.get(sequence, state))
        waiting, self._new, self._running, self._batch = self._running + self._new, [], [], None
        for entry in waiting:
            if (told := entry.told) is not None:
                entry.told = None
                told(False)
                entry.record = entry.record._replace(state=State.VOID)
        self._new = waiting + self._new

    def _mark(self, now: float, sequence: int, state: State) -> None:
        self._states[sequence] = state
        self._marks_since = min(self._marks_since, now)

    @property
    def waiting(self) -> int:
        """Records and marks that are not on disk."""
        return (
            len(self._new)
            + len(self._running)
            + len(self._states)
            + (len(self._batch.states) if self._batch else 0)
        )

    @property
    def finished(self) -> bool:
        """It is closing, and all is on disk: that no number was given out beyond them as well.

        A commit that began before closing has reserved numbers still.
        """
        spare = self.promise is Promise.BOUNDED and self.reserved > self._last
        return self.closing and not self.waiting and self._batch is None and not spare

    @property
    def last(self) -> int:
        """The number of the last record."""
        return self._last
