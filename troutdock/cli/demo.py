"""troutdock demo: stand-in servers, an ingress and some clients on loopback, and what becomes of it all."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import typer

WORK_S = 0.02  # of a server for one request
KINDS = ("served", "refused", "failed")
MOST_AT_ONCE = 8  # that a server works on; what comes beyond waits

FILE = """\
version: 1
name: demo
listen: {listen}
classes:
  ledger-read: {{effect: safe, aim_ms: 500, deadline_ms: 2000}}
  payment: {{effect: keyed, aim_ms: 500, deadline_ms: 2000, window_ms: 5000}}
plans:
  basis: {{rate: 20, burst: 20}}
  plus: {{rate: 200, burst: 200}}
pools:
  ledger: {{servers: [{servers}]}}
customers: {{default_plan: basis}}
routes:
  - {{name: pay, match: {{prefix: /payments, methods: [POST]}}, class: payment, to: ledger}}
  - {{name: read, match: {{prefix: /}}, class: ledger-read, to: ledger}}
"""


@dataclass
class Customer:
    """A client: so many requests a second, of a plan. told: answers by kind."""

    name: str
    plan: str
    per_s: float
    pays: bool = False
    told: Counter[str] = field(default_factory=Counter)
    times: list[float] = field(default_factory=list)

    def summary(self) -> dict[str, Any]:
        """What became of its requests."""
        median = round(sorted(self.times)[len(self.times) // 2], 1) if self.times else None
        told = {kind: self.told[kind] for kind in KINDS}
        return {"plan": self.plan, "asked_per_s": self.per_s, **told, "median_ms": median}


class Node:
    """A stand-in server: each request takes its time, so many at once."""

    def __init__(self, name: str) -> None:
        self.name, self.served, self.killed = name, 0, False
        self._places = asyncio.Semaphore(MOST_AT_ONCE)
        self._writers: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                at = head.find(b"content-length: ")
                if at >= 0:
                    await reader.readexactly(int(head[at + 16 :].split(b"\r\n", 1)[0]))
                async with self._places:
                    await asyncio.sleep(WORK_S)
                self.served += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    def kill(self) -> None:
        """As a process that dies: its connections are reset, and nobody listens."""
        self.killed = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _ask(address: tuple[str, int], customer: Customer, number: int) -> None:
    began = time.monotonic()
    method, path = ("POST", "/payments/7") if customer.pays else ("GET", "/accounts/7")
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: demo",
        f"Account: {customer.name}",
        f"Plan: {customer.plan}",
        "Request-Timeout: 2.0",
        "Connection: close",
        "Content-Length: 0",
    ]
    if customer.pays:
        head.append(f"Idempotency-Key: {customer.name}-{number}")
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write("\r\n".join([*head, "", ""]).encode())
        status = int((await reader.readline()).split()[1])
        writer.close()
    except (OSError, IndexError):
        status = 0
    customer.told["served" if status == 200 else "refused" if status == 429 else "failed"] += 1
    if status == 200:
        customer.times.append((time.monotonic() - began) * 1000)


async def _client(address: tuple[str, int], customer: Customer, until: float, random: Random) -> None:
    """Open loop: it asks on whether answers come or not."""
    asked: dict[asyncio.Task[None], None] = {}
    number = 0
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(customer.per_s))
        number += 1
        task = asyncio.create_task(_ask(address, customer, number))
        asked[task] = None
        task.add_done_callback(lambda done: asked.pop(done, None))
    await asyncio.gather(*asked)


async def play(seconds: float, show: Any) -> dict[str, Any]:
    """All of it; show is given customers, nodes and the seconds gone by, four times a second."""
    from troutdock.daemon import Service, serve
    from troutdock.operator.compiled import Compiled, read_deployment
    from troutdock.routing_service.service import RoutingFrontend

    nodes = [Node(f"server {n}") for n in (1, 2, 3)]
    for node in nodes:
        await node.start()
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    servers = ", ".join(f'"127.0.0.1:{node.port}"' for node in nodes)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "demo.yaml"
        file.write_text(FILE.format(listen=f"127.0.0.1:{port}", servers=servers))
        found = read_deployment(file)
    assert isinstance(found, Compiled), found
    stop, serving = asyncio.Event(), asyncio.get_running_loop().create_future()
    daemon = asyncio.create_task(
        serve(
            found.config,
            stop,
            serving.set_result,
            components=[RoutingFrontend(found.terms, found.config.sockets)],
        )
    )
    await asyncio.wait({daemon, serving}, return_when=asyncio.FIRST_COMPLETED)
    service: Service = await serving
    customers = [
        Customer("calm", "plus", 40),
        Customer("pays", "plus", 30, True),
        Customer("greedy", "basis", 60),
    ]
    began = time.monotonic()
    until = began + seconds
    clients = [
        asyncio.create_task(_client(service.address, c, until, Random(n))) for n, c in enumerate(customers)
    ]
    while (now := time.monotonic()) < until:
        if now - began > seconds / 2 and not nodes[0].killed:
            nodes[0].kill()
        show(customers, nodes, now - began)
        await asyncio.sleep(0.25)
    await asyncio.gather(*clients)
    stop.set()
    await daemon
    show(customers, nodes, seconds)
    return {
        "customers": {c.name: c.summary() for c in customers},
        "servers": {n.name: {"requests": n.served, "killed": n.killed} for n in nodes},
        "attempts": sum(n.served for n in nodes),
        "taken": service.engine.tally.taken,
    }


def _table(customers: list[Customer], nodes: list[Node], gone_s: float) -> Any:
    from rich.table import Table

    table = Table(title=f"troutdock demo, second {gone_s:.0f}")
    for column in ("", "plan", "asks a second", "served", "refused", "failed"):
        table.add_column(column, justify="left" if not column or column == "plan" else "right")
    for c in customers:
        table.add_row(c.name, c.plan, f"{c.per_s:g}", *(str(c.told[kind]) for kind in KINDS))
    table.add_section()
    for n in nodes:
        table.add_row(n.name, "killed" if n.killed else "", "", str(n.served), "", "")
    return table


def demo(
    seconds: float = typer.Option(10.0, min=1.0, max=25.0, help="How long the clients ask."),
    as_json: bool = typer.Option(False, "--json", help="The summary as JSON, and no table."),
) -> None:
    """Three servers, an ingress and three customers on loopback; one server is killed half way."""
    log = logging.getLogger("troutdock")
    before = log.level
    log.setLevel(logging.CRITICAL)  # what it would say of the killed server is in the table
    try:
        if as_json:
            typer.echo(json.dumps(asyncio.run(play(seconds, lambda *now: None))))
            return
        from rich.live import Live

        with Live(refresh_per_second=8) as live:
            summary = asyncio.run(play(seconds, lambda *now: live.update(_table(*now))))
    finally:
        log.setLevel(before)
    told = summary["customers"]
    failed = sum(c["failed"] for c in told.values())
    greedy = told["greedy"]
    others = told["calm"]["refused"] + told["pays"]["refused"]
    typer.echo(
        f"`greedy` asked for three times its quota: {greedy['served']} served, {greedy['refused']} "
        f"refused at once. `calm` and `pays` were within theirs: {others} refused. "
        f"One of three servers was killed; {failed} requests failed."
    )
