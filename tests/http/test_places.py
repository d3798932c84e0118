"""Places of clients: connections in use end with an answer that says so, and are not cut between requests."""

from __future__ import annotations

import asyncio
import gc
import socket
import time
from typing import Any

import pytest
from loopback import SETTINGS, answer, request, run, until, world

from troutdock.http import body_limits
from troutdock.http import listener as server_module


# nothing here is about what a slow test machine may refuse: aims and time-outs are far off
PATIENT = {"categories": [cls | {"aim": 25_000.0, "hard_limit": 30_000.0} for cls in SETTINGS["categories"]]}


def places(sockets: int) -> Any:
    return world(answer(), sockets=sockets, settings=PATIENT)


def read(number: int, **changes: str) -> bytes:
    return request("ledger-read", number, Request_Timeout="25", **changes)


async def asks_in_a_row(w: Any, number: int, times: int, told: list[str], kept: bool = True) -> None:
    """An ordinary client: it keeps its connection until it is told to end, and shows a reset to its user."""
    client = None
    for n in range(times):
        client = client or await w.client()
        try:
            status, head, _ = await client.ask(read(number * 1000 + n + 1, Account=f"{number:016x}"))
        except (ConnectionError, asyncio.IncompleteReadError):
            told.append("reset")
            client = None
            continue
        told.append(str(status))
        if b"connection: close" in head.lower():
            told.append("end")
            client = None


@pytest.mark.parametrize(("clients", "sockets"), [(13, 80), (40, 80), (128, 1024)])
def test_clients_that_ask_in_a_row_are_never_reset(clients: int, sockets: int) -> None:
    """128 of them within 488 places, and more of them than there are places."""

    async def test() -> None:
        async with places(sockets) as w:
            told: list[str] = []
            await asyncio.gather(*(asks_in_a_row(w, n + 1, 8, told) for n in range(clients)))
            assert "reset" not in told
            assert len([t for t in told if t != "end"]) == clients * 8
            if clients < (sockets - 48) // 2 * 0.8:
                assert "end" not in told  # there was room for all
            if clients > (sockets - 48) // 2:
                assert "end" in told

    run(test())
    gc.collect()


def test_a_connection_that_never_asks_makes_room_once_it_is_not_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All others are in use; without a look of its own the door stayed shut until the message's time was over."""
    monkeypatch.setattr(server_module, "RECENT_USE_S", 60.0)
    monkeypatch.setattr(body_limits, "FIRST_BYTE_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with places(80) as w:
            used = [await w.client() for _ in range(13)]
            for n, client in enumerate(used):
                assert (await client.ask(read(n + 1)))[0] == 200
            silent = [await w.client() for _ in range(3)]
            await until(lambda: len(w.service._server._clients) == 16)
            assert (await w.ask(read(99)))[0] == 200
            assert await silent[0].reader.read() == b""
            assert not used[0].reader.at_eof()

    run(test())


def test_connections_that_never_ask_make_room() -> None:
    """Guards the door: places all held by idle connections are free again once those are out of use."""

    async def test() -> None:
        async with places(80) as w:
            server = w.service._server
            idle = [await w.client() for _ in range(16)]
            for n, client in enumerate(idle[:12]):
                assert (await client.ask(read(n + 1)))[0] == 200
            await until(lambda: len(server._clients) >= 12)
            assert (await asyncio.wait_for(w.ask(read(99)), 3))[0] == 200
            late = [w.ask(read(100 + n)) for n in range(16)]
            assert {status for status, _, _ in await asyncio.gather(*late)} == {200}

    run(test())


def test_a_request_that_came_while_the_process_stood_is_not_cut_as_idle() -> None:
    """After a stall the sweep comes before the reads: connections that stood idle for too long had asked meanwhile."""

    async def test() -> None:
        loop = asyncio.get_running_loop()

        async def answered(sock: socket.socket) -> bytes:
            return (await loop.sock_recv(sock, 65536))[:12]

        async with places(80) as w:
            socks = [socket.create_connection(tuple(w.address)) for _ in range(12)]
            for n, sock in enumerate(socks):
                sock.setblocking(False)
                sock.send(read(n + 1))
                assert await answered(sock) == b"HTTP/1.1 200"
            arrive = w.engine.arrive

            def stalls(*args: Any) -> Any:
                """In the middle of the reads: what comes from here on is unread when the timers have their turn."""
                w.engine.arrive = arrive
                for n, sock in enumerate(socks):
                    sock.send(read(200 + n))
                time.sleep(0.8)
                return arrive(*args)

            w.engine.arrive = stalls
            assert (await w.ask(read(300)))[0] == 200
            assert {await answered(sock) for sock in socks} <= {
                b"HTTP/1.1 200",
                b"HTTP/1.1 429",
            }  # and none is cut
            for sock in socks:
                sock.close()

    run(test())
