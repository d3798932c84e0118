"""The bytes of digests, by which gateways of a small fleet tell one another of use (no I/O).

usage_gossip.py says what they mean.

A digest: version (u8), number (u16, one more each time), then for each customer its mark (3 bytes), its
use in hundredths of the burst (i8; below nought: given back), and the store in STEPS of its burst (u8;
UNSURE: not known).
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct

VERSION = 1
MOST = 256  # bytes, as PROTOCOL allows a datagram
HEAD, ENTRY = Struct("<BH"), Struct("<HBbB")
FITTING = (MOST - HEAD.size) // ENTRY.size
STEPS, UNSURE = 250, 255
MOST_USE = 127  # hundredths of the burst in one entry


def mark_of(customer: int) -> int:
    """24 bits for a customer: 1,000 at a time share one with chance 1 in 17,000 each."""
    return (customer * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF) >> 40


def write(number: int, rows: Iterable[tuple[int, int, float | None]]) -> bytes:
    """A digest of marks, uses in hundredths, and levels from 0 to 1 (None: not known), FITTING at most."""
    return HEAD.pack(VERSION, number) + b"".join(
        ENTRY.pack(mark & 0xFFFF, mark >> 16, hundredths, UNSURE if level is None else round(level * STEPS))
        for mark, hundredths, level in rows
    )


def read(body: bytes) -> tuple[int, list[tuple[int, int, float | None]]]:
    """Its number and rows, as they were written; ValueError if it is none."""
    if not HEAD.size < len(body) <= MOST or (len(body) - HEAD.size) % ENTRY.size:
        raise ValueError(f"{len(body)} bytes are no digest")
    version, number = HEAD.unpack_from(body)
    if version != VERSION:
        raise ValueError(f"version {version} of a digest is not known")
    rows = [
        (high << 16 | low, hundredths, None if level == UNSURE else level / STEPS)
        for low, high, hundredths, level in ENTRY.iter_unpack(body[HEAD.size :])
    ]
    if any(level is not None and level > 1 for *_, level in rows):
        raise ValueError("a level beyond the rim")
    return number, rows
