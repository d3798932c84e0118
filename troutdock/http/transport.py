"""Attempts on backends: connection pools, and what came of each attempt."""

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
from troutdock.overload.lag import Lag

log = logging.getLogger("troutdock")

REUSE_DELAY_S = 0.005  # before a connection is used again: by then what stands behind an answer has come too
# bytes that the kernel holds of an answer, and so those of one read: each client that is slower than its
# backend costs one read, beside what is written to it. Measured with 300 of them: 180 KiB each (280 without).
RECEIVE_BUFFER_BYTES = 64 * 1024
STALL_S = 0.3  # a response that has begun and brings nothing for so long is not completed any more
ONCE_STALL_S = 2.0  # the same where nothing else can be tried: a backend may stand still for half a second
STREAM_STALL_S = 5.0  # the same for one that is passed on as it comes, which can't be tried again
STALE_RESET_S = 0.02  # a reset so soon after the request tells that the connection had ended unseen before it
MIN_REUSE_S = 0.03  # a connection may be used again for so long after its last answer at least
NON_REPEATABLE_REUSE_S = 1.0  # with less than that, what may not be repeated gets a new connection
REUSE_DECREASE, REUSE_INCREASE = 0.8, 1.02  # what a stale connection and a good answer do to that time
REUSE_PROOF_S = 10.0  # for so long one that served after standing idle proves that others of its age can
IDLE_TIMEOUT_FRACTION = (
    0.6  # of the backends' idle limit: a connection idle for longer is dropped, well before they do
)
_KEEP_ALIVE = re.compile(rb"(?:^|[,;\s])timeout=(\d{1,6})", re.I)
_USUAL = ProtocolTraits()


class HttpAttempt(Attempt):
    """An attempt over HTTP/1.1, and where it is on its way."""

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
        # in place of the base's own, as each request makes one
        self.owner, self.index, self.backend, self.started = owner, index, backend, started
        self.message, self.repeatable = message, repeatable
        self.over = self.streams = False
        self.lag_ms = 0.0
        self.pool: Pool | None = None  # the one that it waits in, or was written in
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None  # only while that can be cancelled

    @property
    def traits(self) -> ProtocolTraits:
        """What may be taken for granted of the backend."""
        return self.owner.request.traits if self.owner is not None else _USUAL

    @property
    def request_id(self) -> bytes:
        """What answers name it by; nothing where they don't."""
        return self.owner.request.id if self.owner is not None and self.traits.responses_name_request else b""


OnAttemptEnded = Callable[[HttpAttempt, Outcome, Response | None], None]
ResponseClassifier = Callable[[HttpAttempt | None, Response], Outcome | None]


class NoStreams:
    """For who takes whole answers only."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool:
        return False

    def answer_more(self, attempt: Attempt, data: bytes) -> None:
        pass


class StreamReports(Protocol):
    """Who is told of answers that come in pieces: a part of engine.Reports."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool: ...

    def answer_more(self, attempt: Attempt, data: bytes) -> None: ...


def classify_response(attempt: HttpAttempt | None, response: Response) -> Outcome:
    """The protocol's table for answers; a status that it does not name may have run.

    A verdict may also be None: the response is not the attempt's, and its own is still to come.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(b"not-started", b"") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


class Connection(asyncio.Protocol):
    """A connection to a backend; it carries one attempt at a time."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.attempt: HttpAttempt | None = None
        self.idle_since = 0.0  # nought before its first answer
        self.keep_alive_s = inf  # it may stand idle for so long, by the backend's last word
        self.last_request_id = b""  # the name of the request that it carried last: its answer may come again
        self._started = 0.0  # when the attempt was written
        self._first_byte_at = (
            0.0  # when the first bytes of its answer came, if the last did not come with them
        )
        self._reader = ResponseReader(pool.max_answer)
        self._sent = self._written = False  # a byte of the request may have left; all of it has
        self._response_started = False  # a byte has come since
        self._closed = False
        self._unmatched_response = False  # an answer has come that belongs to no request
        self._streaming = self._paused = False  # passed on as it comes; not read for now
        self._stall_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by name
        # with no room to buffer, resume_writing tells when the kernel has the last byte
        self._transport.set_write_buffer_limits(high=0)

    def start(self, attempt: HttpAttempt) -> None:
        """Write the request; from its last byte on it may run, from its first where nobody says otherwise."""
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
            # a backend begins with the last byte, and when it has read that can't be seen here
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
        """Guards against handing out a connection that the peer has closed but the loop has not yet read."""
        if self._closed or self._transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed, or bytes that nobody asked for

    def data_received(self, data: bytes) -> None:
        self._response_started = True
        try:
            responses = self._reader.feed_responses(data)
            if self.attempt is None:
                raise BadResponse("bytes without a request")
        except BadResponse as error:
            self._protocol_error(error)
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        for number, response in enumerate(responses, 1):
            if self.pool.lag.notable and number == 1:
                # guards against taking this process's own lateness for the backend's slowness
                self.attempt.lag_ms += ms_since_last_data(self.sock)
            # an answer before the request's last byte leaves a connection nobody can use again
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
            self._unmatched_response, self._first_byte_at = (
                True,
                0.0,
            )  # what belongs to no request: the attempt's is to come
        if self._reader.trailing_garbage:
            self._protocol_error(BadResponse("no response behind one of another request"))
            return
        if not self._reader.in_message:  # an interim response, or another's: the backend is at work
            self._first_byte_at = 0.0
            return
        if not self._first_byte_at:
            self._first_byte_at = asyncio.get_running_loop().time()
        if self._reader.should_stream:
            if not self._streaming:
                outcome = self.pool.classify(self.attempt, self._reader.head())
                if outcome is None:
                    self._reader.take_body()  # another's, of which nobody needs to hold the body
                elif outcome is not Outcome.OK:
                    self.close()  # what its head says of it holds whatever follows
                    self._conclude(outcome, None, False)
                    return
                else:
                    self._streaming = True
                    self._add_transfer_lag()
                    if not self.pool.streams.answer_began(self.attempt, self._reader.head(), self):
                        self.close()  # another answer is the client's
                        return
            if self._streaming:
                self.pool.streams.answer_more(self.attempt, self._reader.take_body())
        self._start_stall_timer()

    def _protocol_error(self, error: BadResponse) -> None:
        log.warning("backend %s: %s", self.pool.endpoint, error)
        self.close()
        self._fail()

    def _add_transfer_lag(self) -> None:
        """From the answer's first bytes on the work was done, and its way took the rest."""
        if self.attempt is not None and self._first_byte_at:
            self.attempt.lag_ms += (asyncio.get_running_loop().time() - self._first_byte_at) * 1000

    def _start_stall_timer(self) -> None:
        """Guards against a length that does not fit: the rest never comes, and the connection stays open."""
        attempt = self.attempt
        if not (self._paused or self._closed) and self._stall_timer is None:
            until_deadline = attempt is not None and not attempt.traits.stall_timeout_applies
            if self._streaming:
                after_s = STREAM_STALL_S
                if (
                    until_deadline and attempt is not None
                ):  # its deadline holds for its beginning only, elsewhere
                    left_s = (attempt.owner.expires_ms - attempt.started) / 1000
                    after_s = max(after_s, self._started + left_s - asyncio.get_running_loop().time())
            elif attempt is not None and not attempt.repeatable:
                if until_deadline:
                    return  # nothing else can be tried: until its deadline
                after_s = ONCE_STALL_S
            else:
                after_s = STALL_S
            self._stall_timer = asyncio.get_running_loop().call_later(after_s, self._on_stall)

    def pause(self) -> None:
        """The client reads more slowly than the backend writes: what is held for it has a bound."""
        if not self._paused and not self._closed:
            self._paused = True
            self._transport.pause_reading()
            if self._stall_timer is not None:
                self._stall_timer.cancel()
                self._stall_timer = None

    def resume(self) -> None:
        """The client has read."""
        if self._paused and not self._closed:
            self._paused = False
            self._transport.resume_reading()
            self._start_stall_timer()

    def _on_stall(self) -> None:
        log.warning("backend %s: a response stopped half way", self.pool.endpoint)
        self.close()
        self._fail()

    def eof_received(self) -> None:
        """No more will come; a request that is still being written has nobody who reads it."""
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
        """The connection is of no more use: what was under way may have run once it was written whole.

        With an answer begun, or where backends may begin earlier: from its first byte on.
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
        """Close at once; nothing more is read, and the attempt that it carried goes with it."""
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
        self.idle: deque[Connection] = deque()  # the most recently used last
        self.waiting: deque[HttpAttempt] = deque()  # attempts whose connection is not up yet
        self.retired = False

    def start(self, attempt: HttpAttempt) -> None:
        """Write the attempt on the connection used last, or on a new one."""
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
            # guards the limit on sockets: without one the connection never comes up
            asyncio.get_running_loop().call_soon(self._connect_failed, attempt)

    def _reusable(self, attempt: HttpAttempt) -> Connection | None:
        """The connection used last among those that may be used again.

        Not one that carried a request of the same name: that one's answer, come again, would pass for this
        one's.
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
        # its own attempt first: guards against one left waiting with no connection coming up for it
        if attempt not in self.waiting:
            self.return_connection(connection)
        elif connection.usable():
            self.waiting.remove(attempt)
            connection.start(attempt)
        else:
            connection.close()
            self._connect_failed(attempt)

    def _open_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():  # perhaps before its first step, so that it could not tell by itself
            self._transport.open -= 1

    def _connect_failed(self, attempt: HttpAttempt) -> None:
        if attempt in self.waiting:  # else another connection has come free for it
            self.waiting.remove(attempt)
            self.ended(attempt, Outcome.CONNECT_FAILED, None)

    def withdraw(self, attempt: HttpAttempt) -> None:
        """An attempt that has not been written is waited for no longer, nor is a connection for it."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
        if attempt.opening is not None:
            attempt.opening.cancel()
            attempt.opening = None  # its error will hold the frame, and that the attempt

    def return_connection(self, connection: Connection) -> None:
        """A connection is free: once it has rested, the attempt that has waited longest gets it."""
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
        """A connection was reset under a request that it got after standing idle."""
        if took_s < STALE_RESET_S:
            self._transport.idle_connection_reset(idle_s)

    def connection_served(self, idle_s: float) -> None:
        """A good answer on a connection that had stood idle for so long: trust in such comes back."""
        self._transport.idle_connection_served(idle_s)

    def ended(self, attempt: HttpAttempt, outcome: Outcome, response: Response | None) -> None:
        attempt.connection = None
        if not attempt.over:
            attempt.over = True
            self._transport.ended(attempt, outcome, response)

    def remove(self, connection: Connection) -> None:
        """A connection closes."""
        self._transport.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: float) -> None:
        """Close what has stood idle since before that time."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].close()

    def retire(self) -> None:
        """The backend has left: what is under way goes on, nothing is kept for later."""
        self.retired = True
        while not self.waiting and self.idle:
            self.idle[0].close()


class HttpTransport:
    """All backends that the gateway may name, within a bound on the connections to them."""

    def __init__(
        self,
        max_open: int,
        connect_timeout_s: float,
        idle_s: float,
        ended: OnAttemptEnded,
        max_answer: int = MAX_BODY,
        lag: Lag | None = None,
        streams: StreamReports | None = None,
        classify: ResponseClassifier = classify_response,
    ) -> None:
        """verdict: what an answer means for its attempt."""
        self.classify = classify
        self.streams = streams or NoStreams()
        self.max_answer = max_answer  # bytes of a body
        self.lag = lag or Lag()
        self.max_open, self.connect_timeout_s, self._idle_s = (
            max_open,
            connect_timeout_s,
            idle_s * IDLE_TIMEOUT_FRACTION,
        )
        self.reuse_limit_s = self._idle_s  # how long a connection may have stood idle to be used again
        self._proven_idle_s, self._proven_at = (
            0.0,
            -inf,
        )  # the longest that one stood idle and served, and when
        self.ended = ended
        self.open = 0  # connections, those coming up among them
        self.pools = BackendPools(lambda endpoint, up_since_ms: Pool(endpoint, self, up_since_ms))

    def set_timeouts(self, connect_timeout_s: float, idle_s: float) -> None:
        """Other times from now on: for a connection to come up, and until backends close an idle one."""
        self.connect_timeout_s, self._idle_s = connect_timeout_s, idle_s * IDLE_TIMEOUT_FRACTION
        self.reuse_limit_s = min(self.reuse_limit_s, self._idle_s)

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float = 0.0) -> None:
        """A backend is at this address, perhaps a new one, or one that has started anew."""
        self.pools.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """Whatever the list says has left, or a whole one does not name, has left."""
        self.pools.follow(update)

    def endpoints(self) -> Iterator[tuple[BackendId, Address, float]]:
        """Where each backend is, and since when it is up."""
        for backend, pool in self.pools.by_backend.items():
            yield backend, pool.endpoint, pool.up_since_ms

    new_attempt = HttpAttempt

    def start(self, attempt: HttpAttempt) -> None:
        """Begin an attempt; its outcome comes later, never within this call."""
        self.pools.by_backend[attempt.backend].start(attempt)

    def give_up(self, attempt: HttpAttempt) -> None:
        """Stop waiting: no outcome comes any more, and its connection is not used again."""
        attempt.over = True
        if attempt.connection is not None:
            attempt.connection.attempt = None
            attempt.connection.close()
        elif attempt.pool is not None:
            attempt.pool.withdraw(attempt)

    def make_room(self) -> bool:
        """Count a new connection; at the bound the longest idle one of all has to make room for it."""
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
        """A connection that had stood idle for so long was of no use: others of its age won't be either.

        Something on the way may forget connections long before the backend closes them, and then a request
        that may not be repeated is lost. Where another as old has served just now its age is not to blame,
        for once: guards a gateway with little traffic against giving up all its connections for a few resets,
        as it needs hundreds of good answers to trust them again.
        """
        proven = idle_s <= self._proven_idle_s
        self._proven_idle_s = 0.0  # the next one in a row counts
        if proven and asyncio.get_running_loop().time() - self._proven_at < REUSE_PROOF_S:
            return
        self.reuse_limit_s = max(MIN_REUSE_S, min(self.reuse_limit_s, idle_s) * REUSE_DECREASE)

    def idle_connection_served(self, idle_s: float = 0.0) -> None:
        """Try longer standing ones, little by little; one that had stood idle for so long has served."""
        now = asyncio.get_running_loop().time()
        if idle_s >= self._proven_idle_s or now - self._proven_at >= REUSE_PROOF_S:
            self._proven_idle_s, self._proven_at = idle_s, now
        self.reuse_limit_s = min(self._idle_s, self.reuse_limit_s * REUSE_INCREASE)

    def sweep(self) -> None:
        """Drop connections before the backends do: a request that crosses their close ends as a reset."""
        before = asyncio.get_running_loop().time() - self._idle_s
        for pool in self.pools.by_backend.values():
            pool.close_idle(before)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.by_backend.values():
            pool.retire()
