"""Long and slow request bodies: memory budget, minimum rate, and all framings of HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import Peer, answer, read_message, request, run, until, world

from troutdock.http import body_limits
from troutdock.http.body_limits import (
    BODY_GRACE_S,
    HEADER_TIMEOUT_S,
    MIN_BODY_RATE,
    FIRST_BYTE_TIMEOUT_S,
    ByteBudget,
    MessageTimer,
    body_budget_bytes,
)
from troutdock.http.connection import origin_form
from troutdock.platform.config import read_config

LONG = "0123456789abcdef" * 20_000  # 320,000 bytes


# ---- budget and time limits


@given(st.lists(st.integers(-400, 400), max_size=50))
def test_a_byte_budget_never_exceeds_its_limit(steps: list[int]) -> None:
    budget, held = ByteBudget(1000), []
    for step in steps:
        if step > 0 and budget.reserve(step):
            held.append(step)
        elif step <= 0 and held:
            budget.release(held.pop())
        assert budget.used == sum(held) <= 1000


def test_the_body_budget_depends_on_the_memory() -> None:
    assert body_budget_bytes(24) == body_budget_bytes(32) == 2 * 1024 * 1024
    assert body_budget_bytes(192) == 80 * 1024 * 1024
    assert read_config(json.dumps(small_config())).bodies == body_budget_bytes(80)


def small_config() -> dict[str, Any]:
    from loopback import SETTINGS

    return {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "limits": {"memory_mb": 80},
        "settings": SETTINGS,
    }


def test_first_byte_header_section_and_body_have_separate_timeouts() -> None:
    timer = MessageTimer(100.0)
    assert not timer.expired(100.0 + FIRST_BYTE_TIMEOUT_S, 0) and timer.expired(
        100.01 + FIRST_BYTE_TIMEOUT_S, 0
    )
    timer.message_started(101.0)
    assert not timer.expired(100.0 + HEADER_TIMEOUT_S, 0) and timer.expired(100.01 + HEADER_TIMEOUT_S, 0)
    timer.header_section_complete(102.0)
    assert not timer.expired(102.0 + BODY_GRACE_S, 0) and timer.expired(102.01 + BODY_GRACE_S, 0)
    assert not timer.expired(102.0 + BODY_GRACE_S + 10, 10 * MIN_BODY_RATE)
    timer.message_started(200.0)
    assert not timer.expired(200.0 + HEADER_TIMEOUT_S, 0) and timer.expired(200.01 + HEADER_TIMEOUT_S, 0)


def test_whitespace_around_a_header_value_is_ignored() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            for name in ("Request_Id", "Plan", "Account", "Request_Timeout", "Quota_Info", "Content_Length"):
                plain = dict(
                    line.split(": ") for line in request().decode().split("\r\n\r\n")[0].split("\r\n")[1:]
                )
                padded = " \t" + plain[name.replace("_", "-")] + " \t "
                assert (await w.ask(request(**{name: padded})))[0] == 200, name
            assert (await w.ask(request("payment-book", Idempotency_Key="ab" * 16 + " ")))[0] == 200
            assert b"ab\r\n" in w.backends[0].requests[-1]

    run(test())


def test_a_pipelined_message_has_its_own_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two messages in one read: the body time of the first must not count for the second's header section."""
    monkeypatch.setattr(body_limits, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr("troutdock.daemon.SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async def later(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            await answer()(peer, data, writer)

        async with world(later) as w:
            client = await w.client()
            second = request(number=2)
            client.writer.write(request() + second[:30])
            assert (await client.answer())[0] == 200
            await asyncio.sleep(0.1)
            client.writer.write(second[30:])
            assert (await client.answer())[0] == 200

    run(test())


@pytest.mark.parametrize(
    ("url", "path"),
    [
        (b"/a/b?c=http://x", b"/a/b?c=http://x"),
        (b"http://h:80/a/b?c", b"/a/b?c"),
        (b"HTTPS://h/a", b"/a"),
        (b"http://h", b"/"),
        (b"http://h?c", b"/?c"),
        (b"*", b"*"),
        (b"h:80", b"h:80"),
    ],
)
def test_absolute_form_is_reduced_to_origin_form(url: bytes, path: bytes) -> None:
    assert origin_form(url) == path


# ---- over loopback


def test_a_long_body_is_forwarded_unchanged_and_repeated_on_retry() -> None:
    async def test() -> None:
        async def breaks(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")

        async with world(breaks, breaks, answer()) as w:
            status, _, _ = await w.ask(request(body=LONG))
            assert status == 200
            whole = [r for b in w.backends for r in b.requests]
            assert len(whole) >= 1 and all(r.endswith(b"\r\n\r\n" + LONG.encode()) for r in whole)
            await until(lambda: w.service._server.bodies.used == 0)

    run(test())


def test_a_chunked_body_is_forwarded_with_content_length() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            data = LONG.encode()
            chunks = b"".join(
                b"%x;ext=1\r\n%b\r\n" % (len(part), part)
                for part in (data[i : i + 50_000] for i in range(0, len(data), 50_000))
            )
            head = request(body="", Content_Length=None, Transfer_Encoding="chunked ")
            status, _, _ = await w.ask(head + chunks + b"0\r\nTrailer: x\r\n\r\n")
            assert status == 200 and w.backends[0].requests[0].endswith(b"\r\n\r\n" + data)
            assert w.service._server.bodies.used == 0

    run(test())


def test_a_body_beyond_the_budget_is_refused_until_budget_is_released() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            w.service._server.bodies.limit = 400_000
            first = await w.client()
            first.writer.write(request(body=LONG)[:2000])
            await until(lambda: w.service._server.bodies.used == len(LONG))
            status, head, _ = await w.ask(request(number=2, body=LONG))
            assert status == 503 and b"retry-after: 0.5" in head.lower()
            assert (await w.ask(request(number=3)))[0] == 200  # a small body needs no budget
            first.writer.write(request(body=LONG)[2000:])
            assert (await first.answer())[0] == 200
            assert (await w.ask(request(number=4, body=LONG)))[0] == 200
            assert len(w.backends[0].requests) == 3 and w.service._server.bodies.used == 0

    run(test())


def test_the_body_of_a_disconnected_client_is_released() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def slow(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await release.wait()

        async with world(slow) as w:
            held = w.service._server.bodies
            half, whole = await w.client(), await w.client()
            half.writer.write(request(body=LONG)[:100_000])
            whole.writer.write(request(number=2, body=LONG))
            await until(lambda: len(w.backends[0].requests) == 1 and held.used == 2 * len(LONG))
            half.writer.close()
            whole.writer.close()
            await until(lambda: held.used == 0)
            release.set()

    run(test())


def test_100_continue_is_sent_after_the_earlier_responses() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def later(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if b"receipt" in data:
                await release.wait()
            await answer()(peer, data, writer)

        async with world(later) as w:
            client = await w.client()
            whole = request(number=2, body="x" * 10, Expect="100-continue ")
            client.writer.write(request() + whole[:-10])
            await until(lambda: len(w.backends[0].requests) == 1)
            await asyncio.sleep(0.02)
            release.set()
            assert (await client.answer())[0] == 200  # no interim response precedes it
            assert (await read_message(client.reader)).startswith(b"HTTP/1.1 100 ")
            client.writer.write(whole[-10:])
            assert (await client.answer())[0] == 200
            assert b"xpect" not in w.backends[0].requests[1]
            status, _, _ = await client.ask(request(number=3, body="y", Expect="100-continue"))
            assert status in (100, 200)  # the client did not wait: 100 is optional

    run(test())


def test_a_body_above_the_minimum_rate_is_accepted_and_a_stalled_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for limit, value in (
        ("HEADER_TIMEOUT_S", 0.2),
        ("FIRST_BYTE_TIMEOUT_S", 0.2),
        ("BODY_GRACE_S", 0.1),
        ("MIN_BODY_RATE", 20_000),
    ):
        monkeypatch.setattr(body_limits, limit, value)
    monkeypatch.setattr("troutdock.daemon.SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with world(answer()) as w:
            slow, stops = await w.client(), await w.client()
            whole = request(body="x" * 40_000)
            stops.writer.write(request(number=2, body="x" * 40_000)[:20_000])
            for at in range(0, len(whole), 4000):  # takes about 0.5 s, longer than the header timeout
                slow.writer.write(whole[at : at + 4000])
                await asyncio.sleep(0.05)
            assert (await slow.answer())[0] == 200
            assert (await stops.answer())[0] == 408
            assert len(w.backends[0].requests) == 1

    run(test())


@pytest.mark.parametrize(
    ("head", "served"),
    [
        (b"Content-Length: 4 \r\n\r\ndone", True),
        (b"Transfer-Encoding: chunked \r\n\r\n2\r\ndo\r\n2;x=y\r\nne\r\n0\r\nT: x\r\n\r\n", True),
        (b"Connection: close\r\n\r\ndone", True),
        (b"Connection: Close \r\n\r\ndone", True),
        (b"\r\ndone", False),  # no Connection: close
    ],
)
def test_every_framing_of_a_response_body(head: bytes, served: bool) -> None:
    async def test() -> None:
        async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + head)
            if b"onnection" in head or not served:
                writer.close()

        async with world(script) as w:
            status, _, body = await w.ask(request())
            assert (status, body) == ((200, b"done") if served else (502, b""))

    run(test())


def test_a_reset_response_of_unknown_length_is_not_served() -> None:
    async def test() -> None:
        async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it")
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async with world(script) as w:
            reset_on_close(w.backends[0])
            assert (await w.ask(request()))[0] == 502

    run(test())


def reset_on_close(peer: Peer) -> None:
    """Makes the peer's connections end with a reset, as when a process is killed with unread data."""
    import socket
    import struct

    serve = peer.script

    async def script(p: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await serve(p, data, writer)

    peer.script = script
