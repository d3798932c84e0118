"""Encoding of queries to a customer's bucket owner and of its replies; see bucket_owner.py (no I/O).

A query: kind (u8), number (u16, incremented by one), the customer's key (3 bytes), the refill per second
(f16, fractions of the burst), the use not reported before (i16, thousandths of the burst), the units
requested (u16, thousandths), the reserve to leave for others (u8, hundredths), the asker's upper bound of the
level (u8, 1/BOUND_SCALE of the burst), and the standby owner (u16). A reply: kind, the query's number, the
level afterwards (i16, thousandths), and how long not to query again (u8, HOLD_UNIT_MS each).
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from struct import Struct

from troutdock.admission.bucket_replication import NO_STANDBY

# kinds, distinct from those of backend_gossip_codec.py; a usage digest has its version in the same byte
QUERY, GRANTED, REFUSED = 18, 19, 20
LEVEL_SCALE = 1000  # units of use and levels per burst
HOLD_UNIT_MS = 20.0  # unit of the hold-off, at most 5.1 s
BOUND_SCALE = 250  # units of level bounds per burst
_QUERY, _REPLY = Struct("<BHHBehHBBH"), Struct("<BHhB")
KINDS = (bytes([QUERY]), bytes([GRANTED]), bytes([REFUSED]))


@dataclass(frozen=True, slots=True)
class OwnerQuery:
    """A report of one customer's use and a request for units.

    Attributes:
        key: The customer's key.
        fill_rate: Refill per second as a fraction of the burst, above 0 and at most 1,000.
        used: Use to report, in thousandths of the burst.
        requested: Units requested, in thousandths of the burst.
        reserve: What is to remain for others, in hundredths of the burst.
        level_bound: Upper bound of the level by the last reply to the asker, 1 if it knows nothing.
        standby: The gateway that is queried if this one does not answer, or was queried before it.
    """

    key: int
    fill_rate: float
    used: int
    requested: int
    reserve: int
    level_bound: float = 1.0
    standby: int = NO_STANDBY

    def encode(self, number: int) -> bytes:
        """Returns the datagram."""
        used, requested = max(-32768, min(32767, self.used)), min(65535, self.requested)
        return _QUERY.pack(
            QUERY,
            number,
            self.key & 0xFFFF,
            self.key >> 16,
            self.fill_rate,
            used,
            requested,
            min(100, self.reserve),
            round(max(0.0, min(1.0, self.level_bound)) * BOUND_SCALE),
            self.standby,
        )


def decode_query(body: bytes) -> tuple[int, OwnerQuery]:
    """Returns the query's number and content; ValueError if malformed."""
    if len(body) != _QUERY.size or body[0] != QUERY:
        raise ValueError(f"not an owner query: {len(body)} bytes")
    _, number, low, high, fill_rate, used, requested, reserve, level_bound, standby = _QUERY.unpack(body)
    if not (isfinite(fill_rate) and 0 < fill_rate <= 1000) or reserve > 100 or level_bound > BOUND_SCALE:
        raise ValueError(
            f"owner query out of range: burst refills {fill_rate} times per second, reserve {reserve} of 100"
        )
    return number, OwnerQuery(
        high << 16 | low, fill_rate, used, requested, reserve, level_bound / BOUND_SCALE, standby
    )


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """An owner's reply: whether the requested units were deducted, and the level (fraction of the burst)."""

    granted: bool
    level: float
    hold_ms: float = 0.0

    def encode(self, number: int) -> bytes:
        """Returns the datagram."""
        level = max(-32768, min(32767, int(self.level * LEVEL_SCALE // 1)))
        hold = max(0, min(255, round(self.hold_ms / HOLD_UNIT_MS)))
        return _REPLY.pack(GRANTED if self.granted else REFUSED, number, level, hold)


def decode_reply(body: bytes) -> tuple[int, OwnerReply]:
    """Returns the query's number and the reply; ValueError if malformed."""
    if len(body) != _REPLY.size or body[0] not in (GRANTED, REFUSED):
        raise ValueError(f"not an owner reply: {len(body)} bytes")
    kind, number, level, hold = _REPLY.unpack(body)
    if level > LEVEL_SCALE:
        raise ValueError("level in owner reply exceeds the burst")
    return number, OwnerReply(kind == GRANTED, level / LEVEL_SCALE, hold * HOLD_UNIT_MS)
