"""gRPC before real nodes of the library h2: faults on both sides, streams, limits, ends."""

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
from h2_peers import Call, H2Node, Headers, Wire, connect, message
from loopback import SETTINGS, World, free_address, request, run, until

from troutdock.admission.interface import BackendEntry, BackendState, FleetUpdate, ListKind
from troutdock.address import parse_address
from troutdock.engine import Call as EngineCall
from troutdock.grpc import front as front_module
from troutdock.grpc import transport as transport_module
from troutdock.grpc.exchange import GrpcExchange
from troutdock.grpc.methods import Kind, Row
from troutdock.grpc.protocol import Status
from troutdock.grpc.request import GrpcMessage, GrpcRequest, Upload
from troutdock.grpc.service import Grpc, Terms
from troutdock.grpc.transport import GrpcAttempt
from troutdock.http2 import frames as f
from troutdock.http2.connection import Stream
from troutdock.http2.headers import encode
from troutdock.platform.config import read_config

GRPC: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]
OK: Headers = [(b"grpc-status", b"0")]
ROWS = (
    Row("/l/Read", "ledger-read"),
    Row("/l/Book", "payment-book"),
    Row("/l/File", "vat-filing"),
    Row("/l/List", "ledger-read", Kind.SERVER),
    Row("/l/FileAll", "vat-filing", Kind.CLIENT),
    Row("/l/Talk", "vat-filing", Kind.BOTH),
    Row("/l/Watch", "vat-filing", Kind.SERVER),
)
CLASSES = {"/l/Read": "ledger-read", "/l/Book": "payment-book", "/l/File": "vat-filing"}


def head(path: str = "/l/Read", **changes: str | None) -> Headers:
    told: dict[str, str | None] = {
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
    told |= {name.replace("_", "-"): value for name, value in changes.items()}
    return [(name.encode(), value.encode()) for name, value in told.items() if value is not None]


async def served(call: Call) -> None:
    call.send([*GRPC, (b"billed-units", b"3")], message(), OK)


class Setup:
    """An ingress with gRPC, its nodes and its clients."""

    w: Any
    part: Grpc
    nodes: list[H2Node]

    async def client(self, credit: bool = True) -> Wire:
        wire = await connect(self.w.address, credit)
        self.wires.append(wire)
        return wire

    async def call(self, path: str = "/l/Read", data: bytes = message(b"ask"), **changes: str | None) -> Call:
        """A call on a connection of its own, and its end."""
        call = (await self.client()).open(head(path, **changes), data)
        await call.ended.wait()
        return call

    @property
    def sent(self) -> list[int]:
        return [len(node.calls) for node in self.nodes]


@asynccontextmanager
async def setup(
    *scripts: Callable[[Call], Awaitable[None]],
    terms: dict[str, Any] | None = None,
    whole: bool = True,
    credit: bool = True,
    **how: Any,
) -> AsyncIterator[Setup]:
    s = Setup()
    s.wires, s.nodes = [], [H2Node(script, whole, credit) for script in scripts]
    for node in s.nodes:
        await node.start()
    fixed = (terms or {}).pop("fixed", False)
    if fixed:
        terms = {**(terms or {}), "nodes": tuple(parse_address(node.address) for node in s.nodes)}
    s.part = Grpc(Terms(ROWS, **(terms or {})))

    async def fronted(w: World, stack: Any, config: str) -> None:
        raw = json.loads(config)
        if not fixed:
            raw["known"]["targets"] = [loopback.target(node, f"s-{n}") for n, node in enumerate(s.nodes)]  # type: ignore[arg-type]
        await loopback.daemon(w, stack, json.dumps(raw), [s.part])

    before, loopback.FRONTS["setup"], front = loopback.FRONTS.get("setup"), fronted, loopback.front
    loopback.front = "setup"
    try:
        async with loopback.world(**how) as w:
            s.w = w
            yield s
    finally:
        loopback.front = front
        loopback.FRONTS.pop("setup")
        assert before is None
        for node in s.nodes:
            node.stop()
        for wire in s.wires:
            if wire.transport is not None:
                wire.transport.abort()


def playing(*scripts: Any, **how: Any) -> Callable[[Callable[[Setup], Awaitable[None]]], None]:
    """Run a course of events before such an ingress."""

    def decorate(course: Callable[[Setup], Awaitable[None]]) -> None:
        async def test() -> None:
            async with setup(*scripts, **how) as s:
                await course(s)

        run(test())

    return decorate


# ---- towards nodes: each end of a call, and what comes of it


async def silent(call: Call) -> None:
    await asyncio.sleep(30)


def resets(code: int, first: Callable[[Call], None] = lambda call: None) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        first(call)
        call.cancel(code)

    return script


def breaks(first: Callable[[Call], None]) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        first(call)
        await asyncio.sleep(0.01)
        call.wire.transport.abort()

    return script


def ends(
    headers: Headers, data: bytes = b"", trailers: Headers | None = None
) -> Callable[[Call], Awaitable[None]]:
    async def script(call: Call) -> None:
        call.send(headers, data, trailers, end=True)

    return script


async def above_goaway(call: Call) -> None:
    call.wire.transport.write(f.goaway(0, 0))


async def within_goaway(call: Call) -> None:
    call.wire.transport.write(f.goaway(call.id, 0))
    await asyncio.sleep(0.02)
    await served(call)


MAY_HAVE_RUN = {
    **{f"RST_STREAM {code}": resets(code) for code in (0, 1, 2, 8, 11)},
    "reset behind the head": resets(8, lambda call: call.send(GRPC)),
    "broken before the head": breaks(lambda call: None),
    "broken behind the head": breaks(lambda call: call.send(GRPC)),
    "broken in the message": breaks(lambda call: call.send(GRPC, message()[:-2])),
    "broken before the trailers": breaks(lambda call: call.send(GRPC, message())),
    "refused behind a message": ends(GRPC, message(), [(b"grpc-status", b"14")]),
    "no trailers": ends(GRPC, message()),
    "no status": ends(GRPC, message(), [(b"x", b"y")]),
    "a head alone": ends(GRPC),
    "stopped half way": lambda call: asyncio.sleep(0, call.send(GRPC, message()[:-2])),
    "good, then bad": ends(GRPC, message(), [(b"grpc-status", b"13"), (b"grpc-message", b"late")]),
    **{
        f"status {code}": ends([*GRPC, (b"grpc-status", b"%d" % code), (b"grpc-message", b"why")])
        for code in (1, 2, 4, 8, 13, 14, 15)
    },
    **{f"HTTP {code}": ends([(b":status", b"%d" % code)]) for code in (301, 400, 404, 429, 500, 502, 503)},
    "no gRPC": ends([(b":status", b"200"), (b"content-type", b"text/html")], b"<html>"),
}
NEVER_RAN = {
    "REFUSED_STREAM": resets(7),
    "above a GOAWAY": above_goaway,
    "UNAVAILABLE, not started": ends([*GRPC, (b"grpc-status", b"14"), (b"not-started", b"1")]),
    "HTTP 503, not started": ends([(b":status", b"503"), (b"not-started", b"1")]),
}


@pytest.mark.parametrize("path", CLASSES)
@pytest.mark.parametrize("row", MAY_HAVE_RUN)
def test_what_may_have_run_goes_on_as_far_as_its_class_allows(path: str, row: str) -> None:
    """Safe and keyed calls go to others and are refused at last; unsafe ones end there, never sent again."""

    @playing(*[MAY_HAVE_RUN[row]] * 4)
    async def course(s: Setup) -> None:
        call = await s.call(path)
        status = int(call["grpc-status"])
        if path == "/l/File":
            assert sum(s.sent) == 1 and status not in (0, 8, 14)
            said = {"status 2": 2, "status 15": 15, "good, then bad": 13, "HTTP 404": 12}.get(row)
            assert said in (None, status)
        else:
            assert (status, sum(s.sent), max(s.sent)) == (8, 3, 1)
        await asyncio.sleep(0.03)
        assert call.surplus == 0 and s.w.engine.open == 0 and s.w.engine.tally.taken == 1


@pytest.mark.parametrize("path", CLASSES)
@pytest.mark.parametrize("row", NEVER_RAN)
def test_what_never_ran_goes_elsewhere_whatever_its_class(path: str, row: str) -> None:
    @playing(*[NEVER_RAN[row]] * 4)
    async def course(s: Setup) -> None:
        call = await s.call(path)
        assert (call["grpc-status"], sum(s.sent), max(s.sent)) == ("8", 3, 1)
        assert (
            int(call["grpc-retry-pushback-ms"]) > 0
            and call["grpc-status-details-bin"]
            and call["retry-after"]
        )

    @playing(NEVER_RAN[row], served)
    async def second(s: Setup) -> None:
        for _ in range(6):
            call = await s.call(path)
            assert (call["grpc-status"], call.data) == ("0", message())
        assert sum(s.sent) >= 6


@pytest.mark.parametrize("code", [3, 5, 6, 7, 9, 10, 11, 12, 16])
def test_what_a_service_says_of_the_call_is_its_answer(code: int) -> None:
    @playing(
        *[ends([*GRPC, (b"grpc-status", b"%d" % code), (b"grpc-message", b"n%C3%B6"), (b"x-why", b"z")])] * 3
    )
    async def course(s: Setup) -> None:
        call = await s.call("/l/Read")
        assert (call["grpc-status"], call["grpc-message"], call["x-why"], sum(s.sent)) == (
            str(code),
            "n%C3%B6",
            "z",
            1,
        )


def test_calls_within_a_goaway_end_well_and_later_ones_go_over_another_connection() -> None:
    @playing(within_goaway)
    async def course(s: Setup) -> None:
        for _ in range(3):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        assert len(s.nodes[0].wires) == 3


def test_a_call_passes_unchanged_and_its_time_runs_down() -> None:
    async def slow(call: Call) -> None:
        await asyncio.sleep(0.05)
        call.send(
            [*GRPC, (b"grpc-encoding", b"gzip"), (b"x-head", b"1")],
            message(b"\0\1zip", compressed=True),
            [*OK, (b"x-tail-bin", b"AAE")],
        )

    @playing(slow)
    async def course(s: Setup) -> None:
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
        (got,) = s.nodes[0].calls
        assert got.data == message(b"\x1f\x8bask", True) and (
            got["x-own"],
            got["grpc-encoding"],
            got["te"],
        ) == ("kept", "gzip", "trailers")
        assert 500_000 < int(got["grpc-timeout"][:-1]) < 700_000 and got["grpc-timeout"][-1] == "u"


@pytest.mark.parametrize(("path", "status"), [("/l/Read", 8), ("/l/File", 4)])
def test_silence_is_answered_before_the_client_gives_up(path: str, status: int) -> None:
    @playing(silent)
    async def course(s: Setup) -> None:
        began = asyncio.get_running_loop().time()
        call = await s.call(path, grpc_timeout="500m")
        assert (int(call["grpc-status"]), asyncio.get_running_loop().time() - began < 0.5) == (status, True)
        await until(lambda: s.nodes[0].calls[0].reset == 8)  # the node is told


@pytest.mark.parametrize("leave", [lambda call: call.cancel(), lambda call: call.wire.transport.abort()])
def test_a_client_that_gives_up_ends_its_call_at_the_node(leave: Callable[[Call], None]) -> None:
    @playing(silent)
    async def course(s: Setup) -> None:
        call = (await s.client()).open(head("/l/File"), message())
        await until(lambda: len(s.nodes[0].calls) == 1)
        leave(call)
        await until(lambda: s.nodes[0].calls[0].reset == 8 and s.w.engine.open == 0)
        assert (
            s.w.engine.tally.withdrawn == 1 and not s.nodes[0].wires[0].closed.is_set()
        )  # it can be used again


# ---- streams of messages


async def three(call: Call) -> None:
    call.send(GRPC)
    for n in range(3):
        call.send(data=message(b"%d" % n))
        await asyncio.sleep(0.02)
    call.send(trailers=[*OK, (b"billed-units", b"3")])


def test_a_server_s_stream_is_passed_on_as_it_comes() -> None:
    @playing(three)
    async def course(s: Setup) -> None:
        call = (await s.client()).open(head("/l/List"), message())
        await call.started.wait()
        assert call.data in (message(b"0"), b"") and not call.ended.is_set()
        await call.ended.wait()
        assert (call.data, call["grpc-status"]) == (message(b"0") + message(b"1") + message(b"2"), "0")
        assert (s.w.engine.tally.served, s.w.service.server.streams) == (1, 0)


@pytest.mark.parametrize(
    ("last", "status"),
    [([(b"grpc-status", b"5"), (b"grpc-message", b"gone")], 5), ([(b"grpc-status", b"14")], 14), (None, 13)],
)
def test_a_stream_that_breaks_behind_a_message_ends_once_and_is_not_sent_again(
    last: Headers | None, status: int
) -> None:
    async def script(call: Call) -> None:
        call.send(GRPC, message(b"1"))
        await asyncio.sleep(0.03)
        call.send(trailers=last) if last is not None else call.wire.transport.abort()

    @playing(script, script)
    async def course(s: Setup) -> None:
        for path in ("/l/List", "/l/Watch"):
            call = await s.call(path)
            assert (call.data, int(call["grpc-status"]), call.surplus) == (message(b"1"), status, 0)
        assert sum(s.sent) == 2


def test_a_stream_past_its_client_s_time_is_told_so_and_the_node_as_well() -> None:
    async def endless(call: Call) -> None:
        call.send(GRPC, message(b"1"))
        await silent(call)

    @playing(endless)
    async def course(s: Setup) -> None:
        call = await s.call("/l/List", grpc_timeout="600m")
        assert (call["grpc-status"], call.data) == ("4", message(b"1"))
        await until(lambda: s.nodes[0].calls[0].reset == 8)
        call = (await s.client()).open(head("/l/List", grpc_timeout=None), message())  # without one it lasts
        await call.started.wait()
        await asyncio.sleep(0.1)
        assert not call.ended.is_set()


def test_a_slow_reader_holds_little_and_nobody_else_waits_for_it() -> None:
    async def plenty(call: Call) -> None:
        if call["x-much"]:
            call.send(GRPC, message(b"x" * 4_000_000), OK)
        else:
            await served(call)

    @playing(plenty)
    async def course(s: Setup) -> None:
        wire = await s.client(credit=False)
        slow = wire.open(head("/l/List", x_much="1"), message())
        await asyncio.sleep(0.2)
        assert (await s.call("/l/Read"))["grpc-status"] == "0"  # over the same connection to the node
        assert len(s.nodes[0].wires) == 1
        (left,) = [sum(len(d) for d, _ in q) for w in s.nodes[0].wires for q in w._queues.values() if q]
        got = len(slow.data)
        assert 60_000 <= got <= 65_535 and 4_000_005 - left - got < 160_000  # what the ingress holds
        wire.credit = True
        wire.h2.acknowledge_received_data(got, slow.id)
        wire.flush()
        await slow.ended.wait()
        assert (len(slow.data), slow["grpc-status"]) == (4_000_005, "0")


def test_messages_go_both_ways_at_once() -> None:
    async def echo(call: Call) -> None:
        call.send(GRPC)
        told = 0
        while not call.ended.is_set() or told < len(call.data):
            if told < len(call.data):
                call.send(data=call.data[told:])
                told = len(call.data)
            await asyncio.sleep(0.005)
        call.send(trailers=OK)

    @playing(echo, whole=False)
    async def course(s: Setup) -> None:
        call = (await s.client()).open(head("/l/Talk"), message(b"0"), end=False)
        for n in range(1, 6):
            await until(lambda n=n: len(call.data) >= 6 * n)  # type: ignore[misc]
            call.wire.queue(call.id, message(b"%d" % n), False)
            call.wire.flush()
        call.wire.queue(call.id, b"", True)
        call.wire.flush()
        await call.ended.wait()
        assert (call.data, call["grpc-status"]) == (b"".join(message(b"%d" % n) for n in range(6)), "0")


def test_a_client_s_stream_goes_to_one_node_and_to_another_only_while_all_of_it_is_here() -> None:
    async def collect(call: Call) -> None:
        await call.ended.wait()
        if call.reset is None:
            call.send([*GRPC, (b"x-size", b"%d" % len(call.data))], message(), OK)

    @playing(resets(7), collect, whole=False)
    async def course(s: Setup) -> None:
        for size in (100, 30_000, 300_000):
            for _ in range(4):
                call = await s.call("/l/FileAll", message(b"x" * size), grpc_timeout="5S")
                if size < 60_000 or call["grpc-status"] == "0":
                    assert (call["grpc-status"], call["x-size"]) == ("0", str(size + 5))
                else:  # refused once it had begun to go there: what was sent is not here any more
                    assert int(call["grpc-status"]) in (8, 13)

    @playing(breaks(lambda call: None), collect, whole=False)
    async def broken(s: Setup) -> None:
        statuses = [(await s.call("/l/FileAll"))["grpc-status"] for _ in range(6)]
        assert statuses.count("13") == s.sent[0] and sum(s.sent) == 6  # what may have run goes nowhere else


def test_a_client_s_stream_is_read_no_faster_than_its_node_takes_it() -> None:
    async def deaf(call: Call) -> None:
        await silent(call)

    @playing(deaf, whole=False, credit=False)
    async def course(s: Setup) -> None:
        wire = await s.client()
        call = wire.open(head("/l/FileAll", grpc_timeout="10S"), message(b"x" * 3_000_000), end=False)
        await asyncio.sleep(0.2)
        left = sum(len(d) for d, _ in wire._queues[call.id])
        assert 3_000_005 - left < 350_000  # windows of client and node, what is kept, what is queued
        assert (await s.call("/l/Read"))["grpc-status"] in ("0", "8")


# ---- the front


def test_one_listener_speaks_both_and_one_customer_has_one_quota() -> None:
    async def both(call: Call) -> None:
        await served(call)

    @playing(both, both)
    async def course(s: Setup) -> None:
        http = await World.client(s.w)
        statuses = []
        for n in range(6):  # a share of 4 units of a burst of 8, 3 a call
            statuses.append((await http.ask(request("ledger-read", n, Plan="basis")))[0])
            statuses.append(int((await s.call("/l/Read", plan="basis"))["grpc-status"]))
        assert set(statuses) <= {200, 429, 0, 8} and 1 <= statuses.count(200) + statuses.count(0) <= 2
        other = {"account": "0000000000000008"}
        assert (await s.call("/l/Read", plan="basis", **other))["grpc-status"] == "0"
        assert (await http.ask(request("ledger-read", 20, Plan="plus", Account="0000000000000007")))[0] == 200


@pytest.mark.parametrize("cut", [1, 2, 3, 10, 23])
def test_a_preface_may_come_in_pieces_and_what_only_begins_like_one_is_http(cut: int) -> None:
    @playing(served)
    async def course(s: Setup) -> None:
        data = (
            f.PREFACE
            + f.settings({})
            + f.frame(f.HEADERS, f.END_HEADERS, 1, encode(head()))
            + f.frame(f.DATA, 1, 1, message())
        )
        reader, writer = await asyncio.open_connection(*s.w.address)
        writer.write(data[:cut])
        await asyncio.sleep(0.03)
        writer.write(data[cut:])
        got = b""
        async with asyncio.timeout(5):
            while b"grpc-status" not in got:
                got += await reader.read(1000)
        writer.close()
        http = await World.client(s.w)
        http.writer.write(b"P")  # of POST
        await asyncio.sleep(0.02)
        http.writer.write(request("vat-filing", 9)[1:])
        assert (await http.answer())[0] == 200  # taken as HTTP/1.1


@pytest.mark.parametrize(
    ("data", "answer"),
    [
        (f.PREFACE[:14], b""),
        (f.PREFACE, b""),
        (f.PREFACE + b"POST /vat-filing HTTP/1.1\r\n\r\n", b"too"),
        (f.PREFACE[:20] + b"xxxxyyyy", b"no preface"),
    ],
)
def test_a_preface_with_nothing_or_nonsense_behind_it_is_closed_and_hurts_nobody(
    monkeypatch: pytest.MonkeyPatch, data: bytes, answer: bytes
) -> None:
    monkeypatch.setattr(front_module, "FIRST_S", 0.1)
    from troutdock.http import body_limits

    monkeypatch.setattr(body_limits, "FIRST_BYTE_TIMEOUT_S", 0.1)

    @playing(served)
    async def course(s: Setup) -> None:
        reader, writer = await asyncio.open_connection(*s.w.address)
        writer.write(data)
        async with asyncio.timeout(5):
            while await reader.read(1000):
                pass
        writer.close()
        assert (await s.call())["grpc-status"] == "0"
        await until(lambda: not s.w.service.server._clients)


ATTACKS = {
    "rapid reset": b"".join(
        f.frame(f.HEADERS, 4, 2 * n + 1, encode(head("/l/File"))) + f.reset(2 * n + 1, 8) for n in range(400)
    ),
    "PINGs": f.frame(f.PING, 0, 0, b"x" * 8) * 5000,
    "SETTINGS": f.settings({1: 4096}) * 5000,
    "CONTINUATION": f.frame(f.HEADERS, 0, 1, b"") + f.frame(f.CONTINUATION, 0, 1, b"\x00\x01a\x01b") * 5000,
    "an HPACK bomb": f.frame(f.HEADERS, 5, 1, encode([(b"a", b"x" * 4000)]) * 4 + b"\xbf" * 9000),
    "metadata beyond the bound": f.frame(
        f.HEADERS, 5, 1, encode([*head(), *((b"x%d" % n, b"y" * 100) for n in range(200))])[:16_000]
    ),
    "headers never ended": f.frame(f.HEADERS, 0, 1, encode(head())),
}


@pytest.mark.parametrize("attack", ATTACKS)
def test_an_attack_ends_its_own_connection_and_no_other(attack: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "FIRST_S", 0.3)

    @playing(served)
    async def course(s: Setup) -> None:
        other = await s.client()
        before = other.open(head(), message())
        await before.ended.wait()
        reader, writer = await asyncio.open_connection(*s.w.address)
        writer.write(f.PREFACE + f.settings({}) + ATTACKS[attack])
        async with asyncio.timeout(5):
            got = b""
            try:
                while piece := await reader.read(100_000):
                    got += piece
            except ConnectionError:
                pass
        writer.close()
        assert len(got) < 100_000
        call = other.open(head(), message())
        await call.ended.wait()
        assert call["grpc-status"] == "0"
        await until(lambda: s.w.engine.open == 0 and len(s.w.service.server.other_connections) == 1)


@pytest.mark.parametrize(
    ("path", "data", "changes", "status", "said"),
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
def test_what_is_no_call_is_told_why_and_goes_nowhere(
    path: str, data: bytes, changes: dict, status: int, said: str
) -> None:
    @playing(served, terms={"most_message": 10_000})
    async def course(s: Setup) -> None:
        call = await s.call(path, data, **changes)
        assert (int(call["grpc-status"]), s.sent) == (status, [0]) and said in call["grpc-message"]
        assert not call["grpc-status-details-bin"]  # no word of trying again
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


def test_messages_that_find_no_room_or_come_too_late_are_told_so() -> None:
    @playing(served)
    async def course(s: Setup) -> None:
        s.w.service.server.bodies.limit = 100_000
        wire = await s.client()
        held = wire.open(head("/l/Book"), message(b"x" * 80_000), end=False)
        await until(lambda: s.w.service.server.bodies.used > 60_000)
        call = await s.call("/l/Book", message(b"x" * 80_000))
        assert call["grpc-status"] == "8" and call["grpc-retry-pushback-ms"] == "500"
        held.cancel()
        await until(lambda: s.w.service.server.bodies.used == 0)
        late = wire.open(head("/l/Book", grpc_timeout="150m"), message()[:-1], end=False)
        await late.ended.wait()
        assert (late["grpc-status"], sum(s.sent)) == ("4", 0)


def test_a_drain_says_goodbye_ends_what_is_there_and_refuses_what_comes_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def slow(call: Call) -> None:
        await asyncio.sleep(1.0)
        await served(call)

    @playing(slow)
    async def course(s: Setup) -> None:
        wire = await s.client()
        first = wire.open(head(grpc_timeout="5S"), message())
        await until(lambda: sum(s.sent) == 1)
        s.w.stop.set()
        await until(lambda: len(wire.goaways) == 1)
        crossed = wire.open(head(), message())
        await until(lambda: len(wire.goaways) == 2)
        late = wire.open(head(), message())
        await first.ended.wait()
        await crossed.ended.wait()
        await late.ended.wait()
        assert (first["grpc-status"], late.reset) == ("0", 7)  # the late one never ran
        assert crossed["grpc-status"] in ("0", "8")  # it had not heard, and is answered as any other
        assert wire.goaways == [(2**31 - 1, 0), (crossed.id, 0)]
        await asyncio.wait_for(s.w.task, 10)


def test_out_of_service_sends_clients_elsewhere() -> None:
    @playing(served)
    async def course(s: Setup) -> None:
        wire = await s.client()
        call = wire.open(head(), message())
        await call.ended.wait()
        s.w.service._in_service(False)
        await until(lambda: bool(wire.goaways))
        await until(lambda: wire.closed.is_set())


# ---- nodes


def test_a_node_is_given_no_more_calls_at_once_than_it_allows() -> None:
    now: dict[Wire, int] = {}
    most: dict[Wire, int] = {}

    async def counted(call: Call) -> None:
        now[call.wire] = now.get(call.wire, 0) + 1
        most[call.wire] = max(most.get(call.wire, 0), now[call.wire])
        await asyncio.sleep(0.05)
        now[call.wire] -= 1
        await served(call)

    @playing(counted)
    async def course(s: Setup) -> None:
        assert (await s.call())["grpc-status"] == "0"
        node = s.nodes[0].wires[0]
        node.transport.write(f.settings({f.MAX_CONCURRENT_STREAMS: 2}))

        def connection() -> Any:
            return next(iter(s.part.transport.pools.by_backend.values())).connections[0].h2

        await until(lambda: connection().peer_streams == 2)
        wire = await s.client()
        small = {"quota-info": "units=0.1,spread=2,first=0"}
        calls = [wire.open(head(account=f"{n:016x}", **small), message()) for n in range(12)]
        for call in calls:
            await call.ended.wait()
        assert {call["grpc-status"] for call in calls} <= {"0", "8"}
        assert most[node] <= 2 and [c["grpc-status"] for c in calls].count("0") >= 3
        assert len(s.nodes[0].wires) <= transport_module.CONNECTIONS
        more = [wire.open(head(account=f"{n:016x}", **small), message()) for n in range(20, 24)]
        await until(lambda: bool(now[node]))
        node.transport.write(f.settings({f.MAX_CONCURRENT_STREAMS: 0}))  # while it is full
        before = most.pop(node)
        for call in more:
            await call.ended.wait()
        await until(lambda: connection().peer_streams == 0)
        again = [wire.open(head(account=f"{n:016x}", **small), message()) for n in range(30, 34)]
        for call in again:
            await call.ended.wait()
        assert node not in most and before <= 2  # nothing more there, the rest elsewhere
        assert {call["grpc-status"] for call in (*more, *again)} <= {"0", "8"}


def test_a_fixed_list_of_nodes_and_an_address_of_its_own() -> None:
    address = free_address()

    @playing(served, served, terms={"fixed": True, "listen": address})
    async def course(s: Setup) -> None:
        await until(lambda: s.part._listener is not None)
        wire = await connect(address)
        for _ in range(8):
            call = wire.open(head("/l/Book"), message())
            await call.ended.wait()
            assert call["grpc-status"] == "0"
        assert sum(s.sent) == 8 and s.part.front.pool == 1
        await until(lambda: not any(c.calls for c in s.w.service.server.other_connections))
        status, body = await s.part.books()[b"GET", b"/control/grpc"](b"")
        shown = json.loads(body)
        assert (status, shown["connections"], shown["calls"]) == (200, 1, 0) and len(shown["nodes"]) == 2
        wire.transport.abort()


def test_a_node_that_leaves_gets_nothing_new_and_one_that_refuses_connections_costs_an_attempt() -> None:
    @playing(served, served)
    async def course(s: Setup) -> None:
        for _ in range(6):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        s.nodes[0].stop()
        await s.nodes[0].server.wait_closed()
        before = s.sent[0]
        for _ in range(6):
            assert (await s.call("/l/File"))["grpc-status"] == "0"
        assert s.sent[0] == before


def test_a_connection_that_has_fallen_silent_carries_nothing_more(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport_module, "SILENT_S", 0.2)

    async def first_silent(call: Call) -> None:
        if call.wire is not node_of[0].wires[0] or len(node_of[0].calls) < 3:
            await served(call)
        else:
            call.wire.raw = True  # as a way that was cut: nothing goes on

    node_of: list[H2Node] = []

    @playing(first_silent)
    async def course(s: Setup) -> None:
        node_of.extend(s.nodes)
        statuses = [(await s.call("/l/File", grpc_timeout="600m"))["grpc-status"] for _ in range(3)]
        assert statuses == ["0", "0", "4"]
        assert (await s.call("/l/File", grpc_timeout="600m"))["grpc-status"] in ("0", "8")
        await until(lambda: s.nodes[0].wires[0].closed.is_set())


def test_a_client_that_opens_no_window_holds_its_own_answer_and_for_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(front_module, "WRITE_STALL_S", 0.3)

    @playing(served)
    async def course(s: Setup) -> None:
        wire = await s.client()
        wire.h2.update_settings({f.INITIAL_WINDOW_SIZE: 0})
        wire.flush()
        call = wire.open(head(), message())
        await call.started.wait()
        assert (call.data, s.w.engine.tally.served) == (b"", 1)
        assert (await s.call())["grpc-status"] == "0"
        await call.ended.wait()
        assert call.reset == 8 and not call["grpc-status"]


def test_a_wait_for_quota_is_never_longer_than_the_client_s(tmp_path: Any) -> None:
    @playing(served, served)
    async def course(s: Setup) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(8):
            began = loop.time()
            call = await s.call(plan="basis", grpc_timeout="150m")
            assert call["grpc-status"] in ("0", "8", "4") and loop.time() - began < 0.15


def test_an_upgrade_sends_clients_to_the_newer_process_and_loses_no_call(tmp_path: Any) -> None:
    from upgrade import Upgrade

    async def test() -> None:
        node = H2Node(served)
        await node.start()
        operator = tmp_path / "operator.yaml"
        operator.write_text(json.dumps({"grpc": {"methods": [{"path": "/l/File", "class": "vat-filing"}]}}))
        tier = Upgrade(node, tmp_path, operator)  # type: ignore[arg-type]
        ended: list[str] = []
        leave = False

        async def client(number: int) -> None:
            wire = await connect(tier.address)
            while not leave:
                call = wire.open(
                    head("/l/File", account=f"{number:016x}", quota_info="units=0.1,spread=2,first=0"),
                    message(),
                )
                await call.ended.wait()
                ended.append(call["grpc-status"] or f"reset {call.reset}")
                if wire.goaways or wire.closed.is_set():
                    wire.transport.abort()
                    wire = await connect(tier.address)
                await asyncio.sleep(0.002)
            wire.transport.abort()

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
            node.stop()
        assert set(ended) <= {"0", "8", "reset 7"} and ended.count("0") > 80

    run(test())


def test_settings_that_change_hold_for_calls_and_rows_that_fit_no_longer_are_left_out() -> None:
    @playing(served)
    async def course(s: Setup) -> None:
        raw = json.loads(json.dumps(s.w.config))
        raw["settings"]["plans"].insert(
            0, {**SETTINGS["plans"][0], "name": "gold"}
        )  # plans have other numbers by it
        raw["settings"]["categories"] = [
            c for c in raw["settings"]["categories"] if c["name"] != "payment-book"
        ]
        assert (await s.call(plan="gold"))["grpc-status"] == str(int(Status.INVALID_ARGUMENT))
        s.w.service.reload(read_config(json.dumps(raw)))
        assert (await s.call(plan="gold", account="0000000000000007"))["grpc-status"] == "0"
        assert (await s.call("/l/Book"))["grpc-status"] == "12" and (await s.call("/l/File"))[
            "grpc-status"
        ] == "0"
        assert (await s.call(account="0000000000000005"))["grpc-status"] == "0"
        assert s.w.gateway.customers[5].plan.name == "plus"


def test_a_node_that_leaves_while_its_connection_opens_keeps_none(monkeypatch: pytest.MonkeyPatch) -> None:
    gate, connect_now = asyncio.Event(), transport_module.Pool._connect

    async def connect_late(pool: transport_module.Pool) -> None:
        await gate.wait()
        await connect_now(pool)

    monkeypatch.setattr(transport_module.Pool, "_connect", connect_late)

    @playing(served)
    async def course(s: Setup) -> None:
        transport = s.part.transport
        assert transport is not None
        (backend,) = transport.pools.by_backend
        pool = transport.pools.by_backend[backend]
        call = (await s.client()).open(head(grpc_timeout="5S"), message())
        await until(lambda: pool._opening is not None)
        transport.follow(FleetUpdate(ListKind.CHANGES, [BackendEntry(backend, BackendState.GONE)]))
        gate.set()
        await call.ended.wait()
        assert call["grpc-status"] == "0"  # it had begun
        await until(lambda: s.nodes[0].wires[0].closed.is_set())


# ---- nothing is left to the collector, as for HTTP/1.1 (tests/http/test_cycles.py)


KINDS = (EngineCall, GrpcExchange, GrpcRequest, GrpcMessage, GrpcAttempt, Upload, Stream)


def alive() -> dict[str, int]:
    return dict(Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, KINDS)))


@pytest.mark.parametrize(
    ("path", "script"),
    [
        ("/l/Read", served),
        ("/l/Read", ends([(b":status", b"500")])),
        ("/l/Book", breaks(lambda call: None)),
        ("/l/File", resets(7)),
        ("/l/List", three),
        (
            "/l/Watch",
            breaks(
                lambda call: call.send(
                    [(b":status", b"200"), (b"content-type", b"application/grpc")], message()
                )
            ),
        ),
        ("/l/FileAll", served),
        ("/l/File", silent),
    ],
)
def test_nothing_is_left_to_the_collector(path: str, script: Any) -> None:
    @playing(script, script)
    async def course(s: Setup) -> None:
        wire = await s.client()
        gc.collect()
        gc.disable()
        try:
            for number in range(6):
                call = wire.open(head(path, account=f"{number:016x}", grpc_timeout="600m"), message())
                if number == 5:
                    await asyncio.sleep(0.02)
                    call.cancel()  # no more is told of it
                    continue
                await call.ended.wait()
            await until(lambda: s.w.engine.open == 0)
            with suppress(TimeoutError):
                async with asyncio.timeout(5):
                    await until(lambda: not alive())
            assert not alive()
        finally:
            gc.enable()
