"""Netstrings of JSON: `12:{"t":"ping"},`, and long payloads in parts (no I/O).

A frame is the decimal length of its payload, a colon, the payload and a comma. A payload of more than PART
bytes goes as several frames, each `+OFFSET/TOTAL:` and the next bytes of it: `21:+65536/65540:last,` is the
end of one of 65540 bytes. Other frames may stand between two parts, parts of another payload may not: one is
whole, or its connection has ended, before the next begins. What can't be a frame or a next part raises
FrameError, and the connection that brought it is of no more use: where the next begins can't be told.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

CHUNK_BYTES = 64 * 1024  # bytes of a payload that go in one frame; at 100 Mbit/s such a frame takes 5 ms
MAX_PAYLOAD_BYTES = (
    80 * 1024 * 1024
)  # bytes of a payload: the longest configuration (64 MiB) and what is round it
MAX_FRAME_BYTES = CHUNK_BYTES + 32  # bytes of a frame's payload: a part and its head
_MOST_DIGITS = len(str(MAX_PAYLOAD_BYTES))
_MOST_HEAD = 2 * _MOST_DIGITS + 3  # bytes of +OFFSET/TOTAL:


class FrameError(ValueError):
    """The peer sent what is no netstring or no next part, or one past the bound."""


def encode_frame(payload: bytes) -> bytes:
    """One netstring."""
    return b"%d:%b," % (len(payload), payload)


def _number(digits: bytes) -> int:
    """A decimal number in its one spelling; -1 for what is none."""
    if not digits.isdigit() or len(digits) > _MOST_DIGITS or (digits[:1] == b"0" and digits != b"0"):
        return -1
    return int(digits)


class FrameDecoder:
    """Extracts complete payloads from received bytes. max_bytes: the longest payload that is accepted."""

    __slots__ = ("_buffer", "_need", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()
        self._need = 0  # bytes of the frame that is coming, with its head; 0: not known yet

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The payloads that these bytes complete, in order; FrameError for what is none.

        Each is looked for only when it is asked for, so that a bound that was widened meanwhile holds for it.
        """
        buffer = self._buffer
        buffer += data
        while True:
            if not self._need:
                colon = buffer.find(b":", 0, _MOST_DIGITS + 1)
                if colon < 0:
                    if len(buffer) > _MOST_DIGITS:
                        raise FrameError("a frame without a length")
                    return
                digits = bytes(buffer[:colon])
                if (length := _number(digits)) < 0:
                    raise FrameError(f"{digits[:20]!r} is no length of a frame")
                if length > self.max_bytes:
                    raise FrameError(f"a frame of {length} bytes, {self.max_bytes} at most")
                self._need = colon + 1 + length + 1
            if len(buffer) < self._need:
                return
            if buffer[self._need - 1] != 0x2C:
                raise FrameError("a frame that does not end with a comma")
            payload = bytes(buffer[buffer.index(b":") + 1 : self._need - 1])
            del buffer[: self._need]
            self._need = 0
            yield payload


class ChunkAssembler:
    """Puts the parts of long payloads together. max_bytes: bytes of one payload.

    It never holds more than has come, whatever a head announces, and never more than `max_bytes`.
    """

    __slots__ = ("_parts", "_total", "max_bytes", "received_bytes")

    def __init__(self, max_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        self.max_bytes = max_bytes
        self.received_bytes = 0  # bytes of the payload that is coming
        self._total = 0  # all of them; 0: none is coming
        self._parts: list[bytes] = []

    @property
    def incomplete(self) -> bool:
        """A payload has begun and is not whole."""
        return self._total > 0

    def add(self, payload: bytes) -> bytes | None:
        """The whole payload that this frame's ends, one that is no part as it is; None: more is to come.

        FrameError for a part out of order, past its end or of a payload past the bound; all is let go then.
        """
        if payload[:1] != b"+":
            return payload
        try:
            return self._part(payload)
        except FrameError:
            self.clear()
            raise

    def _part(self, payload: bytes) -> bytes | None:
        head, colon, _ = payload[:_MOST_HEAD].partition(b":")
        at, slash, end = head[1:].partition(b"/")
        offset, total = _number(at), _number(end)
        if not colon or not slash or offset < 0 or total < 0:
            raise FrameError(f"{head[:24]!r} is no head of a part")
        if total > self.max_bytes:
            raise FrameError(f"a message of {total} bytes in parts, {self.max_bytes} at most")
        if offset != self.received_bytes or (self._total and total != self._total):
            come = f"{self.received_bytes} of {self._total} have come"
            raise FrameError(f"a part at {offset} of {total} bytes, where {come}")
        size = len(payload) - len(head) - 1
        if not size or offset + size > total:
            raise FrameError(f"a part of {size} bytes at {offset} of {total}")
        self._parts.append(payload[len(head) + 1 :])
        self._total = total
        self.received_bytes += size
        if self.received_bytes < total:
            return None
        whole = b"".join(self._parts)
        self.clear()
        return whole

    def clear(self) -> None:
        """Let half a payload go."""
        self._parts.clear()
        self.received_bytes = self._total = 0


class SendQueue:
    """Payloads that wait for a connection, in their order; frames of them, one by one. size: bytes left."""

    __slots__ = ("_at", "_waits", "queued_bytes")

    def __init__(self) -> None:
        self._waits: deque[bytes] = deque()
        self._at = 0  # bytes of the first that have been given out
        self.queued_bytes = 0

    def put(self, payload: bytes) -> None:
        """Behind what waits. The bytes are kept as they are, not copied: one payload may wait in several."""
        self._waits.append(payload)
        self.queued_bytes += len(payload)

    def next_frame(self) -> bytes | None:
        """The next frame; None: nothing waits."""
        if not self._waits:
            return None
        payload, at = self._waits[0], self._at
        total = len(payload)
        if total <= CHUNK_BYTES:
            self._waits.popleft()
            self.queued_bytes -= total
            return encode_frame(payload)
        end = min(at + CHUNK_BYTES, total)
        head = b"+%d/%d:" % (at, total)
        self.queued_bytes -= end - at
        if end == total:
            self._waits.popleft()
            self._at = 0
        else:
            self._at = end
        part = memoryview(payload)[at:end]
        return b"".join((b"%d:" % (len(head) + end - at), head, part, b","))

    def clear(self) -> None:
        """Let all go."""
        self._waits.clear()
        self._at = self.queued_bytes = 0
