"""A late request and a request that causes an internal error each get a response."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from loopback import answer, request, run, world
from simulated import SimulatedWorld, RecordedExchange

from troutdock.admission.interface import RequestQueued


def test_a_message_to_peers_does_not_decide_a_late_request() -> None:
    """A message to peers among the actions must not be taken for the refusal, or no response is sent."""
    w, peers = SimulatedWorld(gateways=3, peers=True, peer_in_per_s=100.0), Mock()
    w.engine.set_peers(peers)
    exchange = RecordedExchange(w.time.now(), w.time.now() + 4000, w.time)
    for waited_ms, refused in ((11.0, False), (2000.0, True)):
        w.time.advance(1000)
        w.engine._gateway.usage.record_use(w.time.now(), 9, 0.0001, 0.5)
        before = peers.tell.call_count
        assert w.engine.reject_waited(RequestQueued(9, 1, 0, 1.0, 1, False, waited_ms), exchange) == refused
        assert peers.tell.call_count == before + 1
        assert exchange.final == ("refused" if refused else None)


def test_an_internal_error_is_logged_and_fails_only_its_request(caplog: Any) -> None:
    """The parser swallows exceptions of its callbacks; the request would block all later responses."""

    async def test() -> None:
        async with world(answer()) as w:
            client, arrive = await w.client(), w.engine.arrive

            def broken(*args: Any) -> Any:
                w.engine.arrive = arrive
                raise RuntimeError("not foreseen")

            w.engine.arrive = broken
            assert (await client.ask(request("ledger-read", 1)))[0] == 500
            assert (await client.ask(request("ledger-read", 2)))[0] == 200

    run(test())
    assert "not foreseen" in caplog.text
