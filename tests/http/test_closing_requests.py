"""A request with Connection: close waits for its response as long as any other."""

from __future__ import annotations

import asyncio

import pytest
from build import settings

from troutdock.admission.interface import Actions, Event
from troutdock.engine import Engine
from troutdock.http.listener import Server
from troutdock.http.request import Reader
from troutdock.http.transport import HttpTransport
from troutdock.platform.clock import SystemClock


class Silent:
    """A decision module without actions: every request stays open."""

    settings = settings()

    def handle(self, now: float, event: Event) -> Actions:
        return []


@pytest.mark.parametrize("ends", [b"Connection: close\r\n", b""])
def test_an_open_request_is_in_no_queue_with_a_timeout(ends: bytes) -> None:
    async def play() -> None:
        engine = Engine(Silent.settings, 1, SystemClock(), asyncio.get_running_loop(), Silent())
        engine.add_pool(HttpTransport(1, 1, 1, engine.attempt_ended))
        server = Server(engine, Reader(Silent.settings), 8)
        address = server.listen(("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        name = Silent.settings.classes[0].name.encode()
        writer.write(
            b"GET /%b HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nAccount: 000000000000000a\r\nPlan: %b\r\n"
            b"Request-Timeout: 9\r\nQuota-Info: units=1,spread=1,first=0\r\n%b\r\n"
            % (name, Silent.settings.plans[0].name.encode(), ends)
        )
        while not engine.open:
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # until data_received has returned
        assert not len(server.waiting) and not len(server.idle)
        writer.close()
        engine.close()

    asyncio.run(asyncio.wait_for(play(), 10))
