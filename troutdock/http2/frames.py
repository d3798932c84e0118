"""The bytes of HTTP/2's frames, and the errors by number (RFC 9113, 4 to 7)."""

from __future__ import annotations

from enum import IntEnum
from struct import Struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEAD = Struct(">HBBBI")  # length's upper 16 bits, its lower 8, type, flags, stream
HEAD_SIZE = 9
MOST_FRAME = 16_384  # bytes of a frame's payload that we take, the least that every peer takes
MOST_WINDOW = 2**31 - 1
FIRST_WINDOW = 65_535  # of a connection, and of each stream until SETTINGS say otherwise

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY = range(8)
WINDOW_UPDATE, CONTINUATION = 8, 9

END_STREAM, ACK, END_HEADERS, PADDED, PRIORITIZED = 0x1, 0x1, 0x4, 0x8, 0x20

# of SETTINGS
HEADER_TABLE_SIZE, ENABLE_PUSH, MAX_CONCURRENT_STREAMS, INITIAL_WINDOW_SIZE, MAX_FRAME_SIZE = range(1, 6)
MAX_HEADER_LIST_SIZE = 6

SETTING = Struct(">HI")
NUMBER = Struct(">I")
GONE = Struct(">II")


class Code(IntEnum):
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


class ConnectionError(Exception):
    """The peer broke the protocol for the whole connection: code, and what was wrong."""

    def __init__(self, code: Code, why: str) -> None:
        super().__init__(code, why)
        self.code, self.why = code, why


class StreamError(Exception):
    """The same for one stream."""

    def __init__(self, code: Code, why: str) -> None:
        super().__init__(code, why)
        self.code, self.why = code, why


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """One frame."""
    size = len(payload)
    return HEAD.pack(size >> 8, size & 0xFF, kind, flags, stream) + payload


def settings(values: dict[int, int]) -> bytes:
    """A SETTINGS frame."""
    return frame(SETTINGS, 0, 0, b"".join(SETTING.pack(*pair) for pair in values.items()))


def window_update(stream: int, more: int) -> bytes:
    """A WINDOW_UPDATE frame."""
    return frame(WINDOW_UPDATE, 0, stream, NUMBER.pack(more))


def reset(stream: int, code: int) -> bytes:
    """An RST_STREAM frame."""
    return frame(RST_STREAM, 0, stream, NUMBER.pack(code))


def goaway(last: int, code: int, why: bytes = b"") -> bytes:
    """A GOAWAY frame."""
    return frame(GOAWAY, 0, 0, GONE.pack(last, code) + why)


def unpadded(payload: bytes, flags: int) -> bytes:
    """A payload without its padding; ConnectionError if that is longer than the payload."""
    if not flags & PADDED:
        return payload
    if not payload or payload[0] >= len(payload):
        raise ConnectionError(Code.PROTOCOL_ERROR, "padding longer than its frame")
    return payload[1 : len(payload) - payload[0]]
