"""Seeded schedules of the store's worst days: how many break which invariant, and the first seeds that do.

    python benchmarks/schedules.py --count 20000 --jobs 4 [--kinds race,contact] [--first SEED]

COUNT schedules in all, shared among the kinds. Ends with 1 if any breaks.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from time import monotonic

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "support"), str(ROOT / "tests" / "system")]

import test_store_schedules as steady  # noqa: E402
import worst_days  # noqa: E402
from cluster import Cluster  # noqa: E402

KINDS = {
    **worst_days.KINDS,
    "one loss": (lambda seed, machines: _settled(steady.play(seed, machines)), (3, 4)),
    "gone for good": (lambda seed, _: _settled(steady.turnover(seed)), (6,)),
    "change of voters": (lambda seed, _: _settled(steady.changing(seed)), (4,)),
    "deposed": (lambda seed, _: _settled(steady.deposed(seed)), (3,)),
}
CHUNK = 10
Broken = tuple[int, int, dict[str, str]]  # seed, machines, and the text of each invariant that was broken


def _settled(cluster: Cluster) -> Cluster:
    worst_days.check_settled(cluster)
    return cluster


def play(kind: str, seeds: range) -> tuple[list[Broken], int]:
    """Those of these schedules that break; and the orders below the newest under another body's number."""
    Cluster.collect_violations = True
    schedule, sizes = KINDS[kind]
    found, below = [], 0
    for seed in seeds:
        machines = sizes[seed % len(sizes)]
        try:
            played = schedule(seed, machines)
            texts, below = played.first_messages, below + played.stale_conflicts
        except Exception as error:  # a schedule that can't be played on counts as broken too
            texts = {"raised": f"{type(error).__name__}: {error}"}
        if texts:
            found.append((seed, machines, texts))
    return found, below


def report(kind: str, played: int, broken: list[Broken], below: int) -> None:
    print(f"{kind}: {len(broken)} of {played} break", flush=True)
    counts: Counter[str] = Counter()
    firsts: dict[str, list[Broken]] = defaultdict(list)
    for one in sorted(broken):
        for what in one[2]:
            counts[what] += 1
            firsts[what].append(one)
    for what, count in counts.most_common():
        where = ", ".join(f"{seed} ({machines})" for seed, machines, _ in firsts[what][:5])
        print(f"    {what}: {count}; seeds (machines) {where}")
        print(f"        {firsts[what][0][2][what]}")
    if below:
        print(f"    (no break: {below} orders under another body's number, below the newest, without effect)")


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--count", type=int, default=2000, help="schedules in all")
    words.add_argument("--jobs", type=int, default=2, help="processes")
    words.add_argument("--kinds", default=",".join(KINDS), help="separated by commas")
    words.add_argument("--first", type=int, default=0, help="the first seed")
    given = words.parse_args()
    kinds = [kind.strip() for kind in given.kinds.split(",")]
    each = max(1, given.count // len(kinds))
    began, done, bad = monotonic(), 0, False
    with ProcessPoolExecutor(given.jobs) as pool:
        for kind in kinds:
            parts = [
                range(at, min(at + CHUNK, given.first + each))
                for at in range(given.first, given.first + each, CHUNK)
            ]
            broken: list[Broken] = []
            below = 0
            for part, (found, more) in zip(parts, pool.map(play, [kind] * len(parts), parts), strict=True):
                broken += found
                below += more
                done += len(part)
                if sys.stderr.isatty():
                    print(f"\r{done} of {each * len(kinds)}, {kind}   ", end="", file=sys.stderr)
            report(kind, each, broken, below)
            bad = bad or bool(broken)
    print(f"{done} schedules in {monotonic() - began:.0f} s")
    return int(bad)


if __name__ == "__main__":
    sys.exit(main())
