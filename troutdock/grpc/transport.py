"""Calls to nodes over HTTP/2: connections with many streams each, and what came of each call.

A node has one connection as long as that has room for a stream, and up to CONNECTIONS. Nothing is ever sent
twice here: what never ran is told the engine as such, and the decision module says who gets it next.

    opening   its first calls wait for it, together; those that find no room are told so (FULL)
    up        takes calls, as many as the node allows
    leaving   the node has said GOAWAY, its pool has retired, or it has been silent: what is under way goes on
    closed    what was under way may have run, but for streams that the node had said it never took
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
from troutdock.grpc.protocol import OF_HTTP, Ended, Status, outcome_of, read_end
from troutdock.grpc.request import GrpcMessage
from troutdock.grpc.socket_connection import Wire
from troutdock.http.socket_info import ms_since_last_data
from troutdock.http.backend_pools import BackendPools
from troutdock.http.transport import IDLE_TIMEOUT_FRACTION, ONCE_STALL_S, STALL_S
from troutdock.http2.connection import LOW, Connection, Stream
from troutdock.http2.frames import Code
from troutdock.http2.headers import Headers
from troutdock.overload.lag import Lag

log = logging.getLogger("troutdock")

CONNECTIONS = 4  # to one node: each carries some hundred calls at once
STREAMS, FIRST_STREAMS = 1000, 100  # of one connection, where the node allows more; until it has said
WINDOW = 32 * 1024  # bytes of one answer on their way: what a slow client holds up here
CONNECTION_WINDOW = 1 << 20
HELD = 64 * 1024  # bytes of an answer that is held whole; a longer one is passed on as it comes
REUSE_DELAY_S = 5.0  # what may not be repeated goes on no connection that has been silent for longer
SILENT_S = 1.0  # a call given up after hearing nothing for so long shows a connection that is dead


class StreamReports(Protocol):
    """Who is told of answers: engine.Reports."""

    def answer_began(self, attempt: Attempt, head: Any = None, flow: Flow | None = None) -> bool: ...

    def answer_more(self, attempt: Attempt, data: bytes) -> None: ...

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Ended | None) -> None: ...


class Room(Protocol):
    """The bound on connections to backends, of whatever protocol."""

    open: int

    def make_room(self) -> bool: ...


class GrpcAttempt(Attempt):
    """A call on one node; engine.Flow of its answer, and the sink of its messages."""

    __slots__ = (
        "body",
        "connection",
        "head",
        "passed",
        "paused",
        "pool",
        "size",
        "stalled",
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
        self.pool: Pool | None = None
        self.connection: NodeConnection | None = None
        self.stream: Stream | None = None
        self.head: Headers | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.passed = self.paused = False  # its answer goes on as it comes; the client does not take it now
        self.uncredited = 0  # bytes that have come while it was paused
        self.stalled: asyncio.TimerHandle | None = None

    # ---- engine.Flow

    def pause(self) -> None:
        """The client is slower than its node."""
        self.paused = True

    def resume(self) -> None:
        """It reads on."""
        self.paused = False
        if self.uncredited and self.connection is not None and self.stream is not None:
            size, self.uncredited = self.uncredited, 0
            self.connection.h2.consumed(self.stream, size)
            self.connection.flush()

    # ---- request.Sink

    def send(self, data: bytes, end: bool) -> None:
        """More of the client's messages."""
        if self.connection is not None and self.stream is not None:
            self.connection.h2.send_data(self.stream, data, end)
            self.connection.flush()

    @property
    def full(self) -> bool:
        """The node has not taken what is queued."""
        return self.stream is None or self.stream.queued > LOW


class NodeConnection(Wire):
    """A connection to a node; http2.Handler."""

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        now = asyncio.get_running_loop().time()
        self.h2 = Connection(True, self, now, 0, WINDOW, CONNECTION_WINDOW)
        self.leaving = self._closed = False
        self.told = False  # the node's settings are here
        self.heard_at = now
        self.idle_since = now

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.flush()

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        if why := self.read(data, self.heard_at):
            log.warning("node %s: %s", self.pool.endpoint, why)
            self.close()
        elif self.leaving and not self.h2.streams:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    # ---- calls

    @property
    def room(self) -> int:
        """How many calls more it takes."""
        if self.leaving or self._closed or self.h2.exhausted:
            return 0
        return min(self.h2.peer_streams, STREAMS if self.told else FIRST_STREAMS) - len(self.h2.streams)

    def usable(self) -> bool:
        """Guards against a connection that the node has closed, which the loop has not read yet."""
        if self._closed or self.transport is None or self.transport.is_closing():
            return False
        if self.h2.streams:
            return True  # what comes is read
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def start(self, attempt: GrpcAttempt) -> None:
        """Write the call; from its headers on it may run."""
        message: GrpcMessage = attempt.message
        request = message.request
        attempt.connection = self
        stream = attempt.stream = self.h2.open(attempt, asyncio.get_running_loop().time())
        self.h2.send_headers(stream, message.headers())
        if request.upload is not None:
            attempt.lag_ms = inf  # what is the client's time, and what its node's, can't be told
            self.flush()
            if not request.upload.attach(attempt):
                # its first messages are not here any more: nothing that could be sent would be the call
                self._drop(attempt, Code.CANCEL)
                asyncio.get_running_loop().call_soon(self.pool.ended, attempt, Outcome.ERROR, None)
            return
        for piece in request.body[:-1]:
            self.h2.send_data(stream, piece)
        self.h2.send_data(stream, request.body[-1] if request.body else b"", True)
        if stream.queued:
            attempt.lag_ms = inf
        self.flush()

    def give_up(self, attempt: GrpcAttempt) -> None:
        """Tell the node that nobody waits."""
        now = asyncio.get_running_loop().time()
        stream = attempt.stream
        if stream is not None and self.heard_at <= stream.opened_at < now - SILENT_S:
            self.leaving = True  # nothing at all has come since: the way may be cut
        self._drop(attempt, Code.CANCEL)
        self.flush()
        if self.leaving and not self.h2.streams:
            self.close()

    def _drop(self, attempt: GrpcAttempt, code: int) -> None:
        if attempt.stream is not None:
            attempt.stream.owner = None
            self.h2.reset(attempt.stream, code)
            self._rests()
        self._let_go(attempt)

    def _let_go(self, attempt: GrpcAttempt) -> None:
        attempt.connection = attempt.stream = None
        if attempt.stalled is not None:
            attempt.stalled.cancel()
            attempt.stalled = None

    def _rests(self) -> None:
        if not self.h2.streams:
            self.idle_since = asyncio.get_running_loop().time()
        self.pool.freed()

    def _conclude(self, attempt: GrpcAttempt, outcome: Outcome, answer: Ended | None) -> None:
        """The one outcome; answer: how the node has ended it."""
        stream = attempt.stream
        if stream is not None:
            stream.owner = None
        self._let_go(attempt)
        request = attempt.message.request
        if answer is not None:
            request.last = answer
            answer.body = attempt.body
        if outcome is Outcome.OK and self.pool.lag.notable:
            attempt.lag_ms += ms_since_last_data(self.sock)
        self.pool.ended(attempt, outcome, answer if outcome is Outcome.OK else None)
        self._rests()

    # ---- http2.Handler

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """A node's head, or its trailers."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is None:
            return
        if attempt.head is not None:
            if end:
                self._trailers(attempt, headers)
            else:
                self._spoilt(attempt, "a second head")
            return
        status = next((value for name, value in headers if name == b":status"), b"")
        if len(status) == 3 and status[:1] == b"1" and not end:
            return  # an interim answer
        head = [pair for pair in headers if pair[0][:1] != b":"]
        kind = next((value for name, value in head if name == b"content-type"), b"")
        if status != b"200" or not kind.startswith(b"application/grpc"):
            self._no_grpc(attempt, status, head)
        elif end:
            attempt.head = []
            self._trailers(attempt, head)
        else:
            attempt.head = head

    def _no_grpc(self, attempt: GrpcAttempt, status: bytes, head: Headers) -> None:
        """HTTP without gRPC: an error of what stands before the node, or in its place."""
        number = int(status) if status.isdigit() else 0
        not_started = number in (503, 504) and (b"not-started", b"1") in head
        said = OF_HTTP.get(number, Status.UNKNOWN)
        answer = Ended(said, b"HTTP status %d" % number, not_started=not_started, http=True)
        stream = attempt.stream
        outcome = outcome_of(answer)
        self._conclude(attempt, outcome, answer)
        if stream is not None and not stream.peer_ended:
            self.h2.reset(stream, Code.CANCEL)

    def _trailers(self, attempt: GrpcAttempt, trailers: Headers) -> None:
        answer = read_end(trailers, attempt.head or [], attempt.body)
        outcome = outcome_of(answer)
        if attempt.passed and outcome is Outcome.FULL:
            outcome = Outcome.ERROR  # it says so behind a message: that has run
        self._conclude(attempt, outcome, answer)

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """A piece of its messages."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is None or attempt.head is None:
            self.h2.consumed(stream, len(data))
            if attempt is not None:
                self._spoilt(attempt, "messages without a head")
            return
        if attempt.stalled is not None:
            attempt.stalled.cancel()
            attempt.stalled = None
        attempt.size += len(data)
        if attempt.passed:
            self._pass_on(attempt, data)
        elif data:
            attempt.body.append(data)
            self.h2.consumed(stream, len(data))
            if attempt.streams and (attempt.message.request.kind.streams or attempt.size > HELD):
                self._begin(attempt)
            elif attempt.size > self.pool.max_answer:
                self._spoilt(attempt, "a message beyond the bound")
        if end and stream.owner is attempt:
            self._spoilt(attempt, "no trailers", ended=True)
        elif attempt.stream is not None and not attempt.passed and attempt.stalled is None:
            after_s = STALL_S if attempt.repeatable else ONCE_STALL_S
            attempt.stalled = asyncio.get_running_loop().call_later(
                after_s, self._spoilt, attempt, "an answer stopped half way"
            )

    def _begin(self, attempt: GrpcAttempt) -> None:
        """From here on it is the client's, and can't be tried again."""
        attempt.passed = True
        if attempt.stalled is not None:
            attempt.stalled.cancel()
            attempt.stalled = None
        head = Ended(0, head=attempt.head or [])
        if not self.pool.reports.answer_began(attempt, head, attempt):
            self._drop(attempt, Code.CANCEL)  # another answer is the client's
            return
        pieces, attempt.body = attempt.body, []
        for piece in pieces:
            self.pool.reports.answer_more(attempt, piece)

    def _pass_on(self, attempt: GrpcAttempt, data: bytes) -> None:
        self.pool.reports.answer_more(attempt, data)
        if attempt.stream is None:
            return
        if attempt.paused:
            attempt.uncredited += len(data)
        else:
            self.h2.consumed(attempt.stream, len(data))

    def _spoilt(self, attempt: GrpcAttempt, why: str, ended: bool = False) -> None:
        """What came is no answer; it may have run."""
        log.warning("node %s: %s", self.pool.endpoint, why)
        stream = attempt.stream
        self._conclude(attempt, Outcome.RESET, None)
        if stream is not None and not ended:
            self.h2.reset(stream, Code.CANCEL)
        self.flush()

    def on_reset(self, stream: Stream, code: int) -> None:
        """The node ends it without a status."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is not None:
            never = code == Code.REFUSED_STREAM and not attempt.passed
            self._conclude(attempt, Outcome.FULL if never else Outcome.RESET, None)

    def on_drained(self, stream: Stream) -> None:
        """The node has taken what was queued for it."""
        attempt: GrpcAttempt | None = stream.owner
        if attempt is not None and attempt.message.request.upload is not None:
            attempt.message.request.upload.more()

    def on_settings(self) -> None:
        """The node may take more calls now, or fewer."""
        self.told = True
        self.pool.freed()

    def on_goaway(self, last: int, code: int) -> None:
        """No more calls here; those above the last one never ran."""
        self.leaving = True
        for stream in list(self.h2.streams.values()):
            if stream.id > last and stream.owner is not None:
                attempt: GrpcAttempt = stream.owner
                self.h2.streams.pop(stream.id, None)
                self._conclude(attempt, Outcome.CONNECT_FAILED, None)
        self.pool.forget(self)

    def on_pong(self) -> None:
        """Nothing was asked."""

    def close(self) -> None:
        """Close at once; what is under way may have run."""
        if self._closed:
            return
        self._closed = True
        if self.transport is not None:
            self.transport.close()
        self.pool.closed(self)
        streams, self.h2.streams = self.h2.streams, {}
        for stream in streams.values():
            if stream.owner is not None:
                self._conclude(stream.owner, Outcome.RESET, None)


class Pool:
    """The connections to one node."""

    def __init__(self, endpoint: Address, nodes: GrpcTransport, up_since_ms: float) -> None:
        self.endpoint, self._nodes, self.up_since_ms = endpoint, nodes, up_since_ms
        self.reports, self.lag, self.max_answer = nodes.reports, nodes.lag, nodes.max_answer
        self.connections: list[NodeConnection] = []  # that take calls
        self._rest: list[NodeConnection] = []  # that are leaving
        self._waiting: deque[GrpcAttempt] = deque()
        self._opening: asyncio.Task[None] | None = None
        self.retired = False

    def start(self, attempt: GrpcAttempt) -> None:
        """Write the call on a connection with room, or on a new one."""
        attempt.pool = self
        if (connection := self._fitting(attempt)) is not None:
            connection.start(attempt)
            return
        self._waiting.append(attempt)
        self._open()

    def _fitting(self, attempt: GrpcAttempt) -> NodeConnection | None:
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.room > 0:
                silent = not connection.h2.streams and connection.heard_at < now - REUSE_DELAY_S
                if connection.usable() and (attempt.repeatable or not silent):
                    return connection
                connection.leaving = True
                self.forget(connection)
                if not connection.h2.streams:
                    connection.close()
        return None

    def _open(self) -> None:
        """One more, for all that wait; where there can't be one, they are told that the node is full."""
        if self._opening is not None:
            return
        loop = asyncio.get_running_loop()
        if len(self.connections) < CONNECTIONS and self._nodes.room.make_room():
            self._opening = loop.create_task(self._connect())
        else:
            loop.call_soon(self._none, Outcome.FULL)

    async def _connect(self) -> None:
        loop, room = asyncio.get_running_loop(), self._nodes.room
        sock = connection = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._nodes.connect_timeout_s):
                await loop.sock_connect(sock, self.endpoint)
            made = sock
            _, connection = await loop.create_connection(lambda: NodeConnection(self, made), sock=sock)
        except (OSError, TimeoutError):
            room.open -= 1
            self._opening = None
            self._none(Outcome.CONNECT_FAILED)
            return
        except asyncio.CancelledError:
            room.open -= 1
            raise
        finally:
            if connection is None and sock is not None:
                sock.close()
        self._opening = None
        self.connections.append(connection)
        self.freed()
        if self.retired:  # meanwhile, and only what had waited for it may use it
            self.retire()

    def _none(self, outcome: Outcome) -> None:
        """Nobody can take what waits."""
        if self._opening is None:
            waiting, self._waiting = self._waiting, deque()
            for attempt in waiting:
                self.ended(attempt, outcome, None)

    def freed(self) -> None:
        """A connection may have room: those that wait get it, the longest waiting first."""
        while self._waiting and (connection := self._fitting(self._waiting[0])) is not None:
            connection.start(self._waiting.popleft())
        if self._waiting:
            self._open()

    def leave(self, attempt: GrpcAttempt) -> None:
        """An attempt that has not been written is waited for no longer."""
        if attempt in self._waiting:
            self._waiting.remove(attempt)

    def ended(self, attempt: GrpcAttempt, outcome: Outcome, answer: Ended | None) -> None:
        """Told once, of what has not been given up."""
        if not attempt.over:
            attempt.over = True
            upload = attempt.message.request.upload
            if upload is not None:
                upload.detach()
            self.reports.attempt_ended(attempt, outcome, answer)

    def forget(self, connection: NodeConnection) -> None:
        """It takes no calls any more."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._rest.append(connection)

    def closed(self, connection: NodeConnection) -> None:
        """It is gone."""
        self.forget(connection)
        if connection in self._rest:
            self._rest.remove(connection)
        self._nodes.room.open -= 1

    def retire(self) -> None:
        """The node has left: what is under way goes on."""
        self.retired = True
        for connection in list(self.connections):
            connection.leaving = True
            self.forget(connection)
            if not connection.h2.streams:
                connection.close()
        if not self._waiting and self._opening is not None:
            self._opening.cancel()
            self._opening = None

    def sweep(self, before: float) -> None:
        """Close what has carried nothing since that time."""
        for connection in [*self.connections, *self._rest]:
            if not connection.h2.streams and (connection.idle_since < before or connection.leaving):
                connection.h2.goaway()
                connection.flush()
                connection.close()

    def close(self) -> None:
        """Close all."""
        self.retire()
        for connection in list(self._rest):
            connection.close()


class GrpcTransport:
    """All nodes that speak gRPC, within the bound on connections that all backends share."""

    def __init__(
        self,
        reports: StreamReports,
        room: Room,
        connect_timeout_s: float,
        idle_s: float,
        max_answer: int,
        lag: Lag,
    ) -> None:
        self.reports, self.room, self.lag = reports, room, lag
        self.connect_timeout_s, self.max_answer = connect_timeout_s, max_answer
        self.idle_s = idle_s * IDLE_TIMEOUT_FRACTION
        self.pools = BackendPools(lambda endpoint, up_since_ms: Pool(endpoint, self, up_since_ms))

    def place(self, backend: BackendId, endpoint: Address, up_since_ms: float = 0.0) -> None:
        """A node is at this address, perhaps a new one, or one that has started anew."""
        self.pools.place(backend, endpoint, up_since_ms)

    def follow(self, update: FleetUpdate) -> None:
        """The list has changed; what has left gets nothing new."""
        self.pools.follow(update)

    new_attempt: Callable[..., Attempt] = GrpcAttempt

    def start(self, attempt: GrpcAttempt) -> None:
        """Begin a call; its outcome comes later, never within this."""
        self.pools.by_backend[attempt.backend].start(attempt)

    def give_up(self, attempt: GrpcAttempt) -> None:
        """Stop waiting: no outcome comes any more, and the node is told."""
        attempt.over = True
        upload = attempt.message.request.upload
        if upload is not None:
            upload.detach()
        if attempt.connection is not None:
            attempt.connection.give_up(attempt)
        elif attempt.pool is not None:
            attempt.pool.leave(attempt)

    def sweep(self) -> None:
        """Drop connections before their nodes do."""
        before = asyncio.get_running_loop().time() - self.idle_s
        for pool in list(self.pools.by_backend.values()):
            pool.sweep(before)

    def shown(self) -> list[dict[str, Any]]:
        """Each node's connections, and the calls on them."""
        return [
            {
                "node": "{}:{}".format(*pool.endpoint),
                "connections": len(pool.connections),
                "calls": sum(len(c.h2.streams) for c in pool.connections),
            }
            for pool in self.pools.by_backend.values()
        ]

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.by_backend.values():
            pool.close()
