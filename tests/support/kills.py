"""Ingresses with a ledger that are killed at random moments under load, and what is known of their answers.

Each request has a customer of its own, so exported units can be compared one by one with what nodes billed.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from loopback import SETTINGS, Client, Peer, free_address, request, target

from troutdock.usage import columns
from troutdock.usage.exporter import Exporter
from troutdock.usage.files import Files
from troutdock.usage.record import State
from troutdock.usage.sqlite import SqliteStore
from troutdock.usage.verify import verify

ROOT = Path(__file__).parent.parent.parent


@dataclass
class Result:
    """Numbers of answers. given: that clients have. uncertain, unknown: as exported. faults: of verify.

    missing: that clients have, and no export. unseen: exported and without an answer. wrong: other units.
    """

    clients: int
    given: int = 0
    uncertain: int = 0
    unknown: int = 0
    missing: int = 0
    unseen: int = 0
    wrong: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class Fleet:
    """One node that tells units of its own for each request, one ingress, and clients that go on asking."""

    def __init__(self, folder: Path, promise: str, clients: int) -> None:
        self.folder, self.clients = folder, clients
        self.billed: dict[int, float] = {}  # by customer, as the node told
        self.given: set[int] = set()  # customers whose answer a client has
        self.asked = 0
        self.node = Peer(self._bill)
        self.address = free_address()
        self.child: subprocess.Popen[bytes] | None = None
        self.operator = folder / "operator.yaml"
        self.operator.write_text(
            json.dumps(
                {
                    "usage": {
                        "promise": promise,
                        "folder": str(folder / "usage"),
                        "exports": {"every_s": 0.3, "rows": 200},
                    }
                }
            )
        )

    async def _bill(self, peer: Peer, asked: bytes, writer: asyncio.StreamWriter) -> None:
        account = re.search(rb"account: ([0-9a-f]{16})", asked, re.I)
        assert account is not None
        customer = int(account[1], 16)
        self.billed[customer] = units = 1 + customer % 7
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBilled-Units: %d\r\n\r\ndone" % units)

    def start(self) -> None:
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": "127.0.0.1:9",
            "seed": "07",
            "limits": {"sockets": 256},
            "settings": SETTINGS,
            "known": {"rev": 5, "all": True, "targets": [target(self.node, "s-0")]},
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(config))
        env = {**os.environ, "RELAY_CONFIG": str(file), "TROUTDOCK_OPERATOR": str(self.operator)}
        with (self.folder / "log").open("a") as log:
            self.child = subprocess.Popen([sys.executable, "-m", "troutdock"], cwd=ROOT, env=env, stderr=log)

    async def client(self) -> None:
        """Asks, one request after the other, each for a customer of its own."""
        connection: Client | None = None
        while True:
            self.asked += 1
            customer = self.asked
            try:
                if connection is None:
                    connection = Client(*await asyncio.open_connection(*self.address))
                status, head, _ = await connection.ask(
                    request("ledger-read", customer, Account=f"{customer:016x}")
                )
                if status == 200:
                    self.given.add(customer)
                if b"connection: close" in head.lower():
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                connection = None
                await asyncio.sleep(0.01)

    async def up(self) -> None:
        """It answers."""
        before = len(self.given)
        for _ in range(2000):
            if len(self.given) > before:
                return
            assert self.child is not None and self.child.poll() is None, (self.folder / "log").read_text()[
                -500:
            ]
            await asyncio.sleep(0.005)
        raise AssertionError("never up")


async def play(folder: Path, promise: str, kills: int, random: Random, clients: int = 8) -> Result:
    """Kill an ingress so often, 20 to 300 ms after it has answered; end the last one in order, and compare."""
    f = Fleet(folder, promise, clients)
    await f.node.start()
    tasks = [asyncio.create_task(f.client()) for _ in range(clients)]
    try:
        for turn in range(kills + 1):
            f.start()
            assert f.child is not None
            await f.up()
            await asyncio.sleep(random.uniform(0.02, 0.3))
            f.child.send_signal(signal.SIGKILL if turn < kills else signal.SIGTERM)
            await asyncio.to_thread(f.child.wait, 20)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if f.child is not None and f.child.poll() is None:
            f.child.kill()
            f.child.wait(20)
        f.node.stop()
    return judged(f)


def judged(f: Fleet) -> Result:
    """The rest is exported, and all of it compared."""
    store, files = SqliteStore(f.folder / "usage"), Files(f.folder / "usage" / "exports")
    Exporter("n0", store, files).run(1.0)
    store.close()
    verdict = verify(files)
    rows = [
        r for name in files.names() if name.endswith(".parquet") for r in columns.read(files.read(name), name)
    ]
    exported = [r for r in rows if r.state in (State.GIVEN, State.UNCERTAIN)]
    by_customer = {r.use.customer: r.use.units for r in exported}
    result = Result(
        f.clients,
        len(f.given),
        sum(r.state is State.UNCERTAIN for r in rows),
        verdict.unknown,
        len(f.given - by_customer.keys()),
        len(by_customer.keys() - f.given),
        faults=verdict.faults,
    )
    result.wrong = [
        f"{c}: {u:g}, and {f.billed.get(c)} were told" for c, u in by_customer.items() if f.billed.get(c) != u
    ]
    if len(by_customer) != len(exported):
        result.wrong.append(f"{len(exported) - len(by_customer)} customers are exported twice")
    return result
