"""The protocol's table of outcomes, observed by clients and backends, for every front."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Peer, Script, answer, request, run, sends, silence, until, world

NOT_STARTED = b"Not-Started: 1\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def test_a_served_response_is_forwarded_unchanged() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 200
        async with world(answer(body, head=b"Billed-Units: 3\r\nContent-Type: x/y\r\n")) as w:
            status, head, got = await w.ask(request("payment-book", Idempotency_Key="5c" * 16))
            assert (status, got) == (200, body)
            assert b"content-type: x/y" in head.lower()
            (sent,) = w.backends[0].requests
            assert sent.startswith(b"POST /payment-book/7?year=3 HTTP/1.1\r\n") and sent.endswith(
                b"\r\n\r\nreceipt"
            )
            lines = sent.lower().split(b"\r\n")
            assert b"request-id: " + b"0" * 15 + b"1" in lines and b"idempotency-key: " + b"5c" * 16 in lines
            (left,) = [float(line[17:]) for line in lines if line.startswith(b"request-timeout: ")]
            assert 1.0 < left < 1.5

    run(test())


@pytest.mark.parametrize(
    ("cls", "script", "status", "sent"),
    [
        ("vat-filing", answer(b"", 500), 502, 1),
        ("vat-filing", sends(b""), 502, 1),
        ("vat-filing", answer(b"", 503), 502, 1),
        ("vat-filing", answer(b"", 503, NOT_STARTED), 429, 3),
        ("ledger-read", answer(b"", 500), 429, 3),
        ("payment-book", sends(b""), 429, 3),
    ],
)
def test_the_number_of_attempts_depends_on_the_class(
    cls: str, script: Script, status: int, sent: int
) -> None:
    async def test() -> None:
        async with world(script, script, script, script) as w:
            assert (await w.ask(request(cls)))[0] == status
            assert sum(len(b.requests) for b in w.backends) == sent

    run(test())


@pytest.mark.parametrize(
    ("cls", "status"), [("vat-filing", 502), ("ledger-read", 429), ("payment-book", 429)]
)
def test_a_silent_backend_gives_a_response_before_the_client_timeout(cls: str, status: int) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with world(silence) as w:
            began = loop.time()
            assert (await w.ask(request(cls, Request_Timeout="0.400")))[0] == status
            assert loop.time() - began < 0.4
            await until(lambda: w.backends[0].closed == 1)
            assert len(w.backends[0].requests) == 1  # no further attempt shortly before the deadline

    run(test())


def test_a_disconnect_ends_the_attempt() -> None:
    async def test() -> None:
        async with world(silence) as w:
            client = await w.client()
            client.writer.write(request())
            await until(lambda: bool(w.backends[0].requests))
            client.writer.close()
            await until(lambda: w.backends[0].closed == 1)

    run(test())


def test_a_refusal_has_retry_after() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            client = await w.client()
            told = [await client.ask(request(number=n, Plan="basis")) for n in range(6)]
            refused = [head for status, head, _ in told if status == 429]
            assert refused and len(w.backends[0].requests) == len(told) - len(refused)
            assert all(float(h.lower().split(b"retry-after: ")[1].split(b"\r\n")[0]) > 0 for h in refused)

    run(test())


async def close_connection(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def each(body: bytes) -> Script:
    return sends(body, close=False)


SERVED = [
    answer(b"done"),
    sends(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
    sends(b"HTTP/1.1 100 Continue\r\n\r\n" + OK),
]
MAY_HAVE_RUN = {
    "500": answer(b"", 500),
    "500 not started": answer(b"", 500, NOT_STARTED),
    "503": answer(b"", 503),
    "504 started": answer(b"", 504, b"Not-Started: 0\r\n"),
    "404": answer(b"", 404),
    "302": answer(b"", 302),
    "close": sends(b""),
    "reset": close_connection,
    "half": sends(OK[:-2]),
    "half a chunk": sends(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo"),
    "no length": sends(b"HTTP/1.1 200 OK\r\n\r\ndone"),
    "nonsense": each(b"SSH-2.0-nonsense\r\n"),
    "endless head": each(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000),
    "switching": each(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
}
NEVER_RAN = {
    "503 not started": answer(b"", 503, NOT_STARTED),
    "504 not started": answer(b"", 504, NOT_STARTED),
}
CLASSES = ("ledger-read", "payment-book", "vat-filing")


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("script", SERVED)
def test_a_successful_response_is_served_once(cls: str, script: Script) -> None:
    async def test() -> None:
        async with world(script, script) as w:
            client = await w.client()
            status, _, body = await client.ask(request(cls))
            assert (status, body) == (200, b"done")
            assert sum(len(b.requests) for b in w.backends) == 1
            assert await no_further_data(client)
            assert (w.engine.tally.taken, w.engine.tally.served, w.engine.open) == (1, 1, 0)

    run(test())


async def no_further_data(client: object) -> bool:
    """Returns whether no data follows the response."""
    try:
        async with asyncio.timeout(0.05):
            return await client.reader.read(1) == b""  # type: ignore[attr-defined]
    except TimeoutError:
        return True


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("row", MAY_HAVE_RUN)
def test_a_request_that_may_have_run_is_repeated_if_its_class_allows(cls: str, row: str) -> None:
    """Safe and keyed requests go to other backends; unsafe ones fail, since they may have run."""

    async def test() -> None:
        script = MAY_HAVE_RUN[row]
        async with world(script, script, script, script) as w:
            client = await w.client()
            status, head, _ = await client.ask(request(cls))
            sent = [len(b.requests) for b in w.backends]
            if cls == "vat-filing":
                assert (status, sum(sent)) == (502, 1)
                assert b"retry-after" not in head.lower()
            else:
                assert (status, sum(sent)) == (429, 3)
                assert max(sent) == 1  # never the same backend again while there are others
            await asyncio.sleep(0.05)
            assert [len(b.requests) for b in w.backends] == sent  # no attempt after the response
            assert (w.engine.open, w.engine.tally.taken) == (0, 1)

    run(test())


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("row", NEVER_RAN)
def test_a_request_that_never_ran_is_retried_and_finally_refused(cls: str, row: str) -> None:
    async def test() -> None:
        script = NEVER_RAN[row]
        async with world(script, script, script, script) as w:
            status, head, _ = await w.ask(request(cls))
            assert (status, sum(len(b.requests) for b in w.backends)) == (429, 3)
            assert b"retry-after" in head.lower()

    run(test())


@pytest.mark.parametrize("cls", CLASSES)
def test_a_refused_connection_costs_only_a_further_attempt(cls: str) -> None:
    async def test() -> None:
        async with world(answer(), answer()) as w:
            w.backends[0].stop()
            await w.backends[0].server.wait_closed()
            for number in range(6):
                assert (await w.ask(request(cls, number)))[0] == 200
            assert (len(w.backends[0].requests), len(w.backends[1].requests)) == (0, 6)

    run(test())


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("row", MAY_HAVE_RUN)
def test_the_second_attempt_may_succeed(cls: str, row: str) -> None:
    async def test() -> None:
        met: list[bytes] = []

        async def once(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            met.append(data)
            await (MAY_HAVE_RUN[row] if len(met) == 1 else answer())(peer, data, writer)

        async with world(once, once) as w:
            status, _, body = await w.ask(request(cls))
            if cls == "vat-filing":
                assert (status, len(met)) == (502, 1)
            else:
                assert (status, body, len(met)) == (200, b"done", 2)
                ids = {
                    line for m in met for line in m.lower().split(b"\r\n") if line.startswith(b"request-id")
                }
                keys = {
                    line for m in met for line in m.lower().split(b"\r\n") if line.startswith(b"idempotency")
                }
                assert len(ids) == 1 and len(keys) == (cls == "payment-book")  # both got the same request

    run(test())
