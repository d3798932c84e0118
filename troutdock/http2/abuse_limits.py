"""Rate limits for frames that cost the sender less than the receiver, as token buckets (no I/O, no clock).

Counted are resets of streams that were opened only a moment ago (rapid reset, CVE-2023-44487), and overhead
frames: PING and SETTINGS, which require an acknowledgement, PRIORITY, empty DATA frames, and HEADERS of
streams that are refused, which each take an entry in a table.
"""

from __future__ import annotations

# Only resets of streams younger than YOUNG_STREAM_S count: applications cancel calls later than that.
RESET_BURST, RESETS_PER_S = 200.0, 100.0
YOUNG_STREAM_S = 0.05
# Clients that measure the network path send about ten PINGs per second.
OVERHEAD_FRAME_BURST, OVERHEAD_FRAMES_PER_S = 200.0, 20.0


class TokenBucket:
    """A token bucket; times are in seconds of any monotonic clock."""

    __slots__ = ("_burst", "_per_s", "_tokens", "_updated_at")

    def __init__(self, burst: float, per_s: float, now: float) -> None:
        self._burst, self._per_s, self._tokens, self._updated_at = burst, per_s, burst, now

    def take(self, now: float) -> bool:
        """Takes one token. Returns False if the bucket is empty."""
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._per_s)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AbuseLimiter:
    """The limits of one connection."""

    __slots__ = ("_overhead_bucket", "_reset_bucket")

    def __init__(self, now: float) -> None:
        self._reset_bucket, self._overhead_bucket = (
            TokenBucket(RESET_BURST, RESETS_PER_S, now),
            TokenBucket(OVERHEAD_FRAME_BURST, OVERHEAD_FRAMES_PER_S, now),
        )

    def allow_reset(self, age_s: float, now: float) -> bool:
        """Counts an RST_STREAM for a stream of this age. Returns False if the rate limit is exceeded."""
        return age_s >= YOUNG_STREAM_S or self._reset_bucket.take(now)

    def allow_overhead_frame(self, now: float) -> bool:
        """Counts an overhead frame. Returns False if the rate limit is exceeded."""
        return self._overhead_bucket.take(now)
