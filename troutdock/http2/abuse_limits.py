"""What a peer may make us do for nothing, as buckets (no I/O, no clock).

Frames that cost the sender little and the receiver an answer or a table's place are counted: resets of
streams that have only just come (CVE-2023-44487), PING and SETTINGS, which are answered, and empty DATA.
"""

from __future__ import annotations

RESETS, RESETS_PER_S = 200.0, 100.0  # of streams younger than YOUNG_S: who gives up calls does so later
YOUNG_S = 0.05
CHEAP, CHEAP_PER_S = 200.0, 20.0  # clients that measure the way send some ten PINGs a second


class Bucket:
    """So many at once, and so many a second; seconds on any clock."""

    __slots__ = ("_at", "_most", "_per_s", "_tokens")

    def __init__(self, most: float, per_s: float, now: float) -> None:
        self._most, self._per_s, self._tokens, self._at = most, per_s, most, now

    def take(self, now: float) -> bool:
        """One more; false if that is too many."""
        self._tokens = min(self._most, self._tokens + (now - self._at) * self._per_s)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Guard:
    """Of one connection."""

    __slots__ = ("_cheap", "_resets")

    def __init__(self, now: float) -> None:
        self._resets, self._cheap = Bucket(RESETS, RESETS_PER_S, now), Bucket(CHEAP, CHEAP_PER_S, now)

    def reset(self, age_s: float, now: float) -> bool:
        """The peer gives up a stream of that age; false if it does so too often."""
        return age_s >= YOUNG_S or self._resets.take(now)

    def cheap(self, now: float) -> bool:
        """A frame that wants an answer or says nothing; false if there are too many."""
        return self._cheap.take(now)
