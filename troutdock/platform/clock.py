"""The time, as all ingresses of a deployment read it."""

from __future__ import annotations

import time


class SystemClock:
    """Monotonic milliseconds on the scale of Unix time.

    The gateway names counters after the minute it is, and all ingresses must name them alike; so the
    scale is the one that the machines share, fixed at the start so that no later step of it is felt.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Milliseconds."""
        return (self._offset + time.monotonic()) * 1000
