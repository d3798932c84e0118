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
    """Returns the first of `count` consecutive ports; that port is currently free on loopback."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = probe.getsockname()[1]
        if first + count < 65536:
            return first


async def until(condition: Callable[[], Any], seconds: float = 20.0) -> Any:
    """Returns the value of the condition once it is true."""
    async with asyncio.timeout(seconds):
        while not (value := condition()):
            await asyncio.sleep(0.005)
    return value


async def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b"", *headers: str
) -> tuple[int, dict, bytes]:
    """Sends one request on its own connection; returns status, headers and body."""
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
    first, *header_lines = head.decode().split("\r\n")
    return (
        int(first.split()[1]),
        {k.lower(): v for k, _, v in (line.partition(": ") for line in header_lines)},
        rest,
    )


class Backend:
    """A scripted backend. seen: the headers of each request; respond: returns the response, None closes."""

    def __init__(
        self, id: str, respond: Callable[[dict[str, str]], tuple[int, dict[str, str], bytes] | None]
    ) -> None:
        self.id, self.respond, self.seen = id, respond, []  # type: ignore[var-annotated]
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
                response: Any = self.respond(headers)
                if asyncio.iscoroutine(response):
                    response = await response
                if response is None:
                    break
                status, response_headers, text = response
                response_headers = {
                    "Attempt-Id": headers.get("attempt-id", ""),
                    "Content-Length": str(len(text)),
                    **response_headers,
                }
                writer.write(
                    f"HTTP/1.1 {status} X\r\n".encode()
                    + b"".join(f"{k}: {v}\r\n".encode() for k, v in response_headers.items())
                    + b"\r\n"
                    + text
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def success(_: dict[str, str]) -> tuple[int, dict[str, str], bytes]:
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


class LocalSystem:
    """Three core machines, each with a store and a registry, and two ingresses."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.first_port = folder, free_ports(8)
        network = f"127.{20 + os.getpid() % 200}"  # parallel test processes use other networks
        self.core_ips = [f"{network}.1.{n}" for n in (1, 2, 3)]
        self.ingress_ips = [f"{network}.2.{n}" for n in (1, 2)]
        self.stores: dict[str, Store] = {}
        self.registries: dict[str, Daemon] = {}
        self.ingresses: dict[str, Ingress] = {}
        self.incarnation = 0

    def make_boot(self, ip: str, zone: str, first: bool, data: bool) -> Any:
        port = self.first_port
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
                # ingresses have one seed only and learn of the other core machines
                "seedNodes": [f"{c}:{port + 5}" for c in (self.core_ips if data else self.core_ips[:1])],
                "bootstrap": first,
                "heartbeatS": 0.5,
                "dataDirectory": str(self.folder / ip) if data else None,
            }
        )

    def control_address(self, ip: str) -> tuple[str, int]:
        return ip, self.first_port + 5

    def http_address(self, ip: str) -> tuple[str, int]:
        return ip, self.first_port + 3

    async def start_store(self, ip: str, first: bool = False, seeds: tuple[str, ...] | None = None) -> None:
        self.incarnation += 1
        boot = self.make_boot(ip, ip, first, True)
        if seeds is not None:
            boot = replace(boot, seeds=tuple((host, self.first_port + 5) for host in seeds))
        self.stores[ip] = Store(boot, self.incarnation)
        await self.stores[ip].start((ip, self.first_port + 1))

    async def start_registry(self, ip: str, first: bool = False) -> None:
        self.incarnation += 1
        self.registries[ip] = Daemon(self.make_boot(ip, ip, first, True), self.incarnation)
        await self.registries[ip].start(self.control_address(ip), (ip, self.first_port))

    async def start_ingress(self, ip: str, first: bool = False) -> Ingress:
        self.incarnation += 1
        boot = self.make_boot(ip, "z", first, False)
        await until(lambda: self._ports_free(ip))
        self.ingresses[ip] = ingress = Ingress(boot, "nowhere", self.incarnation)
        await ingress.start(boot.listen["http"], boot.listen["readiness"], (ip, self.first_port))
        return ingress

    def _ports_free(self, ip: str) -> bool:
        """Whether a previous process has released the ports of this address."""
        for port in (self.first_port, self.first_port + 3, self.first_port + 4):
            try:
                socket.create_server((ip, port)).close()
            except OSError:
                return False
        return True

    async def start(self) -> None:
        for ip in self.core_ips:
            await self.start_store(ip, True)
            await self.start_registry(ip, True)
        for ip in self.ingress_ips:
            await self.start_ingress(ip, True)

    async def put_configuration(self, configuration: dict = CONFIGURATION, ip: str = "") -> int:
        """Sends a configuration, with retries until the status is below 500, as an operator would."""
        async with asyncio.timeout(20):
            while True:
                status, _, _ = await call(
                    self.control_address(ip or self.core_ips[1]),
                    "POST",
                    "/configuration/replace",
                    json.dumps(configuration).encode(),
                )
                if status < 500:
                    return status
                await asyncio.sleep(0.02)

    async def send_heartbeat(
        self, backend: Backend, state: str = "available", count: int = 1, ip: str = ""
    ) -> int:
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
                self.control_address(ip or self.core_ips[0]),
                "POST",
                f"/instances/{backend.id}/heartbeat",
                json.dumps(body).encode(),
            )
        )[0]

    async def wait_until_ready(self) -> None:
        await until(lambda: all(i.ready for i in self.ingresses.values()))

    async def close(self) -> None:
        for ingress in self.ingresses.values():
            ingress.server.begin_handover()
            if hasattr(ingress.server, "_listener"):  # otherwise it never listened
                ingress.server._listener.close()
            ingress.engine.close()
            ingress.registry_client.close()
            ingress.mesh.close()
            ingress._readiness.close()
        for part in (*self.registries.values(), *self.stores.values()):
            part.close()
