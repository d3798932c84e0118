"""A client's connection: messages in, answers out in their order, and its way to another process."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import httptools

from troutdock.engine import BadRequest, Failure
from troutdock.handover.roles import Item
from troutdock.http.socket_info import peer_closed, has_unread_data
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES, MessageTimer
from troutdock.http.exchange import Exchange
from troutdock.http.response import MAX_BODY

log = logging.getLogger("troutdock")

if TYPE_CHECKING:
    from troutdock.http.listener import Server

MAX_PIPELINED = 8  # answers owed on one connection before reading pauses
LINE = 4  # bytes of a header line beside its name and value
MAX_FRAMING = 4 * MAX_BODY  # bytes of chunk framing in one message, beyond as many as its body has
BODY_RETRY_AFTER_S = b"0.5"  # when to come back with a body that found no room; others' are answered by then
MIN_WAIT_MS = 10.0  # a shorter wait for this process turns nobody away: not worth asking

PREFACE = b"PRI * HTTP/2.0\r\n\r\n"  # of HTTP/2; what stands behind it is its own (RFC 9113, 3.4)

_ABSOLUTE = re.compile(rb"https?://[^/?]*", re.I)


def origin_form(url: bytes) -> bytes:
    """The path and query of a request's target, which may come in absolute form (RFC 9112, 3.2.2)."""
    if url[:1] == b"/":
        return url
    rest = _ABSOLUTE.sub(b"", url, count=1)
    return rest if rest[:1] == b"/" else b"/" + rest if rest != url else url


class CompleteRequest(NamedTuple):
    """A request that has come whole while this process leaves its clients to a successor."""

    method: bytes
    url: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    body: list[bytes]
    held: int  # bytes of the budget for bodies
    keeps: bool  # the client goes on with the connection
    arrived_ms: float  # of the engine's clock

    def bytes(self) -> bytes:
        """The message, with a length in place of a coding (RFC 9112, 6.3)."""
        dropped = (b"content-length", b"transfer-encoding", b"expect", b"trailer")
        body = b"".join(self.body)
        lines = [b"%b %b HTTP/%b" % (self.method, self.url, self.version.encode())]
        lines += [b"%b: %b" % (name, value) for name, value in self.headers if name not in dropped]
        lines += [b"content-length: %d" % len(body), b"", body]
        return b"\r\n".join(lines)


class ClientConnection(asyncio.Protocol):
    """A connection of a client; requests may come in pieces, in a row, or chunked."""

    def __init__(self, server: Server, sock: socket.socket | None = None, item: Item | None = None) -> None:
        self.server, self.sock = server, sock
        self.item = item  # what a predecessor has passed on, and what came to it
        self.arrived_ms = 0.0  # while messages are read that came whole to the predecessor: when
        self._completed = 0  # messages
        # what has come of a message that is not whole, up to its body: None if it is not known
        self._raw: list[bytes] | None = None
        self._raw_of = -1  # how many messages were complete before that one
        self._raw_body = 0  # bytes of its body that are in there
        self._wholes: list[CompleteRequest] = []  # for a successor
        self._parser: Any = httptools.HttpRequestParser(self)  # None once the connection is lost
        self._exchanges: deque[Exchange] = deque()
        self._received = 0  # bytes of the message that is coming
        self._read = 0  # bytes of the last read: it may hold several messages whole
        self.begun = False  # a message has, and is not complete
        self._in_head = True
        self.closing = False  # the connection is about to end: nothing more is taken
        self._paused = self._full = False  # reading, and what is written and not taken
        self._transport: asyncio.Transport
        self._pace = MessageTimer(time.monotonic(), item is None)
        self._held = 0  # bytes of the budget for bodies that the message which is coming has
        self._continue = False  # the client waits to be told that its body is wanted
        # what has come, until it is told which protocol it is
        self._first: bytes | None = None if server.other_protocol is None or item is not None else b""
        self._clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by name
        self.server.admit(self)
        if (item := self.item) is not None and item.data:
            now = self.server.engine.clock.now()
            self.arrived_ms = item.arrived_ms
            self.data_received(item.data)
            self.arrived_ms = 0.0
            if self.begun and item.began_ms:
                self._pace.older(max(0.0, now - item.began_ms) / 1000)
        self.item = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return  # only drained: see _end
        if self._first is not None:
            data = self._told_apart(data)
            if not data:
                return
        self._received += len(data)
        self._read = len(data)
        completed = self._completed
        try:
            self._parser.feed_data(data)
            if self._in_head and self._received > self.server.max_head:
                raise BadRequest(431, "the head is too long")
            if self._received > self.server.max_head + MAX_FRAMING + 2 * self._size:
                raise BadRequest(413, "the framing is too long")
        except BadRequest as error:
            self._reject(error.status)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered as any other, and the connection ends with it
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject(cause.status if isinstance(cause, BadRequest) else 400)
        if self.begun:
            self._remember(data, completed)
        if self._wholes and self.server.successor is not None:
            self.server.schedule_pass_on(self)
        # also one that ends with its answer: it waits for that, not for us
        if self._exchanges or self._wholes:
            self.server.waiting.drop(self)
            self.server.idle.drop(self)
        elif not self.closing and self.begun and self.server.idle.drop(self):
            self.server.waiting.add(self)
        if len(self._exchanges) + len(self._wholes) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _told_apart(self, data: bytes) -> bytes:
        """What of the connection's first bytes is HTTP/1.1's: with HTTP/2's preface it is another's."""
        assert self._first is not None
        first = self._first + data
        if len(first) < len(PREFACE) and PREFACE.startswith(first):
            self._first = first  # two bytes may still be a POST's; the line of those that wait has their time
            return b""
        self._first = None
        if self.server.other_protocol is None or not first.startswith(PREFACE):
            return first
        self.closing = True
        self.server.forget(self)
        other = self.server.other_protocol(self.sock)
        self._transport.set_protocol(other)
        other.connection_made(self._transport)
        other.data_received(first)
        return b""

    def _remember(self, data: bytes, completed: int) -> None:
        """Keep what has come of a message that is not whole, so that it can be passed on."""
        if self._raw_of != self._completed:  # its first read: one that began behind another one has no bounds
            self._raw_of, self._raw_body = self._completed, 0
            self._raw = [] if self._completed == completed else None
        if self._raw is None or self._raw_body:
            return
        self._raw.append(data)
        self._raw_body = self._size
        if not self._in_head and any(name == b"transfer-encoding" for name, _ in self._headers):
            self._raw = None  # where its chunks stand is the parser's

    def _reject(self, status: int) -> None:
        """What came is no request, and where the next would begin can't be told."""
        if not self.closing:
            self._drop_body()
            self.take_back()  # with this behind them they can't go to a successor
            exchange = Exchange(self, False)
            self._exchanges.append(exchange)
            self.closing = True
            if status == 503:  # no room now: nothing has run, and trying again is harmless
                exchange.answer(status, b"", ((b"Retry-After", BODY_RETRY_AFTER_S),))
            else:
                exchange.answer(status)

    def _drop_body(self) -> None:
        """What has come of a message's body goes, and its part of the budget."""
        self.server.bodies.release(self._held)
        self._held = 0
        self._body.clear()

    @property
    def has_request(self) -> bool:
        """The body of a request is coming, whose head makes sense, or something has come and is not read yet.

        Guards against cutting a connection whose request stands in the kernel while this process is late.
        """
        return (self.begun and not self._in_head) or (self.sock is not None and has_unread_data(self.sock))

    def late(self, now: float) -> bool:
        """The message that is coming, or the first one, has had its time."""
        return self._pace.late(now, self._size, self.server.head_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.forget(self)
        self._drop_body()
        self.server.bodies.release(sum(whole.held for whole in self._wholes))
        self._wholes.clear()
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.release()
            if exchange.reply is None and exchange.call is not None:
                self.server.engine.withdraw(exchange.call)
                exchange.call = None
        self._parser = None  # it holds this connection

    def flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self._exchanges:
            exchange = self._exchanges[0]
            if exchange.pieces is not None:
                pieces, exchange.pieces = exchange.pieces, []
                for piece in pieces:
                    self._transport.write(piece)
                if exchange.flow is not None:  # more of it is to come
                    if not self._full:
                        exchange.flow.resume()
                    break
            elif exchange.reply is not None:
                self._transport.write(exchange.reply)
                if exchange.body:
                    self._transport.write(exchange.body)
            else:
                break
            self._exchanges.popleft()
            if not exchange.keep_alive:
                self._end()
                return
        if not self._exchanges and not self.closing:
            self._tell_to_continue()
            self.server.waiting.drop(self)
            if self.begun:
                self.server.waiting.add(self)
            else:
                self.server.rest(self)
            if self.server.successor is not None:
                self.server.schedule_pass_on(self)
        if self._paused and len(self._exchanges) < MAX_PIPELINED:
            self._paused = False
            self._transport.resume_reading()

    def pass_on(self) -> Item | None:
        """Leave the connection to another process; None: something of it is here that would be lost."""
        if self.sock is None or self.closing or self._exchanges or self.unwritten:
            return None
        if self.begun and self._raw is None:
            return None  # until it is whole
        data = b"".join(whole.bytes() for whole in self._wholes)
        began_ms = 0.0
        if self.begun and self._raw is not None:
            data += b"".join(self._raw) + b"".join(self._body)[self._raw_body :]
            began_ms = self.server.engine.clock.now() - 1000 * (time.monotonic() - self._pace.began())
        arrived_ms = self._wholes[0].arrived_ms if self._wholes else 0.0
        self._transport.pause_reading()
        item = Item(self.sock.dup(), data, began_ms, arrived_ms)
        self.closing = True
        self._transport.abort()  # closes this process's descriptor only
        return item

    def take_back(self) -> None:
        """There is no successor for what has come whole: it is this process's."""
        wholes, self._wholes = self._wholes, []
        for whole in wholes:
            self._take(whole)

    @property
    def held(self) -> int:
        """Bytes of the budget for bodies that requests with answers to come have."""
        return sum(exchange.held for exchange in self._exchanges)

    def first(self) -> Exchange | None:
        """The request whose answer is the next to go out."""
        return self._exchanges[0] if self._exchanges else None

    def pause_writing(self) -> None:
        """The client reads more slowly than it is written to."""
        self._full = True
        self.server.slow.add(self)
        if self._exchanges and self._exchanges[0].flow is not None:
            self._exchanges[0].flow.pause()

    def resume_writing(self) -> None:
        self._full = False
        self.server.slow.drop(self)
        if self._exchanges and self._exchanges[0].flow is not None:
            self._exchanges[0].flow.resume()

    @property
    def unwritten(self) -> bool:
        """The client has not taken all that was written to it."""
        return self._transport.get_write_buffer_size() > 0

    def _end(self) -> None:
        """Say goodbye, but read on for a while: an unread byte would take the answer with it."""
        self.closing = True
        self.server.waiting.drop(self)
        self.server.idle.drop(self)
        self.server.ending.add(self)
        if self._received or self._exchanges:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        else:
            self._transport.close()

    def time_out(self) -> None:
        """The message has not come whole in its time: an error if it has begun, and the end."""
        if self.begun and not self.closing:
            self._reject(408)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection between requests, once its last answer is out."""
        self.closing = True
        self._transport.close()

    def make_room(self) -> None:
        """Close now, as its place is needed: with bytes that the client does not read it would stay open."""
        self.closing = True
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close at once: guards against a client that never reads its answer, or never ends its request."""
        self.closing = True
        self._transport.abort()

    # ---- called by the parser

    def on_message_begin(self) -> None:
        self.begun = True
        self._clear()
        self._pace.begins(time.monotonic())

    def _clear(self) -> None:
        self._url, self._size = b"", 0
        self._body: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer is no part of what the head has said (RFC 9110, 6.5.1)
        self._headers.append((name.lower(), value.strip(b" \t")))  # RFC 9112, 5: no part of the value

    def on_headers_complete(self) -> None:
        self._in_head = False
        if max(self._received, self._read) > self.server.max_head:  # else its head can't be too long
            size = len(self._url) + sum(len(name) + len(value) + LINE for name, value in self._headers)
            if size > self.server.max_head:
                raise BadRequest(431, "the head is too long")
        self._pace.head_done(time.monotonic())
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise BadRequest(400, "where the request ends can't be told")  # one may be hidden in its body
        if codings and (codings[0].lower() != b"chunked" or self._parser.get_http_version() != "1.1"):
            raise BadRequest(400, "no such transfer coding")
        if lengths and not lengths[0].isdigit():
            raise BadRequest(400, "the length is no number")
        if lengths and (len(lengths[0]) > 12 or int(lengths[0]) > self.server.bodies.bound):
            raise BadRequest(413, "the body is too long")
        if lengths and int(lengths[0]) > UNBUDGETED_BODY_BYTES:
            self._hold(int(lengths[0]))  # all of it before any has come: no two wait for each other's end
        expects = [value.lower() for name, value in self._headers if name == b"expect"]
        if b"100-continue" in expects and (lengths or codings) and self._parser.get_http_version() == "1.1":
            self._continue = True
            if not self._exchanges:
                self._tell_to_continue()

    def _tell_to_continue(self) -> None:
        """RFC 9110, 10.1.1; not before the answers that are owed."""
        if self._continue and not self.closing:
            self._continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _hold(self, count: int) -> None:
        if not self.server.bodies.reserve(count):
            raise BadRequest(503, "there is no room for the body now")
        self._held += count

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        self._continue = False  # it did not wait
        if self._size > UNBUDGETED_BODY_BYTES and self._size > self._held:
            if self._size > self.server.bodies.bound:
                raise BadRequest(413, "the body is too long")
            self._hold(
                max(self._size - self._held, UNBUDGETED_BODY_BYTES)
            )  # in steps: a chunked one does not say its length
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._received, self.begun = 0, False
        self._completed += 1
        self._raw = None
        if self.closing:
            return
        keeps = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        whole = CompleteRequest(
            self._parser.get_method(),
            self._url,
            self._parser.get_http_version(),
            self._headers,
            self._body,
            self._held,
            keeps,
            self.arrived_ms,
        )
        self._held, self._body, self._continue = 0, [], False
        if self.server.handing_over:
            self._wholes.append(whole._replace(arrived_ms=self.server.engine.clock.now()))
        else:
            self._take(whole)

    def _take(self, whole: CompleteRequest) -> None:
        """A request that is this process's to answer."""
        exchange = Exchange(self, whole.keeps, whole.held, whole.version != "1.0", whole.arrived_ms)
        self._exchanges.append(exchange)
        if not whole.keeps:
            self.closing = True
        self._ask(exchange, whole.method, whole.url, whole.headers, whole.body)

    def _ask(
        self,
        exchange: Exchange,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: list[bytes],
    ) -> None:
        """A request has come whole: it is answered here, or goes to the engine."""
        path, server = origin_form(url), self.server
        if path == server.health_path and method == b"GET":
            exchange.answer(200 if server.healthy else 503)
            return
        waited_ms = server.engine.clock.now() - exchange.arrived
        if waited_ms > MIN_WAIT_MS:
            damping = server.damping
            if damping.drop_departed and self.sock is not None and peer_closed(self.sock):
                self._exchanges.pop()  # the connection's end, unread yet, withdraws those before it
                return
            if damping.turn_away:
                waited = server.reader.waited(path, headers, waited_ms)
                if waited is not None and server.engine.reject_waited(waited, exchange):
                    return
        try:
            request = server.reader.read(method, path, headers, body)
            call = server.engine.arrive(request, exchange)
            if exchange.reply is None:
                exchange.call = call
        except BadRequest as error:
            retry = ((b"Retry-After", BODY_RETRY_AFTER_S),) if error.status == 503 else ()
            exchange.answer(error.status, error.reason.encode(), ((b"Content-Type", b"text/plain"), *retry))
        except Exception:
            # guards what the parser would swallow: a request with no answer stands before all later ones
            log.exception("a request could not be taken in")
            if exchange.reply is None:
                exchange.failed(Failure.INTERNAL)
