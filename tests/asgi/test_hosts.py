"""Starlette and FastAPI over real sockets, with host middleware that cancels, retries or swallows errors."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from asgi_host import deployment, nodes
from fastapi import FastAPI
from loopback import Client, World, answer, request, run, serve_app, silence, until
from simulated import assert_settled
from starlette.applications import Starlette
from starlette.background import BackgroundTask
from starlette.middleware import Middleware
from starlette.middleware.base import BaseHTTPMiddleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Mount, Route

import examples.guard_app
from troutdock.asgi import ForwardMiddleware, GuardMiddleware
from troutdock.asgi.types import Receive, Scope, Send
from troutdock.library import Facts, shared

ROOT = Path(__file__).parent.parent.parent
SMALL = "units=0.1,spread=1,first=0"


@asynccontextmanager
async def served(app: Any, lifespan: str = "on") -> Any:
    async with AsyncExitStack() as stack:
        world = World(stack)
        await serve_app(world, stack, app, lifespan)
        yield world


def ask(cls: str = "ledger-read", number: int = 1, **changes: Any) -> bytes:
    return request(cls, number, **{"Quota_Info": SMALL, **changes})


def tally() -> Any:
    (entry,) = shared._entries.values()
    return entry.ingress.tally


def settled() -> None:
    (entry,) = shared._entries.values()
    assert_settled(entry.ingress.core.engine)


async def read(request: Request) -> Any:
    return PlainTextResponse("read " + request.path_params["n"])


async def stream(request: Request) -> Any:
    async def parts() -> Any:
        for n in range(3):
            yield f"{n}"
            await asyncio.sleep(0.01)

    return StreamingResponse(parts())


async def hang(request: Request) -> Any:
    await asyncio.Event().wait()


async def fail(request: Request) -> Any:
    raise ZeroDivisionError


def starlette(*middleware: Middleware, **changes: Any) -> Starlette:
    routes = [
        Route("/ledger-read/{n}", read),
        Route("/payment-book/{n}", stream, methods=["POST"]),
        Route("/vat-filing/{n}", hang, methods=["POST"]),
        Route("/free", lambda r: PlainTextResponse("free")),
    ]
    return Starlette(routes=changes.pop("routes", routes), middleware=list(middleware))


def guard(**changes: Any) -> Middleware:
    return Middleware(
        GuardMiddleware,
        **{"deployment": deployment(), "paths": ["/ledger-read", "/payment-book", "/vat-filing"], **changes},
    )


def test_starlette_guarded() -> None:
    async def test() -> None:
        async with served(starlette(guard())) as w:
            client = await w.client()
            assert (await client.ask(ask()))[::2] == (200, b"read 7")
            assert (await client.ask(b"GET /free HTTP/1.1\r\nHost: x\r\n\r\n"))[::2] == (200, b"free")
            assert (await w.ask(ask("vat-filing", Request_Timeout="0.200")))[0] == 502
            status, head, _ = await ask_streamed(w, ask("payment-book"))
            assert status == 200 and b"chunked" in head.lower()
            told = [
                (
                    await w.ask(
                        ask(number=n, Plan="basis", Account="0" * 16, Quota_Info="units=2,spread=1,first=0")
                    )
                )
                for n in range(10)
            ]
            refused = [head for status, head, _ in told if status == 429]
            assert refused and all(b"retry-after: " in head.lower() for head in refused)
            await until(lambda: tally().taken == tally().served + tally().refused + tally().failed)
            settled()
        assert not shared._entries

    run(test())


async def ask_streamed(w: World, data: bytes) -> tuple[int, bytes, list[bytes]]:
    """Status, head and chunks, as they come."""
    client = await w.client()
    client.writer.write(data)
    head = await client.reader.readuntil(b"\r\n\r\n")
    chunks = []
    while size := int(await client.reader.readline(), 16):
        chunks.append((await client.reader.readexactly(size + 2))[:-2])
    assert chunks == [b"0", b"1", b"2"]
    return int(head.split()[1]), head, chunks


def test_fastapi_guarded_from_the_example() -> None:
    """The application of docs/library.md, as it stands in examples/."""

    async def test() -> None:
        async with served(examples.guard_app.app) as w:
            client = await w.client()
            head = b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\nX-Customer: acme\r\nX-Plan: basis\r\n\r\n"
            told = [await client.ask(head) for _ in range(8)]
            assert told[0][::2] == (200, b'{"entry":7}')
            assert {status for status, _, _ in told} == {200, 429}
            body = b"POST /vat-filing/3 HTTP/1.1\r\nHost: x\r\nX-Customer: zeta\r\nX-Plan: plus\r\nContent-Length: 5\r\n\r\nhello"
            assert (await client.ask(body))[::2] == (200, b'{"quarter":3}')
            free = b"GET /ledger-read/7 HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await client.ask(free))[0] == 200
            settled()

    run(test())


def test_fastapi_forwards_and_answers_the_rest_itself() -> None:
    async def test() -> None:
        async with nodes(answer(b"done")) as peers:
            app = FastAPI()
            app.get("/own")(lambda: {"own": True})
            app.add_middleware(
                ForwardMiddleware, deployment=deployment(*peers), paths=["/ledger-read", "/vat-filing"]
            )
            async with served(app) as w:
                client = await w.client()
                assert (await client.ask(ask()))[::2] == (200, b"done")
                assert (await client.ask(ask("vat-filing", 2)))[::2] == (200, b"done")
                assert (await client.ask(b"GET /own HTTP/1.1\r\nHost: x\r\n\r\n"))[::2] == (
                    200,
                    b'{"own":true}',
                )
                settled()

    run(test())


def test_forwarding_below_a_mount() -> None:
    async def test() -> None:
        async with nodes(answer(b"done")) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            async with served(starlette(routes=[Mount("/api", app=forward)])) as w:
                assert (await w.ask(ask(path="/api/ledger-read/7?x=1")))[::2] == (200, b"done")
                assert peers[0].requests[0].startswith(b"GET /ledger-read/7?x=1 HTTP/1.1\r\n")
                assert (await w.ask(ask(path="/api/nothing")))[0] == 404
            await forward.close()  # a mounted application gets no lifespan

    run(test())


# ---- middleware of the host


class Cancels:
    """Cancels the application after a time-out."""

    def __init__(self, app: Any, after_s: float) -> None:
        self.app, self.after_s = app, after_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return await self.app(scope, receive, send)
        try:
            await asyncio.wait_for(self.app(scope, receive, send), self.after_s)
        except TimeoutError:
            await PlainTextResponse("the host gave up", 504)(scope, receive, send)


class Retries:
    """Calls the application again after an error response; buffers whole responses."""

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return await self.app(scope, receive, send)
        for left in (1, 0):
            held: list[Any] = []

            async def hold(message: Any, held: list[Any] = held) -> None:
                held.append(message)

            try:
                await self.app(dict(scope), receive, hold)
            except ZeroDivisionError:
                if left:
                    continue
                raise
            if held and (held[0]["status"] < 500 or not left):
                for message in held:
                    await send(message)
                return


class Swallows:
    """Answers 299 after any error."""

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        begun = False

        async def note(message: Any) -> None:
            nonlocal begun
            begun = True
            await send(message)

        try:
            await self.app(scope, receive, note)
        except Exception:
            if scope["type"] != "http":
                raise
            if not begun:
                await PlainTextResponse("swallowed", 299)(scope, receive, send)


class Plain(BaseHTTPMiddleware):
    async def dispatch(self, request: Request, call_next: Any) -> Any:
        response = await call_next(request)
        response.headers["x-plain"] = "1"
        return response


@pytest.mark.parametrize("inside", [True, False])
def test_a_host_that_cancels(inside: bool) -> None:
    """Outside, it cancels the admission with the handler; inside, only the handler: its answer passes through."""

    async def test() -> None:
        cancels = Middleware(Cancels, after_s=0.05)
        order = [guard(), cancels] if inside else [cancels, guard()]
        async with served(starlette(*order)) as w:
            status, _, body = await w.ask(ask("vat-filing"))
            assert (status, body) == (504, b"the host gave up")
            assert (tally().withdrawn, tally().failed) == ((0, 1) if inside else (1, 0))
            settled()

    run(test())


def test_a_host_that_cancels_a_forwarded_request() -> None:
    async def test() -> None:
        async with nodes(silence) as peers:
            forward = Middleware(ForwardMiddleware, deployment=deployment(*peers))
            async with served(starlette(Middleware(Cancels, after_s=0.05), forward)) as w:
                assert (await w.ask(ask("vat-filing")))[0] == 504
                await until(lambda: peers[0].closed == 1)
                assert len(peers[0].requests) == 1 and tally().withdrawn == 1
                settled()

    run(test())


def test_a_host_that_retries_is_a_second_request() -> None:
    """Each call of the middleware is a request of its own, admitted and counted as such; the handler runs once in each."""

    async def test() -> None:
        runs: list[int] = []

        async def once_bad(request: Request) -> Any:
            runs.append(1)
            if len(runs) == 1:
                raise ZeroDivisionError
            return PlainTextResponse("good")

        app = starlette(
            Middleware(Retries), guard(), routes=[Route("/vat-filing/{n}", once_bad, methods=["POST"])]
        )
        async with served(app) as w:
            assert (await w.ask(ask("vat-filing")))[::2] == (200, b"good")
            assert (len(runs), tally().taken, tally().failed, tally().served) == (2, 2, 1, 1)
            settled()

    run(test())


def test_a_host_that_swallows_errors() -> None:
    async def test() -> None:
        routes = [Route("/ledger-read/{n}", fail), Route("/vat-filing/{n}", broken, methods=["POST"])]
        async with served(starlette(Middleware(Swallows), guard(), routes=routes)) as w:
            assert (await w.ask(ask()))[::2] == (299, b"swallowed")
            client = await w.client()
            client.writer.write(ask("vat-filing", 2, Request_Timeout="0.200"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            assert await ended(client)  # the client can detect that it is incomplete
            assert tally().failed == 2
            settled()

    run(test())


async def broken(request: Request) -> Any:
    async def parts() -> Any:
        yield "half"
        await asyncio.Event().wait()

    return StreamingResponse(parts())


async def ended(client: Client) -> bool:
    """Whether the connection ends without the final chunk."""
    rest = await client.reader.read()
    return not rest.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("outside", [True, False])
def test_beside_the_frameworks_own_middleware(outside: bool) -> None:
    async def test() -> None:
        order = [Middleware(Plain), guard()] if outside else [guard(), Middleware(Plain)]
        async with served(starlette(*order)) as w:
            status, head, body = await w.ask(ask())
            assert (status, body) == (200, b"read 7") and b"x-plain" in head
            status, head, _ = await ask_streamed(w, ask("payment-book", 2))
            assert status == 200
            client = await w.client()
            client.writer.write(ask("vat-filing", 3))
            await until(lambda: tally().taken == 3)
            client.writer.close()
            await until(lambda: tally().withdrawn == 1)
            settled()

    run(test())


def test_a_client_that_disconnects_cancels_the_handler_over_a_socket() -> None:
    async def test() -> None:
        ends: list[str] = []

        async def work(request: Request) -> Any:
            try:
                await request.body()
                await asyncio.Event().wait()
            finally:
                ends.append("ended")

        async with served(starlette(guard(), routes=[Route("/vat-filing/{n}", work, methods=["POST"])])) as w:
            client = await w.client()
            client.writer.write(ask("vat-filing"))
            await until(lambda: tally().taken == 1)
            await asyncio.sleep(0.02)
            client.writer.close()
            await until(lambda: ends == ["ended"])
            assert tally().withdrawn == 1
            settled()

    run(test())


def test_background_tasks_end_and_nothing_is_held_for_them() -> None:
    async def test() -> None:
        done: list[int] = []

        async def later() -> None:
            await asyncio.sleep(0.05)
            done.append(1)

        async def work(request: Request) -> Any:
            return PlainTextResponse("now", background=BackgroundTask(later))

        async with served(starlette(guard(), routes=[Route("/ledger-read/{n}", work)])) as w:
            assert (await w.ask(ask()))[::2] == (200, b"now")
            settled()  # the engine waits only for the response
            await until(lambda: done == [1])

    run(test())


@pytest.mark.parametrize("kind", ["guard", "forward"])
def test_a_server_without_lifespan(kind: str) -> None:
    async def test() -> None:
        async with nodes(answer(b"done")) as peers:
            made = deployment(*peers)
            inner = starlette()
            app: Any = (
                GuardMiddleware(inner, deployment=made)
                if kind == "guard"
                else ForwardMiddleware(deployment=made)
            )
            async with served(app, lifespan="off") as w:
                assert not shared._entries
                assert (await w.ask(ask()))[0] == 200
                settled()
            await app.close()
            assert not shared._entries

    run(test())


TWO_OF_A_NAME = """
from asgi_host import deployment
from troutdock.asgi import ForwardMiddleware, GuardMiddleware
inner = ForwardMiddleware(deployment=deployment(), paths=["/vat-filing"])
app = GuardMiddleware(inner, deployment=deployment(marks_retry=True), paths=["/ledger-read"])
"""


def test_a_start_that_fails_stops_the_server(tmp_path: Path) -> None:
    (tmp_path / "two.py").write_text(TWO_OF_A_NAME)
    paths = [str(tmp_path), *(str(ROOT / part) for part in ("tests/support", "."))]
    done = subprocess.run(
        [sys.executable, "-m", "uvicorn", "--port", "0", "two:app"],
        timeout=60,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        text=True,
        check=False,
    )
    assert done.returncode == 3
    assert "troutdock: deployment 'tests' is open in this process with other settings" in done.stderr


def test_a_host_that_shuts_down_answers_open_requests_first() -> None:
    async def test() -> None:
        async def slow(request: Request) -> Any:
            await asyncio.sleep(0.3)
            return PlainTextResponse("slow")

        async with served(starlette(guard(), routes=[Route("/ledger-read/{n}", slow)])) as w:
            clients = [await w.client() for _ in range(4)]
            for number, client in enumerate(clients):
                client.writer.write(ask(number=number))
            await until(lambda: tally().taken == 4)
            w.server.should_exit = True
            assert [(await c.answer())[0] for c in clients] == [200] * 4
        assert not shared._entries

    run(test())


def test_units_and_customers_from_the_hosts_own_function_over_a_socket() -> None:
    async def test() -> None:
        async def facts(scope: Scope) -> Facts:
            await asyncio.sleep(0)
            return Facts("ledger-read", dict(scope["headers"])[b"account"].decode(), "basis", units=2)

        async with served(starlette(guard(facts=facts, paths=["/ledger-read"]))) as w:
            statuses = [(await w.ask(ask(number=n, Account=f"{n % 2:016x}")))[0] for n in range(12)]
            assert (
                statuses.count(200) == 8 and statuses.count(429) == 4
            )  # four of 2 units for each of two customers

    run(test())
