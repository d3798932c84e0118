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
HEADER_LINE_OVERHEAD = 4  # bytes of a header line beside its name and value
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
    reserved_bytes: int  # bytes of the budget for bodies
    keep_alive: bool  # the client goes on with the connection
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
        self._completed_messages = 0  # messages
        # what has come of a message that is not whole, up to its body: None if it is not known
        self._raw: list[bytes] | None = None
        self._raw_index = -1  # how many messages were complete before that one
        self._raw_body = 0  # bytes of its body that are in there
        self._complete_requests: list[CompleteRequest] = []  # for a successor
        self._parser: Any = httptools.HttpRequestParser(self)  # None once the connection is lost
        self._exchanges: deque[Exchange] = deque()
        self._received = 0  # bytes of the message that is coming
        self._read = 0  # bytes of the last read: it may hold several messages whole
        self.in_message = False  # a message has, and is not complete
        self._in_headers = True
        self.closing = False  # the connection is about to end: nothing more is taken
        self._read_paused = self._write_paused = False  # reading, and what is written and not taken
        self._transport: asyncio.Transport
        self._timer = MessageTimer(time.monotonic(), item is None)
        self._reserved_bytes = 0  # bytes of the budget for bodies that the message which is coming has
        self._continue_expected = False  # the client waits to be told that its body is wanted
        # what has come, until it is told which protocol it is
        self._initial_bytes: bytes | None = None if server.other_protocol is None or item is not None else b""
        self._clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by name
        self.server.connection_opened(self)
        if (item := self.item) is not None and item.data:
            now = self.server.engine.clock.now()
            self.arrived_ms = item.arrived_ms
            self.data_received(item.data)
            self.arrived_ms = 0.0
            if self.in_message and item.began_ms:
                self._timer.backdate(max(0.0, now - item.began_ms) / 1000)
        self.item = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return  # only drained: see _end
        if self._initial_bytes is not None:
            data = self._detect_protocol(data)
            if not data:
                return
        self._received += len(data)
        self._read = len(data)
        completed = self._completed_messages
        try:
            self._parser.feed_data(data)
            if self._in_headers and self._received > self.server.max_head:
                raise BadRequest(431, "the head is too long")
            if self._received > self.server.max_head + MAX_FRAMING + 2 * self._body_size:
                raise BadRequest(413, "the framing is too long")
        except BadRequest as error:
            self._reject(error.status)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered as any other, and the connection ends with it
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject(cause.status if isinstance(cause, BadRequest) else 400)
        if self.in_message:
            self._keep_raw(data, completed)
        if self._complete_requests and self.server.successor is not None:
            self.server.schedule_pass_on(self)
        # also one that ends with its answer: it waits for that, not for us
        if self._exchanges or self._complete_requests:
            self.server.waiting.remove(self)
            self.server.idle.remove(self)
        elif not self.closing and self.in_message and self.server.idle.remove(self):
            self.server.waiting.add(self)
        if len(self._exchanges) + len(self._complete_requests) >= MAX_PIPELINED and not self._read_paused:
            self._read_paused = True
            self._transport.pause_reading()

    def _detect_protocol(self, data: bytes) -> bytes:
        """What of the connection's first bytes is HTTP/1.1's: with HTTP/2's preface it is another's."""
        assert self._initial_bytes is not None
        first = self._initial_bytes + data
        if len(first) < len(PREFACE) and PREFACE.startswith(first):
            self._initial_bytes = (
                first  # two bytes may still be a POST's; the line of those that wait has their time
            )
            return b""
        self._initial_bytes = None
        if self.server.other_protocol is None or not first.startswith(PREFACE):
            return first
        self.closing = True
        self.server.connection_closed(self)
        other = self.server.other_protocol(self.sock)
        self._transport.set_protocol(other)
        other.connection_made(self._transport)
        other.data_received(first)
        return b""

    def _keep_raw(self, data: bytes, completed: int) -> None:
        """Keep what has come of a message that is not whole, so that it can be passed on."""
        if (
            self._raw_index != self._completed_messages
        ):  # its first read: one that began behind another one has no bounds
            self._raw_index, self._raw_body = self._completed_messages, 0
            self._raw = [] if self._completed_messages == completed else None
        if self._raw is None or self._raw_body:
            return
        self._raw.append(data)
        self._raw_body = self._body_size
        if not self._in_headers and any(name == b"transfer-encoding" for name, _ in self._headers):
            self._raw = None  # where its chunks stand is the parser's

    def _reject(self, status: int) -> None:
        """What came is no request, and where the next would begin can't be told."""
        if not self.closing:
            self._drop_body()
            self.cancel_handover()  # with this behind them they can't go to a successor
            exchange = Exchange(self, False)
            self._exchanges.append(exchange)
            self.closing = True
            if status == 503:  # no room now: nothing has run, and trying again is harmless
                exchange.respond(status, b"", ((b"Retry-After", BODY_RETRY_AFTER_S),))
            else:
                exchange.respond(status)

    def _drop_body(self) -> None:
        """What has come of a message's body goes, and its part of the budget."""
        self.server.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body.clear()

    @property
    def has_request(self) -> bool:
        """The body of a request is coming, whose head makes sense, or something has come and is not read yet.

        Guards against cutting a connection whose request stands in the kernel while this process is late.
        """
        return (self.in_message and not self._in_headers) or (
            self.sock is not None and has_unread_data(self.sock)
        )

    def timed_out(self, now: float) -> bool:
        """The message that is coming, or the first one, has had its time."""
        return self._timer.expired(now, self._body_size, self.server.head_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.connection_closed(self)
        self._drop_body()
        self.server.bodies.release(sum(complete.reserved_bytes for complete in self._complete_requests))
        self._complete_requests.clear()
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
            if exchange.pending_writes is not None:
                pending_writes, exchange.pending_writes = exchange.pending_writes, []
                for piece in pending_writes:
                    self._transport.write(piece)
                if exchange.flow is not None:  # more of it is to come
                    if not self._write_paused:
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
                self._shut_down()
                return
        if not self._exchanges and not self.closing:
            self._send_continue()
            self.server.waiting.remove(self)
            if self.in_message:
                self.server.waiting.add(self)
            else:
                self.server.connection_idle(self)
            if self.server.successor is not None:
                self.server.schedule_pass_on(self)
        if self._read_paused and len(self._exchanges) < MAX_PIPELINED:
            self._read_paused = False
            self._transport.resume_reading()

    def pass_on(self) -> Item | None:
        """Leave the connection to another process; None: something of it is here that would be lost."""
        if self.sock is None or self.closing or self._exchanges or self.has_unwritten:
            return None
        if self.in_message and self._raw is None:
            return None  # until it is whole
        data = b"".join(complete.bytes() for complete in self._complete_requests)
        began_ms = 0.0
        if self.in_message and self._raw is not None:
            data += b"".join(self._raw) + b"".join(self._body)[self._raw_body :]
            began_ms = self.server.engine.clock.now() - 1000 * (time.monotonic() - self._timer.started_at())
        arrived_ms = self._complete_requests[0].arrived_ms if self._complete_requests else 0.0
        self._transport.pause_reading()
        item = Item(self.sock.dup(), data, began_ms, arrived_ms)
        self.closing = True
        self._transport.abort()  # closes this process's descriptor only
        return item

    def cancel_handover(self) -> None:
        """There is no successor for what has come whole: it is this process's."""
        requests, self._complete_requests = self._complete_requests, []
        for complete in requests:
            self._accept(complete)

    @property
    def reserved_bytes(self) -> int:
        """Bytes of the budget for bodies that requests with answers to come have."""
        return sum(exchange.reserved_bytes for exchange in self._exchanges)

    def current_exchange(self) -> Exchange | None:
        """The request whose answer is the next to go out."""
        return self._exchanges[0] if self._exchanges else None

    def pause_writing(self) -> None:
        """The client reads more slowly than it is written to."""
        self._write_paused = True
        self.server.slow.add(self)
        if self._exchanges and self._exchanges[0].flow is not None:
            self._exchanges[0].flow.pause()

    def resume_writing(self) -> None:
        self._write_paused = False
        self.server.slow.remove(self)
        if self._exchanges and self._exchanges[0].flow is not None:
            self._exchanges[0].flow.resume()

    @property
    def has_unwritten(self) -> bool:
        """The client has not taken all that was written to it."""
        return self._transport.get_write_buffer_size() > 0

    def _shut_down(self) -> None:
        """Say goodbye, but read on for a while: an unread byte would take the answer with it."""
        self.closing = True
        self.server.waiting.remove(self)
        self.server.idle.remove(self)
        self.server.ending.add(self)
        if self._received or self._exchanges:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        else:
            self._transport.close()

    def time_out(self) -> None:
        """The message has not come whole in its time: an error if it has begun, and the end."""
        if self.in_message and not self.closing:
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
        self.in_message = True
        self._clear()
        self._timer.message_started(time.monotonic())

    def _clear(self) -> None:
        self._url, self._body_size = b"", 0
        self._body: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_headers = True

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_headers:
            return  # a trailer is no part of what the head has said (RFC 9110, 6.5.1)
        self._headers.append((name.lower(), value.strip(b" \t")))  # RFC 9112, 5: no part of the value

    def on_headers_complete(self) -> None:
        self._in_headers = False
        if max(self._received, self._read) > self.server.max_head:  # else its head can't be too long
            size = len(self._url) + sum(
                len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in self._headers
            )
            if size > self.server.max_head:
                raise BadRequest(431, "the head is too long")
        self._timer.header_section_complete(time.monotonic())
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise BadRequest(400, "where the request ends can't be told")  # one may be hidden in its body
        if codings and (codings[0].lower() != b"chunked" or self._parser.get_http_version() != "1.1"):
            raise BadRequest(400, "no such transfer coding")
        if lengths and not lengths[0].isdigit():
            raise BadRequest(400, "the length is no number")
        if lengths and (len(lengths[0]) > 12 or int(lengths[0]) > self.server.bodies.limit):
            raise BadRequest(413, "the body is too long")
        if lengths and int(lengths[0]) > UNBUDGETED_BODY_BYTES:
            self._reserve(int(lengths[0]))  # all of it before any has come: no two wait for each other's end
        expects = [value.lower() for name, value in self._headers if name == b"expect"]
        if b"100-continue" in expects and (lengths or codings) and self._parser.get_http_version() == "1.1":
            self._continue_expected = True
            if not self._exchanges:
                self._send_continue()

    def _send_continue(self) -> None:
        """RFC 9110, 10.1.1; not before the answers that are owed."""
        if self._continue_expected and not self.closing:
            self._continue_expected = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve(self, count: int) -> None:
        if not self.server.bodies.reserve(count):
            raise BadRequest(503, "there is no room for the body now")
        self._reserved_bytes += count

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        self._continue_expected = False  # it did not wait
        if self._body_size > UNBUDGETED_BODY_BYTES and self._body_size > self._reserved_bytes:
            if self._body_size > self.server.bodies.limit:
                raise BadRequest(413, "the body is too long")
            self._reserve(
                max(self._body_size - self._reserved_bytes, UNBUDGETED_BODY_BYTES)
            )  # in steps: a chunked one does not say its length
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._received, self.in_message = 0, False
        self._completed_messages += 1
        self._raw = None
        if self.closing:
            return
        keep_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        complete = CompleteRequest(
            self._parser.get_method(),
            self._url,
            self._parser.get_http_version(),
            self._headers,
            self._body,
            self._reserved_bytes,
            keep_alive,
            self.arrived_ms,
        )
        self._reserved_bytes, self._body, self._continue_expected = 0, [], False
        if self.server.handing_over:
            self._complete_requests.append(complete._replace(arrived_ms=self.server.engine.clock.now()))
        else:
            self._accept(complete)

    def _accept(self, complete: CompleteRequest) -> None:
        """A request that is this process's to answer."""
        exchange = Exchange(
            self, complete.keep_alive, complete.reserved_bytes, complete.version != "1.0", complete.arrived_ms
        )
        self._exchanges.append(exchange)
        if not complete.keep_alive:
            self.closing = True
        self._dispatch(exchange, complete.method, complete.url, complete.headers, complete.body)

    def _dispatch(
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
            exchange.respond(200 if server.healthy else 503)
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
            exchange.respond(error.status, error.reason.encode(), ((b"Content-Type", b"text/plain"), *retry))
        except Exception:
            # guards what the parser would swallow: a request with no answer stands before all later ones
            log.exception("a request could not be taken in")
            if exchange.reply is None:
                exchange.failed(Failure.INTERNAL)
