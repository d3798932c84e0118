"""Counts requests lost by an upgrade, with many connections, long responses and partly sent requests.

    python -m benchmarks.upgrade [--connections 2000] [--long 64] [--half 100] [--upgrades 3]
                                 [--way good|killed] [--cwd CHECKOUT]

The daemons share a listening socket, and each replaces the one before. Clients send about one request per
second on kept-alive connections. `killed`: each successor is ended by SIGKILL 0.2 s after it reports ready,
before the older one is told to terminate, and another is started. Prints the requests answered and lost, the
peak memory of both processes, and the longest wait for a response head.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.processes import ROOT, config, memory_mb

LONG = 4 * 1024 * 1024  # bytes of a long response: read in about 2.6 s, which a terminating process waits for
READ, READ_EVERY_S = 64 * 1024, 0.04


class Count:
    def __init__(self) -> None:
        self.answered = self.refused = self.lost = self.closed = self.long_done = self.long_cut = 0
        self.slowest_ms = 0.0


def message(number: int, path: str, body: int = 0) -> bytes:
    method = "POST" if body else "GET"
    length = f"Content-Length: {body}\r\n" if body else ""
    return (
        f"{method} /{path}/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: {number:016x}\r\nPlan: open\r\n"
        f"Account: {number % 500:016x}\r\nRequest-Timeout: 2.000\r\n"
        f"Quota-Info: units=1,spread=1,first=0\r\n{length}\r\n{'x' * body}"
    ).encode()


def length_of(head: bytes) -> int:
    return int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0")


async def connect(address: tuple[str, int], kind: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    sock = socket.socket()
    if kind == "long":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=READ)


async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while head := await reader.readuntil(b"\r\n\r\n"):
            await reader.readexactly(length_of(head))
            if head.startswith(b"GET /ledger-read/long"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + b"x" * LONG)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            await writer.drain()
    writer.close()


async def client(address: tuple[str, int], number: int, until: float, count: Count, kind: str) -> None:
    """Sends about one request a second on one connection; `half` sends in two parts, `long` reads slowly."""
    loop, dice = asyncio.get_running_loop(), random.Random(number)
    await asyncio.sleep(dice.random())
    reader, writer = await connect(address, kind)
    serial = 0
    while loop.time() < until:
        serial += 1
        number_now = number << 20 | serial
        began = loop.time()
        try:
            if kind == "half":
                data = message(number_now, "vat-filing", 2000)
                cut = dice.randrange(1, len(data))
                writer.write(data[:cut])
                await asyncio.sleep(dice.random() * 0.8)
                began = loop.time()
                writer.write(data[cut:])
            else:
                writer.write(message(number_now, "ledger-read/long" if kind == "long" else "ledger-read"))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
            count.slowest_ms = max(count.slowest_ms, 1000 * (loop.time() - began))
            status = int(head[9:12])
            left = length_of(head)
            while left:
                left -= len(await reader.readexactly(min(left, READ)))
                if left:
                    await asyncio.sleep(READ_EVERY_S)
            count.answered += status == 200
            count.refused += status != 200
            count.long_done += kind == "long"
        except (asyncio.IncompleteReadError, OSError, RuntimeError):  # a closed transport is a RuntimeError
            count.lost += 1
            count.long_cut += kind == "long"
            with contextlib.suppress(OSError):
                writer.close()
                reader, writer = await connect(address, kind)
            continue
        if b"connection: close" in head.lower():
            count.closed += 1
            writer.close()
            reader, writer = await connect(address, kind)
        await asyncio.sleep(0.5 + dice.random())
    writer.close()


class SocketProcesses:
    """The processes that share one listening socket."""

    def __init__(self, folder: Path, ports: list[int], cwd: Path) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self.folder, self.ports, self.cwd, self.made = folder, ports, cwd, 0

    async def start(self) -> subprocess.Popen[bytes]:
        self.made += 1
        with socket.create_server(("127.0.0.1", 0)) as free:
            door = free.getsockname()
        told = {**config(self.socket.getsockname()[1], self.ports), "management": "{}:{}".format(*door)}
        told["limits"] = {"sockets": 18000, "memory_mb": 192}
        told["settings"]["permissions"]["conn_idle"] = 30000.0
        file = self.folder / f"{self.made}.json"
        file.write_text(json.dumps(told))
        fd = self.socket.fileno()
        with (self.folder / f"{self.made}.log").open("w") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "troutdock"],
                cwd=self.cwd,
                pass_fds=(fd,),
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": str(self.cwd),
                    "RELAY_CONFIG": str(file),
                    "RELAY_SOCKET_FD": str(fd),
                    "TMPDIR": str(self.folder),
                },
            )
        for _ in range(500):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*door)
                writer.write(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return child
            await asyncio.sleep(0.02)
        raise RuntimeError("never ready")


async def measure(options: argparse.Namespace) -> None:
    nodes = [await asyncio.start_server(node, "127.0.0.1", 0) for _ in range(9)]
    count, before, most = Count(), 0.0, 0.0
    with tempfile.TemporaryDirectory() as name:
        row = SocketProcesses(Path(name), [n.sockets[0].getsockname()[1] for n in nodes], Path(options.cwd))
        older = await row.start()
        loop = asyncio.get_running_loop()
        until = loop.time() + 3 + 5 * options.upgrades
        kinds = ["long"] * options.long + ["half"] * options.half
        kinds += ["plain"] * (options.connections - len(kinds))
        clients = [
            asyncio.create_task(client(row.socket.getsockname(), n + 1, until, count, kind))
            for n, kind in enumerate(kinds)
        ]
        await asyncio.sleep(2.5)
        for _ in range(options.upgrades):
            newer = await row.start()
            if options.way == "killed":
                await asyncio.sleep(0.2)
                newer.kill()
                newer.wait()
                await asyncio.sleep(0.5)
                newer = await row.start()
            older.send_signal(signal.SIGTERM)
            began = time.monotonic()
            while older.poll() is None and time.monotonic() - began < 3.7:
                with contextlib.suppress(OSError, ValueError):
                    before = max(before, memory_mb(older.pid))
                    most = max(most, memory_mb(older.pid) + memory_mb(newer.pid))
                await asyncio.sleep(0.02)
            if older.poll() is None:
                older.kill()
            older.wait()
            print(f"the older one ended after {time.monotonic() - began:.2f} s")
            older = newer
            await asyncio.sleep(max(0.0, 4.0 - time.monotonic() + began))
        await asyncio.gather(*clients)
        older.terminate()
        older.wait(10)
        row.socket.close()
    print(
        f"{count.answered} answered, {count.refused} refused, {count.lost} lost, of them long ones cut "
        f"{count.long_cut} (whole {count.long_done}); {count.closed} told to close; one process "
        f"{before:.0f} MB, both {most:.0f} MB at most; longest wait {count.slowest_ms:.0f} ms"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--connections", type=int, default=2000)
    parser.add_argument("--long", type=int, default=64)
    parser.add_argument("--half", type=int, default=100)
    parser.add_argument("--upgrades", type=int, default=3)
    parser.add_argument("--way", choices=["good", "killed"], default="good")
    parser.add_argument("--cwd", default=str(ROOT), help="the checkout whose daemon is measured")
    resource.setrlimit(resource.RLIMIT_NOFILE, (20000, 20000))
    uvloop.run(measure(parser.parse_args()))
