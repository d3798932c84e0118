"""Connection slots: connections in use are closed by a response, not between requests."""

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


# latency targets and timeouts are large, so that a slow test machine causes no refusals
PATIENT = {"categories": [cls | {"aim": 25_000.0, "hard_limit": 30_000.0} for cls in SETTINGS["categories"]]}


def slots(sockets: int) -> Any:
    return world(answer(), sockets=sockets, settings=PATIENT)


def read(number: int, **changes: str) -> bytes:
    return request("ledger-read", number, Request_Timeout="25", **changes)


async def send_sequence(w: Any, number: int, times: int, told: list[str], kept: bool = True) -> None:
    """An ordinary client: keeps its connection until Connection: close, and reports a reset."""
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
def test_clients_with_sequential_requests_are_never_reset(clients: int, sockets: int) -> None:
    """128 clients with 488 slots, and more clients than slots."""

    async def test() -> None:
        async with slots(sockets) as w:
            told: list[str] = []
            await asyncio.gather(*(send_sequence(w, n + 1, 8, told) for n in range(clients)))
            assert "reset" not in told
            assert len([t for t in told if t != "end"]) == clients * 8
            if clients < (sockets - 48) // 2 * 0.8:
                assert "end" not in told  # slots for all clients
            if clients > (sockets - 48) // 2:
                assert "end" in told

    run(test())
    gc.collect()


def test_a_connection_without_request_is_closed_for_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All other slots are in use; sweep must resume accepting before the receive timeout of the connection."""
    monkeypatch.setattr(server_module, "RECENT_USE_S", 60.0)
    monkeypatch.setattr(body_limits, "FIRST_BYTE_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with slots(80) as w:
            used = [await w.client() for _ in range(13)]
            for n, client in enumerate(used):
                assert (await client.ask(read(n + 1)))[0] == 200
            silent = [await w.client() for _ in range(3)]
            await until(lambda: len(w.service._server._clients) == 16)
            assert (await w.ask(read(99)))[0] == 200
            assert await silent[0].reader.read() == b""
            assert not used[0].reader.at_eof()

    run(test())


def test_idle_connections_are_closed_for_new_ones() -> None:
    """Slots that are all taken by idle connections become available once those are unused."""

    async def test() -> None:
        async with slots(80) as w:
            server = w.service._server
            idle = [await w.client() for _ in range(16)]
            for n, client in enumerate(idle[:12]):
                assert (await client.ask(read(n + 1)))[0] == 200
            await until(lambda: len(server._clients) >= 12)
            assert (await asyncio.wait_for(w.ask(read(99)), 3))[0] == 200
            late = [w.ask(read(100 + n)) for n in range(16)]
            assert {status for status, _, _ in await asyncio.gather(*late)} == {200}

    run(test())


def test_a_connection_with_unread_request_is_not_closed_as_idle() -> None:
    """After a stall, sweep runs before the reads: connections idle for too long may have unread requests."""

    async def test() -> None:
        loop = asyncio.get_running_loop()

        async def answered(sock: socket.socket) -> bytes:
            return (await loop.sock_recv(sock, 65536))[:12]

        async with slots(80) as w:
            socks = [socket.create_connection(tuple(w.address)) for _ in range(12)]
            for n, sock in enumerate(socks):
                sock.setblocking(False)
                sock.send(read(n + 1))
                assert await answered(sock) == b"HTTP/1.1 200"
            arrive = w.engine.arrive

            def stalls(*args: Any) -> Any:
                """Blocks among the reads: data that arrives from now on is unread when the timers run."""
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
            }  # and none is closed
            for sock in socks:
                sock.close()

    run(test())
