"""The bytes by which gateways ask one another for parts of reservations, and give them (no I/O).

    kind (u8), reservation (8 bytes: BLAKE2b of its identity), life of who asks or has asked (u32), and of
    ASK    missing (u32), number of the last gift that came (u64)
    GIVE   parts (u32), number (u64)

The kinds are none of the decision module's (troutdock.admission), whose datagrams go the same way.
"""

from __future__ import annotations

from hashlib import blake2b
from struct import Struct

from troutdock.reservations.escrow import MAX_TRANSFER_MILLIUNITS

REQUEST, TRANSFER = 40, 41
KINDS = (bytes([REQUEST]), bytes([TRANSFER]))
_MESSAGE = Struct("<B8sIIQ")


def reservation_key(reservation: str) -> bytes:
    """Eight bytes for an identity: two of a million share them with a chance of 3 in 100 million."""
    return blake2b(reservation.encode(), digest_size=8).digest()


def encode_request(reservation: str, incarnation: int, missing: int, last_received: int) -> bytes:
    """A question."""
    return _MESSAGE.pack(
        REQUEST,
        reservation_key(reservation),
        incarnation,
        min(missing, MAX_TRANSFER_MILLIUNITS),
        last_received,
    )


def encode_transfer(reservation: str, incarnation: int, milliunits: int, number: int) -> bytes:
    """A gift, of MOST_GIFT parts at most."""
    return _MESSAGE.pack(TRANSFER, reservation_key(reservation), incarnation, milliunits, number)


def decode(body: bytes) -> tuple[int, bytes, int, int, int]:
    """Kind, reservation's key, life, missing or parts, and the gift's number.

    ValueError if it is none.
    """
    if body[:1] not in KINDS or len(body) != _MESSAGE.size:
        raise ValueError(f"{len(body)} bytes are no word on a reservation")
    kind, key, incarnation, milliunits, number = _MESSAGE.unpack(body)
    return kind, key, incarnation, milliunits, number
