"""Streamed responses: bounded memory, slow clients, invalid and truncated responses."""

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
    """Writes a response of several pieces; before: pieces sent before release; cut: pieces sent in total."""

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
def test_a_streamed_response_arrives_early_and_unchanged(form: str) -> None:
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
            assert (await client.ask(request(number=2)))[0] == 200  # the connection persists
            assert w.engine.tally.served >= 1

    run(test())


def test_http_1_0_client_reads_a_streamed_response_until_close() -> None:
    async def test() -> None:
        async with world(writes("chunked", 4)) as w:
            client = await w.client()
            client.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            whole = await client.reader.read()
            head, _, body = whole.partition(b"\r\n\r\n")
            assert b"chunked" not in head and b"Connection: close" in head and body == PIECE * 4

    run(test())


def test_a_slow_client_pauses_reading_from_the_backend() -> None:
    """Memory is bounded by the buffers of both sides, not by the size of the response."""

    async def test() -> None:
        async with world(writes("length", 512)) as w:  # 32 MiB
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, w.address)
            await asyncio.get_running_loop().sock_sendall(sock, request())
            await until(lambda: getattr(w.backends[0], "written", 0) > 0)
            before = -1
            while before != w.backends[0].written:  # until the flow stops
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


def test_the_deadline_applies_to_the_first_bytes_only() -> None:
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
def test_a_truncated_stream_closes_the_connection_without_retry(form: str) -> None:
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


def test_a_stalled_stream_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport_module, "STREAM_STALL_S", 0.1)

    async def test() -> None:
        async with world(writes("length", 4, before=2, release=asyncio.Event())) as w:
            client = await w.client()
            client.writer.write(request())
            await client.reader.readuntil(b"\r\n\r\n")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.reader.readexactly(4 * len(PIECE))

    run(test())


def test_a_fault_before_streaming_starts_is_retried() -> None:
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


def test_a_disconnect_during_a_stream_stops_reading_from_the_backend() -> None:
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


def test_a_client_that_reads_nothing_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("troutdock.http.listener.WRITE_STALL_S", 0.2)
    monkeypatch.setattr("troutdock.daemon.SWEEP_INTERVAL_S", 0.05)

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


def test_a_slow_client_can_read_its_last_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """LINGER_S must not abort a connection whose client has not yet read its response."""
    monkeypatch.setattr("troutdock.http.listener.LINGER_S", 0.05)
    monkeypatch.setattr("troutdock.daemon.SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with world(writes("length", 64)) as w:
            client = await w.client()
            client.writer.write(request(Connection="close"))
            await client.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.3)
            assert len(await client.reader.read()) == 64 * len(PIECE)

    run(test())


def test_pipelined_responses_keep_their_order_around_a_stream() -> None:
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


def test_a_streamed_response_leaks_nothing() -> None:
    async def test() -> None:
        async with world(writes("chunked", 8)) as w:
            for number in range(1, 6):
                assert len((await w.ask(request("ledger-read", number)))[2]) == 8 * len(PIECE)
            await until(lambda: w.engine.open == 0)
            held = [o for o in gc.get_objects() if isinstance(o, Exchange)]
            assert not [e for e in held if e.flow is not None]

    run(test())


def test_too_many_streams_abort_the_client_stalled_for_longest() -> None:
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
            assert 0 < got < 400 * len(PIECE)  # the client sees a truncated body
            for sock in slow:
                sock.close()
            await until(lambda: server.streams == 0)

    run(test())


def test_the_stream_limit_depends_on_the_memory() -> None:
    assert [max_streams_for(mb) for mb in (24, 32, 40, 80, 192)] == [16, 16, 22, 136, 455]


def test_a_response_above_the_size_limit_is_rejected() -> None:
    assert 32 * 1024 * 1024 < MAX_STREAMED_BYTES < 3 * 1024**3


@pytest.mark.parametrize(("cls", "tries"), [("vat-filing", 1), ("ledger-read", 2)])
def test_the_stall_timeout_is_longer_if_no_retry_is_possible(cls: str, tries: int) -> None:
    """Real backends may pause for 0.5 s in the middle of a response."""

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
