"""Ingresses with a ledger killed some hundred times under load.

And what is exported compared with the true answers.

    python -m benchmarks.usage_kills [--kills 300] [--seed 1]

The test of the suite does the same a few times. Units at risk are those that `bounded` lost, against its
bound.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "support"))

from kills import run_kills


def main() -> None:
    """A row for each promise; exit 1 if anything is lost or doubled beyond what is stated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    bad = False
    for promise in ("sync", "bounded"):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(run_kills(Path(folder), promise, args.kills, Random(args.seed)))
        print(
            f"{promise:8} {args.kills} kills: {result.given} answers, {result.missing} not exported, "
            f"{result.uncertain} uncertain, {result.unknown} numbers unknown, "
            f"{result.unseen} exported and not seen by a client",
            *result.wrong[:3],
            *result.faults[:3],
        )
        bad |= bool(result.wrong or result.faults or (promise == "sync" and result.missing))
    raise SystemExit(bad)


if __name__ == "__main__":
    main()
