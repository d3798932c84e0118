"""The HTTP server for calls from outside: bounds on bodies and responses, and reads that share a result."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from local_system import call, until
from long_configurations import MAX_BYTES

from troutdock.registry.shared_read import SharedRead
from troutdock.rpc.http_calls import HttpRequest, HttpResponse, HttpServer


def test_reads_at_once_share_a_read_that_begins_after_them() -> None:
    async def scenario() -> None:
        begun: list[asyncio.Future[int]] = []

        async def read() -> int:
            begun.append(asyncio.get_running_loop().create_future())
            return await begun[-1]

        shared = SharedRead(read)
        first = asyncio.create_task(shared.result())
        await until(lambda: begun)
        later = [asyncio.create_task(shared.result()) for _ in range(20)]
        await asyncio.sleep(0.01)
        assert len(begun) == 1
        later[0].cancel()  # one caller that leaves does not end the read of the others
        begun[0].set_result(1)
        await until(lambda: len(begun) == 2)
        begun[1].set_result(2)
        assert await first == 1 and await asyncio.gather(*later[1:]) == [2] * 19
        assert len(begun) == 2

    asyncio.run(scenario())


async def serve(handler: Callable[[HttpRequest], Awaitable[HttpResponse]], limit: int) -> HttpServer:
    server = HttpServer(handler, limit, limit)
    server.address = await server.listen(("127.0.0.1", 0))  # type: ignore[attr-defined]
    return server


# guards against: bodies of callers that had left were held, but not counted, and the limit was exceeded
def test_a_body_counts_until_its_request_is_done_even_if_the_client_has_left() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def handle(request: HttpRequest) -> HttpResponse:
            await release.wait()
            return HttpResponse(200)

        server = await serve(handle, 100_000)
        address = server.address  # type: ignore[attr-defined]
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"POST /x HTTP/1.1\r\nContent-Length: 80000\r\n\r\n" + b"x" * 80_000)
        await until(lambda: server.buffered_bytes == 80_000 and next(iter(server.connections)).busy)
        writer.close()
        await until(lambda: not server.connections)
        assert server.buffered_bytes == 80_000
        assert (await call(address, "POST", "/x", b"y" * 50_000))[0] == 503
        release.set()
        await until(lambda: server.buffered_bytes == 0)
        assert (await call(address, "POST", "/x", b"y" * 50_000))[0] == 200
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


# guards against: responses that clients did not read grew without a limit
def test_responses_that_clients_do_not_read_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("troutdock.rpc.http_calls.RESPONSE_TIMEOUT_S", 0.5)

    async def scenario() -> None:
        bodies = [bytes([n]) * MAX_BYTES for n in range(4)]
        asked = 0

        async def handle(request: HttpRequest) -> HttpResponse:
            nonlocal asked
            asked += 1
            return HttpResponse(200, bodies[int(request.path[1:])])

        server = await serve(handle, 2 * MAX_BYTES)
        address = server.address  # type: ignore[attr-defined]
        writers = []
        for path in (0, 0, 0, 1):  # three clients share one body
            reader, writer = await asyncio.open_connection(*address, limit=1024)
            writer.write(b"GET /%d HTTP/1.1\r\n\r\n" % path)
            writers.append((reader, writer))
        await until(lambda: asked == 4)
        assert (await call(address, "GET", "/2"))[0] == 503
        assert (await call(address, "GET", "/1"))[0] == 200
        await until(lambda: not server.connections)  # those that do not read are disconnected
        assert (await call(address, "GET", "/2"))[2] == bodies[2]
        server.close()
        for _, writer in writers:
            writer.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
