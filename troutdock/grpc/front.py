"""gRPC clients' connections: calls in, one final status out for each.

Theory of operation. A connection comes by the listener of HTTP/1.1, told apart by HTTP/2's preface, or by one
of its own, and holds one place of the same bound. Each stream is a call:

    collecting  its messages have not all come; a unary one is held whole, within the budget for bodies
    asked       the engine has it, and owes its one final status
    over        the status is out, or the client has given it up: nothing more is told

A connection that is to end (drain, out of service, a successor) says so with two GOAWAYs: one that refuses
nothing, and NOTICE_S later, when calls that had crossed it are here, the one that counts. What comes after is
refused unread, which clients may send elsewhere by themselves: it has not run.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from troutdock.admission.interface import RequestQueued
from troutdock.engine import BadRequest, Failure
from troutdock.grpc.exchange import HEAD, GrpcExchange
from troutdock.grpc.methods import Methods, Row
from troutdock.grpc.protocol import (
    OF_BAD_REQUEST,
    PREFIX,
    Status,
    ending,
    escaped,
    refusal,
    whole_messages,
)
from troutdock.grpc.request import Names, Reader, Upload
from troutdock.grpc.socket_connection import Wire
from troutdock.http.socket_info import received_ago_ms
from troutdock.http.body_limits import SMALL
from troutdock.http.connection import NOTICED_MS
from troutdock.http2.connection import Connection, Stream
from troutdock.http2.frames import Code, StreamError
from troutdock.http2.headers import Headers, split

if TYPE_CHECKING:
    from troutdock.http.listener import Server

log = logging.getLogger("troutdock")

STREAMS = 100  # of one connection at once, as gRPC's own servers take
WINDOW = 64 * 1024  # bytes that a call may send ahead of what is held of it
CONNECTION_WINDOW = 1 << 20
IDLE_S = 60.0  # a connection without calls is ended after this; one of HTTP/1.1, which is cheaper to open, 10
FIRST_S = 2.6  # until the first call, as for a first head in HTTP/1.1
NOTICE_S = 0.3  # between the two GOAWAYs: a way there and back on any network near by
STUCK_BYTES, STUCK_S = 256 * 1024, 10.0  # what and how long a client may leave unread
NO_ROOM_MS = 500.0  # when to come back with messages that found no room
_PSEUDO = frozenset((b":method", b":scheme", b":path", b":authority"))


class Front:
    """All gRPC connections, and what they share."""

    def __init__(self, server: Server, rows: tuple[Row, ...], names: Names, most_message: int) -> None:
        """ValueError names a row of the table that can't be."""
        self.server, self._rows, self._names, self.most_message = server, rows, names, most_message
        settings = server.engine.settings
        self._reader = Reader(Methods(rows, settings), settings, names)
        self.connections: dict[GrpcConnection, None] = {}
        self.taken = 0  # of them
        self.pool = 0  # of the nodes that calls go to

    @property
    def reader(self) -> Reader:
        """By the settings that hold now; rows of the table that don't fit them are left out."""
        settings = self.server.engine.settings
        if settings is not self._reader.settings:
            methods, wrong = Methods.fitting(self._rows, settings)
            for why in wrong:
                log.error("grpc: calls of a row are not taken any more: %s", why)
            self._reader = Reader(methods, settings, self._names)
        return self._reader

    def connection(self, sock: socket.socket | None) -> GrpcConnection:
        """One for a client that has shown the preface, or is about to."""
        return GrpcConnection(self, sock)


class GrpcConnection(Wire):
    """One client's connection; http2.Handler, and the listener's Other."""

    def __init__(self, front: Front, sock: socket.socket | None) -> None:
        self.front, self.sock = front, sock
        self.h2 = Connection(False, self, time.monotonic(), STREAMS, WINDOW, CONNECTION_WINDOW)
        self._calls: dict[int, GrpcExchange] = {}
        self._full_since = 0.0  # the client does not read, since then
        self._quiet_since = self._began = time.monotonic()
        self._leaving_at = 0.0
        self._any = False  # a call has come

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.sock is None:
            self.sock = transport.get_extra_info("socket")
        server = self.front.server
        server.others[self] = self.front.connections[self] = None
        self.front.taken += 1
        if server.leaving or server.availability.sends_away:
            self.go_away()
        self.flush()

    def data_received(self, data: bytes) -> None:
        if why := self.read(data, time.monotonic()):
            log.info("grpc: a client's connection ends: %s", why)
            self.close()
        elif (
            self.transport is not None
            and not self._calls
            and (self.transport.get_write_buffer_size() > STUCK_BYTES)
        ):
            self.abort()  # guards against one that wants answers to its PINGs and reads none

    def pause_writing(self) -> None:
        self._full_since = time.monotonic()

    def resume_writing(self) -> None:
        self._full_since = 0.0
        for exchange in list(self._calls.values()):
            exchange.drained()
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.server.forget_other(self)
        self.front.connections.pop(self, None)
        calls, self._calls = self._calls, {}
        for exchange in calls.values():
            self._withdraw(exchange)
        self.transport = None

    def now(self) -> float:
        """Milliseconds of the engine's clock."""
        return self.front.server.engine.clock.now()

    @property
    def full(self) -> bool:
        """The client does not read what is written."""
        return self._full_since > 0

    # ---- http2.Handler

    def on_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        """A call, or the trailers of one, which say nothing here."""
        exchange: GrpcExchange | None = stream.owner
        if exchange is not None:
            if not end:
                raise StreamError(Code.PROTOCOL_ERROR, "a second block of headers")
            self._messages(exchange, b"", True)
            return
        if stream.sent:
            return  # trailers of a call that has its answer
        self._any = True
        pseudo, metadata = split(headers, _PSEUDO)
        if len(pseudo) < 3 or not pseudo.get(b":path"):
            raise StreamError(Code.PROTOCOL_ERROR, "a request without method, scheme or path")
        kind = next((value for name, value in metadata if name == b"content-type"), b"")
        if not kind.startswith(b"application/grpc") or pseudo[b":method"] != b"POST":
            self._no_grpc(stream, pseudo, kind)
            return
        self._call(stream, pseudo, metadata, end)

    def _no_grpc(self, stream: Stream, pseudo: dict[bytes, bytes], kind: bytes) -> None:
        """HTTP/2 without gRPC: health is told, the rest is none (doc/PROTOCOL-HTTP2.md: 415)."""
        status = b"415" if kind or pseudo[b":method"] == b"POST" else b"404"
        if pseudo[b":path"] == b"/healthz" and pseudo[b":method"] == b"GET":
            status = b"200" if self.front.server.healthy else b"503"
        self.h2.send_headers(stream, [(b":status", status), (b"content-length", b"0")], True)

    def _call(self, stream: Stream, pseudo: dict[bytes, bytes], metadata: Headers, end: bool) -> None:
        server = self.front.server
        arrived = self.now()
        if server.lag.notable and self.sock is not None:
            arrived -= received_ago_ms(self.sock)  # the client's time runs from then on
        try:
            request = self.front.reader.read(pseudo[b":path"], pseudo.get(b":authority", b""), metadata)
        except BadRequest as error:
            self._deny(stream, OF_BAD_REQUEST.get(error.status, Status.INTERNAL), error.reason)
            return
        request.arrival.pool = self.front.pool
        exchange = GrpcExchange(self, stream, request, arrived)
        stream.owner = self._calls[stream.id] = exchange
        if request.kind.uploads:
            request.upload = Upload(lambda size: self._credit(stream, size))
            if end:
                request.upload.push(b"", True)
            self._ask(exchange)
        elif end:
            self._messages(exchange, b"", True)

    def _deny(self, stream: Stream, status: int, why: str) -> None:
        """It can't be taken in."""
        self._calls.pop(stream.id, None)
        self.h2.send_headers(stream, [*HEAD, *ending(status, escaped(why))], True)

    def on_data(self, stream: Stream, data: bytes, end: bool) -> None:
        """Messages of a call."""
        exchange: GrpcExchange | None = stream.owner
        if exchange is None or exchange.over:
            self.h2.consumed(stream, len(data))
            return
        self._messages(exchange, data, end)

    def _credit(self, stream: Stream, size: int) -> None:
        self.h2.consumed(stream, size)
        self.flush()

    def _messages(self, exchange: GrpcExchange, data: bytes, end: bool) -> None:
        """More of a call: a unary one is held until it is whole."""
        upload, stream, server = exchange.request.upload, exchange.stream, self.front.server
        if upload is not None:
            upload.push(data, end)
            return
        exchange.size += len(data)
        if exchange.size > self.front.most_message + PREFIX:
            self._give_up(exchange, Status.RESOURCE_EXHAUSTED, "the message is too long")
            return
        if exchange.size > SMALL and exchange.size > exchange.held:
            more = max(exchange.size - exchange.held, SMALL)
            if not server.bodies.take(more):
                self._refuse(exchange)
                return
            exchange.held += more
        if data:
            exchange.request.body.append(data)
            self.h2.consumed(stream, len(data))
        if not end:
            if exchange.deadline is None:
                exchange.time_messages(exchange.request.timeout_ms - (self.now() - exchange.arrived))
            return
        try:
            count = whole_messages(b"".join(exchange.request.body))
        except ValueError as error:
            self._give_up(exchange, Status.INTERNAL, str(error))
            return
        if count != 1:
            self._give_up(exchange, Status.UNIMPLEMENTED, f"{count} messages where there is to be one")
            return
        if exchange.deadline is not None:
            exchange.deadline.cancel()
            exchange.deadline = None
        self._ask(exchange)

    def _give_up(self, exchange: GrpcExchange, status: int, why: str) -> None:
        exchange.leave()
        self._deny(exchange.stream, status, why)

    def _refuse(self, exchange: GrpcExchange) -> None:
        """There is no room for it now, and nothing of it has run."""
        exchange.leave()
        self._calls.pop(exchange.stream.id, None)
        self.h2.send_headers(exchange.stream, [*HEAD, *refusal(NO_ROOM_MS)], True)

    def _ask(self, exchange: GrpcExchange) -> None:
        """A call has come: it goes to the engine, unless it has waited for this process for too long."""
        server, request = self.front.server, exchange.request
        a = request.arrival
        waited_ms = self.now() - exchange.arrived
        late = waited_ms > NOTICED_MS and server.lag.notable
        if late and server.damping.turn_away and request.upload is None:
            waited = RequestQueued(a.customer, a.plan, a.cls, a.units, a.width, a.retry, waited_ms, a.key)
            if server.engine.turn_away(waited, exchange):
                return
        try:
            call = server.engine.arrive(request, exchange)
        except BadRequest as error:
            self._give_up(exchange, OF_BAD_REQUEST.get(error.status, Status.INTERNAL), error.reason)
            return
        except Exception:
            log.exception("a call could not be taken in")
            exchange.failed(Failure.INTERNAL)
            return
        if not exchange.over:
            exchange.call = call

    def on_reset(self, stream: Stream, code: int) -> None:
        """The client gives the call up."""
        exchange = self._calls.pop(stream.id, None)
        if exchange is not None:
            self._withdraw(exchange)

    def _withdraw(self, exchange: GrpcExchange) -> None:
        call = exchange.call
        if not exchange.over:
            exchange.leave()
        if call is not None:
            self.front.server.engine.withdraw(call)

    def on_drained(self, stream: Stream) -> None:
        """The client takes more."""
        if stream.owner is not None:
            stream.owner.drained()

    def on_settings(self) -> None:
        """Nothing here depends on them."""

    def on_goaway(self, last: int, code: int) -> None:
        """The client will open no more."""

    def on_pong(self) -> None:
        """Nothing was asked."""

    # ---- the listener's Other

    def go_away(self) -> None:
        """Clients are to go elsewhere: take what has crossed this word, and nothing after that."""
        if not self._leaving_at:
            self._leaving_at = time.monotonic()
            self.h2.say_goodbye()
            self.flush()

    def sweep(self, now: float) -> None:
        """End what has had its time."""
        for number, exchange in list(self._calls.items()):
            if exchange.over and number not in self.h2.streams:
                del self._calls[number]
            elif exchange.over and now - exchange.over_at > STUCK_S:  # a client that opens no window
                self.h2.reset(exchange.stream, Code.CANCEL)
                self.flush()
        if self._leaving_at and now - self._leaving_at > NOTICE_S and not self.h2.gone:
            self.h2.goaway()
            self.flush()
        if self._calls:
            self._quiet_since = now
        if self._full_since and now - self._full_since > STUCK_S:
            self.abort()
        elif self.h2.gone and not self._calls:
            self.close()
        elif not self._any and now - self._began > FIRST_S:
            self.abort()
        elif now - self._quiet_since > IDLE_S:
            self.go_away()

    @property
    def calls(self) -> int:
        """Under way."""
        return len(self._calls)

    @property
    def idle_since(self) -> float:
        """Since when it owes nothing; infinite while it does."""
        return float("inf") if self._calls else self._quiet_since

    def make_room(self) -> None:
        """Its place is needed, and it owes nothing."""
        self.h2.goaway()
        self.flush()
        self.close()

    def close(self) -> None:
        """End once what is written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End at once."""
        if self.transport is not None:
            self.transport.abort()
