"""Forward mode, called directly as ASGI: bodies, disconnects, cancellation, settings."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from asgi_host import NAMES, Exchange, cancelled_at, deployment, nodes, scope
from loopback import answer, run, sends, silence, until
from simulated import assert_settled

from troutdock.asgi import ForwardMiddleware
from troutdock.asgi.forward import no_app
from troutdock.asgi.types import Receive, Scope, Send
from troutdock.engine import Engine
from troutdock.library import BadRequest, ConfigError, Facts, IngressClosed


NOT_STARTED = answer(b"", 503, b"Not-Started: 1\r\n")


def engine_of(middleware: Any) -> Engine:
    return middleware._ingress.core.engine


async def ask(middleware: Any, *parts: bytes, **changes: Any) -> Exchange:
    exchange = Exchange(*parts)
    await middleware(scope(**changes), exchange.receive, exchange.send)
    return exchange


def test_a_request_goes_on_unchanged_and_its_answer_comes_back() -> None:
    async def test() -> None:
        async with nodes(answer(b"done", head=b"Content-Type: x/y\r\nX-Inner: 1\r\n")) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            told = await ask(forward, b"rec", b"", b"eipt", path="/vat-filing/a%20b?year=3", body=b"receipt")
            assert (told.status, told.body, told.header(b"content-type")) == (200, b"done", b"x/y")
            assert told.whole and told.header(b"x-inner") is None
            sent = peers[0].requests[0]
            assert sent.startswith(b"POST /vat-filing/a%20b?year=3 HTTP/1.1\r\n") and sent.endswith(
                b"\r\n\r\nreceipt"
            )
            assert_settled(engine_of(forward))
            await forward.close()

    run(test())


def test_only_the_mounted_paths_are_forwarded_by_whole_segments() -> None:
    async def test() -> None:
        seen: list[str] = []

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            seen.append(scope["path"])

        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(
                app, deployment=deployment(*peers), paths=["/ledger-read", "/vat-filing/7/"]
            )
            await ask(forward, path="/ledger-readers")
            await ask(forward, path="/vat-filing/77")
            await ask(forward, path="/vat-filing")
            assert seen == ["/ledger-readers", "/vat-filing/77", "/vat-filing"]
            assert (await ask(forward, path="/vat-filing/7/x")).status == 200
            assert (await ask(forward, path="/ledger-read", number=2)).status == 200
            assert len(seen) == 3
            await forward.close()

    run(test())


def test_below_a_mount_the_path_begins_at_the_mount() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            told = await ask(forward, path="/ledger-read/7", root_path="/api")
            assert told.status == 200
            mounted = scope("/ledger-read/7")
            mounted |= {"root_path": "/api", "path": "/api/ledger-read/7", "raw_path": b"/api/ledger-read/7"}
            exchange = Exchange()
            await forward(mounted, exchange.receive, exchange.send)
            assert exchange.status == 200
            assert {r.split(b" ")[1] for r in peers[0].requests} == {b"/ledger-read/7"}
            await forward.close()

    run(test())


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"path": "/nothing"}, 404),
        ({"plan": "gold"}, 400),
        ({"timeout": None}, 400),
        ({"timeout": "nan"}, 400),
        ({"method": "DELETE"}, 400),
        ({"units": 9}, 400),
        ({"headers": ((b"plan", b"plus"),)}, 400),
        ({"headers": ((b"idempotency-key", b"x"),)}, 400),
    ],
)
def test_invalid_requests_are_answered_as_by_the_daemon(changes: dict[str, Any], status: int) -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            told = await ask(forward, **changes)
            assert told.status == status and told.whole and not peers[0].requests
            await forward.close()

    run(test())


def test_a_body_that_is_too_long_late_or_incomplete_is_rejected() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers), body_timeout_s=0.05, max_body=10)
            path = "/vat-filing/7"
            assert (
                await ask(forward, b"x" * 11, path=path, body=b"x" * 11)
            ).status == 413  # by its Content-Length
            assert (await ask(forward, b"x" * 6, b"x" * 5, path=path)).status == 413
            late = Exchange(b"half", b"")
            late.messages.pop()  # the rest of the body never arrives
            await forward(scope(path), late.receive, late.send)
            assert late.status == 408
            half = Exchange(b"half", stays=False)
            await forward(scope(path), half.receive, half.send)
            assert half.sent == []
            assert engine_of(forward).tally.taken == 0 and not peers[0].requests
            assert (await ask(forward, b"x" * 5, b"x" * 5, path=path)).status == 200
            await forward.close()

    run(test())


def test_a_client_that_disconnects_withdraws_its_request() -> None:
    async def test() -> None:
        async with nodes(silence) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            exchange = Exchange()
            task = asyncio.create_task(forward(scope(units=1), exchange.receive, exchange.send))
            await until(lambda: len(peers[0].requests) == 1)
            exchange.left.set()
            await task
            assert exchange.sent == []
            await until(lambda: peers[0].closed == 1)
            assert engine_of(forward).tally.withdrawn == 1
            assert_settled(engine_of(forward))
            await forward.close()

    run(test())


@pytest.mark.parametrize("cls", NAMES)
@pytest.mark.parametrize("script", [answer(), sends(b""), NOT_STARTED, silence])
def test_a_host_that_cancels_at_any_wait_leaves_nothing_behind(cls: str, script: Any) -> None:
    """Cancels while it reads the body, waits for attempts, and sends the response."""

    async def test() -> None:
        async with nodes(script, script, script) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers), facts=brief)
            await forward.start()
            at, ended, cancels = 1, False, 0
            while not ended:
                exchange = Exchange(b"", awaits=2)
                cancelled, waits = await cancelled_at(
                    lambda: forward(scope(f"/{cls}/7", number=at), exchange.receive, exchange.send), at
                )
                ended = waits < at
                cancels += cancelled
                sent = [sum(b"request-id: %016x" % at in r for r in p.requests) for p in peers]
                assert sum(sent) <= (1 if cls == "vat-filing" and script is not NOT_STARTED else 3)
                assert_settled(engine_of(forward))
                assert not forward.calls
                at += 1
            assert cancels >= 6
            total = sum(len(p.requests) for p in peers)
            await asyncio.sleep(0.03)
            assert sum(len(p.requests) for p in peers) == total
            await forward.close()

    run(test())


async def brief(scope: Scope) -> Facts:
    """Facts from an async function of the host: small requests with a short time-out."""
    await asyncio.sleep(0)
    headers = dict(scope["headers"])
    return Facts(
        cls=scope["path"].split("/")[1],
        customer="c",
        plan="plus",
        units=0.1,
        timeout_s=0.2,
        request_id=headers[b"request-id"].decode(),
    )


def test_the_hosts_function_returns_the_facts_and_none_passes_the_request_on() -> None:
    async def test() -> None:
        passed: list[str] = []

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            passed.append(scope["path"])

        def facts(scope: Scope) -> Facts | None:
            if scope["path"].endswith("by"):
                return None
            if scope["path"].endswith("bad"):
                raise BadRequest(403, "who are you")
            return Facts("payment-book", "acme", "plus", units=3, timeout_s=1.0, key="k7")

        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(app, deployment=deployment(*peers), facts=facts)
            assert (await ask(forward, b"x", path="/payment-book/7")).status == 200
            (sent,) = peers[0].requests
            assert b"idempotency-key: k7\r\n" in sent.lower() and sent.lower().count(b"\r\nrequest-id: ") == 1
            await ask(forward, path="/payment-book/by")
            assert passed == ["/payment-book/by"]
            assert (await ask(forward, path="/payment-book/bad")).status == 403
            wrong = ForwardMiddleware(app, deployment=deployment(*peers), facts=lambda scope: 7)  # type: ignore[arg-type,return-value]
            with pytest.raises(TypeError, match="neither Facts nor None"):
                await ask(wrong, path="/payment-book/x")
            await forward.close()
            await wrong.close()

    run(test())


def test_a_host_that_is_shut_down_with_open_requests() -> None:
    async def test() -> None:
        async with nodes(silence) as peers:
            forward = ForwardMiddleware(
                deployment=deployment(*peers), facts=brief_unsafe, shutdown_grace_s=0.05
            )
            await forward.start()
            out = [asyncio.create_task(ask(forward, path="/vat-filing/7", number=n)) for n in range(3)]
            await until(lambda: len(peers[0].requests) == 3)
            engine = engine_of(forward)
            closing = asyncio.create_task(forward.close())
            await asyncio.sleep(0)
            assert (await ask(forward, path="/vat-filing/7", number=9)).status == 503  # not accepted
            await closing
            assert [(await task).status for task in out] == [500] * 3
            assert_settled(engine)
            assert engine.tally.failed == 3

    run(test())


def brief_unsafe(scope: Scope) -> Facts:
    return Facts("vat-filing", "c", "plus", units=0.1, timeout_s=1.5)


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"deployment": None}, "deployment"),
        ({"paths": []}, "paths"),
        ({"paths": "/x"}, "paths"),
        ({"paths": ["x"]}, "paths"),
        ({"facts": 7}, "facts"),
        ({"body_timeout_s": 0}, "body_timeout_s"),
        ({"max_body": 10**9}, "max_body"),
        ({"shutdown_grace_s": -1}, "shutdown_grace_s"),
        ({"app": 7}, "app"),
    ],
)
def test_a_bad_setting_is_an_error_at_construction(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(ConfigError, match=said):
        ForwardMiddleware(**{"app": no_app, "deployment": deployment(), **changes})


def test_after_close_it_accepts_nothing() -> None:
    async def test() -> None:
        async with nodes(answer()) as peers:
            forward = ForwardMiddleware(deployment=deployment(*peers))
            await forward.start()
            ingress = forward._ingress
            await forward.close()
            assert ingress is not None
            with pytest.raises(IngressClosed):
                _ = ingress.core

    run(test())
