"""Lifespan: the middleware starts and drains with its host, and reports failures."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

import pytest
from asgi_host import Exchange, deployment, lifespan, nodes, scope
from loopback import answer, run, silence, until

from troutdock.asgi import ForwardMiddleware, GuardMiddleware
from troutdock.asgi.forward import no_app
from troutdock.asgi.types import Receive, Scope, Send
from troutdock.library import shared


class App:
    """An application with a lifespan that records its events."""

    def __init__(self, fault: str = "") -> None:
        self.fault = fault
        self.seen: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "lifespan":
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})
            return
        while True:
            kind = (await receive())["type"]
            self.seen.append(kind + (" open" if shared._entries else " closed"))
            if kind.endswith(self.fault or "nothing"):
                await send({"type": f"{kind}.failed", "message": "the application's own"})
                return
            if self.fault == "raise":
                raise ZeroDivisionError
            await send({"type": f"{kind}.complete"})
            if kind == "lifespan.shutdown":
                return


@pytest.mark.parametrize("kind", [ForwardMiddleware, GuardMiddleware])
def test_it_opens_before_the_application_and_drains_before_it_ends(kind: Any) -> None:
    async def test() -> None:
        app = App()
        started, end, _ = await lifespan(kind(app, deployment=deployment()))
        assert started == {"type": "lifespan.startup.complete"}
        assert app.seen == ["lifespan.startup open"]
        assert await end() == {"type": "lifespan.shutdown.complete"}
        assert app.seen == ["lifespan.startup open", "lifespan.shutdown closed"] and not shared._entries

    run(test())


@pytest.mark.parametrize("kind", [ForwardMiddleware, GuardMiddleware])
def test_an_application_without_lifespan_is_started_and_drained_all_the_same(kind: Any) -> None:
    async def test() -> None:
        started, end, _ = await lifespan(kind(no_app, deployment=deployment()))
        assert started == {"type": "lifespan.startup.complete"} and shared._entries
        assert await end() == {"type": "lifespan.shutdown.complete"}
        assert not shared._entries

    run(test())


def test_an_application_that_fails_to_start_keeps_nothing_open() -> None:
    async def test() -> None:
        started, _, task = await lifespan(ForwardMiddleware(App("startup"), deployment=deployment()))
        assert started["type"] == "lifespan.startup.failed" and started["message"] == "the application's own"
        await task
        assert not shared._entries
        app = ForwardMiddleware(App("raise"), deployment=deployment())
        with pytest.raises(ZeroDivisionError):
            await app({"type": "lifespan"}, startup, ignore)
        assert not shared._entries

    run(test())


async def startup() -> dict[str, Any]:
    return {"type": "lifespan.startup"}


async def ignore(message: Any) -> None:
    pass


def test_a_failed_start_is_reported_in_one_line() -> None:
    """The name is open in another loop, or with other settings."""

    async def test() -> None:
        made = deployment()
        open_now, leave_now = threading.Event(), threading.Event()

        async def holds() -> None:
            ingress = await shared.join(made)
            open_now.set()
            await asyncio.to_thread(leave_now.wait)
            await shared.leave(ingress)

        thread = threading.Thread(target=lambda: asyncio.run(holds()))
        thread.start()
        await asyncio.to_thread(open_now.wait)
        started, _, task = await lifespan(GuardMiddleware(App(), deployment=made))
        await task
        assert started["type"] == "lifespan.startup.failed"
        assert started["message"].startswith("troutdock: deployment 'tests' is open in another event loop")
        leave_now.set()
        await asyncio.to_thread(thread.join)
        ingress = await shared.join(made)
        started, _, task = await lifespan(GuardMiddleware(App(), deployment=deployment(marks_retry=True)))
        await task
        assert "other settings" in started["message"]
        await shared.leave(ingress)

    run(test())


def test_without_lifespan_the_first_request_opens_it() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            asked = [Exchange() for _ in range(4)]
            await asyncio.gather(
                *(forward(scope(number=n, units=0.1), e.receive, e.send) for n, e in enumerate(asked))
            )
            assert [e.status for e in asked] == [200] * 4 and len(shared._entries) == 1
            await forward.close()
            assert not shared._entries

    run(test())


def test_two_in_one_application_share_one_ingress_and_both_drain() -> None:
    async def test() -> None:
        async with nodes(silence) as peers:
            made = deployment(*peers)
            inner = ForwardMiddleware(App(), deployment=made, paths=["/ledger-read"])
            outer = GuardMiddleware(inner, deployment=made, paths=["/vat-filing"])
            _, end, _ = await lifespan(outer)
            (entry,) = shared._entries.values()
            assert entry.users == 2
            exchange = Exchange()
            out = asyncio.create_task(
                outer(scope(units=0.1, timeout="0.300"), exchange.receive, exchange.send)
            )
            await until(lambda: len(peers[0].requests) == 1)
            assert await end() == {"type": "lifespan.shutdown.complete"}
            assert out.done() and exchange.status == 429  # accepted requests were answered first
            assert not shared._entries

    run(test())


def test_other_scopes_pass_through() -> None:
    async def test() -> None:
        seen: list[str] = []

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            seen.append(scope["type"])

        guard = GuardMiddleware(app, deployment=deployment())
        await guard({"type": "websocket", "path": "/ledger-read"}, startup, ignore)
        assert seen == ["websocket"] and not shared._entries

    run(test())
