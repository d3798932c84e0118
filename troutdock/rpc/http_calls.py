"""Calls from outside over HTTP/1.1: many on a connection, each with a whole body, one answer each.

What a call means is its handler's; here are framing and bounds. Callers are machines that try elsewhere
after a second of silence, so whatever can't be answered is answered with 503 at once.
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

MAX_CONNECTIONS = (
    512  # connections at once; the one that has been here longest without a call under way makes room
)
MAX_HEADER_BYTES = 16 * 1024  # bytes
MAX_BUFFERED_BYTES = (
    96 * 1024 * 1024
)  # bytes of all bodies together: a process of a core machine has some 300 MB
MAX_BODY_BYTES = 64 * 1024  # bytes of one body, where the server is not told otherwise
MAX_DISCARDED_BYTES = (
    128 * 1024 * 1024
)  # bytes of a body that is too long: read to its end, for its caller to hear why
IDLE_S = 30.0  # a connection between calls is closed after this
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class HttpResponse(NamedTuple):
    """status; body: JSON or nothing; location: of a redirect."""

    status: int
    body: bytes = b""
    location: str = ""


class HttpRequest(NamedTuple):
    """One call. path: without its query. error_status: a status where its body could not be taken, else 0."""

    method: bytes
    path: bytes
    body: bytes
    error_status: int = 0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Listens until it is closed."""

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """max_body_bytes, max_buffered_bytes: bytes of one body, and of all that are not answered."""
        self.handler, self.max_body_bytes, self.max_buffered_bytes = (
            handler,
            max_body_bytes,
            max_buffered_bytes,
        )
        self.connections: dict[_HttpConnection, None] = {}
        self.buffered_bytes = 0  # bytes of bodies that have come and are not answered
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None

    async def listen(self, address: Address) -> Address:
        """Open it; gives the address, with the port that the system chose for 0. OSError if it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _HttpConnection(self), *address, backlog=512)
        self._look()
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        for caller in list(self.connections):
            caller.sweep(loop.time())
        self._sweep = loop.call_later(1.0, self._look)

    def admit(self, caller: _HttpConnection) -> None:
        """A connection is here."""
        if len(self.connections) >= MAX_CONNECTIONS:
            spare = next((c for c in self.connections if not c.busy), None)
            if spare is not None:
                spare.leave()
        self.connections[caller] = None

    def close(self) -> None:
        """No more calls."""
        if self._server is not None:
            self._server.close()
        if self._sweep is not None:
            self._sweep.cancel()
        for caller in list(self.connections):
            caller.leave()


class _HttpConnection(asyncio.Protocol):
    """One connection; calls that stand in a row are answered in their order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._waiting: deque[tuple[HttpRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._quiet_since = asyncio.get_running_loop().time()
        self._held = 0  # bytes of bodies, of what the server holds
        self._clear()

    def _clear(self) -> None:
        self._url, self._size, self._head = b"", 0, 0
        self._error_status = 0  # a status: the body is read to its end and thrown away
        self._body: list[bytes] = []

    @property
    def busy(self) -> bool:
        """A call is under way."""
        return self._task is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.admit(self)

    def _hold(self, count: int) -> None:
        self._held += count
        self._server.buffered_bytes += count

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.pop(self, None)
        self._hold(-self._held)
        self._parser = None  # it holds this caller

    def sweep(self, now: float) -> None:
        """Close what stands idle."""
        if not self.busy and now - self._quiet_since > IDLE_S:
            self.leave()

    def leave(self) -> None:
        """Its place is needed, or the server closes."""
        self._server.connections.pop(self, None)
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._parser is None or self._transport.is_closing():
            return
        self._quiet_since = asyncio.get_running_loop().time()
        self._head += len(data)
        try:
            self._parser.feed_data(data)
            if self._head - self._size > MAX_HEADER_BYTES + self._size:
                self._end(431)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(413 if isinstance(error.__context__, OverflowError) else 400)

    def _end(self, status: int) -> None:
        self._write(HttpResponse(status), False)
        self._transport.close()

    # ---- called by the parser

    def on_message_begin(self) -> None:
        self._clear()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_DISCARDED_BYTES:
            raise OverflowError
        if not self._error_status and self._size > self._server.max_body_bytes:
            self._refuse(413)
        elif (
            not self._error_status
            and self._server.buffered_bytes + len(data) > self._server.max_buffered_bytes
        ):
            self._refuse(503)
        if not self._error_status:
            self._hold(len(data))
            self._body.append(data)

    def _refuse(self, status: int) -> None:
        """Nothing of this body is kept; the rest is read, as closing now would reset the connection."""
        self._error_status = status
        self._hold(-sum(map(len, self._body)))
        self._body.clear()

    def on_message_complete(self) -> None:
        path = self._url.partition(b"?")[0]
        call = HttpRequest(self._parser.get_method(), path, b"".join(self._body), self._error_status)
        self._waiting.append((call, self._parser.should_keep_alive()))
        self._clear()
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._waiting and not self._transport.is_closing():
                call, keeps = self._waiting.popleft()
                try:
                    reply = self._refusal(call) if call.error_status else await self._server.handler(call)
                except Exception:  # guards the process: only this call fails
                    log.exception("Call failed: {}.", call.path.decode(errors="replace"))
                    reply = HttpResponse(500)
                self._hold(-min(self._held, len(call.body)))
                self._write(reply, keeps)
                if not keeps:
                    self._transport.close()
        finally:
            self._task = None
            self._quiet_since = asyncio.get_running_loop().time()

    def _refusal(self, call: HttpRequest) -> HttpResponse:
        room = (
            "no room just now" if call.error_status == 503 else f"{self._server.max_body_bytes} bytes at most"
        )
        why = f"body: {room}"
        return HttpResponse(call.error_status, b'{"error":"%b"}' % why.encode())

    def _write(self, reply: HttpResponse, keeps: bool) -> None:
        lines = [
            b"HTTP/1.1 %d %b" % (reply.status, _REASON_PHRASES.get(reply.status, b"")),
            b"Content-Length: %d" % len(reply.body),
        ]
        if reply.body:
            lines.append(b"Content-Type: application/json")
        if reply.location:
            lines.append(b"Location: " + reply.location.encode())
        if not keeps:
            lines.append(b"Connection: close")
        self._transport.write(b"\r\n".join([*lines, b"", reply.body]))
