"""Runs seeded fault schedules of the configuration store; reports invariant violations and their first seeds.

    python benchmarks/schedules.py --count 20000 --jobs 4 [--kinds race,contact] [--first SEED]

COUNT schedules in total, divided among the kinds. Exits with 1 if any violates an invariant.
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
Violation = tuple[int, int, dict[str, str]]  # seed, machines, and the text of each violated invariant


def _settled(cluster: Cluster) -> Cluster:
    worst_days.check_settled(cluster)
    return cluster


def play(kind: str, seeds: range) -> tuple[list[Violation], int]:
    """Returns the schedules that violate an invariant, and the number of writes below the newest version that
    reuse the number of another body."""
    Cluster.collect_violations = True
    schedule, sizes = KINDS[kind]
    found, below = [], 0
    for seed in seeds:
        machines = sizes[seed % len(sizes)]
        try:
            played = schedule(seed, machines)
            texts, below = played.first_messages, below + played.stale_conflicts
        except Exception as error:  # a schedule that can't continue counts as a violation too
            texts = {"raised": f"{type(error).__name__}: {error}"}
        if texts:
            found.append((seed, machines, texts))
    return found, below


def report(kind: str, played: int, broken: list[Violation], below: int) -> None:
    print(f"{kind}: {len(broken)} of {played} break", flush=True)
    counts: Counter[str] = Counter()
    firsts: dict[str, list[Violation]] = defaultdict(list)
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
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=2000, help="schedules in all")
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    parser.add_argument("--kinds", default=",".join(KINDS), help="separated by commas")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    options = parser.parse_args()
    kinds = [kind.strip() for kind in options.kinds.split(",")]
    each = max(1, options.count // len(kinds))
    began, done, bad = monotonic(), 0, False
    with ProcessPoolExecutor(options.jobs) as pool:
        for kind in kinds:
            parts = [
                range(at, min(at + CHUNK, options.first + each))
                for at in range(options.first, options.first + each, CHUNK)
            ]
            broken: list[Violation] = []
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
