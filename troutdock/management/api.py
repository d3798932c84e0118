"""The operators' door: a listener of its own, HTTP/1.1, one call on each connection.

Calls are answered yes or no. Books are shown and added to with bodies, by what runs beside the ingress.

A caller may be slow or silent for as long as it likes without being in another's way: each has its own
connection, there are CALLERS at most, and the one that has been here longest without a whole call makes room.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, cast

import httptools

from troutdock.address import Address

log = logging.getLogger("troutdock")

CALLERS = 16  # connections at once, out of the descriptors that are not for clients or backends
CALL_S = 5.0  # for a whole call, from the connection's start on: callers have been seen to take four
MAX_CALL = 8 * 1024  # bytes of one call
MAX_BOOK = 256 * 1024  # of one that adds to a book: some thousand lines; all callers together 4 MiB
_WORDS = {
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

# for each path the method, and what to do: the answer is yes or no
Calls = Mapping[bytes, tuple[bytes, Callable[[], bool]]]
# for method and path what to do with a body: status and body of the answer
Books = Mapping[tuple[bytes, bytes], Callable[[bytes], Awaitable[tuple[int, bytes]]]]


class Door:
    """Listens for operators' calls until it is closed."""

    def __init__(self, calls: Calls, books: Books | None = None) -> None:
        self.calls, self.books = calls, books or {}
        self.tasks: dict[asyncio.Task[None], None] = {}  # calls for books that are under way
        self.callers: dict[Caller, None] = {}  # that have no answer yet, the longest here first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Open it; gives the address, with the port that the system chose for 0. OSError if it is taken."""
        self._server = await asyncio.get_running_loop().create_server(lambda: Caller(self), *address)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def admit(self, caller: Caller) -> None:
        """A caller is here."""
        if len(self.callers) >= CALLERS:
            next(iter(self.callers)).leave()
        self.callers[caller] = None

    def close(self) -> None:
        """No more calls."""
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.leave()
        for task in list(self.tasks):
            task.cancel()


class Caller(asyncio.Protocol):
    """One operator's connection."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url, self._received, self._body = b"", 0, b""
        self._transport: asyncio.Transport
        self._late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._door.admit(self)
        self._late = asyncio.get_running_loop().call_later(CALL_S, self._answer, 408)

    def connection_lost(self, exc: Exception | None) -> None:
        self._forget()
        self._parser = None  # it holds this caller

    def data_received(self, data: bytes) -> None:
        if self not in self._door.callers:
            return  # answered: what comes behind is dropped
        self._received += len(data)
        if self._received > MAX_BOOK:
            self._answer(413)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400)
        if self._received > MAX_CALL and not self._for_book():
            self._answer(413)

    def leave(self) -> None:
        """Its place is needed, or the door closes."""
        self._forget()
        self._transport.abort()

    def _forget(self) -> None:
        self._door.callers.pop(self, None)
        if self._late is not None:
            self._late.cancel()

    def _for_book(self) -> bool:
        return any(path == self._path for _, path in self._door.books)

    @property
    def _path(self) -> bytes:
        return self._url.partition(b"?")[0]

    async def _serve(self, does: Callable[[bytes], Awaitable[tuple[int, bytes]]]) -> None:
        try:
            status, body = await does(self._body)
        except Exception:  # guards the ingress: only this call fails
            log.exception("operator: %s", self._path.decode(errors="replace"))
            status, body = 500, b"an error of the ingress\n"
        log.info("operator: %s: %d", self._path.decode(errors="replace"), status)
        self._answer(status, body)

    def _answer(self, status: int, body: bytes | None = None) -> None:
        if self not in self._door.callers:
            return
        self._forget()
        if body is None:
            body = b"yes\n" if status == 200 else b"no: %b\n" % _WORDS[status].lower()
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, _WORDS[status], len(body), body)
        )
        self._transport.close()

    # ---- called by the parser

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        path = self._path
        if (book := self._door.books.get((self._parser.get_method(), path))) is not None:
            task = asyncio.get_running_loop().create_task(self._serve(book))
            self._door.tasks[task] = None
            task.add_done_callback(lambda done: self._door.tasks.pop(done, None))
            return
        if self._for_book() or self._received > MAX_CALL:
            self._answer(405 if self._for_book() else 413)
            return
        if path not in self._door.calls:
            self._answer(404)
            return
        method, does = self._door.calls[path]
        if self._parser.get_method() != method:
            self._answer(405)
            return
        yes = does()
        log.info("operator: %s: %s", path.decode(), "yes" if yes else "no")
        self._answer(200 if yes else 503)
