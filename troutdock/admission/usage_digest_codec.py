"""Encoding of the digests by which gateways of a small fleet report quota use to each other (no I/O).

usage_gossip.py explains their meaning.

A digest: version (u8), number (u16, incremented by one), then for each customer its key (3 bytes), its use in
hundredths of the burst (i8; negative: given back), and the bucket's level (u8, 1/LEVEL_SCALE of its burst;
UNKNOWN_LEVEL: not known).
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # the longest datagram that the protocol allows
HEADER, ENTRY = Struct("<BH"), Struct("<HBbB")
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
LEVEL_SCALE, UNKNOWN_LEVEL = 250, 255
MAX_ENTRY_USE = 127  # hundredths of the burst in one entry


def customer_key(customer: int) -> int:
    """Returns a 24-bit hash of a customer; among 1,000, each collides with a chance of 1 in 17,000."""
    return (customer * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF) >> 40


def encode_digest(number: int, rows: Iterable[tuple[int, int, float | None]]) -> bytes:
    """Encodes at most MAX_ENTRIES rows: customer key, use in hundredths, level or None if unknown."""
    return HEADER.pack(VERSION, number) + b"".join(
        ENTRY.pack(
            key & 0xFFFF,
            key >> 16,
            hundredths,
            UNKNOWN_LEVEL if level is None else round(level * LEVEL_SCALE),
        )
        for key, hundredths, level in rows
    )


def decode_digest(body: bytes) -> tuple[int, list[tuple[int, int, float | None]]]:
    """Returns the number and rows of a digest; ValueError if malformed."""
    if not HEADER.size < len(body) <= MAX_DATAGRAM_BYTES or (len(body) - HEADER.size) % ENTRY.size:
        raise ValueError(f"not a usage digest: {len(body)} bytes")
    version, number = HEADER.unpack_from(body)
    if version != VERSION:
        raise ValueError(f"unknown version {version} of a usage digest")
    rows = [
        (high << 16 | low, hundredths, None if level == UNKNOWN_LEVEL else level / LEVEL_SCALE)
        for low, high, hundredths, level in ENTRY.iter_unpack(body[HEADER.size :])
    ]
    if any(level is not None and level > 1 for *_, level in rows):
        raise ValueError("level in usage digest exceeds the burst")
    return number, rows
