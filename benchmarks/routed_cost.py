"""Measures CPU per request with routes against the platform's reader, and the event loop's pause on reload.

python -m benchmarks.routed_cost [--requests 8000] [--rounds 5] [--routes 10000]
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace

from benchmarks.library_cpu import compare
from benchmarks.processes import daemon, free_port, node, process
from troutdock.operator.subprocess_reader import read_in_subprocess
from troutdock.operator.compiled import Compiled
from troutdock.routing_service.run import reload_deployment
from troutdock.routing_service.service import RoutingFrontend, RoutingOptions

FILE = """version: 1
listen: 127.0.0.1:{port}
classes: {{ledger-read: {{effect: safe, aim_ms: 1500, deadline_ms: 4000}}}}
plans: {{open: {{rate: 0, burst: 0}}}}
pools: {{ledger: {{servers: [{servers}]}}}}
routes:
{routes}
"""


def deployment(port: int, servers: list[int], routes: int) -> str:
    """Returns a deployment file with this many routes and a last one that matches the load."""
    rows = [
        f"  - {{name: r{n}, match: {{hosts: [h{n % 97}.de], prefix: /x/{n}}}, class: ledger-read, "
        "to: ledger}"
        for n in range(routes)
    ]
    rows.append("  - {name: all, match: {prefix: /}, class: ledger-read, to: ledger}")
    at = ", ".join(f'"127.0.0.1:{p}"' for p in servers)
    return FILE.format(port=port, servers=at, routes="\n".join(rows))


class _ServiceWithoutPools(RoutingFrontend):
    """A service that swaps tables and has no pools."""

    def __init__(self, terms: RoutingOptions) -> None:
        super().__init__(terms, 1024)
        self.reader = SimpleNamespace(view=None)  # type: ignore[assignment]

    def _apply(self, terms: RoutingOptions) -> None:
        pass


def read(file: Path) -> Compiled:
    """Reads a file that must be valid."""
    found = read_in_subprocess(file)
    assert isinstance(found, Compiled), found
    return found


async def pauses(file: Path) -> tuple[float, float]:
    """Returns the seconds of a reload outside the event loop, and the loop's longest pause meanwhile."""
    served = _ServiceWithoutPools(read(file).terms)
    reading = asyncio.create_task(reload_deployment(served, lambda: read(file)))
    worst = 0.0
    began = before = time.perf_counter()
    while not reading.done():
        await asyncio.sleep(0.001)
        now = time.perf_counter()
        worst, before = max(worst, now - before), now
    await reading
    for _ in range(200):
        await asyncio.sleep(0)  # the old table is freed
        now = time.perf_counter()
        worst, before = max(worst, now - before), now
    return time.perf_counter() - began, worst


def main() -> None:
    """Runs both measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--routes", type=int, default=10_000)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        ports = [stack.enter_context(node())[1] for _ in range(9)]
        subjects = []
        pid, port = stack.enter_context(daemon(ports))
        subjects.append(("platform", port, [pid]))
        for routes in (1, 1000):
            port, file = free_port(), Path(folder) / f"{routes}.yaml"
            file.write_text(deployment(port, ports, routes))
            arguments = ["-c", "from troutdock.cli import main; main()", "serve", str(file)]
            subjects.append((f"{routes} routes", port, [stack.enter_context(process(arguments, port))]))
        compare(subjects, args.requests, args.rounds, 8)
        file = Path(folder) / "many.yaml"
        file.write_text(deployment(1, ports, args.routes))
        took, worst = asyncio.run(pauses(file))
        print(f"  {args.routes} routes read in {took:.1f} s, the loop's longest pause {worst * 1000:.1f} ms")


if __name__ == "__main__":
    main()
