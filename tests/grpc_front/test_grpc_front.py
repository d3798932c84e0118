"""The gRPC frontend and transport with backends based on the library h2.

Covers faults on both sides, streams, limits and shutdown.
"""

from __future__ import annotations

import asyncio
import gc
import json
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import loopback
import pytest
from h2_peers import Call, H2Backend, Headers, H2Peer, connect, message
from loopback import SETTINGS, World, free_address, request, run, until

from troutdock.admission.interface import BackendEntry, BackendState, FleetUpdate, ListKind
from troutdock.address import parse_address
from troutdock.engine import Call as EngineCall
from troutdock.grpc import front as front_module
from troutdock.grpc import transport as transport_module
from troutdock.grpc.exchange import GrpcExchange
from troutdock.grpc.methods import MethodType, MethodRule
from troutdock.grpc.protocol import Status
from troutdock.grpc.request import GrpcMessage, GrpcRequest, Upload
from troutdock.grpc.service import GrpcComponent, GrpcOptions
from troutdock.grpc.transport import GrpcAttempt
from troutdock.http2 import frames as f
from troutdock.http2.connection import Stream
from troutdock.http2.headers import encode
from troutdock.platform.config import read_config

GRPC: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]
OK: Headers = [(b"grpc-status", b"0")]
RULES = (
    MethodRule("/l/Read", "ledger-read"),
    MethodRule("/l/Book", "payment-book"),
    MethodRule("/l/File", "vat-filing"),
    MethodRule("/l/List", "ledger-read", MethodType.SERVER_STREAMING),
    MethodRule("/l/FileAll", "vat-filing", MethodType.CLIENT_STREAMING),
    MethodRule("/l/Talk", "vat-filing", MethodType.BIDIRECTIONAL),
    MethodRule("/l/Watch", "vat-filing", MethodType.SERVER_STREAMING),
)
CLASSES = {"/l/Read": "ledger-read", "/l/Book": "payment-book", "/l/File": "vat-filing"}


def request_headers(path: str = "/l/Read", **changes: str | None) -> Headers:
    fields: dict[str, str | None] = {
        ":method": "POST",
        ":scheme": "http",
        ":path": path,
        ":authority": "service.internal",
        "content-type": "application/grpc",
        "te": "trailers",
        "account": "0000000000000009",
        "plan": "plus",
        "quota-info": "units=2,spread=2,first=0",
        "grpc-timeout": "1500m",
        "idempotency-key": "ab" * 16,
    }
    fields |= {name.replace("_", "-"): value for name, value in changes.items()}
    return [(name.encode(), value.encode()) for name, value in fields.items() if value is not None]


async def answer_ok(call: Call) -> None:
    call.send([*GRPC, (b"billed-units", b"3")], message(), OK)


class Ingress:
    """An ingress with gRPC, its backends and its clients."""

    world: Any
    component: GrpcComponent
    backends: list[H2Backend]

    async def client(self, auto_credit: bool = True) -> H2Peer:
        peer = await connect(self.world.address, auto_credit)
        self.peers.append(peer)
        return peer

    async def call(self, path: str = "/l/Read", data: bytes = message(b"ask"), **changes: str | None) -> Call:
        """Runs a call on a new connection to its end."""
        call = (await self.client()).open(request_headers(path, **changes), data)
        await call.ended.wait()
        return call

    @property
    def attempts(self) -> list[int]:
        return [len(backend.calls) for backend in self.backends]


@asynccontextmanager
async def grpc_ingress(
    *scripts: Callable[[Call], Awaitable[None]],
    terms: dict[str, Any] | None = None,
    wait_for_end: bool = True,
    auto_credit: bool = True,
    **how: Any,
) -> AsyncIterator[Ingress]:
    s = Ingress()
    s.peers, s.backends = [], [H2Backend(script, wait_for_end, auto_credit) for script in scripts]
    for backend in s.backends:
        await backend.start()
    fixed = (terms or {}).pop("fixed", False)
    if fixed:
        terms = {**(terms or {}), "nodes": tuple(parse_address(backend.address) for backend in s.backends)}
    s.component = GrpcComponent(GrpcOptions(RULES, **(terms or {})))

    async def start_daemon(world: World, stack: Any, config: str) -> None:
        raw = json.loads(config)
        if not fixed:
            raw["known"]["targets"] = [
                loopback.target(backend, f"s-{n}") for n, backend in enumerate(s.backends)
            ]  # type: ignore[arg-type]
        await loopback.daemon(world, stack, json.dumps(raw), [s.component])

    before, loopback.FRONTS["setup"], front = loopback.FRONTS.get("setup"), start_daemon, loopback.front
    loopback.front = "setup"
    try:
        async with loopback.world(**how) as world:
            s.world = world
            yield s
    finally:
        loopback.front = front
        loopback.FRONTS.pop("setup")
        assert before is None
        for backend in s.backends:
            backend.stop()
        for peer in s.peers:
            if peer.transport is not None:
                peer.transport.abort()


def with_ingress(*scripts: Any, **how: Any) -> Callable[[Callable[[Ingress], Awaitable[None]]], None]:
    """Runs a scenario with such an ingress."""

    def decorate(scenario: Callable[[Ingress], Awaitable[None]]) -> None:
        async def test() -> None:
            async with grpc_ingress(*scripts, **how) as s:
                await scenario(s)

        run(test())

    return decorate


# ---- towards backends: each end of a call and its outcome


async def never_answer(call: Call) -> None:
    await asyncio.sleep(30)


def reset_with(
    code: int, first: Callable[[Call], None] = lambda call: None
) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        first(call)
        call.cancel(code)

    return script


def abort_after(first: Callable[[Call], None]) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        first(call)
        await asyncio.sleep(0.01)
        call.peer.transport.abort()

    return script


def answer_with(
    headers: Headers, data: bytes = b"", trailers: Headers | None = None
) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        call.send(headers, data, trailers, end=True)

    return script


async def send_goaway_excluding_call(call: Call) -> None:
    call.peer.transport.write(f.goaway(0, 0))


async def send_goaway_including_call(call: Call) -> None:
    call.peer.transport.write(f.goaway(call.stream_id, 0))
    await asyncio.sleep(0.02)
    await answer_ok(call)


POSSIBLY_EXECUTED = {
    **{f"RST_STREAM {code}": reset_with(code) for code in (0, 1, 2, 8, 11)},
    "reset after the headers": reset_with(8, lambda call: call.send(GRPC)),
    "connection lost before the headers": abort_after(lambda call: None),
    "connection lost after the headers": abort_after(lambda call: call.send(GRPC)),
    "connection lost within the message": abort_after(lambda call: call.send(GRPC, message()[:-2])),
    "connection lost before the trailers": abort_after(lambda call: call.send(GRPC, message())),
    "UNAVAILABLE after a message": answer_with(GRPC, message(), [(b"grpc-status", b"14")]),
    "no trailers": answer_with(GRPC, message()),
    "trailers without status": answer_with(GRPC, message(), [(b"x", b"y")]),
    "headers only": answer_with(GRPC),
    "stalled within the message": lambda call: asyncio.sleep(0, call.send(GRPC, message()[:-2])),
    "error status after a message": answer_with(
        GRPC, message(), [(b"grpc-status", b"13"), (b"grpc-message", b"late")]
    ),
    **{
        f"status {code}": answer_with([*GRPC, (b"grpc-status", b"%d" % code), (b"grpc-message", b"why")])
        for code in (1, 2, 4, 8, 13, 14, 15)
    },
    **{
        f"HTTP {code}": answer_with([(b":status", b"%d" % code)])
        for code in (301, 400, 404, 429, 500, 502, 503)
    },
    "not gRPC": answer_with([(b":status", b"200"), (b"content-type", b"text/html")], b"<html>"),
}
NOT_EXECUTED = {
    "REFUSED_STREAM": reset_with(7),
    "above a GOAWAY": send_goaway_excluding_call,
    "UNAVAILABLE, not started": answer_with([*GRPC, (b"grpc-status", b"14"), (b"not-started", b"1")]),
    "HTTP 503, not started": answer_with([(b":status", b"503"), (b"not-started", b"1")]),
}


@pytest.mark.parametrize("path", CLASSES)
@pytest.mark.parametrize("row", POSSIBLY_EXECUTED)
def test_possibly_executed_calls_are_retried_only_if_the_class_allows(path: str, row: str) -> None:
    """Safe and keyed calls are retried on other backends, then rejected; unsafe ones are never resent."""

    @with_ingress(*[POSSIBLY_EXECUTED[row]] * 4)
    async def scenario(s: Ingress) -> None:
        call = await s.call(path)
        status = int(call["grpc-status"])
        if path == "/l/File":
            assert sum(s.attempts) == 1 and status not in (0, 8, 14)
            expected = {
                "status 2": 2,
                "status 15": 15,
                "error status after a message": 13,
                "HTTP 404": 12,
            }.get(row)
            assert expected in (None, status)
        else:
            assert (status, sum(s.attempts), max(s.attempts)) == (8, 3, 1)
        await asyncio.sleep(0.03)
        assert call.events_after_end == 0 and s.world.engine.open == 0 and s.world.engine.tally.taken == 1


@pytest.mark.parametrize("path", CLASSES)
@pytest.mark.parametrize("row", NOT_EXECUTED)
def test_calls_not_executed_are_retried_for_every_class(path: str, row: str) -> None:
    @with_ingress(*[NOT_EXECUTED[row]] * 4)
    async def scenario(s: Ingress) -> None:
        call = await s.call(path)
        assert (call["grpc-status"], sum(s.attempts), max(s.attempts)) == ("8", 3, 1)
        assert (
            int(call["grpc-retry-pushback-ms"]) > 0
            and call["grpc-status-details-bin"]
            and call["retry-after"]
        )

    @with_ingress(NOT_EXECUTED[row], answer_ok)
    async def second(s: Ingress) -> None:
        for _ in range(6):
            call = await s.call(path)
            assert (call["grpc-status"], call.data) == ("0", message())
        assert sum(s.attempts) >= 6


@pytest.mark.parametrize("code", [3, 5, 6, 7, 9, 10, 11, 12, 16])
def test_application_statuses_are_forwarded(code: int) -> None:
    @with_ingress(
        *[
            answer_with(
                [*GRPC, (b"grpc-status", b"%d" % code), (b"grpc-message", b"n%C3%B6"), (b"x-why", b"z")]
            )
        ]
        * 3
    )
    async def scenario(s: Ingress) -> None:
        call = await s.call("/l/Read")
        assert (call["grpc-status"], call["grpc-message"], call["x-why"], sum(s.attempts)) == (
            str(code),
            "n%C3%B6",
            "z",
            1,
        )


def test_calls_covered_by_a_goaway_complete_and_later_ones_use_another_connection() -> None:
    @with_ingress(send_goaway_including_call)
    async def scenario(s: Ingress) -> None:
        for _ in range(3):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        assert len(s.backends[0].peers) == 3


def test_call_is_forwarded_unchanged_with_the_remaining_timeout() -> None:
    async def slow(call: Call) -> None:
        await asyncio.sleep(0.05)
        call.send(
            [*GRPC, (b"grpc-encoding", b"gzip"), (b"x-head", b"1")],
            message(b"\0\1zip", compressed=True),
            [*OK, (b"x-tail-bin", b"AAE")],
        )

    @with_ingress(slow)
    async def scenario(s: Ingress) -> None:
        call = await s.call(
            "/l/Book",
            message(b"\x1f\x8bask", compressed=True),
            grpc_encoding="gzip",
            x_own="kept",
            grpc_timeout="700m",
        )
        assert (call.data, call["grpc-encoding"], call["x-head"], call["x-tail-bin"]) == (
            message(b"\0\1zip", True),
            "gzip",
            "1",
            "AAE",
        )
        (received,) = s.backends[0].calls
        assert received.data == message(b"\x1f\x8bask", True) and (
            received["x-own"],
            received["grpc-encoding"],
            received["te"],
        ) == ("kept", "gzip", "trailers")
        assert 500_000 < int(received["grpc-timeout"][:-1]) < 700_000 and received["grpc-timeout"][-1] == "u"


@pytest.mark.parametrize(("path", "status"), [("/l/Read", 8), ("/l/File", 4)])
def test_unresponsive_backend_is_reported_before_the_clients_deadline(path: str, status: int) -> None:
    @with_ingress(never_answer)
    async def scenario(s: Ingress) -> None:
        began = asyncio.get_running_loop().time()
        call = await s.call(path, grpc_timeout="500m")
        assert (int(call["grpc-status"]), asyncio.get_running_loop().time() - began < 0.5) == (status, True)
        await until(lambda: s.backends[0].calls[0].reset == 8)  # the backend's call is cancelled


@pytest.mark.parametrize("leave", [lambda call: call.cancel(), lambda call: call.peer.transport.abort()])
def test_client_cancellation_resets_the_call_at_the_backend(leave: Callable[[Call], None]) -> None:
    @with_ingress(never_answer)
    async def scenario(s: Ingress) -> None:
        call = (await s.client()).open(request_headers("/l/File"), message())
        await until(lambda: len(s.backends[0].calls) == 1)
        leave(call)
        await until(lambda: s.backends[0].calls[0].reset == 8 and s.world.engine.open == 0)
        # the connection stays usable
        assert s.world.engine.tally.withdrawn == 1 and not s.backends[0].peers[0].closed.is_set()


# ---- streams of messages


async def answer_three_messages(call: Call) -> None:
    call.send(GRPC)
    for n in range(3):
        call.send(data=message(b"%d" % n))
        await asyncio.sleep(0.02)
    call.send(trailers=[*OK, (b"billed-units", b"3")])


def test_server_stream_is_forwarded_as_it_arrives() -> None:
    @with_ingress(answer_three_messages)
    async def scenario(s: Ingress) -> None:
        call = (await s.client()).open(request_headers("/l/List"), message())
        await call.started.wait()
        assert call.data in (message(b"0"), b"") and not call.ended.is_set()
        await call.ended.wait()
        assert (call.data, call["grpc-status"]) == (message(b"0") + message(b"1") + message(b"2"), "0")
        assert (s.world.engine.tally.served, s.world.service.server.streams) == (1, 0)


@pytest.mark.parametrize(
    ("last", "status"),
    [([(b"grpc-status", b"5"), (b"grpc-message", b"gone")], 5), ([(b"grpc-status", b"14")], 14), (None, 13)],
)
def test_stream_broken_after_a_message_ends_once_and_is_not_retried(
    last: Headers | None, status: int
) -> None:
    async def script(call: Call) -> None:
        call.send(GRPC, message(b"1"))
        await asyncio.sleep(0.03)
        call.send(trailers=last) if last is not None else call.peer.transport.abort()

    @with_ingress(script, script)
    async def scenario(s: Ingress) -> None:
        for path in ("/l/List", "/l/Watch"):
            call = await s.call(path)
            assert (call.data, int(call["grpc-status"]), call.events_after_end) == (message(b"1"), status, 0)
        assert sum(s.attempts) == 2


def test_stream_past_its_deadline_ends_for_client_and_backend() -> None:
    async def endless(call: Call) -> None:
        call.send(GRPC, message(b"1"))
        await never_answer(call)

    @with_ingress(endless)
    async def scenario(s: Ingress) -> None:
        call = await s.call("/l/List", grpc_timeout="600m")
        assert (call["grpc-status"], call.data) == ("4", message(b"1"))
        await until(lambda: s.backends[0].calls[0].reset == 8)
        # without grpc-timeout the stream continues
        call = (await s.client()).open(request_headers("/l/List", grpc_timeout=None), message())
        await call.started.wait()
        await asyncio.sleep(0.1)
        assert not call.ended.is_set()


def test_slow_reader_is_buffered_within_limits_and_does_not_block_other_calls() -> None:
    async def large_response(call: Call) -> None:
        if call["x-much"]:
            call.send(GRPC, message(b"x" * 4_000_000), OK)
        else:
            await answer_ok(call)

    @with_ingress(large_response)
    async def scenario(s: Ingress) -> None:
        peer = await s.client(auto_credit=False)
        slow = peer.open(request_headers("/l/List", x_much="1"), message())
        await asyncio.sleep(0.2)
        assert (await s.call("/l/Read"))["grpc-status"] == "0"  # over the same backend connection
        assert len(s.backends[0].peers) == 1
        (left,) = [sum(len(d) for d, _ in q) for b in s.backends[0].peers for q in b._queues.values() if q]
        received = len(slow.data)
        # buffered in the ingress
        assert 60_000 <= received <= 65_535 and 4_000_005 - left - received < 160_000
        peer.auto_credit = True
        peer.h2.acknowledge_received_data(received, slow.stream_id)
        peer.flush()
        await slow.ended.wait()
        assert (len(slow.data), slow["grpc-status"]) == (4_000_005, "0")


def test_bidirectional_stream() -> None:
    async def echo(call: Call) -> None:
        call.send(GRPC)
        sent = 0
        while not call.ended.is_set() or sent < len(call.data):
            if sent < len(call.data):
                call.send(data=call.data[sent:])
                sent = len(call.data)
            await asyncio.sleep(0.005)
        call.send(trailers=OK)

    @with_ingress(echo, wait_for_end=False)
    async def scenario(s: Ingress) -> None:
        call = (await s.client()).open(request_headers("/l/Talk"), message(b"0"), end=False)
        for n in range(1, 6):
            await until(lambda n=n: len(call.data) >= 6 * n)  # type: ignore[misc]
            call.peer.queue(call.stream_id, message(b"%d" % n), False)
            call.peer.flush()
        call.peer.queue(call.stream_id, b"", True)
        call.peer.flush()
        await call.ended.wait()
        assert (call.data, call["grpc-status"]) == (b"".join(message(b"%d" % n) for n in range(6)), "0")


def test_client_stream_is_retried_only_while_it_is_buffered_completely() -> None:
    async def collect(call: Call) -> None:
        await call.ended.wait()
        if call.reset is None:
            call.send([*GRPC, (b"x-size", b"%d" % len(call.data))], message(), OK)

    @with_ingress(reset_with(7), collect, wait_for_end=False)
    async def scenario(s: Ingress) -> None:
        for size in (100, 30_000, 300_000):
            for _ in range(4):
                call = await s.call("/l/FileAll", message(b"x" * size), grpc_timeout="5S")
                if size < 60_000 or call["grpc-status"] == "0":
                    assert (call["grpc-status"], call["x-size"]) == ("0", str(size + 5))
                else:  # refused after sending had begun: the beginning of the stream has been dropped
                    assert int(call["grpc-status"]) in (8, 13)

    @with_ingress(abort_after(lambda call: None), collect, wait_for_end=False)
    async def broken(s: Ingress) -> None:
        statuses = [(await s.call("/l/FileAll"))["grpc-status"] for _ in range(6)]
        # calls that may have been executed are not retried
        assert statuses.count("13") == s.attempts[0] and sum(s.attempts) == 6


def test_client_stream_is_throttled_to_the_speed_of_its_backend() -> None:
    async def never_read(call: Call) -> None:
        await never_answer(call)

    @with_ingress(never_read, wait_for_end=False, auto_credit=False)
    async def scenario(s: Ingress) -> None:
        peer = await s.client()
        call = peer.open(
            request_headers("/l/FileAll", grpc_timeout="10S"), message(b"x" * 3_000_000), end=False
        )
        await asyncio.sleep(0.2)
        left = sum(len(d) for d, _ in peer._queues[call.stream_id])
        assert 3_000_005 - left < 350_000  # windows of client and backend, replay buffer, send queue
        assert (await s.call("/l/Read"))["grpc-status"] in ("0", "8")


# ---- the frontend


def test_http1_and_grpc_share_the_listener_and_the_customers_quota() -> None:
    async def both(call: Call) -> None:
        await answer_ok(call)

    @with_ingress(both, both)
    async def scenario(s: Ingress) -> None:
        http = await World.client(s.world)
        statuses = []
        for n in range(6):  # the gateway's share is 4 units of a burst of 8; a call costs 3
            statuses.append((await http.ask(request("ledger-read", n, Plan="basis")))[0])
            statuses.append(int((await s.call("/l/Read", plan="basis"))["grpc-status"]))
        assert set(statuses) <= {200, 429, 0, 8} and 1 <= statuses.count(200) + statuses.count(0) <= 2
        other = {"account": "0000000000000008"}
        assert (await s.call("/l/Read", plan="basis", **other))["grpc-status"] == "0"
        assert (await http.ask(request("ledger-read", 20, Plan="plus", Account="0000000000000007")))[0] == 200


@pytest.mark.parametrize("cut", [1, 2, 3, 10, 23])
def test_fragmented_preface_and_http1_with_the_same_first_byte(cut: int) -> None:
    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        data = (
            f.PREFACE
            + f.settings({})
            + f.frame(f.HEADERS, f.END_HEADERS, 1, encode(request_headers()))
            + f.frame(f.DATA, 1, 1, message())
        )
        reader, writer = await asyncio.open_connection(*s.world.address)
        writer.write(data[:cut])
        await asyncio.sleep(0.03)
        writer.write(data[cut:])
        received = b""
        async with asyncio.timeout(5):
            while b"grpc-status" not in received:
                received += await reader.read(1000)
        writer.close()
        http = await World.client(s.world)
        http.writer.write(b"P")  # first byte of POST
        await asyncio.sleep(0.02)
        http.writer.write(request("vat-filing", 9)[1:])
        assert (await http.answer())[0] == 200  # handled as HTTP/1.1


@pytest.mark.parametrize(
    ("data", "answer"),
    [
        (f.PREFACE[:14], b""),
        (f.PREFACE, b""),
        (f.PREFACE + b"POST /vat-filing HTTP/1.1\r\n\r\n", b"too"),
        (f.PREFACE[:20] + b"xxxxyyyy", b"no preface"),
    ],
)
def test_incomplete_or_invalid_start_is_closed_without_affecting_others(
    monkeypatch: pytest.MonkeyPatch, data: bytes, answer: bytes
) -> None:
    monkeypatch.setattr(front_module, "FIRST_CALL_TIMEOUT_S", 0.1)
    from troutdock.http import body_limits

    monkeypatch.setattr(body_limits, "FIRST_BYTE_TIMEOUT_S", 0.1)

    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        reader, writer = await asyncio.open_connection(*s.world.address)
        writer.write(data)
        async with asyncio.timeout(5):
            while await reader.read(1000):
                pass
        writer.close()
        assert (await s.call())["grpc-status"] == "0"
        await until(lambda: not s.world.service.server._clients)


ATTACKS = {
    "rapid reset": b"".join(
        f.frame(f.HEADERS, 4, 2 * n + 1, encode(request_headers("/l/File"))) + f.rst_stream(2 * n + 1, 8)
        for n in range(400)
    ),
    "PING flood": f.frame(f.PING, 0, 0, b"x" * 8) * 5000,
    "SETTINGS flood": f.settings({1: 4096}) * 5000,
    "CONTINUATION flood": f.frame(f.HEADERS, 0, 1, b"")
    + f.frame(f.CONTINUATION, 0, 1, b"\x00\x01a\x01b") * 5000,
    "HPACK bomb": f.frame(f.HEADERS, 5, 1, encode([(b"a", b"x" * 4000)]) * 4 + b"\xbf" * 9000),
    "metadata above the limit": f.frame(
        f.HEADERS,
        5,
        1,
        encode([*request_headers(), *((b"x%d" % n, b"y" * 100) for n in range(200))])[:16_000],
    ),
    "headers without END_HEADERS": f.frame(f.HEADERS, 0, 1, encode(request_headers())),
}


@pytest.mark.parametrize("attack", ATTACKS)
def test_attack_closes_only_its_own_connection(attack: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "FIRST_CALL_TIMEOUT_S", 0.3)

    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        other = await s.client()
        before = other.open(request_headers(), message())
        await before.ended.wait()
        reader, writer = await asyncio.open_connection(*s.world.address)
        writer.write(f.PREFACE + f.settings({}) + ATTACKS[attack])
        async with asyncio.timeout(5):
            received = b""
            try:
                while piece := await reader.read(100_000):
                    received += piece
            except ConnectionError:
                pass
        writer.close()
        assert len(received) < 100_000
        call = other.open(request_headers(), message())
        await call.ended.wait()
        assert call["grpc-status"] == "0"
        await until(lambda: s.world.engine.open == 0 and len(s.world.service.server.other_connections) == 1)


@pytest.mark.parametrize(
    ("path", "data", "changes", "status", "expected"),
    [
        ("/l/Other", message(), {}, 12, "no such method"),
        ("/l/Read", message(), {"account": None}, 3, "account"),
        ("/l/Read", message(), {"plan": "gold"}, 3, "plan"),
        ("/l/Read", message()[:-1], {}, 13, "cut off"),
        ("/l/Read", message() * 2, {}, 12, "2 messages"),
        ("/l/Read", b"", {}, 12, "0 messages"),
        ("/l/Read", message(b"x" * 20_000), {}, 8, "too long"),
        ("/l/Read", message(), {"grpc_timeout": "now"}, 3, "grpc-timeout"),
    ],
)
def test_invalid_calls_get_a_reason_and_are_not_forwarded(
    path: str, data: bytes, changes: dict, status: int, expected: str
) -> None:
    @with_ingress(answer_ok, terms={"max_message_bytes": 10_000})
    async def scenario(s: Ingress) -> None:
        call = await s.call(path, data, **changes)
        assert (int(call["grpc-status"]), s.attempts) == (status, [0]) and expected in call["grpc-message"]
        assert not call["grpc-status-details-bin"]  # no retry time
        other = await s.client()
        plain = other.open(
            [(b":method", b"GET"), (b":scheme", b"http"), (b":path", b"/healthz"), (b":authority", b"x")]
        )
        odd = other.open(
            [
                (b":method", b"POST"),
                (b":scheme", b"http"),
                (b":path", b"/l/Read"),
                (b":authority", b"x"),
                (b"content-type", b"text/plain"),
            ]
        )
        await plain.ended.wait()
        await odd.ended.wait()
        assert (plain[":status"], odd[":status"]) == ("200", "415")


def test_calls_are_rejected_without_memory_and_expire_if_incomplete() -> None:
    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        s.world.service.server.bodies.limit = 100_000
        peer = await s.client()
        held = peer.open(request_headers("/l/Book"), message(b"x" * 80_000), end=False)
        await until(lambda: s.world.service.server.bodies.used > 60_000)
        call = await s.call("/l/Book", message(b"x" * 80_000))
        assert call["grpc-status"] == "8" and call["grpc-retry-pushback-ms"] == "500"
        held.cancel()
        await until(lambda: s.world.service.server.bodies.used == 0)
        late = peer.open(request_headers("/l/Book", grpc_timeout="150m"), message()[:-1], end=False)
        await late.ended.wait()
        assert (late["grpc-status"], sum(s.attempts)) == ("4", 0)


def test_drain_sends_goaway_completes_open_calls_and_refuses_later_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def slow(call: Call) -> None:
        await asyncio.sleep(1.0)
        await answer_ok(call)

    @with_ingress(slow)
    async def scenario(s: Ingress) -> None:
        peer = await s.client()
        first = peer.open(request_headers(grpc_timeout="5S"), message())
        await until(lambda: sum(s.attempts) == 1)
        s.world.stop.set()
        await until(lambda: len(peer.goaways) == 1)
        crossed = peer.open(request_headers(), message())
        await until(lambda: len(peer.goaways) == 2)
        late = peer.open(request_headers(), message())
        await first.ended.wait()
        await crossed.ended.wait()
        await late.ended.wait()
        assert (first["grpc-status"], late.reset) == ("0", 7)  # the late call was not executed
        # opened before the client saw the final GOAWAY: answered normally
        assert crossed["grpc-status"] in ("0", "8")
        assert peer.goaways == [(2**31 - 1, 0), (crossed.stream_id, 0)]
        await asyncio.wait_for(s.world.task, 10)


def test_out_of_service_closes_client_connections() -> None:
    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        peer = await s.client()
        call = peer.open(request_headers(), message())
        await call.ended.wait()
        s.world.service._set_in_service(False)
        await until(lambda: bool(peer.goaways))
        await until(lambda: peer.closed.is_set())


# ---- backends


def test_max_concurrent_streams_of_a_backend_is_respected() -> None:
    current_calls: dict[H2Peer, int] = {}
    max_calls: dict[H2Peer, int] = {}

    async def counted(call: Call) -> None:
        current_calls[call.peer] = current_calls.get(call.peer, 0) + 1
        max_calls[call.peer] = max(max_calls.get(call.peer, 0), current_calls[call.peer])
        await asyncio.sleep(0.05)
        current_calls[call.peer] -= 1
        await answer_ok(call)

    @with_ingress(counted)
    async def scenario(s: Ingress) -> None:
        assert (await s.call())["grpc-status"] == "0"
        backend = s.backends[0].peers[0]
        backend.transport.write(f.settings({f.MAX_CONCURRENT_STREAMS: 2}))

        def connection() -> Any:
            return next(iter(s.component.transport.pools.by_backend.values())).connections[0].h2

        await until(lambda: connection().peer_max_streams == 2)
        peer = await s.client()
        small = {"quota-info": "units=0.1,spread=2,first=0"}
        calls = [peer.open(request_headers(account=f"{n:016x}", **small), message()) for n in range(12)]
        for call in calls:
            await call.ended.wait()
        assert {call["grpc-status"] for call in calls} <= {"0", "8"}
        assert max_calls[backend] <= 2 and [c["grpc-status"] for c in calls].count("0") >= 3
        assert len(s.backends[0].peers) <= transport_module.MAX_CONNECTIONS_PER_BACKEND
        more = [peer.open(request_headers(account=f"{n:016x}", **small), message()) for n in range(20, 24)]
        await until(lambda: bool(current_calls[backend]))
        backend.transport.write(f.settings({f.MAX_CONCURRENT_STREAMS: 0}))  # while it is at the limit
        before = max_calls.pop(backend)
        for call in more:
            await call.ended.wait()
        await until(lambda: connection().peer_max_streams == 0)
        again = [peer.open(request_headers(account=f"{n:016x}", **small), message()) for n in range(30, 34)]
        for call in again:
            await call.ended.wait()
        assert backend not in max_calls and before <= 2  # no more calls on this connection
        assert {call["grpc-status"] for call in (*more, *again)} <= {"0", "8"}


def test_fixed_list_of_backends_and_separate_listener() -> None:
    address = free_address()

    @with_ingress(answer_ok, answer_ok, terms={"fixed": True, "listen": address})
    async def scenario(s: Ingress) -> None:
        await until(lambda: s.component._listener is not None)
        peer = await connect(address)
        for _ in range(8):
            call = peer.open(request_headers("/l/Book"), message())
            await call.ended.wait()
            assert call["grpc-status"] == "0"
        assert sum(s.attempts) == 8 and s.component.front.pool == 1
        await until(lambda: not any(c.calls for c in s.world.service.server.other_connections))
        status, body = await s.component.books()[b"GET", b"/control/grpc"](b"")
        shown = json.loads(body)
        assert (status, shown["connections"], shown["calls"]) == (200, 1, 0) and len(shown["nodes"]) == 2
        peer.transport.abort()


def test_stopped_backend_gets_no_new_calls() -> None:
    @with_ingress(answer_ok, answer_ok)
    async def scenario(s: Ingress) -> None:
        for _ in range(6):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        s.backends[0].stop()
        await s.backends[0].server.wait_closed()
        before = s.attempts[0]
        for _ in range(6):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        assert s.attempts[0] == before


def test_silent_connection_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport_module, "DEAD_CONNECTION_AFTER_S", 0.2)

    async def first_silent(call: Call) -> None:
        if call.peer is not backend_of[0].peers[0] or len(backend_of[0].calls) < 3:
            await answer_ok(call)
        else:
            call.peer.ignore_input = True  # simulates an interrupted network path

    backend_of: list[H2Backend] = []

    @with_ingress(first_silent)
    async def scenario(s: Ingress) -> None:
        backend_of.extend(s.backends)
        statuses = [(await s.call("/l/File", grpc_timeout="600m"))["grpc-status"] for _ in range(3)]
        assert statuses == ["0", "0", "4"]
        assert (await s.call("/l/File", grpc_timeout="600m"))["grpc-status"] in ("0", "8")
        await until(lambda: s.backends[0].peers[0].closed.is_set())


def test_client_without_window_blocks_only_its_own_call_and_is_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(front_module, "UNREAD_TIMEOUT_S", 0.3)

    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        peer = await s.client()
        peer.h2.update_settings({f.INITIAL_WINDOW_SIZE: 0})
        peer.flush()
        call = peer.open(request_headers(), message())
        await call.started.wait()
        assert (call.data, s.world.engine.tally.served) == (b"", 1)
        assert (await s.call())["grpc-status"] == "0"
        await call.ended.wait()
        assert call.reset == 8 and not call["grpc-status"]


def test_wait_for_quota_ends_before_the_clients_deadline(tmp_path: Any) -> None:
    @with_ingress(answer_ok, answer_ok)
    async def scenario(s: Ingress) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(8):
            began = loop.time()
            call = await s.call(plan="basis", grpc_timeout="150m")
            assert call["grpc-status"] in ("0", "8", "4") and loop.time() - began < 0.15


def test_upgrade_moves_clients_to_the_new_process_without_lost_calls(tmp_path: Any) -> None:
    from upgrade import Upgrade

    async def test() -> None:
        backend = H2Backend(answer_ok)
        await backend.start()
        operator = tmp_path / "operator.yaml"
        operator.write_text(json.dumps({"grpc": {"methods": [{"path": "/l/File", "class": "vat-filing"}]}}))
        tier = Upgrade(backend, tmp_path, operator)  # type: ignore[arg-type]
        ended: list[str] = []
        leave = False

        async def client(number: int) -> None:
            peer = await connect(tier.address)
            while not leave:
                call = peer.open(
                    request_headers(
                        "/l/File", account=f"{number:016x}", quota_info="units=0.1,spread=2,first=0"
                    ),
                    message(),
                )
                await call.ended.wait()
                ended.append(call["grpc-status"] or f"reset {call.reset}")
                if peer.goaways or peer.closed.is_set():
                    peer.transport.abort()
                    peer = await connect(tier.address)
                await asyncio.sleep(0.002)
            peer.transport.abort()

        try:
            await tier.start()
            clients = [asyncio.create_task(client(n)) for n in range(4)]
            await until(lambda: len(ended) > 50)
            await tier.start()
            assert await tier.end(0) == 0
            before = len(ended)
            await until(lambda: len(ended) > before + 50)
            leave = True
            await asyncio.gather(*clients)
            assert await tier.end(1) == 0
        finally:
            tier.kill()
            backend.stop()
        assert set(ended) <= {"0", "8", "reset 7"} and ended.count("0") > 80

    run(test())


def test_reload_applies_to_calls_and_disables_rules_that_no_longer_fit() -> None:
    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        raw = json.loads(json.dumps(s.world.config))
        # shifts the indices of the plans
        raw["settings"]["plans"].insert(0, {**SETTINGS["plans"][0], "name": "gold"})
        raw["settings"]["categories"] = [
            c for c in raw["settings"]["categories"] if c["name"] != "payment-book"
        ]
        assert (await s.call(plan="gold"))["grpc-status"] == str(int(Status.INVALID_ARGUMENT))
        s.world.service.reload(read_config(json.dumps(raw)))
        assert (await s.call(plan="gold", account="0000000000000007"))["grpc-status"] == "0"
        assert (await s.call("/l/Book"))["grpc-status"] == "12" and (await s.call("/l/File"))[
            "grpc-status"
        ] == "0"
        assert (await s.call(account="0000000000000005"))["grpc-status"] == "0"
        assert s.world.gateway.customers[5].plan.name == "plus"


def test_backend_removed_while_connecting_keeps_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, connect_now = asyncio.Event(), transport_module.ConnectionPool._connect

    async def connect_late(pool: transport_module.ConnectionPool) -> None:
        await gate.wait()
        await connect_now(pool)

    monkeypatch.setattr(transport_module.ConnectionPool, "_connect", connect_late)

    @with_ingress(answer_ok)
    async def scenario(s: Ingress) -> None:
        transport = s.component.transport
        assert transport is not None
        (backend,) = transport.pools.by_backend
        pool = transport.pools.by_backend[backend]
        call = (await s.client()).open(request_headers(grpc_timeout="5S"), message())
        await until(lambda: pool._opening is not None)
        transport.follow(FleetUpdate(ListKind.CHANGES, [BackendEntry(backend, BackendState.GONE)]))
        gate.set()
        await call.ended.wait()
        assert call["grpc-status"] == "0"  # started before the removal
        await until(lambda: s.backends[0].peers[0].closed.is_set())


# ---- no reference cycles, as for HTTP/1.1 (tests/http/test_cycles.py)


TRACKED_TYPES = (EngineCall, GrpcExchange, GrpcRequest, GrpcMessage, GrpcAttempt, Upload, Stream)


def live_objects() -> dict[str, int]:
    return dict(Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, TRACKED_TYPES)))


@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/l/Read", answer_ok),
        ("/l/Read", answer_with([(b":status", b"500")])),
        ("/l/Book", abort_after(lambda call: None)),
        ("/l/File", reset_with(7)),
        ("/l/List", answer_three_messages),
        (
            "/l/Watch",
            abort_after(
                lambda call: call.send(
                    [(b":status", b"200"), (b"content-type", b"application/grpc")], message()
                )
            ),
        ),
        ("/l/FileAll", answer_ok),
        ("/l/File", never_answer),
    ],
)
def test_finished_calls_leave_no_reference_cycles(path: str, script: Any) -> None:
    @with_ingress(script, script)
    async def scenario(s: Ingress) -> None:
        peer = await s.client()
        gc.collect()
        gc.disable()
        try:
            for number in range(6):
                call = peer.open(
                    request_headers(path, account=f"{number:016x}", grpc_timeout="600m"), message()
                )
                if number == 5:
                    await asyncio.sleep(0.02)
                    call.cancel()  # no status follows
                    continue
                await call.ended.wait()
            await until(lambda: s.world.engine.open == 0)
            with suppress(TimeoutError):
                async with asyncio.timeout(5):
                    await until(lambda: not live_objects())
            assert not live_objects()
        finally:
            gc.enable()
