"""Benchmark processes (node, daemon, application), their CPU time, and load from closed-loop clients."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"


def settings(sockets: int = 4096) -> dict[str, Any]:
    """Returns deployment settings without limits, so that the request path is measured and not rejections."""
    classes = [
        ("ledger-read", 1500.0, 4000.0, 2.0, "pure"),
        ("payment-book", 1000.0, 4000.0, 5.0, "token"),
        ("vat-filing", 750.0, 1500.0, 5.0, "side_effect"),
    ]
    return {
        "balancers": 1,
        "index": 0,
        "locality": 0,
        "quantum": 2.0,
        "zones": ["a"],
        "machine_types": ["m"],
        "categories": [
            {
                "name": n,
                "aim": a,
                "hard_limit": h,
                "points": p,
                "idempotency": i,
                "group": "all",
                "dedup_window": 3000.0,
                "late_worth": 0.0,
                "streaming": False,
            }
            for n, a, h, p, i in classes
        ],
        "plans": [
            {
                "name": "open",
                "per_second": 0.0,
                "peak_units": 0.0,
                "price": 1.0,
                "over_worth": 0.0,
                "excess_cost": 0.0,
            }
        ],
        "permissions": {
            "most_tries": 3,
            "dial_timeout": 250.0,
            "conn_idle": 30000.0,
            "retry_after": True,
            "cancel": True,
            "max_retry_after": 500.0,
            "parallel_tries": True,
            "probes": False,
        },
        "safety": {
            "start_capacity": 0.2,
            "cold": 15000.0,
            "fall_multiple": 2.0,
            "overload_for": 3000.0,
            "stop_sending_within": 500.0,
            "grace_to_answer": 8.0,
        },
        "extra": {"has_counter": False, "count_wait": 50.0, "units_top": 8, "cost_after": True},
        "clients": {"marks_retry": False},
        "telemetry": {"via": "off", "fields": []},
        "tiers": ["t"],
    }


def free_port() -> int:
    """Returns a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def config(listen: int, nodes: Sequence[int]) -> dict[str, Any]:
    """Returns the configuration of a daemon."""
    targets = [
        {
            "uid": f"s-{p}",
            "endpoint": f"127.0.0.1:{p}",
            "az": "a",
            "model": "m",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for p in nodes
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": "127.0.0.1:9",
        "seed": "07",
        "limits": {"sockets": 4096, "memory_mb": 192},
        "settings": settings(),
        "known": {"rev": 1, "all": True, "targets": targets},
    }


@contextmanager
def process(words: Sequence[str], port: int, cwd: Path = ROOT, **environment: str) -> Iterator[int]:
    """Runs a Python process that listens on a port; yields its id and terminates it on exit."""
    child = subprocess.Popen(
        [sys.executable, *words],
        cwd=cwd,
        env={**os.environ, "PYTHONPATH": str(cwd), **environment},
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    try:
        until = time.monotonic() + 20
        while True:
            try:
                socket.create_connection(("127.0.0.1", port), 0.2).close()
                break
            except OSError:
                if time.monotonic() > until or child.poll() is not None:
                    raise RuntimeError(f"{words} did not start") from None
                time.sleep(0.05)
        yield child.pid
    finally:
        child.terminate()
        try:
            child.wait(5)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()


@contextmanager
def daemon(nodes: Sequence[int], cwd: Path = ROOT, **environment: str) -> Iterator[tuple[int, int]]:
    """Runs the daemon of a checkout; yields its process id and port."""
    port = free_port()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config(port, nodes), file)
        file.flush()
        with process(["-m", "troutdock"], port, cwd, RELAY_CONFIG=file.name, **environment) as pid:
            yield pid, port


@contextmanager
def application(name: str, nodes: Sequence[int] = ()) -> Iterator[tuple[int, int]]:
    """Runs an application of benchmarks.apps under uvicorn; yields its process id and port."""
    port = free_port()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config(port, nodes), file)
        file.flush()
        words = [
            "-m",
            "uvicorn",
            "--factory",
            "--port",
            str(port),
            "--no-access-log",
            "--log-level",
            "error",
            "--loop",
            "uvloop",
            "--http",
            "httptools",
            f"benchmarks.apps:{name}",
        ]
        with process(words, port, RELAY_CONFIG=file.name) as pid:
            yield pid, port


@contextmanager
def node() -> Iterator[tuple[int, int]]:
    """Runs a node that answers every request at once; yields its process id and port."""
    port = free_port()
    with process(["-m", "benchmarks.node", str(port)], port) as pid:
        yield pid, port


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds of all threads of a process, with nanosecond resolution."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class _Client(asyncio.Protocol):
    """A closed-loop client for small responses: sends the next request when a response is complete."""

    def __init__(self, number: int, count: int, tally: dict[int, int], path: str) -> None:
        self._number, self._left, self._tally, self._path = number, count, tally, path
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._send_request()

    def _send_request(self) -> None:
        self._left -= 1
        id = self._number << 32 | self._left
        self._transport.write(
            b"GET /%b/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: %016x\r\nPlan: open\r\nAccount: %016x\r\n"
            b"Request-Timeout: 2.000\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
            % (self._path.encode(), id, self._number * 1000 + self._left % 50)
        )

    def data_received(self, data: bytes) -> None:
        self._pending += data
        head, end, rest = self._pending.partition(b"\r\n\r\n")
        if not end:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(rest) < length:
            return
        status = int(head[9:12])
        self._tally[status] = self._tally.get(status, 0) + 1
        self._pending = b""
        if self._left:
            self._send_request()
        else:
            self._transport.close()
            self.done.set_result(None)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self._tally[0] = self._tally.get(0, 0) + self._left
            self.done.set_result(None)


def load(port: int, requests: int, connections: int = 8, path: str = "ledger-read") -> dict[int, int]:
    """Sends requests over the connections; returns counts by status, with 0 for a broken connection."""
    tally: dict[int, int] = {}

    async def run() -> None:
        loop = asyncio.get_running_loop()
        clients = []
        for number in range(connections):
            _, client = await loop.create_connection(
                lambda n=number: _Client(n, requests // connections, tally, path), "127.0.0.1", port
            )  # type: ignore[misc]
            clients.append(client)
        await asyncio.gather(*(c.done for c in clients))

    asyncio.run(run())
    return tally
