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
from troutdock.http2.frames import ErrorCode, H2ConnectionError, H2StreamError
from troutdock.http2.abuse_limits import AbuseLimiter
from troutdock.http2.headers import MAX_HEADER_LIST_BYTES, HeaderDecoder, Headers, encode

MAX_HEADER_BLOCK_BYTES, MAX_CONTINUATIONS = 32 * 1024, 8  # of one block of headers, before it is decoded
MAX_REMEMBERED_RESETS = 200  # streams that we have reset, whose frames may still be on their way
MAX_STREAM_ID = 2**31 - 1


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


LOW_WATER_BYTES = 32 * 1024  # bytes in a stream's queue, above which its owner is to write no more


class Stream:
    """One stream, and what is queued for it."""

    __slots__ = (
        "headers_sent",
        "id",
        "local_ended",
        "opened_at",
        "owner",
        "peer_ended",
        "pending_trailers",
        "queue",
        "queued_bytes",
        "receive_window",
        "send_window",
        "uncredited",
    )

    def __init__(self, id: int, receive_window: int, send_window: int, opened_at: float) -> None:
        self.id, self.receive_window, self.send_window = id, receive_window, send_window
        self.opened_at = opened_at
        self.owner: Any = None  # the handler's
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.pending_trailers: bytes | None = None  # trailers to come behind the queue; empty: END_STREAM
        self.headers_sent = False  # our headers are out
        self.local_ended = self.peer_ended = False
        self.uncredited = 0


class Connection:
    """HTTP/2 towards one peer."""

    def __init__(
        self,
        client: bool,
        handler: Handler,
        now: float,
        max_streams: int = 100,
        stream_window: int = 65_535,
        connection_window: int = 1 << 20,
    ) -> None:
        """streams: that the peer may have open here. window, connection_window: bytes that it may send."""
        self._client, self._handler = client, handler
        self._decoder, self._limiter = HeaderDecoder(), AbuseLimiter(now)
        self._max_streams, self._stream_window, self._connection_window = (
            max_streams,
            stream_window,
            connection_window,
        )
        self.streams: dict[int, Stream] = {}
        self._reset_streams: dict[int, None] = {}  # that we have reset
        self._buffer = b"" if client else None
        self._preface = b""
        self._header_block: tuple[int, bool, list[bytes], int] | None = None  # stream, its end, parts, bytes
        self._next_stream_id = 1 if client else 2
        self._last_peer_stream_id = 0  # the peer's highest stream
        self._settings_received = False  # its first SETTINGS are here
        self._receive_window = f.DEFAULT_WINDOW_SIZE
        self._uncredited = 0
        self.send_window = f.DEFAULT_WINDOW_SIZE
        self._peer_initial_window, self._peer_max_frame_size = f.DEFAULT_WINDOW_SIZE, f.DEFAULT_MAX_FRAME_SIZE
        self.peer_max_streams = MAX_STREAM_ID  # that we may have open there
        self._blocked: dict[int, None] = {}  # streams that wait for the connection's window
        self._now = now
        self.goaway_sent = False  # our GOAWAY is out
        values = {
            f.MAX_CONCURRENT_STREAMS: max_streams,
            f.INITIAL_WINDOW_SIZE: stream_window,
            f.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        }
        if client:
            values = {
                f.ENABLE_PUSH: 0,
                f.INITIAL_WINDOW_SIZE: stream_window,
                f.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            }
        self.out: list[bytes] = [f.PREFACE] if client else []
        self.out.append(f.settings(values))
        if connection_window > f.DEFAULT_WINDOW_SIZE:
            self.out.append(f.window_update(0, connection_window - f.DEFAULT_WINDOW_SIZE))
            self._receive_window = connection_window

    # ---- what comes

    def receive(self, data: bytes, now: float) -> None:
        """Bytes of the peer's; ConnectionError if the connection is of no more use."""
        self._now = now
        if self._buffer is None:
            self._preface += data
            if not f.PREFACE.startswith(self._preface[:24]):
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no preface of HTTP/2")
            if len(self._preface) < 24:
                return
            data, self._preface, self._buffer = self._preface[24:], b"", b""
        if self._buffer:
            data = self._buffer + data
        at, size = 0, len(data)
        while size - at >= f.FRAME_HEADER_SIZE:
            high, low, kind, flags, stream = f.FRAME_HEADER.unpack_from(data, at)
            length = high << 8 | low
            if length > f.DEFAULT_MAX_FRAME_SIZE:
                raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, f"a frame of {length} bytes")
            end = at + f.FRAME_HEADER_SIZE + length
            if end > size:
                break
            self._handle_frame(kind, flags, stream & 0x7FFFFFFF, data[at + f.FRAME_HEADER_SIZE : end])
            at = end
        self._buffer = data[at:] if at < size else b""

    def _handle_frame(self, kind: int, flags: int, stream_id: int, payload: bytes) -> None:
        if self._header_block is not None and (kind != f.CONTINUATION or stream_id != self._header_block[0]):
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a block of headers is cut off")
        if not self._settings_received and kind != f.SETTINGS:
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no SETTINGS at first")
        if kind == f.DATA:
            self._handle_data(flags, stream_id, payload)
        elif kind == f.HEADERS:
            payload = f.strip_padding(payload, flags)
            if flags & f.PRIORITY_FLAG:
                if len(payload) < 5:
                    raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "no priority in its frame")
                payload = payload[5:]
            if not stream_id:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "headers of no stream")
            if flags & f.END_HEADERS:
                self._handle_headers(stream_id, payload, bool(flags & f.END_STREAM))
            else:
                self._header_block = stream_id, bool(flags & f.END_STREAM), [payload], len(payload)
        elif kind == f.CONTINUATION:
            self._handle_continuation(flags, stream_id, payload)
        elif kind == f.WINDOW_UPDATE:
            self._handle_window_update(stream_id, payload)
        elif kind == f.RST_STREAM:
            self._handle_rst_stream(stream_id, payload)
        elif kind == f.SETTINGS:
            self._handle_settings(flags, stream_id, payload)
        elif kind == f.PING:
            self._handle_ping(flags, stream_id, payload)
        elif kind == f.GOAWAY:
            if stream_id or len(payload) < 8:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a GOAWAY that is none")
            last, code = f.GOAWAY_FIELDS.unpack_from(payload)
            self._handler.on_goaway(last & 0x7FFFFFFF, code)
        elif kind == f.PRIORITY:
            if not stream_id or len(payload) != 5:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a PRIORITY that is none")
            self._count_overhead_frame()
        elif kind == f.PUSH_PROMISE:
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "nothing may be pushed here")

    def _count_overhead_frame(self) -> None:
        if not self._limiter.allow_overhead_frame(self._now):
            raise H2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "too many frames that say nothing")

    def _handle_continuation(self, flags: int, stream_id: int, payload: bytes) -> None:
        if self._header_block is None:
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a CONTINUATION of nothing")
        stream, end, parts, size = self._header_block
        parts.append(payload)
        size += len(payload)
        if size > MAX_HEADER_BLOCK_BYTES or len(parts) > MAX_CONTINUATIONS + 1:
            raise H2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a block of headers without end")
        self._header_block = stream, end, parts, size
        if flags & f.END_HEADERS:
            self._header_block = None
            self._handle_headers(stream_id, b"".join(parts), end)

    def _handle_headers(self, stream_id: int, block: bytes, end: bool) -> None:
        headers = self._decoder.decode(block)
        stream = self.streams.get(stream_id)
        if stream is None:
            if self._client or not stream_id & 1:
                if self._was_opened(stream_id):
                    return  # of a stream that is forgotten
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "headers of a stream that nobody opened")
            if stream_id <= self._last_peer_stream_id:
                if stream_id in self._reset_streams:
                    return
                raise H2ConnectionError(ErrorCode.STREAM_CLOSED, "headers of a stream that is closed")
            self._last_peer_stream_id = stream_id
            if self.goaway_sent or len(self.streams) >= self._max_streams:
                self._refuse_stream(stream_id)
                return
            stream = Stream(stream_id, self._stream_window, self._peer_initial_window, self._now)
            self.streams[stream_id] = stream
        elif stream.peer_ended:
            self._fail_stream(stream, ErrorCode.STREAM_CLOSED)
            return
        self._dispatch(self._handler.on_headers, stream, headers, end)

    def _dispatch(
        self, handler: Callable[[Stream, Any, bool], None], stream: Stream, payload: Any, end: bool
    ) -> None:
        """Tell of a piece, which may end the peer's side."""
        if end:
            stream.peer_ended = True
        try:
            handler(stream, payload, end)
        except H2StreamError as error:
            self._fail_stream(stream, error.code)
            return
        self._remove_if_closed(stream)

    def _refuse_stream(self, stream_id: int) -> None:
        """It is not taken: nothing of it has run."""
        self._count_overhead_frame()
        self._remember_reset(stream_id)
        self.out.append(f.rst_stream(stream_id, ErrorCode.REFUSED_STREAM))

    def _was_opened(self, stream_id: int) -> bool:
        """A stream that is no more, of ours or of the peer's."""
        return (
            0 < stream_id < self._next_stream_id
            if (stream_id & 1) == (self._next_stream_id & 1)
            else 0 < stream_id <= self._last_peer_stream_id
        )

    def _handle_data(self, flags: int, stream_id: int, payload: bytes) -> None:
        if not stream_id:
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "data of no stream")
        size = len(payload)
        if size > self._receive_window:
            raise H2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "beyond the connection's window")
        self._receive_window -= size
        self._uncredited += size
        if 2 * self._uncredited >= self._connection_window:
            self.out.append(f.window_update(0, self._uncredited))
            self._receive_window += self._uncredited
            self._uncredited = 0
        data, end = f.strip_padding(payload, flags), bool(flags & f.END_STREAM)
        if not data and not end:
            self._count_overhead_frame()
        stream = self.streams.get(stream_id)
        if stream is None:
            if not self._was_opened(stream_id):
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "data of a stream that nobody opened")
            return
        if stream.peer_ended:
            self._fail_stream(stream, ErrorCode.STREAM_CLOSED)
            return
        if size > stream.receive_window:
            self._fail_stream(stream, ErrorCode.FLOW_CONTROL_ERROR)
            return
        stream.receive_window -= size
        if size > len(data):
            self.consumed(stream, size - len(data))
        self._dispatch(self._handler.on_data, stream, data, end)

    def _handle_window_update(self, stream_id: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "a WINDOW_UPDATE that is none")
        increment = f.UINT32.unpack(payload)[0] & 0x7FFFFFFF
        if not stream_id:
            if not increment:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a window grows by nothing")
            self.send_window += increment
            if self.send_window > f.MAX_WINDOW_SIZE:
                raise H2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window too wide")
            blocked, self._blocked = self._blocked, {}
            for waiting in blocked:
                if (stream := self.streams.get(waiting)) is not None:
                    self._pump(stream)
            return
        stream = self.streams.get(stream_id)
        if stream is None:
            if not self._was_opened(stream_id):
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a window of a stream that nobody opened")
            return
        if not increment:
            self._fail_stream(stream, ErrorCode.PROTOCOL_ERROR)
            return
        stream.send_window += increment
        if stream.send_window > f.MAX_WINDOW_SIZE:
            self._fail_stream(stream, ErrorCode.FLOW_CONTROL_ERROR)
            return
        self._pump(stream)

    def _handle_rst_stream(self, stream_id: int, payload: bytes) -> None:
        if len(payload) != 4:
            raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "an RST_STREAM that is none")
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            if not stream_id or not self._was_opened(stream_id):
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a reset of a stream that nobody opened")
            return
        if not self._client and not self._limiter.allow_reset(self._now - stream.opened_at, self._now):
            self._handler.on_reset(stream, ErrorCode.CANCEL)
            raise H2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "too many streams are reset")
        self._handler.on_reset(stream, f.UINT32.unpack(payload)[0])

    def _handle_settings(self, flags: int, stream_id: int, payload: bytes) -> None:
        if stream_id or len(payload) % 6 or (flags & f.ACK and payload):
            raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "SETTINGS that are none")
        if flags & f.ACK:
            if not self._settings_received:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no SETTINGS at first")
            return
        if self._settings_received:
            self._count_overhead_frame()
        self._settings_received = True
        for key, value in f.SETTING_ENTRY.iter_unpack(payload):
            if key == f.INITIAL_WINDOW_SIZE:
                if value > f.MAX_WINDOW_SIZE:
                    raise H2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window too wide")
                delta, self._peer_initial_window = value - self._peer_initial_window, value
                for stream in list(self.streams.values()):
                    stream.send_window += delta
                    if stream.send_window > f.MAX_WINDOW_SIZE:
                        raise H2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "a window too wide")
                    if delta > 0:
                        self._pump(stream)
            elif key == f.MAX_FRAME_SIZE:
                if not f.DEFAULT_MAX_FRAME_SIZE <= value < 2**24:
                    raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no size of frames")
                self._peer_max_frame_size = value
            elif key == f.MAX_CONCURRENT_STREAMS:
                self.peer_max_streams = value
            elif key == f.ENABLE_PUSH and (value > 1 or (self._client and value)):
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "nothing may be pushed here")
        self.out.append(f.frame(f.SETTINGS, f.ACK, 0))
        self._handler.on_settings()

    def _handle_ping(self, flags: int, stream_id: int, payload: bytes) -> None:
        if stream_id or len(payload) != 8:
            raise H2ConnectionError(
                ErrorCode.FRAME_SIZE_ERROR if not stream_id else ErrorCode.PROTOCOL_ERROR,
                "a PING that is none",
            )
        if flags & f.ACK:
            self._handler.on_pong()
        else:
            self._count_overhead_frame()
            self.out.append(f.frame(f.PING, f.ACK, 0, payload))

    # ---- what goes

    def open_stream(self, owner: Any, now: float) -> Stream:
        """A stream of ours; its headers follow at once."""
        stream = Stream(self._next_stream_id, self._stream_window, self._peer_initial_window, now)
        stream.owner = owner
        self.streams[stream.id] = stream
        self._next_stream_id += 2
        return stream

    @property
    def stream_ids_exhausted(self) -> bool:
        """No more streams can be opened here: their numbers are used up."""
        return self._next_stream_id > f.MAX_WINDOW_SIZE - 2

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        """The stream's first headers; end: and nothing else."""
        stream.headers_sent = True
        self._write_block(stream, encode(headers), end)

    def _write_block(self, stream: Stream, block: bytes, end: bool) -> None:
        flags = f.END_STREAM if end else 0
        if len(block) <= self._peer_max_frame_size:
            self.out.append(f.frame(f.HEADERS, flags | f.END_HEADERS, stream.id, block))
        else:
            parts = [
                block[n : n + self._peer_max_frame_size]
                for n in range(0, len(block), self._peer_max_frame_size)
            ]
            self.out.append(f.frame(f.HEADERS, flags, stream.id, parts[0]))
            for index, part in enumerate(parts[1:], 2):
                last = f.END_HEADERS if index == len(parts) else 0
                self.out.append(f.frame(f.CONTINUATION, last, stream.id, part))
        if end:
            self._end_local_side(stream)

    def send_data(self, stream: Stream, data: bytes, end: bool = False) -> None:
        """More of its body, as far as the windows allow; the rest is queued. end: and that is all."""
        if stream.local_ended or stream.pending_trailers is not None:
            return
        if data:
            stream.queue.append(data)
            stream.queued_bytes += len(data)
        if end:
            stream.pending_trailers = b""
        self._pump(stream)

    def send_trailers(self, stream: Stream, headers: Headers) -> None:
        """The end, behind all that is queued."""
        if not stream.local_ended and stream.pending_trailers is None:
            stream.pending_trailers = encode(headers)
            self._pump(stream)

    def _pump(self, stream: Stream) -> None:
        """Write what the windows allow."""
        was_above_low_water = stream.queued_bytes > LOW_WATER_BYTES
        while stream.queue:
            allowed = min(stream.send_window, self.send_window, self._peer_max_frame_size)
            if allowed <= 0:
                if stream.send_window > 0:
                    self._blocked[stream.id] = None
                break
            piece = stream.queue[0]
            if len(piece) > allowed:
                stream.queue[0] = piece[allowed:]
                piece = piece[:allowed]
            else:
                stream.queue.popleft()
            size = len(piece)
            stream.queued_bytes -= size
            stream.send_window -= size
            self.send_window -= size
            last = not stream.queue and stream.pending_trailers == b""
            self.out.append(f.frame(f.DATA, f.END_STREAM if last else 0, stream.id, piece))
            if last:
                self._end_local_side(stream)
                return
        if not stream.queue and stream.pending_trailers is not None and not stream.local_ended:
            if stream.pending_trailers:
                self._write_block(stream, stream.pending_trailers, True)
            else:
                self.out.append(f.frame(f.DATA, f.END_STREAM, stream.id))
                self._end_local_side(stream)
        elif was_above_low_water and stream.queued_bytes <= LOW_WATER_BYTES:
            self._handler.on_drained(stream)

    def _end_local_side(self, stream: Stream) -> None:
        stream.local_ended = True
        if not stream.peer_ended and not self._client:
            # the answer is whole: what the client still wants to send is of no use (RFC 9113, 8.1)
            self.out.append(f.rst_stream(stream.id, ErrorCode.NO_ERROR))
            self._remember_reset(stream.id)
            self.streams.pop(stream.id, None)
        else:
            self._remove_if_closed(stream)

    def _remove_if_closed(self, stream: Stream) -> None:
        if stream.peer_ended and (stream.local_ended or self._client):
            if not stream.local_ended:  # a server has answered before all was sent to it
                self.out.append(f.rst_stream(stream.id, ErrorCode.NO_ERROR))
                stream.local_ended = True
            self.streams.pop(stream.id, None)

    def consumed(self, stream: Stream, size: int) -> None:
        """So much of what came on it is no longer held: the peer may send as much again."""
        if stream.peer_ended:
            return
        stream.uncredited += size
        if 2 * stream.uncredited >= self._stream_window:
            self.out.append(f.window_update(stream.id, stream.uncredited))
            stream.receive_window += stream.uncredited
            stream.uncredited = 0

    def reset_stream(self, stream: Stream, code: int) -> None:
        """End a stream at once; nothing more of it is told. Harmless if it is over."""
        if self.streams.pop(stream.id, None) is not None:
            stream.local_ended = True
            self._remember_reset(stream.id)
            self.out.append(f.rst_stream(stream.id, code))

    def _fail_stream(self, stream: Stream, code: ErrorCode) -> None:
        """An error of the peer's on one stream."""
        self.reset_stream(stream, code)
        self._handler.on_reset(stream, code)

    def _remember_reset(self, stream_id: int) -> None:
        self._reset_streams[stream_id] = None
        if len(self._reset_streams) > MAX_REMEMBERED_RESETS:
            del self._reset_streams[next(iter(self._reset_streams))]

    def ping(self) -> None:
        """Ask whether the peer is there; on_pong tells."""
        self.out.append(f.frame(f.PING, 0, 0, b"troutdck"))

    def announce_goaway(self) -> None:
        """No more streams, please: those that have crossed this word are taken still. goaway() follows."""
        self.out.append(f.goaway(MAX_STREAM_ID, ErrorCode.NO_ERROR))

    def goaway(self, code: int = ErrorCode.NO_ERROR, reason: str = "") -> None:
        """Streams that have come are seen to their end, none after them is taken."""
        self.goaway_sent = True
        self.out.append(f.goaway(self._last_peer_stream_id, code, reason.encode()))

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data = b"".join(self.out)
        self.out.clear()
        return data
