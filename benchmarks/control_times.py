"""Times of the configuration store by configuration size, in simulated seconds: median and maximum.

    python benchmarks/control_times.py [--seeds 200] [--jobs 4] [--mbits 1000] [--bodies 5000,1000000]

cut: from a partition until the isolated machine last claims to lead, confirms or sends anything. loss: from
the loss until the next change is confirmed, which is retried every 0.1 s. return: from the start of a
machine's process until it is not blank and has the record of the active primary. removed: from the end of a
machine that never returns until the set of voters excludes it.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from statistics import median

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests" / "support")]

from cluster import Cluster  # noqa: E402
from worst_days import body_of, until_committed  # noqa: E402

MAX_S = 30.0
STEP_S = 0.01
ROWS = [
    *[("cut", how) for how in ("both ways", "out", "in", "with one voter", "with a spare")],
    *[
        ("loss", f"{who} {how}")
        for who in ("primary", "backup")
        for how in ("killed", "cut", "left", "wiped and back", "frozen")
    ],
    *[("return", how) for how in ("killed", "wiped", "new", "after 200 changes")],
    ("removed", "left, one spare"),
    ("removed", "left, soon after the start"),
    ("removed", "left, then one is added"),
    ("removed", "killed, one spare"),
]


def started_cluster(
    seed: int, machines: int, body_bytes: int, mbits: float, early: bool = False
) -> tuple[Cluster, str, str]:
    """Returns a cluster that has stored a change, its primary, and the machine with the other copy."""
    cluster = Cluster(seed, machines, models_connections=True)
    cluster.close_half_open = True
    cluster.body_bytes, cluster.bandwidth = body_bytes, mbits * 1e6 / 8
    cluster.run((1.0 if early else 4.0) + seed % 7 * 0.1)
    until_committed(cluster, MAX_S)
    cluster.run((0.5 if early else 2.0) + seed % 13 * 0.025)
    primary = cluster.primary or "10.0.0.1"
    others = [ip for ip in cluster.machines if ip != primary]
    copies = [ip for ip in others if (disk := cluster.machines[ip].disk) is not None and disk.version]
    return cluster, primary, (copies or others)[0]


def cut(how: str, seed: int, body_bytes: int, mbits: float) -> float:
    cluster, primary, other = started_cluster(seed, 4 if how.startswith("with") else 3, body_bytes, mbits)
    replica = cluster.machines[primary].replica
    voters = replica.voters if replica is not None else []
    group = {primary}
    if how == "with one voter":
        group.add(next(v for v in voters if v not in (primary, other)))
    elif how == "with a spare":
        group.add(next(ip for ip in cluster.machines if ip not in voters))
    cluster.cut_off(group, how if how in ("out", "in") else "cut")
    machine = cluster.machines[primary]
    if machine.contact_lost_at < 0:
        return 0.0  # it keeps a majority and stays primary
    began, version = cluster.now, 100
    while cluster.now - began < MAX_S:
        version += 1
        if seed % 2:  # other seeds only send queries
            cluster.write(primary, version, body_of(version))
        cluster.send_read(primary)
        cluster.run(0.1)
    return max(0.0, machine.claimed_at - began)


def loss(how: str, seed: int, body_bytes: int, mbits: float) -> float:
    cluster, primary, other = started_cluster(seed, 4, body_bytes, mbits)
    who, _, way = how.partition(" ")
    lost = primary if who == "primary" else other
    if way == "killed":
        cluster.kill(lost)
    elif way == "left":
        cluster.leave(lost)
    elif way == "cut":
        cluster.cut_off({lost})
    elif way == "frozen":
        cluster.machines[lost].hangs_until = cluster.now + 2 * MAX_S
    else:
        cluster.wipe(lost)
        cluster.run(0.05)
        cluster.start(lost)
    excluded = lost if way in ("cut", "frozen") else ""
    return until_committed(cluster, MAX_S, excluded, STEP_S, 0.1)


def rejoin(how: str, seed: int, body_bytes: int, mbits: float) -> float:
    cluster, primary, other = started_cluster(seed, 3, body_bytes, mbits)
    lost = Random(seed).choice([primary, other, *cluster.machines])
    if how == "wiped":
        cluster.wipe(lost)
    elif how != "new":
        cluster.kill(lost)
    until_committed(cluster, MAX_S)
    if how == "after 200 changes":
        for version in range(100, 300):
            cluster.write(cluster.primary or other, version, body_of(version))
            if version % 8 == 7:
                cluster.run(0.3)
    cluster.run(2.0)
    if how == "new":
        lost = cluster.add()
    else:
        cluster.start(lost)
    began = cluster.now
    while cluster.now - began < MAX_S:
        cluster.run(STEP_S)
        leads, replica = cluster.primary, cluster.machines[lost].replica
        if leads is not None and replica is not None and not replica.durable.blank:
            primary_replica = cluster.machines[leads].replica
            if primary_replica is not None and replica.status.record == primary_replica.status.record:
                return cluster.now - began
    return MAX_S


def removed(how: str, seed: int, body_bytes: int, mbits: float) -> float:
    machines = 3 if how.endswith("added") else 4
    cluster, primary, other = started_cluster(seed, machines, body_bytes, mbits, how.endswith("start"))
    replica = cluster.machines[primary].replica
    lost = Random(seed).choice(replica.voters if replica is not None else [primary, other])
    began = cluster.now
    if how.startswith("left"):
        cluster.leave(lost)
        while cluster.machines[lost].replica is not None:
            cluster.run(STEP_S)
    else:
        cluster.kill(lost)
    if how.endswith("added"):
        cluster.add()
    while cluster.now - began < MAX_S:
        cluster.run(STEP_S)
        leads = cluster.primary
        now = cluster.machines[leads].replica if leads is not None else None
        record = now.status.record if now is not None else None
        if now is not None and lost not in now.voters and record is not None and lost not in record.before:
            return cluster.now - began
    return MAX_S


MEASURES = {"cut": cut, "loss": loss, "return": rejoin, "removed": removed}


def run_row(row: tuple[str, str, int, int, float]) -> float:
    what, how, seed, body_bytes, mbits = row
    Cluster.collect_violations = True
    return MEASURES[what](how, seed, body_bytes, mbits)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    parser.add_argument("--mbits", type=float, default=1000.0, help="of each way")
    parser.add_argument("--bodies", default="5000,1000000,11000000", help="bytes, separated by commas")
    parser.add_argument("--only", default="", help="rows that begin so: cut, loss, return, removed")
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for body_bytes in [int(size) for size in options.bodies.split(",")]:
            print(f"{body_bytes} bytes, {options.mbits:g} Mbit/s, {options.seeds} seeds", flush=True)
            for what, how in ROWS:
                if not what.startswith(options.only):
                    continue
                rows = [(what, how, seed, body_bytes, options.mbits) for seed in range(options.seeds)]
                times = list(pool.map(run_row, rows, chunksize=5))
                never = sum(time >= MAX_S - 1.0 for time in times)
                more = f", {never} not within {MAX_S - 1.0:.0f} s" if never else ""
                figures = f"median {median(times):6.2f} s, most {max(times):6.2f} s{more}"
                print(f"    {what:<8} {how:<26} {figures}", flush=True)


if __name__ == "__main__":
    main()
