"""The simulated system: sizes in proportion to the target, zones, latencies, configuration, and counters."""

from __future__ import annotations

import gc
import os
import sys
import types
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

INGRESSES, BACKENDS, SERVICES, ROUTES, TENANTS = 2200, 23_000, 390, 11_000, 99_000  # the target in two years
PEAK_REQUESTS_PER_S = 200_000  # of all ingresses
# constant, so that only the number of ingresses and what scales with it changes
ZONES, REGIONS, CORE, SEEDS = 17, 6, 6, 3
HEARTBEAT_S = 1.5
# one way: within a zone, within a region, between regions
ZONE_LATENCY_S, REGION_LATENCY_S, REMOTE_LATENCY_S = 0.00025, 0.00075, 0.035
CORE_BYTES_S, INGRESS_BYTES_S = 125e6, 0.25e6  # link rates: 1,000 and 2 Mbit/s, as on the larger sites
CHANGES_A_DAY, RESTARTS_A_DAY, DAY_S = 1200, 1400, 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """The number of components of each kind."""

    ingresses: int
    backends: int
    services: int
    routes: int
    tenants: int


def size_of(ingresses: int) -> Size:
    """Returns a size in proportion to the target."""
    part = ingresses / INGRESSES
    return Size(ingresses, *(max(1, round(all * part)) for all in (BACKENDS, SERVICES, ROUTES, TENANTS)))


def zone_of(number: int) -> str:
    """Returns the name of a zone; zones are assigned round-robin."""
    return f"z{number % ZONES:02}"


def latency_s(one: str, other: str) -> float:
    """Returns the one-way latency between two zones; zones are assigned to regions round-robin."""
    if one == other:
        return ZONE_LATENCY_S
    return REGION_LATENCY_S if int(one[1:]) % REGIONS == int(other[1:]) % REGIONS else REMOTE_LATENCY_S


def configuration(size: Size, version: int) -> bytes:
    """Returns a configuration body with all routes, services, and tenants with two keys each.

    The weights of the routes depend on the version.
    """
    routes = [
        [
            f"route-{n}",
            f"h{n // 20}.example.com",
            f"/v1/{n}/",
            "read_only",
            4.0,
            0.8,
            n % 4,
            [{"service": f"service-{n % size.services}", "weight": 90 + version % 10}],
            2,
        ]
        for n in range(size.routes)
    ]
    columns = [
        "name",
        "hostname",
        "pathPrefix",
        "routeType",
        "timeoutS",
        "targetLatencyS",
        "priority",
        "trafficSplit",
        "maxAttempts",
    ]
    services = [[f"service-{n}", "/health", 570] for n in range(size.services)]
    tenants = [
        [f"tenant-{n}", [f"key-{n:08x}-a7c31f90", f"key-{n:08x}-b2d84e17"], n % 3, 20 + n % 50, 40]
        for n in range(size.tenants)
    ]
    return msgspec.json.encode(
        {
            "revision": f"r{version}",
            "routes": {"columns": columns, "rows": routes},
            "services": {"columns": ["name", "healthPath", "maxConnections"], "rows": services},
            "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"], "rows": tenants},
        }
    )


class TrafficCount:
    """Messages and bytes by phase, sender role and receiver role; processor seconds by phase and role."""

    def __init__(self) -> None:
        self.phase = "start"
        self.messages: Counter[tuple[str, str, str]] = Counter()
        self.bytes: Counter[tuple[str, str, str]] = Counter()
        self.cpu_s: Counter[tuple[str, str]] = Counter()

    def add(self, sender: str, to: str, size: int, times: int = 1) -> None:
        """Counts a message of size bytes, frame included, sent to so many receivers."""
        self.messages[self.phase, sender, to] += times
        self.bytes[self.phase, sender, to] += size * times

    def total(self, phase: str, sender: str, to: str) -> tuple[int, int]:
        """Returns the number of messages and bytes."""
        return self.messages[phase, sender, to], self.bytes[phase, sender, to]


_SHARED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.MethodType)


def state_bytes(root: Any, *excluded: Any) -> int:
    """Returns the bytes of all objects reachable from root, each counted once.

    excluded: objects with another owner, which are left out.
    """
    seen = {id(x) for x in excluded}
    found, pending = 0, [root]
    while pending:
        one = pending.pop()
        if id(one) in seen or isinstance(one, _SHARED):
            continue
        seen.add(id(one))
        found += sys.getsizeof(one)
        pending += gc.get_referents(one)
    return found


def memory_mb() -> float:
    """Returns the resident memory of this process in megabytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def machine_mb() -> float:
    """Returns the memory of the machine in megabytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e6
