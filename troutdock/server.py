"""The client side: connections, requests and answers in HTTP/1.1, and the end of service."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections import deque
from http import HTTPStatus
from typing import cast

import httptools

from troutdock.address import Address
from troutdock.http1 import MAX_BODY, MAX_HEAD
from troutdock.ingress import Call, Ingress
from troutdock.request import BadRequest, Reader

log = logging.getLogger("troutdock")

MAX_PIPELINED = 8  # answers owed on one connection before reading pauses
MAX_MESSAGE = 8 * MAX_BODY  # bytes of one message in all, chunk framing too
IDLE_S = 60.0  # a client's connection without a request, or in the middle of one, is closed after this
LINGER_S = 1.0  # what a client still sends is read and dropped for so long, so that it can read its answer
ACCEPT_PAUSE_S = 0.05
DRAIN_ACCEPT_S, DRAIN_QUIET_S, DRAIN_MOST_S = 0.4, 0.2, 1.0  # how long SIGTERM leaves the door open

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Exchange:
    """One request on a client's connection, and its answer once there is one."""

    __slots__ = ("arrived", "call", "connection", "keep_alive", "reply")

    def __init__(self, connection: ClientConnection, keep_alive: bool) -> None:
        self.connection, self.keep_alive = connection, keep_alive
        self.arrived = time.monotonic()
        self.call: Call | None = None
        self.reply: bytes | None = None

    def answer(self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """The final answer; it goes out when those before it on the connection have."""
        if self.reply is not None:
            raise RuntimeError("a second answer to one request")
        if self.connection.server.draining:
            self.keep_alive = False
        lines = [b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b"")), b"Content-Length: %d" % len(body)]
        lines += [b"%b: %b" % pair for pair in headers]
        if not self.keep_alive:
            lines.append(b"Connection: close")
        self.reply = b"\r\n".join(lines) + b"\r\n\r\n" + body
        self.connection.flush()


class ClientConnection(asyncio.Protocol):
    """A connection of a client; requests may come in pieces, in a row, or chunked."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._received = 0  # bytes of the message that is coming
        self._in_head = True
        self._deaf = False  # the connection is about to end: nothing more is taken
        self._paused = False
        self.active = time.monotonic()
        self._transport: asyncio.Transport
        self.on_message_begin()

    @property
    def idle(self) -> bool:
        """True between requests."""
        return not self._exchanges and not self._received

    def stale(self, before: float) -> bool:
        """True if nothing has come since that time, nor is anything owed."""
        return not self._exchanges and self.active < before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by name

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        self.active = time.monotonic()
        self._received += len(data)
        try:
            self._parser.feed_data(data)
            if self._in_head and self._received > MAX_HEAD:
                raise BadRequest(431, "the head is too long")
            if self._received > MAX_MESSAGE:
                raise BadRequest(413, "the message is too long")
        except BadRequest as error:
            self._reject(error.status)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered as any other, and the connection ends with it
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject(cause.status if isinstance(cause, BadRequest) else 400)
        if len(self._exchanges) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _reject(self, status: int) -> None:
        """What came is no request, and where the next would begin can't be told."""
        if not self._deaf:
            exchange = Exchange(self, False)
            self._exchanges.append(exchange)
            self._deaf = True
            exchange.answer(status)

    def connection_lost(self, exc: Exception | None) -> None:
        self._deaf = True
        self.server.forget(self)
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            if exchange.reply is None and exchange.call is not None:
                self.server.ingress.withdraw(exchange.call)

    def flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self._exchanges and self._exchanges[0].reply is not None:
            exchange = self._exchanges.popleft()
            self._transport.write(exchange.reply or b"")
            if not exchange.keep_alive:
                self._end()
                return
        self.active = time.monotonic()
        if self._paused and len(self._exchanges) < MAX_PIPELINED:
            self._paused = False
            self._transport.resume_reading()

    def _end(self) -> None:
        """Say goodbye, but read on for a while: an unread byte would take the answer with it."""
        self._deaf = True
        if self._received or self._exchanges:
            if self._transport.can_write_eof():
                self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)
        else:
            self._transport.close()

    def close(self) -> None:
        """Close the connection between requests, once its last answer is out."""
        self._deaf = True
        self._transport.close()

    def abort(self) -> None:
        """Close at once: guards against a client that never reads its answer, or never ends its request."""
        self._deaf = True
        self._transport.abort()

    # ---- called by the parser

    def on_message_begin(self) -> None:
        self._url, self._size = b"", 0
        self._body: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BODY:
            raise BadRequest(413, "the body is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._received = 0
        if self._deaf:
            return
        exchange = Exchange(self, self._parser.should_keep_alive() and not self._parser.should_upgrade())
        self._exchanges.append(exchange)
        method = self._parser.get_method()
        if not exchange.keep_alive:
            self._deaf = True
        if self._url == b"/healthz" and method == b"GET":
            exchange.answer(200 if self.server.ingress.ready and not self.server.draining else 503)
            return
        try:
            request = self.server.reader.read(method, self._url, self._headers, b"".join(self._body))
        except BadRequest as error:
            exchange.answer(error.status, error.reason.encode(), ((b"Content-Type", b"text/plain"),))
            return
        call = self.server.ingress.arrive(request, exchange)
        exchange.call = call


class Server:
    """Accepts clients within a bound on their connections, until it is told to drain."""

    def __init__(self, ingress: Ingress, reader: Reader, max_clients: int) -> None:
        self.ingress, self.reader = ingress, reader
        self.draining = False
        self._max_clients = max_clients
        self._loop = asyncio.get_running_loop()
        self._clients: dict[ClientConnection, None] = {}
        self._starting: set[asyncio.Task[None]] = set()  # held here, as the loop holds tasks only weakly
        self._last_accept = 0.0
        self._accepting = False
        self._listener: socket.socket

    def listen(self, address: Address) -> Address:
        """Open the door; gives the address, with the port that the system chose for 0."""
        self._listener = socket.create_server(address, backlog=1024)
        self._listener.setblocking(False)
        self._resume()
        host, port = self._listener.getsockname()[:2]
        return host, port

    # The loop's own server can't pause accepting: it would take connections past the bound on sockets.

    def _resume(self) -> None:
        if not self._accepting and self._listener.fileno() >= 0:
            self._accepting = True
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._listener.fileno())

    def _accept(self) -> None:
        while True:
            full = len(self._clients) + len(self._starting) >= self._max_clients
            idle = self._longest_idle() if full else None
            if full and idle is None:
                self._pause()  # the kernel's queue holds the rest until a connection ends
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                log.warning("accepting pauses: %s", error)
                self._pause()
                self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if idle is not None:
                self._clients.pop(idle)
                idle.close()
            sock.setblocking(False)
            self._last_accept = time.monotonic()
            task = self._loop.create_task(self._start(sock))
            self._starting.add(task)
            task.add_done_callback(self._started)

    async def _start(self, sock: socket.socket) -> None:
        try:
            _, connection = await self._loop.connect_accepted_socket(lambda: ClientConnection(self), sock)
            self._clients[connection] = None
        except OSError:
            sock.close()

    def _started(self, task: asyncio.Task[None]) -> None:
        self._starting.discard(task)
        self._resume()  # for a moment the connection counted twice

    def _longest_idle(self) -> ClientConnection | None:
        return min((c for c in self._clients if c.idle), key=lambda c: c.active, default=None)

    def forget(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self._clients.pop(connection, None)
        self._resume()

    def sweep(self) -> None:
        """Close the connections that clients have left standing."""
        before = time.monotonic() - IDLE_S
        for connection in [c for c in self._clients if c.stale(before)]:
            connection.abort()

    async def drain(self) -> None:
        """Take what still comes, finish all that was taken, then close the door."""
        self.draining = True
        began = time.monotonic()
        for connection in [c for c in self._clients if c.idle]:
            connection.close()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            quiet = now - self._last_accept > DRAIN_QUIET_S
            if now - began > (DRAIN_ACCEPT_S if quiet else DRAIN_MOST_S):
                break
        self._accept()
        self._pause()
        self._listener.close()
        while self._starting or self._clients:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for connection in list(self._clients):
                if connection.stale(now - LINGER_S):
                    connection.abort()
                elif connection.idle and connection.stale(now - DRAIN_QUIET_S):
                    connection.close()
