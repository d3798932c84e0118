"""The ingress's own delay is distinguished from backend latency and counts against the client's timeout."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from typing import Any

from loopback import answer, request, run, until, world

from troutdock.admission.interface import AttemptEnded, RequestArrived
from troutdock.http.socket_info import ms_since_last_data

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
BUSY_S = 0.2  # how long the event loop is blocked


class ThreadedBackend:
    """A backend in a thread, which responds at once even if this process's event loop is blocked."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.met = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        sock, _ = self.listener.accept()
        with sock:
            data = b""
            while part := sock.recv(65536):
                data += part
                if b"receipt" in data:
                    data = b""
                    time.sleep(0.03)  # until the loop is blocked
                    sock.sendall(OK)
                    self.met.set()


def events_of(w: Any) -> list[Any]:
    """Records the events that the decision module receives from now on."""
    seen: list[Any] = []
    handle = w.gateway.handle

    def noted(now: float, event: Any) -> Any:
        seen.append(event)
        return handle(now, event)

    w.gateway.handle = noted
    return seen


def test_unread_time_of_a_response_is_not_counted_as_backend_latency() -> None:
    """Otherwise a late ingress takes all backends for slow and refuses all requests."""

    async def test() -> None:
        node = ThreadedBackend()
        async with world(answer()) as w:
            for pool in w.service.ingress.transport.pools.by_backend.values():
                pool.endpoint = ("127.0.0.1", node.port)
            client = await w.client()
            assert (await client.ask(request(number=1)))[0] == 200
            await asyncio.sleep(0.05)
            node.met.clear()
            seen = events_of(w)
            client.writer.write(request(number=2))
            await until(lambda: any(isinstance(e, RequestArrived) for e in seen))
            node.met.wait(5)  # blocks the event loop
            time.sleep(BUSY_S)  # the response has arrived and is not read
            assert (await client.answer())[0] == 200
            (ended,) = [e for e in seen if isinstance(e, AttemptEnded)]
            assert ended.elapsed_ms > BUSY_S * 1000
            assert ended.lag_ms > 0.8 * BUSY_S * 1000
            assert ended.elapsed_ms - ended.lag_ms < 0.5 * BUSY_S * 1000
        node.listener.close()

    run(test())


def test_unread_time_of_a_request_shortens_its_timeout() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            seen = events_of(w)
            with socket.create_connection(w.address) as client:
                await asyncio.sleep(0.05)  # accepted
                client.sendall(request("ledger-read", Request_Timeout="1.500"))
                time.sleep(BUSY_S)
                await until(lambda: any(isinstance(e, RequestArrived) for e in seen))
            (arrived,) = [e for e in seen if isinstance(e, RequestArrived)]
            assert arrived.time_left_ms < 1500 - 0.8 * BUSY_S * 1000

    run(test())


def test_unknown_age_counts_as_zero() -> None:
    class Silent:
        def __init__(self, said: bytes | None) -> None:
            self.said = said

        def getsockopt(self, level: int, option: int, size: int) -> bytes:
            if self.said is None:
                raise OSError
            return self.said

    assert ms_since_last_data(Silent(None)) == ms_since_last_data(Silent(b"short")) == 0.0
    assert ms_since_last_data(Silent(b"\xff" * 56)) == 0.0  # never
    assert ms_since_last_data(Silent(bytes(52) + (7).to_bytes(4, "little"))) in (
        7.0,
        0.0,
    )  # by the byte order


def test_a_request_that_waited_too_long_is_refused_with_retry_after() -> None:
    """Rejected before any work: no call in the decision module, no request to a backend."""

    async def test() -> None:
        async with world(answer()) as w:
            clients = [await w.client() for _ in range(3)]
            for n, c in enumerate(clients):  # to establish all connections
                assert (await c.ask(request("ledger-read", n + 1)))[0] == 200
            sent = len(w.backends[0].requests)
            await asyncio.sleep(0.05)
            for n, c in enumerate(clients):
                c.writer.write(request("vat-filing", 10 + n))  # written now, read after the pause
            time.sleep(2 * BUSY_S)
            for c in clients:
                status, head, _ = await c.answer()
                assert status == 429 and b"retry-after" in head.lower() and b"close" not in head.lower()
            assert w.engine.tally.rejected_early == 3 and w.engine.open == 0 and w.gateway.calls == {}
            assert len(w.backends[0].requests) == sent
            await asyncio.sleep(0.2)
            assert (await clients[0].ask(request("vat-filing", 20)))[
                0
            ] == 200  # the rejection leaves no state

    run(test())


def test_an_invalid_late_request_gets_its_error_response() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            c = await w.client()
            assert (await c.ask(request("ledger-read", 1)))[0] == 200
            await asyncio.sleep(0.05)
            c.writer.write(request("ledger-read", 2, Plan="gold"))
            time.sleep(2 * BUSY_S)
            assert (await c.answer())[0] == 400

    run(test())


def test_requests_of_departed_clients_are_dropped() -> None:
    """Otherwise new requests wait behind those of clients that have disconnected."""

    async def test() -> None:
        async with world(answer()) as w:
            kept = socket.create_connection(w.address)
            kept.sendall(request("ledger-read", 1))
            await until(lambda: w.engine.tally.served == 1)
            await asyncio.sleep(0.05)
            new = socket.create_connection(w.address)  # closed before it is accepted
            for number, sock in enumerate((kept, new)):
                sock.sendall(request("payment-book", 2 + number))
                sock.close()
            time.sleep(0.1)  # too short for a rejection
            await asyncio.sleep(0.2)
            assert len(w.backends[0].requests) == 1 and w.engine.open == 0
            assert w.engine.tally.taken == 1
            assert (await w.ask(request("payment-book", 4)))[0] == 200

    run(test())
