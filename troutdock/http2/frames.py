"""The bytes of HTTP/2's frames, and the errors by number (RFC 9113, 4 to 7)."""

from __future__ import annotations

from enum import IntEnum
from struct import Struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER = Struct(">HBBBI")  # length's upper 16 bits, its lower 8, type, flags, stream
FRAME_HEADER_SIZE = 9
DEFAULT_MAX_FRAME_SIZE = 16_384  # bytes of a frame's payload that we take, the least that every peer takes
MAX_WINDOW_SIZE = 2**31 - 1
DEFAULT_WINDOW_SIZE = 65_535  # of a connection, and of each stream until SETTINGS say otherwise

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY = range(8)
WINDOW_UPDATE, CONTINUATION = 8, 9

END_STREAM, ACK, END_HEADERS, PADDED, PRIORITY_FLAG = 0x1, 0x1, 0x4, 0x8, 0x20

# of SETTINGS
HEADER_TABLE_SIZE, ENABLE_PUSH, MAX_CONCURRENT_STREAMS, INITIAL_WINDOW_SIZE, MAX_FRAME_SIZE = range(1, 6)
MAX_HEADER_LIST_SIZE = 6

SETTING_ENTRY = Struct(">HI")
UINT32 = Struct(">I")
GOAWAY_FIELDS = Struct(">II")


class ErrorCode(IntEnum):
    """Why a stream or a connection ends (RFC 9113, 7)."""

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
    """The peer broke the protocol for the whole connection: code, and what was wrong."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(code, reason)
        self.code, self.reason = code, reason


class H2StreamError(Exception):
    """The same for one stream."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(code, reason)
        self.code, self.reason = code, reason


def frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    """One frame."""
    size = len(payload)
    return FRAME_HEADER.pack(size >> 8, size & 0xFF, frame_type, flags, stream_id) + payload


def settings(values: dict[int, int]) -> bytes:
    """A SETTINGS frame."""
    return frame(SETTINGS, 0, 0, b"".join(SETTING_ENTRY.pack(*pair) for pair in values.items()))


def window_update(stream_id: int, increment: int) -> bytes:
    """A WINDOW_UPDATE frame."""
    return frame(WINDOW_UPDATE, 0, stream_id, UINT32.pack(increment))


def rst_stream(stream_id: int, code: int) -> bytes:
    """An RST_STREAM frame."""
    return frame(RST_STREAM, 0, stream_id, UINT32.pack(code))


def goaway(last_stream_id: int, code: int, reason: bytes = b"") -> bytes:
    """A GOAWAY frame."""
    return frame(GOAWAY, 0, 0, GOAWAY_FIELDS.pack(last_stream_id, code) + reason)


def strip_padding(payload: bytes, flags: int) -> bytes:
    """A payload without its padding; ConnectionError if that is longer than the payload."""
    if not flags & PADDED:
        return payload
    if not payload or payload[0] >= len(payload):
        raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "padding longer than its frame")
    return payload[1 : len(payload) - payload[0]]
