"""Answers that are passed on as they come: bounded memory, slow clients, what is spoilt, and what breaks."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import socket

import pytest
from loopback import Client, Peer, Script, answer, request, run, until, world

from troutdock.http.exchange import Exchange
from troutdock.http import transport as transport_module
from troutdock.http.body_limits import max_streams_for
from troutdock.http.response import MAX_STREAMED_BYTES, STREAM_MIN_BYTES

PIECE = bytes(range(256)) * 256  # 64 KiB
LENGTH = b"Content-Length: %d\r\n\r\n"


def framed(form: str, total: int) -> bytes:
    return {
        "length": LENGTH % total,
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n",
        "end": b"Connection: close\r\n\r\n",
    }[form]


def writes(
    form: str, pieces: int, before: int = 0, release: asyncio.Event | None = None, cut: int | None = None
) -> Script:
    """An answer of so many pieces; before: how many come before release; cut: how many come at all."""

    async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        peer.written = 0
        writer.write(b"HTTP/1.1 200 OK\r\nBilled-Units: 2\r\n" + framed(form, pieces * len(PIECE)))
        for number in range(pieces if cut is None else cut):
            if release is not None and number == before:
                await release.wait()
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE) if form == "chunked" else PIECE)
            await writer.drain()
            peer.written = number + 1
        if cut is not None:
            writer.transport.abort()
        elif form == "chunked":
            writer.write(b"0\r\n\r\n")
        elif form == "end":
            writer.close()

    return script


async def read_body(client: Client, head: bytes) -> bytes:
    if b"transfer-encoding: chunked" in head.lower():
        return b"".join([chunk async for chunk in client.chunks()])
    return await client.reader.read() if b"content-length" not in head.lower() else b""


@pytest.mark.parametrize("form", ["length", "chunked", "end"])
def test_first_bytes_come_before_the_last_are_there_and_all_come_unchanged(form: str) -> None:
    async def test() -> None:
        release = asyncio.Event()
        async with world(writes(form, 12, before=2, release=release)) as w:
            client = await w.client()
            client.writer.write(request())
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            if form == "length":
                assert await client.reader.readexactly(len(PIECE)) == PIECE
                release.set()
                assert await client.reader.readexactly(11 * len(PIECE)) == PIECE * 11
            else:
                chunks = client.chunks()
                first = await anext(chunks)
                release.set()
                assert first + b"".join([chunk async for chunk in chunks]) == PIECE * 12
            assert (await client.ask(request(number=2)))[0] == 200  # the connection goes on
            assert w.engine.tally.served >= 1

    run(test())


def test_an_old_client_reads_an_answer_of_unknown_length_to_the_connections_end() -> None:
    async def test() -> None:
        async with world(writes("chunked", 4)) as w:
            client = await w.client()
            client.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            whole = await client.reader.read()
            head, _, body = whole.partition(b"\r\n\r\n")
            assert b"chunked" not in head and b"Connection: close" in head and body == PIECE * 4

    run(test())


def test_a_client_that_reads_slowly_stops_the_reading_from_the_backend() -> None:
    """What is held is bounded by the buffers of both sides, not by the answer."""

    async def test() -> None:
        async with world(writes("length", 512)) as w:  # 32 MiB
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, w.address)
            await asyncio.get_running_loop().sock_sendall(sock, request())
            await until(lambda: getattr(w.backends[0], "written", 0) > 0)
            before = -1
            while before != w.backends[0].written:  # until nothing more goes through
                before = w.backends[0].written
                await asyncio.sleep(0.1)
            assert before < 256
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            reader, writer = await asyncio.open_connection(sock=sock)
            await reader.readuntil(b"\r\n\r\n")
            left = 512 * len(PIECE)
            while left:
                left -= len(await reader.read(min(left, 1 << 20)))
            assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - peak < 16 * 1024  # KiB
            writer.close()

    run(test())


def test_the_deadline_holds_for_the_first_bytes_only() -> None:
    async def test() -> None:
        release = asyncio.Event()
        async with world(writes("length", 4, before=2, release=release)) as w:
            client = await w.client()
            client.writer.write(request(Request_Timeout="0.200"))
            await client.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.4)
            release.set()
            assert await client.reader.readexactly(4 * len(PIECE)) == PIECE * 4

    run(test())


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_an_answer_that_breaks_off_ends_the_connection_and_runs_nowhere_else(form: str) -> None:
    async def test() -> None:
        async with world(writes(form, 12, cut=6), writes(form, 12, cut=6)) as w:
            client = await w.client()
            client.writer.write(request("ledger-read"))
            whole = b""
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                while True:
                    data = await client.reader.read(1 << 16)
                    if not data:
                        raise asyncio.IncompleteReadError(whole, None)
                    whole += data
            assert whole.startswith(b"HTTP/1.1 200 ") and not whole.endswith(b"0\r\n\r\n")
            assert sum(len(b.requests) for b in w.backends) == 1
            assert w.engine.tally.failed == 1 and w.engine.open == 0

    run(test())


def test_one_that_stands_still_for_long_is_broken_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport_module, "STREAM_STALL_S", 0.1)

    async def test() -> None:
        async with world(writes("length", 4, before=2, release=asyncio.Event())) as w:
            client = await w.client()
            client.writer.write(request())
            await client.reader.readuntil(b"\r\n\r\n")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.reader.readexactly(4 * len(PIECE))

    run(test())


def test_one_that_is_spoilt_before_its_first_bytes_are_passed_on_is_tried_again() -> None:
    async def test() -> None:
        async def says_too_much(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + LENGTH % (3 * 1024**3) + PIECE)

        async def stops_early(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + LENGTH % 1_000_000 + PIECE[: STREAM_MIN_BYTES - 1])

        for spoilt in (says_too_much, stops_early):
            turns: list[int] = []

            async def first_spoilt(
                peer: Peer,
                data: bytes,
                writer: asyncio.StreamWriter,
                spoilt: Script = spoilt,
                turns: list[int] = turns,
            ) -> None:
                turns.append(1)
                await (spoilt if len(turns) == 1 else answer())(peer, data, writer)

            async with world(first_spoilt, first_spoilt) as w:
                assert (await w.ask(request("ledger-read")))[2] == b"done"
                assert len(turns) == 2

    run(test())


def test_a_client_that_leaves_half_way_ends_the_reading_too() -> None:
    async def test() -> None:
        async with world(writes("length", 12, before=4, release=asyncio.Event())) as w:
            client = await w.client()
            client.writer.write(request())
            await client.reader.readuntil(b"\r\n\r\n")
            client.writer.transport.abort()
            await until(lambda: w.engine.open == 0)
            await until(lambda: w.service.ingress.transport.open == 0)
            assert w.engine.tally.withdrawn == 1

    run(test())


def test_a_client_that_takes_nothing_for_long_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("troutdock.http.listener.WRITE_STALL_S", 0.2)
    monkeypatch.setattr("troutdock.daemon.SWEEP_S", 0.05)

    async def test() -> None:
        async with world(writes("length", 512)) as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, w.address)
            await asyncio.get_running_loop().sock_sendall(sock, request())
            await until(lambda: w.engine.tally.taken == 1)
            await until(lambda: w.engine.open == 0)
            sock.close()

    run(test())


def test_a_last_answer_is_read_in_the_clients_own_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The wait for a client's last bytes used to cut off what it had not read."""
    monkeypatch.setattr("troutdock.http.listener.LINGER_S", 0.05)
    monkeypatch.setattr("troutdock.daemon.SWEEP_S", 0.02)

    async def test() -> None:
        async with world(writes("length", 64)) as w:
            client = await w.client()
            client.writer.write(request(Connection="close"))
            await client.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.3)
            assert len(await client.reader.read()) == 64 * len(PIECE)

    run(test())


def test_answers_in_a_row_keep_their_order_and_a_long_one_waits_for_its_turn() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def first_waits(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if b"%016x" % 1 in data:
                await release.wait()
                await answer(b"first")(peer, data, writer)
            else:
                await writes("length", 40)(peer, data, writer)

        async with world(*[first_waits] * 5) as w:
            client = await w.client()
            client.writer.write(
                request("ledger-read") + request("ledger-read", 2) + request("ledger-read", 3)
            )
            await asyncio.sleep(0.1)
            release.set()
            assert (await client.answer())[2] == b"first"
            assert (await client.answer())[2] == PIECE * 40
            assert (await client.answer())[2] == PIECE * 40

    run(test())


def test_a_streamed_answer_leaves_nothing_behind() -> None:
    async def test() -> None:
        async with world(writes("chunked", 8)) as w:
            for number in range(1, 6):
                assert len((await w.ask(request("ledger-read", number)))[2]) == 8 * len(PIECE)
            await until(lambda: w.engine.open == 0)
            held = [o for o in gc.get_objects() if isinstance(o, Exchange)]
            assert not [e for e in held if e.flow is not None]

    run(test())


def test_with_too_many_long_answers_the_client_that_takes_nothing_for_longest_is_cut() -> None:
    async def test() -> None:
        async with world(*[writes("length", 400)] * 6) as w:
            server = w.service._server
            server._max_streams = 3
            slow = []
            for number in range(1, 4):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, w.address)
                await asyncio.get_running_loop().sock_sendall(sock, request("ledger-read", number))
                await until(lambda n=number: len(server.slow) == n)
                slow.append(sock)
            assert server.streams == 3
            _, _, body = await w.ask(request("ledger-read", 9))
            assert len(body) == 400 * len(PIECE)
            await until(lambda: server.streams == 2 and len(server.slow) == 2)
            got = 0
            with contextlib.suppress(ConnectionError):
                while data := await asyncio.get_running_loop().sock_recv(slow[0], 1 << 20):
                    got += len(data)
            assert 0 < got < 400 * len(PIECE)  # and the client can tell
            for sock in slow:
                sock.close()
            await until(lambda: server.streams == 0)

    run(test())


def test_how_many_streams_there_may_be_follows_the_memory() -> None:
    assert [max_streams_for(mb) for mb in (24, 32, 40, 80, 192)] == [16, 16, 22, 136, 455]


def test_more_than_any_answer_may_have_is_taken_for_spoilt() -> None:
    assert 32 * 1024 * 1024 < MAX_STREAMED_BYTES < 3 * 1024**3


@pytest.mark.parametrize(("cls", "tries"), [("vat-filing", 1), ("ledger-read", 2)])
def test_the_rest_of_an_answer_is_waited_for_longer_where_nothing_else_can_be_tried(
    cls: str, tries: int
) -> None:
    """A backend that stands still for half a second in the middle of its answer: seen on a recorded day."""

    async def test() -> None:
        asked: list[int] = []

        async def pauses(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            asked.append(1)
            if len(asked) == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")
                await asyncio.sleep(0.6)
                writer.write(b"ne")
            else:
                await answer()(peer, data, writer)

        async with world(pauses, pauses) as w:
            status, _, body = await w.ask(request(cls))
            assert (status, body, len(asked)) == (200, b"done", tries)

    run(test())
