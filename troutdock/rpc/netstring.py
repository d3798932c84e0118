"""Netstrings of JSON, such as `12:{"t":"ping"},`, with long payloads split into chunks (no I/O).

A frame is the decimal length of its payload, a colon, the payload and a comma. A payload of more than
CHUNK_BYTES bytes is sent as several frames. The payload of each is `+OFFSET/TOTAL:` and the next chunk, as in
`21:+65536/65540:last,`, which ends a payload of 65540 bytes. Other frames may stand between two chunks, but
not chunks of another payload: a payload must be complete, or its connection closed, before the next chunked
one begins. Bytes that cannot be a frame or the next chunk raise FrameError. The connection must then be
closed, since the start of the next frame is unknown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

CHUNK_BYTES = 64 * 1024  # payload bytes in one frame; such a frame takes 5 ms at 100 Mbit/s
MAX_PAYLOAD_BYTES = 80 * 1024 * 1024  # the longest configuration (64 MiB) and the message around it
MAX_FRAME_BYTES = CHUNK_BYTES + 32  # payload of one frame: a chunk and its header
_MAX_DIGITS = len(str(MAX_PAYLOAD_BYTES))
_MAX_CHUNK_HEADER_BYTES = 2 * _MAX_DIGITS + 3  # +OFFSET/TOTAL:


class FrameError(ValueError):
    """The peer sent bytes that are no netstring, a chunk out of sequence, or more than the limit."""


def encode_frame(payload: bytes) -> bytes:
    """Returns the payload as one netstring."""
    return b"%d:%b," % (len(payload), payload)


def _parse_number(digits: bytes) -> int:
    """Parses a decimal number without leading zeros; returns -1 if it is not one."""
    if not digits.isdigit() or len(digits) > _MAX_DIGITS or (digits[:1] == b"0" and digits != b"0"):
        return -1
    return int(digits)


class FrameDecoder:
    """Extracts complete payloads from received bytes. max_bytes: the longest payload that is accepted."""

    __slots__ = ("_buffer", "_frame_bytes", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()
        self._frame_bytes = 0  # length of the incoming frame with its header; 0: not known yet

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the payloads that these bytes complete, in order.

        Each payload is parsed only when the caller asks for it, so that a change of max_bytes between two
        payloads applies to the second.

        Raises:
            FrameError: The bytes are not a frame, or the frame is too long.
        """
        buffer = self._buffer
        buffer += data
        while True:
            if not self._frame_bytes:
                colon = buffer.find(b":", 0, _MAX_DIGITS + 1)
                if colon < 0:
                    if len(buffer) > _MAX_DIGITS:
                        raise FrameError("frame without a length")
                    return
                digits = bytes(buffer[:colon])
                if (length := _parse_number(digits)) < 0:
                    raise FrameError(f"{digits[:20]!r} is not a frame length")
                if length > self.max_bytes:
                    raise FrameError(f"frame of {length} bytes exceeds the limit of {self.max_bytes}")
                self._frame_bytes = colon + 1 + length + 1
            if len(buffer) < self._frame_bytes:
                return
            if buffer[self._frame_bytes - 1] != 0x2C:
                raise FrameError("frame does not end with a comma")
            payload = bytes(buffer[buffer.index(b":") + 1 : self._frame_bytes - 1])
            del buffer[: self._frame_bytes]
            self._frame_bytes = 0
            yield payload


class ChunkAssembler:
    """Reassembles chunked payloads. max_bytes: the longest payload that is accepted.

    It buffers only bytes that have been received, whatever total a chunk announces, and at most `max_bytes`.
    """

    __slots__ = ("_chunks", "_total", "max_bytes", "received_bytes")

    def __init__(self, max_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        self.max_bytes = max_bytes
        self.received_bytes = 0  # of the payload that is being received
        self._total = 0  # its announced length; 0: no chunked payload is being received
        self._chunks: list[bytes] = []

    @property
    def incomplete(self) -> bool:
        """Whether a chunked payload has begun and is not complete."""
        return self._total > 0

    def add(self, payload: bytes) -> bytes | None:
        """Adds the payload of one frame.

        Returns:
            The payload itself if it is no chunk, the reassembled payload if complete, else None.

        Raises:
            FrameError: The chunk is out of sequence, exceeds its total, or its total exceeds max_bytes. All
                buffered chunks are discarded.
        """
        if payload[:1] != b"+":
            return payload
        try:
            return self._add_chunk(payload)
        except FrameError:
            self.clear()
            raise

    def _add_chunk(self, payload: bytes) -> bytes | None:
        header, colon, _ = payload[:_MAX_CHUNK_HEADER_BYTES].partition(b":")
        offset_digits, slash, total_digits = header[1:].partition(b"/")
        offset, total = _parse_number(offset_digits), _parse_number(total_digits)
        if not colon or not slash or offset < 0 or total < 0:
            raise FrameError(f"{header[:24]!r} is not a chunk header")
        if total > self.max_bytes:
            raise FrameError(f"chunked message of {total} bytes exceeds the limit of {self.max_bytes}")
        if offset != self.received_bytes or (self._total and total != self._total):
            progress = f"{self.received_bytes} of {self._total} received"
            raise FrameError(f"unexpected chunk at {offset} of {total} bytes, with {progress}")
        size = len(payload) - len(header) - 1
        if not size or offset + size > total:
            raise FrameError(f"chunk of {size} bytes at {offset} of {total} is empty or too long")
        self._chunks.append(payload[len(header) + 1 :])
        self._total = total
        self.received_bytes += size
        if self.received_bytes < total:
            return None
        complete = b"".join(self._chunks)
        self.clear()
        return complete

    def clear(self) -> None:
        """Discards an incomplete payload."""
        self._chunks.clear()
        self.received_bytes = self._total = 0


class SendQueue:
    """FIFO of payloads waiting to be sent, split into frames. queued_bytes: payload bytes not yet taken."""

    __slots__ = ("_offset", "_payloads", "queued_bytes")

    def __init__(self) -> None:
        self._payloads: deque[tuple[bytes, bool]] = deque()  # with whether a newer one may replace it
        self._offset = 0  # bytes of the first payload that have been taken
        self.queued_bytes = 0

    def put(self, payload: bytes, replaceable: bool = False) -> None:
        """Appends a payload. The bytes are not copied, so several queues may share one payload.

        Args:
            payload: The payload.
            replaceable: It replaces earlier replaceable payloads of which no byte has been taken yet.
        """
        if replaceable:
            self._remove_replaceable()
        self._payloads.append((payload, replaceable))
        self.queued_bytes += len(payload)

    def _remove_replaceable(self) -> None:
        begun = 1 if self._offset else 0
        kept = [entry for n, entry in enumerate(self._payloads) if n < begun or not entry[1]]
        if len(kept) < len(self._payloads):
            self._payloads = deque(kept)
            self.queued_bytes = sum(len(payload) for payload, _ in kept) - self._offset

    def next_frame(self) -> bytes | None:
        """Removes and returns the next frame; None if the queue is empty."""
        if not self._payloads:
            return None
        payload, offset = self._payloads[0][0], self._offset
        total = len(payload)
        if total <= CHUNK_BYTES:
            self._payloads.popleft()
            self.queued_bytes -= total
            return encode_frame(payload)
        end = min(offset + CHUNK_BYTES, total)
        header = b"+%d/%d:" % (offset, total)
        self.queued_bytes -= end - offset
        if end == total:
            self._payloads.popleft()
            self._offset = 0
        else:
            self._offset = end
        chunk = memoryview(payload)[offset:end]
        return b"".join((b"%d:" % (len(header) + end - offset), header, chunk, b","))

    def clear(self) -> None:
        """Discards all payloads."""
        self._payloads.clear()
        self._offset = self.queued_bytes = 0
