"""Encoding of the datagrams that transfer units of reservations between gateways (no I/O).

    kind (u8), reservation (8 bytes: BLAKE2b of its id), incarnation of the requesting gateway (u32), and then
    REQUEST    missing milliunits (u32), number of the last transfer received (u64)
    TRANSFER   milliunits (u32), number (u64)

The kinds differ from those of troutdock.admission, whose datagrams use the same socket.
"""

from __future__ import annotations

from hashlib import blake2b
from struct import Struct

from troutdock.reservations.escrow import MAX_TRANSFER_MILLIUNITS

REQUEST, TRANSFER = 40, 41
KINDS = (bytes([REQUEST]), bytes([TRANSFER]))
_MESSAGE = Struct("<B8sIIQ")


def reservation_key(reservation: str) -> bytes:
    """Returns an 8-byte key; a million ids have a collision with a probability of 3 in 100 million."""
    return blake2b(reservation.encode(), digest_size=8).digest()


def encode_request(reservation: str, incarnation: int, missing: int, last_received: int) -> bytes:
    """Encodes a transfer request."""
    return _MESSAGE.pack(
        REQUEST,
        reservation_key(reservation),
        incarnation,
        min(missing, MAX_TRANSFER_MILLIUNITS),
        last_received,
    )


def encode_transfer(reservation: str, incarnation: int, milliunits: int, number: int) -> bytes:
    """Encodes a transfer of at most MAX_TRANSFER_MILLIUNITS."""
    return _MESSAGE.pack(TRANSFER, reservation_key(reservation), incarnation, milliunits, number)


def decode(body: bytes) -> tuple[int, bytes, int, int, int]:
    """Decodes a datagram.

    Returns:
        Kind, reservation key, incarnation, missing or transferred milliunits, and transfer number.

    Raises:
        ValueError: not a message about reservations.
    """
    if body[:1] not in KINDS or len(body) != _MESSAGE.size:
        raise ValueError(f"{len(body)} bytes are not a reservation message")
    kind, key, incarnation, milliunits, number = _MESSAGE.unpack(body)
    return kind, key, incarnation, milliunits, number
