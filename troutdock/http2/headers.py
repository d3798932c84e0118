"""Blocks of headers: decoded by the library hpack within bounds, encoded as plain literals.

Literals are not compressed and touch no table, so that a block is put together from parts that are cached,
and a peer's table has no influence here.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from hpack import Decoder, HPACKError, OversizedHeaderListError

from troutdock.http2.frames import ErrorCode, H2ConnectionError, H2StreamError

MAX_HEADER_LIST_BYTES = (
    16 * 1024
)  # bytes of a list of headers, names, values and 32 for each (RFC 9113, 10.5.1)
DECODER_TABLE_BYTES = 4096  # bytes of a peer's table here, HPACK's default
NAME_CACHE_SIZE = 512  # headers whose literal is remembered: method's paths and fixed values
# of one connection only (RFC 9113, 8.2.2)
_CONNECTION_SPECIFIC = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
_NEVER_INDEXED = frozenset(
    (b"account", b"authorization", b"cookie", b"idempotency-key", b"proxy-authorization")
)

Headers = list[tuple[bytes, bytes]]


def _encode_string(value: bytes) -> bytes:
    """A length with a prefix of seven bits, and the bytes as they are (RFC 7541, 5.1 and 5.2)."""
    size = len(value)
    if size < 127:
        return bytes((size,)) + value
    rest, head = size - 127, bytearray((127,))
    while rest >= 128:
        head.append(rest & 127 | 128)
        rest >>= 7
    head.append(rest)
    return bytes(head) + value


@lru_cache(NAME_CACHE_SIZE)
def _encode_name(name: bytes) -> bytes:
    """Without indexing; what is secret never, nor by those who pass it on (RFC 7541, 6.2.2, 6.2.3)."""
    return (b"\x10" if name in _NEVER_INDEXED else b"\x00") + _encode_string(name)


def encode(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """A block of literals."""
    return b"".join([_encode_name(name) + _encode_string(value) for name, value in headers])


class HeaderDecoder:
    """The peer's blocks of one connection, in their order."""

    def __init__(self) -> None:
        self._decoder = Decoder(max_header_list_size=MAX_HEADER_LIST_BYTES)
        self._decoder.max_allowed_table_size = DECODER_TABLE_BYTES

    def decode(self, block: bytes) -> Headers:
        """Its headers; ConnectionError, as what comes after it can't be read either, or it is a bomb."""
        try:
            return [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except OversizedHeaderListError as error:
            raise H2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "headers beyond the bound") from error
        except (HPACKError, IndexError, ValueError) as error:
            raise H2ConnectionError(
                ErrorCode.COMPRESSION_ERROR, "a block of headers can't be read"
            ) from error


def split_pseudo_headers(headers: Headers, allowed: frozenset[bytes]) -> tuple[dict[bytes, bytes], Headers]:
    """Pseudo-headers, and the rest; StreamError if they are malformed (RFC 9113, 8.2 and 8.3).

    known: the pseudo-headers that may be there.
    """
    pseudo: dict[bytes, bytes] = {}
    rest: Headers = []
    for pair in headers:
        name, value = pair
        if name[:1] == b":":
            if rest or name in pseudo or name not in allowed:
                raise H2StreamError(ErrorCode.PROTOCOL_ERROR, f"a pseudo-header out of place: {name!r}")
            pseudo[name] = value
        else:
            if not name or name in _CONNECTION_SPECIFIC or (name == b"te" and value != b"trailers"):
                raise H2StreamError(ErrorCode.PROTOCOL_ERROR, f"a header of one connection: {name!r}")
            if name != name.lower() or b" " in name or b"\0" in value or b"\n" in value or b"\r" in value:
                raise H2StreamError(ErrorCode.PROTOCOL_ERROR, f"a header that is none: {name!r}")
            rest.append(pair)
    return pseudo, rest
