"""Sends attempts to backends over pooled HTTP/1.1 connections and determines their outcomes.

Theory of operation. A connection carries one attempt at a time; requests to backends are not pipelined.

    HttpTransport  all pools, within a limit on connections; adapts how long an idle connection may be reused
    Pool           the connections to one backend and the attempts that wait for one
    Connection     writes a request, parses responses, reports the outcome

    connection state   event                              outcome of the attempt
    idle               start                              -
    request sent       complete response                  classify(response)
    request sent       long successful response begins    none yet; streamed by answer_began and answer_more
    request sent       close, error or stall              RESET if it may have run, else CONNECT_FAILED
    streaming          complete response                  OK
    streaming          close, error or stall              RESET
    any                give_up                            none; the connection is closed

A connection returns to its pool only if its response is complete, the request was fully written and no other
data follows. The outcome RESET means that the request may have run: its last byte was written, or its first
byte if the protocol's traits say that backends may start early, or the response has begun.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections import deque
from collections.abc import Callable, Iterator
from math import inf
from typing import Any, Protocol, cast

from troutdock.admission.interface import BackendId, FleetUpdate, Outcome
from troutdock.address import Address
from troutdock.engine import Attempt, Flow, ProtocolTraits
from troutdock.http.socket_info import ms_since_last_data
from troutdock.http.backend_pools import BackendPools
from troutdock.http.request import Message
from troutdock.http.response import MAX_BODY, BadResponse, Response, ResponseReader
from troutdock.overload.lag import EventLoopLag

log = logging.getLogger("troutdock")

REUSE_DELAY_S = 0.005  # before reuse, to detect data that follows the response
# Size of the kernel's receive buffer, which bounds one read. Each client that is slower than its backend
# costs one read in addition to its write buffer: 180 KiB each with 300 slow clients, 280 KiB without limit.
RECEIVE_BUFFER_BYTES = 64 * 1024
STALL_S = 0.3  # without data, an incomplete response is abandoned
ONCE_STALL_S = 2.0  # the same if no further attempt is possible; a backend may pause for 0.5 s
STREAM_STALL_S = 5.0  # the same for a streamed response, which cannot be retried
STALE_RESET_S = 0.02  # an earlier reset means that the connection had been closed before the request
MIN_REUSE_S = 0.03  # minimum idle time after which a connection may still be reused
NON_REPEATABLE_REUSE_S = 1.0  # below this reuse limit, non-repeatable requests get a new connection
REUSE_DECREASE, REUSE_INCREASE = 0.8, 1.02  # factors on the reuse limit: stale connection, success
REUSE_PROOF_S = 10.0  # how long a success after an idle time proves that others of that age work
IDLE_TIMEOUT_FRACTION = 0.6  # of the backends' idle timeout: idle connections are closed well before
_KEEP_ALIVE = re.compile(rb"(?:^|[,;\s])timeout=(\d{1,6})", re.I)
_USUAL = ProtocolTraits()


class HttpAttempt(Attempt):
    """An attempt over HTTP/1.1 with the state of its transport."""

    __slots__ = ("connection", "opening", "pool")

    def __init__(
        self,
        owner: Any,
        index: int,
        backend: BackendId,
        message: Message,
        started: float,
        repeatable: bool = True,
    ) -> None:
        # assigns the base's fields directly to save a call on each request
        self.owner, self.index, self.backend, self.started = owner, index, backend, started
        self.message, self.repeatable = message, repeatable
        self.over = self.streams = False
        self.lag_ms = 0.0
        self.pool: Pool | None = None  # where it waits or was sent
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None  # while it can be cancelled

    @property
    def traits(self) -> ProtocolTraits:
        """The traits of the backend's protocol."""
        return self.owner.request.traits if self.owner is not None else _USUAL

    @property
    def request_id(self) -> bytes:
        """The id that responses carry; empty if they carry none."""
        return self.owner.request.id if self.owner is not None and self.traits.responses_name_request else b""


OnAttemptEnded = Callable[[HttpAttempt, Outcome, Response | None], None]
ResponseClassifier = Callable[[HttpAttempt | None, Response], Outcome | None]


class NoStreams:
    """Rejects streamed responses."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        return False

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        pass


class StreamReports(Protocol):
    """The part of engine.Reports that concerns streamed responses."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool: ...

    def answer_more(self, attempt: Attempt, data: bytes) -> None: ...


def classify_response(attempt: HttpAttempt | None, response: Response) -> Outcome:
    """Returns the outcome for a response; a request with an unlisted status may have run.

    Other classifiers may return None: the response belongs to another request, and the attempt's own is still
    to come.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(b"not-started", b"") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


class Connection(asyncio.Protocol):
    """A connection to a backend that carries one attempt at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.attempt: HttpAttempt | None = None
        self.idle_since = 0.0  # 0 before the first response
        self.keep_alive_s = inf  # idle time allowed by the last Keep-Alive header
        self.last_request_id = b""  # id of the last request, whose response may be repeated
        self._started = 0.0  # when the request was written
        self._first_byte_at = 0.0  # arrival of the first bytes of an incomplete response
        self._reader = ResponseReader(pool.max_answer)
        self._sent = self._written = False  # part of the request may have been sent; all of it was
        self._response_started = False  # a byte was received since then
        self._closed = False
        self._unmatched_response = False  # a response arrived that belongs to another request
        self._streaming = self._paused = False  # response is streamed; reading is paused
        self._stall_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        # with high=0, resume_writing is called when the kernel has the last byte
        self._transport.set_write_buffer_limits(high=0)

    def start(self, attempt: HttpAttempt) -> None:
        """Writes the request. It may run from its last byte on, or its first, depending on the traits."""
        self.attempt, attempt.connection = attempt, self
        self.last_request_id = attempt.request_id
        self._reader.streams = attempt.streams
        self._streaming, self._first_byte_at = False, 0.0
        self._started = asyncio.get_running_loop().time()
        self._sent = self._written = self._response_started = False
        pieces = attempt.message
        if isinstance(pieces, bytes):
            pieces = (pieces,)
        else:
            # a backend starts with the last byte, and when it has read that is unknown here
            attempt.lag_ms = inf
        for piece in pieces:
            self._transport.write(piece)
            if self._transport.is_closing():
                break
            self._sent = True
        self._written = self._transport.get_write_buffer_size() == 0 and not self._transport.is_closing()

    def resume_writing(self) -> None:
        self._written = True

    def usable(self) -> bool:
        """Returns false if the peer has closed the connection, even if the event loop has not read it yet."""
        if self._closed or self._transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed, or unsolicited data

    def data_received(self, data: bytes) -> None:
        self._response_started = True
        try:
            responses = self._reader.feed_responses(data)
            if self.attempt is None:
                raise BadResponse("data without a request")
        except BadResponse as error:
            self._protocol_error(error)
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        for number, response in enumerate(responses, 1):
            if self.pool.lag.significant and number == 1:
                # excludes this process's own delay from the backend's time
                self.attempt.lag_ms += ms_since_last_data(self.sock)
            # a response before the request's last byte makes the connection unusable for others
            self._add_transfer_lag()
            outcome = self.pool.classify(self.attempt, response)
            if outcome is not None:
                more = number < len(responses) or self._reader.in_message or self._reader.trailing_garbage
                whole = response.keep_alive and self._written and not self._unmatched_response and not more
                self._conclude(outcome, response, whole)
                return
            if not response.keep_alive:
                self.close()
                self._fail()
                return
            # the response belongs to another request; this one's is still to come
            self._unmatched_response, self._first_byte_at = True, 0.0
        if self._reader.trailing_garbage:
            self._protocol_error(BadResponse("invalid data after a response to another request"))
            return
        if not self._reader.in_message:  # interim response or another request's: still being processed
            self._first_byte_at = 0.0
            return
        if not self._first_byte_at:
            self._first_byte_at = asyncio.get_running_loop().time()
        if self._reader.should_stream:
            if not self._streaming:
                outcome = self.pool.classify(self.attempt, self._reader.head())
                if outcome is None:
                    self._reader.take_body()  # another request's, whose body is not needed
                elif outcome is not Outcome.OK:
                    self.close()  # the header section determines the outcome, whatever follows
                    self._conclude(outcome, None, False)
                    return
                else:
                    self._streaming = True
                    self._add_transfer_lag()
                    if not self.pool.streams.answer_began(self.attempt, self._reader.head(), self):
                        self.close()  # another attempt was chosen
                        return
            if self._streaming:
                self.pool.streams.answer_more(self.attempt, self._reader.take_body())
        self._start_stall_timer()

    def _protocol_error(self, error: BadResponse) -> None:
        log.warning("backend %s: invalid response: %s", self.pool.endpoint, error)
        self.close()
        self._fail()

    def _add_transfer_lag(self) -> None:
        """Adds the transfer time since the first bytes of the response, which is not the backend's work."""
        if self.attempt is not None and self._first_byte_at:
            self.attempt.lag_ms += (asyncio.get_running_loop().time() - self._first_byte_at) * 1000

    def _start_stall_timer(self) -> None:
        """Starts a timer in case the rest never arrives, for example after a wrong Content-Length."""
        attempt = self.attempt
        if not (self._paused or self._closed) and self._stall_timer is None:
            until_deadline = attempt is not None and not attempt.traits.stall_timeout_applies
            if self._streaming:
                after_s = STREAM_STALL_S
                if (
                    until_deadline and attempt is not None
                ):  # the engine's deadline covers only the start of a stream
                    left_s = (attempt.owner.expires_ms - attempt.started) / 1000
                    after_s = max(after_s, self._started + left_s - asyncio.get_running_loop().time())
            elif attempt is not None and not attempt.repeatable:
                if until_deadline:
                    return  # no further attempt is possible: wait until the deadline
                after_s = ONCE_STALL_S
            else:
                after_s = STALL_S
            self._stall_timer = asyncio.get_running_loop().call_later(after_s, self._on_stall)

    def pause(self) -> None:
        """Pauses reading because the client is slower than the backend; bounds the buffered data."""
        if not self._paused and not self._closed:
            self._paused = True
            self._transport.pause_reading()
            if self._stall_timer is not None:
                self._stall_timer.cancel()
                self._stall_timer = None

    def resume(self) -> None:
        """Resumes reading."""
        if self._paused and not self._closed:
            self._paused = False
            self._transport.resume_reading()
            self._start_stall_timer()

    def _on_stall(self) -> None:
        log.warning("backend %s: response stalled before its end", self.pool.endpoint)
        self.close()
        self._fail()

    def eof_received(self) -> None:
        """Handles EOF as a close; a request that is still being written has no reader."""
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and not self._closed and (response := self._reader.complete_at_close()) is not None:
            self._add_transfer_lag()
            outcome = self.pool.classify(self.attempt, response)
            if outcome is not None:
                self._conclude(outcome, response, False)
        self.close()
        self._fail()
        self._reader.close()

    def _fail(self) -> None:
        """Ends the attempt of a failed connection; the request may have run if it was completely written.

        If the response has begun or backends may start early, it may have run from its first byte on.
        """
        if self.attempt is not None and self.idle_since and not self._response_started:
            self.pool.connection_reset(
                self._started - self.idle_since, asyncio.get_running_loop().time() - self._started
            )
        may_run = self._written
        if self.attempt is not None and not may_run:
            may_run = self._sent and (
                self._response_started or not self.attempt.traits.starts_after_last_byte
            )
        self._conclude(Outcome.RESET if may_run else Outcome.CONNECT_FAILED, None, False)

    def _conclude(self, outcome: Outcome, response: Response | None, reusable: bool) -> None:
        attempt, self.attempt = self.attempt, None
        self._streaming = False
        if self._paused:
            self._paused = False
            if reusable:
                self._transport.resume_reading()
        if reusable:
            assert response is not None
            keep_alive = response.headers.get(b"keep-alive")
            found = _KEEP_ALIVE.search(keep_alive) if keep_alive is not None else None
            self.keep_alive_s = int(found[1]) * IDLE_TIMEOUT_FRACTION if found is not None else inf
            self.pool.connection_served(self._started - self.idle_since if self.idle_since else 0.0)
            self.pool.return_connection(self)
        else:
            self.close()
        if attempt is not None:
            self.pool.ended(attempt, outcome, response)

    def close(self) -> None:
        """Aborts the connection; nothing more is read or reported."""
        if not self._closed:
            self._closed = True
            if self._stall_timer is not None:
                self._stall_timer.cancel()
            self.pool.remove(self)
            self._transport.abort()


class Pool:
    """The connections to one backend."""

    def __init__(self, endpoint: Address, backends: HttpTransport, up_since_ms: float) -> None:
        self.endpoint, self._transport, self.up_since_ms = endpoint, backends, up_since_ms
        self.max_answer, self.lag, self.streams = backends.max_answer, backends.lag, backends.streams
        self.classify = backends.classify
        self.idle: deque[Connection] = deque()  # most recently used last
        self.waiting: deque[HttpAttempt] = deque()  # attempts without a connection
        self.retired = False

    def start(self, attempt: HttpAttempt) -> None:
        """Sends the attempt on the most recently used connection, or on a new one."""
        attempt.pool = self
        doubtful = not attempt.repeatable and self._transport.reuse_limit_s < NON_REPEATABLE_REUSE_S
        if not doubtful and (connection := self._reusable(attempt)) is not None:
            connection.start(attempt)
            return
        self.waiting.append(attempt)
        if self._transport.make_room():
            attempt.opening = asyncio.get_running_loop().create_task(self._open(attempt))
            attempt.opening.add_done_callback(self._open_done)
        else:
            # at the limit on sockets no connection can be opened
            asyncio.get_running_loop().call_soon(self._connect_failed, attempt)

    def _reusable(self, attempt: HttpAttempt) -> Connection | None:
        """Returns the most recently used connection that may be reused.

        Excludes a connection that carried a request of the same id, since a repeated response to that one
        would be taken for the response to this one.
        """
        now = asyncio.get_running_loop().time()
        self.close_idle(now - self._transport.reuse_limit_s)
        name = attempt.request_id
        for connection in list(reversed(self.idle)):
            if connection.idle_since <= now - REUSE_DELAY_S and not (
                name and name == connection.last_request_id
            ):
                if connection.idle_since + connection.keep_alive_s >= now and connection.usable():
                    self.idle.remove(connection)
                    return connection
                connection.close()
        return None

    async def _open(self, attempt: HttpAttempt) -> None:
        loop = asyncio.get_running_loop()
        sock = connection = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            async with asyncio.timeout(self._transport.connect_timeout_s):
                await loop.sock_connect(sock, self.endpoint)
            attempt.opening = None  # not to be cancelled from here on: it would be counted twice
            made = sock
            _, connection = await loop.create_connection(lambda: Connection(self, made), sock=sock)
        except (OSError, TimeoutError):
            attempt.opening = None
            self._transport.open -= 1
            self._connect_failed(attempt)
            return
        finally:
            if connection is None and sock is not None:
                sock.close()
        # its own attempt first, so that none is left waiting without a connection being opened for it
        if attempt not in self.waiting:
            self.return_connection(connection)
        elif connection.usable():
            self.waiting.remove(attempt)
            connection.start(attempt)
        else:
            connection.close()
            self._connect_failed(attempt)

    def _open_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():  # possibly before its first step, so that it did not count itself
            self._transport.open -= 1

    def _connect_failed(self, attempt: HttpAttempt) -> None:
        if attempt in self.waiting:  # else it was given another connection
            self.waiting.remove(attempt)
            self.ended(attempt, Outcome.CONNECT_FAILED, None)

    def withdraw(self, attempt: HttpAttempt) -> None:
        """Cancels an attempt that was not sent, and the connection being opened for it."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
        if attempt.opening is not None:
            attempt.opening.cancel()
            attempt.opening = None  # breaks a reference cycle through the task's exception

    def return_connection(self, connection: Connection) -> None:
        """Takes a free connection back; after REUSE_DELAY_S, the longest waiting attempt gets it."""
        if self.retired and not self.waiting:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)
        if self.waiting:
            asyncio.get_running_loop().call_later(REUSE_DELAY_S + 0.001, self._serve_waiting)

    def _serve_waiting(self) -> None:
        while self.waiting and (connection := self._reusable(self.waiting[0])) is not None:
            connection.start(self.waiting.popleft())
        if self.retired:
            self.retire()

    def connection_reset(self, idle_s: float, took_s: float) -> None:
        """Handles a reset of a connection during a request that followed an idle time."""
        if took_s < STALE_RESET_S:
            self._transport.idle_connection_reset(idle_s)

    def connection_served(self, idle_s: float) -> None:
        """Handles a successful response on a connection that had been idle for this time."""
        self._transport.idle_connection_served(idle_s)

    def ended(self, attempt: HttpAttempt, outcome: Outcome, response: Response | None) -> None:
        attempt.connection = None
        if not attempt.over:
            attempt.over = True
            self._transport.ended(attempt, outcome, response)

    def remove(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self._transport.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float) -> None:
        """Closes connections that have been idle since before the given time."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].close()

    def retire(self) -> None:
        """Handles the removal of the backend: active requests continue, idle connections are closed."""
        self.retired = True
        while not self.waiting and self.idle:
            self.idle[0].close()


class HttpTransport:
    """The connections to all backends of a pool, within a limit on their number."""

    def __init__(
        self,
        max_open: int,
        connect_timeout_s: float,
        idle_s: float,
        ended: OnAttemptEnded,
        max_answer: int = MAX_BODY,
        lag: EventLoopLag | None = None,
        streams: StreamReports | None = None,
        classify: ResponseClassifier = classify_response,
    ) -> None:
        """Creates a transport without backends.

        Args:
            classify: determines the outcome of an attempt from its response.
        """
        self.classify = classify
        self.streams = streams or NoStreams()
        self.max_answer = max_answer  # bytes of a response body
        self.lag = lag or EventLoopLag()
        self.max_open, self.connect_timeout_s, self._idle_s = (
            max_open,
            connect_timeout_s,
            idle_s * IDLE_TIMEOUT_FRACTION,
        )
        self.reuse_limit_s = self._idle_s  # maximum idle time of a connection that is reused
        self._proven_idle_s, self._proven_at = 0.0, -inf  # longest proven idle time, and when
        self.ended = ended
        self.open = 0  # connections, including those being opened
        self.pools = BackendPools(lambda endpoint, up_since_ms: Pool(endpoint, self, up_since_ms))

    def set_timeouts(self, connect_timeout_s: float, idle_s: float) -> None:
        """Sets the connect timeout and the backends' idle timeout, in seconds."""
        self.connect_timeout_s, self._idle_s = connect_timeout_s, idle_s * IDLE_TIMEOUT_FRACTION
        self.reuse_limit_s = min(self.reuse_limit_s, self._idle_s)

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float = 0.0) -> None:
        """Adds a backend, or replaces its pool if it has moved or restarted."""
        self.pools.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Retires the pools of backends that are listed as gone or missing from a full list."""
        self.pools.follow(update)

    def endpoints(self) -> Iterator[tuple[BackendId, Address, float]]:
        """Yields each backend with its address and start time."""
        for backend, pool in self.pools.by_backend.items():
            yield backend, pool.endpoint, pool.up_since_ms

    new_attempt = HttpAttempt

    def start(self, attempt: HttpAttempt) -> None:
        """Starts an attempt; its outcome is reported later, never within this call."""
        self.pools.by_backend[attempt.backend].start(attempt)

    def give_up(self, attempt: HttpAttempt) -> None:
        """Cancels an attempt: no outcome is reported, and its connection is closed."""
        attempt.over = True
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.close()
        elif attempt.pool is not None:
            attempt.pool.withdraw(attempt)

    def make_room(self) -> bool:
        """Counts a new connection; at the limit, closes the one that has been idle for longest.

        Returns false if the limit is reached and no connection is idle.
        """
        if self.open >= self.max_open:
            longest = min(
                (p.idle[0] for p in self.pools.by_backend.values() if p.idle),
                key=lambda c: c.idle_since,
                default=None,
            )
            if longest is None:
                return False
            longest.close()
        self.open += 1
        return True

    def idle_connection_reset(self, idle_s: float) -> None:
        """Lowers the reuse limit after a connection failed that had been idle for this time.

        A middlebox may drop connections long before the backend closes them, and a non-repeatable request on
        such a connection is lost. If another connection of that age has just worked, one reset is ignored: a
        gateway with little traffic would otherwise lose all its connections after a few resets, and needs
        hundreds of successful responses to raise the limit again.
        """
        proven = idle_s <= self._proven_idle_s
        self._proven_idle_s = 0.0  # the next reset in a row counts
        if proven and asyncio.get_running_loop().time() - self._proven_at < REUSE_PROOF_S:
            return
        self.reuse_limit_s = max(MIN_REUSE_S, min(self.reuse_limit_s, idle_s) * REUSE_DECREASE)

    def idle_connection_served(self, idle_s: float = 0.0) -> None:
        """Raises the reuse limit gradually after a connection worked that had been idle for this time."""
        now = asyncio.get_running_loop().time()
        if idle_s >= self._proven_idle_s or now - self._proven_at >= REUSE_PROOF_S:
            self._proven_idle_s, self._proven_at = idle_s, now
        self.reuse_limit_s = min(self._idle_s, self.reuse_limit_s * REUSE_INCREASE)

    def sweep(self) -> None:
        """Closes idle connections before the backends do, since a request that crosses a close is reset."""
        before = asyncio.get_running_loop().time() - self._idle_s
        for pool in self.pools.by_backend.values():
            pool.close_idle(before)

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self.pools.by_backend.values():
            pool.retire()
