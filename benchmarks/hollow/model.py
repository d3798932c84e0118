"""What is simulated: sizes in proportion to the target, places, ways, a configuration, the count."""

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

INGRESSES, BACKENDS, SERVICES, ROUTES, TENANTS = 2200, 23_000, 390, 11_000, 99_000  # the target of two years
PEAK_PER_S = 200_000  # requests a second of all ingresses
ZONES, REGIONS, CORE, SEEDS = 17, 6, 6, 3  # at every size, so that one thing changes
BEAT_S = 1.5
ZONE_WAY_S, REGION_WAY_S, FAR_WAY_S = 0.00025, 0.00075, 0.035  # one way: in a zone, a region, between them
CORE_BYTES_S, INGRESS_BYTES_S = 125e6, 0.25e6  # of a link: 1,000 and 2 Mbit/s, as on the grown sites
CHANGES_A_DAY, RESTARTS_A_DAY, DAY_S = 1200, 1400, 86_400


@dataclass(frozen=True, slots=True)
class Size:
    """How many there are of each kind."""

    ingresses: int
    backends: int
    services: int
    routes: int
    tenants: int


def size_of(ingresses: int) -> Size:
    """In proportion to the target."""
    part = ingresses / INGRESSES
    return Size(ingresses, *(max(1, round(all * part)) for all in (BACKENDS, SERVICES, ROUTES, TENANTS)))


def zone_of(number: int) -> str:
    """A zone's name, dealt in turn."""
    return f"z{number % ZONES:02}"


def way_s(one: str, other: str) -> float:
    """Seconds one way between two zones; zones are dealt to regions in turn."""
    if one == other:
        return ZONE_WAY_S
    return REGION_WAY_S if int(one[1:]) % REGIONS == int(other[1:]) % REGIONS else FAR_WAY_S


def configuration(size: Size, version: int) -> bytes:
    """An operator's body: all routes, services and tenants with two keys each; weights by version."""
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


class Count:
    """Messages and bytes by phase and by who says them to whom; processor seconds by phase and role."""

    def __init__(self) -> None:
        self.phase = "start"
        self.messages: Counter[tuple[str, str, str]] = Counter()
        self.bytes: Counter[tuple[str, str, str]] = Counter()
        self.cpu_s: Counter[tuple[str, str]] = Counter()

    def said(self, sender: str, to: str, size: int, times: int = 1) -> None:
        """A message of so many bytes with its frame, to so many."""
        self.messages[self.phase, sender, to] += times
        self.bytes[self.phase, sender, to] += size * times

    def total(self, phase: str, sender: str, to: str) -> tuple[int, int]:
        """Messages and bytes."""
        return self.messages[phase, sender, to], self.bytes[phase, sender, to]


_SHARED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.MethodType)


def state_bytes(root: Any, *but: Any) -> int:
    """Bytes of all that is reached from an object, each once; but: what is left out, as others own it."""
    seen = {id(x) for x in but}
    found, todo = 0, [root]
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, _SHARED):
            continue
        seen.add(id(one))
        found += sys.getsizeof(one)
        todo += gc.get_referents(one)
    return found


def memory_mb() -> float:
    """Megabytes that this process holds now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def machine_mb() -> float:
    """Megabytes of the machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e6
