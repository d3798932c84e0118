"""Responses that never arrive or stop midway, on connections that stay open."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from build import KEYED_ALL, SAFE, START, UNSAFE, ended, gateway
from build import request as arrival
from counting import Counting, read_call
from loopback import SETTINGS, Peer, answer, request, run, silence, until, world

from troutdock.admission.interface import (
    Cancel,
    CounterAdd,
    CounterReply,
    Outcome,
    Plan,
    Refuse,
    Send,
    SetTimer,
    TimerFired,
)

COPIES: dict[str, Any] = {"second_copies": True, "classes": (SAFE, KEYED_ALL, UNSAFE)}
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
LONG = "20.000"  # a client deadline longer than any attempt may take


async def half(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(HALF)


def first_only(script: Any) -> Any:
    """A fleet where the first request gets the script; all others are answered."""
    met: list[bytes] = []

    async def either(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        met.append(data)
        await (script if len(met) == 1 else answer())(peer, data, writer)

    return either


def hasten(w: Any) -> None:
    """Gives the gateway a low service time estimate, so that attempts are overdue early."""
    w.service.ingress.engine._gateway.pools[0].unit_ms = [5.0] * 3
    w.service.ingress.engine._gateway.pools[0].mean_work = 5.0


@pytest.mark.parametrize("cls", ["ledger-read", "payment-book"])
@pytest.mark.parametrize("script", [silence, half])
def test_what_may_be_repeated_is_answered_elsewhere_long_before_its_time_is_up(cls: str, script: Any) -> None:
    """Issue 7: on one dead connection the gateway waited until the client's deadline."""

    async def test() -> None:
        loop, fleet = asyncio.get_running_loop(), first_only(script)
        async with world(fleet, fleet) as w:
            hasten(w)
            began = loop.time()
            status, _, body = await w.ask(request(cls, Request_Timeout=LONG))
            assert (status, body) == (200, b"done")
            assert loop.time() - began < 10
            assert sorted(len(b.requests) for b in w.backends) == [1, 1]
            ids = {
                line
                for b in w.backends
                for line in b.requests[0].split(b"\r\n")
                if b"request-id" in line.lower()
            }
            assert len(ids) == 1
            await until(lambda: sum(b.closed for b in w.backends) == 1)  # the silent one has been abandoned

    run(test())


def test_what_must_not_run_twice_is_sent_once() -> None:
    async def test() -> None:
        async with world(silence, silence) as w:
            hasten(w)
            assert (await w.ask(request("vat-filing", Request_Timeout="0.400")))[0] == 502
            assert sum(len(b.requests) for b in w.backends) == 1

    run(test())


def test_no_copy_where_the_settings_allow_none() -> None:
    async def test() -> None:
        alone = {"permissions": SETTINGS["permissions"] | {"parallel_tries": False}}
        async with world(silence, silence, settings=alone) as w:
            hasten(w)
            assert (await w.ask(request("ledger-read", Request_Timeout="0.400")))[0] == 429
            assert sum(len(b.requests) for b in w.backends) == 1

    run(test())


def test_a_silent_connection_does_not_keep_requests_from_its_backend() -> None:
    """The backend responds on other connections: the silent one says nothing about its health."""

    async def test() -> None:
        async with world(first_only(silence)) as w:
            hasten(w)
            silent = await w.client()
            silent.writer.write(request("vat-filing", 1, Request_Timeout=LONG))
            await until(lambda: len(w.backends[0].requests) == 1)
            gateway, clock = w.service.ingress.engine._gateway, w.service.ingress.engine.clock
            (backend,), (call,) = gateway.backends.values(), gateway.calls.values()
            began = clock.now()
            await asyncio.sleep(0.5)
            assert gateway.forecast(clock.now(), backend, call, 1.0) > 400
            assert (await w.ask(request("vat-filing", 2)))[0] == 200
            assert (
                began + 500 <= backend.heard_at + 1
                and gateway.forecast(backend.heard_at + 1, backend, call, 1.0) < 400
            )

    run(test())


# ---- the counter


def test_a_counter_connection_that_falls_silent_is_left_and_its_calls_are_known_as_lost() -> None:
    """Issue 7: each silence lasted a quarter of a second, and the calls during it were never counted."""

    async def test() -> None:
        async def once(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            if writer is not peer.writers[0] or len(peer.requests) == 1:
                writer.write(b"$1\r\n4\r\n")

        peer = Peer(once, read_call)
        await peer.start()
        c = Counting(peer, 0.2)
        await c.tried.wait()
        c.counter.call(7, 1.0, 1000.0)
        assert await c.outcomes(1) == [(7, Outcome.OK, 4.0)]
        c.counter._reply_time.seconds = 0.001  # however slow this machine was just now
        c.counter.call(8, 1.0, 1000.0)
        c.counter.call(9, 1.0, 1000.0)
        assert await c.outcomes(3) == [(7, Outcome.OK, 4.0), (8, Outcome.RESET, 0.0), (9, Outcome.RESET, 0.0)]
        await until(lambda: peer.connections == 2 and c.counter.up)
        c.counter.call(10, 1.0, 1000.0)
        assert (await c.outcomes(4))[3] == (10, Outcome.OK, 4.0)
        peer.stop()

    run(test())


def test_a_counter_that_is_slow_keeps_its_connection() -> None:
    """Its calls are added late; reported as lost, they would be added twice."""

    async def test() -> None:
        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.06)
            writer.write(b"$1\r\n4\r\n")

        peer = Peer(late, read_call)
        await peer.start()
        c = Counting(peer, 0.02)
        await c.tried.wait()
        c.counter._reply_time.seconds = 0.001
        for name in range(5):
            c.counter.call(name, 1.0, 1000.0)
            await until(lambda n=name: len(c.answers) == n + 1 and not c.counter._connection._calls)
        assert {o for _, o, _ in await c.outcomes(5)} == {Outcome.TIMEOUT}
        assert peer.connections == 1
        peer.stop()

    run(test())


COUNTED: dict[str, Any] = {"counter": True, "counter_timeout_ms": 50.0, "plans": (Plan(1, 10),)}


@pytest.mark.parametrize(
    ("outcome", "again"), [(Outcome.RESET, True), (Outcome.CONNECT_FAILED, True), (Outcome.TIMEOUT, False)]
)
def test_use_that_was_called_in_vain_is_reported_again(outcome: Outcome, again: bool) -> None:
    g = gateway(**COUNTED)
    g.asking = 1.0
    calls: list[CounterAdd] = []
    number = 0
    while not calls:
        number += 1
        calls = [a for a in g.handle(START, arrival(number, units=1.0)) if isinstance(a, CounterAdd)]
    (customer,) = g.customers.values()
    before = customer.debt
    g.handle(START + 50, CounterReply(calls[0].name, outcome, 50.0, 0.0))
    assert (customer.debt > before) is again


def test_calls_lost_with_one_connection_are_one_sign_of_a_crowded_counter() -> None:
    g = gateway(**COUNTED)
    g.asking = 1.0
    names = []
    for number in range(40):
        names += [
            a.name
            for a in g.handle(START, arrival(number, customer=number, units=4.0))
            if isinstance(a, CounterAdd)
        ]
    assert len(names) > 2
    for name in names:
        g.handle(START + 50, CounterReply(name, Outcome.RESET, 50.0, 0.0))
    assert g.asking == pytest.approx(0.7)


# ---- the decision module alone


def start(g: Any, number: int, cls: int, now: float = START) -> tuple[Send, SetTimer | None]:
    send, *timers = g.handle(now, arrival(number, cls))
    assert isinstance(send, Send) and len(timers) <= 1
    return send, timers[0] if timers else None


@pytest.mark.parametrize("cls", [0, 1])
def test_the_copy_goes_elsewhere_and_its_answer_ends_the_first(cls: int) -> None:
    g = gateway(**COPIES)
    send, timer = start(g, 1, cls)
    assert timer is not None
    now = START + timer.after_ms
    copy = g.handle(now, TimerFired(timer.label))[0]
    assert isinstance(copy, Send) and copy.backend != send.backend
    assert g.handle(now + 50, ended(1, copy.backend, attempt=1, took=50)) == [Cancel(1, 0)]
    assert g.handle(now + 50, ended(1, send.backend, Outcome.CANCELLED)) == []


def test_an_answered_or_unsafe_request_gets_no_copy() -> None:
    g = gateway(**COPIES)
    send, timer = start(g, 1, 0)
    assert timer is not None
    g.handle(START + 50, ended(1, send.backend))
    assert g.handle(START + timer.after_ms, TimerFired(timer.label)) == []
    assert start(g, 2, 2)[1] is None


@pytest.mark.parametrize("cls", [0, 1])
def test_a_request_is_refused_only_once_no_attempt_is_out(cls: int) -> None:
    """Rule 2: a pending attempt may still run; a rejection would deny that and could lose its response."""
    g = gateway(1, 2, **COPIES)
    send, timer = start(g, 1, cls)
    assert timer is not None
    now = START + timer.after_ms
    copy = g.handle(now, TimerFired(timer.label))[0]
    g.pools[0].retries = 0.0
    assert g.handle(now + 10, ended(1, copy.backend, Outcome.RESET, attempt=1, took=10)) == []
    (refused,) = g.handle(now + 20, ended(1, send.backend, Outcome.RESET, took=now + 20 - START))
    assert isinstance(refused, Refuse)


def test_a_fleet_that_is_silent_altogether_gets_no_storm_of_copies() -> None:
    g = gateway(*range(1, 9), **COPIES)
    due: list[tuple[float, int]] = []
    first = copies = 0
    for n in range(1000):
        now = START + n * 10
        for at, label in [d for d in due if d[0] <= now]:
            due.remove((at, label))
            for a in g.handle(now, TimerFired(label)):
                copies += isinstance(a, Send)
                due += [(now + a.after_ms, a.label)] if isinstance(a, SetTimer) else []
        for a in g.handle(now, arrival(n)):
            first += isinstance(a, Send)
            due += [(now + a.after_ms, a.label)] if isinstance(a, SetTimer) else []
    assert first > 0 and copies <= 0.1 * 1000 + 10


def test_an_attempt_cut_short_after_it_was_overdue_is_a_sign_against_its_backend() -> None:
    """Otherwise a vanished machine would get a request, with a copy elsewhere, again and again."""
    g = gateway(1, 2, **COPIES)
    for n in range(4):
        now = START + n * 5000
        send, timer = start(g, n, 0, now)
        assert timer is not None
        copy = g.handle(now + timer.after_ms, TimerFired(timer.label))[0]
        assert isinstance(copy, Send)
        later = now + timer.after_ms + 1
        g.handle(later, ended(n, copy.backend, attempt=1, took=1))
        before = g.backends[send.backend].slowness[0].now(later)
        g.handle(later, ended(n, send.backend, Outcome.CANCELLED, took=later - now))
        assert g.backends[send.backend].slowness[0].now(later) > before + 0.1
