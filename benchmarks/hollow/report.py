"""What was measured: by role, with slopes, figures at the full size and bounds; tables and a plot."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf, log10
from typing import Any

from benchmarks.hollow.fit import crossing, curve, power
from benchmarks.hollow.town import BACKENDS, BEAT_S, CHANGES_A_DAY, CORE, DAY_S, INGRESSES, RESTARTS_A_DAY

CPU, KEEP_MB, KB_S, IN_FORCE_S = (
    0.033,
    32.0,
    27.0,
    11.0,
)  # the bounds of an ingress's control, and of a change
STALLED = (
    0.01  # part of the day in which a process that works on a change answers late: 99 in 100 are in time
)
CORE_OF_CORE = 1.0  # a core machine's process has one loop
MARK = "<!-- capacity {} {} -->"


@dataclass(frozen=True, slots=True)
class Measure:
    """bound: None for none. timed: it is of the processor, so that it differs from run to run."""

    role: str
    name: str
    unit: str
    of: Callable[[dict[str, Any]], float]
    bound: float | None = None
    timed: bool = False


def _said(phase: str, sender: str, to: str, which: int) -> Callable[[dict[str, Any]], float]:
    return lambda r: r["core"]["said"].get(f"{phase} / {sender} / {to}", [0, 0])[which]


def _each(phase: str, which: int = 1) -> Callable[[dict[str, Any]], float]:
    """To one ingress in a phase."""
    said = _said(phase, "hedgerow", "espalier", which)
    return lambda r: said(r) / r["ingresses"]


def _registry(phase: str, to: str, which: int = 1) -> Callable[[dict[str, Any]], float]:
    """By one registry in a phase."""
    said = _said(phase, "hedgerow", to, which)
    return lambda r: said(r) / CORE


def _store(phase: str, which: int) -> Callable[[dict[str, Any]], float]:
    to_stores, to_registries = (_said(phase, "rootstock", to, which) for to in ("rootstock", "hedgerow"))
    return lambda r: (to_stores(r) + to_registries(r)) / CORE


def _cpu(phase: str, role: str, processes: int) -> Callable[[dict[str, Any]], float]:
    return lambda r: r["core"]["times"]["cpu s"].get(f"{phase} / {role}", 0.0) / processes


def _per_s(
    of: Callable[[dict[str, Any]], float], phase: str, unit: float = 1.0
) -> Callable[[dict[str, Any]], float]:
    return lambda r: of(r) / r["core"]["spans s"][phase] / unit


def _in(of: Callable[[dict[str, Any]], float], unit: float) -> Callable[[dict[str, Any]], float]:
    return lambda r: of(r) / unit


def _talk(which: str, index: int, *kinds: str) -> Callable[[dict[str, Any]], float]:
    return lambda r: sum(r["zone"][which][k][index] for k in kinds)


ALL = ("zone", "away", "passed on")
E, H, R, HOMES = "espalier", "hedgerow", "rootstock", "homes"
_talk_b = _talk("sent a second", 1, *ALL)
MEASURES = (
    Measure(
        E,
        "state for control",
        "MB",
        lambda r: (r["core"]["state"][E] + r["zone"]["exchange bytes"]) / 1e6,
        KEEP_MB,
    ),
    Measure(E, "of it, book of backends", "MB", lambda r: r["core"]["state"]["espalier, book"] / 1e6),
    Measure(
        E,
        "of it, routes and tenants",
        "MB",
        lambda r: r["core"]["state"]["espalier, routes and tenants"] / 1e6,
    ),
    Measure(E, "of it, numbers of other ingresses", "MB", lambda r: r["zone"]["exchange bytes"] / 1e6),
    Measure(E, "links to ingresses, mean", "links", lambda r: r["zone"]["links"][0]),
    Measure(
        E,
        "sent to ingresses, with signs of life",
        "KB/s",
        lambda r: (_talk_b(r) + r["zone"]["signs of life B/s"]) / 1e3,
        KB_S,
    ),
    Measure(E, "of it, signs of life", "KB/s", lambda r: r["zone"]["signs of life B/s"] / 1e3),
    Measure(E, "of it, own numbers to its zone", "KB/s", _in(_talk("sent a second", 1, "zone"), 1e3)),
    Measure(E, "messages sent to ingresses", "1/s", _talk("sent a second", 0, *ALL)),
    Measure(
        E,
        "processor, numbers of ingresses",
        "core",
        lambda r: sum(r["zone"]["times"]["cpu s a second"].values()),
        CPU,
        True,
    ),
    Measure(
        E,
        "of it, whose duty is whose, each 40 ms",
        "core",
        lambda r: r["zone"]["times"]["cpu s a second"].get("tell other zones", 0.0),
        None,
        True,
    ),
    Measure(E, "start: told to one ingress", "MB", _in(_each("start"), 1e6)),
    Measure(E, "start: messages to one ingress", "messages", _each("start", 0)),
    Measure(
        E, "start: until the last ingress has all", "s", lambda r: r["core"]["start until all have it s"]
    ),
    Measure(E, "start: processor of one ingress", "s", _cpu("start", E, 1), None, True),
    Measure(E, "drain: in force everywhere", "s", lambda r: r["core"]["drain in force s"]),
    Measure(E, "one change: told to one ingress", "MB", lambda r: r["core"]["configuration bytes"] / 1e6),
    Measure(
        E,
        "changes of a day: told to one ingress",
        "KB/s",
        lambda r: r["core"]["configuration bytes"] * CHANGES_A_DAY / DAY_S / 1e3,
        KB_S,
    ),
    Measure(E, "one change: in force everywhere", "s", lambda r: r["core"]["change in force s"], IN_FORCE_S),
    Measure(E, "one change: processor, in one piece", "s", _cpu("change", E, 1), None, True),
    Measure(
        E,
        "changes of a day: processor",
        "core",
        lambda r: _cpu("change", E, 1)(r) * CHANGES_A_DAY / DAY_S,
        CPU,
        True,
    ),
    Measure(
        E,
        "changes of a day: part of it stalled",
        "part",
        lambda r: _cpu("change", E, 1)(r) * CHANGES_A_DAY / DAY_S,
        STALLED,
        True,
    ),
    Measure(E, "one restart: told, to all ingresses", "MB", _in(_said("one restart", H, E, 1), 1e6)),
    Measure(
        E,
        "restarts of a day: told, to all ingresses",
        "KB/s",
        lambda r: _said("one restart", H, E, 1)(r) * RESTARTS_A_DAY / DAY_S / 1e3,
    ),
    Measure(
        E,
        "one in 20 restarts at once: until all have it",
        "s",
        lambda r: r["core"]["restarts until all have it s"],
        IN_FORCE_S,
    ),
    Measure(E, "one in 20 restarts at once: told to all", "MB", _in(_said("restarts at once", H, E, 1), 1e6)),
    Measure(E, "zone lost: told to one ingress, 70 s", "KB", _in(_each("zone lost"), 1e3)),
    Measure(E, "zone lost: messages to one ingress, 70 s", "messages", _each("zone lost", 0)),
    Measure(HOMES, "duties of the busiest", "duties", lambda r: r["zone"]["duties"]),
    Measure(HOMES, "links of the busiest", "links", lambda r: r["zone"]["links"][1]),
    Measure(HOMES, "sent to other zones, mean", "KB/s", _in(_talk("sent a second", 1, "away"), 1e3)),
    Measure(HOMES, "passed on to neighbours, mean", "KB/s", _in(_talk("sent a second", 1, "passed on"), 1e3)),
    Measure(HOMES, "the busiest sends", "KB/s", lambda r: r["zone"]["busiest sends B/s"] / 1e3, KB_S),
    Measure(H, "state", "MB", lambda r: r["core"]["state"][H] / 1e6),
    Measure(
        H, "connections of the busiest, without backends'", "links", lambda r: r["core"]["connections"][H]
    ),
    Measure(
        H,
        "calm: beats taken by one",
        "1/s",
        _per_s(lambda r: _said("calm", "backend", H, 0)(r) / CORE, "calm"),
    ),
    Measure(H, "calm: told to other registries", "KB/s", _per_s(_registry("calm", H), "calm", 1e3)),
    Measure(
        H, "calm: processor without HTTP", "core", _per_s(_cpu("calm", H, CORE), "calm"), CORE_OF_CORE, True
    ),
    Measure(H, "start: told by one to ingresses", "MB", _in(_registry("start", E), 1e6)),
    Measure(H, "start: messages by one to ingresses", "messages", _registry("start", E, 0)),
    Measure(H, "start: told by one to registries", "MB", _in(_registry("start", H), 1e6)),
    Measure(H, "start: processor", "s", _cpu("start", H, CORE), None, True),
    Measure(H, "one change: told by one", "MB", _in(_registry("change", E), 1e6)),
    Measure(H, "one change: processor", "s", _cpu("change", H, CORE), None, True),
    Measure(H, "zone lost: processor, 70 s", "s", _cpu("zone lost", H, CORE - 1), None, True),
    Measure(R, "state of the primary", "MB", lambda r: r["core"]["state"][R] / 1e6),
    Measure(R, "connections", "links", lambda r: r["core"]["connections"][R]),
    Measure(R, "calm: messages of one", "1/s", _per_s(_store("calm", 0), "calm")),
    Measure(R, "calm: bytes of one", "KB/s", _per_s(_store("calm", 1), "calm", 1e3)),
    Measure(R, "calm: processor", "core", _per_s(_cpu("calm", R, CORE), "calm"), CORE_OF_CORE, True),
    Measure(R, "one change: told by all", "MB", lambda r: _store("change", 1)(r) * CORE / 1e6),
    Measure(R, "one change: acknowledged", "s", lambda r: r["core"]["change acknowledged s"]),
    Measure(R, "one change: processor of all", "s", _cpu("change", R, 1), None, True),
)


def _g(value: float) -> str:
    """Three figures."""
    if value in (inf, 0):
        return "-" if value else "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _results(data: dict[str, Any]) -> list[dict[str, Any]]:
    return sorted(data["results"], key=lambda r: r["ingresses"])


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
        if timed is not None and m.timed != timed:
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


def _over(measure: Measure, result: dict[str, Any]) -> float:
    """The figure over its bound."""
    return measure.of(result) / measure.bound if measure.bound else 0.0


def _at(n: float, smallest: int) -> str:
    return f"below {smallest}" if n == 0 else "none" if n == inf else f"{n:,.0f}"


def bounds(data: dict[str, Any]) -> str:
    """The full size against the bounds, by the size at which each is passed."""
    results = _results(data)
    smallest = results[0]["ingresses"]
    lines = [
        f"| role | measure | at {INGRESSES:,} | | bound | of it | passed at ingresses |",
        "|" + " --- |" * 7,
    ]
    for m in sorted(
        (m for m in MEASURES if m.bound is not None),
        key=lambda m: (_breaks(m, results), -_over(m, results[0])),
    ):
        figure, how = _full(m, results)
        assert m.bound is not None
        part = figure / m.bound
        kept = f"{part:.2g}, kept" if part <= 1 else f"{_g(part)} times, broken"
        lines.append(
            f"| {m.role} | {m.name} | {_g(figure)} {m.unit} | {how} | {m.bound:g} {m.unit} | {kept} "
            f"| {_at(_breaks(m, results), smallest)} |"
        )
    return "\n".join(lines)


def plot(data: dict[str, Any], width: int = 60) -> str:
    """Bounded measures over their bounds, from a thousandth to a thousand times; | is the bound."""
    results = _results(data)
    lines = [f"{'':42} 0.001{'the bound':^{width - 8}}1000"]
    for m in MEASURES:
        if m.bound is None:
            continue
        row = [" "] * (width + 1)
        row[width // 2] = "|"
        for number, figure in enumerate(_figures(m, results)):
            if figure > 0:
                at = round((log10(figure / m.bound) + 3) / 6 * width)
                row[min(width, max(0, at))] = "abcdefgh"[number]
        lines.append(f"{m.name[:42]:42} {''.join(row).rstrip()}")
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
            f"\nA beat costs a registry {each * 1e3:.2f} ms of processor (slope over these sizes), so the full "
            f"size's {per_s:,.0f} a second at each of {CORE} cost {each * per_s:.2f} of a core: reckoned from the "
            f"slope, not measured."
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
