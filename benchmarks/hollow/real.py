"""Runs the real programs over loopback to check the simulation: three core machines and some ingresses.

This process sends the heartbeats of the backends and the operator's change over HTTP. Every machine is an
address of 127.0.0.0/8 with the same ports; the processes are terminated at the end of the run.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from benchmarks.hollow.model import HEARTBEAT_S, Size, configuration, size_of, zone_of
from benchmarks.processes import ROOT, cpu_s, free_port, memory_mb

CORE, NET = 3, 10 + os.getpid() % 200
SETTLE_S, CALM_S = 3.0, 6.0
MODULES = {
    "espalier": "troutdock.proxy",
    "hedgerow": "troutdock.registry",
    "rootstock": "troutdock.config_store",
}


class Machines:
    """The processes by role; close() terminates them."""

    def __init__(self, folder: Path, ingresses: int) -> None:
        self.folder, self.port = folder, free_port()
        self.core = [f"127.{NET}.1.{n + 1}" for n in range(CORE)]
        self.edge = [f"127.{NET}.{2 + n // 250}.{n % 250 + 1}" for n in range(ingresses)]
        self.children: dict[str, list[subprocess.Popen[bytes]]] = {
            "espalier": [],
            "hedgerow": [],
            "rootstock": [],
        }

    def start(self) -> None:
        for n, ip in enumerate(self.core):
            self._run("hedgerow", ip, n)
            self._run("rootstock", ip, n)
        for n, ip in enumerate(self.edge):
            self._run("espalier", ip, n)

    def _run(self, role: str, ip: str, number: int) -> None:
        port, core = self.port, role != "espalier"
        data = self.folder / f"{role}-{ip}"
        data.mkdir()
        boot: dict[str, Any] = {
            "nodeName": f"{role}-{ip}",
            "ipAddress": ip,
            "zone": zone_of(number),
            "bootstrap": True,
            "internalPortRange": [port, port + 2],
            "bindAddresses": {
                "http": f"{ip}:{port + 3}",
                "readiness": f"{ip}:{port + 4}",
                "controlPlane": f"{ip}:{port + 5}",
                "edge": f"{ip}:{port + 3}",
            },
            "seedNodes": [f"{c}:{port + 5}" for c in self.core],
            "heartbeatS": HEARTBEAT_S,
            "dataDirectory": str(data) if core else None,
        }
        path = self.folder / f"{role}-{ip}.yaml"
        path.write_bytes(msgspec.json.encode(boot))  # JSON is YAML
        self.children[role].append(
            subprocess.Popen(
                [sys.executable, "-m", MODULES[role]],
                cwd=ROOT,
                env={**os.environ, "TROUTDOCK_BOOT": str(path)},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )

    def cpu_s(self, role: str) -> list[float]:
        return [cpu_s(c.pid) for c in self.children[role]]

    def sockets(self, role: str) -> list[int]:
        found = []
        for child in self.children[role]:
            names = (os.readlink(f) for f in Path(f"/proc/{child.pid}/fd").iterdir())
            found.append(sum(name.startswith("socket:") for name in names))
        return found

    def close(self) -> None:
        children = [c for some in self.children.values() for c in some]
        for child in children:
            child.terminate()
        for child in children:
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


async def _call(ip: str, port: int, method: str, path: str, body: bytes = b"") -> int:
    """Returns the status of a response, or 0 if none arrives within ten seconds."""
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection(ip, port)
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            line = await reader.readline()
            writer.close()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0


async def _send_heartbeats(machines: Machines, size: Size, random: Random, missed: list[int]) -> None:
    """Sends the heartbeats of every backend, spread over the core, each on a new connection."""

    async def send_heartbeats(b: int) -> None:
        count = 0
        await asyncio.sleep(HEARTBEAT_S * random.random())
        while True:
            began, count = time.monotonic(), count + 1
            body = msgspec.json.encode(
                {
                    "service": f"service-{b % size.services}",
                    "address": f"10.2.{b // 250}.{b % 250}:8000",
                    "zone": zone_of(b),
                    "capacity": 2,
                    "state": "available",
                    "callCount": count,
                }
            )
            status = await _call(
                machines.core[b % CORE], machines.port + 5, "POST", f"/instances/i-{b:08x}/heartbeat", body
            )
            missed[0] += status != 200
            await asyncio.sleep(max(0.0, HEARTBEAT_S - (time.monotonic() - began)))

    await asyncio.gather(*(send_heartbeats(b) for b in range(size.backends)))


async def _until_ready(machines: Machines, max_s: float) -> float:
    """Returns the seconds until all ingresses are ready; inf after max_s."""
    began, left = time.monotonic(), set(machines.edge)
    while left and time.monotonic() - began < max_s:
        for ip in list(left):
            if time.monotonic() - began > max_s:
                break
            if await _call(ip, machines.port + 4, "GET", "/") == 200:
                left.discard(ip)
        await asyncio.sleep(0.02)
    return time.monotonic() - began if not left else float("inf")


async def _run(machines: Machines, size: Size, seed: int) -> dict[str, Any]:
    missed = [0]
    machines.start()
    await asyncio.sleep(SETTLE_S)
    beats = asyncio.create_task(_send_heartbeats(machines, size, Random(seed), missed))
    await asyncio.sleep(HEARTBEAT_S + 0.5)
    body, began = configuration(size, 1), time.monotonic()
    status = 0
    while status != 200 and time.monotonic() - began < 20:
        status = await _call(machines.core[0], machines.port + 5, "POST", "/configuration/replace", body)
    acked = time.monotonic() - began
    ready = acked + await _until_ready(machines, 30)
    await asyncio.sleep(SETTLE_S)
    missed[0] = 0
    at, before = time.monotonic(), {role: machines.cpu_s(role) for role in machines.children}
    await asyncio.sleep(CALM_S)
    spent = time.monotonic() - at
    found: dict[str, Any] = {
        "ingresses": size.ingresses,
        "backends": size.backends,
        "tenants": size.tenants,
        "status of the write": status,
        "write acknowledged s": acked,
        "all ready s": ready,
        "beats missed in calm": missed[0],
        "beats a second": size.backends / HEARTBEAT_S,
    }
    for role, children in machines.children.items():
        shares = [(a - b) / spent for a, b in zip(machines.cpu_s(role), before[role], strict=True)]
        sizes = [memory_mb(c.pid) for c in children]
        found[role] = {
            "processes": len(children),
            "core, mean": sum(shares) / len(shares),
            "core, most": max(shares),
            "MB, mean": sum(sizes) / len(sizes),
            "MB, most": max(sizes),
            "sockets, most": max(machines.sockets(role)),
        }
    beats.cancel()
    return found


def run(ingresses: int, seed: int) -> dict[str, Any]:
    """Measures real processes at one size, with backends, routes and tenants in proportion."""
    with tempfile.TemporaryDirectory() as folder:
        machines = Machines(Path(folder), ingresses)
        try:
            return asyncio.run(_run(machines, size_of(ingresses), seed))
        finally:
            machines.close()
