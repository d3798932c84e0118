"""Formats the results as tables and a plot: slopes, figures at the full size, and bounds."""

from __future__ import annotations

from collections.abc import Callable
from math import inf, log10
from typing import Any

from benchmarks.hollow.fit import crossing, curve, power
from benchmarks.hollow.measures import MEASURES, E, H, Measure, R
from benchmarks.hollow.model import BACKENDS, HEARTBEAT_S, CORE, INGRESSES

MARKER = "<!-- capacity {} {} -->"


def _format(value: float) -> str:
    """Formats a number with three significant digits."""
    if value in (inf, 0):
        return "-" if value else "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _results(data: dict[str, Any], real: bool = False) -> list[dict[str, Any]]:
    return sorted(data.get("real", []) if real else data["results"], key=lambda r: r["ingresses"])


def _figures(measure: Measure, results: list[dict[str, Any]]) -> list[float]:
    return [measure.of(r) for r in results]


def slopes(data: dict[str, Any], timed: bool | None = None) -> str:
    """Returns each measure at each size with its fits.

    timed: True for processor times only, False for the other measures only, None for all."""
    results = _results(data)
    sizes = [r["ingresses"] for r in results]
    head = [
        "role",
        "measure",
        "unit",
        *(f"{n:,}" for n in sizes),
        "n^",
        "+-",
        "left over",
        "a + b n + c n²",
        "left over",
    ]
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for m in MEASURES:
        if m.real or (timed is not None and m.timed != timed):
            continue
        figures = _figures(m, results)
        law, quadratic = power(sizes, figures), curve(sizes, figures)
        cells = [m.role, m.name, m.unit, *map(_format, figures)]
        cells += [f"{law.exponent:.2f}", f"{law.error:.2f}", f"{law.residual:.0%}"] if law else ["-"] * 3
        cells += (
            [f"{quadratic.a:.2g} {quadratic.b:+.2g} n {quadratic.c:+.2g} n²", f"{quadratic.residual:.0%}"]
            if quadratic
            else ["-"] * 2
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _at_full_size(measure: Measure, results: list[dict[str, Any]]) -> tuple[float, str]:
    """Returns the figure at the full size and its source: measured, or from the power law."""
    for r in results:
        if r["ingresses"] == INGRESSES:
            return measure.of(r), "measured"
    law = power([r["ingresses"] for r in results], _figures(measure, results))
    return (law.at(INGRESSES), "by its law") if law else (0.0, "-")


def _size_at_bound(measure: Measure, results: list[dict[str, Any]]) -> float:
    assert measure.bound is not None
    return crossing([r["ingresses"] for r in results], _figures(measure, results), measure.bound)


def _format_size(n: float, smallest: int) -> str:
    return f"below {smallest}" if n == 0 else "none" if n == inf else f"{n:,.0f}"


def bounds(data: dict[str, Any]) -> str:
    """Returns the full size against the bounds, sorted by the size at which each bound is exceeded."""
    lines = [
        f"| role | measure | at {INGRESSES:,} | | bound | of it | passed at ingresses |",
        "|" + " --- |" * 7,
    ]
    rows = []
    for m in MEASURES:
        results = _results(data, m.real)
        if m.bound is None or len(results) < 2:
            continue
        figure, how = _at_full_size(m, results)
        part = figure / m.bound
        kept = f"{part:.2g}, kept" if part <= 1 else f"{_format(part)} times, broken"
        passed = _size_at_bound(m, results)
        cells = [m.role, m.name, f"{_format(figure)} {m.unit}", how, f"{m.bound:g} {m.unit}", kept]
        row = "| " + " | ".join([*cells, _format_size(passed, results[0]["ingresses"])]) + " |"
        rows.append((passed, -m.of(results[0]) / m.bound, row))
    return "\n".join([*lines, *(row for _, _, row in sorted(rows))])


def plot(data: dict[str, Any], width: int = 60) -> str:
    """Plots bounded measures relative to their bounds, from 1/10,000 to 10,000 times; | is the bound."""
    results = _results(data)
    lines = [f"{'':42} 0.0001{'the bound':^{width - 10}}10,000"]
    for m in MEASURES:
        if m.bound is None or m.real:
            continue
        row = [" "] * (width + 1)
        row[width // 2] = "|"
        for number, figure in enumerate(_figures(m, results)):
            if figure > 0:
                at = round((log10(figure / m.bound) + 4) / 8 * width)
                row[min(width, max(0, at))] = "abcdefgh"[number]
        lines.append(f"{f'{m.role}, {m.name}'[:42]:42} {''.join(row).rstrip()}")
    marks = ", ".join(f"{'abcdefgh'[n]} {r['ingresses']:,}" for n, r in enumerate(results))
    return "\n".join(["```", *lines, f"ingresses: {marks}", "```"])


def real(data: dict[str, Any]) -> str:
    """Returns the figures of the real programs."""
    lines = [
        "| ingresses | backends | role | processes | core, mean | core, most | MB, most | sockets, most |",
        "|" + " --- |" * 8,
    ]
    for r in data.get("real", []):
        for role in (E, H, R):
            f = r[role]
            lines.append(
                f"| {r['ingresses']} | {r['backends']} | {role} | {f['processes']} | {f['core, mean']:.4f} "
                f"| {f['core, most']:.4f} | {f['MB, most']:.1f} | {f['sockets, most']} |"
            )
    for r in data.get("real", []):
        lines.append(
            f"\n{r['ingresses']} ingresses: a change acknowledged after {r['write acknowledged s']:.3f} s, "
            f"all ingresses ready {r['all ready s']:.3f} s after it was sent; {r['beats missed in calm']} "
            f"beats missed of {r['beats a second']:.0f} a second."
        )
    if len(data.get("real", [])) > 1:
        each = heartbeat_cost_s(data)
        per_s = BACKENDS / HEARTBEAT_S / CORE
        lines.append(
            f"\nA beat costs a registry {each * 1e3:.2f} ms of processor (slope over these sizes), so "
            f"{per_s:,.0f} a second, a core machine's part at the full size, {each * per_s:.2f} of a core: "
            f"reckoned from the slope, not measured; a core is full at {INGRESSES / (each * per_s):,.0f} "
            "ingresses."
        )
    return "\n".join(lines)


def heartbeat_cost_s(data: dict[str, Any]) -> float:
    """Returns a registry's processor seconds per heartbeat: the slope over the real programs' sizes."""
    x = [r["beats a second"] / r[H]["processes"] for r in data["real"]]
    y = [r[H]["core, mean"] for r in data["real"]]
    mx, my = sum(x) / len(x), sum(y) / len(y)
    return sum((a - mx) * (b - my) for a, b in zip(x, y, strict=True)) / sum((a - mx) ** 2 for a in x)


def run_table(data: dict[str, Any]) -> str:
    """Returns the seed, the sizes and the cost of the runs."""
    lines = [
        f"Seed {data['seed']}, sizes {', '.join(map(str, data['sizes']))}.",
        "",
        "| ingresses | backends | services | routes | tenants | s | MB of the run at most |",
        "|" + " --- |" * 7,
    ]
    lines += [
        f"| {r['ingresses']:,} | {r['backends']:,} | {r['services']} | {r['routes']:,} | {r['tenants']:,} "
        f"| {r['times']['took s']:.0f} | {r['times']['MB']:.0f} |"
        for r in _results(data)
    ]
    return "\n".join(lines)


PARTS: dict[str, Callable[[dict[str, Any]], str]] = {
    "run": run_table,
    "slopes": slopes,
    "bounds": bounds,
    "plot": plot,
    "real": real,
}


def update_page(page: str, data: dict[str, Any]) -> str:
    """Returns the page with each part between its markers replaced.

    Raises:
        ValueError: a marker is missing.
    """
    for name, part in PARTS.items():
        begin, end = MARKER.format(name, "begins"), MARKER.format(name, "ends")
        head, found, rest = page.partition(begin)
        _, closed, tail = rest.partition(end)
        if not found or not closed:
            raise ValueError(f"the page has no {begin} or no {end}")
        page = f"{head}{begin}\n{part(data)}\n{end}{tail}"
    return page
