"""How late this process handles what has come, told from the lateness of its own clockwork.

A pass of the event loop handles all that is ready; what comes meanwhile waits for the next. So the length
of a pass is what a message waits at most, and a timer that is due within one is late by a part of it. A timer
every few milliseconds samples that: the largest lateness of late, fading, is the lag.

The lag says whether it is worth asking the kernel how long a message has waited (http.age), a system call
for each.
"""

from __future__ import annotations

EVERY_S = 0.010  # between two samples: 100 callbacks a second cost some 0.2 ms of CPU
FADE = 0.8  # what a prompt sample leaves of the lag: a tenth after 100 ms
NOTABLE_MS = 4.0  # a lag from which on messages are asked for their age; below it the kernel's steps hide it


class Lag:
    """The lag of one event loop, in milliseconds."""

    __slots__ = ("_due", "now_ms")

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: float | None = None

    @property
    def notable(self) -> bool:
        """What is read now may have waited."""
        return self.now_ms > NOTABLE_MS

    def sample(self, now_ms: float) -> None:
        """The timer has fired, EVERY_S after the last time or later."""
        if self._due is not None:
            self.now_ms = max(now_ms - self._due, self.now_ms * FADE)
        self._due = now_ms + EVERY_S * 1000
