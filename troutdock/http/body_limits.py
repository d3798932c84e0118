"""How much of clients' messages this process holds, and how long one may take to come (no I/O).

A body is held whole until its request has its final answer, as a further attempt sends it again. So there is
a budget of bytes for all of them: who finds no room is told to come back, before more is read.
"""

from __future__ import annotations

UNBUDGETED_BODY_BYTES = (
    64 * 1024
)  # bytes: bodies up to here are covered by the memory of the connection itself
MIB = 1024 * 1024
PROGRAM_MEMORY_MB = (
    32  # of memory for the program, its connections and answers under way; measured: 14 to 28 MB
)
BODY_MEMORY_FRACTION = (
    0.5  # of the rest is for bodies: what is written to a backend may stand in its buffer as well
)
MIN_BODY_BUDGET = 2 * MIB

STREAM_KIB = 180  # of memory for an answer that a slow client reads, measured: benchmarks/slow_readers.py
MIN_STREAMS = 16

HEADER_TIMEOUT_S = (
    2.6  # for a head, from the connection's start or its first byte on: clients have been seen to take 2
)
FIRST_BYTE_TIMEOUT_S = 2.0  # for the first byte of a new connection
BODY_GRACE_S = 1.5  # until a body's pace counts
MIN_BODY_RATE = 32 * 1024  # bytes a second: half of what the slowest clients do


def body_budget_bytes(memory_mb: float) -> int:
    """Bytes that may be held of long bodies, all together, in a process of so much memory."""
    return max(MIN_BODY_BUDGET, int((memory_mb - PROGRAM_MEMORY_MB) * BODY_MEMORY_FRACTION * MIB))


def max_streams_for(memory_mb: float) -> int:
    """How many answers may be passed on as they come, all to slow clients, in a process of so much memory."""
    return max(
        MIN_STREAMS, int((memory_mb - PROGRAM_MEMORY_MB) * (1 - BODY_MEMORY_FRACTION) * 1024 / STREAM_KIB)
    )


class ByteBudget:
    """Bytes that are held, within a bound."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int = 64 * MIB) -> None:
        self.limit, self.used = limit, 0

    def reserve(self, count: int) -> bool:
        """Hold so many more; false, and nothing is held, where there is no room."""
        if self.used + count > self.limit:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """So many are held no longer."""
        self.used -= count


class MessageTimer:
    """How long the message that is coming has taken, on a clock in seconds."""

    __slots__ = ("_body_started_at", "_first_byte_received", "_new_connection", "_started_at")

    def __init__(self, now: float, new_connection: bool = True) -> None:
        """fresh: no message has come yet, and the first one's time runs from the connection's start."""
        self._started_at, self._new_connection, self._first_byte_received, self._body_started_at = (
            now,
            new_connection,
            False,
            0.0,
        )

    def message_started(self, now: float) -> None:
        """The first byte of a message."""
        if not self._new_connection:
            self._started_at = now
        self._new_connection, self._first_byte_received, self._body_started_at = False, True, 0.0

    def backdate(self, seconds: float) -> None:
        """The message that is coming began that much earlier, at another process."""
        self._started_at -= seconds
        if self._body_started_at:
            self._body_started_at -= seconds

    def started_at(self) -> float:
        """When the message that is coming began, or its body if that is coming."""
        return self._body_started_at or self._started_at

    def header_section_complete(self, now: float) -> None:
        """The head is whole; from now on the body is measured."""
        self._body_started_at = now

    def expired(self, now: float, received: int, head_s: float = HEADER_TIMEOUT_S) -> bool:
        """It has had its time; received: bytes of the body so far. head_s: for a head."""
        if self._body_started_at:
            return now - self._body_started_at > BODY_GRACE_S + received / MIN_BODY_RATE
        return now - self._started_at > (
            head_s
            if self._first_byte_received
            else max(FIRST_BYTE_TIMEOUT_S, head_s - HEADER_TIMEOUT_S + FIRST_BYTE_TIMEOUT_S)
        )
