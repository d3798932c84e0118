"""Transport of calls to backends over multiplexed HTTP/2 connections; reports one outcome per attempt.

Theory of operation. A backend has one connection while that has a free stream, and up to
MAX_CONNECTIONS_PER_BACKEND otherwise. The transport never resends a call: one that was not executed is
reported as such to the engine, and the admission module selects the next backend. States of a connection:

    opening   calls wait for it in the pool's queue; if it can't be opened, they fail together (FULL,
              CONNECT_FAILED)
    open      accepts calls, as many as the backend allows
    leaving   the backend sent GOAWAY, the pool was retired, or the connection was silent for too long: calls
              in progress continue, new ones are not accepted
    closed    calls in progress may have been executed, except for streams that the backend's GOAWAY excluded
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any, Protocol

from troutdock.admission.interface import BackendId, FleetUpdate, Outcome
from troutdock.address import Address
from troutdock.engine import Attempt, Flow
from troutdock.grpc.protocol import HTTP_STATUS_MAP, GrpcResponse, Status, outcome_of, parse_trailers
from troutdock.grpc.request import GrpcMessage
from troutdock.grpc.socket_connection import SocketConnection
from troutdock.http.socket_info import ms_since_last_data
from troutdock.http.backend_pools import BackendPools
from troutdock.http.transport import IDLE_TIMEOUT_FRACTION, ONCE_STALL_S, STALL_S
from troutdock.http2.connection import LOW_WATER_BYTES, Connection, Stream
from troutdock.http2.frames import ErrorCode
from troutdock.http2.headers import Headers
from troutdock.overload.lag import EventLoopLag

log = logging.getLogger("troutdock")

MAX_CONNECTIONS_PER_BACKEND = 4  # each carries some hundred calls at once
# Streams of a connection: upper limit if the backend allows more, and limit until its SETTINGS arrive.
MAX_STREAMS, INITIAL_MAX_STREAMS = 1000, 100
STREAM_WINDOW = 32 * 1024  # bytes of a response that are buffered for a slow client
CONNECTION_WINDOW = 1 << 20
# bytes of a response that is buffered completely; a longer one is forwarded as it arrives
MAX_BUFFERED_RESPONSE = 64 * 1024
# An idle connection that has received nothing for longer carries no call that must not be repeated.
MAX_SILENCE_BEFORE_REUSE_S = 5.0
# If a call is cancelled and nothing at all was received for this long, the connection is considered dead.
DEAD_CONNECTION_AFTER_S = 1.0


class ResponseReports(Protocol):
    """Receiver of responses and outcomes; engine.Reports."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool: ...

    def answer_more(self, attempt: Attempt, data: bytes) -> None: ...

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: GrpcResponse | None) -> None: ...


class ConnectionLimit(Protocol):
    """Limit on connections to backends, shared by all protocols."""

    open: int

    def make_room(self) -> bool: ...


class GrpcAttempt(Attempt):
    """A call on one backend; engine.Flow of the response, request.MessageSink of the client's messages."""

    __slots__ = (
        "body",
        "connection",
        "forwarding",
        "head",
        "paused",
        "pool",
        "received_bytes",
        "stall_timer",
        "stream",
        "uncredited",
    )

    def __init__(
        self,
        owner: Any,
        index: int,
        backend: BackendId,
        message: GrpcMessage,
        started: float,
        repeatable: bool = True,
    ) -> None:
        super().__init__(owner, index, backend, message, started, repeatable)
        self.pool: ConnectionPool | None = None
        self.connection: BackendConnection | None = None
        self.stream: Stream | None = None
        self.head: Headers | None = None
        self.body: list[bytes] = []
        self.received_bytes = 0
        # the response is forwarded as it arrives; the client is not reading it at the moment
        self.forwarding = self.paused = False
        self.uncredited = 0  # bytes received while paused
        self.stall_timer: asyncio.TimerHandle | None = None

    # ---- engine.Flow

    def pause(self) -> None:
        """Stops crediting received data: the client reads slower than the backend sends."""
        self.paused = True

    def resume(self) -> None:
        """Credits the data received while paused."""
        self.paused = False
        if self.uncredited and self.connection is not None and self.stream is not None:
            size, self.uncredited = self.uncredited, 0
            self.connection.h2.consumed(self.stream, size)
            self.connection.flush()

    # ---- request.MessageSink

    def send(self, data: bytes, end: bool) -> None:
        """Sends data of the client's messages."""
        if self.connection is not None and self.stream is not None:
            self.connection.h2.send_data(self.stream, data, end)
            self.connection.flush()

    @property
    def full(self) -> bool:
        """Whether the send queue of the stream is above its limit."""
        return self.stream is None or self.stream.queued_bytes > LOW_WATER_BYTES


class BackendConnection(SocketConnection):
    """A connection to a backend; http2.Handler."""

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        now = asyncio.get_running_loop().time()
        self.h2 = Connection(True, self, now, 0, STREAM_WINDOW, CONNECTION_WINDOW)
        self.leaving = self._closed = False
        self.settings_received = False  # SETTINGS of the backend
        self.last_received_at = now
        self.idle_since = now

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.flush()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = asyncio.get_running_loop().time()
        if reason := self.feed(data, self.last_received_at):
            log.warning("grpc: backend %s: %s", self.pool.endpoint, reason)
            self.close()
        elif self.leaving and not self.h2.streams:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    # ---- calls

    @property
    def available_streams(self) -> int:
        """Number of calls that can be started."""
        if self.leaving or self._closed or self.h2.stream_ids_exhausted:
            return 0
        return min(
            self.h2.peer_max_streams, MAX_STREAMS if self.settings_received else INITIAL_MAX_STREAMS
        ) - len(self.h2.streams)

    def is_usable(self) -> bool:
        """Returns False if the connection is closed, also if the event loop has not yet read that."""
        if self._closed or self.transport is None or self.transport.is_closing():
            return False
        if self.h2.streams:
            return True  # the event loop reads it
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def start(self, attempt: GrpcAttempt) -> None:
        """Sends the call; it may be executed as soon as its headers are written."""
        message: GrpcMessage = attempt.message
        request = message.request
        attempt.connection = self
        stream = attempt.stream = self.h2.open_stream(attempt, asyncio.get_running_loop().time())
        self.h2.send_headers(stream, message.headers())
        if request.upload is not None:
            attempt.lag_ms = inf  # the time of the client and that of the backend can't be separated
            self.flush()
            if not request.upload.attach(attempt):
                # the beginning of the client's stream was dropped, so that the call can't be sent completely
                self._reset_stream(attempt, ErrorCode.CANCEL)
                asyncio.get_running_loop().call_soon(self.pool.end_attempt, attempt, Outcome.ERROR, None)
            return
        for piece in request.body[:-1]:
            self.h2.send_data(stream, piece)
        self.h2.send_data(stream, request.body[-1] if request.body else b"", True)
        if stream.queued_bytes:
            attempt.lag_ms = inf
        self.flush()

    def give_up(self, attempt: GrpcAttempt) -> None:
        """Cancels the call at the backend."""
        now = asyncio.get_running_loop().time()
        stream = attempt.stream
        if stream is not None and self.last_received_at <= stream.opened_at < now - DEAD_CONNECTION_AFTER_S:
            self.leaving = True  # nothing was received since: the network path may be interrupted
        self._reset_stream(attempt, ErrorCode.CANCEL)
        self.flush()
        if self.leaving and not self.h2.streams:
            self.close()

    def _reset_stream(self, attempt: GrpcAttempt, code: int) -> None:
        if attempt.stream is not None:
            attempt.stream.owner = None
            self.h2.reset_stream(attempt.stream, code)
            self._on_stream_closed()
        self._detach(attempt)

    def _detach(self, attempt: GrpcAttempt) -> None:
        attempt.connection = attempt.stream = None
        if attempt.stall_timer is not None:
            attempt.stall_timer.cancel()
            attempt.stall_timer = None

    def _on_stream_closed(self) -> None:
        if not self.h2.streams:
            self.idle_since = asyncio.get_running_loop().time()
        self.pool.capacity_freed()

    def _end_attempt(self, attempt: GrpcAttempt, outcome: Outcome, answer: GrpcResponse | None) -> None:
        """Reports the outcome of an attempt; `answer`: how the backend ended it."""
        stream = attempt.stream
        if stream is not None:
            stream.owner = None
        self._detach(attempt)
        request = attempt.message.request
        if answer is not None:
            request.last_response = answer
            answer.body = attempt.body
        if outcome is Outcome.OK and self.pool.lag.significant:
            attempt.lag_ms += ms_since_last_data(self.sock)
        self.pool.end_attempt(attempt, outcome, answer if outcome is Outcome.OK else None)
        self._on_stream_closed()

    # ---- http2.Handler

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """Response headers of the backend, or its trailers."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is None:
            return
        if attempt.head is not None:
            if end:
                self._on_trailers(attempt, headers)
            else:
                self._on_invalid_response(attempt, "HEADERS without END_STREAM after the response headers")
            return
        status = next((value for name, value in headers if name == b":status"), b"")
        if len(status) == 3 and status[:1] == b"1" and not end:
            return  # an interim response
        head = [pair for pair in headers if pair[0][:1] != b":"]
        content_type = next((value for name, value in head if name == b"content-type"), b"")
        if status != b"200" or not content_type.startswith(b"application/grpc"):
            self._on_non_grpc_response(attempt, status, head)
        elif end:
            attempt.head = []
            self._on_trailers(attempt, head)
        else:
            attempt.head = head

    def _on_non_grpc_response(self, attempt: GrpcAttempt, status: bytes, head: Headers) -> None:
        """Handles a response that is not gRPC: an error of an intermediary, or of another server."""
        number = int(status) if status.isdigit() else 0
        not_started = number in (503, 504) and (b"not-started", b"1") in head
        grpc_status = HTTP_STATUS_MAP.get(number, Status.UNKNOWN)
        answer = GrpcResponse(grpc_status, b"HTTP status %d" % number, not_started=not_started, non_grpc=True)
        stream = attempt.stream
        outcome = outcome_of(answer)
        self._end_attempt(attempt, outcome, answer)
        if stream is not None and not stream.peer_ended:
            self.h2.reset_stream(stream, ErrorCode.CANCEL)

    def _on_trailers(self, attempt: GrpcAttempt, trailers: Headers) -> None:
        answer = parse_trailers(trailers, attempt.head or [], attempt.body)
        outcome = outcome_of(answer)
        if attempt.forwarding and outcome is Outcome.FULL:
            outcome = Outcome.ERROR  # it has sent a message before, so that the call was executed
        self._end_attempt(attempt, outcome, answer)

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """Data of the backend's messages."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is None or attempt.head is None:
            self.h2.consumed(stream, len(data))
            if attempt is not None:
                self._on_invalid_response(attempt, "DATA before the response headers")
            return
        if attempt.stall_timer is not None:
            attempt.stall_timer.cancel()
            attempt.stall_timer = None
        attempt.received_bytes += len(data)
        if attempt.forwarding:
            self._forward(attempt, data)
        elif data:
            attempt.body.append(data)
            self.h2.consumed(stream, len(data))
            if attempt.streams and (
                attempt.message.request.method_type.server_streams
                or attempt.received_bytes > MAX_BUFFERED_RESPONSE
            ):
                self._start_forwarding(attempt)
            elif attempt.received_bytes > self.pool.max_answer:
                self._on_invalid_response(attempt, "response exceeds the size limit")
        if end and stream.owner is attempt:
            self._on_invalid_response(attempt, "END_STREAM without trailers", ended=True)
        elif attempt.stream is not None and not attempt.forwarding and attempt.stall_timer is None:
            after_s = STALL_S if attempt.repeatable else ONCE_STALL_S
            attempt.stall_timer = asyncio.get_running_loop().call_later(
                after_s, self._on_invalid_response, attempt, "response stalled before its end"
            )

    def _start_forwarding(self, attempt: GrpcAttempt) -> None:
        """Starts to forward the response to the client; the call can't be retried any more."""
        attempt.forwarding = True
        if attempt.stall_timer is not None:
            attempt.stall_timer.cancel()
            attempt.stall_timer = None
        head = GrpcResponse(0, head=attempt.head or [])
        if not self.pool.reports.answer_began(attempt, head, attempt):
            self._reset_stream(attempt, ErrorCode.CANCEL)  # the client gets the response of another attempt
            return
        pieces, attempt.body = attempt.body, []
        for piece in pieces:
            self.pool.reports.answer_more(attempt, piece)

    def _forward(self, attempt: GrpcAttempt, data: bytes) -> None:
        self.pool.reports.answer_more(attempt, data)
        if attempt.stream is None:
            return
        if attempt.paused:
            attempt.uncredited += len(data)
        else:
            self.h2.consumed(attempt.stream, len(data))

    def _on_invalid_response(self, attempt: GrpcAttempt, reason: str, ended: bool = False) -> None:
        """Ends an attempt whose response is invalid; it may have been executed."""
        log.warning("grpc: backend %s: %s", self.pool.endpoint, reason)
        stream = attempt.stream
        self._end_attempt(attempt, Outcome.RESET, None)
        if stream is not None and not ended:
            self.h2.reset_stream(stream, ErrorCode.CANCEL)
        self.flush()

    def on_reset(self, stream: Stream, code: int) -> None:
        """The backend reset the stream without a status."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is not None:
            never_ran = code == ErrorCode.REFUSED_STREAM and not attempt.forwarding
            self._end_attempt(attempt, Outcome.FULL if never_ran else Outcome.RESET, None)

    def on_drained(self, stream: Stream) -> None:
        """The send queue of the stream has drained."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is not None and attempt.message.request.upload is not None:
            attempt.message.request.upload.flush()

    def on_settings(self) -> None:
        """The number of allowed streams may have changed."""
        self.settings_received = True
        self.pool.capacity_freed()

    def on_goaway(self, last: int, code: int) -> None:
        """The backend accepts no more calls here and did not execute those above `last`."""
        self.leaving = True
        for stream in list(self.h2.streams.values()):
            if stream.id > last and stream.owner is not None:
                attempt: GrpcAttempt = stream.owner
                self.h2.streams.pop(stream.id, None)
                self._end_attempt(attempt, Outcome.CONNECT_FAILED, None)
        self.pool.stop_using(self)

    def on_pong(self) -> None:
        """Does nothing: no PINGs are sent."""

    def close(self) -> None:
        """Closes at once; calls in progress may have been executed."""
        if self._closed:
            return
        self._closed = True
        if self.transport is not None:
            self.transport.close()
        self.pool.connection_closed(self)
        streams, self.h2.streams = self.h2.streams, {}
        for stream in streams.values():
            if stream.owner is not None:
                self._end_attempt(stream.owner, Outcome.RESET, None)


class ConnectionPool:
    """The connections to one backend."""

    def __init__(self, endpoint: Address, transport: GrpcTransport, up_since_ms: float) -> None:
        self.endpoint, self._transport, self.up_since_ms = endpoint, transport, up_since_ms
        self.reports, self.lag, self.max_answer = transport.reports, transport.lag, transport.max_answer
        self.connections: list[BackendConnection] = []  # accept calls
        self._leaving: list[BackendConnection] = []  # state "leaving"
        self._waiting: deque[GrpcAttempt] = deque()
        self._opening: asyncio.Task[None] | None = None
        self.retired = False

    def start(self, attempt: GrpcAttempt) -> None:
        """Starts an attempt on a connection with a free stream, or queues it and opens one."""
        attempt.pool = self
        if (connection := self._find_connection(attempt)) is not None:
            connection.start(attempt)
            return
        self._waiting.append(attempt)
        self._open_connection()

    def _find_connection(self, attempt: GrpcAttempt) -> BackendConnection | None:
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.available_streams > 0:
                silent = (
                    not connection.h2.streams
                    and connection.last_received_at < now - MAX_SILENCE_BEFORE_REUSE_S
                )
                if connection.is_usable() and (attempt.repeatable or not silent):
                    return connection
                connection.leaving = True
                self.stop_using(connection)
                if not connection.h2.streams:
                    connection.close()
        return None

    def _open_connection(self) -> None:
        """Opens one more connection for all waiting attempts; at the limit they end as FULL."""
        if self._opening is not None:
            return
        loop = asyncio.get_running_loop()
        if (
            len(self.connections) < MAX_CONNECTIONS_PER_BACKEND
            and self._transport.connection_limit.make_room()
        ):
            self._opening = loop.create_task(self._connect())
        else:
            loop.call_soon(self._fail_waiting, Outcome.FULL)

    async def _connect(self) -> None:
        loop, connection_limit = asyncio.get_running_loop(), self._transport.connection_limit
        sock = connection = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._transport.connect_timeout_s):
                await loop.sock_connect(sock, self.endpoint)
            connected_sock = sock
            _, connection = await loop.create_connection(
                lambda: BackendConnection(self, connected_sock), sock=sock
            )
        except (OSError, TimeoutError):
            connection_limit.open -= 1
            self._opening = None
            self._fail_waiting(Outcome.CONNECT_FAILED)
            return
        except asyncio.CancelledError:
            connection_limit.open -= 1
            raise
        finally:
            if connection is None and sock is not None:
                sock.close()
        self._opening = None
        self.connections.append(connection)
        self.capacity_freed()
        if self.retired:  # while connecting; only the attempts that waited may use the connection
            self.retire()

    def _fail_waiting(self, outcome: Outcome) -> None:
        """Ends all waiting attempts unless a connection is being opened."""
        if self._opening is None:
            waiting, self._waiting = self._waiting, deque()
            for attempt in waiting:
                self.end_attempt(attempt, outcome, None)

    def capacity_freed(self) -> None:
        """Starts waiting attempts on free streams, in the order of their arrival."""
        while self._waiting and (connection := self._find_connection(self._waiting[0])) is not None:
            connection.start(self._waiting.popleft())
        if self._waiting:
            self._open_connection()

    def cancel_waiting(self, attempt: GrpcAttempt) -> None:
        """Removes an attempt that has not been sent from the queue."""
        if attempt in self._waiting:
            self._waiting.remove(attempt)

    def end_attempt(self, attempt: GrpcAttempt, outcome: Outcome, answer: GrpcResponse | None) -> None:
        """Reports the outcome of an attempt once, unless it was cancelled."""
        if not attempt.over:
            attempt.over = True
            upload = attempt.message.request.upload
            if upload is not None:
                upload.detach()
            self.reports.attempt_ended(attempt, outcome, answer)

    def stop_using(self, connection: BackendConnection) -> None:
        """Starts no more calls on this connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._leaving.append(connection)

    def connection_closed(self, connection: BackendConnection) -> None:
        """Removes a closed connection."""
        self.stop_using(connection)
        if connection in self._leaving:
            self._leaving.remove(connection)
        self._transport.connection_limit.open -= 1

    def retire(self) -> None:
        """The backend was removed from the list: calls in progress continue."""
        self.retired = True
        for connection in list(self.connections):
            connection.leaving = True
            self.stop_using(connection)
            if not connection.h2.streams:
                connection.close()
        if not self._waiting and self._opening is not None:
            self._opening.cancel()
            self._opening = None

    def sweep(self, before: float) -> None:
        """Closes connections that have been idle since before this time of the event loop."""
        for connection in [*self.connections, *self._leaving]:
            if not connection.h2.streams and (connection.idle_since < before or connection.leaving):
                connection.h2.goaway()
                connection.flush()
                connection.close()

    def close(self) -> None:
        """Closes all connections."""
        self.retire()
        for connection in list(self._leaving):
            connection.close()


class GrpcTransport:
    """engine.Transport over gRPC, within the limit on connections that all backends share."""

    def __init__(
        self,
        reports: ResponseReports,
        connection_limit: ConnectionLimit,
        connect_timeout_s: float,
        idle_s: float,
        max_answer: int,
        lag: EventLoopLag,
    ) -> None:
        self.reports, self.connection_limit, self.lag = reports, connection_limit, lag
        self.connect_timeout_s, self.max_answer = connect_timeout_s, max_answer
        self.idle_s = idle_s * IDLE_TIMEOUT_FRACTION
        self.pools = BackendPools(lambda endpoint, up_since_ms: ConnectionPool(endpoint, self, up_since_ms))

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float = 0.0) -> None:
        """Adds a backend, or updates it if its address changed or it was restarted."""
        self.pools.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Applies a change of the list of backends; removed ones get no new calls."""
        self.pools.follow(update)

    new_attempt: Callable[..., Attempt] = GrpcAttempt

    def start(self, attempt: GrpcAttempt) -> None:
        """Starts an attempt; its outcome is reported later, never within this call."""
        self.pools.by_backend[attempt.backend].start(attempt)

    def give_up(self, attempt: GrpcAttempt) -> None:
        """Cancels an attempt at the backend; no outcome is reported."""
        attempt.over = True
        upload = attempt.message.request.upload
        if upload is not None:
            upload.detach()
        if attempt.connection is not None:
            attempt.connection.give_up(attempt)
        elif attempt.pool is not None:
            attempt.pool.cancel_waiting(attempt)

    def sweep(self) -> None:
        """Closes idle connections before the backends do."""
        before = asyncio.get_running_loop().time() - self.idle_s
        for pool in list(self.pools.by_backend.values()):
            pool.sweep(before)

    def status(self) -> list[dict[str, Any]]:
        """Returns the numbers of connections and calls of each backend, for the status page."""
        return [
            {
                "node": "{}:{}".format(*pool.endpoint),
                "connections": len(pool.connections),
                "calls": sum(len(c.h2.streams) for c in pool.connections),
            }
            for pool in self.pools.by_backend.values()
        ]

    def close(self) -> None:
        """Closes the connections by_backend all backends."""
        for pool in self.pools.by_backend.values():
            pool.close()
