"""The handover over loopback: connections that go on in another process, and partners that die or talk nonsense."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from loopback import Client, Peer, answer, request, run, until
from upgrade import Upgrade

from troutdock.handover import channel
from troutdock.handover.channel import NAME, PIECE, Giver, Taker


@contextlib.asynccontextmanager
async def upgrade(where: Path, script: Any = None) -> Any:
    node = Peer(script or answer())
    await node.start()
    tier = Upgrade(node, where)
    try:
        yield tier
    finally:
        tier.kill()
        node.stop()


def test_a_connection_outlives_the_process_that_accepted_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            clients = [Client(*await asyncio.open_connection(*tier.address)) for _ in range(20)]
            silent = Client(*await asyncio.open_connection(*tier.address))
            for n, client in enumerate(clients):
                assert (await client.ask(request("ledger-read", n + 1, Account=f"{n + 1:016x}")))[0] == 200
            for successor in (1, 2, 3):
                await tier.start()
                assert await tier.end(successor - 1) == 0
                for n, client in enumerate([*clients, silent]):
                    status, head, _ = await client.ask(request("ledger-read", 1000 * successor + n, Account=f"{n + 1:016x}"))
                    assert status == 200 and b"connection: close" not in head.lower()
            for client in [*clients, silent]:
                client.writer.close()
    run(test())


def test_a_request_under_way_is_answered_by_the_older_one_and_the_next_by_the_newer(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def waits(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if b"%016x" % 1 in data:
                await release.wait()
            await answer()(peer, data, writer)

        async with upgrade(tmp_path, waits) as tier:
            await tier.start()
            client = Client(*await asyncio.open_connection(*tier.address))
            client.writer.write(request("ledger-read"))
            await until(lambda: len(tier.node.requests) == 1)
            await tier.start()
            ending = asyncio.create_task(tier.end(0))
            await asyncio.sleep(0.2)
            assert not ending.done()
            release.set()
            assert (await client.answer())[0] == 200
            assert await ending == 0
            assert (await client.ask(request("ledger-read", 2)))[0] == 200
            assert len(tier.node.requests) == 2
            client.writer.close()
    run(test())


def test_a_message_that_has_begun_is_finished_where_it_began(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            client = Client(*await asyncio.open_connection(*tier.address))
            whole = request(body="x" * 1000)
            client.writer.write(whole[:-500])
            await asyncio.sleep(0.1)
            await tier.start()
            ending = asyncio.create_task(tier.end(0))
            await asyncio.sleep(0.1)
            client.writer.write(whole[-500:])
            status, _, _ = await client.answer()
            assert status == 429  # whose quota it is belongs to the newer one: it may come back at once
            assert await ending == 0
            assert (await client.ask(request(number=2)))[0] == 200
            client.writer.close()
    run(test())


def test_a_ceiling_is_not_filled_twice_by_two_processes(tmp_path: Path) -> None:
    """Eight units at once and one a second later; four processes by themselves let in four times that."""
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            served, began = 0, time.monotonic()
            for generation in range(4):
                await tier.start()
                if generation:
                    assert await tier.end(generation - 1) == 0
                client = Client(*await asyncio.open_connection(*tier.address))
                for n in range(8):
                    status = (await client.ask(request("ledger-read", 100 * generation + n, Plan="basis",
                                                       Quota_Info="units=2,spread=1,first=0")))[0]
                    assert status in (200, 429)
                    served += status == 200
                client.writer.close()
            assert 2 * served <= 8 + (time.monotonic() - began) * 1.0 + 2  # the last one is let in by its guess
    run(test())


def test_a_successor_that_dies_leaves_the_older_one_in_service(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            await tier.start()
            child = tier.children[1][0]
            child.kill()
            child.wait(20)
            for n in range(5):
                reader, writer = await asyncio.open_connection(*tier.address)
                assert (await asyncio.wait_for(Client(reader, writer).ask(request(number=n + 1)), 5))[0] == 200
                writer.close()
            assert await tier.call(0, "GET", "ready") == 200
    run(test())


def test_a_predecessor_that_was_killed_is_no_hindrance(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            tier.children[0][0].kill()
            tier.children[0][0].wait(20)
            assert (tmp_path / NAME).exists()
            await tier.start()
            reader, writer = await asyncio.open_connection(*tier.address)
            assert (await Client(reader, writer).ask(request()))[0] == 200
            writer.close()
    run(test())


# ---- the channel by itself


class Pair:
    """Both ends in one process."""

    def __init__(self, where: Path, state: bytes) -> None:
        self.adopted: list[socket.socket] = []
        self.lost = self.taken = 0
        self.giver = Giver(str(where), lambda: state, self._taken, self._lost)
        self.taker = Taker(self.adopted.append)

    def _taken(self) -> None:
        self.taken += 1

    def _lost(self) -> None:
        self.lost += 1


@pytest.mark.parametrize("size", [0, 1, PIECE, 3 * PIECE + 7, 4_000_000])
def test_a_state_of_any_size_comes_whole_and_then_all_connections_in_their_order(tmp_path: Path, size: int) -> None:
    async def test() -> None:
        folder = tmp_path / ("x" * 100) / ("y" * 100)  # longer than such a socket's name may be
        folder.mkdir(parents=True)
        state = os.urandom(size)
        pair = Pair(folder, state)
        assert await pair.taker.take(str(folder)) == state
        ends = [socket.socketpair() for _ in range(300)]
        for _, given in ends:
            assert pair.giver.give(given)
        pair.taker.follow()
        await until(lambda: len(pair.adopted) == 300)
        for (mine, _), got in zip(ends, pair.adopted, strict=True):
            mine.send(b"x")
            assert got.recv(1) == b"x"
            mine.close()
            got.close()
        assert not pair.giver.giving and pair.taken == 1
        pair.taker.close()
        await until(lambda: pair.lost == 1)
        assert not pair.giver.give(ends[0][1])
        pair.giver.close()
    run(test())


def test_only_one_successor_is_served_and_nonsense_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        pair = Pair(tmp_path, b"state")
        nonsense = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        nonsense.connect(str(tmp_path / NAME))
        nonsense.send(b"give")
        nonsense.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(nonsense, 10) == b""
        assert await pair.taker.take(str(tmp_path)) == b"state"
        assert await Taker(lambda sock: None).take(str(tmp_path)) is None
        assert pair.giver.has_heir and pair.lost == 0
        pair.taker.close()
        pair.giver.close()
        nonsense.close()
    run(test())


def test_a_predecessor_that_says_nothing_is_waited_for_no_longer_than_told(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel, "TAKE_S", 0.05)

    async def test() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as mute:
            mute.bind(str(tmp_path / NAME))
            mute.listen()
            assert await Taker(lambda sock: None).take(str(tmp_path)) is None
    run(test())


def test_without_a_predecessor_nothing_is_taken(tmp_path: Path) -> None:
    async def test() -> None:
        assert await Taker(lambda sock: None).take(str(tmp_path)) is None
    run(test())


def test_a_state_that_breaks_off_is_none(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
            listener.bind(str(tmp_path / NAME))
            listener.listen()
            taking = asyncio.create_task(Taker(lambda sock: None).take(str(tmp_path)))
            await asyncio.sleep(0.01)
            partner = listener.accept()[0]
            partner.send(b"Shalf")
            partner.close()
            assert await taking is None
    run(test())
