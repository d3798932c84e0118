"""Measures goodput of two ingresses under overload and recovery after a mass failure, damped and undamped.

    python -m benchmarks.overload goodput [--times 1,2,4,8] [--seconds 8]
    python -m benchmarks.overload recovery [--times 2]
    python -m benchmarks.overload refusal

goodput   requests served within their latency target, per second, at multiples of the fleet's capacity.
recovery  all ingresses are killed and restarted at once; seconds until 95% of the former goodput.
refusal   CPU of an ingress for a rejected request over that for a served one.
goodput and recovery run with every damping and with none.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from benchmarks.processes import ROOT, config, cpu_s, free_port, load, node, process

NODES, CONCURRENCY, WORK_MS, QUEUE = 6, 4, 40.0, 16
CAPACITY = NODES * CONCURRENCY * 1000 / WORK_MS  # requests a second
GENERATORS, HONOUR = 4, 0.5
NO_DAMPING = {"turn_away": False, "drop_departed": False, "polite_closing": False, "pace_accepts": False}


@contextmanager
def ingress(port: int, nodes: list[int], damping: dict[str, bool], index: int) -> Iterator[int]:
    """Starts a daemon; yields its process id."""
    settings = config(port, nodes)
    settings["limits"]["sockets"] = 1024
    settings["settings"] |= {"balancers": 2, "index": index}
    settings["settings"]["clients"] = {"marks_retry": True}
    settings["damping"] = damping
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        with process(["-m", "troutdock"], port, RELAY_CONFIG=file.name) as pid:
            yield pid


def start_load(ports: list[int], rate: float, seconds: int) -> list[subprocess.Popen[str]]:
    """Starts load generators with this total rate in requests per second."""
    words = ",".join(map(str, ports))
    base = [sys.executable, "-m", "benchmarks.crowd", words, str(rate / GENERATORS), str(seconds)]
    return [
        subprocess.Popen([*base, str(n + 1), str(HONOUR)], cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for n in range(GENERATORS)
    ]


def gather(children: list[subprocess.Popen[str]]) -> tuple[list[int], list[int], int]:
    """Returns requests and served requests by second, and attempts, over all load generators."""
    results = [json.loads(child.communicate()[0]) for child in children]
    return (
        [sum(s) for s in zip(*(t["asked"] for t in results), strict=True)],
        [sum(s) for s in zip(*(t["served"] for t in results), strict=True)],
        sum(t["tries"] for t in results),
    )


def fleet(stack: ExitStack, queue: int) -> list[int]:
    """Starts backends whose requests take time; returns their ports."""
    ports = [free_port() for _ in range(NODES)]
    for port in ports:
        stack.enter_context(
            process(
                ["-m", "benchmarks.slow_node", str(port), str(CONCURRENCY), str(WORK_MS), str(queue)], port
            )
        )
    return ports


def goodput(times: list[float], seconds: int, queue: int, only: str) -> None:
    """Prints a row for each load."""
    for name, damping in (("damped", {}), ("undamped", NO_DAMPING)):
        for factor in times if only in ("", name) else ():
            with ExitStack() as stack:
                nodes, ports = fleet(stack, queue), [free_port(), free_port()]
                pids = [stack.enter_context(ingress(p, nodes, damping, n)) for n, p in enumerate(ports)]
                began = [cpu_s(pid) for pid in pids]
                asked, served, tries = gather(start_load(ports, factor * CAPACITY, seconds))
                cpu = sum(cpu_s(pid) for pid in pids) - sum(began)
                late = served[seconds // 4 :]
                print(
                    f"{name:9} {factor:4g} x  {sum(late) / len(late):7.1f} a second of {CAPACITY:.0f}  "
                    f"{tries / max(1, sum(asked)):.2f} tries  "
                    f"{cpu / len(pids) / seconds:.2f} of a core each",
                    flush=True,
                )


def recovery(factor: float, queue: int) -> None:
    """Kills all ingresses and restarts them together."""
    for name, damping in (("damped", {}), ("undamped", NO_DAMPING)):
        with ExitStack() as stack:
            nodes, ports = fleet(stack, queue), [free_port(), free_port()]
            with ExitStack() as first:
                for n, port in enumerate(ports):
                    first.enter_context(ingress(port, nodes, damping, n))
                began = time.monotonic()
                children = start_load(ports, factor * CAPACITY, 30)
                time.sleep(7)
            with ExitStack() as second:
                down = time.monotonic() - began
                for n, port in enumerate(ports):
                    second.enter_context(ingress(port, nodes, damping, n))
                up = time.monotonic() - began
                asked, served, tries = gather(children)
            before = sum(served[2:6]) / 4
            back = next((s for s in range(int(up), 29) if min(served[s : s + 2]) >= 0.95 * before), None)
            print(
                f"{name:9} {factor:g} x: {before:.0f} a second before, down at {down:.1f} s, up at {up:.1f}, "
                f"95% again {'never' if back is None else f'{max(0.0, back - up):.1f} s after that'}; "
                f"{tries / sum(asked):.2f} tries; by second {served}",
                flush=True,
            )


def refusal() -> None:
    """Compares the CPU of served requests with that of requests rejected for lack of nodes."""
    with ExitStack() as stack:
        ports = [stack.enter_context(node())[1] for _ in range(9)]
        costs: list[float] = []
        for nodes in (ports, []):
            listen = free_port()
            with ingress(listen, nodes, {}, 0) as pid:
                load(listen, 2000, 8)
                began = cpu_s(pid)
                tally = load(listen, 16_000, 8)
                costs.append((cpu_s(pid) - began) / 16_000 * 1e6)
                print(f"{costs[-1]:.1f} us a request  {tally}")
        print(f"a refusal costs {costs[1] / costs[0]:.2f} of a served request")


def main() -> None:
    """Runs one of the three benchmarks."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("what", choices=("goodput", "recovery", "refusal"))
    parser.add_argument("--times", default="")
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--queue", type=int, default=QUEUE, help="of a node; past it it is full")
    parser.add_argument("--only", default="", help="damped or undamped")
    args = parser.parse_args()
    if args.what == "goodput":
        goodput(
            [float(t) for t in (args.times or "0.5,1,2,4,8").split(",")], args.seconds, args.queue, args.only
        )
    elif args.what == "recovery":
        recovery(float(args.times or 2), args.queue)
    else:
        refusal()


if __name__ == "__main__":
    main()
