"""The five rules of the protocol, observed by clients and backends, for every front."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest
from loopback import (
    SETTINGS,
    Client,
    Peer,
    Script,
    answer,
    request,
    run,
    sends,
    silence,
    target,
    until,
    world,
)
from simulated import assert_settled

CLASSES = ("ledger-read", "payment-book", "vat-filing")
NOT_STARTED = b"Not-Started: 1\r\n"


def id_of(data: bytes) -> bytes:
    return next(line for line in data.lower().split(b"\r\n") if line.startswith(b"request-id: "))


def settings(**changes: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings with some values of sections changed."""
    return {section: {**SETTINGS[section], **values} for section, values in changes.items()}


# ---- 1: each accepted request gets exactly one final response, in time


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("timeout", ["0.120", "0.300", "0.600"])
def test_many_requests_to_silent_backends_get_one_response_each_in_time(cls: str, timeout: str) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with world(silence, silence) as w:

            async def one(number: int) -> None:
                client = await w.client()
                began = loop.time()
                status, _, _ = await client.ask(request(cls, number, Request_Timeout=timeout))
                assert status in (429, 502) and loop.time() - began < float(timeout)
                assert await quiet(client)

            await asyncio.gather(*(one(n) for n in range(12)))
            tally = w.engine.tally
            assert (tally.taken, tally.served, tally.refused + tally.failed) == (12, 0, 12)
            assert_settled(w.engine)

    run(test())


async def quiet(client: Client) -> bool:
    try:
        async with asyncio.timeout(0.03):
            return await client.reader.read(1) == b""
    except TimeoutError:
        return True


def test_mixed_clients_and_backends_give_one_response_each() -> None:
    """Working, failing, silent and hanging backends; every class and plan; a third of the clients disconnect."""

    async def test() -> None:
        async def slow(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.02)
            await answer()(peer, data, writer)

        scripts: list[Script] = [slow, slow, answer(b"", 500), answer(b"", 503, NOT_STARTED), sends(b"")]
        async with world(*scripts) as w:

            async def one(number: int) -> int:
                client = await w.client()
                plan = ("basis", "plus")[number % 2]
                data = request(
                    CLASSES[number % 3],
                    number,
                    Plan=plan,
                    Request_Timeout="0.900",
                    Account=f"{number:016x}",
                    Quota_Info="units=0.1,spread=2,first=0",
                )
                if number % 3 == 2 and number % 2:
                    client.writer.write(data)
                    await asyncio.sleep(0.001 * (number % 12))
                    client.writer.close()
                    return 0
                return (await client.ask(data))[0]

            statuses: list[int] = []
            for first in range(0, 90, 15):
                statuses += await asyncio.gather(*(one(n) for n in range(first, first + 15)))
            assert set(statuses) <= {0, 200, 429, 502}
            await until(lambda: w.engine.open == 0)
            assert w.engine.tally.served >= statuses.count(200) > 20
            assert_settled(w.engine)
            by_id: dict[bytes, int] = {}
            for peer in w.backends[:2] + w.backends[4:]:  # where a request has or may have run
                for data in peer.requests:
                    if b"/vat-filing" in data:
                        by_id[id_of(data)] = by_id.get(id_of(data), 0) + 1
            assert max(by_id.values()) == 1

    run(test())


@pytest.mark.parametrize("cls", CLASSES)
def test_a_hopeless_request_is_answered_at_once(cls: str) -> None:
    """Without any backend, the response is not delayed until near the deadline."""

    async def test() -> None:
        async with world() as w:
            began = time.monotonic()
            status, head, _ = await w.ask(request(cls, Request_Timeout="3.000"))
            assert status == 429 and b"retry-after" in head.lower()
            assert time.monotonic() - began < 1.0
            assert_settled(w.engine)

    run(test())


# ---- 2: nothing happens twice


def test_a_keyed_request_is_not_repeated_after_the_dedup_window() -> None:
    categories = json.loads(json.dumps(SETTINGS["categories"]))
    categories[1]["dedup_window"] = 500.0

    async def test() -> None:
        async def late_reset(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.35)  # a further attempt could arrive after the window
            writer.transport.abort()

        async with world(
            late_reset,
            late_reset,
            settings={"categories": categories, **settings(permissions={"parallel_tries": False})},
        ) as w:
            assert (await w.ask(request("payment-book", Request_Timeout="3.000")))[0] == 429
            assert sum(len(b.requests) for b in w.backends) == 1

    run(test())


def test_a_disconnect_ends_all_attempts() -> None:
    """Between two attempts and during one: no further attempt is sent."""

    async def test() -> None:
        async def late_reset(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            writer.transport.abort()

        async with world(late_reset, late_reset, late_reset) as w:
            client = await w.client()
            client.writer.write(request("ledger-read", Request_Timeout="3.000"))
            await until(lambda: sum(len(b.requests) for b in w.backends) == 1)
            client.writer.close()
            await until(lambda: w.engine.open == 0)
            await asyncio.sleep(0.2)
            assert sum(len(b.requests) for b in w.backends) == 1
            assert w.engine.tally.withdrawn == 1
            assert_settled(w.engine)

    run(test())


# ---- 3: a draining or removed backend gets no new requests


@pytest.mark.parametrize("state", ["leaving", "left"])
def test_a_draining_backend_gets_no_new_requests(state: str) -> None:
    async def test() -> None:
        told = asyncio.Event()

        async def discovery(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if not told.is_set():
                await told.wait()
                body = json.dumps(
                    {"rev": 9, "all": False, "targets": [target(nodes[0], "s-0", state)]}
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        nodes: list[Peer] = []
        async with world(answer(), answer(), discovery=discovery) as w:
            nodes += w.backends
            for number in range(20):
                await w.ask(request(number=number))
            assert all(b.requests for b in w.backends)
            await until(lambda: bool(w.discovery.requests))
            told.set()
            ring = w.gateway.pools[0].rings
            await until(lambda: sum(len(r) for k, r in ring.items() if k[0].value == "all") == 1)
            before = len(nodes[0].requests)
            for number in range(20, 50):
                assert (await w.ask(request(number=number)))[0] in (200, 429)
            assert len(nodes[0].requests) == before and len(nodes[1].requests) > 20

    run(test())


# ---- 4: a cold backend is not overloaded


@pytest.mark.parametrize("age_ms", [0, 10**9])
def test_a_cold_backend_gets_only_its_share_of_a_burst(age_ms: int) -> None:
    """20% of its capacity, twice that for 3 s, by three ingresses: 300 ms of work each, one or two requests."""

    async def test() -> None:
        boot = int(time.time() * 1000) - age_ms
        async with world(answer(), boots=(boot,)) as w:
            statuses = [(await w.ask(request("ledger-read", n)))[0] for n in range(30)]
            assert set(statuses) <= {200, 429}
            served = statuses.count(200)
            assert served == len(w.backends[0].requests)
            # a window of 3 s may end within the burst; a warm backend gets nearly all of it
            assert (1 <= served <= 6) if age_ms == 0 else served > 20

    run(test())


# ---- 5: a ceiling is never exceeded


def test_a_rate_ceiling_applies_across_connections_and_classes() -> None:
    """The plan's ceiling is a burst of 12 units and 20 units/s; this ingress is one of the customer's two."""
    plans = [
        {
            "name": "plus",
            "per_second": 1000.0,
            "peak_units": 10_000.0,
            "price": 1.6,
            "over_worth": 9.0,
            "excess_cost": 0.6,
            "cap_rate": 20.0,
            "ceiling_burst": 12.0,
        }
    ]

    async def test() -> None:
        async with world(answer(), answer(), settings={"plans": plans}) as w:
            began = time.monotonic()
            await asyncio.sleep(0.7)  # a new ingress knows only that nothing was sent since its start

            async def one(number: int) -> None:
                cls = CLASSES[number % 3]
                assert (await w.ask(request(cls, number)))[0] in (200, 429)

            for first in range(0, 60, 20):
                await asyncio.gather(*(one(n) for n in range(first, first + 20)))
                await asyncio.sleep(0.3)
            units = 2 * sum(len(b.requests) for b in w.backends)
            assert 0 < units <= (12 + 20 * (time.monotonic() - began)) / 2 < 120

    run(test())


def test_a_quota_applies_across_connections() -> None:
    async def test() -> None:
        async with world(answer(), answer()) as w:

            async def one(number: int) -> int:
                return (await w.ask(request("ledger-read", number, Plan="basis")))[0]

            statuses = await asyncio.gather(*(one(n) for n in range(30)))
            # a burst of 8 units split over two ingresses, plus 1 unit/s: two or three requests of 2 units
            assert 1 <= statuses.count(200) <= 3 and set(statuses) == {200, 429}
            assert sum(len(b.requests) for b in w.backends) == statuses.count(200)

    run(test())
