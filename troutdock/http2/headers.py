"""Field blocks: decoded by the library hpack within limits, encoded as literals without indexing.

The literals are not Huffman-encoded and do not use the dynamic table. A block can therefore be assembled from
cached parts, and the peer's SETTINGS_HEADER_TABLE_SIZE has no effect on the encoder.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from hpack import Decoder, HPACKError, OversizedHeaderListError

from troutdock.http2.frames import ErrorCode, H2ConnectionError, H2StreamError

MAX_HEADER_LIST_BYTES = 16 * 1024  # names, values and 32 bytes per field (RFC 9113, 10.5.1)
DECODER_TABLE_BYTES = 4096  # size of the decoder's dynamic table, the default of HPACK
NAME_CACHE_SIZE = 512  # number of field names whose encoding is cached
# connection-specific fields (RFC 9113, 8.2.2)
_CONNECTION_SPECIFIC = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
_NEVER_INDEXED = frozenset(
    (b"account", b"authorization", b"cookie", b"idempotency-key", b"proxy-authorization")
)

Headers = list[tuple[bytes, bytes]]


def _encode_string(value: bytes) -> bytes:
    """Returns a string literal without Huffman coding (RFC 7541, 5.1 and 5.2)."""
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
    """Returns the start of a literal without indexing, never indexed for secrets (RFC 7541, 6.2.2, 6.2.3).

    Never indexed also binds intermediaries that forward the field.
    """
    return (b"\x10" if name in _NEVER_INDEXED else b"\x00") + _encode_string(name)


def encode(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns a field block of literals."""
    return b"".join([_encode_name(name) + _encode_string(value) for name, value in headers])


class HeaderDecoder:
    """HPACK decoder of one connection; it must decode every field block of the peer, in order."""

    def __init__(self) -> None:
        self._decoder = Decoder(max_header_list_size=MAX_HEADER_LIST_BYTES)
        self._decoder.max_allowed_table_size = DECODER_TABLE_BYTES

    def decode(self, block: bytes) -> Headers:
        """Returns the fields of a block.

        Raises:
            H2ConnectionError: The block is malformed, so that the dynamic table is out of step and later
                blocks can't be decoded either, or the list exceeds MAX_HEADER_LIST_BYTES (HPACK bomb).
        """
        try:
            return [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except OversizedHeaderListError as error:
            raise H2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "headers beyond the bound") from error
        except (HPACKError, IndexError, ValueError) as error:
            raise H2ConnectionError(
                ErrorCode.COMPRESSION_ERROR, "a block of headers can't be read"
            ) from error


def split_pseudo_headers(headers: Headers, allowed: frozenset[bytes]) -> tuple[dict[bytes, bytes], Headers]:
    """Splits a header list into pseudo-headers and the other fields.

    Args:
        headers: The decoded list.
        allowed: The pseudo-headers that may occur.

    Raises:
        H2StreamError: The list is malformed (RFC 9113, 8.2 and 8.3).
    """
    pseudo: dict[bytes, bytes] = {}
    rest: Headers = []
    for pair in headers:
        name, value = pair
        if name[:1] == b":":
            if rest or name in pseudo or name not in allowed:
                raise H2StreamError(
                    ErrorCode.PROTOCOL_ERROR, f"unexpected, repeated or misplaced pseudo-header: {name!r}"
                )
            pseudo[name] = value
        else:
            if not name or name in _CONNECTION_SPECIFIC or (name == b"te" and value != b"trailers"):
                raise H2StreamError(
                    ErrorCode.PROTOCOL_ERROR, f"connection-specific or empty field name: {name!r}"
                )
            if name != name.lower() or b" " in name or b"\0" in value or b"\n" in value or b"\r" in value:
                raise H2StreamError(ErrorCode.PROTOCOL_ERROR, f"malformed field: {name!r}")
            rest.append(pair)
    return pseudo, rest
