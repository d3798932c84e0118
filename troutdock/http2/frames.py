"""Encoding of HTTP/2 frames, and the error codes (RFC 9113, sections 4 to 7)."""

from __future__ import annotations

from enum import IntEnum
from struct import Struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER = Struct(">HBBBI")  # length (upper 16 bits, lower 8 bits), type, flags, stream identifier
FRAME_HEADER_SIZE = 9
# bytes of payload: the initial SETTINGS_MAX_FRAME_SIZE, and the limit used here
DEFAULT_MAX_FRAME_SIZE = 16_384
MAX_WINDOW_SIZE = 2**31 - 1
DEFAULT_WINDOW_SIZE = 65_535  # bytes: of a connection, and of a stream until SETTINGS change it

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY = range(8)
WINDOW_UPDATE, CONTINUATION = 8, 9

END_STREAM, ACK, END_HEADERS, PADDED, PRIORITY_FLAG = 0x1, 0x1, 0x4, 0x8, 0x20

# identifiers of settings
HEADER_TABLE_SIZE, ENABLE_PUSH, MAX_CONCURRENT_STREAMS, INITIAL_WINDOW_SIZE, MAX_FRAME_SIZE = range(1, 6)
MAX_HEADER_LIST_SIZE = 6

SETTING_ENTRY = Struct(">HI")
UINT32 = Struct(">I")
GOAWAY_FIELDS = Struct(">II")


class ErrorCode(IntEnum):
    """Error codes of RST_STREAM and GOAWAY (RFC 9113, section 7)."""

    NO_ERROR = 0x0
    PROTOCOL_ERROR = 0x1
    INTERNAL_ERROR = 0x2
    FLOW_CONTROL_ERROR = 0x3
    SETTINGS_TIMEOUT = 0x4
    STREAM_CLOSED = 0x5
    FRAME_SIZE_ERROR = 0x6
    REFUSED_STREAM = 0x7
    CANCEL = 0x8
    COMPRESSION_ERROR = 0x9
    CONNECT_ERROR = 0xA
    ENHANCE_YOUR_CALM = 0xB
    INADEQUATE_SECURITY = 0xC
    HTTP_1_1_REQUIRED = 0xD


class H2ConnectionError(Exception):
    """A connection error (RFC 9113, section 5.4.1): the connection must be closed with a GOAWAY.

    Attributes:
        code: Error code of the GOAWAY.
        reason: Debug data of the GOAWAY.
    """

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(code, reason)
        self.code, self.reason = code, reason


class H2StreamError(Exception):
    """A stream error (RFC 9113, section 5.4.2): the stream is reset, the connection stays open."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(code, reason)
        self.code, self.reason = code, reason


def frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    """Returns an encoded frame."""
    size = len(payload)
    return FRAME_HEADER.pack(size >> 8, size & 0xFF, frame_type, flags, stream_id) + payload


def settings(values: dict[int, int]) -> bytes:
    """Returns a SETTINGS frame with these values by identifier."""
    return frame(SETTINGS, 0, 0, b"".join(SETTING_ENTRY.pack(*pair) for pair in values.items()))


def window_update(stream_id: int, increment: int) -> bytes:
    """Returns a WINDOW_UPDATE frame; stream 0 is the connection."""
    return frame(WINDOW_UPDATE, 0, stream_id, UINT32.pack(increment))


def rst_stream(stream_id: int, code: int) -> bytes:
    """Returns an RST_STREAM frame."""
    return frame(RST_STREAM, 0, stream_id, UINT32.pack(code))


def goaway(last_stream_id: int, code: int, reason: bytes = b"") -> bytes:
    """Returns a GOAWAY frame with optional debug data."""
    return frame(GOAWAY, 0, 0, GOAWAY_FIELDS.pack(last_stream_id, code) + reason)


def strip_padding(payload: bytes, flags: int) -> bytes:
    """Returns the payload without its padding.

    Raises:
        H2ConnectionError: The padding is not shorter than the payload.
    """
    if not flags & PADDED:
        return payload
    if not payload or payload[0] >= len(payload):
        raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "padding longer than its frame")
    return payload[1 : len(payload) - payload[0]]
