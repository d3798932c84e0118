"""What a home tells the next home of its stores, so that little is lost with it (no I/O, no clock).

A home that dies takes its stores along, and the next one would believe them full: a burst more for each
customer that is near its quota. So a home tells the next in the customer's order, once in COPY_MS, the level
of each store that was asked for since and is below BELOW. The next one begins with that level, and what has
filled since. A gateway that has just started asks all for what they hold of it, and is told it with its age.

A copy: kind (u8), then for each customer its mark (3 bytes), the level (u8, STEPS of the burst) and its age
(u8, AGE_MS each). What a fresh gateway asks is one byte.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct

from troutdock.admission.usage_digest_codec import MOST

COPY, FRESH = b"\x15", b"\x16"  # kinds, beside those of owner_query_codec.py
KINDS = (COPY, FRESH)
COPY_MS = 1000.0  # a request's worth fills in that time, and 6 bytes a second for each store are cheap
BELOW = 0.8  # of the burst: a fuller store that is taken for full lets one request more pass, at most
STEPS, AGE_MS = 250, 50.0
OLDEST_MS = 255 * AGE_MS  # an older copy is worth nothing: bursts fill in some seconds
KEPT = 20_000  # copies that are remembered, the oldest go first
NOBODY = 0xFFFF  # for who has no other home
_ROW = Struct("<HBBB")
ROWS = (MOST - len(COPY)) // _ROW.size


def _write(rows: list[tuple[int, float, float]]) -> Iterator[bytes]:
    """Datagrams of marks, levels and ages."""
    for at in range(0, len(rows), ROWS):
        yield COPY + b"".join(
            _ROW.pack(mark & 0xFFFF, mark >> 16, round(level * STEPS), min(255, round(age / AGE_MS)))
            for mark, level, age in rows[at : at + ROWS]
        )


class Copies:
    """Those of one gateway: what it is to tell, and what it was told."""

    def __init__(self) -> None:
        self._due: dict[int, dict[int, float]] = {}  # by gateway: levels by mark
        self._told_at: float | None = None  # None: it has not asked for its own yet
        self._heard: dict[int, tuple[float, float, int]] = {}  # by mark: the level, when, and by whom

    def touched(self, mark: int, level: float, other: int) -> None:
        """A store was asked for: its level now, and who keeps it if this gateway does not."""
        if other != NOBODY and level < BELOW:
            self._due.setdefault(other, {})[mark] = max(0.0, level)

    def due(self, now: float) -> Iterator[tuple[int | None, bytes]]:
        """Whom to tell what (None: all), each COPY_MS."""
        if self._told_at is None:
            self._told_at = now
            yield None, FRESH
        if self._due and now - self._told_at >= COPY_MS:
            due, self._due, self._told_at = self._due, {}, now
            for gateway, levels in due.items():
                for body in _write([(mark, level, 0.0) for mark, level in levels.items()]):
                    yield gateway, body

    def hear(self, now: float, sender: int, body: bytes) -> Iterator[bytes]:
        """Take in a peer's: what it is answered. ValueError, and nothing is taken in, if it is no such."""
        if body == FRESH:
            held = [(mark, level, now - at) for mark, (level, at, by) in self._heard.items() if by == sender]
            return _write([row for row in held if row[2] < OLDEST_MS])
        if body[:1] != COPY or not 1 < len(body) <= MOST or (len(body) - 1) % _ROW.size:
            raise ValueError(f"{len(body)} bytes are no copy")
        rows = list(_ROW.iter_unpack(body[1:]))
        if any(level > STEPS for _, _, level, _ in rows):
            raise ValueError("a level beyond the rim")
        for low, high, level, age in rows:
            self._heard.pop(high << 16 | low, None)
            self._heard[high << 16 | low] = level / STEPS, now - age * AGE_MS, sender
        while len(self._heard) > KEPT:
            del self._heard[next(iter(self._heard))]
        return iter(())

    def missing(self, now: float, mark: int, fill: float) -> float:
        """What a store lacks by the copy of it, at so much that fills in a millisecond; 0 without one."""
        level, at, _ = self._heard.pop(mark, (1.0, now, 0))
        return max(0.0, 1.0 - level - (now - at) * fill)
