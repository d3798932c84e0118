"""Responses that have started, and messages with a long transfer, as handled by the gateway."""

from __future__ import annotations

import asyncio
from math import inf
from typing import Any

import pytest
from build import START, ended, gateway, request
from loopback import Peer, run, until, world
from loopback import request as message

from troutdock.admission.interface import ResponseStarted, Outcome, Send, SetTimer, TimerFired


def sent(g: Any, number: int = 1) -> tuple[Any, Any]:
    send, timer = g.handle(START, request(number))
    assert isinstance(send, Send) and isinstance(timer, SetTimer)
    return send, timer


@pytest.mark.parametrize("work_done", [False, True])
def test_no_copy_is_sent_after_the_response_started(work_done: bool) -> None:
    g = gateway(second_copies=True)
    send, timer = sent(g)
    assert g.handle(START + 50, ResponseStarted(1, 0, send.backend, 50, work_done)) == []
    assert g.handle(START + timer.after_ms, TimerFired(timer.label)) == []
    assert g.handle(START + 5000, ended(1, send.backend, took=5000)) == []
    assert not g.calls


def test_finished_work_is_no_load_while_its_response_is_transferred() -> None:
    g = gateway(second_copies=True)
    send, _ = sent(g)
    backend = g.backends[send.backend]
    assert backend.load > 0
    g.handle(START + 50, ResponseStarted(1, 0, send.backend, 50))
    assert backend.load > 0  # the handler may still be working while it writes
    g.handle(START + 50, ResponseStarted(1, 0, send.backend, 50, True))
    assert backend.load == 0 and not backend.out
    g.handle(START + 5000, ended(1, send.backend, Outcome.OK, took=5000))
    # five seconds of transfer are no work
    assert backend.load == 0 and backend.slowness[0].now(START + 5000) < 2


def test_transfer_time_is_subtracted_from_the_sample() -> None:
    slow, prompt, untold = [gateway(seed=3) for _ in range(3)]
    for g, lag in ((slow, 0.0), (prompt, 900.0), (untold, inf)):
        send, _ = sent(g) if g.settings.second_copies else (g.handle(START, request(1))[0], None)
        g.handle(START + 1000, ResponseStarted(1, 0, send.backend, 1000, True, lag))
    assert slow.pools[0].slowness.now(START + 1000) > prompt.pools[0].slowness.now(START + 1000)
    # if that part is unknown, the time is no sample, but the backend has answered
    assert untold.pools[0].slowness.at == -inf and {b.heard_at for b in untold.backends.values()} == {
        -inf,
        START + 1000,
    }


def test_a_response_that_breaks_off_after_its_start_is_not_retried() -> None:
    async def test() -> None:
        async def breaks(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 300_000)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        async with world(breaks, breaks, breaks) as w:
            client = await w.client()
            client.writer.write(message("ledger-read"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.reader.readuntil(b"\r\n\r\n")
                await client.reader.readexactly(1_000_000)
            await asyncio.sleep(0.05)
            assert sum(len(b.requests) for b in w.backends) == 1 and not w.gateway.calls

    run(test())


def test_transfer_of_long_messages_does_not_count_as_work() -> None:
    """A backend that answers at once and writes slowly does not count as slow."""

    async def test() -> None:
        async def slowly(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
            for _ in range(20):
                writer.write(b"x" * 10_000)
                await asyncio.sleep(0.03)

        async with world(slowly) as w:
            client = await w.client()
            assert len((await client.ask(message("ledger-read")))[2]) == 200_000  # 0.6 s
            backend = next(iter(w.gateway.backends.values()))
            await until(lambda: not w.gateway.calls)
            assert backend.slowness[0].now(w.engine.clock.now()) < 1.5
            assert backend.load == 0

    run(test())


def test_a_small_response_in_pieces_is_timed_to_its_first_bytes() -> None:
    async def test() -> None:
        async def in_pieces(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n")
            await asyncio.sleep(0.2)
            writer.write(b"Content-Length: 4\r\n\r\ndo")
            await asyncio.sleep(0.2)
            writer.write(b"ne")

        async with world(in_pieces) as w:
            assert (await w.ask(message("ledger-read")))[2] == b"done"
            backend = next(iter(w.gateway.backends.values()))
            assert backend.slowness[0].now(w.engine.clock.now()) < 1.2

    run(test())
