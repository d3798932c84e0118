"""Kills ingresses with a ledger at random moments under load and compares exports with answers.

Each request has its own customer, so that exported units can be compared one by one with those billed by the
backend.
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
    """Numbers of answers.

    Attributes:
        given: received by clients.
        uncertain, unknown: as exported.
        missing: received by clients but not exported.
        unseen: exported but not received.
        wrong: differences in units.
        faults: reported by verify.
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
    """A backend that reports units for each request, one ingress, and clients that send requests continuously."""

    def __init__(self, folder: Path, promise: str, clients: int) -> None:
        self.folder, self.clients = folder, clients
        self.billed: dict[int, float] = {}  # units reported by the backend, by customer
        self.given: set[int] = set()  # customers whose answer a client received
        self.requests_sent = 0
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

    async def _bill(self, peer: Peer, received: bytes, writer: asyncio.StreamWriter) -> None:
        account = re.search(rb"account: ([0-9a-f]{16})", received, re.I)
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
        """Sends requests one after the other, each for a new customer."""
        connection: Client | None = None
        while True:
            self.requests_sent += 1
            customer = self.requests_sent
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

    async def wait_until_up(self) -> None:
        """Waits until the ingress answers."""
        before = len(self.given)
        for _ in range(2000):
            if len(self.given) > before:
                return
            assert self.child is not None and self.child.poll() is None, (self.folder / "log").read_text()[
                -500:
            ]
            await asyncio.sleep(0.005)
        raise AssertionError("never up")


async def run_kills(folder: Path, promise: str, kills: int, random: Random, clients: int = 8) -> Result:
    """Kills ingresses, each 20 to 300 ms after its first answer; shuts the last one down and compares."""
    fleet = Fleet(folder, promise, clients)
    await fleet.node.start()
    tasks = [asyncio.create_task(fleet.client()) for _ in range(clients)]
    try:
        for turn in range(kills + 1):
            fleet.start()
            assert fleet.child is not None
            await fleet.wait_until_up()
            await asyncio.sleep(random.uniform(0.02, 0.3))
            fleet.child.send_signal(signal.SIGKILL if turn < kills else signal.SIGTERM)
            await asyncio.to_thread(fleet.child.wait, 20)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if fleet.child is not None and fleet.child.poll() is None:
            fleet.child.kill()
            fleet.child.wait(20)
        fleet.node.stop()
    return evaluate(fleet)


def evaluate(fleet: Fleet) -> Result:
    """Exports the remaining records and compares all exports with the answers."""
    store, files = SqliteStore(fleet.folder / "usage"), Files(fleet.folder / "usage" / "exports")
    Exporter("n0", store, files).run(1.0)
    store.close()
    verdict = verify(files)
    rows = [
        r for name in files.names() if name.endswith(".parquet") for r in columns.read(files.read(name), name)
    ]
    exported = [r for r in rows if r.state in (State.GIVEN, State.UNCERTAIN)]
    by_customer = {r.use.customer: r.use.units for r in exported}
    result = Result(
        fleet.clients,
        len(fleet.given),
        sum(r.state is State.UNCERTAIN for r in rows),
        verdict.unknown,
        len(fleet.given - by_customer.keys()),
        len(by_customer.keys() - fleet.given),
        faults=verdict.faults,
    )
    result.wrong = [
        f"{c}: {u:g} exported, {fleet.billed.get(c)} billed"
        for c, u in by_customer.items()
        if fleet.billed.get(c) != u
    ]
    if len(by_customer) != len(exported):
        result.wrong.append(f"{len(exported) - len(by_customer)} customers are exported twice")
    return result
