"""Responses of HTTP/1.1 servers, put together from the bytes of one connection."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import httptools

MAX_BODY = 64 * 1024  # the protocol's bound on a body
# bytes that have to be there before an answer is passed on as it comes: what is spoilt shows by then, and can
# be tried again
STREAM_MIN_BYTES = 16 * 1024
MAX_STREAMED_BYTES = (
    256 * 1024 * 1024
)  # bytes of such an answer; one that says it has more is taken for spoilt
MAX_HEAD = 16 * 1024  # of a request line or status line with its headers; interim responses count too

_UNITS = re.compile(rb"\d{1,6}(\.\d{1,9})?")


class BadResponse(Exception):
    """The peer sent what is no response, or one past the bounds."""


@dataclass(slots=True)
class Response:
    """A whole response."""

    status: int
    headers: dict[bytes, bytes]  # names in lower case; one that comes again has its values joined by commas
    body: bytes
    keep_alive: bool
    cookies: tuple[bytes, ...] = ()  # each Set-Cookie by itself: commas stand in them (RFC 9110, 5.3)

    @property
    def true_units(self) -> float:
        """Billed-Units; 0 where it is missing or no number."""
        text = self.headers.get(b"billed-units")
        return float(text) if text is not None and _UNITS.fullmatch(text) else 0.0


class ResponseReader:
    """Feed it what a connection brings; it gives each response once that is whole."""

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
        self.streams = False  # a long good response may be taken in pieces
        self._parser: Any = httptools.HttpResponseParser(self)
        self._max_body = max_body
        self._done: list[Response] = []
        self._header_bytes = 0  # bytes of heads since the last response
        self.trailing_garbage = False  # what came behind whole responses is none
        self._headers_done = self._until_close = False
        self.on_message_begin()
        self._in_message = False

    @property
    def in_message(self) -> bool:
        """Bytes have come of a response that is not whole; a whole interim one counts for nothing."""
        return self._in_message

    @property
    def should_stream(self) -> bool:
        """A good response is coming that is better passed on than held."""
        if not (self._headers_done and self.streams and self._size >= STREAM_MIN_BYTES):
            return False
        length = self._headers.get(b"content-length")
        return self._streamable and (length is None or int(length) > MAX_BODY)

    @property
    def _streamable(self) -> bool:
        return 200 <= int(self._parser.get_status_code()) < 300

    def head(self) -> Response:
        """The response that is coming, without its body."""
        return Response(self._parser.get_status_code(), self._headers, b"", False, self._cookies)

    def take_body(self) -> bytes:
        """What has come of its body since the last time; the response that ends it has the rest."""
        data = b"".join(self._body)
        self._body.clear()
        return data

    def feed(self, data: bytes) -> Response | None:
        """The response that these bytes complete; what no server should send raises BadResponse.

        What stands behind a whole response takes nothing from it, but nobody can tell what that is: the
        response then says that the connection is of no further use.
        """
        done = self.feed_responses(data)
        if not done:
            return None
        if len(done) > 1 or self.trailing_garbage or self._in_message:
            done[0].keep_alive = False
        return done[0]

    def feed_responses(self, data: bytes) -> list[Response]:
        """All responses that these bytes complete, for who can tell whose they are.

        BadResponse where these bytes are no response and complete none; spoilt where they do and what stands
        behind is none.
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
            raise BadResponse(f"a head of over {MAX_HEAD} bytes")
        return done

    def complete_at_close(self) -> Response | None:
        """The connection has ended in order: the response whose end that is, if one has been coming."""
        if not (self._headers_done and self._until_close):
            return None
        self._headers_done = False
        body = b"".join(self._body)
        return Response(self._parser.get_status_code(), self._headers, body, False, self._cookies)

    def close(self) -> None:
        """Nothing more is fed: the parser, which holds this reader, is let go."""
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
            return  # a trailer takes nothing back of what the head has said (RFC 9110, 6.5.1)
        name, value = name.lower(), value.strip(b" \t")
        before = self._headers.get(name)
        self._headers[name] = value if before is None else before + b", " + value
        if name == b"set-cookie":
            self._cookies = (*self._cookies, value)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if not 100 <= status < 600:
            raise BadResponse(f"a status of {status}")
        if status < 200:
            return
        self._headers_done = True
        length, coding = self._headers.get(b"content-length"), self._headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise BadResponse(f"framed by {coding!r} and length {length!r}")
        elif length is not None:
            if not length.isdigit() or len(length) > 12 or int(length) > self._bound:
                raise BadResponse(f"a body of {length[:40]!r} bytes")
        elif status not in (204, 304):
            # RFC 9112, 6.3: the connection's end is the body's. Only where the server has said that it will
            # end: else nobody could tell a whole one from one that was cut off.
            if b"close" not in self._headers.get(b"connection", b"").lower():
                raise BadResponse("a body of no stated length")
            self._until_close = True

    @property
    def _bound(self) -> int:
        return MAX_STREAMED_BYTES if self.streams and self._streamable else self._max_body

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._bound:
            raise BadResponse(f"a body of over {self._bound} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # an interim response is followed by the real one
            keep = self._parser.should_keep_alive()
            if status in (204, 304):  # its head ends it, but who has said otherwise may still send a body
                length = self._headers.get(b"content-length", b"0") if status == 204 else b"0"
                keep = keep and length.strip(b"0") == b"" and b"transfer-encoding" not in self._headers
            self._done.append(Response(status, self._headers, b"".join(self._body), keep, self._cookies))
            self._body = []
        self._headers_done = self._in_message = False
