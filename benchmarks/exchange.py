"""Measures the load exchange between ingresses in simulated time: bytes per second at each size.

    python benchmarks/exchange.py 11 40 80 200

The load exchanges are the daemons' own. Each ingress receives ten requests per second of 150 ms each.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests" / "support")]

from proxy_fleet import SimulatedFleet, proxy_settings  # noqa: E402

REQUESTS_PER_S, WORK_MS, SECONDS = 10.0, 150.0, 3.0


def measure(count: int) -> dict[str, float]:
    """Returns the bytes per second sent on average and by the busiest ingress, in four equal zones."""
    fleet = SimulatedFleet(
        1, {zone: (count + n) // 4 for n, zone in enumerate("abcd")}, proxy_settings(1e6, 1e6)
    )
    names, began = list(fleet.ingresses), time.perf_counter()

    def ended(name: str, instance: str) -> None:
        exchange = fleet.ingresses[name].exchange
        exchange.set_load(instance, exchange.own_loads.get(instance, 1) - 1)

    fleet.sent = 0
    while fleet.now < SECONDS * 1000:
        fleet.run(fleet.now + fleet.random.expovariate(REQUESTS_PER_S * count) * 1000)
        name, instance = fleet.random.choice(names), str(fleet.random.randint(1, 3))
        fleet.ask(name)
        exchange = fleet.ingresses[name].exchange
        exchange.set_load(instance, exchange.own_loads.get(instance, 0) + 1)
        fleet.later(fleet.now + WORK_MS, lambda name=name, instance=instance: ended(name, instance))
    per_s = {name: sent / SECONDS for name, sent in fleet.sent_by.items()}
    return {
        "ingresses": count,
        "mean_KB_s": sum(per_s.values()) / count / 1000,
        "most_KB_s": max(per_s.values()) / 1000,
        "away_KB_s": fleet.sent_away / SECONDS / 1000,
        "took_s": time.perf_counter() - began,
    }


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ["11", "40", "80"]):
        print("  ".join(f"{name} {value:.1f}" for name, value in measure(size).items()), flush=True)
