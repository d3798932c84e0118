"""Counts rejections of closed-loop clients with unlimited quotas by an idle fleet; there should be none.

    python -m benchmarks.closed_loop [--before CHECKOUT] [--requests 12000]

Nine nodes that answer at once, one ingress with room for 4,096 sockets; 1, 32 and 256 clients. Every
rejection is caused by the ingress. CPU time is that of the ingress, per request.
"""

from __future__ import annotations

import argparse
from contextlib import ExitStack
from pathlib import Path

from benchmarks.processes import ROOT, cpu_s, daemon, load, node


def main() -> None:
    """Prints a row for each number of clients and each checkout."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="an earlier checkout, whose daemon is compared")
    parser.add_argument("--requests", type=int, default=12_000)
    args = parser.parse_args()
    checkouts = ([("before", args.before)] if args.before else []) + [("after", ROOT)]
    with ExitStack() as stack:
        ports = [stack.enter_context(node())[1] for _ in range(9)]
        for connections in (1, 32, 256):
            for name, checkout in checkouts:
                with daemon(ports, checkout) as (
                    pid,
                    port,
                ):  # a new process: learned estimates would hide the effect
                    began = cpu_s(pid)
                    tally = load(port, args.requests, connections)
                    refused = 1 - tally.get(200, 0) / sum(tally.values())
                    print(
                        f"{connections:4} clients, {name:6} {refused:6.2%} not served, "
                        f"{(cpu_s(pid) - began) / args.requests * 1e6:6.1f} us  {tally}"
                    )


if __name__ == "__main__":
    main()
