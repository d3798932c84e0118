"""What a peer may make us do for nothing, as buckets (no I/O, no clock).

Frames that cost the sender little and the receiver an answer or a table's place are counted: resets of
streams that have only just come (CVE-2023-44487), PING and SETTINGS, which are answered, and empty DATA.
"""

from __future__ import annotations

RESET_BURST, RESETS_PER_S = 200.0, 100.0  # of streams younger than YOUNG_S: who gives up calls does so later
YOUNG_STREAM_S = 0.05
OVERHEAD_FRAME_BURST, OVERHEAD_FRAMES_PER_S = (
    200.0,
    20.0,
)  # clients that measure the way send some ten PINGs a second


class TokenBucket:
    """So many at once, and so many a second; seconds on any clock."""

    __slots__ = ("_burst", "_per_s", "_tokens", "_updated_at")

    def __init__(self, burst: float, per_s: float, now: float) -> None:
        self._burst, self._per_s, self._tokens, self._updated_at = burst, per_s, burst, now

    def take(self, now: float) -> bool:
        """One more; false if that is too many."""
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._per_s)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AbuseLimiter:
    """Of one connection."""

    __slots__ = ("_overhead_bucket", "_reset_bucket")

    def __init__(self, now: float) -> None:
        self._reset_bucket, self._overhead_bucket = (
            TokenBucket(RESET_BURST, RESETS_PER_S, now),
            TokenBucket(OVERHEAD_FRAME_BURST, OVERHEAD_FRAMES_PER_S, now),
        )

    def allow_reset(self, age_s: float, now: float) -> bool:
        """The peer gives up a stream of that age; false if it does so too often."""
        return age_s >= YOUNG_STREAM_S or self._reset_bucket.take(now)

    def allow_overhead_frame(self, now: float) -> bool:
        """A frame that wants an answer or says nothing; false if there are too many."""
        return self._overhead_bucket.take(now)
