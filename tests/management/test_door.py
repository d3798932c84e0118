"""The operators' door over loopback, beside clients, and callers that are slow, silent or many."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from loopback import Client, answer, request, run, silence, until, world

from troutdock.management import api
from troutdock.management.api import CALLERS

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


async def call(w: Any, method: str, path: str) -> int:
    reader, writer = await asyncio.open_connection(*w.service.management)
    try:
        status = (await Client(reader, writer).ask(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()))[
            0
        ]
        assert await reader.read() == b""  # one call per connection
        return status
    finally:
        writer.close()


def managed(*scripts: Any, **more: Any) -> Any:
    return world(*scripts, management="127.0.0.1:0", **more)


def test_ready_is_a_yes_while_clients_are_taken() -> None:
    async def test() -> None:
        async with managed(answer()) as w:
            assert await call(w, "GET", "/control/ready") == 200
            assert await call(w, "POST", "/control/out-of-service") == 200
            assert await call(w, "GET", "/control/ready") == 503
            assert await call(w, "POST", "/control/in-service") == 200
            assert await call(w, "GET", "/control/ready") == 200

    run(test())


def test_without_a_backend_the_process_is_not_ready() -> None:
    async def test() -> None:
        async with managed() as w:
            assert await call(w, "GET", "/control/ready") == 503

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /control/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /control/in-service HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"POST /control/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"what is this\r\n\r\n", 400),
        (b"GET /control/ready HTTP/1.1\r\nX: " + b"x" * 9000 + b"\r\n\r\n", 413),
    ],
)
def test_what_is_no_call_is_a_no_and_changes_nothing(data: bytes, status: int) -> None:
    async def test() -> None:
        async with managed(answer()) as w:
            reader, writer = await asyncio.open_connection(*w.service.management)
            assert (await Client(reader, writer).ask(data))[0] == status
            writer.close()
            assert (await w.ask(HEALTH))[0] == 200 and (await w.ask(request()))[0] == 200

    run(test())


def test_the_calls_are_not_to_be_had_at_the_clients_address() -> None:
    async def test() -> None:
        async with managed(answer()) as w:
            assert (await w.ask(b"POST /control/out-of-service HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))[
                0
            ] == 404
            assert (await w.ask(HEALTH))[0] == 200

    run(test())


def test_callers_that_say_nothing_keep_nobody_out_and_hold_a_bounded_number_of_places() -> None:
    async def test() -> None:
        async with managed(answer()) as w:
            held = [await asyncio.open_connection(*w.service.management) for _ in range(3 * CALLERS)]
            held[-1][1].write(b"GET /control/re")
            await until(lambda: len(w.service._management_server.callers) == CALLERS)
            for _ in range(3):
                assert await call(w, "GET", "/control/ready") == 200
            assert len(w.service._management_server.callers) < CALLERS + 1
            for _, writer in held:
                writer.close()

    run(test())


def test_calls_are_answered_beside_callers_that_hold_on_and_under_all_the_load_that_clients_make() -> None:
    """More half calls than there are places, each back at once when it is cut; clients that never pause."""

    async def test() -> None:
        async with managed(answer()) as w:
            over = asyncio.Event()

            async def holds() -> None:
                while not over.is_set():
                    reader, writer = await asyncio.open_connection(*w.service.management)
                    writer.write(b"GET /control/ready HTTP/1.1\r\nHost: ")
                    with contextlib.suppress(OSError):
                        await reader.read()  # to the cut, which is the door's or the test's end
                    writer.close()

            async def asks(number: int) -> None:
                client = await w.client()
                while not over.is_set():
                    number += 100
                    assert (await client.ask(request("ledger-read", number)))[0] in (200, 429)

            busy = [asyncio.create_task(holds()) for _ in range(2 * CALLERS)]
            busy += [asyncio.create_task(asks(n)) for n in range(16)]
            for turn in range(40):
                path, status = (("out-of-service", 200), ("in-service", 200))[turn % 2]
                assert await asyncio.wait_for(call(w, "POST", f"/control/{path}"), 1.0) == status
                assert await asyncio.wait_for(call(w, "GET", "/control/ready"), 1.0) == (503, 200)[turn % 2]
            over.set()
            for task in busy:
                task.cancel()

    run(test())


def test_a_caller_that_never_ends_its_call_is_told_so(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with managed(answer()) as w:
            monkeypatch.setattr(api, "CALL_S", 0.02)
            reader, writer = await asyncio.open_connection(*w.service.management)
            assert (await Client(reader, writer).ask(b"GET /control/ready HTTP/1.1\r\n"))[0] == 408
            writer.close()

    run(test())


def test_out_of_service_tells_health_ends_connections_with_answers_and_the_idle_ones_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("troutdock.http.listener.OUT_OF_SERVICE_S", 0.1)
    monkeypatch.setattr("troutdock.http.listener.DRAIN_QUIET_S", 0.02)

    async def test() -> None:
        async with managed(answer()) as w:
            using, idle, silent = [await w.client() for _ in range(3)]
            for client in (using, idle):
                assert (await client.ask(HEALTH))[0] == 200
            await call(w, "POST", "/control/out-of-service")
            status, head, _ = await using.ask(request())
            assert status == 200 and b"connection: close" in head.lower()
            assert await using.reader.read() == b""
            assert await idle.reader.read() == b"" and await silent.reader.read() == b""
            late = await w.client()  # what the front sends still is served, and told to go
            status, head, _ = await late.ask(request(number=2))
            assert status == 200 and b"connection: close" in head.lower()
            assert (await w.ask(HEALTH))[0] == 503
            await call(w, "POST", "/control/in-service")
            assert (await w.ask(HEALTH))[0] == 200
            back = await w.client()
            status, head, _ = await back.ask(request(number=3))
            assert status == 200 and b"connection: close" not in head.lower()

    run(test())


def test_a_request_under_way_when_the_ingress_goes_out_of_service_gets_its_answer() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def slow(peer: Any, data: bytes, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            await answer()(peer, data, writer)

        async with managed(slow) as w:
            client = await w.client()
            client.writer.write(request())
            await until(lambda: len(w.backends[0].requests) == 1)
            await call(w, "POST", "/control/out-of-service")
            release.set()
            assert (await client.answer())[0] == 200

    run(test())


def test_a_drain_ends_the_door_too() -> None:
    async def test() -> None:
        async with managed(silence) as w:
            w.stop.set()
            await w.task
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*w.service.management)

    run(test())
