"""Guard mode, called directly as ASGI: responses, cancellation and errors of handlers."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from asgi_host import NAMES, Exchange, cancelled_at, deployment, scope
from loopback import run, until
from simulated import assert_settled

from troutdock.asgi import GuardMiddleware
from troutdock.asgi.guard import AnswerBroken
from troutdock.asgi.types import Receive, Scope, Send
from troutdock.engine import Engine
from troutdock.library import ConfigError, Facts

SMALL = {"units": 0.1}


def engine_of(middleware: Any) -> Engine:
    return middleware._ingress.core.engine


class Handler:
    """An application that counts its runs and runs the coroutine of the test."""

    def __init__(self, work: Any = None, awaits: int = 0) -> None:
        self.work, self.awaits = work, awaits
        self.runs: list[bytes] = []
        self.ended = 0
        self.cancelled = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.runs.append(dict(scope["headers"]).get(b"request-id", b""))
        try:
            for _ in range(self.awaits):
                await asyncio.sleep(0)
            await (self.work or whole)(scope, receive, send)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.ended += 1


async def whole(scope: Scope, receive: Receive, send: Send) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": [(b"billed-units", b"3")]})
    await send({"type": "http.response.body", "body": b"do", "more_body": True})
    await send({"type": "http.response.body", "body": b"ne"})


async def plain(scope: Scope, receive: Receive, send: Send) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"done"})


async def hang(scope: Scope, receive: Receive, send: Send) -> None:
    await asyncio.Event().wait()


async def ask(guard: Any, *parts: bytes, **changes: Any) -> Exchange:
    exchange = Exchange(*parts)
    await guard(scope(**{**SMALL, **changes}), exchange.receive, exchange.send)
    return exchange


def guarded(handler: Any, **changes: Any) -> GuardMiddleware:
    return GuardMiddleware(handler, **{"deployment": deployment(), **changes})


def test_a_handler_runs_once_and_its_answer_passes_through_as_it_comes() -> None:
    async def test() -> None:
        handler = Handler()
        guard = guarded(handler)
        told = await ask(guard)
        assert (told.status, told.body, told.whole) == (200, b"done", True)
        assert [m.get("body") for m in told.sent] == [None, b"do", b"ne"]  # message by message
        assert len(handler.runs) == 1
        tally = engine_of(guard).tally
        assert (tally.taken, tally.served) == (1, 1)
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_beyond_the_quota_a_request_is_refused_at_once_and_the_handler_does_not_run() -> None:
    async def test() -> None:
        handler = Handler()
        guard = guarded(handler)
        told = [await ask(guard, plan="basis", number=n, units=2) for n in range(10)]
        refused = [t for t in told if t.status == 429]
        assert len(handler.runs) == len(told) - len(refused) and 2 <= len(handler.runs) <= 4
        assert all(float(t.header(b"retry-after") or 0) > 0 and t.whole for t in refused)
        await guard.close()

    run(test())


@pytest.mark.parametrize(
    ("by", "left"), [("header", 8 - 3), ("handler", 8 - 5), ("nothing", 8 - 2), ("less than nothing", 8 - 2)]
)
def test_units_are_settled_by_the_units_of_the_handler(by: str, left: float) -> None:
    async def test() -> None:
        async def work(scope: Scope, receive: Receive, send: Send) -> None:
            told = {"header": b"3", "handler": b"3", "less than nothing": b"-5"}
            headers = [(b"billed-units", told[by])] if by in told else []
            if by == "handler":
                scope["troutdock"].units = 5.0
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": b""})

        guard = guarded(work)
        assert (await ask(guard, plan="basis", units=2)).status == 200
        (customer,) = engine_of(guard)._gateway.customers.values()
        assert left <= customer.tokens < left + 0.5
        await guard.close()

    run(test())


@pytest.mark.parametrize("cls", NAMES)
def test_an_exception_propagates_to_the_host(cls: str) -> None:
    async def test() -> None:
        async def fail(scope: Scope, receive: Receive, send: Send) -> None:
            raise ZeroDivisionError("the handler's own")

        handler = Handler(fail)
        guard = guarded(handler)
        with pytest.raises(ZeroDivisionError, match="the handler's own"):
            await ask(guard, path=f"/{cls}/7")
        assert len(handler.runs) == 1 and engine_of(guard).tally.failed == 1
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_an_exception_within_the_response_propagates_too() -> None:
    async def test() -> None:
        async def fail(scope: Scope, receive: Receive, send: Send) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            raise ZeroDivisionError

        guard = guarded(fail)
        with pytest.raises(ZeroDivisionError):
            await ask(guard)
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


@pytest.mark.parametrize(
    ("cls", "status"), [("ledger-read", 429), ("payment-book", 429), ("vat-filing", 502)]
)
def test_a_handler_that_never_responds_is_cancelled_at_the_deadline(cls: str, status: int) -> None:
    async def test() -> None:
        handler, loop = Handler(hang), asyncio.get_running_loop()
        guard = guarded(handler)
        began = loop.time()
        told = await ask(guard, path=f"/{cls}/7", timeout="0.200")
        assert loop.time() - began < 0.2
        assert told.status == status and told.whole
        await until(lambda: handler.cancelled == 1)
        assert len(handler.runs) == 1
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_handler_that_ignores_cancellation_delays_nothing_and_its_messages_are_dropped() -> None:
    async def test() -> None:
        go_on = asyncio.Event()

        async def stubborn(scope: Scope, receive: Receive, send: Send) -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await go_on.wait()
                await whole(scope, receive, send)

        handler = Handler(stubborn)
        guard = guarded(handler)
        told = await ask(guard, timeout="0.150")
        assert told.status == 429 and handler.ended == 0
        go_on.set()
        await until(lambda: handler.ended == 1)
        assert told.whole  # and nothing behind it
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_response_that_exceeds_its_deadline_is_aborted() -> None:
    async def test() -> None:
        async def slow(scope: Scope, receive: Receive, send: Send) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await hang(scope, receive, send)

        handler = Handler(slow)
        guard = guarded(handler)
        exchange = Exchange()
        with pytest.raises(AnswerBroken):
            await guard(scope(timeout="0.150", units=0.1), exchange.receive, exchange.send)
        assert [m["type"] for m in exchange.sent] == ["http.response.start"]
        await until(lambda: handler.cancelled == 1)
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


@pytest.mark.parametrize("again", ["http.response.start", "http.response.body"])
def test_a_second_response_is_an_error_and_the_first_one_stands(again: str) -> None:
    async def test() -> None:
        async def twice(scope: Scope, receive: Receive, send: Send) -> None:
            await whole(scope, receive, send)
            await send({"type": again, "status": 500, "headers": [], "body": b"more"})

        guard = guarded(twice)
        exchange = Exchange()
        with pytest.raises(RuntimeError, match="answers twice"):
            await guard(scope(units=1), exchange.receive, exchange.send)
        assert (exchange.status, exchange.body, exchange.whole) == (200, b"done", True)
        assert engine_of(guard).tally.served == 1
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_handler_that_returns_without_an_answer_has_failed() -> None:
    async def test() -> None:
        async def nothing(scope: Scope, receive: Receive, send: Send) -> None:
            return

        async def half(scope: Scope, receive: Receive, send: Send) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})

        guard = guarded(nothing)
        told = await ask(guard)
        assert told.status == 500 and told.whole
        guard.app = half
        with pytest.raises(AnswerBroken):
            await ask(guard, number=2)
        assert engine_of(guard).tally.failed == 2
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_client_that_disconnects_cancels_its_handler() -> None:
    async def test() -> None:
        handler = Handler(hang)
        guard = guarded(handler)
        for parts, path in (((b"",), "/ledger-read/7"), ((b"some", b"more"), "/vat-filing/7")):
            exchange = Exchange(*parts)

            async def reads(scope: Scope, receive: Receive, send: Send) -> None:
                while (await receive()).get("more_body", False):
                    pass
                await hang(scope, receive, send)

            handler.work = reads
            ended = handler.ended
            body = b"somemore" if len(parts) > 1 else b""
            task = asyncio.create_task(
                guard(scope(path, units=1, body=body), exchange.receive, exchange.send)
            )
            await asyncio.sleep(0.02)
            assert handler.ended == ended
            exchange.left.set()
            await task
            await until(lambda before=ended: handler.ended == before + 1)
            assert exchange.sent == []
        assert handler.cancelled == 2 and engine_of(guard).tally.withdrawn == 2
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_disconnect_while_the_body_is_read_reaches_the_handler() -> None:
    async def test() -> None:
        seen: list[str] = []

        async def reads(scope: Scope, receive: Receive, send: Send) -> None:
            while (message := await receive())["type"] != "http.disconnect":
                seen.append(message["body"])
            seen.append("left")

        handler = Handler(reads)
        guard = guarded(handler)
        exchange = Exchange(b"half", b"")
        exchange.messages.pop()
        task = asyncio.create_task(
            guard(scope("/vat-filing/7", units=1, body=b"halfmore"), exchange.receive, exchange.send)
        )
        await until(lambda: seen == [b"half"])
        exchange.left.set()
        await task
        await until(lambda: handler.ended == 1)
        assert engine_of(guard).tally.withdrawn == 1 and exchange.sent == []
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_a_body_is_read_ahead_within_a_bound() -> None:
    async def test() -> None:
        go_on = asyncio.Event()
        got: list[int] = []

        async def late(scope: Scope, receive: Receive, send: Send) -> None:
            await go_on.wait()
            while (message := await receive())["more_body"]:
                got.append(len(message["body"]))
            await whole(scope, receive, send)

        guard = guarded(late)
        exchange = Exchange(*[b"x" * 20_000] * 20, b"")
        task = asyncio.create_task(
            guard(scope("/vat-filing/7", units=0.1, body=b"x" * 400_000), exchange.receive, exchange.send)
        )
        await asyncio.sleep(0.02)
        assert len(exchange.messages) == 21 - 4  # 64 KiB, and the message that passes it
        go_on.set()
        await task
        assert (exchange.status, got) == (200, [20_000] * 20)
        await guard.close()

    run(test())


def test_an_error_of_the_hosts_receive_reaches_the_handler() -> None:
    async def test() -> None:
        async def broken() -> Any:
            raise ZeroDivisionError("the host's own")

        async def reads(scope: Scope, receive: Receive, send: Send) -> None:
            await receive()

        guard = guarded(reads)
        with pytest.raises(ZeroDivisionError, match="the host's own"):
            await guard(scope(units=0.1), broken, Exchange().send)
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


def test_the_handler_reads_the_whole_body_in_its_pieces() -> None:
    async def test() -> None:
        got: list[bytes] = []

        async def reads(scope: Scope, receive: Receive, send: Send) -> None:
            more = True
            while more:
                message = await receive()
                got.append(message["body"])
                more = message["more_body"]
            await whole(scope, receive, send)

        guard = guarded(reads)
        assert (await ask(guard, b"a", b"", b"b", path="/vat-filing/7", body=b"ab")).status == 200
        assert got == [b"a", b"", b"b"]
        assert (await ask(guard, b"", number=2)).status == 200  # a request without a body has its empty one
        assert got[3:] == [b""]
        await guard.close()

    run(test())


def test_work_after_the_response_goes_on() -> None:
    """Background tasks of a framework run in the handler, after its answer: no deadline ends them."""

    async def test() -> None:
        async def work(scope: Scope, receive: Receive, send: Send) -> None:
            await whole(scope, receive, send)
            await asyncio.sleep(0.25)

        handler = Handler(work)
        guard = guarded(handler)
        exchange = Exchange()
        task = asyncio.create_task(guard(scope(timeout="0.150", units=0.1), exchange.receive, exchange.send))
        await until(lambda: exchange.body == b"done")
        exchange.left.set()
        await task
        assert (handler.ended, handler.cancelled) == (1, 0)
        await guard.close()

    run(test())


@pytest.mark.parametrize("cls", NAMES)
@pytest.mark.parametrize("work", [whole, hang])
def test_a_host_that_cancels_at_any_wait_leaves_nothing_behind(cls: str, work: Any) -> None:
    async def test() -> None:
        handler = Handler(work, awaits=3)
        guard = guarded(handler, facts=brief)
        await guard.start()
        at, ended, cancels = 1, False, 0
        while not ended:
            exchange = Exchange(b"", awaits=2)
            cancelled, waits = await cancelled_at(
                lambda: guard(scope(f"/{cls}/7", number=at), exchange.receive, exchange.send), at
            )
            ended = waits < at
            cancels += cancelled
            assert handler.ended == len(handler.runs)  # the end of each handler was awaited
            assert handler.runs.count(b"%016x" % at) <= 1
            assert_settled(engine_of(guard))
            assert not guard.calls
            at += 1
        assert cancels >= 2
        assert len(handler.runs) >= 1
        await guard.close()

    run(test())


@pytest.mark.parametrize("cls", NAMES)
def test_a_host_that_cancels_while_the_handler_is_at_any_wait(cls: str) -> None:
    """Cancels at each wait of the handler in turn, including those while its response is passed on."""

    async def test() -> None:
        at, reached = 0, True
        while reached:
            at, reached, waits = at + 1, False, 0
            task: asyncio.Task[None]

            async def wait() -> None:
                nonlocal waits, reached
                waits += 1
                if waits == at:
                    reached = True
                    task.cancel()
                await asyncio.sleep(0)

            async def work(scope: Scope, receive: Receive, send: Send) -> None:
                for _ in range(3):
                    await wait()
                await send({"type": "http.response.start", "status": 200, "headers": []})
                for _ in range(3):
                    await wait()
                    await send({"type": "http.response.body", "body": b"x", "more_body": True})
                await wait()
                await send({"type": "http.response.body", "body": b""})

            handler = Handler(work)
            guard = guarded(handler)
            await guard.start()
            engine, exchange = engine_of(guard), Exchange()
            task = asyncio.create_task(guard(scope(f"/{cls}/7", units=1), exchange.receive, exchange.send))
            await asyncio.wait({task})
            assert task.cancelled() is reached
            assert (handler.ended, handler.cancelled) == (1, int(reached))
            assert_settled(engine)
            assert (engine.tally.withdrawn, engine.tally.served) == ((1, 0) if reached else (0, 1))
            await guard.close()
        assert at == 8  # in the last run the handler ended before the cancellation

    run(test())


async def brief(scope: Scope) -> Facts:
    await asyncio.sleep(0)
    return Facts(cls=scope["path"].split("/")[1], customer="c", plan="plus", units=0.1, timeout_s=0.1)


# ---- sharing


def test_two_instances_admit_as_much_as_one() -> None:
    async def test() -> None:
        alone = Handler(plain)
        one = guarded(alone, deployment=deployment(name="alone"))
        for n in range(40):
            await ask(one, plan="basis", number=n, units=1)
        await one.close()
        first, second = Handler(plain), Handler(plain)
        pair = [guarded(first), guarded(second)]
        for guard in pair:
            await guard.start()
        await asyncio.gather(*(ask(pair[n % 2], plan="basis", number=n, units=1) for n in range(40)))
        assert len(alone.runs) == len(first.runs) + len(second.runs) > 0
        assert first.runs and second.runs  # each ran its own
        assert engine_of(pair[0]) is engine_of(pair[1])
        await pair[0].close()
        assert (await ask(pair[1], number=99, account=8)).status == 200
        await pair[1].close()

    run(test())


def test_a_stalled_instance_does_not_slow_the_other() -> None:
    async def test() -> None:
        stuck, good = guarded(hang), guarded(Handler())
        waiting = [asyncio.create_task(ask(stuck, number=n, timeout="0.300")) for n in range(12)]
        await asyncio.sleep(0.02)
        assert [(await ask(good, number=100 + n)).status for n in range(40)] == [200] * 40
        await asyncio.gather(*waiting)
        assert [(await ask(good, number=200 + n)).status for n in range(40)] == [200] * 40
        await stuck.close()
        await good.close()

    run(test())


def test_built_twice_by_mistake_is_an_error_or_counts_once() -> None:
    async def test() -> None:
        handler = Handler()
        inner = guarded(handler)
        with pytest.raises(ConfigError, match="twice"):
            guarded(inner)
        guarded(inner, paths=["/elsewhere"])  # other paths are no mistake

        async def hides(scope: Scope, receive: Receive, send: Send) -> None:
            await inner(scope, receive, send)

        outer = guarded(hides)
        assert (await ask(outer, plan="basis", units=2)).status == 200
        tally = engine_of(outer).tally
        assert (tally.taken, tally.served) == (1, 1)  # counted once, though both saw it
        await outer.close()
        await inner.close()

    run(test())


# ---- others


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"path": "/nothing"}, 404),
        ({"plan": "gold"}, 400),
        ({"timeout": "nan"}, 400),
        ({"units": 9}, 400),
        ({"headers": ((b"plan", b"plus"),)}, 400),
    ],
)
def test_invalid_requests_do_not_reach_the_handler(changes: dict[str, Any], status: int) -> None:
    async def test() -> None:
        handler = Handler()
        guard = guarded(handler)
        told = await ask(guard, **changes)
        assert told.status == status and told.whole and not handler.runs
        await guard.close()

    run(test())


def test_without_a_time_out_the_classs_deadline_holds() -> None:
    async def test() -> None:
        seen: list[float] = []

        async def work(scope: Scope, receive: Receive, send: Send) -> None:
            seen.append(scope["troutdock"].deadline - asyncio.get_running_loop().time())
            await whole(scope, receive, send)

        guard = guarded(work)
        assert (await ask(guard, timeout=None)).status == 200
        assert 3.5 < seen[0] < 4.0
        await guard.close()

    run(test())


def test_a_handlers_error_status_is_passed_on_and_counts_against_it() -> None:
    async def test() -> None:
        async def work(scope: Scope, receive: Receive, send: Send) -> None:
            await send({"type": "http.response.start", "status": 503, "headers": []})
            await send({"type": "http.response.body", "body": b"sorry"})

        guard = guarded(work)
        told = await ask(guard)
        assert (told.status, told.body) == (503, b"sorry")
        assert engine_of(guard).tally.failed == 1
        assert_settled(engine_of(guard))
        await guard.close()

    run(test())


@pytest.mark.parametrize("concurrency", [0, -1, float("nan")])
def test_a_bad_concurrency_is_an_error_at_construction(concurrency: float) -> None:
    with pytest.raises(ConfigError, match="concurrency"):
        guarded(Handler(), concurrency=concurrency)
