"""Encoding of queries and replies about the list of backends; see backend_gossip.py (no I/O).

A datagram: kind (u8), the version of the sender's list (u32); in a reply, for each backend that is draining
or gone, the low 32 bits of its id.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct

from troutdock.admission.usage_digest_codec import MAX_DATAGRAM_BYTES

QUERY, REPLY = 16, 17  # kinds; a usage digest has its version in the same byte
KINDS = (bytes([QUERY]), bytes([REPLY]))
HEADER, ROW = Struct("<BI"), Struct("<I")
MAX_BACKENDS = (MAX_DATAGRAM_BYTES - HEADER.size) // ROW.size


def short_id(backend: int) -> int:
    """Returns the low 32 bits of a backend's id; among 1,000, two collide with a chance of 1 in 8,000."""
    return backend & 0xFFFFFFFF


def encode(kind: int, version: int, backends: Iterable[int]) -> bytes:
    """Encodes a query or a reply with at most MAX_BACKENDS backends."""
    return HEADER.pack(kind, short_id(version)) + b"".join(
        ROW.pack(short_id(backend)) for backend in backends
    )


def decode(body: bytes) -> tuple[int, int, list[int]]:
    """Returns kind, version and short ids of backends; ValueError if the length is invalid."""
    if not HEADER.size <= len(body) <= MAX_DATAGRAM_BYTES or (len(body) - HEADER.size) % ROW.size:
        raise ValueError(f"not a backend query or reply: {len(body)} bytes")
    kind, version = HEADER.unpack_from(body)
    return kind, version, [backend for (backend,) in ROW.iter_unpack(body[HEADER.size :])]
