"""Finished requests leave no reference cycles: garbage collection would take time from requests under load."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from contextlib import suppress
from typing import Any

import pytest
from loopback import Script, answer, request, run, sends, silence, until, world

from troutdock.engine import Call
from troutdock.http.request import HttpRequest
from troutdock.http.response import ResponseReader
from troutdock.http.connection import ClientConnection
from troutdock.http.exchange import Exchange
from troutdock.http.transport import Connection, HttpAttempt

KINDS = (Call, HttpAttempt, Exchange, ClientConnection, Connection, ResponseReader, HttpRequest)


def alive(w: Any) -> dict[str, int]:
    found = Counter(type(o).__name__ for o in gc.get_objects() if isinstance(o, KINDS))
    found["ResponseReader"] -= w.discovery.connections + 1  # the discovery watch has readers too
    return {kind: n for kind, n in found.items() if n > 0}


@pytest.mark.parametrize(
    ("cls", "script"),
    [
        ("ledger-read", answer()),
        ("ledger-read", answer(b"", 500)),
        ("payment-book", sends(b"")),
        ("vat-filing", sends(b"")),
        ("vat-filing", silence),
        ("ledger-read", answer(b"", 503, b"Not-Started: 1\r\n")),
    ],
)
def test_finished_requests_leave_no_reference_cycles(cls: str, script: Script) -> None:
    async def test() -> None:
        async with world(script, script) as w:
            gc.collect()
            gc.disable()
            try:
                for number in range(6):
                    client = await w.client()
                    await client.ask(request(cls, number, Request_Timeout="0.600"))
                    if number % 2:
                        await client.ask(request(cls, 100 + number, Request_Timeout="0.600"))
                    client.writer.close()
                leaves = await w.client()
                leaves.writer.write(request(cls, 99))
                await asyncio.sleep(0.01)
                leaves.writer.close()
                await until(lambda: w.engine.open == 0)
                w.service.ingress.transport.close()
                with suppress(TimeoutError):
                    async with asyncio.timeout(10):
                        await until(lambda: not alive(w))
                assert not alive(w), w.discovery.connections
            finally:
                gc.enable()

    run(test())
