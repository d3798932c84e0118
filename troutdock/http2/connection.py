"""State machine of one HTTP/2 connection, client or server side, without I/O.

Theory of operation. The owner passes received bytes to receive(), which calls the handler. Frames to be sent
are collected in `out`; the owner fetches them with data_to_send() after each call and writes them.

States of a stream. Both directions are tracked separately, and a stream that is closed in both is removed:

    local    idle -> open -> ended by END_STREAM, after all queued data has been sent
    peer     idle -> open -> ended by END_STREAM
    both     closed by RST_STREAM of either side; no further callbacks, and nothing more is sent

Flow control. Received data is credited to the connection's window on arrival, but to the stream's window only
when the owner calls consumed(). A slow reader therefore blocks its own stream only, and at most one stream
window is buffered for it. Data to be sent waits in the stream's queue until the windows of the stream and of
the connection both allow it.

Field blocks. Every field block is decoded, also for a stream that has been removed, because the HPACK dynamic
table belongs to the connection.

Errors. A stream error resets the stream. A connection error is raised as H2ConnectionError: the owner calls
goaway() and closes the connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from troutdock.http2 import frames as f
from troutdock.http2.frames import ErrorCode, H2ConnectionError, H2StreamError
from troutdock.http2.abuse_limits import AbuseLimiter
from troutdock.http2.headers import MAX_HEADER_LIST_BYTES, HeaderDecoder, Headers, encode

MAX_HEADER_BLOCK_BYTES, MAX_CONTINUATIONS = 32 * 1024, 8  # limits of one field block before decoding
MAX_REMEMBERED_RESETS = 200  # streams reset here, of which frames may still be in flight
MAX_STREAM_ID = 2**31 - 1


class Handler(Protocol):
    """Callbacks to the owner of a connection. A callback must not call receive()."""

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """Header fields or trailers of a stream have arrived. Raising H2StreamError resets the stream."""

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """Data of a stream has arrived; the owner must credit it with consumed()."""

    def on_reset(self, stream: Stream, code: int) -> None:
        """The stream was reset by the peer or by a stream error; no further callbacks follow."""

    def on_drained(self, stream: Stream) -> None:
        """The send queue of the stream has fallen to LOW_WATER_BYTES or below."""

    def on_settings(self) -> None:
        """A SETTINGS frame of the peer has been applied."""

    def on_goaway(self, last: int, code: int) -> None:
        """The peer accepts no more streams and has not processed any stream above `last`."""

    def on_pong(self) -> None:
        """A PING sent by ping() was acknowledged."""


LOW_WATER_BYTES = 32 * 1024  # above this in a stream's queue the owner should pause writing


class Stream:
    """A stream and its send queue."""

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
        self.owner: Any = None  # set and used by the handler only
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.pending_trailers: bytes | None = None  # encoded, sent after the queue; b"": END_STREAM only
        self.headers_sent = False
        self.local_ended = self.peer_ended = False
        self.uncredited = 0


class Connection:
    """An HTTP/2 connection to one peer."""

    def __init__(
        self,
        client: bool,
        handler: Handler,
        now: float,
        max_streams: int = 100,
        stream_window: int = 65_535,
        connection_window: int = 1 << 20,
    ) -> None:
        """Queues the connection preface and the initial SETTINGS.

        Args:
            client: Whether this side is the client.
            handler: Receives the callbacks.
            now: Current time in seconds, on the clock that is also passed to receive() and open_stream().
            max_streams: Streams that the peer may have open at once.
            stream_window: Receive window of a stream, in bytes.
            connection_window: Receive window of the connection, in bytes.
        """
        self._client, self._handler = client, handler
        self._decoder, self._limiter = HeaderDecoder(), AbuseLimiter(now)
        self._max_streams, self._stream_window, self._connection_window = (
            max_streams,
            stream_window,
            connection_window,
        )
        self.streams: dict[int, Stream] = {}
        self._reset_streams: dict[int, None] = {}  # reset here, oldest first
        self._buffer = b"" if client else None
        self._preface = b""
        # stream, END_STREAM, parts, size
        self._header_block: tuple[int, bool, list[bytes], int] | None = None
        self._next_stream_id = 1 if client else 2
        self._last_peer_stream_id = 0  # highest stream identifier of the peer
        self._settings_received = False  # the first SETTINGS of the peer has arrived
        self._receive_window = f.DEFAULT_WINDOW_SIZE
        self._uncredited = 0
        self.send_window = f.DEFAULT_WINDOW_SIZE
        self._peer_initial_window, self._peer_max_frame_size = f.DEFAULT_WINDOW_SIZE, f.DEFAULT_MAX_FRAME_SIZE
        # streams that this side may have open; unlimited until SETTINGS
        self.peer_max_streams = MAX_STREAM_ID
        self._blocked: dict[int, None] = {}  # streams blocked by the connection's send window
        self._now = now
        self.goaway_sent = False
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

    # ---- receiving

    def receive(self, data: bytes, now: float) -> None:
        """Processes received bytes.

        Raises:
            H2ConnectionError: The connection can't be used any more.
        """
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
            high, low, frame_type, flags, stream = f.FRAME_HEADER.unpack_from(data, at)
            length = high << 8 | low
            if length > f.DEFAULT_MAX_FRAME_SIZE:
                raise H2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, f"a frame of {length} bytes")
            end = at + f.FRAME_HEADER_SIZE + length
            if end > size:
                break
            self._handle_frame(frame_type, flags, stream & 0x7FFFFFFF, data[at + f.FRAME_HEADER_SIZE : end])
            at = end
        self._buffer = data[at:] if at < size else b""

    def _handle_frame(self, frame_type: int, flags: int, stream_id: int, payload: bytes) -> None:
        if self._header_block is not None and (
            frame_type != f.CONTINUATION or stream_id != self._header_block[0]
        ):
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a block of headers is cut off")
        if not self._settings_received and frame_type != f.SETTINGS:
            raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no SETTINGS at first")
        if frame_type == f.DATA:
            self._handle_data(flags, stream_id, payload)
        elif frame_type == f.HEADERS:
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
        elif frame_type == f.CONTINUATION:
            self._handle_continuation(flags, stream_id, payload)
        elif frame_type == f.WINDOW_UPDATE:
            self._handle_window_update(stream_id, payload)
        elif frame_type == f.RST_STREAM:
            self._handle_rst_stream(stream_id, payload)
        elif frame_type == f.SETTINGS:
            self._handle_settings(flags, stream_id, payload)
        elif frame_type == f.PING:
            self._handle_ping(flags, stream_id, payload)
        elif frame_type == f.GOAWAY:
            if stream_id or len(payload) < 8:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a GOAWAY that is none")
            last, code = f.GOAWAY_FIELDS.unpack_from(payload)
            self._handler.on_goaway(last & 0x7FFFFFFF, code)
        elif frame_type == f.PRIORITY:
            if not stream_id or len(payload) != 5:
                raise H2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a PRIORITY that is none")
            self._count_overhead_frame()
        elif frame_type == f.PUSH_PROMISE:
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
                    return  # the stream has been removed
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
        """Calls a handler callback; with `end` the peer's direction of the stream is closed."""
        if end:
            stream.peer_ended = True
        try:
            handler(stream, payload, end)
        except H2StreamError as error:
            self._fail_stream(stream, error.code)
            return
        self._remove_if_closed(stream)

    def _refuse_stream(self, stream_id: int) -> None:
        """Resets a new stream with REFUSED_STREAM, which tells the peer that it was not processed."""
        self._count_overhead_frame()
        self._remember_reset(stream_id)
        self.out.append(f.rst_stream(stream_id, ErrorCode.REFUSED_STREAM))

    def _was_opened(self, stream_id: int) -> bool:
        """Returns whether a stream that is not open was open before, whichever side opened it."""
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

    # ---- sending

    def open_stream(self, owner: Any, now: float) -> Stream:
        """Opens a stream. The caller must call send_headers() before opening another one."""
        stream = Stream(self._next_stream_id, self._stream_window, self._peer_initial_window, now)
        stream.owner = owner
        self.streams[stream.id] = stream
        self._next_stream_id += 2
        return stream

    @property
    def stream_ids_exhausted(self) -> bool:
        """Whether the stream identifiers of this side are used up."""
        return self._next_stream_id > f.MAX_WINDOW_SIZE - 2

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        """Sends the header fields of a stream; `end` sets END_STREAM."""
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
        """Sends data as far as the windows allow and queues the rest; `end` sets END_STREAM."""
        if stream.local_ended or stream.pending_trailers is not None:
            return
        if data:
            stream.queue.append(data)
            stream.queued_bytes += len(data)
        if end:
            stream.pending_trailers = b""
        self._pump(stream)

    def send_trailers(self, stream: Stream, headers: Headers) -> None:
        """Sends trailers with END_STREAM after all queued data."""
        if not stream.local_ended and stream.pending_trailers is None:
            stream.pending_trailers = encode(headers)
            self._pump(stream)

    def _pump(self, stream: Stream) -> None:
        """Sends queued data as far as the windows allow, then the pending trailers."""
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
            # the response is complete: the rest of the request is not needed (RFC 9113, 8.1)
            self.out.append(f.rst_stream(stream.id, ErrorCode.NO_ERROR))
            self._remember_reset(stream.id)
            self.streams.pop(stream.id, None)
        else:
            self._remove_if_closed(stream)

    def _remove_if_closed(self, stream: Stream) -> None:
        if stream.peer_ended and (stream.local_ended or self._client):
            if not stream.local_ended:  # the server completed its response before the end of the request
                self.out.append(f.rst_stream(stream.id, ErrorCode.NO_ERROR))
                stream.local_ended = True
            self.streams.pop(stream.id, None)

    def consumed(self, stream: Stream, size: int) -> None:
        """Credits received data of a stream that is no longer buffered, so that the peer may send more.

        The WINDOW_UPDATE is sent once half of the window is to be credited.
        """
        if stream.peer_ended:
            return
        stream.uncredited += size
        if 2 * stream.uncredited >= self._stream_window:
            self.out.append(f.window_update(stream.id, stream.uncredited))
            stream.receive_window += stream.uncredited
            stream.uncredited = 0

    def reset_stream(self, stream: Stream, code: int) -> None:
        """Resets a stream; no further callbacks follow. Does nothing if the stream is closed."""
        if self.streams.pop(stream.id, None) is not None:
            stream.local_ended = True
            self._remember_reset(stream.id)
            self.out.append(f.rst_stream(stream.id, code))

    def _fail_stream(self, stream: Stream, code: ErrorCode) -> None:
        """Resets a stream because of a stream error, and reports it to the handler."""
        self.reset_stream(stream, code)
        self._handler.on_reset(stream, code)

    def _remember_reset(self, stream_id: int) -> None:
        self._reset_streams[stream_id] = None
        if len(self._reset_streams) > MAX_REMEMBERED_RESETS:
            del self._reset_streams[next(iter(self._reset_streams))]

    def ping(self) -> None:
        """Sends a PING; on_pong() reports the acknowledgement."""
        self.out.append(f.frame(f.PING, 0, 0, b"troutdck"))

    def announce_goaway(self) -> None:
        """Announces a shutdown with a GOAWAY that refuses no stream (RFC 9113, 6.8).

        Streams that the peer opened before it received the frame are still accepted; goaway() must follow.
        """
        self.out.append(f.goaway(MAX_STREAM_ID, ErrorCode.NO_ERROR))

    def goaway(self, code: int = ErrorCode.NO_ERROR, reason: str = "") -> None:
        """Sends a GOAWAY: streams received so far are completed, later ones are refused.

        Args:
            code: Error code.
            reason: Debug data.
        """
        self.goaway_sent = True
        self.out.append(f.goaway(self._last_peer_stream_id, code, reason.encode()))

    def data_to_send(self) -> bytes:
        """Returns the bytes to be written and clears them."""
        data = b"".join(self.out)
        self.out.clear()
        return data
