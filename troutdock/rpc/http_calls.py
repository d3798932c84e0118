"""HTTP/1.1 server for requests from outside the system, with persistent connections and bounded buffers.

This module does the framing and enforces the limits; the handler gives requests their meaning. Each request
is passed to the handler with its complete body. Clients are programs that try another machine after a
second without a response, so a request that cannot be processed is answered with 503 at once.

Memory is bounded for requests and for responses. A body counts until its request is answered, also if the
client has left meanwhile. Responses that clients have not read yet count once for each distinct body, since
connections share the bytes; a client that does not read its response for RESPONSE_TIMEOUT_S is disconnected.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple, cast

import httptools
import logbook

from troutdock.rpc.connection import Address

log = logbook.Logger("calls")

MAX_CONNECTIONS = 512  # above this, the oldest connection without a request in progress is closed
MAX_HEADER_BYTES = 16 * 1024
MAX_BUFFERED_BYTES = 96 * 1024 * 1024  # all bodies together: a process of a core machine has some 300 MB
MAX_BODY_BYTES = 64 * 1024  # default limit for one body
MAX_DISCARDED_BYTES = 128 * 1024 * 1024  # of a rejected body, read so that the client receives the response
IDLE_TIMEOUT_S = 30.0  # for a connection without a request in progress
MAX_SHORT_BODY_BYTES = 64 * 1024  # longer response bodies count towards the limit on unread ones
RESPONSE_TIMEOUT_S = 10.0  # for a client to read its response
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class HttpResponse(NamedTuple):
    """A response. body: JSON or empty; location: the target of a redirect."""

    status: int
    body: bytes = b""
    location: str = ""


class HttpRequest(NamedTuple):
    """A request. path: without the query; error_status: the status if the body was rejected, else 0."""

    method: bytes
    path: bytes
    body: bytes
    error_status: int = 0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Accepts connections and passes each request to a handler, until close() is called.

    Attributes:
        buffered_bytes: Body bytes of requests that are not answered yet.
    """

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """Creates a server; listen() starts it.

        Args:
            handler: Returns the response to a request.
            max_body_bytes: Limit for one body.
            max_buffered_bytes: Limit for the bodies of all requests that are not answered yet.
        """
        self.handler, self.max_body_bytes, self.max_buffered_bytes = (
            handler,
            max_body_bytes,
            max_buffered_bytes,
        )
        self.connections: dict[_HttpConnection, None] = {}
        self.buffered_bytes = 0
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: Address) -> Address:
        """Starts listening.

        Returns:
            The bound address; for port 0, with the port that the operating system chose.

        Raises:
            OSError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _HttpConnection(self), *address, backlog=512)
        self._close_idle_connections()
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _close_idle_connections(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            connection.close_if_idle(loop.time())
        self._sweep_timer = loop.call_later(1.0, self._close_idle_connections)

    def can_send(self, body: bytes) -> bool:
        """Returns whether a response body fits beside those that clients have not read yet."""
        if len(body) <= MAX_SHORT_BODY_BYTES:
            return True
        unread = {id(sent): len(sent) for c in self.connections if (sent := c.unread_body)}
        unread[id(body)] = len(body)
        return len(unread) == 1 or sum(unread.values()) <= self.max_buffered_bytes

    def register(self, connection: _HttpConnection) -> None:
        """Adds a connection; above MAX_CONNECTIONS, closes the oldest one that is not busy."""
        if len(self.connections) >= MAX_CONNECTIONS:
            idle = next((c for c in self.connections if not c.busy), None)
            if idle is not None:
                idle.close()
        self.connections[connection] = None

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()


class _HttpConnection(asyncio.Protocol):
    """A connection; pipelined requests are answered in their order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._pending: deque[tuple[HttpRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._idle_since = asyncio.get_running_loop().time()
        self._buffered_bytes = 0  # the part of the server's buffered_bytes that belongs to this connection
        self._handled_bytes = 0  # the part of that which the handler is processing
        self._response_body = b""  # of the last response, if it is long
        self._reset_request()

    def _reset_request(self) -> None:
        self._url, self._body_bytes, self._received_bytes = b"", 0, 0
        self._error_status = 0  # if not 0, the rest of the body is read and discarded
        self._body: list[bytes] = []

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def unread_body(self) -> bytes:
        """The body of the last response if it is long, empty once the client has read it."""
        if self._response_body and not self._transport.get_write_buffer_size():
            self._response_body = b""
        return self._response_body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.register(self)

    def _count_buffered(self, count: int) -> None:
        self._buffered_bytes += count
        self._server.buffered_bytes += count

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.pop(self, None)
        self._pending.clear()
        self._body.clear()
        self._response_body = b""
        self._count_buffered(self._handled_bytes - self._buffered_bytes)
        self._parser = None  # it refers to this object: breaks the reference cycle

    def close_if_idle(self, now: float) -> None:
        """Closes the connection if it is idle, or aborts it if the client does not read its response."""
        if self.busy:
            return
        idle_s = now - self._idle_since
        if idle_s > RESPONSE_TIMEOUT_S and self._transport.get_write_buffer_size():
            self._transport.abort()
        elif idle_s > IDLE_TIMEOUT_S:
            self.close()

    def close(self) -> None:
        """Closes the connection and removes it from the server."""
        self._server.connections.pop(self, None)
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._parser is None or self._transport.is_closing():
            return
        self._idle_since = asyncio.get_running_loop().time()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._received_bytes - self._body_bytes > MAX_HEADER_BYTES + self._body_bytes:
                self._send_error_and_close(431)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._send_error_and_close(413 if isinstance(error.__context__, OverflowError) else 400)

    def _send_error_and_close(self, status: int) -> None:
        self._write(HttpResponse(status), False)
        self._transport.close()

    # ---- callbacks of the parser

    def on_message_begin(self) -> None:
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MAX_DISCARDED_BYTES:
            raise OverflowError
        if not self._error_status and self._body_bytes > self._server.max_body_bytes:
            self._reject_body(413)
        elif (
            not self._error_status
            and self._server.buffered_bytes + len(data) > self._server.max_buffered_bytes
        ):
            self._reject_body(503)
        if not self._error_status:
            self._count_buffered(len(data))
            self._body.append(data)

    def _reject_body(self, status: int) -> None:
        """Discards the body. The rest of it is still read, as closing now would reset the connection."""
        self._error_status = status
        self._count_buffered(-sum(map(len, self._body)))
        self._body.clear()

    def on_message_complete(self) -> None:
        path = self._url.partition(b"?")[0]
        request = HttpRequest(self._parser.get_method(), path, b"".join(self._body), self._error_status)
        self._pending.append((request, self._parser.should_keep_alive()))
        self._reset_request()
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._pending and not self._transport.is_closing():
                request, keep_alive = self._pending.popleft()
                response = await self._handle(request)
                del request  # its body is not counted any more
                if self._transport.is_closing():
                    break
                self._write(response, keep_alive)
                if not keep_alive:
                    self._transport.close()
        finally:
            self._task = None
            self._idle_since = asyncio.get_running_loop().time()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.error_status:
            return self._error_response(request)
        self._handled_bytes = len(request.body)
        try:
            return await self._server.handler(request)
        except Exception:  # a fault in the handler fails this request only
            log.exception("Request failed: {}.", request.path.decode(errors="replace"))
            return HttpResponse(500)
        finally:
            self._count_buffered(-self._handled_bytes)
            self._handled_bytes = 0

    def _error_response(self, request: HttpRequest) -> HttpResponse:
        limit = (
            "server buffers are full"
            if request.error_status == 503
            else f"{self._server.max_body_bytes} bytes at most"
        )
        reason = f"body: {limit}"
        return HttpResponse(request.error_status, b'{"error":"%b"}' % reason.encode())

    def _write(self, response: HttpResponse, keep_alive: bool) -> None:
        if not self._server.can_send(response.body):
            response = HttpResponse(503, b'{"error":"server buffers are full"}')
        lines = [
            b"HTTP/1.1 %d %b" % (response.status, _REASON_PHRASES.get(response.status, b"")),
            b"Content-Length: %d" % len(response.body),
        ]
        if response.body:
            lines.append(b"Content-Type: application/json")
        if response.location:
            lines.append(b"Location: " + response.location.encode())
        if not keep_alive:
            lines.append(b"Connection: close")
        lines += [b"", b""]
        self._response_body = response.body if len(response.body) > MAX_SHORT_BODY_BYTES else b""
        # the body is not copied, so several connections may share it
        self._transport.writelines([b"\r\n".join(lines), response.body])
