"""Netstrings of JSON: `12:{"t":"ping"},` (no I/O).

A frame is the decimal length of its payload, a colon, the payload and a comma. What can't be a frame raises
FrameError, and the connection that brought it is of no more use: where the next frame begins can't be told.
"""

from __future__ import annotations

from collections.abc import Iterator

MAX_FRAME = 80 * 1024 * 1024  # bytes of a payload: the longest configuration (64 MiB) and what is round it
_MOST_DIGITS = len(str(MAX_FRAME))


class FrameError(ValueError):
    """The peer sent what is no netstring, or one past the bound."""


def frame(payload: bytes) -> bytes:
    """One netstring."""
    return b"%d:%b," % (len(payload), payload)


class Deframer:
    """Feed it what a connection brings; it gives the payloads that are whole. most: bytes of one payload."""

    __slots__ = ("_buffer", "_need", "most")

    def __init__(self, most: int = MAX_FRAME) -> None:
        self.most = most
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
                if not digits.isdigit() or (digits[:1] == b"0" and digits != b"0"):
                    raise FrameError(f"{digits[:20]!r} is no length of a frame")
                if int(digits) > self.most:
                    raise FrameError(f"a frame of {digits.decode()} bytes, {self.most} at most")
                self._need = colon + 1 + int(digits) + 1
            if len(buffer) < self._need:
                return
            if buffer[self._need - 1] != 0x2C:
                raise FrameError("a frame that does not end with a comma")
            payload = bytes(buffer[buffer.index(b":") + 1 : self._need - 1])
            del buffer[: self._need]
            self._need = 0
            yield payload
