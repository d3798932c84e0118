"""Measures the write outage after the loss of the store's primary in simulated time: median and maximum.

    python benchmarks/takeover.py [SEEDS]

Kinds of loss: killed (its links end), silent (isolated or frozen), in order (SIGTERM), wiped and restarted
within 50 ms.
"""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import median

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests" / "support")]

from cluster import Cluster  # noqa: E402

STEP_S, MAX_S = 0.02, 20.0


def outage_s(how: str, seed: int, machines: int) -> float:
    """Returns the seconds from the loss until another primary acknowledges."""
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
    while cluster.now - began < MAX_S:
        cluster.run(STEP_S)
        leader = cluster.primary
        replica = cluster.machines[leader].replica if leader is not None else None
        if replica is not None and replica.epoch > epoch:
            return cluster.now - began
    return MAX_S


if __name__ == "__main__":
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    for machines in (3, 4):
        for how in ("killed", "silent", "in order", "wiped"):
            outages = [outage_s(how, seed, machines) for seed in range(seeds)]
            figures = f"median {median(outages):.2f} s, most {max(outages):.2f} s"
            print(f"{machines} machines, {how:<9} {figures}", flush=True)
