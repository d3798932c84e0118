"""The proxy's handling of backend responses that are late, duplicate, early, malformed or missing.

Each row is run with requests that may and may not be repeated, on a new and on a reused connection, with a second
backend that works and with one that fails in the same way. Each run records whether the request ran (as seen by the
backends), what the client received, and how often it was sent. `broken_rules` has the rules that every row must meet.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from itertools import product
from random import Random
from typing import Any

import pytest
import uvloop
from scripted import Asker, Conn, Got, Script, Scripted, Seen, answer, good

from troutdock.settings.boot import parse_boot
from troutdock.settings.configuration import Configuration, read_configuration
from troutdock.proxy import daemon as daemon_module
from troutdock.proxy import request_reader
from troutdock.proxy.daemon import Ingress
from troutdock.proxy.request_reader import RoutedRequest
from troutdock.proxy.route_table import RouteTable
from troutdock.endpoints.endpoint_table import Endpoint
from troutdock.admission import proxy_admission
from troutdock.admission.interface import Outcome
from troutdock.engine import ProtocolTraits
from troutdock.http import exchange as exchange_module
from troutdock.http import response as response_module
from troutdock.http import transport as transport_module
from troutdock.http.response import Response

AT_ONCE = 24  # concurrent runs
LONG = b"x" * 1_000_000  # more than the socket buffers of scripted.py hold
SHORT_MS = 400  # the deadline of rows in which nothing else ends the request

# the documented handling of a row's response
SERVED = "a complete successful response: passed on unchanged"
OWN = "the backend's own error: passed on unchanged, or replaced by another attempt's if a repeat is safe"
NEVER = "proven not to have run: may be sent to a second backend"
MAYBE = "unknown whether it ran: sent again only if a repeat is safe"
CUT = "a long response that ends early: partly passed on, so the client's response is cut off"
EITHER = "the connection closes while the request is written: NEVER or MAYBE, depending on timing"


@dataclass(frozen=True)
class Row:
    """script: the backend's handling of the request; before: of its idle connection, at_door: of a new one."""

    script: Script
    kind: str
    status: int = 200
    body: bytes | None = None  # of the client's response; None: that of a working backend
    kept: tuple[bool, ...] = (False, True)
    long: bool = False
    deadline_ms: int = 5000
    before: Callable[[Conn], Awaitable[None]] | None = None
    at_door: Callable[[Conn], Awaitable[None]] | None = None
    warm: Script = good  # the response that leaves an idle connection
    idle_s: float = 0.1  # how long it has been idle
    same_id: bool = False  # the previous request had the same id
    moved: bool | None = None  # whether a request uses a new connection although one is idle


Act = Callable[[Conn, Seen], Awaitable[None]]


def after_whole(*acts: Act) -> Script:
    """Reads the complete request, which runs, then performs the acts in order."""

    async def script(conn: Conn) -> None:
        seen = await conn.whole()
        for act in acts:
            await act(conn, seen)

    return script


def after_head(*acts: Act) -> Script:
    """Performs the acts before any of the body is read."""

    async def script(conn: Conn) -> None:
        seen = await conn.head()
        for act in acts:
            await act(conn, seen)

    return script


def unread(*acts: Act) -> Script:
    """Performs the acts before any byte is read, once some have arrived."""

    async def script(conn: Conn) -> None:
        seen = Seen("", {})
        for act in acts:
            await act(conn, seen)

    return script


def says(*args: Any, **more: Any) -> Act:
    async def act(conn: Conn, seen: Seen) -> None:
        await conn.send(answer(seen, *args, **more))

    return act


def part(upto: int | bytes, *args: Any, **more: Any) -> Act:
    """Sends the beginning of a response: a number of bytes, or up to and including the given bytes."""

    async def act(conn: Conn, seen: Seen) -> None:
        data = answer(seen, *args, **more)
        await conn.send(data[:upto] if isinstance(upto, int) else data[: data.index(upto) + len(upto)])

    return act


def raw(data: bytes) -> Act:
    async def act(conn: Conn, seen: Seen) -> None:
        await conn.send(data)

    return act


async def reset(conn: Conn, seen: Seen) -> None:
    conn.reset()


async def close(conn: Conn, seen: Seen) -> None:
    conn.close()


async def silence(conn: Conn, seen: Seen) -> None:
    await conn.gone()
    conn.over = True


async def then_given_up(conn: Conn, seen: Seen) -> None:
    """Stays silent: the proxy has to close the connection itself."""
    await silence(conn, seen)


def both(*acts: Act) -> Act:
    """Sends the bytes of all acts in one segment."""

    async def act(conn: Conn, seen: Seen) -> None:
        class Gather:
            data = b""

            async def send(self, data: bytes) -> None:
                self.data += data

        gather = Gather()
        for each in acts:
            await each(gather, seen)  # type: ignore[arg-type]
        await conn.send(gather.data)

    return act


async def close_idle(conn: Conn) -> None:
    conn.close()


async def reset_idle(conn: Conn) -> None:
    await conn.leave()
    conn.reset()


async def reset_at_door(conn: Conn) -> None:
    conn.reset()


async def unasked(conn: Conn) -> None:
    await conn.send(answer(Seen("", {"attempt-id": "unasked", "x-nonce": "unasked"})))


async def unasked_decline(conn: Conn) -> None:
    await conn.send(answer(Seen("", {}), 503, "Not-Executed: 1", id=None, stamp=False))


async def interim(conn: Conn) -> None:
    await conn.send(b"HTTP/1.1 100 Continue\r\n\r\n")


STALE = "0123456789abcdef"  # another request's id
NE = "Not-Executed: 1"
LONG_BODY = bytes(range(256)) * 600  # streamed
HEAD_END = b"\r\n\r\n"

ROWS: dict[str, Row] = {
    # sound answers
    "good": Row(good, SERVED, moved=False),
    "good chunked": Row(after_whole(says(chunked=True)), SERVED),
    "good, and the connection closes": Row(after_whole(says(200, "Connection: close"), close), SERVED),
    "good, without a length to the end": Row(
        after_whole(says(200, "Connection: close", length=None), close), SERVED
    ),
    "good of another 2xx": Row(after_whole(says(201)), SERVED, 201),
    "good of an unknown 2xx": Row(after_whole(says(299)), SERVED, 299),
    "good and long": Row(after_whole(says(body=LONG_BODY)), SERVED, body=LONG_BODY),
    "good and long, chunked": Row(after_whole(says(body=LONG_BODY, chunked=True)), SERVED, body=LONG_BODY),
    "good and long, of another 2xx": Row(after_whole(says(201, body=LONG_BODY)), SERVED, 201, body=LONG_BODY),
    "204": Row(after_whole(says(204, body=b"", length=None)), SERVED, 204, b""),
    "204 with a length of nought": Row(after_whole(says(204, body=b"")), SERVED, 204, b""),
    "204 with a length": Row(after_whole(says(204, body=b"", length=5)), SERVED, 204, b""),
    "204 and a body behind it": Row(after_whole(says(204, body=b"hello", length=5)), SERVED, 204, b""),
    "204 and a body behind it, later": Row(
        after_whole(says(204, body=b"", length=5), raw(b"hello")), SERVED, 204, b""
    ),
    "204 in chunks": Row(
        after_whole(says(204, "Transfer-Encoding: chunked", body=b"", length=None), raw(b"0\r\n\r\n")),
        SERVED,
        204,
        b"",
    ),
    "304": Row(after_whole(says(304, body=b"", length=None)), SERVED, 304, b""),
    "304 with a length": Row(after_whole(says(304, body=b"", length=7)), SERVED, 304, b""),
    "304 and a body behind it": Row(after_whole(says(304, body=b"hello")), SERVED, 304, b""),
    # interim answers
    "100 first": Row(after_whole(raw(b"HTTP/1.1 100 Continue\r\n\r\n"), says()), SERVED),
    "103 first": Row(after_whole(raw(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), says()), SERVED),
    "several interim": Row(
        after_whole(*[raw(b"HTTP/1.1 %d X\r\nX: y\r\n\r\n" % n) for n in (100, 102, 103, 103)], says()),
        SERVED,
    ),
    "interim in one segment with it": Row(after_whole(both(raw(b"HTTP/1.1 103 X\r\n\r\n"), says())), SERVED),
    "interim with a length": Row(
        after_whole(raw(b"HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\n"), says()), SERVED
    ),
    "interim that says Not-Executed": Row(
        after_whole(raw(b"HTTP/1.1 103 X\r\nNot-Executed: 1\r\n\r\n"), close), MAYBE
    ),
    "interim and a close": Row(after_whole(raw(b"HTTP/1.1 100 Continue\r\n\r\n"), close), MAYBE),
    "interim and a reset": Row(after_whole(raw(b"HTTP/1.1 100 Continue\r\n\r\n"), reset), MAYBE),
    "interim and silence": Row(
        after_whole(raw(b"HTTP/1.1 100 Continue\r\n\r\n"), silence), MAYBE, deadline_ms=SHORT_MS
    ),
    "interim without end": Row(
        after_whole(raw(b"HTTP/1.1 103 X\r\nX: y\r\n\r\n" * 2000), then_given_up), MAYBE
    ),
    "interim ahead of the request": Row(good, SERVED, kept=(True,), before=interim),
    "101": Row(
        after_whole(raw(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), then_given_up), MAYBE
    ),
    "a status below 100": Row(
        after_whole(raw(b"HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nhello"), says()), MAYBE
    ),
    "a status of nought": Row(after_whole(raw(b"HTTP/1.1 000 X\r\n\r\n"), then_given_up), MAYBE),
    # missing
    "reset, no byte read": Row(unread(reset), MAYBE),
    "reset, the head read": Row(after_head(reset), MAYBE),
    "reset, the body half read": Row(after_head(reset), MAYBE, long=True),
    "close, the body half read": Row(after_head(close), MAYBE, long=True),
    "silence, the body half read": Row(
        after_head(lambda conn, seen: asyncio.Event().wait()), MAYBE, long=True, deadline_ms=1500
    ),  # type: ignore[arg-type,return-value]
    "reset at the door": Row(good, EITHER, kept=(False,), at_door=reset_at_door),
    "close at the door": Row(good, EITHER, kept=(False,), at_door=close_idle),
    "reset after the request": Row(after_whole(reset), MAYBE),
    "close after the request": Row(after_whole(close), MAYBE),
    "silence": Row(after_whole(silence), MAYBE, deadline_ms=SHORT_MS),
    # broken
    "close in the status line": Row(after_whole(part(7), close), MAYBE),
    "reset in the status line": Row(after_whole(part(7), reset), MAYBE),
    "close in the head": Row(after_whole(part(40), close), MAYBE),
    "reset in the head": Row(after_whole(part(40), reset), MAYBE),
    "silence in the head": Row(after_whole(part(40), silence), MAYBE, deadline_ms=SHORT_MS),
    "close after the head": Row(after_whole(part(HEAD_END), close), MAYBE),
    "reset after the head": Row(after_whole(part(HEAD_END), reset), MAYBE),
    "silence after the head": Row(after_whole(part(HEAD_END), silence), MAYBE, deadline_ms=SHORT_MS),
    "close in the body": Row(after_whole(part(b"whole "), close), MAYBE),
    "reset in the body": Row(after_whole(part(b"whole "), reset), MAYBE),
    "silence in the body": Row(after_whole(part(b"whole "), silence), MAYBE, deadline_ms=SHORT_MS),
    "close in a chunk": Row(after_whole(part(b"wh", chunked=True), close), MAYBE),
    "close between chunks": Row(after_whole(part(b"who\r\n", chunked=True), close), MAYBE),
    "close before the last chunk": Row(after_whole(part(b"\r\n0", chunked=True), close), MAYBE),
    "silence in a chunk": Row(after_whole(part(b"wh", chunked=True), silence), MAYBE, deadline_ms=SHORT_MS),
    "reset of a body without a length": Row(
        after_whole(part(b"whole ", 200, "Connection: close", length=None), reset), MAYBE
    ),
    "no length and no close": Row(after_whole(says(length=None), close), MAYBE),
    "long, cut by a close": Row(after_whole(part(90_000, body=LONG_BODY), close), CUT),
    "long, cut by a reset": Row(after_whole(part(90_000, body=LONG_BODY), reset), CUT),
    "long and chunked, cut by a close": Row(
        after_whole(part(90_000, body=LONG_BODY, chunked=True), close), CUT
    ),
    "long, without a length, cut by a reset": Row(
        after_whole(part(90_000, 200, "Connection: close", body=LONG_BODY, length=None), reset), CUT
    ),
    "long, with a spoilt chunk": Row(
        after_whole(
            part(HEAD_END, chunked=True), raw(b"30d40\r\n" + b"x" * 200_000 + b"\r\nzz\r\n"), then_given_up
        ),
        CUT,
    ),
    "long, and silence": Row(after_whole(part(90_000, body=LONG_BODY), silence), CUT, deadline_ms=SHORT_MS),
    # no answers
    "garbage": Row(after_whole(raw(b"SSH-2.0-nonsense\r\n"), then_given_up), MAYBE),
    "a request for an answer": Row(
        after_whole(raw(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"), then_given_up), MAYBE
    ),
    "an endless head": Row(after_whole(raw(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000), then_given_up), MAYBE),
    "a status of two digits": Row(after_whole(raw(b"HTTP/1.1 20 X\r\n\r\n"), then_given_up), MAYBE),
    "a space before the colon": Row(
        after_whole(raw(b"HTTP/1.1 200 X\r\nContent-Length : 0\r\n\r\n"), then_given_up), MAYBE
    ),
    # framing
    "a length and chunks": Row(
        after_whole(says(200, "Content-Length: 5", chunked=True), then_given_up), MAYBE
    ),
    "two lengths, equal": Row(
        after_whole(says(200, "Content-Length: 5", body=b"hello"), then_given_up), MAYBE
    ),
    "two lengths, different": Row(
        after_whole(says(200, "Content-Length: 4", body=b"hello"), then_given_up), MAYBE
    ),
    "a list of lengths": Row(
        after_whole(says(200, "Content-Length: 5, 5", body=b"hello", length=None), then_given_up), MAYBE
    ),
    "a length that is no number": Row(
        after_whole(says(200, "Content-Length: +5", body=b"hello", length=None), then_given_up), MAYBE
    ),
    "a length beyond the body": Row(after_whole(says(length=500), close), MAYBE),
    "a length short of the body": Row(after_whole(says(body=b"hello", length=4)), SERVED, body=b"hell"),
    "another coding": Row(
        after_whole(says(200, "Transfer-Encoding: gzip, chunked", length=None), then_given_up), MAYBE
    ),
    "a chunk's size is no number": Row(
        after_whole(raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), then_given_up), MAYBE
    ),
    "a chunk longer than its size": Row(
        after_whole(
            raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokok\r\n0\r\n\r\n"), then_given_up
        ),
        MAYBE,
    ),
    "a trailer that says Not-Executed": Row(
        after_whole(both(part(b"\r\n0\r\n", chunked=True), raw(b"Not-Executed: 1\r\n\r\n"))), SERVED
    ),
    "a trailer that names another request": Row(
        after_whole(both(part(b"\r\n0\r\n", chunked=True), raw(b"Attempt-Id: x\r\n\r\n"))), SERVED
    ),
    "the stamp only in a trailer": Row(
        after_whole(
            both(part(b"\r\n0\r\n", stamp=False, chunked=True), raw(b"Response-Signature: s\r\n\r\n"))
        ),
        MAYBE,
    ),
    "long, and a trailer that names another": Row(
        after_whole(both(part(b"\r\n0\r\n", body=LONG_BODY, chunked=True), raw(b"Attempt-Id: x\r\n\r\n"))),
        SERVED,
        body=LONG_BODY,
    ),
    # more than an answer
    "garbage behind it": Row(after_whole(both(says(), raw(b"garbage"))), SERVED),
    "garbage behind it, later": Row(after_whole(says(), raw(b"garbage")), SERVED),
    "the answer twice": Row(after_whole(both(says(), says())), SERVED),
    "the answer twice, later": Row(after_whole(says(), says()), SERVED),
    "a decline behind the answer": Row(after_whole(both(says(), says(503, NE))), SERVED),
    "an answer behind a decline": Row(after_whole(both(says(503, NE), says(body=b"other"))), NEVER),
    "close, and more": Row(after_whole(both(says(200, "Connection: close"), says(body=b"other"))), SERVED),
    "close, and garbage later": Row(
        after_whole(says(200, "Connection: close"), raw(b"garbage"), close), SERVED
    ),
    # another's answer
    "a stale answer, then its own": Row(after_whole(says(id=STALE, body=b"stale"), says()), SERVED),
    "a stale answer and its own at once": Row(
        after_whole(both(says(id=STALE, body=b"stale"), says())), SERVED
    ),
    "a stale answer and garbage at once": Row(
        after_whole(both(says(id=STALE, body=b"stale"), raw(b"garbage")), then_given_up), MAYBE
    ),
    "a stale answer and half of its own at once": Row(
        after_whole(both(says(id=STALE, body=b"stale"), part(40)), close), MAYBE
    ),
    "a stale decline, then its own": Row(after_whole(says(503, NE, id=STALE), says()), SERVED),
    "a stale 421, then its own": Row(after_whole(says(421, id=STALE), says()), SERVED),
    "a stale answer, then a close": Row(after_whole(says(id=STALE), close), MAYBE),
    "a stale answer that closes": Row(after_whole(says(200, "Connection: close", id=STALE), close), MAYBE),
    "a stale answer, then silence": Row(after_whole(says(id=STALE), silence), MAYBE, deadline_ms=SHORT_MS),
    "a long stale answer, then its own": Row(after_whole(says(id=STALE, body=LONG_BODY), says()), SERVED),
    "two stale answers, then its own": Row(after_whole(says(id=STALE), says(id=STALE + "0"), says()), SERVED),
    "the last request's answer again": Row(good, SERVED, kept=(True,), same_id=True, moved=True),
    "the wrong id alone": Row(after_whole(says(id=STALE), then_given_up), MAYBE, deadline_ms=SHORT_MS),
    "two ids": Row(
        after_whole(says(200, "Attempt-Id: " + STALE), then_given_up), MAYBE, deadline_ms=SHORT_MS
    ),
    "no id": Row(after_whole(says(id=None)), MAYBE),
    "no id, declined": Row(after_whole(says(503, NE, id=None)), MAYBE),
    "no id, 421": Row(after_whole(says(421, id=None)), MAYBE),
    "no id, 404": Row(after_whole(says(404, id=None)), MAYBE),
    "no id, 500": Row(after_whole(says(500, id=None)), MAYBE),
    # early
    "200 ahead of the body": Row(after_head(says()), SERVED, long=True),
    "404 ahead of the body": Row(after_head(says(404)), SERVED, 404, long=True),
    "500 ahead of the body": Row(after_head(says(500)), OWN, 500, long=True),
    "declined ahead of the body": Row(after_head(says(503, NE)), NEVER, long=True),
    "declined ahead of the body, and a close": Row(
        after_head(says(503, NE, "Connection: close"), close), NEVER, long=True
    ),
    "half an answer ahead of the body, and a reset": Row(
        after_head(part(b"whole "), reset), MAYBE, long=True
    ),
    "garbage ahead of the body": Row(after_head(raw(b"garbage\r\n"), then_given_up), MAYBE, long=True),
    "a stale answer ahead of the body, and a reset": Row(after_head(says(id=STALE), reset), MAYBE, long=True),
    "an interim one ahead of the body, and a reset": Row(
        after_head(raw(b"HTTP/1.1 100 X\r\n\r\n"), reset), MAYBE, long=True
    ),
    "an answer at the door": Row(good, EITHER, kept=(False,), at_door=unasked),
    "a decline at the door": Row(good, EITHER, kept=(False,), at_door=unasked_decline),
    "an answer on an idle connection": Row(good, SERVED, kept=(True,), before=unasked, moved=True),
    "a decline on an idle connection": Row(good, SERVED, kept=(True,), before=unasked_decline, moved=True),
    "an answer as the request comes": Row(unread(raw(answer(Seen("", {"attempt-id": STALE}))), reset), MAYBE),
    "a decline without an id as the request comes": Row(
        unread(raw(answer(Seen("", {}), 503, NE, id=None)), silence), MAYBE, deadline_ms=SHORT_MS
    ),
    # kept connections
    "forgotten by the backend": Row(unread(reset), MAYBE, kept=(True,), idle_s=0.5, moved=False),
    "closed just before": Row(good, SERVED, kept=(True,), before=close_idle, moved=True),
    "reset just before": Row(good, SERVED, kept=(True,), before=reset_idle, moved=True),
    "closes as the request comes": Row(unread(close), MAYBE, kept=(True,), moved=False),
    "Keep-Alive has run out": Row(
        good,
        SERVED,
        kept=(True,),
        warm=after_whole(says(200, "Keep-Alive: timeout=1")),
        idle_s=1.2,
        moved=True,
    ),
    "Keep-Alive of nought": Row(
        good, SERVED, kept=(True,), warm=after_whole(says(200, "Keep-Alive: timeout=0")), moved=True
    ),
    "Keep-Alive has not run out": Row(
        good,
        SERVED,
        kept=(True,),
        warm=after_whole(says(200, "Keep-Alive: timeout=10, max=5")),
        idle_s=1.2,
        moved=False,
    ),
    "Connection: close before": Row(
        good, SERVED, kept=(True,), warm=after_whole(says(200, "Connection: close")), moved=True
    ),
    # declines
    **{
        f"{status} Not-Executed": Row(after_whole(says(status, NE)), NEVER)
        for status in (503, 429, 421, 400, 500)
    },
    "503 Not-Executed, and a close": Row(after_whole(says(503, NE, "Connection: close"), close), NEVER),
    "200 Not-Executed": Row(after_whole(says(200, NE)), MAYBE),
    "421": Row(after_whole(says(421)), NEVER),
    "503 Not-Executed, cut": Row(after_whole(part(b"whole ", 503, NE), close), MAYBE),
    # the backend's own
    **{
        f"{status} of the backend": Row(after_whole(says(status)), SERVED, status)
        for status in (301, 400, 404, 409, 499)
    },
    **{
        f"{status} of the backend": Row(after_whole(says(status)), OWN, status)
        for status in (500, 502, 504, 599)
    },
    **{
        f"{status} of the backend, which promises what it does not say": Row(after_whole(says(status)), MAYBE)
        for status in (503, 429, 408)
    },
    "an unknown status beyond 599": Row(after_whole(says(799)), MAYBE),
    "200 without a stamp": Row(after_whole(says(stamp=False)), MAYBE),
    "200 in a coding": Row(after_whole(says(200, "Content-Encoding: gzip")), MAYBE),
}


@dataclass
class Run:
    """One variant of a row."""

    name: str
    row: Row
    mutating: bool
    kept: bool
    alone: bool  # the second backend fails in the same way
    number: int = 0

    def __str__(self) -> str:
        return f"{self.name} ({'mutating' if self.mutating else 'read_only'}, {'kept' if self.kept else 'new'}, {'alone' if self.alone else 'beside a working one'})"

    @property
    def host(self) -> str:
        return f"h{self.number}.example"

    def request(self, nonce: str, *headers: str, id: str = "", body: bytes = b"") -> bytes:
        method = "POST" if self.mutating or body else "GET"
        lines = [
            f"{method} /x?y=1 HTTP/1.1",
            f"Host: {self.host}",
            f"Attempt-Id: {id or nonce}",
            f"X-Nonce: {nonce}",
            f"Deadline-Ms: {self.row.deadline_ms}",
            *headers,
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class Result:
    """The result of a run."""

    run: Run
    got: Got
    sent: int  # how often a backend read its head
    ran: int
    elsewhere: int  # of these, by the second backend
    broken: list[str]


def runs(names: Iterable[str] = ROWS) -> list[Run]:
    found = [
        Run(name, ROWS[name], mutating, kept, alone)
        for name in names
        for mutating, kept, alone in product((True, False), ROWS[name].kept, (False, True))
    ]
    for number, run in enumerate(found):
        run.number = number
    return found


def configuration(of: list[Run]) -> bytes:
    routes = [
        [
            f"r{run.number}",
            run.host,
            "/",
            "mutating" if run.mutating else "read_only",
            5,
            4 if run.row.deadline_ms == 5000 else run.row.deadline_ms / 4000,
            2,
            True,
            f"s{run.number}",
        ]
        for run in of
    ]
    return json.dumps(
        {
            "revision": "r1",
            "routes": {
                "columns": [
                    "name",
                    "hostname",
                    "pathPrefix",
                    "routeType",
                    "timeoutS",
                    "targetLatencyS",
                    "maxAttempts",
                    "public",
                    "service",
                ],
                "rows": routes,
            },
            "services": {
                "columns": ["name", "healthPath", "maxConnections"],
                "rows": [[f"s{run.number}", "/health", 100] for run in of],
            },
        }
    ).encode()


async def proxy(of: list[Run]) -> tuple[Ingress, tuple[str, int]]:
    """Starts an ingress with these routes, without any other process."""
    ip = f"127.{20 + os.getpid() % 200}.7.1"
    boot = parse_boot(
        {
            "nodeName": "n",
            "ipAddress": ip,
            "zone": "z",
            "internalPortRange": [1, 3],
            "bindAddresses": {},
            "seedNodes": [],
            "bootstrap": True,
            "heartbeatS": 0.5,
            "dataDirectory": None,
        }
    )
    ingress = Ingress(boot, "nowhere", 1)
    ingress._publishing_admission.mesh = None
    ingress.transport.idle_connection_reset = lambda idle_s: None  # type: ignore[method-assign]  # rows must not influence each other's connection reuse
    parsed = read_configuration(configuration(of))
    assert isinstance(parsed, Configuration)
    ingress._configure(RouteTable(parsed, {}))
    address = ingress.server.listen((ip, 0), hold=True)
    ingress._start_accepting()
    ingress._sweep_connections()
    ingress._sample_lag()
    return ingress, address


def introduce(ingress: Ingress, run: Run, name: str, backend: Scripted, speed: float) -> int:
    """Registers a backend with its latency factor: the one with the lower factor is selected first."""
    now = asyncio.get_running_loop().time()
    id = f"{name}{run.number}"
    ingress._update_backends(
        [Endpoint(id, f"s{run.number}", "{}:{}".format(*backend.address), "z", 2, 0, 0.0, now, now)]
    )
    number = ingress._backend_numbers[id]
    ingress.admission.backends[number].latency_factor = speed
    return number


async def run_one(ingress: Ingress, address: tuple[str, int], run: Run) -> Result:
    row = run.row
    first = Scripted(row.script, row.long)
    second = Scripted(row.script if run.alone else good, row.long)
    client = Asker(address)
    after = Asker(address)
    try:
        await first.start()
        await second.start()
        number = introduce(ingress, run, "i-first-", first, 1.0)
        introduce(ingress, run, "i-second-", second, 2.5)
        pool = ingress.admission.pools[ingress._pool_numbers[f"s{run.number}"]]
        pool.retry_budget = 5.0
        await client.open()
        nonce = f"n{run.number}"
        if run.kept:
            first.normal = row.warm
            warm = await client.ask(run.request("warm" + nonce, id=nonce if row.same_id else ""))
            assert warm.status == 200 and len(first.seen) == 1, (str(run), warm)
            first.normal = good
            for connection in ingress.transport.pools.by_backend[number].idle:
                connection.idle_since -= row.idle_s
            if row.before is not None:
                await row.before(first.conns[0])
        first.armed, first.at_door = True, row.at_door
        if run.alone:
            second.armed, second.at_door = True, row.at_door
        got = await client.ask(run.request(nonce, body=LONG if row.long else b"pay"))
        pool.retry_budget = 5.0
        broken = broken_rules(run, got, first, second)
        # the next request gets its own response, on the client's connection and on reused backend connections
        first.armed = second.armed = False
        last = after if not got.whole or got.headers.get("connection") == "close" else client
        if last is after:
            await after.open()
        follow = await last.ask(run.request("follow" + nonce, "Connection: close"))
        if 200 <= follow.status < 300 and (
            follow.body != b"whole follow" + nonce.encode() or not follow.whole
        ):
            broken.append(f"MIXED: the next request got {follow.body[:40]!r}")
        elif follow.status in (0, 421, 408) or (
            not row.long and row.kind in (SERVED, OWN, NEVER) and follow.status == 0
        ):
            broken.append(f"the next request got {follow.status}")
        if extra := await last.more():
            broken.append(f"MIXED: {extra[:60]!r} without a request")
        seen = [each for each in (*first.seen, *second.seen) if each.nonce == nonce]
        return Result(
            run,
            got,
            len(seen),
            sum(each.ran for each in seen),
            sum(each.nonce == nonce for each in second.seen),
            broken,
        )
    finally:
        for asker in (client, after):
            if hasattr(asker, "writer"):
                asker.close()
        await first.stop()
        await second.stop()


def broken_rules(run: Run, got: Got, first: Scripted, second: Scripted) -> list[str]:
    """Checks the general rules, then the row's expectation; returns the violations.

    UNASKED: a backend got a request that no client sent. MIXED: a client got another request's response.
    TWICE: a mutating request ran twice. REFUSED: a mutating request that ran was rejected as retryable.
    """
    row, nonce = run.row, f"n{run.number}"
    seen = [each for each in (*first.seen, *second.seen) if each.nonce == nonce]
    ran, sent, elsewhere = (
        sum(each.ran for each in seen),
        len(seen),
        sum(each.nonce == nonce for each in second.seen),
    )
    broken: list[str] = []

    def holds(rule: str, true: bool) -> None:
        if not true:
            broken.append(
                f"{rule}: {got.status} {'whole' if got.whole else 'cut'} {got.body[:30]!r}, sent {sent}, ran {ran}, elsewhere {elsewhere}"
            )

    own = b"whole " + nonce.encode() if row.body is None else row.body
    success = 200 <= got.status < 300
    holds(
        "UNASKED",
        all(
            each.line.split(" ", 1)[1] == "/x?y=1 HTTP/1.1"
            and (not each.whole or each.body in (b"pay", LONG))
            for each in seen
        ),
    )
    holds(
        "MIXED",
        not success
        or not got.whole
        or (
            got.body in (own, b"whole " + nonce.encode())
            and got.headers.get("response-signature") == f"s-{nonce}"
            and got.headers.get("attempt-id") == nonce
        ),
    )
    holds("no answer", got.status != 0)
    holds("a length with no body", got.status not in (204, 304) or "content-length" not in got.headers)
    if run.mutating:
        holds("TWICE", ran <= 1)
        holds("REFUSED", got.status not in (408, 421, 429, 503) or not ran)
    holds("sent too often", sent <= 2 and sent - elsewhere <= 1)
    beside = not run.alone
    if row.kind == SERVED:
        holds(
            "row", got.whole and got.status == row.status and got.body == own and (sent, elsewhere) == (1, 0)
        )
    elif row.kind == CUT:
        holds("row", got.status == 200 and not got.whole and (sent, elsewhere) == (1, 0))
    elif row.kind == OWN and run.mutating:
        holds(
            "row", got.whole and got.status == row.status and got.body == own and (sent, elsewhere) == (1, 0)
        )
    elif row.kind == NEVER and run.mutating and run.alone:
        holds("row", got.whole and got.status == 429 and (sent, elsewhere) == (2, 1) and not ran)
    elif row.kind == MAYBE and run.mutating:
        holds("row", got.whole and got.status in (502, 504) and elsewhere == 0)
    elif beside:  # sent again if a repeat is safe
        holds(
            "row",
            got.whole
            and got.status in ((200, 502) if row.kind == EITHER and run.mutating else (200,))
            and (
                got.status != 200
                or (got.body == b"whole " + nonce.encode() and (elsewhere == 1 or row.kind == EITHER))
            ),
        )
    else:
        holds("row", got.whole and not (success and row.kind != EITHER))
    if run.kept and row.moved is not None:
        taken = [conn.number for conn in first.conns]
        holds(
            "the kept connection is used again" if row.moved else "the kept connection is not used",
            (len(taken) == 1) is not row.moved,
        )
    return broken


async def run_all(of: list[Run]) -> list[Result]:
    ingress, address = await proxy(of)
    room, long_room = asyncio.Semaphore(AT_ONCE), asyncio.Semaphore(2)

    async def one(run: Run) -> Result:
        async with long_room if run.row.long else room:
            try:
                async with asyncio.timeout(12):
                    return await run_one(ingress, address, run)
            except (TimeoutError, AssertionError) as error:
                return Result(run, Got(), -1, -1, -1, [f"hangs or fails: {error!r}"])

    try:
        results = await asyncio.gather(*map(one, of))
        async with asyncio.timeout(5):
            while ingress.engine.open:
                await asyncio.sleep(0)
        return list(results)
    finally:
        ingress.server.begin_handover()
        ingress.server._listener.close()
        ingress.engine.close()
        ingress.transport.close()


def table(names: Iterable[str] = ROWS) -> list[Result]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(run_all(runs(names)), 60))


def broken_in(results: Iterable[Result]) -> list[str]:
    return [f"{result.run}: {each}" for result in results for each in result.broken]


def test_every_row_meets_the_rules() -> None:
    results = table()
    print(
        Counter(
            (result.run.mutating, result.got.status, result.got.whole, result.sent, result.ran)
            for result in results
        )
    )
    broken = broken_in(results)
    assert not broken, "\n".join([f"{len(broken)} in {len(results)} runs", *broken])


# ---- injected faults, to show that the rules find them

Injection = Callable[[pytest.MonkeyPatch], None]


def repeats_what_may_have_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        proxy_admission.Call, "may_have_run", property(lambda call: False, lambda call, value: None)
    )


def refuses_what_may_have_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxy_admission.ProxyAdmission, "_fail", lambda fabric, call: fabric._refuse(0.0, call))


def reads_answers(change: Callable[[Response], None]) -> Injection:
    """Changes each response before its verdict."""

    def inject(patch: pytest.MonkeyPatch) -> None:
        def changed(attempt: Any, response: Response) -> Outcome | None:
            seen = Response(response.status, dict(response.headers), b"", True)
            seen.headers[b":own"] = (
                attempt.owner.request.id if attempt is not None and attempt.owner is not None else b""
            )
            change(seen)
            return request_reader.classify_backend_response(attempt, seen)

        patch.setattr(daemon_module, "classify_backend_response", changed)

    return inject


def takes_trailers(patch: pytest.MonkeyPatch) -> None:
    def on_header(reader: Any, name: bytes, value: bytes) -> None:
        reader._headers[name.lower()] = value.strip()

    patch.setattr(response_module.ResponseReader, "on_header", on_header)


def sets(where: Any, name: str, value: Any) -> Injection:
    return lambda patch: patch.setattr(where, name, value)


def ends_what_is_cut(patch: pytest.MonkeyPatch) -> None:
    def broken(exchange: Any) -> None:
        exchange.pending_writes.append(b"0\r\n\r\n")
        exchange.call = None
        exchange._stop_streaming()
        exchange.connection.flush()

    patch.setattr(exchange_module.Exchange, "broken", broken)


def skips_unasked(patch: pytest.MonkeyPatch) -> None:
    received = transport_module.Connection.data_received
    patch.setattr(transport_module.Connection, "usable", lambda connection: True)
    patch.setattr(
        transport_module.Connection,
        "data_received",
        lambda connection, data: received(connection, data) if connection.attempt is not None else None,
    )


def stamps(response: Response) -> None:
    response.headers.setdefault(b"response-signature", b"s")


def owns(response: Response) -> None:
    response.headers[b"attempt-id"] = response.headers[b":own"]


def owns_where_there_is_none(response: Response) -> None:
    response.headers.setdefault(b"attempt-id", response.headers[b":own"])


def forgives(response: Response) -> None:
    response.headers.pop(b"content-encoding", None)


INJECTED: dict[str, tuple[Injection, tuple[str, ...], str]] = {
    "what may have run is sent again": (
        repeats_what_may_have_run,
        ("reset after the request", "close in the head", "garbage", "silence"),
        "TWICE",
    ),
    "what may have run is refused": (
        refuses_what_may_have_run,
        ("reset after the request", "silence"),
        "REFUSED",
    ),
    "what was written in part never ran": (
        sets(RoutedRequest, "traits", ProtocolTraits(True, True, False)),
        ("reset, the body half read",),
        "row",
    ),
    "a refusal that promises nothing is passed on": (
        sets(request_reader, "NOT_EXECUTED_STATUSES", ()),
        ("503 of the backend, which promises what it does not say",),
        "REFUSED",
    ),
    "ids are not looked at": (
        reads_answers(owns),
        ("a stale answer, then its own", "a stale decline, then its own"),
        "MIXED",
    ),
    "no id is the request's own": (
        reads_answers(owns_where_there_is_none),
        ("no id, declined", "a decline without an id as the request comes"),
        "row",
    ),
    "no stamp is needed": (reads_answers(stamps), ("200 without a stamp",), "MIXED"),
    "a coding is let through": (reads_answers(forgives), ("200 in a coding",), "row"),
    "trailers are headers": (takes_trailers, ("a trailer that says Not-Executed",), "row"),
    "what is cut looks whole": (ends_what_is_cut, ("long and chunked, cut by a close",), "MIXED"),
    "Keep-Alive is not read": (
        sets(transport_module, "_KEEP_ALIVE", re.compile(rb"(?!)")),
        ("Keep-Alive has run out",),
        "the kept connection is used again",
    ),
    "one id twice on a connection": (
        sets(transport_module.HttpAttempt, "request_id", b""),
        ("the last request's answer again",),
        "the kept connection is used again",
    ),
    "bytes that nobody asked for are skipped": (
        skips_unasked,
        ("an answer on an idle connection", "a decline on an idle connection"),
        "the kept connection is used again",
    ),
}


@pytest.mark.parametrize("fault", INJECTED)
def test_an_injected_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    inject, rows, rule = INJECTED[fault]
    inject(monkeypatch)
    broken = broken_in(table(rows))
    for row in rows:
        assert any(each.startswith(f"{row} (") for each in broken), (row, broken)
    assert any(f": {rule}" in each for each in broken), broken


# ---- rows in random order on the same connections

QUICK = [
    name
    for name, row in ROWS.items()
    if not row.long and row.deadline_ms == 5000 and row.before is None and row.at_door is None
]
CLIENTS, EACH = 6, 60


@dataclass
class Asked:
    """One request of a sequence."""

    nonce: str
    id: str
    mutating: bool
    got: Got


def sequence_broken_rules(asked: list[Asked], backends: list[Scripted]) -> list[str]:
    """Checks the general rules only: a row's own expectation holds only if it is run by itself."""
    broken = []
    seen: dict[str, list[Seen]] = {}
    for backend in backends:
        for each in backend.seen:
            seen.setdefault(each.nonce, []).append(each)
    for one in asked:
        got, met = one.got, seen.pop(one.nonce, [])
        ran = sum(each.ran for each in met)
        said = [body for each in met for body in each.said]
        if (
            200 <= got.status < 300
            and got.whole
            and (
                got.headers.get("response-signature") != f"s-{one.nonce}"
                or got.headers.get("attempt-id") != one.id
                or got.body not in (*said, b"hell", b"")
            )
        ):
            broken.append(f"MIXED: {one}")
        if one.mutating and ran > 1:
            broken.append(f"TWICE: {one}")
        if one.mutating and ran and got.status in (408, 421, 429, 503):
            broken.append(f"REFUSED: {one}")
        if (
            len(met) > 2
            or got.status in (0, 405, 408, 431)
            or (got.status < 500 and got.status not in (409, 429) and "attempt-id" not in got.headers)
        ):
            broken.append(f"no such end: {one}, sent {len(met)}")
        if any(each.whole and each.body != b"pay" for each in met):
            broken.append(f"UNASKED: {one}")
    broken += [f"UNASKED: {nonce}" for nonce in seen]
    return broken


async def sequence(seed: int) -> tuple[list[Asked], list[Scripted]]:
    """Runs clients that reuse connections and sometimes their last id, against backends with random rows."""
    random = Random(seed)
    calls = [
        Run("good", ROWS["good"], mutating, False, True, number)
        for number, mutating in enumerate((True, False))
    ]
    ingress, address = await proxy(calls)
    del (
        ingress.transport.idle_connection_reset
    )  # the default: connections reset during a request are not trusted

    async def any_row(conn: Conn) -> None:
        # many responses are good, so that connections are reused
        await (good if random.random() < 0.4 else ROWS[random.choice(QUICK)].script)(conn)

    backends = [Scripted() for _ in range(6)]
    asked: list[Asked] = []

    async def client(number: int) -> None:
        last, asker = "", Asker(address)
        for turn in range(EACH):
            run = random.choice(calls)
            nonce = f"c{number}-{turn}"
            last = id = last if last and random.random() < 0.2 else nonce
            if not hasattr(asker, "writer"):
                await asker.open()
            got = await asker.ask(run.request(nonce, id=id, body=b"pay"))
            asked.append(Asked(nonce, id, run.mutating, got))
            if not got.whole or got.headers.get("connection") == "close" or random.random() < 0.05:
                asker.close()
                asker = Asker(address)
        if hasattr(asker, "writer"):
            assert await asker.more() == b"", "bytes without a request"

    try:
        for number, backend in enumerate(backends):
            backend.normal = any_row
            await backend.start()
            introduce(ingress, calls[number % 2], f"i{number}-", backend, 1.0)
        for pool in ingress.admission.pools.values():
            pool.retry_budget = 1000.0
        await asyncio.gather(*map(client, range(CLIENTS)))
        return asked, backends
    finally:
        ingress.server.begin_handover()
        ingress.server._listener.close()
        ingress.engine.close()
        ingress.transport.close()
        for backend in backends:
            await backend.stop()


def sequence_violations(seed: int) -> list[str]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        asked, backends = runner.run(asyncio.wait_for(sequence(seed), 60))
    print(
        Counter((each.mutating, each.got.status, each.got.whole) for each in asked),
        sum(len(each.conns) for each in backends),
    )
    assert len(asked) == CLIENTS * EACH
    return sequence_broken_rules(asked, backends)


@pytest.mark.parametrize("seed", range(6))
def test_rows_in_random_order_on_reused_connections_meet_the_rules(seed: int) -> None:
    assert not sequence_violations(seed)


@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        ("what may have run is sent again", "TWICE"),
        ("what may have run is refused", "REFUSED"),
        ("ids are not looked at", "MIXED"),
        ("no stamp is needed", "MIXED"),
    ],
)
def test_an_injected_fault_is_found_in_a_sequence(
    fault: str, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    INJECTED[fault][0](monkeypatch)
    assert any(each.startswith(rule) for seed in range(3) for each in sequence_violations(seed))


# ---- the client side, and shutdown


async def alone(of: Run, backend: Scripted) -> tuple[Ingress, tuple[str, int]]:
    ingress, address = await proxy([of])
    await backend.start()
    introduce(ingress, of, "i-", backend, 1.0)
    return ingress, address


async def until(found: Callable[[], Any]) -> None:
    async with asyncio.timeout(10):
        while not found():
            await asyncio.sleep(0)


def one(scenario: Callable[[Run], Awaitable[None]], mutating: bool) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scenario(Run("good", ROWS["good"], mutating, False, True)), 30))  # type: ignore[arg-type]


def test_response_headers_are_passed_on_unchanged() -> None:
    async def scenario(run: Run) -> None:
        lines = (
            "Set-Cookie: a=1; Expires=Wed, 02 Dec 2026 00:00:00 GMT",
            "Set-Cookie: b=2",
            "X-One: 1",
            "X-One: 2",
        )
        backend = Scripted()
        backend.normal = after_whole(says(200, *lines))
        ingress, address = await alone(run, backend)
        try:
            client = await Asker(address).open()
            client.writer.write(run.request("cookies"))
            head = (await client.reader.readuntil(HEAD_END)).decode().split("\r\n")
            assert [line for line in head if line.lower().startswith("set-cookie")] == [
                line.replace("Set-Cookie", "set-cookie") for line in lines[:2]
            ]
            assert "x-one: 1, 2" in head  # equivalent to two header lines
        finally:
            ingress.server.begin_handover()
            ingress.server._listener.close()
            ingress.engine.close()
            ingress.transport.close()
            await backend.stop()

    one(scenario, True)


@pytest.mark.parametrize(
    "trailer", ("Key: other", "X-More: smuggled", "Tenant-Name: other", "Attempt-Id: other", "Deadline-Ms: 1")
)
def test_request_trailers_do_not_change_the_request(trailer: str) -> None:
    async def scenario(run: Run) -> None:
        backend = Scripted()
        ingress, address = await alone(run, backend)
        try:
            client = await Asker(address).open()
            head = run.request("chunks").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            got = await client.ask(head + b"3\r\npay\r\n0\r\n" + trailer.encode() + b"\r\n\r\n")
            assert (got.status, got.body) == (200, b"whole chunks")
            (seen,) = backend.seen
            assert (seen.body, seen.id, seen.headers["content-length"]) == (b"pay", "chunks", "3")
            assert (
                not {"key", "x-more", "tenant-name"} & seen.headers.keys()
                and int(seen.headers["deadline-ms"]) > 1000
            )
            assert (await client.ask(run.request("next", body=b"pay"))).body == b"whole next"
        finally:
            ingress.server.begin_handover()
            ingress.server._listener.close()
            ingress.engine.close()
            ingress.transport.close()
            await backend.stop()

    one(scenario, True)


@pytest.mark.parametrize("mutating", (True, False))
@pytest.mark.parametrize("when", ("in the head", "in the body", "before the answer", "in the answer"))
def test_a_disconnected_clients_request_is_sent_at_most_once_and_its_response_goes_to_nobody(
    when: str, mutating: bool
) -> None:
    async def scenario(run: Run) -> None:
        ended = asyncio.Event()

        async def script(conn: Conn) -> None:
            seen = await conn.whole()
            if when == "in the answer":
                await conn.send(answer(seen, body=LONG_BODY)[:90_000])
            try:
                await conn.gone()
            finally:
                ended.set()
            raise EOFError

        backend = Scripted(script)
        ingress, address = await alone(run, backend)
        try:
            client, whole = await Asker(address).open(), run.request("left", body=b"pay")
            backend.armed = True
            client.writer.write({"in the head": whole[:40], "in the body": whole[:-1]}.get(when, whole))
            if when in ("in the head", "in the body"):
                await until(lambda: any(c._received for c in ingress.server._clients))
            elif when == "before the answer":
                await until(lambda: backend.seen)
            else:
                await client.reader.readexactly(70_000)
            client.close()
            await until(lambda: not ingress.server._clients and not ingress.engine.open)
            if when in ("in the head", "in the body"):
                assert not backend.seen
            else:
                await ended.wait()  # the backend learns it by the closed connection
                assert [each.nonce for each in backend.seen] == ["left"]
            backend.armed = False
            got = await (await Asker(address).open()).ask(run.request("next"))
            assert (got.status, got.body, got.whole) == (200, b"whole next", True)
            assert [each.nonce for each in backend.seen][-1] == "next" and len(backend.seen) <= 2
        finally:
            ingress.server.begin_handover()
            ingress.server._listener.close()
            ingress.engine.close()
            ingress.transport.close()
            await backend.stop()

    one(scenario, mutating)


@pytest.mark.parametrize("mutating", (True, False))
@pytest.mark.parametrize(
    "when", ("in the head", "in the body", "at work", "in the answer", "to the end of the grace")
)
def test_sigterm_ends_no_request_early_and_its_response_states_no_execution(
    when: str, mutating: bool
) -> None:
    async def scenario(run: Run) -> None:
        go = asyncio.Event()

        async def script(conn: Conn) -> None:
            seen = await conn.whole()
            data = answer(seen, body=LONG_BODY)
            sent = 90_000 if when == "in the answer" else 0
            await conn.send(data[:sent])
            await go.wait()
            await conn.send(data[sent:])

        backend = Scripted(script)
        ingress, address = await alone(run, backend)
        ingress.server.drain_accept_s = ingress.server.drain_most_s = 0.0
        try:
            client, whole = await Asker(address).open(), run.request("term", body=b"pay")
            backend.armed = True
            cut = {"in the head": 40, "in the body": len(whole) - 1}.get(when, len(whole))
            client.writer.write(whole[:cut])
            await until(
                lambda: (
                    backend.seen if cut == len(whole) else any(c._received for c in ingress.server._clients)
                )
            )
            if when == "in the answer":
                await until(lambda: any(call.committed for call in ingress.engine._calls.values()))
            ending = asyncio.create_task(
                ingress.shut_down(0.6 if when == "to the end of the grace" else 10.0)
            )
            await until(lambda: ingress._ending)
            if when == "to the end of the grace":
                got = await client.answer()
                # it was still running: the response does not state whether it ran
                assert got.whole and got.status == 500
            else:
                client.writer.write(whole[cut:])
                await until(lambda: backend.seen)
                assert not ending.done()
                go.set()
                got = await client.answer()
                assert (got.status, got.body, got.whole) == (200, LONG_BODY, True)
            assert len(backend.seen) == 1
            assert await client.more() == b""
            await ending
        finally:
            ingress.engine.close()
            await backend.stop()

    one(scenario, mutating)
