"""Compares CPU per request: the daemon with an earlier checkout, and the middleware with the daemon.

    python -m benchmarks.library_cpu [--before CHECKOUT] [--requests 8000] [--rounds 7]

All processes of a comparison run side by side and are loaded in turn, round by round, so that other load of
the machine affects all of them. Figures are medians over the rounds, and ratios are medians of the rounds'
ratios.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from statistics import median

from benchmarks.processes import application, cpu_s, daemon, load, memory_mb, node

Subject = tuple[str, int, Sequence[int]]  # name, port, and the processes whose CPU counts


def compare(subjects: Sequence[Subject], requests: int, rounds: int, connections: int) -> None:
    """Loads each subject in turn and prints its CPU per request."""
    costs: dict[str, list[float]] = {name: [] for name, _, _ in subjects}
    statuses: dict[str, dict[int, int]] = {name: {} for name, _, _ in subjects}
    for number in range(rounds + 1):
        for name, port, pids in subjects:
            before = [cpu_s(pid) for pid in pids]
            for status, count in load(port, requests, connections).items():
                statuses[name][status] = statuses[name].get(status, 0) + count
            if number:  # the first round warms up
                spent = sum(cpu_s(pid) - b for pid, b in zip(pids, before, strict=True))
                costs[name].append(spent / requests * 1e6)
    base = costs[subjects[0][0]]
    for name, _, _ in subjects:
        ratios = [own / of for own, of in zip(costs[name], base, strict=True)]
        print(
            f"  {name:34} {median(costs[name]):7.1f} us ({min(costs[name]):.1f} to {max(costs[name]):.1f})"
            f"  ratio {median(ratios):.3f}  {statuses[name]}"
        )


def main() -> None:
    """Runs the three comparisons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="an earlier checkout, whose daemon is compared")
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--connections", type=int, default=8)
    args = parser.parse_args()
    with ExitStack() as stack:
        ports = [stack.enter_context(node())[1] for _ in range(3)]
        if args.before:
            print("the daemon, before and after")
            old, old_port = stack.enter_context(daemon(ports, args.before))
            new, new_port = stack.enter_context(daemon(ports))
            print(f"  memory after its start: {memory_mb(old):.1f} and {memory_mb(new):.1f} MB")
            compare(
                [("before", old_port, [old]), ("after", new_port, [new])],
                args.requests,
                args.rounds,
                args.connections,
            )
            print(f"  memory after the load: {memory_mb(old):.1f} and {memory_mb(new):.1f} MB")
        print("a hop through the daemon to an application, and the application in guard mode")
        bare, bare_port = stack.enter_context(application("bare"))
        hop, hop_port = stack.enter_context(daemon([bare_port]))
        guard, guard_port = stack.enter_context(application("guarded"))
        compare(
            [
                ("daemon and bare application", hop_port, [hop, bare]),
                ("guard mode", guard_port, [guard]),
                ("bare application", bare_port, [bare]),
            ],
            args.requests,
            args.rounds,
            args.connections,
        )
        print("the daemon and forward mode")
        plain, plain_port = stack.enter_context(daemon(ports))
        forward, forward_port = stack.enter_context(application("forwarding", ports))
        compare(
            [("daemon", plain_port, [plain]), ("forward mode", forward_port, [forward])],
            args.requests,
            args.rounds,
            args.connections,
        )


if __name__ == "__main__":
    main()
