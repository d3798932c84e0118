"""The clock shared by all ingresses of a deployment."""

from __future__ import annotations

import time


class SystemClock:
    """Monotonic milliseconds on the scale of Unix time.

    The gateway names counters by the minute, and all ingresses must use the same names, hence Unix time. The
    offset to the monotonic clock is fixed at the start, so later clock steps have no effect.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns the time in milliseconds."""
        return (self._offset + time.monotonic()) * 1000
