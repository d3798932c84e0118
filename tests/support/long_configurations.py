"""Configurations of the largest accepted size, and one core machine in processes of its own."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any

from local_system import free_ports

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 296  # limits.memoryMb of a core machine
MAX_BYTES = (MEMORY_MB << 20) // 64  # docs/system.md: the longest configuration
TENANT_COUNT = 99_000  # the operators' plan in docs/CAPACITY.md


def long_configuration(version: int, tenants: int = TENANT_COUNT) -> bytes:
    """Returns a valid configuration with one route and this many tenants."""
    route = ["look", "a.example", "/look/", "read_only", 5, 2, 2, None, 2, False, "s"]
    route_columns = [
        "name",
        "hostname",
        "pathPrefix",
        "routeType",
        "timeoutS",
        "targetLatencyS",
        "priority",
        "trafficSplit",
        "maxAttempts",
        "public",
        "service",
    ]
    rows = [[f"t{n:08d}", [f"key-{n:016d}"], 1, 63, 63] for n in range(tenants)]
    document = {
        "revision": f"r{version}",
        "routes": {"columns": route_columns, "rows": [route]},
        "services": {"columns": ["name", "healthPath"], "rows": [["s", "/health"]]},
        "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"], "rows": rows},
    }
    body = json.dumps(document, separators=(",", ":")).encode()
    assert len(body) <= MAX_BYTES
    return body


class CoreMachine:
    """A store and a registry as processes; both are killed at the end of the block."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ip = f"127.{20 + os.getpid() % 200}.9.1"
        self.port = free_ports(4)
        self.control = (self.ip, self.port + 3)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> CoreMachine:
        boot = {
            "nodeName": "core",
            "ipAddress": self.ip,
            "zone": "a",
            "internalPortRange": [self.port, self.port + 2],
            "bindAddresses": {"controlPlane": f"{self.ip}:{self.port + 3}"},
            "seedNodes": [f"{self.ip}:{self.port + 3}"],
            "bootstrap": True,
            "limits": {"memoryMb": MEMORY_MB},
            "dataDirectory": str(self.folder / "data"),
        }
        for program in ("config_store", "registry"):
            path = self.folder / f"{program}.yaml"
            path.write_text(json.dumps(boot))
            environment = {**os.environ, "TROUTDOCK_BOOT": str(path), "PYTHONPATH": str(ROOT)}
            command = [sys.executable, "-m", f"troutdock.{program}"]
            self.processes[program] = subprocess.Popen(command, cwd=ROOT, env=environment)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def peak_mb(self, program: str) -> float:
        """Returns the highest resident memory of a process so far, in MiB."""
        text = Path(f"/proc/{self.processes[program].pid}/status").read_text()
        fields: dict[str, Any] = dict(line.split(":", 1) for line in text.splitlines())
        return int(fields["VmHWM"].split()[0]) / 1024
