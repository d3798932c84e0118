"""Kills ingresses with a ledger some hundred times under load and compares the export with the responses.

    python -m benchmarks.usage_kills [--kills 300] [--seed 1]

The test suite does the same a few times. Units at risk are those that `bounded` lost, compared with its
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
    """Prints a row for each promise; exits with 1 on loss or duplication beyond the stated bound."""
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
