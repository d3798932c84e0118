"""Replication of bucket levels from an owner to its standby (no I/O, no clock).

The buckets of an owner that fails are lost, and its successor would assume them full: one extra burst for
each customer near its quota. So once per REPLICATION_MS an owner sends the next owner in the customer's list
the level of each bucket that was queried since and is below MAX_REPLICATED_LEVEL. The successor starts at
that level plus the refill since. A gateway that has just started asks all peers for the replicas that it sent
them before, and gets them with their age.

A replica datagram: kind (u8), then for each customer its key (3 bytes), the level (u8, 1/LEVEL_SCALE of the
burst) and its age (u8, AGE_UNIT_MS each). The request of a starting gateway is one byte.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct

from troutdock.admission.usage_digest_codec import MAX_DATAGRAM_BYTES

REPLICA, RECOVERY_REQUEST = b"\x15", b"\x16"  # kinds, distinct from those of owner_query_codec.py
KINDS = (REPLICA, RECOVERY_REQUEST)
REPLICATION_MS = 1000.0  # about one request refills in this time, and 6 bytes/s for each bucket are cheap
MAX_REPLICATED_LEVEL = 0.8  # of the burst: a fuller bucket assumed full admits one extra request at most
LEVEL_SCALE, AGE_UNIT_MS = 250, 50.0
MAX_AGE_MS = 255 * AGE_UNIT_MS  # older replicas are useless, as bursts refill in some seconds
MAX_REPLICAS = 20_000  # the oldest are dropped first
NO_STANDBY = 0xFFFF  # the owner has no standby
_ROW = Struct("<HBBB")
MAX_ROWS = (MAX_DATAGRAM_BYTES - len(REPLICA)) // _ROW.size


def _encode(rows: list[tuple[int, float, float]]) -> Iterator[bytes]:
    """Yields the datagrams for rows of customer key, level and age in ms."""
    for at in range(0, len(rows), MAX_ROWS):
        yield REPLICA + b"".join(
            _ROW.pack(key & 0xFFFF, key >> 16, round(level * LEVEL_SCALE), min(255, round(age / AGE_UNIT_MS)))
            for key, level, age in rows[at : at + MAX_ROWS]
        )


class BucketReplicas:
    """The levels that one gateway has to send to standbys, and the replicas that it holds for others."""

    def __init__(self) -> None:
        self._pending: dict[int, dict[int, float]] = {}  # by gateway: levels by customer key
        self._sent_at: float | None = None  # None: it has not asked for its own replicas yet
        self._received: dict[int, tuple[float, float, int]] = {}  # by customer key: level, time, owner

    def record(self, key: int, level: float, standby: int) -> None:
        """Queues the level of a bucket that was queried for its standby."""
        if standby != NO_STANDBY and level < MAX_REPLICATED_LEVEL:
            self._pending.setdefault(standby, {})[key] = max(0.0, level)

    def due(self, now: float) -> Iterator[tuple[int | None, bytes]]:
        """Yields the datagrams to send and their gateways (None: all), once per REPLICATION_MS."""
        if self._sent_at is None:
            self._sent_at = now
            yield None, RECOVERY_REQUEST
        if self._pending and now - self._sent_at >= REPLICATION_MS:
            due, self._pending, self._sent_at = self._pending, {}, now
            for gateway, levels in due.items():
                for body in _encode([(key, level, 0.0) for key, level in levels.items()]):
                    yield gateway, body

    def receive(self, now: float, sender: int, body: bytes) -> Iterator[bytes]:
        """Applies a peer's datagram and returns the replies; ValueError if malformed, nothing is applied."""
        if body == RECOVERY_REQUEST:
            matching = [
                (key, level, now - at) for key, (level, at, by) in self._received.items() if by == sender
            ]
            return _encode([row for row in matching if row[2] < MAX_AGE_MS])
        if body[:1] != REPLICA or not 1 < len(body) <= MAX_DATAGRAM_BYTES or (len(body) - 1) % _ROW.size:
            raise ValueError(f"not a bucket replica datagram: {len(body)} bytes")
        rows = list(_ROW.iter_unpack(body[1:]))
        if any(level > LEVEL_SCALE for _, _, level, _ in rows):
            raise ValueError("level in bucket replica exceeds the burst")
        for low, high, level, age in rows:
            self._received.pop(high << 16 | low, None)
            self._received[high << 16 | low] = level / LEVEL_SCALE, now - age * AGE_UNIT_MS, sender
        while len(self._received) > MAX_REPLICAS:
            del self._received[next(iter(self._received))]
        return iter(())

    def take_deficit(self, now: float, key: int, fill_rate: float) -> float:
        """Removes a bucket's replica and returns its deficit now, 0 without one.

        fill_rate: refill per millisecond as a fraction of the burst.
        """
        level, at, _ = self._received.pop(key, (1.0, now, 0))
        return max(0.0, 1.0 - level - (now - at) * fill_rate)
