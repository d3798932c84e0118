"""Ingress processes killed under load; compares the exports with the actual answers, customer by customer."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random

import pytest
from kills import Fleet, evaluate, run_kills
from loopback import run
from upgrade import Upgrade

from troutdock.usage.ledger import SEQUENCE_RESERVE


@pytest.mark.parametrize("promise", ["sync", "bounded"])
def test_killed_ingresses_lose_and_duplicate_no_more_than_stated(tmp_path: Path, promise: str) -> None:
    kills = 5
    result = asyncio.run(asyncio.wait_for(run_kills(tmp_path, promise, kills, Random(7)), 60))
    assert not result.faults and result.given > 100
    assert not result.wrong  # the exported units of each customer are those that the backend billed
    if promise == "sync":
        assert not result.missing  # every answer received by a client is exported
        assert result.unknown == 0
    else:
        assert result.missing <= result.unknown <= kills * SEQUENCE_RESERVE
    assert (
        result.unseen <= result.uncertain + kills * result.clients
    )  # exported, but the client did not receive the answer


@pytest.mark.parametrize("promise", ["sync", "bounded"])
def test_upgrade_under_load_loses_and_duplicates_nothing(tmp_path: Path, promise: str) -> None:
    """Orderly shutdowns of both processes leave nothing uncertain."""

    async def test() -> None:
        fleet = Fleet(tmp_path, promise, 8)
        await fleet.node.start()
        settings = json.loads(fleet.operator.read_text())
        settings["reservations"] = {"file": str(tmp_path / "entries.jsonl"), "folder": str(tmp_path / "own")}
        fleet.operator.write_text(json.dumps(settings))
        tier = Upgrade(fleet.node, tmp_path, fleet.operator)
        fleet.address = tier.address
        clients: list[asyncio.Task[None]] = []
        try:
            await tier.start()
            clients += [asyncio.create_task(fleet.client()) for _ in range(fleet.clients)]
            for number in (1, 2):
                await tier.start()
                given = len(fleet.given)
                while len(fleet.given) < given + 50:
                    await asyncio.sleep(0.01)
                assert await tier.end(number - 1) == 0  # while clients continue to send requests
                given = len(fleet.given)
                while len(fleet.given) < given + 50:  # the newer process serves
                    await asyncio.sleep(0.01)
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            assert await tier.end(2) == 0
        finally:
            for client in clients:
                client.cancel()
            tier.kill()
            fleet.node.stop()
        result = evaluate(fleet)
        assert not result.faults and not result.wrong and result.given >= 200
        assert (result.missing, result.uncertain, result.unknown) == (0, 0, 0)
        assert result.unseen <= result.clients  # requests cancelled while the answer was in transit

    run(test())
