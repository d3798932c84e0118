"""Two processes with one inherited listening socket, as during an upgrade; invalid inherited sockets."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest
from loopback import Client, Peer, answer, request, run
from upgrade import Upgrade

from troutdock.platform.config import ConfigError
from troutdock.platform.inherited import inherited_socket, management_address


def test_clients_notice_nothing_of_an_upgrade(tmp_path: Path) -> None:
    async def test() -> None:
        node = Peer(answer())
        await node.start()
        tier = Upgrade(node, tmp_path)
        stop = asyncio.Event()
        served: list[int] = []

        async def client(number: int) -> None:
            """Keeps its connection until the ingress closes it; no request is sent twice."""
            count, reader, writer = 0, None, None
            while not stop.is_set():
                if writer is None:
                    reader, writer = await asyncio.open_connection(*tier.address)
                count += 1
                status, head, _ = await Client(reader, writer).ask(
                    request("ledger-read", number * 100_000 + count, Account=f"{number + 1:016x}")
                )
                assert status in (200, 429)
                served.append(status)
                if b"connection: close" in head.lower():
                    writer.close()
                    writer = None
                await asyncio.sleep(0.01)
            if writer is not None:
                writer.close()

        try:
            await tier.start()
            clients = [asyncio.create_task(client(n)) for n in range(6)]
            for successor in (1, 2):
                assert await tier.start() == successor
                assert await tier.end(successor - 1) == 0
            before = len(served)
            await asyncio.sleep(0.2)
            stop.set()
            await asyncio.gather(*clients)
            assert len(served) > before and served.count(200) > len(served) // 2
        finally:
            tier.kill()
            node.stop()

    run(test())


def test_connections_not_yet_accepted_go_to_the_successor(tmp_path: Path) -> None:
    async def test() -> None:
        node = Peer(answer())
        await node.start()
        tier = Upgrade(node, tmp_path)
        try:
            await tier.start()
            assert await tier.end(0) == 0
            reader, writer = await asyncio.open_connection(*tier.address)  # neither accepted nor reset
            writer.write(request())
            await tier.start()
            assert (await Client(reader, writer).answer())[0] == 200
            writer.close()
        finally:
            tier.kill()
            node.stop()

    run(test())


@pytest.mark.parametrize("text", ["x", "-1", "999999", ""])
def test_an_invalid_descriptor_is_an_error_that_names_it(text: str) -> None:
    if not text:
        assert inherited_socket({"RELAY_SOCKET_FD": text}) is None and inherited_socket({}) is None
        return
    with pytest.raises(ConfigError, match="RELAY_SOCKET_FD"):
        inherited_socket({"RELAY_SOCKET_FD": text})


def test_a_socket_that_does_not_listen_is_an_error_and_stays_open() -> None:
    with socket.socket() as sock:
        with pytest.raises(ConfigError, match="no listening socket"):
            inherited_socket({"RELAY_SOCKET_FD": str(sock.fileno())})
        os.fstat(sock.fileno())
    with pytest.raises(ConfigError, match="RELAY_MANAGEMENT"):
        management_address("nowhere")


def test_a_file_that_is_not_a_socket_is_an_error(tmp_path: Path) -> None:
    with (tmp_path / "file").open("w") as file, pytest.raises(ConfigError, match="is no socket"):
        inherited_socket({"RELAY_SOCKET_FD": str(file.fileno())})
