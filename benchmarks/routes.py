"""Measures the cost of a route match by the number of routes, and of changing one route.

python -m benchmarks.routes [--most 100000]
"""

from __future__ import annotations

import argparse
import time
from random import Random

from troutdock.routing.route import (
    Comparison,
    WeightedPool,
    Request,
    Route,
    Condition,
    exact,
    pattern,
    prefix,
)
from troutdock.routing.split import choose_pool
from troutdock.routing.table import RouteTable

TO = (WeightedPool("a", 90), WeightedPool("b", 10))


def routes(number: int) -> list[Route]:
    """Returns routes for hosts with 200 routes each: paths, prefixes, some patterns and conditions."""
    made = []
    for n in range(number):
        host = (f"s{n // 200}.example.de",) if n % 7 else ("*.example.de",)
        if n % 100 == 13:
            paths = (pattern(f"/p{n}/[0-9]+/.*"),)
        else:
            paths = (exact(f"/v1/{n}/x"),) if n % 2 else (prefix(f"/v1/{n}"),)
        values = (Condition("header", "version", Comparison.IS, "2"),) if n % 11 == 0 else ()
        made.append(Route(f"r{n}", n, paths, host, values=values, to=TO))
    return [*made, Route("all", number, (prefix("/"),), to=TO)]


def main() -> None:
    """Prints a row for each number of routes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--most", type=int, default=100_000)
    most = parser.parse_args().most
    random, first = Random(1), 0.0
    for number in (10, 1000, 10_000, 100_000):
        if number > most:
            break
        made = routes(number)
        began = time.perf_counter()
        table = RouteTable.of(made)
        build = time.perf_counter() - began
        picked = random.choices(range(number), k=20_000)
        asked = [Request("GET", f"s{n // 200}.example.de", f"/v1/{n}/x") for n in picked]
        for request in asked:
            table.find(request)  # automata are built by the first lookup
        began = time.perf_counter()
        hits = sum(table.find(request) is not None for request in asked)
        took = (time.perf_counter() - began) / len(asked) * 1e6
        first = first or took
        began = time.perf_counter()
        for n in range(200):
            table.with_route(Route(f"r{n}", n, (exact("/changed"),), to=TO))
        change = (time.perf_counter() - began) / 200 * 1e6
        print(
            f"  {number:7} routes: {took:5.1f} us a match, {took / first:.2f} of 10 routes ({hits} found), "
            f"made in {build * 1000:.0f} ms, one changed in {change:.0f} us"
        )
    keys = [f"{n:016x}" for n in range(100_000)]
    was = [choose_pool((WeightedPool("a", 90), WeightedPool("b", 10)), k) for k in keys]
    now = [choose_pool((WeightedPool("a", 80), WeightedPool("b", 20)), k) for k in keys]
    moved = sum(x != y for x, y in zip(was, now, strict=True)) / len(keys)
    print(f"  10 to 20%: {moved:.2%} of the customers moved")


if __name__ == "__main__":
    main()
