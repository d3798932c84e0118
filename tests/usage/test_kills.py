"""Real ingresses killed under load; what is exported is compared with the true answers, customer by customer."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random

import pytest
from kills import Fleet, judged, play
from loopback import run
from upgrade import Upgrade

from troutdock.usage.ledger import SEQUENCE_RESERVE


@pytest.mark.parametrize("promise", ["sync", "bounded"])
def test_killed_ingresses_lose_and_double_nothing_beyond_what_is_stated(tmp_path: Path, promise: str) -> None:
    kills = 5
    result = asyncio.run(asyncio.wait_for(play(tmp_path, promise, kills, Random(7)), 60))
    assert not result.faults and result.given > 100
    assert not result.wrong  # each customer's exported units are those that its node told
    if promise == "sync":
        assert not result.missing  # every answer that a client has
        assert result.unknown == 0
    else:
        assert result.missing <= result.unknown <= kills * SEQUENCE_RESERVE
    assert (
        result.unseen <= result.uncertain + kills * result.clients
    )  # exported, and the client has no answer


@pytest.mark.parametrize("promise", ["sync", "bounded"])
def test_an_upgrade_while_records_are_in_a_commit_loses_and_doubles_nothing(
    tmp_path: Path, promise: str
) -> None:
    """And leaves nothing uncertain, as both processes end in order."""

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
                assert await tier.end(number - 1) == 0  # while clients go on asking
                given = len(fleet.given)
                while len(fleet.given) < given + 50:  # the newer one serves
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
        result = judged(fleet)
        assert not result.faults and not result.wrong and result.given >= 200
        assert (result.missing, result.uncertain, result.unknown) == (0, 0, 0)
        assert result.unseen <= result.clients  # those that were cancelled with an answer on its way

    run(test())
