"""All three programs in one event loop on loopback addresses, with scripted backends and clients."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from troutdock.settings.boot import parse_boot
from troutdock.proxy.daemon import Ingress
from troutdock.registry.daemon import Daemon
from troutdock.config_store.daemon import Store


def free_ports(count: int) -> int:
    """The first of so many ports in a row that are free on loopback just now."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = probe.getsockname()[1]
        if first + count < 65536:
            return first


async def until(found: Callable[[], Any], seconds: float = 20.0) -> Any:
    """What is found once it is true."""
    async with asyncio.timeout(seconds):
        while not (value := found()):
            await asyncio.sleep(0.005)
    return value


async def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b"", *headers: str
) -> tuple[int, dict, bytes]:
    """One request on a connection of its own: status, headers, body."""
    reader, writer = await asyncio.open_connection(*address)
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    raw = await reader.read()
    writer.close()
    head, _, rest = raw.partition(b"\r\n\r\n")
    first, *found = head.decode().split("\r\n")
    return int(first.split()[1]), {k.lower(): v for k, _, v in (line.partition(": ") for line in found)}, rest


class Backend:
    """Answers what it is told to; seen holds each request's headers."""

    def __init__(
        self, id: str, says: Callable[[dict[str, str]], tuple[int, dict[str, str], bytes] | None]
    ) -> None:
        self.id, self.says, self.seen = id, says, []  # type: ignore[var-annotated]
        self.address = ("", 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                first, *lines = head.decode().split("\r\n")[:-2]
                headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                headers[":first"], headers[":body"] = first, body.decode()
                self.seen.append(headers)
                answer: Any = self.says(headers)
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is None:
                    break
                status, more, text = answer
                more = {"Attempt-Id": headers.get("attempt-id", ""), "Content-Length": str(len(text)), **more}
                writer.write(
                    f"HTTP/1.1 {status} X\r\n".encode()
                    + b"".join(f"{k}: {v}\r\n".encode() for k, v in more.items())
                    + b"\r\n"
                    + text
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def good(_: dict[str, str]) -> tuple[int, dict[str, str], bytes]:
    return 200, {"Response-Signature": "s"}, b"whole"


CONFIGURATION = {
    "revision": "r5",
    "routes": {
        "columns": [
            "name",
            "hostname",
            "pathPrefix",
            "routeType",
            "timeoutS",
            "targetLatencyS",
            "maxAttempts",
            "public",
            "service",
        ],
        "rows": [
            ["read", "a.example", "/read/", "read_only", 5, 1, 2, False, "s"],
            ["write", "a.example", "/write/", "mutating", 5, 1, 2, False, "s"],
            ["open", "a.example", "/open/", "read_only", 5, 1, 2, True, "s"],
        ],
    },
    "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": [["s", "/health", 100]]},
    "tenants": {"columns": ["name", "apiKeys", "ratePerS", "burst"], "rows": [["t", ["key"], 0, 0]]},
}


class Whole:
    """Three core machines and two ingresses."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ports = folder, free_ports(8)
        net = f"127.{20 + os.getpid() % 200}"  # test processes beside this one have others
        self.core = [f"{net}.1.{n}" for n in (1, 2, 3)]
        self.edge = [f"{net}.2.{n}" for n in (1, 2)]
        self.stores: dict[str, Store] = {}
        self.registries: dict[str, Daemon] = {}
        self.ingresses: dict[str, Ingress] = {}
        self.life = 0

    def boot(self, ip: str, zone: str, first: bool, data: bool) -> Any:
        port = self.ports
        return parse_boot(
            {
                "nodeName": f"n-{ip}",
                "ipAddress": ip,
                "zone": zone,
                "internalPortRange": [port, port + 2],
                "bindAddresses": {
                    "http": f"{ip}:{port + 3}",
                    "readiness": f"{ip}:{port + 4}",
                    "controlPlane": f"{ip}:{port + 5}",
                },
                # ingresses are told one of the core only: the others they learn of
                "seedNodes": [f"{c}:{port + 5}" for c in (self.core if data else self.core[:1])],
                "bootstrap": first,
                "heartbeatS": 0.5,
                "dataDirectory": str(self.folder / ip) if data else None,
            }
        )

    def control(self, ip: str) -> tuple[str, int]:
        return ip, self.ports + 5

    def http(self, ip: str) -> tuple[str, int]:
        return ip, self.ports + 3

    async def start_store(self, ip: str, first: bool = False, seeds: tuple[str, ...] | None = None) -> None:
        self.life += 1
        boot = self.boot(ip, ip, first, True)
        if seeds is not None:
            boot = replace(boot, seeds=tuple((host, self.ports + 5) for host in seeds))
        self.stores[ip] = Store(boot, self.life)
        await self.stores[ip].start((ip, self.ports + 1))

    async def start_registry(self, ip: str, first: bool = False) -> None:
        self.life += 1
        self.registries[ip] = Daemon(self.boot(ip, ip, first, True), self.life)
        await self.registries[ip].start(self.control(ip), (ip, self.ports))

    async def start_ingress(self, ip: str, first: bool = False) -> Ingress:
        self.life += 1
        boot = self.boot(ip, "z", first, False)
        await until(lambda: self._free(ip))
        self.ingresses[ip] = ingress = Ingress(boot, "nowhere", self.life)
        await ingress.start(boot.listen["http"], boot.listen["readiness"], (ip, self.ports))
        return ingress

    def _free(self, ip: str) -> bool:
        """What stood at its ports before has let them go."""
        for port in (self.ports, self.ports + 3, self.ports + 4):
            try:
                socket.create_server((ip, port)).close()
            except OSError:
                return False
        return True

    async def start(self) -> None:
        for ip in self.core:
            await self.start_store(ip, True)
            await self.start_registry(ip, True)
        for ip in self.edge:
            await self.start_ingress(ip, True)

    async def put(self, configuration: dict = CONFIGURATION, ip: str = "") -> int:
        """Sent again as an operator does, until there is a clear answer."""
        async with asyncio.timeout(20):
            while True:
                status, _, _ = await call(
                    self.control(ip or self.core[1]),
                    "POST",
                    "/configuration/replace",
                    json.dumps(configuration).encode(),
                )
                if status < 500:
                    return status
                await asyncio.sleep(0.02)

    async def beat(self, backend: Backend, state: str = "available", count: int = 1, ip: str = "") -> int:
        body = {
            "service": "s",
            "address": "{}:{}".format(*backend.address),
            "zone": "z",
            "capacity": 2,
            "state": state,
            "warmupLeftS": 0,
            "callCount": count,
        }
        return (
            await call(
                self.control(ip or self.core[0]),
                "POST",
                f"/instances/{backend.id}/heartbeat",
                json.dumps(body).encode(),
            )
        )[0]

    async def ready(self) -> None:
        await until(lambda: all(i.ready for i in self.ingresses.values()))

    async def close(self) -> None:
        for ingress in self.ingresses.values():
            ingress.server.begin_handover()
            if hasattr(ingress.server, "_listener"):  # else it never opened
                ingress.server._listener.close()
            ingress.engine.close()
            ingress.feed.close()
            ingress.mesh.close()
            ingress._readiness.close()
        for part in (*self.registries.values(), *self.stores.values()):
            part.close()
