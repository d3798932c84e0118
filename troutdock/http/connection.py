"""A client's HTTP/1.1 connection: parses requests, writes responses in order, and can change process.

Theory of operation. Requests may be pipelined; each gets an Exchange in `_exchanges`, and `flush` writes the
responses strictly in the order of the requests. Reading pauses while MAX_PIPELINED responses are owed.

    state                        events
    receiving a message          data_received, parser callbacks; timed_out -> 408 and close
    response owed                Exchange.respond, began, more, served, broken; then flush
    idle                         between requests; may be closed or handed over
    closing (`closing` is true)  after an invalid request or an abort, after a request with Connection: close,
                                 and from the first response that is written while the server asks its
                                 clients to leave: further data is read and dropped. Requests that were
                                 complete before are answered; the last response carries Connection: close,
                                 and the sending side is closed after it (RFC 9112, 9.6)

While the server hands its clients over to a successor, complete requests are not dispatched but kept in
`_complete_requests`, and are passed on with the bytes of an incomplete one (`pass_on`). If the successor
dies, `cancel_handover` dispatches them here.
"""

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
from troutdock.handover.roles import TransferredConnection
from troutdock.http.socket_info import peer_closed, has_unread_data
from troutdock.http.body_limits import UNBUDGETED_BODY_BYTES, MessageTimer
from troutdock.http.exchange import Exchange
from troutdock.http.response import MAX_BODY

log = logging.getLogger("troutdock")

if TYPE_CHECKING:
    from troutdock.http.listener import Server

MAX_PIPELINED = 8  # responses owed on one connection before reading pauses
HEADER_LINE_OVERHEAD = 4  # bytes: ": " and CRLF
MAX_FRAMING = 4 * MAX_BODY  # bytes of chunk framing in one message, in addition to the length of its body
BODY_RETRY_AFTER_S = b"0.5"  # Retry-After if the body budget is exhausted; other requests end by then
MIN_WAIT_MS = 10.0  # after a shorter wait in this process, rejection is not considered

PREFACE = b"PRI * HTTP/2.0\r\n\r\n"  # start of the HTTP/2 connection preface (RFC 9113, 3.4)

_ABSOLUTE = re.compile(rb"https?://[^/?]*", re.I)


def origin_form(url: bytes) -> bytes:
    """Returns path and query of a request target, which may be in absolute form (RFC 9112, 3.2.2)."""
    if url[:1] == b"/":
        return url
    rest = _ABSOLUTE.sub(b"", url, count=1)
    return rest if rest[:1] == b"/" else b"/" + rest if rest != url else url


class CompleteRequest(NamedTuple):
    """A complete request, kept if it arrived while the clients are handed over to a successor."""

    method: bytes
    url: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    body: list[bytes]
    reserved_bytes: int  # of the body budget
    keep_alive: bool  # the connection persists
    arrived_ms: float  # of the engine's clock

    def bytes(self) -> bytes:
        """Returns the message with Content-Length instead of a transfer coding (RFC 9112, 6.3)."""
        dropped = (b"content-length", b"transfer-encoding", b"expect", b"trailer")
        body = b"".join(self.body)
        lines = [b"%b %b HTTP/%b" % (self.method, self.url, self.version.encode())]
        lines += [b"%b: %b" % (name, value) for name, value in self.headers if name not in dropped]
        lines += [b"content-length: %d" % len(body), b"", body]
        return b"\r\n".join(lines)


class ClientConnection(asyncio.Protocol):
    """A connection of a client; requests may be fragmented, pipelined or chunked."""

    def __init__(
        self, server: Server, sock: socket.socket | None = None, item: TransferredConnection | None = None
    ) -> None:
        self.server, self.sock = server, sock
        self.item = item  # passed on by a predecessor, with the bytes it had received
        self.arrived_ms = 0.0  # while parsing requests that the predecessor had received: their arrival
        self._completed_messages = 0  # count
        # bytes of an incomplete message up to its body; None if not known exactly
        self._raw: list[bytes] | None = None
        self._raw_index = -1  # number of messages completed before that one
        self._raw_body = 0  # bytes of its body contained in _raw
        self._complete_requests: list[CompleteRequest] = []  # kept for a successor
        self._parser: Any = httptools.HttpRequestParser(self)  # None once the connection is lost
        self._exchanges: deque[Exchange] = deque()
        self._received = 0  # bytes of the message being received
        self._read = 0  # bytes of the last read, which may contain several messages
        self.in_message = False  # a message has begun and is incomplete
        self._in_headers = True
        self.closing = False  # about to close: further requests are ignored
        self._read_paused = self._write_paused = False  # flow control
        self._transport: asyncio.Transport
        self._timer = MessageTimer(time.monotonic(), item is None)
        self._reserved_bytes = 0  # of the body budget, by the message being received
        self._continue_expected = False  # the client waits for 100 (Continue)
        # first bytes, until the protocol is known
        self._initial_bytes: bytes | None = None if server.other_protocol is None or item is not None else b""
        self._clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
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
            return  # discarded, see _shut_down
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
                raise BadRequest(431, "the header section is too long")
            if self._received > self.server.max_head + MAX_FRAMING + 2 * self._body_size:
                raise BadRequest(413, "the chunk framing is too long")
        except BadRequest as error:
            self._reject(error.status)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered as any other, then the connection closes
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject(cause.status if isinstance(cause, BadRequest) else 400)
        if self.in_message:
            self._keep_raw(data, completed)
        if self._complete_requests and self.server.successor is not None:
            self.server.schedule_pass_on(self)
        # also if the connection closes after its response: it is waiting for the response
        if self._exchanges or self._complete_requests:
            self.server.waiting.remove(self)
            self.server.idle.remove(self)
        elif not self.closing and self.in_message and self.server.idle.remove(self):
            self.server.waiting.add(self)
        if len(self._exchanges) + len(self._complete_requests) >= MAX_PIPELINED and not self._read_paused:
            self._read_paused = True
            self._transport.pause_reading()

    def _detect_protocol(self, data: bytes) -> bytes:
        """Detects the HTTP/2 preface and passes such a connection on; returns the bytes for HTTP/1.1."""
        assert self._initial_bytes is not None
        first = self._initial_bytes + data
        if len(first) < len(PREFACE) and PREFACE.startswith(first):
            # "P" may begin a POST too; the server's waiting queue bounds the time
            self._initial_bytes = first
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
        """Keeps the bytes of an incomplete message so that it can be passed to a successor."""
        # first read of this message; if it follows another message in the read, its start is unknown
        if self._raw_index != self._completed_messages:
            self._raw_index, self._raw_body = self._completed_messages, 0
            self._raw = [] if self._completed_messages == completed else None
        if self._raw is None or self._raw_body:
            return
        self._raw.append(data)
        self._raw_body = self._body_size
        if not self._in_headers and any(name == b"transfer-encoding" for name, _ in self._headers):
            self._raw = None  # the position within the chunks is known only to the parser

    def _reject(self, status: int) -> None:
        """Rejects an invalid request and closes, since the start of the next one cannot be determined."""
        if not self.closing:
            self._drop_body()
            self.cancel_handover()  # requests before an invalid one cannot be handed over
            exchange = Exchange(self, False)
            self._exchanges.append(exchange)
            self.closing = True
            if status == 503:  # body budget exhausted: nothing has run, a retry is harmless
                exchange.respond(status, b"", ((b"Retry-After", BODY_RETRY_AFTER_S),))
            else:
                exchange.respond(status)

    def _drop_body(self) -> None:
        """Discards the body of the current message and releases its budget."""
        self.server.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body.clear()

    @property
    def has_request(self) -> bool:
        """True if the body of a request is being received or the socket has unread data.

        Prevents closing a connection whose request is still in the kernel because this process is late.
        """
        return (self.in_message and not self._in_headers) or (
            self.sock is not None and has_unread_data(self.sock)
        )

    def timed_out(self, now: float) -> bool:
        """Returns whether the message being received, or awaited first, has exceeded its time."""
        return self._timer.expired(now, self._body_size, self.server.head_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.server.connection_closed(self)
        self._drop_body()
        self.server.bodies.release(sum(complete.reserved_bytes for complete in self._complete_requests))
        self._complete_requests.clear()
        self._withdraw_exchanges()
        self._parser = None  # breaks the reference cycle

    def _withdraw_exchanges(self) -> None:
        """Withdraws the requests whose responses cannot be written any more."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.release()
            if exchange.reply is None and exchange.call is not None:
                self.server.engine.withdraw(exchange.call)
                exchange.call = None

    def flush(self) -> None:
        """Writes the available responses in the order of their requests."""
        while self._exchanges:
            exchange = self._exchanges[0]
            if exchange.pending_writes or exchange.reply is not None:
                self._begin_response(exchange)
            if exchange.pending_writes is not None:
                pending_writes, exchange.pending_writes = exchange.pending_writes, []
                for piece in pending_writes:
                    self._transport.write(piece)
                if exchange.flow is not None:  # the response is still being streamed
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
            if not exchange.keep_alive or (self.closing and not self._exchanges):
                self._withdraw_exchanges()
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

    def _begin_response(self, exchange: Exchange) -> None:
        """Decides, before a response's header section is written, whether it is the last one."""
        if exchange.head_written:
            return
        exchange.head_written = True
        if self.server.asks_clients_to_leave:
            self.closing = True
        if self.closing and exchange is self._exchanges[-1]:
            exchange.announce_close()

    def pass_on(self) -> TransferredConnection | None:
        """Detaches the connection for another process; None if data in this process would be lost."""
        if self.sock is None or self.closing or self._exchanges or self.has_unwritten:
            return None
        if self.in_message and self._raw is None:
            return None  # possible once the message is complete
        data = b"".join(complete.bytes() for complete in self._complete_requests)
        began_ms = 0.0
        if self.in_message and self._raw is not None:
            data += b"".join(self._raw) + b"".join(self._body)[self._raw_body :]
            began_ms = self.server.engine.clock.now() - 1000 * (time.monotonic() - self._timer.started_at())
        arrived_ms = self._complete_requests[0].arrived_ms if self._complete_requests else 0.0
        self._transport.pause_reading()
        item = TransferredConnection(self.sock.dup(), data, began_ms, arrived_ms)
        self.closing = True
        self._transport.abort()  # closes only this process's descriptor
        return item

    def cancel_handover(self) -> None:
        """Dispatches the requests that were kept for a successor."""
        requests, self._complete_requests = self._complete_requests, []
        for complete in requests:
            self._accept(complete)

    @property
    def reserved_bytes(self) -> int:
        """Bytes of the body budget reserved by requests that await their response."""
        return sum(exchange.reserved_bytes for exchange in self._exchanges)

    def current_exchange(self) -> Exchange | None:
        """Returns the request whose response is written next."""
        return self._exchanges[0] if self._exchanges else None

    def pause_writing(self) -> None:
        """Handles a full write buffer: the client reads too slowly."""
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
        """True while written data has not been sent to the kernel."""
        return self._transport.get_write_buffer_size() > 0

    def _shut_down(self) -> None:
        """Closes the sending side but keeps reading, since unread data would reset the connection.

        A reset can make the client lose the response.
        """
        self.closing = True
        self.server.waiting.remove(self)
        self.server.idle.remove(self)
        self.server.ending.add(self)
        if self._received:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        else:
            self._transport.close()

    def time_out(self) -> None:
        """Closes after a receive timeout, with 408 if a message has begun."""
        if self.in_message and not self.closing:
            self._reject(408)
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection between requests, after its last response is written."""
        self.closing = True
        self._transport.close()

    def make_room(self) -> None:
        """Closes now to free its slot; aborts if unsent data would keep it open."""
        self.closing = True
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Aborts: the client does not read its response or does not complete its request."""
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
            return  # trailer fields are not merged into the header section (RFC 9110, 6.5.1)
        self._headers.append((name.lower(), value.strip(b" \t")))  # RFC 9112, 5: optional whitespace

    def on_headers_complete(self) -> None:
        self._in_headers = False
        if (
            max(self._received, self._read) > self.server.max_head
        ):  # else its header section cannot be too long
            size = len(self._url) + sum(
                len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in self._headers
            )
            if size > self.server.max_head:
                raise BadRequest(431, "the header section is too long")
        self._timer.header_section_complete(time.monotonic())
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise BadRequest(400, "ambiguous message length")  # guards against request smuggling
        if codings and (codings[0].lower() != b"chunked" or self._parser.get_http_version() != "1.1"):
            raise BadRequest(400, "unsupported transfer coding")
        if lengths and not lengths[0].isdigit():
            raise BadRequest(400, "Content-Length is not a number")
        if lengths and (len(lengths[0]) > 12 or int(lengths[0]) > self.server.bodies.limit):
            raise BadRequest(413, "the body is too long")
        if lengths and int(lengths[0]) > UNBUDGETED_BODY_BYTES:
            # all of it in advance, so that no two requests wait for each other
            self._reserve(int(lengths[0]))
        expects = [value.lower() for name, value in self._headers if name == b"expect"]
        if b"100-continue" in expects and (lengths or codings) and self._parser.get_http_version() == "1.1":
            self._continue_expected = True
            if not self._exchanges:
                self._send_continue()

    def _send_continue(self) -> None:
        """Sends 100 (Continue) if expected (RFC 9110, 10.1.1); only after the earlier responses."""
        if self._continue_expected and not self.closing:
            self._continue_expected = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve(self, count: int) -> None:
        if not self.server.bodies.reserve(count):
            raise BadRequest(503, "the body budget is exhausted")
        self._reserved_bytes += count

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        self._continue_expected = False  # the client did not wait
        if self._body_size > UNBUDGETED_BODY_BYTES and self._body_size > self._reserved_bytes:
            if self._body_size > self.server.bodies.limit:
                raise BadRequest(413, "the body is too long")
            # in steps: a chunked body has no stated length
            self._reserve(max(self._body_size - self._reserved_bytes, UNBUDGETED_BODY_BYTES))
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
        """Creates the exchange of a complete request and dispatches it."""
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
        """Answers a health check, rejects the request early, or passes it to the engine."""
        path, server = origin_form(url), self.server
        if path == server.health_path and method == b"GET":
            exchange.respond(200 if server.healthy else 503)
            return
        waited_ms = server.engine.clock.now() - exchange.arrived
        if waited_ms > MIN_WAIT_MS:
            damping = server.damping
            if damping.drop_departed and self.sock is not None and peer_closed(self.sock):
                self._exchanges.pop()  # the unread close will withdraw the earlier requests
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
            # the parser would swallow the error, and an unanswered request blocks all later responses
            log.exception("failed to process a request")
            if exchange.reply is None:
                exchange.failed(Failure.INTERNAL)
