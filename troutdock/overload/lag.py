"""Event loop lag: how late this process handles received messages, estimated from the lateness of a timer.

One pass of the event loop handles everything that is ready; what arrives meanwhile waits for the next pass.
So the length of a pass bounds the wait of a message, and a timer that is due during a pass fires late by a
part of it. A timer every few milliseconds samples this; the lag is the largest recent lateness, with
exponential decay.

The lag decides whether to ask the kernel how long a message has waited (http.socket_info), which costs one
system call for each message.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

SAMPLE_INTERVAL_S = 0.010  # 100 callbacks a second cost about 0.2 ms of CPU time
DECAY = 0.8  # factor for each sample in time: a tenth remains after 100 ms
SIGNIFICANT_MS = 4.0  # above it the age of messages is queried; less is below the kernel's resolution


class EventLoopLag:
    """The lag of one event loop, in milliseconds."""

    __slots__ = ("_due", "_now", "every_s", "now_ms")

    def __init__(self, now: Callable[[], float] = lambda: 0.0, every_s: float = SAMPLE_INTERVAL_S) -> None:
        """now: current time in milliseconds. every_s: interval between two samples."""
        self.now_ms, self.every_s = 0.0, every_s
        self._now = now
        self._due = inf

    @property
    def significant(self) -> bool:
        """True if data read now may have waited: recent lag, or an overdue sample."""
        return self.now_ms > SIGNIFICANT_MS or self._now() - self._due > SIGNIFICANT_MS

    def sample(self) -> None:
        """Handles the timer, which fires every_s after the last sample or later."""
        now = self._now()
        if self._due < inf:
            self.now_ms = max(now - self._due, self.now_ms * DECAY)
        self._due = now + self.every_s * 1000
