"""Responses of HTTP/1.1 servers, put together from the bytes of one connection."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_BODY = 64 * 1024  # the protocol's bound on a body, either way
MAX_HEAD = 16 * 1024  # of a request line or status line with its headers


class BadResponse(Exception):
    """The peer sent what is no response, or one past the bounds."""


@dataclass(slots=True)
class Response:
    """A whole response."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    keep_alive: bool


class ResponseReader:
    """Feed it what a connection brings; it gives each response once that is whole."""

    __slots__ = ("_body", "_done", "_headers", "_headers_done", "_max_body", "_parser", "_pending", "_size")

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._max_body = max_body
        self._done: Response | None = None
        self._pending = 0  # bytes of a head that is not complete yet
        self.on_message_begin()

    def feed(self, data: bytes) -> Response | None:
        """The response that these bytes complete; what no server should send raises BadResponse."""
        self._pending += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise BadResponse(repr(error)) from error
        if not self._headers_done and self._pending > MAX_HEAD:
            raise BadResponse(f"a head of over {MAX_HEAD} bytes")
        done, self._done = self._done, None
        return done

    def finish(self) -> Response | None:
        """The response that the end of the connection completes, if it is one that says no length."""
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        if not self._headers_done or framed:
            return None
        return Response(self._parser.get_status_code(), self._headers, b"".join(self._body), False)

    # ---- called by the parser

    def on_message_begin(self) -> None:
        if self._done is not None:
            raise BadResponse("two responses to one request")
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size, self._headers_done = 0, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._headers_done, self._pending = True, 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._max_body:
            raise BadResponse(f"a body of over {self._max_body} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # an interim response is followed by the real one
            self._done = Response(status, self._headers, b"".join(self._body),
                                  self._parser.should_keep_alive())
        self._headers_done, self._pending = False, 0
