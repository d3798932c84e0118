"""Hand-over over loopback: connections continue in another process; peers die or send invalid messages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import Client, Peer, answer, request, run, until, world
from upgrade import Upgrade


from troutdock.handover.link import SOCKET_NAME
from troutdock.handover.protocol import PredecessorStatus
from troutdock.handover.roles import TransferredConnection


class Held:
    """A script that answers some requests only once they are released."""

    def __init__(self, which: Callable[[bytes], bool] = lambda data: True) -> None:
        self.release, self._which = asyncio.Event(), which

    async def __call__(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self._which(data):
            await self.release.wait()
        await answer()(peer, data, writer)


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
                    status, head, _ = await client.ask(
                        request("ledger-read", 1000 * successor + n, Account=f"{n + 1:016x}")
                    )
                    assert status == 200 and b"connection: close" not in head.lower()
            for client in [*clients, silent]:
                client.writer.close()

    run(test())


def test_a_request_under_way_is_answered_by_the_older_one_and_the_next_by_the_newer(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held(lambda data: b"%016x" % 1 in data)
        async with upgrade(tmp_path, held) as tier:
            await tier.start()
            await tier.start()  # before the request, whose time would run while a slow machine starts it
            client = Client(*await asyncio.open_connection(*tier.address))
            client.writer.write(request("ledger-read"))
            await until(lambda: len(tier.node.requests) == 1)
            assert tier.holds_connection(0, client.writer.get_extra_info("sockname")[1])
            ending = asyncio.create_task(tier.end(0))
            await asyncio.sleep(0.2)
            assert not ending.done()
            held.release.set()
            assert (await client.answer())[0] == 200
            assert await ending == 0
            assert (await client.ask(request("ledger-read", 2)))[0] == 200
            assert len(tier.node.requests) == 2
            client.writer.close()

    run(test())


def chunked(whole: bytes) -> bytes:
    head, _, body = whole.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b"%x" % len(body), body, b"0", b"", b""])


def posted(number: int, body: str) -> bytes:
    return request("vat-filing", number, body=body)


# bytes a client has sent when the predecessor is told to end, and the rest
BEGUN = {
    "within the first line": (posted(1, "ab")[:9], posted(1, "ab")[9:], [b"ab"]),
    "within the head": (posted(1, "ab")[:60], posted(1, "ab")[60:], [b"ab"]),
    "head without body": (posted(1, "ab")[:-2], b"ab", [b"ab"]),
    "within a body": (
        posted(1, "x" * 999 + "y")[:-500],
        posted(1, "x" * 999 + "y")[-500:],
        [b"x" * 999 + b"y"],
    ),
    "within a long body": (posted(1, "x" * 300_000)[:-9], b"x" * 9, [b"x" * 300_000]),
    "within a chunk": (
        chunked(posted(1, "x" * 1000))[:-300],
        chunked(posted(1, "x" * 1000))[-300:],
        [b"x" * 1000],
    ),
    "behind another": (posted(1, "a") + posted(2, "b")[:70], posted(2, "b")[70:], [b"a", b"b"]),
    "behind another, in its body": (
        posted(1, "a") + posted(2, "b" * 99)[:-5],
        b"b" * 5 + posted(3, "c"),
        [b"a", b"b" * 99, b"c"],
    ),
}


@pytest.mark.parametrize("case", BEGUN)
def test_a_message_that_has_begun_goes_on_at_the_newer_one(tmp_path: Path, case: str) -> None:
    begun, rest, bodies = BEGUN[case]

    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            await tier.start()  # before the message, whose time would run while a slow machine starts it
            client = Client(*await asyncio.open_connection(*tier.address))
            client.writer.write(begun)
            await asyncio.sleep(0.1)
            assert tier.holds_connection(0, client.writer.get_extra_info("sockname")[1])
            ending = asyncio.create_task(tier.end(0))
            await asyncio.sleep(0.1)
            client.writer.write(rest)
            for _ in bodies:
                assert (await client.answer())[0] == 200
            assert await ending == 0
            assert (await client.ask(posted(9, "last")))[0] == 200
            assert sorted(data.partition(b"\r\n\r\n")[2] for data in tier.node.requests) == sorted(
                [*bodies, b"last"]
            )
            client.writer.close()

    run(test())


def test_a_ceiling_is_not_filled_twice_by_two_processes(tmp_path: Path) -> None:
    """Burst of eight units, then one a second; four independent processes would admit four times that."""

    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            served, began = 0, time.monotonic()
            for generation in range(4):
                await tier.start()
                if generation:
                    assert await tier.end(generation - 1) == 0
                client = Client(*await asyncio.open_connection(*tier.address))
                for n in range(8):
                    status = (
                        await client.ask(
                            request(
                                "ledger-read",
                                100 * generation + n,
                                Plan="basis",
                                Quota_Info="units=2,spread=1,first=0",
                            )
                        )
                    )[0]
                    assert status in (200, 429)
                    served += status == 200
                client.writer.close()
            assert (
                2 * served <= 8 + (time.monotonic() - began) * 1.0 + 2
            )  # the last one is admitted by its estimate

    run(test())


def test_successors_that_die_before_the_older_one_is_told_to_end_cost_nothing(tmp_path: Path) -> None:
    """Three successors are killed by SIGKILL after they were ready; the fourth survives."""

    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            clients = [Client(*await asyncio.open_connection(*tier.address)) for _ in range(20)]
            number = 0

            async def all_ask() -> None:
                nonlocal number
                for client in clients:
                    number += 1
                    assert (await client.ask(request("ledger-read", number, Account=f"{number % 20:016x}")))[
                        0
                    ] == 200

            for _ in range(3):
                await all_ask()
                child = tier.children[await tier.start()][0]
                await all_ask()
                child.kill()
                child.wait(20)
            await all_ask()
            await tier.start()
            assert await tier.end(0) == 0
            await all_ask()
            assert len(tier.node.requests) == number
            for client in clients:
                client.writer.close()

    run(test())


def test_out_of_service_outlives_an_upgrade_and_either_door_may_say_so(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            await tier.start()
            assert (
                await tier.call(1, "POST", "out-of-service") == 200
            )  # at the management address of the standby process
            assert await healthy(tier, False)
            assert await tier.call(1, "GET", "ready") == 200  # still standing by
            assert await tier.end(0) == 0
            assert await healthy(tier, False) and await tier.call(1, "GET", "ready") == 503
            await tier.start()
            assert await tier.end(1) == 0
            assert await healthy(tier, False)
            assert await tier.call(2, "POST", "in-service") == 200
            assert await healthy(tier, True)

    run(test())


def test_of_two_successors_the_later_one_takes_over_and_the_first_is_not_ready(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            for _ in range(3):
                await tier.start()
            assert [await tier.call(n, "GET", "ready") for n in range(3)] == [200, 503, 200]
            assert await tier.end(1) == 0
            assert await healthy(tier, True)
            assert await tier.end(0) == 0
            assert await healthy(tier, True) and await tier.call(2, "GET", "ready") == 200

    run(test())


def test_a_successor_that_is_started_while_the_older_one_ends_takes_over_all_the_same(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with upgrade(tmp_path, held) as tier:
            await tier.start()
            client = Client(*await asyncio.open_connection(*tier.address))
            client.writer.write(request("ledger-read"))
            await until(lambda: len(tier.node.requests) == 1)
            ending = asyncio.create_task(tier.end(0))
            await asyncio.sleep(0.1)
            await tier.start()
            held.release.set()
            assert (await client.answer())[0] == 200 and await ending == 0
            assert (await client.ask(request("ledger-read", 2)))[0] == 200
            client.writer.close()

    run(test())


def test_a_budget_for_bodies_is_one_for_both_processes(tmp_path: Path) -> None:
    """A budget of 2 MiB: while the predecessor holds a body of 1.5 MiB, the successor has 0.5 MiB left."""

    async def test() -> None:
        held = Held(lambda data: len(data) > 1_000_000)
        async with upgrade(tmp_path, held) as tier:
            tier.extra["limits"] = {"sockets": 256, "memory_mb": 32}
            await tier.start()
            first, second = [Client(*await asyncio.open_connection(*tier.address)) for _ in range(2)]
            first.writer.write(posted(1, "x" * 1_500_000))
            await until(lambda: len(tier.node.requests) == 1)
            await tier.start()
            ending = asyncio.create_task(tier.end(0))
            await until(lambda: "took over" in (tmp_path / "1.log").read_text())
            assert (await second.ask(posted(2, "y" * 400_000)))[0] != 503
            assert (await second.ask(posted(3, "y" * 800_000)))[0] == 503
            second.writer.close()
            held.release.set()
            assert (await first.answer())[0] == 200 and await ending == 0
            assert (await first.ask(posted(4, "x" * 900_000)))[0] == 200
            first.writer.close()

    run(test())


# a build of the next version: supports one more protocol version, and its state has more customer fields
NEWER = """
from troutdock.admission import snapshot
from troutdock.handover import protocol, roles
take = snapshot.take
def more(gateway):
    state = take(gateway)
    state["version"], state["weather"] = 3, "fine"
    state["customers"]["fields"].append("mood")
    for row in state["customers"]["rows"]:
        row.append("good")
    return state
snapshot.take = more
roles.Successor.connected = lambda self: [roles.Send(self.link, protocol.Hello(3, 2, self.program))]
"""


def test_an_older_and_a_newer_program_take_over_from_each_other(tmp_path: Path) -> None:
    """Upgrade and downgrade: connections and used quota carry over; both logs name the unknown parts."""

    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            client = Client(*await asyncio.open_connection(*tier.address))

            async def let_in(first: int) -> int:
                asks = [
                    request("ledger-read", first + n, Plan="basis", Quota_Info="units=4,spread=1,first=0")
                    for n in range(6)
                ]
                return [(await client.ask(ask))[0] for ask in asks].count(200)

            assert 1 <= await let_in(1) <= 3  # 8 units and one a second
            for number, prelude in ((1, NEWER), (2, "")):
                await tier.start(prelude)
                assert await tier.end(number - 1) == 0
                assert await let_in(100 * number) <= 1
            newer, back = [(tmp_path / f"{n}.log").read_text() for n in (1, 2)]
            assert (
                "unknown or missing parts of the state" not in newer
                and "took over" in newer
                and "took over" in back
            )
            assert "unknown or missing parts of the state: weather, customers.mood" in back
            assert "the successor ignored unknown parts of the state: weather, customers.mood" in newer
            client.writer.close()

    run(test())


def test_both_told_to_end_at_once_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            await tier.start()
            client = Client(*await asyncio.open_connection(*tier.address))
            assert (await client.ask(request("ledger-read")))[0] == 200
            assert await asyncio.gather(tier.end(0), tier.end(1)) == [0, 0]
            client.writer.close()

    run(test())


def test_settings_that_change_while_a_successor_stands_by_hold_after_it(tmp_path: Path) -> None:
    """SIGHUP a hundred times a second at both processes; the successor's configuration is in force at the end."""

    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            await tier.start()
            for number in (0, 1):
                file = tmp_path / f"{number}.json"
                config = json.loads(file.read_text())
                config["settings"]["categories"].append(
                    {**config["settings"]["categories"][0], "name": "ledger-list"}
                )
                file.write_text(json.dumps(config))
            client = Client(*await asyncio.open_connection(*tier.address))
            for turn in range(100):
                for number in (0, 1):
                    tier.children[number][0].send_signal(signal.SIGHUP)
                if turn % 10 == 0:
                    assert (await client.ask(request("ledger-read", turn + 1)))[0] == 200
                await asyncio.sleep(0.005)
            assert (await client.ask(request("ledger-read", 500, path="/ledger-list/7")))[0] == 200
            assert await tier.end(0) == 0
            assert (await client.ask(request("ledger-read", 501, path="/ledger-list/7")))[0] == 200
            client.writer.close()

    run(test())


async def healthy(tier: Upgrade, expected: bool) -> bool:
    """The status of the health check on the clients' address."""
    client = Client(*await asyncio.open_connection(*tier.address))
    status = (await client.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0]
    client.writer.close()
    return (status == 200) == expected


def test_a_predecessor_that_was_killed_is_no_hindrance(tmp_path: Path) -> None:
    async def test() -> None:
        async with upgrade(tmp_path) as tier:
            await tier.start()
            tier.children[0][0].kill()
            tier.children[0][0].wait(20)
            assert (tmp_path / SOCKET_NAME).exists()
            await tier.start()
            reader, writer = await asyncio.open_connection(*tier.address)
            assert (await Client(reader, writer).ask(request()))[0] == 200
            writer.close()

    run(test())


def test_what_a_predecessor_holds_of_the_budgets_is_free_once_it_is_gone_however_it_goes() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            for alone in (False, True):  # the predecessor ended normally; or died before
                assert w.service.import_state(b"no state", PredecessorStatus(bodies=7, streams=1))[0]
                w.service.become_owner(alone)
                assert (w.service._server.bodies.used, w.service._server.streams) == (
                    (0, 0) if alone else (7, 1)
                )
                if not alone:
                    w.service.predecessor_ended()
                assert (w.service._server.bodies.used, w.service._server.streams) == (0, 0)

    run(test())


class FakeSuccessor:
    """A successor link that collects the connections passed to it."""

    def __init__(self) -> None:
        self.items: list[TransferredConnection] = []

    def pass_connection(self, item: TransferredConnection) -> bool:
        self.items.append(item)
        return True


def test_what_was_left_to_a_successor_that_dies_is_answered_here_after_all() -> None:
    """Complete requests kept for the successor, complete ones on their way to it, and an incomplete one."""

    async def test() -> None:
        async with world(*[answer()] * 6) as w:
            server, heir = w.service._server, FakeSuccessor()
            waiting, passed, begun, pipelined, spoilt = [await w.client() for _ in range(5)]
            begun.writer.write(posted(3, "ab")[:-1])
            await until(lambda: any(c.in_message for c in server._clients))
            server.begin_handover()
            waiting.writer.write(posted(1, "a"))
            pipelined.writer.write(posted(4, "c") + posted(5, "d") + posted(6, "ef")[:-1])
            await until(lambda: sum(len(c._complete_requests) for c in server._clients) == 3)
            assert not [
                c for c in server._clients if c._complete_requests and c in server.waiting
            ]  # where it would be late one day
            spoilt.writer.write(
                posted(7, "g") + b"nonsense\r\n\r\n"
            )  # cannot be passed on: answered here, in order
            assert [(await spoilt.answer())[0] for _ in range(2)] == [200, 400]
            server.cancel_handover()
            assert (await waiting.answer())[0] == 200
            assert [(await pipelined.answer())[0] for _ in range(2)] == [200, 200]
            server.begin_handover()
            server.hand_over_to(heir)
            passed.writer.write(posted(2, "b" * 70_000))
            await until(lambda: len(heir.items) == 3)  # a pipelined request is passed on only when complete
            pipelined.writer.write(b"f")
            await until(lambda: len(heir.items) == 4 and len(server._clients) <= 1)
            assert server.bodies.used == 0
            server.cancel_handover(heir.items)
            begun.writer.write(b"b")
            assert [(await client.answer())[0] for client in (passed, begun, pipelined)] == [200, 200, 200]
            bodies = sorted(data.partition(b"\r\n\r\n")[2] for node in w.backends for data in node.requests)
            assert bodies == [b"a", b"ab", b"b" * 70_000, b"c", b"d", b"ef", b"g"]

    run(test())
