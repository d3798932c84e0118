"""Connections of gRPC clients: receives calls and sends exactly one final status for each.

Theory of operation. A connection is accepted by the HTTP/1.1 listener, which recognises the HTTP/2 preface,
or by a listener of its own. Both kinds count towards the same limit on client connections. Each stream is a
call:

    receiving   messages are incomplete; a unary message is buffered completely, within the budget for bodies
    submitted   the engine has the call and will report exactly one final result
    finished    the final status was sent, or the client cancelled the call; nothing more is sent

A connection that is to be closed (drain, out of service, successor process) sends two GOAWAY frames. The
first refuses no stream. The second follows after GOAWAY_INTERVAL_S, when calls that the client opened before
it received the first have arrived, and is final. Later streams are refused unprocessed; clients may retry
these elsewhere, because the calls were not executed.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from troutdock.admission.interface import RequestQueued
from troutdock.engine import BadRequest, Failure
from troutdock.grpc.exchange import RESPONSE_HEADERS, GrpcExchange
from troutdock.grpc.methods import MethodTable, MethodRule
from troutdock.grpc.protocol import (
    BAD_REQUEST_STATUS,
    MESSAGE_PREFIX_BYTES,
    Status,
    status_trailers,
    percent_encode,
    rejection_trailers,
    count_messages,
)
from troutdock.grpc.request import MetadataNames, CallReader, Upload
from troutdock.grpc.socket_connection import SocketConnection
from troutdock.http.socket_info import ms_since_last_data
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES
from troutdock.http.connection import MIN_WAIT_MS
from troutdock.http2.connection import Connection, Stream
from troutdock.http2.frames import ErrorCode, H2StreamError
from troutdock.http2.headers import Headers, split_pseudo_headers

if TYPE_CHECKING:
    from troutdock.http.listener import Server

log = logging.getLogger("troutdock")

MAX_CONCURRENT_STREAMS = 100  # per connection, the usual value of gRPC servers
STREAM_WINDOW = 64 * 1024  # bytes that a call may send before they are credited
CONNECTION_WINDOW = 1 << 20
# For a connection without calls. HTTP/1.1 connections, which are cheaper to open, have 10 s.
IDLE_TIMEOUT_S = 60.0
FIRST_CALL_TIMEOUT_S = 2.6  # as for the first request head in HTTP/1.1
GOAWAY_INTERVAL_S = 0.3  # between the two GOAWAY frames: longer than a round trip in a nearby network
MAX_UNREAD_BYTES, UNREAD_TIMEOUT_S = 256 * 1024, 10.0  # output that a client may leave unread, and how long
NO_MEMORY_RETRY_MS = 500.0  # retry time if the budget for bodies is used up
_PSEUDO_HEADERS = frozenset((b":method", b":scheme", b":path", b":authority"))


class GrpcFrontend:
    """All connections of gRPC clients and their shared state."""

    def __init__(
        self,
        server: Server,
        rules: tuple[MethodRule, ...],
        metadata_names: MetadataNames,
        max_message_bytes: int,
    ) -> None:
        """Resolves the table of methods.

        Raises:
            ValueError: A rule is invalid; the message names it.
        """
        self.server, self._rules, self._metadata_names, self.max_message_bytes = (
            server,
            rules,
            metadata_names,
            max_message_bytes,
        )
        settings = server.engine.settings
        self._reader = CallReader(MethodTable(rules, settings), settings, metadata_names)
        self.connections: dict[GrpcConnection, None] = {}
        self.accepted = 0  # connections since the start
        self.pool = 0  # number of the backend pool of all calls

    @property
    def reader(self) -> CallReader:
        """Reader for the current settings; rules that don't fit them are left out."""
        settings = self.server.engine.settings
        if settings is not self._reader.settings:
            methods, errors = MethodTable.with_valid_rules(self._rules, settings)
            for reason in errors:
                log.error(
                    "grpc: rule of the method table does not fit the new settings and is disabled: %s", reason
                )
            self._reader = CallReader(methods, settings, self._metadata_names)
        return self._reader

    def new_connection(self, sock: socket.socket | None) -> GrpcConnection:
        """Returns a protocol for a client that has sent the HTTP/2 preface, or is expected to."""
        return GrpcConnection(self, sock)


class GrpcConnection(SocketConnection):
    """A client's connection; http2.Handler, and the listener's Other."""

    def __init__(self, front: GrpcFrontend, sock: socket.socket | None) -> None:
        self.front, self.sock = front, sock
        self.h2 = Connection(
            False, self, time.monotonic(), MAX_CONCURRENT_STREAMS, STREAM_WINDOW, CONNECTION_WINDOW
        )
        self._calls: dict[int, GrpcExchange] = {}
        self._write_paused_since = 0.0  # monotonic time; 0: not paused
        self._idle_since = self._opened_at = time.monotonic()
        self._goaway_at = 0.0
        self._had_call = False

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.sock is None:
            self.sock = transport.get_extra_info("socket")
        server = self.front.server
        server.other_connections[self] = self.front.connections[self] = None
        self.front.accepted += 1
        if server.handing_over or server.availability.sends_away:
            self.go_away()
        self.flush()

    def data_received(self, data: bytes) -> None:
        if reason := self.feed(data, time.monotonic()):
            log.info("grpc: closing client connection after a connection error: %s", reason)
            self.close()
        elif (
            self.transport is not None
            and not self._calls
            and (self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES)
        ):
            self.abort()  # guards against a client that sends PINGs and does not read the answers

    def pause_writing(self) -> None:
        self._write_paused_since = time.monotonic()

    def resume_writing(self) -> None:
        self._write_paused_since = 0.0
        for exchange in list(self._calls.values()):
            exchange.on_writable()
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.server.remove_other(self)
        self.front.connections.pop(self, None)
        calls, self._calls = self._calls, {}
        for exchange in calls.values():
            self._cancel_call(exchange)
        self.transport = None

    def now(self) -> float:
        """Returns the engine's time in milliseconds."""
        return self.front.server.engine.clock.now()

    @property
    def write_paused(self) -> bool:
        """Whether the transport's write buffer is full because the client does not read."""
        return self._write_paused_since > 0

    # ---- http2.Handler

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """A new call, or trailers, whose fields are ignored."""
        exchange: GrpcExchange | None = stream.owner
        if exchange is not None:
            if not end:
                raise H2StreamError(ErrorCode.PROTOCOL_ERROR, "HEADERS without END_STREAM on an open stream")
            self._receive_messages(exchange, b"", True)
            return
        if stream.headers_sent:
            return  # trailers of a call whose response was sent
        self._had_call = True
        pseudo, metadata = split_pseudo_headers(headers, _PSEUDO_HEADERS)
        if len(pseudo) < 3 or not pseudo.get(b":path"):
            raise H2StreamError(ErrorCode.PROTOCOL_ERROR, "request without :method, :scheme or :path")
        content_type = next((value for name, value in metadata if name == b"content-type"), b"")
        if not content_type.startswith(b"application/grpc") or pseudo[b":method"] != b"POST":
            self._answer_non_grpc(stream, pseudo, content_type)
            return
        self._start_call(stream, pseudo, metadata, end)

    def _answer_non_grpc(self, stream: Stream, pseudo: dict[bytes, bytes], content_type: bytes) -> None:
        """Answers a request that is not gRPC: the health check, else 415 (doc/PROTOCOL-HTTP2.md) or 404."""
        status = b"415" if content_type or pseudo[b":method"] == b"POST" else b"404"
        if pseudo[b":path"] == b"/healthz" and pseudo[b":method"] == b"GET":
            status = b"200" if self.front.server.healthy else b"503"
        self.h2.send_headers(stream, [(b":status", status), (b"content-length", b"0")], True)

    def _start_call(self, stream: Stream, pseudo: dict[bytes, bytes], metadata: Headers, end: bool) -> None:
        server = self.front.server
        arrived = self.now()
        if server.lag.significant and self.sock is not None:
            arrived -= ms_since_last_data(
                self.sock
            )  # the deadline counts from the arrival in the socket buffer
        try:
            request = self.front.reader.read(pseudo[b":path"], pseudo.get(b":authority", b""), metadata)
        except BadRequest as error:
            self._send_status(stream, BAD_REQUEST_STATUS.get(error.status, Status.INTERNAL), error.reason)
            return
        request.arrival.pool = self.front.pool
        exchange = GrpcExchange(self, stream, request, arrived)
        stream.owner = self._calls[stream.id] = exchange
        if request.method_type.client_streams:
            request.upload = Upload(lambda size: self._grant_credit(stream, size))
            if end:
                request.upload.push(b"", True)
            self._submit(exchange)
        elif end:
            self._receive_messages(exchange, b"", True)

    def _send_status(self, stream: Stream, status: int, reason: str) -> None:
        """Ends a call with this status."""
        self._calls.pop(stream.id, None)
        self.h2.send_headers(
            stream, [*RESPONSE_HEADERS, *status_trailers(status, percent_encode(reason))], True
        )

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """Data of a call's messages."""
        exchange: GrpcExchange | None = stream.owner
        if exchange is None or exchange.finished:
            self.h2.consumed(stream, len(data))
            return
        self._receive_messages(exchange, data, end)

    def _grant_credit(self, stream: Stream, size: int) -> None:
        self.h2.consumed(stream, size)
        self.flush()

    def _receive_messages(self, exchange: GrpcExchange, data: bytes, end: bool) -> None:
        """Passes message data to the upload of a client stream; without one, buffers it until the end."""
        upload, stream, server = exchange.request.upload, exchange.stream, self.front.server
        if upload is not None:
            upload.push(data, end)
            return
        exchange.received_bytes += len(data)
        if exchange.received_bytes > self.front.max_message_bytes + MESSAGE_PREFIX_BYTES:
            self._fail_call(exchange, Status.RESOURCE_EXHAUSTED, "the message is too long")
            return
        if (
            exchange.received_bytes > UNBUDGETED_BODY_BYTES
            and exchange.received_bytes > exchange.reserved_bytes
        ):
            additional = max(exchange.received_bytes - exchange.reserved_bytes, UNBUDGETED_BODY_BYTES)
            if not server.bodies.reserve(additional):
                self._reject_no_memory(exchange)
                return
            exchange.reserved_bytes += additional
        if data:
            exchange.request.body.append(data)
            self.h2.consumed(stream, len(data))
        if not end:
            if exchange.deadline_timer is None:
                exchange.start_deadline_timer(exchange.request.timeout_ms - (self.now() - exchange.arrived))
            return
        try:
            count = count_messages(b"".join(exchange.request.body))
        except ValueError as error:
            self._fail_call(exchange, Status.INTERNAL, str(error))
            return
        if count != 1:
            self._fail_call(exchange, Status.UNIMPLEMENTED, f"{count} messages where there is to be one")
            return
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
            exchange.deadline_timer = None
        self._submit(exchange)

    def _fail_call(self, exchange: GrpcExchange, status: int, reason: str) -> None:
        exchange.finish()
        self._send_status(exchange.stream, status, reason)

    def _reject_no_memory(self, exchange: GrpcExchange) -> None:
        """Rejects a call because the budget for bodies is used up; it was not executed."""
        exchange.finish()
        self._calls.pop(exchange.stream.id, None)
        self.h2.send_headers(
            exchange.stream, [*RESPONSE_HEADERS, *rejection_trailers(NO_MEMORY_RETRY_MS)], True
        )

    def _submit(self, exchange: GrpcExchange) -> None:
        """Passes a call to the engine, unless it is rejected because this process read it too late."""
        server, request = self.front.server, exchange.request
        a = request.arrival
        waited_ms = self.now() - exchange.arrived
        late = waited_ms > MIN_WAIT_MS and server.lag.significant
        if late and server.damping.turn_away and request.upload is None:
            waited = RequestQueued(a.customer, a.plan, a.cls, a.units, a.width, a.retry, waited_ms, a.key)
            if server.engine.reject_waited(waited, exchange):
                return
        try:
            call = server.engine.arrive(request, exchange)
        except BadRequest as error:
            self._fail_call(exchange, BAD_REQUEST_STATUS.get(error.status, Status.INTERNAL), error.reason)
            return
        except Exception:
            log.exception("grpc: the engine failed to accept a call")
            exchange.failed(Failure.INTERNAL)
            return
        if not exchange.finished:
            exchange.call = call

    def on_reset(self, stream: Stream, code: int) -> None:
        """The client cancelled the call."""
        exchange = self._calls.pop(stream.id, None)
        if exchange is not None:
            self._cancel_call(exchange)

    def _cancel_call(self, exchange: GrpcExchange) -> None:
        call = exchange.call
        if not exchange.finished:
            exchange.finish()
        if call is not None:
            self.front.server.engine.withdraw(call)

    def on_drained(self, stream: Stream) -> None:
        """The send queue of the stream has drained."""
        if stream.owner is not None:
            stream.owner.on_writable()

    def on_settings(self) -> None:
        """Does nothing: the state machine applies the settings."""

    def on_goaway(self, last: int, code: int) -> None:
        """Does nothing: the client opens no more streams."""

    def on_pong(self) -> None:
        """Does nothing: no PINGs are sent."""

    # ---- the listener's Other

    def go_away(self) -> None:
        """Starts the shutdown of the connection with the first GOAWAY; sweep() sends the second."""
        if not self._goaway_at:
            self._goaway_at = time.monotonic()
            self.h2.announce_goaway()
            self.flush()

    def sweep(self, now: float) -> None:
        """Enforces the timeouts of the connection and its calls; `now` is monotonic time."""
        for stream_id, exchange in list(self._calls.items()):
            if exchange.finished and stream_id not in self.h2.streams:
                del self._calls[stream_id]
            elif exchange.finished and now - exchange.finished_at > UNREAD_TIMEOUT_S:
                # the client does not open the stream's window for the rest of the response
                self.h2.reset_stream(exchange.stream, ErrorCode.CANCEL)
                self.flush()
        if self._goaway_at and now - self._goaway_at > GOAWAY_INTERVAL_S and not self.h2.goaway_sent:
            self.h2.goaway()
            self.flush()
        if self._calls:
            self._idle_since = now
        if self._write_paused_since and now - self._write_paused_since > UNREAD_TIMEOUT_S:
            self.abort()
        elif self.h2.goaway_sent and not self._calls:
            self.close()
        elif not self._had_call and now - self._opened_at > FIRST_CALL_TIMEOUT_S:
            self.abort()
        elif now - self._idle_since > IDLE_TIMEOUT_S:
            self.go_away()

    @property
    def calls(self) -> int:
        """Number of calls that are not removed yet."""
        return len(self._calls)

    @property
    def idle_since(self) -> float:
        """Monotonic time since when there are no calls; infinite while there are any."""
        return float("inf") if self._calls else self._idle_since

    def make_room(self) -> None:
        """Closes the idle connection to make room for another one."""
        self.h2.goaway()
        self.flush()
        self.close()

    def close(self) -> None:
        """Closes after the write buffer has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes at once and drops the write buffer."""
        if self.transport is not None:
            self.transport.abort()
