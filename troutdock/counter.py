"""The shared counter: RESP2 calls, one behind another on one connection."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import hiredis

from tamarindfold.interface import CountAnswered, Outcome
from troutdock.address import Address

log = logging.getLogger("troutdock")

CONNECT_S = 0.5
PAUSE_S = 0.2  # between two tries to connect
SILENT_S = 1.0  # a call unanswered for so long shows a connection that nobody serves
MAX_CALLS = 1000  # unanswered on one connection


class Call:
    """One call on its way."""

    __slots__ = ("given_up", "name", "started")

    def __init__(self, name: int, started: float) -> None:
        self.name, self.started, self.given_up = name, started, False


class Counter(asyncio.Protocol):
    """One connection at a time to the counter; every call gets exactly one answer."""

    def __init__(self, address: Address, timeout_s: float, answered: Callable[[CountAnswered], None]) -> None:
        self._address, self._timeout_s, self._answered = address, timeout_s, answered
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._calls: deque[Call] = deque()  # on this connection, in the order of their answers
        self._waiting: deque[Call] = deque()  # those of them that are still waited for
        self._timer: asyncio.TimerHandle | None = None
        self._lost = asyncio.Event()
        self._down = False

    async def run(self, tried: asyncio.Event) -> None:
        """Keep a connection up; tried is set when the first try has ended, well or badly."""
        while True:
            self._reader = hiredis.Reader()
            self._lost.clear()
            try:
                async with asyncio.timeout(CONNECT_S):
                    await self._loop.create_connection(lambda: self, *self._address)
                if self._down:
                    log.info("counter: back")
                self._down = False
                tried.set()
                await self._lost.wait()
            except (OSError, TimeoutError) as error:
                if not self._down:
                    log.warning("counter: can't connect: %r", error)
                self._down = True
                tried.set()
            await asyncio.sleep(PAUSE_S)

    def call(self, name: int, amount: float, ttl_ms: float) -> None:
        """Add to a number; the answer comes later, never within this call."""
        call = Call(name, self._loop.time())
        if self._transport is None or self._transport.is_closing():
            self._loop.call_soon(self._tell, call, Outcome.CONNECT_FAILED)
            return
        if len(self._calls) >= MAX_CALLS:
            self._loop.call_soon(self._tell, call, Outcome.FULL)
            return
        key, value, ttl = str(name).encode(), b"%.6f" % amount, b"%d" % max(1, round(ttl_ms))
        self._transport.write(b"*4\r\n$6\r\nADDGET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n"
                              % (len(key), key, len(value), value, len(ttl), ttl))
        self._calls.append(call)
        self._waiting.append(call)
        if self._timer is None:
            self._timer = self._loop.call_later(self._timeout_s, self._give_up)

    def _tell(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        self._answered(CountAnswered(call.name, outcome, (self._loop.time() - call.started) * 1000, total))

    def _give_up(self) -> None:
        """Whatever has waited too long may have been added; its late answer is read and dropped."""
        self._timer = None
        now = self._loop.time()
        while self._waiting and self._waiting[0].started + self._timeout_s <= now + 0.0005:
            call = self._waiting.popleft()
            call.given_up = True
            self._tell(call, Outcome.TIMEOUT)
        if self._waiting:
            self._timer = self._loop.call_at(self._waiting[0].started + self._timeout_s, self._give_up)
        if self._calls and now - self._calls[0].started > SILENT_S and self._transport is not None:
            log.warning("counter: silent")
            self._transport.abort()

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by name

    def data_received(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._take(reply)
        except (hiredis.HiredisError, ValueError, TypeError, IndexError) as error:
            # guards against a peer that is no counter: after nonsense no answer can be matched to its call
            log.warning("counter: nonsense: %r", error)
            if self._transport is not None:
                self._transport.abort()

    def _take(self, reply: Any) -> None:
        """The answer to the oldest call."""
        if isinstance(reply, hiredis.ReplyError):
            outcome, total = Outcome.FULL, 0.0  # -BUSY, or -ERR: nothing was added
            if not str(reply).startswith("BUSY"):
                log.warning("counter: %s", reply)
        else:
            outcome, total = Outcome.OK, float(reply)
            if not abs(total) < float("inf"):
                raise ValueError(f"a total of {total}")
        call = self._calls.popleft()
        if not call.given_up:
            self._waiting.popleft()
            self._tell(call, outcome, total)

    def connection_lost(self, exc: Exception | None) -> None:
        """What was called may have been added."""
        self._transport = None
        waiting, self._waiting = self._waiting, deque()
        self._calls.clear()
        for call in waiting:
            self._tell(call, Outcome.TIMEOUT)
        if not self._down:
            log.warning("counter: connection lost: %r", exc)
        self._down = True
        self._lost.set()
