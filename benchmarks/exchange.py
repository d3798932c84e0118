"""What ingresses tell one another, in simulated time: bytes a second at each size, and the law they follow.

    python benchmarks/exchange.py 11 40 80 200

The exchanges are the daemons' own; requests come evenly, ten a second to each ingress, each 150 ms long.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests" / "support")]

from proxy_fleet import SimulatedFleet, proxy_settings  # noqa: E402

PER_INGRESS, WORK_MS, SECONDS = 10.0, 150.0, 3.0


def measure(count: int) -> dict[str, float]:
    """Bytes a second that all and the busiest one send, in zones of a quarter each."""
    town = SimulatedFleet(
        1, {zone: (count + n) // 4 for n, zone in enumerate("abcd")}, proxy_settings(1e6, 1e6)
    )
    names, began = list(town.ingresses), time.perf_counter()

    def ended(name: str, instance: str) -> None:
        exchange = town.ingresses[name].exchange
        exchange.set_load(instance, exchange.own_loads.get(instance, 1) - 1)

    town.sent = 0
    while town.now < SECONDS * 1000:
        town.run(town.now + town.random.expovariate(PER_INGRESS * count) * 1000)
        name, instance = town.random.choice(names), str(town.random.randint(1, 3))
        town.ask(name)
        exchange = town.ingresses[name].exchange
        exchange.set_load(instance, exchange.own_loads.get(instance, 0) + 1)
        town.later(town.now + WORK_MS, lambda name=name, instance=instance: ended(name, instance))
    per_s = {name: sent / SECONDS for name, sent in town.sent_by.items()}
    return {
        "ingresses": count,
        "mean_KB_s": sum(per_s.values()) / count / 1000,
        "most_KB_s": max(per_s.values()) / 1000,
        "away_KB_s": town.sent_away / SECONDS / 1000,
        "took_s": time.perf_counter() - began,
    }


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ["11", "40", "80"]):
        print("  ".join(f"{name} {value:.1f}" for name, value in measure(size).items()), flush=True)
