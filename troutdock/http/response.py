"""Parses the responses of HTTP/1.1 servers from the bytes of one connection."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import httptools

MAX_BODY = 64 * 1024  # the protocol's limit on a body, in bytes
# bytes received before a response is streamed: faults found earlier can still be retried
STREAM_MIN_BYTES = 16 * 1024
MAX_STREAMED_BYTES = 256 * 1024 * 1024  # a streamed response with more is invalid
MAX_HEAD = 16 * 1024  # bytes of start line and header section; interim responses included

_UNITS = re.compile(rb"\d{1,6}(\.\d{1,9})?")


class BadResponse(Exception):
    """The peer sent an invalid response, or one that exceeds a limit."""


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case; repeated fields are joined by commas
    body: bytes
    keep_alive: bool
    cookies: tuple[bytes, ...] = ()  # each Set-Cookie separately: it may contain commas (RFC 9110, 5.3)

    @property
    def true_units(self) -> float:
        """The value of Billed-Units; 0 if it is missing or not a number."""
        text = self.headers.get(b"billed-units")
        return float(text) if text is not None and _UNITS.fullmatch(text) else 0.0


class ResponseReader:
    """Incremental parser: is fed the bytes of a connection and returns each complete response."""

    __slots__ = (
        "_body",
        "_cookies",
        "_done",
        "_header_bytes",
        "_headers",
        "_headers_done",
        "_in_message",
        "_max_body",
        "_parser",
        "_size",
        "_until_close",
        "streams",
        "trailing_garbage",
    )

    def __init__(self, max_body: int) -> None:
        self.streams = False  # a long successful response may be streamed
        self._parser: Any = httptools.HttpResponseParser(self)
        self._max_body = max_body
        self._done: list[Response] = []
        self._header_bytes = 0  # bytes of header sections since the last response
        self.trailing_garbage = False  # invalid data follows complete responses
        self._headers_done = self._until_close = False
        self.on_message_begin()
        self._in_message = False

    @property
    def in_message(self) -> bool:
        """True while a response is incomplete; a complete interim response does not count."""
        return self._in_message

    @property
    def should_stream(self) -> bool:
        """True if the response being received should be streamed instead of buffered."""
        if not (self._headers_done and self.streams and self._size >= STREAM_MIN_BYTES):
            return False
        length = self._headers.get(b"content-length")
        return self._streamable and (length is None or int(length) > MAX_BODY)

    @property
    def _streamable(self) -> bool:
        return 200 <= int(self._parser.get_status_code()) < 300

    def head(self) -> Response:
        """Returns the response being received, without its body."""
        return Response(self._parser.get_status_code(), self._headers, b"", False, self._cookies)

    def take_body(self) -> bytes:
        """Returns and removes the body received so far; the completed response has the rest."""
        data = b"".join(self._body)
        self._body.clear()
        return data

    def feed(self, data: bytes) -> Response | None:
        """Returns the response that these bytes complete, if any.

        Data after a complete response does not invalidate it, but its origin is unknown; the response then
        has keep_alive false, so that the connection is not reused.

        Raises:
            BadResponse: the bytes are not a valid response.
        """
        done = self.feed_responses(data)
        if not done:
            return None
        if len(done) > 1 or self.trailing_garbage or self._in_message:
            done[0].keep_alive = False
        return done[0]

    def feed_responses(self, data: bytes) -> list[Response]:
        """Returns all responses that these bytes complete, for callers that can match them to requests.

        If invalid data follows a complete response, sets trailing_garbage.

        Raises:
            BadResponse: the bytes are invalid and complete no response.
        """
        if not self._headers_done:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._done:
                raise BadResponse(repr(error.__context__ or error)) from error
            self.trailing_garbage = True
        done, self._done = self._done, []
        if done:
            self._header_bytes = 0
        elif not self._headers_done and self._header_bytes > MAX_HEAD:
            raise BadResponse(f"header section of over {MAX_HEAD} bytes")
        return done

    def complete_at_close(self) -> Response | None:
        """Handles an orderly close. Returns the response whose body ends with the connection, if any."""
        if not (self._headers_done and self._until_close):
            return None
        self._headers_done = False
        body = b"".join(self._body)
        return Response(self._parser.get_status_code(), self._headers, body, False, self._cookies)

    def close(self) -> None:
        """Releases the parser, which references this reader."""
        self._parser = None

    # ---- called by the parser

    def on_message_begin(self) -> None:
        self._in_message = True
        self._headers: dict[bytes, bytes] = {}
        self._cookies: tuple[bytes, ...] = ()
        self._body: list[bytes] = []
        self._size, self._headers_done, self._until_close = 0, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers_done:
            return  # trailer fields must not override the header section (RFC 9110, 6.5.1)
        name, value = name.lower(), value.strip(b" \t")
        before = self._headers.get(name)
        self._headers[name] = value if before is None else before + b", " + value
        if name == b"set-cookie":
            self._cookies = (*self._cookies, value)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if not 100 <= status < 600:
            raise BadResponse(f"invalid status {status}")
        if status < 200:
            return
        self._headers_done = True
        length, coding = self._headers.get(b"content-length"), self._headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise BadResponse(f"invalid framing: transfer coding {coding!r}, length {length!r}")
        elif length is not None:
            if not length.isdigit() or len(length) > 12 or int(length) > self._bound:
                raise BadResponse(f"invalid or excessive Content-Length {length[:40]!r}")
        elif status not in (204, 304):
            # RFC 9112, 6.3: the body ends with the connection. Accepted only if the server announced the
            # close; else a complete body could not be told from a truncated one.
            if b"close" not in self._headers.get(b"connection", b"").lower():
                raise BadResponse("no body length and no Connection: close")
            self._until_close = True

    @property
    def _bound(self) -> int:
        return MAX_STREAMED_BYTES if self.streams and self._streamable else self._max_body

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._bound:
            raise BadResponse(f"body of over {self._bound} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # an interim response is followed by the final one
            keep = self._parser.should_keep_alive()
            if status in (204, 304):  # no body, but a server that announced one may still send it
                length = self._headers.get(b"content-length", b"0") if status == 204 else b"0"
                keep = keep and length.strip(b"0") == b"" and b"transfer-encoding" not in self._headers
            self._done.append(Response(status, self._headers, b"".join(self._body), keep, self._cookies))
            self._body = []
        self._headers_done = self._in_message = False
