"""The management server: a separate HTTP/1.1 listener that serves one request per connection.

Commands have no body and are answered with yes or no. Requests with a body read or add records that belong
to the components that run in the ingress process.

A slow or silent client does not delay another one: each has its own connection. At most MAX_CONNECTIONS are
open at once; beyond that, the oldest connection without a complete request is aborted.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, cast

import httptools

from troutdock.address import Address

log = logging.getLogger("troutdock")

MAX_CONNECTIONS = 16  # at once; they use file descriptors that are not reserved for clients or backends
REQUEST_TIMEOUT_S = 5.0  # from connecting to a complete request; clients have been seen to take 4 s
MAX_REQUEST_BYTES = 8 * 1024  # of a request without a body handler
MAX_BODY_REQUEST_BYTES = 256 * 1024  # some thousand lines; 4 MiB over all connections
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    500: b"Internal Server Error",
    408: b"Request Timeout",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}

# path -> (method, command); the command returns True for yes (200) and False for no (503)
Commands = Mapping[bytes, tuple[bytes, Callable[[], bool]]]
# (method, path) -> handler, which takes the request's body and returns the response's status and body
BodyHandlers = Mapping[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]


class ManagementServer:
    """Listens for management requests until it is closed."""

    def __init__(self, commands: Commands, body_handlers: BodyHandlers | None = None) -> None:
        self.commands, self.body_handlers = commands, body_handlers or {}
        self.tasks: dict[asyncio.Task[None], None] = {}  # body handlers that are running
        self.connections: dict[ManagementConnection, None] = {}  # not answered yet, oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Starts listening.

        Returns:
            The bound address; its port is the one that the system chose if port 0 was given.

        Raises:
            OSError: the address is in use.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ManagementConnection(self), *address
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def register(self, connection: ManagementConnection) -> None:
        """Registers a new connection; aborts the oldest one if MAX_CONNECTIONS is reached."""
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).abort()
        self.connections[connection] = None

    def close(self) -> None:
        """Stops listening, aborts open connections and cancels running body handlers."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
        for task in list(self.tasks):
            task.cancel()


class ManagementConnection(asyncio.Protocol):
    """One connection to the management server."""

    def __init__(self, owner: ManagementServer) -> None:
        self._owner = owner
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url, self._received, self._body = b"", 0, b""
        self._transport: asyncio.Transport
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._owner.register(self)
        self._timeout = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._answer, 408)

    def connection_lost(self, exc: Exception | None) -> None:
        self._unregister()
        self._parser = None  # breaks the reference cycle with this connection

    def data_received(self, data: bytes) -> None:
        if self not in self._owner.connections:
            return  # already answered: further data is dropped
        self._received += len(data)
        if self._received > MAX_BODY_REQUEST_BYTES:
            self._answer(413)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400)
        if self._received > MAX_REQUEST_BYTES and not self._has_body_handler():
            self._answer(413)

    def abort(self) -> None:
        """Aborts the connection, to make room for a new one or because the server closes."""
        self._unregister()
        self._transport.abort()

    def _unregister(self) -> None:
        self._owner.connections.pop(self, None)
        if self._timeout is not None:
            self._timeout.cancel()

    def _has_body_handler(self) -> bool:
        return any(path == self._path for _, path in self._owner.body_handlers)

    @property
    def _path(self) -> bytes:
        return self._url.partition(b"?")[0]

    async def _serve(self, handler: Callable[[bytes], Awaitable[tuple[int, bytes]]]) -> None:
        try:
            status, body = await handler(self._body)
        except Exception:  # a failing handler must not stop the ingress: only this request fails
            log.exception("management request %s failed", self._path.decode(errors="replace"))
            status, body = 500, b"an error of the ingress\n"
        log.info("management request %s: status %d", self._path.decode(errors="replace"), status)
        self._answer(status, body)

    def _answer(self, status: int, body: bytes | None = None) -> None:
        if self not in self._owner.connections:
            return
        self._unregister()
        if body is None:
            body = b"yes\n" if status == 200 else b"no: %b\n" % _REASON_PHRASES[status].lower()
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, _REASON_PHRASES[status], len(body), body)
        )
        self._transport.close()

    # ---- callbacks of the parser

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        path = self._path
        if (handler := self._owner.body_handlers.get((self._parser.get_method(), path))) is not None:
            task = asyncio.get_running_loop().create_task(self._serve(handler))
            self._owner.tasks[task] = None
            task.add_done_callback(lambda done: self._owner.tasks.pop(done, None))
            return
        if self._has_body_handler() or self._received > MAX_REQUEST_BYTES:
            self._answer(405 if self._has_body_handler() else 413)
            return
        if path not in self._owner.commands:
            self._answer(404)
            return
        method, command = self._owner.commands[path]
        if self._parser.get_method() != method:
            self._answer(405)
            return
        accepted = command()
        log.info("management request %s: %s", path.decode(), "yes" if accepted else "no")
        self._answer(200 if accepted else 503)
