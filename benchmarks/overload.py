"""What two ingresses serve past their fleet's capacity, and how soon after a mass death; damped and not.

    python -m benchmarks.overload goodput [--times 1,2,4,8] [--seconds 8]
    python -m benchmarks.overload recovery [--times 2]
    python -m benchmarks.overload refusal

goodput   served within their aim, a second, at so many times the fleet's capacity.
recovery  all ingresses are killed and return at once; seconds until 95% of what is served in time before is
          again.
refusal   CPU of an ingress for a refused request over that for a served one.
Each with every damping, and with none.
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

NODES, AT_ONCE, WORK_MS, QUEUE = 6, 4, 40.0, 16
CAPACITY = NODES * AT_ONCE * 1000 / WORK_MS  # requests a second
CROWDS, HONOUR = 4, 0.5
NONE = {"turn_away": False, "drop_departed": False, "polite_closing": False, "pace_accepts": False}


@contextmanager
def ingress(port: int, nodes: list[int], damping: dict[str, bool], index: int) -> Iterator[int]:
    """A daemon of the rig: its process."""
    told = config(port, nodes)
    told["limits"]["sockets"] = 1024
    told["settings"] |= {"balancers": 2, "index": index}
    told["settings"]["clients"] = {"marks_retry": True}
    told["damping"] = damping
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(told, file)
        file.flush()
        with process(["-m", "troutdock"], port, RELAY_CONFIG=file.name) as pid:
            yield pid


def crowd(ports: list[int], rate: float, seconds: int) -> list[subprocess.Popen[str]]:
    """Clients that ask so often a second, all together."""
    words = ",".join(map(str, ports))
    base = [sys.executable, "-m", "benchmarks.crowd", words, str(rate / CROWDS), str(seconds)]
    return [
        subprocess.Popen([*base, str(n + 1), str(HONOUR)], cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for n in range(CROWDS)
    ]


def gather(children: list[subprocess.Popen[str]]) -> tuple[list[int], list[int], int]:
    """Asked and served by second, and tries, of all crowds."""
    told = [json.loads(child.communicate()[0]) for child in children]
    return (
        [sum(s) for s in zip(*(t["asked"] for t in told), strict=True)],
        [sum(s) for s in zip(*(t["served"] for t in told), strict=True)],
        sum(t["tries"] for t in told),
    )


def fleet(stack: ExitStack, queue: int) -> list[int]:
    """Nodes whose work takes time."""
    ports = [free_port() for _ in range(NODES)]
    for port in ports:
        stack.enter_context(
            process(["-m", "benchmarks.slow_node", str(port), str(AT_ONCE), str(WORK_MS), str(queue)], port)
        )
    return ports


def goodput(times: list[float], seconds: int, queue: int, only: str) -> None:
    """A row for each load."""
    for name, damping in (("damped", {}), ("undamped", NONE)):
        for many in times if only in ("", name) else ():
            with ExitStack() as stack:
                nodes, ports = fleet(stack, queue), [free_port(), free_port()]
                pids = [stack.enter_context(ingress(p, nodes, damping, n)) for n, p in enumerate(ports)]
                began = [cpu_s(pid) for pid in pids]
                asked, served, tries = gather(crowd(ports, many * CAPACITY, seconds))
                cpu = sum(cpu_s(pid) for pid in pids) - sum(began)
                late = served[seconds // 4 :]
                print(
                    f"{name:9} {many:4g} x  {sum(late) / len(late):7.1f} a second of {CAPACITY:.0f}  "
                    f"{tries / max(1, sum(asked)):.2f} tries  "
                    f"{cpu / len(pids) / seconds:.2f} of a core each",
                    flush=True,
                )


def recovery(many: float, queue: int) -> None:
    """Kill all ingresses, start them again together."""
    for name, damping in (("damped", {}), ("undamped", NONE)):
        with ExitStack() as stack:
            nodes, ports = fleet(stack, queue), [free_port(), free_port()]
            with ExitStack() as first:
                for n, port in enumerate(ports):
                    first.enter_context(ingress(port, nodes, damping, n))
                began = time.monotonic()
                children = crowd(ports, many * CAPACITY, 30)
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
                f"{name:9} {many:g} x: {before:.0f} a second before, down at {down:.1f} s, up at {up:.1f}, "
                f"95% again {'never' if back is None else f'{max(0.0, back - up):.1f} s after that'}; "
                f"{tries / sum(asked):.2f} tries; by second {served}",
                flush=True,
            )


def refusal() -> None:
    """Served by idle nodes, and refused for want of any node, over the same kept connections."""
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
    """One of the three."""
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
