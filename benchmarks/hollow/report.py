"""What was measured, as tables and a plot: slopes, figures at the full size and bounds."""

from __future__ import annotations

from collections.abc import Callable
from math import inf, log10
from typing import Any

from benchmarks.hollow.fit import crossing, curve, power
from benchmarks.hollow.measures import MEASURES, E, H, Measure, R
from benchmarks.hollow.town import BACKENDS, BEAT_S, CORE, INGRESSES

MARK = "<!-- capacity {} {} -->"


def _g(value: float) -> str:
    """Three figures."""
    if value in (inf, 0):
        return "-" if value else "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _results(data: dict[str, Any], real: bool = False) -> list[dict[str, Any]]:
    return sorted(data.get("real", []) if real else data["results"], key=lambda r: r["ingresses"])


def _figures(measure: Measure, results: list[dict[str, Any]]) -> list[float]:
    return [measure.of(r) for r in results]


def slopes(data: dict[str, Any], timed: bool | None = None) -> str:
    """Each measure at each size and its law. timed: only those of the processor, only the others, or all."""
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
        law, bow = power(sizes, figures), curve(sizes, figures)
        cells = [m.role, m.name, m.unit, *map(_g, figures)]
        cells += [f"{law.exponent:.2f}", f"{law.error:.2f}", f"{law.residual:.0%}"] if law else ["-"] * 3
        cells += [f"{bow.a:.2g} {bow.b:+.2g} n {bow.c:+.2g} n²", f"{bow.residual:.0%}"] if bow else ["-"] * 2
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _full(measure: Measure, results: list[dict[str, Any]]) -> tuple[float, str]:
    """The figure at the full size, measured there or by the power law, and which of both."""
    for r in results:
        if r["ingresses"] == INGRESSES:
            return measure.of(r), "measured"
    law = power([r["ingresses"] for r in results], _figures(measure, results))
    return (law.at(INGRESSES), "by its law") if law else (0.0, "-")


def _breaks(measure: Measure, results: list[dict[str, Any]]) -> float:
    assert measure.bound is not None
    return crossing([r["ingresses"] for r in results], _figures(measure, results), measure.bound)


def _at(n: float, smallest: int) -> str:
    return f"below {smallest}" if n == 0 else "none" if n == inf else f"{n:,.0f}"


def bounds(data: dict[str, Any]) -> str:
    """The full size against the bounds, by the size at which each is passed."""
    lines = [
        f"| role | measure | at {INGRESSES:,} | | bound | of it | passed at ingresses |",
        "|" + " --- |" * 7,
    ]
    rows = []
    for m in MEASURES:
        results = _results(data, m.real)
        if m.bound is None or len(results) < 2:
            continue
        figure, how = _full(m, results)
        part = figure / m.bound
        kept = f"{part:.2g}, kept" if part <= 1 else f"{_g(part)} times, broken"
        passed = _breaks(m, results)
        cells = [m.role, m.name, f"{_g(figure)} {m.unit}", how, f"{m.bound:g} {m.unit}", kept]
        row = "| " + " | ".join([*cells, _at(passed, results[0]["ingresses"])]) + " |"
        rows.append((passed, -m.of(results[0]) / m.bound, row))
    return "\n".join([*lines, *(row for _, _, row in sorted(rows))])


def plot(data: dict[str, Any], width: int = 60) -> str:
    """Bounded measures over their bounds, from a ten thousandth to ten thousand times; | is the bound."""
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
    """The real programs."""
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
        each = beat_s(data)
        per_s = BACKENDS / BEAT_S / CORE
        lines.append(
            f"\nA beat costs a registry {each * 1e3:.2f} ms of processor (slope over these sizes), so "
            f"{per_s:,.0f} a second, a core machine's part at the full size, {each * per_s:.2f} of a core: "
            f"reckoned from the slope, not measured; a core is full at {INGRESSES / (each * per_s):,.0f} "
            "ingresses."
        )
    return "\n".join(lines)


def beat_s(data: dict[str, Any]) -> float:
    """Processor seconds that one backend's beat costs a registry: the slope over the real programs' sizes."""
    x = [r["beats a second"] / r[H]["processes"] for r in data["real"]]
    y = [r[H]["core, mean"] for r in data["real"]]
    mx, my = sum(x) / len(x), sum(y) / len(y)
    return sum((a - mx) * (b - my) for a, b in zip(x, y, strict=True)) / sum((a - mx) ** 2 for a in x)


def made_of(data: dict[str, Any]) -> str:
    """What the tables come from."""
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
    "run": made_of,
    "slopes": slopes,
    "bounds": bounds,
    "plot": plot,
    "real": real,
}


def onto(page: str, data: dict[str, Any]) -> str:
    """The page with each part between its marks written anew; ValueError where marks are missing."""
    for name, part in PARTS.items():
        begin, end = MARK.format(name, "begins"), MARK.format(name, "ends")
        head, found, rest = page.partition(begin)
        _, closed, tail = rest.partition(end)
        if not found or not closed:
            raise ValueError(f"the page has no {begin} or no {end}")
        page = f"{head}{begin}\n{part(data)}\n{end}{tail}"
    return page
