"""Connections that close: each request that was read is answered, and only the last response announces it."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable

import pytest
from build import settings

from troutdock.admission.interface import Actions, Event
from troutdock.engine import Engine
from troutdock.http.exchange import Exchange
from troutdock.http.listener import Server
from troutdock.http.request import Reader
from troutdock.http.transport import HttpTransport
from troutdock.platform.clock import SystemClock


class Silent:
    """A decision module without actions: every request stays open."""

    settings = settings()

    def handle(self, now: float, event: Event) -> Actions:
        return []


@pytest.mark.parametrize("ends", [b"Connection: close\r\n", b""])
def test_an_open_request_is_in_no_queue_with_a_timeout(ends: bytes) -> None:
    async def play() -> None:
        engine = Engine(Silent.settings, 1, SystemClock(), asyncio.get_running_loop(), Silent())
        engine.add_pool(HttpTransport(1, 1, 1, engine.attempt_ended))
        server = Server(engine, Reader(Silent.settings), 8)
        address = server.listen(("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        name = Silent.settings.classes[0].name.encode()
        writer.write(
            b"GET /%b HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nAccount: 000000000000000a\r\nPlan: %b\r\n"
            b"Request-Timeout: 9\r\nQuota-Info: units=1,spread=1,first=0\r\n%b\r\n"
            % (name, Silent.settings.plans[0].name.encode(), ends)
        )
        while not engine.open:
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # until data_received has returned
        assert not len(server.waiting) and not len(server.idle)
        writer.close()
        engine.close()

    asyncio.run(asyncio.wait_for(play(), 10))


def request(number: int, body: bytes = b"") -> bytes:
    return (
        b"POST /%b HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nAccount: 000000000000000a\r\nPlan: %b\r\n"
        b"Request-Timeout: 9\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n%b"
        % (
            Silent.settings.classes[0].name.encode(),
            number,
            Silent.settings.plans[0].name.encode(),
            len(body),
            body,
        )
    )


def play_pipeline(
    scenario: Callable[[Engine, Server, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> None:
    async def play() -> None:
        engine = Engine(Silent.settings, 1, SystemClock(), asyncio.get_running_loop(), Silent())
        engine.add_pool(HttpTransport(1, 1, 1, engine.attempt_ended))
        server = Server(engine, Reader(Silent.settings), 8)
        address = server.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        await scenario(engine, server, reader, writer)
        writer.close()
        engine.close()

    asyncio.run(asyncio.wait_for(play(), 10))


def answer(engine: Engine, exchange: Exchange, body: bytes) -> None:
    """Responds in place of the engine, which is left without the call."""
    assert exchange.call is not None
    engine.withdraw(exchange.call)
    exchange.respond(200, body)


async def read_responses(reader: asyncio.StreamReader) -> list[tuple[bytes, bool]]:
    """Returns the body of each response until the end, and whether it announces the close."""
    found = []
    while not reader.at_eof():
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
        except asyncio.IncompleteReadError as error:
            assert not error.partial
            break
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        found.append((await reader.readexactly(length), b"connection: close" in head))
    return found


# guards against: after SIGTERM the first response closed the connection, and the requests behind it were lost
@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
@pytest.mark.parametrize("drain_after", [0, 1, 2])
def test_all_requests_that_were_read_are_answered_and_only_the_last_announces_the_close(
    order: tuple[int, ...], drain_after: int
) -> None:
    async def scenario(
        engine: Engine, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"".join(request(number) for number in range(3)))
        while engine.open < 3:
            await asyncio.sleep(0)
        exchanges = list(next(iter(server._clients))._exchanges)
        for count, number in enumerate(order):
            if count == drain_after:
                server.availability.end(time.monotonic())
            answer(engine, exchanges[number], b"%d" % number)
        assert await read_responses(reader) == [(b"0", False), (b"1", False), (b"2", True)]

    play_pipeline(scenario)


@pytest.mark.parametrize("behind", [request(7), request(7, b"x" * 50)[:-20], b"garbage"])
def test_what_arrives_behind_the_first_response_of_a_drain_is_not_accepted(behind: bytes) -> None:
    async def scenario(
        engine: Engine, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(request(0) + request(1))
        while engine.open < 2:
            await asyncio.sleep(0)
        connection = next(iter(server._clients))
        first, second = connection._exchanges
        server.availability.end(time.monotonic())
        answer(engine, first, b"0")
        writer.write(behind)
        await asyncio.sleep(0.05)
        server.sweep()
        assert len(connection._exchanges) == 1
        answer(engine, second, b"1")
        assert await read_responses(reader) == [(b"0", False), (b"1", True)]

    play_pipeline(scenario)
