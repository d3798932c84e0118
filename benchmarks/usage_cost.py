"""Measures the cost of the usage ledger: CPU per request by promise, responses per second, and export sizes.

    python -m benchmarks.usage_cost [--requests 8000] [--rounds 5] [--rows 1000000] [--folder DIR]

All daemons of a comparison run side by side and are loaded in turn, round by round; CPU is that of the whole
process with its writer thread. --folder: directory of the ledgers; use a disk, as fsync is free on tmpfs.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
import urllib.request
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from random import Random

from benchmarks.library_cpu import compare
from benchmarks.processes import daemon, free_port, load, memory_mb, node
from troutdock.usage import columns
from troutdock.usage.ledger import SEQUENCE_RESERVE
from troutdock.usage.record import Record, State, Use


UNITS = 1  # of each request of the load, as in its Quota-Info


def operator(folder: Path, promise: str) -> str:
    """Writes an operator's file with a separate ledger; returns its path."""
    file = folder / f"{promise}.yaml"
    file.write_text(
        json.dumps(
            {"usage": {"promise": promise, "folder": str(folder / promise), "exports": {"every_s": 0}}}
        )
    )
    return str(file)


def costs(stack: ExitStack, ports: Sequence[int], folder: Path, requests: int, rounds: int) -> dict[str, int]:
    """Prints the CPU by promise; returns the ports of the daemons."""
    subjects = []
    for name in ("off", "memory", "bounded", "sync"):
        environment = {} if name == "off" else {"TROUTDOCK_OPERATOR": operator(folder, name)}
        pid, port = stack.enter_context(daemon(ports, **environment))
        print(f"  {name:8} {memory_mb(pid):.1f} MB after its start")
        subjects.append((name, port, [pid]))
    compare(subjects, requests, rounds, 8)
    return {name: port for name, port, _ in subjects}


def risk(ports: Sequence[int], folder: Path, requests: int) -> None:
    """Prints the peak of units at risk under `bounded` and the stated bound."""
    door = free_port()
    environment = {"TROUTDOCK_OPERATOR": operator(folder, "bounded"), "RELAY_MANAGEMENT": f"127.0.0.1:{door}"}
    with daemon(ports, **environment) as (_, port):
        for connections in (8, 64, 256):
            load(port, requests, connections)
        with urllib.request.urlopen(f"http://127.0.0.1:{door}/control/usage", timeout=5) as answer:
            found = json.load(answer)
    print(
        f"  {found['records']} records, {found['most_units_at_risk']:.0f} units at risk at the most; "
        f"stated: those of {SEQUENCE_RESERVE} answers, {SEQUENCE_RESERVE * UNITS} here"
    )


def rates(ports: dict[str, int], requests: int) -> None:
    """Prints responses per second for closed-loop clients."""
    for connections in (1, 32, 256):
        row = []
        for name in ("off", "bounded", "sync"):
            began = time.monotonic()
            tally = load(ports[name], requests // 4 if connections == 1 else requests, connections)
            served = tally.get(200, 0)
            took, lost = time.monotonic() - began, sum(tally.values()) - served
            row.append(f"{name} {served / took:.0f} ({lost} not served)")
        print(f"  {connections:4} connections: {', '.join(row)}")


def sizes(rows: int, folder: Path) -> None:
    """Compares the size of records as Parquet and as JSON lines."""
    random, plans = Random(1), ("basis", "standard", "plus")
    classes = ("ledger-read", "payment-book", "vat-filing")
    uses = (
        Use(
            random.randrange(20_000),
            random.choice(plans),
            random.choice(classes),
            random.randrange(1, 81) / 10,
            1.76e12 + n * 3 + random.random(),
        )
        for n in range(rows)
    )
    records = [Record(1, n, use, State.GIVEN) for n, use in enumerate(uses, 1)]
    began = time.monotonic()
    columns.write(folder / "x.parquet", records)
    took = time.monotonic() - began
    with (folder / "x.jsonl").open("w") as file:
        for r in records:
            named = {"incarnation": r.incarnation, "sequence": r.sequence, "state": int(r.state)}
            file.write(json.dumps(named | r.use._asdict()) + "\n")
    parquet, lines = (folder / "x.parquet").stat().st_size / 1e6, (folder / "x.jsonl").stat().st_size / 1e6
    print(
        f"  {rows} records: Parquet {parquet:.1f} MB in {took:.1f} s, JSON lines {lines:.1f} MB, "
        f"{lines / parquet:.1f} to 1"
    )


def main() -> None:
    """Runs all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rows", type=int, default=1_000_000)
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--only-risk", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=args.folder) as raw, ExitStack() as stack:
        folder = Path(raw)
        ports = [stack.enter_context(node())[1] for _ in range(9)]
        print("units at risk")
        risk(ports, folder, args.requests)
        if args.only_risk:
            return
        print("CPU a request")
        at = costs(stack, ports, folder, args.requests, args.rounds)
        print("answers a second")
        rates(at, args.requests)
        print("size")
        sizes(args.rows, folder)


if __name__ == "__main__":
    main()
