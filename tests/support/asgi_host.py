"""A host that calls an ASGI application by hand, so that each message and each await is the test's."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Generator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from typing import Any

from loopback import Peer, Script

from troutdock.admission.interface import Effect, Plan, RequestClass
from troutdock.library import Deployment

CLASSES = (
    RequestClass(name="ledger-read", aim_ms=1500, deadline_ms=4000, worth=2, effect=Effect.SAFE),
    RequestClass(
        name="payment-book", aim_ms=1000, deadline_ms=4000, worth=5, effect=Effect.KEYED, window_ms=3000
    ),
    RequestClass(name="vat-filing", aim_ms=750, deadline_ms=1500, worth=5, effect=Effect.UNSAFE),
)
PLANS = (Plan(name="basis", rate=1, burst=8), Plan(name="plus", rate=1000, burst=1000))
NAMES = tuple(c.name for c in CLASSES)


def deployment(*peers: Peer, name: str = "tests", **changes: Any) -> Deployment:
    made = Deployment.of(
        name, **{"classes": CLASSES, "plans": PLANS, "nodes": [p.address for p in peers], **changes}
    )
    return replace(made, config=replace(made.config, seed=7))  # the same chances on every run


@asynccontextmanager
async def nodes(*scripts: Script) -> Any:
    async with AsyncExitStack() as stack:
        peers = [Peer(script) for script in scripts]
        for peer in peers:
            await peer.start()
            stack.callback(peer.stop)
        yield peers


def scope(
    path: str = "/ledger-read/7",
    method: str | None = None,
    plan: str = "plus",
    timeout: str | None = "1.500",
    number: int = 1,
    units: float = 2,
    account: int = 9,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b"",
    **changes: Any,
) -> dict[str, Any]:
    """The scope of one request, with the protocol's headers."""
    method = method or ("GET" if path.startswith("/ledger-read") else "POST")
    sent = [
        (b"host", b"service.internal"),
        (b"request-id", b"%016x" % number),
        (b"plan", plan.encode()),
        (b"account", b"%016x" % account),
        (b"quota-info", b"units=%a,spread=1,first=0" % units),
    ]
    if timeout is not None:
        sent.append((b"request-timeout", timeout.encode()))
    if path.startswith("/payment-book"):
        sent.append((b"idempotency-key", b"ab" * 16))
    if method == "POST":
        sent.append((b"content-length", b"%d" % len(body)))
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path.partition("?")[0],
        "raw_path": path.partition("?")[0].encode(),
        "root_path": "",
        "query_string": path.partition("?")[2].encode(),
        "headers": [*sent, *headers],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        **changes,
    }


class Exchange:
    """One request as the host sees it: the messages that it gives, and those that it gets."""

    def __init__(self, *parts: bytes, awaits: int = 0, stays: bool = True) -> None:
        parts = parts or (b"",)
        self.messages = [
            {"type": "http.request", "body": part, "more_body": n + 1 < len(parts) or not stays}
            for n, part in enumerate(parts)
        ]
        self.sent: list[dict[str, Any]] = []
        self.left = asyncio.Event()
        self.awaits = awaits  # how often each call yields to the loop first
        if not stays:
            self.left.set()

    async def receive(self) -> dict[str, Any]:
        for _ in range(self.awaits):
            await asyncio.sleep(0)
        if self.messages:
            return self.messages.pop(0)
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Any) -> None:
        for _ in range(self.awaits):
            await asyncio.sleep(0)
        self.sent.append(dict(message))

    @property
    def status(self) -> int | None:
        return next((m["status"] for m in self.sent if m["type"] == "http.response.start"), None)

    @property
    def body(self) -> bytes:
        return b"".join(m.get("body", b"") for m in self.sent if m["type"] == "http.response.body")

    @property
    def whole(self) -> bool:
        """One start, then bodies, the last of which says that it is the last."""
        kinds = [m["type"] for m in self.sent]
        bodies = [m.get("more_body", False) for m in self.sent[1:]]
        return (
            kinds[:1] == ["http.response.start"]
            and set(kinds[1:]) == {"http.response.body"}
            and (not bodies[-1] and all(bodies[:-1]))
        )

    def header(self, name: bytes) -> bytes | None:
        return next(
            (
                v
                for m in self.sent
                if m["type"] == "http.response.start"
                for n, v in m["headers"]
                if n.lower() == name
            ),
            None,
        )


class CancelAt:
    """Runs a coroutine and cancels its task while it waits for the n-th time; counts the times."""

    def __init__(self, work: Awaitable[Any], at: int) -> None:
        self._work, self._at = work, at
        self.waits = 0

    def __await__(self) -> Generator[Any, Any, Any]:
        steps = self._work.__await__()
        throw: BaseException | None = None
        value: Any = None
        while True:
            try:
                waited = steps.send(value) if throw is None else steps.throw(throw)
            except StopIteration as end:
                return end.value
            self.waits += 1
            if self.waits == self._at:
                task = asyncio.current_task()
                assert task is not None
                asyncio.get_running_loop().call_soon(task.cancel)
            throw = None
            try:
                value = yield waited
            except BaseException as error:
                throw, value = error, None

    async def run(self) -> Any:
        return await self


async def cancelled_at(make: Callable[[], Awaitable[Any]], at: int) -> tuple[bool, int]:
    """Run it in a task that is cancelled at its n-th wait: whether that came, and how often it waited."""
    injected = CancelAt(make(), at)
    task = asyncio.create_task(injected.run())
    await asyncio.wait({task})
    return task.cancelled(), injected.waits


async def lifespan(app: Any) -> Any:
    """Drive an application's lifespan: start it, and give what ends it."""
    to_app: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
    from_app: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
    scope: dict[str, Any] = {"type": "lifespan", "asgi": {"version": "3.0"}, "state": {}}
    task = asyncio.create_task(app(scope, to_app.get, from_app.put))
    await to_app.put({"type": "lifespan.startup"})
    started = await from_app.get()

    async def end() -> dict[str, Any]:
        await to_app.put({"type": "lifespan.shutdown"})
        ended = await from_app.get()
        await task
        return ended

    return started, end, task
