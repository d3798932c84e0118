"""An ingress on loopback sockets between scripted clients and backends."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import uvloop

from troutdock.admission import Gateway
from troutdock.daemon import Service, serve
from troutdock.engine import Engine
from troutdock.library import Deployment, shared
from troutdock.platform.config import read_config

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "index": 0,
    "locality": 0,
    "quantum": 2.0,
    "zones": ["hall-a", "hall-b"],
    "machine_types": ["std-2c"],
    "categories": [
        {
            "name": "ledger-read",
            "aim": 1500.0,
            "hard_limit": 4000.0,
            "points": 2.0,
            "idempotency": "pure",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.2,
            "streaming": False,
        },
        {
            "name": "payment-book",
            "aim": 1000.0,
            "hard_limit": 4000.0,
            "points": 5.0,
            "idempotency": "token",
            "group": "all",
            "dedup_window": 3000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
        {
            "name": "vat-filing",
            "aim": 750.0,
            "hard_limit": 1500.0,
            "points": 5.0,
            "idempotency": "side_effect",
            "group": "all",
            "dedup_window": 5000.0,
            "late_worth": 0.0,
            "streaming": False,
        },
    ],
    "plans": [
        {
            "name": "basis",
            "per_second": 1.0,
            "peak_units": 8.0,
            "price": 0.72,
            "over_worth": 0.0,
            "excess_cost": 0.5,
        },
        {
            "name": "plus",
            "per_second": 100.0,
            "peak_units": 1000.0,
            "price": 1.6,
            "over_worth": 0.0,
            "excess_cost": 0.6,
        },
    ],
    "permissions": {
        "most_tries": 3,
        "dial_timeout": 250.0,
        "conn_idle": 30000.0,
        "retry_after": True,
        "cancel": True,
        "max_retry_after": 500.0,
        "parallel_tries": True,
        "probes": False,
    },
    "safety": {
        "start_capacity": 0.2,
        "cold": 15000.0,
        "fall_multiple": 2.0,
        "overload_for": 3000.0,
        "stop_sending_within": 500.0,
        "grace_to_answer": 8.0,
    },
    "extra": {"has_counter": False, "count_wait": 50.0, "units_top": 8, "cost_after": True},
    "clients": {"marks_retry": True},
    "telemetry": {"via": "off", "fields": []},
    "tiers": ["ledger-fleet"],
}

Script = Callable[["Peer", bytes, asyncio.StreamWriter], Awaitable[None]]


def free_address() -> tuple[str, int]:
    """Returns a free address to listen on; each test process has loopback addresses of its own.

    On a shared address, another test could take a free port before this process listens on it.
    """
    pid = os.getpid()
    with socket.create_server((f"127.{100 + pid // 250 % 100}.{pid % 250}.1", 0)) as free:
        host, port = free.getsockname()
        return str(host), int(port)


def run(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test on the ingress's type of event loop, with a time limit."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, 30))


def answer(body: bytes = b"done", status: int = 200, head: bytes = b"") -> Script:
    """Returns a script that gives the same response to every request."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), head, body))

    return script


def sends(data: bytes, close: bool = True) -> Script:
    """Returns a script that writes exactly these bytes."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return script


async def silence(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
    """A script that never responds."""


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Reads one HTTP message with Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head, re.I)
    return head + (await reader.readexactly(int(length[1])) if length else b"")


class Peer:
    """A server that handles each request by its script and records the requests."""

    def __init__(
        self, script: Script, read: Callable[[asyncio.StreamReader], Awaitable[bytes]] = read_message
    ) -> None:
        self.script, self.read = script, read
        self.requests: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await self.read(reader)
                self.requests.append(request)
                await self.script(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
            writer.close()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Closes the listener and resets the open connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Returns status, header section and body of the response."""
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        head, _, body = (await read_message(self.reader)).partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head.lower():
            body = b"".join([chunk async for chunk in self.chunks()])
        return int(head.split()[1]), head, body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Returns the chunks of a body, up to the last one."""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            yield (await self.reader.readexactly(size + 2))[:-2]
        assert await self.reader.readexactly(2) == b"\r\n"


def request(cls: str = "vat-filing", number: int = 1, **changes: str | None) -> bytes:
    """Returns a client's request; changes name headers with _ for -, None omits one."""
    method = "GET" if cls == "ledger-read" else "POST"
    headers: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{number:016x}",
        "Plan": "plus",
        "Account": "0000000000000009",
        "Request-Timeout": "1.500",
        "Quota-Info": "units=2,spread=2,first=0",
    }
    if cls == "payment-book":
        headers["Idempotency-Key"] = "ab" * 16
    body = changes.pop("body", "" if method == "GET" else "receipt") or ""
    if method == "POST":
        headers["Content-Length"] = str(len(body))
    headers |= {
        name.replace("_", "-"): value for name, value in changes.items() if name not in ("method", "path")
    }
    lines = [f"{changes.get('method') or method} {changes.get('path') or '/' + cls + '/7?year=3'} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def target(peer: Peer, uid: str, state: str = "active", **changes: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": peer.address,
        "az": "hall-a",
        "model": "std-2c",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
        **changes,
    }


class World:
    """A running ingress with its peers, which can be stopped and changed."""

    engine: Engine

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.stop = asyncio.Event()

    @property
    def gateway(self) -> Gateway:
        return self.engine._gateway

    async def client(self) -> Client:
        reader, writer = await asyncio.open_connection(*self.address)
        self._stack.callback(writer.close)
        return Client(reader, writer)

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        return await (await self.client()).ask(data)


@asynccontextmanager
async def world(
    *scripts: Script,
    counter: Script | None = None,
    read_counter: Any = None,
    sockets: int = 1024,
    discovery: Script = silence,
    settings: dict[str, Any] | None = None,
    boots: Sequence[int] = (),
    management: str = "",
) -> Any:
    """Runs an ingress with a backend for each script, known to it from the start.

    Args:
        boots: start time of each backend.
        management: the operators' address, if any.
    """
    async with AsyncExitStack() as stack:
        w = World(stack)
        w.backends = [peer_of_front()(script) for script in scripts]
        w.discovery = Peer(discovery)
        for peer in [*w.backends, w.discovery]:
            await peer.start()
            stack.callback(peer.stop)
        used = json.loads(json.dumps(SETTINGS)) | (settings or {})
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": w.discovery.address,
            "seed": "07",
            "limits": {"sockets": sockets},
            "settings": used,
            "known": {
                "rev": 5,
                "all": True,
                "targets": [
                    target(b, f"s-{n}", boot_ms=boots[n] if boots else 0) for n, b in enumerate(w.backends)
                ],
            },
        }
        if management:
            config["management"] = management
        if counter is not None:
            w.counter = Peer(counter, read_counter)
            await w.counter.start()
            stack.callback(w.counter.stop)
            config["counter"] = w.counter.address
            used["extra"]["has_counter"] = True
        w.config = config
        await FRONTS[front](w, stack, json.dumps(config))
        yield w


async def daemon(w: World, stack: AsyncExitStack, config: str, beside: Sequence[Any] = ()) -> None:
    """The daemon, in this process."""
    serving: asyncio.Future[Service] = asyncio.get_running_loop().create_future()
    w.task = asyncio.create_task(serve(read_config(config), w.stop, serving.set_result, components=beside))
    await asyncio.wait({w.task, serving}, return_when=asyncio.FIRST_COMPLETED)
    w.service = await serving
    w.address, w.engine = w.service.address, w.service.ingress.engine
    stack.callback(w.task.cancel)


async def middleware(w: World, stack: AsyncExitStack, config: str) -> None:
    """The example application on the middleware, served by uvicorn."""
    from examples.forward_app import make_app

    deployment = Deployment("rules", read_config(config))
    await serve_app(w, stack, make_app(deployment))
    ingress = await shared.join(deployment)  # opened by the middleware
    stack.push_async_callback(shared.leave, ingress, 0.0)
    w.engine = ingress.core.engine


async def serve_app(w: World, stack: AsyncExitStack, app: Any, lifespan: str = "on") -> Any:
    """Serves an ASGI application on loopback until the stack is closed."""
    import uvicorn

    sock = socket.create_server(("127.0.0.1", 0))
    stack.callback(sock.close)
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            lifespan=lifespan,
            log_config=None,
            access_log=False,
            http="httptools",
            ws="none",
            timeout_graceful_shutdown=1,
        )
    )
    w.task = asyncio.create_task(server.serve(sockets=[sock]))
    w.address = sock.getsockname()

    async def end() -> None:
        server.should_exit = True
        await asyncio.wait({w.task})

    stack.push_async_callback(end)
    await until(lambda: server.started or w.task.done())
    if not server.started:
        w.task.result()
        raise RuntimeError("the application did not start")
    w.server = server
    return server


Front = Callable[[World, AsyncExitStack, str], Coroutine[Any, Any, None]]


async def grpc(w: World, stack: AsyncExitStack, config: str) -> None:
    """gRPC calls on the daemon's address, with gRPC backends."""
    from grpc_rules import grpc_frontend as over_grpc

    await over_grpc(w, stack, config)


def peer_of_front() -> Any:
    """Returns the stand-in for a backend."""
    if front == "grpc":
        from grpc_rules import GrpcPeer

        return GrpcPeer
    return Peer


FRONTS: dict[str, Front] = {"daemon": daemon, "middleware": middleware, "grpc": grpc}
front = "daemon"  # what world() places between clients and backends; set by conftest from --front


async def until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the time limit of the test ends the wait."""
    while not condition():
        await asyncio.sleep(0.005)
