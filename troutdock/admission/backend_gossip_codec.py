"""The bytes by which gateways ask one another for news of the list; see backend_gossip.py (no I/O).

A datagram: kind (u8), the version of the sender's list (u32); in an answer, for each backend that drains or
is gone, the low 32 bits of its id.
"""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct

from troutdock.admission.usage_digest_codec import MOST

ASK, ANSWER = 16, 17  # kinds; a digest's version stands in their place
KINDS = (bytes([ASK]), bytes([ANSWER]))
HEAD, ROW = Struct("<BI"), Struct("<I")
ROWS = (MOST - HEAD.size) // ROW.size


def low(backend: int) -> int:
    """The bits of a backend's id that are told; two of 1,000 share them with chance 1 in 8,000."""
    return backend & 0xFFFFFFFF


def write(kind: int, version: int, backends: Iterable[int]) -> bytes:
    """An ask or an answer, of ROWS backends at most."""
    return HEAD.pack(kind, low(version)) + b"".join(ROW.pack(low(backend)) for backend in backends)


def read(body: bytes) -> tuple[int, int, list[int]]:
    """Kind, version and the low bits of backends; ValueError if it is neither."""
    if not HEAD.size <= len(body) <= MOST or (len(body) - HEAD.size) % ROW.size:
        raise ValueError(f"{len(body)} bytes are no news")
    kind, version = HEAD.unpack_from(body)
    return kind, version, [backend for (backend,) in ROW.iter_unpack(body[HEAD.size :])]
