"""One HTTP/2 connection, of a client or a server, as a state machine without I/O.

Theory of operation. Bytes go into receive(), which calls the handler; what is to be written gathers in `out`,
which the owner writes when it is through. A stream is open towards us and towards the peer, each until its
end; the one that is closed both ways is forgotten:

    ours     idle -> open -> ended by END_STREAM, behind all that is queued
    peer's   idle -> open -> ended by END_STREAM
    both     reset by either side: ended at once, nothing more of it is told or sent

Windows. What the peer sends on the connection as a whole is credited as it comes, what it sends on a stream
only when its owner says that it was consumed: so a slow reader holds up its own stream and no other, and what
is held for it is at most one window. What we send waits in the stream's queue for both windows.

A block of headers is always decoded, also of a stream that nobody knows any more, as the table behind it is
the connection's. Errors of a stream reset it, those of the connection are raised as ConnectionError: the
owner says goodbye with goaway() and closes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from troutdock.http2 import frames as f
from troutdock.http2.frames import Code, ConnectionError, StreamError
from troutdock.http2.abuse_limits import Guard
from troutdock.http2.headers import MOST_LIST, Blocks, Headers, encode

MOST_BLOCK, MOST_CONTINUATIONS = 32 * 1024, 8  # of one block of headers, before it is decoded
MOST_FORGOTTEN = 200  # streams that we have reset, whose frames may still be on their way
NOBODY = 2**31 - 1


class Handler(Protocol):
    """The owner of a connection; nothing here may call receive()."""

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """A block of headers: the first one of a stream, or its trailers. StreamError resets it."""

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """A piece of its body, which is to be credited by consumed()."""

    def on_reset(self, stream: Stream, code: int) -> None:
        """The peer, or an error here, has ended it; nothing more is told of it."""

    def on_drained(self, stream: Stream) -> None:
        """Its queue, which was above LOW, is not any more."""

    def on_settings(self) -> None:
        """The peer's settings have changed."""

    def on_goaway(self, last: int, code: int) -> None:
        """The peer takes no more streams, and none above the last has run."""

    def on_pong(self) -> None:
        """A PING of ours is answered."""


LOW = 32 * 1024  # bytes in a stream's queue, above which its owner is to write no more


class Stream:
    """One stream, and what is queued for it."""

    __slots__ = (
        "ended",
        "final",
        "id",
        "opened_at",
        "owner",
        "peer_ended",
        "queue",
        "queued",
        "receive_window",
        "send_window",
        "sent",
        "uncredited",
    )

    def __init__(self, id: int, receive_window: int, send_window: int, opened_at: float) -> None:
        self.id, self.receive_window, self.send_window = id, receive_window, send_window
        self.opened_at = opened_at
        self.owner: Any = None  # the handler's
        self.queue: deque[bytes] = deque()
        self.queued = 0
        self.final: bytes | None = None  # trailers to come behind the queue; empty: END_STREAM
        self.sent = False  # our headers are out
        self.ended = self.peer_ended = False
        self.uncredited = 0


class Connection:
    """HTTP/2 towards one peer."""

    def __init__(
        self,
        client: bool,
        handler: Handler,
        now: float,
        streams: int = 100,
        window: int = 65_535,
        connection_window: int = 1 << 20,
    ) -> None:
        """streams: that the peer may have open here. window, connection_window: bytes that it may send."""
        self._client, self._handler = client, handler
        self._blocks, self._guard = Blocks(), Guard(now)
        self._most_streams, self._window, self._connection_window = streams, window, connection_window
        self.streams: dict[int, Stream] = {}
        self._forgotten: dict[int, None] = {}  # that we have reset
        self._buffer = b"" if client else None
        self._preface = b""
        self._block: tuple[int, bool, list[bytes], int] | None = None  # stream, its end, parts, bytes
        self._next = 1 if client else 2
        self._last = 0  # the peer's highest stream
        self._greeted = False  # its first SETTINGS are here
        self._receive_window = f.FIRST_WINDOW
        self._uncredited = 0
        self.send_window = f.FIRST_WINDOW
        self._peer_window, self._peer_frame = f.FIRST_WINDOW, f.MOST_FRAME
        self.peer_streams = NOBODY  # that we may have open there
        self._blocked: dict[int, None] = {}  # streams that wait for the connection's window
        self._now = now
        self.gone = False  # our GOAWAY is out
        values = {
            f.MAX_CONCURRENT_STREAMS: streams,
            f.INITIAL_WINDOW_SIZE: window,
            f.MAX_HEADER_LIST_SIZE: MOST_LIST,
        }
        if client:
            values = {f.ENABLE_PUSH: 0, f.INITIAL_WINDOW_SIZE: window, f.MAX_HEADER_LIST_SIZE: MOST_LIST}
        self.out: list[bytes] = [f.PREFACE] if client else []
        self.out.append(f.settings(values))
        if connection_window > f.FIRST_WINDOW:
            self.out.append(f.window_update(0, connection_window - f.FIRST_WINDOW))
            self._receive_window = connection_window

    # ---- what comes

    def receive(self, data: bytes, now: float) -> None:
        """Bytes of the peer's; ConnectionError if the connection is of no more use."""
        self._now = now
        if self._buffer is None:
            self._preface += data
            if not f.PREFACE.startswith(self._preface[:24]):
                raise ConnectionError(Code.PROTOCOL_ERROR, "no preface of HTTP/2")
            if len(self._preface) < 24:
                return
            data, self._preface, self._buffer = self._preface[24:], b"", b""
        if self._buffer:
            data = self._buffer + data
        at, size = 0, len(data)
        while size - at >= f.HEAD_SIZE:
            high, low, kind, flags, stream = f.HEAD.unpack_from(data, at)
            length = high << 8 | low
            if length > f.MOST_FRAME:
                raise ConnectionError(Code.FRAME_SIZE_ERROR, f"a frame of {length} bytes")
            end = at + f.HEAD_SIZE + length
            if end > size:
                break
            self._frame(kind, flags, stream & 0x7FFFFFFF, data[at + f.HEAD_SIZE : end])
            at = end
        self._buffer = data[at:] if at < size else b""

    def _frame(self, kind: int, flags: int, number: int, payload: bytes) -> None:
        if self._block is not None and (kind != f.CONTINUATION or number != self._block[0]):
            raise ConnectionError(Code.PROTOCOL_ERROR, "a block of headers is cut off")
        if not self._greeted and kind != f.SETTINGS:
            raise ConnectionError(Code.PROTOCOL_ERROR, "no SETTINGS at first")
        if kind == f.DATA:
            self._data(flags, number, payload)
        elif kind == f.HEADERS:
            payload = f.unpadded(payload, flags)
            if flags & f.PRIORITIZED:
                if len(payload) < 5:
                    raise ConnectionError(Code.FRAME_SIZE_ERROR, "no priority in its frame")
                payload = payload[5:]
            if not number:
                raise ConnectionError(Code.PROTOCOL_ERROR, "headers of no stream")
            if flags & f.END_HEADERS:
                self._headers(number, payload, bool(flags & f.END_STREAM))
            else:
                self._block = number, bool(flags & f.END_STREAM), [payload], len(payload)
        elif kind == f.CONTINUATION:
            self._continuation(flags, number, payload)
        elif kind == f.WINDOW_UPDATE:
            self._window_update(number, payload)
        elif kind == f.RST_STREAM:
            self._reset(number, payload)
        elif kind == f.SETTINGS:
            self._settings(flags, number, payload)
        elif kind == f.PING:
            self._ping(flags, number, payload)
        elif kind == f.GOAWAY:
            if number or len(payload) < 8:
                raise ConnectionError(Code.PROTOCOL_ERROR, "a GOAWAY that is none")
            last, code = f.GONE.unpack_from(payload)
            self._handler.on_goaway(last & 0x7FFFFFFF, code)
        elif kind == f.PRIORITY:
            if not number or len(payload) != 5:
                raise ConnectionError(Code.PROTOCOL_ERROR, "a PRIORITY that is none")
            self._cheap()
        elif kind == f.PUSH_PROMISE:
            raise ConnectionError(Code.PROTOCOL_ERROR, "nothing may be pushed here")

    def _cheap(self) -> None:
        if not self._guard.cheap(self._now):
            raise ConnectionError(Code.ENHANCE_YOUR_CALM, "too many frames that say nothing")

    def _continuation(self, flags: int, number: int, payload: bytes) -> None:
        if self._block is None:
            raise ConnectionError(Code.PROTOCOL_ERROR, "a CONTINUATION of nothing")
        stream, end, parts, size = self._block
        parts.append(payload)
        size += len(payload)
        if size > MOST_BLOCK or len(parts) > MOST_CONTINUATIONS + 1:
            raise ConnectionError(Code.ENHANCE_YOUR_CALM, "a block of headers without end")
        self._block = stream, end, parts, size
        if flags & f.END_HEADERS:
            self._block = None
            self._headers(number, b"".join(parts), end)

    def _headers(self, number: int, block: bytes, end: bool) -> None:
        headers = self._blocks.decode(block)
        stream = self.streams.get(number)
        if stream is None:
            if self._client or not number & 1:
                if self._was(number):
                    return  # of a stream that is forgotten
                raise ConnectionError(Code.PROTOCOL_ERROR, "headers of a stream that nobody opened")
            if number <= self._last:
                if number in self._forgotten:
                    return
                raise ConnectionError(Code.STREAM_CLOSED, "headers of a stream that is closed")
            self._last = number
            if self.gone or len(self.streams) >= self._most_streams:
                self._refuse(number)
                return
            stream = Stream(number, self._window, self._peer_window, self._now)
            self.streams[number] = stream
        elif stream.peer_ended:
            self._fail(stream, Code.STREAM_CLOSED)
            return
        self._tell(self._handler.on_headers, stream, headers, end)

    def _tell(
        self, handler: Callable[[Stream, Any, bool], None], stream: Stream, what: Any, end: bool
    ) -> None:
        """Tell of a piece, which may end the peer's side."""
        if end:
            stream.peer_ended = True
        try:
            handler(stream, what, end)
        except StreamError as error:
            self._fail(stream, error.code)
            return
        self._forget_if_over(stream)

    def _refuse(self, number: int) -> None:
        """It is not taken: nothing of it has run."""
        self._cheap()
        self._remember(number)
        self.out.append(f.reset(number, Code.REFUSED_STREAM))

    def _was(self, number: int) -> bool:
        """A stream that is no more, of ours or of the peer's."""
        return 0 < number < self._next if (number & 1) == (self._next & 1) else 0 < number <= self._last

    def _data(self, flags: int, number: int, payload: bytes) -> None:
        if not number:
            raise ConnectionError(Code.PROTOCOL_ERROR, "data of no stream")
        size = len(payload)
        if size > self._receive_window:
            raise ConnectionError(Code.FLOW_CONTROL_ERROR, "beyond the connection's window")
        self._receive_window -= size
        self._uncredited += size
        if 2 * self._uncredited >= self._connection_window:
            self.out.append(f.window_update(0, self._uncredited))
            self._receive_window += self._uncredited
            self._uncredited = 0
        data, end = f.unpadded(payload, flags), bool(flags & f.END_STREAM)
        if not data and not end:
            self._cheap()
        stream = self.streams.get(number)
        if stream is None:
            if not self._was(number):
                raise ConnectionError(Code.PROTOCOL_ERROR, "data of a stream that nobody opened")
            return
        if stream.peer_ended:
            self._fail(stream, Code.STREAM_CLOSED)
            return
        if size > stream.receive_window:
            self._fail(stream, Code.FLOW_CONTROL_ERROR)
            return
        stream.receive_window -= size
        if size > len(data):
            self.consumed(stream, size - len(data))
        self._tell(self._handler.on_data, stream, data, end)

    def _window_update(self, number: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise ConnectionError(Code.FRAME_SIZE_ERROR, "a WINDOW_UPDATE that is none")
        more = f.NUMBER.unpack(payload)[0] & 0x7FFFFFFF
        if not number:
            if not more:
                raise ConnectionError(Code.PROTOCOL_ERROR, "a window grows by nothing")
            self.send_window += more
            if self.send_window > f.MOST_WINDOW:
                raise ConnectionError(Code.FLOW_CONTROL_ERROR, "a window too wide")
            blocked, self._blocked = self._blocked, {}
            for waiting in blocked:
                if (stream := self.streams.get(waiting)) is not None:
                    self._pump(stream)
            return
        stream = self.streams.get(number)
        if stream is None:
            if not self._was(number):
                raise ConnectionError(Code.PROTOCOL_ERROR, "a window of a stream that nobody opened")
            return
        if not more:
            self._fail(stream, Code.PROTOCOL_ERROR)
            return
        stream.send_window += more
        if stream.send_window > f.MOST_WINDOW:
            self._fail(stream, Code.FLOW_CONTROL_ERROR)
            return
        self._pump(stream)

    def _reset(self, number: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise ConnectionError(Code.FRAME_SIZE_ERROR, "an RST_STREAM that is none")
        stream = self.streams.pop(number, None)
        if stream is None:
            if not number or not self._was(number):
                raise ConnectionError(Code.PROTOCOL_ERROR, "a reset of a stream that nobody opened")
            return
        if not self._client and not self._guard.reset(self._now - stream.opened_at, self._now):
            self._handler.on_reset(stream, Code.CANCEL)
            raise ConnectionError(Code.ENHANCE_YOUR_CALM, "too many streams are reset")
        self._handler.on_reset(stream, f.NUMBER.unpack(payload)[0])

    def _settings(self, flags: int, number: int, payload: bytes) -> None:
        if number or len(payload) % 6 or (flags & f.ACK and payload):
            raise ConnectionError(Code.FRAME_SIZE_ERROR, "SETTINGS that are none")
        if flags & f.ACK:
            if not self._greeted:
                raise ConnectionError(Code.PROTOCOL_ERROR, "no SETTINGS at first")
            return
        if self._greeted:
            self._cheap()
        self._greeted = True
        for key, value in f.SETTING.iter_unpack(payload):
            if key == f.INITIAL_WINDOW_SIZE:
                if value > f.MOST_WINDOW:
                    raise ConnectionError(Code.FLOW_CONTROL_ERROR, "a window too wide")
                wider, self._peer_window = value - self._peer_window, value
                for stream in list(self.streams.values()):
                    stream.send_window += wider
                    if stream.send_window > f.MOST_WINDOW:
                        raise ConnectionError(Code.FLOW_CONTROL_ERROR, "a window too wide")
                    if wider > 0:
                        self._pump(stream)
            elif key == f.MAX_FRAME_SIZE:
                if not f.MOST_FRAME <= value < 2**24:
                    raise ConnectionError(Code.PROTOCOL_ERROR, "no size of frames")
                self._peer_frame = value
            elif key == f.MAX_CONCURRENT_STREAMS:
                self.peer_streams = value
            elif key == f.ENABLE_PUSH and (value > 1 or (self._client and value)):
                raise ConnectionError(Code.PROTOCOL_ERROR, "nothing may be pushed here")
        self.out.append(f.frame(f.SETTINGS, f.ACK, 0))
        self._handler.on_settings()

    def _ping(self, flags: int, number: int, payload: bytes) -> None:
        if number or len(payload) != 8:
            raise ConnectionError(
                Code.FRAME_SIZE_ERROR if not number else Code.PROTOCOL_ERROR, "a PING that is none"
            )
        if flags & f.ACK:
            self._handler.on_pong()
        else:
            self._cheap()
            self.out.append(f.frame(f.PING, f.ACK, 0, payload))

    # ---- what goes

    def open(self, owner: Any, now: float) -> Stream:
        """A stream of ours; its headers follow at once."""
        stream = Stream(self._next, self._window, self._peer_window, now)
        stream.owner = owner
        self.streams[stream.id] = stream
        self._next += 2
        return stream

    @property
    def exhausted(self) -> bool:
        """No more streams can be opened here: their numbers are used up."""
        return self._next > f.MOST_WINDOW - 2

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        """The stream's first headers; end: and nothing else."""
        stream.sent = True
        self._write_block(stream, encode(headers), end)

    def _write_block(self, stream: Stream, block: bytes, end: bool) -> None:
        flags = f.END_STREAM if end else 0
        if len(block) <= self._peer_frame:
            self.out.append(f.frame(f.HEADERS, flags | f.END_HEADERS, stream.id, block))
        else:
            parts = [block[n : n + self._peer_frame] for n in range(0, len(block), self._peer_frame)]
            self.out.append(f.frame(f.HEADERS, flags, stream.id, parts[0]))
            for number, part in enumerate(parts[1:], 2):
                last = f.END_HEADERS if number == len(parts) else 0
                self.out.append(f.frame(f.CONTINUATION, last, stream.id, part))
        if end:
            self._end(stream)

    def send_data(self, stream: Stream, data: bytes, end: bool = False) -> None:
        """More of its body, as far as the windows allow; the rest is queued. end: and that is all."""
        if stream.ended or stream.final is not None:
            return
        if data:
            stream.queue.append(data)
            stream.queued += len(data)
        if end:
            stream.final = b""
        self._pump(stream)

    def send_trailers(self, stream: Stream, headers: Headers) -> None:
        """The end, behind all that is queued."""
        if not stream.ended and stream.final is None:
            stream.final = encode(headers)
            self._pump(stream)

    def _pump(self, stream: Stream) -> None:
        """Write what the windows allow."""
        was_above = stream.queued > LOW
        while stream.queue:
            room = min(stream.send_window, self.send_window, self._peer_frame)
            if room <= 0:
                if stream.send_window > 0:
                    self._blocked[stream.id] = None
                break
            piece = stream.queue[0]
            if len(piece) > room:
                stream.queue[0] = piece[room:]
                piece = piece[:room]
            else:
                stream.queue.popleft()
            size = len(piece)
            stream.queued -= size
            stream.send_window -= size
            self.send_window -= size
            last = not stream.queue and stream.final == b""
            self.out.append(f.frame(f.DATA, f.END_STREAM if last else 0, stream.id, piece))
            if last:
                self._end(stream)
                return
        if not stream.queue and stream.final is not None and not stream.ended:
            if stream.final:
                self._write_block(stream, stream.final, True)
            else:
                self.out.append(f.frame(f.DATA, f.END_STREAM, stream.id))
                self._end(stream)
        elif was_above and stream.queued <= LOW:
            self._handler.on_drained(stream)

    def _end(self, stream: Stream) -> None:
        stream.ended = True
        if not stream.peer_ended and not self._client:
            # the answer is whole: what the client still wants to send is of no use (RFC 9113, 8.1)
            self.out.append(f.reset(stream.id, Code.NO_ERROR))
            self._remember(stream.id)
            self.streams.pop(stream.id, None)
        else:
            self._forget_if_over(stream)

    def _forget_if_over(self, stream: Stream) -> None:
        if stream.peer_ended and (stream.ended or self._client):
            if not stream.ended:  # a server has answered before all was sent to it
                self.out.append(f.reset(stream.id, Code.NO_ERROR))
                stream.ended = True
            self.streams.pop(stream.id, None)

    def consumed(self, stream: Stream, size: int) -> None:
        """So much of what came on it is no longer held: the peer may send as much again."""
        if stream.peer_ended:
            return
        stream.uncredited += size
        if 2 * stream.uncredited >= self._window:
            self.out.append(f.window_update(stream.id, stream.uncredited))
            stream.receive_window += stream.uncredited
            stream.uncredited = 0

    def reset(self, stream: Stream, code: int) -> None:
        """End a stream at once; nothing more of it is told. Harmless if it is over."""
        if self.streams.pop(stream.id, None) is not None:
            stream.ended = True
            self._remember(stream.id)
            self.out.append(f.reset(stream.id, code))

    def _fail(self, stream: Stream, code: Code) -> None:
        """An error of the peer's on one stream."""
        self.reset(stream, code)
        self._handler.on_reset(stream, code)

    def _remember(self, number: int) -> None:
        self._forgotten[number] = None
        if len(self._forgotten) > MOST_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]

    def ping(self) -> None:
        """Ask whether the peer is there; on_pong tells."""
        self.out.append(f.frame(f.PING, 0, 0, b"troutdck"))

    def say_goodbye(self) -> None:
        """No more streams, please: those that have crossed this word are taken still. goaway() follows."""
        self.out.append(f.goaway(NOBODY, Code.NO_ERROR))

    def goaway(self, code: int = Code.NO_ERROR, why: str = "") -> None:
        """Streams that have come are seen to their end, none after them is taken."""
        self.gone = True
        self.out.append(f.goaway(self._last, code, why.encode()))

    def take(self) -> bytes:
        """What is to be written."""
        data = b"".join(self.out)
        self.out.clear()
        return data
