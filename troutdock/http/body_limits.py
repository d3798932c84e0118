"""Limits on request bodies: memory budget and minimum transfer rate (no I/O).

A body is buffered until its request has its final response, because a further attempt sends it again. All
bodies share one budget of bytes; a request that exceeds it is rejected with 503 before more is read.
"""

from __future__ import annotations

UNBUDGETED_BODY_BYTES = 64 * 1024  # bodies up to this size are covered by the connection's own memory
MIB = 1024 * 1024
PROGRAM_MEMORY_MB = 32  # for the program, its connections and outstanding responses, which take 14 to 28 MB
BODY_MEMORY_FRACTION = 0.5  # of the rest; a body written to a backend may also occupy its write buffer
MIN_BODY_BUDGET = 2 * MIB

STREAM_KIB = 180  # memory of a response streamed to a slow client, see benchmarks/slow_readers.py
MIN_STREAMS = 16

HEADER_TIMEOUT_S = 2.6  # from the connection's start or the first byte; real clients take up to 2 s
FIRST_BYTE_TIMEOUT_S = 2.0  # on a new connection
BODY_GRACE_S = 1.5  # before the minimum body rate applies
MIN_BODY_RATE = 32 * 1024  # bytes per second: half the rate of the slowest clients


def body_budget_bytes(memory_mb: float) -> int:
    """Returns the budget for all buffered bodies, in bytes, of a process with this much memory."""
    return max(MIN_BODY_BUDGET, int((memory_mb - PROGRAM_MEMORY_MB) * BODY_MEMORY_FRACTION * MIB))


def max_streams_for(memory_mb: float) -> int:
    """Returns how many responses may be streamed to slow clients at once in a process with this memory."""
    return max(
        MIN_STREAMS, int((memory_mb - PROGRAM_MEMORY_MB) * (1 - BODY_MEMORY_FRACTION) * 1024 / STREAM_KIB)
    )


class ByteBudget:
    """Counts reserved bytes up to a limit."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int = 64 * MIB) -> None:
        self.limit, self.used = limit, 0

    def reserve(self, count: int) -> bool:
        """Reserves count bytes. Returns false, and reserves nothing, if the limit would be exceeded."""
        if self.used + count > self.limit:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """Releases count reserved bytes."""
        self.used -= count


class MessageTimer:
    """Time limits of the message being received, on a clock in seconds."""

    __slots__ = ("_body_started_at", "_new_connection", "_receiving", "_started_at")

    def __init__(self, now: float, new_connection: bool = True) -> None:
        """Creates a timer.

        Args:
            new_connection: no message has been received yet; the first one's time runs from the connection's
                start.
        """
        self._started_at, self._new_connection, self._receiving, self._body_started_at = (
            now,
            new_connection,
            False,
            0.0,
        )

    def message_started(self, now: float) -> None:
        """Handles the first byte of a message."""
        if not self._new_connection:
            self._started_at = now
        self._new_connection, self._receiving, self._body_started_at = False, True, 0.0

    def backdate(self, seconds: float) -> None:
        """Moves the start of the current message back, because another process began to receive it."""
        self._started_at -= seconds
        if self._body_started_at:
            self._body_started_at -= seconds

    def started_at(self) -> float:
        """Returns when the current message started, or its body if that is being received."""
        return self._body_started_at or self._started_at

    def header_section_complete(self, now: float) -> None:
        """Starts the time of the body."""
        self._body_started_at = now

    def expired(self, now: float, received: int, head_s: float = HEADER_TIMEOUT_S) -> bool:
        """Returns whether the message has exceeded its time.

        Args:
            received: bytes of the body so far.
            head_s: time limit for the header section, in seconds.
        """
        if self._body_started_at:
            return now - self._body_started_at > BODY_GRACE_S + received / MIN_BODY_RATE
        return now - self._started_at > (
            head_s
            if self._receiving
            else max(FIRST_BYTE_TIMEOUT_S, head_s - HEADER_TIMEOUT_S + FIRST_BYTE_TIMEOUT_S)
        )
