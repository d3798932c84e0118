"""A request that a late process looks at, and one that can't be taken in: each has its answer."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from loopback import answer, request, run, world
from simulated import SimulatedWorld, RecordedExchange

from troutdock.admission.interface import RequestQueued


def test_what_is_due_to_peers_goes_out_with_a_late_request_and_does_not_decide_it() -> None:
    """A digest that was due stood in a refusal's place, and the request had no answer at all."""
    w, peers = SimulatedWorld(gateways=3, peers=True, peer_in_per_s=100.0), Mock()
    w.engine.tell_by(peers)
    exchange = RecordedExchange(w.time.now(), w.time.now() + 4000, w.time)
    for waited_ms, refused in ((11.0, False), (2000.0, True)):
        w.time.advance(1000)
        w.engine._gateway.usage.used(w.time.now(), 9, 0.0001, 0.5)
        before = peers.tell.call_count
        assert w.engine.turn_away(RequestQueued(9, 1, 0, 1.0, 1, False, waited_ms), exchange) == refused
        assert peers.tell.call_count == before + 1
        assert exchange.final == ("refused" if refused else None)


def test_what_fails_while_a_request_is_taken_in_is_logged_and_fails_that_request_only(caplog: Any) -> None:
    """The parser swallows what its callbacks raise: the request stood unanswered before all later ones."""

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
