"""How long changes stop when the store's primary is lost, in simulated time: median and most over many seeds.

    python benchmarks/takeover.py [SEEDS]

Ways: killed (its links end), silent (cut off or frozen), in order (SIGTERM), wiped and back within 50 ms.
"""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import median

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests" / "support")]

from cluster import Cluster  # noqa: E402

STEP_S, MOST_S = 0.02, 20.0


def gap(how: str, seed: int, machines: int) -> float:
    """Seconds from the loss until another one acknowledges."""
    cluster = Cluster(seed, machines)
    cluster.run(6.0 + seed % 7 * 0.1)
    old = cluster.primary
    assert old is not None
    began, epoch = cluster.now, cluster.machines[old].replica.epoch  # type: ignore[union-attr]
    if how == "in order":
        cluster.leave(old)
    elif how == "silent":
        cluster.machines[old].hangs_until = cluster.now + 60.0
    else:
        cluster.kill(old)
        if how == "wiped":
            cluster.wipe(old)
            cluster.run(0.05)
            cluster.start(old)
    while cluster.now - began < MOST_S:
        cluster.run(STEP_S)
        led = cluster.primary
        replica = cluster.machines[led].replica if led is not None else None
        if replica is not None and replica.epoch > epoch:
            return cluster.now - began
    return MOST_S


if __name__ == "__main__":
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    for machines in (3, 4):
        for how in ("killed", "silent", "in order", "wiped"):
            gaps = [gap(how, seed, machines) for seed in range(seeds)]
            figures = f"median {median(gaps):.2f} s, most {max(gaps):.2f} s"
            print(f"{machines} machines, {how:<9} {figures}", flush=True)
