"""How late this process handles what has come, told from the lateness of its own clockwork.

A pass of the event loop handles all that is ready; what comes meanwhile waits for the next. So the length
of a pass is what a message waits at most, and a timer that is due within one is late by a part of it. A timer
every few milliseconds samples that: the largest lateness of late, fading, is the lag.

The lag says whether it is worth asking the kernel how long a message has waited (http.socket_info), a system
call for each.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

SAMPLE_INTERVAL_S = 0.010  # between two samples: 100 callbacks a second cost some 0.2 ms of CPU
DECAY = 0.8  # what a prompt sample leaves of the lag: a tenth after 100 ms
SIGNIFICANT_MS = (
    4.0  # a lag from which on messages are asked for their age; below it the kernel's steps hide it
)


class EventLoopLag:
    """The lag of one event loop, in milliseconds."""

    __slots__ = ("_due", "_now", "every_s", "now_ms")

    def __init__(self, now: Callable[[], float] = lambda: 0.0, every_s: float = SAMPLE_INTERVAL_S) -> None:
        """every_s: between two samples."""
        self.now_ms, self.every_s = 0.0, every_s
        self._now = now  # milliseconds
        self._due = inf

    @property
    def significant(self) -> bool:
        """What is read now may have waited: the loop was late of late, or the next sample is overdue."""
        return self.now_ms > SIGNIFICANT_MS or self._now() - self._due > SIGNIFICANT_MS

    def sample(self) -> None:
        """The timer has fired, every_s after the last time or later."""
        now = self._now()
        if self._due < inf:
            self.now_ms = max(now - self._due, self.now_ms * DECAY)
        self._due = now + self.every_s * 1000
